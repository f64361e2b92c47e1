/* The member role: answers renewals and seals, also those of this process
 * itself, and remembers which slices it has promised to whom. */

#include <string.h>

#include "cell/state.h"
#include "core/id.h"

/* Frees a session; the free function of the session array. */
void
RsCell_FreeSession(void *session)
{
    struct rs_cell_session *self = session;
    g_hash_table_unref(self->excluded);
    g_free(self);
}

static struct rs_cell_session *
find_session(const struct rs_cell *cell, uint64_t id)
{
    for (guint i = 0; i < cell->sessions->len; i++) {
        struct rs_cell_session *session = cell->sessions->pdata[i];
        if (session->id == id) {
            return session;
        }
    }
    return NULL;
}

static void
remove_expired_sessions(struct rs_cell *cell)
{
    for (guint i = cell->sessions->len; i-- > 0;) {
        struct rs_cell_session *session = cell->sessions->pdata[i];
        if (session->until_ms <= cell->now_ms) {
            g_ptr_array_remove_index_fast(cell->sessions, i);
        }
    }
}

/* Returns the session of one start of a holder, added if need be. Two starts
 * of one holder have separate sessions: until the promises to the earlier
 * start expire, its process may still be using the slices. */
static struct rs_cell_session *
find_or_add_session(struct rs_cell *cell, uint64_t holder,
                    uint64_t incarnation)
{
    for (guint i = 0; i < cell->sessions->len; i++) {
        struct rs_cell_session *session = cell->sessions->pdata[i];
        if (session->holder == holder && session->incarnation == incarnation) {
            return session;
        }
    }
    struct rs_cell_session *session = g_new0(struct rs_cell_session, 1);
    session->id =
        RsId_Combine(cell->options.incarnation, ++cell->last_session_number);
    session->holder = holder;
    session->incarnation = incarnation;
    session->excluded =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_ptr_array_add(cell->sessions, session);
    return session;
}

/* Returns the record of a slice, added if need be. The cell owns it. */
struct rs_cell_record *
RsCell_FindOrAddRecord(struct rs_cell *cell, uint64_t slice)
{
    struct rs_cell_record *record = g_hash_table_lookup(cell->records, &slice);
    if (record == NULL) {
        record = g_new0(struct rs_cell_record, 1);
        record->slice = slice;
        g_hash_table_insert(cell->records, &record->slice, record);
    }
    return record;
}

/* Returns when the promise for a slice expires; 0 when there is none. */
static int64_t
promise_until_ms(const struct rs_cell *cell,
                 const struct rs_cell_record *record)
{
    if (record->session == 0) {
        return 0;
    }
    const struct rs_cell_session *session =
        find_session(cell, record->session);
    if (session == NULL) {
        return 0;
    }
    return record->excluded ? record->frozen_until_ms : session->until_ms;
}

/* Returns the time left until `until_ms`, or 0 when it has passed. */
static uint32_t
remaining_ms(const struct rs_cell *cell, int64_t until_ms)
{
    return until_ms > cell->now_ms ? (uint32_t)(until_ms - cell->now_ms) : 0;
}

/* Refuses all claims on the slice up to `epoch` from now on. A promise that is
 * in force for such an epoch keeps its present expiry; renewals no longer
 * extend it, and the answers to them tell the holder so. */
static void
seal_record(struct rs_cell *cell, struct rs_cell_record *record,
            uint64_t epoch)
{
    if (epoch > record->sealed_epoch) {
        record->sealed_epoch = epoch;
    }
    if (record->excluded || record->claim.fence.epoch > epoch ||
        promise_until_ms(cell, record) <= cell->now_ms) {
        return;
    }
    struct rs_cell_session *session = find_session(cell, record->session);
    record->excluded = true;
    record->frozen_until_ms = session->until_ms;
    g_hash_table_add(session->excluded,
                     g_memdup2(&record->slice, sizeof(record->slice)));
}

/* Returns 0, or RsCell_NOT_READY when this member may make no new promise yet;
 * `wait_ms` is how long the claimant should wait. */
static int
check_ready(const struct rs_cell *cell, uint32_t *wait_ms)
{
    int64_t until_ms =
        MAX(cell->startup_wait_until_ms, cell->pause_wait_until_ms);
    if (!cell->table_read) {
        *wait_ms = cell->options.renew_every_ms;
        return RsCell_NOT_READY;
    }
    *wait_ms = remaining_ms(cell, until_ms);
    return *wait_ms > 0 ? RsCell_NOT_READY : 0;
}

/* Returns 0 or RsCell_STALE_FENCE. The claim's fence must be above all that
 * this member has promised for the slice, or equal the highest of these and
 * come again from the same start of the same holder. A new claim's step must
 * also not be below `first_step`, unless its sender already holds the slice by
 * other members' promises; for too low a step, the answer's `highest` gets the
 * fence just below `first_step`, so that the holder claims with that step. */
