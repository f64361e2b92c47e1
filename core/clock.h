/* Clock readings. Deadlines are kept as readings of the same clock. */

#ifndef RATTANSHED_CORE_CLOCK_H
#define RATTANSHED_CORE_CLOCK_H

#include <stdint.h>

#define RsClock_NEVER_MS INT64_MAX

int64_t RsClock_NowMs(void);
int64_t RsClock_NowUs(void);
int64_t RsClock_WallUs(void);

#endif
