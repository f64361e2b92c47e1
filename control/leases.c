#include "control/leases.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"
#include "place/assignment.h"
#include "place/names.h"
#include "place/roster.h"
#include "place/speaker.h"

#define SCAN_EVERY_MS 50
#define PUBLISH_EVERY_MS 100
#define STEADY_MS 3000 /* a member speaks so long before it gets slices */
#define REBALANCE_EVERY_MS 500
#define US_PER_S 1000000

/* What this process does about one slice of its cell. */
struct slice_state {
    uint64_t slice;
    bool held;
    bool stopping;
    bool wanted;    /* a later epoch's claimant asks for it */
    uint64_t epoch; /* of the claim that is held or under way */
    uint32_t step;
    uint32_t position;
    char target[RsModel_NAME_BYTES];
    char last_target[RsModel_NAME_BYTES]; /* owner before */
    int64_t retry_at_ms;                  /* no claim before */
    uint64_t sealing_epoch; /* of the row whose former cells are asked */
    size_t sealed_count;    /* former cells that have given it up */
};

struct rs_leases {
    struct rs_leases_options options;
    char self[RsModel_NAME_BYTES];
    uint64_t self_id;
    struct rs_cell *cell;
    char cell_name[RsModel_NAME_BYTES]; /* empty: in none yet */
    struct rs_view *view;
    GHashTable *slices;  /* id to slice_state, owned */
    GHashTable *lost;    /* set of target names */
    GHashTable *names;   /* member id to name */
    GHashTable *learned; /* rule to the versions of its rows, taken in */
    struct rs_lease_counters counters;
    bool leaving;
    bool moved; /* the table has this process in another cell now */
    bool dirty; /* the table of leases is to be published */
    int64_t scan_at_ms;
    int64_t publish_at_ms;
    int64_t rebalance_at_ms;
};

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

static const char *
name_of(const struct rs_leases *leases, uint64_t id)
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

static struct slice_state *
find_or_add(struct rs_leases *leases, uint64_t slice)
{
    struct slice_state *state = g_hash_table_lookup(leases->slices, &slice);
    if (state == NULL) {
        state = g_new0(struct slice_state, 1);
        state->slice = slice;
        g_hash_table_insert(leases->slices, &state->slice, state);
    }
    return state;
}

static bool
is_ours(const struct rs_leases *leases,
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
        if (is_ours(leases, &assignment)) {
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
        const struct slice_state *state = value;
        struct rs_model_assignment assignment;
        bool ours =
            RsView_Assignment(leases->view, state->slice, &assignment) &&
            is_ours(leases, &assignment);
        if (!ours && !state->held) {
            g_hash_table_iter_remove(&iter);
        }
    }
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
    leases->scan_at_ms = 0;
}

/* From now on all slices are given back, once drained. */
void
RsLeases_Leave(struct rs_leases *leases)
{
    leases->leaving = true;
    leases->scan_at_ms = 0;
}

