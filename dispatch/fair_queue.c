#include "dispatch/fair_queue.h"

#include <assert.h>
#include <stdlib.h>

struct rs_fair_queue_flow {
    uint64_t id;
    uint64_t turn; /* in which the first item goes */
    uint32_t count;
    guint index; /* in `flows` */
    struct rs_fair_queue_item *first;
    struct rs_fair_queue_item *last;
};

/* An item's place in the order in which the queue is served. */
struct place {
    uint64_t turn;
    int64_t deadline_ms;
    uint64_t id;
    struct rs_fair_queue_item *item;
};

static bool
goes_before(const struct place *a, const struct place *b)
{
    if (a->turn != b->turn) {
        return a->turn < b->turn;
    }
    if (a->deadline_ms != b->deadline_ms) {
        return a->deadline_ms < b->deadline_ms;
    }
    return a->id < b->id;
}

static struct place
place_of(const struct rs_fair_queue_flow *flow,
         struct rs_fair_queue_item *item, uint64_t rank)
{
    struct place place = {.turn = flow->turn + rank,
                          .deadline_ms = item->deadline_ms,
                          .id = item->id,
                          .item = item};
    return place;
}

/* A flow without queued items joins the turn after the present one: joining
 * the present one, a flow with one item at a time would always go before
 * those that went in it. */
static uint64_t
joining_turn(const struct rs_fair_queue *queue)
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
    flow->turn = joining_turn(queue);
    flow->index = queue->flows->len;
    g_ptr_array_add(queue->flows, flow);
    g_hash_table_insert(queue->flow_by_id, &flow->id, flow);
    return flow;
}

static void
drop_flow(struct rs_fair_queue *queue, struct rs_fair_queue_flow *flow)
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

/* Sets `queue` to an empty one; free it with RsFairQueue_Free(). */
void
RsFairQueue_Start(struct rs_fair_queue *queue)
{
    queue->turn = 0;
    queue->count = 0;
    queue->flow_by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    queue->flows = g_ptr_array_new();
}

/* Frees what the queue owns; the items are not touched. */
void
RsFairQueue_Free(struct rs_fair_queue *queue)
{
    g_ptr_array_free(queue->flows, TRUE);
    g_hash_table_destroy(queue->flow_by_id);
}

/* Adds an item, which stays where it is until it is removed or taken. */
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

/* Takes an item out, wherever it stands. */
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
        drop_flow(queue, flow);
    }
}

/* Takes out the item that RsFairQueue_First() returned, as its flow's turn.
 */
void
RsFairQueue_Take(struct rs_fair_queue *queue, struct rs_fair_queue_item *item)
{
    queue->turn = item->flow->turn;
    item->flow->turn++;
    RsFairQueue_Remove(queue, item);
}

/* Returns the item that goes next, or NULL. */
struct rs_fair_queue_item *
RsFairQueue_First(const struct rs_fair_queue *queue)
{
    struct place best = {0};
    for (guint i = 0; i < queue->flows->len; i++) {
        const struct rs_fair_queue_flow *flow =
            g_ptr_array_index(queue->flows, i);
        struct place place = place_of(flow, flow->first, 0);
        if (best.item == NULL || goes_before(&place, &best)) {
            best = place;
        }
    }
    return best.item;
}

/* Returns the last item of the flow with the most, or NULL when that flow is
 * no longer than the newcomer's own would be. */
struct rs_fair_queue_item *
RsFairQueue_LastOfLongest(const struct rs_fair_queue *queue,
                          uint64_t newcomer_flow_id)
{
    const struct rs_fair_queue_flow *own = find_flow(queue, newcomer_flow_id);
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

/* Returns how many of the queue would go before an item that is not in it. */
uint32_t
RsFairQueue_CountAhead(const struct rs_fair_queue *queue,
                       const struct rs_fair_queue_item *item)
{
    const struct rs_fair_queue_flow *own = find_flow(queue, item->flow_id);
    struct place place = {.turn = joining_turn(queue),
                          .deadline_ms = item->deadline_ms,
                          .id = item->id};
    uint32_t ahead = 0;
    if (own != NULL) {
        place.turn = own->turn;
        for (const struct rs_fair_queue_item *other = own->first;
             other != NULL && other->deadline_ms <= item->deadline_ms;
             other = other->next) {
            place.turn++;
            ahead++;
        }
    }
    for (guint i = 0; i < queue->flows->len; i++) {
        const struct rs_fair_queue_flow *flow =
            g_ptr_array_index(queue->flows, i);
        uint64_t rank = 0;
        for (struct rs_fair_queue_item *other = flow->first;
             other != NULL && flow != own; other = other->next) {
            struct place theirs = place_of(flow, other, rank++);
            if (!goes_before(&theirs, &place)) {
                break;
            }
            ahead++;
        }
    }
    return ahead;
}

static int
compare_places(const void *a, const void *b)
{
    return goes_before(a, b) ? -1 : 1;
}

/* Returns a new array of all `count` items in the order in which they go;
 * the caller frees it with g_free(). */
struct rs_fair_queue_item **
RsFairQueue_InOrder(const struct rs_fair_queue *queue)
{
    struct place *places = g_new(struct place, queue->count + 1);
    size_t count = 0;
    for (guint i = 0; i < queue->flows->len; i++) {
        const struct rs_fair_queue_flow *flow =
            g_ptr_array_index(queue->flows, i);
        uint64_t rank = 0;
        for (struct rs_fair_queue_item *item = flow->first; item != NULL;
             item = item->next) {
            places[count++] = place_of(flow, item, rank++);
        }
    }
    assert(count == queue->count);
    qsort(places, count, sizeof(places[0]), compare_places);
    struct rs_fair_queue_item **items =
        g_new(struct rs_fair_queue_item *, count + 1);
    for (size_t i = 0; i < count; i++) {
        items[i] = places[i].item;
    }
    g_free(places);
    return items;
}
