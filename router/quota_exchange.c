#include "router/quota_exchange.h"

#include "core/clock.h"
#include "core/log.h"
#include "router/peer.pb-c.h"
#include "router/router.h"

/* The first byte of a datagram is the tag of its first field, see
 * router/peer.proto. */
#define REQUEST_TAG 0x78
#define GRANT_TAG 0xa0
#define LEDGER_TICK_MS 100
/* With many buckets the ledger ticks less often, so that it takes some 4% of a
 * core at the most: 0.8 us a bucket (router/quota_measure.c). Buckets that are
 * asked for are filled at each answer as well. */
#define BUCKETS_PER_MS 50
/* At most one line in this time tells of refusals. */
#define LOG_EVERY_MS 1000

struct rs_quota_exchange {
    struct rs_quota_exchange_options options;
    struct rs_quota *quota;
    struct rs_quota_ledger *ledger;
    struct rs_routing *config; /* NULL: none yet */
    bool has_limits;           /* a workspace of `config` has a quota */
    bool was_granter;
    bool was_lost;
    /* Number of nodes by the last tick on which this node was not the granter;
     * 0: it has not heard of a granter yet. */
    uint32_t former_nodes;
    uv_timer_t wake; /* asks for tokens when the present call has returned */
    int64_t next_ledger_tick_at_ms;
    int64_t next_log_at_ms;
    uint64_t unlogged; /* refusals since the last line */
    struct rs_quota_counters counters;
};

/* Returns an exchange without a configuration. It lives as long as the
 * process. */
struct rs_quota_exchange *
RsQuotaExchange_New(const struct rs_quota_exchange_options *options)
{
    struct rs_quota_exchange *exchange = g_new0(struct rs_quota_exchange, 1);
    const struct rs_node_bounds *bounds = &options->router->settings->bounds;
    const struct rs_quota_bounds quota_bounds = {
        bounds->quota_window_s, bounds->quota_overage, bounds->quota_slack};
    exchange->options = *options;
    exchange->quota =
        RsQuota_New(&quota_bounds, g_rand_int(options->router->random));
    exchange->ledger = RsQuotaLedger_New(&quota_bounds);
    uv_timer_init(options->router->loop, &exchange->wake);
    exchange->wake.data = exchange;
    return exchange;
}

static void
set_ledger_limits(struct rs_quota_exchange *exchange, int64_t now_ms)
{
    if (exchange->config != NULL) {
        RsQuotaLedger_SetWorkspaces(exchange->ledger,
                                    exchange->config->workspaces,
                                    exchange->config->workspace_count, now_ms);
    }
}

/* Applies a new configuration. Only the granter's ledger needs the limits. */
void
RsQuotaExchange_SetConfig(struct rs_quota_exchange *exchange,
                          struct rs_routing *config, int64_t now_ms)
{
    RsRouting_Release(exchange->config);
    exchange->config = RsRouting_Retain(config);
    exchange->has_limits = false;
    for (size_t i = 0; i < config->workspace_count; i++) {
        exchange->has_limits |= config->workspaces[i].per_s > 0;
    }
    RsQuota_SetWorkspaces(exchange->quota, config->workspaces,
                          config->workspace_count, now_ms);
    if (exchange->was_granter) {
        set_ledger_limits(exchange, now_ms);
    }
}

/* Returns the address of the node that keeps the ledger, as far as it is
 * known, in `address`. Returns false if it is unknown or is this node. */
static bool
find_ledger(const struct rs_quota_exchange *exchange,
            struct sockaddr_in *address)
{
    const struct rs_granter_lease *holder = &exchange->options.granter->holder;
    return holder->peer_host[0] != '\0' &&
           holder->incarnation != exchange->options.incarnation &&
           uv_ip4_addr(holder->peer_host, (int)holder->peer_port, address) ==
               0;
}

static void
apply_grant(struct rs_quota_exchange *exchange,
            const struct rs_quota_grant *grant, int64_t now_ms)
{
    if (RsQuota_ApplyGrant(exchange->quota, grant, now_ms)) {
        RsRequest_RetryWaiting(exchange->options.router, now_ms);
    }
}

