#include <CUnit/Basic.h>

#include "core/log.h"
#include "router/suspects.h"

#define REQUEST 7
#define OTHER_REQUEST 8
#define STARTED_MS 100
#define RUN_MS 5
#define INTERVAL_MS 150 /* between two messages to a node */

/* The request ended a process of a target soon after it was sent there. */
static void
crash(struct rs_suspects *suspects, uint64_t request, const char *target,
      int64_t now_ms)
{
    const char *id = g_intern_string(target);
    RsSuspects_RecordBreak(suspects, request, id, STARTED_MS, now_ms - RUN_MS,
                           now_ms);
    RsSuspects_RecordEnd(suspects, id, STARTED_MS + 1, now_ms + 5);
}

static bool
is_refused(const struct rs_suspects *suspects, uint64_t request,
           int64_t now_ms)
{
    return RsSuspects_RefusedUntilMs(suspects, request, now_ms) > 0;
}

static void
test_request_is_refused_after_two_crashes(void)
{
    struct rs_suspects suspects;
    RsSuspects_Init(&suspects);
    CU_ASSERT_TRUE(RsSuspects_IsEmpty(&suspects));
    crash(&suspects, REQUEST, "a", 1000);
    CU_ASSERT_FALSE(is_refused(&suspects, REQUEST, 2000));
    crash(&suspects, REQUEST, "b", 8000);
    CU_ASSERT_TRUE(is_refused(&suspects, REQUEST, 9000));
    CU_ASSERT_FALSE(is_refused(&suspects, OTHER_REQUEST, 9000));
    CU_ASSERT_EQUAL(RsSuspects_RefusedUntilMs(&suspects, REQUEST, 9000),
                    11100);
    RsSuspects_Clear(&suspects);
}

/* One trial must not lead to others soon. */
static void
test_crash_on_trial_ends_the_trials(void)
{
    struct rs_suspects suspects;
    RsSuspects_Init(&suspects);
    crash(&suspects, REQUEST, "a", 4000);
    crash(&suspects, REQUEST, "b", 8000);
    CU_ASSERT_TRUE(is_refused(&suspects, REQUEST, 11090));
    CU_ASSERT_FALSE(is_refused(&suspects, REQUEST, 11110));
    CU_ASSERT_TRUE(is_refused(&suspects, REQUEST, 11400));
    CU_ASSERT_FALSE(is_refused(&suspects, REQUEST, 11110 + 2400));
    crash(&suspects, REQUEST, "c", 13600);
    for (int64_t now_ms = 13700; now_ms < 13600 + 600000; now_ms += 100) {
        CU_ASSERT_TRUE(is_refused(&suspects, REQUEST, now_ms));
    }
    CU_ASSERT_FALSE(is_refused(&suspects, REQUEST, 13600 + 600000));
    crash(&suspects, REQUEST, "d", 700000);
    CU_ASSERT_TRUE(is_refused(&suspects, REQUEST, 700000 + 1190000));
    RsSuspects_Clear(&suspects);
}

/* CONFIG (review/14): all targets of a service ended at once, and the requests
 * that were in flight there were refused for ten minutes. No trial can have
 * begun before the last of these crashes. */
static void
test_crashes_at_one_moment_leave_trials(void)
{
    struct rs_suspects suspects;
    const char *const targets[] = {"a", "b", "c", "d", "e", "f"};
    RsSuspects_Init(&suspects);
    for (int64_t i = 0; i < 6; i++) {
        crash(&suspects, REQUEST, targets[i], 1000 + 10 * i);
    }
    CU_ASSERT_TRUE(is_refused(&suspects, REQUEST, 1500));
    int64_t trial_at_ms = RsSuspects_RefusedUntilMs(&suspects, REQUEST, 1500);
    CU_ASSERT_TRUE(trial_at_ms < 6000);
    CU_ASSERT_FALSE(is_refused(&suspects, REQUEST, trial_at_ms));
    RsSuspects_RecordAnswer(&suspects, REQUEST, trial_at_ms + 10);
    CU_ASSERT_FALSE(is_refused(&suspects, REQUEST, trial_at_ms + 20));
    RsSuspects_Clear(&suspects);
}

/* Many targets end at once. A trial counts all the same. */
static void
test_trial_counts_after_many_crashes(void)
{
    struct rs_suspects suspects;
    char target[16];
    RsSuspects_Init(&suspects);
    for (int64_t i = 0; i < 100; i++) {
        snprintf(target, sizeof(target), "t%d", (int)i);
        crash(&suspects, REQUEST, target, 1000 + i);
    }
    CU_ASSERT_TRUE(RsSuspects_RefusedUntilMs(&suspects, REQUEST, 1200) < 6000);
    for (int64_t i = 1; i <= 3; i++) {
        snprintf(target, sizeof(target), "u%d", (int)i);
        crash(&suspects, REQUEST, target, 5000 * i);
        CU_ASSERT_EQUAL(
            RsSuspects_RefusedUntilMs(&suspects, REQUEST, 5000 * i + 100),
            5000 * i + (600000 << (i - 1)));
    }
    RsSuspects_Clear(&suspects);
}

