#include "soak/target.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "http/server.h"

#define SLOTS 2
#define QUEUE 8
#define TICK_MS 5
#define REPORT_EVERY_MS 500
#define LAPSE_MS 1500 /* of its row, after its last report */
#define MAX_CONNECTIONS 400
#define MAX_BODY_BYTES (1024 * 1024)
#define CLOCK_SLOW_PERCENT 2
#define LATE_PERCENT 50
#define LATE_LEAST_MS 1000
#define LATE_MOST_MS 5000
#define SPREAD_PERCENT 60 /* of the work of one request, either way */

struct job {
    struct rs_soak_target *target;
    h2o_req_t *http; /* NULL once the server has done with it */
    bool answered;
    uint64_t life;
    char *id;
    uint32_t key;
    bool repeatable;
    bool running;
    int64_t end_ms;
};

/* A release that waits for running work, or an order that comes late. */
struct order {
    h2o_req_t *http;
    uint64_t life;
    bool release;
    int64_t due_ms; /* of a late one */
    int64_t arrived_ms;
    struct rs_check_hold hold;
    int64_t hold_ms;
};

struct rs_soak_target {
    struct rs_soak_target_options options;
    struct rs_server *server;
    struct rs_link_lane *lane;
    uv_timer_t timer;
    GPtrArray *jobs;
    GPtrArray *orders;
    char id[32];
    uint64_t life;
    int64_t born_ms;
    uint64_t sequence;
    int64_t next_report_ms;
    int64_t last_report_ms;
    uint64_t seen_fence[RsCheck_KEYS];
    uint32_t slow;
    bool up;
    bool draining;
    bool late_orders;
    bool reports;
    enum rs_soak_plant plant;
};

/* In the memory of a request, so that its end is known. */
struct slot {
    h2o_req_t **http;
};

static void
on_request_gone(void *memory)
{
    *((struct slot *)memory)->http = NULL;
}

static void
watch_request(h2o_req_t **http)
{
    struct slot *slot =
        h2o_mem_alloc_shared(&(*http)->pool, sizeof(*slot), on_request_gone);
    slot->http = http;
}

/* Returns what a target signs its answer to a request with. */
char *
RsSoakTarget_Signature(const char *request_id)
{
    return g_strdup_printf("%016lx", (unsigned long)RsId_FromName(request_id));
}

static bool
is_open(const struct job *job)
{
    return job->http != NULL && !job->answered;
}

