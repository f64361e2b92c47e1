/* The holder's side: claims, renewals and what they add up to. */

#include <string.h>

#include "cell/state.h"

#define NOT_PROMISED_MS INT64_MIN

static uint32_t
peer_bit(const struct rs_cell *cell, const struct rs_cell_peer *peer)
{
    return 1u << (uint32_t)(peer - cell->peers);
}

static struct rs_cell_peer *
find_peer(struct rs_cell *cell, uint64_t id)
{
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        if (id != 0 && cell->peers[i].id == id) {
            return &cell->peers[i];
        }
    }
    return NULL;
}

/* Until when a majority of the members, and of the former ones while a
 * change is under way, have promised to those in `acks`. */
static int64_t
promised_until(const struct rs_cell *cell, uint32_t acks)
{
    int64_t members[RsCell_MAX_PEERS];
    int64_t former[RsCell_MAX_PEERS];
    size_t member_count = 0;
    size_t former_count = 0;
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        const struct rs_cell_peer *peer = &cell->peers[i];
        int64_t until_ms = acks & (1u << i) ? peer->until_ms : NOT_PROMISED_MS;
        if (peer->id != 0 && peer->member) {
            members[member_count++] = until_ms;
        }
        if (peer->id != 0 && peer->former) {
            former[former_count++] = until_ms;
        }
    }
    int64_t until_ms = RsCell_Majority(members, member_count);
    if (former_count > 0) {
        until_ms = MIN(until_ms, RsCell_Majority(former, former_count));
    }
    return until_ms;
}

static int64_t
own_until(const struct rs_cell *cell, const struct rs_cell_own *own)
{
    return MAX(promised_until(cell, own->acks), own->kept_until_ms);
}

static void
clear_bit(struct rs_cell *cell, uint32_t bit)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->owns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_own *own = value;
        own->acks &= ~bit;
        own->refusals &= ~bit;
    }
    g_hash_table_iter_init(&iter, cell->give_backs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_give_back *give_back = value;
        give_back->waiting &= ~bit;
        if (give_back->waiting == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    cell->scan_at_ms = cell->now_ms;
}

/* What is held stays held until the promises made so far lapse: those who
 * made them keep them whatever the roster says, and the former majority is
 * counted for as long as they may live. */
static void
keep_promises(struct rs_cell *cell)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->owns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_own *own = value;
        if (own->held) {
            own->kept_until_ms = own_until(cell, own);
        }
    }
}

static struct rs_cell_peer *
add_peer(struct rs_cell *cell, uint64_t id)
{
    struct rs_cell_peer *peer = find_peer(cell, id);
    for (size_t i = 0; peer == NULL && i < RsCell_MAX_PEERS; i++) {
        if (cell->peers[i].id == 0) {
            peer = &cell->peers[i];
            memset(peer, 0, sizeof(*peer));
            peer->id = id;
            peer->until_ms = NOT_PROMISED_MS;
        }
    }
    g_assert(peer != NULL);
    peer->due = true;
    return peer;
}

/* Takes over a newer roster; members that stay keep their place. */
void
RsCell_TakeRoster(struct rs_cell *cell, const struct rs_cell_roster *roster)
{
    keep_promises(cell);
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        struct rs_cell_peer *peer = &cell->peers[i];
        peer->member = false;
        peer->former = false;
        peer->roster_known = false;
        if (peer->id != 0 && !RsCell_InRoster(roster, peer->id)) {
            clear_bit(cell, 1u << i);
            peer->id = 0;
        }
    }
    for (size_t i = 0; i < roster->member_count; i++) {
        add_peer(cell, roster->members[i])->member = true;
    }
    for (size_t i = 0; i < roster->former_count; i++) {
        add_peer(cell, roster->former[i])->former = true;
    }
    cell->roster = *roster;
    RsCell_NoteRoster(cell, cell->options.self, roster->version);
    cell->scan_at_ms = cell->now_ms;
}

/* Notes that a member has told of its roster's version. */
void
RsCell_NoteRoster(struct rs_cell *cell, uint64_t from, uint64_t roster)
{
    struct rs_cell_peer *peer = find_peer(cell, from);
    if (peer != NULL && !peer->roster_known &&
        roster >= cell->roster.version) {
        peer->roster_known = true;
        peer->roster_since_ms = cell->now_ms;
    }
}

