/* Seeded discrete-event simulation of the targets of one service behind the
 * state machines of this folder: arrivals, slots, run times and one fault. It
 * serves to compare policies on the same arrivals. It does not model a
 * cluster: there is one process, and no message is lost on the way. */

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
    double load;            /* offered load as a fraction of all slots */
    bool keyed;             /* each request has a key and so a fixed target */
    size_t slowed_count;    /* how many targets the fault slows down */
    double slow_factor;     /* multiplies their run times */
    size_t restarted_count; /* how many targets the fault restarts */
    int64_t cold_us;        /* time until a restarted target is warm */
    /* end of the slowdown; requests that arrive from then on are not counted
     * in the results, unless noted there */
    int64_t fault_until_us;
    /* names of policies */
    const char *admission;
    const char *choice;
    const char *ramp;
    const char *retry;
    double hedge_share; /* see struct rs_retry_options */
};

/* Counts of the requests that arrived from RsSimulation_FAULT_FROM_US to
 * `fault_until_us`, unless noted otherwise. */
struct rs_simulation_results {
    struct rs_histogram latency_us; /* of those answered in time */
    uint64_t offered;
    uint64_t answered; /* in time */
    uint64_t not_run;
    uint64_t unknown;         /* outcome unknown, or answered late */
    uint64_t target_refusals; /* in the whole run */
    /* most requests at once at any one target since its last restart, with
     * one that it refused */
    uint32_t max_open_requests;
    uint64_t first_tries; /* in the whole run */
    uint64_t extra_tries; /* retries and hedges in the whole run */
};

void RsSimulation_Run(const struct rs_simulation_setup *setup, uint32_t seed,
                      struct rs_simulation_results *results);

#endif
