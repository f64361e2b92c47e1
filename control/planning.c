#include "control/planning.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "control/rosters.h"
#include "core/clock.h"
#include "core/log.h"
#include "place/assignment.h"
#include "place/balance.h"
#include "place/planner.h"
#include "place/slice.h"

#define ROUND_EVERY_MS 400
#define RETRY_LEAST_MS 40 /* after a conflict, once the row was read again */
#define RETRY_MOST_MS 160
#define REVIEW_EVERY_MS 3000 /* also when nothing changed */
#define KEEP_MOVED_MS 20000
#define MAX_BALANCE_MOVES 2 /* a rule and round */
#define MAX_SLOW_MOVES 8    /* when a target is slow */
#define SLOW_SHARE 0.5
#define BALANCE_HYSTERESIS_PERMILLE 200
#define LEAST_BALANCED_RATE 20.0 /* requests/s; else numbers count */
#define MAX_ROWS_A_COMMIT 64
#define STATUS_OK 200
#define STATUS_CONFLICT 409

struct rs_planning {
    struct rs_planning_options options;
    char self[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    struct rs_planning_counters counters;
    struct rs_rosters *rosters;
    GHashTable *kept; /* slice to until when it is not moved by load */
    GRand *random;
    uint64_t moves_in_commit;
    GArray *balanced; /* slices that the commit moves by load */
    bool writing;
    bool woken; /* something changed since the last review */
    int64_t round_at_ms;
    int64_t review_at_ms;
};

/* One round of planning for one cell. */
struct round {
    struct rs_planning *planning;
    const struct rs_view *view;
    const struct rs_view_cell *cell;
    int64_t now_ms;
    json_t *conditions;
    json_t *puts;
    GArray *domains; /* struct rs_planner_domain */
};

/* What the planner is told of one rule. */
struct rule_state {
    const struct rs_view_rule *rule;
    const struct rs_model_service *service;
    struct rs_model_assignment *present;
    GArray *targets; /* struct rs_planner_target */
    uint8_t *positions;
    double *weights;
};

/* Makes the state of a planner that has written nothing. */
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
    planning->balanced = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    planning->kept =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return planning;
}

/* Slices that were moved by load stay where they are for a while. */
static void
keep_balanced(struct rs_planning *planning)
{
    int64_t until_ms = RsClock_NowMs() + KEEP_MOVED_MS;
    for (guint i = 0; i < planning->balanced->len; i++) {
        uint64_t slice = g_array_index(planning->balanced, uint64_t, i);
        g_hash_table_replace(planning->kept, g_memdup2(&slice, sizeof(slice)),
                             g_memdup2(&until_ms, sizeof(until_ms)));
    }
}

static void
on_commit(void *arg, int status, json_t *body)
{
    struct rs_planning *planning = arg;
    planning->writing = false;
    planning->woken = true;
    if (status == STATUS_OK) {
        RsCounter_Add(&planning->counters.commits, 1);
        RsCounter_Add(&planning->counters.moves, planning->moves_in_commit);
        keep_balanced(planning);
    }
    else {
        planning->review_at_ms = 0;
    }
    if (status == STATUS_CONFLICT) {
        int32_t wait_ms =
            g_rand_int_range(planning->random, RETRY_LEAST_MS, RETRY_MOST_MS);
        RsCounter_Add(&planning->counters.conflicts, 1);
        planning->round_at_ms = RsClock_NowMs() + wait_ms;
    }
    planning->options.written(planning->options.arg);
}

