/* Responses to the caller: either a target's response, forwarded without its
 * hop-by-hop headers, or an error response of the router, which says whether
 * the request may have been executed and, with status 503, when to retry. */

#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "http/server.h"
#include "platform/wire.h"
#include "router/quota_exchange.h"
#include "router/request.h"

#define STATUS_UNAUTHORIZED 401
#define STATUS_REFUSED 503
#define STATUS_OVER_QUOTA 429
#define STATUS_BAD_GATEWAY 502
#define MS_PER_S 1000.0
/* A response is buffered until it is complete or has reached this size, so
 * that the request can be retried if the response breaks off early. */
#define MAX_BUFFERED_BYTES (48 * 1024)
/* When more than this is buffered for a caller that reads slowly, reading from
 * the target is paused. */
#define PAUSE_ABOVE_BUFFERED_BYTES (192 * 1024)

static void
add_router_headers(struct rs_request *request)
{
    RsServer_AddHeader(request->http, RsWire_REQUEST_ID, request->id);
    if (RsShutdown_Begun(&request->router->shutdown)) {
        request->http->http1_is_persistent = 0;
    }
}

/* Returns after how many ms a refused caller should come back. With status
 * 429 the return of callers is spread already. */
static uint32_t
retry_after_ms(const struct rs_request *request, int status)
{
    int64_t now_ms = RsClock_NowMs();
    if (status == STATUS_OVER_QUOTA) {
        return (uint32_t)MAX(request->come_back_at_ms - now_ms, (int64_t)1);
    }
    if (request->come_back_at_ms > 0) {
        return RsLoad_RetryAtMs(request->come_back_at_ms, now_ms,
                                request->router->random);
    }
    int64_t left_ms = MAX(request->deadline_ms - now_ms, (int64_t)0);
    return RsLoad_RetryAfterMs(left_ms, request->router->random);
}

/* Cancels the running attempts, sends an error response of the router and
 * finishes the request. Responses with status 503 or 429 carry a retry-after
 * header. */
static void
send_error(struct rs_request *request, int status, const char *outcome,
           const char *reason)
{
    RsAttempt_CancelOthers(request, NULL);
    request->http->res.headers = (h2o_headers_t){0};
    add_router_headers(request);
    if (status == STATUS_UNAUTHORIZED) {
        RsServer_AddHeader(request->http, RsWire_AUTHENTICATE,
                           RsWire_API_KEY_SCHEME);
    }
    if (status == STATUS_REFUSED || status == STATUS_OVER_QUOTA) {
        char seconds[24];
        uint32_t after_ms = retry_after_ms(request, status);
        snprintf(seconds, sizeof(seconds), "%.3f", after_ms / MS_PER_S);
        RsServer_AddHeader(request->http, "retry-after", seconds);
    }
    char *body = g_strdup_printf("{\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
                                 outcome, reason);
    h2o_req_t *http = request->http;
    request->reason = reason;
    RsRequest_Finish(request, status, outcome);
    RsServer_Reply(http, status, "application/json", body, strlen(body));
    g_free(body);
}

/* Responds with 503: the request was not executed and may be retried after the
 * time in the retry-after header. If the request may have been executed,
 * responds with 502 instead. `reason` must be a string literal. */
void
RsReply_Refuse(struct rs_request *request, const char *reason)
{
    if (request->may_have_run) {
        RsReply_Fail(request, STATUS_BAD_GATEWAY, reason);
        return;
    }
    RsCounter_Add(&request->router->counters.refused, 1);
    send_error(request, STATUS_REFUSED, "not-run", reason);
}

/* Refuses a request that has not been sent because its workspace has no token
 * left: with 429 if the workspace is over its quota, or with 503 if no granter
 * answers. */
void
RsReply_RefuseWithoutToken(struct rs_request *request, bool is_over,
                           int64_t now_ms)
{
    request->come_back_at_ms =
        RsQuotaExchange_Refuse(request->router->quotas, request->workspace,
                               is_over, request->deadline_ms, now_ms);
    RsCounter_Add(&request->router->counters.refused, 1);
    send_error(request, is_over ? STATUS_OVER_QUOTA : STATUS_REFUSED,
               "not-run", is_over ? "over-quota" : "quota-unknown");
}

/* Responds with an error status that means that the request may have been
 * executed. `reason` must be a string literal. */
void
RsReply_Fail(struct rs_request *request, int status, const char *reason)
{
    RsCounter_Add(&request->router->counters.failed, 1);
    send_error(request, status, "unknown", reason);
}

/* Responds with a 4xx status: the request is invalid. `reason` must be a
 * string literal. */
void
RsReply_Reject(struct rs_request *request, int status, const char *reason)
{
    RsCounter_Add(&request->router->counters.rejected, 1);
    send_error(request, status, "rejected", reason);
}

