/* Log events as JSON lines on standard output, through GLib's structured
 * logging. An event has a stable name and stable field names. Writing never
 * blocks: lines that the reader leaves no room for are dropped, and counted in
 * an event `log_lines_dropped`. */

#ifndef RATTANSHED_CORE_LOG_H
#define RATTANSHED_CORE_LOG_H

#include <stdint.h>

enum rs_log_level {
    RsLog_ERROR,
    RsLog_WARNING,
    RsLog_INFO,
    RsLog_DEBUG
};

/* One field of an event. A field with a NULL text has the number. */
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

/* RsLog_EVENT(level, "event_name", RsLog_TEXT(...), RsLog_NUMBER(...)) */
#define RsLog_EVENT(level, event, ...)                                        \
    do {                                                                      \
        if (RsLog_Enabled(level)) {                                           \
            const struct rs_log_field rs_log_fields[] = {                     \
                __VA_ARGS__ __VA_OPT__(, ){.name = (const char *)0}};         \
            RsLog_Write(level, event, rs_log_fields);                         \
        }                                                                     \
    } while (0)

void RsLog_Open(const char *process, enum rs_log_level threshold);
void RsLog_HoldForFlush(void);
void RsLog_Flush(void);
int RsLog_ParseLevel(const char *text, enum rs_log_level *level);
int RsLog_Enabled(enum rs_log_level level);
void RsLog_Write(enum rs_log_level level, const char *event,
                 const struct rs_log_field *fields);

#endif