static int
check_fence(const struct rs_cell *cell, const struct rs_cell_record *record,
            const struct rs_cell_session *session,
            struct rs_cell_claim_answer *answer)
{
    const struct rs_cell_claim *claim = &answer->claim;
    int order = RsCell_CompareFence(&claim->fence, &record->claim.fence);
    bool same_holder = record->holder == session->holder &&
                       record->incarnation == session->incarnation;
    if (order < 0 || (order == 0 && !same_holder)) {
        return RsCell_STALE_FENCE;
    }
    if (!claim->held && order != 0 && claim->fence.step < cell->first_step) {
        answer->highest.fence.epoch = claim->fence.epoch;
        answer->highest.fence.step = cell->first_step - 1;
        return RsCell_STALE_FENCE;
    }
    return 0;
}

/* Decides whether to promise a slice to a holder. Returns 0 or an
 * rs_cell_error, and sets the answer's `holder` and, where they apply, its
 * `wait_ms` and the fence of `highest`. When another session has a promise in
 * force in a lower epoch, seals the slice up to that epoch: the promise is no
 * longer extended, and later claims up to that epoch are refused. */
static int
decide_claim(struct rs_cell *cell, struct rs_cell_record *record,
             const struct rs_cell_session *session,
             struct rs_cell_claim_answer *answer)
{
    const struct rs_cell_claim *claim = &answer->claim;
    int64_t until_ms = promise_until_ms(cell, record);
    bool live = until_ms > cell->now_ms;
    bool same_session = live && record->session == session->id;
    answer->holder = live ? record->holder : 0;
    if (claim->fence.epoch <= record->sealed_epoch) {
        return RsCell_SEALED;
    }
    if (same_session &&
        RsCell_CompareFence(&claim->fence, &record->claim.fence) == 0) {
        return 0;
    }
    if (claim->fence.epoch < record->table_epoch) {
        return RsCell_SUPERSEDED;
    }
    if (live && !same_session &&
        claim->fence.epoch >= record->claim.fence.epoch) {
        answer->wait_ms = remaining_ms(cell, until_ms);
        if (claim->fence.epoch > record->claim.fence.epoch) {
            seal_record(cell, record, record->claim.fence.epoch);
        }
        return RsCell_HELD_BY_OTHER;
    }
    int error = check_fence(cell, record, session, answer);
    if (error != 0) {
        return error;
    }
    return check_ready(cell, &answer->wait_ms);
}

/* Answers one claim of a renewal, and records the promise when it is made. */
static void
answer_claim(struct rs_cell *cell, struct rs_cell_session *session,
             const struct rs_cell_claim *claim,
             struct rs_cell_claim_answer *answer)
{
    struct rs_cell_record *record = RsCell_FindOrAddRecord(cell, claim->slice);
    memset(answer, 0, sizeof(*answer));
    answer->claim = *claim;
    answer->highest = record->claim;
    answer->highest.slice = claim->slice;
    answer->result = decide_claim(cell, record, session, answer);
    if (answer->result != 0) {
        return;
    }
    record->claim = *claim;
    record->holder = session->holder;
    record->incarnation = session->incarnation;
    record->session = session->id;
    record->excluded = false;
    g_hash_table_remove(session->excluded, &claim->slice);
    answer->holder = session->holder;
    answer->highest = *claim;
}

/* Handles one release of a renewal: ends the promise and, if the sender is
 * another process, queues RsCell_EVENT_RELEASED. Leaves the promise as it is
 * when the slice has been promised to another session or with a higher fence
 * since. */
static void
handle_release(struct rs_cell *cell, struct rs_cell_session *session,
               const struct rs_cell_claim *release)
{
    struct rs_cell_record *record =
        RsCell_FindOrAddRecord(cell, release->slice);
    g_hash_table_remove(session->excluded, &release->slice);
    if (record->session != session->id ||
        RsCell_CompareFence(&record->claim.fence, &release->fence) > 0) {
        return;
    }
    record->session = 0;
    record->excluded = false;
    record->claim.position = release->position;
    if (session->holder != cell->options.self) {
        struct rs_cell_event event = {.kind = RsCell_EVENT_RELEASED,
                                      .claim = record->claim,
                                      .holder = session->holder};
        RsCell_QueueEvent(cell, &event);
    }
}

/* Returns 0, or the error to answer a renewal with: this process is not in its
 * own roster, or the sender or its roster version is not acceptable. */
