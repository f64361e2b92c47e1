/* Fuzzes the handling of messages from peers by the lease state machine of the
 * cell, the member table and the feed. The first message is the raw input; the
 * others are random, and in some of the cell messages one byte is overwritten.
 * Checks, among other things, that a decoded cell message encodes to the same
 * bytes again, that a process holds only slices that it claimed, and that no
 * lease lasts longer than a lease period from now. */

#include <glib.h>
#include <string.h>

#include "cell/cell_wire.h"
#include "control/feed.h"
#include "member/members.h"
#include "place/fuzz_input.h"
#include "wire/frame.h"

#define MEMBERS 3
#define ROUNDS 24
#define SLICES 2
#define EPOCH_COUNT 3
#define LIST_LIMIT 3
#define LEASE_MS 900
#define RENEW_INTERVAL_MS 250
#define MARGIN_MS 50

struct fuzz_state {
    struct fuzz_input input;
    struct rs_cell *cell;
    struct rs_members *members;
    struct rs_feed *feed;
    int64_t now_ms;
    uint64_t sequence; /* of the last renewal that the cell sent */
};

static void
ignore_change(void *arg)
{
}

static uint64_t
next_choice(struct fuzz_state *fuzz_state, uint64_t count)
{
    return fuzz_next_byte(&fuzz_state->input) % count;
}

static void
init_fuzz_state(struct fuzz_state *fuzz_state, const uint8_t *data,
                size_t size)
{
    struct rs_cell_options cell = {.self = 1,
                                   .incarnation = 9,
                                   .lease_ms = LEASE_MS,
                                   .renew_every_ms = RENEW_INTERVAL_MS,
                                   .margin_ms = MARGIN_MS};
    struct rs_members_options members = {
        .self = "m1", .suspect_after_ms = 600, .forget_after_ms = 5000};
    struct rs_feed_options feed = {.domain = "d", .changed = ignore_change};
    struct rs_cell_roster roster = {
        .version = 1, .members = {1, 2, 3}, .member_count = MEMBERS};
    *fuzz_state = (struct fuzz_state){.input = fuzz_open(data, size)};
    fuzz_state->cell = RsCell_New(&cell);
    fuzz_state->members = RsMembers_New(&members);
    fuzz_state->feed = RsFeed_New(&feed);
    for (uint64_t slice = 0; slice < SLICES; slice++) {
        RsCell_RecordTableEpoch(fuzz_state->cell, slice, 1);
    }
    RsCell_SetRoster(fuzz_state->cell, 0, &roster);
    RsCell_MarkTableRead(fuzz_state->cell);
    fuzz_state->now_ms = 2 * LEASE_MS;
}

static void
random_claim(struct fuzz_state *fuzz_state, struct rs_cell_claim *claim)
{
    claim->slice = next_choice(fuzz_state, SLICES + 1);
    claim->fence.epoch = next_choice(fuzz_state, EPOCH_COUNT);
    claim->fence.step = (uint32_t)next_choice(fuzz_state, 4);
    claim->position = (uint32_t)next_choice(fuzz_state, 3);
    claim->held = next_choice(fuzz_state, 2) == 0;
}

static struct rs_cell_claim *
random_claims(struct fuzz_state *fuzz_state, size_t *count)
{
    *count = next_choice(fuzz_state, LIST_LIMIT);
    struct rs_cell_claim *claims = g_new0(struct rs_cell_claim, *count);
    for (size_t i = 0; i < *count; i++) {
        random_claim(fuzz_state, &claims[i]);
    }
    return claims;
}

static void
random_answers(struct fuzz_state *fuzz_state, struct rs_cell_message *message)
{
    message->answer_count = next_choice(fuzz_state, LIST_LIMIT);
    message->answers =
        g_new0(struct rs_cell_claim_answer, message->answer_count);
    for (size_t i = 0; i < message->answer_count; i++) {
        struct rs_cell_claim_answer *answer = &message->answers[i];
        random_claim(fuzz_state, &answer->claim);
        random_claim(fuzz_state, &answer->highest);
        answer->highest.slice = answer->claim.slice;
        answer->highest.held = false;
        answer->result =
            next_choice(fuzz_state, 2) == 0 ? 0 : RsCell_HELD_BY_OTHER;
        answer->holder = next_choice(fuzz_state, MEMBERS + 1);
        answer->wait_ms = (uint32_t)next_choice(fuzz_state, 2) * UINT32_MAX;
    }
    message->excluded_count = next_choice(fuzz_state, LIST_LIMIT);
    message->excluded = g_new0(uint64_t, message->excluded_count);
}