static void on_proceed(h2o_generator_t *generator, h2o_req_t *http);
static void on_stop(h2o_generator_t *generator, h2o_req_t *http);

/* Passes the response head to the HTTP server. */
static void
start_response(struct rs_request *request)
{
    request->response_started = true;
    request->generator.proceed = on_proceed;
    request->generator.stop = on_stop;
    if (request->close_delimited &&
        request->http->res.content_length == SIZE_MAX) {
        RsServer_OmitChunks(request->http);
    }
    RsServer_StartResponse(request->http, &request->generator);
}

/* Finishes the request. Ends the response to the caller, or breaks off the
 * connection if the target's response is incomplete. */
static void
end_response(struct rs_request *request)
{
    h2o_req_t *http = request->http;
    bool broken = request->body_aborted;
    RsCounter_Add(broken ? &request->router->counters.failed
                         : &request->router->counters.answered,
                  1);
    RsRequest_Finish(request, http->res.status,
                     broken ? "broken-off" : "answered");
    if (broken) {
        RsServer_AbortResponse(http);
    }
    else {
        RsServer_EndResponse(http);
    }
}

/* Frees the buffers if their memory is worth it. The HTTP server keeps
 * `kept_bytes` until the response is sent. */
static void
release_buffers(struct rs_request *request, size_t kept_bytes)
{
    if (request->held_bytes <= RsServer_ALLOWANCE_BYTES) {
        return;
    }
    g_byte_array_unref(request->body);
    g_byte_array_unref(request->sending);
    request->body = g_byte_array_new();
    request->sending = g_byte_array_new();
    request->held_bytes = kept_bytes;
    RsServer_HoldResponse(request->http, kept_bytes);
}

/* Passes the buffered body to the HTTP server, which takes one chunk at a
 * time, and ends the response when all was sent. Does nothing while the server
 * is sending a chunk. */
static void
send_buffered(struct rs_request *request)
{
    if (!request->response_started || request->finished ||
        request->sending->len > 0) {
        return;
    }
    if (request->body->len == 0) {
        if (request->body_ended) {
            end_response(request);
        }
        return;
    }
    GByteArray *spare = request->sending;
    request->sending = request->body;
    request->body = spare;
    h2o_iovec_t chunk =
        h2o_iovec_init((char *)request->sending->data, request->sending->len);
    if (request->body_ended && !request->body_aborted &&
        !RsServer_EndsWithConnection(request->http)) {
        h2o_req_t *http = request->http;
        RsCounter_Add(&request->router->counters.answered, 1);
        /* The server does not copy the data, so the last chunk must be in
         * memory that belongs to the HTTP request. */
        char *copy = h2o_mem_alloc_pool(&http->pool, chunk.len);
        memcpy(copy, chunk.base, chunk.len);
        chunk.base = copy;
        release_buffers(request, chunk.len);
        RsRequest_Finish(request, http->res.status, "answered");
        h2o_send(http, &chunk, 1, H2O_SEND_STATE_FINAL);
        return;
    }
    h2o_send(request->http, &chunk, 1, H2O_SEND_STATE_IN_PROGRESS);
}

/* Called by the HTTP server when it has sent a chunk. */
static void
on_proceed(h2o_generator_t *generator, h2o_req_t *http)
{
    struct rs_request *request = (struct rs_request *)generator;
    if (request->finished) {
        return;
    }
    RsServer_RecordSent(http, request->sending->len, request->body->len == 0);
    g_byte_array_set_size(request->sending, 0);
    if (request->paused && request->forwarded_attempt->exchange != NULL) {
        request->paused = false;
        RsExchange_Resume(request->forwarded_attempt->exchange);
    }
    send_buffered(request);
}

/* Called by the HTTP server when the caller's connection is closed early. */
static void
on_stop(h2o_generator_t *generator, h2o_req_t *http)
{
    struct rs_request *request = (struct rs_request *)generator;
    if (!request->finished) {
        RsCounter_Add(&request->router->counters.abandoned, 1);
        RsAttempt_CancelOthers(request, NULL);
        RsRequest_Finish(request, 0, "abandoned");
    }
}

/* Accepts the head of the response that is forwarded to the caller, and
 * cancels all other attempts. */
void
RsReply_ForwardHead(struct rs_attempt *attempt,
                    const struct rs_http_head *head)
{
    struct rs_request *request = attempt->request;
    h2o_req_t *http = request->http;
    request->forwarded_attempt = attempt;
    RsAttempt_CancelOthers(request, attempt);
    http->res.status = head->status;
    http->res.reason = "Answer";
    http->res.headers = (h2o_headers_t){0};
    http->res.content_length =
        head->length >= 0 ? (size_t)head->length : SIZE_MAX;
    for (size_t i = 0; i < head->header_count; i++) {
        if (!RsRequest_IsHopByHop(head->headers[i].name)) {
            RsServer_AddHeader(http, head->headers[i].name,
                               head->headers[i].value);
        }
    }
    if (RsShutdown_Begun(&request->router->shutdown)) {
        http->http1_is_persistent = 0;
    }
    request->close_delimited = head->length < 0 && !head->chunked;
}

