#include "soak/target.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "http/server.h"
#include "soak/workspaces.h"

#define MAX_RUNNING_JOBS 2
#define MAX_QUEUED_JOBS 8
#define TICK_MS 5
#define REPORT_EVERY_MS 500
/* The target's row in the store is deleted this long after the last report. */
#define REPORT_TTL_MS 1500
#define MAX_CONNECTIONS 400
#define MAX_BODY_BYTES (64 * 1024 * 1024)
/* Emulates a slow clock: a target keeps a hold this much longer than the order
 * states. */
#define CLOCK_SLOW_PERCENT 2
#define LATE_ORDER_PERCENT 50
#define LATE_ORDER_MIN_MS 1000
#define LATE_ORDER_MAX_MS 5000
#define RESTART_AFTER_MS 1000  /* after a request that crashed the target */
#define WORK_SPREAD_PERCENT 60 /* of the mean duration, up or down */

/* Special values of an order's `due_at_ms`. */
#define WAITS_FOR_REQUESTS 0
#define ORDER_HANDLED INT64_MAX

/* A request that has not ended or is still running. */
struct job {
    struct rs_soak_target *target;
    h2o_req_t *http; /* NULL once the request has ended */
    bool response_sent;
    uint64_t incarnation;
    char *id;
    uint32_t key;
    bool idempotent;
    bool deadly; /* crashes the target that runs it */
    bool running;
    int64_t end_at_ms;
};

/* An order (a grant or release) from a node that has not been answered: either
 * a release that waits until the requests for its keys have finished, or an
 * order that is applied late and never answered. */
struct order {
    h2o_req_t *http;
    uint64_t incarnation;
    bool release;
    int64_t due_at_ms; /* when a late order is applied; WAITS_FOR_REQUESTS for
                          a release that is not late, ORDER_HANDLED once
                          nothing more is to be done */
    int64_t arrived_at_ms;
    struct rs_check_hold hold;
    int64_t hold_ms;
};

struct rs_soak_target {
    struct rs_soak_target_options options;
    struct rs_server *server;
    struct rs_link_proxy *proxy;
    uv_timer_t timer;
    GPtrArray *jobs;
    GPtrArray *orders;
    char id[32];
    uint64_t incarnation;
    int64_t started_wall_ms;
    uint64_t sequence; /* of the last report */
    int64_t next_report_at_ms;
    int64_t last_report_at_ms; /* 0 before the first report and once the row
                                  has been deleted */
    uint64_t highest_fence[RsCheck_KEYS];
    uint32_t slowdown_factor;
    bool up;
    bool draining;
    bool late_orders;
    bool reporting;
    bool says_leaving;    /* in its responses */
    char retry_after[16]; /* if not empty, all requests are refused with it */
    char limit[16];       /* if not empty, all responses state it */
    GArray *arrivals;     /* int64_t: when each request came */
    char *workspace;      /* that the last request came for; empty: none */
    uint32_t credentials_count; /* requests that came with credentials */
    uint32_t deadly_runs;
    int64_t restart_at_ms; /* after a deadly request; 0: none */
    enum rs_soak_violation violation;
};

/* Part of the memory pool of a request; h2o disposes of it when the request
 * ends, which calls on_request_disposed(). */
struct request_watch {
    h2o_req_t **http;
};

static void
on_request_disposed(void *memory)
{
    *((struct request_watch *)memory)->http = NULL;
}

/* Makes `*http` NULL when the request ends. */
static void
watch_request(h2o_req_t **http)
{
    struct request_watch *request_watch = h2o_mem_alloc_shared(
        &(*http)->pool, sizeof(*request_watch), on_request_disposed);
    request_watch->http = http;
}

/* Returns the signature that a target puts into its response to a request. The
 * caller frees it with g_free(). */
char *
RsSoakTarget_Signature(const char *request_id)
{
    return g_strdup_printf("%016lx", (unsigned long)RsId_FromName(request_id));
}

static bool
needs_response(const struct job *job)
{
    return job->http != NULL && !job->response_sent;
}

/* Returns how many requests wait at the present process of the target. Those
 * of an earlier process stay until their connections end. */
static uint32_t
count_queued(const struct rs_soak_target *target)
{
    uint32_t count = 0;
    for (guint i = 0; i < target->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(target->jobs, i);
        count += needs_response(job) && !job->running &&
                 job->incarnation == target->incarnation;
    }
    return count;
}

