/* Workspaces that send more than their quota, through all nodes. */

#include <CUnit/Basic.h>
#include <glib.h>

#include "core/clock.h"
#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define NODES 4
#define TARGETS 6
#define WORK_MS 10
#define PER_S 30
#define BURST 30
#define INTERVAL_MS 7 /* between requests of the greedy workspace: 143/s */
/* The small workspace sends 3 requests a second of its 5, to two nodes. */
#define SMALL_EVERY 48
#define SURGE_MS 9000
#define AFTER_KILL_MS 12000
#define LAST_MS 4000
#define ANSWER_WITHIN_MS 3000
#define WINDOW_MS 5000
#define MAX_IN_WINDOW ((PER_S * 5 + BURST) * 1.1 + 20)
#define MIN_USED 0.85 /* of the quota, while more is asked for */
#define MIN_BACK_SERVED 0.9
#define MIN_BACK 20 /* of the 25 a second that the quota leaves a place */
#define MAX_SMALL_REFUSED 1
#define MS_PER_S 1000
#define TIMEOUT_MS 9000
/* Callers honour Retry-After up to a third of the time they have left. */
#define PATIENCE_S 2.95

static const struct rs_node_fixture_call greedy = {
    .headers = {{"authorization", "Bearer Key-g"}}};
static const struct rs_node_fixture_call small = {
    .headers = {{"authorization", "Bearer Key-s"}}};

static struct rs_node_fixture *
open_fixture(uint16_t base_port)
{
    const struct rs_node_fixture_options options = {
        .base_port = base_port,
        .node_count = NODES,
        .plain_targets = TARGETS,
        .work_ms = WORK_MS,
        .timeout_ms = TIMEOUT_MS,
        .workspaces = "{\"greedy\":{\"api_keys\":[\"Key-g\"],\"per_s\":30,"
                      "\"burst\":30},\"small\":{\"api_keys\":[\"Key-s\"],"
                      "\"per_s\":5,\"burst\":5},\"free\":{\"api_keys\":"
                      "[\"Key-f\"]}}",
        .authorization = "Bearer Key-f",
    };
    return RsNodeFixture_OpenServing(&options);
}

static bool
is_of(const struct rs_node_fixture_request *request,
      const struct rs_node_fixture_call *call)
{
    return request->extra[0].value == call->headers[0].value;
}

/* Sends requests of the greedy workspace to all nodes in turn, and some of the
 * small one to two nodes. */
static void
send_surge(struct rs_node_fixture *fixture, int64_t span_ms)
{
    int64_t end_at_ms = RsClock_NowMs() + span_ms;
    for (uint32_t i = 0; RsClock_NowMs() < end_at_ms; i++) {
        RsNodeFixture_PostWith(fixture, i % NODES, &greedy);
        if (i % SMALL_EVERY == 0) {
            RsNodeFixture_PostWith(fixture, i / SMALL_EVERY % 2, &small);
        }
        RsNodeFixture_Run(fixture, INTERVAL_MS);
    }
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    int64_t first = *(const int64_t *)a;
    int64_t second = *(const int64_t *)b;
    return (first > second) - (first < second);
}

/* Returns the most requests of the greedy workspace that ran in a window. A
 * request without an answer may have run as well. */
static uint32_t
most_in_window(const struct rs_node_fixture *fixture)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    uint32_t most = 0;
    guint first = 0;
    for (uint32_t i = 0; i < fixture->request_count; i++) {
        const struct rs_node_fixture_request *request = fixture->requests[i];
        if (is_of(request, &greedy) && request->status != 429 &&
            request->status != 503 && request->ended_at_ms > 0) {
            g_array_append_val(times, request->ended_at_ms);
        }
    }
    g_array_sort(times, compare_times);
    for (guint last = 0; last < times->len; last++) {
        while (g_array_index(times, int64_t, first) <=
               g_array_index(times, int64_t, last) - WINDOW_MS) {
            first++;
        }
        most = MAX(most, last - first + 1);
    }
    g_array_unref(times);
    return most;
}

static uint32_t
count_status(const struct rs_node_fixture *fixture,
             const struct rs_node_fixture_call *call, int status,
             int64_t since_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < fixture->request_count; i++) {
        const struct rs_node_fixture_request *request = fixture->requests[i];
        count += is_of(request, call) && request->status == status &&
                 request->sent_at_ms >= since_ms;
    }
    return count;
}

