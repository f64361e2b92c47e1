/* The targets' records of the requests that they ran, and the check of these
 * records against the outcomes that the callers saw. */

#ifndef RATTANSHED_TESTS_VERDICT_H
#define RATTANSHED_TESTS_VERDICT_H

#include "standin/judge_check.h"
#include "tests/cluster.h"

void RsVerdict_StartReading(struct rs_cluster *cluster);
void RsVerdict_StopReading(struct rs_cluster *cluster);
bool RsVerdict_ReadTarget(struct rs_cluster *cluster,
                          struct rs_cluster_target *target,
                          int64_t timeout_ms);

uint32_t RsVerdict_Violations(struct rs_cluster *cluster);

uint32_t RsVerdict_WorkAfter(struct rs_cluster *cluster,
                             const struct rs_cluster_target *target,
                             int64_t wall_us);
uint32_t RsVerdict_EffectsOf(struct rs_cluster *cluster,
                             const char *request_id);

#endif
