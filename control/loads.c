#include "control/loads.h"

#include <glib.h>

#define STALE_MS 10000
#define NEW_WEIGHT 0.3

struct rate {
    double value;
    int64_t at_ms;
    bool own;
};

struct rs_loads {
    GHashTable *slices;  /* id to rate: requests/s */
    GHashTable *targets; /* name to rate: share of capacity */
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
set_share(struct rs_loads *loads, int64_t now_ms, const char *target,
          double share, bool own)
{
    struct rate *rate = g_hash_table_lookup(loads->targets, target);
    if (rate == NULL) {
        rate = g_new0(struct rate, 1);
        g_hash_table_insert(loads->targets, g_strdup(target), rate);
    }
    *rate = (struct rate){.value = share, .at_ms = now_ms, .own = own};
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
void
RsLoads_TakeOwnShare(struct rs_loads *loads, int64_t now_ms,
                     const char *target, double share)
{
    set_share(loads, now_ms, target, share, true);
}

/* Takes another member's word of its slices and targets. */
void
RsLoads_TakePeer(struct rs_loads *loads, int64_t now_ms,
                 const Rs__Member__Loads *word)
{
    for (size_t i = 0; i < word->n_loads; i++) {
        struct rate *rate = find_slice(loads, word->loads[i]->slice);
        rate->value = word->loads[i]->requests_per_s;
        rate->at_ms = now_ms;
        rate->own = false;
    }
    for (size_t i = 0; i < word->n_shares; i++) {
        set_share(loads, now_ms, word->shares[i]->target,
                  word->shares[i]->share, false);
    }
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
fill_targets(const struct rs_loads *loads, Rs__Member__Loads *word)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, loads->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct rate *rate = value;
        if (!rate->own || rate->value >= 1) {
            continue;
        }
        Rs__Member__TargetShare *share = g_new(Rs__Member__TargetShare, 1);
        rs__member__target_share__init(share);
        share->target = key;
        share->share = (float)rate->value;
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
    fill_targets(loads, word);
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
    const struct rate *rate = g_hash_table_lookup(loads->targets, target);
    bool fresh = rate != NULL && now_ms - rate->at_ms <= STALE_MS;
    return fresh ? rate->value : 1;
}
