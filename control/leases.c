#include "control/leases.h"

#include <string.h>

#include "control/lease_state.h"
#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"
#include "place/assignment.h"
#include "place/names.h"
#include "place/roster.h"

#define US_PER_S 1000000

/* Creates the lease state of a process, which holds no lease at first. */
struct rs_leases *
RsLeases_New(const struct rs_leases_options *options)
{
    struct rs_leases *leases = g_new0(struct rs_leases, 1);
    leases->options = *options;
    g_strlcpy(leases->self, options->self, sizeof(leases->self));
    leases->options.self = leases->self;
    leases->self_id = RsId_FromName(leases->self);
    struct rs_cell_options cell = {
        .self = leases->self_id,
        .incarnation = options->incarnation,
        .start_ms = options->now_ms,
        .lease_ms = options->lease_ms,
        .renew_every_ms = options->renew_every_ms,
        .margin_ms = options->margin_ms,
        .first_step = (uint32_t)(RsClock_WallUs() / US_PER_S),
        .steps_per_s = 1,
    };
    leases->cell = RsCell_New(&cell);
    leases->slices =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    leases->lost_targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    leases->member_names =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    leases->applied_row_versions = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
    return leases;
}

static void
store_member_name(struct rs_leases *leases, const char *name)
{
    uint64_t id = RsId_FromName(name);
    if (!g_hash_table_contains(leases->member_names, &id)) {
        g_hash_table_insert(leases->member_names, g_memdup2(&id, sizeof(id)),
                            g_strdup(name));
    }
}

/* Returns the name of a member, or NULL when no roster seen so far has that
 * id. Borrowed. */
const char *
RsLeases_MemberName(const struct rs_leases *leases, uint64_t id)
{
    return g_hash_table_lookup(leases->member_names, &id);
}

/* Returns the cell whose roster names this process, as a member or as a former
 * one; else the cell that this process joined before; else NULL. */
static const struct rs_view_cell *
find_own_cell(const struct rs_leases *leases, const struct rs_view *view)
{
    const struct rs_view_cell *cells;
    size_t count = RsView_Cells(view, &cells);
    for (size_t i = 0; i < count; i++) {
        const struct rs_roster_row *row = &cells[i].row;
        if (RsNames_Contain(row->members, row->member_count, leases->self) ||
            RsNames_Contain(row->former, row->former_count, leases->self)) {
            return &cells[i];
        }
    }
    return RsView_Cell(view, leases->cell_name);
}

static void
store_member_names(struct rs_leases *leases)
{
    const struct rs_view_cell *cells;
    size_t count = RsView_Cells(leases->view, &cells);
    for (size_t i = 0; i < count; i++) {
        const struct rs_roster_row *row = &cells[i].row;
        for (size_t j = 0; j < row->member_count; j++) {
            store_member_name(leases, row->members[j]);
        }
        for (size_t j = 0; j < row->former_count; j++) {
            store_member_name(leases, row->former[j]);
        }
    }
}

static struct rs_slice_state *
find_or_add_slice(struct rs_leases *leases, uint64_t slice)
{
    struct rs_slice_state *state = g_hash_table_lookup(leases->slices, &slice);
    if (state == NULL) {
        state = g_new0(struct rs_slice_state, 1);
        state->slice = slice;
        g_hash_table_insert(leases->slices, &state->slice, state);
    }
    return state;
}

/* Tells whether a slice is assigned, and to this process's cell. */
bool
RsLeases_IsInOwnCell(const struct rs_leases *leases,
                     const struct rs_model_assignment *assignment)
{
    return assignment->epoch != 0 && leases->cell_name[0] != '\0' &&
           strcmp(assignment->cell, leases->cell_name) == 0;
}

/* Applies one row of a rule: notes the epoch of each slice, and adds the
 * slices that are assigned to the own cell. */
static void
apply_row(struct rs_leases *leases, const struct rs_view_rule *rule,
          size_t row)
{
    uint32_t first = (uint32_t)row * RsAssignment_SLICES_PER_ROW;
    uint32_t count =
        RsAssignment_CountSlicesInRow(rule->slices, (uint32_t)row);
    for (uint32_t i = first; i < first + count; i++) {
        struct rs_model_assignment assignment;
        RsView_UnpackAssignment(leases->view, rule, i, &assignment);
        if (assignment.epoch == 0) {
            continue;
        }
        RsCell_RecordTableEpoch(leases->cell, assignment.slice,
                                assignment.epoch);
        if (RsLeases_IsInOwnCell(leases, &assignment)) {
            find_or_add_slice(leases, assignment.slice);
        }
    }
}

/* Applies the rows whose version has changed since they were last applied. */
static void
apply_changed_rows(struct rs_leases *leases, const struct rs_view_rule *rule)
{
    GArray *applied_versions =
        g_hash_table_lookup(leases->applied_row_versions, rule->name);
    if (applied_versions == NULL || applied_versions->len != rule->row_count) {
        applied_versions = g_array_new(FALSE, TRUE, sizeof(uint64_t));
        g_array_set_size(applied_versions, (guint)rule->row_count);
        g_hash_table_replace(leases->applied_row_versions,
                             g_strdup(rule->name), applied_versions);
    }
    for (size_t row = 0; row < rule->row_count; row++) {
        uint64_t *version = &g_array_index(applied_versions, uint64_t, row);
        if (*version != rule->row_versions[row]) {
            *version = rule->row_versions[row];
            apply_row(leases, rule, row);
        }
    }
}

