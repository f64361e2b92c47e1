#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "cell/cell.h"
#include "cell/cell_wire.h"
#include "wire/frame.h"

#define NODES 6
#define SLICE 42
#define LEASE_MS 900
#define RENEW_MS 250
#define MARGIN_MS 50
#define STEP_MS 10

/* Processes 1 to NODES; index 0 is unused. */
struct net {
    int64_t now_ms;
    struct rs_cell *cells[NODES + 1];
    bool cut[NODES + 1];    /* its messages are lost */
    bool paused[NODES + 1]; /* it does nothing; what it gets waits */
    GQueue messages;
    struct rs_cell_event last[NODES + 1];
    unsigned events[NODES + 1][RsCell_EVENT_SEALED + 1];
    uint64_t next_incarnation;
};

static const struct rs_cell_roster three = {
    .version = 1, .members = {1, 2, 3}, .member_count = 3};

static void
start(struct net *net, uint64_t id)
{
    if (net->cells[id] != NULL) {
        RsCell_Free(net->cells[id]);
    }
    struct rs_cell_options options = {.self = id,
                                      .incarnation = ++net->next_incarnation,
                                      .now_ms = net->now_ms,
                                      .lease_ms = LEASE_MS,
                                      .renew_every_ms = RENEW_MS,
                                      .margin_ms = MARGIN_MS};
    net->cells[id] = RsCell_New(&options);
}

static void
read_table(struct net *net, uint64_t id, uint64_t epoch,
           const struct rs_cell_roster *roster)
{
    RsCell_LearnEpoch(net->cells[id], SLICE, epoch);
    RsCell_SetRoster(net->cells[id], net->now_ms, roster);
    RsCell_TableWasRead(net->cells[id]);
}

static void
drain(struct net *net, uint64_t id)
{
    struct rs_cell_event event;
    struct rs_cell_message message;
    while (RsCell_NextEvent(net->cells[id], &event)) {
        net->events[id][event.kind]++;
        net->last[id] = event;
    }
    while (RsCell_NextMessage(net->cells[id], &message)) {
        g_queue_push_tail(&net->messages,
                          g_memdup2(&message, sizeof(message)));
    }
}

static void
carry(struct net *net)
{
    for (guint i = g_queue_get_length(&net->messages); i > 0; i--) {
        struct rs_cell_message *message = g_queue_pop_head(&net->messages);
        if (net->paused[message->to]) {
            g_queue_push_tail(&net->messages, message);
            continue;
        }
        if (!net->cut[message->to] && !net->cut[message->from]) {
            RsCell_Receive(net->cells[message->to], net->now_ms, message);
            drain(net, message->to);
        }
        RsCell_FreeMessage(message);
        g_free(message);
    }
}

static unsigned
holders(const struct net *net)
{
    unsigned count = 0;
    for (uint64_t id = 1; id <= NODES; id++) {
        count += RsCell_Holds(net->cells[id], net->now_ms, SLICE, NULL, NULL)
                     ? 1
                     : 0;
    }
    return count;
}

static void
run(struct net *net, int64_t for_ms)
{
    int64_t end_ms = net->now_ms + for_ms;
    while (net->now_ms < end_ms) {
        for (uint64_t id = 1; id <= NODES; id++) {
            if (!net->paused[id]) {
                RsCell_Tick(net->cells[id], net->now_ms);
                drain(net, id);
            }
        }
        carry(net);
        net->now_ms += STEP_MS;
        if (holders(net) > 1) {
            CU_FAIL("two holders");
        }
    }
}

static void
open_net(struct net *net)
{
    memset(net, 0, sizeof(*net));
    net->now_ms = 1000;
    g_queue_init(&net->messages);
    for (uint64_t id = 1; id <= NODES; id++) {
        start(net, id);
        if (id <= 3) {
            read_table(net, id, 1, &three);
        }
    }
    run(net, LEASE_MS + RENEW_MS);
}

static void
drop_messages(struct net *net)
{
    struct rs_cell_message *message;
    while ((message = g_queue_pop_head(&net->messages)) != NULL) {
        RsCell_FreeMessage(message);
        g_free(message);
    }
}

