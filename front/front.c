#include "front/front.h"

#include <string.h>
#include <sys/socket.h>

#include "core/clock.h"
#include "core/log.h"
#include "front/request.h"

#define RELAY_SILENCE_TIMEOUT_MS 600
#define CALLER_CHECK_INTERVAL_MS 50
#define ANSWER_MARGIN_MS 30
#define MAX_ATTEMPTS 8
#define MAX_REDIRECTS 16
#define MAX_ATTEMPTS_WITHOUT_TARGET 64
#define BACKOFF_MS 10
#define MAX_BACKOFF_MS 100
#define BUDGET_BURST 50.0
#define HEDGE_SHARE 0.0 /* no hedges */
#define MIN_HEDGE_MS 20
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

/* Returns the service's retry state and budgets. Creates them on first use. */
static struct rs_retry *
find_budget(struct rs_front *front, const char *service)
{
    struct rs_retry *budget = g_hash_table_lookup(front->budgets, service);
    if (budget != NULL) {
        return budget;
    }
    struct rs_retry_options options = {
        .policy = front->options.retry,
        .seed = front->options.seed,
        .max_tries = MAX_ATTEMPTS,
        .max_redirects = MAX_REDIRECTS,
        .max_routing_refusals = MAX_ATTEMPTS_WITHOUT_TARGET,
        .backoff_ms = BACKOFF_MS,
        .max_backoff_ms = MAX_BACKOFF_MS,
        .budget_share = front->options.retry_share,
        .hedge_share = HEDGE_SHARE,
        .burst = BUDGET_BURST,
        .min_hedge_ms = MIN_HEDGE_MS,
    };
    budget = g_new0(struct rs_retry, 1);
    RsRetry_Init(budget, &options);
    g_hash_table_insert(front->budgets, g_strdup(service), budget);
    return budget;
}

/* Links an HTTP request to the front's record of the request. The HTTP server
 * frees this handle together with its own request. */
struct request_handle {
    struct rs_front_request *request;
};

/* Called when the HTTP server frees its request. The front frees its own
 * record later, because a function of the front that still uses the record may
 * have triggered this call. */
static void
on_request_freed(void *data)
{
    struct request_handle *handle = data;
    struct rs_front_request *request = handle->request;
    struct rs_front *front = request->front;
    if (!request->finished) {
        RsCounter_Add(&front->counters.disconnected, 1);
        request->finished = true;
    }
    RsFrontAttempt_CancelAll(request);
    request->http = NULL;
    g_hash_table_remove(front->requests, request);
    RsCounter_Set(&front->counters.open, g_hash_table_size(front->requests));
    g_queue_push_tail(&front->closed_requests, request);
}

static void
free_request(struct rs_front_request *request)
{
    if (request->forward != NULL) {
        rs__relay__forward__free_unpacked(request->forward, NULL);
    }
    g_byte_array_free(request->body, TRUE);
    g_byte_array_free(request->sending, TRUE);
    g_free(request);
}

static void
free_closed_requests(struct rs_front *front)
{
    struct rs_front_request *request;
    while ((request = g_queue_pop_head(&front->closed_requests)) != NULL) {
        if (request->in_scheduled_queue) {
            g_queue_remove(&front->scheduled_requests, request);
        }
        free_request(request);
    }
}

static struct rs_front_request *
new_request(struct rs_front *front, h2o_req_t *http)
{
    struct rs_front_request *request = g_new0(struct rs_front_request, 1);
    struct request_handle *handle =
        h2o_mem_alloc_shared(&http->pool, sizeof(*handle), on_request_freed);
    handle->request = request;
    request->front = front;
    request->http = http;
    request->body = g_byte_array_new();
    request->sending = g_byte_array_new();
    request->arrived_us = RsClock_NowUs();
    request->next_caller_check_at_ms =
        RsClock_NowMs() + CALLER_CHECK_INTERVAL_MS;
    request->hedge_at_ms = 0;
    g_hash_table_add(front->requests, request);
    RsCounter_Set(&front->counters.open, g_hash_table_size(front->requests));
    return request;
}

/* Tells whether the load balancer may send callers here: false while the
 * process shuts down, before its first snapshot, and while its domain is out
 * or lost. */
