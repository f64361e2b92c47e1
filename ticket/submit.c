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
    uint32_t action_number;
    int64_t action_ends_at_ms;
    char key[RsTicket_KEY_BYTES];
    json_t *body;
    uint64_t head;
    uint64_t head_version;
    bool maybe_committed; /* a commit may have been sent whose outcome was
                           * unknown when its call ended; never reset */
    enum rs_submit_outcome outcome;
    struct rs_faults faults;
    json_t *difference;
};

/* Creates a submission, which takes ownership of the ticket in the options.
 * The caller frees it with RsSubmit_Free. */
struct rs_submit *
RsSubmit_New(const struct rs_submit_options *options)
{
    struct rs_submit *submit = g_new0(struct rs_submit, 1);
    submit->options = *options;
    return submit;
}

/* Frees the submission and its ticket. NULL is allowed. */
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
make_action(const struct rs_submit *submit, enum rs_submit_action_kind kind)
{
    return (struct rs_submit_action){.kind = kind,
                                     .action_number = submit->action_number,
                                     .until_ms = submit->action_ends_at_ms,
                                     .key = submit->key,
                                     .body = submit->body};
}

static struct rs_submit_action
finish(struct rs_submit *submit, enum rs_submit_outcome outcome)
{
    submit->state = StateDone;
    submit->outcome = outcome;
    submit->action_number++;
    return make_action(submit, RsSubmit_DONE);
}

static void
start_action(struct rs_submit *submit, enum state state, int64_t timeout_ms,
             int64_t now_ms)
{
    submit->state = state;
    submit->action_number++;
    submit->action_ends_at_ms =
        MIN(now_ms + timeout_ms, submit->options.deadline_ms);
}

static struct rs_submit_action
finish_unavailable(struct rs_submit *submit)
{
    return finish(submit, submit->maybe_committed ? RsSubmit_UNKNOWN
                                                  : RsSubmit_NOT_ACCEPTED);
}

static bool
is_past_deadline(const struct rs_submit *submit, int64_t now_ms)
{
    return now_ms >= submit->options.deadline_ms;
}

static struct rs_submit_action
start_read_head(struct rs_submit *submit, int64_t now_ms)
{
    if (is_past_deadline(submit, now_ms)) {
        return finish_unavailable(submit);
    }
    start_action(submit, StateReadHead, submit->options.call_timeout_ms,
                 now_ms);
    snprintf(submit->key, sizeof(submit->key), "%s", RsTicket_HEAD_KEY);
    return make_action(submit, RsSubmit_GET);
}

static struct rs_submit_action
start_read_log(struct rs_submit *submit, int64_t now_ms)
{
    if (is_past_deadline(submit, now_ms)) {
        return finish_unavailable(submit);
    }
    start_action(submit, StateReadLog, submit->options.call_timeout_ms,
                 now_ms);
    RsTicket_LogKey(submit->options.ticket->number, submit->key);
    return make_action(submit, RsSubmit_GET);
}

static struct rs_submit_action
wait_to_retry(struct rs_submit *submit, int64_t now_ms)
{
    if (is_past_deadline(submit, now_ms)) {
        return finish_unavailable(submit);
    }
    start_action(submit, StateWait, submit->options.retry_after_ms, now_ms);
    return make_action(submit, RsSubmit_WAIT);
}

static struct rs_submit_action
finish_conflict(struct rs_submit *submit, const struct rs_config *config)
{
    submit->difference =
        config != NULL ? RsTicket_Difference(submit->options.ticket, config)
                       : json_array();
    return finish(submit, RsSubmit_CONFLICT);
}

static struct rs_submit_action
start_commit(struct rs_submit *submit, int64_t now_ms)
{
    if (is_past_deadline(submit, now_ms)) {
        return finish_unavailable(submit);
    }
    start_action(submit, StateCommit, submit->options.call_timeout_ms, now_ms);
    json_decref(submit->body);
    submit->body =
        RsTicket_CommitBody(submit->options.ticket, submit->head_version);
    return make_action(submit, RsSubmit_COMMIT);
}

/* Validates the ticket and starts the commit. The configuration must include
 * all tickets up to the head, since the commit applies the ticket to that
 * state; only tickets change objects. If the last ticket of the configuration
 * is not the head, or a newly started process has no configuration yet, the
 * submission waits and tries again. An invalid ticket ends the submission; the
 * outcome is unknown if an earlier commit may have taken effect. */
static struct rs_submit_action
validate_and_commit(struct rs_submit *submit, const struct rs_config *config,
                    int64_t now_ms)
{
    if (config == NULL || RsConfig_AppliedTicket(config) != submit->head) {
        return wait_to_retry(submit, now_ms);
    }
    if (RsTicket_Validate(submit->options.ticket, config, &submit->faults) ==
        0) {
        return start_commit(submit, now_ms);
    }
    return submit->maybe_committed ? finish_unavailable(submit)
                                   : finish(submit, RsSubmit_INVALID);
}