static uint32_t
count_running(const struct rs_soak_target *target)
{
    uint32_t count = 0;
    for (guint i = 0; i < target->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(target->jobs, i);
        count += job->running;
    }
    return count;
}

/* Adds the headers in which the target speaks of itself: its load, unless it
 * hides that, and, if it is leaving or limited, that it is. */
static void
add_notices(struct rs_soak_target *target, h2o_req_t *http)
{
    char text[64];
    if (target->says_leaving) {
        RsServer_AddHeader(http, "server-leaving", "1");
    }
    if (target->limit[0] != '\0') {
        RsServer_AddHeader(http, "server-limit", target->limit);
    }
    if (!target->options.hides_load) {
        snprintf(text, sizeof(text), "%u,%u,%d,100", count_running(target),
                 count_queued(target), MAX_RUNNING_JOBS);
        RsServer_AddHeader(http, "x-instance-load", text);
    }
}

/* Answers that a request was not executed. */
static void
reject(struct rs_soak_target *target, h2o_req_t *http, int status)
{
    char *id = RsServer_Header(http, "x-request-id");
    if (id != NULL) {
        RsServer_AddHeader(http, "x-request-id", id);
    }
    RsServer_AddHeader(http, "x-not-executed", "1");
    RsServer_AddHeader(http, "x-instance-id", target->id);
    add_notices(target, http);
    RsServer_Reply(http, status, NULL, "", 0);
    g_free(id);
}

/* Returns whether a key of `hold` has been seen with a higher fence. */
static bool
is_stale(const struct rs_soak_target *target, const struct rs_check_hold *hold)
{
    for (uint32_t key = hold->first_key; key <= hold->last_key; key++) {
        if (target->highest_fence[key] > hold->fence) {
            return true;
        }
    }
    return false;
}

/* Applies a grant or a release, or refuses a grant whose fence is lower than
 * one seen for its keys. Returns the HTTP status of the response. */
static int
apply_order(struct rs_soak_target *target, const struct order *order)
{
    int64_t now_ms = RsClock_NowMs();
    struct rs_check_hold hold = order->hold;
    bool stale = !order->release && is_stale(target, &hold);
    for (uint32_t key = hold.first_key; key <= hold.last_key; key++) {
        target->highest_fence[key] =
            MAX(target->highest_fence[key], hold.fence);
    }
    if (stale) {
        return 409;
    }
    if (order->release) {
        RsCheck_RecordRelease(target->options.check, target->options.number,
                              hold.first_key, hold.last_key, now_ms);
        return 200;
    }
    hold.until_ms = order->arrived_at_ms +
                    order->hold_ms * (100 + CLOCK_SLOW_PERCENT) / 100;
    if (now_ms < hold.until_ms) {
        RsCheck_RecordGrant(target->options.check, target->options.number,
                            &hold, now_ms);
    }
    return 200;
}

static bool
has_running_requests(const struct rs_soak_target *target,
                     const struct rs_check_hold *hold)
{
    for (guint i = 0; i < target->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(target->jobs, i);
        if (job->running && hold->first_key <= job->key &&
            job->key <= hold->last_key) {
            return true;
        }
    }
    return false;
}

/* Keeps a copy of an order that is not answered now. */
static struct order *
defer_order(struct rs_soak_target *target, const struct order *order)
{
    struct order *deferred = g_new0(struct order, 1);
    *deferred = *order;
    g_ptr_array_add(target->orders, deferred);
    watch_request(&deferred->http);
    return deferred;
}

/* Handles a grant or a release. A release is answered once no request for its
 * keys is running. If orders are to be late, some are instead applied later
 * and never answered. */
static void
handle_order(struct rs_soak_target *target, h2o_req_t *http, bool release)
{
    int64_t now_ms = RsClock_NowMs();
    json_t *body = json_loadb(http->entity.base, http->entity.len, 0, NULL);
    struct order order = {
        .http = http,
        .incarnation = target->incarnation,
        .release = release,
        .arrived_at_ms = now_ms,
        .hold_ms = json_integer_value(json_object_get(body, "hold_ms")),
        .hold = {.first_key = (uint32_t)json_integer_value(
                     json_object_get(body, "from")),
                 .last_key = (uint32_t)json_integer_value(
                     json_object_get(body, "target")),
                 .fence = (uint64_t)json_integer_value(
                     json_object_get(body, "fence"))},
    };
    json_decref(body);
    if (target->late_orders && g_rand_int_range(target->options.random, 0,
                                                100) < LATE_ORDER_PERCENT) {
        defer_order(target, &order)->due_at_ms =
            now_ms + g_rand_int_range(target->options.random,
                                      LATE_ORDER_MIN_MS, LATE_ORDER_MAX_MS);
        return;
    }
    int status = apply_order(target, &order);
    if (release && has_running_requests(target, &order.hold)) {
        defer_order(target, &order);
        return;
    }
    if (release) {
        RsServer_AddHeader(http, "x-handover", "h");
    }
    RsServer_Reply(http, status, NULL, "", 0);
}