/* Whether a roster change is complete, so that the row may be rewritten
 * without the former members: a majority of them refuses every older roster,
 * and what they promised before has lapsed. */
bool
RsCell_ChangeDone(const struct rs_cell *cell, int64_t now_ms)
{
    size_t since = 0;
    int64_t wait_ms =
        (int64_t)cell->options.lease_ms + cell->options.margin_ms;
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        const struct rs_cell_peer *peer = &cell->peers[i];
        if (peer->id != 0 && peer->former && peer->roster_known &&
            now_ms >= peer->roster_since_ms + wait_ms) {
            since++;
        }
    }
    return cell->roster.former_count > 0 &&
           since > cell->roster.former_count / 2;
}

static void
set_due(struct rs_cell *cell)
{
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        cell->peers[i].due = true;
    }
}

static void
give_back(struct rs_cell *cell, const struct rs_cell_claim *claim)
{
    struct rs_cell_give_back *entry = g_new0(struct rs_cell_give_back, 1);
    entry->claim = *claim;
    entry->claim.held = false;
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        if (cell->peers[i].id != 0) {
            entry->waiting |= 1u << i;
        }
    }
    g_hash_table_replace(cell->give_backs, &entry->claim.slice, entry);
    set_due(cell);
}

static void
drop_own(struct rs_cell *cell, struct rs_cell_own *own, uint32_t next_position)
{
    struct rs_cell_claim claim = own->claim;
    claim.position = next_position;
    g_hash_table_remove(cell->owns, &claim.slice);
    give_back(cell, &claim);
}

/* No two claims ask for the same fence: a late answer to the one that was
 * given up would count for the other. */
static void
use_fence(struct rs_cell *cell, struct rs_cell_own *own)
{
    struct rs_cell_record *record = RsCell_Record(cell, own->claim.slice);
    struct rs_cell_fence *fence = &own->claim.fence;
    if (record->used.epoch == fence->epoch) {
        fence->step = MAX(fence->step, record->used.step + 1);
    }
    record->used = *fence;
}

static void
start_claim(struct rs_cell *cell, struct rs_cell_own *own)
{
    use_fence(cell, own);
    own->claim.held = false;
    own->acks = 0;
    own->refusals = 0;
    own->held = false;
    own->wanted = false;
    own->error = RsCell_NOT_READY;
    own->holder = 0;
    own->kept_until_ms = NOT_PROMISED_MS;
    own->retry_at_ms = cell->now_ms + cell->options.renew_every_ms;
    cell->scan_at_ms = MIN(cell->scan_at_ms, own->give_up_ms);
    set_due(cell);
}

/* Begins to claim a slice under an epoch; events tell how it ends. Repeating
 * it for what is held or claimed already does nothing. A higher epoch ends
 * the tenure under a lower one. Returns 0, RsCell_UNKNOWN_MEMBER when this
 * process is no member, or RsCell_SUPERSEDED. */
int
RsCell_Claim(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
             uint64_t epoch, uint32_t position)
{
    RsCell_Tick(cell, now_ms);
    const struct rs_cell_peer *self = find_peer(cell, cell->options.self);
    if (self == NULL || !self->member) {
        return RsCell_UNKNOWN_MEMBER;
    }
    const struct rs_cell_record *record = RsCell_Record(cell, slice);
    if (epoch == 0 || epoch < record->claim.fence.epoch ||
        epoch < record->table_epoch) {
        return RsCell_SUPERSEDED;
    }
    struct rs_cell_own *own = g_hash_table_lookup(cell->owns, &slice);
    if (own != NULL && own->claim.fence.epoch >= epoch) {
        return 0;
    }
    if (own == NULL) {
        own = g_new0(struct rs_cell_own, 1);
        own->claim.slice = slice;
        g_hash_table_insert(cell->owns, &own->claim.slice, own);
    }
    else if (own->held) {
        RsCell_Raise(cell, RsCell_EVENT_LOST, &own->claim);
    }
    own->claim.fence.epoch = epoch;
    own->claim.fence.step = cell->first_step;
    if (record->claim.fence.epoch == epoch) {
        own->claim.fence.step =
            MAX(cell->first_step, record->claim.fence.step + 1);
    }
    own->claim.position = position;
    own->give_up_ms = cell->now_ms + cell->options.lease_ms;
    g_hash_table_remove(cell->give_backs, &slice);
    start_claim(cell, own);
    return 0;
}

