#include <CUnit/Basic.h>

#include "dispatch/admission.h"

#define FAR_DEADLINE_MS 100000
#define RUN_US 10000

static struct rs_admission *
make_admission(const struct rs_limit_policy *policy, uint32_t slots,
               uint32_t window, uint32_t capacity)
{
    struct rs_admission_options options = {.limit_policy = policy,
                                           .slots = slots,
                                           .window = window,
                                           .queue_capacity = capacity,
                                           .max_run_ms = 500};
    return RsAdmission_New(&options);
}

static struct rs_admission_verdict
submit(struct rs_admission *admission, int64_t now_ms, uint64_t id,
       uint64_t caller, int64_t deadline_ms)
{
    struct rs_admission_request request = {
        .id = id, .caller = caller, .deadline_ms = deadline_ms};
    struct rs_admission_verdict verdict = {0};
    CU_ASSERT_EQUAL(RsAdmission_Submit(admission, now_ms, &request, &verdict),
                    0);
    return verdict;
}

/* Returns the id of the next event, which must be RUN; 0 if there is none. */
static uint64_t
next_run(struct rs_admission *admission)
{
    struct rs_admission_event event;
    if (!RsAdmission_NextEvent(admission, &event)) {
        return 0;
    }
    CU_ASSERT_EQUAL(event.verdict.kind, RsAdmission_RUN);
    return event.id;
}

/* Returns the id of the next event, which must be REFUSED for this reason; 0
 * if there is none. */
static uint64_t
next_refused(struct rs_admission *admission, enum rs_admission_reason reason)
{
    struct rs_admission_event event;
    if (!RsAdmission_NextEvent(admission, &event)) {
        return 0;
    }
    CU_ASSERT_EQUAL(event.verdict.kind, RsAdmission_REFUSED);
    CU_ASSERT_EQUAL(event.verdict.reason, reason);
    return event.id;
}

static void
finish(struct rs_admission *admission, int64_t now_ms, uint64_t id)
{
    CU_ASSERT_EQUAL(
        RsAdmission_Finish(admission, now_ms, id, RsAdmission_DONE, RUN_US),
        0);
}

static void
test_queue_is_ordered_by_deadline(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 8);
    CU_ASSERT_EQUAL(submit(admission, 0, 1, 1, FAR_DEADLINE_MS).kind,
                    RsAdmission_RUN);
    CU_ASSERT_EQUAL(submit(admission, 0, 2, 2, FAR_DEADLINE_MS + 2).kind,
                    RsAdmission_QUEUED);
    CU_ASSERT_EQUAL(submit(admission, 0, 3, 3, FAR_DEADLINE_MS + 1).kind,
                    RsAdmission_QUEUED);
    finish(admission, 10, 1);
    CU_ASSERT_EQUAL(next_run(admission), 3);
    CU_ASSERT_EQUAL(next_run(admission), 0);
    finish(admission, 20, 3);
    CU_ASSERT_EQUAL(next_run(admission), 2);
    RsAdmission_Free(admission);
}

static void
test_queue_of_one_caller_is_ordered_by_deadline(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 8);
    submit(admission, 0, 1, 7, FAR_DEADLINE_MS);
    submit(admission, 0, 2, 7, FAR_DEADLINE_MS + 2);
    submit(admission, 0, 3, 7, FAR_DEADLINE_MS + 1);
    finish(admission, 10, 1);
    CU_ASSERT_EQUAL(next_run(admission), 3);
    RsAdmission_Free(admission);
}

static void
test_estimate_counts_queued_requests_of_same_caller(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 8);
    submit(admission, 0, 1, 7, FAR_DEADLINE_MS);
    finish(admission, 10, 1);
    submit(admission, 10, 2, 7, FAR_DEADLINE_MS);
    CU_ASSERT_EQUAL(submit(admission, 10, 3, 7, 31).kind, RsAdmission_QUEUED);
    CU_ASSERT_EQUAL(submit(admission, 10, 4, 7, 39).reason,
                    RsAdmission_DEADLINE);
    RsAdmission_Free(admission);
}

static void
test_callers_take_turns(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 64);
    submit(admission, 0, 1, 7, FAR_DEADLINE_MS);
    for (uint64_t id = 10; id < 30; id++) {
        submit(admission, 0, id, 7, FAR_DEADLINE_MS);
    }
    submit(admission, 0, 2, 8, FAR_DEADLINE_MS * 2);
    finish(admission, 10, 1);
    uint64_t first = next_run(admission);
    finish(admission, 20, first);
    uint64_t second = next_run(admission);
    CU_ASSERT(first == 2 || second == 2);
    RsAdmission_Free(admission);
}