static uint32_t
count_waiting(const struct rs_soak_target *target)
{
    uint32_t count = 0;
    for (guint i = 0; i < target->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(target->jobs, i);
        count += is_open(job) && !job->running;
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

static void
add_load(struct rs_soak_target *target, h2o_req_t *http)
{
    char text[64];
    snprintf(text, sizeof(text), "%u,%u,%d,100", count_running(target),
             count_waiting(target), SLOTS);
    RsServer_AddHeader(http, "x-instance-load", text);
}

static void
refuse(struct rs_soak_target *target, h2o_req_t *http, int status)
{
    char *id = RsServer_Header(http, "x-request-id");
    if (id != NULL) {
        RsServer_AddHeader(http, "x-request-id", id);
    }
    RsServer_AddHeader(http, "x-not-executed", "1");
    RsServer_AddHeader(http, "x-instance-id", target->id);
    add_load(target, http);
    RsServer_Reply(http, status, NULL, "", 0);
    g_free(id);
}

/* Orders. */

static bool
is_stale(const struct rs_soak_target *target, const struct rs_check_hold *hold)
{
    for (uint32_t key = hold->first_key; key <= hold->last_key; key++) {
        if (target->seen_fence[key] > hold->fence) {
            return true;
        }
    }
    return false;
}

/* Returns the status of the answer. */
static int
apply_order(struct rs_soak_target *target, const struct order *order)
{
    int64_t now_ms = RsClock_NowMs();
    struct rs_check_hold hold = order->hold;
    bool stale = !order->release && is_stale(target, &hold);
    for (uint32_t key = hold.first_key; key <= hold.last_key; key++) {
        target->seen_fence[key] = MAX(target->seen_fence[key], hold.fence);
    }
    if (stale) {
        return 409;
    }
    if (order->release) {
        RsCheck_Release(target->options.check, target->options.number,
                        hold.first_key, hold.last_key, now_ms);
        return 200;
    }
    hold.until_ms =
        order->arrived_ms + order->hold_ms * (100 + CLOCK_SLOW_PERCENT) / 100;
    if (now_ms < hold.until_ms) {
        RsCheck_Grant(target->options.check, target->options.number, &hold,
                      now_ms);
    }
    return 200;
}

static bool
has_running_keys(const struct rs_soak_target *target,
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

static struct order *
keep_order(struct rs_soak_target *target, const struct order *order)
{
    struct order *kept = g_new0(struct order, 1);
    *kept = *order;
    g_ptr_array_add(target->orders, kept);
    watch_request(&kept->http);
    return kept;
}

static void
take_order(struct rs_soak_target *target, h2o_req_t *http, bool release)
{
    int64_t now_ms = RsClock_NowMs();
    json_t *body = json_loadb(http->entity.base, http->entity.len, 0, NULL);
    struct order order = {
        .http = http,
        .life = target->life,
        .release = release,
        .arrived_ms = now_ms,
        .hold_ms = json_integer_value(json_object_get(body, "hold_ms")),
        .hold = {.first_key = (uint32_t)json_integer_value(
                     json_object_get(body, "from")),
                 .last_key = (uint32_t)json_integer_value(
                     json_object_get(body, "target")),
                 .fence = (uint64_t)json_integer_value(
                     json_object_get(body, "fence"))},
    };
    json_decref(body);
    if (target->late_orders &&
        g_rand_int_range(target->options.random, 0, 100) < LATE_PERCENT) {
        keep_order(target, &order)->due_ms =
            now_ms + g_rand_int_range(target->options.random, LATE_LEAST_MS,
                                      LATE_MOST_MS);
        return;
    }
    int status = apply_order(target, &order);
    if (release && has_running_keys(target, &order.hold)) {
        keep_order(target, &order);
        return;
    }
    if (release) {
        RsServer_AddHeader(http, "x-handover", "h");
    }
    RsServer_Reply(http, status, NULL, "", 0);
}

static void
tend_orders(struct rs_soak_target *target, int64_t now_ms)
{
    for (guint i = target->orders->len; i > 0; i--) {
        struct order *order = g_ptr_array_index(target->orders, i - 1);
        bool mine = order->life == target->life && target->up;
        if (order->due_ms > 0 && now_ms >= order->due_ms) {
            if (mine) {
                apply_order(target, order);
            }
            order->due_ms = INT64_MAX;
        }
        bool waits = order->due_ms == 0 && order->http != NULL && mine;
        if (waits && !has_running_keys(target, &order->hold)) {
            RsServer_AddHeader(order->http, "x-handover", "h");
            RsServer_Reply(order->http, 200, NULL, "", 0);
            order->due_ms = INT64_MAX;
        }
        if (order->http == NULL &&
            (order->due_ms == 0 || order->due_ms == INT64_MAX)) {
            g_ptr_array_remove_index_fast(target->orders, i - 1);
            g_free(order);
        }
    }
}

/* Requests. */

static uint32_t
work_ms(struct rs_soak_target *target)
{
    int spread = g_rand_int_range(target->options.random, 100 - SPREAD_PERCENT,
                                  100 + SPREAD_PERCENT);
    return target->options.work_ms * target->slow * (uint32_t)spread / 100;
}

static void
start_jobs(struct rs_soak_target *target, int64_t now_ms)
{
    for (guint i = 0; i < target->jobs->len; i++) {
        struct job *job = g_ptr_array_index(target->jobs, i);
        if (job->running || !is_open(job) || job->life != target->life ||
            count_running(target) >= SLOTS) {
            continue;
        }
        if (target->options.sharded &&
            !RsCheck_Holds(target->options.check, target->options.number,
                           job->key, now_ms)) {
            refuse(target, job->http, 421);
            job->answered = true;
            continue;
        }
        job->running = true;
        job->end_ms = now_ms + work_ms(target);
        RsCheck_Run(target->options.check, job->id, job->repeatable, now_ms);
        if (target->plant == RsSoakPlant_TWICE && !job->repeatable) {
            RsCheck_Run(target->options.check, job->id, false, now_ms);
        }
    }
}

static void
answer_job(struct rs_soak_target *target, struct job *job)
{
    char *signature = RsSoakTarget_Signature(job->id);
    char *body = g_strdup_printf("%s %s", job->id, signature);
    if (target->plant == RsSoakPlant_MIXED) {
        body[0] = body[0] == 'x' ? 'y' : 'x';
    }
    RsServer_AddHeader(job->http, "x-request-id", job->id);
    RsServer_AddHeader(job->http, "x-server-signature", signature);
    add_load(target, job->http);
    RsServer_Reply(job->http, 200, "text/plain", body, strlen(body));
    g_free(body);
    g_free(signature);
}

static void
tend_jobs(struct rs_soak_target *target, int64_t now_ms)
{
    for (guint i = target->jobs->len; i > 0; i--) {
        struct job *job = g_ptr_array_index(target->jobs, i - 1);
        bool ended = job->running && now_ms >= job->end_ms;
        bool dead = job->life != target->life;
        if (ended && !dead && is_open(job)) {
            answer_job(target, job);
            job->answered = true;
        }
        job->running = job->running && !ended && !dead;
        if (job->http == NULL && !job->running) {
            g_ptr_array_remove_index(target->jobs, i - 1);
            g_free(job->id);
            g_free(job);
        }
    }
    start_jobs(target, now_ms);
}

static void
take_request(struct rs_soak_target *target, h2o_req_t *http)
{
    char *expected = RsServer_Header(http, "x-target-instance");
    char *id = RsServer_Header(http, "x-request-id");
    char *key = RsServer_Header(http, "x-shard-key");
    if (id == NULL) {
        refuse(target, http, 400);
    }
    else if (expected != NULL && strcmp(expected, target->id) != 0) {
        refuse(target, http, 421);
    }
    else if (count_waiting(target) >= QUEUE) {
        refuse(target, http, 503);
    }
    else {
        struct job *job = g_new0(struct job, 1);
        job->target = target;
        job->http = http;
        watch_request(&job->http);
        job->life = target->life;
        job->id = g_strdup(id);
        job->key = key != NULL ? (uint32_t)strtoul(key, NULL, 10) : 0;
        job->repeatable =
            h2o_memis(http->method.base, http->method.len, H2O_STRLIT("GET"));
        g_ptr_array_add(target->jobs, job);
        start_jobs(target, RsClock_NowMs());
    }
    g_free(expected);
    g_free(id);
    g_free(key);
}

static void
on_request(void *arg, h2o_req_t *http)
{
    struct rs_soak_target *target = arg;
    char *path = RsServer_Path(http);
    char *expected = RsServer_Header(http, "x-target-instance");
    bool is_order =
        strcmp(path, "/grant") == 0 || strcmp(path, "/release") == 0;
    if (is_order && expected != NULL && strcmp(expected, target->id) != 0) {
        refuse(target, http, 421);
    }
    else if (is_order) {
        take_order(target, http, strcmp(path, "/release") == 0);
    }
    else {
        take_request(target, http);
    }
    g_free(expected);
    g_free(path);
}

static void
write_report(struct rs_soak_target *target, int64_t now_ms)
{
    char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"capacity\":%d,\"state\":\"%s\","
        "\"warmup_left_ms\":0,\"sequence\":%lu,\"born\":%ld}",
        target->options.service, target->options.lane_port,
        target->options.zone, SLOTS, target->draining ? "draining" : "ready",
        (unsigned long)++target->sequence, (long)target->born_ms);
    RsSoakStore_Put(target->options.store, "servers", target->id, text);
    target->last_report_ms = now_ms;
    target->next_report_ms = now_ms + REPORT_EVERY_MS;
    g_free(text);
}

static void
on_timer(uv_timer_t *timer)
{
    struct rs_soak_target *target = timer->data;
    int64_t now_ms = RsClock_NowMs();
    tend_jobs(target, now_ms);
    tend_orders(target, now_ms);
    if (target->up && target->reports && now_ms >= target->next_report_ms) {
        write_report(target, now_ms);
    }
    if (target->last_report_ms > 0 &&
        now_ms - target->last_report_ms > LAPSE_MS) {
        RsSoakStore_Drop(target->options.store, "servers", target->id);
        target->last_report_ms = 0;
    }
}

/* Opens a target that is not started yet. Returns NULL when a port can't be
 * had. */
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
        .listen_port = options->lane_port,
        .target_host = "127.0.0.1",
        .target_port = options->port,
        .delay_us = RsLinkRoute_DEFAULT_DELAY,
    };
    target->options = *options;
    target->jobs = g_ptr_array_new();
    target->orders = g_ptr_array_new();
    target->slow = 1;
    target->reports = true;
    uv_ip4_addr("127.0.0.1", options->port, &server.address);
    target->lane = RsLinkLane_New(&route, options->loop);
    if (RsServer_Open(&server, &target->server) != 0 ||
        RsLinkLane_Listen(target->lane) != 0) {
        return NULL;
    }
    uv_timer_init(options->loop, &target->timer);
    target->timer.data = target;
    uv_timer_start(&target->timer, on_timer, TICK_MS, TICK_MS);
    return target;
}

