/* Life of a cell, its clock and its queues. */

#include <string.h>

#include "cell/state.h"

/* Whether a roster names a member, present or former. */
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

/* Below, at or above 0 as `a` is below, equal to or above `b`. */
int
RsCell_CompareFence(const struct rs_cell_fence *a,
                    const struct rs_cell_fence *b)
{
    if (a->epoch != b->epoch) {
        return a->epoch < b->epoch ? -1 : 1;
    }
    return (a->step > b->step) - (a->step < b->step);
}

/* The latest time that a majority of `until_ms` reaches; INT64_MIN for an
 * empty set. */
int64_t
RsCell_Majority(const int64_t *until_ms, size_t count)
{
    int64_t best_ms = INT64_MIN;
    for (size_t i = 0; i < count; i++) {
        size_t reach = 0;
        for (size_t j = 0; j < count; j++) {
            reach += until_ms[j] >= until_ms[i] ? 1 : 0;
        }
        if (reach > count / 2) {
            best_ms = MAX(best_ms, until_ms[i]);
        }
    }
    return best_ms;
}

/* Queues an event. */
void
RsCell_RaiseEvent(struct rs_cell *cell, const struct rs_cell_event *event)
{
    g_queue_push_tail(&cell->events, g_memdup2(event, sizeof(*event)));
}

/* Queues an event about a claim. */
void
RsCell_Raise(struct rs_cell *cell, enum rs_cell_event_kind kind,
             const struct rs_cell_claim *claim)
{
    struct rs_cell_event event = {.kind = kind, .claim = *claim};
    RsCell_RaiseEvent(cell, &event);
}

/* Queues a message, whose arrays go with it. A message to this process is
 * taken at once. */
void
RsCell_Send(struct rs_cell *cell, struct rs_cell_message *message)
{
    if (message->to == cell->options.self) {
        g_assert(message->kind == RsCell_SEAL_ANSWER);
        RsCell_TakeSealAnswer(cell, message);
        return;
    }
    g_queue_push_tail(&cell->messages, g_memdup2(message, sizeof(*message)));
}

/* Starts a process's part in its cell, without memory of an earlier start. */
struct rs_cell *
RsCell_New(const struct rs_cell_options *options)
{
    g_assert(options->margin_ms < options->lease_ms);
    g_assert(options->self != 0);
    struct rs_cell *cell = g_new0(struct rs_cell, 1);
    cell->options = *options;
    cell->first_step = options->first_step;
    cell->now_ms = options->now_ms;
    cell->fresh_until_ms = options->now_ms + options->lease_ms;
    cell->renew_at_ms = options->now_ms;
    cell->scan_at_ms = INT64_MAX;
    cell->sessions = g_ptr_array_new_with_free_func(RsCell_FreeSession);
    cell->records =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cell->owns =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cell->give_backs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cell->seals =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&cell->messages);
    g_queue_init(&cell->events);
    return cell;
}

/* Frees a cell and what is queued in it. */
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
    g_hash_table_unref(cell->owns);
    g_hash_table_unref(cell->give_backs);
    g_hash_table_unref(cell->seals);
    g_free(cell);
}

/* Frees a message's arrays. */
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

/* A gap since the last call tells that the process was paused. */
static void
advance(struct rs_cell *cell, int64_t now_ms)
{
    if (now_ms - cell->now_ms > cell->options.lease_ms / 2) {
        cell->paused_until_ms = now_ms + cell->options.lease_ms;
    }
    cell->now_ms = MAX(cell->now_ms, now_ms);
}

/* Takes over the roster that the table's row of the cell names. Returns 0, or
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
        bool joins = !RsCell_InRoster(&cell->roster, cell->options.self);
        if (joins && cell->options.first_step > 0) {
            int64_t run_ms = cell->now_ms - cell->options.now_ms;
            int64_t steps_per_s = MAX(cell->options.steps_per_s, 1);
            cell->first_step = cell->options.first_step +
                               (uint32_t)(run_ms * steps_per_s / 1000);
        }
        RsCell_TakeRoster(cell, roster);
    }
    return 0;
}

/* The table was read, whole, after this process started. */
void
RsCell_TableWasRead(struct rs_cell *cell)
{
    cell->table_read = true;
}

/* Does what is due. To be called at RsCell_NextTickMs() and oftener. */
void
RsCell_Tick(struct rs_cell *cell, int64_t now_ms)
{
    advance(cell, now_ms);
    if (cell->scan_at_ms <= cell->now_ms) {
        RsCell_Scan(cell);
    }
    if (cell->renew_at_ms <= cell->now_ms) {
        cell->renew_at_ms = cell->now_ms + cell->options.renew_every_ms;
        for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
            cell->peers[i].due = true;
        }
    }
    RsCell_TickSeals(cell);
}

/* When RsCell_Tick() has something to do next. */
int64_t
RsCell_NextTickMs(const struct rs_cell *cell)
{
    int64_t next_ms = MIN(cell->renew_at_ms, cell->scan_at_ms);
    return MIN(next_ms, RsCell_NextSealMs(cell));
}

/* Takes a message from another process; the caller keeps it. Returns 0 or
 * RsCell_BAD_MESSAGE. */
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
        RsCell_NoteRoster(cell, message->from, message->roster);
        if (RsCell_AnswerRenewal(cell, message, &answer)) {
            RsCell_Send(cell, &answer);
        }
        return 0;
    case RsCell_RENEW_ANSWER:
        RsCell_NoteRoster(cell, message->from, message->roster);
        RsCell_TakeRenewAnswer(cell, message);
        return 0;
    case RsCell_SEAL:
        RsCell_AnswerSeal(cell, message);
        return 0;
    case RsCell_SEAL_ANSWER:
        RsCell_TakeSealAnswer(cell, message);
        RsCell_TickSeals(cell);
        return 0;
    }
    return RsCell_BAD_MESSAGE;
}

/* Takes the next message to send; the caller frees it. False when there is
 * none. */
bool
RsCell_NextMessage(struct rs_cell *cell, struct rs_cell_message *message)
{
    RsCell_Flush(cell);
    struct rs_cell_message *head = g_queue_pop_head(&cell->messages);
    if (head == NULL) {
        return false;
    }
    *message = *head;
    g_free(head);
    return true;
}

/* Takes the next event; false when there is none. */
bool
RsCell_NextEvent(struct rs_cell *cell, struct rs_cell_event *event)
{
    RsCell_Flush(cell);
    struct rs_cell_event *head = g_queue_pop_head(&cell->events);
    if (head == NULL) {
        return false;
    }
    *event = *head;
    g_free(head);
    return true;
}
