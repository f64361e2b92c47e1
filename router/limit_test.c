#include <CUnit/Basic.h>
#include <string.h>

#include "core/log.h"
#include "router/limit.h"

#define START_MS 100000
#define SPAN_MS 60000
#define WINDOW_MS 4000
#define MS_PER_S 1000
#define MAX_NODES 3500
#define MANY_NODES 300
/* A target may get this many requests within WINDOW_MS: LIMIT_FACTOR times
 * what its limit allows, and LIMIT_SLACK more. */
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5
#define MIN_USED 0.9 /* of the limit, while all nodes want to send */

static struct rs_limit limits[MAX_NODES];
static uint32_t sent[SPAN_MS];

static uint32_t
most_within_window(void)
{
    uint32_t most = 0;
    uint32_t in_window = 0;
    for (uint32_t ms = 0; ms < SPAN_MS; ms++) {
        in_window += sent[ms] - (ms >= WINDOW_MS ? sent[ms - WINDOW_MS] : 0);
        most = in_window > most ? in_window : most;
    }
    return most;
}

/* All nodes have requests for the target from `since` on, in ms, and send as
 * soon as they may. With `next_nodes` above 0, the number of nodes changes in
 * the middle, and with it the places of all nodes. */
static void
run_nodes(uint32_t nodes, uint32_t next_nodes, double per_s, uint32_t since)
{
    memset(sent, 0, sizeof(sent));
    memset(limits, 0, sizeof(limits));
    for (uint32_t n = 0; n < MAX_NODES; n++) {
        RsLimit_Record(&limits[n], per_s, START_MS, START_MS);
    }
    for (uint32_t ms = since; ms < SPAN_MS; ms++) {
        bool changed = next_nodes > 0 && ms >= SPAN_MS / 2;
        uint32_t count = changed ? next_nodes : nodes;
        for (uint32_t n = 0; n < count; n++) {
            struct rs_limit_place place = {(n + (changed ? 7 : 0)) % count,
                                           count};
            if (RsLimit_OpenAtMs(&limits[n], &place) <= START_MS + ms) {
                RsLimit_RecordSend(&limits[n], &place, START_MS + ms);
                sent[ms]++;
            }
        }
    }
}

static uint32_t
total_sent(void)
{
    uint32_t total = 0;
    for (uint32_t ms = 0; ms < SPAN_MS; ms++) {
        total += sent[ms];
    }
    return total;
}

static void
check_bound(double per_s)
{
    double allowed = LIMIT_FACTOR * per_s * WINDOW_MS / MS_PER_S + LIMIT_SLACK;
    CU_ASSERT_TRUE(most_within_window() <= allowed);
}

static const uint32_t node_counts[] = {1, 3, 11, 75, MANY_NODES};
static const double rates[] = {0.1, 0.5, 1.1, 1.9, 7, 40, 250};

static void
test_all_nodes_together_use_the_limit_and_keep_it(void)
{
    for (size_t n = 0; n < sizeof(node_counts) / sizeof(*node_counts); n++) {
        for (size_t r = 0; r < sizeof(rates) / sizeof(*rates); r++) {
            run_nodes(node_counts[n], 0, rates[r], 0);
            check_bound(rates[r]);
            CU_ASSERT_TRUE(total_sent() >=
                           MIN_USED * rates[r] * SPAN_MS / MS_PER_S);
        }
    }
}

/* After some quiet seconds, all senders may send at the same moment. */
static void
test_burst_after_quiet_time_is_within_the_bound(void)
{
    for (size_t r = 0; r < sizeof(rates) / sizeof(*rates); r++) {
        run_nodes(MAX_NODES, 0, rates[r], SPAN_MS / 2);
        check_bound(rates[r]);
    }
}

/* Other nodes become the senders while the former ones have just sent. */
static void
test_change_of_the_nodes_is_within_the_bound(void)
{
    for (size_t r = 0; r < sizeof(rates) / sizeof(*rates); r++) {
        run_nodes(11, 12, rates[r], 0);
        check_bound(rates[r]);
        run_nodes(75, 60, rates[r], 0);
        check_bound(rates[r]);
    }
}

static void
test_older_statement_changes_nothing(void)
{
    struct rs_limit limit = {0};
    CU_ASSERT_TRUE(RsLimit_Record(&limit, 2, START_MS, START_MS));
    CU_ASSERT_FALSE(RsLimit_Record(&limit, -1, START_MS - 1, START_MS + 5));
    CU_ASSERT_EQUAL(limit.per_s, 2);
    CU_ASSERT_TRUE(RsLimit_Record(&limit, -1, START_MS + 1, START_MS + 5));
    CU_ASSERT_EQUAL(limit.per_s, 0);
}

static void
test_limit_that_no_response_states_is_unconfirmed(void)
{
    struct rs_limit limit = {0};
    CU_ASSERT_FALSE(RsLimit_IsUnconfirmed(&limit, START_MS));
    RsLimit_Record(&limit, 2, START_MS, START_MS);
    CU_ASSERT_FALSE(RsLimit_IsUnconfirmed(&limit, START_MS + 1000));
    CU_ASSERT_TRUE(RsLimit_IsUnconfirmed(&limit, START_MS + 30000));
    CU_ASSERT_TRUE(
        RsLimit_Record(&limit, 2, START_MS + 30000, START_MS + 30000));
    CU_ASSERT_FALSE(RsLimit_IsUnconfirmed(&limit, START_MS + 30001));
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("limit", NULL, NULL);
    CU_ADD_TEST(suite, test_all_nodes_together_use_the_limit_and_keep_it);
    CU_ADD_TEST(suite, test_burst_after_quiet_time_is_within_the_bound);
    CU_ADD_TEST(suite, test_change_of_the_nodes_is_within_the_bound);
    CU_ADD_TEST(suite, test_older_statement_changes_nothing);
    CU_ADD_TEST(suite, test_limit_that_no_response_states_is_unconfirmed);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
