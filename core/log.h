/* Writes log events as JSON lines to standard output through GLib's structured
 * logging. Event names and field names are stable. Logging doesn't wait for
 * the reader of standard output: lines that don't fit in the buffer are
 * dropped, and a `log_lines_dropped` event gives their number once there is
 * room. */

#ifndef RATTANSHED_CORE_LOG_H
#define RATTANSHED_CORE_LOG_H

#include <stdint.h>

#include "core/error.h"

enum rs_log_error {
    RsLog_UNKNOWN_LEVEL = RsError_CORE
};

enum rs_log_level {
    RsLog_ERROR,
    RsLog_WARNING,
    RsLog_INFO,
    RsLog_DEBUG
};

/* One field of an event. Its value is `text`, or `number` if `text` is NULL.
 */
struct rs_log_field {
    const char *name;
    const char *text;
    int64_t number;
};

#define RsLog_TEXT(field_name, value)                                         \
    {                                                                         \
        .name = (field_name), .text = (value)                                 \
    }
#define RsLog_NUMBER(field_name, value)                                       \
    {                                                                         \
        .name = (field_name), .number = (int64_t)(value)                      \
    }

/* Writes an event if its level is enabled; the fields are evaluated only
 * then: RsLog_EVENT(level, "event_name", RsLog_TEXT(...), RsLog_NUMBER(...))
 */
#define RsLog_EVENT(level, event, ...)                                        \
    do {                                                                      \
        if (RsLog_IsEnabled(level)) {                                         \
            const struct rs_log_field rs_log_fields[] = {                     \
                __VA_ARGS__ __VA_OPT__(, ){.name = (const char *)0}};         \
            RsLog_Write(level, event, rs_log_fields);                         \
        }                                                                     \
    } while (0)

void RsLog_Open(const char *process, enum rs_log_level threshold);
void RsLog_DeferWrites(void);
void RsLog_Flush(void);
int RsLog_ParseLevel(const char *text, enum rs_log_level *level);
int RsLog_IsEnabled(enum rs_log_level level);
void RsLog_Write(enum rs_log_level level, const char *event,
                 const struct rs_log_field *fields);

#endif
