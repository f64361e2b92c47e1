/* Decides which slices are claimed, kept, drained and released. */

#include <assert.h>
#include <string.h>

#include "control/lease_state.h"
#include "core/id.h"
#include "place/names.h"
#include "place/preferred_holder.h"

#define HELD_REVIEW_INTERVAL_MS 500
/* Time without a gap in its heartbeats before a member is given slices that
 * another member holds. */
#define MIN_STEADY_MS 3000
#define REBALANCE_INTERVAL_MS 500

/* Tells whether a member is live and not leaving, so that it may hold slices.
 */
static bool
can_hold(const struct rs_leases *leases, const char *name, int64_t now_ms)
{
    if (strcmp(name, leases->self) == 0) {
        return !leases->leaving;
    }
    const struct rs_member *member =
        RsMembers_Find(leases->options.members, name);
    return RsMembers_IsReachable(leases->options.members, now_ms, name) &&
           member != NULL && !member->leaving;
}

/* Returns the name of the preferred holder of a target's slices among the
 * members that are live and not leaving, or NULL when there is none. */
static const char *
preferred_holder(const struct rs_leases *leases,
                 const struct rs_view_cell *cell, const char *target,
                 int64_t now_ms)
{
    uint64_t possible_holders[RsRoster_MAX_MEMBERS];
    size_t count = 0;
    for (size_t i = 0; i < cell->row.member_count; i++) {
        if (can_hold(leases, cell->row.members[i], now_ms)) {
            possible_holders[count++] = RsId_FromName(cell->row.members[i]);
        }
    }
    uint64_t preferred = RsPreferredHolder_OfTarget(RsId_FromName(target),
                                                    possible_holders, count);
    return preferred != RsPreferredHolder_NONE
               ? RsLeases_MemberName(leases, preferred)
               : NULL;
}

/* Returns the first position of the succession, from `from` on and cyclically,
 * whose target is not known to be lost; `from` when all are lost. */
static uint32_t
usable_position(const struct rs_leases *leases,
                const struct rs_model_assignment *assignment, uint32_t from)
{
    size_t count = assignment->succession_count;
    assert(count > 0);
    for (size_t i = 0; i < count; i++) {
        uint32_t position = (uint32_t)((from + i) % count);
        if (!g_hash_table_contains(leases->lost_targets,
                                   assignment->succession[position])) {
            return position;
        }
    }
    return (uint32_t)(from % count);
}

/* Releases a slice. Its next holder starts at `next_position` of the
 * succession. */
void
RsLeaseReview_Release(struct rs_leases *leases, struct rs_slice_state *state,
                      int64_t now_ms, uint32_t next_position)
{
    RsCounter_Add(&leases->counters.released, 1);
    RsCell_Release(leases->cell, now_ms, state->slice, next_position);
    state->held = false;
    state->stopping = false;
    state->release_wanted = false;
    state->retry_at_ms = now_ms + RsLeases_SCAN_INTERVAL_MS;
    leases->publish_due = true;
}

/* Makes the data task drain a slice: the data task admits no new requests and
 * reports when the admitted ones have ended. The slice is released then. */
void
RsLeaseReview_BeginDrain(struct rs_leases *leases,
                         struct rs_slice_state *state)
{
    if (!state->stopping) {
        state->stopping = true;
        leases->publish_due = true;
    }
}

/* Returns the position of the succession at which the next holder is to start
 * when this process releases the slice: 0 when the table no longer assigns the
 * slice under the epoch of the lease. */
uint32_t
RsLeaseReview_NextPosition(const struct rs_leases *leases,
                           const struct rs_slice_state *state)
{
    struct rs_model_assignment assignment;
    if (!RsView_Assignment(leases->view, state->slice, &assignment) ||
        assignment.epoch != state->epoch) {
        return 0;
    }
    return usable_position(leases, &assignment, state->position);
}

/* Drains a slice whose target is lost, so that it passes to another target,
 * unless its epoch is unchanged and all its targets are lost. The slice must
 * not be released before the data task has stopped using it: the lease table
 * of the data task may still show the lease as valid, and the target may come
 * back at any moment. */
static void
drain_slice_of_lost_target(struct rs_leases *leases,
                           struct rs_slice_state *state)
{
    struct rs_model_assignment assignment;
    bool same_epoch =
        RsView_Assignment(leases->view, state->slice, &assignment) &&
        assignment.epoch == state->epoch;
    if (!same_epoch ||
        RsLeaseReview_NextPosition(leases, state) != state->position) {
        RsLeaseReview_BeginDrain(leases, state);
    }
}

/* Tells whether a later epoch assigns the slice to a target for which this
 * process is the preferred holder. No other member claims the slice then, so
 * this process must release it without being asked. */
static bool
is_reassigned_to_self(const struct rs_leases *leases,
                      const struct rs_slice_state *state,
                      const struct rs_model_assignment *assignment,
                      int64_t now_ms)
{
    const struct rs_view_cell *cell = RsLeases_Cell(leases);
    if (assignment->epoch <= state->epoch || cell == NULL ||
        !RsLeases_IsInOwnCell(leases, assignment)) {
        return false;
    }
    uint32_t position = usable_position(leases, assignment, 0);
    const char *preferred = preferred_holder(
        leases, cell, assignment->succession[position], now_ms);
    return preferred != NULL && strcmp(preferred, leases->self) == 0;
}

