/* Fixture of the planner's tests: a simulated cluster and helpers. */

#ifndef RATTANSHED_PLACE_PLANNER_FIXTURE_H
#define RATTANSHED_PLACE_PLANNER_FIXTURE_H

#include "place/planner_world.h"

#define SLICES 60
#define MAX_ROUNDS 100

/* Each test starts with three domains of five targets. Each target owns four
 * slices. */
extern struct planner_world world;

extern struct rs_model_assignment
    saved_assignments[SLICES]; /* written by save_assignments() */

void open_world(void);
void close_world(void);
void reopen_world(size_t domains, size_t targets, size_t cells,
                  uint32_t slices);
size_t count_slices_of_domain(const char *domain);
size_t count_moves_since_saved(void);
void save_assignments(void);
void forbid_balance_moves(void);

#endif
