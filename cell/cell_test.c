#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "cell/cell.h"
#include "cell/cell_wire.h"
#include "wire/frame.h"

#define PROCESSES 6
#define SLICE_ID 42
#define LEASE_MS 900
#define RENEW_MS 250
#define MARGIN_MS 50
#define TICK_MS 10

/* Simulated processes with ids 1 to PROCESSES; index 0 is unused. */
struct cluster {
    int64_t now_ms;
    struct rs_cell *cells[PROCESSES + 1];
    /* messages to and from the process are lost */
    bool disconnected[PROCESSES + 1];
    /* the process does nothing; messages to the process wait */
    bool paused[PROCESSES + 1];
    GQueue messages;
    struct rs_cell_event last_event[PROCESSES + 1];
    unsigned event_counts[PROCESSES + 1][RsCell_EVENT_SEALED + 1];
    uint64_t last_incarnation;
};

static const struct rs_cell_roster three_members = {
    .version = 1, .members = {1, 2, 3}, .member_count = 3};

/* Starts a process, or restarts it without memory. */
static void
start_process(struct cluster *cluster, uint64_t id)
{
    if (cluster->cells[id] != NULL) {
        RsCell_Free(cluster->cells[id]);
    }
    struct rs_cell_options options = {.self = id,
                                      .incarnation =
                                          ++cluster->last_incarnation,
                                      .start_ms = cluster->now_ms,
                                      .lease_ms = LEASE_MS,
                                      .renew_every_ms = RENEW_MS,
                                      .margin_ms = MARGIN_MS};
    cluster->cells[id] = RsCell_New(&options);
}

/* Applies a complete read of the platform's table to one process. */
static void
apply_table(struct cluster *cluster, uint64_t id, uint64_t epoch,
            const struct rs_cell_roster *roster)
{
    RsCell_RecordTableEpoch(cluster->cells[id], SLICE_ID, epoch);
    RsCell_SetRoster(cluster->cells[id], cluster->now_ms, roster);
    RsCell_MarkTableRead(cluster->cells[id]);
}

/* Takes all events and messages out of one process: counts the events and
 * queues the messages for delivery. */
static void
collect_output(struct cluster *cluster, uint64_t id)
{
    struct rs_cell_event event;
    struct rs_cell_message message;
    while (RsCell_NextEvent(cluster->cells[id], &event)) {
        cluster->event_counts[id][event.kind]++;
        cluster->last_event[id] = event;
    }
    while (RsCell_NextMessage(cluster->cells[id], &message)) {
        g_queue_push_tail(&cluster->messages,
                          g_memdup2(&message, sizeof(message)));
    }
}

/* Delivers the queued messages. Keeps messages to paused processes. Of the
 * others, drops those to or from disconnected processes. The answers stay
 * queued. */
static void
deliver_messages(struct cluster *cluster)
{
    for (guint i = g_queue_get_length(&cluster->messages); i > 0; i--) {
        struct rs_cell_message *message = g_queue_pop_head(&cluster->messages);
        if (cluster->paused[message->to]) {
            g_queue_push_tail(&cluster->messages, message);
            continue;
        }
        if (!cluster->disconnected[message->to] &&
            !cluster->disconnected[message->from]) {
            RsCell_Receive(cluster->cells[message->to], cluster->now_ms,
                           message);
            collect_output(cluster, message->to);
        }
        RsCell_FreeMessage(message);
        g_free(message);
    }
}

static unsigned
count_holders(const struct cluster *cluster)
{
    unsigned count = 0;
    for (uint64_t id = 1; id <= PROCESSES; id++) {
        count += RsCell_Holds(cluster->cells[id], cluster->now_ms, SLICE_ID,
                              NULL, NULL)
                     ? 1
                     : 0;
    }
    return count;
}

/* Advances time in steps of TICK_MS; fails when two processes hold the
 * slice. */
static void
run_for(struct cluster *cluster, int64_t for_ms)
{
    int64_t end_ms = cluster->now_ms + for_ms;
    while (cluster->now_ms < end_ms) {
        for (uint64_t id = 1; id <= PROCESSES; id++) {
            if (!cluster->paused[id]) {
                RsCell_Tick(cluster->cells[id], cluster->now_ms);
                collect_output(cluster, id);
            }
        }
        deliver_messages(cluster);
        cluster->now_ms += TICK_MS;
        if (count_holders(cluster) > 1) {
            CU_FAIL("two holders");
        }
    }
}

/* Starts all processes, of which 1 to 3 are members of one cell, and runs
 * until these may promise. */
