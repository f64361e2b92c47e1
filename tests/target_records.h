/* The targets' records of the requests that they ran, and the check of these
 * records against the outcomes that the callers saw. */

#ifndef RATTANSHED_TESTS_TARGET_RECORDS_H
#define RATTANSHED_TESTS_TARGET_RECORDS_H

#include "standin/checker.h"
#include "tests/cluster.h"

void RsTargetRecords_StartReader(struct rs_cluster *cluster);
void RsTargetRecords_StopReader(struct rs_cluster *cluster);
bool RsTargetRecords_Read(struct rs_cluster *cluster,
                          struct rs_cluster_target *target,
                          int64_t timeout_ms);

uint32_t RsTargetRecords_CountViolations(struct rs_cluster *cluster);

uint32_t
RsTargetRecords_CountStartedAfter(struct rs_cluster *cluster,
                                  const struct rs_cluster_target *target,
                                  int64_t wall_us);
uint32_t RsTargetRecords_CountEffects(struct rs_cluster *cluster,
                                      const char *request_id);

#endif