static bool
answer(struct rs_quota_exchange *exchange,
       const struct rs_quota_sender *sender,
       const struct rs_quota_request *request, int64_t now_ms,
       struct rs_quota_grant *grant)
{
    if (!exchange->was_granter ||
        !RsGranter_HasAuthority(exchange->options.granter, now_ms) ||
        !RsQuotaLedger_Answer(exchange->ledger, sender, request, now_ms,
                              grant)) {
        return false;
    }
    RsCounter_Add(&exchange->counters.answered, 1);
    for (guint i = 0; i < grant->items->len; i++) {
        RsCounter_Add(
            &exchange->counters.granted,
            g_array_index(grant->items, struct rs_quota_item, i).tokens);
    }
    return true;
}

/* Answers a request of this node with its own ledger. */
static void
ask_own_ledger(struct rs_quota_exchange *exchange,
               const struct rs_quota_request *request, int64_t now_ms)
{
    const struct rs_quota_sender sender = {
        exchange->options.router->settings->node.name,
        exchange->options.incarnation};
    struct rs_quota_grant grant;
    if (answer(exchange, &sender, request, now_ms, &grant)) {
        /* Requests that are retried may lead to another answer, which would
         * replace the items. */
        GArray *items =
            g_array_new(FALSE, FALSE, sizeof(struct rs_quota_item));
        g_array_append_vals(items, grant.items->data, grant.items->len);
        grant.items = items;
        apply_grant(exchange, &grant, now_ms);
        g_array_unref(items);
    }
}

static void
send_request(struct rs_quota_exchange *exchange,
             const struct sockaddr_in *address,
             const struct rs_quota_request *request)
{
    guint count = request->needs->len;
    Rs__Peer__QuotaRequest message = RS__PEER__QUOTA_REQUEST__INIT;
    Rs__Peer__QuotaRequest__Need *needs =
        g_new(Rs__Peer__QuotaRequest__Need, count + 1);
    Rs__Peer__QuotaRequest__Need **list =
        g_new(Rs__Peer__QuotaRequest__Need *, count + 1);
    for (guint i = 0; i < count; i++) {
        const struct rs_quota_need *need =
            &g_array_index(request->needs, struct rs_quota_need, i);
        rs__peer__quota_request__need__init(&needs[i]);
        needs[i].workspace = (char *)need->workspace;
        needs[i].wanted = need->wanted;
        needs[i].own_rate = (float)need->own_rate;
        needs[i].refused = need->refused;
        list[i] = &needs[i];
    }
    message.incarnation = exchange->options.incarnation;
    message.node = exchange->options.router->settings->node.name;
    message.sequence = request->sequence;
    message.answered = request->answered;
    message.needs = list;
    message.n_needs = count;
    exchange->options.send(exchange->options.arg,
                           (const struct sockaddr *)address, &message.base);
    g_free(list);
    g_free(needs);
}

/* Sends the next request for tokens, if one is due. */
static void
ask(struct rs_quota_exchange *exchange, int64_t now_ms)
{
    struct rs_quota_request request;
    struct sockaddr_in address;
    bool is_remote = find_ledger(exchange, &address);
    if (!exchange->has_limits || (!is_remote && !exchange->was_granter)) {
        return;
    }
    RsQuota_SetLedger(exchange->quota,
                      is_remote ? exchange->options.granter->holder.incarnation
                                : exchange->options.incarnation);
    if (!RsQuota_MakeRequest(exchange->quota, now_ms, &request)) {
        return;
    }
    RsCounter_Add(&exchange->counters.asked, 1);
    if (is_remote) {
        send_request(exchange, &address, &request);
    }
    else {
        ask_own_ledger(exchange, &request, now_ms);
    }
}

/* Returns the interned name of a workspace, or NULL if this process has never
 * seen the name in a configuration: what a datagram names must not grow the
 * table of interned strings. */
static const char *
find_name(const char *text)
{
    return g_quark_to_string(g_quark_try_string(text));
}