/* Gives a slice back, or ends a claim: this process must not use it any more.
 * `next_position` is where the next holder goes on in the succession. */
void
RsCell_Release(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
               uint32_t next_position)
{
    RsCell_Tick(cell, now_ms);
    struct rs_cell_own *own = g_hash_table_lookup(cell->owns, &slice);
    if (own != NULL) {
        drop_own(cell, own, next_position);
    }
}

/* Gives back all that this process holds or claims. */
void
RsCell_ReleaseAll(struct rs_cell *cell, int64_t now_ms)
{
    RsCell_Tick(cell, now_ms);
    GList *owns = g_hash_table_get_values(cell->owns);
    for (GList *at = owns; at != NULL; at = at->next) {
        struct rs_cell_own *own = at->data;
        drop_own(cell, own, own->claim.position);
    }
    g_list_free(owns);
}

/* Whether this process holds a slice now. To be asked at each use; `claim`
 * and `until_ms` may be NULL. */
bool
RsCell_Holds(const struct rs_cell *cell, int64_t now_ms, uint64_t slice,
             struct rs_cell_claim *claim, int64_t *until_ms)
{
    const struct rs_cell_own *own = g_hash_table_lookup(cell->owns, &slice);
    if (own == NULL || !own->held) {
        return false;
    }
    int64_t own_until_ms = own_until(cell, own);
    if (own_until_ms <= now_ms) {
        return false;
    }
    if (claim != NULL) {
        *claim = own->claim;
    }
    if (until_ms != NULL) {
        *until_ms = own_until_ms;
    }
    return true;
}

/* Whether a claim on the slice is under way and not decided. */
bool
RsCell_Claiming(const struct rs_cell *cell, uint64_t slice)
{
    const struct rs_cell_own *own = g_hash_table_lookup(cell->owns, &slice);
    return own != NULL && !own->held;
}

/* A later epoch wants a slice that this process has under a lower one. */
void
RsCell_WantBack(struct rs_cell *cell, uint64_t slice, uint64_t epoch)
{
    struct rs_cell_own *own = g_hash_table_lookup(cell->owns, &slice);
    if (own != NULL && own->held && !own->wanted &&
        own->claim.fence.epoch <= epoch) {
        own->wanted = true;
        RsCell_Raise(cell, RsCell_EVENT_WANTED, &own->claim);
    }
}

static void
fail_claim(struct rs_cell *cell, struct rs_cell_own *own)
{
    struct rs_cell_event event = {.kind = RsCell_EVENT_REFUSED,
                                  .claim = own->claim,
                                  .holder = own->holder,
                                  .error = own->error,
                                  .retry_at_ms = own->retry_at_ms};
    drop_own(cell, own, own->claim.position);
    RsCell_RaiseEvent(cell, &event);
}

static bool
majority_refused(const struct rs_cell *cell, uint32_t refusals)
{
    size_t members = 0;
    size_t former = 0;
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        if (refusals & (1u << i)) {
            members += cell->peers[i].member ? 1 : 0;
            former += cell->peers[i].former ? 1 : 0;
        }
    }
    size_t member_count = cell->roster.member_count;
    size_t former_count = cell->roster.former_count;
    return member_count - members <= member_count / 2 ||
           (former_count > 0 && former_count - former <= former_count / 2);
}

static void
judge_own(struct rs_cell *cell, struct rs_cell_own *own)
{
    int64_t until_ms = own_until(cell, own);
    if (until_ms > cell->now_ms) {
        cell->scan_at_ms = MIN(cell->scan_at_ms, until_ms);
        if (!own->held) {
            own->held = true;
            own->claim.held = true;
            RsCell_Raise(cell, RsCell_EVENT_HELD, &own->claim);
        }
        return;
    }
    if (own->held) {
        RsCell_Raise(cell, RsCell_EVENT_LOST, &own->claim);
        drop_own(cell, own, own->claim.position);
        return;
    }
    if (own->give_up_ms <= cell->now_ms ||
        majority_refused(cell, own->refusals)) {
        fail_claim(cell, own);
        return;
    }
    cell->scan_at_ms = MIN(cell->scan_at_ms, own->give_up_ms);
}

