#include "dispatch/answer.h"

#include <string.h>

static bool
is_outstanding(const struct rs_answer *answer)
{
    return answer->state == RsAnswer_ASSIGNED ||
           answer->state == RsAnswer_WAITING ||
           answer->state == RsAnswer_IN_BODY;
}

static struct rs_answer_facts
collect_facts(const struct rs_answer *answer, bool complete)
{
    struct rs_answer_facts facts = {
        .written = answer->state != RsAnswer_ASSIGNED,
        .reported_not_run =
            answer->reported_outcome == RsAnswer_REPORTED_NOT_RUN,
        .aborted = answer->reported_outcome == RsAnswer_REPORTED_ABORTED,
        .complete = complete};
    return facts;
}

/* Marks the connection as closed. An outstanding request ends without a
 * complete answer. */
static struct rs_answer_verdict
close_connection(struct rs_answer *answer, enum rs_answer_kind kind)
{
    struct rs_answer_verdict verdict = {.kind = kind, .close = true};
    if (is_outstanding(answer)) {
        struct rs_answer_facts facts = collect_facts(answer, false);
        verdict.finished = true;
        verdict.outcome = RsAnswer_Outcome(&facts);
    }
    answer->state = RsAnswer_STATE_CLOSED;
    return verdict;
}

/* Ends the outstanding request with its complete answer. The connection can
 * not be reused if the request was not fully written. */
static struct rs_answer_verdict
complete(struct rs_answer *answer)
{
    struct rs_answer_facts facts = collect_facts(answer, true);
    struct rs_answer_verdict verdict = {.kind = RsAnswer_COMPLETE,
                                        .close = !answer->fully_written,
                                        .finished = true,
                                        .outcome = RsAnswer_Outcome(&facts)};
    memcpy(answer->last_completed_id, answer->request_id,
           sizeof(answer->last_completed_id));
    answer->state = verdict.close ? RsAnswer_STATE_CLOSED : RsAnswer_IDLE;
    return verdict;
}

/* Returns the outcome of a request. It is NOT_RUN if no byte was written, or
 * if the target itself reported that it was not run or was aborted. Otherwise
 * it is DONE if the answer is complete, and UNKNOWN if not. */
enum rs_outcome
RsAnswer_Outcome(const struct rs_answer_facts *facts)
{
    if (!facts->written || facts->reported_not_run || facts->aborted) {
        return RsOutcome_NOT_RUN;
    }
    return facts->complete ? RsOutcome_DONE : RsOutcome_UNKNOWN;
}

/* Parses the value of `X-Outcome`. Returns RsAnswer_REPORTED_NONE if `text` is
 * NULL or no known value. */
enum rs_answer_reported_outcome
RsAnswer_ParseOutcomeHeader(const char *text)
{
    static const char *const values[] = {
        [RsAnswer_REPORTED_DONE] = "done",
        [RsAnswer_REPORTED_NOT_RUN] = "not-run",
        [RsAnswer_REPORTED_ABORTED] = "aborted"};
    for (int value = RsAnswer_REPORTED_DONE;
         value <= RsAnswer_REPORTED_ABORTED; value++) {
        if (text != NULL && strcmp(text, values[value]) == 0) {
            return (enum rs_answer_reported_outcome)value;
        }
    }
    return RsAnswer_REPORTED_NONE;
}

/* Assigns a request to the connection and copies its id. Returns 0,
 * RsAnswer_BUSY if a request is outstanding, RsAnswer_CLOSED if the connection
 * is closed, or RsAnswer_BAD_ID if the id is empty or too long. */
int
RsAnswer_BeginRequest(struct rs_answer *answer, const char *request_id)
{
    size_t length = strlen(request_id);
    if (answer->state == RsAnswer_STATE_CLOSED) {
        return RsAnswer_CLOSED;
    }
    if (answer->state != RsAnswer_IDLE) {
        return RsAnswer_BUSY;
    }
    if (length == 0 || length >= RsAnswer_ID_BYTES) {
        return RsAnswer_BAD_ID;
    }
    memcpy(answer->request_id, request_id, length + 1);
    answer->state = RsAnswer_ASSIGNED;
    answer->reported_outcome = RsAnswer_REPORTED_NONE;
    answer->fully_written = false;
    return 0;
}

