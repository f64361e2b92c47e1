#include "core/fair_queue.h"

#include <assert.h>
#include <stdlib.h>

struct rs_fair_queue_flow {
    uint64_t id;
    uint64_t turn;  /* of the first item; the others follow in later turns */
    uint32_t count; /* items */
    guint index;    /* in the queue's `flows` */
    struct rs_fair_queue_item *first;
    struct rs_fair_queue_item *last;
};

/* An item's position in the order in which the queue is served. */
struct position {
    uint64_t turn;
    int64_t deadline_ms;
    uint64_t id;
    struct rs_fair_queue_item *item;
};

static bool
is_before(const struct position *a, const struct position *b)
{
    if (a->turn != b->turn) {
        return a->turn < b->turn;
    }
    if (a->deadline_ms != b->deadline_ms) {
        return a->deadline_ms < b->deadline_ms;
    }
    return a->id < b->id;
}

/* Returns the position of an item that has `rank` items of its flow before
 * it. */
static struct position
make_position(const struct rs_fair_queue_flow *flow,
              struct rs_fair_queue_item *item, uint64_t rank)
{
    struct position position = {.turn = flow->turn + rank,
                                .deadline_ms = item->deadline_ms,
                                .id = item->id,
                                .item = item};
    return position;
}

/* Returns the first turn of a flow that had no queued items: the one after the
 * turn of the item taken last. With that same turn instead, a flow with one
 * item at a time would always go before the flows that have had their turn. */
static uint64_t
first_turn_of_new_flow(const struct rs_fair_queue *queue)
{
    return queue->turn + 1;
}

static struct rs_fair_queue_flow *
find_flow(const struct rs_fair_queue *queue, uint64_t id)
{
    return g_hash_table_lookup(queue->flow_by_id, &id);
}

static struct rs_fair_queue_flow *
find_or_add_flow(struct rs_fair_queue *queue, uint64_t id)
{
    struct rs_fair_queue_flow *flow = find_flow(queue, id);
    if (flow != NULL) {
        return flow;
    }
    flow = g_new0(struct rs_fair_queue_flow, 1);
    flow->id = id;
    flow->turn = first_turn_of_new_flow(queue);
    flow->index = queue->flows->len;
    g_ptr_array_add(queue->flows, flow);
    g_hash_table_insert(queue->flow_by_id, &flow->id, flow);
    return flow;
}

static void
remove_flow(struct rs_fair_queue *queue, struct rs_fair_queue_flow *flow)
{
    guint index = flow->index;
    g_ptr_array_remove_index_fast(queue->flows, index);
    if (index < queue->flows->len) {
        struct rs_fair_queue_flow *moved =
            g_ptr_array_index(queue->flows, index);
        moved->index = index;
    }
    g_hash_table_remove(queue->flow_by_id, &flow->id);
}

/* Initializes an empty queue, which the caller frees with RsFairQueue_Free().
 */
void
RsFairQueue_Init(struct rs_fair_queue *queue)
{
    queue->turn = 0;
    queue->count = 0;
    queue->flow_by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    queue->flows = g_ptr_array_new();
}

/* Frees what the queue owns. Items still in it are not touched. */
void
RsFairQueue_Free(struct rs_fair_queue *queue)
{
    g_ptr_array_free(queue->flows, TRUE);
    g_hash_table_destroy(queue->flow_by_id);
}

/* Adds an item. It must stay valid at the same address until it is removed or
 * taken. */
void
RsFairQueue_Push(struct rs_fair_queue *queue, struct rs_fair_queue_item *item)
{
    struct rs_fair_queue_flow *flow = find_or_add_flow(queue, item->flow_id);
    struct rs_fair_queue_item *before = flow->last;
    while (before != NULL && before->deadline_ms > item->deadline_ms) {
        before = before->previous;
    }
    item->flow = flow;
    item->previous = before;
    item->next = before == NULL ? flow->first : before->next;
    if (item->next == NULL) {
        flow->last = item;
    }
    else {
        item->next->previous = item;
    }
    if (before == NULL) {
        flow->first = item;
    }
    else {
        before->next = item;
    }
    flow->count++;
    queue->count++;
}

/* Removes an item at any position. Its flow keeps its turn, or is removed if
 * it has no more items. */
