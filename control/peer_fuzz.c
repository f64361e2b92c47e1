/* Gives messages that a peer may send, whole or damaged, to all that takes
 * them in: the cell's state machine, the table of members and the feed. The
 * oracle: a decoded cell message packs and unpacks to the same, a process
 * holds only what it claimed, and never longer than a lease from now. */

#include <glib.h>
#include <string.h>

#include "cell/cell_wire.h"
#include "control/feed.h"
#include "member/members.h"
#include "place/fuzz_input.h"
#include "wire/frame.h"

#define MEMBERS 3
#define MESSAGES 24
#define SLICES 2
#define EPOCHS 3
#define MAX_LIST 3
#define LEASE_MS 900
#define RENEW_MS 250
#define MARGIN_MS 50

struct world {
    struct fuzz_input input;
    struct rs_cell *cell;
    struct rs_members *members;
    struct rs_feed *feed;
    int64_t now_ms;
    uint64_t sequence; /* of the last renewal that this process sent */
};

static void
ignore_change(void *arg)
{
}

static uint64_t
pick(struct world *world, uint64_t count)
{
    return fuzz_next_byte(&world->input) % count;
}

static void
open_world(struct world *world, const uint8_t *data, size_t size)
{
    struct rs_cell_options cell = {.self = 1,
                                   .incarnation = 9,
                                   .lease_ms = LEASE_MS,
                                   .renew_every_ms = RENEW_MS,
                                   .margin_ms = MARGIN_MS};
    struct rs_members_options members = {
        .self = "m1", .suspect_after_ms = 600, .forget_after_ms = 5000};
    struct rs_feed_options feed = {.domain = "d", .changed = ignore_change};
    struct rs_cell_roster roster = {
        .version = 1, .members = {1, 2, 3}, .member_count = MEMBERS};
    *world = (struct world){.input = fuzz_open(data, size)};
    world->cell = RsCell_New(&cell);
    world->members = RsMembers_New(&members);
    world->feed = RsFeed_New(&feed);
    for (uint64_t slice = 0; slice < SLICES; slice++) {
        RsCell_LearnEpoch(world->cell, slice, 1);
    }
    RsCell_SetRoster(world->cell, 0, &roster);
    RsCell_TableWasRead(world->cell);
    world->now_ms = 2 * LEASE_MS;
}

static void
random_claim(struct world *world, struct rs_cell_claim *claim)
{
    claim->slice = pick(world, SLICES + 1);
    claim->fence.epoch = pick(world, EPOCHS);
    claim->fence.step = (uint32_t)pick(world, 4);
    claim->position = (uint32_t)pick(world, 3);
    claim->held = pick(world, 2) == 0;
}

static struct rs_cell_claim *
random_claims(struct world *world, size_t *count)
{
    *count = pick(world, MAX_LIST);
    struct rs_cell_claim *claims = g_new0(struct rs_cell_claim, *count);
    for (size_t i = 0; i < *count; i++) {
        random_claim(world, &claims[i]);
    }
    return claims;
}

static void
random_answers(struct world *world, struct rs_cell_message *message)
{
    message->answer_count = pick(world, MAX_LIST);
    message->answers =
        g_new0(struct rs_cell_claim_answer, message->answer_count);
    for (size_t i = 0; i < message->answer_count; i++) {
        struct rs_cell_claim_answer *answer = &message->answers[i];
        random_claim(world, &answer->claim);
        random_claim(world, &answer->highest);
        answer->highest.slice = answer->claim.slice;
        answer->highest.held = false;
        answer->result = pick(world, 2) == 0 ? 0 : RsCell_HELD;
        answer->holder = pick(world, MEMBERS + 1);
        answer->wait_ms = (uint32_t)pick(world, 2) * UINT32_MAX;
    }
    message->excluded_count = pick(world, MAX_LIST);
    message->excluded = g_new0(uint64_t, message->excluded_count);
}