/* Applies late orders that are due, answers releases whose requests have
 * finished, and frees orders that need nothing more. */
static void
process_orders(struct rs_soak_target *target, int64_t now_ms)
{
    for (guint i = target->orders->len; i > 0; i--) {
        struct order *order = g_ptr_array_index(target->orders, i - 1);
        bool current = order->incarnation == target->incarnation && target->up;
        if (order->due_at_ms > 0 && now_ms >= order->due_at_ms) {
            if (current) {
                apply_order(target, order);
            }
            order->due_at_ms = ORDER_HANDLED;
        }
        bool waiting = order->due_at_ms == WAITS_FOR_REQUESTS &&
                       order->http != NULL && current;
        if (waiting && !has_running_requests(target, &order->hold)) {
            RsServer_AddHeader(order->http, "x-handover", "h");
            RsServer_Reply(order->http, 200, NULL, "", 0);
            order->due_at_ms = ORDER_HANDLED;
        }
        if (order->http == NULL && (order->due_at_ms == WAITS_FOR_REQUESTS ||
                                    order->due_at_ms == ORDER_HANDLED)) {
            g_ptr_array_remove_index_fast(target->orders, i - 1);
            g_free(order);
        }
    }
}

/* Returns a random duration for one request. */
static uint32_t
work_ms(struct rs_soak_target *target)
{
    int spread =
        g_rand_int_range(target->options.random, 100 - WORK_SPREAD_PERCENT,
                         100 + WORK_SPREAD_PERCENT);
    return target->options.work_ms * target->slowdown_factor *
           (uint32_t)spread / 100;
}

/* Starts queued requests while fewer than MAX_RUNNING_JOBS are running. A
 * sharded target rejects those whose key it doesn't hold. */
static void
start_jobs(struct rs_soak_target *target, int64_t now_ms)
{
    for (guint i = 0; i < target->jobs->len; i++) {
        struct job *job = g_ptr_array_index(target->jobs, i);
        if (job->running || !needs_response(job) ||
            job->incarnation != target->incarnation ||
            count_running(target) >= MAX_RUNNING_JOBS) {
            continue;
        }
        if (target->options.sharded &&
            !RsCheck_HoldsKey(target->options.check, target->options.number,
                              job->key, now_ms)) {
            reject(target, job->http, 421);
            job->response_sent = true;
            continue;
        }
        job->running = true;
        job->end_at_ms = now_ms + work_ms(target);
        if (job->deadly && target->restart_at_ms == 0) {
            target->deadly_runs++;
            target->restart_at_ms = now_ms + RESTART_AFTER_MS;
        }
        RsCheck_RecordRun(target->options.check, job->id, job->idempotent,
                          now_ms);
        if (target->violation == RsSoakViolation_TWICE && !job->idempotent) {
            RsCheck_RecordRun(target->options.check, job->id, false, now_ms);
        }
    }
}

static void
answer_job(struct rs_soak_target *target, struct job *job)
{
    char *signature = RsSoakTarget_Signature(job->id);
    char *body = g_strdup_printf("%s %s", job->id, signature);
    if (target->violation == RsSoakViolation_MIXED) {
        body[0] = body[0] == 'x' ? 'y' : 'x';
    }
    RsServer_AddHeader(job->http, "x-request-id", job->id);
    RsServer_AddHeader(job->http, "x-server-signature", signature);
    add_notices(target, job->http);
    RsServer_Reply(job->http, 200, "text/plain", body, strlen(body));
    g_free(body);
    g_free(signature);
}

/* Answers finished requests, frees those that need nothing more, and starts
 * queued ones. */
