/* Simulated callers. Each sends one request at a time to a random node, on a
 * connection that it may reuse, and reports each response to the check. */

#ifndef RATTANSHED_SOAK_CALLER_H
#define RATTANSHED_SOAK_CALLER_H

#include <netinet/in.h>
#include <uv.h>

#include "soak/check.h"

struct rs_soak_tally {
    uint64_t sent;
    uint64_t served;
    uint64_t refused;
    uint64_t failed;
};

struct rs_soak_callers_options {
    uv_loop_t *loop;
    const struct sockaddr_in *nodes;
    uint32_t node_count;
    uint32_t callers;
    uint32_t pause_ms; /* mean pause between two requests of one caller */
    struct rs_check *check;
    GRand *random;
};

struct rs_soak_callers;

struct rs_soak_callers *
RsSoakCallers_Open(const struct rs_soak_callers_options *options);
void RsSoakCallers_Stop(struct rs_soak_callers *callers);
struct rs_soak_tally RsSoakCallers_TakeTally(struct rs_soak_callers *callers);

#endif
