/* Seeded discrete-event simulation of the targets of one service behind the
 * state machines of this folder: arrivals, slots, service times and one fault.
 * It compares policies on the same arrivals. It does not model a cluster:
 * there is one process, and no message is lost. */

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
    double load; /* offered load as a fraction of all slots */
    bool keyed;
    size_t slowed;      /* how many targets the fault slows down */
    double slow_factor; /* by which their run times grow */
    size_t restarted;   /* how many targets the fault restarts */
    int64_t cold_us;    /* time until a restarted target takes full load */
    int64_t fault_until_us;
    const char *admission;
    const char *choice;
    const char *ramp;
    const char *retry;
    double hedge_share;
};

/* Counts of the requests that arrived during the fault, unless noted
 * otherwise. */
struct rs_simulation_results {
    struct rs_histogram latency_us;
    uint64_t offered;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t target_refusals;   /* in the whole run */
    uint32_t max_at_one_target; /* most requests at once since its start */
    uint64_t first_tries;       /* in the whole run */
    uint64_t extra_tries;       /* retries and hedges in the whole run */
};

void RsSimulation_Run(const struct rs_simulation_setup *setup, uint32_t seed,
                      struct rs_simulation_results *results);

#endif
