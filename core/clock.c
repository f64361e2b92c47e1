#include "core/clock.h"

#include <time.h>

#define US_PER_S 1000000
#define NS_PER_US 1000
#define US_PER_MS 1000

static int64_t
read_us(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

/* Returns the milliseconds of a clock that never goes back and that counts
 * on while the machine is suspended. */
int64_t
RsClock_NowMs(void)
{
    return RsClock_NowUs() / US_PER_MS;
}

/* Returns the same clock in microseconds. */
int64_t
RsClock_NowUs(void)
{
    return read_us(CLOCK_BOOTTIME);
}

/* Returns the microseconds since 1970 by the machine's calendar clock, which
 * may jump; good for records only. */
int64_t
RsClock_WallUs(void)
{
    return read_us(CLOCK_REALTIME);
}