/* Commits the round's rows when there are any. Returns whether there were. */
static bool
commit(struct round *round)
{
    struct rs_planning *planning = round->planning;
    bool any = json_array_size(round->puts) > 0;
    json_t *body =
        json_pack("{s:o,s:o}", "if", round->conditions, "put", round->puts);
    if (any) {
        planning->writing = true;
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

/* Returns the name of the live member that plans for its cell; this process's
 * own when no other is before it. */
const char *
RsPlanning_Planner(const struct rs_planning *planning,
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

/* Lists the domains. What is planned because one is lost holds only as long
 * as that is said of it. */
static void
list_domains(struct round *round)
{
    const struct rs_config *config = RsView_Config(round->view);
    round->domains =
        g_array_new(FALSE, TRUE, sizeof(struct rs_planner_domain));
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_DOMAIN); i++) {
        const struct rs_config_entry *entry =
            RsConfig_At(config, RsObject_DOMAIN, i);
        const struct rs_model_domain *model = &entry->object.as.domain;
        struct rs_planner_domain domain = {.state = model->state};
        g_strlcpy(domain.name, model->name, sizeof(domain.name));
        g_array_append_val(round->domains, domain);
        if (model->state == RsModel_LOST) {
            char *key = g_strdup_printf("object/domain/%s", model->name);
            add_condition(round, key, entry->version);
            g_free(key);
        }
    }
}

/* Where each slice of this process's cell stands in its succession. */
static uint8_t *
list_positions(const struct round *round, const struct rule_state *state)
{
    uint32_t slices = state->rule->slices;
    uint8_t *positions = g_new0(uint8_t, slices + 1);
    for (uint32_t i = 0; i < slices; i++) {
        const struct rs_model_assignment *assignment = &state->present[i];
        struct rs_cell_view look;
        if (RsLeases_Look(round->planning->options.leases, round->now_ms,
                          assignment->slice, &look) &&
            look.claim.fence.epoch == assignment->epoch &&
            look.claim.position < assignment->succession_count) {
            positions[i] = (uint8_t)look.claim.position;
        }
    }
    return positions;
}

/* Writes each chunk of slices that has a change. */
static void
add_changes(struct round *round, const struct rule_state *state,
            const struct rs_model_assignment *changes, size_t count)
{
    const struct rs_view_rule *rule = state->rule;
    bool *touched = g_new0(bool, rule->row_count + 1);
    for (size_t i = 0; i < count; i++) {
        uint32_t index = RsSlice_Index(changes[i].slice);
        state->present[index] = changes[i];
        touched[index / RsAssignment_PER_ROW] = true;
    }
    for (uint32_t row = 0; row < rule->row_count; row++) {
        char key[RsAssignment_KEY_BYTES];
        if (!touched[row] ||
            json_array_size(round->puts) >= MAX_ROWS_A_COMMIT) {
            continue;
        }
        RsAssignment_FormatKey(rule->name, row, key);
        add_condition(round, key, rule->row_versions[row]);
        json_t *value =
            RsAssignment_Encode(state->present + row * RsAssignment_PER_ROW,
                                RsAssignment_InRow(rule->slices, row));
        json_array_append_new(
            round->puts, json_pack("{s:s,s:o}", "key", key, "value", value));
    }
    g_free(touched);
}

/* Returns the sum of the rates of the rule's slices, as far as known. */
static double
fill_rates(const struct round *round, const struct rule_state *state,
           double *rates, int64_t *keep_until_ms)
{
    const struct rs_planning *planning = round->planning;
    double total = 0;
    for (uint32_t i = 0; i < state->rule->slices; i++) {
        uint64_t slice = state->present[i].slice;
        const int64_t *kept = g_hash_table_lookup(planning->kept, &slice);
        rates[i] = RsLoads_Rate(planning->options.loads, round->now_ms, slice);
        keep_until_ms[i] = kept != NULL ? *kept : 0;
        total += rates[i];
    }
    return total;
}

static struct rs_balance_options
balance_options(const struct round *round, const struct rule_state *state)
{
    return (struct rs_balance_options){
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

/* Whether a target of the cell can do much less than it should. */
static bool
is_any_slow(const struct round *round, const struct rule_state *state)
{
    for (guint i = 0; i < state->targets->len; i++) {
        const struct rs_planner_target *target =
            &g_array_index(state->targets, struct rs_planner_target, i);
        if (target->share < SLOW_SHARE &&
            strcmp(target->cell, round->cell->row.cell) == 0) {
            return true;
        }
    }
    return false;
}

/* Moves few slices by their load within the cell. */
static void
balance_rule(struct round *round, struct rule_state *state)
{
    struct rs_planning *planning = round->planning;
    struct rs_planner_plan plan = {0};
    double *rates = g_new0(double, state->rule->slices + 1);
    int64_t *keep_until_ms = g_new0(int64_t, state->rule->slices + 1);
    if (fill_rates(round, state, rates, keep_until_ms) < LEAST_BALANCED_RATE) {
        memset(rates, 0, state->rule->slices * sizeof(rates[0]));
    }
    for (guint i = 0; i < state->targets->len; i++) {
        struct rs_planner_target *target =
            &g_array_index(state->targets, struct rs_planner_target, i);
        target->base_load = 0;
        target->share = RsLoads_Share(planning->options.loads, round->now_ms,
                                      target->name);
    }
    struct rs_balance_options options = balance_options(round, state);
    if (is_any_slow(round, state)) {
        options.max_moves = MAX_SLOW_MOVES;
    }
    options.rates = rates;
    options.keep_until_ms = keep_until_ms;
    if (RsBalance_WithinCell(&options, &plan) == 0 && plan.change_count > 0) {
        log_plan("slices_balanced", state, &plan);
        RsCounter_Add(&planning->counters.balance_moves, plan.moves);
        planning->moves_in_commit += plan.moves;
        add_changes(round, state, plan.changes, plan.change_count);
        for (size_t i = 0; i < plan.change_count; i++) {
            g_array_append_val(planning->balanced, plan.changes[i].slice);
        }
    }
    RsPlanner_FreePlan(&plan);
    g_free(keep_until_ms);
    g_free(rates);
}

/* Places the rule's slices on cells and targets. Returns whether any row is
 * to change. */
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
    bool changes =
        RsPlanner_Plan(&options, &plan) == 0 && plan.change_count > 0;
    if (changes) {
        log_plan("slices_placed", state, &plan);
        round->planning->moves_in_commit += plan.moves;
        add_changes(round, state, plan.changes, plan.change_count);
    }
    RsPlanner_FreePlan(&plan);
    return changes;
}

static bool
is_settled_here(const struct round *round,
                const struct rs_model_assignment *assignment)
{
    struct rs_cell_view look;
    return assignment->from_count > 0 &&
           strcmp(assignment->cell, round->cell->row.cell) == 0 &&
           RsLeases_Look(round->planning->options.leases, round->now_ms,
                         assignment->slice, &look) &&
           look.holder != 0 && look.claim.fence.epoch == assignment->epoch;
}

/* Clears the former cells of slices that their new cell holds. Returns
 * whether there were any. */
static bool
settle_rule(struct round *round, struct rule_state *state)
{
    GArray *settled =
        g_array_new(FALSE, FALSE, sizeof(struct rs_model_assignment));
    for (uint32_t i = 0; i < state->rule->slices; i++) {
        struct rs_model_assignment next;
        if (is_settled_here(round, &state->present[i]) &&
            RsPlanner_Settle(&state->present[i], &next)) {
            g_array_append_val(settled, next);
        }
    }
    bool any = settled->len > 0;
    add_changes(round, state,
                (struct rs_model_assignment *)(void *)settled->data,
                settled->len);
    g_array_free(settled, TRUE);
    return any;
}

static void
open_rule(const struct round *round, const struct rs_model_rule *model,
          struct rule_state *state)
{
    uint32_t slices = state->rule->slices;
    state->present = g_new0(struct rs_model_assignment, slices + 1);
    for (uint32_t i = 0; i < slices; i++) {
        RsView_Unpack(round->view, state->rule, i, &state->present[i]);
    }
    state->targets = list_targets(round, model);
    state->positions = list_positions(round, state);
    state->weights = g_new0(double, slices + 1);
    struct rs_balance_options options = balance_options(round, state);
    double *base_loads = g_new0(double, state->targets->len + 1);
    RsBalance_Weigh(&options, state->weights, base_loads);
    for (guint i = 0; i < state->targets->len; i++) {
        g_array_index(state->targets, struct rs_planner_target, i).base_load =
            base_loads[i];
    }
    g_free(base_loads);
}

static void
close_rule(struct rule_state *state)
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
    open_rule(round, model, &state);
    if (!place_rule(round, &state) && !settle_rule(round, &state) && review) {
        balance_rule(round, &state);
    }
    close_rule(&state);
}

/* Plans all rules. A review also looks at loads; it comes seldom. */
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

/* Writes the rows of the domain's cells, when any is to change. */
static bool
plan_rosters(struct rs_planning *planning, const struct rs_view *view,
             int64_t now_ms)
{
    struct round round = open_round(planning, view, now_ms);
    RsRosters_Plan(planning->rosters, view, now_ms, round.conditions,
                   round.puts);
    return commit(&round);
}

/* Something that plans depend on changed. */
void
RsPlanning_Wake(struct rs_planning *planning)
{
    planning->woken = true;
}

/* Loads or what targets can do changed much. */
void
RsPlanning_Review(struct rs_planning *planning)
{
    planning->review_at_ms = 0;
}

/* Plans when it is time to and something changed, unless a row is being
 * written. */
void
RsPlanning_Tick(struct rs_planning *planning, int64_t now_ms,
                const struct rs_view *view)
{
    if (planning->writing || now_ms < planning->round_at_ms) {
        return;
    }
    planning->round_at_ms = now_ms + ROUND_EVERY_MS;
    const struct rs_view_cell *cell = RsLeases_Cell(planning->options.leases);
    if (cell != NULL && strcmp(RsPlanning_Planner(planning, cell, now_ms),
                               planning->self) != 0) {
        return;
    }
    bool review = now_ms >= planning->review_at_ms;
    if (plan_rosters(planning, view, now_ms) || cell == NULL ||
        !(review || planning->woken)) {
        return;
    }
    planning->woken = false;
    if (review) {
        planning->review_at_ms = now_ms + REVIEW_EVERY_MS;
    }
    struct round round = open_round(planning, view, now_ms);
    planning->moves_in_commit = 0;
    g_array_set_size(planning->balanced, 0);
    plan_rules(&round, review);
    commit(&round);
}

/* A fresh list of VMs was read from the platform. */
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
