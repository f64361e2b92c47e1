#include "control/loads.h"

#include <glib.h>

#define STALE_MS 10000
#define NEW_WEIGHT 0.3
#define LEAST_CHANGE 0.05
#define SLOW_SHARE 0.5
#define FIRST_PENALTY_MS 10000u
#define MAX_PENALTY_MS 120000u
#define FORGET_SLOW_MS 60000

struct rate {
    double value;
    int64_t at_ms;
    bool own;
};

/* A target's share of its capacity. One that was slow is taken for slow for a
 * while after: without work it looks well, and would be given it back at
 * once. The while doubles when it gets slow again soon. */
struct share {
    double value;
    double slow_value; /* that counts until `slow_until_ms` */
    int64_t at_ms;
    int64_t slow_until_ms;
    uint32_t penalty_ms;
    bool own;
};

struct rs_loads {
    GHashTable *slices;  /* id to rate: requests/s */
    GHashTable *targets; /* name to share */
};

/* Makes an empty state. */
struct rs_loads *
RsLoads_New(void)
{
    struct rs_loads *loads = g_new0(struct rs_loads, 1);
    loads->slices =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    loads->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return loads;
}

static struct rate *
find_slice(struct rs_loads *loads, uint64_t slice)
{
    struct rate *rate = g_hash_table_lookup(loads->slices, &slice);
    if (rate == NULL) {
        rate = g_new0(struct rate, 1);
        g_hash_table_insert(loads->slices, g_memdup2(&slice, sizeof(slice)),
                            rate);
    }
    return rate;
}

static void
hold_slow(struct share *known, int64_t now_ms, double value)
{
    bool was_slow = now_ms < known->slow_until_ms;
    bool soon = now_ms < known->slow_until_ms + FORGET_SLOW_MS;
    if (!was_slow && known->slow_until_ms != 0) {
        known->penalty_ms = soon ? MIN(known->penalty_ms * 2, MAX_PENALTY_MS)
                                 : FIRST_PENALTY_MS;
    }
    known->slow_value = was_slow ? MIN(known->slow_value, value) : value;
    known->slow_until_ms = now_ms + known->penalty_ms;
}

/* Returns whether the share changed. */
static bool
set_share(struct rs_loads *loads, int64_t now_ms, const char *target,
          double share, bool own)
{
    struct share *known = g_hash_table_lookup(loads->targets, target);
    double before = RsLoads_Share(loads, now_ms, target);
    if (known == NULL) {
        known = g_new0(struct share, 1);
        known->penalty_ms = FIRST_PENALTY_MS;
        g_hash_table_insert(loads->targets, g_strdup(target), known);
    }
    if (share < SLOW_SHARE) {
        hold_slow(known, now_ms, share);
    }
    known->value = share;
    known->at_ms = now_ms;
    known->own = own;
    double after = RsLoads_Share(loads, now_ms, target);
    return after < before - LEAST_CHANGE || after > before + LEAST_CHANGE;
}

/* Own slices that were not named got nothing in the last second. */
static void
age_own(struct rs_loads *loads, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, loads->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rate *rate = value;
        rate->value *= rate->own ? 1 - NEW_WEIGHT : 1;
        if (now_ms - rate->at_ms > STALE_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Takes one second's counts of this process's slices. */
void
RsLoads_TakeOwn(struct rs_loads *loads, int64_t now_ms,
                const struct rs_task_loads *own)
{
    age_own(loads, now_ms);
    for (size_t i = 0; i < own->count; i++) {
        struct rate *rate = find_slice(loads, own->loads[i].slice);
        rate->value += NEW_WEIGHT * own->loads[i].requests_per_s;
        rate->at_ms = now_ms;
        rate->own = true;
    }
}

/* Takes what this process saw of a target. */
bool
RsLoads_TakeOwnShare(struct rs_loads *loads, int64_t now_ms,
                     const char *target, double share)
{
    return set_share(loads, now_ms, target, share, true);
}

/* Takes another member's word of its slices and targets. Returns whether a
 * target's share changed. */
bool
RsLoads_TakePeer(struct rs_loads *loads, int64_t now_ms,
                 const Rs__Member__Loads *word)
{
    for (size_t i = 0; i < word->n_loads; i++) {
        struct rate *rate = find_slice(loads, word->loads[i]->slice);
        rate->value = word->loads[i]->requests_per_s;
        rate->at_ms = now_ms;
        rate->own = false;
    }
    bool changed = false;
    for (size_t i = 0; i < word->n_shares; i++) {
        changed |= set_share(loads, now_ms, word->shares[i]->target,
                             word->shares[i]->share, false);
    }
    return changed;
}

static void
fill_slices(const struct rs_loads *loads, Rs__Member__Loads *word)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, loads->slices);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct rate *rate = value;
        if (!rate->own) {
            continue;
        }
        Rs__Member__SliceLoad *load = g_new(Rs__Member__SliceLoad, 1);
        rs__member__slice_load__init(load);
        load->slice = *(const uint64_t *)key;
        load->requests_per_s = (float)rate->value;
        word->loads[word->n_loads++] = load;
    }
}

static void
fill_targets(const struct rs_loads *loads, int64_t now_ms,
             Rs__Member__Loads *word)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, loads->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct share *known = value;
        if (!known->own || now_ms - known->at_ms > STALE_MS) {
            continue;
        }
        Rs__Member__TargetShare *share = g_new(Rs__Member__TargetShare, 1);
        rs__member__target_share__init(share);
        share->target = key;
        share->share = (float)known->value;
        word->shares[word->n_shares++] = share;
    }
}

/* Fills in a message with this process's own observations. */
void
RsLoads_Fill(const struct rs_loads *loads, int64_t now_ms,
             Rs__Member__Loads *word)
{
    guint slices = g_hash_table_size(loads->slices);
    guint targets = g_hash_table_size(loads->targets);
    word->loads = g_new0(Rs__Member__SliceLoad *, slices + 1);
    word->shares = g_new0(Rs__Member__TargetShare *, targets + 1);
    fill_slices(loads, word);
    fill_targets(loads, now_ms, word);
}

/* Frees what RsLoads_Fill() made. */
void
RsLoads_FreeFilled(Rs__Member__Loads *word)
{
    for (size_t i = 0; i < word->n_loads; i++) {
        g_free(word->loads[i]);
    }
    for (size_t i = 0; i < word->n_shares; i++) {
        g_free(word->shares[i]);
    }
    g_free(word->loads);
    g_free(word->shares);
}

/* Returns a slice's requests/s. */
double
RsLoads_Rate(const struct rs_loads *loads, int64_t now_ms, uint64_t slice)
{
    const struct rate *rate = g_hash_table_lookup(loads->slices, &slice);
    bool fresh = rate != NULL && now_ms - rate->at_ms <= STALE_MS;
    return fresh ? rate->value : 0;
}

/* Returns what a target can do of what it should. */
double
RsLoads_Share(const struct rs_loads *loads, int64_t now_ms, const char *target)
{
    const struct share *known = g_hash_table_lookup(loads->targets, target);
    if (known == NULL) {
        return 1;
    }
    bool fresh = now_ms - known->at_ms <= STALE_MS;
    double value = fresh ? known->value : 1;
    bool slow = now_ms < known->slow_until_ms;
    return slow ? MIN(value, known->slow_value) : value;
}
