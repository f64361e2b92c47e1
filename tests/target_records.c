#include "tests/target_records.h"

#include <stdio.h>
#include <string.h>

#include "tests/caller.h"

#define READ_EVERY_MS 100
#define READ_TIMEOUT_MS 250
#define LAST_READ_TIMEOUT_MS 5000

static const char *
get_interned_text(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return g_intern_string(text != NULL ? text : "");
}

static int64_t
get_integer(const json_t *json, const char *name)
{
    return json_integer_value(json_object_get(json, name));
}

static void
add_event(struct rs_cluster *cluster, const json_t *record, const json_t *json)
{
    struct rs_checker_event event = {
        .target = get_interned_text(record, "target"),
        .service = get_interned_text(json, "service"),
        .request_id = get_interned_text(json, "request_id"),
        .method = get_interned_text(json, "method"),
        .key = get_interned_text(json, "key"),
        .slice = get_interned_text(json, "slice"),
        .epoch = (uint64_t)get_integer(json, "epoch"),
        .step = (uint64_t)get_integer(json, "step"),
        .start_us = get_integer(json, "wall_start_us"),
        .end_us = get_integer(json, "wall_end_us"),
        .effect = json_is_true(json_object_get(json, "effect")),
    };
    struct rs_cluster_event *stored = g_new0(struct rs_cluster_event, 1);
    stored->event = event;
    stored->holder = get_interned_text(json, "holder");
    g_ptr_array_add(cluster->events, stored);
}

/* Adds the events of a page of a record. Returns whether there may be more to
 * read. */
static bool
add_page(struct rs_cluster *cluster, struct rs_cluster_target *target,
         const json_t *record)
{
    size_t i;
    const json_t *event;
    const json_t *events = json_object_get(record, "events");
    const char *start_id = get_interned_text(record, "start_id");
    if (strcmp(target->start_id, start_id) != 0) {
        bool is_first = target->start_id[0] == '\0';
        g_strlcpy(target->start_id, start_id, sizeof(target->start_id));
        if (!is_first && target->last_event_number > 0) {
            target->last_event_number = 0;
            return true; /* read the restarted target's record from event 1 */
        }
    }
    json_array_foreach(events, i, event)
    {
        add_event(cluster, record, event);
        target->last_event_number = get_integer(event, "n");
    }
    return json_array_size(events) > 0;
}

static json_t *
read_page(const struct rs_cluster_target *target, int64_t timeout_ms)
{
    json_t *record = NULL;
    char *path = g_strdup_printf("/standin/record?after=%lld",
                                 (long long)target->last_event_number);
    RsCaller_CallApi(target->port, "GET", path, NULL, timeout_ms, &record);
    g_free(path);
    return record;
}

/* Reads the events that a target has recorded since the last call, page by
 * page, holding the cluster's mutex. Returns false when a page can't be
 * read within `timeout_ms` or isn't JSON. */
bool
RsTargetRecords_Read(struct rs_cluster *cluster,
                     struct rs_cluster_target *target, int64_t timeout_ms)
{
    bool has_more = true;
    bool answered = true;
    g_mutex_lock(&cluster->mutex);
    while (has_more) {
        json_t *record = read_page(target, timeout_ms);
        answered = record != NULL;
        has_more = answered && add_page(cluster, target, record);
        json_decref(record);
    }
    g_mutex_unlock(&cluster->mutex);
    return answered;
}

static gpointer
read_records(gpointer arg)
{
    struct rs_cluster *cluster = arg;
    while (g_atomic_int_get(&cluster->reader_must_stop) == 0) {
        for (uint32_t i = 0; i < cluster->target_count; i++) {
            RsTargetRecords_Read(cluster, &cluster->targets[i],
                                 READ_TIMEOUT_MS);
        }
        RsCluster_SleepMs(READ_EVERY_MS);
    }
    return NULL;
}

/* Starts a thread that polls the records of all targets until
 * RsTargetRecords_StopReader(). */
void
RsTargetRecords_StartReader(struct rs_cluster *cluster)
{
    cluster->reader = g_thread_new("records", read_records, cluster);
}

/* Stops the reader thread if it runs, after it has finished its present pass
 * over all targets. */
