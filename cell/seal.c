/* The claimant's side of a move between cells: waiting until the former cell
 * can no longer serve the slice. */

#include <string.h>

#include "cell/state.h"

#define RESEND_MS 40 /* a move waits for the answer */

static void
clear_answers(struct rs_cell_seal *seal)
{
    for (size_t i = 0; i < RsCell_MAX_MEMBERS; i++) {
        seal->member_until_ms[i] = INT64_MAX;
        seal->former_until_ms[i] = INT64_MAX;
    }
}

/* Begins to seal `slice` up to `epoch` at the cell that had it; the event
 * RsCell_EVENT_SEALED follows when none of its members can hold it any more.
 * Repeating it with a newer roster starts anew, else it does nothing. Returns
 * 0, or RsCell_STALE_ROSTER when a newer roster is in use already. */
int
RsCell_BeginSeal(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                 uint64_t epoch, const struct rs_cell_roster *former)
{
    RsCell_Tick(cell, now_ms);
    struct rs_cell_seal *seal = g_hash_table_lookup(cell->seals, &slice);
    if (seal != NULL && seal->epoch == epoch) {
        if (former->version < seal->former.version) {
            return RsCell_STALE_ROSTER;
        }
        if (former->version == seal->former.version) {
            return 0;
        }
    }
    seal = g_new0(struct rs_cell_seal, 1);
    seal->slice = slice;
    seal->epoch = epoch;
    seal->former = *former;
    seal->sequence = ++cell->next_seal;
    seal->send_at_ms = cell->now_ms;
    clear_answers(seal);
    g_hash_table_replace(cell->seals, &seal->slice, seal);
    return 0;
}

/* When a majority of both sets is known to have nothing promised any more:
 * any majority shares a member with the one that a holder needs. */
static int64_t
sealed_at(const struct rs_cell_seal *seal)
{
    int64_t left[RsCell_MAX_MEMBERS];
    size_t count = seal->former.member_count;
    for (size_t i = 0; i < count; i++) {
        left[i] = -seal->member_until_ms[i];
    }
    int64_t at_ms = -RsCell_Majority(left, count);
    count = seal->former.former_count;
    if (count > 0) {
        for (size_t i = 0; i < count; i++) {
            left[i] = -seal->former_until_ms[i];
        }
        at_ms = MAX(at_ms, -RsCell_Majority(left, count));
    }
    return at_ms;
}

/* Takes a member's word. Only one to this very seal counts; the wait runs
 * from its receipt, and with the margin since it was read off the member's
 * clock. */
void
RsCell_TakeSealAnswer(struct rs_cell *cell,
                      const struct rs_cell_message *answer)
{
    struct rs_cell_seal *seal =
        g_hash_table_lookup(cell->seals, &answer->slice);
    if (seal == NULL || answer->result != 0 ||
        seal->sequence != answer->sequence || seal->epoch != answer->epoch) {
        return;
    }
    int64_t until_ms = cell->now_ms;
    if (answer->wait_ms > 0) {
        until_ms += (int64_t)answer->wait_ms + cell->options.margin_ms;
    }
    for (size_t i = 0; i < seal->former.member_count; i++) {
        if (seal->former.members[i] == answer->from) {
            seal->member_until_ms[i] = MIN(seal->member_until_ms[i], until_ms);
        }
    }
    for (size_t i = 0; i < seal->former.former_count; i++) {
        if (seal->former.former[i] == answer->from) {
            seal->former_until_ms[i] = MIN(seal->former_until_ms[i], until_ms);
        }
    }
}

static void
send_seal(struct rs_cell *cell, const struct rs_cell_seal *seal, uint64_t to)
{
    struct rs_cell_message message = {.kind = RsCell_SEAL,
                                      .from = cell->options.self,
                                      .to = to,
                                      .roster = seal->former.version,
                                      .sequence = seal->sequence,
                                      .slice = seal->slice,
                                      .epoch = seal->epoch};
    if (to == cell->options.self) {
        RsCell_AnswerSeal(cell, &message);
        return;
    }
    RsCell_Send(cell, &message);
}

static void
send_seals(struct rs_cell *cell, struct rs_cell_seal *seal)
{
    seal->send_at_ms = cell->now_ms + RESEND_MS;
    for (size_t i = 0; i < seal->former.member_count; i++) {
        if (seal->member_until_ms[i] > cell->now_ms) {
            send_seal(cell, seal, seal->former.members[i]);
        }
    }
    for (size_t i = 0; i < seal->former.former_count; i++) {
        if (seal->former_until_ms[i] > cell->now_ms) {
            send_seal(cell, seal, seal->former.former[i]);
        }
    }
}

/* Sends what is due again and tells of seals that are complete. */
void
RsCell_TickSeals(struct rs_cell *cell)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->seals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_seal *seal = value;
        if (sealed_at(seal) <= cell->now_ms) {
            struct rs_cell_claim claim = {.slice = seal->slice,
                                          .fence.epoch = seal->epoch};
            RsCell_Raise(cell, RsCell_EVENT_SEALED, &claim);
            g_hash_table_iter_remove(&iter);
        }
        else if (seal->send_at_ms <= cell->now_ms) {
            send_seals(cell, seal);
        }
    }
}

/* When RsCell_TickSeals() has something to do next. */
int64_t
RsCell_NextSealMs(const struct rs_cell *cell)
{
    int64_t next_ms = INT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->seals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_cell_seal *seal = value;
        next_ms = MIN(next_ms, MIN(seal->send_at_ms, sealed_at(seal)));
    }
    return next_ms;
}
