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

/* Makes the state of a process that holds nothing. */
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
        .now_ms = options->now_ms,
        .lease_ms = options->lease_ms,
        .renew_every_ms = options->renew_every_ms,
        .margin_ms = options->margin_ms,
        .first_step = (uint32_t)(RsClock_WallUs() / US_PER_S),
        .steps_per_s = 1,
    };
    leases->cell = RsCell_New(&cell);
    leases->slices =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    leases->lost =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    leases->names =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    leases->learned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_array_unref);
    return leases;
}

static void
learn_name(struct rs_leases *leases, const char *name)
{
    uint64_t id = RsId_FromName(name);
    if (!g_hash_table_contains(leases->names, &id)) {
        g_hash_table_insert(leases->names, g_memdup2(&id, sizeof(id)),
                            g_strdup(name));
    }
}

/* Returns a member's name, or NULL when its id was never seen. */
const char *
RsLeases_NameOf(const struct rs_leases *leases, uint64_t id)
{
    return g_hash_table_lookup(leases->names, &id);
}

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
learn_cells(struct rs_leases *leases)
{
    const struct rs_view_cell *cells;
    size_t count = RsView_Cells(leases->view, &cells);
    for (size_t i = 0; i < count; i++) {
        const struct rs_roster_row *row = &cells[i].row;
        for (size_t j = 0; j < row->member_count; j++) {
            learn_name(leases, row->members[j]);
        }
        for (size_t j = 0; j < row->former_count; j++) {
            learn_name(leases, row->former[j]);
        }
    }
}

static struct rs_slice_state *
find_or_add(struct rs_leases *leases, uint64_t slice)
{
    struct rs_slice_state *state = g_hash_table_lookup(leases->slices, &slice);
    if (state == NULL) {
        state = g_new0(struct rs_slice_state, 1);
        state->slice = slice;
        g_hash_table_insert(leases->slices, &state->slice, state);
    }
    return state;
}

/* Tells whether a slice belongs to this process's cell. */
bool
RsLeases_IsOurs(const struct rs_leases *leases,
                const struct rs_model_assignment *assignment)
{
    return assignment->epoch != 0 && leases->cell_name[0] != '\0' &&
           strcmp(assignment->cell, leases->cell_name) == 0;
}

/* Learns the epochs of all rows, and which slices belong to the cell. */
static void
learn_row(struct rs_leases *leases, const struct rs_view_rule *rule,
          size_t row)
{
    uint32_t first = (uint32_t)row * RsAssignment_PER_ROW;
    uint32_t count = RsAssignment_InRow(rule->slices, (uint32_t)row);
    for (uint32_t i = first; i < first + count; i++) {
        struct rs_model_assignment assignment;
        RsView_Unpack(leases->view, rule, i, &assignment);
        if (assignment.epoch == 0) {
            continue;
        }
        RsCell_LearnEpoch(leases->cell, assignment.slice, assignment.epoch);
        if (RsLeases_IsOurs(leases, &assignment)) {
            find_or_add(leases, assignment.slice);
        }
    }
}

/* Looks at the rows that changed since the last snapshot only. */
static void
learn_rule(struct rs_leases *leases, const struct rs_view_rule *rule)
{
    GArray *known = g_hash_table_lookup(leases->learned, rule->name);
    if (known == NULL || known->len != rule->row_count) {
        known = g_array_new(FALSE, TRUE, sizeof(uint64_t));
        g_array_set_size(known, (guint)rule->row_count);
        g_hash_table_replace(leases->learned, g_strdup(rule->name), known);
    }
    for (size_t row = 0; row < rule->row_count; row++) {
        uint64_t *version = &g_array_index(known, uint64_t, row);
        if (*version != rule->row_versions[row]) {
            *version = rule->row_versions[row];
            learn_row(leases, rule, row);
        }
    }
}

/* Forgets slices that belong elsewhere now and are not held. */
static void
forget_others(struct rs_leases *leases)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_slice_state *state = value;
        struct rs_model_assignment assignment;
        bool ours =
            RsView_Assignment(leases->view, state->slice, &assignment) &&
            RsLeases_IsOurs(leases, &assignment);
        if (!ours && !state->held) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
scan_all_now(struct rs_leases *leases)
{
    leases->scan_at_ms = 0;
    leases->review_held_at_ms = 0;
}

/* A process serves one cell in its life: its promises are those of a member
 * of that cell. */
static void
join_cell(struct rs_leases *leases, const char *cell)
{
    if (leases->cell_name[0] == '\0') {
        g_strlcpy(leases->cell_name, cell, sizeof(leases->cell_name));
        g_hash_table_remove_all(leases->learned);
    }
    leases->moved = strcmp(leases->cell_name, cell) != 0;
}

/* Takes over a snapshot: epochs first, then the roster, then the word that
 * the table was read. */
void
RsLeases_SetView(struct rs_leases *leases, int64_t now_ms,
                 struct rs_view *view, bool table_was_read)
{
    RsView_Unref(leases->view);
    leases->view = view;
    learn_cells(leases);
    const struct rs_view_cell *cell = find_own_cell(leases, view);
    if (cell != NULL) {
        join_cell(leases, cell->row.cell);
    }
    const struct rs_view_rule *rules;
    size_t count = RsView_Rules(view, &rules);
    for (size_t i = 0; i < count; i++) {
        learn_rule(leases, &rules[i]);
    }
    forget_others(leases);
    if (cell != NULL && !leases->moved) {
        struct rs_cell_roster roster;
        RsRoster_ToCell(&cell->row, &roster);
        RsCell_SetRoster(leases->cell, now_ms, &roster);
    }
    if (table_was_read) {
        RsCell_TableWasRead(leases->cell);
    }
    leases->dirty = true;
    scan_all_now(leases);
}

