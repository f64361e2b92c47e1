/* The published views of the leases: the lease table for the data task, and
 * dumps. */

#include <stdlib.h>
#include <string.h>

#include "control/lease_state.h"
#include "core/id.h"

#define PUBLISH_INTERVAL_MS 200

static int
compare_leases(const void *a, const void *b)
{
    const struct rs_lease *left = a;
    const struct rs_lease *right = b;
    if (left->slice == right->slice) {
        return 0;
    }
    return left->slice < right->slice ? -1 : 1;
}

static void
fill_lease(const struct rs_leases *leases, const struct rs_slice_state *state,
           int64_t now_ms, struct rs_lease *lease)
{
    struct rs_cell_claim claim;
    struct rs_cell_view slice_view;
    lease->slice = state->slice;
    if (state->held && RsCell_Holds(leases->cell, now_ms, state->slice, &claim,
                                    &lease->until_ms)) {
        lease->mine = true;
        lease->stopping = state->stopping;
        lease->epoch = claim.fence.epoch;
        lease->step = claim.fence.step;
        g_strlcpy(lease->target, state->target, sizeof(lease->target));
    }
    else if (RsCell_GetView(leases->cell, now_ms, state->slice, &slice_view) &&
             slice_view.holder != 0 && slice_view.holder != leases->self_id) {
        const char *holder = RsLeases_MemberName(leases, slice_view.holder);
        bool reachable =
            holder != NULL &&
            RsMembers_IsReachable(leases->options.members, now_ms, holder);
        g_strlcpy(lease->holder, reachable ? holder : "",
                  sizeof(lease->holder));
    }
}

/* Publishes a new lease table when something changed or PUBLISH_INTERVAL_MS
 * have passed since the last one. */
void
RsLeaseReport_Publish(struct rs_leases *leases, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    size_t at = 0;
    size_t held_count = 0;
    if (!leases->publish_due && now_ms < leases->next_publish_at_ms) {
        return;
    }
    leases->publish_due = false;
    leases->next_publish_at_ms = now_ms + PUBLISH_INTERVAL_MS;
    struct rs_lease_table *table =
        RsLeaseTable_New(g_hash_table_size(leases->slices));
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        fill_lease(leases, value, now_ms, &table->leases[at]);
        held_count += table->leases[at].mine ? 1 : 0;
        at++;
    }
    qsort(table->leases, table->count, sizeof(table->leases[0]),
          compare_leases);
    RsCounter_Set(&leases->counters.held, held_count);
    leases->options.publish(leases->options.arg, table);
}

static json_t *
dump_slice(const struct rs_leases *leases, const struct rs_slice_state *state,
           int64_t now_ms)
{
    char id[RsId_TEXT_BYTES];
    struct rs_cell_view slice_view = {0};
    RsId_Format(state->slice, id);
    RsCell_GetView(leases->cell, now_ms, state->slice, &slice_view);
    const char *holder = RsLeases_MemberName(leases, slice_view.holder);
    return json_pack("{s:s,s:b,s:b,s:I,s:I,s:I,s:s,s:s}", "slice", id, "held",
                     state->held, "stopping", state->stopping, "epoch",
                     (json_int_t)slice_view.claim.fence.epoch, "step",
                     (json_int_t)slice_view.claim.fence.step, "position",
                     (json_int_t)slice_view.claim.position, "target",
                     state->target, "holder", holder != NULL ? holder : "");
}

/* Returns the state of all leases and the lost targets as a new JSON object.
 */
json_t *
RsLeases_Dump(const struct rs_leases *leases, int64_t now_ms)
{
    json_t *slices = json_array();
    json_t *lost = json_array();
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, leases->slices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(slices, dump_slice(leases, value, now_ms));
    }
    g_hash_table_iter_init(&iter, leases->lost_targets);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        json_array_append_new(lost, json_string(key));
    }
    return json_pack("{s:s,s:b,s:i,s:o,s:o}", "cell", leases->cell_name,
                     "leaving", leases->leaving, "held",
                     (int)RsLeases_HeldCount(leases), "lost_targets", lost,
                     "slices", slices);
}
