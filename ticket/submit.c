#include "ticket/submit.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409

enum state {
    StateReadHead,
    StateReadLog,
    StateCommit,
    StateWait,
    StateDone
};

struct rs_submit {
    struct rs_submit_options options;
    enum state state;
    uint32_t call;
    int64_t until_ms;
    char key[RsTicket_KEY_BYTES];
    json_t *body;
    uint64_t head;
    uint64_t head_version;
    bool maybe_written; /* a commit was sent and its fate is not known */
    enum rs_submit_outcome outcome;
    struct rs_faults faults;
    json_t *difference;
};

/* Returns a submission that owns the options' ticket. */
struct rs_submit *
RsSubmit_New(const struct rs_submit_options *options)
{
    struct rs_submit *submit = g_new0(struct rs_submit, 1);
    submit->options = *options;
    return submit;
}

/* Frees the submission with its ticket; NULL is allowed. */
void
RsSubmit_Free(struct rs_submit *submit)
{
    if (submit == NULL) {
        return;
    }
    RsTicket_Free(submit->options.ticket);
    RsFaults_Free(&submit->faults);
    json_decref(submit->body);
    json_decref(submit->difference);
    g_free(submit);
}

static struct rs_submit_action
action_of(const struct rs_submit *submit, enum rs_submit_action_kind kind)
{
    return (struct rs_submit_action){.kind = kind,
                                     .call = submit->call,
                                     .until_ms = submit->until_ms,
                                     .key = submit->key,
                                     .body = submit->body};
}

static struct rs_submit_action
finish(struct rs_submit *submit, enum rs_submit_outcome outcome)
{
    submit->state = StateDone;
    submit->outcome = outcome;
    submit->call++;
    return action_of(submit, RsSubmit_DONE);
}

static void
begin(struct rs_submit *submit, enum state state, int64_t length_ms,
      int64_t now_ms)
{
    submit->state = state;
    submit->call++;
    submit->until_ms = MIN(now_ms + length_ms, submit->options.deadline_ms);
}

static struct rs_submit_action
give_up(struct rs_submit *submit)
{
    return finish(submit, submit->maybe_written ? RsSubmit_UNKNOWN
                                                : RsSubmit_NOT_ACCEPTED);
}

static bool
is_over(const struct rs_submit *submit, int64_t now_ms)
{
    return now_ms >= submit->options.deadline_ms;
}

static struct rs_submit_action
read_head(struct rs_submit *submit, int64_t now_ms)
{
    if (is_over(submit, now_ms)) {
        return give_up(submit);
    }
    begin(submit, StateReadHead, submit->options.call_timeout_ms, now_ms);
    snprintf(submit->key, sizeof(submit->key), "%s", RsTicket_HEAD_KEY);
    return action_of(submit, RsSubmit_GET);
}

static struct rs_submit_action
read_log(struct rs_submit *submit, int64_t now_ms)
{
    if (is_over(submit, now_ms)) {
        return give_up(submit);
    }
    begin(submit, StateReadLog, submit->options.call_timeout_ms, now_ms);
    RsTicket_LogKey(submit->options.ticket->number, submit->key);
    return action_of(submit, RsSubmit_GET);
}

static struct rs_submit_action
wait_a_little(struct rs_submit *submit, int64_t now_ms)
{
    if (is_over(submit, now_ms)) {
        return give_up(submit);
    }
    begin(submit, StateWait, submit->options.retry_after_ms, now_ms);
    return action_of(submit, RsSubmit_WAIT);
}

static struct rs_submit_action
conflict(struct rs_submit *submit, const struct rs_config *config)
{
    submit->difference =
        config != NULL ? RsTicket_Difference(submit->options.ticket, config)
                       : json_array();
    return finish(submit, RsSubmit_CONFLICT);
}

static struct rs_submit_action
commit(struct rs_submit *submit, int64_t now_ms)
{
    if (is_over(submit, now_ms)) {
        return give_up(submit);
    }
    begin(submit, StateCommit, submit->options.call_timeout_ms, now_ms);
    json_decref(submit->body);
    submit->body =
        RsTicket_CommitBody(submit->options.ticket, submit->head_version);
    return action_of(submit, RsSubmit_COMMIT);
}

/* The ticket is checked against the very state on which it builds: only
 * tickets change objects, so the snapshot must have applied just the head. A
 * process that has just started has none. */
static struct rs_submit_action
validate(struct rs_submit *submit, const struct rs_config *config,
         int64_t now_ms)
{
    if (config == NULL || RsConfig_AppliedTicket(config) != submit->head) {
        return wait_a_little(submit, now_ms);
    }
    if (RsTicket_Validate(submit->options.ticket, config, &submit->faults) ==
        0) {
        return commit(submit, now_ms);
    }
    return submit->maybe_written ? give_up(submit)
                                 : finish(submit, RsSubmit_INVALID);
}

