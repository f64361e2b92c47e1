#include "core/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/error.h"

#define LOG_DOMAIN "rattanshed"
#define US_PER_S 1000000

static const char *const level_names[] = {"error", "warning", "info", "debug"};

static char process_name[64] = "";
static _Atomic int threshold_level = RsLog_INFO;

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
    fprintf(stderr, "%s\n", message);
    return G_LOG_WRITER_HANDLED;
}

/* Sets the name of this process, which each line bears, and the least
 * important level that is written. Called once, before other threads run. */
void
RsLog_Open(const char *process, enum rs_log_level threshold)
{
    snprintf(process_name, sizeof(process_name), "%s", process);
    threshold_level = threshold;
    setvbuf(stderr, NULL, _IOLBF, 0);
    g_log_set_writer_func(write_line, NULL, NULL);
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