static void
start_cluster(struct cluster *cluster)
{
    memset(cluster, 0, sizeof(*cluster));
    cluster->now_ms = 1000;
    g_queue_init(&cluster->messages);
    for (uint64_t id = 1; id <= PROCESSES; id++) {
        start_process(cluster, id);
        if (id <= 3) {
            apply_table(cluster, id, 1, &three_members);
        }
    }
    run_for(cluster, LEASE_MS + RENEW_MS);
}

static void
drop_messages(struct cluster *cluster)
{
    struct rs_cell_message *message;
    while ((message = g_queue_pop_head(&cluster->messages)) != NULL) {
        RsCell_FreeMessage(message);
        g_free(message);
    }
}

static void
free_cluster(struct cluster *cluster)
{
    drop_messages(cluster);
    for (uint64_t id = 1; id <= PROCESSES; id++) {
        RsCell_Free(cluster->cells[id]);
    }
}

static void
claim_slice(struct cluster *cluster, uint64_t id, uint64_t epoch)
{
    CU_ASSERT_EQUAL(
        RsCell_Claim(cluster->cells[id], cluster->now_ms, SLICE_ID, epoch, 0),
        0);
}

static bool
holds(const struct cluster *cluster, uint64_t id)
{
    return RsCell_Holds(cluster->cells[id], cluster->now_ms, SLICE_ID, NULL,
                        NULL);
}

static uint32_t
get_held_step(const struct cluster *cluster, uint64_t id)
{
    struct rs_cell_claim held = {0};
    CU_ASSERT_TRUE(RsCell_Holds(cluster->cells[id], cluster->now_ms, SLICE_ID,
                                &held, NULL));
    return held.fence.step;
}

static void
test_claim_is_held_and_kept(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    CU_ASSERT_TRUE(holds(&cluster, 1));
    CU_ASSERT_EQUAL(cluster.event_counts[1][RsCell_EVENT_HELD], 1);
    run_for(&cluster, 5 * LEASE_MS);
    CU_ASSERT_TRUE(holds(&cluster, 1));
    CU_ASSERT_EQUAL(cluster.event_counts[1][RsCell_EVENT_LOST], 0);
    struct rs_cell_view view;
    CU_ASSERT_TRUE(
        RsCell_GetView(cluster.cells[3], cluster.now_ms, SLICE_ID, &view));
    CU_ASSERT_EQUAL(view.holder, 1);
    free_cluster(&cluster);
}

static void
test_second_claim_waits_for_expiry(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    claim_slice(&cluster, 2, 1);
    run_for(&cluster, 50);
    CU_ASSERT_EQUAL(cluster.last_event[2].kind, RsCell_EVENT_REFUSED);
    CU_ASSERT_EQUAL(cluster.last_event[2].error, RsCell_HELD_BY_OTHER);
    CU_ASSERT_EQUAL(cluster.last_event[2].holder, 1);
    CU_ASSERT_TRUE(cluster.last_event[2].retry_at_ms > cluster.now_ms);
    cluster.disconnected[1] = true;
    run_for(&cluster, LEASE_MS + RENEW_MS);
    CU_ASSERT_FALSE(holds(&cluster, 1));
    CU_ASSERT_EQUAL(cluster.event_counts[1][RsCell_EVENT_LOST], 1);
    claim_slice(&cluster, 2, 1);
    run_for(&cluster, 50);
    CU_ASSERT_EQUAL(get_held_step(&cluster, 2), 2);
    free_cluster(&cluster);
}

static void
test_released_slice_can_be_claimed_at_once(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    RsCell_Release(cluster.cells[1], cluster.now_ms, SLICE_ID, 3);
    run_for(&cluster, 50);
    CU_ASSERT_FALSE(holds(&cluster, 1));
    CU_ASSERT_EQUAL(cluster.last_event[2].kind, RsCell_EVENT_RELEASED);
    CU_ASSERT_EQUAL(cluster.last_event[2].claim.position, 3);
    claim_slice(&cluster, 2, 1);
    run_for(&cluster, 50);
    CU_ASSERT_EQUAL(get_held_step(&cluster, 2), 1);
    free_cluster(&cluster);
}

static void
test_lost_release_is_sent_again(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    cluster.disconnected[1] = true;
    RsCell_Release(cluster.cells[1], cluster.now_ms, SLICE_ID, 0);
    run_for(&cluster, RENEW_MS + 50);
    cluster.disconnected[1] = false;
    run_for(&cluster, RENEW_MS + 50);
    CU_ASSERT_EQUAL(cluster.event_counts[2][RsCell_EVENT_RELEASED], 1);
    CU_ASSERT_EQUAL(cluster.event_counts[3][RsCell_EVENT_RELEASED], 1);
    free_cluster(&cluster);
}

