#include "router/orders.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/exchange.h"
#include "router/target_probe.h"

/* Targets respond to a grant immediately. */
#define GRANT_TIMEOUT_MS 500
/* Unless a target has answered on a connection this recently, it is asked
 * first whether it takes requests there. A grant that a target doesn't answer
 * may arrive late, so its keys can't move for a while. */
#define MAX_SILENCE_MS 100
/* Targets respond to a release when all work on its keys has ended. */
#define RELEASE_TIMEOUT_MS 2500
#define MAX_ANSWER_BYTES 65536
#define MAX_ACTIVE_ORDERS 3 /* orders in progress at one target */
/* An order that has waited this long in its queue fails as not sent; the
 * granter sends an order for its range again. */
#define QUEUE_TIMEOUT_MS 800

#define ORDER_ID_BYTES 48

/* The orders to one target. */
struct queue {
    uv_timer_t timer;
    GQueue waiting;         /* struct order_call */
    uint32_t active;        /* orders in progress */
    uint32_t active_grants; /* of these */
};

/* An order that waits in a queue or is in progress. */
struct order_call {
    uv_timer_t timer;
    struct queue *queue;
    bool started;
    struct rs_orders *orders;
    struct rs_order order;
    char *handover_copy; /* owned copy of the order's handover */
    char *text;          /* body of the message */
    char id[ORDER_ID_BYTES];
    struct rs_http_header headers[3];
    struct rs_http_request message;
    struct rs_exchange *exchange;
    struct rs_fleet_target *target;
    int64_t target_started_wall_ms; /* of the target's process */
    int status;
    char *handover; /* from the response; NULL if it has none */
};

static void
on_freed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void start_exchange(struct order_call *call);

static void
mark_started(struct order_call *call)
{
    call->queue->active++;
    call->queue->active_grants += !call->order.release;
    call->started = true;
}

/* Returns whether an order should wait for a connection on which a grant is in
 * progress: only open ones may carry it, and targets answer grants at once. */
static bool
waits_for_connection(const struct order_call *call)
{
    return call->order.repeats_fence && call->queue->active_grants > 0 &&
           g_queue_is_empty(&call->target->idle[RsFleet_ORDERS]);
}

/* Starts waiting orders until MAX_ACTIVE_ORDERS are in progress. */
static void
start_queued_orders(uv_timer_t *timer)
{
    struct queue *queue = timer->data;
    while (queue->active < MAX_ACTIVE_ORDERS && queue->waiting.length > 0) {
        struct order_call *next = g_queue_peek_head(&queue->waiting);
        if (waits_for_connection(next)) {
            return;
        }
        g_queue_pop_head(&queue->waiting);
        mark_started(next);
        start_exchange(next);
    }
}

/* Has waiting orders started soon, once a connection whose order has just
 * ended can be used again. */
static void
schedule_start(struct queue *queue)
{
    uv_timer_start(&queue->timer, start_queued_orders, 0, 0);
}

/* Removes an order from its queue and has waiting ones started. */
static void
leave_queue(struct order_call *call)
{
    if (call->started) {
        call->queue->active--;
        call->queue->active_grants -= !call->order.release;
    }
    else {
        g_queue_remove(&call->queue->waiting, call);
    }
    schedule_start(call->queue);
}

/* Reports the result to the granter and frees the call. `status` is the HTTP
 * status or an rs_granter_order_error. */
static void
finish(struct order_call *call, int status)
{
    int64_t now_ms = RsClock_NowMs();
    if (status == RsGranter_NO_CONNECTION) {
        RsCounter_Add(&call->orders->without_connection, 1);
    }
    else if (!RsTargetProbe_RecordAnswer(call->target, status, now_ms)) {
        RsCounter_Add(&call->orders->failed, 1);
        RsReachability_RecordFailure(&call->target->reachability, now_ms);
    }
    leave_queue(call);
    RsGranter_OrderAnswered(call->orders->granter, &call->order, status,
                            call->handover, now_ms);
    RsGranter_Tick(call->orders->granter, now_ms);
    g_free(call->handover);
    g_free(call->handover_copy);
    g_free(call->text);
    uv_close((uv_handle_t *)&call->timer, on_freed);
}