static void
review_held_slice(struct rs_leases *leases, struct rs_slice_state *state,
                  int64_t now_ms)
{
    struct rs_model_assignment assignment;
    bool unassigned =
        !RsView_Assignment(leases->view, state->slice, &assignment);
    if (g_hash_table_contains(leases->lost_targets, state->target)) {
        drain_slice_of_lost_target(leases, state);
    }
    else if (unassigned || state->release_wanted || leases->leaving ||
             is_reassigned_to_self(leases, state, &assignment, now_ms)) {
        RsLeaseReview_BeginDrain(leases, state);
    }
}

/* Asks the former cells of a slice, one after the other, to give the slice up.
 * The own cell is not asked. Returns whether all the others have given the
 * slice up. */
static bool
seal_former_cells(struct rs_leases *leases, struct rs_slice_state *state,
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
        RsRoster_ToCellRoster(&former->row, &roster);
        RsCell_BeginSeal(leases->cell, now_ms, state->slice,
                         assignment->epoch - 1, &roster);
    }
    return false;
}

static bool
held_by_other(const struct rs_leases *leases,
              const struct rs_model_assignment *assignment,
              const struct rs_cell_view *slice_view, int64_t now_ms)
{
    return slice_view->holder != 0 && slice_view->holder != leases->self_id &&
           slice_view->until_ms > now_ms &&
           slice_view->claim.fence.epoch == assignment->epoch;
}

static void
claim(struct rs_leases *leases, struct rs_slice_state *state,
      const struct rs_model_assignment *assignment, uint32_t position,
      int64_t now_ms)
{
    state->retry_at_ms = now_ms + RsLeases_SCAN_INTERVAL_MS;
    if (!seal_former_cells(leases, state, assignment, now_ms)) {
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

/* Claims a slice that no other member holds under its present epoch, if this
 * process is the preferred holder for the target that is to own the slice. */
static void
review_unheld_slice(struct rs_leases *leases, struct rs_slice_state *state,
                    int64_t now_ms)
{
    struct rs_model_assignment row;
    const struct rs_model_assignment *assignment = &row;
    const struct rs_view_cell *cell =
        RsView_Cell(leases->view, leases->cell_name);
    struct rs_cell_view slice_view = {0};
    if (now_ms < state->retry_at_ms || leases->leaving || cell == NULL ||
        RsCell_IsClaiming(leases->cell, state->slice) ||
        !RsView_Assignment(leases->view, state->slice, &row) ||
        row.succession_count == 0 || !RsLeases_IsInOwnCell(leases, &row)) {
        return;
    }
    bool known =
        RsCell_GetView(leases->cell, now_ms, state->slice, &slice_view);
    if (known && held_by_other(leases, assignment, &slice_view, now_ms)) {
        return;
    }
    uint32_t from = known && slice_view.claim.fence.epoch == assignment->epoch
                        ? slice_view.claim.position
                        : 0;
    uint32_t position = usable_position(leases, assignment, from);
    const char *preferred = preferred_holder(
        leases, cell, assignment->succession[position], now_ms);
    if (preferred != NULL && strcmp(preferred, leases->self) == 0) {
        claim(leases, state, assignment, position, now_ms);
    }
}

/* Reviews the slices that are not held every RsLeases_SCAN_INTERVAL_MS, or
 * earlier when an event makes a scan due. Reviews the held slices every
 * HELD_REVIEW_INTERVAL_MS; a held slice for which the claimant of a later
 * epoch waits is reviewed in each scan. */
void
RsLeaseReview_Scan(struct rs_leases *leases, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    if (leases->view == NULL || now_ms < leases->next_scan_at_ms) {
        return;
    }
    leases->next_scan_at_ms = now_ms + RsLeases_SCAN_INTERVAL_MS;
    bool held_due = now_ms >= leases->next_held_review_at_ms;
    if (held_due) {
        leases->next_held_review_at_ms = now_ms + HELD_REVIEW_INTERVAL_MS;
    }
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_slice_state *state = value;
        if (!state->held) {
            review_unheld_slice(leases, state, now_ms);
        }
        else if (held_due || state->release_wanted) {
            review_held_slice(leases, state, now_ms);
        }
    }
}

/* Tells whether another member is the preferred holder for a target, has
 * applied the present roster and has been live for more than MIN_STEADY_MS. */
static bool
is_preferred_elsewhere(const struct rs_leases *leases,
                       const struct rs_view_cell *cell, const char *target,
                       int64_t now_ms)
{
    const char *preferred = preferred_holder(leases, cell, target, now_ms);
    if (preferred == NULL || strcmp(preferred, leases->self) == 0) {
        return false;
    }
    const struct rs_member *member =
        RsMembers_Find(leases->options.members, preferred);
    return member->cell_version == cell->row.version &&
           now_ms - member->steady_from_ms > MIN_STEADY_MS;
}

/* Drains all slices of one target for which another member is the preferred
 * holder, so that they pass to that member. Handles at most one target per
 * REBALANCE_INTERVAL_MS. */
void
RsLeaseReview_Rebalance(struct rs_leases *leases, int64_t now_ms)
{
    const struct rs_view_cell *cell = RsLeases_Cell(leases);
    GHashTableIter iter;
    gpointer value;
    const char *moving_target = NULL;
    if (cell == NULL || now_ms < leases->next_rebalance_at_ms) {
        return;
    }
    leases->next_rebalance_at_ms = now_ms + REBALANCE_INTERVAL_MS;
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_slice_state *state = value;
        if (!state->held || state->stopping) {
            continue;
        }
        if (moving_target == NULL &&
            is_preferred_elsewhere(leases, cell, state->target, now_ms)) {
            moving_target = state->target;
        }
        if (moving_target != NULL &&
            strcmp(moving_target, state->target) == 0) {
            RsLeaseReview_BeginDrain(leases, state);
        }
    }
}
