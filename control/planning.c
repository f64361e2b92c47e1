#include "control/planning.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "control/rosters.h"
#include "core/clock.h"
#include "core/log.h"
#include "place/assignment.h"
#include "place/cell_balance.h"
#include "place/planner.h"
#include "place/slice.h"

#define ROUND_INTERVAL_MS 400
/* The wait after a conflict is drawn at random from this range. */
#define MIN_CONFLICT_RETRY_DELAY_MS 40
#define MAX_CONFLICT_RETRY_DELAY_MS 160
#define REVIEW_INTERVAL_MS 3000 /* runs even if nothing changed */
#define KEEP_MOVED_SLICE_MS 20000
#define MAX_BALANCE_MOVES 2           /* per rule and round */
#define MAX_BALANCE_MOVES_WHEN_SLOW 8 /* while a target is slow */
#define SLOW_TARGET_SHARE 0.5
#define BALANCE_HYSTERESIS_PERMILLE 200
/* The slices of a rule with a lower request rate are balanced by number, not
 * by load. */
#define MIN_BALANCED_RATE_PER_S 20.0
#define MAX_ROWS_PER_COMMIT 64
#define STATUS_OK 200
#define STATUS_CONFLICT 409

struct rs_planning {
    struct rs_planning_options options;
    char self[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    struct rs_planning_counters counters;
    struct rs_rosters *rosters;
    GHashTable *keep_until_ms; /* slice id to the earliest time at which it may
                                * be moved for balance */
    GRand *random;
    uint64_t moves_in_commit;
    /* Slices that the last round of assignments moved for balance. A commit of
     * rosters does not clear the list. */
    GArray *slices_moved_for_balance;
    bool commit_in_progress;
    bool changed; /* something changed since the last round */
    int64_t next_round_at_ms;
    int64_t next_review_at_ms;
};

/* One round of planning for one cell. */
struct round {
    struct rs_planning *planning;
    const struct rs_view *view;
    const struct rs_view_cell *cell;
    int64_t now_ms;
    json_t *conditions; /* of the commit */
    json_t *puts;       /* rows that the commit writes */
    GArray *domains;    /* struct rs_planner_domain */
};

/* The inputs of the planner for one rule. */
struct rule_state {
    const struct rs_view_rule *rule;
    const struct rs_model_service *service;
    struct rs_model_assignment *present; /* by slice index */
    GArray *targets;                     /* struct rs_planner_target */
    uint8_t *positions; /* of each slice's owner in its succession */
    double *weights;    /* from RsCellBalance_ComputeWeights() */
};

/* Creates the planning state of a process. It lives as long as the process. */
struct rs_planning *
RsPlanning_New(const struct rs_planning_options *options)
{
    struct rs_planning *planning = g_new0(struct rs_planning, 1);
    planning->options = *options;
    g_strlcpy(planning->self, options->self, sizeof(planning->self));
    g_strlcpy(planning->domain, options->domain, sizeof(planning->domain));
    struct rs_rosters_options rosters = {
        .self = options->self,
        .domain = options->domain,
        .members = options->members,
        .leases = options->leases,
        .lease_ms = options->lease_ms,
    };
    planning->rosters = RsRosters_New(&rosters);
    planning->random = g_rand_new_with_seed(g_str_hash(planning->self));
    planning->slices_moved_for_balance =
        g_array_new(FALSE, FALSE, sizeof(uint64_t));
    planning->keep_until_ms =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return planning;
}

/* Keeps the slices that the last round of assignments moved for balance where
 * they are for KEEP_MOVED_SLICE_MS, so that they do not move back and forth.
 * Other reasons may still move them. Each later commit of rosters starts that
 * time anew, even if the moves themselves were not committed. */
static void
keep_moved_slices(struct rs_planning *planning)
{
    int64_t until_ms = RsClock_NowMs() + KEEP_MOVED_SLICE_MS;
    for (guint i = 0; i < planning->slices_moved_for_balance->len; i++) {
        uint64_t slice =
            g_array_index(planning->slices_moved_for_balance, uint64_t, i);
        g_hash_table_replace(planning->keep_until_ms,
                             g_memdup2(&slice, sizeof(slice)),
                             g_memdup2(&until_ms, sizeof(until_ms)));
    }
}

static void
on_commit(void *arg, int status, json_t *body)
{
    struct rs_planning *planning = arg;
    planning->commit_in_progress = false;
    planning->changed = true;
    if (status == STATUS_OK) {
        RsCounter_Add(&planning->counters.commits, 1);
        RsCounter_Add(&planning->counters.moves, planning->moves_in_commit);
        keep_moved_slices(planning);
    }
    else {
        planning->next_review_at_ms = 0;
    }
    if (status == STATUS_CONFLICT) {
        int32_t wait_ms =
            g_rand_int_range(planning->random, MIN_CONFLICT_RETRY_DELAY_MS,
                             MAX_CONFLICT_RETRY_DELAY_MS);
        RsCounter_Add(&planning->counters.conflicts, 1);
        planning->next_round_at_ms = RsClock_NowMs() + wait_ms;
    }
    planning->options.commit_ended(planning->options.arg);
}

/* Starts to commit the round's rows, if any; on_commit() handles the result.
 * Releases the round's conditions and rows. Returns whether there were rows.
 */
static bool
start_commit(struct round *round)
{
    struct rs_planning *planning = round->planning;
    bool any = json_array_size(round->puts) > 0;
    json_t *body =
        json_pack("{s:o,s:o}", "if", round->conditions, "put", round->puts);
    if (any) {
        planning->commit_in_progress = true;
        RsPlatform_Commit(planning->options.platform, body, on_commit,
                          planning);
    }
    json_decref(body);
    return any;
}

static void
add_condition(struct round *round, const char *key, uint64_t version)
{
    json_array_append_new(
        round->conditions,
        json_pack("{s:s,s:I}", "key", key, "version", (json_int_t)version));
}

/* Returns the name of the planner of a cell: its live member with the lowest
 * name. This process counts as a live member. */
const char *
RsPlanning_PlannerOf(const struct rs_planning *planning,
                     const struct rs_view_cell *cell, int64_t now_ms)
{
    const char *planner = planning->self;
    for (size_t i = 0; i < cell->row.member_count; i++) {
        const char *name = cell->row.members[i];
        if (strcmp(name, planner) < 0 &&
            RsMembers_IsReachable(planning->options.members, now_ms, name)) {
            planner = name;
        }
    }
    return planner;
}

static void
add_target(const struct round *round, const struct rs_model_place *place,
           const char *name, GArray *targets)
{
    const struct rs_view_vm *vm = RsView_Vm(round->view, name);
    const struct rs_view_cell *cell =
        RsView_CellOfTarget(round->view, place->domain, name);
    bool lost = RsLeases_TargetIsLost(round->planning->options.leases, name);
    struct rs_planner_target target = {
        .alive = vm != NULL && !lost,
        .listed = vm != NULL,
        .leaving = vm != NULL && vm->leaving,
        .share = 1.0,
    };
    g_strlcpy(target.name, name, sizeof(target.name));
    g_strlcpy(target.domain, place->domain, sizeof(target.domain));
    if (cell != NULL) {
        g_strlcpy(target.cell, cell->row.cell, sizeof(target.cell));
    }
    g_array_append_val(targets, target);
}

static GArray *
list_targets(const struct round *round, const struct rs_model_rule *rule)
{
    GArray *targets =
        g_array_new(FALSE, TRUE, sizeof(struct rs_planner_target));
    for (size_t i = 0; i < rule->place_count; i++) {
        const struct rs_model_place *place =
            RsConfig_Place(RsView_Config(round->view), rule->places[i]);
        for (size_t j = 0; place != NULL && j < place->target_count; j++) {
            add_target(round, place, place->targets[j].name, targets);
        }
    }
    return targets;
}

/* Lists the domains. For each lost domain, adds the condition that its row is
 * unchanged: a plan that takes slices away from a lost domain must fail if the
 * domain has been taken back meanwhile. */
static void
list_domains(struct round *round)
{
    const struct rs_config *config = RsView_Config(round->view);
    round->domains =
        g_array_new(FALSE, TRUE, sizeof(struct rs_planner_domain));
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_DOMAIN); i++) {
        const struct rs_config_entry *entry =
            RsConfig_EntryAt(config, RsObject_DOMAIN, i);
        const struct rs_model_domain *model = &entry->object.as.domain;
        struct rs_planner_domain domain = {.state = model->state};
        g_strlcpy(domain.name, model->name, sizeof(domain.name));
        g_array_append_val(round->domains, domain);
        if (model->state == RsModel_DOMAIN_LOST) {
            char *key = g_strdup_printf("object/domain/%s", model->name);
            add_condition(round, key, entry->version);
            g_free(key);
        }
    }
}