/* Reads the head row's answer. Returns false when it makes no sense. */
static bool
take_head(struct rs_submit *submit, int status, const json_t *body)
{
    if (status == STATUS_NOT_FOUND) {
        submit->head = 0;
        submit->head_version = 0;
        return true;
    }
    const json_t *version = json_object_get(body, "version");
    const json_t *number =
        json_object_get(json_object_get(body, "value"), "number");
    if (status != STATUS_OK || json_integer_value(version) < 1 ||
        json_integer_value(number) < 1) {
        return false;
    }
    submit->head = (uint64_t)json_integer_value(number);
    submit->head_version = (uint64_t)json_integer_value(version);
    return true;
}

static struct rs_submit_action
on_head(struct rs_submit *submit, int status, const json_t *body,
        const struct rs_config *config, int64_t now_ms)
{
    if (!take_head(submit, status, body)) {
        return wait_a_little(submit, now_ms);
    }
    uint64_t number = submit->options.ticket->number;
    if (number <= submit->head) {
        return read_log(submit, now_ms);
    }
    if (number > submit->head + 1) {
        return conflict(submit, config);
    }
    return validate(submit, config, now_ms);
}

static struct rs_submit_action
on_log(struct rs_submit *submit, int status, const json_t *body,
       const struct rs_config *config, int64_t now_ms)
{
    const char *digest = json_string_value(
        json_object_get(json_object_get(body, "value"), "digest"));
    if (status != STATUS_OK || digest == NULL) {
        return wait_a_little(submit, now_ms);
    }
    if (strcmp(digest, submit->options.ticket->digest) == 0) {
        return finish(submit, RsSubmit_ACCEPTED);
    }
    return conflict(submit, config);
}

static struct rs_submit_action
on_commit(struct rs_submit *submit, int status, int64_t now_ms)
{
    if (status == STATUS_OK) {
        submit->head = submit->options.ticket->number;
        return finish(submit, RsSubmit_ACCEPTED);
    }
    if (status != STATUS_CONFLICT) {
        submit->maybe_written = true;
        return wait_a_little(submit, now_ms);
    }
    return read_head(submit, now_ms);
}

/* Starts the submission. */
struct rs_submit_action
RsSubmit_Start(struct rs_submit *submit, const struct rs_config *config,
               int64_t now_ms)
{
    return read_head(submit, now_ms);
}

/* Takes the platform's answer to a call. A status other than 200, 404 and 409
 * counts as an outage, and does not tell whether a commit took effect. */
struct rs_submit_action
RsSubmit_OnAnswer(struct rs_submit *submit, uint32_t call, int status,
                  const json_t *body, const struct rs_config *config,
                  int64_t now_ms)
{
    bool stale = call != submit->call;
    switch (stale ? StateWait : submit->state) {
    case StateReadHead:
        return on_head(submit, status, body, config, now_ms);
    case StateReadLog:
        return on_log(submit, status, body, config, now_ms);
    case StateCommit:
        return on_commit(submit, status, now_ms);
    default:
        return RsSubmit_Pending(submit);
    }
}

/* Takes the news that a call ended without an answer. `sent` is false only
 * when not a byte of it left. */
struct rs_submit_action
RsSubmit_OnLost(struct rs_submit *submit, uint32_t call, bool sent,
                const struct rs_config *config, int64_t now_ms)
{
    if (call != submit->call) {
        return RsSubmit_Pending(submit);
    }
    if (submit->state == StateCommit && sent) {
        submit->maybe_written = true;
    }
    return wait_a_little(submit, now_ms);
}

/* Goes on when the action's time has passed: an unanswered call is lost. */
struct rs_submit_action
RsSubmit_OnTimer(struct rs_submit *submit, const struct rs_config *config,
                 int64_t now_ms)
{
    if (submit->state == StateDone || now_ms < submit->until_ms) {
        return RsSubmit_Pending(submit);
    }
    if (submit->state == StateWait) {
        return read_head(submit, now_ms);
    }
    return RsSubmit_OnLost(submit, submit->call, true, config, now_ms);
}

/* Returns the action that is under way. */
struct rs_submit_action
RsSubmit_Pending(const struct rs_submit *submit)
{
    static const enum rs_submit_action_kind kinds[] = {
        [StateReadHead] = RsSubmit_GET,
        [StateReadLog] = RsSubmit_GET,
        [StateCommit] = RsSubmit_COMMIT,
        [StateWait] = RsSubmit_WAIT,
        [StateDone] = RsSubmit_DONE};
    return action_of(submit, kinds[submit->state]);
}

/* Returns what came of a submission that is done. What the result points to
 * lives as long as the submission. */
struct rs_submit_result
RsSubmit_Result(const struct rs_submit *submit)
{
    g_assert(submit->state == StateDone);
    struct rs_submit_result result = {.outcome = submit->outcome,
                                      .number = submit->options.ticket->number,
                                      .head = submit->head,
                                      .faults = &submit->faults,
                                      .difference = submit->difference};
    memcpy(result.digest, submit->options.ticket->digest,
           sizeof(result.digest));
    return result;
}