static void
random_message(struct world *world, struct rs_cell_message *message)
{
    memset(message, 0, sizeof(*message));
    message->kind = (enum rs_cell_message_kind)pick(world, 4);
    message->from = 1 + pick(world, MEMBERS + 1);
    message->to = 1;
    message->roster = pick(world, 3);
    message->sequence = pick(world, 2) == 0 ? world->sequence : pick(world, 5);
    if (message->kind == RsCell_RENEW ||
        message->kind == RsCell_RENEW_ANSWER) {
        message->incarnation = pick(world, 3);
    }
    if (message->kind == RsCell_RENEW) {
        message->claims = random_claims(world, &message->claim_count);
        message->releases = random_claims(world, &message->release_count);
    }
    else if (message->kind == RsCell_RENEW_ANSWER) {
        random_answers(world, message);
    }
    else {
        message->slice = pick(world, SLICES + 1);
        message->epoch = pick(world, EPOCHS);
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
take_entry(struct world *world, const Rs__Member__Entry *entry)
{
    struct rs_member member = {.incarnation = entry->incarnation,
                               .applied_revision = entry->applied_revision};
    g_strlcpy(member.name, entry->name, sizeof(member.name));
    g_strlcpy(member.domain, entry->domain, sizeof(member.domain));
    RsMembers_Update(world->members, world->now_ms, &member, entry->age_ms,
                     pick(world, 2) == 0);
    CHECK(RsMembers_Find(world->members, "m1") == NULL);
}

static void
take_changes(struct world *world, const Rs__Member__Changes *changes)
{
    uint64_t before = RsMirror_Revision(RsFeed_Mirror(world->feed));
    RsFeed_TakeChanges(world->feed, changes);
    uint64_t after = RsMirror_Revision(RsFeed_Mirror(world->feed));
    CHECK(after >= before && (after == before || changes->after <= before));
}

static void
take(struct world *world, const Rs__Wire__Peer *peer)
{
    struct rs_cell_message message;
    if (peer->message_case == RS__WIRE__PEER__MESSAGE_HEARTBEAT) {
        for (size_t i = 0; i < peer->heartbeat->n_others; i++) {
            take_entry(world, peer->heartbeat->others[i]);
        }
    }
    else if (peer->message_case == RS__WIRE__PEER__MESSAGE_CHANGES) {
        take_changes(world, peer->changes);
    }
    else if (RsCellWire_Unpack(peer, 1, &message) == 0) {
        check_round_trip(&message);
        RsCell_Receive(world->cell, world->now_ms, &message);
        RsCell_FreeMessage(&message);
    }
}

/* Packs a message, damages a byte now and then, and takes it in. */
static void
send_random(struct world *world)
{
    struct rs_cell_message message;
    size_t size = 0;
    random_message(world, &message);
    check_round_trip(&message);
    uint8_t *frame = RsCellWire_Pack(&message, &size);
    if (pick(world, 3) == 0 && size > RsFrame_HEADER_BYTES) {
        size_t at = pick(world, size - RsFrame_HEADER_BYTES);
        frame[RsFrame_HEADER_BYTES + at] = fuzz_next_byte(&world->input);
    }
    Rs__Wire__Peer *peer = unpack(frame, size);
    if (peer != NULL) {
        take(world, peer);
        rs__wire__peer__free_unpacked(peer, NULL);
    }
    RsCell_FreeMessage(&message);
    g_free(frame);
}

static void
send_changes(struct world *world)
{
    Rs__Member__Changes changes = RS__MEMBER__CHANGES__INIT;
    Rs__Member__Row rows[MAX_LIST];
    Rs__Member__Row *pointers[MAX_LIST];
    char keys[MAX_LIST][4];
    changes.after = pick(world, 5);
    changes.revision = pick(world, 6);
    changes.more = pick(world, 3) == 0;
    changes.n_rows = pick(world, MAX_LIST);
    changes.rows = pointers;
    for (size_t i = 0; i < changes.n_rows; i++) {
        rs__member__row__init(&rows[i]);
        g_snprintf(keys[i], sizeof(keys[i]), "k%d", (int)pick(world, 4));
        rows[i].key = keys[i];
        rows[i].version = pick(world, 7);
        rows[i].value = pick(world, 3) == 0 ? "" : "{}";
        pointers[i] = &rows[i];
    }
    take_changes(world, &changes);
}

static void
send_entry(struct world *world)
{
    Rs__Member__Entry entry = RS__MEMBER__ENTRY__INIT;
    char name[4];
    g_snprintf(name, sizeof(name), "m%d", (int)pick(world, 4));
    entry.name = name;
    entry.incarnation = pick(world, 3);
    entry.age_ms = (uint32_t)pick(world, 3) * (UINT32_MAX / 2);
    take_entry(world, &entry);
    RsMembers_Forget(world->members, world->now_ms);
}

static void
drain(struct world *world)
{
    struct rs_cell_message message;
    struct rs_cell_event event;
    while (RsCell_NextMessage(world->cell, &message)) {
        check_round_trip(&message);
        if (message.kind == RsCell_RENEW) {
            world->sequence = message.sequence;
        }
        RsCell_FreeMessage(&message);
    }
    while (RsCell_NextEvent(world->cell, &event)) {
    }
}

static void
check_held(const struct world *world, const bool claimed[SLICES + 1])
{
    for (uint64_t slice = 0; slice <= SLICES; slice++) {
        struct rs_cell_claim claim;
        int64_t until_ms = 0;
        if (RsCell_Holds(world->cell, world->now_ms, slice, &claim,
                         &until_ms)) {
            CHECK(claimed[slice] && claim.slice == slice);
            CHECK(until_ms <= world->now_ms + LEASE_MS - MARGIN_MS);
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct world world;
    bool claimed[SLICES + 1] = {false};
    open_world(&world, data, size);
    Rs__Wire__Peer *raw = rs__wire__peer__unpack(NULL, size, data);
    if (raw != NULL) {
        take(&world, raw);
        rs__wire__peer__free_unpacked(raw, NULL);
    }
    for (int i = 0; i < MESSAGES; i++) {
        uint64_t slice = pick(&world, SLICES * 4);
        if (slice < SLICES &&
            RsCell_Claim(world.cell, world.now_ms, slice, 1, 0) == 0) {
            claimed[slice] = true;
        }
        send_random(&world);
        send_changes(&world);
        send_entry(&world);
        world.now_ms += (int64_t)pick(&world, 100);
        RsCell_Tick(world.cell, world.now_ms);
        drain(&world);
        check_held(&world, claimed);
    }
    RsCell_Free(world.cell);
    RsMembers_Free(world.members);
    RsFeed_Free(world.feed);
    return 0;
}
