#include "place/planner_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place/cell_name.h"
#include "place/slice.h"

/* Creates domains d0, d1, ... with targets d0-t0, ...; target i of a domain
 * belongs to the domain's cell i modulo `cells_per_domain`. All slices are
 * unassigned. planner_world_owner() requires that the targets stay in this
 * order. */
void
planner_world_open(struct planner_world *world, size_t domains,
                   size_t targets_per_domain, size_t cells_per_domain,
                   uint32_t slices)
{
    memset(world, 0, sizeof(*world));
    world->domain_count = domains;
    world->target_count = domains * targets_per_domain;
    world->slices = slices;
    world->domains = calloc(domains, sizeof(world->domains[0]));
    world->targets = calloc(world->target_count, sizeof(world->targets[0]));
    world->owned = calloc(world->target_count, sizeof(world->owned[0]));
    world->assignments = calloc(slices, sizeof(world->assignments[0]));
    world->positions = calloc(slices, sizeof(world->positions[0]));
    world->indexes = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < domains; i++) {
        snprintf(world->domains[i].name, RsModel_NAME_BYTES, "d%zu", i);
    }
    for (size_t i = 0; i < world->target_count; i++) {
        struct rs_planner_target *target = &world->targets[i];
        size_t domain = i / targets_per_domain;
        size_t number = i % targets_per_domain;
        snprintf(target->domain, RsModel_NAME_BYTES, "d%zu", domain);
        snprintf(target->name, RsModel_NAME_BYTES, "d%zu-t%zu", domain,
                 number);
        RsCellName_Format(target->domain,
                          (uint32_t)(number % cells_per_domain), target->cell);
        g_hash_table_insert(world->indexes, target->name,
                            GSIZE_TO_POINTER(i + 1));
        target->alive = true;
        target->share = 1;
    }
    for (uint32_t i = 0; i < slices; i++) {
        world->assignments[i].slice = RsSlice_Id("rule", i);
    }
    world->options = (struct rs_planner_options){
        .rule = "rule",
        .slices = slices,
        .targets = world->targets,
        .target_count = world->target_count,
        .domains = world->domains,
        .domain_count = domains,
        .present = world->assignments,
        .positions = world->positions,
    };
}

/* Frees the memory of a world. */
void
planner_world_close(struct planner_world *world)
{
    g_hash_table_destroy(world->indexes);
    free(world->domains);
    free(world->targets);
    free(world->owned);
    free(world->assignments);
    free(world->positions);
}

/* Applies a plan's changes to the assignments. A slice with a new epoch is
 * owned by the first target of its succession. */
void
planner_world_apply(struct planner_world *world,
                    const struct rs_planner_plan *plan)
{
    for (size_t i = 0; i < plan->change_count; i++) {
        uint32_t index = RsSlice_Index(plan->changes[i].slice);
        if (plan->changes[i].epoch != world->assignments[index].epoch) {
            world->positions[index] = 0;
        }
        world->assignments[index] = plan->changes[i];
    }
}

/* Plans once and applies the plan. Returns the number of changes, 0 also for
 * bad options. */
size_t
planner_world_plan(struct planner_world *world)
{
    struct rs_planner_plan plan;
    if (RsPlanner_Plan(&world->options, &plan) != 0) {
        return 0;
    }
    planner_world_apply(world, &plan);
    size_t changes = plan.change_count;
    RsPlanner_FreePlan(&plan);
    return changes;
}

/* Completes the hand-over of all slices that have moved between cells. Returns
 * the number of these slices. */
size_t
planner_world_finish_handovers(struct planner_world *world)
{
    size_t changed = 0;
    for (uint32_t i = 0; i < world->slices; i++) {
        struct rs_model_assignment settled;
        if (RsPlanner_FinishHandover(&world->assignments[i], &settled)) {
            world->assignments[i] = settled;
            changed++;
        }
    }
    return changed;
}

/* Plans and completes hand-overs until nothing changes, at most `max_rounds`
 * times. */
void
planner_world_run(struct planner_world *world, size_t max_rounds)
{
    size_t changes = 1;
    for (size_t i = 0; i < max_rounds && changes > 0; i++) {
        changes = planner_world_plan(world);
        changes += planner_world_finish_handovers(world);
    }
}

/* Returns the index of the target that owns a slice, or -1 when the slice is
 * not assigned or its owner is unknown. */
int
planner_world_owner(const struct planner_world *world, size_t slice)
{
    const struct rs_model_assignment *assignment = &world->assignments[slice];
    if (assignment->epoch == 0) {
        return -1;
    }
    const char *name = assignment->succession[world->positions[slice]];
    return (int)GPOINTER_TO_SIZE(g_hash_table_lookup(world->indexes, name)) -
           1;
}

/* Counts the slices of each target into `owned`. Returns the number of slices
 * that have an owner. */
size_t
planner_world_count_owned(struct planner_world *world)
{
    size_t total = 0;
    memset(world->owned, 0, world->target_count * sizeof(world->owned[0]));
    for (uint32_t i = 0; i < world->slices; i++) {
        int owner = planner_world_owner(world, i);
        if (owner >= 0) {
            world->owned[owner]++;
            total++;
        }
    }
    return total;
}
