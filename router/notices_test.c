#include <CUnit/Basic.h>
#include <string.h>

#include "core/log.h"
#include "router/fixture.h"
#include "router/notices.h"

#define NOW_MS 100000
#define STARTED_WALL_MS 50
#define DRAIN_MS 2000

static struct rs_fleet fleet;
static struct rs_notice_counters counters;

/* Passes a report of the only target to the fleet. */
static void
report_target(int64_t started_wall_ms, uint64_t sequence, int64_t now_ms)
{
    const struct rs_fixture_report report = {
        .id = "a",
        .service = "s",
        .zone = "z",
        .port = 1000,
        .started_wall_ms = started_wall_ms,
        .sequence = sequence,
    };
    RsFixture_Report(&fleet, &report, now_ms);
}

/* Returns a target of a fleet that has no other. */
static struct rs_fleet_target *
new_target(void)
{
    counters = (struct rs_notice_counters){0};
    RsFleet_Init(&fleet, RsFixture_FleetEvents(), NULL);
    RsFleet_SetDrainMs(&fleet, DRAIN_MS);
    report_target(STARTED_WALL_MS, 5, NOW_MS);
    return RsFleet_Find(&fleet, g_intern_string("a"));
}

/* Reports a new process of the target. */
static void
restart_target(void)
{
    report_target(STARTED_WALL_MS + 1000, 1, NOW_MS);
}

static bool
read_notices(struct rs_fleet_target *target, int status,
             const struct rs_http_header *headers, size_t count)
{
    const struct rs_http_head head = {
        .status = status, .headers = headers, .header_count = count};
    return RsNotices_Read(&counters, target, STARTED_WALL_MS, &head, NOW_MS);
}

static bool
read_leaving(struct rs_fleet_target *target)
{
    const struct rs_http_header header = {"Server-Leaving", "1"};
    return read_notices(target, 200, &header, 1);
}

/* Reads a refusal with this time, and returns for how long the target is
 * closed then. */
static int64_t
closed_for_ms(struct rs_fleet_target *target, const char *retry_after)
{
    const struct rs_http_header header = {"Retry-After", retry_after};
    target->closed_until_ms = 0;
    read_notices(target, 503, &header, 1);
    return MAX(target->closed_until_ms - NOW_MS, (int64_t)0);
}

static void
test_leaving_target_gets_only_requests_for_its_keys(void)
{
    struct rs_fleet_target *target = new_target();
    CU_ASSERT_TRUE(read_leaving(target));
    CU_ASSERT_FALSE(read_leaving(target)); /* no news */
    CU_ASSERT_FALSE(RsFleet_MayTakeWork(&fleet, target, NOW_MS));
    CU_ASSERT_TRUE(RsFleet_MayKeepWork(&fleet, target, NOW_MS + 1000));
    CU_ASSERT_FALSE(RsFleet_MayKeepWork(&fleet, target, NOW_MS + DRAIN_MS));
    CU_ASSERT_EQUAL(RsCounter_Read(&counters.leaving), 1);
    RsFleet_Clear(&fleet);
}

/* The report that the target is leaving may come later than the answer. */
static void
test_ready_report_does_not_take_the_notice_back(void)
{
    struct rs_fleet_target *target = new_target();
    read_leaving(target);
    report_target(STARTED_WALL_MS, 6, NOW_MS + 100);
    CU_ASSERT_FALSE(RsFleet_MayTakeWork(&fleet, target, NOW_MS + 100));
    RsFleet_Clear(&fleet);
}

static void
test_other_values_of_the_header_are_no_notice(void)
{
    static const char *const values[] = {"", "0", "true", "11"};
    struct rs_fleet_target *target = new_target();
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        const struct rs_http_header header = {"Server-Leaving", values[i]};
        CU_ASSERT_FALSE(read_notices(target, 200, &header, 1));
    }
    CU_ASSERT_TRUE(RsFleet_MayTakeWork(&fleet, target, NOW_MS));
    RsFleet_Clear(&fleet);
}

/* The answer of an earlier process may arrive after the next one was reported.
 */
static void
test_notices_of_an_earlier_process_are_ignored(void)
{
    struct rs_fleet_target *target = new_target();
    restart_target();
    CU_ASSERT_FALSE(read_leaving(target));
    CU_ASSERT_EQUAL(closed_for_ms(target, "5"), 0);
    CU_ASSERT_TRUE(RsFleet_MayTakeWork(&fleet, target, NOW_MS));
    RsFleet_Clear(&fleet);
}

static void
test_new_process_is_neither_leaving_nor_closed(void)
{
    struct rs_fleet_target *target = new_target();
    read_leaving(target);
    closed_for_ms(target, "30");
    restart_target();
    CU_ASSERT_TRUE(RsFleet_MayTakeWork(&fleet, target, NOW_MS));
    CU_ASSERT_FALSE(RsFleet_IsClosed(target, NOW_MS));
    RsFleet_Clear(&fleet);
}

static void
test_refusal_closes_the_target_for_its_time(void)
{
    struct rs_fleet_target *target = new_target();
    CU_ASSERT_EQUAL(closed_for_ms(target, "2"), 2000);
    CU_ASSERT_EQUAL(closed_for_ms(target, "1.25"), 1250);
    CU_ASSERT_TRUE(RsFleet_IsClosed(target, NOW_MS + 1200));
    CU_ASSERT_FALSE(RsFleet_IsClosed(target, NOW_MS + 1250));
    CU_ASSERT_EQUAL(RsCounter_Read(&counters.malformed), 0);
    RsFleet_Clear(&fleet);
}

