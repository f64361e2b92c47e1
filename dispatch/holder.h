/* The part of the data task that speaks for targets: it has the leases, and
 * passes each request to its target or refuses it. */

#ifndef RATTANSHED_DISPATCH_HOLDER_H
#define RATTANSHED_DISPATCH_HOLDER_H

#include <jansson.h>
#include <uv.h>

#include "dispatch/target.h"
#include "dispatch/task_messages.h"
#include "dispatch/work.h"
#include "view/view.h"

struct rs_holder;

/* What the control task is told; each owns nothing of the arguments. */
struct rs_holder_reports {
    void (*target_changed)(void *arg, const char *target, bool lost);
    void (*slice_drained)(void *arg, const struct rs_lease *lease);
    void (*slice_stale)(void *arg, uint64_t slice, uint64_t epoch,
                        uint32_t step);
    void (*loads)(void *arg, const struct rs_task_load *loads, size_t count);
    void (*share)(void *arg, const char *target, double share);
};

struct rs_holder_options {
    uv_loop_t *loop;
    const char *self;
    const char *domain;
    uint64_t incarnation;
    struct rs_target_policies policies;
    uint32_t ping_every_ms;
    const struct rs_holder_reports *reports;
    void *arg;
};

/* Life */
struct rs_holder *RsHolder_New(const struct rs_holder_options *options);
void RsHolder_Free(struct rs_holder *holder);

/* What the control task says; each takes over the reference */
void RsHolder_SetView(struct rs_holder *holder, struct rs_view *view);
void RsHolder_SetLeases(struct rs_holder *holder,
                        struct rs_lease_table *leases);

/* Requests. RsHolder_Forward() owns `forward`; it returns NULL when the work
 * ended during the call. */
struct rs_work *RsHolder_Forward(struct rs_holder *holder,
                                 Rs__Relay__Forward *forward,
                                 const struct rs_work_events *events,
                                 void *arg);
void RsHolder_Cancel(struct rs_holder *holder, struct rs_work *work);
void RsHolder_Credit(struct rs_work *work, uint32_t size_bytes);

/* Time, and what there is to see */
void RsHolder_Tick(struct rs_holder *holder, int64_t now_ms);
size_t RsHolder_Works(const struct rs_holder *holder);
const struct rs_target_counters *
RsHolder_Counters(const struct rs_holder *holder);
json_t *RsHolder_Dump(const struct rs_holder *holder, int64_t now_ms);

#endif