static void
test_majority_lost_ends_the_lease(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    cluster.disconnected[2] = true;
    run_for(&cluster, 2 * LEASE_MS);
    CU_ASSERT_TRUE(holds(&cluster, 1));
    cluster.disconnected[3] = true;
    run_for(&cluster, LEASE_MS);
    CU_ASSERT_FALSE(holds(&cluster, 1));
    free_cluster(&cluster);
}

static void
test_paused_holder_loses_its_lease(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    cluster.paused[1] = true;
    run_for(&cluster, LEASE_MS + RENEW_MS);
    claim_slice(&cluster, 2, 1);
    run_for(&cluster, 50);
    CU_ASSERT_TRUE(holds(&cluster, 2));
    cluster.paused[1] = false;
    CU_ASSERT_FALSE(holds(&cluster, 1));
    run_for(&cluster, LEASE_MS);
    CU_ASSERT_EQUAL(cluster.event_counts[1][RsCell_EVENT_LOST], 1);
    CU_ASSERT_TRUE(holds(&cluster, 2));
    free_cluster(&cluster);
}

static void
test_paused_member_promises_nothing_for_a_lease(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    cluster.paused[2] = true;
    cluster.disconnected[3] = true;
    run_for(&cluster, LEASE_MS);
    cluster.paused[2] = false;
    run_for(&cluster, TICK_MS);
    int64_t resumed_at_ms = cluster.now_ms;
    while (!holds(&cluster, 1) &&
           cluster.now_ms < resumed_at_ms + 3 * LEASE_MS) {
        if (!RsCell_IsClaiming(cluster.cells[1], SLICE_ID)) {
            claim_slice(&cluster, 1, 1);
        }
        run_for(&cluster, TICK_MS);
    }
    CU_ASSERT_TRUE(holds(&cluster, 1));
    CU_ASSERT_TRUE(cluster.now_ms - resumed_at_ms >= LEASE_MS - TICK_MS);
    free_cluster(&cluster);
}

static void
test_restarted_member_waits_a_lease_and_for_the_table(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    cluster.disconnected[1] = true;
    start_process(&cluster, 2);
    start_process(&cluster, 3);
    run_for(&cluster, 3 * LEASE_MS);
    RsCell_SetRoster(cluster.cells[2], cluster.now_ms, &three_members);
    RsCell_SetRoster(cluster.cells[3], cluster.now_ms, &three_members);
    claim_slice(&cluster, 2, 1);
    run_for(&cluster, 2 * LEASE_MS);
    CU_ASSERT_FALSE(holds(&cluster, 2));
    apply_table(&cluster, 2, 1, &three_members);
    apply_table(&cluster, 3, 1, &three_members);
    claim_slice(&cluster, 2, 1);
    run_for(&cluster, 50);
    CU_ASSERT_TRUE(holds(&cluster, 2));
    start_process(&cluster, 2);
    apply_table(&cluster, 2, 1, &three_members);
    cluster.disconnected[3] = true;
    cluster.disconnected[1] = false;
    run_for(&cluster, LEASE_MS / 2);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, LEASE_MS / 3);
    CU_ASSERT_FALSE(holds(&cluster, 1));
    free_cluster(&cluster);
}

/* A restarted member has forgotten its promises. Unless the holder claims the
 * slice from it again, the lease ends when another member fails. */
static void
test_restarted_member_receives_the_claims_again(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    start_process(&cluster, 2);
    apply_table(&cluster, 2, 1, &three_members);
    run_for(&cluster, LEASE_MS + 2 * RENEW_MS);
    cluster.disconnected[3] = true;
    run_for(&cluster, 3 * LEASE_MS);
    CU_ASSERT_TRUE(holds(&cluster, 1));
    CU_ASSERT_EQUAL(cluster.event_counts[1][RsCell_EVENT_LOST], 0);
    free_cluster(&cluster);
}

static void
test_first_claim_after_restart_uses_first_step(void)
{
    struct rs_cell_options options = {.self = 1,
                                      .incarnation = 9,
                                      .lease_ms = LEASE_MS,
                                      .renew_every_ms = RENEW_MS,
                                      .margin_ms = MARGIN_MS,
                                      .first_step = 500};
    struct rs_cell *cell = RsCell_New(&options);
    const struct rs_cell_roster single_member = {
        .version = 1, .members = {1}, .member_count = 1};
    RsCell_SetRoster(cell, 0, &single_member);
    RsCell_MarkTableRead(cell);
    for (int64_t now_ms = 0; now_ms <= LEASE_MS; now_ms += TICK_MS) {
        RsCell_Tick(cell, now_ms);
    }
    RsCell_Claim(cell, LEASE_MS, SLICE_ID, 1, 0);
    struct rs_cell_event event;
    CU_ASSERT_TRUE(RsCell_NextEvent(cell, &event));
    CU_ASSERT_EQUAL(event.kind, RsCell_EVENT_HELD);
    CU_ASSERT_EQUAL(event.claim.fence.step, 500);
    RsCell_Free(cell);
}