static void
close_net(struct net *net)
{
    drop_messages(net);
    for (uint64_t id = 1; id <= NODES; id++) {
        RsCell_Free(net->cells[id]);
    }
}

static void
claim(struct net *net, uint64_t id, uint64_t epoch)
{
    CU_ASSERT_EQUAL(RsCell_Claim(net->cells[id], net->now_ms, SLICE, epoch, 0),
                    0);
}

static bool
holds(const struct net *net, uint64_t id)
{
    return RsCell_Holds(net->cells[id], net->now_ms, SLICE, NULL, NULL);
}

static uint32_t
step_of(const struct net *net, uint64_t id)
{
    struct rs_cell_claim held = {0};
    CU_ASSERT_TRUE(
        RsCell_Holds(net->cells[id], net->now_ms, SLICE, &held, NULL));
    return held.fence.step;
}

static void
test_claim_is_held_and_kept(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    CU_ASSERT_TRUE(holds(&net, 1));
    CU_ASSERT_EQUAL(net.events[1][RsCell_EVENT_HELD], 1);
    run(&net, 5 * LEASE_MS);
    CU_ASSERT_TRUE(holds(&net, 1));
    CU_ASSERT_EQUAL(net.events[1][RsCell_EVENT_LOST], 0);
    struct rs_cell_view view;
    CU_ASSERT_TRUE(RsCell_Look(net.cells[3], net.now_ms, SLICE, &view));
    CU_ASSERT_EQUAL(view.holder, 1);
    close_net(&net);
}

static void
test_second_claim_waits_for_the_lapse(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    claim(&net, 2, 1);
    run(&net, 50);
    CU_ASSERT_EQUAL(net.last[2].kind, RsCell_EVENT_REFUSED);
    CU_ASSERT_EQUAL(net.last[2].error, RsCell_HELD);
    CU_ASSERT_EQUAL(net.last[2].holder, 1);
    CU_ASSERT_TRUE(net.last[2].retry_at_ms > net.now_ms);
    net.cut[1] = true;
    run(&net, LEASE_MS + RENEW_MS);
    CU_ASSERT_FALSE(holds(&net, 1));
    CU_ASSERT_EQUAL(net.events[1][RsCell_EVENT_LOST], 1);
    claim(&net, 2, 1);
    run(&net, 50);
    CU_ASSERT_EQUAL(step_of(&net, 2), 2);
    close_net(&net);
}

static void
test_release_frees_at_once(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    RsCell_Release(net.cells[1], net.now_ms, SLICE, 3);
    run(&net, 50);
    CU_ASSERT_FALSE(holds(&net, 1));
    CU_ASSERT_EQUAL(net.last[2].kind, RsCell_EVENT_RELEASED);
    CU_ASSERT_EQUAL(net.last[2].claim.position, 3);
    claim(&net, 2, 1);
    run(&net, 50);
    CU_ASSERT_EQUAL(step_of(&net, 2), 1);
    close_net(&net);
}

static void
test_lost_release_is_sent_again(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    net.cut[1] = true;
    RsCell_Release(net.cells[1], net.now_ms, SLICE, 0);
    run(&net, RENEW_MS + 50);
    net.cut[1] = false;
    run(&net, RENEW_MS + 50);
    CU_ASSERT_EQUAL(net.events[2][RsCell_EVENT_RELEASED], 1);
    CU_ASSERT_EQUAL(net.events[3][RsCell_EVENT_RELEASED], 1);
    close_net(&net);
}

static void
test_majority_lost_ends_the_lease(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    net.cut[2] = true;
    run(&net, 2 * LEASE_MS);
    CU_ASSERT_TRUE(holds(&net, 1));
    net.cut[3] = true;
    run(&net, LEASE_MS);
    CU_ASSERT_FALSE(holds(&net, 1));
    close_net(&net);
}

