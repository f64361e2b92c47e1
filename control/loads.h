/* The load of the slices of a cell and the capacity of its targets: for the
 * slices of this process from its own data task, for the others from the
 * reports of the other members. */

#ifndef RATTANSHED_CONTROL_LOADS_H
#define RATTANSHED_CONTROL_LOADS_H

#include <stdbool.h>
#include <stdint.h>

#include "dispatch/task_messages.h"
#include "member/member.pb-c.h"

struct rs_loads;

struct rs_loads *RsLoads_New(void);

/* Observations of this process and reports of other members */
void RsLoads_RecordOwnRates(struct rs_loads *loads, int64_t now_ms,
                            const struct rs_task_loads *own_loads);
/* RsLoads_RecordOwnShare and RsLoads_ApplyPeerReport return whether the share
 * of a target changed by more than MIN_SHARE_CHANGE. */
bool RsLoads_RecordOwnShare(struct rs_loads *loads, int64_t now_ms,
                            const char *target, double share);
bool RsLoads_ApplyPeerReport(struct rs_loads *loads, int64_t now_ms,
                             const Rs__Member__Loads *report);

/* Fills in a report of this process's own observations. Its strings are
 * borrowed from `loads`. */
void RsLoads_FillReport(const struct rs_loads *loads, int64_t now_ms,
                        Rs__Member__Loads *report);
void RsLoads_FreeReport(Rs__Member__Loads *report);

/* Queries. They return a rate of 0 and a share of 1 where nothing is known. */
double RsLoads_Rate(const struct rs_loads *loads, int64_t now_ms,
                    uint64_t slice);
double RsLoads_Share(const struct rs_loads *loads, int64_t now_ms,
                     const char *target);

#endif
