/* The waiting requests of a node. Each service has a queue of its own; in it,
 * urgent ranks go first without starving the others, the workspaces of a rank
 * take turns, and the requests of a workspace go by the end of their latency
 * target. No I/O. */

#ifndef RATTANSHED_ROUTER_SCHEDULE_H
#define RATTANSHED_ROUTER_SCHEDULE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/fair_queue.h"

/* Ranks from the last one on share a queue. */
#define RsSchedule_RANKS 8

struct rs_schedule_queue;

/* Embedded in a waiting request. The owner sets the members up to `request`
 * before it adds the item. */
struct rs_schedule_item {
    struct rs_fair_queue_item fair;
    const char *service;   /* interned */
    const char *workspace; /* interned; NULL: none */
    uint32_t rank;
    int64_t due_ms; /* arrival plus latency target */
    void *request;
    struct rs_schedule_queue *queue; /* NULL unless it waits */
    guint pass_index;                /* in `pass` of the schedule */
};

struct rs_schedule {
    GHashTable *queues; /* interned service name to struct rs_schedule_queue */
    uint32_t count;     /* items */
    uint64_t next_id;
    /* The rest of the items of the pass that is under way, in their order.
     * Those that were removed since are NULL. */
    GPtrArray *pass;
    guint pass_position;
    bool in_pass;
};

void RsSchedule_Init(struct rs_schedule *schedule);
void RsSchedule_Clear(struct rs_schedule *schedule);
void RsSchedule_Add(struct rs_schedule *schedule,
                    struct rs_schedule_item *item);
void RsSchedule_Remove(struct rs_schedule *schedule,
                       struct rs_schedule_item *item);
void RsSchedule_Take(struct rs_schedule *schedule,
                     struct rs_schedule_item *item);
struct rs_schedule_item *
RsSchedule_FindLessUrgent(const struct rs_schedule *schedule, uint32_t rank);

/* A pass goes through all waiting items in their order. */
bool RsSchedule_BeginPass(struct rs_schedule *schedule);
struct rs_schedule_item *RsSchedule_Next(struct rs_schedule *schedule);

#endif