static void
test_paused_holder_finds_its_lease_lapsed(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    net.paused[1] = true;
    run(&net, LEASE_MS + RENEW_MS);
    claim(&net, 2, 1);
    run(&net, 50);
    CU_ASSERT_TRUE(holds(&net, 2));
    net.paused[1] = false;
    CU_ASSERT_FALSE(holds(&net, 1));
    run(&net, LEASE_MS);
    CU_ASSERT_EQUAL(net.events[1][RsCell_EVENT_LOST], 1);
    CU_ASSERT_TRUE(holds(&net, 2));
    close_net(&net);
}

static void
test_paused_member_promises_nothing_for_a_lease(void)
{
    struct net net;
    open_net(&net);
    net.paused[2] = true;
    net.cut[3] = true;
    run(&net, LEASE_MS);
    net.paused[2] = false;
    run(&net, STEP_MS);
    int64_t back_ms = net.now_ms;
    while (!holds(&net, 1) && net.now_ms < back_ms + 3 * LEASE_MS) {
        if (!RsCell_Claiming(net.cells[1], SLICE)) {
            claim(&net, 1, 1);
        }
        run(&net, STEP_MS);
    }
    CU_ASSERT_TRUE(holds(&net, 1));
    CU_ASSERT_TRUE(net.now_ms - back_ms >= LEASE_MS - STEP_MS);
    close_net(&net);
}

static void
test_member_without_memory_waits_and_reads(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    net.cut[1] = true;
    start(&net, 2);
    start(&net, 3);
    run(&net, 3 * LEASE_MS);
    RsCell_SetRoster(net.cells[2], net.now_ms, &three);
    RsCell_SetRoster(net.cells[3], net.now_ms, &three);
    claim(&net, 2, 1);
    run(&net, 2 * LEASE_MS);
    CU_ASSERT_FALSE(holds(&net, 2));
    read_table(&net, 2, 1, &three);
    read_table(&net, 3, 1, &three);
    claim(&net, 2, 1);
    run(&net, 50);
    CU_ASSERT_TRUE(holds(&net, 2));
    start(&net, 2);
    read_table(&net, 2, 1, &three);
    net.cut[3] = true;
    net.cut[1] = false;
    run(&net, LEASE_MS / 2);
    claim(&net, 1, 1);
    run(&net, LEASE_MS / 3);
    CU_ASSERT_FALSE(holds(&net, 1));
    close_net(&net);
}

static void
test_restarted_member_is_told_the_claims_again(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    start(&net, 2);
    read_table(&net, 2, 1, &three);
    run(&net, LEASE_MS + 2 * RENEW_MS);
    net.cut[3] = true;
    run(&net, 3 * LEASE_MS);
    CU_ASSERT_TRUE(holds(&net, 1));
    CU_ASSERT_EQUAL(net.events[1][RsCell_EVENT_LOST], 0);
    close_net(&net);
}

static void
test_first_step_passes_a_loss_of_memory(void)
{
    struct rs_cell_options options = {.self = 1,
                                      .incarnation = 9,
                                      .lease_ms = LEASE_MS,
                                      .renew_every_ms = RENEW_MS,
                                      .margin_ms = MARGIN_MS,
                                      .first_step = 500};
    struct rs_cell *cell = RsCell_New(&options);
    const struct rs_cell_roster alone = {
        .version = 1, .members = {1}, .member_count = 1};
    RsCell_SetRoster(cell, 0, &alone);
    RsCell_TableWasRead(cell);
    for (int64_t now_ms = 0; now_ms <= LEASE_MS; now_ms += STEP_MS) {
        RsCell_Tick(cell, now_ms);
    }
    RsCell_Claim(cell, LEASE_MS, SLICE, 1, 0);
    struct rs_cell_event event;
    CU_ASSERT_TRUE(RsCell_NextEvent(cell, &event));
    CU_ASSERT_EQUAL(event.kind, RsCell_EVENT_HELD);
    CU_ASSERT_EQUAL(event.claim.fence.step, 500);
    RsCell_Free(cell);
}

