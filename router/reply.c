/* What the caller gets: a target's answer as it came, or one of our own that
 * says whether the request was run and when to come back. */

#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "http/server.h"
#include "platform/wire.h"
#include "router/request.h"

#define STATUS_REFUSED 503
#define MS_PER_S 1000.0
/* An answer is held until it is whole or this long, so that one that breaks
 * off early can be asked for once more. */
#define HOLD_BYTES (48 * 1024)
/* The same of an answer whose end is the end of its connection: nothing shows
 * the caller that such an answer broke off. */
#define HOLD_UNFRAMED_BYTES (1024 * 1024)
/* Held for a caller that reads slowly; the target waits beyond it. */
#define MAX_HELD_BYTES (192 * 1024)
#define HTTP_1_0 0x100

static void
add_own_headers(struct rs_request *request)
{
    RsServer_AddHeader(request->http, RsWire_REQUEST_ID, request->id);
    if (request->router->draining) {
        request->http->http1_is_persistent = 0;
    }
}

static void
send_own(struct rs_request *request, int status, const char *outcome,
         const char *reason)
{
    RsAttempt_CancelOthers(request, NULL);
    request->http->res.headers = (h2o_headers_t){0};
    add_own_headers(request);
    if (status == STATUS_REFUSED) {
        char seconds[24];
        int64_t left_ms =
            MAX(request->deadline_ms - RsClock_NowMs(), (int64_t)0);
        uint32_t after_ms =
            RsLoad_RetryAfterMs(left_ms, request->router->random);
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

/* Tells the caller that the request was not run, and when to come back. */
void
RsReply_Refuse(struct rs_request *request, const char *reason)
{
    if (request->may_have_run) {
        RsReply_Fail(request, 502, reason);
        return;
    }
    RsCounter_Add(&request->router->counters.refused, 1);
    send_own(request, STATUS_REFUSED, "not-run", reason);
}

/* Tells the caller that the request may have been run. */
void
RsReply_Fail(struct rs_request *request, int status, const char *reason)
{
    RsCounter_Add(&request->router->counters.failed, 1);
    send_own(request, status, "unknown", reason);
}

/* Tells the caller that the request itself can't be served. */
void
RsReply_Reject(struct rs_request *request, int status, const char *reason)
{
    RsCounter_Add(&request->router->counters.rejected, 1);
    send_own(request, status, "rejected", reason);
}

static void on_proceed(h2o_generator_t *generator, h2o_req_t *http);
static void on_stop(h2o_generator_t *generator, h2o_req_t *http);

static void
start(struct rs_request *request)
{
    request->started = true;
    request->generator.proceed = on_proceed;
    request->generator.stop = on_stop;
    h2o_start_response(request->http, &request->generator);
}

static void
end_response(struct rs_request *request)
{
    h2o_req_t *http = request->http;
    bool broken = request->body_broken;
    RsCounter_Add(broken ? &request->router->counters.failed
                         : &request->router->counters.answered,
                  1);
    RsRequest_Finish(request, http->res.status,
                     broken ? "broken-off" : "answered");
    if (broken) {
        RsServer_BreakOff(http);
    }
    else {
        h2o_send(http, NULL, 0, H2O_SEND_STATE_FINAL);
    }
}

/* Gives the server what there is, one piece at a time. */
static void
pump(struct rs_request *request)
{
    if (!request->started || request->finished || request->sending->len > 0) {
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
    h2o_iovec_t piece =
        h2o_iovec_init((char *)request->sending->data, request->sending->len);
    if (request->body_ended && !request->body_broken) {
        h2o_req_t *http = request->http;
        RsCounter_Add(&request->router->counters.answered, 1);
        /* The server copies nothing; the request's memory is its own. */
        char *copy = h2o_mem_alloc_pool(&http->pool, piece.len);
        memcpy(copy, piece.base, piece.len);
        piece.base = copy;
        RsRequest_Finish(request, http->res.status, "answered");
        h2o_send(http, &piece, 1, H2O_SEND_STATE_FINAL);
        return;
    }
    h2o_send(request->http, &piece, 1, H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *http)
{
    struct rs_request *request = (struct rs_request *)generator;
    if (request->finished) {
        return;
    }
    g_byte_array_set_size(request->sending, 0);
    if (request->paused && request->answering->exchange != NULL) {
        request->paused = false;
        RsExchange_Resume(request->answering->exchange);
    }
    pump(request);
}

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

/* Takes the head of the answer that the caller is to get. */
void
RsReply_TakeHead(struct rs_attempt *attempt, const struct rs_http_head *head)
{
    struct rs_request *request = attempt->request;
    h2o_req_t *http = request->http;
    request->answering = attempt;
    RsAttempt_CancelOthers(request, attempt);
    http->res.status = head->status;
    http->res.reason = "Answer";
    http->res.headers = (h2o_headers_t){0};
    http->res.content_length =
        head->length >= 0 ? (size_t)head->length : SIZE_MAX;
    for (size_t i = 0; i < head->header_count; i++) {
        if (!RsRequest_IsForConnection(head->headers[i].name)) {
            RsServer_AddHeader(http, head->headers[i].name,
                               head->headers[i].value);
        }
    }
    if (request->router->draining) {
        http->http1_is_persistent = 0;
    }
    if (head->length < 0 && !head->chunked) {
        /* The server would add a framing that the answer did not have. */
        request->unframed = true;
        http->version = HTTP_1_0;
        http->http1_is_persistent = 0;
    }
}

/* Takes a piece of that answer's body. */
void
RsReply_TakeBody(struct rs_attempt *attempt, const char *data,
                 size_t size_bytes)
{
    struct rs_request *request = attempt->request;
    if (request->answering != attempt || request->finished) {
        return;
    }
    request->body_bytes += size_bytes;
    g_byte_array_append(request->body, (const guint8 *)data,
                        (guint)size_bytes);
    size_t hold_bytes = request->unframed ? HOLD_UNFRAMED_BYTES : HOLD_BYTES;
    if (!request->started && request->body->len >= hold_bytes) {
        start(request);
    }
    pump(request);
    if (request->started && !request->finished &&
        request->body->len > MAX_HELD_BYTES && !request->paused) {
        request->paused = true;
        RsExchange_Pause(attempt->exchange);
    }
}

/* The answer is whole. */
void
RsReply_End(struct rs_attempt *attempt)
{
    struct rs_request *request = attempt->request;
    request->body_ended = true;
    RsRouter_NoteAnswer(request->router, request->service->name,
                        request->body_bytes);
    if (!request->started) {
        if (request->http->res.content_length == SIZE_MAX &&
            !request->unframed) {
            request->http->res.content_length = request->body->len;
        }
        start(request);
    }
    pump(request);
}

/* The answer broke off. Returns false when the caller has got nothing of it
 * yet; otherwise the caller's connection breaks off too. */
bool
RsReply_Break(struct rs_attempt *attempt)
{
    struct rs_request *request = attempt->request;
    if (request->answering != attempt) {
        return false;
    }
    if (!request->started) {
        request->answering = NULL;
        request->unframed = false;
        request->body_bytes = 0;
        g_byte_array_set_size(request->body, 0);
        return false;
    }
    request->body_ended = true;
    request->body_broken = true;
    pump(request);
    return true;
}
