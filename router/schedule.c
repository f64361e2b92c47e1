#include "router/schedule.h"

#include <string.h>

/* A rank that waits is served after at most this many turns of others, so that
 * it gets one in four turns. */
#define MAX_TURNS_OF_OTHERS 3
#define NO_RANK RsSchedule_RANKS

/* How many turns of the queue went to others since a rank was served, or since
 * it began to wait. */
struct rank_state {
    uint32_t passed_over[RsSchedule_RANKS];
};

struct rs_schedule_queue {
    struct rs_fair_queue ranks[RsSchedule_RANKS];
    struct rank_state state;
};

static void
free_queue(gpointer data)
{
    struct rs_schedule_queue *queue = data;
    for (uint32_t i = 0; i < RsSchedule_RANKS; i++) {
        RsFairQueue_Free(&queue->ranks[i]);
    }
    g_free(queue);
}

/* Initializes an empty schedule. RsSchedule_Clear() frees its memory. */
void
RsSchedule_Init(struct rs_schedule *schedule)
{
    *schedule = (struct rs_schedule){
        .queues = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                        free_queue),
        .pass = g_ptr_array_new(),
    };
}

/* Frees what the schedule owns. Items still in it are not touched. */
void
RsSchedule_Clear(struct rs_schedule *schedule)
{
    g_hash_table_destroy(schedule->queues);
    g_ptr_array_unref(schedule->pass);
}

static struct rs_schedule_queue *
find_or_add_queue(struct rs_schedule *schedule, const char *service)
{
    struct rs_schedule_queue *queue =
        g_hash_table_lookup(schedule->queues, service);
    if (queue == NULL) {
        queue = g_new0(struct rs_schedule_queue, 1);
        for (uint32_t i = 0; i < RsSchedule_RANKS; i++) {
            RsFairQueue_Init(&queue->ranks[i]);
        }
        g_hash_table_insert(schedule->queues, (gpointer)service, queue);
    }
    return queue;
}

static uint32_t
row_of(const struct rs_schedule_item *item)
{
    return MIN(item->rank, RsSchedule_RANKS - 1);
}

/* Adds an item. It must stay valid at the same address until it is removed or
 * taken. A pass that is under way does not include it. */
void
RsSchedule_Add(struct rs_schedule *schedule, struct rs_schedule_item *item)
{
    struct rs_schedule_queue *queue =
        find_or_add_queue(schedule, item->service);
    uint32_t row = row_of(item);
    if (queue->ranks[row].count == 0) {
        queue->state.passed_over[row] = 0;
    }
    item->fair = (struct rs_fair_queue_item){
        .id = schedule->next_id++,
        .flow_id = (uint64_t)(uintptr_t)item->workspace,
        .deadline_ms = item->due_ms,
    };
    item->queue = queue;
    item->pass_index = G_MAXUINT;
    RsFairQueue_Push(&queue->ranks[row], &item->fair);
    schedule->count++;
}

static void
forget(struct rs_schedule *schedule, struct rs_schedule_item *item)
{
    if (schedule->in_pass && item->pass_index < schedule->pass->len) {
        schedule->pass->pdata[item->pass_index] = NULL;
    }
    item->queue = NULL;
    schedule->count--;
}

/* Removes an item that was not served. */
void
RsSchedule_Remove(struct rs_schedule *schedule, struct rs_schedule_item *item)
{
    RsFairQueue_Remove(&item->queue->ranks[row_of(item)], &item->fair);
    forget(schedule, item);
}

static void
count_turn(struct rank_state *state, uint32_t served)
{
    for (uint32_t i = 0; i < RsSchedule_RANKS; i++) {
        state->passed_over[i]++;
    }
    state->passed_over[served] = 0;
}

/* Removes an item that is served, which is a turn of its rank and of its
 * workspace. */
void
RsSchedule_Take(struct rs_schedule *schedule, struct rs_schedule_item *item)
{
    count_turn(&item->queue->state, row_of(item));
    RsFairQueue_Take(&item->queue->ranks[row_of(item)], &item->fair);
    forget(schedule, item);
}

