#include "control/submission.h"

#include <glib.h>

#include "core/clock.h"

#define TOTAL_MS 8000
#define CALL_TIMEOUT_MS 2500
#define RETRY_AFTER_MS 200

struct submission {
    struct rs_submission_options options;
    struct rs_submit *submit;
    uv_timer_t timer;
    uint32_t call; /* that was carried out last */
    bool began;
    uint32_t asked; /* calls to the platform that are out */
    bool ended;
};

struct asked_call {
    struct submission *submission;
    uint32_t call;
};

static void act(struct submission *submission, struct rs_submit_action action);

static void
on_timer_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

/* Frees it once the platform owes no answer. */
static void
free_when_idle(struct submission *submission)
{
    if (submission->ended && submission->asked == 0) {
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
    struct asked_call *asked = arg;
    struct submission *submission = asked->submission;
    uint32_t call = asked->call;
    int64_t now_ms = RsClock_NowMs();
    g_free(asked);
    submission->asked--;
    if (submission->ended) {
        free_when_idle(submission);
        return;
    }
    if (status > 0) {
        act(submission,
            RsSubmit_OnAnswer(submission->submit, call, status, body,
                              newest_config(submission), now_ms));
        return;
    }
    bool sent = status != RsPlatform_UNREACHABLE && status != RsPlatform_BUSY;
    act(submission, RsSubmit_OnLost(submission->submit, call, sent,
                                    newest_config(submission), now_ms));
}

static void
on_timer(uv_timer_t *timer)
{
    struct submission *submission = timer->data;
    act(submission,
        RsSubmit_OnTimer(submission->submit, newest_config(submission),
                         RsClock_NowMs()));
}

static struct asked_call *
new_call(struct submission *submission, uint32_t call)
{
    struct asked_call *asked = g_new0(struct asked_call, 1);
    asked->submission = submission;
    asked->call = call;
    submission->asked++;
    return asked;
}

static void
end(struct submission *submission)
{
    struct rs_submit_result result = RsSubmit_Result(submission->submit);
    submission->ended = true;
    uv_timer_stop(&submission->timer);
    submission->options.done(submission->options.done_arg, &result);
    free_when_idle(submission);
}

/* Carries an action out, unless it is still under way. */
static void
act(struct submission *submission, struct rs_submit_action action)
{
    struct rs_platform *platform = submission->options.platform;
    if (action.kind == RsSubmit_DONE) {
        end(submission);
        return;
    }
    int64_t left_ms = MAX(action.until_ms - RsClock_NowMs(), 0);
    uv_timer_start(&submission->timer, on_timer, (uint64_t)left_ms, 0);
    if (submission->began && action.call == submission->call) {
        return;
    }
    submission->began = true;
    submission->call = action.call;
    if (action.kind == RsSubmit_GET) {
        RsPlatform_ReadRow(platform, action.key, on_reply,
                           new_call(submission, action.call));
    }
    else if (action.kind == RsSubmit_COMMIT) {
        RsPlatform_Commit(platform, action.body, on_reply,
                          new_call(submission, action.call));
    }
}

/* Begins to submit a ticket; `done` is called once, maybe during the call. */
void
RsSubmission_Start(const struct rs_submission_options *options)
{
    int64_t now_ms = RsClock_NowMs();
    struct submission *submission = g_new0(struct submission, 1);
    struct rs_submit_options submit = {
        .ticket = options->ticket,
        .deadline_ms = now_ms + TOTAL_MS,
        .call_timeout_ms = CALL_TIMEOUT_MS,
        .retry_after_ms = RETRY_AFTER_MS,
    };
    submission->options = *options;
    submission->submit = RsSubmit_New(&submit);
    uv_timer_init(options->loop, &submission->timer);
    submission->timer.data = submission;
    act(submission,
        RsSubmit_Start(submission->submit, newest_config(submission), now_ms));
}
