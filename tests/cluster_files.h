/* The files that the processes of a deployment read. */

#ifndef RATTANSHED_TESTS_CLUSTER_FILES_H
#define RATTANSHED_TESTS_CLUSTER_FILES_H

#include "tests/cluster.h"

char *RsClusterFiles_Settings(const struct rs_cluster *cluster,
                              const struct rs_cluster_entry *entry);
json_t *RsClusterFiles_EntryVm(struct rs_cluster *cluster,
                               const struct rs_cluster_entry *entry,
                               GString *pairs);
json_t *RsClusterFiles_TargetVm(const struct rs_cluster_target *target,
                                const char *state);
char *RsClusterFiles_FirstTicket(const struct rs_cluster *cluster);
uint16_t RsClusterFiles_NextPort(struct rs_cluster *cluster);

#endif