static void
random_message(struct fuzz_state *fuzz_state, struct rs_cell_message *message)
{
    memset(message, 0, sizeof(*message));
    message->kind = (enum rs_cell_message_kind)next_choice(fuzz_state, 4);
    message->from = 1 + next_choice(fuzz_state, MEMBERS + 1);
    message->to = 1;
    message->roster_version = next_choice(fuzz_state, 3);
    message->sequence = next_choice(fuzz_state, 2) == 0
                            ? fuzz_state->sequence
                            : next_choice(fuzz_state, 5);
    if (message->kind == RsCell_RENEW ||
        message->kind == RsCell_RENEW_ANSWER) {
        message->incarnation = next_choice(fuzz_state, 3);
    }
    if (message->kind == RsCell_RENEW) {
        message->claims = random_claims(fuzz_state, &message->claim_count);
        message->releases = random_claims(fuzz_state, &message->release_count);
    }
    else if (message->kind == RsCell_RENEW_ANSWER) {
        random_answers(fuzz_state, message);
    }
    else {
        message->slice = next_choice(fuzz_state, SLICES + 1);
        message->epoch = next_choice(fuzz_state, EPOCH_COUNT);
    }
}

static Rs__Wire__Peer *
unpack(const uint8_t *frame, size_t size)
{
    return rs__wire__peer__unpack(NULL, size - RsFrame_HEADER_BYTES,
                                  frame + RsFrame_HEADER_BYTES);
}

static void
check_round_trip(const struct rs_cell_message *message)
{
    size_t size = 0;
    size_t again_size = 0;
    struct rs_cell_message copy;
    uint8_t *frame = RsCellWire_Pack(message, &size);
    Rs__Wire__Peer *peer = unpack(frame, size);
    CHECK(peer != NULL && RsCellWire_Unpack(peer, message->to, &copy) == 0);
    uint8_t *again = RsCellWire_Pack(&copy, &again_size);
    CHECK(size == again_size && memcmp(frame, again, size) == 0);
    CHECK(copy.claim_count == message->claim_count);
    CHECK(copy.answer_count == message->answer_count);
    CHECK(copy.excluded_count == message->excluded_count);
    CHECK(copy.sequence == message->sequence && copy.from == message->from);
    RsCell_FreeMessage(&copy);
    rs__wire__peer__free_unpacked(peer, NULL);
    g_free(again);
    g_free(frame);
}

static void
receive_entry(struct fuzz_state *fuzz_state, const Rs__Member__Entry *entry)
{
    struct rs_member member = {.incarnation = entry->incarnation,
                               .applied_revision = entry->applied_revision};
    g_strlcpy(member.name, entry->name, sizeof(member.name));
    g_strlcpy(member.domain, entry->domain, sizeof(member.domain));
    RsMembers_Update(fuzz_state->members, fuzz_state->now_ms, &member,
                     entry->age_ms, next_choice(fuzz_state, 2) == 0);
    CHECK(RsMembers_Find(fuzz_state->members, "m1") == NULL);
}

static void
receive_changes(struct fuzz_state *fuzz_state,
                const Rs__Member__Changes *changes)
{
    uint64_t before = RsMirror_Revision(RsFeed_Mirror(fuzz_state->feed));
    RsFeed_ApplyChanges(fuzz_state->feed, changes);
    uint64_t after = RsMirror_Revision(RsFeed_Mirror(fuzz_state->feed));
    CHECK(after >= before && (after == before || changes->after <= before));
}

static void
receive(struct fuzz_state *fuzz_state, const Rs__Wire__Peer *peer)
{
    struct rs_cell_message message;
    if (peer->message_case == RS__WIRE__PEER__MESSAGE_HEARTBEAT) {
        for (size_t i = 0; i < peer->heartbeat->n_others; i++) {
            receive_entry(fuzz_state, peer->heartbeat->others[i]);
        }
    }
    else if (peer->message_case == RS__WIRE__PEER__MESSAGE_CHANGES) {
        receive_changes(fuzz_state, peer->changes);
    }
    else if (RsCellWire_Unpack(peer, 1, &message) == 0) {
        check_round_trip(&message);
        RsCell_Receive(fuzz_state->cell, fuzz_state->now_ms, &message);
        RsCell_FreeMessage(&message);
    }
}

/* Packs a random message, overwrites one byte of the message in a third of the
 * cases, and handles the result. */