static void
test_late_and_repeated_answers_do_not_extend_the_lease(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    drop_messages(&cluster);
    int64_t sent_at_ms = cluster.now_ms + RENEW_MS;
    cluster.now_ms = sent_at_ms;
    RsCell_Tick(cluster.cells[1], cluster.now_ms);
    collect_output(&cluster, 1);
    /* delivers the renewals; the two answers stay queued */
    deliver_messages(&cluster);
    cluster.now_ms += 300;
    RsCell_Tick(cluster.cells[1], cluster.now_ms);
    unsigned answer_count = 0;
    struct rs_cell_message *message;
    while ((message = g_queue_pop_head(&cluster.messages)) != NULL) {
        if (message->to == 1 && message->kind == RsCell_RENEW_ANSWER) {
            answer_count++;
            RsCell_Receive(cluster.cells[1], cluster.now_ms, message);
            RsCell_Receive(cluster.cells[1], cluster.now_ms, message);
        }
        RsCell_FreeMessage(message);
        g_free(message);
    }
    CU_ASSERT_EQUAL(answer_count, 2);
    int64_t until_ms = 0;
    CU_ASSERT_TRUE(RsCell_Holds(cluster.cells[1], cluster.now_ms, SLICE_ID,
                                NULL, &until_ms));
    CU_ASSERT_EQUAL(until_ms, sent_at_ms + LEASE_MS - MARGIN_MS);
    free_cluster(&cluster);
}

/* Delivers the renewals of process `from` to process `to` and drops all other
 * messages. Stores the last answer, which the caller frees. */
static void
deliver_only_renewals(struct cluster *cluster, uint64_t from, uint64_t to,
                      struct rs_cell_message *answer)
{
    struct rs_cell_message *message;
    collect_output(cluster, from);
    while ((message = g_queue_pop_head(&cluster->messages)) != NULL) {
        if (message->from == from && message->to == to &&
            message->kind == RsCell_RENEW) {
            RsCell_Receive(cluster->cells[to], cluster->now_ms, message);
            RsCell_FreeMessage(answer);
            CU_ASSERT_TRUE(RsCell_NextMessage(cluster->cells[to], answer));
        }
        RsCell_FreeMessage(message);
        g_free(message);
    }
}

/* A claim made again after a release must get a new fence: otherwise a late
 * answer to the first claim would count for the second, and two processes
 * could hold the slice. */
static void
test_late_answer_to_a_released_claim_does_not_count(void)
{
    struct cluster cluster;
    struct rs_cell_message late = {0};
    struct rs_cell_message lost = {0};
    struct rs_cell_message current = {0};
    start_cluster(&cluster);
    /* The member in process 1 must not promise yet, so restart it. */
    start_process(&cluster, 1);
    apply_table(&cluster, 1, 1, &three_members);
    drop_messages(&cluster);
    claim_slice(&cluster, 1, 1);
    deliver_only_renewals(&cluster, 1, 2, &late);
    CU_ASSERT_TRUE_FATAL(late.answers != NULL && late.answers[0].result == 0);
    RsCell_Release(cluster.cells[1], cluster.now_ms, SLICE_ID, 0);
    deliver_only_renewals(&cluster, 1, 2, &lost);
    claim_slice(&cluster, 1, 1);
    deliver_only_renewals(&cluster, 1, 3, &current);
    RsCell_Receive(cluster.cells[1], cluster.now_ms, &current);
    RsCell_Receive(cluster.cells[1], cluster.now_ms, &late);
    collect_output(&cluster, 1);
    CU_ASSERT_TRUE(RsCell_IsClaiming(cluster.cells[1], SLICE_ID));
    CU_ASSERT_FALSE(holds(&cluster, 1));
    RsCell_FreeMessage(&late);
    RsCell_FreeMessage(&lost);
    RsCell_FreeMessage(&current);
    free_cluster(&cluster);
}

/* A renewal that arrives late, after a newer renewal that released the slice,
 * must not make the member promise it to the former holder again. */
