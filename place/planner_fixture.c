#include "place/planner_fixture.h"

#include <string.h>

struct planner_world world;
struct rs_model_assignment saved_assignments[SLICES];

/* Creates the world and applies plans until nothing changes. */
void
open_world(void)
{
    planner_world_open(&world, 3, 5, 1, SLICES);
    planner_world_run(&world, MAX_ROUNDS);
}

/* Frees the world. */
void
close_world(void)
{
    planner_world_close(&world);
}

/* Replaces the world by another one whose slices are all unassigned. */
void
reopen_world(size_t domains, size_t targets, size_t cells, uint32_t slices)
{
    close_world();
    planner_world_open(&world, domains, targets, cells, slices);
}

/* Returns the number of slices that a domain's targets own. */
size_t
count_slices_of_domain(const char *domain)
{
    size_t owned = 0;
    planner_world_count_owned(&world);
    for (size_t i = 0; i < world.target_count; i++) {
        bool in_domain = strcmp(world.targets[i].domain, domain) == 0;
        owned += in_domain ? world.owned[i] : 0;
    }
    return owned;
}

/* Returns the number of slices whose succession begins with another target
 * than in `saved_assignments`. */
size_t
count_moves_since_saved(void)
{
    size_t moved = 0;
    for (size_t i = 0; i < SLICES; i++) {
        moved += strcmp(saved_assignments[i].succession[0],
                        world.assignments[i].succession[0]) != 0
                     ? 1
                     : 0;
    }
    return moved;
}

/* Copies the assignments of the first SLICES slices to `saved_assignments`. */
void
save_assignments(void)
{
    memcpy(saved_assignments, world.assignments, sizeof(saved_assignments));
}

static int64_t keep_until_ms[SLICES];

/* Forbids moves for balance before 1000 ms and sets the time to 999 ms. */
void
forbid_balance_moves(void)
{
    for (size_t i = 0; i < SLICES; i++) {
        keep_until_ms[i] = 1000;
    }
    world.options.keep_until_ms = keep_until_ms;
    world.options.now_ms = 999;
}
