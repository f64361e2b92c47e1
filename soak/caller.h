/* Simulated callers. Each sends one request at a time, on the connection of
 * its previous request or on a new one to a random node, and reports each
 * complete response to the check. */

#ifndef RATTANSHED_SOAK_CALLER_H
#define RATTANSHED_SOAK_CALLER_H

#include <netinet/in.h>
#include <uv.h>

#include "soak/check.h"

/* Only requests that carry a valid API key, if one is needed, are counted. */
struct rs_soak_tally {
    uint64_t started; /* requests, including those that could not connect */
    uint64_t served;  /* status 200 and the right response */
    uint64_t refused; /* status 503 */
    uint64_t failed;  /* another status, connection lost, or timeout */
};

struct rs_soak_callers_options {
    uv_loop_t *loop;
    const struct sockaddr_in *node_addresses; /* for callers; borrowed */
    uint32_t node_count;
    uint32_t callers;  /* number of callers */
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