/* Forgets slices that are neither assigned to the own cell nor held here. */
static void
forget_foreign_slices(struct rs_leases *leases)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_slice_state *state = value;
        struct rs_model_assignment assignment;
        bool is_own =
            RsView_Assignment(leases->view, state->slice, &assignment) &&
            RsLeases_IsInOwnCell(leases, &assignment);
        if (!is_own && !state->held) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Makes the next tick review all slices, also the held ones. */
static void
schedule_full_scan(struct rs_leases *leases)
{
    leases->next_scan_at_ms = 0;
    leases->next_held_review_at_ms = 0;
}

/* Joins a cell, once: a process serves the same cell for its whole life,
 * because the lease promises that it has made are those of a member of that
 * cell. When the table names another cell later, `moved_to_other_cell` is set.
 */
static void
join_cell_once(struct rs_leases *leases, const char *cell)
{
    if (leases->cell_name[0] == '\0') {
        g_strlcpy(leases->cell_name, cell, sizeof(leases->cell_name));
        g_hash_table_remove_all(leases->applied_row_versions);
    }
    leases->moved_to_other_cell = strcmp(leases->cell_name, cell) != 0;
}

/* Applies a snapshot and takes over the reference to `view`. The cell gets the
 * epochs first, then the roster, then the notice that the table was read;
 * cell/cell.h requires that order. */
void
RsLeases_SetView(struct rs_leases *leases, int64_t now_ms,
                 struct rs_view *view, bool table_was_read)
{
    RsView_Unref(leases->view);
    leases->view = view;
    store_member_names(leases);
    const struct rs_view_cell *cell = find_own_cell(leases, view);
    if (cell != NULL) {
        join_cell_once(leases, cell->row.cell);
    }
    const struct rs_view_rule *rules;
    size_t count = RsView_Rules(view, &rules);
    for (size_t i = 0; i < count; i++) {
        apply_changed_rows(leases, &rules[i]);
    }
    forget_foreign_slices(leases);
    if (cell != NULL && !leases->moved_to_other_cell) {
        struct rs_cell_roster roster;
        RsRoster_ToCellRoster(&cell->row, &roster);
        RsCell_SetRoster(leases->cell, now_ms, &roster);
    }
    if (table_was_read) {
        RsCell_MarkTableRead(leases->cell);
    }
    leases->publish_due = true;
    schedule_full_scan(leases);
}

/* Begins a graceful shutdown: claims nothing more, and releases each held
 * slice once it is drained. */
void
RsLeases_BeginLeaving(struct rs_leases *leases)
{
    leases->leaving = true;
    schedule_full_scan(leases);
}

/* Handles a claim that was won. A lease under an epoch that the table no
 * longer has for the slice is released at once. */
static void
handle_held(struct rs_leases *leases, const struct rs_cell_event *event,
            int64_t now_ms)
{
    struct rs_slice_state *state =
        find_or_add_slice(leases, event->claim.slice);
    struct rs_model_assignment assignment;
    bool assigned = RsView_Assignment(leases->view, state->slice, &assignment);
    RsCounter_Add(&leases->counters.won, 1);
    state->held = true;
    state->stopping = false;
    state->release_wanted = false;
    state->epoch = event->claim.fence.epoch;
    state->step = event->claim.fence.step;
    state->position = event->claim.position;
    if (!assigned || assignment.epoch != state->epoch) {
        RsLeaseReview_Release(leases, state, now_ms, 0);
        return;
    }
    if (strcmp(state->last_target, state->target) != 0) {
        RsCounter_Add(&leases->counters.owner_changes,
                      state->last_target[0] != '\0' ? 1 : 0);
        g_strlcpy(state->last_target, state->target,
                  sizeof(state->last_target));
    }
    leases->publish_due = true;
}

static void
handle_event(struct rs_leases *leases, const struct rs_cell_event *event,
             int64_t now_ms)
{
    struct rs_slice_state *state =
        g_hash_table_lookup(leases->slices, &event->claim.slice);
    if (event->kind == RsCell_EVENT_HELD) {
        handle_held(leases, event, now_ms);
        return;
    }
    if (state == NULL) {
        return;
    }
    switch (event->kind) {
    case RsCell_EVENT_LOST:
        RsCounter_Add(&leases->counters.expired, 1);
        state->held = false;
        state->stopping = false;
        leases->publish_due = true;
        break;
    case RsCell_EVENT_REFUSED:
        state->retry_at_ms = event->retry_at_ms;
        break;
    case RsCell_EVENT_RELEASED:
        state->retry_at_ms = now_ms;
        leases->next_scan_at_ms = now_ms;
        break;
    case RsCell_EVENT_RELEASE_REQUESTED:
        state->release_wanted = true;
        leases->next_scan_at_ms = now_ms;
        break;
    case RsCell_EVENT_SEALED:
        if (event->claim.fence.epoch + 1 == state->sealing_epoch) {
            state->sealed_count++;
        }
        state->retry_at_ms = now_ms;
        leases->next_scan_at_ms = now_ms;
        break;
    default:
        break;
    }
}

