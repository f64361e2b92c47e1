#include "control/submission.h"

#include <glib.h>

#include "core/clock.h"

#define SUBMIT_TIMEOUT_MS 8000
#define CALL_TIMEOUT_MS 2500
#define RETRY_DELAY_MS 200

struct submission {
    struct rs_submission_options options;
    struct rs_submit *submit;
    uv_timer_t timer;
    uint32_t action_number; /* of the action performed last */
    bool action_performed;  /* a first action was performed */
    uint32_t open_calls;    /* calls to the platform without an answer */
    bool ended;
};

struct platform_call {
    struct submission *submission;
    uint32_t action_number;
};

static void perform_action(struct submission *submission,
                           struct rs_submit_action action);

static void
on_timer_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

/* Frees a submission that has ended and has no open call to the platform. */
static void
free_when_idle(struct submission *submission)
{
    if (submission->ended && submission->open_calls == 0) {
        RsSubmit_Free(submission->submit);
        uv_close((uv_handle_t *)&submission->timer, on_timer_closed);
    }
}

static const struct rs_config *
newest_config(struct submission *submission)
{
    return submission->options.config(submission->options.config_arg);
}

static void
on_reply(void *arg, int status, json_t *body)
{
    struct platform_call *call = arg;
    struct submission *submission = call->submission;
    uint32_t action_number = call->action_number;
    int64_t now_ms = RsClock_NowMs();
    g_free(call);
    submission->open_calls--;
    if (submission->ended) {
        free_when_idle(submission);
        return;
    }
    if (status > 0) {
        perform_action(submission,
                       RsSubmit_OnResponse(submission->submit, action_number,
                                           status, body,
                                           newest_config(submission), now_ms));
        return;
    }
    bool sent = status != RsPlatform_UNREACHABLE && status != RsPlatform_BUSY;
    perform_action(submission, RsSubmit_OnCallFailed(
                                   submission->submit, action_number, sent,
                                   newest_config(submission), now_ms));
}

static void
on_timer(uv_timer_t *timer)
{
    struct submission *submission = timer->data;
    perform_action(submission, RsSubmit_OnTimer(submission->submit,
                                                newest_config(submission),
                                                RsClock_NowMs()));
}

static struct platform_call *
new_call(struct submission *submission, uint32_t action_number)
{
    struct platform_call *call = g_new0(struct platform_call, 1);
    call->submission = submission;
    call->action_number = action_number;
    submission->open_calls++;
    return call;
}

static void
finish_submission(struct submission *submission)
{
    struct rs_submit_result result = RsSubmit_Result(submission->submit);
    submission->ended = true;
    uv_timer_stop(&submission->timer);
    submission->options.done(submission->options.done_arg, &result);
    free_when_idle(submission);
}

/* Performs an action of the submission state machine. For an action that was
 * performed already, only sets the timer. */
static void
perform_action(struct submission *submission, struct rs_submit_action action)
{
    struct rs_platform *platform = submission->options.platform;
    if (action.kind == RsSubmit_DONE) {
        finish_submission(submission);
        return;
    }
    int64_t left_ms = MAX(action.until_ms - RsClock_NowMs(), 0);
    uv_timer_start(&submission->timer, on_timer, (uint64_t)left_ms, 0);
    if (submission->action_performed &&
        action.action_number == submission->action_number) {
        return;
    }
    submission->action_performed = true;
    submission->action_number = action.action_number;
    if (action.kind == RsSubmit_GET) {
        RsPlatform_ReadRow(platform, action.key, on_reply,
                           new_call(submission, action.action_number));
    }
    else if (action.kind == RsSubmit_COMMIT) {
        RsPlatform_Commit(platform, action.body, on_reply,
                          new_call(submission, action.action_number));
    }
}

/* Starts to submit a ticket and takes over the ticket. `done` is called once,
 * possibly during this call. */
void
RsSubmission_Start(const struct rs_submission_options *options)
{
    int64_t now_ms = RsClock_NowMs();
    struct submission *submission = g_new0(struct submission, 1);
    struct rs_submit_options submit = {
        .ticket = options->ticket,
        .deadline_ms = now_ms + SUBMIT_TIMEOUT_MS,
        .call_timeout_ms = CALL_TIMEOUT_MS,
        .retry_after_ms = RETRY_DELAY_MS,
    };
    submission->options = *options;
    submission->submit = RsSubmit_New(&submit);
    uv_timer_init(options->loop, &submission->timer);
    submission->timer.data = submission;
    perform_action(
        submission,
        RsSubmit_Start(submission->submit, newest_config(submission), now_ms));
}