/* Lets the callers that were refused come back when they were told to, from
 * now on, and returns the part of them that is served. */
static double
come_back(struct rs_node_fixture *fixture)
{
    uint32_t former_count = fixture->request_count;
    uint32_t first = former_count;
    uint32_t due = 0;
    int64_t now_ms = RsClock_NowMs();
    for (int64_t end_ms = now_ms + WINDOW_MS + MS_PER_S; now_ms < end_ms;) {
        int64_t until_ms = RsClock_NowMs();
        for (uint32_t i = 0; i < former_count; i++) {
            const struct rs_node_fixture_request *request =
                fixture->requests[i];
            int64_t back_at_ms = request->ended_at_ms +
                                 (int64_t)(request->retry_after_s * MS_PER_S);
            if (request->status == 429 &&
                request->retry_after_s <= PATIENCE_S && back_at_ms > now_ms &&
                back_at_ms <= until_ms) {
                RsNodeFixture_PostWith(fixture, due++ % NODES, &greedy);
            }
        }
        now_ms = until_ms;
        RsNodeFixture_Run(fixture, INTERVAL_MS);
    }
    uint32_t served = 0;
    for (uint32_t i = first; i < fixture->request_count; i++) {
        RsNodeFixture_AwaitEnd(fixture->requests[i], ANSWER_WITHIN_MS);
        served += fixture->requests[i]->status == 200;
    }
    printf("came back: %u, served: %u\n", due, served);
    CU_ASSERT_TRUE(due >= MIN_BACK);
    return (double)served / MAX(due, 1);
}

/* Guards against a quota that holds at each node, but not for all together,
 * against refusals of another workspace, and against a Retry-After at which
 * the caller is refused again. */
void
test_greedy_workspace_is_held_to_its_quota(void)
{
    struct rs_node_fixture *fixture = open_fixture(28100);
    int64_t started_ms = RsClock_NowMs();
    send_surge(fixture, SURGE_MS);
    int64_t ended_ms = RsClock_NowMs();
    uint32_t last = fixture->request_count;
    CU_ASSERT_TRUE(come_back(fixture) >= MIN_BACK_SERVED);
    uint32_t ran = 0;
    uint32_t small_refused = 0;
    for (uint32_t i = 0; i < last; i++) {
        const struct rs_node_fixture_request *request = fixture->requests[i];
        ran += is_of(request, &greedy) && request->status == 200;
        small_refused += is_of(request, &small) && request->status != 200;
        CU_ASSERT_TRUE(request->status != 429 || request->retry_after_s > 0);
    }
    double span_s = (double)(ended_ms - started_ms) / MS_PER_S;
    uint32_t most = most_in_window(fixture);
    printf("ran: %.1f a second of %d; most in 5 s: %u of %.0f; refused of the "
           "small one: %u\n",
           ran / span_s, PER_S, most, MAX_IN_WINDOW, small_refused);
    CU_ASSERT_TRUE(most <= MAX_IN_WINDOW);
    CU_ASSERT_TRUE(ran / span_s >= MIN_USED * PER_S);
    CU_ASSERT_TRUE(small_refused <= MAX_SMALL_REFUSED);
    CU_ASSERT_TRUE(count_status(fixture, &greedy, 429, 0) > 0);
    CU_ASSERT_EQUAL(count_status(fixture, &small, 429, 0), small_refused);
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}

/* Guards against a new granter that grants what the former one has granted,
 * and against workspaces that get nothing after a change. */
void
test_quota_holds_when_the_granter_is_killed(void)
{
    struct rs_node_fixture *fixture = open_fixture(28200);
    send_surge(fixture, WINDOW_MS);
    uint32_t granter = RsNodeFixture_Granter(fixture, 0);
    RsNodeFixture_RestartNode(fixture, granter);
    send_surge(fixture, AFTER_KILL_MS - LAST_MS);
    int64_t last_ms = RsClock_NowMs();
    send_surge(fixture, LAST_MS);
    uint32_t served = count_status(fixture, &greedy, 200, last_ms);
    uint32_t most = most_in_window(fixture);
    printf("most in 5 s: %u of %.0f; served in the last 4 s: %u\n", most,
           MAX_IN_WINDOW, served);
    CU_ASSERT_TRUE(most <= MAX_IN_WINDOW);
    CU_ASSERT_TRUE(served > 0);
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}