/* Stores the number and version of the head row from the platform's response,
 * or 0 for both if the row does not exist. Returns false if the status is
 * neither 200 nor 404, or the body of a 200 is invalid. */
static bool
parse_head(struct rs_submit *submit, int status, const json_t *body)
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
handle_head(struct rs_submit *submit, int status, const json_t *body,
            const struct rs_config *config, int64_t now_ms)
{
    if (!parse_head(submit, status, body)) {
        return wait_to_retry(submit, now_ms);
    }
    uint64_t number = submit->options.ticket->number;
    if (number <= submit->head) {
        return start_read_log(submit, now_ms);
    }
    if (number > submit->head + 1) {
        return finish_conflict(submit, config);
    }
    return validate_and_commit(submit, config, now_ms);
}

static struct rs_submit_action
handle_log_row(struct rs_submit *submit, int status, const json_t *body,
               const struct rs_config *config, int64_t now_ms)
{
    const char *digest = json_string_value(
        json_object_get(json_object_get(body, "value"), "digest"));
    if (status != STATUS_OK || digest == NULL) {
        return wait_to_retry(submit, now_ms);
    }
    if (strcmp(digest, submit->options.ticket->digest) == 0) {
        return finish(submit, RsSubmit_ACCEPTED);
    }
    return finish_conflict(submit, config);
}

static struct rs_submit_action
handle_commit_response(struct rs_submit *submit, int status, int64_t now_ms)
{
    if (status == STATUS_OK) {
        submit->head = submit->options.ticket->number;
        return finish(submit, RsSubmit_ACCEPTED);
    }
    if (status != STATUS_CONFLICT) {
        submit->maybe_committed = true;
        return wait_to_retry(submit, now_ms);
    }
    return start_read_head(submit, now_ms);
}

/* Starts the submission and returns its first action. */
struct rs_submit_action
RsSubmit_Start(struct rs_submit *submit, const struct rs_config *config,
               int64_t now_ms)
{
    return start_read_head(submit, now_ms);
}

/* Handles the platform's response to the action `action_number` and returns
 * the current action. A response to an earlier action is ignored. After an
 * unexpected status or body, the submission waits and tries again. If that was
 * the response to a commit (any status other than 200 and 409), the commit may
 * have taken effect. */
struct rs_submit_action
RsSubmit_OnResponse(struct rs_submit *submit, uint32_t action_number,
                    int status, const json_t *body,
                    const struct rs_config *config, int64_t now_ms)
{
    bool stale = action_number != submit->action_number;
    switch (stale ? StateWait : submit->state) {
    case StateReadHead:
        return handle_head(submit, status, body, config, now_ms);
    case StateReadLog:
        return handle_log_row(submit, status, body, config, now_ms);
    case StateCommit:
        return handle_commit_response(submit, status, now_ms);
    default:
        return RsSubmit_CurrentAction(submit);
    }
}

/* Handles the end of the action `action_number` without a response, and
 * returns the current action. `sent` must be false only if no byte of the
 * request was sent. */
struct rs_submit_action
RsSubmit_OnCallFailed(struct rs_submit *submit, uint32_t action_number,
                      bool sent, const struct rs_config *config,
                      int64_t now_ms)
{
    if (action_number != submit->action_number) {
        return RsSubmit_CurrentAction(submit);
    }
    if (submit->state == StateCommit && sent) {
        submit->maybe_committed = true;
    }
    return wait_to_retry(submit, now_ms);
}

/* Ends the current action if its time has passed, and returns the current
 * action. A GET or COMMIT that has no response by then has failed. */
struct rs_submit_action
RsSubmit_OnTimer(struct rs_submit *submit, const struct rs_config *config,
                 int64_t now_ms)
{
    if (submit->state == StateDone || now_ms < submit->action_ends_at_ms) {
        return RsSubmit_CurrentAction(submit);
    }
    if (submit->state == StateWait) {
        return start_read_head(submit, now_ms);
    }
    return RsSubmit_OnCallFailed(submit, submit->action_number, true, config,
                                 now_ms);
}

/* Returns the current action. */
struct rs_submit_action
RsSubmit_CurrentAction(const struct rs_submit *submit)
{
    static const enum rs_submit_action_kind kinds[] = {
        [StateReadHead] = RsSubmit_GET,
        [StateReadLog] = RsSubmit_GET,
        [StateCommit] = RsSubmit_COMMIT,
        [StateWait] = RsSubmit_WAIT,
        [StateDone] = RsSubmit_DONE};
    return make_action(submit, kinds[submit->state]);
}

/* Returns the result of a submission whose action is RsSubmit_DONE. The
 * result's pointers are valid as long as the submission. */
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