/* Returns, by slice index, the position of the slice's owner in its
 * succession, or 0 if this process does not know it. This process knows the
 * position only from claims under the present epoch that it received as a
 * member of the cell. The caller frees the array. */
static uint8_t *
list_positions(const struct round *round, const struct rule_state *state)
{
    uint32_t slice_count = state->rule->slices;
    uint8_t *positions = g_new0(uint8_t, slice_count + 1);
    for (uint32_t i = 0; i < slice_count; i++) {
        const struct rs_model_assignment *assignment = &state->present[i];
        struct rs_cell_view slice_view;
        if (RsLeases_GetSliceView(round->planning->options.leases,
                                  round->now_ms, assignment->slice,
                                  &slice_view) &&
            slice_view.claim.fence.epoch == assignment->epoch &&
            slice_view.claim.position < assignment->succession_count) {
            positions[i] = (uint8_t)slice_view.claim.position;
        }
    }
    return positions;
}

/* Adds the rows that contain a changed slice to the commit, each on the
 * condition that its version is unchanged. Rows beyond MAX_ROWS_PER_COMMIT are
 * left to the next round. */
static void
add_changes(struct round *round, const struct rule_state *state,
            const struct rs_model_assignment *changes, size_t count)
{
    const struct rs_view_rule *rule = state->rule;
    bool *row_changed = g_new0(bool, rule->row_count + 1);
    for (size_t i = 0; i < count; i++) {
        uint32_t index = RsSlice_Index(changes[i].slice);
        state->present[index] = changes[i];
        row_changed[index / RsAssignment_SLICES_PER_ROW] = true;
    }
    for (uint32_t row = 0; row < rule->row_count; row++) {
        char key[RsAssignment_KEY_BYTES];
        if (!row_changed[row] ||
            json_array_size(round->puts) >= MAX_ROWS_PER_COMMIT) {
            continue;
        }
        RsAssignment_FormatKey(rule->name, row, key);
        add_condition(round, key, rule->row_versions[row]);
        json_t *value = RsAssignment_Encode(
            state->present + row * RsAssignment_SLICES_PER_ROW,
            RsAssignment_CountSlicesInRow(rule->slices, row));
        json_array_append_new(
            round->puts, json_pack("{s:s,s:o}", "key", key, "value", value));
    }
    g_free(row_changed);
}

