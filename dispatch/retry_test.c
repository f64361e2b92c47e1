#include <CUnit/Basic.h>

#include "core/clock.h"
#include "dispatch/retry.h"

#define DEADLINE_MS 1000

static struct rs_retry
make_retry(const struct rs_retry_policy *policy)
{
    struct rs_retry retry;
    struct rs_retry_options options = {.policy = policy,
                                       .seed = 1,
                                       .max_tries = 3,
                                       .max_redirects = 3,
                                       .backoff_ms = 10,
                                       .max_backoff_ms = 100,
                                       .budget_share = 0.1,
                                       .hedge_share = 0.05,
                                       .burst = 2,
                                       .min_hedge_ms = 5};
    RsRetry_Init(&retry, &options);
    return retry;
}

static struct rs_retry_decision
try_once(struct rs_retry *retry, struct rs_retry_request *request,
         int64_t now_ms, enum rs_outcome outcome, uint32_t retry_after_ms)
{
    struct rs_retry_decision decision;
    RsRetry_RecordSent(request);
    RsRetry_Decide(retry, request, now_ms, outcome, retry_after_ms, &decision);
    return decision;
}

static void
test_unknown_outcome_is_retried_only_if_repeatable(void)
{
    struct rs_retry retry = make_retry(&rs_retry_budget);
    struct rs_retry_request request;
    RsRetry_BeginRequest(&retry, &request, false, true, DEADLINE_MS);
    struct rs_retry_decision decision =
        try_once(&retry, &request, 0, RsOutcome_UNKNOWN, 0);
    CU_ASSERT_EQUAL(decision.action, RsRetry_ANSWER);
    CU_ASSERT_EQUAL(decision.outcome, RsOutcome_UNKNOWN);
    RsRetry_BeginRequest(&retry, &request, true, true, DEADLINE_MS);
    decision = try_once(&retry, &request, 0, RsOutcome_UNKNOWN, 0);
    CU_ASSERT_EQUAL(decision.action, RsRetry_RETRY);
}

static void
test_retry_waits_for_retry_after(void)
{
    struct rs_retry retry = make_retry(&rs_retry_budget);
    struct rs_retry_request request;
    RsRetry_BeginRequest(&retry, &request, false, true, DEADLINE_MS);
    struct rs_retry_decision decision =
        try_once(&retry, &request, 100, RsOutcome_NOT_RUN, 50);
    CU_ASSERT_EQUAL(decision.action, RsRetry_RETRY);
    CU_ASSERT(decision.at_ms >= 150 && decision.at_ms < 160);
    decision = try_once(&retry, &request, 960, RsOutcome_NOT_RUN, 50);
    CU_ASSERT_EQUAL(decision.action, RsRetry_ANSWER);
    CU_ASSERT_EQUAL(decision.outcome, RsOutcome_NOT_RUN);
}

static void
test_answer_is_unknown_after_a_try_that_may_have_run(void)
{
    struct rs_retry retry = make_retry(&rs_retry_budget);
    struct rs_retry_request request;
    RsRetry_BeginRequest(&retry, &request, true, true, DEADLINE_MS);
    try_once(&retry, &request, 0, RsOutcome_UNKNOWN, 0);
    struct rs_retry_decision decision =
        try_once(&retry, &request, 990, RsOutcome_NOT_RUN, 50);
    CU_ASSERT_EQUAL(decision.action, RsRetry_ANSWER);
    CU_ASSERT_EQUAL(decision.outcome, RsOutcome_UNKNOWN);
}

static void
test_tries_and_retry_budget_are_bounded(void)
{
    struct rs_retry retry = make_retry(&rs_retry_budget);
    struct rs_retry_request request;
    retry.options.burst = 5;
    retry.retry_tokens = 5;
    RsRetry_BeginRequest(&retry, &request, true, false, DEADLINE_MS);
    CU_ASSERT(try_once(&retry, &request, 0, RsOutcome_NOT_RUN, 0)
                  .prefer_other_target);
    try_once(&retry, &request, 0, RsOutcome_NOT_RUN, 0);
    CU_ASSERT_EQUAL(try_once(&retry, &request, 0, RsOutcome_NOT_RUN, 0).action,
                    RsRetry_ANSWER);
    retry = make_retry(&rs_retry_budget);
    for (int i = 0; i < 100; i++) {
        RsRetry_BeginRequest(&retry, &request, true, false, DEADLINE_MS);
        try_once(&retry, &request, 0, RsOutcome_NOT_RUN, 0);
    }
    CU_ASSERT(retry.counts.retries <= 2 + 100 / 10);
    CU_ASSERT(retry.counts.retries >= 10);
    CU_ASSERT(retry.counts.out_of_budget > 0);
}

