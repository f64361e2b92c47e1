/* Tests the learning of the speed of targets, and the limit that follows. */

#include <CUnit/Basic.h>

#include "core/log.h"
#include "router/concurrency.h"

#define START_MS 100000

static struct rs_concurrency_service service;
static const char *lookups;
static const char *audits;

static void
set_up(void)
{
    RsConcurrency_InitService(&service);
    lookups = g_intern_static_string("lookups");
    audits = g_intern_static_string("audits");
}

static void
tear_down(void)
{
    RsConcurrency_ClearService(&service);
}

static void
record(struct rs_concurrency *target, const char *route, double elapsed_ms,
       int64_t now_ms)
{
    const struct rs_concurrency_sample sample = {
        .elapsed_ms = elapsed_ms,
        .queueing_factor = 1,
        .duration_percent = 100,
    };
    RsConcurrency_Record(target, &service, route, &sample, now_ms);
}

/* Records an answer of each of two targets every 100 ms. */
static void
record_both(struct rs_concurrency targets[2], const char *route,
            const double elapsed_ms[2], int64_t from_ms, int64_t to_ms)
{
    for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms += 100) {
        record(&targets[0], route, elapsed_ms[0], now_ms);
        record(&targets[1], route, elapsed_ms[1], now_ms);
        RsConcurrency_ResetFactors(&service);
        RsConcurrency_CountFactor(&service, &targets[0], 0);
        RsConcurrency_CountFactor(&service, &targets[1], 0);
    }
}

/* With one constant for all targets, large ones refuse requests that they
 * could answer in time, and small ones keep requests that come late. */
static void
test_room_follows_from_slots_work_and_latency_target(void)
{
    set_up();
    const struct rs_concurrency_input large = {6, 285, 285, 800};
    const struct rs_concurrency_input small = {2, 366, 366, 500};
    const struct rs_concurrency_input slow = {2, 1000, 1000, 500};
    CU_ASSERT_TRUE(RsConcurrency_Limit(&large) >= 6 + 4);
    CU_ASSERT_DOUBLE_EQUAL(RsConcurrency_Limit(&small), 2, 0.01);
    CU_ASSERT_DOUBLE_EQUAL(RsConcurrency_Limit(&slow), 2, 0.01);
    tear_down();
}

/* A target that no one has asked yet must not count as faster or slower than
 * the others, as it did with one default for all services. */
static void
test_new_target_starts_at_the_mean_of_the_service(void)
{
    struct rs_concurrency targets[2] = {0};
    struct rs_concurrency new_target = {0};
    const double elapsed_ms[2] = {200, 400};
    set_up();
    record_both(targets, lookups, elapsed_ms, START_MS, START_MS + 3000);
    RsConcurrency_Refresh(&new_target, &service);
    CU_ASSERT_DOUBLE_EQUAL(new_target.service_ms, 300, 30);
    CU_ASSERT_TRUE(targets[0].service_ms < 240);
    CU_ASSERT_TRUE(targets[1].service_ms > 360);
    tear_down();
}

/* When the whole service slows down, the mean work of its kinds changes
 * slowly. A target that no one has asked yet must follow the others at once.
 */
static void
test_new_target_starts_slow_in_a_slow_service(void)
{
    struct rs_concurrency targets[2] = {0};
    struct rs_concurrency new_target = {0};
    const double elapsed_ms[2] = {200, 200};
    const double slowed_ms[2] = {400, 400};
    set_up();
    record_both(targets, lookups, elapsed_ms, START_MS, START_MS + 10000);
    record_both(targets, lookups, slowed_ms, START_MS + 10000,
                START_MS + 13000);
    RsConcurrency_Refresh(&new_target, &service);
    CU_ASSERT_TRUE(targets[0].service_ms > 340);
    CU_ASSERT_DOUBLE_EQUAL(new_target.service_ms, targets[0].service_ms, 20);
    tear_down();
}

/* A target that happens to get the requests with long work is not slow. */
static void
test_long_work_does_not_make_a_target_slow(void)
{
    struct rs_concurrency targets[2] = {0};
    const double lookup_ms[2] = {100, 100};
    const double audit_ms[2] = {1000, 1000};
    set_up();
    record_both(targets, lookups, lookup_ms, START_MS, START_MS + 2000);
    record_both(targets, audits, audit_ms, START_MS + 2000, START_MS + 4000);
    for (int64_t ms = 4000; ms < 8000; ms += 100) {
        record(&targets[0], audits, 1000, START_MS + ms);
        record(&targets[1], lookups, 100, START_MS + ms);
    }
    CU_ASSERT_DOUBLE_EQUAL(targets[0].factor, targets[1].factor, 0.1);
    tear_down();
}

/* The fourth figure of the load header explains the longer work. */
static void
test_noisy_neighbour_does_not_change_the_factor(void)
{
    struct rs_concurrency targets[2] = {0};
    const double elapsed_ms[2] = {200, 200};
    const struct rs_concurrency_sample noisy = {600, 1, 300};
    set_up();
    record_both(targets, lookups, elapsed_ms, START_MS, START_MS + 3000);
    for (int64_t ms = 3000; ms < 3400; ms += 100) {
        RsConcurrency_Record(&targets[0], &service, lookups, &noisy,
                             START_MS + ms);
    }
    CU_ASSERT_DOUBLE_EQUAL(targets[0].factor, 1, 0.1);
    tear_down();
}

/* A target that turned three times as slow must be known as such after 2 s. */
static void
test_change_of_speed_is_followed_within_two_seconds(void)
{
    struct rs_concurrency targets[2] = {0};
    const double elapsed_ms[2] = {200, 200};
    const double changed_ms[2] = {600, 200};
    set_up();
    record_both(targets, lookups, elapsed_ms, START_MS, START_MS + 5000);
    record_both(targets, lookups, changed_ms, START_MS + 5000,
                START_MS + 7000);
    double ratio = targets[0].factor / targets[1].factor;
    CU_ASSERT_TRUE(ratio > 2);
    CU_ASSERT_TRUE(ratio < 3.3);
    tear_down();
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("concurrency", NULL, NULL);
    CU_ADD_TEST(suite, test_room_follows_from_slots_work_and_latency_target);
    CU_ADD_TEST(suite, test_new_target_starts_at_the_mean_of_the_service);
    CU_ADD_TEST(suite, test_new_target_starts_slow_in_a_slow_service);
    CU_ADD_TEST(suite, test_long_work_does_not_make_a_target_slow);
    CU_ADD_TEST(suite, test_noisy_neighbour_does_not_change_the_factor);
    CU_ADD_TEST(suite, test_change_of_speed_is_followed_within_two_seconds);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
