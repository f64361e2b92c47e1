#include "core/log.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/error.h"

#define LOG_DOMAIN "rattanshed"
#define US_PER_S 1000000
#define BUFFER_BYTES (256 * 1024) /* a few seconds of heavy logging */
#define DROPPED_EVENT_BYTES 64

static const char *const level_names[] = {"error", "warning", "info", "debug"};

static char process_name[64] = "";
static _Atomic int threshold_level = RsLog_INFO;

static pthread_mutex_t buffer_lock = PTHREAD_MUTEX_INITIALIZER;
static char buffer[BUFFER_BYTES];
static size_t buffered_bytes;
static uint64_t dropped_lines;
static bool writes_deferred;

/* Writes as much of the buffer as standard output accepts without blocking.
 * The caller holds buffer_lock. */
static void
flush_locked(void)
{
    size_t written = 0;
    while (written < buffered_bytes) {
        struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
        if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
            break;
        }
        size_t chunk_bytes = buffered_bytes - written < PIPE_BUF
                                 ? buffered_bytes - written
                                 : PIPE_BUF;
        ssize_t size = write(STDOUT_FILENO, buffer + written, chunk_bytes);
        if (size <= 0) {
            break;
        }
        written += (size_t)size;
    }
    memmove(buffer, buffer + written, buffered_bytes - written);
    buffered_bytes -= written;
}

/* Flushes the buffer if it lacks room for `size_bytes`. Returns whether there
 * is room now. */
static bool
make_room(size_t size_bytes)
{
    if (buffered_bytes + size_bytes > sizeof(buffer)) {
        flush_locked();
    }
    return buffered_bytes + size_bytes <= sizeof(buffer);
}

static void
copy_to_buffer(const char *line, size_t size_bytes)
{
    memcpy(buffer + buffered_bytes, line, size_bytes);
    buffer[buffered_bytes + size_bytes] = '\n';
    buffered_bytes += size_bytes + 1;
}

/* Appends a line to the buffer, or drops and counts it if there is no room. If
 * lines were dropped before, first appends an event with their number. Flushes
 * the buffer if `flush_now` is set or writes are not deferred. */
static void
buffer_line(const char *line, bool flush_now)
{
    size_t size_bytes = strlen(line);
    pthread_mutex_lock(&buffer_lock);
    if (dropped_lines > 0 && make_room(size_bytes + DROPPED_EVENT_BYTES)) {
        char dropped_event[DROPPED_EVENT_BYTES];
        int event_bytes =
            snprintf(dropped_event, sizeof(dropped_event),
                     "{\"event\":\"log_lines_dropped\",\"count\":%" PRIu64 "}",
                     dropped_lines);
        copy_to_buffer(dropped_event, (size_t)event_bytes);
        dropped_lines = 0;
    }
    if (make_room(size_bytes + 1)) {
        copy_to_buffer(line, size_bytes);
    }
    else {
        dropped_lines++;
    }
    if (flush_now || !writes_deferred) {
        flush_locked();
    }
    pthread_mutex_unlock(&buffer_lock);
}

/* The GLogWriterFunc. Flushes the buffer after a warning or an error. */
static GLogWriterOutput
write_line(GLogLevelFlags flags, const GLogField *fields, gsize count,
           gpointer arg)
{
    const char *message = "";
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            message = fields[i].value;
        }
    }
    buffer_line(message,
                (flags & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING)) != 0);
    return G_LOG_WRITER_HANDLED;
}

/* Sets the process name that RsLog_Write() adds to each event, cut to 63
 * bytes, and the least severe level that RsLog_EVENT() writes. Must be called
 * once, before other threads start. */
void
RsLog_Open(const char *process, enum rs_log_level threshold)
{
    snprintf(process_name, sizeof(process_name), "%s", process);
    threshold_level = threshold;
    g_log_set_writer_func(write_line, NULL, NULL);
}

/* Makes lines wait in the buffer until RsLog_Flush() is called, the buffer is
 * full, or a warning or error is logged, so that many lines are written at a
 * time. */
void
RsLog_DeferWrites(void)
{
    writes_deferred = true;
}

/* Writes as much of the buffer as standard output accepts without blocking. */
void
RsLog_Flush(void)
{
    pthread_mutex_lock(&buffer_lock);
    if (buffered_bytes > 0) {
        flush_locked();
    }
    pthread_mutex_unlock(&buffer_lock);
}

/* Parses the name of a level. Returns 0 or RsLog_UNKNOWN_LEVEL. */
int
RsLog_ParseLevel(const char *text, enum rs_log_level *level)
{
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (strcmp(text, level_names[i]) == 0) {
            *level = (enum rs_log_level)i;
            return 0;
        }
    }
    return RsLog_UNKNOWN_LEVEL;
}

/* Returns whether RsLog_EVENT() writes events of this level. */
int
RsLog_IsEnabled(enum rs_log_level level)
{
    return (int)level <= threshold_level;
}

static GLogLevelFlags
glib_level(enum rs_log_level level)
{
    switch (level) {
    case RsLog_ERROR:
        return G_LOG_LEVEL_CRITICAL;
    case RsLog_WARNING:
        return G_LOG_LEVEL_WARNING;
    case RsLog_INFO:
        return G_LOG_LEVEL_INFO;
    default:
        return G_LOG_LEVEL_DEBUG;
    }
}

/* Writes one event, whatever its level. The `fields` array ends with an entry
 * whose name is NULL. Fields whose text is not valid UTF-8 are omitted. */
void
RsLog_Write(enum rs_log_level level, const char *event,
            const struct rs_log_field *fields)
{
    json_t *line = json_object();
    json_object_set_new(line, "time_s",
                        json_real((double)RsClock_WallUs() / US_PER_S));
    json_object_set_new(line, "level", json_string(level_names[level]));
    json_object_set_new(line, "process", json_string(process_name));
    json_object_set_new(line, "event", json_string(event));
    for (const struct rs_log_field *f = fields; f->name != NULL; f++) {
        json_t *value =
            f->text != NULL ? json_string(f->text) : json_integer(f->number);
        json_object_set_new(line, f->name, value);
    }
    char *text = json_dumps(line, JSON_COMPACT);
    if (text != NULL) {
        g_log_structured(LOG_DOMAIN, glib_level(level), "MESSAGE", "%s", text);
    }
    free(text);
    json_decref(line);
}
