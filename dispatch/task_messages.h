/* Messages between the control task and the data task of one process. */

#ifndef RATTANSHED_DISPATCH_TASK_MESSAGES_H
#define RATTANSHED_DISPATCH_TASK_MESSAGES_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/mailbox.h"
#include "place/model.h"

/* The lease of one slice of this process's cell. */
struct rs_lease {
    uint64_t slice;
    uint64_t epoch; /* with `step`, the fence */
    uint32_t step;
    bool mine;     /* this process holds the lease */
    bool stopping; /* being released: admit no requests, report when drained */
    int64_t until_ms;                /* end of the lease, when mine */
    char target[RsModel_NAME_BYTES]; /* owner of the slice, when mine */
    char holder[RsModel_NAME_BYTES]; /* when not mine; "" if none is known */
};

/* The leases of all slices of the cell, in ascending order of slice. Immutable
 * once it is shared; reference-counted. */
struct rs_lease_table {
    _Atomic uint32_t references;
    size_t count;
    struct rs_lease leases[];
};

struct rs_lease_table *RsLeaseTable_New(size_t count);
struct rs_lease_table *RsLeaseTable_Ref(struct rs_lease_table *table);
void RsLeaseTable_Unref(struct rs_lease_table *table);
const struct rs_lease *RsLeaseTable_Find(const struct rs_lease_table *table,
                                         uint64_t slice);

enum rs_task_message_kind {
    /* from the control task to the data task */
    RsTask_VIEW,   /* rs_task_pointer: struct rs_view */
    RsTask_LEASES, /* rs_task_pointer: struct rs_lease_table */
    RsTask_LEAVE,  /* rs_message: begin the graceful shutdown */
    RsTask_DUMP,   /* rs_task_dump */
    /* from the data task to the control task */
    /* rs_task_target: lost, and no keyed request can run there any more */
    RsTask_TARGET_LOST,
    RsTask_TARGET_UP,     /* rs_task_target: monitored, and not lost */
    RsTask_SLICE_DRAINED, /* rs_task_slice */
    RsTask_FENCE_STALE, /* rs_task_slice: the target has seen a higher fence */
    RsTask_TARGET_SHARE, /* rs_task_target: its capacity share */
    RsTask_LOADS,        /* rs_task_loads */
    RsTask_DUMPED,       /* rs_task_dump */
    /* rs_message: after LEAVE, the listener is closed and no requests are
     * left */
    RsTask_IDLE
};

struct rs_task_pointer {
    struct rs_message message;
    void *pointer; /* a reference, dropped by the message's `dispose` */
};

struct rs_task_target {
    struct rs_message message;
    char target[RsModel_NAME_BYTES];
    double share; /* RsTask_TARGET_SHARE: of its nominal capacity, 0 to 1 */
};

struct rs_task_slice {
    struct rs_message message;
    uint64_t slice;
    uint64_t epoch;
    uint32_t step;
};

/* Request rate of one slice. */
struct rs_slice_load {
    uint64_t slice;
    double requests_per_s;
};

struct rs_task_loads {
    struct rs_message message;
    size_t count;
    struct rs_slice_load loads[];
};

/* The request for a dump, and its answer. */
struct rs_task_dump {
    struct rs_message message;
    /* number of the request, chosen by the control task; the answer repeats
     * it */
    uint64_t token;
    char *text; /* JSON, freed with g_free(); NULL in the request */
};

#endif