/* Returns the memory of a buffer, which grows by doubling. */
static size_t
buffer_bytes(const GByteArray *buffer)
{
    return (size_t)1 << g_bit_storage(buffer->len);
}

/* Counts the memory of the buffers, which don't shrink. Returns false if there
 * is none left. */
static bool
hold_buffers(struct rs_request *request)
{
    size_t bytes =
        buffer_bytes(request->body) + buffer_bytes(request->sending);
    request->held_bytes = MAX(request->held_bytes, bytes);
    return request->held_bytes <= RsServer_ALLOWANCE_BYTES ||
           RsServer_HoldResponse(request->http, request->held_bytes);
}

/* Breaks off a response for which there is no memory. If it has not started,
 * responds with 502. The request may be freed. */
static void
drop_response(struct rs_request *request)
{
    struct rs_attempt *attempt = request->forwarded_attempt;
    RsAttempt_CancelOthers(request, NULL);
    if (!RsReply_BreakOff(attempt, "no-memory")) {
        RsReply_Fail(request, STATUS_BAD_GATEWAY, "no-memory");
    }
}

/* Buffers a piece of the response body and forwards it once the response has
 * started. Ignores attempts whose response is not the forwarded one. */
void
RsReply_ForwardBody(struct rs_attempt *attempt, const char *data,
                    size_t size_bytes)
{
    struct rs_request *request = attempt->request;
    if (request->forwarded_attempt != attempt || request->finished) {
        return;
    }
    request->body_bytes += size_bytes;
    g_byte_array_append(request->body, (const guint8 *)data,
                        (guint)size_bytes);
    if (!hold_buffers(request)) {
        drop_response(request);
        return;
    }
    bool is_short = RsServer_IsShortOfMemory(request->http);
    if (!request->response_started &&
        (is_short || request->body->len >= MAX_BUFFERED_BYTES)) {
        start_response(request);
    }
    send_buffered(request);
    if (request->response_started && !request->finished &&
        request->body->len > (is_short ? 0 : PAUSE_ABOVE_BUFFERED_BYTES) &&
        !request->paused) {
        request->paused = true;
        RsExchange_Pause(attempt->exchange);
    }
}

static bool
is_head_request(const struct rs_request *request)
{
    const h2o_iovec_t *method = &request->http->input.method;
    return h2o_memis(method->base, method->len, H2O_STRLIT("HEAD"));
}

/* Marks the forwarded response as complete, and forwards what is left of it.
 */
void
RsReply_Complete(struct rs_attempt *attempt)
{
    struct rs_request *request = attempt->request;
    request->body_ended = true;
    RsRouter_RecordAnswerSize(request->router, request->service->name,
                              request->body_bytes);
    if (!request->response_started) {
        if (request->http->res.content_length == SIZE_MAX &&
            !is_head_request(request)) {
            request->http->res.content_length = request->body->len;
        }
        start_response(request);
    }
    send_buffered(request);
}

/* Handles a response that ended early. If its head was passed to the HTTP
 * server, breaks off the response to the caller and returns true; the request
 * may have been freed then. Otherwise discards what was buffered and returns
 * false; the request can be retried then. */
bool
RsReply_Abort(struct rs_attempt *attempt)
{
    struct rs_request *request = attempt->request;
    if (request->forwarded_attempt != attempt) {
        return false;
    }
    if (!request->response_started) {
        request->forwarded_attempt = NULL;
        request->body_bytes = 0;
        g_byte_array_set_size(request->body, 0);
        return false;
    }
    request->body_ended = true;
    request->body_aborted = true;
    send_buffered(request);
    return true;
}

/* Breaks off a response like RsReply_Abort(), but without waiting until the
 * caller has taken what the HTTP server is sending, in which case its
 * connection is reset and `reason`, a string literal, goes to the log. The
 * request may have been freed when this returns true. */
bool
RsReply_BreakOff(struct rs_attempt *attempt, const char *reason)
{
    struct rs_request *request = attempt->request;
    /* Otherwise RsReply_Abort() ends the response at once. */
    bool is_sending = request->sending->len > 0 || request->body->len > 0;
    if (!RsReply_Abort(attempt)) {
        return false;
    }
    if (is_sending) {
        request->reason = reason;
        RsServer_DropConnection(request->http);
    }
    return true;
}
