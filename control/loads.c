#include "control/loads.h"

#include <glib.h>

#define STALE_MS 10000
#define RATE_SMOOTHING_WEIGHT 0.3
#define MIN_SHARE_CHANGE 0.05
#define SLOW_TARGET_SHARE 0.5
#define MIN_SLOW_EXTENSION_MS 10000u
#define MAX_SLOW_EXTENSION_MS 120000u
#define FORGET_SLOWNESS_AFTER_MS 60000

struct rate {
    double value;
    int64_t at_ms;
    bool own;
};

/* The share of its capacity that a target provides, 0 to 1. A target that was
 * slow counts as slow for `slow_extension_ms` longer: without load it appears
 * fast, so it would get its slices back at once and become slow again.
 * `slow_extension_ms` doubles, up to MAX_SLOW_EXTENSION_MS, when the target
 * becomes slow again within FORGET_SLOWNESS_AFTER_MS. */
struct share {
    double value;
    double slow_value; /* upper limit of the share until `slow_until_ms` */
    int64_t at_ms;
    int64_t slow_until_ms;
    uint32_t slow_extension_ms;
    bool own;
};

struct rs_loads {
    GHashTable *rate_by_slice;   /* slice id to struct rate, in requests/s */
    GHashTable *share_by_target; /* name to struct share */
};

/* Creates an object without observations. */
struct rs_loads *
RsLoads_New(void)
{
    struct rs_loads *loads = g_new0(struct rs_loads, 1);
    loads->rate_by_slice =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    loads->share_by_target =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return loads;
}

static struct rate *
find_or_add_rate(struct rs_loads *loads, uint64_t slice)
{
    struct rate *rate = g_hash_table_lookup(loads->rate_by_slice, &slice);
    if (rate == NULL) {
        rate = g_new0(struct rate, 1);
        g_hash_table_insert(loads->rate_by_slice,
                            g_memdup2(&slice, sizeof(slice)), rate);
    }
    return rate;
}

/* Called when a target reports a slow share, `value`. Extends the time until
 * which the target counts as slow, and sets `slow_value` to the lowest share
 * of this slow time. When a target becomes slow anew, `slow_extension_ms`
 * doubles if less than FORGET_SLOWNESS_AFTER_MS have passed since
 * `slow_until_ms`; otherwise it returns to MIN_SLOW_EXTENSION_MS. */
static void
extend_slow_time(struct share *known, int64_t now_ms, double value)
{
    bool was_slow = now_ms < known->slow_until_ms;
    bool soon = now_ms < known->slow_until_ms + FORGET_SLOWNESS_AFTER_MS;
    if (!was_slow && known->slow_until_ms != 0) {
        known->slow_extension_ms =
            soon ? MIN(known->slow_extension_ms * 2, MAX_SLOW_EXTENSION_MS)
                 : MIN_SLOW_EXTENSION_MS;
    }
    known->slow_value = was_slow ? MIN(known->slow_value, value) : value;
    known->slow_until_ms = now_ms + known->slow_extension_ms;
}

/* Records the share of a target. Returns whether RsLoads_Share() of it changed
 * by more than MIN_SHARE_CHANGE. */
static bool
set_share(struct rs_loads *loads, int64_t now_ms, const char *target,
          double share, bool own)
{
    struct share *known = g_hash_table_lookup(loads->share_by_target, target);
    double before = RsLoads_Share(loads, now_ms, target);
    if (known == NULL) {
        known = g_new0(struct share, 1);
        known->slow_extension_ms = MIN_SLOW_EXTENSION_MS;
        g_hash_table_insert(loads->share_by_target, g_strdup(target), known);
    }
    if (share < SLOW_TARGET_SHARE) {
        extend_slow_time(known, now_ms, share);
    }
    known->value = share;
    known->at_ms = now_ms;
    known->own = own;
    double after = RsLoads_Share(loads, now_ms, target);
    return after < before - MIN_SHARE_CHANGE ||
           after > before + MIN_SHARE_CHANGE;
}

/* Decays the rates of this process's slices as if one second without requests
 * had passed, and forgets all slices, also those of other members, that were
 * not reported for STALE_MS. */
