/* Decides which slices are claimed, kept, drained and given back. */

#include <assert.h>
#include <string.h>

#include "control/lease_state.h"
#include "core/id.h"
#include "place/names.h"
#include "place/speaker.h"

#define REVIEW_HELD_EVERY_MS 500
#define STEADY_MS 3000 /* a member speaks so long before it gets slices */
#define REBALANCE_EVERY_MS 500

static bool
can_speak(const struct rs_leases *leases, const char *name, int64_t now_ms)
{
    if (strcmp(name, leases->self) == 0) {
        return !leases->leaving;
    }
    const struct rs_member *member =
        RsMembers_Find(leases->options.members, name);
    return RsMembers_IsReachable(leases->options.members, now_ms, name) &&
           member != NULL && !member->leaving;
}

/* The live member that is to speak for a target. */
static const char *
speaker_of(const struct rs_leases *leases, const struct rs_view_cell *cell,
           const char *target, int64_t now_ms)
{
    uint64_t live[RsRoster_MAX_MEMBERS];
    size_t count = 0;
    for (size_t i = 0; i < cell->row.member_count; i++) {
        if (can_speak(leases, cell->row.members[i], now_ms)) {
            live[count++] = RsId_FromName(cell->row.members[i]);
        }
    }
    uint64_t speaker = RsSpeaker_OfTarget(RsId_FromName(target), live, count);
    return speaker != RsSpeaker_NONE ? RsLeases_NameOf(leases, speaker) : NULL;
}

/* The first position, from one on, whose target is not known to be lost. */
static uint32_t
usable_position(const struct rs_leases *leases,
                const struct rs_model_assignment *assignment, uint32_t from)
{
    size_t count = assignment->succession_count;
    assert(count > 0);
    for (size_t i = 0; i < count; i++) {
        uint32_t position = (uint32_t)((from + i) % count);
        if (!g_hash_table_contains(leases->lost,
                                   assignment->succession[position])) {
            return position;
        }
    }
    return (uint32_t)(from % count);
}

/* Gives a slice back: its next holder goes on at `next_position`. */
void
RsLeaseReview_Release(struct rs_leases *leases, struct rs_slice_state *state,
                      int64_t now_ms, uint32_t next_position)
{
    RsCounter_Add(&leases->counters.released, 1);
    RsCell_Release(leases->cell, now_ms, state->slice, next_position);
    state->held = false;
    state->stopping = false;
    state->wanted = false;
    state->retry_at_ms = now_ms + RsLeases_SCAN_EVERY_MS;
    leases->dirty = true;
}

/* Has the data task drain a slice, before it is given back. */
void
RsLeaseReview_Stop(struct rs_leases *leases, struct rs_slice_state *state)
{
    if (!state->stopping) {
        state->stopping = true;
        leases->dirty = true;
    }
}

/* Where the next holder is to go on when this one gives the slice back. */
uint32_t
RsLeaseReview_PositionAfter(const struct rs_leases *leases,
                            const struct rs_slice_state *state)
{
    struct rs_model_assignment assignment;
    if (!RsView_Assignment(leases->view, state->slice, &assignment) ||
        assignment.epoch != state->epoch) {
        return 0;
    }
    return usable_position(leases, &assignment, state->position);
}

/* A target that is lost: its slices go on to their successors, unless all of
 * these are lost too. The data task must have seen the stop before the slice
 * is given back: it may still have a table in which the lease is good, and
 * the target may come back at this very moment. */
static void
stop_lost(struct rs_leases *leases, struct rs_slice_state *state)
{
    struct rs_model_assignment assignment;
    bool same_epoch =
        RsView_Assignment(leases->view, state->slice, &assignment) &&
        assignment.epoch == state->epoch;
    if (!same_epoch ||
        RsLeaseReview_PositionAfter(leases, state) != state->position) {
        RsLeaseReview_Stop(leases, state);
    }
}

/* A later row gives the slice to another target for which this process speaks
 * too: no other member will ask for it. */
static bool
wants_itself(const struct rs_leases *leases,
             const struct rs_slice_state *state,
             const struct rs_model_assignment *assignment, int64_t now_ms)
{
    const struct rs_view_cell *cell = RsLeases_Cell(leases);
    if (assignment->epoch <= state->epoch || cell == NULL ||
        !RsLeases_IsOurs(leases, assignment)) {
        return false;
    }
    uint32_t position = usable_position(leases, assignment, 0);
    const char *speaker =
        speaker_of(leases, cell, assignment->succession[position], now_ms);
    return speaker != NULL && strcmp(speaker, leases->self) == 0;
}

static void
review_held(struct rs_leases *leases, struct rs_slice_state *state,
            int64_t now_ms)
{
    struct rs_model_assignment assignment;
    bool gone = !RsView_Assignment(leases->view, state->slice, &assignment);
    if (g_hash_table_contains(leases->lost, state->target)) {
        stop_lost(leases, state);
    }
    else if (gone || state->wanted || leases->leaving ||
             wants_itself(leases, state, &assignment, now_ms)) {
        RsLeaseReview_Stop(leases, state);
    }
}

/* Asks the former cells to give a slice up, one after the other. Returns
 * whether all have. */
