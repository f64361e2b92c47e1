/* A simulated cluster for tests and measurements of the planner: targets,
 * domains and assignments, which callers may change between plans. */

#ifndef RATTANSHED_PLACE_PLANNER_WORLD_H
#define RATTANSHED_PLACE_PLANNER_WORLD_H

#include <glib.h>

#include "place/planner.h"

struct planner_world {
    struct rs_planner_target *targets;
    size_t target_count;
    struct rs_planner_domain *domains;
    size_t domain_count;
    struct rs_model_assignment *assignments;
    uint8_t *positions;
    uint32_t slices;
    size_t *owned;       /* number of slices by target; set by
                          * planner_world_count_owned() */
    GHashTable *indexes; /* target name to the target's index plus 1 */
    struct rs_planner_options options;
};

void planner_world_open(struct planner_world *world, size_t domains,
                        size_t targets_per_domain, size_t cells_per_domain,
                        uint32_t slices);
void planner_world_close(struct planner_world *world);
void planner_world_apply(struct planner_world *world,
                         const struct rs_planner_plan *plan);
size_t planner_world_plan(struct planner_world *world);
size_t planner_world_finish_handovers(struct planner_world *world);
void planner_world_run(struct planner_world *world, size_t max_rounds);
int planner_world_owner(const struct planner_world *world, size_t slice);
size_t planner_world_count_owned(struct planner_world *world);

#endif