static bool
can_speak(const struct rs_leases *leases, const char *name, int64_t now_ms)
{
    if (strcmp(name, leases->self) == 0) {
        return !leases->leaving;
    }
    const struct rs_member *member =
        RsMembers_Find(leases->options.members, name);
    return RsMembers_Speaks(leases->options.members, now_ms, name) &&
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
    return speaker != RsSpeaker_NONE ? name_of(leases, speaker) : NULL;
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

static void
release(struct rs_leases *leases, struct slice_state *state, int64_t now_ms,
        uint32_t next_position)
{
    RsCounter_Add(&leases->counters.released, 1);
    RsCell_Release(leases->cell, now_ms, state->slice, next_position);
    state->held = false;
    state->stopping = false;
    state->wanted = false;
    state->retry_at_ms = now_ms + SCAN_EVERY_MS;
    leases->dirty = true;
}

static void
stop(struct rs_leases *leases, struct slice_state *state)
{
    if (!state->stopping) {
        state->stopping = true;
        leases->dirty = true;
    }
}

/* Where the next holder is to go on when this one gives the slice back. */
static uint32_t
position_after(const struct rs_leases *leases, const struct slice_state *state)
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
stop_lost(struct rs_leases *leases, struct slice_state *state)
{
    struct rs_model_assignment assignment;
    bool same_epoch =
        RsView_Assignment(leases->view, state->slice, &assignment) &&
        assignment.epoch == state->epoch;
    if (!same_epoch || position_after(leases, state) != state->position) {
        stop(leases, state);
    }
}

/* A later row gives the slice to another target for which this process speaks
 * too: no other member will ask for it. */
static bool
wants_itself(const struct rs_leases *leases, const struct slice_state *state,
             const struct rs_model_assignment *assignment, int64_t now_ms)
{
    const struct rs_view_cell *cell = RsLeases_Cell(leases);
    if (assignment->epoch <= state->epoch || cell == NULL ||
        !is_ours(leases, assignment)) {
        return false;
    }
    uint32_t position = usable_position(leases, assignment, 0);
    const char *speaker =
        speaker_of(leases, cell, assignment->succession[position], now_ms);
    return speaker != NULL && strcmp(speaker, leases->self) == 0;
}

static void
review_held(struct rs_leases *leases, struct slice_state *state,
            int64_t now_ms)
{
    struct rs_model_assignment assignment;
    bool gone = !RsView_Assignment(leases->view, state->slice, &assignment);
    if (g_hash_table_contains(leases->lost, state->target)) {
        stop_lost(leases, state);
    }
    else if (gone || state->wanted || leases->leaving ||
             wants_itself(leases, state, &assignment, now_ms)) {
        stop(leases, state);
    }
}

/* Asks the former cells to give a slice up, one after the other. Returns
 * whether all have. */
static bool
seal_former(struct rs_leases *leases, struct slice_state *state,
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
claim(struct rs_leases *leases, struct slice_state *state,
      const struct rs_model_assignment *assignment, uint32_t position,
      int64_t now_ms)
{
    state->retry_at_ms = now_ms + SCAN_EVERY_MS;
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
review_free(struct rs_leases *leases, struct slice_state *state,
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
        row.succession_count == 0 || !is_ours(leases, &row)) {
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

static void
scan(struct rs_leases *leases, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    if (leases->view == NULL || now_ms < leases->scan_at_ms) {
        return;
    }
    leases->scan_at_ms = now_ms + SCAN_EVERY_MS;
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct slice_state *state = value;
        if (state->held) {
            review_held(leases, state, now_ms);
        }
        else {
            review_free(leases, state, now_ms);
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
static void
rebalance(struct rs_leases *leases, int64_t now_ms)
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
        struct slice_state *state = value;
        if (!state->held || state->stopping) {
            continue;
        }
        if (moving == NULL &&
            belongs_to_other(leases, cell, state->target, now_ms)) {
            moving = state->target;
        }
        if (moving != NULL && strcmp(moving, state->target) == 0) {
            stop(leases, state);
        }
    }
}

static void
take_held(struct rs_leases *leases, const struct rs_cell_event *event,
          int64_t now_ms)
{
    struct slice_state *state = find_or_add(leases, event->claim.slice);
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
        release(leases, state, now_ms, 0);
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
    struct slice_state *state =
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
        const char *to = name_of(leases, message.to);
        if (to != NULL) {
            leases->options.send(leases->options.arg, to, &message);
        }
        RsCell_FreeMessage(&message);
    }
}

static int
compare_leases(const void *a, const void *b)
{
    const struct rs_lease *left = a;
    const struct rs_lease *right = b;
    if (left->slice == right->slice) {
        return 0;
    }
    return left->slice < right->slice ? -1 : 1;
}

static void
fill_lease(const struct rs_leases *leases, const struct slice_state *state,
           int64_t now_ms, struct rs_lease *lease)
{
    struct rs_cell_claim claim;
    struct rs_cell_view look;
    lease->slice = state->slice;
    if (state->held && RsCell_Holds(leases->cell, now_ms, state->slice, &claim,
                                    &lease->until_ms)) {
        lease->mine = true;
        lease->stopping = state->stopping;
        lease->epoch = claim.fence.epoch;
        lease->step = claim.fence.step;
        g_strlcpy(lease->target, state->target, sizeof(lease->target));
    }
    else if (RsCell_Look(leases->cell, now_ms, state->slice, &look) &&
             look.holder != 0 && look.holder != leases->self_id) {
        const char *holder = name_of(leases, look.holder);
        bool speaks =
            holder != NULL &&
            RsMembers_Speaks(leases->options.members, now_ms, holder);
        g_strlcpy(lease->holder, speaks ? holder : "", sizeof(lease->holder));
    }
}

static void
publish(struct rs_leases *leases, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    size_t at = 0;
    size_t held = 0;
    if (!leases->dirty && now_ms < leases->publish_at_ms) {
        return;
    }
    leases->dirty = false;
    leases->publish_at_ms = now_ms + PUBLISH_EVERY_MS;
    struct rs_lease_table *table =
        RsLeaseTable_New(g_hash_table_size(leases->slices));
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        fill_lease(leases, value, now_ms, &table->leases[at]);
        held += table->leases[at].mine ? 1 : 0;
        at++;
    }
    qsort(table->leases, table->count, sizeof(table->leases[0]),
          compare_leases);
    RsCounter_Set(&leases->counters.held, held);
    leases->options.publish(leases->options.arg, table);
}

/* Does what is due; called every few milliseconds. */
void
RsLeases_Tick(struct rs_leases *leases, int64_t now_ms)
{
    RsCell_Tick(leases->cell, now_ms);
    drain_cell(leases, now_ms);
    scan(leases, now_ms);
    rebalance(leases, now_ms);
    drain_cell(leases, now_ms);
    publish(leases, now_ms);
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
    leases->scan_at_ms = 0;
}

/* Nothing of a stopping slice waits or runs any more: give it back. */
void
RsLeases_SliceDrained(struct rs_leases *leases, int64_t now_ms, uint64_t slice,
                      uint64_t epoch, uint32_t step)
{
    struct slice_state *state = g_hash_table_lookup(leases->slices, &slice);
    if (state != NULL && state->held && state->stopping &&
        state->epoch == epoch && state->step == step) {
        release(leases, state, now_ms, position_after(leases, state));
    }
}

/* The target knows a higher fence: give the slice back and claim it anew,
 * above what the members know. */
void
RsLeases_SliceStale(struct rs_leases *leases, int64_t now_ms, uint64_t slice)
{
    struct slice_state *state = g_hash_table_lookup(leases->slices, &slice);
    if (state != NULL && state->held) {
        stop(leases, state);
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
        held += ((const struct slice_state *)value)->held ? 1 : 0;
    }
    return held;
}

/* Returns the counters, which any thread may read. */
const struct rs_lease_counters *
RsLeases_Counters(const struct rs_leases *leases)
{
    return &leases->counters;
}

static json_t *
dump_slice(const struct rs_leases *leases, const struct slice_state *state,
           int64_t now_ms)
{
    char id[RsId_TEXT_BYTES];
    struct rs_cell_view look = {0};
    RsId_Format(state->slice, id);
    RsCell_Look(leases->cell, now_ms, state->slice, &look);
    const char *holder = name_of(leases, look.holder);
    return json_pack("{s:s,s:b,s:b,s:I,s:I,s:I,s:s,s:s}", "slice", id, "held",
                     state->held, "stopping", state->stopping, "epoch",
                     (json_int_t)look.claim.fence.epoch, "step",
                     (json_int_t)look.claim.fence.step, "position",
                     (json_int_t)look.claim.position, "target", state->target,
                     "holder", holder != NULL ? holder : "");
}

/* Returns the state as a new JSON object. */
json_t *
RsLeases_Dump(const struct rs_leases *leases, int64_t now_ms)
{
    json_t *slices = json_array();
    json_t *lost = json_array();
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(slices, dump_slice(leases, value, now_ms));
    }
    g_hash_table_iter_init(&iter, leases->lost);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        json_array_append_new(lost, json_string(key));
    }
    return json_pack("{s:s,s:b,s:i,s:o,s:o}", "cell", leases->cell_name,
                     "leaving", leases->leaving, "held",
                     (int)RsLeases_Held(leases), "lost_targets", lost,
                     "slices", slices);
}