static bool
seal_former(struct rs_leases *leases, struct rs_slice_state *state,
            const struct rs_model_assignment *assignment, int64_t now_ms)
{
    if (state->sealing_epoch != assignment->epoch) {
        state->sealing_epoch = assignment->epoch;
        state->sealed_count = 0;
        RsCounter_Add(&leases->counters.seals, assignment->from_count);
    }
    while (state->sealed_count < assignment->from_count &&
           strcmp(assignment->from[state->sealed_count], leases->cell_name) ==
               0) {
        state->sealed_count++;
    }
    if (state->sealed_count >= assignment->from_count) {
        return true;
    }
    const struct rs_view_cell *former =
        RsView_Cell(leases->view, assignment->from[state->sealed_count]);
    if (former != NULL) {
        struct rs_cell_roster roster;
        RsRoster_ToCell(&former->row, &roster);
        RsCell_BeginSeal(leases->cell, now_ms, state->slice,
                         assignment->epoch - 1, &roster);
    }
    return false;
}

static bool
held_by_other(const struct rs_leases *leases,
              const struct rs_model_assignment *assignment,
              const struct rs_cell_view *look, int64_t now_ms)
{
    return look->holder != 0 && look->holder != leases->self_id &&
           look->until_ms > now_ms &&
           look->claim.fence.epoch == assignment->epoch;
}

static void
claim(struct rs_leases *leases, struct rs_slice_state *state,
      const struct rs_model_assignment *assignment, uint32_t position,
      int64_t now_ms)
{
    state->retry_at_ms = now_ms + RsLeases_SCAN_EVERY_MS;
    if (!seal_former(leases, state, assignment, now_ms)) {
        return;
    }
    if (RsCell_Claim(leases->cell, now_ms, state->slice, assignment->epoch,
                     position) == 0) {
        RsCounter_Add(&leases->counters.claims, 1);
        state->epoch = assignment->epoch;
        state->position = position;
        g_strlcpy(state->target, assignment->succession[position],
                  sizeof(state->target));
    }
}

/* Claims a slice that nobody holds, when this process is to speak for its
 * owner. */
static void
review_free(struct rs_leases *leases, struct rs_slice_state *state,
            int64_t now_ms)
{
    struct rs_model_assignment row;
    const struct rs_model_assignment *assignment = &row;
    const struct rs_view_cell *cell =
        RsView_Cell(leases->view, leases->cell_name);
    struct rs_cell_view look = {0};
    if (now_ms < state->retry_at_ms || leases->leaving || cell == NULL ||
        RsCell_Claiming(leases->cell, state->slice) ||
        !RsView_Assignment(leases->view, state->slice, &row) ||
        row.succession_count == 0 || !RsLeases_IsOurs(leases, &row)) {
        return;
    }
    bool known = RsCell_Look(leases->cell, now_ms, state->slice, &look);
    if (known && held_by_other(leases, assignment, &look, now_ms)) {
        return;
    }
    uint32_t from = known && look.claim.fence.epoch == assignment->epoch
                        ? look.claim.position
                        : 0;
    uint32_t position = usable_position(leases, assignment, from);
    const char *speaker =
        speaker_of(leases, cell, assignment->succession[position], now_ms);
    if (speaker != NULL && strcmp(speaker, leases->self) == 0) {
        claim(leases, state, assignment, position, now_ms);
    }
}

/* Looks at the slices, as far as it is time to. */
void
RsLeaseReview_Scan(struct rs_leases *leases, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    if (leases->view == NULL || now_ms < leases->scan_at_ms) {
        return;
    }
    leases->scan_at_ms = now_ms + RsLeases_SCAN_EVERY_MS;
    bool held_too = now_ms >= leases->review_held_at_ms;
    if (held_too) {
        leases->review_held_at_ms = now_ms + REVIEW_HELD_EVERY_MS;
    }
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_slice_state *state = value;
        if (!state->held) {
            review_free(leases, state, now_ms);
        }
        else if (held_too || state->wanted) {
            review_held(leases, state, now_ms);
        }
    }
}

/* Whether another member has been there long enough to be given a target's
 * slices. */
static bool
belongs_to_other(const struct rs_leases *leases,
                 const struct rs_view_cell *cell, const char *target,
                 int64_t now_ms)
{
    const char *speaker = speaker_of(leases, cell, target, now_ms);
    if (speaker == NULL || strcmp(speaker, leases->self) == 0) {
        return false;
    }
    const struct rs_member *member =
        RsMembers_Find(leases->options.members, speaker);
    return member->cell_version == cell->row.version &&
           now_ms - member->steady_from_ms > STEADY_MS;
}

/* Gives all slices of one target to the member that is to speak for it. */
void
RsLeaseReview_Rebalance(struct rs_leases *leases, int64_t now_ms)
{
    const struct rs_view_cell *cell = RsLeases_Cell(leases);
    GHashTableIter iter;
    gpointer value;
    const char *moving = NULL;
    if (cell == NULL || now_ms < leases->rebalance_at_ms) {
        return;
    }
    leases->rebalance_at_ms = now_ms + REBALANCE_EVERY_MS;
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_slice_state *state = value;
        if (!state->held || state->stopping) {
            continue;
        }
        if (moving == NULL &&
            belongs_to_other(leases, cell, state->target, now_ms)) {
            moving = state->target;
        }
        if (moving != NULL && strcmp(moving, state->target) == 0) {
            RsLeaseReview_Stop(leases, state);
        }
    }
}