static void
process_jobs(struct rs_soak_target *target, int64_t now_ms)
{
    for (guint i = target->jobs->len; i > 0; i--) {
        struct job *job = g_ptr_array_index(target->jobs, i - 1);
        bool ended = job->running && now_ms >= job->end_at_ms;
        bool abandoned = job->incarnation != target->incarnation;
        if (ended && !abandoned && needs_response(job)) {
            answer_job(target, job);
            job->response_sent = true;
        }
        job->running = job->running && !ended && !abandoned;
        if (job->http == NULL && !job->running) {
            g_ptr_array_remove_index(target->jobs, i - 1);
            g_free(job->id);
            g_free(job);
        }
    }
    start_jobs(target, now_ms);
}

/* Records for which workspace a request comes, and whether it has credentials.
 * Several workspaces are joined by commas. */
static void
record_identity(struct rs_soak_target *target, h2o_req_t *http, const char *id,
                int64_t now_ms)
{
    struct rs_soak_workspaces *workspaces = target->options.check->workspaces;
    GString *names = g_string_new(NULL);
    bool has_credentials = target->violation == RsSoakViolation_KEY;
    for (size_t i = 0; i < http->headers.size; i++) {
        const h2o_header_t *header = &http->headers.entries[i];
        has_credentials |= h2o_memis(header->name->base, header->name->len,
                                     H2O_STRLIT("authorization"));
        if (h2o_memis(header->name->base, header->name->len,
                      H2O_STRLIT("x-tenant"))) {
            g_string_append(names, names->len > 0 ? "," : "");
            g_string_append_len(names, header->value.base,
                                (gssize)header->value.len);
        }
    }
    g_free(target->workspace);
    target->workspace = g_string_free(names, FALSE);
    target->credentials_count += has_credentials;
    if (workspaces != NULL && id != NULL) {
        RsSoakWorkspaces_RecordArrival(workspaces, id, target->workspace,
                                       has_credentials, now_ms);
    }
}

/* Queues a request and starts it if possible, or rejects it. */
static void
handle_request(struct rs_soak_target *target, h2o_req_t *http,
               const char *path)
{
    char *expected = RsServer_Header(http, "x-target-instance");
    char *id = RsServer_Header(http, "x-request-id");
    char *key = RsServer_Header(http, "x-shard-key");
    int64_t now_ms = RsClock_NowMs();
    g_array_append_val(target->arrivals, now_ms);
    record_identity(target, http, id, now_ms);
    if (id == NULL) {
        reject(target, http, 400);
    }
    else if (target->retry_after[0] != '\0') {
        RsServer_AddHeader(http, "retry-after", target->retry_after);
        reject(target, http, 503);
    }
    else if (expected != NULL && strcmp(expected, target->id) != 0) {
        reject(target, http, 421);
    }
    else if (count_queued(target) >= MAX_QUEUED_JOBS) {
        reject(target, http, 503);
    }
    else {
        struct job *job = g_new0(struct job, 1);
        job->target = target;
        job->http = http;
        watch_request(&job->http);
        job->incarnation = target->incarnation;
        job->id = g_strdup(id);
        job->key = key != NULL ? (uint32_t)strtoul(key, NULL, 10) : 0;
        job->deadly = strcmp(path, RsSoakTarget_DEADLY_PATH) == 0;
        job->idempotent =
            h2o_memis(http->method.base, http->method.len, H2O_STRLIT("GET"));
        g_ptr_array_add(target->jobs, job);
        start_jobs(target, now_ms);
    }
    g_free(expected);
    g_free(id);
    g_free(key);
}

static void
answer_health(const struct rs_soak_target *target, h2o_req_t *http)
{
    RsServer_AddHeader(http, "x-instance-id", target->id);
    RsServer_Reply(http, target->draining ? 503 : 200, NULL, "", 0);
}

static void
on_request(void *arg, h2o_req_t *http)
{
    struct rs_soak_target *target = arg;
    char *path = RsServer_Path(http);
    char *expected = RsServer_Header(http, "x-target-instance");
    bool is_order =
        strcmp(path, "/grant") == 0 || strcmp(path, "/release") == 0;
    bool is_own = is_order || strcmp(path, "/health") == 0;
    if (is_own && expected != NULL && strcmp(expected, target->id) != 0) {
        reject(target, http, 421);
    }
    else if (is_order) {
        handle_order(target, http, strcmp(path, "/release") == 0);
    }
    else if (strcmp(path, "/health") == 0) {
        answer_health(target, http);
    }
    else {
        handle_request(target, http, path);
    }
    g_free(expected);
    g_free(path);
}