static void
test_late_and_doubled_answers_change_nothing(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    drop_messages(&net);
    int64_t sent_ms = net.now_ms + RENEW_MS;
    net.now_ms = sent_ms;
    RsCell_Tick(net.cells[1], net.now_ms);
    drain(&net, 1);
    carry(&net); /* the renewals; what is left has the two answers */
    net.now_ms += 300;
    RsCell_Tick(net.cells[1], net.now_ms);
    unsigned answers = 0;
    struct rs_cell_message *message;
    while ((message = g_queue_pop_head(&net.messages)) != NULL) {
        if (message->to == 1 && message->kind == RsCell_RENEW_ANSWER) {
            answers++;
            RsCell_Receive(net.cells[1], net.now_ms, message);
            RsCell_Receive(net.cells[1], net.now_ms, message);
        }
        RsCell_FreeMessage(message);
        g_free(message);
    }
    CU_ASSERT_EQUAL(answers, 2);
    int64_t until_ms = 0;
    CU_ASSERT_TRUE(
        RsCell_Holds(net.cells[1], net.now_ms, SLICE, NULL, &until_ms));
    CU_ASSERT_EQUAL(until_ms, sent_ms + LEASE_MS - MARGIN_MS);
    close_net(&net);
}

/* Passes on what `from` says to `to`; the rest is lost. The last answer that
 * this makes is kept in `answer`. */
static void
pass_only(struct net *net, uint64_t from, uint64_t to,
          struct rs_cell_message *answer)
{
    struct rs_cell_message *message;
    drain(net, from);
    while ((message = g_queue_pop_head(&net->messages)) != NULL) {
        if (message->from == from && message->to == to &&
            message->kind == RsCell_RENEW) {
            RsCell_Receive(net->cells[to], net->now_ms, message);
            RsCell_FreeMessage(answer);
            CU_ASSERT_TRUE(RsCell_NextMessage(net->cells[to], answer));
        }
        RsCell_FreeMessage(message);
        g_free(message);
    }
}

static void
test_late_answer_to_a_claim_given_up_does_not_count(void)
{
    struct net net;
    struct rs_cell_message late = {0};
    struct rs_cell_message lost = {0};
    struct rs_cell_message fresh = {0};
    open_net(&net);
    start(&net, 1); /* so that its own member has no say yet */
    read_table(&net, 1, 1, &three);
    drop_messages(&net);
    claim(&net, 1, 1);
    pass_only(&net, 1, 2, &late);
    CU_ASSERT_TRUE_FATAL(late.answers != NULL && late.answers[0].result == 0);
    RsCell_Release(net.cells[1], net.now_ms, SLICE, 0);
    pass_only(&net, 1, 2, &lost);
    claim(&net, 1, 1);
    pass_only(&net, 1, 3, &fresh);
    RsCell_Receive(net.cells[1], net.now_ms, &fresh);
    RsCell_Receive(net.cells[1], net.now_ms, &late);
    drain(&net, 1);
    CU_ASSERT_TRUE(RsCell_Claiming(net.cells[1], SLICE));
    CU_ASSERT_FALSE(holds(&net, 1));
    RsCell_FreeMessage(&late);
    RsCell_FreeMessage(&lost);
    RsCell_FreeMessage(&fresh);
    close_net(&net);
}

static void
test_late_renewal_does_not_undo_a_release(void)
{
    struct net net;
    struct rs_cell_message answer = {0};
    struct rs_cell_message *late = NULL;
    struct rs_cell_view view;
    open_net(&net);
    drop_messages(&net);
    claim(&net, 1, 1);
    drain(&net, 1);
    struct rs_cell_message *message;
    while (late == NULL &&
           (message = g_queue_pop_head(&net.messages)) != NULL) {
        if (message->to == 2) {
            late = message;
            continue;
        }
        RsCell_FreeMessage(message);
        g_free(message);
    }
    drop_messages(&net);
    CU_ASSERT_TRUE_FATAL(late != NULL && late->claim_count == 1);
    RsCell_Release(net.cells[1], net.now_ms, SLICE, 0);
    pass_only(&net, 1, 2, &answer);
    RsCell_Receive(net.cells[2], net.now_ms, late);
    CU_ASSERT_FALSE(RsCell_Look(net.cells[2], net.now_ms, SLICE, &view) &&
                    view.holder != 0);
    RsCell_FreeMessage(late);
    g_free(late);
    RsCell_FreeMessage(&answer);
    close_net(&net);
}

