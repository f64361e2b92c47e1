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
#define BUFFER_BYTES (256 * 1024) /* some seconds of a busy process */
#define NOTE_BYTES 64

static const char *const level_names[] = {"error", "warning", "info", "debug"};

static char process_name[64] = "";
static _Atomic int threshold_level = RsLog_INFO;

static pthread_mutex_t buffer_lock = PTHREAD_MUTEX_INITIALIZER;
static char buffer[BUFFER_BYTES];
static size_t buffered_bytes;
static uint64_t dropped_lines;
static bool held_for_flush;

/* Writes what standard output takes without blocking. */
static void
flush_locked(void)
{
    size_t done = 0;
    while (done < buffered_bytes) {
        struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
        if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
            break;
        }
        size_t piece = buffered_bytes - done < PIPE_BUF ? buffered_bytes - done
                                                        : PIPE_BUF;
        ssize_t size = write(STDOUT_FILENO, buffer + done, piece);
        if (size <= 0) {
            break;
        }
        done += (size_t)size;
    }
    memmove(buffer, buffer + done, buffered_bytes - done);
    buffered_bytes -= done;
}

static bool
has_room(size_t size_bytes)
{
    if (buffered_bytes + size_bytes > sizeof(buffer)) {
        flush_locked();
    }
    return buffered_bytes + size_bytes <= sizeof(buffer);
}

static void
copy_line(const char *line, size_t size_bytes)
{
    memcpy(buffer + buffered_bytes, line, size_bytes);
    buffer[buffered_bytes + size_bytes] = '\n';
    buffered_bytes += size_bytes + 1;
}

/* A line that there is no room for is dropped, and counted. */
static void
append_line(const char *line, bool at_once)
{
    size_t size_bytes = strlen(line);
    pthread_mutex_lock(&buffer_lock);
    if (dropped_lines > 0 && has_room(size_bytes + NOTE_BYTES)) {
        char note[NOTE_BYTES];
        int note_bytes =
            snprintf(note, sizeof(note),
                     "{\"event\":\"log_lines_dropped\",\"count\":%" PRIu64 "}",
                     dropped_lines);
        copy_line(note, (size_t)note_bytes);
        dropped_lines = 0;
    }
    if (has_room(size_bytes + 1)) {
        copy_line(line, size_bytes);
    }
    else {
        dropped_lines++;
    }
    if (at_once || !held_for_flush) {
        flush_locked();
    }
    pthread_mutex_unlock(&buffer_lock);
}

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
    append_line(message,
                (flags & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING)) != 0);
    return G_LOG_WRITER_HANDLED;
}

/* Sets the name of this process, which each line bears, and the least
 * important level that is written. Called once, before other threads run. */
void
RsLog_Open(const char *process, enum rs_log_level threshold)
{
    snprintf(process_name, sizeof(process_name), "%s", process);
    threshold_level = threshold;
    g_log_set_writer_func(write_line, NULL, NULL);
}

/* From now on, lines are written by RsLog_Flush(), many at a time; warnings
 * and errors still at once. */
void
RsLog_HoldForFlush(void)
{
    held_for_flush = true;
}

/* Writes the lines that are held, as far as standard output takes them. */
void
RsLog_Flush(void)
{
    pthread_mutex_lock(&buffer_lock);
    if (buffered_bytes > 0) {
        flush_locked();
    }
    pthread_mutex_unlock(&buffer_lock);
}

/* Reads a level's name. Returns 0, or RsError_CORE for an unknown one. */
int
RsLog_ParseLevel(const char *text, enum rs_log_level *level)
{
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (strcmp(text, level_names[i]) == 0) {
            *level = (enum rs_log_level)i;
            return 0;
        }
    }
    return RsError_CORE;
}

/* Tells whether events of this level are written. */
int
RsLog_Enabled(enum rs_log_level level)
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

/* Writes one event. `fields` ends with a field without a name. Text that is
 * not UTF-8 is left out. */
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