/* A request that was sent before the others crashed is not on trial, however
 * late its target ends. */
static void
test_long_request_is_not_on_trial(void)
{
    struct rs_suspects suspects;
    const char *id = g_intern_string("c");
    RsSuspects_Init(&suspects);
    crash(&suspects, REQUEST, "a", 1000);
    crash(&suspects, REQUEST, "b", 1000);
    RsSuspects_RecordBreak(&suspects, REQUEST, id, STARTED_MS, 900, 9000);
    RsSuspects_RecordEnd(&suspects, id, STARTED_MS + 1, 9005);
    CU_ASSERT_TRUE(RsSuspects_RefusedUntilMs(&suspects, REQUEST, 9100) <
                   14000);
    crash(&suspects, REQUEST, "d", 12000);
    CU_ASSERT_TRUE(RsSuspects_RefusedUntilMs(&suspects, REQUEST, 12100) >
                   600000);
    RsSuspects_Clear(&suspects);
}

/* Each request has a trial in a cycle, few at the same time. */
static void
test_trials_are_spread(void)
{
    struct rs_suspects suspects;
    uint32_t trials[64] = {0};
    RsSuspects_Init(&suspects);
    for (uint64_t request = 0; request < 64; request++) {
        crash(&suspects, request + 1, "a", 1000);
        crash(&suspects, request + 1, "b", 3000);
    }
    for (int64_t now_ms = 4000; now_ms < 6400; now_ms += 10) {
        uint32_t open = 0;
        for (uint64_t request = 0; request < 64; request++) {
            bool refused = is_refused(&suspects, request + 1, now_ms);
            trials[request] += !refused;
            open += !refused;
        }
        CU_ASSERT_TRUE(open <= 8);
    }
    for (uint64_t request = 0; request < 64; request++) {
        CU_ASSERT_EQUAL(trials[request], 30);
    }
    RsSuspects_Clear(&suspects);
}

/* A full target resets connections; it has not ended. */
static void
test_broken_connections_alone_do_not_matter(void)
{
    struct rs_suspects suspects;
    const char *target = g_intern_string("a");
    RsSuspects_Init(&suspects);
    for (int64_t i = 0; i < 20; i++) {
        RsSuspects_RecordBreak(&suspects, REQUEST, target, STARTED_MS, 990 + i,
                               1000 + i);
    }
    CU_ASSERT_TRUE(RsSuspects_IsEmpty(&suspects));
    CU_ASSERT_FALSE(RsSuspects_RecordEnd(&suspects, target, STARTED_MS, 2000));
    CU_ASSERT_FALSE(
        RsSuspects_RecordEnd(&suspects, target, STARTED_MS + 1, 60000));
    CU_ASSERT_TRUE(RsSuspects_IsEmpty(&suspects));
    RsSuspects_Clear(&suspects);
}

/* Several nodes may see the end of the same process. */
static void
test_one_process_counts_once(void)
{
    struct rs_suspects suspects;
    RsSuspects_Init(&suspects);
    for (int64_t i = 0; i < 5; i++) {
        crash(&suspects, REQUEST, "a", 1000 + i);
    }
    CU_ASSERT_FALSE(is_refused(&suspects, REQUEST, 1100));
    RsSuspects_Clear(&suspects);
}

/* Other requests are in flight at the targets that one has crashed. They are
 * answered in between. */
static void
test_answer_clears_a_request(void)
{
    struct rs_suspects suspects;
    const char *const targets[] = {"a", "b", "c", "d", "e"};
    RsSuspects_Init(&suspects);
    for (int64_t i = 0; i < 5; i++) {
        crash(&suspects, REQUEST, targets[i], 1000 * i + 1000);
        crash(&suspects, OTHER_REQUEST, targets[i], 1000 * i + 1000);
        CU_ASSERT_TRUE(RsSuspects_RecordAnswer(&suspects, OTHER_REQUEST,
                                               1000 * i + 1500));
        CU_ASSERT_FALSE(RsSuspects_RecordAnswer(&suspects, OTHER_REQUEST,
                                                1000 * i + 1600));
    }
    CU_ASSERT_TRUE(is_refused(&suspects, REQUEST, 6000));
    CU_ASSERT_FALSE(is_refused(&suspects, OTHER_REQUEST, 6000));
    RsSuspects_Clear(&suspects);
}

static void
tell(const struct rs_suspects *from, struct rs_suspects *to, int64_t now_ms)
{
    GPtrArray *due = RsSuspects_ListDue(from, INTERVAL_MS, now_ms);
    for (guint i = 0; i < due->len; i++) {
        RsSuspects_Merge(to, g_ptr_array_index(due, i), now_ms);
    }
    g_ptr_array_unref(due);
}

/* Each node sees one crash. What they tell each other may come in any order
 * and more than once. */
