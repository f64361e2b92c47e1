/* The state behind control/leases.h, private to its three files: leases.c
 * applies events and messages, lease_review.c decides, and lease_report.c
 * publishes and dumps the state. */

#ifndef RATTANSHED_CONTROL_LEASE_STATE_H
#define RATTANSHED_CONTROL_LEASE_STATE_H

#include <glib.h>

#include "control/leases.h"

#define RsLeases_SCAN_INTERVAL_MS 50

/* This process's state for one slice of its cell. */
struct rs_slice_state {
    uint64_t slice;
    bool held;
    bool stopping;       /* held, and being drained before its release */
    bool release_wanted; /* the claimant of a later epoch waits for it */
    uint64_t epoch;      /* of the lease, or of the last claim */
    uint32_t step;
    uint32_t position; /* of the target in the succession */
    char target[RsModel_NAME_BYTES];
    char last_target[RsModel_NAME_BYTES]; /* of the present or last lease */
    int64_t retry_at_ms;                  /* no new claim before this time */
    uint64_t sealing_epoch; /* new epoch for which the former cells are asked
                             * to give up the slice */
    /* number of cells at the start of the assignment's `from` that need not be
     * asked any more */
    size_t sealed_count;
};

struct rs_leases {
    struct rs_leases_options options;
    char self[RsModel_NAME_BYTES];
    uint64_t self_id;
    struct rs_cell *cell;
    /* empty until this process joins a cell */
    char cell_name[RsModel_NAME_BYTES];
    struct rs_view *view;
    GHashTable *slices;       /* slice id to struct rs_slice_state, owned */
    GHashTable *lost_targets; /* set of names */
    GHashTable *member_names; /* member id to name */
    GHashTable *applied_row_versions; /* rule to its row versions */
    struct rs_lease_counters counters;
    bool leaving;
    /* the table now lists this process in another cell */
    bool moved_to_other_cell;
    bool publish_due; /* the lease table must be published */
    int64_t next_scan_at_ms;
    int64_t next_held_review_at_ms; /* held slices are reviewed less often */
    int64_t next_publish_at_ms;
    int64_t next_rebalance_at_ms;
};

/* Shared helpers (leases.c) */
const char *RsLeases_MemberName(const struct rs_leases *leases, uint64_t id);
bool RsLeases_IsInOwnCell(const struct rs_leases *leases,
                          const struct rs_model_assignment *assignment);

/* Decisions (lease_review.c) */
void RsLeaseReview_Scan(struct rs_leases *leases, int64_t now_ms);
void RsLeaseReview_Rebalance(struct rs_leases *leases, int64_t now_ms);
void RsLeaseReview_BeginDrain(struct rs_leases *leases,
                              struct rs_slice_state *state);
void RsLeaseReview_Release(struct rs_leases *leases,
                           struct rs_slice_state *state, int64_t now_ms,
                           uint32_t next_position);
uint32_t RsLeaseReview_NextPosition(const struct rs_leases *leases,
                                    const struct rs_slice_state *state);

/* Lease table for the data task (lease_report.c) */
void RsLeaseReport_Publish(struct rs_leases *leases, int64_t now_ms);

#endif
