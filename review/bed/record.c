#include "review/bed/bed.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000

static FILE *record;
static int64_t started_ms;
static int breaks;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
read_ms(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Returns the steady time. */
int64_t
RsBed_NowMs(void)
{
    return read_ms(CLOCK_BOOTTIME);
}

/* Returns the Unix time. */
int64_t
RsBed_WallMs(void)
{
    return read_ms(CLOCK_REALTIME);
}

void
RsBed_SleepMs(int64_t ms)
{
    const struct timespec pause = {ms / MS_PER_S,
                                   (long)(ms % MS_PER_S) * NS_PER_MS};
    nanosleep(&pause, NULL);
}

/* Opens the record of the case. Returns 0, or -1 if that fails. */
int
RsBed_OpenRecord(const char *path)
{
    record = fopen(path, "w");
    started_ms = RsBed_NowMs();
    return record != NULL ? 0 : -1;
}

static void
write_line(const char *mark, const char *format, va_list arguments)
{
    pthread_mutex_lock(&lock);
    fprintf(record, "%8.3f %s", (double)(RsBed_NowMs() - started_ms) / 1000.0,
            mark);
    vfprintf(record, format, arguments);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&lock);
}

/* Writes a line with the time since the start of the case. */
void
RsBed_Record(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    write_line("", format, arguments);
    va_end(arguments);
}

/* Records that the rule was broken, and why. */
void
RsBed_Break(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    write_line("BROKEN: ", format, arguments);
    va_end(arguments);
    __atomic_add_fetch(&breaks, 1, __ATOMIC_SEQ_CST);
}

int
RsBed_Breaks(void)
{
    return __atomic_load_n(&breaks, __ATOMIC_SEQ_CST);
}

/* Returns whether the case plays its disruption: unless TROUBLE=0 is set. */
bool
RsBed_HasTrouble(void)
{
    const char *text = getenv("TROUBLE");
    return text == NULL || strcmp(text, "0") != 0;
}
