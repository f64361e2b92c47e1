/* The lease holder: the part of the data task that applies this process's
 * slice leases and keeps the connections to the targets it serves. It forwards
 * each request to its target, redirects it to another holder, or refuses
 * it. */

#ifndef RATTANSHED_DISPATCH_HOLDER_H
#define RATTANSHED_DISPATCH_HOLDER_H

#include <jansson.h>
#include <uv.h>

#include "dispatch/target.h"
#include "dispatch/task_messages.h"
#include "dispatch/target_request.h"
#include "view/view.h"

struct rs_holder;

/* Callbacks through which the holder reports to the control task. All
 * arguments are borrowed for the duration of the call. */
struct rs_holder_callbacks {
    /* If `lost` is true, the target is lost and no keyed request can run there
     * any more. If it is false, the target answers again, or this process has
     * just begun to monitor it. */
    void (*target_changed)(void *arg, const char *target, bool lost);
    /* A slice that is being released is drained: none of its requests waits or
     * runs, and none can take effect under the lease any more. Called on
     * every tick until the lease table changes. */
    void (*slice_drained)(void *arg, const struct rs_lease *lease);
    /* The target reported a higher fence for the slice than this process was
     * granted. */
    void (*fence_stale)(void *arg, uint64_t slice, uint64_t epoch,
                        uint32_t step);
    /* The request rates since the last report, of the slices that had any
     * requests. */
    void (*loads)(void *arg, const struct rs_slice_load *loads, size_t count);
    /* The share of its nominal capacity that a target can serve, 0 to 1. */
    void (*share)(void *arg, const char *target, double share);
};

struct rs_holder_options {
    uv_loop_t *loop;
    const char *self; /* name of this process */
    /* failure domain of this process; targets in other domains are not
     * served */
    const char *domain;
    uint64_t incarnation;
    struct rs_target_policies policies;
    uint32_t ping_interval_ms; /* of health pings and of grants */
    const struct rs_holder_callbacks *reports;
    void *arg;
};

/* Lifecycle */
struct rs_holder *RsHolder_New(const struct rs_holder_options *options);
void RsHolder_Free(struct rs_holder *holder);

/* Updates from the control task; each call takes over the caller's
 * reference */
void RsHolder_SetView(struct rs_holder *holder, struct rs_view *view);
void RsHolder_SetLeases(struct rs_holder *holder,
                        struct rs_lease_table *leases);

/* Requests. RsHolder_Forward() takes ownership of `forward`. It returns NULL
 * when the request ended during the call. */
struct rs_target_request *
RsHolder_Forward(struct rs_holder *holder, Rs__Relay__Forward *forward,
                 const struct rs_target_request_events *events, void *arg);
void RsHolder_Cancel(struct rs_holder *holder,
                     struct rs_target_request *request);
void RsHolder_AddCredit(struct rs_target_request *request,
                        uint32_t size_bytes);

/* Timer and inspection */
void RsHolder_Tick(struct rs_holder *holder, int64_t now_ms);
size_t RsHolder_RequestCount(const struct rs_holder *holder);
const struct rs_target_counters *
RsHolder_Counters(const struct rs_holder *holder);
json_t *RsHolder_Dump(const struct rs_holder *holder, int64_t now_ms);

#endif
