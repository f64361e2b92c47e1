/* Decides which keys move to which target, from the rate of each key and what
 * each target can run. No I/O. */

#ifndef RATTANSHED_ROUTER_BALANCE_H
#define RATTANSHED_ROUTER_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "router/keymap.h"

struct rs_balance_target {
    struct rs_owner owner;
    bool eligible;    /* may be given keys, and may keep them */
    double capacity;  /* requests a second that it runs */
    double load;      /* filled in: requests a second for its keys */
    bool changing;    /* filled in: some of its keys are handed over */
    bool passed_over; /* filled in: none of its keys may be moved now */
};

struct rs_balance_input {
    struct rs_balance_target *targets;
    size_t target_count;
    const float *rates; /* requests a second for each key */
    double window_s;    /* over which they are means */
};

/* Returns how many changes the map has. */
size_t RsBalance_Plan(struct rs_keymap *map, struct rs_balance_input *input);

#endif