/* Records that bytes of the request are being written; `whole` is set if they
 * include the last one. Must be called before they are passed to the
 * socket. */
void
RsAnswer_RecordWritten(struct rs_answer *answer, bool whole)
{
    if (answer->state == RsAnswer_ASSIGNED) {
        answer->state = RsAnswer_WAITING;
    }
    answer->fully_written = answer->fully_written || whole;
}

/* Marks the connection as closed because of a head that no request waits
 * for. */
static struct rs_answer_verdict
unexpected_head(struct rs_answer *answer, const struct rs_answer_head *head)
{
    bool duplicate = head->request_id != NULL &&
                     strcmp(head->request_id, answer->last_completed_id) == 0;
    return close_connection(answer, duplicate ? RsAnswer_DUPLICATE
                                              : RsAnswer_UNEXPECTED);
}

/* Handles the head of an answer. After PASS_ON, RsAnswer_ReceiveEnd() must
 * follow the last byte of the body, even if there is no body. */
struct rs_answer_verdict
RsAnswer_ReceiveHead(struct rs_answer *answer,
                     const struct rs_answer_head *head)
{
    if (answer->state == RsAnswer_IN_BODY) {
        return close_connection(answer, RsAnswer_TRUNCATED);
    }
    if (answer->state != RsAnswer_WAITING) {
        return unexpected_head(answer, head);
    }
    bool own = head->request_id != NULL &&
               strcmp(head->request_id, answer->request_id) == 0;
    bool same_process =
        answer->start_id == 0 || answer->start_id == head->start_id;
    if (!own || !same_process || head->start_id == 0) {
        return close_connection(answer, RsAnswer_MISMATCH);
    }
    answer->start_id = head->start_id;
    answer->reported_outcome = head->reported_outcome;
    answer->remaining_bytes = head->length_bytes;
    answer->state = RsAnswer_IN_BODY;
    return (struct rs_answer_verdict){.kind = RsAnswer_PASS_ON};
}

/* Handles bytes of a body, or any bytes on an idle connection. */
struct rs_answer_verdict
RsAnswer_ReceiveBody(struct rs_answer *answer, uint64_t size_bytes)
{
    if (answer->state == RsAnswer_IDLE) {
        return close_connection(answer, RsAnswer_DUPLICATE);
    }
    if (answer->state != RsAnswer_IN_BODY) {
        return close_connection(answer, RsAnswer_UNEXPECTED);
    }
    if (answer->remaining_bytes >= 0) {
        if (size_bytes > (uint64_t)answer->remaining_bytes) {
            return close_connection(answer, RsAnswer_DUPLICATE);
        }
        answer->remaining_bytes -= (int64_t)size_bytes;
    }
    return (struct rs_answer_verdict){.kind = RsAnswer_PASS_ON};
}

/* Handles the end of an answer, as the HTTP parser reports it: after the
 * declared length or the last chunk or, if the answer has neither a length nor
 * chunks, when the target closed the connection. Returns COMPLETE; TRUNCATED
 * if bytes of the declared length are missing; or UNEXPECTED if no body was
 * being received. */
struct rs_answer_verdict
RsAnswer_ReceiveEnd(struct rs_answer *answer)
{
    if (answer->state != RsAnswer_IN_BODY) {
        return close_connection(answer, RsAnswer_UNEXPECTED);
    }
    if (answer->remaining_bytes > 0) {
        return close_connection(answer, RsAnswer_TRUNCATED);
    }
    return complete(answer);
}

/* Handles a connection that the target closed or that broke, also while a
 * request was being written. */
struct rs_answer_verdict
RsAnswer_HandleClose(struct rs_answer *answer)
{
    if (is_outstanding(answer)) {
        return close_connection(answer, RsAnswer_TRUNCATED);
    }
    return close_connection(answer, RsAnswer_NO_FAULT);
}

/* Ends the outstanding request without waiting any longer for its answer. The
 * connection must be closed, since the answer may still arrive on it. */
struct rs_answer_verdict
RsAnswer_GiveUp(struct rs_answer *answer)
{
    return close_connection(answer, RsAnswer_NO_FAULT);
}