static void
test_renewal_has_constant_size_when_idle(void)
{
    struct net net;
    open_net(&net);
    for (uint64_t slice = 1; slice <= 1000; slice++) {
        RsCell_Claim(net.cells[1], net.now_ms, slice, 1, 0);
    }
    run(&net, 100);
    CU_ASSERT_EQUAL(RsCell_ListHeld(net.cells[1], net.now_ms, NULL, 0), 1000);
    drop_messages(&net);
    net.now_ms += RENEW_MS;
    RsCell_Tick(net.cells[1], net.now_ms);
    struct rs_cell_message message;
    unsigned count = 0;
    while (RsCell_NextMessage(net.cells[1], &message)) {
        CU_ASSERT_EQUAL(message.claim_count, 0);
        CU_ASSERT_EQUAL(message.release_count, 0);
        RsCell_FreeMessage(&message);
        count++;
    }
    CU_ASSERT_EQUAL(count, 2);
    close_net(&net);
}

static void
test_higher_epoch_in_the_cell_wants_it_back(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    claim(&net, 2, 2);
    run(&net, RENEW_MS + 50);
    CU_ASSERT_EQUAL(net.events[1][RsCell_EVENT_WANTED], 1);
    CU_ASSERT_TRUE(holds(&net, 1));
    run(&net, LEASE_MS);
    CU_ASSERT_FALSE(holds(&net, 1));
    claim(&net, 2, 2);
    run(&net, 50);
    CU_ASSERT_TRUE(holds(&net, 2));
    CU_ASSERT_EQUAL(RsCell_Claim(net.cells[3], net.now_ms, SLICE, 1, 0),
                    RsCell_SUPERSEDED);
    close_net(&net);
}

static void
test_seal_waits_for_the_former_cell(void)
{
    struct net net;
    const struct rs_cell_roster other = {
        .version = 1, .members = {4, 5}, .member_count = 2};
    open_net(&net);
    read_table(&net, 4, 2, &other);
    read_table(&net, 5, 2, &other);
    claim(&net, 1, 1);
    run(&net, 50);
    CU_ASSERT_EQUAL(
        RsCell_BeginSeal(net.cells[4], net.now_ms, SLICE, 1, &three), 0);
    run(&net, 50);
    CU_ASSERT_EQUAL(net.events[1][RsCell_EVENT_WANTED], 1);
    CU_ASSERT_TRUE(holds(&net, 1));
    CU_ASSERT_EQUAL(net.events[4][RsCell_EVENT_SEALED], 0);
    run(&net, LEASE_MS + MARGIN_MS + STEP_MS);
    CU_ASSERT_EQUAL(net.events[4][RsCell_EVENT_SEALED], 1);
    CU_ASSERT_FALSE(holds(&net, 1));
    claim(&net, 2, 1);
    run(&net, 50);
    CU_ASSERT_EQUAL(net.last[2].error, RsCell_SEALED);
    close_net(&net);
}

static void
test_release_shortens_a_seal(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    RsCell_BeginSeal(net.cells[4], net.now_ms, SLICE, 1, &three);
    run(&net, 50);
    RsCell_Release(net.cells[1], net.now_ms, SLICE, 0);
    run(&net, RENEW_MS + 50);
    CU_ASSERT_EQUAL(net.events[4][RsCell_EVENT_SEALED], 1);
    close_net(&net);
}

static void
test_seal_needs_a_majority_with_memory(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    net.cut[1] = true;
    start(&net, 2);
    RsCell_BeginSeal(net.cells[4], net.now_ms, SLICE, 1, &three);
    run(&net, 5 * LEASE_MS);
    CU_ASSERT_EQUAL(net.events[4][RsCell_EVENT_SEALED], 0);
    read_table(&net, 2, 2, &three);
    run(&net, 2 * RENEW_MS);
    CU_ASSERT_EQUAL(net.events[4][RsCell_EVENT_SEALED], 1);
    close_net(&net);
}

