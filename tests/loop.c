#include "tests/loop.h"

#include "core/clock.h"

#define STEP_MS 5

static void
on_step(uv_timer_t *timer)
{
}

/* Opens the loop, which lives as long as the process. */
void
RsTestLoop_Open(struct rs_test_loop *loop)
{
    uv_loop_init(&loop->uv);
    uv_timer_init(&loop->uv, &loop->step);
    uv_timer_start(&loop->step, on_step, STEP_MS, STEP_MS);
}

/* Runs the loop for some time. */
void
RsTestLoop_Run(struct rs_test_loop *loop, int64_t span_ms)
{
    int64_t end_at_ms = RsClock_NowMs() + span_ms;
    while (RsClock_NowMs() < end_at_ms) {
        uv_run(&loop->uv, UV_RUN_ONCE);
    }
}

/* Runs the loop until the condition holds. Returns false if it doesn't within
 * this time. */
bool
RsTestLoop_Await(struct rs_test_loop *loop, const bool *condition,
                 int64_t within_ms)
{
    int64_t give_up_at_ms = RsClock_NowMs() + within_ms;
    while (!*condition && RsClock_NowMs() < give_up_at_ms) {
        uv_run(&loop->uv, UV_RUN_ONCE);
    }
    return *condition;
}
