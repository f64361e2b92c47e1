/* Finds the most requested keys in a stream of requests with bounded memory.
 * Uses the Space-Saving algorithm; all counts are halved at the end of each
 * window. A key or slice is identified by its 64-bit id. */

#ifndef RATTANSHED_PLACE_SKETCH_H
#define RATTANSHED_PLACE_SKETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* While no count is halved, a key with more than 1/512 of the counted requests
 * has an entry. */
#define RsSketch_MAX_ENTRIES 512

/* Contains all its memory; there is nothing to free. */
struct rs_sketch {
    uint64_t keys[RsSketch_MAX_ENTRIES];
    uint32_t counts[RsSketch_MAX_ENTRIES]; /* upper bounds of the true counts
                                            * (halved in the same way) */
    uint32_t errors[RsSketch_MAX_ENTRIES]; /* largest possible overestimate */
    size_t entry_count;
    uint32_t window_ms;
    int64_t window_ends_at_ms;
    double span_ms; /* time covered by the counts at the window's start; halved
                     * with them */
};

/* Lower and upper bound of a key's rate, in requests/s. */
struct rs_sketch_rate {
    uint64_t key;
    double at_least_per_s;
    double at_most_per_s;
};

void RsSketch_Init(struct rs_sketch *sketch, int64_t now_ms,
                   uint32_t window_ms);
void RsSketch_Add(struct rs_sketch *sketch, int64_t now_ms, uint64_t key);
bool RsSketch_Rate(struct rs_sketch *sketch, int64_t now_ms, uint64_t key,
                   struct rs_sketch_rate *rate);
size_t RsSketch_Top(struct rs_sketch *sketch, int64_t now_ms,
                    struct rs_sketch_rate *rates, size_t capacity);

#endif