static void
test_caller_with_one_request_at_a_time_does_not_starve_others(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 8);
    submit(admission, 0, 1, 7, FAR_DEADLINE_MS);
    submit(admission, 0, 2, 7, FAR_DEADLINE_MS * 2);
    submit(admission, 0, 3, 7, FAR_DEADLINE_MS * 2);
    finish(admission, 10, 1);
    CU_ASSERT_EQUAL(next_run(admission), 2);
    uint64_t running = 2;
    unsigned starts = 0;
    for (uint64_t id = 10; running != 3 && starts < 10; id++) {
        submit(admission, 20, id, 8, FAR_DEADLINE_MS);
        finish(admission, 20, running);
        running = next_run(admission);
        starts++;
    }
    CU_ASSERT(starts <= 3);
    RsAdmission_Free(admission);
}

static void
test_full_queue_evicts_from_the_flooding_caller(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 4);
    for (uint64_t id = 1; id <= 5; id++) {
        submit(admission, 0, id, 7, FAR_DEADLINE_MS + (int64_t)id);
    }
    struct rs_admission_verdict verdict =
        submit(admission, 0, 6, 7, FAR_DEADLINE_MS);
    CU_ASSERT_EQUAL(verdict.kind, RsAdmission_REFUSED);
    CU_ASSERT_EQUAL(verdict.reason, RsAdmission_QUEUE_FULL);
    CU_ASSERT(verdict.retry_after_ms > 0);
    CU_ASSERT_EQUAL(submit(admission, 0, 7, 8, FAR_DEADLINE_MS).kind,
                    RsAdmission_QUEUED);
    CU_ASSERT_EQUAL(next_refused(admission, RsAdmission_QUEUE_FULL), 5);
    RsAdmission_Free(admission);
}

static void
test_refuses_requests_that_would_miss_their_deadline(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 64);
    submit(admission, 0, 1, 1, FAR_DEADLINE_MS);
    finish(admission, 10, 1);
    submit(admission, 10, 2, 1, FAR_DEADLINE_MS);
    CU_ASSERT_EQUAL(submit(admission, 10, 3, 2, 31).kind, RsAdmission_QUEUED);
    struct rs_admission_verdict verdict = submit(admission, 10, 4, 3, 25);
    CU_ASSERT_EQUAL(verdict.reason, RsAdmission_DEADLINE);
    CU_ASSERT_EQUAL(submit(admission, 10, 5, 4, 39).reason,
                    RsAdmission_DEADLINE);
    CU_ASSERT_EQUAL(submit(admission, 10, 7, 4, 41).kind, RsAdmission_QUEUED);
    CU_ASSERT_EQUAL(submit(admission, 10, 6, 5, 10).kind, RsAdmission_REFUSED);
    RsAdmission_Free(admission);
}

static void
test_unresponsive_target_expires_the_queue(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 64);
    submit(admission, 0, 1, 1, FAR_DEADLINE_MS);
    finish(admission, 10, 1);
    submit(admission, 10, 2, 1, FAR_DEADLINE_MS);
    CU_ASSERT_EQUAL(submit(admission, 10, 3, 2, 200).kind, RsAdmission_QUEUED);
    RsAdmission_Expire(admission, 20);
    CU_ASSERT_EQUAL(next_refused(admission, RsAdmission_DEADLINE), 0);
    RsAdmission_Expire(admission, 100);
    CU_ASSERT_EQUAL(next_refused(admission, RsAdmission_DEADLINE), 3);
    RsAdmission_Free(admission);
}

static void
test_idle_target_gets_a_request_despite_a_long_estimate(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 2, 0, 8);
    submit(admission, 0, 1, 1, FAR_DEADLINE_MS);
    RsAdmission_Finish(admission, 100, 1, RsAdmission_DONE, RUN_US * 10);
    CU_ASSERT_EQUAL(submit(admission, 100, 2, 1, 150).kind, RsAdmission_RUN);
    CU_ASSERT_EQUAL(submit(admission, 100, 3, 1, 150).reason,
                    RsAdmission_DEADLINE);
    RsAdmission_Free(admission);
}

static void
test_cancel_frees_the_queue_slot(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 1);
    submit(admission, 0, 1, 1, FAR_DEADLINE_MS);
    submit(admission, 0, 2, 2, FAR_DEADLINE_MS);
    CU_ASSERT_EQUAL(RsAdmission_Cancel(admission, 0, 2), 0);
    CU_ASSERT_EQUAL(RsAdmission_Cancel(admission, 0, 2),
                    RsAdmission_UNKNOWN_REQUEST);
    CU_ASSERT_EQUAL(submit(admission, 0, 3, 2, FAR_DEADLINE_MS).kind,
                    RsAdmission_QUEUED);
    finish(admission, 10, 1);
    CU_ASSERT_EQUAL(next_run(admission), 3);
    RsAdmission_Free(admission);
}