static void
test_late_renewal_does_not_undo_a_release(void)
{
    struct cluster cluster;
    struct rs_cell_message answer = {0};
    struct rs_cell_message *late = NULL;
    struct rs_cell_view view;
    start_cluster(&cluster);
    drop_messages(&cluster);
    claim_slice(&cluster, 1, 1);
    collect_output(&cluster, 1);
    struct rs_cell_message *message;
    while (late == NULL &&
           (message = g_queue_pop_head(&cluster.messages)) != NULL) {
        if (message->to == 2) {
            late = message;
            continue;
        }
        RsCell_FreeMessage(message);
        g_free(message);
    }
    drop_messages(&cluster);
    CU_ASSERT_TRUE_FATAL(late != NULL && late->claim_count == 1);
    RsCell_Release(cluster.cells[1], cluster.now_ms, SLICE_ID, 0);
    deliver_only_renewals(&cluster, 1, 2, &answer);
    RsCell_Receive(cluster.cells[2], cluster.now_ms, late);
    CU_ASSERT_FALSE(
        RsCell_GetView(cluster.cells[2], cluster.now_ms, SLICE_ID, &view) &&
        view.holder != 0);
    RsCell_FreeMessage(late);
    g_free(late);
    RsCell_FreeMessage(&answer);
    free_cluster(&cluster);
}

/* Claims that all members have acknowledged are not sent again. */
static void
test_renewal_has_constant_size_when_idle(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    for (uint64_t slice = 1; slice <= 1000; slice++) {
        RsCell_Claim(cluster.cells[1], cluster.now_ms, slice, 1, 0);
    }
    run_for(&cluster, 100);
    CU_ASSERT_EQUAL(
        RsCell_ListClaims(cluster.cells[1], cluster.now_ms, NULL, 0), 1000);
    drop_messages(&cluster);
    cluster.now_ms += RENEW_MS;
    RsCell_Tick(cluster.cells[1], cluster.now_ms);
    struct rs_cell_message message;
    unsigned count = 0;
    while (RsCell_NextMessage(cluster.cells[1], &message)) {
        CU_ASSERT_EQUAL(message.claim_count, 0);
        CU_ASSERT_EQUAL(message.release_count, 0);
        RsCell_FreeMessage(&message);
        count++;
    }
    CU_ASSERT_EQUAL(count, 2);
    free_cluster(&cluster);
}

static void
test_higher_epoch_in_the_cell_requests_release(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    claim_slice(&cluster, 2, 2);
    run_for(&cluster, RENEW_MS + 50);
    CU_ASSERT_EQUAL(cluster.event_counts[1][RsCell_EVENT_RELEASE_REQUESTED],
                    1);
    CU_ASSERT_TRUE(holds(&cluster, 1));
    run_for(&cluster, LEASE_MS);
    CU_ASSERT_FALSE(holds(&cluster, 1));
    claim_slice(&cluster, 2, 2);
    run_for(&cluster, 50);
    CU_ASSERT_TRUE(holds(&cluster, 2));
    CU_ASSERT_EQUAL(
        RsCell_Claim(cluster.cells[3], cluster.now_ms, SLICE_ID, 1, 0),
        RsCell_SUPERSEDED);
    free_cluster(&cluster);
}

static void
test_seal_waits_for_the_lease_in_the_former_cell(void)
{
    struct cluster cluster;
    const struct rs_cell_roster second_cell = {
        .version = 1, .members = {4, 5}, .member_count = 2};
    start_cluster(&cluster);
    apply_table(&cluster, 4, 2, &second_cell);
    apply_table(&cluster, 5, 2, &second_cell);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    CU_ASSERT_EQUAL(RsCell_BeginSeal(cluster.cells[4], cluster.now_ms,
                                     SLICE_ID, 1, &three_members),
                    0);
    run_for(&cluster, 50);
    CU_ASSERT_EQUAL(cluster.event_counts[1][RsCell_EVENT_RELEASE_REQUESTED],
                    1);
    CU_ASSERT_TRUE(holds(&cluster, 1));
    CU_ASSERT_EQUAL(cluster.event_counts[4][RsCell_EVENT_SEALED], 0);
    run_for(&cluster, LEASE_MS + MARGIN_MS + TICK_MS);
    CU_ASSERT_EQUAL(cluster.event_counts[4][RsCell_EVENT_SEALED], 1);
    CU_ASSERT_FALSE(holds(&cluster, 1));
    claim_slice(&cluster, 2, 1);
    run_for(&cluster, 50);
    CU_ASSERT_EQUAL(cluster.last_event[2].error, RsCell_SEALED);
    free_cluster(&cluster);
}

static void
test_release_completes_a_seal_early(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    RsCell_BeginSeal(cluster.cells[4], cluster.now_ms, SLICE_ID, 1,
                     &three_members);
    run_for(&cluster, 50);
    RsCell_Release(cluster.cells[1], cluster.now_ms, SLICE_ID, 0);
    run_for(&cluster, RENEW_MS + 50);
    CU_ASSERT_EQUAL(cluster.event_counts[4][RsCell_EVENT_SEALED], 1);
    free_cluster(&cluster);
}