static void
test_seal_with_an_old_roster_does_not_count(void)
{
    struct net net;
    const struct rs_cell_roster change = {.version = 2,
                                          .members = {1, 4, 5},
                                          .member_count = 3,
                                          .former = {1, 2, 3},
                                          .former_count = 3};
    open_net(&net);
    for (uint64_t id = 1; id <= 5; id++) {
        read_table(&net, id, 2, &change);
    }
    RsCell_BeginSeal(net.cells[6], net.now_ms, SLICE, 1, &three);
    run(&net, 3 * LEASE_MS);
    CU_ASSERT_EQUAL(net.events[6][RsCell_EVENT_SEALED], 0);
    RsCell_BeginSeal(net.cells[6], net.now_ms, SLICE, 1, &change);
    run(&net, 50);
    CU_ASSERT_EQUAL(net.events[6][RsCell_EVENT_SEALED], 1);
    close_net(&net);
}

static void
test_lost_exclusion_is_told_again(void)
{
    struct net net;
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    net.cut[1] = true;
    RsCell_BeginSeal(net.cells[4], net.now_ms, SLICE, 1, &three);
    run(&net, 60);
    net.cut[1] = false;
    net.now_ms += RENEW_MS;
    RsCell_Tick(net.cells[1], net.now_ms);
    drain(&net, 1);
    carry(&net);
    drop_messages(&net); /* the answers too */
    run(&net, 2 * LEASE_MS);
    CU_ASSERT_FALSE(holds(&net, 1));
    CU_ASSERT_EQUAL(net.events[4][RsCell_EVENT_SEALED], 1);
    close_net(&net);
}

static void
test_roster_change_needs_both_majorities(void)
{
    struct net net;
    const struct rs_cell_roster change = {.version = 2,
                                          .members = {1, 4, 5},
                                          .member_count = 3,
                                          .former = {1, 2, 3},
                                          .former_count = 3};
    open_net(&net);
    net.cut[2] = true;
    net.cut[3] = true;
    read_table(&net, 1, 1, &change);
    read_table(&net, 4, 1, &change);
    read_table(&net, 5, 1, &change);
    claim(&net, 4, 1);
    run(&net, LEASE_MS / 2);
    CU_ASSERT_FALSE(holds(&net, 4));
    run(&net, LEASE_MS);
    CU_ASSERT_FALSE(RsCell_ChangeDone(net.cells[4], net.now_ms));
    net.cut[2] = false;
    run(&net, 2 * RENEW_MS);
    CU_ASSERT_FALSE(RsCell_ChangeDone(net.cells[4], net.now_ms));
    read_table(&net, 2, 1, &change);
    run(&net, 2 * RENEW_MS);
    CU_ASSERT_FALSE(RsCell_ChangeDone(net.cells[4], net.now_ms));
    run(&net, LEASE_MS + MARGIN_MS);
    CU_ASSERT_TRUE(RsCell_ChangeDone(net.cells[4], net.now_ms));
    claim(&net, 4, 1);
    run(&net, 50);
    CU_ASSERT_TRUE(holds(&net, 4));
    close_net(&net);
}

static void
test_holder_keeps_its_lease_through_a_roster_change(void)
{
    struct net net;
    const struct rs_cell_roster change = {.version = 2,
                                          .members = {1, 4, 5},
                                          .member_count = 3,
                                          .former = {1, 2, 3},
                                          .former_count = 3};
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    for (uint64_t id = 1; id <= 5; id++) {
        read_table(&net, id, 1, &change);
    }
    run(&net, 3 * LEASE_MS);
    CU_ASSERT_TRUE(holds(&net, 1));
    CU_ASSERT_EQUAL(net.events[1][RsCell_EVENT_LOST], 0);
    close_net(&net);
}