/* Handles the events that the cell has queued and sends its messages. */
static void
process_cell_output(struct rs_leases *leases, int64_t now_ms)
{
    struct rs_cell_event event;
    struct rs_cell_message message;
    while (RsCell_NextEvent(leases->cell, &event)) {
        handle_event(leases, &event, now_ms);
    }
    while (RsCell_NextMessage(leases->cell, &message)) {
        const char *to = RsLeases_MemberName(leases, message.to);
        if (to != NULL) {
            leases->options.send(leases->options.arg, to, &message);
        }
        RsCell_FreeMessage(&message);
    }
}

/* Runs the timers of the cell and the reviews that are due, and publishes the
 * lease table when it is due. Call this function every few milliseconds. */
void
RsLeases_Tick(struct rs_leases *leases, int64_t now_ms)
{
    RsCell_Tick(leases->cell, now_ms);
    process_cell_output(leases, now_ms);
    RsLeaseReview_Scan(leases, now_ms);
    RsLeaseReview_Rebalance(leases, now_ms);
    process_cell_output(leases, now_ms);
    RsLeaseReport_Publish(leases, now_ms);
}

/* Applies a message from a member of this or another cell. Runs a tick as well
 * if a scan or the publication of the lease table is due after the message. */
void
RsLeases_Receive(struct rs_leases *leases, int64_t now_ms,
                 const struct rs_cell_message *message)
{
    RsCell_Receive(leases->cell, now_ms, message);
    process_cell_output(leases, now_ms);
    if (leases->publish_due || leases->next_scan_at_ms <= now_ms) {
        RsLeases_Tick(leases, now_ms);
    }
}

/* Notes that a target is lost, so that nothing runs there any more, or that it
 * is back. */
void
RsLeases_TargetChanged(struct rs_leases *leases, const char *target, bool lost)
{
    if (lost) {
        g_hash_table_add(leases->lost_targets, g_strdup(target));
    }
    else {
        g_hash_table_remove(leases->lost_targets, target);
    }
    schedule_full_scan(leases);
}

/* Releases a slice once the data task reports that none of its requests is
 * waiting or running. A report under another fence than that of the lease is
 * ignored. */
void
RsLeases_SliceDrained(struct rs_leases *leases, int64_t now_ms, uint64_t slice,
                      uint64_t epoch, uint32_t step)
{
    struct rs_slice_state *state = g_hash_table_lookup(leases->slices, &slice);
    if (state != NULL && state->held && state->stopping &&
        state->epoch == epoch && state->step == step) {
        RsLeaseReview_Release(leases, state, now_ms,
                              RsLeaseReview_NextPosition(leases, state));
    }
}

/* Handles a target that knows a higher fence than that of the lease: drains
 * and releases the slice, so that it is claimed again under a fence that is
 * higher than any the members know. */
void
RsLeases_FenceStale(struct rs_leases *leases, int64_t now_ms, uint64_t slice)
{
    struct rs_slice_state *state = g_hash_table_lookup(leases->slices, &slice);
    if (state != NULL && state->held) {
        RsLeaseReview_BeginDrain(leases, state);
    }
}

/* Returns the cell that this process joined, as of the current snapshot, or
 * NULL. */
const struct rs_view_cell *
RsLeases_Cell(const struct rs_leases *leases)
{
    if (leases->view == NULL || leases->cell_name[0] == '\0') {
        return NULL;
    }
    return RsView_Cell(leases->view, leases->cell_name);
}

/* Tells whether the table assigns this process to another cell than the one it
 * serves. The process must restart to serve the other cell. */
bool
RsLeases_MovedToOtherCell(const struct rs_leases *leases)
{
    return leases->moved_to_other_cell;
}

/* Fills in what this process, as a member of the cell, knows about the leases
 * on a slice. Returns false when it knows nothing. */
bool
RsLeases_GetSliceView(const struct rs_leases *leases, int64_t now_ms,
                      uint64_t slice, struct rs_cell_view *view)
{
    return RsCell_GetView(leases->cell, now_ms, slice, view);
}

/* Tells whether this process has found a target to be lost. */
bool
RsLeases_TargetIsLost(const struct rs_leases *leases, const char *target)
{
    return g_hash_table_contains(leases->lost_targets, target);
}

/* Returns the number of slices that this process holds. */
size_t
RsLeases_HeldCount(const struct rs_leases *leases)
{
    size_t held = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        held += ((const struct rs_slice_state *)value)->held ? 1 : 0;
    }
    return held;
}

/* Returns the counters, which any thread may read. */
const struct rs_lease_counters *
RsLeases_Counters(const struct rs_leases *leases)
{
    return &leases->counters;
}
