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
    double load;      /* output: requests a second for its keys */
    bool in_handover; /* output: some of its keys are being handed over */
    bool skipped;     /* output: no more of its keys can move in this plan */
};

struct rs_balance_input {
    struct rs_balance_target *targets;
    size_t target_count;
    const float *rates; /* requests a second, for each key */
    double window_s;    /* time constant of the moving averages of the rates */
};

size_t RsBalance_Plan(struct rs_keymap *map, struct rs_balance_input *input);

#endif