static void
decay_own_rates(struct rs_loads *loads, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, loads->rate_by_slice);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rate *rate = value;
        rate->value *= rate->own ? 1 - RATE_SMOOTHING_WEIGHT : 1;
        if (now_ms - rate->at_ms > STALE_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Adds the request counts of the last second to the moving averages of this
 * process's slices. */
void
RsLoads_RecordOwnRates(struct rs_loads *loads, int64_t now_ms,
                       const struct rs_task_loads *own_loads)
{
    decay_own_rates(loads, now_ms);
    for (size_t i = 0; i < own_loads->count; i++) {
        struct rate *rate = find_or_add_rate(loads, own_loads->loads[i].slice);
        rate->value +=
            RATE_SMOOTHING_WEIGHT * own_loads->loads[i].requests_per_s;
        rate->at_ms = now_ms;
        rate->own = true;
    }
}

/* Records the share that this process observed for a target. Returns whether
 * RsLoads_Share() of it changed by more than MIN_SHARE_CHANGE. */
bool
RsLoads_RecordOwnShare(struct rs_loads *loads, int64_t now_ms,
                       const char *target, double share)
{
    return set_share(loads, now_ms, target, share, true);
}

/* Applies another member's report on its slices and targets. Returns whether
 * RsLoads_Share() of a target changed by more than MIN_SHARE_CHANGE. */
bool
RsLoads_ApplyPeerReport(struct rs_loads *loads, int64_t now_ms,
                        const Rs__Member__Loads *report)
{
    for (size_t i = 0; i < report->n_loads; i++) {
        struct rate *rate = find_or_add_rate(loads, report->loads[i]->slice);
        rate->value = report->loads[i]->requests_per_s;
        rate->at_ms = now_ms;
        rate->own = false;
    }
    bool changed = false;
    for (size_t i = 0; i < report->n_shares; i++) {
        changed |= set_share(loads, now_ms, report->shares[i]->target,
                             report->shares[i]->share, false);
    }
    return changed;
}

static void
fill_slices(const struct rs_loads *loads, Rs__Member__Loads *report)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, loads->rate_by_slice);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct rate *rate = value;
        if (!rate->own) {
            continue;
        }
        Rs__Member__SliceLoad *load = g_new(Rs__Member__SliceLoad, 1);
        rs__member__slice_load__init(load);
        load->slice = *(const uint64_t *)key;
        load->requests_per_s = (float)rate->value;
        report->loads[report->n_loads++] = load;
    }
}

static void
fill_targets(const struct rs_loads *loads, int64_t now_ms,
             Rs__Member__Loads *report)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, loads->share_by_target);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct share *known = value;
        if (!known->own || now_ms - known->at_ms > STALE_MS) {
            continue;
        }
        Rs__Member__TargetShare *share = g_new(Rs__Member__TargetShare, 1);
        rs__member__target_share__init(share);
        share->target = key;
        share->share = (float)known->value;
        report->shares[report->n_shares++] = share;
    }
}

/* Fills in a report of this process's own observations. Its strings are
 * borrowed from `loads`; free the rest with RsLoads_FreeReport(). */
void
RsLoads_FillReport(const struct rs_loads *loads, int64_t now_ms,
                   Rs__Member__Loads *report)
{
    guint slice_count = g_hash_table_size(loads->rate_by_slice);
    guint target_count = g_hash_table_size(loads->share_by_target);
    report->loads = g_new0(Rs__Member__SliceLoad *, slice_count + 1);
    report->shares = g_new0(Rs__Member__TargetShare *, target_count + 1);
    fill_slices(loads, report);
    fill_targets(loads, now_ms, report);
}

/* Frees what RsLoads_FillReport() allocated, but not the report itself. */
void
RsLoads_FreeReport(Rs__Member__Loads *report)
{
    for (size_t i = 0; i < report->n_loads; i++) {
        g_free(report->loads[i]);
    }
    for (size_t i = 0; i < report->n_shares; i++) {
        g_free(report->shares[i]);
    }
    g_free(report->loads);
    g_free(report->shares);
}

/* Returns the request rate of a slice per second; 0 when not known. */
double
RsLoads_Rate(const struct rs_loads *loads, int64_t now_ms, uint64_t slice)
{
    const struct rate *rate =
        g_hash_table_lookup(loads->rate_by_slice, &slice);
    bool fresh = rate != NULL && now_ms - rate->at_ms <= STALE_MS;
    return fresh ? rate->value : 0;
}

/* Returns the share of its capacity that a target provides, 0 to 1; 1 when not
 * known. */
double
RsLoads_Share(const struct rs_loads *loads, int64_t now_ms, const char *target)
{
    const struct share *known =
        g_hash_table_lookup(loads->share_by_target, target);
    if (known == NULL) {
        return 1;
    }
    bool fresh = now_ms - known->at_ms <= STALE_MS;
    double value = fresh ? known->value : 1;
    bool slow = now_ms < known->slow_until_ms;
    return slow ? MIN(value, known->slow_value) : value;
}
