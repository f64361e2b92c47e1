/* A seeded discrete-event simulation of the targets of one service behind
 * the state machines of this folder: arrivals, slots, service times, one
 * disturbance. It compares policies on the same arrivals. It is no model of
 * a cluster: there is one process, and no message is lost. */

#ifndef RATTANSHED_DISPATCH_SIMULATION_H
#define RATTANSHED_DISPATCH_SIMULATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/counter.h"

#define RsSimulation_TARGETS 16
#define RsSimulation_FAULT_FROM_US 3000000

struct rs_simulation_setup {
    const char *name;
    double load;
    bool keyed;
    size_t slowed;      /* targets */
    double slow_factor; /* of the run time */
    size_t restarted;   /* targets */
    int64_t cold_us;    /* the ramp that a restarted target needs */
    int64_t fault_until_us;
    const char *admission;
    const char *choice;
    const char *ramp;
    const char *retry;
    double hedge_share;
};

/* Of the requests that arrived during the disturbance. */
struct rs_simulation_results {
    struct rs_histogram latency_us;
    uint64_t offered;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t target_refusals; /* in the whole run */
    uint32_t most_at_a_target;
    uint64_t first_tries; /* in the whole run */
    uint64_t further_tries;
};

void RsSimulation_Run(const struct rs_simulation_setup *setup, uint32_t seed,
                      struct rs_simulation_results *results);

#endif
