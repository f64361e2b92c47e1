/* Answers to callers: either the target's answer, forwarded as it arrives, or
 * a refusal. A refusal tells whether a target may have run the request and,
 * with status 503 and 504, when to retry. */

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
    request->next_attempt_at_ms = 0;
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

/* Refuses a request before its first attempt, so no target has run it. */
void
RsFrontReply_Reject(struct rs_front_request *request, int status,
                    const char *reason)
{
    RsCounter_Add(&request->front->counters.rejected, 1);
    finish(request);
    if (status == STATUS_REFUSED) {
        add_retry_headers(request);
    }
    send_refusal(request, status, "not-run", reason);
}

/* Ends a request for which no further attempt is made: with 504 when the
 * outcome is unknown, with 503 when no target ran it. Does nothing if the
 * request is finished. */
void
RsFrontReply_Fail(struct rs_front_request *request, enum rs_outcome outcome)
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

/* Hands the buffered part of the body to the HTTP server, unless the server is
 * still sending the previous piece. Ends the answer when nothing is buffered
 * and the body has ended. */
static void
send_next_piece(struct rs_front_request *request)
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
        if (request->body_broken) {
            RsServer_AbortResponse(request->http);
        }
        else {
            RsServer_EndResponse(request->http);
        }
    }
}

/* Called when the HTTP server has sent a piece: returns its size as
 * flow-control credit and sends the next piece. */
static void
on_proceed(h2o_generator_t *generator, h2o_req_t *http)
{
    struct rs_front_request *request = (struct rs_front_request *)generator;
    uint32_t sent_bytes = request->sending->len;
    g_byte_array_set_size(request->sending, 0);
    if (request->answering != NULL && request->answering->active &&
        sent_bytes > 0) {
        RsFrontAttempt_Credit(request->answering, sent_bytes);
    }
    send_next_piece(request);
}

/* Called when the caller has closed its connection during the answer. */
static void
on_stop(h2o_generator_t *generator, h2o_req_t *http)
{
    struct rs_front_request *request = (struct rs_front_request *)generator;
    if (!request->finished) {
        finish(request);
        RsCounter_Add(&request->front->counters.disconnected, 1);
        RsFrontAttempt_CancelAll(request);
    }
}

/* Sends the head of the target's answer to the caller. */
void
RsFrontReply_SendHead(struct rs_front_request *request,
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
    request->answer_started = true;
    RsServer_StartResponse(http, &request->generator);
}

/* Buffers a piece of the body and sends it to the caller when the HTTP server
 * is ready. `last` marks the final piece. If the answer is incomplete then
 * (`broken`), the connection is closed without the end of the body, so that
 * the caller notices. */
void
RsFrontReply_SendBody(struct rs_front_request *request, const void *data,
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
    send_next_piece(request);
}
