#include "control/planning.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "control/rosters.h"
#include "core/clock.h"
#include "core/log.h"
#include "place/assignment.h"
#include "place/planner.h"
#include "place/slice.h"

#define ROUND_EVERY_MS 400
#define MAX_ROWS_A_COMMIT 64
#define STATUS_OK 200
#define STATUS_CONFLICT 409

struct rs_planning {
    struct rs_planning_options options;
    char self[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    struct rs_planning_counters counters;
    struct rs_rosters *rosters;
    bool writing;
    int64_t round_at_ms;
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
    return planning;
}

static void
on_commit(void *arg, int status, json_t *body)
{
    struct rs_planning *planning = arg;
    planning->writing = false;
    if (status == STATUS_OK) {
        RsCounter_Add(&planning->counters.commits, 1);
    }
    else if (status == STATUS_CONFLICT) {
        RsCounter_Add(&planning->counters.conflicts, 1);
    }
    planning->options.written(planning->options.arg);
}

/* Commits rows; takes over both lists. */
static void
commit(struct rs_planning *planning, json_t *conditions, json_t *puts)
{
    json_t *body = json_pack("{s:o,s:o}", "if", conditions, "put", puts);
    planning->writing = true;
    RsPlatform_Commit(planning->options.platform, body, on_commit, planning);
    json_decref(body);
}

static void
add_row(json_t *conditions, json_t *puts, const char *key, uint64_t version,
        json_t *value)
{
    json_array_append_new(
        conditions,
        json_pack("{s:s,s:I}", "key", key, "version", (json_int_t)version));
    json_array_append_new(puts,
                          json_pack("{s:s,s:o}", "key", key, "value", value));
}

/* The live member with the lowest name plans for its cell. */
static bool
is_planner(const struct rs_planning *planning, const struct rs_view_cell *cell,
           int64_t now_ms)
{
    for (size_t i = 0; i < cell->row.member_count; i++) {
        const char *name = cell->row.members[i];
        if (strcmp(name, planning->self) < 0 &&
            RsMembers_Speaks(planning->options.members, now_ms, name)) {
            return false;
        }
    }
    return true;
}

static void
add_target(GArray *targets, const struct rs_planning *planning,
           const struct rs_view *view, const struct rs_model_place *place,
           const char *name)
{
    const struct rs_view_vm *vm = RsView_Vm(view, name);
    const struct rs_view_cell *cell =
        RsView_CellOfTarget(view, place->domain, name);
    struct rs_planner_target target = {
        .alive = vm != NULL &&
                 !RsLeases_TargetIsLost(planning->options.leases, name),
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
list_targets(const struct rs_planning *planning, const struct rs_view *view,
             const struct rs_model_rule *rule)
{
    GArray *targets =
        g_array_new(FALSE, TRUE, sizeof(struct rs_planner_target));
    for (size_t i = 0; i < rule->place_count; i++) {
        const struct rs_model_place *place =
            RsConfig_Place(RsView_Config(view), rule->places[i]);
        for (size_t j = 0; place != NULL && j < place->target_count; j++) {
            add_target(targets, planning, view, place, place->targets[j].name);
        }
    }
    return targets;
}

static GArray *
list_domains(const struct rs_view *view)
{
    const struct rs_config *config = RsView_Config(view);
    GArray *domains =
        g_array_new(FALSE, TRUE, sizeof(struct rs_planner_domain));
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_DOMAIN); i++) {
        const struct rs_config_entry *entry =
            RsConfig_At(config, RsObject_DOMAIN, i);
        struct rs_planner_domain domain = {
            .state = entry->object.as.domain.state,
        };
        g_strlcpy(domain.name, entry->object.as.domain.name,
                  sizeof(domain.name));
        g_array_append_val(domains, domain);
    }
    return domains;
}

/* Where each slice of this process's cell stands in its succession. */
static uint8_t *
list_positions(const struct rs_planning *planning,
               const struct rs_view_rule *rule, int64_t now_ms)
{
    uint8_t *positions = g_new0(uint8_t, rule->slices + 1);
    for (uint32_t i = 0; i < rule->slices; i++) {
        const struct rs_model_assignment *assignment = &rule->assignments[i];
        struct rs_cell_view look;
        if (RsLeases_Look(planning->options.leases, now_ms, assignment->slice,
                          &look) &&
            look.claim.fence.epoch == assignment->epoch &&
            look.claim.position < assignment->succession_count) {
            positions[i] = (uint8_t)look.claim.position;
        }
    }
    return positions;
}

/* Writes each chunk of slices that has a change. */
static size_t
add_changes(json_t *conditions, json_t *puts, const struct rs_view_rule *rule,
            const struct rs_model_assignment *changes, size_t count)
{
    size_t rows = 0;
    struct rs_model_assignment *whole = g_memdup2(
        rule->assignments, rule->slices * sizeof(rule->assignments[0]));
    bool *touched = g_new0(bool, rule->row_count + 1);
    for (size_t i = 0; i < count; i++) {
        uint32_t index = RsSlice_Index(changes[i].slice);
        whole[index] = changes[i];
        touched[index / RsAssignment_PER_ROW] = true;
    }
    for (size_t row = 0; row < rule->row_count; row++) {
        char key[RsAssignment_KEY_BYTES];
        if (!touched[row] || json_array_size(puts) >= MAX_ROWS_A_COMMIT) {
            continue;
        }
        RsAssignment_FormatKey(rule->name, (uint32_t)row, key);
        add_row(conditions, puts, key, rule->row_versions[row],
                RsAssignment_Encode(
                    whole + row * RsAssignment_PER_ROW,
                    RsAssignment_InRow(rule->slices, (uint32_t)row)));
        rows++;
    }
    g_free(touched);
    g_free(whole);
    return rows;
}

static void
plan_rule(struct rs_planning *planning, const struct rs_view *view,
          const struct rs_view_rule *rule, const struct rs_view_cell *cell,
          json_t *conditions, json_t *puts, int64_t now_ms)
{
    const struct rs_config *config = RsView_Config(view);
    const struct rs_model_rule *model = RsConfig_Rule(config, rule->name);
    const struct rs_model_service *service =
        model != NULL ? RsConfig_Service(config, model->service) : NULL;
    if (service == NULL || !service->keyed) {
        return;
    }
    GArray *targets = list_targets(planning, view, model);
    GArray *domains = list_domains(view);
    uint8_t *positions = list_positions(planning, rule, now_ms);
    struct rs_planner_options options = {
        .rule = rule->name,
        .slices = rule->slices,
        .cut_off = service->cut_off,
        .targets = (const struct rs_planner_target *)(void *)targets->data,
        .target_count = targets->len,
        .domains = (const struct rs_planner_domain *)(void *)domains->data,
        .domain_count = domains->len,
        .present = rule->assignments,
        .positions = positions,
        .now_ms = now_ms,
        .cell = cell->row.cell,
    };
    struct rs_planner_plan plan;
    if (RsPlanner_Plan(&options, &plan) == 0) {
        if (plan.change_count > 0) {
            RsCounter_Add(&planning->counters.moves, plan.moves);
            add_changes(conditions, puts, rule, plan.changes,
                        plan.change_count);
        }
        RsPlanner_FreePlan(&plan);
    }
    g_free(positions);
    g_array_free(domains, TRUE);
    g_array_free(targets, TRUE);
}

/* Clears the former cells of slices that their new cell holds. */
static void
settle_rule(const struct rs_planning *planning,
            const struct rs_view_rule *rule, const struct rs_view_cell *cell,
            json_t *conditions, json_t *puts, int64_t now_ms)
{
    GArray *settled =
        g_array_new(FALSE, FALSE, sizeof(struct rs_model_assignment));
    for (uint32_t i = 0; i < rule->slices; i++) {
        const struct rs_model_assignment *assignment = &rule->assignments[i];
        struct rs_cell_view look;
        struct rs_model_assignment next;
        bool held = assignment->from_count > 0 &&
                    strcmp(assignment->cell, cell->row.cell) == 0 &&
                    RsLeases_Look(planning->options.leases, now_ms,
                                  assignment->slice, &look) &&
                    look.holder != 0 &&
                    look.claim.fence.epoch == assignment->epoch;
        if (held && RsPlanner_Settle(assignment, &next)) {
            g_array_append_val(settled, next);
        }
    }
    if (settled->len > 0) {
        add_changes(conditions, puts, rule,
                    (struct rs_model_assignment *)(void *)settled->data,
                    settled->len);
    }
    g_array_free(settled, TRUE);
}

static void
plan_all(struct rs_planning *planning, const struct rs_view *view,
         const struct rs_view_cell *cell, int64_t now_ms)
{
    const struct rs_view_rule *rules;
    size_t count = RsView_Rules(view, &rules);
    json_t *conditions = json_array();
    json_t *puts = json_array();
    int64_t began_us = RsClock_NowUs();
    for (size_t i = 0; i < count; i++) {
        size_t before = json_array_size(puts);
        plan_rule(planning, view, &rules[i], cell, conditions, puts, now_ms);
        if (json_array_size(puts) == before) {
            settle_rule(planning, &rules[i], cell, conditions, puts, now_ms);
        }
    }
    RsCounter_Add(&planning->counters.rounds, 1);
    RsCounter_Add(&planning->counters.round_us,
                  (uint64_t)(RsClock_NowUs() - began_us));
    if (json_array_size(puts) > 0) {
        commit(planning, conditions, puts);
        return;
    }
    json_decref(conditions);
    json_decref(puts);
}

/* Writes the rows of the domain's cells, when any is to change. */
static bool
plan_rosters(struct rs_planning *planning, const struct rs_view *view,
             int64_t now_ms)
{
    json_t *conditions = json_array();
    json_t *puts = json_array();
    RsRosters_Plan(planning->rosters, view, now_ms, conditions, puts);
    if (json_array_size(puts) > 0) {
        commit(planning, conditions, puts);
        return true;
    }
    json_decref(conditions);
    json_decref(puts);
    return false;
}

/* Plans when it is time to, unless a row is being written. */
void
RsPlanning_Tick(struct rs_planning *planning, int64_t now_ms,
                const struct rs_view *view)
{
    if (planning->writing || now_ms < planning->round_at_ms) {
        return;
    }
    planning->round_at_ms = now_ms + ROUND_EVERY_MS;
    const struct rs_view_cell *cell = RsLeases_Cell(planning->options.leases);
    if (cell != NULL && !is_planner(planning, cell, now_ms)) {
        return;
    }
    if (!plan_rosters(planning, view, now_ms) && cell != NULL) {
        plan_all(planning, view, cell, now_ms);
    }
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