/* Fills in the rate of each slice and the time before which it may not be
 * moved for balance (0: none). Returns the sum of the rates. */
static double
fill_rates(const struct round *round, const struct rule_state *state,
           double *rates, int64_t *keep_until_ms)
{
    const struct rs_planning *planning = round->planning;
    double total = 0;
    for (uint32_t i = 0; i < state->rule->slices; i++) {
        uint64_t slice = state->present[i].slice;
        const int64_t *until_ms =
            g_hash_table_lookup(planning->keep_until_ms, &slice);
        rates[i] = RsLoads_Rate(planning->options.loads, round->now_ms, slice);
        keep_until_ms[i] = until_ms != NULL ? *until_ms : 0;
        total += rates[i];
    }
    return total;
}

static struct rs_cell_balance_options
balance_options(const struct round *round, const struct rule_state *state)
{
    return (struct rs_cell_balance_options){
        .rule = state->rule->name,
        .cell = round->cell->row.cell,
        .targets =
            (const struct rs_planner_target *)(void *)state->targets->data,
        .target_count = state->targets->len,
        .present = state->present,
        .slices = state->rule->slices,
        .positions = state->positions,
        .now_ms = round->now_ms,
        .max_moves = MAX_BALANCE_MOVES,
        .hysteresis_permille = BALANCE_HYSTERESIS_PERMILLE,
    };
}

