/* The member's side: what it promises to whom. */

#include <string.h>

#include "cell/state.h"
#include "core/id.h"

/* Frees a session. */
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
drop_lapsed_sessions(struct rs_cell *cell)
{
    for (guint i = cell->sessions->len; i-- > 0;) {
        struct rs_cell_session *session = cell->sessions->pdata[i];
        if (session->until_ms <= cell->now_ms) {
            g_ptr_array_remove_index_fast(cell->sessions, i);
        }
    }
}

/* Two starts of one holder have two sessions: the earlier one may still run
 * somewhere until it lapses. */
static struct rs_cell_session *
open_session(struct rs_cell *cell, uint64_t holder, uint64_t incarnation)
{
    for (guint i = 0; i < cell->sessions->len; i++) {
        struct rs_cell_session *session = cell->sessions->pdata[i];
        if (session->holder == holder && session->incarnation == incarnation) {
            return session;
        }
    }
    struct rs_cell_session *session = g_new0(struct rs_cell_session, 1);
    session->id =
        RsId_Combine(cell->options.incarnation, ++cell->next_session);
    session->holder = holder;
    session->incarnation = incarnation;
    session->excluded =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_ptr_array_add(cell->sessions, session);
    return session;
}

/* Returns the record of a slice, made if need be. */
struct rs_cell_record *
RsCell_Record(struct rs_cell *cell, uint64_t slice)
{
    struct rs_cell_record *record = g_hash_table_lookup(cell->records, &slice);
    if (record == NULL) {
        record = g_new0(struct rs_cell_record, 1);
        record->slice = slice;
        g_hash_table_insert(cell->records, &record->slice, record);
    }
    return record;
}

static int64_t
promised_until(const struct rs_cell *cell, const struct rs_cell_record *record)
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

static uint32_t
wait_until(const struct rs_cell *cell, int64_t until_ms)
{
    return until_ms > cell->now_ms ? (uint32_t)(until_ms - cell->now_ms) : 0;
}

/* From now on no renewal extends a promise of an epoch up to `epoch`. */
static void
seal_record(struct rs_cell *cell, struct rs_cell_record *record,
            uint64_t epoch)
{
    if (epoch > record->sealed_epoch) {
        record->sealed_epoch = epoch;
    }
    if (record->excluded || record->claim.fence.epoch > epoch ||
        promised_until(cell, record) <= cell->now_ms) {
        return;
    }
    struct rs_cell_session *session = find_session(cell, record->session);
    record->excluded = true;
    record->frozen_until_ms = session->until_ms;
    g_hash_table_add(session->excluded,
                     g_memdup2(&record->slice, sizeof(record->slice)));
}

static int
check_ready(const struct rs_cell *cell, uint32_t *wait_ms)
{
    int64_t until_ms = MAX(cell->fresh_until_ms, cell->paused_until_ms);
    if (!cell->table_read) {
        *wait_ms = cell->options.renew_every_ms;
        return RsCell_NOT_READY;
    }
    *wait_ms = wait_until(cell, until_ms);
    return *wait_ms > 0 ? RsCell_NOT_READY : 0;
}

static int
check_fence(const struct rs_cell *cell, const struct rs_cell_record *record,
            const struct rs_cell_session *session,
            struct rs_cell_claim_answer *answer)
{
    const struct rs_cell_claim *claim = &answer->claim;
    int order = RsCell_CompareFence(&claim->fence, &record->claim.fence);
    bool same = record->holder == session->holder &&
                record->incarnation == session->incarnation;
    if (order < 0 || (order == 0 && !same)) {
        return RsCell_STALE_FENCE;
    }
    if (!claim->held && order != 0 && claim->fence.step < cell->first_step) {
        answer->highest.fence.epoch = claim->fence.epoch;
        answer->highest.fence.step = cell->first_step - 1;
        return RsCell_STALE_FENCE;
    }
    return 0;
}

static int
judge_claim(struct rs_cell *cell, struct rs_cell_record *record,
            const struct rs_cell_session *session,
            struct rs_cell_claim_answer *answer)
{
    const struct rs_cell_claim *claim = &answer->claim;
    int64_t until_ms = promised_until(cell, record);
    bool live = until_ms > cell->now_ms;
    bool own = live && record->session == session->id;
    answer->holder = live ? record->holder : 0;
    if (claim->fence.epoch <= record->sealed_epoch) {
        return RsCell_SEALED;
    }
    if (own && RsCell_CompareFence(&claim->fence, &record->claim.fence) == 0) {
        return 0;
    }
    if (claim->fence.epoch < record->table_epoch) {
        return RsCell_SUPERSEDED;
    }
    if (live && !own && claim->fence.epoch >= record->claim.fence.epoch) {
        answer->wait_ms = wait_until(cell, until_ms);
        if (claim->fence.epoch > record->claim.fence.epoch) {
            seal_record(cell, record, record->claim.fence.epoch);
        }
        return RsCell_HELD;
    }
    int error = check_fence(cell, record, session, answer);
    if (error != 0) {
        return error;
    }
    return check_ready(cell, &answer->wait_ms);
}

