/* What a caller gets: the target's own answer as it streams in, or a refusal
 * that says whether the request was run and when to come back. */

#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "front/request.h"

#define STATUS_REFUSED 503
#define STATUS_UNKNOWN 504
#define DEFAULT_RETRY_AFTER_MS 200
#define MS_PER_S 1000

static void
add_common_headers(struct rs_front_request *request, const char *outcome)
{
    RsServer_AddHeader(request->http, "x-request-id", request->request_id);
    RsServer_AddHeader(request->http, "x-outcome", outcome);
    if (request->front->leaving) {
        request->http->http1_is_persistent = 0;
    }
}

static void
add_retry_headers(struct rs_front_request *request)
{
    char text[24];
    uint32_t after_ms = request->retry_after_ms;
    if (after_ms == 0) {
        after_ms = DEFAULT_RETRY_AFTER_MS;
    }
    snprintf(text, sizeof(text), "%u", after_ms);
    RsServer_AddHeader(request->http, "x-retry-after-ms", text);
    snprintf(text, sizeof(text), "%u", (after_ms + MS_PER_S - 1) / MS_PER_S);
    RsServer_AddHeader(request->http, "retry-after", text);
}

static void
finish(struct rs_front_request *request)
{
    request->finished = true;
    request->next_try_ms = 0;
    request->hedge_at_ms = RsClock_NEVER_MS;
}

static void
send_refusal(struct rs_front_request *request, int status, const char *outcome,
             const char *reason)
{
    char *body = g_strdup_printf(
        "{\"outcome\":\"%s\",\"reason\":\"%s\",\"request_id\":\"%s\"}\n",
        outcome, reason, request->request_id);
    add_common_headers(request, outcome);
    RsServer_AddHeader(request->http, "x-reason", reason);
    RsServer_Reply(request->http, status, "application/json", body,
                   strlen(body));
    g_free(body);
}

/* Answers a request that can't be passed on as it is. Nothing was run. */
void
RsFrontReply_Bad(struct rs_front_request *request, int status,
                 const char *reason)
{
    RsCounter_Add(&request->front->counters.bad, 1);
    finish(request);
    if (status == STATUS_REFUSED) {
        add_retry_headers(request);
    }
    send_refusal(request, status, "not-run", reason);
}

/* Gives the final answer to a request that is given up. */
void
RsFrontReply_Refuse(struct rs_front_request *request, enum rs_outcome outcome)
{
    struct rs_front *front = request->front;
    bool unknown = outcome == RsOutcome_UNKNOWN;
    if (request->finished) {
        return;
    }
    finish(request);
    RsFrontAttempt_CancelAll(request);
    RsCounter_Add(
        unknown ? &front->counters.unknown : &front->counters.not_run, 1);
    RsLog_EVENT(RsLog_DEBUG, "request_refused",
                RsLog_TEXT("request_id", request->request_id),
                RsLog_TEXT("reason", request->last_reason),
                RsLog_NUMBER("unknown", unknown));
    add_retry_headers(request);
    send_refusal(request, unknown ? STATUS_UNKNOWN : STATUS_REFUSED,
                 unknown ? "unknown" : "not-run", request->last_reason);
}

static void
pump(struct rs_front_request *request)
{
    if (request->sending->len > 0 || request->http == NULL ||
        request->finished) {
        return;
    }
    if (request->body->len > 0) {
        GByteArray *spare = request->sending;
        request->sending = request->body;
        request->body = spare;
        h2o_iovec_t piece = h2o_iovec_init((char *)request->sending->data,
                                           request->sending->len);
        h2o_send(request->http, &piece, 1, H2O_SEND_STATE_IN_PROGRESS);
        return;
    }
    if (request->body_ended) {
        finish(request);
        h2o_send(request->http, NULL, 0,
                 request->body_broken ? H2O_SEND_STATE_ERROR
                                      : H2O_SEND_STATE_FINAL);
    }
}

/* The server took all that it was given. */
static void
on_proceed(h2o_generator_t *generator, h2o_req_t *http)
{
    struct rs_front_request *request = (struct rs_front_request *)generator;
    uint32_t taken = request->sending->len;
    g_byte_array_set_size(request->sending, 0);
    if (request->answering != NULL && request->answering->active &&
        taken > 0) {
        RsFrontAttempt_Credit(request->answering, taken);
    }
    pump(request);
}

/* The caller is gone. */
static void
on_stop(h2o_generator_t *generator, h2o_req_t *http)
{
    struct rs_front_request *request = (struct rs_front_request *)generator;
    if (!request->finished) {
        finish(request);
        RsCounter_Add(&request->front->counters.left, 1);
        RsFrontAttempt_CancelAll(request);
    }
}

/* Passes the head of the target's answer on. */
void
RsFrontReply_Head(struct rs_front_request *request,
                  const Rs__Relay__AnswerHead *head)
{
    h2o_req_t *http = request->http;
    http->res.status = (int)head->status;
    http->res.reason = "OK";
    if (head->length >= 0) {
        http->res.content_length = (size_t)head->length;
    }
    for (size_t i = 0; i < head->n_headers; i++) {
        RsServer_AddHeader(http, head->headers[i]->name,
                           head->headers[i]->value);
    }
    add_common_headers(request, "done");
    request->generator.proceed = on_proceed;
    request->generator.stop = on_stop;
    request->started = true;
    h2o_start_response(http, &request->generator);
}

/* Passes a piece of the body on. The end is given to the caller only when the
 * answer is whole; otherwise the connection breaks off. */
void
RsFrontReply_Body(struct rs_front_request *request, const void *data,
                  size_t size, bool last, bool broken)
{
    if (request->finished) {
        return;
    }
    if (size > 0) {
        g_byte_array_append(request->body, data, (guint)size);
    }
    if (last) {
        request->body_ended = true;
        request->body_broken = broken;
        RsCounter_Add(broken ? &request->front->counters.broken
                             : &request->front->counters.answered,
                      1);
    }
    pump(request);
}