static int
check_roster(const struct rs_cell *cell, const struct rs_cell_message *renewal)
{
    if (!RsCell_InRoster(&cell->roster, cell->options.self)) {
        return RsCell_NOT_READY;
    }
    if (renewal->roster_version < cell->roster.version) {
        return RsCell_STALE_ROSTER;
    }
    if (renewal->roster_version == cell->roster.version &&
        !RsCell_InRoster(&cell->roster, renewal->from)) {
        return RsCell_UNKNOWN_MEMBER;
    }
    return 0;
}

static void
list_excluded(const struct rs_cell_session *session,
              struct rs_cell_message *answer)
{
    GHashTableIter iter;
    gpointer slice;
    answer->excluded = g_new(uint64_t, g_hash_table_size(session->excluded));
    g_hash_table_iter_init(&iter, session->excluded);
    while (g_hash_table_iter_next(&iter, &slice, NULL)) {
        answer->excluded[answer->excluded_count++] = *(uint64_t *)slice;
    }
}

/* Handles a renewal and stores the answer, whose arrays the caller frees with
 * RsCell_FreeMessage(). Returns false when the renewal is a repeat or older
 * than one already handled; there is then nothing to send or free. */
bool
RsCell_AnswerRenewal(struct rs_cell *cell,
                     const struct rs_cell_message *renewal,
                     struct rs_cell_message *answer)
{
    memset(answer, 0, sizeof(*answer));
    answer->kind = RsCell_RENEW_ANSWER;
    answer->from = cell->options.self;
    answer->to = renewal->from;
    answer->roster_version = cell->roster.version;
    answer->sequence = renewal->sequence;
    answer->result = check_roster(cell, renewal);
    if (answer->result != 0) {
        return true;
    }
    remove_expired_sessions(cell);
    struct rs_cell_session *session =
        find_or_add_session(cell, renewal->from, renewal->incarnation);
    if (renewal->sequence <= session->last_sequence) {
        return false;
    }
    session->last_sequence = renewal->sequence;
    session->until_ms = cell->now_ms + cell->options.lease_ms;
    answer->incarnation = session->id;
    for (size_t i = 0; i < renewal->release_count; i++) {
        handle_release(cell, session, &renewal->releases[i]);
    }
    answer->answer_count = renewal->claim_count;
    answer->answers =
        g_new0(struct rs_cell_claim_answer, renewal->claim_count);
    for (size_t i = 0; i < renewal->claim_count; i++) {
        answer_claim(cell, session, &renewal->claims[i], &answer->answers[i]);
    }
    list_excluded(session, answer);
    return true;
}

/* Handles a seal: refuses claims on the slice up to the seal's epoch from now
 * on, answers how long a promise in such an epoch may still cover the slice,
 * and requests the slice's release if this process holds the slice. A member
 * that has just started, has not read the table, or has a newer roster than
 * the seal's only answers with an error, since the sender must not count such
 * a member. */
void
RsCell_AnswerSeal(struct rs_cell *cell, const struct rs_cell_message *seal)
{
    struct rs_cell_message answer = {.kind = RsCell_SEAL_ANSWER,
                                     .from = cell->options.self,
                                     .to = seal->from,
                                     .sequence = seal->sequence,
                                     .slice = seal->slice,
                                     .epoch = seal->epoch};
    if (!cell->table_read || cell->now_ms < cell->startup_wait_until_ms) {
        answer.result = RsCell_NOT_READY;
    }
    else if (seal->roster_version < cell->roster.version) {
        answer.result = RsCell_STALE_ROSTER;
    }
    else {
        struct rs_cell_record *record =
            RsCell_FindOrAddRecord(cell, seal->slice);
        seal_record(cell, record, seal->epoch);
        if (record->claim.fence.epoch <= seal->epoch) {
            answer.wait_ms =
                remaining_ms(cell, promise_until_ms(cell, record));
            answer.released =
                record->claim.fence.epoch > 0 && record->session == 0;
        }
        RsCell_RequestRelease(cell, seal->slice, seal->epoch);
    }
    RsCell_Send(cell, &answer);
}

/* Records the epoch of a slice's row in the table. This member makes no new
 * promise for a lower epoch. */
void
RsCell_RecordTableEpoch(struct rs_cell *cell, uint64_t slice, uint64_t epoch)
{
    struct rs_cell_record *record = RsCell_FindOrAddRecord(cell, slice);
    record->table_epoch = MAX(record->table_epoch, epoch);
}

/* Stores what this member knows of a slice. Returns false when this member
 * knows of no claim on the slice. */
bool
RsCell_GetView(const struct rs_cell *cell, int64_t now_ms, uint64_t slice,
               struct rs_cell_view *view)
{
    const struct rs_cell_record *record =
        g_hash_table_lookup(cell->records, &slice);
    if (record == NULL || record->claim.fence.epoch == 0) {
        return false;
    }
    view->claim = record->claim;
    view->until_ms = promise_until_ms(cell, record);
    view->holder = view->until_ms > now_ms ? record->holder : 0;
    return true;
}