static void
test_seal_needs_a_majority_that_read_the_table(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    cluster.disconnected[1] = true;
    start_process(&cluster, 2);
    RsCell_BeginSeal(cluster.cells[4], cluster.now_ms, SLICE_ID, 1,
                     &three_members);
    run_for(&cluster, 5 * LEASE_MS);
    CU_ASSERT_EQUAL(cluster.event_counts[4][RsCell_EVENT_SEALED], 0);
    apply_table(&cluster, 2, 2, &three_members);
    run_for(&cluster, 2 * RENEW_MS);
    CU_ASSERT_EQUAL(cluster.event_counts[4][RsCell_EVENT_SEALED], 1);
    free_cluster(&cluster);
}

static void
test_seal_with_an_old_roster_does_not_count(void)
{
    struct cluster cluster;
    const struct rs_cell_roster roster_change = {.version = 2,
                                                 .members = {1, 4, 5},
                                                 .member_count = 3,
                                                 .former = {1, 2, 3},
                                                 .former_count = 3};
    start_cluster(&cluster);
    for (uint64_t id = 1; id <= 5; id++) {
        apply_table(&cluster, id, 2, &roster_change);
    }
    RsCell_BeginSeal(cluster.cells[6], cluster.now_ms, SLICE_ID, 1,
                     &three_members);
    run_for(&cluster, 3 * LEASE_MS);
    CU_ASSERT_EQUAL(cluster.event_counts[6][RsCell_EVENT_SEALED], 0);
    RsCell_BeginSeal(cluster.cells[6], cluster.now_ms, SLICE_ID, 1,
                     &roster_change);
    run_for(&cluster, 50);
    CU_ASSERT_EQUAL(cluster.event_counts[6][RsCell_EVENT_SEALED], 1);
    free_cluster(&cluster);
}

/* A member tells the holder in its answer that its promise no longer covers
 * the slice. When that answer is lost, the next ones must say so again, or the
 * holder would count renewals that do not extend the lease. */
static void
test_lost_exclusion_is_sent_again(void)
{
    struct cluster cluster;
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    cluster.disconnected[1] = true;
    RsCell_BeginSeal(cluster.cells[4], cluster.now_ms, SLICE_ID, 1,
                     &three_members);
    run_for(&cluster, 60);
    cluster.disconnected[1] = false;
    cluster.now_ms += RENEW_MS;
    RsCell_Tick(cluster.cells[1], cluster.now_ms);
    collect_output(&cluster, 1);
    deliver_messages(&cluster);
    drop_messages(&cluster); /* the answers are among the dropped messages */
    run_for(&cluster, 2 * LEASE_MS);
    CU_ASSERT_FALSE(holds(&cluster, 1));
    CU_ASSERT_EQUAL(cluster.event_counts[4][RsCell_EVENT_SEALED], 1);
    free_cluster(&cluster);
}

static void
test_roster_change_needs_both_majorities(void)
{
    struct cluster cluster;
    const struct rs_cell_roster roster_change = {.version = 2,
                                                 .members = {1, 4, 5},
                                                 .member_count = 3,
                                                 .former = {1, 2, 3},
                                                 .former_count = 3};
    start_cluster(&cluster);
    cluster.disconnected[2] = true;
    cluster.disconnected[3] = true;
    apply_table(&cluster, 1, 1, &roster_change);
    apply_table(&cluster, 4, 1, &roster_change);
    apply_table(&cluster, 5, 1, &roster_change);
    claim_slice(&cluster, 4, 1);
    run_for(&cluster, LEASE_MS / 2);
    CU_ASSERT_FALSE(holds(&cluster, 4));
    run_for(&cluster, LEASE_MS);
    CU_ASSERT_FALSE(
        RsCell_IsRosterChangeComplete(cluster.cells[4], cluster.now_ms));
    cluster.disconnected[2] = false;
    run_for(&cluster, 2 * RENEW_MS);
    CU_ASSERT_FALSE(
        RsCell_IsRosterChangeComplete(cluster.cells[4], cluster.now_ms));
    apply_table(&cluster, 2, 1, &roster_change);
    run_for(&cluster, 2 * RENEW_MS);
    CU_ASSERT_FALSE(
        RsCell_IsRosterChangeComplete(cluster.cells[4], cluster.now_ms));
    run_for(&cluster, LEASE_MS + MARGIN_MS);
    CU_ASSERT_TRUE(
        RsCell_IsRosterChangeComplete(cluster.cells[4], cluster.now_ms));
    claim_slice(&cluster, 4, 1);
    run_for(&cluster, 50);
    CU_ASSERT_TRUE(holds(&cluster, 4));
    free_cluster(&cluster);
}