static void
log_plan(const char *event, const struct rule_state *state,
         const struct rs_planner_plan *plan)
{
    RsLog_EVENT(RsLog_INFO, event, RsLog_TEXT("rule", state->rule->name),
                RsLog_NUMBER("rows_changed", plan->change_count),
                RsLog_NUMBER("owners_changed", plan->moves));
}

/* Tells whether a target of the own cell has less than SLOW_TARGET_SHARE of
 * its capacity. */
static bool
has_slow_target(const struct round *round, const struct rule_state *state)
{
    for (guint i = 0; i < state->targets->len; i++) {
        const struct rs_planner_target *target =
            &g_array_index(state->targets, struct rs_planner_target, i);
        if (target->share < SLOW_TARGET_SHARE &&
            strcmp(target->cell, round->cell->row.cell) == 0) {
            return true;
        }
    }
    return false;
}

/* Adds to the commit a few moves of slices within the cell that even out the
 * load of its targets. */
static void
balance_rule(struct round *round, struct rule_state *state)
{
    struct rs_planning *planning = round->planning;
    struct rs_planner_plan plan = {0};
    double *rates = g_new0(double, state->rule->slices + 1);
    int64_t *keep_until_ms = g_new0(int64_t, state->rule->slices + 1);
    if (fill_rates(round, state, rates, keep_until_ms) <
        MIN_BALANCED_RATE_PER_S) {
        memset(rates, 0, state->rule->slices * sizeof(rates[0]));
    }
    for (guint i = 0; i < state->targets->len; i++) {
        struct rs_planner_target *target =
            &g_array_index(state->targets, struct rs_planner_target, i);
        target->base_load = 0;
        target->share = RsLoads_Share(planning->options.loads, round->now_ms,
                                      target->name);
    }
    struct rs_cell_balance_options options = balance_options(round, state);
    if (has_slow_target(round, state)) {
        options.max_moves = MAX_BALANCE_MOVES_WHEN_SLOW;
    }
    options.rates = rates;
    options.keep_until_ms = keep_until_ms;
    if (RsCellBalance_Plan(&options, &plan) == 0 && plan.change_count > 0) {
        log_plan("slices_balanced", state, &plan);
        RsCounter_Add(&planning->counters.balance_moves, plan.moves);
        planning->moves_in_commit += plan.moves;
        add_changes(round, state, plan.changes, plan.change_count);
        for (size_t i = 0; i < plan.change_count; i++) {
            g_array_append_val(planning->slices_moved_for_balance,
                               plan.changes[i].slice);
        }
    }
    RsPlanner_FreePlan(&plan);
    g_free(keep_until_ms);
    g_free(rates);
}

/* Adds to the commit the changes that the planner makes to the rule's
 * assignments. Returns whether there are any. */