/* Returns the lane through which nodes reach the target. */
struct rs_link_lane *
RsSoakTarget_Lane(const struct rs_soak_target *target)
{
    return target->lane;
}

/* Begins a life; it holds nothing. */
void
RsSoakTarget_Start(struct rs_soak_target *target, bool new_id)
{
    target->life++;
    if (new_id || target->id[0] == '\0') {
        snprintf(target->id, sizeof(target->id), "t%u-%lu",
                 target->options.number, (unsigned long)target->life);
    }
    target->born_ms = MAX(RsClock_WallUs() / 1000, target->born_ms + 1);
    target->sequence = 0;
    target->next_report_ms = 0;
    target->up = true;
    target->draining = false;
    memset(target->seen_fence, 0, sizeof(target->seen_fence));
    RsLinkLane_SetCut(target->lane, false);
    RsCheck_TargetStarts(target->options.check, target->options.number);
}

/* Ends the life without a word. */
void
RsSoakTarget_Crash(struct rs_soak_target *target)
{
    target->life++;
    target->up = false;
    RsCheck_TargetEnds(target->options.check, target->options.number);
    RsLinkLane_Reset(target->lane);
    RsLinkLane_SetCut(target->lane, true);
}

/* Says that the target is about to leave. */
void
RsSoakTarget_Leave(struct rs_soak_target *target)
{
    target->draining = true;
    target->next_report_ms = 0;
}

/* Makes all work take `factor` times as long. */
void
RsSoakTarget_SetSlow(struct rs_soak_target *target, uint32_t factor)
{
    target->slow = factor;
}

/* Leaves half of the orders unanswered, and carries them out late. */
void
RsSoakTarget_SetLateOrders(struct rs_soak_target *target, bool late)
{
    target->late_orders = late;
}

/* Cuts the target off from the store, or not. */
void
RsSoakTarget_SetReports(struct rs_soak_target *target, bool on)
{
    target->reports = on;
}

/* Makes the target break a rule by itself. */
void
RsSoakTarget_Plant(struct rs_soak_target *target, enum rs_soak_plant plant)
{
    target->plant = plant;
    if (plant == RsSoakPlant_OWNER) {
        const struct rs_check_hold hold = {
            .last_key = RsCheck_KEYS - 1,
            .until_ms = RsClock_NowMs() + 1000,
        };
        RsCheck_Grant(target->options.check, target->options.number, &hold,
                      RsClock_NowMs());
    }
}

/* Tells whether the target lives. */
bool
RsSoakTarget_IsUp(const struct rs_soak_target *target)
{
    return target->up;
}
