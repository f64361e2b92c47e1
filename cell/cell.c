/* Creates and frees one process's state in its cell, applies rosters, advances
 * the clock, dispatches received messages, and keeps the queues of messages to
 * send and of events. */

#include <string.h>

#include "cell/state.h"

/* Returns whether `id` is a present or former member. */
bool
RsCell_InRoster(const struct rs_cell_roster *roster, uint64_t id)
{
    for (size_t i = 0; i < roster->member_count; i++) {
        if (roster->members[i] == id) {
            return true;
        }
    }
    for (size_t i = 0; i < roster->former_count; i++) {
        if (roster->former[i] == id) {
            return true;
        }
    }
    return false;
}

/* Returns less than, equal to or more than 0 as `a` is lower than, equal to or
 * higher than `b`. */
int
RsCell_CompareFence(const struct rs_cell_fence *a,
                    const struct rs_cell_fence *b)
{
    if (a->epoch != b->epoch) {
        return a->epoch < b->epoch ? -1 : 1;
    }
    return (a->step > b->step) - (a->step < b->step);
}

/* Returns the latest time T for which a majority of the entries of `until_ms`
 * are at least T; INT64_MIN when `count` is 0. */
int64_t
RsCell_MajorityUntilMs(const int64_t *until_ms, size_t count)
{
    int64_t latest_ms = INT64_MIN;
    for (size_t i = 0; i < count; i++) {
        size_t reaching_count = 0;
        for (size_t j = 0; j < count; j++) {
            reaching_count += until_ms[j] >= until_ms[i] ? 1 : 0;
        }
        if (reaching_count > count / 2) {
            latest_ms = MAX(latest_ms, until_ms[i]);
        }
    }
    return latest_ms;
}

/* Queues a copy of an event for RsCell_NextEvent(). */
void
RsCell_QueueEvent(struct rs_cell *cell, const struct rs_cell_event *event)
{
    g_queue_push_tail(&cell->events, g_memdup2(event, sizeof(*event)));
}

/* Queues an event that has only a kind and a claim. */
void
RsCell_QueueClaimEvent(struct rs_cell *cell, enum rs_cell_event_kind kind,
                       const struct rs_cell_claim *claim)
{
    struct rs_cell_event event = {.kind = kind, .claim = *claim};
    RsCell_QueueEvent(cell, &event);
}

/* Queues a message for RsCell_NextMessage() and takes ownership of its arrays.
 * A message to this process itself, which can only be a seal answer, is
 * handled at once instead. */
void
RsCell_Send(struct rs_cell *cell, struct rs_cell_message *message)
{
    if (message->to == cell->options.self) {
        g_assert(message->kind == RsCell_SEAL_ANSWER);
        RsCell_HandleSealAnswer(cell, message);
        return;
    }
    g_queue_push_tail(&cell->messages, g_memdup2(message, sizeof(*message)));
}

/* Returns the state of a process that has just started: it knows nothing of
 * its earlier starts. `options` is copied; free the result with
 * RsCell_Free(). */
struct rs_cell *
RsCell_New(const struct rs_cell_options *options)
{
    g_assert(options->margin_ms < options->lease_ms);
    g_assert(options->self != 0);
    struct rs_cell *cell = g_new0(struct rs_cell, 1);
    cell->options = *options;
    cell->first_step = options->first_step;
    cell->now_ms = options->start_ms;
    cell->startup_wait_until_ms = options->start_ms + options->lease_ms;
    cell->next_renewal_at_ms = options->start_ms;
    cell->next_evaluation_at_ms = INT64_MAX;
    cell->sessions = g_ptr_array_new_with_free_func(RsCell_FreeSession);
    cell->records =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cell->own_claims =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cell->pending_releases =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cell->seals =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&cell->messages);
    g_queue_init(&cell->events);
    return cell;
}

/* Frees a cell with its queued messages and events. */
void
RsCell_Free(struct rs_cell *cell)
{
    struct rs_cell_message *message;
    while ((message = g_queue_pop_head(&cell->messages)) != NULL) {
        RsCell_FreeMessage(message);
        g_free(message);
    }
    g_queue_clear_full(&cell->events, g_free);
    g_ptr_array_unref(cell->sessions);
    g_hash_table_unref(cell->records);
    g_hash_table_unref(cell->own_claims);
    g_hash_table_unref(cell->pending_releases);
    g_hash_table_unref(cell->seals);
    g_free(cell);
}

/* Frees a message's arrays, but not the message itself. */
void
RsCell_FreeMessage(struct rs_cell_message *message)
{
    g_free(message->claims);
    g_free(message->releases);
    g_free(message->answers);
    g_free(message->excluded);
    message->claims = NULL;
    message->releases = NULL;
    message->answers = NULL;
    message->excluded = NULL;
}

/* Advances the clock. More than half a lease between two calls means that the
 * process was paused; the member then makes no new promises for one lease. */
