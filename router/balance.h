/* Plans which keys move to which target, by the request rate of each key and
 * the capacity of each target. No I/O. */

#ifndef RATTANSHED_ROUTER_BALANCE_H
#define RATTANSHED_ROUTER_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "router/keymap.h"

struct rs_balance_target {
    struct rs_owner owner;
    bool eligible; /* may be given keys and keep its own */
    /* Requests a second that it can answer within the latency target; lower
     * while it is cold. See RsLoad_CapacityPerS(). */
    double capacity;
    /* Output: weight of its keys, in requests a second, including their base
     * weights. Keys that an ineligible target or the owner of a small range
     * loses by the plan are still included. */
    double load;
    /* Output: at the start of the plan, it was still waiting for keys from a
     * former owner. */
    bool awaiting_keys;
    bool skipped; /* output: an attempt to move keys away from it failed */
    /* It is known to have more requests than it can run; gets no keys while
     * others can have them. */
    bool full;
    bool dedicated; /* output: it is to own one hot key and no others */
};

/* A key that has more requests than any target can run. */
struct rs_balance_hot_key {
    uint32_t key;
    /* Output: index of its owner, target_count if there is none. */
    size_t target;
    /* Output: weight of the other keys of that owner that could not leave. */
    double others_per_s;
};

/* The targets of a service, and the request rates to be balanced among
 * them. */
struct rs_balance_problem {
    struct rs_balance_target *targets;
    size_t target_count;
    /* Requests a second, for each key; those of hot keys are not used and must
     * be 0. */
    const float *rates;
    struct rs_balance_hot_key *hot_keys;
    size_t hot_key_count;
    double window_s; /* mean time constant of the averages in `rates` */
    /* The rates are not known yet: only keys without an eligible owner move.
     */
    bool rates_unknown;
};

size_t RsBalance_Plan(struct rs_keymap *map,
                      struct rs_balance_problem *problem);

#endif