static void
test_holder_keeps_its_lease_through_a_roster_change(void)
{
    struct cluster cluster;
    const struct rs_cell_roster roster_change = {.version = 2,
                                                 .members = {1, 4, 5},
                                                 .member_count = 3,
                                                 .former = {1, 2, 3},
                                                 .former_count = 3};
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    for (uint64_t id = 1; id <= 5; id++) {
        apply_table(&cluster, id, 1, &roster_change);
    }
    run_for(&cluster, 3 * LEASE_MS);
    CU_ASSERT_TRUE(holds(&cluster, 1));
    CU_ASSERT_EQUAL(cluster.event_counts[1][RsCell_EVENT_LOST], 0);
    free_cluster(&cluster);
}

static void
test_stale_roster_is_refused(void)
{
    struct cluster cluster;
    const struct rs_cell_roster roster_change = {.version = 2,
                                                 .members = {2, 3, 4},
                                                 .member_count = 3,
                                                 .former = {1, 2, 3},
                                                 .former_count = 3};
    start_cluster(&cluster);
    claim_slice(&cluster, 1, 1);
    run_for(&cluster, 50);
    apply_table(&cluster, 2, 1, &roster_change);
    apply_table(&cluster, 3, 1, &roster_change);
    run_for(&cluster, LEASE_MS);
    CU_ASSERT_FALSE(holds(&cluster, 1));
    CU_ASSERT_EQUAL(
        RsCell_SetRoster(cluster.cells[2], cluster.now_ms, &three_members),
        RsCell_STALE_ROSTER);
    free_cluster(&cluster);
}

/* Checks that a message is the same after encoding and decoding. */
static void
check_round_trip(const struct rs_cell_message *message)
{
    size_t size_bytes;
    struct rs_cell_message decoded;
    uint8_t *frame = RsCellWire_Pack(message, &size_bytes);
    Rs__Wire__Peer *peer = rs__wire__peer__unpack(
        NULL, size_bytes - RsFrame_HEADER_BYTES, frame + RsFrame_HEADER_BYTES);
    CU_ASSERT_PTR_NOT_NULL_FATAL(peer);
    CU_ASSERT_EQUAL_FATAL(RsCellWire_Unpack(peer, message->to, &decoded), 0);
    CU_ASSERT_EQUAL(decoded.kind, message->kind);
    CU_ASSERT_EQUAL(decoded.from, message->from);
    CU_ASSERT_EQUAL(decoded.to, message->to);
    CU_ASSERT_EQUAL(decoded.incarnation, message->incarnation);
    CU_ASSERT_EQUAL(decoded.roster_version, message->roster_version);
    CU_ASSERT_EQUAL(decoded.sequence, message->sequence);
    CU_ASSERT_EQUAL(decoded.result, message->result);
    CU_ASSERT_EQUAL(decoded.slice, message->slice);
    CU_ASSERT_EQUAL(decoded.epoch, message->epoch);
    CU_ASSERT_EQUAL(decoded.wait_ms, message->wait_ms);
    CU_ASSERT_EQUAL(decoded.released, message->released);
    CU_ASSERT_EQUAL_FATAL(decoded.claim_count, message->claim_count);
    CU_ASSERT_EQUAL_FATAL(decoded.release_count, message->release_count);
    CU_ASSERT_EQUAL_FATAL(decoded.answer_count, message->answer_count);
    CU_ASSERT_EQUAL_FATAL(decoded.excluded_count, message->excluded_count);
    for (size_t i = 0; i < message->claim_count; i++) {
        CU_ASSERT_EQUAL(decoded.claims[i].slice, message->claims[i].slice);
        CU_ASSERT_EQUAL(decoded.claims[i].fence.epoch,
                        message->claims[i].fence.epoch);
        CU_ASSERT_EQUAL(decoded.claims[i].fence.step,
                        message->claims[i].fence.step);
        CU_ASSERT_EQUAL(decoded.claims[i].position,
                        message->claims[i].position);
        CU_ASSERT_EQUAL(decoded.claims[i].held, message->claims[i].held);
    }
    for (size_t i = 0; i < message->answer_count; i++) {
        CU_ASSERT_EQUAL(decoded.answers[i].result, message->answers[i].result);
        CU_ASSERT_EQUAL(decoded.answers[i].holder, message->answers[i].holder);
        CU_ASSERT_EQUAL(decoded.answers[i].wait_ms,
                        message->answers[i].wait_ms);
        CU_ASSERT_EQUAL(decoded.answers[i].highest.fence.step,
                        message->answers[i].highest.fence.step);
    }
    for (size_t i = 0; i < message->excluded_count; i++) {
        CU_ASSERT_EQUAL(decoded.excluded[i], message->excluded[i]);
    }
    RsCell_FreeMessage(&decoded);
    rs__wire__peer__free_unpacked(peer, NULL);
    g_free(frame);
}

