/* What the control task and the data task of one process tell each other. */

#ifndef RATTANSHED_DISPATCH_TASK_MESSAGES_H
#define RATTANSHED_DISPATCH_TASK_MESSAGES_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/mailbox.h"
#include "place/model.h"

/* One slice of this process's cell. */
struct rs_lease {
    uint64_t slice;
    uint64_t epoch;
    uint32_t step;
    bool mine;
    bool stopping; /* admit nothing more; tell when it is drained */
    int64_t until_ms;
    char target[RsModel_NAME_BYTES]; /* the owner, when mine */
    char holder[RsModel_NAME_BYTES]; /* of a slice that is not mine, or "" */
};

/* All slices of the cell, ascending. Immutable; shared by reference count. */
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
    /* control to data */
    RsTask_VIEW,   /* rs_task_pointer: struct rs_view */
    RsTask_LEASES, /* rs_task_pointer: struct rs_lease_table */
    RsTask_LEAVE,  /* rs_message: finish what there is, take nothing new */
    RsTask_DUMP,   /* rs_task_dump */
    /* data to control */
    RsTask_TARGET_LOST,   /* rs_task_target: nothing can run there any more */
    RsTask_TARGET_UP,     /* rs_task_target */
    RsTask_SLICE_DRAINED, /* rs_task_slice */
    RsTask_SLICE_STALE,   /* rs_task_slice: the target knows a higher fence */
    RsTask_TARGET_SHARE,  /* rs_task_target: its capacity */
    RsTask_LOADS,         /* rs_task_loads */
    RsTask_DUMPED,        /* rs_task_dump */
    RsTask_IDLE           /* rs_message: after LEAVE, nothing is left */
};

struct rs_task_pointer {
    struct rs_message message;
    void *pointer; /* a reference that the receiver owns */
};

struct rs_task_target {
    struct rs_message message;
    char target[RsModel_NAME_BYTES];
    double capacity; /* 0 to 1, what it can do of what it should */
};

struct rs_task_slice {
    struct rs_message message;
    uint64_t slice;
    uint64_t epoch;
    uint32_t step;
};

struct rs_task_load {
    uint64_t slice;
    double requests_per_s;
};

struct rs_task_loads {
    struct rs_message message;
    size_t count;
    struct rs_task_load loads[];
};

struct rs_task_dump {
    struct rs_message message;
    uint64_t token;
    char *text; /* JSON, g_free() */
};

#endif