static void
handle_request(struct rs_quota_exchange *exchange,
               const Rs__Peer__QuotaRequest *message,
               const struct sockaddr *from, int64_t now_ms)
{
    const struct rs_quota_sender sender = {message->node,
                                           message->incarnation};
    struct rs_quota_grant grant;
    GArray *needs = g_array_new(FALSE, FALSE, sizeof(struct rs_quota_need));
    for (size_t i = 0; i < message->n_needs; i++) {
        const struct rs_quota_need need = {
            find_name(message->needs[i]->workspace), message->needs[i]->wanted,
            message->needs[i]->refused, message->needs[i]->own_rate};
        if (need.workspace != NULL && need.own_rate >= 0) {
            g_array_append_val(needs, need);
        }
    }
    const struct rs_quota_request request = {message->sequence,
                                             message->answered, needs};
    if (message->incarnation != 0 &&
        answer(exchange, &sender, &request, now_ms, &grant)) {
        guint count = grant.items->len;
        Rs__Peer__QuotaGrant reply = RS__PEER__QUOTA_GRANT__INIT;
        Rs__Peer__QuotaGrant__Item *items =
            g_new(Rs__Peer__QuotaGrant__Item, count + 1);
        Rs__Peer__QuotaGrant__Item **list =
            g_new(Rs__Peer__QuotaGrant__Item *, count + 1);
        for (guint i = 0; i < count; i++) {
            const struct rs_quota_item *item =
                &g_array_index(grant.items, struct rs_quota_item, i);
            rs__peer__quota_grant__item__init(&items[i]);
            items[i].workspace = (char *)item->workspace;
            items[i].tokens = item->tokens;
            items[i].own_rate = (float)item->own_rate;
            items[i].debt_ms = item->debt_ms;
            list[i] = &items[i];
        }
        reply.incarnation = message->incarnation;
        reply.sequence = message->sequence;
        reply.items = list;
        reply.n_items = count;
        exchange->options.send(exchange->options.arg, from, &reply.base);
        g_free(list);
        g_free(items);
    }
    g_array_unref(needs);
}

static void
handle_grant(struct rs_quota_exchange *exchange,
             const Rs__Peer__QuotaGrant *message, int64_t now_ms)
{
    if (message->incarnation != exchange->options.incarnation) {
        return;
    }
    GArray *items = g_array_new(FALSE, FALSE, sizeof(struct rs_quota_item));
    for (size_t i = 0; i < message->n_items; i++) {
        const struct rs_quota_item item = {
            find_name(message->items[i]->workspace), message->items[i]->tokens,
            message->items[i]->own_rate, message->items[i]->debt_ms};
        if (item.workspace != NULL && item.own_rate >= 0) {
            g_array_append_val(items, item);
        }
    }
    const struct rs_quota_grant grant = {message->sequence, items};
    apply_grant(exchange, &grant, now_ms);
    g_array_unref(items);
}

/* Handles a datagram if it is a message of quotas, and returns whether it is.
 */
bool
RsQuotaExchange_HandleDatagram(struct rs_quota_exchange *exchange,
                               const uint8_t *data, size_t size_bytes,
                               const struct sockaddr *from, int64_t now_ms)
{
    if (size_bytes == 0 || (data[0] != REQUEST_TAG && data[0] != GRANT_TAG)) {
        return false;
    }
    if (data[0] == REQUEST_TAG) {
        Rs__Peer__QuotaRequest *message =
            rs__peer__quota_request__unpack(NULL, size_bytes, data);
        if (message != NULL) {
            handle_request(exchange, message, from, now_ms);
            rs__peer__quota_request__free_unpacked(message, NULL);
        }
        return true;
    }
    Rs__Peer__QuotaGrant *message =
        rs__peer__quota_grant__unpack(NULL, size_bytes, data);
    if (message != NULL) {
        handle_grant(exchange, message, now_ms);
        rs__peer__quota_grant__free_unpacked(message, NULL);
    }
    return true;
}

/* Notices when this node becomes the granter or ceases to be. */
static void
track_granter(struct rs_quota_exchange *exchange, int64_t now_ms)
{
    const struct rs_router *router = exchange->options.router;
    const struct rs_granter *granter = exchange->options.granter;
    bool is_granter = RsGranter_HasAuthority(granter, now_ms);
    bool had_granter = router->share.ranked > 0;
    if (is_granter && !exchange->was_granter) {
        RsQuotaLedger_Start(exchange->ledger, exchange->former_nodes, now_ms);
        set_ledger_limits(exchange, now_ms);
        RsLog_EVENT(RsLog_INFO, "quota_ledger_started",
                    RsLog_NUMBER("former_nodes", exchange->former_nodes));
    }
    if (!is_granter) {
        const struct rs_granter_lease *holder = &granter->holder;
        bool other = holder->incarnation != exchange->options.incarnation;
        exchange->former_nodes =
            MAX(had_granter ? router->share.nodes : 0,
                other ? holder->nodes : exchange->former_nodes);
    }
    exchange->was_granter = is_granter;
    RsQuota_SetNodes(exchange->quota, router->share.nodes);
    RsQuotaLedger_SetNodes(exchange->ledger, router->share.nodes);
}