static void
test_messages_round_trip(void)
{
    struct rs_cell_claim claims[] = {{7, {3, 9}, 2, true},
                                     {8, {4, 1}, 0, false}};
    struct rs_cell_claim_answer answers[] = {
        {claims[0], RsCell_HELD_BY_OTHER, {7, {3, 11}, 1, false}, 5, 321}};
    uint64_t excluded[] = {7, 99};
    struct rs_cell_message renew = {.kind = RsCell_RENEW,
                                    .from = 1,
                                    .to = 2,
                                    .incarnation = 3,
                                    .roster_version = 4,
                                    .sequence = 5,
                                    .claims = claims,
                                    .claim_count = 2,
                                    .releases = claims,
                                    .release_count = 1};
    struct rs_cell_message answer = {.kind = RsCell_RENEW_ANSWER,
                                     .from = 2,
                                     .to = 1,
                                     .incarnation = 6,
                                     .roster_version = 4,
                                     .sequence = 5,
                                     .answers = answers,
                                     .answer_count = 1,
                                     .excluded = excluded,
                                     .excluded_count = 2};
    struct rs_cell_message seal = {.kind = RsCell_SEAL,
                                   .from = 4,
                                   .to = 1,
                                   .roster_version = 8,
                                   .sequence = 2,
                                   .slice = 7,
                                   .epoch = 3};
    struct rs_cell_message seal_answer = {.kind = RsCell_SEAL_ANSWER,
                                          .from = 1,
                                          .to = 4,
                                          .sequence = 2,
                                          .result = RsCell_NOT_READY,
                                          .slice = 7,
                                          .epoch = 3,
                                          .wait_ms = 77,
                                          .released = true};
    check_round_trip(&renew);
    check_round_trip(&answer);
    check_round_trip(&seal);
    check_round_trip(&seal_answer);
}

static void
test_invalid_message_is_rejected(void)
{
    Rs__Wire__Peer peer = RS__WIRE__PEER__INIT;
    struct rs_cell_message message;
    CU_ASSERT_EQUAL(RsCellWire_Unpack(&peer, 1, &message), RsCell_BAD_MESSAGE);
    struct cluster cluster;
    start_cluster(&cluster);
    struct rs_cell_message misaddressed = {
        .kind = RsCell_RENEW, .from = 2, .to = 3};
    CU_ASSERT_EQUAL(
        RsCell_Receive(cluster.cells[1], cluster.now_ms, &misaddressed),
        RsCell_BAD_MESSAGE);
    free_cluster(&cluster);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("cell", NULL, NULL);
    CU_ADD_TEST(suite, test_claim_is_held_and_kept);
    CU_ADD_TEST(suite, test_second_claim_waits_for_expiry);
    CU_ADD_TEST(suite, test_released_slice_can_be_claimed_at_once);
    CU_ADD_TEST(suite, test_lost_release_is_sent_again);
    CU_ADD_TEST(suite, test_majority_lost_ends_the_lease);
    CU_ADD_TEST(suite, test_paused_holder_loses_its_lease);
    CU_ADD_TEST(suite, test_paused_member_promises_nothing_for_a_lease);
    CU_ADD_TEST(suite, test_restarted_member_waits_a_lease_and_for_the_table);
    CU_ADD_TEST(suite, test_restarted_member_receives_the_claims_again);
    CU_ADD_TEST(suite, test_first_claim_after_restart_uses_first_step);
    CU_ADD_TEST(suite, test_late_and_repeated_answers_do_not_extend_the_lease);
    CU_ADD_TEST(suite, test_late_answer_to_a_released_claim_does_not_count);
    CU_ADD_TEST(suite, test_late_renewal_does_not_undo_a_release);
    CU_ADD_TEST(suite, test_renewal_has_constant_size_when_idle);
    CU_ADD_TEST(suite, test_higher_epoch_in_the_cell_requests_release);
    CU_ADD_TEST(suite, test_seal_waits_for_the_lease_in_the_former_cell);
    CU_ADD_TEST(suite, test_release_completes_a_seal_early);
    CU_ADD_TEST(suite, test_seal_needs_a_majority_that_read_the_table);
    CU_ADD_TEST(suite, test_seal_with_an_old_roster_does_not_count);
    CU_ADD_TEST(suite, test_lost_exclusion_is_sent_again);
    CU_ADD_TEST(suite, test_roster_change_needs_both_majorities);
    CU_ADD_TEST(suite, test_holder_keeps_its_lease_through_a_roster_change);
    CU_ADD_TEST(suite, test_stale_roster_is_refused);
    CU_ADD_TEST(suite, test_messages_round_trip);
    CU_ADD_TEST(suite, test_invalid_message_is_rejected);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
