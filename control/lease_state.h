/* The state of leases, shared by the files that work on it: leases.c takes
 * words in, lease_review.c decides, lease_report.c tells. */

#ifndef RATTANSHED_CONTROL_LEASE_STATE_H
#define RATTANSHED_CONTROL_LEASE_STATE_H

#include <glib.h>

#include "control/leases.h"

#define RsLeases_SCAN_EVERY_MS 50

/* What this process does about one slice of its cell. */
struct rs_slice_state {
    uint64_t slice;
    bool held;
    bool stopping;
    bool wanted;    /* a later epoch's claimant asks for it */
    uint64_t epoch; /* of the claim that is held or under way */
    uint32_t step;
    uint32_t position;
    char target[RsModel_NAME_BYTES];
    char last_target[RsModel_NAME_BYTES]; /* owner before */
    int64_t retry_at_ms;                  /* no claim before */
    uint64_t sealing_epoch; /* of the row whose former cells are asked */
    size_t sealed_count;    /* former cells that have given it up */
};

struct rs_leases {
    struct rs_leases_options options;
    char self[RsModel_NAME_BYTES];
    uint64_t self_id;
    struct rs_cell *cell;
    char cell_name[RsModel_NAME_BYTES]; /* empty: in none yet */
    struct rs_view *view;
    GHashTable *slices;  /* id to rs_slice_state, owned */
    GHashTable *lost;    /* set of target names */
    GHashTable *names;   /* member id to name */
    GHashTable *learned; /* rule to the versions of its rows, taken in */
    struct rs_lease_counters counters;
    bool leaving;
    bool moved; /* the table has this process in another cell now */
    bool dirty; /* the table of leases is to be published */
    int64_t scan_at_ms;
    int64_t review_held_at_ms; /* those that are held need it seldom */
    int64_t publish_at_ms;
    int64_t rebalance_at_ms;
};

/* Common */
const char *RsLeases_NameOf(const struct rs_leases *leases, uint64_t id);
bool RsLeases_IsOurs(const struct rs_leases *leases,
                     const struct rs_model_assignment *assignment);

/* Decisions (lease_review.c) */
void RsLeaseReview_Scan(struct rs_leases *leases, int64_t now_ms);
void RsLeaseReview_Rebalance(struct rs_leases *leases, int64_t now_ms);
void RsLeaseReview_Stop(struct rs_leases *leases,
                        struct rs_slice_state *state);
void RsLeaseReview_Release(struct rs_leases *leases,
                           struct rs_slice_state *state, int64_t now_ms,
                           uint32_t next_position);
uint32_t RsLeaseReview_PositionAfter(const struct rs_leases *leases,
                                     const struct rs_slice_state *state);

/* The table for the data task (lease_report.c) */
void RsLeaseReport_Publish(struct rs_leases *leases, int64_t now_ms);

#endif