/* Judges all claims at the present time and sets the time of the next scan. */
void
RsCell_Scan(struct rs_cell *cell)
{
    cell->scan_at_ms = INT64_MAX;
    GList *owns = g_hash_table_get_values(cell->owns);
    for (GList *at = owns; at != NULL; at = at->next) {
        judge_own(cell, at->data);
    }
    g_list_free(owns);
}

static void
raise_step(struct rs_cell *cell, struct rs_cell_own *own,
           const struct rs_cell_claim *highest)
{
    own->claim.fence.step = highest->fence.step + 1;
    own->claim.position = MAX(own->claim.position, highest->position);
    start_claim(cell, own);
}

static void
take_refusal(struct rs_cell *cell, const struct rs_cell_peer *peer,
             struct rs_cell_own *own,
             const struct rs_cell_claim_answer *answer)
{
    uint64_t epoch = own->claim.fence.epoch;
    if (own->held || answer->result == RsCell_NOT_READY) {
        return;
    }
    if (answer->result == RsCell_STALE_FENCE &&
        answer->highest.fence.epoch == epoch) {
        raise_step(cell, own, &answer->highest);
        return;
    }
    own->holder = answer->holder;
    own->refusals |= peer_bit(cell, peer);
    own->retry_at_ms = MAX(own->retry_at_ms, cell->now_ms + answer->wait_ms);
    own->error = answer->result == RsCell_STALE_FENCE ? RsCell_SUPERSEDED
                                                      : answer->result;
    if (own->error != RsCell_HELD) {
        fail_claim(cell, own);
        return;
    }
    judge_own(cell, own);
}

static void
take_answer(struct rs_cell *cell, const struct rs_cell_peer *peer,
            const struct rs_cell_claim_answer *answer)
{
    struct rs_cell_own *own =
        g_hash_table_lookup(cell->owns, &answer->claim.slice);
    if (own == NULL ||
        RsCell_CompareFence(&own->claim.fence, &answer->claim.fence) != 0) {
        return;
    }
    if (answer->result != 0) {
        take_refusal(cell, peer, own, answer);
        return;
    }
    own->acks |= peer_bit(cell, peer);
    own->refusals &= ~peer_bit(cell, peer);
    judge_own(cell, own);
}

static void
take_excluded(struct rs_cell *cell, const struct rs_cell_peer *peer,
              uint64_t slice)
{
    struct rs_cell_own *own = g_hash_table_lookup(cell->owns, &slice);
    if (own == NULL || !(own->acks & peer_bit(cell, peer))) {
        return;
    }
    /* Before the end of the renewed promise counts, the claim loses it. What
     * was promised until now still holds. */
    own->kept_until_ms = own_until(cell, own);
    own->acks &= ~peer_bit(cell, peer);
    RsCell_WantBack(cell, slice, own->claim.fence.epoch);
}

static bool
sent_at(const struct rs_cell_peer *peer, uint64_t sequence, int64_t *at_ms)
{
    for (size_t i = 0; i < RsCell_SENT_RING; i++) {
        if (sequence != 0 && peer->sent[i].sequence == sequence) {
            *at_ms = peer->sent[i].at_ms;
            return true;
        }
    }
    return false;
}