static bool
place_rule(struct round *round, struct rule_state *state)
{
    struct rs_planner_options options = {
        .rule = state->rule->name,
        .slices = state->rule->slices,
        .cut_off = state->service->cut_off,
        .targets =
            (const struct rs_planner_target *)(void *)state->targets->data,
        .target_count = state->targets->len,
        .domains =
            (const struct rs_planner_domain *)(void *)round->domains->data,
        .domain_count = round->domains->len,
        .present = state->present,
        .positions = state->positions,
        .loads = state->weights,
        .loads_are_weights = true,
        .now_ms = round->now_ms,
        .cell = round->cell->row.cell,
    };
    struct rs_planner_plan plan = {0};
    bool has_changes =
        RsPlanner_Plan(&options, &plan) == 0 && plan.change_count > 0;
    if (has_changes) {
        log_plan("slices_placed", state, &plan);
        round->planning->moves_in_commit += plan.moves;
        add_changes(round, state, plan.changes, plan.change_count);
    }
    RsPlanner_FreePlan(&plan);
    return has_changes;
}

/* Tells whether a slice that has former cells is held in the own cell under
 * its present epoch. */
static bool
is_held_in_own_cell(const struct round *round,
                    const struct rs_model_assignment *assignment)
{
    struct rs_cell_view slice_view;
    return assignment->from_count > 0 &&
           strcmp(assignment->cell, round->cell->row.cell) == 0 &&
           RsLeases_GetSliceView(round->planning->options.leases,
                                 round->now_ms, assignment->slice,
                                 &slice_view) &&
           slice_view.holder != 0 &&
           slice_view.claim.fence.epoch == assignment->epoch;
}

/* Adds to the commit the end of the handover of each slice that the own cell
 * holds by now: its list of former cells is cleared. Returns whether there
 * were any such slices. */
static bool
clear_former_cells(struct round *round, struct rule_state *state)
{
    GArray *held_slices =
        g_array_new(FALSE, FALSE, sizeof(struct rs_model_assignment));
    for (uint32_t i = 0; i < state->rule->slices; i++) {
        struct rs_model_assignment next;
        if (is_held_in_own_cell(round, &state->present[i]) &&
            RsPlanner_FinishHandover(&state->present[i], &next)) {
            g_array_append_val(held_slices, next);
        }
    }
    bool any = held_slices->len > 0;
    add_changes(round, state,
                (struct rs_model_assignment *)(void *)held_slices->data,
                held_slices->len);
    g_array_free(held_slices, TRUE);
    return any;
}

/* Collects the planner's inputs for a rule. Free them with free_rule_state().
 */
static void
init_rule_state(const struct round *round, const struct rs_model_rule *model,
                struct rule_state *state)
{
    uint32_t slice_count = state->rule->slices;
    state->present = g_new0(struct rs_model_assignment, slice_count + 1);
    for (uint32_t i = 0; i < slice_count; i++) {
        RsView_UnpackAssignment(round->view, state->rule, i,
                                &state->present[i]);
    }
    state->targets = list_targets(round, model);
    state->positions = list_positions(round, state);
    state->weights = g_new0(double, slice_count + 1);
    struct rs_cell_balance_options options = balance_options(round, state);
    double *base_loads = g_new0(double, state->targets->len + 1);
    RsCellBalance_ComputeWeights(&options, state->weights, base_loads);
    for (guint i = 0; i < state->targets->len; i++) {
        g_array_index(state->targets, struct rs_planner_target, i).base_load =
            base_loads[i];
    }
    g_free(base_loads);
}

static void
free_rule_state(struct rule_state *state)
{
    g_free(state->weights);
    g_free(state->positions);
    g_array_free(state->targets, TRUE);
    g_free(state->present);
}

static void
plan_rule(struct round *round, const struct rs_view_rule *rule, bool review)
{
    const struct rs_config *config = RsView_Config(round->view);
    const struct rs_model_rule *model = RsConfig_Rule(config, rule->name);
    struct rule_state state = {.rule = rule};
    if (model != NULL) {
        state.service = RsConfig_Service(config, model->service);
    }
    if (state.service == NULL || !state.service->keyed) {
        return;
    }
    init_rule_state(round, model, &state);
    if (!place_rule(round, &state) && !clear_former_cells(round, &state) &&
        review) {
        balance_rule(round, &state);
    }
    free_rule_state(&state);
}