static void
on_head(void *arg, const struct rs_http_head *head)
{
    struct order_call *call = arg;
    struct rs_router *router = call->orders->router;
    const char *id = RsHttp_FindHeader(head, RsWire_REQUEST_ID);
    if (id != NULL && strcmp(id, call->id) != 0) {
        RsLog_EVENT(RsLog_WARNING, "answer_of_another_request",
                    RsLog_TEXT("request_id", call->id),
                    RsLog_TEXT("answer_id", id),
                    RsLog_TEXT("target", call->target->id));
        RsExchange_SkipResponse(call->exchange);
        return;
    }
    call->status = head->status;
    router->has_news |=
        RsNotices_Read(&router->notices, call->target,
                       call->target_started_wall_ms, head, RsClock_NowMs());
    g_free(call->handover);
    call->handover = g_strdup(RsHttp_FindHeader(head, RsWire_HANDOVER));
}

static void
on_body(void *arg, const char *data, size_t size_bytes)
{
}

static void
on_done(void *arg, int error)
{
    struct order_call *call = arg;
    int status = call->status;
    call->order.newest_opening = RsExchange_NewestOpening(call->exchange);
    call->exchange = NULL;
    if (error == RsExchange_NO_CONNECTION) {
        status = RsGranter_NO_CONNECTION;
    }
    else if (error != 0) {
        status = error == RsExchange_NOT_SENT ? RsGranter_NOT_SENT
                                              : RsGranter_UNANSWERED;
    }
    finish(call, status);
}

static const struct rs_exchange_events exchange_events = {
    .head = on_head,
    .body = on_body,
    .done = on_done,
};

/* Returns how long the response to an order may take. */
static int64_t
response_timeout_ms(const struct order_call *call)
{
    return call->order.release ? RELEASE_TIMEOUT_MS : GRANT_TIMEOUT_MS;
}

/* Gives up an order that got no response or could not be sent in time. An
 * order that was sent gets its full response time. */
static void
on_timeout(uv_timer_t *timer)
{
    struct order_call *call = timer->data;
    int64_t now_ms = RsClock_NowMs();
    int64_t sent_at_ms =
        call->exchange != NULL ? RsExchange_SentAtMs(call->exchange) : 0;
    int64_t give_up_at_ms = sent_at_ms + response_timeout_ms(call);
    if (sent_at_ms != 0 && now_ms < give_up_at_ms) {
        uv_timer_start(timer, on_timeout, (uint64_t)(give_up_at_ms - now_ms),
                       0);
        return;
    }
    if (call->exchange != NULL) {
        bool silent = RsExchange_IsSilent(call->exchange);
        call->order.newest_opening = RsExchange_NewestOpening(call->exchange);
        RsExchange_Cancel(call->exchange);
        if (silent) {
            RsExchange_CloseIdle(call->target);
        }
    }
    finish(call, sent_at_ms != 0 ? RsGranter_UNANSWERED : RsGranter_NOT_SENT);
}

/* Returns the longest silence of a target on a connection on which an order is
 * sent without asking first. Targets that tell their load answer at once when
 * asked. Others answer once they have room, which takes too long. */
static uint32_t
max_silence_ms(const struct rs_fleet_target *target)
{
    return target->load_at_ms > 0 ? MAX_SILENCE_MS : 0;
}