static void
answer_claim(struct rs_cell *cell, struct rs_cell_session *session,
             const struct rs_cell_claim *claim,
             struct rs_cell_claim_answer *answer)
{
    struct rs_cell_record *record = RsCell_Record(cell, claim->slice);
    memset(answer, 0, sizeof(*answer));
    answer->claim = *claim;
    answer->highest = record->claim;
    answer->highest.slice = claim->slice;
    answer->result = judge_claim(cell, record, session, answer);
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

static void
take_release(struct rs_cell *cell, struct rs_cell_session *session,
             const struct rs_cell_claim *release)
{
    struct rs_cell_record *record = RsCell_Record(cell, release->slice);
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
        RsCell_RaiseEvent(cell, &event);
    }
}

static int
check_roster(const struct rs_cell *cell, const struct rs_cell_message *renewal)
{
    if (!RsCell_InRoster(&cell->roster, cell->options.self)) {
        return RsCell_NOT_READY;
    }
    if (renewal->roster < cell->roster.version) {
        return RsCell_STALE_ROSTER;
    }
    if (renewal->roster == cell->roster.version &&
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

/* Answers a renewal at the present time. Returns false when there is nothing
 * to answer: it is a repeat, or older than one already seen. */
bool
RsCell_AnswerRenewal(struct rs_cell *cell,
                     const struct rs_cell_message *renewal,
                     struct rs_cell_message *answer)
{
    memset(answer, 0, sizeof(*answer));
    answer->kind = RsCell_RENEW_ANSWER;
    answer->from = cell->options.self;
    answer->to = renewal->from;
    answer->roster = cell->roster.version;
    answer->sequence = renewal->sequence;
    answer->result = check_roster(cell, renewal);
    if (answer->result != 0) {
        return true;
    }
    drop_lapsed_sessions(cell);
    struct rs_cell_session *session =
        open_session(cell, renewal->from, renewal->incarnation);
    if (renewal->sequence <= session->last_sequence) {
        return false;
    }
    session->last_sequence = renewal->sequence;
    session->until_ms = cell->now_ms + cell->options.lease_ms;
    answer->incarnation = session->id;
    for (size_t i = 0; i < renewal->release_count; i++) {
        take_release(cell, session, &renewal->releases[i]);
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

/* Marks a slice as given up and says for how long a promise made before may
 * still cover it. A member without memory, or with a newer roster than the
 * claimant's, must not count. */
void
RsCell_AnswerSeal(struct rs_cell *cell, const struct rs_cell_message *seal)
{
    struct rs_cell_message answer = {.kind = RsCell_SEAL_ANSWER,
                                     .from = cell->options.self,
                                     .to = seal->from,
                                     .sequence = seal->sequence,
                                     .slice = seal->slice,
                                     .epoch = seal->epoch};
    if (!cell->table_read || cell->now_ms < cell->fresh_until_ms) {
        answer.result = RsCell_NOT_READY;
    }
    else if (seal->roster < cell->roster.version) {
        answer.result = RsCell_STALE_ROSTER;
    }
    else {
        struct rs_cell_record *record = RsCell_Record(cell, seal->slice);
        seal_record(cell, record, seal->epoch);
        if (record->claim.fence.epoch <= seal->epoch) {
            answer.wait_ms = wait_until(cell, promised_until(cell, record));
            answer.released =
                record->claim.fence.epoch > 0 && record->session == 0;
        }
        RsCell_WantBack(cell, seal->slice, seal->epoch);
    }
    RsCell_Send(cell, &answer);
}

/* Remembers the epoch that the table's row of a slice has: no lower one is
 * promised anew. */
void
RsCell_LearnEpoch(struct rs_cell *cell, uint64_t slice, uint64_t epoch)
{
    struct rs_cell_record *record = RsCell_Record(cell, slice);
    record->table_epoch = MAX(record->table_epoch, epoch);
}

/* Says what this member knows of a slice; false when it knows no claim. */
bool
RsCell_Look(const struct rs_cell *cell, int64_t now_ms, uint64_t slice,
            struct rs_cell_view *view)
{
    const struct rs_cell_record *record =
        g_hash_table_lookup(cell->records, &slice);
    if (record == NULL || record->claim.fence.epoch == 0) {
        return false;
    }
    view->claim = record->claim;
    view->until_ms = promised_until(cell, record);
    view->holder = view->until_ms > now_ms ? record->holder : 0;
    return true;
}
