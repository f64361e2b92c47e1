/* Decides which slices of its cell this process claims, keeps and releases,
 * and drives the cell's lease state machine (cell/cell.h). */

#ifndef RATTANSHED_CONTROL_LEASES_H
#define RATTANSHED_CONTROL_LEASES_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "cell/cell.h"
#include "core/counter.h"
#include "dispatch/task_messages.h"
#include "member/members.h"
#include "view/view.h"

struct rs_leases;

struct rs_lease_counters {
    struct rs_counter held; /* slices held now */
    struct rs_counter claims;
    struct rs_counter won;     /* claims that ended in a lease */
    struct rs_counter expired; /* leases that expired unreleased */
    struct rs_counter released;
    struct rs_counter owner_changes; /* won for another target than before */
    /* former cells of slices; when this process begins to seal a slice, all
     * former cells of the slice are added at once */
    struct rs_counter seals;
};

struct rs_leases_options {
    const char *self;
    uint64_t incarnation;
    int64_t now_ms;
    uint32_t lease_ms;
    uint32_t renew_every_ms;
    uint32_t margin_ms;
    const struct rs_members *members;
    /* Sends a message to the member `to`. The message is borrowed. */
    void (*send)(void *arg, const char *to,
                 const struct rs_cell_message *message);
    /* Called with each new lease table. Takes over the reference. */
    void (*publish)(void *arg, struct rs_lease_table *table);
    void *arg;
};

struct rs_leases *RsLeases_New(const struct rs_leases_options *options);

/* Changes of the platform's table. `table_was_read` tells that this process
 * has completed a read of the table that began after its first lease period.
 */
void RsLeases_SetView(struct rs_leases *leases, int64_t now_ms,
                      struct rs_view *view, bool table_was_read);

/* Shutdown */
void RsLeases_BeginLeaving(struct rs_leases *leases);

/* Reports of the data task */
void RsLeases_TargetChanged(struct rs_leases *leases, const char *target,
                            bool lost);
void RsLeases_SliceDrained(struct rs_leases *leases, int64_t now_ms,
                           uint64_t slice, uint64_t epoch, uint32_t step);
void RsLeases_FenceStale(struct rs_leases *leases, int64_t now_ms,
                         uint64_t slice);

/* Time and messages */
void RsLeases_Tick(struct rs_leases *leases, int64_t now_ms);
void RsLeases_Receive(struct rs_leases *leases, int64_t now_ms,
                      const struct rs_cell_message *message);

/* Queries */
const struct rs_view_cell *RsLeases_Cell(const struct rs_leases *leases);
bool RsLeases_MovedToOtherCell(const struct rs_leases *leases);
bool RsLeases_GetSliceView(const struct rs_leases *leases, int64_t now_ms,
                           uint64_t slice, struct rs_cell_view *view);
bool RsLeases_TargetIsLost(const struct rs_leases *leases, const char *target);
size_t RsLeases_HeldCount(const struct rs_leases *leases);
const struct rs_lease_counters *
RsLeases_Counters(const struct rs_leases *leases);
json_t *RsLeases_Dump(const struct rs_leases *leases, int64_t now_ms);

#endif
