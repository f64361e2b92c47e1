/* Sealing: when a slice moves to another cell, a process of the new cell asks
 * the members of the former cell to promise the slice to nobody any more, and
 * waits until none of them can hold it. Only then may the slice be claimed. */

#include <string.h>

#include "cell/state.h"

/* Time after which a seal is sent again to the members that have not answered
 * or still have a promise. It is short, since the move waits for them. */
#define RESEND_MS 40

static void
reset_answers(struct rs_cell_seal *seal)
{
    for (size_t i = 0; i < RsCell_MAX_MEMBERS; i++) {
        seal->member_until_ms[i] = INT64_MAX;
        seal->former_until_ms[i] = INT64_MAX;
    }
}

/* Starts to seal `slice` up to `epoch` at its former cell, whose roster is
 * `former`. RsCell_EVENT_SEALED follows when no member of that cell can hold
 * the slice in these epochs any more. While the seal is under way, a repeated
 * call for the same epoch starts again when the roster is newer, and otherwise
 * does nothing; a call for another epoch, also a lower one, replaces the seal.
 * Returns 0, or RsCell_STALE_ROSTER when the seal for this epoch already uses
 * a newer roster. */
int
RsCell_BeginSeal(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                 uint64_t epoch, const struct rs_cell_roster *former)
{
    RsCell_Tick(cell, now_ms);
    struct rs_cell_seal *seal = g_hash_table_lookup(cell->seals, &slice);
    if (seal != NULL && seal->epoch == epoch) {
        if (former->version < seal->former_cell_roster.version) {
            return RsCell_STALE_ROSTER;
        }
        if (former->version == seal->former_cell_roster.version) {
            return 0;
        }
    }
    seal = g_new0(struct rs_cell_seal, 1);
    seal->slice = slice;
    seal->epoch = epoch;
    seal->former_cell_roster = *former;
    seal->sequence = ++cell->last_seal_sequence;
    seal->next_send_at_ms = cell->now_ms;
    reset_answers(seal);
    g_hash_table_replace(cell->seals, &seal->slice, seal);
    return 0;
}

/* Returns when a majority of the members, and during a roster change also a
 * majority of the former ones, have no promise left; INT64_MAX while too few
 * have answered. A majority is enough, since it shares a member with every
 * majority that a holder needs. RsCell_MajorityUntilMs() returns the latest
 * time T for which a majority of the values are at least T. Of negated values
 * it returns -T, where T is the earliest time by which a majority of the
 * promises have expired. */
static int64_t
sealed_at_ms(const struct rs_cell_seal *seal)
{
    int64_t negated_until_ms[RsCell_MAX_MEMBERS];
    size_t count = seal->former_cell_roster.member_count;
    for (size_t i = 0; i < count; i++) {
        negated_until_ms[i] = -seal->member_until_ms[i];
    }
    int64_t at_ms = -RsCell_MajorityUntilMs(negated_until_ms, count);
    count = seal->former_cell_roster.former_count;
    if (count > 0) {
        for (size_t i = 0; i < count; i++) {
            negated_until_ms[i] = -seal->former_until_ms[i];
        }
        at_ms = MAX(at_ms, -RsCell_MajorityUntilMs(negated_until_ms, count));
    }
    return at_ms;
}

/* Handles a member's answer to a seal. Errors and answers to an earlier
 * request are ignored. The wait in the answer is counted from now, plus the
 * margin for the drift of the member's clock. */
void
RsCell_HandleSealAnswer(struct rs_cell *cell,
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
    for (size_t i = 0; i < seal->former_cell_roster.member_count; i++) {
        if (seal->former_cell_roster.members[i] == answer->from) {
            seal->member_until_ms[i] = MIN(seal->member_until_ms[i], until_ms);
        }
    }
    for (size_t i = 0; i < seal->former_cell_roster.former_count; i++) {
        if (seal->former_cell_roster.former[i] == answer->from) {
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
                                      .roster_version =
                                          seal->former_cell_roster.version,
                                      .sequence = seal->sequence,
                                      .slice = seal->slice,
                                      .epoch = seal->epoch};
    if (to == cell->options.self) {
        RsCell_AnswerSeal(cell, &message);
        return;
    }
    RsCell_Send(cell, &message);
}

/* Sends the seal to the members that have not answered or still have a
 * promise. */
static void
send_seals(struct rs_cell *cell, struct rs_cell_seal *seal)
{
    seal->next_send_at_ms = cell->now_ms + RESEND_MS;
    for (size_t i = 0; i < seal->former_cell_roster.member_count; i++) {
        if (seal->member_until_ms[i] > cell->now_ms) {
            send_seal(cell, seal, seal->former_cell_roster.members[i]);
        }
    }
    for (size_t i = 0; i < seal->former_cell_roster.former_count; i++) {
        if (seal->former_until_ms[i] > cell->now_ms) {
            send_seal(cell, seal, seal->former_cell_roster.former[i]);
        }
    }
}

/* Queues RsCell_EVENT_SEALED for the seals that are complete, and sends the
 * others, for the first time or again, when they are due. */
void
RsCell_UpdateSeals(struct rs_cell *cell)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->seals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_seal *seal = value;
        if (sealed_at_ms(seal) <= cell->now_ms) {
            struct rs_cell_claim claim = {.slice = seal->slice,
                                          .fence.epoch = seal->epoch};
            RsCell_QueueClaimEvent(cell, RsCell_EVENT_SEALED, &claim);
            g_hash_table_iter_remove(&iter);
        }
        else if (seal->next_send_at_ms <= cell->now_ms) {
            send_seals(cell, seal);
        }
    }
}

/* Returns when RsCell_UpdateSeals() must be called next, or INT64_MAX. */
int64_t
RsCell_NextSealUpdateAtMs(const struct rs_cell *cell)
{
    int64_t next_ms = INT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->seals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_cell_seal *seal = value;
        next_ms = MIN(next_ms, MIN(seal->next_send_at_ms, sealed_at_ms(seal)));
    }
    return next_ms;
}
