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

/* Returns the monotonic time in milliseconds since boot, including the time
 * that the machine was suspended. */
int64_t
RsClock_NowMs(void)
{
    return RsClock_NowUs() / US_PER_MS;
}

/* Returns the monotonic time in microseconds, from the same clock as
 * RsClock_NowMs(). */
int64_t
RsClock_NowUs(void)
{
    return read_us(CLOCK_BOOTTIME);
}

/* Returns the wall-clock time in microseconds since the Unix epoch. This clock
 * may jump, so it must not be used for deadlines or to measure durations. */
int64_t
RsClock_WallUs(void)
{
    return read_us(CLOCK_REALTIME);
}
