/* Runs standin_load in the background and, at its end, adds the requests in
 * its log to the cluster. Unlike those of a stream, its callers keep their
 * connections open. */

#ifndef RATTANSHED_TESTS_STEADY_LOAD_H
#define RATTANSHED_TESTS_STEADY_LOAD_H

#include "tests/cluster.h"

struct rs_steady_load {
    struct rs_cluster *cluster;
    struct rs_process process;
    char *log_path;
};

void RsSteadyLoad_Start(struct rs_steady_load *load,
                        struct rs_cluster *cluster, uint32_t rate_per_s,
                        uint32_t duration_s, const char *mix);
bool RsSteadyLoad_Finish(struct rs_steady_load *load);

#endif
