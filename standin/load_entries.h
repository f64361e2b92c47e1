/* Chooses the entry process for a request as the platform's load balancer
 * does: round robin over those that are up, or over all if none is. */

#ifndef RATTANSHED_STANDIN_LOAD_ENTRIES_H
#define RATTANSHED_STANDIN_LOAD_ENTRIES_H

#include <stdbool.h>
#include <stddef.h>

#define RsLoadEntries_MAX 64

struct rs_load_entries {
    size_t count;
    bool is_down[RsLoadEntries_MAX];
    size_t last_picked; /* index */
};

size_t RsLoadEntries_Pick(struct rs_load_entries *entries);
void RsLoadEntries_Set(struct rs_load_entries *entries, size_t index,
                       bool is_up);

#endif