/* Writes the target's row to the store. */
static void
write_report(struct rs_soak_target *target, int64_t now_ms)
{
    char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"capacity\":%d,\"state\":\"%s\","
        "\"warmup_left_ms\":0,\"sequence\":%lu,\"born\":%ld}",
        target->options.service, target->options.proxy_port,
        target->options.zone, MAX_RUNNING_JOBS,
        target->draining ? "draining" : "ready",
        (unsigned long)++target->sequence, (long)target->started_wall_ms);
    RsSoakStore_Put(target->options.store, "servers", target->id, text);
    target->last_report_at_ms = now_ms;
    target->next_report_at_ms = now_ms + REPORT_EVERY_MS;
    g_free(text);
}

static void
on_timer(uv_timer_t *timer)
{
    struct rs_soak_target *target = timer->data;
    int64_t now_ms = RsClock_NowMs();
    if (target->up && target->restart_at_ms > 0) {
        RsSoakTarget_Crash(target);
    }
    if (!target->up && target->restart_at_ms > 0 &&
        now_ms >= target->restart_at_ms) {
        RsSoakTarget_Start(target, true);
    }
    process_jobs(target, now_ms);
    process_orders(target, now_ms);
    if (target->up && target->reporting &&
        now_ms >= target->next_report_at_ms) {
        write_report(target, now_ms);
    }
    if (target->last_report_at_ms > 0 &&
        now_ms - target->last_report_at_ms > REPORT_TTL_MS) {
        RsSoakStore_Delete(target->options.store, "servers", target->id);
        target->last_report_at_ms = 0;
    }
}

/* Opens a target without starting it. The target is never freed. Returns NULL
 * if a port is in use. */
struct rs_soak_target *
RsSoakTarget_Open(const struct rs_soak_target_options *options)
{
    struct rs_soak_target *target = g_new0(struct rs_soak_target, 1);
    struct rs_server_options server = {
        .loop = options->loop,
        .max_body_bytes = MAX_BODY_BYTES,
        .max_connections = MAX_CONNECTIONS,
        .handler = on_request,
        .arg = target,
    };
    struct rs_link_route route = {
        .listen_port = options->proxy_port,
        .target_host = "127.0.0.1",
        .target_port = options->port,
        .delay_us = RsLinkRoute_DEFAULT_DELAY,
    };
    target->options = *options;
    target->jobs = g_ptr_array_new();
    target->orders = g_ptr_array_new();
    target->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
    target->workspace = g_strdup("");
    target->slowdown_factor = 1;
    target->reporting = true;
    uv_ip4_addr("127.0.0.1", options->port, &server.address);
    target->proxy = RsLinkProxy_New(&route, options->loop);
    if (RsServer_Open(&server, &target->server) != 0 ||
        RsLinkProxy_Listen(target->proxy) != 0) {
        return NULL;
    }
    uv_timer_init(options->loop, &target->timer);
    target->timer.data = target;
    uv_timer_start(&target->timer, on_timer, TICK_MS, TICK_MS);
    return target;
}

/* Returns the proxy through which nodes connect to the target. */
struct rs_link_proxy *
RsSoakTarget_Proxy(const struct rs_soak_target *target)
{
    return target->proxy;
}

/* Starts a new incarnation of the target, which holds no keys. The target
 * gets a new id if `new_id` is set or if it has had none yet. */
void
RsSoakTarget_Start(struct rs_soak_target *target, bool new_id)
{
    target->incarnation++;
    if (new_id || target->id[0] == '\0') {
        snprintf(target->id, sizeof(target->id), "t%u-%lu",
                 target->options.number, (unsigned long)target->incarnation);
    }
    target->started_wall_ms =
        MAX(RsClock_WallUs() / 1000, target->started_wall_ms + 1);
    target->sequence = 0;
    target->next_report_at_ms = 0;
    target->up = true;
    target->draining = false;
    target->says_leaving = false;
    target->restart_at_ms = 0;
    target->retry_after[0] = '\0';
    target->limit[0] = '\0';
    memset(target->highest_fence, 0, sizeof(target->highest_fence));
    RsLinkProxy_SetCut(target->proxy, false);
    RsCheck_RecordTargetStart(target->options.check, target->options.number);
}

/* Ends the target without notice. Closes its connections and lets no bytes
 * pass until the next start. */