static void
test_nodes_together_know_all_crashes(void)
{
    struct rs_suspects nodes[3];
    const char *const targets[] = {"a", "b", "c"};
    for (int i = 0; i < 3; i++) {
        RsSuspects_Init(&nodes[i]);
        crash(&nodes[i], REQUEST, targets[i], 1000 + i);
        crash(&nodes[i], OTHER_REQUEST, targets[i], 1000 + i);
    }
    RsSuspects_RecordAnswer(&nodes[2], OTHER_REQUEST, 1100);
    for (int round = 0; round < 2; round++) {
        for (int i = 1; i < 3; i++) {
            tell(&nodes[i], &nodes[0], 1200);
            tell(&nodes[0], &nodes[i], 1200);
        }
    }
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(is_refused(&nodes[i], REQUEST, 1300));
        CU_ASSERT_FALSE(is_refused(&nodes[i], OTHER_REQUEST, 1300));
        RsSuspects_Clear(&nodes[i]);
    }
}

/* A node that starts later is told within some seconds. */
static void
test_old_suspects_are_told_in_turns(void)
{
    struct rs_suspects known;
    struct rs_suspects started;
    RsSuspects_Init(&known);
    RsSuspects_Init(&started);
    crash(&known, REQUEST, "a", 1000);
    crash(&known, REQUEST, "b", 2000);
    crash(&known, REQUEST, "c", 3000);
    size_t told = 0;
    for (int64_t now_ms = 20000; now_ms < 24000; now_ms += 150) {
        GPtrArray *due = RsSuspects_ListDue(&known, INTERVAL_MS, now_ms);
        told += due->len;
        g_ptr_array_unref(due);
        tell(&known, &started, now_ms);
    }
    CU_ASSERT_TRUE(told >= 1 && told <= 4);
    CU_ASSERT_TRUE(is_refused(&started, REQUEST, 24000));
    RsSuspects_Clear(&known);
    RsSuspects_Clear(&started);
}

/* With many nodes, each is told less often. */
static void
test_changes_are_told_at_any_interval(void)
{
    for (uint32_t interval_ms = 150; interval_ms < 20000; interval_ms *= 3) {
        struct rs_suspects suspects;
        uint32_t told = 0;
        RsSuspects_Init(&suspects);
        crash(&suspects, REQUEST, "a", 100000);
        for (uint32_t i = 0; i < 40; i++) {
            GPtrArray *due = RsSuspects_ListDue(
                &suspects, interval_ms, 100100 + (int64_t)i * interval_ms);
            told += due->len;
            CU_ASSERT_TRUE(i >= 3 || due->len == 1);
            g_ptr_array_unref(due);
        }
        CU_ASSERT_TRUE(told >= 4 && told <= 10);
        RsSuspects_Clear(&suspects);
    }
}

static void
test_old_suspects_are_forgotten(void)
{
    struct rs_suspects suspects;
    RsSuspects_Init(&suspects);
    crash(&suspects, REQUEST, "a", 1000);
    crash(&suspects, OTHER_REQUEST, "b", 3602000);
    CU_ASSERT_EQUAL(g_hash_table_size(suspects.suspects), 1);
    RsSuspects_Clear(&suspects);
}

static void
test_memory_is_bounded(void)
{
    struct rs_suspects suspects;
    RsSuspects_Init(&suspects);
    for (uint64_t i = 1; i <= 2000; i++) {
        crash(&suspects, i, "a", 1000 + (int64_t)i);
        RsSuspects_RecordBreak(&suspects, i, g_intern_string("b"), STARTED_MS,
                               1000 + (int64_t)i, 1000 + (int64_t)i);
    }
    CU_ASSERT_TRUE(g_hash_table_size(suspects.suspects) <= 256);
    CU_ASSERT_TRUE(suspects.breaks->len <= 512);
    RsSuspects_Clear(&suspects);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("suspects", NULL, NULL);
    CU_ADD_TEST(suite, test_request_is_refused_after_two_crashes);
    CU_ADD_TEST(suite, test_crash_on_trial_ends_the_trials);
    CU_ADD_TEST(suite, test_crashes_at_one_moment_leave_trials);
    CU_ADD_TEST(suite, test_trial_counts_after_many_crashes);
    CU_ADD_TEST(suite, test_long_request_is_not_on_trial);
    CU_ADD_TEST(suite, test_trials_are_spread);
    CU_ADD_TEST(suite, test_broken_connections_alone_do_not_matter);
    CU_ADD_TEST(suite, test_one_process_counts_once);
    CU_ADD_TEST(suite, test_answer_clears_a_request);
    CU_ADD_TEST(suite, test_nodes_together_know_all_crashes);
    CU_ADD_TEST(suite, test_old_suspects_are_told_in_turns);
    CU_ADD_TEST(suite, test_changes_are_told_at_any_interval);
    CU_ADD_TEST(suite, test_old_suspects_are_forgotten);
    CU_ADD_TEST(suite, test_memory_is_bounded);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