static bool
accepts_new_requests(const struct rs_front *front)
{
    if (front->leaving || front->view == NULL) {
        return false;
    }
    const struct rs_model_domain *domain =
        RsConfig_Domain(RsView_Config(front->view), front->domain);
    return domain == NULL || domain->state == RsModel_DOMAIN_IN;
}

static void
answer_health(struct rs_front *front, h2o_req_t *http)
{
    bool accepts = accepts_new_requests(front);
    const char *body =
        accepts ? "{\"state\":\"ok\"}\n" : "{\"state\":\"leaving\"}\n";
    RsServer_Reply(http, accepts ? STATUS_OK : STATUS_UNAVAILABLE,
                   "application/json", body, strlen(body));
}

static void
begin_request(struct rs_front *front, h2o_req_t *http)
{
    struct rs_front_request *request = new_request(front, http);
    const char *reason = "starting";
    int status = STATUS_UNAVAILABLE;
    RsCounter_Add(&front->counters.requests, 1);
    if (front->view != NULL) {
        status = RsFrontParse_Request(front, request, &reason);
    }
    if (status != 0) {
        RsFrontReply_Reject(request, status, reason);
        return;
    }
    request->budget = find_budget(front, request->service);
    RsRetry_BeginRequest(request->budget, &request->retry,
                         request->forward->repeatable, request->forward->keyed,
                         request->deadline_ms);
    RsFrontAttempt_Begin(request, RsClock_NowMs());
}

static void
on_http(void *arg, h2o_req_t *http)
{
    struct rs_front *front = arg;
    if (h2o_memis(http->path.base, http->path.len, H2O_STRLIT("/health"))) {
        answer_health(front, http);
        return;
    }
    begin_request(front, http);
}

/* Runs after each poll for I/O. Sends those of the newly scheduled attempts
 * that are due, so that they need not wait for the next tick, and frees the
 * closed requests. */
static void
on_check(uv_check_t *check)
{
    struct rs_front *front = check->data;
    struct rs_front_request *request;
    int64_t now_ms = RsClock_NowMs();
    guint count = g_queue_get_length(&front->scheduled_requests);
    for (guint i = 0; i < count; i++) {
        request = g_queue_pop_head(&front->scheduled_requests);
        request->in_scheduled_queue = false;
        if (!request->finished && request->next_attempt_at_ms != 0 &&
            request->next_attempt_at_ms <= now_ms) {
            RsFrontAttempt_Begin(request, now_ms);
        }
    }
    free_closed_requests(front);
}

static void
open_tables(struct rs_front *front)
{
    front->requests = g_hash_table_new(NULL, NULL);
    front->hints =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    front->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    front->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&front->closed_requests);
    g_queue_init(&front->scheduled_requests);
}

/* Listens for callers. The front lives as long as the process. Returns 0 or
 * RsServer_LISTEN_FAILED. */
int
RsFront_Open(const struct rs_front_options *options, struct rs_front **out)
{
    struct rs_front *front = g_new0(struct rs_front, 1);
    struct rs_relay_client_options relay = {
        .loop = options->loop,
        .silence_ms = RELAY_SILENCE_TIMEOUT_MS,
    };
    struct rs_server_options server = {
        .loop = options->loop,
        .address = options->address,
        .max_body_bytes = options->max_body_bytes,
        .max_connections = options->max_connections,
        .handler = on_http,
        .arg = front,
    };
    front->options = *options;
    g_strlcpy(front->self, options->self, sizeof(front->self));
    g_strlcpy(front->domain, options->domain, sizeof(front->domain));
    open_tables(front);
    front->relay = RsRelayClient_New(&relay);
    RsChoice_Init(&front->choice, options->choice, options->seed);
    uv_check_init(options->loop, &front->check);
    front->check.data = front;
    uv_check_start(&front->check, on_check);
    *out = front;
    return RsServer_Open(&server, &front->server);
}

/* Routes by this snapshot from now on. Takes over the reference to `view`. */
void
RsFront_SetView(struct rs_front *front, struct rs_view *view)
{
    RsView_Unref(front->view);
    front->view = view;
}

/* Begins a graceful shutdown: the health page reports 503, so that the load
 * balancer stops sending callers here, and each connection closes after its
 * next answer to a request. */
void
RsFront_Leave(struct rs_front *front)
{
    front->leaving = true;
}

/* Accepts no further connections. */
void
RsFront_StopListening(struct rs_front *front)
{
    RsServer_StopListening(front->server);
}

