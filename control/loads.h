/* What the slices of a cell get and what its targets can do: of this
 * process's own from its data task, of other members' from their word. */

#ifndef RATTANSHED_CONTROL_LOADS_H
#define RATTANSHED_CONTROL_LOADS_H

#include <stdbool.h>
#include <stdint.h>

#include "dispatch/task_messages.h"
#include "member/member.pb-c.h"

struct rs_loads;

struct rs_loads *RsLoads_New(void);

/* Own observations, and those of another member */
void RsLoads_TakeOwn(struct rs_loads *loads, int64_t now_ms,
                     const struct rs_task_loads *own);
/* Returns whether the share changed. */
bool RsLoads_TakeOwnShare(struct rs_loads *loads, int64_t now_ms,
                          const char *target, double share);
bool RsLoads_TakePeer(struct rs_loads *loads, int64_t now_ms,
                      const Rs__Member__Loads *word);

/* A message of the own ones; its texts are borrowed */
void RsLoads_Fill(const struct rs_loads *loads, int64_t now_ms,
                  Rs__Member__Loads *word);
void RsLoads_FreeFilled(Rs__Member__Loads *word);

/* Look: 0 and 1 where nothing is known */
double RsLoads_Rate(const struct rs_loads *loads, int64_t now_ms,
                    uint64_t slice);
double RsLoads_Share(const struct rs_loads *loads, int64_t now_ms,
                     const char *target);

#endif