/* Plans all rules. A review also balances the load of each rule for which
 * nothing else has to change. */
static void
plan_rules(struct round *round, bool review)
{
    struct rs_planning *planning = round->planning;
    const struct rs_view_rule *rules;
    size_t count = RsView_Rules(round->view, &rules);
    int64_t began_us = RsClock_NowUs();
    list_domains(round);
    for (size_t i = 0; i < count; i++) {
        plan_rule(round, &rules[i], review);
    }
    g_array_free(round->domains, TRUE);
    RsCounter_Add(&planning->counters.rounds, 1);
    RsCounter_Add(&planning->counters.round_us,
                  (uint64_t)(RsClock_NowUs() - began_us));
}

static struct round
open_round(struct rs_planning *planning, const struct rs_view *view,
           int64_t now_ms)
{
    return (struct round){
        .planning = planning,
        .view = view,
        .cell = RsLeases_Cell(planning->options.leases),
        .now_ms = now_ms,
        .conditions = json_array(),
        .puts = json_array(),
    };
}

/* Starts to commit a change of the domain's rosters, if one is due. Returns
 * whether there was one. */
static bool
plan_and_commit_rosters(struct rs_planning *planning,
                        const struct rs_view *view, int64_t now_ms)
{
    struct round round = open_round(planning, view, now_ms);
    RsRosters_Plan(planning->rosters, view, now_ms, round.conditions,
                   round.puts);
    return start_commit(&round);
}

/* Makes the next round plan again, because something on which the plans depend
 * has changed. */
void
RsPlanning_MarkChanged(struct rs_planning *planning)
{
    planning->changed = true;
}

/* Makes the next round balance load as well. Call this function when the load
 * or the capacity of targets changed much. */
void
RsPlanning_RequestReview(struct rs_planning *planning)
{
    planning->next_review_at_ms = 0;
}

/* Runs a round of planning when one is due and no commit is in progress, if
 * this process is the planner of its cell or has no cell. The round commits a
 * change of the rosters if one is needed. Otherwise it plans the assignments,
 * provided that this process has a cell and that something changed or a review
 * is due. */
void
RsPlanning_Tick(struct rs_planning *planning, int64_t now_ms,
                const struct rs_view *view)
{
    if (planning->commit_in_progress || now_ms < planning->next_round_at_ms) {
        return;
    }
    planning->next_round_at_ms = now_ms + ROUND_INTERVAL_MS;
    const struct rs_view_cell *cell = RsLeases_Cell(planning->options.leases);
    if (cell != NULL && strcmp(RsPlanning_PlannerOf(planning, cell, now_ms),
                               planning->self) != 0) {
        return;
    }
    bool review = now_ms >= planning->next_review_at_ms;
    if (plan_and_commit_rosters(planning, view, now_ms) || cell == NULL ||
        !(review || planning->changed)) {
        return;
    }
    planning->changed = false;
    if (review) {
        planning->next_review_at_ms = now_ms + REVIEW_INTERVAL_MS;
    }
    struct round round = open_round(planning, view, now_ms);
    planning->moves_in_commit = 0;
    g_array_set_size(planning->slices_moved_for_balance, 0);
    plan_rules(&round, review);
    start_commit(&round);
}

/* Notes that the list of VMs was read from the platform again. */
void
RsPlanning_VmsWereRead(struct rs_planning *planning, int64_t now_ms,
                       const struct rs_view *view)
{
    RsRosters_VmsWereRead(planning->rosters, now_ms, view);
}

/* Returns the counters, which any thread may read. */
const struct rs_planning_counters *
RsPlanning_Counters(const struct rs_planning *planning)
{
    return &planning->counters;
}
