#include "standin/worker.h"

#include <math.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "core/clock.h"
#include "standin/worker_state.h"

#define RECORD_CAPACITY 200000
#define LOAD_REPORT_EVERY_MS 1000 /* reported loads are up to this old */
#define NS_PER_MS 1000000

/* Returns the target's own clock in milliseconds: the monotonic clock plus an
 * offset, so that it can differ from the clocks of other processes. */
int64_t
RsWorker_ClockMs(const struct rs_worker *worker)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * RsWorker_MS_PER_S + now.tv_nsec / NS_PER_MS +
           worker->options.clock_offset_ms;
}

/* Stores the load for GET /load, which reports it with a delay. */
static void
sample_load(uv_timer_t *timer)
{
    struct rs_worker *worker = timer->data;
    worker->reported_running = worker->running;
    worker->reported_queued = g_queue_get_length(&worker->waiting);
}

/* Returns a target that has just started, cold and without grants, and that
 * lives until the process ends. The texts and the file of the options must
 * live as long. */
struct rs_worker *
RsWorker_New(const struct rs_worker_options *options, uv_loop_t *loop)
{
    struct rs_worker *worker = g_new0(struct rs_worker, 1);
    uint64_t name_id = RsId_FromName(options->name);
    uint64_t start =
        RsId_Combine((uint64_t)RsClock_WallUs(), (uint64_t)getpid());
    worker->options = *options;
    worker->loop = loop;
    RsId_Format(RsId_Combine(start, name_id), worker->start_id);
    worker->started_at_ms = RsWorker_ClockMs(worker);
    worker->random =
        g_rand_new_with_seed((guint32)RsId_Combine(options->seed, name_id));
    worker->grants = RsGrants_New();
    worker->record = RsRecord_New(RECORD_CAPACITY);
    worker->reservations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    worker->refusals = g_hash_table_new(g_str_hash, g_str_equal);
    worker->faults.slow_factor = 1;
    g_queue_init(&worker->waiting);
    uv_timer_init(loop, &worker->load_timer);
    worker->load_timer.data = worker;
    uv_timer_start(&worker->load_timer, sample_load, LOAD_REPORT_EVERY_MS,
                   LOAD_REPORT_EVERY_MS);
    return worker;
}

/* Returns the reason if the request's deadline, grant or fence doesn't allow
 * it to run at `clock_ms`, or else NULL. */
static const char *
permission_refusal_reason(const struct rs_worker_job *job, int64_t clock_ms)
{
    const struct rs_worker *worker = job->worker;
    if (clock_ms > job->deadline_ms) {
        return "deadline";
    }
    if (!worker->options.checks_fences || worker->options.file_bytes > 0) {
        return NULL;
    }
    if (job->slice_text[0] == '\0') {
        return "no-grant";
    }
    switch (RsGrants_Check(worker->grants, clock_ms, job->holder, job->slice,
                           job->fence)) {
    case RsGrants_GRANTED:
        return NULL;
    case RsGrants_STALE_FENCE:
        return "stale-fence";
    default:
        return "no-grant";
    }
}

/* Counts a refusal and sends it. */
static void
refuse(struct rs_worker_job *job, const char *reason)
{
    GHashTable *refusals = job->worker->refusals;
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(refusals, reason));
    g_hash_table_insert(refusals, (char *)reason, GUINT_TO_POINTER(count + 1));
    job->outcome = "not-run";
    job->reason = reason;
    RsWorker_Answer(job);
}

/* Writes an event to the record file. This happens before the request is
 * answered, so that no event of an answered request is lost when the target is
 * killed. */
static void
write_line(const struct rs_worker *worker, int64_t number,
           const struct rs_record_event *event)
{
    FILE *file = worker->options.record_file;
    json_t *json = RsRecord_EventJson(number, event);
    json_object_set_new(json, "target", json_string(worker->options.name));
    json_object_set_new(json, "start_id", json_string(worker->start_id));
    json_object_set_new(json, "slots", json_integer(worker->options.slots));
    char *line = json_dumps(json, JSON_COMPACT);
    fprintf(file, "%s\n", line);
    fflush(file);
    free(line);
    json_decref(json);
}

static void
record_job(const struct rs_worker_job *job, int64_t end_ms,
           int64_t wall_end_us)
{
    struct rs_record_event event = {.request_id = job->request_id,
                                    .method = job->method,
                                    .service = job->path_service,
                                    .key = job->key,
                                    .holder = job->holder,
                                    .slice = job->slice_text,
                                    .epoch = job->fence.epoch,
                                    .step = job->fence.step,
                                    .start_ms = job->start_ms,
                                    .end_ms = end_ms,
                                    .wall_start_us = job->wall_start_us,
                                    .wall_end_us = wall_end_us,
                                    .effect = job->reason == NULL};
    int64_t number = RsRecord_Append(job->worker->record, &event);
    if (job->worker->options.record_file != NULL) {
        write_line(job->worker, number, &event);
    }
}

/* Counts a POST request for its key. */
static void
reserve(struct rs_worker_job *job)
{
    GHashTable *reservations = job->worker->reservations;
    uint64_t *count = g_hash_table_lookup(reservations, job->path_key);
    if (count == NULL) {
        count = g_new0(uint64_t, 1);
        g_hash_table_insert(reservations, g_strdup(job->path_key), count);
    }
    (*count)++;
    job->count = *count;
}

/* Called when the service time is over. The request takes effect, unless
 * meanwhile its deadline or grant has expired or a higher fence was granted.
 * The wall clock is read before the target's clock, so that if the process is
 * stopped between the two, the expiry is still detected. */
