#include "standin/record.h"

#include <glib.h>

struct rs_record {
    struct rs_record_event *events; /* event n at (n - 1) modulo capacity */
    size_t capacity;
    size_t allocated; /* length of `events` */
    int64_t last;     /* number of the newest event, 0 when there is none */
};

/* Returns an empty record that holds at most `capacity` events. The caller
 * frees it with RsRecord_Free(). */
struct rs_record *
RsRecord_New(size_t capacity)
{
    struct rs_record *record = g_new0(struct rs_record, 1);
    g_assert(capacity > 0);
    record->capacity = capacity;
    return record;
}

/* Frees an event's texts. They share one allocation, which starts at
 * `request_id`. */
static void
free_texts(struct rs_record_event *event)
{
    g_free((char *)event->request_id);
}

/* Frees the record and its events. */
void
RsRecord_Free(struct rs_record *record)
{
    for (size_t i = 0; i < record->allocated; i++) {
        free_texts(&record->events[i]);
    }
    g_free(record->events);
    g_free(record);
}

/* Copies a text to `*at`, moves `*at` past it and returns the copy. */
static const char *
copy_text(char **at, const char *text)
{
    const char *copy = *at;
    *at = g_stpcpy(*at, text) + 1;
    return copy;
}

static void
copy_event(struct rs_record_event *copy, const struct rs_record_event *event)
{
    size_t size_bytes = strlen(event->request_id) + strlen(event->method) +
                        strlen(event->service) + strlen(event->key) +
                        strlen(event->holder) + strlen(event->slice) + 6;
    char *at = g_malloc(size_bytes);
    *copy = *event;
    copy->request_id = copy_text(&at, event->request_id);
    copy->method = copy_text(&at, event->method);
    copy->service = copy_text(&at, event->service);
    copy->key = copy_text(&at, event->key);
    copy->holder = copy_text(&at, event->holder);
    copy->slice = copy_text(&at, event->slice);
}

static void
grow(struct rs_record *record)
{
    size_t allocated = MIN(MAX(record->allocated * 2, 64), record->capacity);
    record->events =
        g_renew(struct rs_record_event, record->events, allocated);
    memset(record->events + record->allocated, 0,
           (allocated - record->allocated) * sizeof(*record->events));
    record->allocated = allocated;
}

/* Adds a copy of an event. Returns its number; the first event is number 1. */
int64_t
RsRecord_Append(struct rs_record *record, const struct rs_record_event *event)
{
    size_t index = (size_t)record->last % record->capacity;
    if (index == record->allocated) {
        grow(record);
    }
    free_texts(&record->events[index]);
    copy_event(&record->events[index], event);
    return ++record->last;
}

/* Returns the JSON of an event, as in the answer of /standin/record. The
 * caller frees it. */
json_t *
RsRecord_EventJson(int64_t number, const struct rs_record_event *event)
{
    json_t *json = json_object();
    json_object_set_new(json, "n", json_integer(number));
    json_object_set_new(json, "request_id", json_string(event->request_id));
    json_object_set_new(json, "method", json_string(event->method));
    json_object_set_new(json, "service", json_string(event->service));
    json_object_set_new(json, "key", json_string(event->key));
    json_object_set_new(json, "slice", json_string(event->slice));
    json_object_set_new(json, "epoch", json_integer((json_int_t)event->epoch));
    json_object_set_new(json, "step", json_integer((json_int_t)event->step));
    json_object_set_new(json, "holder", json_string(event->holder));
    json_object_set_new(json, "start_ms", json_integer(event->start_ms));
    json_object_set_new(json, "end_ms", json_integer(event->end_ms));
    json_object_set_new(json, "wall_start_us",
                        json_integer(event->wall_start_us));
    json_object_set_new(json, "wall_end_us", json_integer(event->wall_end_us));
    json_object_set_new(json, "effect", json_boolean(event->effect));
    return json;
}

/* Returns `{"events","last","overflowed"}`, which the caller frees, with at
 * most `limit` events numbered above `after`. `last` is the number of the
 * newest event in the record. `overflowed` is true once any event was
 * dropped. */
json_t *
RsRecord_Read(const struct rs_record *record, int64_t after, size_t limit)
{
    json_t *events = json_array();
    int64_t first = MAX(record->last - (int64_t)record->capacity, 0) + 1;
    int64_t n = MAX(after + 1, first);
    for (; n <= record->last && json_array_size(events) < limit; n++) {
        size_t index = (size_t)(n - 1) % record->capacity;
        json_array_append_new(events,
                              RsRecord_EventJson(n, &record->events[index]));
    }
    return json_pack("{s:o,s:I,s:b}", "events", events, "last",
                     (json_int_t)record->last, "overflowed", first > 1);
}