/* Tells whether the caller closed its connection. The HTTP server does not
 * read the connection while a request waits, so peek at the socket. Returns
 * false after a reset of the connection, and while there is unread data. */
static bool
caller_disconnected(const struct rs_front_request *request)
{
    h2o_conn_t *conn = request->http->conn;
    h2o_socket_t *socket = conn->callbacks->get_socket(conn);
    char byte;
    ssize_t size =
        recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0;
}

/* Ends a request whose caller has disconnected. The reply reaches nobody, but
 * makes the HTTP server free the request and close the connection. */
static void
end_abandoned_request(struct rs_front_request *request)
{
    struct rs_front *front = request->front;
    RsCounter_Add(&front->counters.disconnected, 1);
    request->finished = true;
    RsFrontAttempt_CancelAll(request);
    request->http->http1_is_persistent = 0;
    RsServer_Reply(request->http, STATUS_UNAVAILABLE, NULL, "", 0);
}

/* Ends a request that has no answer ANSWER_MARGIN_MS after its deadline. */
static void
fail_expired_request(struct rs_front_request *request)
{
    enum rs_outcome outcome =
        request->retry.may_have_run || request->retry.in_flight > 0
            ? RsOutcome_UNKNOWN
            : RsOutcome_NOT_RUN;
    if (request->last_reason[0] == '\0') {
        g_strlcpy(request->last_reason, "deadline",
                  sizeof(request->last_reason));
    }
    RsFrontReply_Fail(request, outcome);
}

static void
tick_request(struct rs_front_request *request, int64_t now_ms)
{
    if (request->finished || request->answer_started) {
        return;
    }
    if (now_ms >= request->next_caller_check_at_ms) {
        request->next_caller_check_at_ms = now_ms + CALLER_CHECK_INTERVAL_MS;
        if (caller_disconnected(request)) {
            end_abandoned_request(request);
            return;
        }
    }
    if (now_ms > request->deadline_ms + ANSWER_MARGIN_MS) {
        fail_expired_request(request);
    }
    else if (request->next_attempt_at_ms != 0 &&
             now_ms >= request->next_attempt_at_ms) {
        RsFrontAttempt_Begin(request, now_ms);
    }
    else if (request->hedge_at_ms != 0 && now_ms >= request->hedge_at_ms) {
        RsFrontAttempt_Hedge(request, now_ms);
    }
}

/* Runs the timers of the relay links and the targets' health, and does what is
 * due for each request whose answer has not started: sends attempts and
 * hedges, and ends requests that are ANSWER_MARGIN_MS past their deadline or
 * whose caller has disconnected. Call this function every few milliseconds. */
void
RsFront_Tick(struct rs_front *front, int64_t now_ms)
{
    GList *open = g_hash_table_get_keys(front->requests);
    RsRelayClient_Tick(front->relay, now_ms);
    RsFrontRoute_UpdateTargetHealth(front, now_ms);
    for (GList *link = open; link != NULL; link = link->next) {
        tick_request(link->data, now_ms);
    }
    g_list_free(open);
    free_closed_requests(front);
}

/* Returns the number of requests that the HTTP server has not freed. The
 * server frees a request when the answer has been sent or the caller has
 * disconnected. */
size_t
RsFront_CountOpenRequests(const struct rs_front *front)
{
    return g_hash_table_size(front->requests);
}

/* Returns the counters, which any thread may read. */
const struct rs_front_counters *
RsFront_Counters(const struct rs_front *front)
{
    return &front->counters;
}

/* Returns the front's state as a new JSON object. */
json_t *
RsFront_Dump(const struct rs_front *front, int64_t now_ms)
{
    json_t *targets = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, front->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_front_target *target = value;
        json_array_append_new(
            targets,
            json_pack("{s:s,s:s,s:i,s:f}", "name", target->name, "state",
                      RsHealth_StateText(target->health.state), "in_flight",
                      (int)target->in_flight, "latency_us",
                      RsHealth_ExpectedLatencyUs(&target->health, now_ms)));
    }
    return json_pack("{s:i,s:b,s:i,s:o}", "open_requests",
                     (int)g_hash_table_size(front->requests), "leaving",
                     front->leaving, "hints",
                     (int)g_hash_table_size(front->hints), "targets", targets);
}
