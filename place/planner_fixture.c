#include "place/planner_fixture.h"

#include <string.h>

struct planner_world world;
struct rs_model_assignment before[SLICES];

/* Opens the world and lets it settle. */
void
open_world(void)
{
    planner_world_open(&world, 3, 5, 1, SLICES);
    planner_world_run(&world, ROUNDS);
}

/* Closes the world. */
void
close_world(void)
{
    planner_world_close(&world);
}

/* Opens another world, without a plan. */
void
reopen_world(size_t domains, size_t targets, size_t cells, uint32_t slices)
{
    close_world();
    planner_world_open(&world, domains, targets, cells, slices);
}

/* Counts the slices of a domain's targets. */
size_t
owned_by_domain(const char *domain)
{
    size_t owned = 0;
    planner_world_count(&world);
    for (size_t i = 0; i < world.target_count; i++) {
        bool here = strcmp(world.targets[i].domain, domain) == 0;
        owned += here ? world.owned[i] : 0;
    }
    return owned;
}

/* Counts the rows that differ in their owner from `before`. */
size_t
moved_since_remembered(void)
{
    size_t moved = 0;
    for (size_t i = 0; i < SLICES; i++) {
        moved +=
            strcmp(before[i].succession[0], world.rows[i].succession[0]) != 0
                ? 1
                : 0;
    }
    return moved;
}

/* Keeps the rows as they are in `before`. */
void
remember(void)
{
    memcpy(before, world.rows, sizeof(before));
}

static int64_t keep_until_ms[SLICES];

/* Lets no slice move for balance before 1000 ms. */
void
hold_all(void)
{
    for (size_t i = 0; i < SLICES; i++) {
        keep_until_ms[i] = 1000;
    }
    world.options.keep_until_ms = keep_until_ms;
    world.options.now_ms = 999;
}