static void
update_clock(struct rs_cell *cell, int64_t now_ms)
{
    if (now_ms - cell->now_ms > cell->options.lease_ms / 2) {
        cell->pause_wait_until_ms = now_ms + cell->options.lease_ms;
    }
    cell->now_ms = MAX(cell->now_ms, now_ms);
}

/* Applies the roster from the cell's row in the platform's table. A roster
 * whose version is already in use changes nothing. Returns 0, or
 * RsCell_STALE_ROSTER when a newer one is known. */
int
RsCell_SetRoster(struct rs_cell *cell, int64_t now_ms,
                 const struct rs_cell_roster *roster)
{
    if (roster->version < cell->roster.version) {
        return RsCell_STALE_ROSTER;
    }
    RsCell_Tick(cell, now_ms);
    if (roster->version > cell->roster.version) {
        bool is_joining = !RsCell_InRoster(&cell->roster, cell->options.self);
        if (is_joining && cell->options.first_step > 0) {
            /* A process that joins the cell has no memory of the fences
             * promised there, so its first step is that of the present time
             * instead of that of its start. */
            int64_t running_ms = cell->now_ms - cell->options.start_ms;
            int64_t steps_per_s = MAX(cell->options.steps_per_s, 1);
            cell->first_step = cell->options.first_step +
                               (uint32_t)(running_ms * steps_per_s / 1000);
        }
        RsCell_ApplyRoster(cell, roster);
    }
    return 0;
}

/* Records that the whole table has been read since this process started; only
 * then does the member make promises. */
void
RsCell_MarkTableRead(struct rs_cell *cell)
{
    cell->table_read = true;
}

/* Does the work that is due by `now_ms`. Renewals are only marked as due;
 * RsCell_NextMessage() and RsCell_NextEvent() queue them. Call this function
 * at RsCell_NextTickAtMs() or more often. */
void
RsCell_Tick(struct rs_cell *cell, int64_t now_ms)
{
    update_clock(cell, now_ms);
    if (cell->next_evaluation_at_ms <= cell->now_ms) {
        RsCell_EvaluateClaims(cell);
    }
    if (cell->next_renewal_at_ms <= cell->now_ms) {
        cell->next_renewal_at_ms = cell->now_ms + cell->options.renew_every_ms;
        for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
            cell->peers[i].renewal_due = true;
        }
    }
    RsCell_UpdateSeals(cell);
}

/* Returns the time at which RsCell_Tick() must be called next. */
int64_t
RsCell_NextTickAtMs(const struct rs_cell *cell)
{
    int64_t next_ms =
        MIN(cell->next_renewal_at_ms, cell->next_evaluation_at_ms);
    return MIN(next_ms, RsCell_NextSealUpdateAtMs(cell));
}

/* Handles a message from another process. The caller keeps ownership of it.
 * Returns 0, or RsCell_BAD_MESSAGE when the message has an unknown kind, or
 * wrong sender or receiver ids. */
int
RsCell_Receive(struct rs_cell *cell, int64_t now_ms,
               const struct rs_cell_message *message)
{
    RsCell_Tick(cell, now_ms);
    if (message->to != cell->options.self || message->from == 0 ||
        message->from == cell->options.self) {
        return RsCell_BAD_MESSAGE;
    }
    struct rs_cell_message answer;
    switch (message->kind) {
    case RsCell_RENEW:
        RsCell_RecordPeerRoster(cell, message->from, message->roster_version);
        if (RsCell_AnswerRenewal(cell, message, &answer)) {
            RsCell_Send(cell, &answer);
        }
        return 0;
    case RsCell_RENEW_ANSWER:
        RsCell_RecordPeerRoster(cell, message->from, message->roster_version);
        RsCell_HandleRenewAnswer(cell, message);
        return 0;
    case RsCell_SEAL:
        RsCell_AnswerSeal(cell, message);
        return 0;
    case RsCell_SEAL_ANSWER:
        RsCell_HandleSealAnswer(cell, message);
        RsCell_UpdateSeals(cell);
        return 0;
    }
    return RsCell_BAD_MESSAGE;
}

/* Queues the renewals that are due, and stores the next message to send, which
 * the caller frees with RsCell_FreeMessage(). Returns false when there is
 * none. */
bool
RsCell_NextMessage(struct rs_cell *cell, struct rs_cell_message *message)
{
    RsCell_SendDueRenewals(cell);
    struct rs_cell_message *head = g_queue_pop_head(&cell->messages);
    if (head == NULL) {
        return false;
    }
    *message = *head;
    g_free(head);
    return true;
}

/* Queues the renewals that are due, and stores the next event. Returns false
 * when there is none. */
bool
RsCell_NextEvent(struct rs_cell *cell, struct rs_cell_event *event)
{
    RsCell_SendDueRenewals(cell);
    struct rs_cell_event *head = g_queue_pop_head(&cell->events);
    if (head == NULL) {
        return false;
    }
    *event = *head;
    g_free(head);
    return true;
}
