/* Finds the keys of the highest rates in a stream of requests, in bounded
 * memory: the space-saving algorithm, with counts halved at the end of each
 * window. A key or slice is named by its 64-bit id. */

#ifndef RATTANSHED_PLACE_SKETCH_H
#define RATTANSHED_PLACE_SKETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A key with more than 1/512 of the requests is always among the entries. */
#define RsSketch_ENTRIES 512

/* Holds all its memory. */
struct rs_sketch {
    uint64_t keys[RsSketch_ENTRIES];
    uint32_t counts[RsSketch_ENTRIES]; /* never below the true ones */
    uint32_t errors[RsSketch_ENTRIES]; /* how much too high at most */
    size_t used;
    uint32_t window_ms;
    int64_t window_ends_at_ms;
    double span_ms; /* that the counts stood for when the window began */
};

/* The bounds of a key's rate. */
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