static void
finish_job(uv_timer_t *timer)
{
    struct rs_worker_job *job = timer->data;
    struct rs_worker *worker = job->worker;
    int64_t wall_end_us = RsClock_WallUs();
    int64_t clock_ms = RsWorker_ClockMs(worker);
    job->reason = permission_refusal_reason(job, clock_ms);
    job->outcome = "done";
    if (job->reason != NULL) {
        bool is_late = clock_ms > job->deadline_ms;
        job->outcome = is_late ? "aborted" : "not-run";
    }
    else if (strcmp(job->method, "POST") == 0) {
        reserve(job);
    }
    record_job(job, clock_ms, wall_end_us);
    if (job->reason != NULL || worker->options.file_bytes == 0) {
        RsWorker_Answer(job);
        RsWorker_ReleaseSlot(worker);
        return;
    }
    RsWorker_Answer(job); /* on_stream_disposed() releases the slot */
}

/* Draws a service time. The time is rounded up or down to whole milliseconds
 * at random, so that the mean is kept. */
static uint64_t
draw_service_ms(struct rs_worker *worker)
{
    double mean_us =
        worker->options.service_time_us * worker->faults.slow_factor;
    double drawn_us = mean_us;
    if (worker->options.exponential) {
        drawn_us = -mean_us * log(1 - g_rand_double(worker->random));
    }
    double drawn_ms = drawn_us / RsWorker_US_PER_MS;
    return (uint64_t)(drawn_ms + g_rand_double(worker->random));
}

/* Takes a slot and runs the request for its service time. */
static void
start_job(struct rs_worker_job *job)
{
    struct rs_worker *worker = job->worker;
    job->wall_start_us = RsClock_WallUs();
    job->start_ms = RsWorker_ClockMs(worker);
    worker->running++;
    uv_update_time(worker->loop);
    uv_timer_start(&job->timer, finish_job, draw_service_ms(worker), 0);
}

/* Ends a request whose caller is gone. */
static void
drop_job(struct rs_worker_job *job)
{
    RsStandinServer_DropConnection(job->req);
    RsWorker_CloseJob(job);
}

/* Fills the free slots with waiting requests. Requests whose callers are gone
 * are dropped, and those that may no longer run are refused. */
static void
fill_free_slots(struct rs_worker *worker)
{
    while (worker->running < worker->options.slots) {
        struct rs_worker_job *job = g_queue_pop_head(&worker->waiting);
        if (job == NULL) {
            return;
        }
        if (RsStandinServer_IsCallerGone(job->req)) {
            drop_job(job);
            continue;
        }
        const char *reason =
            permission_refusal_reason(job, RsWorker_ClockMs(worker));
        if (reason != NULL) {
            refuse(job, reason);
            continue;
        }
        start_job(job);
    }
}

/* Releases the slot of a request that has ended and fills the free slots. */
void
RsWorker_ReleaseSlot(struct rs_worker *worker)
{
    g_assert(worker->running > 0);
    worker->running--;
    fill_free_slots(worker);
}

/* Removes the waiting requests whose callers are gone. */
static void
drop_cancelled_jobs(struct rs_worker *worker)
{
    GList *node = worker->waiting.head;
    while (node != NULL) {
        GList *next = node->next;
        struct rs_worker_job *job = node->data;
        if (RsStandinServer_IsCallerGone(job->req)) {
            g_queue_delete_link(&worker->waiting, node);
            drop_job(job);
        }
        node = next;
    }
}

/* Returns whether a cold target already runs as many requests as it can. The
 * limit rises from one request at the start to all slots after `cold_ms`. */
static bool
is_at_cold_limit(const struct rs_worker *worker, int64_t clock_ms)
{
    int64_t cold_ms = worker->options.cold_ms;
    int64_t age_ms = clock_ms - worker->started_at_ms;
    if (age_ms >= cold_ms) {
        return false;
    }
    return worker->running >= 1 + worker->options.slots * age_ms / cold_ms ||
           worker->running >= worker->options.slots;
}

/* Returns the reason if the target's load or state doesn't allow it to accept
 * another request, or else NULL. */
static const char *
load_refusal_reason(struct rs_worker *worker, int64_t clock_ms)
{
    if (worker->draining) {
        return "draining";
    }
    if (worker->faults.refuse) {
        return "busy";
    }
    if (is_at_cold_limit(worker, clock_ms)) {
        return "cold";
    }
    if (g_queue_get_length(&worker->waiting) >= worker->options.queue) {
        drop_cancelled_jobs(worker);
    }
    if (worker->running >= worker->options.slots &&
        g_queue_get_length(&worker->waiting) >= worker->options.queue) {
        return "busy";
    }
    return NULL;
}

/* Runs a request, queues it until a slot is free, or refuses it. Takes over
 * the job. */
void
RsWorker_Admit(struct rs_worker_job *job)
{
    struct rs_worker *worker = job->worker;
    int64_t clock_ms = RsWorker_ClockMs(worker);
    uint32_t in_flight =
        worker->running + g_queue_get_length(&worker->waiting) + 1;
    worker->peak_running_or_waiting =
        MAX(worker->peak_running_or_waiting, in_flight);
    const char *reason = permission_refusal_reason(job, clock_ms);
    if (reason == NULL) {
        reason = load_refusal_reason(worker, clock_ms);
    }
    if (reason != NULL) {
        refuse(job, reason);
        return;
    }
    g_queue_push_tail(&worker->waiting, job);
    fill_free_slots(worker);
}

/* Handles one request, as an rs_standin_server_handler. `arg` is a struct
 * rs_worker. */
void
RsWorker_HandleRequest(void *arg, h2o_req_t *req)
{
    struct rs_worker *worker = arg;
    if (!RsWorker_HandleControl(worker, req)) {
        RsWorker_Admit(RsWorker_NewJob(worker, req));
    }
}
