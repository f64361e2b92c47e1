#include "standin/worker_state.h"

#define RECORD_PAGE_EVENTS 10000

static json_t *
load_body(const h2o_req_t *req)
{
    return json_loadb(req->entity.base, req->entity.len, 0, NULL);
}

/* Applies a grant. Targets that don't check fences have no such endpoint. */
static void
post_grant(struct rs_worker *worker, h2o_req_t *req)
{
    if (!worker->options.checks_fences) {
        RsStandinServer_SendText(req, 404, "{}", 2);
        return;
    }
    json_t *answer = json_object();
    json_t *message = load_body(req);
    int status = RsGrants_Apply(worker->grants, message, answer);
    json_object_set_new(answer, "clock_ms",
                        json_integer(RsWorker_ClockMs(worker)));
    json_object_set_new(answer, "start_id", json_string(worker->start_id));
    json_decref(message);
    RsStandinServer_SendJson(req, status, answer);
}

static void
get_health(struct rs_worker *worker, h2o_req_t *req)
{
    bool reports_draining = worker->draining && !worker->faults.lie_health;
    RsStandinServer_SendJson(req, 200,
                             json_pack("{s:s,s:s,s:I}", "state",
                                       reports_draining ? "draining" : "ok",
                                       "start_id", worker->start_id,
                                       "clock_ms",
                                       (json_int_t)RsWorker_ClockMs(worker)));
}

/* Reports the load as it was up to a second ago, or none with `lie_health`. */
static void
get_load(struct rs_worker *worker, h2o_req_t *req)
{
    bool hides_load = worker->faults.lie_health;
    uint32_t in_flight = hides_load ? 0 : worker->reported_running;
    uint32_t queued = hides_load ? 0 : worker->reported_queued;
    double load = (double)(in_flight + queued) / worker->options.slots;
    RsStandinServer_SendJson(req, 200,
                             json_pack("{s:i,s:i,s:f}", "in_flight",
                                       (int)in_flight, "queued", (int)queued,
                                       "load", load));
}

static void
post_drain(struct rs_worker *worker, h2o_req_t *req)
{
    worker->draining = true;
    get_health(worker, req);
}

static void
get_record(struct rs_worker *worker, h2o_req_t *req)
{
    json_t *answer = RsRecord_Read(
        worker->record, RsStandinServer_QueryInteger(req, "after", 0),
        RECORD_PAGE_EVENTS);
    json_object_set_new(answer, "target", json_string(worker->options.name));
    json_object_set_new(answer, "start_id", json_string(worker->start_id));
    json_object_set_new(answer, "slots", json_integer(worker->options.slots));
    RsStandinServer_SendJson(req, 200, answer);
}

/* Reports the refusals and the most requests that ran or waited at once since
 * the peak was reset, counting each request that arrived even if it was then
 * refused. */
static void
get_state(struct rs_worker *worker, h2o_req_t *req)
{
    GHashTableIter iter;
    gpointer reason;
    gpointer count;
    json_t *refusals = json_object();
    g_hash_table_iter_init(&iter, worker->refusals);
    while (g_hash_table_iter_next(&iter, &reason, &count)) {
        json_object_set_new(refusals, reason,
                            json_integer(GPOINTER_TO_UINT(count)));
    }
    RsStandinServer_SendJson(
        req, 200,
        json_pack("{s:s,s:s,s:I,s:o}", "target", worker->options.name,
                  "start_id", worker->start_id, "peak_in_flight",
                  (json_int_t)worker->peak_running_or_waiting, "refusals",
                  refusals));
}

/* Sets `number` to the member `name` of `body`, if that is an integer. */
static void
read_integer(const json_t *body, const char *name, int64_t *number)
{
    const json_t *value = json_object_get(body, name);
    if (json_is_integer(value)) {
        *number = json_integer_value(value);
    }
}

/* Sets `flag` to the member `name` of `body`, if that is a boolean. */
static void
read_boolean(const json_t *body, const char *name, bool *flag)
{
    const json_t *value = json_object_get(body, name);
    if (json_is_boolean(value)) {
        *flag = json_is_true(value);
    }
}

/* Sets the faults that the body names, and resets the peak on request. */
static void
post_faults(struct rs_worker *worker, h2o_req_t *req)
{
    struct rs_worker_faults *faults = &worker->faults;
    json_t *body = load_body(req);
    const json_t *slow_factor = json_object_get(body, "slow_factor");
    if (json_is_true(json_object_get(body, "reset_peak"))) {
        worker->peak_running_or_waiting = 0;
    }
    if (json_is_number(slow_factor)) {
        faults->slow_factor = json_number_value(slow_factor);
    }
    read_boolean(body, "lie_health", &faults->lie_health);
    read_boolean(body, "refuse", &faults->refuse);
    read_integer(body, "answer_late_ms", &faults->answer_late_ms);
    read_integer(body, "cross_answers", &faults->cross_answers);
    read_integer(body, "short_answers", &faults->short_answers);
    read_integer(body, "double_answers", &faults->double_answers);
    read_integer(body, "wrong_id_answers", &faults->wrong_id_answers);
    json_decref(body);
    RsStandinServer_SendText(req, 200, "{}", 2);
}

/* An endpoint other than those for callers' requests. */
struct endpoint {
    const char *method;
    const char *path;
    void (*handle)(struct rs_worker *worker, h2o_req_t *req);
};

static const struct endpoint endpoints[] = {
    {"POST", "/grant", post_grant},
    {"GET", "/health", get_health},
    {"GET", "/load", get_load},
    {"POST", "/drain", post_drain},
    {"GET", "/standin/record", get_record},
    {"GET", "/standin", get_state},
    {"POST", "/standin", post_faults},
};

/* Handles a request to one of the target's control endpoints. Returns false if
 * the request is for another endpoint, and so is a caller's request. */
bool
RsWorker_HandleControl(struct rs_worker *worker, h2o_req_t *req)
{
    for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
        if (RsStandinServer_Matches(req, endpoints[i].method,
                                    endpoints[i].path)) {
            endpoints[i].handle(worker, req);
            return true;
        }
    }
    return false;
}