void
RsFairQueue_Remove(struct rs_fair_queue *queue,
                   struct rs_fair_queue_item *item)
{
    struct rs_fair_queue_flow *flow = item->flow;
    if (item->previous == NULL) {
        flow->first = item->next;
    }
    else {
        item->previous->next = item->next;
    }
    if (item->next == NULL) {
        flow->last = item->previous;
    }
    else {
        item->next->previous = item->previous;
    }
    item->flow = NULL;
    flow->count--;
    queue->count--;
    if (flow->count == 0) {
        remove_flow(queue, flow);
    }
}

/* Removes an item that RsFairQueue_First() returned, and advances the turn of
 * its flow. */
void
RsFairQueue_Take(struct rs_fair_queue *queue, struct rs_fair_queue_item *item)
{
    queue->turn = item->flow->turn;
    item->flow->turn++;
    RsFairQueue_Remove(queue, item);
}

/* Returns the item to serve next, or NULL if the queue is empty. */
struct rs_fair_queue_item *
RsFairQueue_First(const struct rs_fair_queue *queue)
{
    struct position best = {0};
    for (guint i = 0; i < queue->flows->len; i++) {
        const struct rs_fair_queue_flow *flow =
            g_ptr_array_index(queue->flows, i);
        struct position position = make_position(flow, flow->first, 0);
        if (best.item == NULL || is_before(&position, &best)) {
            best = position;
        }
    }
    return best.item;
}

/* Returns the last item of the longest flow, which can be evicted for an
 * incoming item. Returns NULL if that flow is no longer than the incoming
 * item's own flow would become, or the queue is empty. */
struct rs_fair_queue_item *
RsFairQueue_LastOfLongest(const struct rs_fair_queue *queue,
                          uint64_t incoming_flow_id)
{
    const struct rs_fair_queue_flow *own = find_flow(queue, incoming_flow_id);
    const struct rs_fair_queue_flow *longest = NULL;
    for (guint i = 0; i < queue->flows->len; i++) {
        const struct rs_fair_queue_flow *flow =
            g_ptr_array_index(queue->flows, i);
        if (longest == NULL || flow->count > longest->count) {
            longest = flow;
        }
    }
    uint32_t own_count = own == NULL ? 0 : own->count;
    if (longest == NULL || longest->count <= own_count + 1) {
        return NULL;
    }
    return longest->last;
}

/* Returns how many queued items would be served before `item`, which is not in
 * the queue. */
uint32_t
RsFairQueue_CountAhead(const struct rs_fair_queue *queue,
                       const struct rs_fair_queue_item *item)
{
    const struct rs_fair_queue_flow *own = find_flow(queue, item->flow_id);
    struct position position = {.turn = first_turn_of_new_flow(queue),
                                .deadline_ms = item->deadline_ms,
                                .id = item->id};
    uint32_t ahead = 0;
    if (own != NULL) {
        position.turn = own->turn;
        for (const struct rs_fair_queue_item *other = own->first;
             other != NULL && other->deadline_ms <= item->deadline_ms;
             other = other->next) {
            position.turn++;
            ahead++;
        }
    }
    for (guint i = 0; i < queue->flows->len; i++) {
        const struct rs_fair_queue_flow *flow =
            g_ptr_array_index(queue->flows, i);
        uint64_t rank = 0;
        for (struct rs_fair_queue_item *other = flow->first;
             other != NULL && flow != own; other = other->next) {
            struct position other_position =
                make_position(flow, other, rank++);
            if (!is_before(&other_position, &position)) {
                break;
            }
            ahead++;
        }
    }
    return ahead;
}

static int
compare_positions(const void *a, const void *b)
{
    return is_before(a, b) ? -1 : 1;
}

/* Returns a new array of all `count` items in the order in which they would be
 * served; the caller frees it with g_free(). */
struct rs_fair_queue_item **
RsFairQueue_InOrder(const struct rs_fair_queue *queue)
{
    struct position *positions = g_new(struct position, queue->count + 1);
    size_t count = 0;
    for (guint i = 0; i < queue->flows->len; i++) {
        const struct rs_fair_queue_flow *flow =
            g_ptr_array_index(queue->flows, i);
        uint64_t rank = 0;
        for (struct rs_fair_queue_item *item = flow->first; item != NULL;
             item = item->next) {
            positions[count++] = make_position(flow, item, rank++);
        }
    }
    assert(count == queue->count);
    qsort(positions, count, sizeof(positions[0]), compare_positions);
    struct rs_fair_queue_item **items =
        g_new(struct rs_fair_queue_item *, count + 1);
    for (size_t i = 0; i < count; i++) {
        items[i] = positions[i].item;
    }
    g_free(positions);
    return items;
}