static void
settle_give_backs(struct rs_cell *cell, const struct rs_cell_peer *peer,
                  uint64_t sequence)
{
    size_t index = (size_t)(peer - cell->peers);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->give_backs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_give_back *entry = value;
        if (entry->first_sequence[index] != 0 &&
            entry->first_sequence[index] <= sequence) {
            entry->waiting &= ~(1u << index);
        }
        if (entry->waiting == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Takes a member's answer. One that is late, repeated or not to this start's
 * renewals changes nothing. The promise counts from when that very renewal
 * was sent. */
void
RsCell_TakeRenewAnswer(struct rs_cell *cell,
                       const struct rs_cell_message *answer)
{
    struct rs_cell_peer *peer = find_peer(cell, answer->from);
    int64_t sent_ms;
    if (peer == NULL || answer->result != 0 ||
        answer->sequence <= peer->answered ||
        !sent_at(peer, answer->sequence, &sent_ms)) {
        return;
    }
    peer->answered = answer->sequence;
    if (peer->session != answer->incarnation) {
        keep_promises(cell);
        clear_bit(cell, peer_bit(cell, peer));
        peer->session = answer->incarnation;
    }
    for (size_t i = 0; i < answer->excluded_count; i++) {
        take_excluded(cell, peer, answer->excluded[i]);
    }
    peer->until_ms =
        sent_ms + cell->options.lease_ms - cell->options.margin_ms;
    settle_give_backs(cell, peer, answer->sequence);
    for (size_t i = 0; i < answer->answer_count; i++) {
        take_answer(cell, peer, &answer->answers[i]);
    }
}

static void
add_claims(struct rs_cell *cell, uint32_t bit, struct rs_cell_message *renewal)
{
    GHashTableIter iter;
    gpointer value;
    renewal->claims =
        g_new(struct rs_cell_claim, g_hash_table_size(cell->owns));
    g_hash_table_iter_init(&iter, cell->owns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_cell_own *own = value;
        if (!(own->acks & bit)) {
            renewal->claims[renewal->claim_count++] = own->claim;
        }
    }
}

static void
add_releases(struct rs_cell *cell, size_t index,
             struct rs_cell_message *renewal)
{
    GHashTableIter iter;
    gpointer value;
    renewal->releases =
        g_new(struct rs_cell_claim, g_hash_table_size(cell->give_backs));
    g_hash_table_iter_init(&iter, cell->give_backs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_give_back *entry = value;
        if (!(entry->waiting & (1u << index))) {
            continue;
        }
        if (entry->first_sequence[index] == 0) {
            entry->first_sequence[index] = renewal->sequence;
        }
        renewal->releases[renewal->release_count++] = entry->claim;
    }
}

static void
renew(struct rs_cell *cell, struct rs_cell_peer *peer)
{
    struct rs_cell_message renewal = {.kind = RsCell_RENEW,
                                      .from = cell->options.self,
                                      .to = peer->id,
                                      .incarnation = cell->options.incarnation,
                                      .roster = cell->roster.version,
                                      .sequence = ++cell->next_sequence};
    size_t slot = peer->next_sent++ % RsCell_SENT_RING;
    peer->sent[slot].sequence = renewal.sequence;
    peer->sent[slot].at_ms = cell->now_ms;
    peer->due = false;
    add_claims(cell, peer_bit(cell, peer), &renewal);
    add_releases(cell, (size_t)(peer - cell->peers), &renewal);
    if (peer->id != cell->options.self) {
        RsCell_Send(cell, &renewal);
        return;
    }
    struct rs_cell_message answer;
    if (RsCell_AnswerRenewal(cell, &renewal, &answer)) {
        RsCell_TakeRenewAnswer(cell, &answer);
        RsCell_FreeMessage(&answer);
    }
    RsCell_FreeMessage(&renewal);
}

/* Sends a renewal to each member to whom one is due; the one to itself stays
 * in memory, and goes first since it may raise the fence. */
void
RsCell_Flush(struct rs_cell *cell)
{
    struct rs_cell_peer *self = find_peer(cell, cell->options.self);
    while (self != NULL && self->due) {
        renew(cell, self);
    }
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        if (cell->peers[i].id != 0 && cell->peers[i].due) {
            renew(cell, &cell->peers[i]);
        }
    }
}

static int
compare_claims(const void *a, const void *b)
{
    uint64_t left = ((const struct rs_cell_claim *)a)->slice;
    uint64_t right = ((const struct rs_cell_claim *)b)->slice;
    return (left > right) - (left < right);
}

/* Lists up to `capacity` of the slices that this process holds or claims, in
 * ascending order; `held` in each tells which. Returns how many there are. */
size_t
RsCell_ListHeld(const struct rs_cell *cell, int64_t now_ms,
                struct rs_cell_claim *claims, size_t capacity)
{
    size_t count = g_hash_table_size(cell->owns);
    struct rs_cell_claim *all = g_new(struct rs_cell_claim, count);
    size_t at = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->owns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_cell_own *own = value;
        all[at] = own->claim;
        all[at++].held = own->held && own_until(cell, own) > now_ms;
    }
    qsort(all, count, sizeof(*all), compare_claims);
    memcpy(claims, all, MIN(count, capacity) * sizeof(*all));
    g_free(all);
    return count;
}