static void
receive_random_cell_message(struct fuzz_state *fuzz_state)
{
    struct rs_cell_message message;
    size_t size = 0;
    random_message(fuzz_state, &message);
    check_round_trip(&message);
    uint8_t *frame = RsCellWire_Pack(&message, &size);
    if (next_choice(fuzz_state, 3) == 0 && size > RsFrame_HEADER_BYTES) {
        size_t at = next_choice(fuzz_state, size - RsFrame_HEADER_BYTES);
        frame[RsFrame_HEADER_BYTES + at] = fuzz_next_byte(&fuzz_state->input);
    }
    Rs__Wire__Peer *peer = unpack(frame, size);
    if (peer != NULL) {
        receive(fuzz_state, peer);
        rs__wire__peer__free_unpacked(peer, NULL);
    }
    RsCell_FreeMessage(&message);
    g_free(frame);
}

static void
send_changes(struct fuzz_state *fuzz_state)
{
    Rs__Member__Changes changes = RS__MEMBER__CHANGES__INIT;
    Rs__Member__Row rows[LIST_LIMIT];
    Rs__Member__Row *pointers[LIST_LIMIT];
    char keys[LIST_LIMIT][4];
    changes.after = next_choice(fuzz_state, 5);
    changes.revision = next_choice(fuzz_state, 6);
    changes.more = next_choice(fuzz_state, 3) == 0;
    changes.n_rows = next_choice(fuzz_state, LIST_LIMIT);
    changes.rows = pointers;
    for (size_t i = 0; i < changes.n_rows; i++) {
        rs__member__row__init(&rows[i]);
        g_snprintf(keys[i], sizeof(keys[i]), "k%d",
                   (int)next_choice(fuzz_state, 4));
        rows[i].key = keys[i];
        rows[i].version = next_choice(fuzz_state, 7);
        rows[i].value = next_choice(fuzz_state, 3) == 0 ? "" : "{}";
        pointers[i] = &rows[i];
    }
    receive_changes(fuzz_state, &changes);
}

static void
send_entry(struct fuzz_state *fuzz_state)
{
    Rs__Member__Entry entry = RS__MEMBER__ENTRY__INIT;
    char name[4];
    g_snprintf(name, sizeof(name), "m%d", (int)next_choice(fuzz_state, 4));
    entry.name = name;
    entry.incarnation = next_choice(fuzz_state, 3);
    entry.age_ms = (uint32_t)next_choice(fuzz_state, 3) * (UINT32_MAX / 2);
    receive_entry(fuzz_state, &entry);
    RsMembers_Forget(fuzz_state->members, fuzz_state->now_ms);
}

static void
discard_cell_output(struct fuzz_state *fuzz_state)
{
    struct rs_cell_message message;
    struct rs_cell_event event;
    while (RsCell_NextMessage(fuzz_state->cell, &message)) {
        check_round_trip(&message);
        if (message.kind == RsCell_RENEW) {
            fuzz_state->sequence = message.sequence;
        }
        RsCell_FreeMessage(&message);
    }
    while (RsCell_NextEvent(fuzz_state->cell, &event)) {
    }
}

static void
check_held(const struct fuzz_state *fuzz_state, const bool claimed[SLICES + 1])
{
    for (uint64_t slice = 0; slice <= SLICES; slice++) {
        struct rs_cell_claim claim;
        int64_t until_ms = 0;
        if (RsCell_Holds(fuzz_state->cell, fuzz_state->now_ms, slice, &claim,
                         &until_ms)) {
            CHECK(claimed[slice] && claim.slice == slice);
            CHECK(until_ms <= fuzz_state->now_ms + LEASE_MS - MARGIN_MS);
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct fuzz_state fuzz_state;
    bool claimed[SLICES + 1] = {false};
    init_fuzz_state(&fuzz_state, data, size);
    Rs__Wire__Peer *raw = rs__wire__peer__unpack(NULL, size, data);
    if (raw != NULL) {
        receive(&fuzz_state, raw);
        rs__wire__peer__free_unpacked(raw, NULL);
    }
    for (int i = 0; i < ROUNDS; i++) {
        uint64_t slice = next_choice(&fuzz_state, SLICES * 4);
        if (slice < SLICES && RsCell_Claim(fuzz_state.cell, fuzz_state.now_ms,
                                           slice, 1, 0) == 0) {
            claimed[slice] = true;
        }
        receive_random_cell_message(&fuzz_state);
        send_changes(&fuzz_state);
        send_entry(&fuzz_state);
        fuzz_state.now_ms += (int64_t)next_choice(&fuzz_state, 100);
        RsCell_Tick(fuzz_state.cell, fuzz_state.now_ms);
        discard_cell_output(&fuzz_state);
        check_held(&fuzz_state, claimed);
    }
    RsCell_Free(fuzz_state.cell);
    RsMembers_Free(fuzz_state.members);
    RsFeed_Free(fuzz_state.feed);
    return 0;
}