void
RsSoakTarget_Crash(struct rs_soak_target *target)
{
    target->incarnation++;
    target->up = false;
    RsCheck_RecordTargetEnd(target->options.check, target->options.number);
    RsLinkProxy_CloseConnections(target->proxy);
    RsLinkProxy_SetCut(target->proxy, true);
}

/* Makes the target report at once that it is draining, without saying so in
 * its responses. */
void
RsSoakTarget_ReportDraining(struct rs_soak_target *target)
{
    target->draining = true;
    write_report(target, RsClock_NowMs());
}

/* Makes the target report that it is draining, and say so in its responses. */
void
RsSoakTarget_Drain(struct rs_soak_target *target)
{
    target->draining = true;
    target->says_leaving = true;
    target->next_report_at_ms = 0;
}

/* Makes requests that start from now on take `factor` times as long. */
void
RsSoakTarget_SetSlowdown(struct rs_soak_target *target, uint32_t factor)
{
    target->slowdown_factor = factor;
}

/* If `late` is set, LATE_ORDER_PERCENT of the orders are applied late and
 * never answered. */
void
RsSoakTarget_SetLateOrders(struct rs_soak_target *target, bool late)
{
    target->late_orders = late;
}

/* Sets whether the target reports to the store. */
void
RsSoakTarget_SetReporting(struct rs_soak_target *target, bool on)
{
    target->reporting = on;
}

/* Makes the target violate a rule, to test that the check detects it.
 * RsSoakViolation_SECOND_OWNER tells the check once that the target holds all
 * keys for 1 s; the others last until RsSoakViolation_NONE is set. */
void
RsSoakTarget_InjectViolation(struct rs_soak_target *target,
                             enum rs_soak_violation violation)
{
    target->violation = violation;
    if (violation == RsSoakViolation_SECOND_OWNER) {
        const struct rs_check_hold hold = {
            .last_key = RsCheck_KEYS - 1,
            .until_ms = RsClock_NowMs() + 1000,
        };
        RsCheck_RecordGrant(target->options.check, target->options.number,
                            &hold, RsClock_NowMs());
    }
}

/* Makes the target say in its responses that it is leaving, but not report it
 * to the store. */
void
RsSoakTarget_SayLeaving(struct rs_soak_target *target)
{
    target->says_leaving = true;
}

/* Makes the target refuse all requests, with this time in seconds to come
 * back. An empty text ends that. */
void
RsSoakTarget_Close(struct rs_soak_target *target, const char *retry_after)
{
    g_strlcpy(target->retry_after, retry_after, sizeof(target->retry_after));
}

/* Returns how many requests, not orders, have reached the target. */
uint64_t
RsSoakTarget_RequestCount(const struct rs_soak_target *target)
{
    return target->arrivals->len;
}

/* Returns the workspace that the last request came for, several being joined
 * by commas; empty: none. */
const char *
RsSoakTarget_Workspace(const struct rs_soak_target *target)
{
    return target->workspace;
}

/* Returns how many requests have reached the target with credentials. */
uint32_t
RsSoakTarget_CredentialsCount(const struct rs_soak_target *target)
{
    return target->credentials_count;
}

/* Returns how many requests for RsSoakTarget_DEADLY_PATH have crashed the
 * target. */
uint32_t
RsSoakTarget_DeadlyRuns(const struct rs_soak_target *target)
{
    return target->deadly_runs;
}

/* Makes the target state a limit in its responses, in requests a second of all
 * nodes together. An empty text ends that. */
void
RsSoakTarget_SetLimit(struct rs_soak_target *target, const char *limit)
{
    g_strlcpy(target->limit, limit, sizeof(target->limit));
}

/* Returns the highest number of requests that reached the target within
 * `window_ms`, counting those that came at `since_ms` or later. */
uint32_t
RsSoakTarget_MostRequestsWithin(const struct rs_soak_target *target,
                                int64_t since_ms, int64_t window_ms)
{
    const int64_t *at_ms = (const int64_t *)(void *)target->arrivals->data;
    uint32_t most = 0;
    guint first = 0;
    for (guint last = 0; last < target->arrivals->len; last++) {
        while (at_ms[first] < since_ms ||
               at_ms[first] <= at_ms[last] - window_ms) {
            if (first == last) {
                break;
            }
            first++;
        }
        most = at_ms[last] >= since_ms ? MAX(most, last - first + 1) : most;
    }
    return most;
}

/* Returns whether the target is running. */
bool
RsSoakTarget_IsUp(const struct rs_soak_target *target)
{
    return target->up;
}