static void
test_stale_roster_is_refused(void)
{
    struct net net;
    const struct rs_cell_roster change = {.version = 2,
                                          .members = {2, 3, 4},
                                          .member_count = 3,
                                          .former = {1, 2, 3},
                                          .former_count = 3};
    open_net(&net);
    claim(&net, 1, 1);
    run(&net, 50);
    read_table(&net, 2, 1, &change);
    read_table(&net, 3, 1, &change);
    run(&net, LEASE_MS);
    CU_ASSERT_FALSE(holds(&net, 1));
    CU_ASSERT_EQUAL(RsCell_SetRoster(net.cells[2], net.now_ms, &three),
                    RsCell_STALE_ROSTER);
    close_net(&net);
}

static void
check_wire(const struct rs_cell_message *message)
{
    size_t size_bytes;
    struct rs_cell_message back;
    uint8_t *frame = RsCellWire_Pack(message, &size_bytes);
    Rs__Wire__Peer *peer = rs__wire__peer__unpack(
        NULL, size_bytes - RsFrame_HEADER_BYTES, frame + RsFrame_HEADER_BYTES);
    CU_ASSERT_PTR_NOT_NULL_FATAL(peer);
    CU_ASSERT_EQUAL_FATAL(RsCellWire_Unpack(peer, message->to, &back), 0);
    CU_ASSERT_EQUAL(back.kind, message->kind);
    CU_ASSERT_EQUAL(back.from, message->from);
    CU_ASSERT_EQUAL(back.to, message->to);
    CU_ASSERT_EQUAL(back.incarnation, message->incarnation);
    CU_ASSERT_EQUAL(back.roster, message->roster);
    CU_ASSERT_EQUAL(back.sequence, message->sequence);
    CU_ASSERT_EQUAL(back.result, message->result);
    CU_ASSERT_EQUAL(back.slice, message->slice);
    CU_ASSERT_EQUAL(back.epoch, message->epoch);
    CU_ASSERT_EQUAL(back.wait_ms, message->wait_ms);
    CU_ASSERT_EQUAL(back.released, message->released);
    CU_ASSERT_EQUAL_FATAL(back.claim_count, message->claim_count);
    CU_ASSERT_EQUAL_FATAL(back.release_count, message->release_count);
    CU_ASSERT_EQUAL_FATAL(back.answer_count, message->answer_count);
    CU_ASSERT_EQUAL_FATAL(back.excluded_count, message->excluded_count);
    for (size_t i = 0; i < message->claim_count; i++) {
        CU_ASSERT_EQUAL(back.claims[i].slice, message->claims[i].slice);
        CU_ASSERT_EQUAL(back.claims[i].fence.epoch,
                        message->claims[i].fence.epoch);
        CU_ASSERT_EQUAL(back.claims[i].fence.step,
                        message->claims[i].fence.step);
        CU_ASSERT_EQUAL(back.claims[i].position, message->claims[i].position);
        CU_ASSERT_EQUAL(back.claims[i].held, message->claims[i].held);
    }
    for (size_t i = 0; i < message->answer_count; i++) {
        CU_ASSERT_EQUAL(back.answers[i].result, message->answers[i].result);
        CU_ASSERT_EQUAL(back.answers[i].holder, message->answers[i].holder);
        CU_ASSERT_EQUAL(back.answers[i].wait_ms, message->answers[i].wait_ms);
        CU_ASSERT_EQUAL(back.answers[i].highest.fence.step,
                        message->answers[i].highest.fence.step);
    }
    for (size_t i = 0; i < message->excluded_count; i++) {
        CU_ASSERT_EQUAL(back.excluded[i], message->excluded[i]);
    }
    RsCell_FreeMessage(&back);
    rs__wire__peer__free_unpacked(peer, NULL);
    g_free(frame);
}