/* A second refusal with less time doesn't open the target early. */
static void
test_later_refusal_does_not_shorten_the_time(void)
{
    struct rs_fleet_target *target = new_target();
    const struct rs_http_header header = {"Retry-After", "1"};
    closed_for_ms(target, "4");
    read_notices(target, 503, &header, 1);
    CU_ASSERT_EQUAL(target->closed_until_ms, NOW_MS + 4000);
    RsFleet_Clear(&fleet);
}

static void
test_bad_times_are_ignored_and_counted(void)
{
    static const char *const values[] = {
        "",     "-1",  "soon", "1s", "1e9",
        "3601", "nan", "inf",  " 1", "Fri, 04 Dec 2026 10:00:00 GMT"};
    const struct rs_http_header two[] = {{"Retry-After", "1"},
                                         {"retry-after", "2"}};
    struct rs_fleet_target *target = new_target();
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        CU_ASSERT_EQUAL(closed_for_ms(target, values[i]), 0);
    }
    CU_ASSERT_FALSE(read_notices(target, 503, two, 2));
    CU_ASSERT_FALSE(RsFleet_IsClosed(target, NOW_MS));
    CU_ASSERT_EQUAL(RsCounter_Read(&counters.malformed),
                    G_N_ELEMENTS(values) + 1);
    RsFleet_Clear(&fleet);
}

static void
test_retry_after_counts_only_in_a_refusal(void)
{
    const struct rs_http_header header = {"Retry-After", "5"};
    struct rs_fleet_target *target = new_target();
    CU_ASSERT_FALSE(read_notices(target, 200, &header, 1));
    CU_ASSERT_FALSE(read_notices(target, 429, &header, 1));
    CU_ASSERT_FALSE(RsFleet_IsClosed(target, NOW_MS));
    RsFleet_Clear(&fleet);
}

static bool
read_limit(struct rs_fleet_target *target, const char *limit)
{
    const struct rs_http_header headers[] = {{"X-Server-Signature", "s"},
                                             {"Server-Limit", limit}};
    return read_notices(target, 200, headers, limit != NULL ? 2 : 1);
}

static void
test_limit_lasts_until_a_signed_answer_without_it(void)
{
    const struct rs_http_header refusal = {"X-Not-Executed", "1"};
    struct rs_fleet_target *target = new_target();
    CU_ASSERT_TRUE(read_limit(target, "2.5"));
    CU_ASSERT_FALSE(read_limit(target, "1.5")); /* no news */
    CU_ASSERT_EQUAL(target->limit.per_s, 1.5);
    CU_ASSERT_FALSE(read_notices(target, 503, &refusal, 1));
    CU_ASSERT_EQUAL(target->limit.per_s, 1.5);
    CU_ASSERT_TRUE(read_limit(target, NULL));
    CU_ASSERT_EQUAL(target->limit.per_s, 0);
    CU_ASSERT_EQUAL(RsCounter_Read(&counters.limited), 2);
    RsFleet_Clear(&fleet);
}

static void
test_new_process_has_no_limit(void)
{
    struct rs_fleet_target *target = new_target();
    read_limit(target, "2");
    restart_target();
    CU_ASSERT_EQUAL(target->limit.per_s, 0);
    CU_ASSERT_FALSE(read_limit(target, "2")); /* of the former process */
    CU_ASSERT_EQUAL(target->limit.per_s, 0);
    RsFleet_Clear(&fleet);
}

static void
test_bad_limits_are_ignored_and_counted(void)
{
    static const char *const values[] = {"",    "-1",  "few", "1/s",
                                         "nan", "inf", " 1"};
    const struct rs_http_header two[] = {{"Server-Limit", "1"},
                                         {"server-limit", "2"}};
    struct rs_fleet_target *target = new_target();
    read_limit(target, "3");
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        CU_ASSERT_FALSE(read_limit(target, values[i]));
    }
    CU_ASSERT_FALSE(read_notices(target, 200, two, 2));
    CU_ASSERT_EQUAL(target->limit.per_s, 3);
    CU_ASSERT_EQUAL(RsCounter_Read(&counters.malformed_limits),
                    G_N_ELEMENTS(values) + 1);
    RsFleet_Clear(&fleet);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("notices", NULL, NULL);
    CU_ADD_TEST(suite, test_leaving_target_gets_only_requests_for_its_keys);
    CU_ADD_TEST(suite, test_ready_report_does_not_take_the_notice_back);
    CU_ADD_TEST(suite, test_other_values_of_the_header_are_no_notice);
    CU_ADD_TEST(suite, test_notices_of_an_earlier_process_are_ignored);
    CU_ADD_TEST(suite, test_new_process_is_neither_leaving_nor_closed);
    CU_ADD_TEST(suite, test_refusal_closes_the_target_for_its_time);
    CU_ADD_TEST(suite, test_later_refusal_does_not_shorten_the_time);
    CU_ADD_TEST(suite, test_bad_times_are_ignored_and_counted);
    CU_ADD_TEST(suite, test_retry_after_counts_only_in_a_refusal);
    CU_ADD_TEST(suite, test_limit_lasts_until_a_signed_answer_without_it);
    CU_ADD_TEST(suite, test_new_process_has_no_limit);
    CU_ADD_TEST(suite, test_bad_limits_are_ignored_and_counted);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