static void
start_exchange(struct order_call *call)
{
    struct rs_router *router = call->orders->router;
    call->headers[0] =
        (struct rs_http_header){"content-type", "application/json"};
    /* Lets a target that has taken over the address recognize that the order
     * is not meant for it. */
    call->headers[1] =
        (struct rs_http_header){RsWire_TARGET_ID, call->order.target_id};
    /* Targets send the id back. A second response to an earlier order may come
     * late, on the same connection. */
    call->headers[2] = (struct rs_http_header){RsWire_REQUEST_ID, call->id};
    call->text = call->order.release ? RsWire_FormatRelease(&call->order.grant)
                                     : RsWire_FormatGrant(&call->order.grant);
    call->message = (struct rs_http_request){
        .method = "POST",
        .path = call->order.release ? RsWire_RELEASE_PATH : RsWire_GRANT_PATH,
        .headers = call->headers,
        .header_count = G_N_ELEMENTS(call->headers),
        .body = call->text,
        .body_bytes = strlen(call->text),
    };
    const struct rs_service *service =
        router->config != NULL
            ? RsRouting_FindService(router->config, call->order.service)
            : NULL;
    const struct rs_exchange_options options = {
        .loop = router->loop,
        .paths = &router->paths,
        .tunnel_port = RsRouter_TunnelPort(router),
        .only_target = true,
        .target = call->target,
        .use = RsFleet_ORDERS,
        .opening_path = service != NULL ? service->health_path : NULL,
        .max_silence_ms = max_silence_ms(call->target),
        .only_open = call->order.repeats_fence,
        .newest_opening = call->order.newest_opening,
        .send_before_ms = call->order.send_before_ms,
        .max_connections = MAX_ACTIVE_ORDERS,
        .max_body_bytes = MAX_ANSWER_BYTES,
        .request = &call->message,
        .events = &exchange_events,
        .arg = call,
    };
    /* An order must be sent before the granter's authority ends. */
    int64_t now_ms = RsClock_NowMs();
    bool has_authority = RsGranter_HasAuthority(call->orders->granter, now_ms);
    int64_t left_ms =
        has_authority ? MAX(call->order.send_before_ms - now_ms, (int64_t)0)
                      : 0;
    uv_timer_start(&call->timer, on_timeout,
                   (uint64_t)MIN(response_timeout_ms(call), left_ms), 0);
    if (left_ms == 0) {
        return;
    }
    call->target_started_wall_ms = call->target->report.started_wall_ms;
    call->exchange = RsExchange_Start(&options);
}

/* Returns the queue of a target, whose id must be interned; creates it if
 * there is none. */
static struct queue *
get_or_create_queue(struct rs_orders *orders, const char *target_id)
{
    struct queue *queue = g_hash_table_lookup(orders->queues, target_id);
    if (queue == NULL) {
        queue = g_new0(struct queue, 1);
        g_queue_init(&queue->waiting);
        uv_timer_init(orders->router->loop, &queue->timer);
        queue->timer.data = queue;
        g_hash_table_insert(orders->queues, (gpointer)target_id, queue);
    }
    return queue;
}

/* Initializes the sender of a granter's orders. `router` and `granter` must
 * outlive it. */
void
RsOrders_Init(struct rs_orders *orders, struct rs_router *router,
              struct rs_granter *granter)
{
    *orders = (struct rs_orders){.router = router, .granter = granter};
    orders->queues = g_hash_table_new(g_direct_hash, g_direct_equal);
}

/* Queues an order, which is copied; its strings other than the handover must
 * be interned. The result is passed to RsGranter_OrderAnswered() later, never
 * during this call. */
void
RsOrders_Send(struct rs_orders *orders, const struct rs_order *order)
{
    struct order_call *call = g_new0(struct order_call, 1);
    call->orders = orders;
    call->order = *order;
    call->handover_copy = g_strdup(order->grant.handover);
    call->order.grant.handover = call->handover_copy;
    call->target = RsFleet_Find(&orders->router->fleet, order->target_id);
    RsCounter_Add(&orders->sent, 1);
    snprintf(call->id, sizeof(call->id), "order-%" PRIx64 "-%" PRIu64,
             orders->granter->options.incarnation,
             RsCounter_Read(&orders->sent));
    uv_timer_init(orders->router->loop, &call->timer);
    call->timer.data = call;
    call->queue = get_or_create_queue(orders, order->target_id);
    g_queue_push_tail(&call->queue->waiting, call);
    if (call->target == NULL || (call->target->replaced && !order->release)) {
        /* The target's address is unknown, or another target has it now, so
         * the timer ends the order as not sent. A release is sent: whoever
         * runs at the address tells whether the target has ended. */
        static struct rs_fleet_target unknown_target;
        call->target = &unknown_target;
        uv_timer_start(&call->timer, on_timeout, 0, 0);
        g_queue_remove(&call->queue->waiting, call);
        mark_started(call);
        return;
    }
    uv_timer_start(&call->timer, on_timeout, QUEUE_TIMEOUT_MS, 0);
    schedule_start(call->queue);
}