static void
test_redirects_are_bounded_and_take_no_tokens(void)
{
    struct rs_retry retry = make_retry(&rs_retry_budget);
    struct rs_retry_request request;
    RsRetry_BeginRequest(&retry, &request, false, true, DEADLINE_MS);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(
            try_once(&retry, &request, 0, RsOutcome_REDIRECT, 0).action,
            RsRetry_REDIRECT);
    }
    CU_ASSERT_EQUAL(retry.counts.retries, 0);
    struct rs_retry_decision decision =
        try_once(&retry, &request, 0, RsOutcome_REDIRECT, 0);
    CU_ASSERT_EQUAL(decision.action, RsRetry_ANSWER);
    CU_ASSERT_EQUAL(decision.outcome, RsOutcome_NOT_RUN);
}

static void
test_hedges_only_unkeyed_repeatable_requests(void)
{
    struct rs_retry retry = make_retry(&rs_retry_budget);
    struct rs_retry_request request;
    RsRetry_RecordLatency(&retry, 20000);
    RsRetry_BeginRequest(&retry, &request, true, true, DEADLINE_MS);
    CU_ASSERT_EQUAL(RsRetry_HedgeAtMs(&retry, &request, 0), RsClock_NEVER_MS);
    RsRetry_BeginRequest(&retry, &request, false, false, DEADLINE_MS);
    CU_ASSERT_EQUAL(RsRetry_HedgeAtMs(&retry, &request, 0), RsClock_NEVER_MS);
    RsRetry_BeginRequest(&retry, &request, true, false, DEADLINE_MS);
    RsRetry_RecordSent(&request);
    int64_t at_ms = RsRetry_HedgeAtMs(&retry, &request, 0);
    CU_ASSERT(at_ms >= 20 && at_ms <= 25);
    CU_ASSERT(RsRetry_TryHedge(&retry, &request, at_ms));
    CU_ASSERT_FALSE(RsRetry_TryHedge(&retry, &request, at_ms));
}

static void
test_hedged_request_waits_for_other_copy_and_answers_once(void)
{
    struct rs_retry retry = make_retry(&rs_retry_budget);
    struct rs_retry_request request;
    struct rs_retry_decision decision;
    RsRetry_BeginRequest(&retry, &request, true, false, DEADLINE_MS);
    RsRetry_RecordSent(&request);
    CU_ASSERT(RsRetry_TryHedge(&retry, &request, 10));
    RsRetry_RecordSent(&request);
    RsRetry_RecordSent(&request);
    RsRetry_Decide(&retry, &request, 20, RsOutcome_UNKNOWN, 0, &decision);
    CU_ASSERT_EQUAL(decision.action, RsRetry_WAIT);
    RsRetry_Decide(&retry, &request, 21, RsOutcome_DONE, 0, &decision);
    CU_ASSERT_EQUAL(decision.action, RsRetry_ANSWER);
    CU_ASSERT_EQUAL(decision.outcome, RsOutcome_DONE);
    RsRetry_Decide(&retry, &request, 22, RsOutcome_DONE, 0, &decision);
    CU_ASSERT_EQUAL(decision.action, RsRetry_NOTHING);
}

static void
test_none_never_retries_and_immediate_always_does(void)
{
    struct rs_retry none = make_retry(&rs_retry_none);
    struct rs_retry immediate = make_retry(&rs_retry_immediate);
    struct rs_retry_request request;
    RsRetry_BeginRequest(&none, &request, true, true, DEADLINE_MS);
    CU_ASSERT_EQUAL(try_once(&none, &request, 0, RsOutcome_NOT_RUN, 0).action,
                    RsRetry_ANSWER);
    for (int i = 0; i < 100; i++) {
        RsRetry_BeginRequest(&immediate, &request, true, true, DEADLINE_MS);
        struct rs_retry_decision decision =
            try_once(&immediate, &request, 0, RsOutcome_NOT_RUN, 50);
        CU_ASSERT_EQUAL(decision.action, RsRetry_RETRY);
        CU_ASSERT_EQUAL(decision.at_ms, 0);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("retry", NULL, NULL);
    CU_ADD_TEST(suite, test_unknown_outcome_is_retried_only_if_repeatable);
    CU_ADD_TEST(suite, test_retry_waits_for_retry_after);
    CU_ADD_TEST(suite, test_answer_is_unknown_after_a_try_that_may_have_run);
    CU_ADD_TEST(suite, test_tries_and_retry_budget_are_bounded);
    CU_ADD_TEST(suite, test_redirects_are_bounded_and_take_no_tokens);
    CU_ADD_TEST(suite, test_hedges_only_unkeyed_repeatable_requests);
    CU_ADD_TEST(suite,
                test_hedged_request_waits_for_other_copy_and_answers_once);
    CU_ADD_TEST(suite, test_none_never_retries_and_immediate_always_does);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