void
RsTargetRecords_StopReader(struct rs_cluster *cluster)
{
    if (cluster->reader != NULL) {
        g_atomic_int_set(&cluster->reader_must_stop, 1);
        g_thread_join(cluster->reader);
        cluster->reader = NULL;
    }
}

static void
add_to_checker(struct rs_cluster *cluster, struct rs_checker *checker)
{
    for (guint i = 0; i < cluster->events->len; i++) {
        const struct rs_cluster_event *stored =
            g_ptr_array_index(cluster->events, i);
        RsChecker_AddEvent(checker, &stored->event);
    }
    for (guint i = 0; i < cluster->requests->len; i++) {
        const struct rs_caller_request *request =
            g_ptr_array_index(cluster->requests, i);
        struct rs_checker_request reported = {
            .request_id = request->id,
            .method = request->method,
            .outcome = RsLoadAnswer_OutcomeName(request->outcome)};
        RsChecker_AddRequest(checker, &reported);
    }
    for (uint32_t i = 0; i < cluster->target_count; i++) {
        RsChecker_SetSlots(checker, cluster->targets[i].process.name,
                           RsCluster_SLOTS_PER_TARGET);
    }
    if (cluster->records_incomplete) {
        RsChecker_MarkPartial(checker, "");
    }
}

static uint32_t
count_wrong_answers(const struct rs_cluster *cluster)
{
    uint32_t count = 0;
    for (guint i = 0; i < cluster->requests->len; i++) {
        const struct rs_caller_request *request =
            g_ptr_array_index(cluster->requests, i);
        if (request->outcome == RsLoad_WRONG) {
            printf("wrong answer: %s %s of key %s\n", request->method,
                   request->id, request->key);
            count++;
        }
    }
    return count;
}

/* Stops the reader, reads the rest of the records, and checks them and the
 * callers' outcomes for violations of the invariants; wrong answers count
 * too. Prints each violation and returns their number. */
uint32_t
RsTargetRecords_CountViolations(struct rs_cluster *cluster)
{
    struct rs_checker *checker = RsChecker_New();
    RsTargetRecords_StopReader(cluster);
    for (uint32_t i = 0; i < cluster->target_count; i++) {
        struct rs_cluster_target *target = &cluster->targets[i];
        if (target->process.pid != 0 &&
            !RsTargetRecords_Read(cluster, target, LAST_READ_TIMEOUT_MS)) {
            printf("can't read the record of %s\n", target->process.name);
            cluster->records_incomplete = true;
        }
    }
    add_to_checker(cluster, checker);
    const GPtrArray *violations = RsChecker_Run(checker);
    uint32_t count = violations->len;
    for (guint i = 0; i < violations->len; i++) {
        printf("%s\n", (const char *)g_ptr_array_index(violations, i));
    }
    printf("checked %u events and %u requests\n", cluster->events->len,
           cluster->requests->len);
    RsChecker_Free(checker);
    return count + count_wrong_answers(cluster);
}

/* Returns how many requests, of the events read so far, a target started to
 * run after `wall_us`, a time of the wall clock. */
uint32_t
RsTargetRecords_CountStartedAfter(struct rs_cluster *cluster,
                                  const struct rs_cluster_target *target,
                                  int64_t wall_us)
{
    uint32_t count = 0;
    g_mutex_lock(&cluster->mutex);
    for (guint i = 0; i < cluster->events->len; i++) {
        const struct rs_cluster_event *stored =
            g_ptr_array_index(cluster->events, i);
        count += strcmp(stored->event.target, target->process.name) == 0 &&
                 stored->event.start_us > wall_us;
    }
    g_mutex_unlock(&cluster->mutex);
    return count;
}

/* Returns how many times, by the events read so far, the request with this id
 * took effect. */
uint32_t
RsTargetRecords_CountEffects(struct rs_cluster *cluster,
                             const char *request_id)
{
    uint32_t count = 0;
    g_mutex_lock(&cluster->mutex);
    for (guint i = 0; i < cluster->events->len; i++) {
        const struct rs_cluster_event *stored =
            g_ptr_array_index(cluster->events, i);
        count += stored->event.effect &&
                 strcmp(stored->event.request_id, request_id) == 0;
    }
    g_mutex_unlock(&cluster->mutex);
    return count;
}
