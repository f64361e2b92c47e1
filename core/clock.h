/* The monotonic clock, for deadlines and durations, and the wall clock. */

#ifndef RATTANSHED_CORE_CLOCK_H
#define RATTANSHED_CORE_CLOCK_H

#include <stdint.h>

/* A deadline that is never reached. */
#define RsClock_NEVER_MS INT64_MAX

int64_t RsClock_NowMs(void);
int64_t RsClock_NowUs(void);
int64_t RsClock_WallUs(void);

#endif