static void
test_abandoned_request_holds_its_slot_for_a_while(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 1, 0, 8);
    submit(admission, 0, 1, 1, FAR_DEADLINE_MS);
    finish(admission, 10, 1);
    submit(admission, 10, 2, 1, FAR_DEADLINE_MS);
    submit(admission, 10, 3, 1, FAR_DEADLINE_MS);
    RsAdmission_Finish(admission, 15, 2, RsAdmission_ABANDONED, 0);
    CU_ASSERT_EQUAL(next_run(admission), 0);
    RsAdmission_Expire(admission, 30);
    CU_ASSERT_EQUAL(next_run(admission), 3);
    RsAdmission_Free(admission);
}

static void
test_ceiling_limits_until_lifted(void)
{
    struct rs_admission *admission = make_admission(&rs_limit_fixed, 2, 2, 8);
    RsAdmission_SetCeiling(admission, 0, 1);
    submit(admission, 0, 1, 1, FAR_DEADLINE_MS);
    CU_ASSERT_EQUAL(submit(admission, 0, 2, 1, FAR_DEADLINE_MS).kind,
                    RsAdmission_QUEUED);
    RsAdmission_SetCeiling(admission, 5, UINT32_MAX);
    CU_ASSERT_EQUAL(next_run(admission), 2);
    RsAdmission_Free(admission);
}

static void
add_samples(struct rs_limit *limit, enum rs_limit_outcome outcome, int count,
            uint32_t in_flight, int64_t latency_us, int64_t *now_ms)
{
    for (int i = 0; i < count; i++) {
        *now_ms += 20;
        struct rs_limit_sample sample = {.outcome = outcome,
                                         .now_ms = *now_ms,
                                         .latency_us = latency_us,
                                         .in_flight = in_flight,
                                         .limit_reached = true};
        rs_limit_adaptive.add_sample(limit, &sample);
    }
}

static void
test_limit_stays_between_one_and_slots_plus_window(void)
{
    struct rs_limit limit;
    int64_t now_ms = 0;
    RsLimit_Init(&limit, &rs_limit_adaptive, 2, 2);
    add_samples(&limit, RsLimit_DONE, 200, 2, RUN_US, &now_ms);
    CU_ASSERT_EQUAL(RsLimit_Value(&limit), 4);
    add_samples(&limit, RsLimit_REFUSED, 200, 2, 0, &now_ms);
    CU_ASSERT_EQUAL(RsLimit_Value(&limit), 1);
}

static void
test_growing_latency_lowers_the_limit_to_the_slots(void)
{
    struct rs_limit limit;
    int64_t now_ms = 0;
    RsLimit_Init(&limit, &rs_limit_adaptive, 2, 2);
    add_samples(&limit, RsLimit_DONE, 20, 2, RUN_US, &now_ms);
    add_samples(&limit, RsLimit_DONE, 50, 4, RUN_US * 4, &now_ms);
    CU_ASSERT_EQUAL(RsLimit_Value(&limit), 2);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("admission", NULL, NULL);
    CU_ADD_TEST(suite, test_queue_is_ordered_by_deadline);
    CU_ADD_TEST(suite, test_queue_of_one_caller_is_ordered_by_deadline);
    CU_ADD_TEST(suite, test_estimate_counts_queued_requests_of_same_caller);
    CU_ADD_TEST(suite, test_callers_take_turns);
    CU_ADD_TEST(suite,
                test_caller_with_one_request_at_a_time_does_not_starve_others);
    CU_ADD_TEST(suite, test_full_queue_evicts_from_the_flooding_caller);
    CU_ADD_TEST(suite, test_refuses_requests_that_would_miss_their_deadline);
    CU_ADD_TEST(suite, test_unresponsive_target_expires_the_queue);
    CU_ADD_TEST(suite,
                test_idle_target_gets_a_request_despite_a_long_estimate);
    CU_ADD_TEST(suite, test_cancel_frees_the_queue_slot);
    CU_ADD_TEST(suite, test_abandoned_request_holds_its_slot_for_a_while);
    CU_ADD_TEST(suite, test_ceiling_limits_until_lifted);
    CU_ADD_TEST(suite, test_limit_stays_between_one_and_slots_plus_window);
    CU_ADD_TEST(suite, test_growing_latency_lowers_the_limit_to_the_slots);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