static void
log_lost(struct rs_quota_exchange *exchange, int64_t now_ms)
{
    bool is_lost = RsQuota_IsLost(exchange->quota, now_ms);
    bool has_own = RsQuota_HasOwnRates(exchange->quota);
    if (is_lost && !exchange->was_lost && has_own) {
        RsLog_EVENT(
            RsLog_WARNING, "quota_granter_lost",
            RsLog_TEXT("granter", exchange->options.granter->holder.node));
        exchange->was_lost = true;
    }
    else if (!is_lost && exchange->was_lost) {
        RsLog_EVENT(
            RsLog_INFO, "quota_granter_back",
            RsLog_TEXT("granter", exchange->options.granter->holder.node));
        exchange->was_lost = false;
    }
}

/* Asks for tokens, and does the work of the ledger on the granter. Call it
 * every few tens of milliseconds. */
void
RsQuotaExchange_Tick(struct rs_quota_exchange *exchange, int64_t now_ms)
{
    track_granter(exchange, now_ms);
    if (!exchange->has_limits) {
        return;
    }
    if (exchange->was_granter && now_ms >= exchange->next_ledger_tick_at_ms) {
        size_t buckets = RsQuotaLedger_BucketCount(exchange->ledger);
        exchange->next_ledger_tick_at_ms =
            now_ms + MAX(LEDGER_TICK_MS, (int64_t)buckets / BUCKETS_PER_MS);
        RsQuotaLedger_Tick(exchange->ledger, now_ms);
    }
    ask(exchange, now_ms);
    log_lost(exchange, now_ms);
}

static void
on_wake(uv_timer_t *timer)
{
    ask(timer->data, RsClock_NowMs());
}

/* Takes a token for a request, see RsQuota_Take(). If there is none, the
 * ledger is asked for it soon, but not in this call: with a ledger at this
 * node, that would send other waiting requests. */
enum rs_quota_verdict
RsQuotaExchange_Take(struct rs_quota_exchange *exchange,
                     const struct rs_workspace *workspace,
                     struct rs_quota_claim *claim, int64_t now_ms)
{
    if (workspace == NULL || exchange == NULL) {
        return RsQuota_TAKEN;
    }
    bool was_waiting = claim->waiting;
    enum rs_quota_verdict verdict =
        RsQuota_Take(exchange->quota, workspace, claim, now_ms);
    if (verdict == RsQuota_WAITING && !was_waiting) {
        RsCounter_Add(&exchange->counters.waited, 1);
        uv_timer_start(&exchange->wake, on_wake, 0, 0);
    }
    return verdict;
}

/* Records a refusal, and returns when the caller should come back. */
int64_t
RsQuotaExchange_Refuse(struct rs_quota_exchange *exchange,
                       const struct rs_workspace *workspace, bool is_over,
                       int64_t deadline_ms, int64_t now_ms)
{
    RsCounter_Add(
        is_over ? &exchange->counters.over : &exchange->counters.unknown, 1);
    exchange->unlogged++;
    if (now_ms >= exchange->next_log_at_ms) {
        RsLog_EVENT(RsLog_WARNING, "quota_refused",
                    RsLog_TEXT("workspace", workspace->name),
                    RsLog_TEXT("why", is_over ? "over" : "no granter"),
                    RsLog_NUMBER("refusals", exchange->unlogged));
        exchange->unlogged = 0;
        exchange->next_log_at_ms = now_ms + LOG_EVERY_MS;
    }
    return RsQuota_ComeBackAtMs(exchange->quota, workspace, deadline_ms,
                                now_ms);
}

/* Call it when a request has ended. `not_run`: no target has run it. */
void
RsQuotaExchange_End(struct rs_quota_exchange *exchange,
                    struct rs_quota_claim *claim, bool not_run, int64_t now_ms)
{
    if (exchange == NULL || claim->workspace == NULL) {
        return;
    }
    RsQuota_StopWaiting(exchange->quota, claim);
    if (not_run && claim->token_until_ms > 0) {
        RsCounter_Add(&exchange->counters.returned, 1);
        RsQuota_Return(exchange->quota, claim, now_ms);
    }
}

const struct rs_quota_counters *
RsQuotaExchange_Counters(const struct rs_quota_exchange *exchange)
{
    return &exchange->counters;
}
