#include "place/sketch.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* After this many halvings every lower bound is 0, so the sketch can be reset.
 */
#define MAX_HALVINGS 32
#define MS_PER_S 1000.0

/* Initializes an empty sketch whose counts are halved every `window_ms`, which
 * must be above 0. */
void
RsSketch_Init(struct rs_sketch *sketch, int64_t now_ms, uint32_t window_ms)
{
    assert(window_ms > 0);
    memset(sketch, 0, sizeof(*sketch));
    sketch->window_ms = window_ms;
    sketch->window_ends_at_ms = now_ms + window_ms;
}

/* Halves the counts. Upper bounds are rounded up and lower bounds down. */
static void
halve(struct rs_sketch *sketch)
{
    for (size_t i = 0; i < sketch->entry_count; i++) {
        uint32_t lower_bound = (sketch->counts[i] - sketch->errors[i]) / 2;
        sketch->counts[i] = (sketch->counts[i] + 1) / 2;
        sketch->errors[i] = sketch->counts[i] - lower_bound;
    }
    sketch->span_ms = (sketch->span_ms + sketch->window_ms) / 2;
}

/* Halves the counts once for each window that has ended. After more than
 * MAX_HALVINGS windows, empties the sketch. */
static void
advance_to(struct rs_sketch *sketch, int64_t now_ms)
{
    if (now_ms < sketch->window_ends_at_ms) {
        return;
    }
    int64_t overdue_ms = now_ms - sketch->window_ends_at_ms;
    int64_t ended_windows = overdue_ms / sketch->window_ms + 1;
    if (ended_windows > MAX_HALVINGS) {
        RsSketch_Init(sketch, now_ms, sketch->window_ms);
        return;
    }
    for (int64_t i = 0; i < ended_windows; i++) {
        halve(sketch);
    }
    sketch->window_ends_at_ms += ended_windows * sketch->window_ms;
}

/* Returns the index of a key's entry, or `entry_count` when the key has none.
 */
static size_t
find_key(const struct rs_sketch *sketch, uint64_t key)
{
    size_t i = 0;
    while (i < sketch->entry_count && sketch->keys[i] != key) {
        i++;
    }
    return i;
}

static size_t
find_lowest_count(const struct rs_sketch *sketch)
{
    size_t lowest = 0;
    for (size_t i = 1; i < sketch->entry_count; i++) {
        if (sketch->counts[i] < sketch->counts[lowest]) {
            lowest = i;
        }
    }
    return lowest;
}

/* Counts one request. When all entries are in use, a new key replaces the
 * entry with the lowest count and takes over that count as its possible error,
 * since the key may have had as many requests before. */
void
RsSketch_Add(struct rs_sketch *sketch, int64_t now_ms, uint64_t key)
{
    advance_to(sketch, now_ms);
    size_t index = find_key(sketch, key);
    if (index == sketch->entry_count &&
        sketch->entry_count < RsSketch_MAX_ENTRIES) {
        sketch->entry_count++;
        sketch->keys[index] = key;
    }
    else if (index == sketch->entry_count) {
        index = find_lowest_count(sketch);
        sketch->keys[index] = key;
        sketch->errors[index] = sketch->counts[index];
    }
    if (sketch->counts[index] < UINT32_MAX) {
        sketch->counts[index]++;
    }
}

static struct rs_sketch_rate
rate_at(const struct rs_sketch *sketch, int64_t now_ms, size_t index)
{
    int64_t window_began_at_ms = sketch->window_ends_at_ms - sketch->window_ms;
    double span_ms = sketch->span_ms + (double)(now_ms - window_began_at_ms);
    double rate_per_count = MS_PER_S / (span_ms < 1 ? 1 : span_ms);
    uint32_t count = sketch->counts[index];
    struct rs_sketch_rate rate = {
        .key = sketch->keys[index],
        .at_least_per_s = (count - sketch->errors[index]) * rate_per_count,
        .at_most_per_s = count * rate_per_count,
    };
    return rate;
}

/* Writes the bounds of a key's rate to `*rate`: an average in which the
 * requests of a window count half as much as those of the next one. Returns
 * false when the key has no entry. */
bool
RsSketch_Rate(struct rs_sketch *sketch, int64_t now_ms, uint64_t key,
              struct rs_sketch_rate *rate)
{
    advance_to(sketch, now_ms);
    size_t index = find_key(sketch, key);
    if (index == sketch->entry_count) {
        return false;
    }
    *rate = rate_at(sketch, now_ms, index);
    return true;
}

static int
compare_rates(const void *left, const void *right)
{
    const struct rs_sketch_rate *a = left;
    const struct rs_sketch_rate *b = right;
    if (a->at_least_per_s != b->at_least_per_s) {
        return a->at_least_per_s < b->at_least_per_s ? 1 : -1;
    }
    return (a->key > b->key) - (a->key < b->key);
}

/* Writes up to `capacity` keys to `rates`, sorted by the lower bounds of their
 * rates, highest first, and returns their number. Keys with a lower bound of 0
 * are left out. */
size_t
RsSketch_Top(struct rs_sketch *sketch, int64_t now_ms,
             struct rs_sketch_rate *rates, size_t capacity)
{
    struct rs_sketch_rate all[RsSketch_MAX_ENTRIES];
    size_t count = 0;
    advance_to(sketch, now_ms);
    for (size_t i = 0; i < sketch->entry_count; i++) {
        all[count] = rate_at(sketch, now_ms, i);
        count += all[count].at_least_per_s > 0 ? 1 : 0;
    }
    qsort(all, count, sizeof(all[0]), compare_rates);
    count = count < capacity ? count : capacity;
    memcpy(rates, all, count * sizeof(all[0]));
    return count;
}
