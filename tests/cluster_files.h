/* Content of the files that the processes of a test deployment read: settings,
 * VM list, first ticket and the routes of the network stand-in. */

#ifndef RATTANSHED_TESTS_CLUSTER_FILES_H
#define RATTANSHED_TESTS_CLUSTER_FILES_H

#include "tests/cluster.h"

char *RsClusterFiles_MakeSettings(const struct rs_cluster *cluster,
                                  const struct rs_cluster_entry *entry);
json_t *RsClusterFiles_MakeEntryVm(struct rs_cluster *cluster,
                                   const struct rs_cluster_entry *entry,
                                   GString *pairs);
json_t *RsClusterFiles_MakeTargetVm(const struct rs_cluster_target *target,
                                    const char *state);
char *RsClusterFiles_MakeFirstTicket(const struct rs_cluster *cluster);
uint16_t RsClusterFiles_TakeFreePort(struct rs_cluster *cluster);

#endif
