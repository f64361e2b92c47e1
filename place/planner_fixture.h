/* The world that the planner's tests start from, and what they ask of it. */

#ifndef RATTANSHED_PLACE_PLANNER_FIXTURE_H
#define RATTANSHED_PLACE_PLANNER_FIXTURE_H

#include "place/planner_world.h"

#define SLICES 60
#define ROUNDS 100

/* Each test starts from three domains of five targets, four slices each. */
extern struct planner_world world;

extern struct rs_model_assignment before[SLICES]; /* by remember() */

void open_world(void);
void close_world(void);
void reopen_world(size_t domains, size_t targets, size_t cells,
                  uint32_t slices);
size_t owned_by_domain(const char *domain);
size_t moved_since_remembered(void);
void remember(void);
void hold_all(void);

#endif