static void
test_messages_survive_the_wire(void)
{
    struct rs_cell_claim claims[] = {{7, {3, 9}, 2, true},
                                     {8, {4, 1}, 0, false}};
    struct rs_cell_claim_answer answers[] = {
        {claims[0], RsCell_HELD, {7, {3, 11}, 1, false}, 5, 321}};
    uint64_t excluded[] = {7, 99};
    struct rs_cell_message renew = {.kind = RsCell_RENEW,
                                    .from = 1,
                                    .to = 2,
                                    .incarnation = 3,
                                    .roster = 4,
                                    .sequence = 5,
                                    .claims = claims,
                                    .claim_count = 2,
                                    .releases = claims,
                                    .release_count = 1};
    struct rs_cell_message answer = {.kind = RsCell_RENEW_ANSWER,
                                     .from = 2,
                                     .to = 1,
                                     .incarnation = 6,
                                     .roster = 4,
                                     .sequence = 5,
                                     .answers = answers,
                                     .answer_count = 1,
                                     .excluded = excluded,
                                     .excluded_count = 2};
    struct rs_cell_message seal = {.kind = RsCell_SEAL,
                                   .from = 4,
                                   .to = 1,
                                   .roster = 8,
                                   .sequence = 2,
                                   .slice = 7,
                                   .epoch = 3};
    struct rs_cell_message sealed = {.kind = RsCell_SEAL_ANSWER,
                                     .from = 1,
                                     .to = 4,
                                     .sequence = 2,
                                     .result = RsCell_NOT_READY,
                                     .slice = 7,
                                     .epoch = 3,
                                     .wait_ms = 77,
                                     .released = true};
    check_wire(&renew);
    check_wire(&answer);
    check_wire(&seal);
    check_wire(&sealed);
}

static void
test_foreign_message_is_refused(void)
{
    Rs__Wire__Peer peer = RS__WIRE__PEER__INIT;
    struct rs_cell_message message;
    CU_ASSERT_EQUAL(RsCellWire_Unpack(&peer, 1, &message), RsCell_BAD_MESSAGE);
    struct net net;
    open_net(&net);
    struct rs_cell_message wrong = {.kind = RsCell_RENEW, .from = 2, .to = 3};
    CU_ASSERT_EQUAL(RsCell_Receive(net.cells[1], net.now_ms, &wrong),
                    RsCell_BAD_MESSAGE);
    close_net(&net);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("cell", NULL, NULL);
    CU_ADD_TEST(suite, test_claim_is_held_and_kept);
    CU_ADD_TEST(suite, test_second_claim_waits_for_the_lapse);
    CU_ADD_TEST(suite, test_release_frees_at_once);
    CU_ADD_TEST(suite, test_lost_release_is_sent_again);
    CU_ADD_TEST(suite, test_majority_lost_ends_the_lease);
    CU_ADD_TEST(suite, test_paused_holder_finds_its_lease_lapsed);
    CU_ADD_TEST(suite, test_paused_member_promises_nothing_for_a_lease);
    CU_ADD_TEST(suite, test_member_without_memory_waits_and_reads);
    CU_ADD_TEST(suite, test_restarted_member_is_told_the_claims_again);
    CU_ADD_TEST(suite, test_first_step_passes_a_loss_of_memory);
    CU_ADD_TEST(suite, test_late_and_doubled_answers_change_nothing);
    CU_ADD_TEST(suite, test_late_answer_to_a_claim_given_up_does_not_count);
    CU_ADD_TEST(suite, test_late_renewal_does_not_undo_a_release);
    CU_ADD_TEST(suite, test_renewal_has_constant_size_when_idle);
    CU_ADD_TEST(suite, test_higher_epoch_in_the_cell_wants_it_back);
    CU_ADD_TEST(suite, test_seal_waits_for_the_former_cell);
    CU_ADD_TEST(suite, test_release_shortens_a_seal);
    CU_ADD_TEST(suite, test_seal_needs_a_majority_with_memory);
    CU_ADD_TEST(suite, test_seal_with_an_old_roster_does_not_count);
    CU_ADD_TEST(suite, test_lost_exclusion_is_told_again);
    CU_ADD_TEST(suite, test_roster_change_needs_both_majorities);
    CU_ADD_TEST(suite, test_holder_keeps_its_lease_through_a_roster_change);
    CU_ADD_TEST(suite, test_stale_roster_is_refused);
    CU_ADD_TEST(suite, test_messages_survive_the_wire);
    CU_ADD_TEST(suite, test_foreign_message_is_refused);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
