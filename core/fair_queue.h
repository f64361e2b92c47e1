/* A fair queue. The items of one flow (caller and service, or workspace) form
 * a list ordered by deadline. In each turn one item of every flow is served;
 * within a turn the item with the earliest deadline goes first. */

#ifndef RATTANSHED_CORE_FAIR_QUEUE_H
#define RATTANSHED_CORE_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rs_fair_queue_flow;

/* Queue links and key of an item, embedded in a struct that the user of the
 * queue owns. The user sets the first three members. */
struct rs_fair_queue_item {
    uint64_t id;
    uint64_t flow_id;
    int64_t deadline_ms;
    struct rs_fair_queue_flow *flow; /* valid while queued */
    struct rs_fair_queue_item *previous;
    struct rs_fair_queue_item *next;
};

struct rs_fair_queue {
    uint64_t turn;          /* of the item that was taken last; 0 before */
    uint32_t count;         /* items */
    GHashTable *flow_by_id; /* owns the flows */
    GPtrArray *flows;       /* the same flows, in no particular order */
};

/* Construction */
void RsFairQueue_Init(struct rs_fair_queue *queue);
void RsFairQueue_Free(struct rs_fair_queue *queue);

/* Items */
void RsFairQueue_Push(struct rs_fair_queue *queue,
                      struct rs_fair_queue_item *item);
void RsFairQueue_Remove(struct rs_fair_queue *queue,
                        struct rs_fair_queue_item *item);
void RsFairQueue_Take(struct rs_fair_queue *queue,
                      struct rs_fair_queue_item *item);

/* Order */
struct rs_fair_queue_item *
RsFairQueue_First(const struct rs_fair_queue *queue);
struct rs_fair_queue_item *
RsFairQueue_LastOfLongest(const struct rs_fair_queue *queue,
                          uint64_t incoming_flow_id);
uint32_t RsFairQueue_CountAhead(const struct rs_fair_queue *queue,
                                const struct rs_fair_queue_item *item);
struct rs_fair_queue_item **
RsFairQueue_InOrder(const struct rs_fair_queue *queue);

#endif