/* Returns the rank to be served next, given the number of items of each, or
 * NO_RANK if there are none: the one that was passed over for longest if it
 * was for MAX_TURNS_OF_OTHERS, otherwise the most urgent one. */
static uint32_t
next_rank(const struct rank_state *state, const uint32_t *counts)
{
    uint32_t next = NO_RANK;
    uint32_t longest = MAX_TURNS_OF_OTHERS - 1;
    for (uint32_t i = 0; i < RsSchedule_RANKS; i++) {
        if (counts[i] == 0) {
            continue;
        }
        if (next == NO_RANK) {
            next = i;
        }
        if (state->passed_over[i] > longest) {
            next = i;
            longest = state->passed_over[i];
        }
    }
    return next;
}

/* Adds the items of one queue to the pass, in the order in which they would be
 * served. */
static void
add_to_pass(struct rs_schedule *schedule,
            const struct rs_schedule_queue *queue)
{
    struct rs_fair_queue_item **items[RsSchedule_RANKS] = {NULL};
    uint32_t taken[RsSchedule_RANKS] = {0};
    uint32_t left[RsSchedule_RANKS];
    struct rank_state state = queue->state;
    for (uint32_t i = 0; i < RsSchedule_RANKS; i++) {
        left[i] = queue->ranks[i].count;
        if (left[i] > 0) {
            items[i] = RsFairQueue_InOrder(&queue->ranks[i]);
        }
    }
    for (uint32_t rank = next_rank(&state, left); rank != NO_RANK;
         rank = next_rank(&state, left)) {
        /* The link is the first member of its item. */
        struct rs_schedule_item *item =
            (struct rs_schedule_item *)items[rank][taken[rank]++];
        left[rank]--;
        count_turn(&state, rank);
        item->pass_index = schedule->pass->len;
        g_ptr_array_add(schedule->pass, item);
    }
    for (uint32_t i = 0; i < RsSchedule_RANKS; i++) {
        g_free(items[i]);
    }
}

/* Begins a pass. Returns false if one is under way or nothing waits. */
bool
RsSchedule_BeginPass(struct rs_schedule *schedule)
{
    if (schedule->in_pass || schedule->count == 0) {
        return false;
    }
    GHashTableIter iter;
    gpointer queue;
    g_ptr_array_set_size(schedule->pass, 0);
    schedule->pass_position = 0;
    schedule->in_pass = true;
    g_hash_table_iter_init(&iter, schedule->queues);
    while (g_hash_table_iter_next(&iter, NULL, &queue)) {
        add_to_pass(schedule, queue);
    }
    return true;
}

/* Returns the next item of the pass that still waits. Returns NULL, and ends
 * the pass, if there are no more. */
struct rs_schedule_item *
RsSchedule_Next(struct rs_schedule *schedule)
{
    while (schedule->pass_position < schedule->pass->len) {
        struct rs_schedule_item *item =
            schedule->pass->pdata[schedule->pass_position++];
        if (item != NULL) {
            return item;
        }
    }
    schedule->in_pass = false;
    return NULL;
}

/* Returns the item that would be served last among those of the least urgent
 * rank of all services, or NULL if none is less urgent than `rank`. */
struct rs_schedule_item *
RsSchedule_FindLessUrgent(const struct rs_schedule *schedule, uint32_t rank)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t lowest = MIN(rank, RsSchedule_RANKS - 1);
    struct rs_schedule_item *last = NULL;
    g_hash_table_iter_init(&iter, schedule->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_schedule_queue *queue = value;
        for (uint32_t i = RsSchedule_RANKS - 1; i > lowest; i--) {
            if (queue->ranks[i].count > 0) {
                struct rs_fair_queue_item **items =
                    RsFairQueue_InOrder(&queue->ranks[i]);
                last = (struct rs_schedule_item *)
                    items[queue->ranks[i].count - 1];
                lowest = i;
                g_free(items);
            }
        }
    }
    return last;
}