/* From now on all slices are given back, once drained. */
void
RsLeases_Leave(struct rs_leases *leases)
{
    leases->leaving = true;
    scan_all_now(leases);
}

static void
take_held(struct rs_leases *leases, const struct rs_cell_event *event,
          int64_t now_ms)
{
    struct rs_slice_state *state = find_or_add(leases, event->claim.slice);
    struct rs_model_assignment assignment;
    bool assigned = RsView_Assignment(leases->view, state->slice, &assignment);
    RsCounter_Add(&leases->counters.won, 1);
    state->held = true;
    state->stopping = false;
    state->wanted = false;
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
    leases->dirty = true;
}

static void
take_event(struct rs_leases *leases, const struct rs_cell_event *event,
           int64_t now_ms)
{
    struct rs_slice_state *state =
        g_hash_table_lookup(leases->slices, &event->claim.slice);
    if (event->kind == RsCell_EVENT_HELD) {
        take_held(leases, event, now_ms);
        return;
    }
    if (state == NULL) {
        return;
    }
    switch (event->kind) {
    case RsCell_EVENT_LOST:
        RsCounter_Add(&leases->counters.lost, 1);
        state->held = false;
        state->stopping = false;
        leases->dirty = true;
        break;
    case RsCell_EVENT_REFUSED:
        state->retry_at_ms = event->retry_at_ms;
        break;
    case RsCell_EVENT_RELEASED:
        state->retry_at_ms = now_ms;
        leases->scan_at_ms = now_ms;
        break;
    case RsCell_EVENT_WANTED:
        state->wanted = true;
        leases->scan_at_ms = now_ms;
        break;
    case RsCell_EVENT_SEALED:
        if (event->claim.fence.epoch + 1 == state->sealing_epoch) {
            state->sealed_count++;
        }
        state->retry_at_ms = now_ms;
        leases->scan_at_ms = now_ms;
        break;
    default:
        break;
    }
}

static void
drain_cell(struct rs_leases *leases, int64_t now_ms)
{
    struct rs_cell_event event;
    struct rs_cell_message message;
    while (RsCell_NextEvent(leases->cell, &event)) {
        take_event(leases, &event, now_ms);
    }
    while (RsCell_NextMessage(leases->cell, &message)) {
        const char *to = RsLeases_NameOf(leases, message.to);
        if (to != NULL) {
            leases->options.send(leases->options.arg, to, &message);
        }
        RsCell_FreeMessage(&message);
    }
}

/* Does what is due; called every few milliseconds. */
void
RsLeases_Tick(struct rs_leases *leases, int64_t now_ms)
{
    RsCell_Tick(leases->cell, now_ms);
    drain_cell(leases, now_ms);
    RsLeaseReview_Scan(leases, now_ms);
    RsLeaseReview_Rebalance(leases, now_ms);
    drain_cell(leases, now_ms);
    RsLeaseReport_Publish(leases, now_ms);
}

/* Takes a message of another member. */
void
RsLeases_Receive(struct rs_leases *leases, int64_t now_ms,
                 const struct rs_cell_message *message)
{
    RsCell_Receive(leases->cell, now_ms, message);
    drain_cell(leases, now_ms);
    if (leases->dirty || leases->scan_at_ms <= now_ms) {
        RsLeases_Tick(leases, now_ms);
    }
}

/* A target is lost, and nothing can run there any more; or it is back. */
void
RsLeases_TargetChanged(struct rs_leases *leases, const char *target, bool lost)
{
    if (lost) {
        g_hash_table_add(leases->lost, g_strdup(target));
    }
    else {
        g_hash_table_remove(leases->lost, target);
    }
    scan_all_now(leases);
}

/* Nothing of a stopping slice waits or runs any more: give it back. */
void
RsLeases_SliceDrained(struct rs_leases *leases, int64_t now_ms, uint64_t slice,
                      uint64_t epoch, uint32_t step)
{
    struct rs_slice_state *state = g_hash_table_lookup(leases->slices, &slice);
    if (state != NULL && state->held && state->stopping &&
        state->epoch == epoch && state->step == step) {
        RsLeaseReview_Release(leases, state, now_ms,
                              RsLeaseReview_PositionAfter(leases, state));
    }
}

/* The target knows a higher fence: give the slice back and claim it anew,
 * above what the members know. */
void
RsLeases_SliceStale(struct rs_leases *leases, int64_t now_ms, uint64_t slice)
{
    struct rs_slice_state *state = g_hash_table_lookup(leases->slices, &slice);
    if (state != NULL && state->held) {
        RsLeaseReview_Stop(leases, state);
    }
}

/* Returns this process's cell, or NULL. */
const struct rs_view_cell *
RsLeases_Cell(const struct rs_leases *leases)
{
    if (leases->view == NULL || leases->cell_name[0] == '\0') {
        return NULL;
    }
    return RsView_Cell(leases->view, leases->cell_name);
}

/* Tells whether the table has this process in another cell than the one it
 * serves: it must be started anew to serve that one. */
bool
RsLeases_Moved(const struct rs_leases *leases)
{
    return leases->moved;
}

/* Tells what this process knows of a slice as a member. */
bool
RsLeases_Look(const struct rs_leases *leases, int64_t now_ms, uint64_t slice,
              struct rs_cell_view *view)
{
    return RsCell_Look(leases->cell, now_ms, slice, view);
}

/* Tells whether this process found a target to be lost. */
bool
RsLeases_TargetIsLost(const struct rs_leases *leases, const char *target)
{
    return g_hash_table_contains(leases->lost, target);
}

/* Returns how many slices are held. */
size_t
RsLeases_Held(const struct rs_leases *leases)
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
