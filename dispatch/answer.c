#include "dispatch/answer.h"

#include <string.h>

static bool
outstanding(const struct rs_answer *answer)
{
    return answer->state == RsAnswer_ASSIGNED ||
           answer->state == RsAnswer_WAITING ||
           answer->state == RsAnswer_IN_BODY;
}

static struct rs_answer_facts
facts_now(const struct rs_answer *answer, bool complete)
{
    struct rs_answer_facts facts = {
        .written = answer->state != RsAnswer_ASSIGNED,
        .said_not_run = answer->word == RsAnswer_WORD_NOT_RUN,
        .aborted = answer->word == RsAnswer_WORD_ABORTED,
        .complete = complete};
    return facts;
}

/* Closes the connection; the request on it, if any, ends unanswered. */
static struct rs_answer_verdict
shut(struct rs_answer *answer, enum rs_answer_kind kind)
{
    struct rs_answer_verdict verdict = {.kind = kind, .close = true};
    if (outstanding(answer)) {
        struct rs_answer_facts facts = facts_now(answer, false);
        verdict.finished = true;
        verdict.outcome = RsAnswer_Outcome(&facts);
    }
    answer->state = RsAnswer_SHUT;
    return verdict;
}

static struct rs_answer_verdict
complete(struct rs_answer *answer)
{
    struct rs_answer_facts facts = facts_now(answer, true);
    struct rs_answer_verdict verdict = {.kind = RsAnswer_COMPLETE,
                                        .close = !answer->fully_written,
                                        .finished = true,
                                        .outcome = RsAnswer_Outcome(&facts)};
    memcpy(answer->last_id, answer->request_id, sizeof(answer->last_id));
    answer->state = verdict.close ? RsAnswer_SHUT : RsAnswer_IDLE;
    return verdict;
}

/* Says what is known of a request. Before its first byte was written, "not
 * run" is true; after that only the target's own word makes it true. */
enum rs_outcome
RsAnswer_Outcome(const struct rs_answer_facts *facts)
{
    if (!facts->written || facts->said_not_run || facts->aborted) {
        return RsOutcome_NOT_RUN;
    }
    return facts->complete ? RsOutcome_DONE : RsOutcome_UNKNOWN;
}

/* Reads the value of `X-Outcome`, which may be NULL. */
enum rs_answer_word
RsAnswer_ParseWord(const char *text)
{
    static const char *const words[] = {[RsAnswer_WORD_DONE] = "done",
                                        [RsAnswer_WORD_NOT_RUN] = "not-run",
                                        [RsAnswer_WORD_ABORTED] = "aborted"};
    for (int word = RsAnswer_WORD_DONE; word <= RsAnswer_WORD_ABORTED;
         word++) {
        if (text != NULL && strcmp(text, words[word]) == 0) {
            return (enum rs_answer_word)word;
        }
    }
    return RsAnswer_WORD_NONE;
}

/* Gives the connection a request. Returns 0, RsAnswer_BUSY, RsAnswer_CLOSED
 * or RsAnswer_BAD_ID. */
int
RsAnswer_Begin(struct rs_answer *answer, const char *request_id)
{
    size_t length = strlen(request_id);
    if (answer->state == RsAnswer_SHUT) {
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
    answer->word = RsAnswer_WORD_NONE;
    answer->fully_written = false;
    return 0;
}

/* Notes, before the socket gets them, that bytes of the request are written;
 * `whole` once all of them are. */
void
RsAnswer_Written(struct rs_answer *answer, bool whole)
{
    if (answer->state == RsAnswer_ASSIGNED) {
        answer->state = RsAnswer_WAITING;
    }
    answer->fully_written = answer->fully_written || whole;
}

static struct rs_answer_verdict
unexpected_head(struct rs_answer *answer, const struct rs_answer_head *head)
{
    bool again = head->request_id != NULL &&
                 strcmp(head->request_id, answer->last_id) == 0;
    return shut(answer, again ? RsAnswer_DOUBLE : RsAnswer_LATE);
}

/* The head of an answer arrived. The end is told by RsAnswer_End() also when
 * there is no body. */
struct rs_answer_verdict
RsAnswer_Head(struct rs_answer *answer, const struct rs_answer_head *head)
{
    if (answer->state == RsAnswer_IN_BODY) {
        return shut(answer, RsAnswer_SHORT);
    }
    if (answer->state != RsAnswer_WAITING) {
        return unexpected_head(answer, head);
    }
    bool own = head->request_id != NULL &&
               strcmp(head->request_id, answer->request_id) == 0;
    bool same_process =
        answer->start_id == 0 || answer->start_id == head->start_id;
    if (!own || !same_process || head->start_id == 0) {
        return shut(answer, RsAnswer_MISMATCH);
    }
    answer->start_id = head->start_id;
    answer->word = head->word;
    answer->left_bytes = head->length_bytes;
    answer->state = RsAnswer_IN_BODY;
    return (struct rs_answer_verdict){.kind = RsAnswer_GOOD};
}

/* Bytes of a body arrived, or any bytes on an idle connection. */
struct rs_answer_verdict
RsAnswer_Body(struct rs_answer *answer, uint64_t size_bytes)
{
    if (answer->state == RsAnswer_IDLE) {
        return shut(answer, RsAnswer_DOUBLE);
    }
    if (answer->state != RsAnswer_IN_BODY) {
        return shut(answer, RsAnswer_LATE);
    }
    if (answer->left_bytes >= 0) {
        if (size_bytes > (uint64_t)answer->left_bytes) {
            return shut(answer, RsAnswer_DOUBLE);
        }
        answer->left_bytes -= (int64_t)size_bytes;
    }
    return (struct rs_answer_verdict){.kind = RsAnswer_GOOD};
}

/* The answer ended by its framing: its length, its last chunk, or the close
 * of a connection whose answer has neither. */
struct rs_answer_verdict
RsAnswer_End(struct rs_answer *answer)
{
    if (answer->state != RsAnswer_IN_BODY) {
        return shut(answer, RsAnswer_LATE);
    }
    if (answer->left_bytes > 0) {
        return shut(answer, RsAnswer_SHORT);
    }
    return complete(answer);
}

/* The target closed the connection, or it broke. */
struct rs_answer_verdict
RsAnswer_Close(struct rs_answer *answer)
{
    if (outstanding(answer)) {
        return shut(answer, RsAnswer_SHORT);
    }
    return shut(answer, RsAnswer_QUIET);
}

/* Nobody waits for the answer any more: deadline or cancellation. */
struct rs_answer_verdict
RsAnswer_GiveUp(struct rs_answer *answer)
{
    return shut(answer, RsAnswer_QUIET);
}
