/* The holder role: claims, renews and releases slices, and decides from the
 * members' answers which slices this process holds. */

#include <string.h>

#include "cell/state.h"

#define NOT_PROMISED_MS INT64_MIN

/* Returns the peer's bit in `acks`, `refusals` and `unacknowledged`. */
static uint32_t
peer_bit(const struct rs_cell *cell, const struct rs_cell_peer *peer)
{
    return 1u << (uint32_t)(peer - cell->peers);
}

/* Returns the peer with this member id, or NULL. */
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

/* Returns until when a majority of the members, and during a roster change
 * also a majority of the former ones, keep their promises. Only the promises
 * of the peers in `acks` count. */
static int64_t
acknowledged_until_ms(const struct rs_cell *cell, uint32_t acks)
{
    int64_t member_until_ms[RsCell_MAX_PEERS];
    int64_t former_until_ms[RsCell_MAX_PEERS];
    size_t member_count = 0;
    size_t former_count = 0;
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        const struct rs_cell_peer *peer = &cell->peers[i];
        int64_t until_ms = acks & (1u << i) ? peer->until_ms : NOT_PROMISED_MS;
        if (peer->id != 0 && peer->member) {
            member_until_ms[member_count++] = until_ms;
        }
        if (peer->id != 0 && peer->former) {
            former_until_ms[former_count++] = until_ms;
        }
    }
    int64_t until_ms = RsCell_MajorityUntilMs(member_until_ms, member_count);
    if (former_count > 0) {
        until_ms = MIN(until_ms,
                       RsCell_MajorityUntilMs(former_until_ms, former_count));
    }
    return until_ms;
}

/* Returns until when this process may use the slice if the claim is held. */
static int64_t
own_claim_until_ms(const struct rs_cell *cell,
                   const struct rs_cell_own_claim *own_claim)
{
    return MAX(acknowledged_until_ms(cell, own_claim->acks),
               own_claim->retained_until_ms);
}

/* Forgets which claims a peer has acknowledged and refused, after the peer
 * left the roster or began a new session with this process. Releases no longer
 * wait for the peer. */
static void
clear_peer_bit(struct rs_cell *cell, uint32_t bit)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->own_claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_own_claim *own_claim = value;
        own_claim->acks &= ~bit;
        own_claim->refusals &= ~bit;
    }
    g_hash_table_iter_init(&iter, cell->pending_releases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_pending_release *pending_release = value;
        pending_release->unacknowledged &= ~bit;
        if (pending_release->unacknowledged == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    cell->next_evaluation_at_ms = cell->now_ms;
}

/* Records for each held slice until when the promises made so far cover the
 * slice, before the peers' acknowledgements change. Members keep their
 * promises whatever the roster says, so the slice stays held until the
 * promises expire. */
static void
retain_promises(struct rs_cell *cell)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->own_claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_own_claim *own_claim = value;
        if (own_claim->held) {
            own_claim->retained_until_ms = own_claim_until_ms(cell, own_claim);
        }
    }
}

/* Returns the peer with this member id, added in a free slot if need be, and
 * makes a renewal to it due. */
static struct rs_cell_peer *
find_or_add_peer(struct rs_cell *cell, uint64_t id)
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
    peer->renewal_due = true;
    return peer;
}

/* Replaces the roster by a newer one. Peers that stay keep their slot, and so
 * their bit. */
void
RsCell_ApplyRoster(struct rs_cell *cell, const struct rs_cell_roster *roster)
{
    retain_promises(cell);
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        struct rs_cell_peer *peer = &cell->peers[i];
        peer->member = false;
        peer->former = false;
        peer->roster_known = false;
        if (peer->id != 0 && !RsCell_InRoster(roster, peer->id)) {
            clear_peer_bit(cell, 1u << i);
            peer->id = 0;
        }
    }
    for (size_t i = 0; i < roster->member_count; i++) {
        find_or_add_peer(cell, roster->members[i])->member = true;
    }
    for (size_t i = 0; i < roster->former_count; i++) {
        find_or_add_peer(cell, roster->former[i])->former = true;
    }
    cell->roster = *roster;
    RsCell_RecordPeerRoster(cell, cell->options.self, roster->version);
    cell->next_evaluation_at_ms = cell->now_ms;
}

/* Records the first time that a message from peer `from` shows that the peer
 * has the present roster or a newer one. `roster_version` is the version in
 * the message. */
void
RsCell_RecordPeerRoster(struct rs_cell *cell, uint64_t from,
                        uint64_t roster_version)
{
    struct rs_cell_peer *peer = find_peer(cell, from);
    if (peer != NULL && !peer->roster_known &&
        roster_version >= cell->roster.version) {
        peer->roster_known = true;
        peer->roster_known_at_ms = cell->now_ms;
    }
}

/* Returns whether a roster change is complete, so that the row may be
 * rewritten without the former members. The change is complete when a majority
 * of the former members are known to have had the present roster for a lease
 * and the margin: these members refuse every older roster, and their earlier
 * promises have expired. */
bool
RsCell_IsRosterChangeComplete(const struct rs_cell *cell, int64_t now_ms)
{
    size_t ready_former_count = 0;
    int64_t wait_ms =
        (int64_t)cell->options.lease_ms + cell->options.margin_ms;
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        const struct rs_cell_peer *peer = &cell->peers[i];
        if (peer->id != 0 && peer->former && peer->roster_known &&
            now_ms >= peer->roster_known_at_ms + wait_ms) {
            ready_former_count++;
        }
    }
    return cell->roster.former_count > 0 &&
           ready_former_count > cell->roster.former_count / 2;
}

static void
set_all_renewals_due(struct rs_cell *cell)
{
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        cell->peers[i].renewal_due = true;
    }
}

/* Makes the next renewals to each peer carry the release of a claim, until the
 * peer has acknowledged it. */
static void
queue_release(struct rs_cell *cell, const struct rs_cell_claim *claim)
{
    struct rs_cell_pending_release *pending_release =
        g_new0(struct rs_cell_pending_release, 1);
    pending_release->claim = *claim;
    pending_release->claim.held = false;
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        if (cell->peers[i].id != 0) {
            pending_release->unacknowledged |= 1u << i;
        }
    }
    g_hash_table_replace(cell->pending_releases, &pending_release->claim.slice,
                         pending_release);
    set_all_renewals_due(cell);
}

/* Ends a claim, held or not, and makes the next renewals release it at the
 * members. Frees `own_claim`. */
static void
release_own_claim(struct rs_cell *cell, struct rs_cell_own_claim *own_claim,
                  uint32_t next_position)
{
    struct rs_cell_claim claim = own_claim->claim;
    claim.position = next_position;
    g_hash_table_remove(cell->own_claims, &claim.slice);
    queue_release(cell, &claim);
}

/* Raises the step of a claim above that of this process's latest claim on the
 * slice, if the latest claim was in the same epoch. If two claims had the same
 * fence, a late answer to the first, already released claim would count for
 * the second. */
static void
make_fence_unique(struct rs_cell *cell, struct rs_cell_own_claim *own_claim)
{
    struct rs_cell_record *record =
        RsCell_FindOrAddRecord(cell, own_claim->claim.slice);
    struct rs_cell_fence *fence = &own_claim->claim.fence;
    if (record->last_own_fence.epoch == fence->epoch) {
        fence->step = MAX(fence->step, record->last_own_fence.step + 1);
    }
    record->last_own_fence = *fence;
}

/* Clears the answers to a claim, makes its fence a new one, and makes renewals
 * that carry it due to all peers. */
static void
start_claim(struct rs_cell *cell, struct rs_cell_own_claim *own_claim)
{
    make_fence_unique(cell, own_claim);
    own_claim->claim.held = false;
    own_claim->acks = 0;
    own_claim->refusals = 0;
    own_claim->held = false;
    own_claim->release_requested = false;
    own_claim->error = RsCell_NOT_READY;
    own_claim->holder = 0;
    own_claim->retained_until_ms = NOT_PROMISED_MS;
    own_claim->retry_at_ms = cell->now_ms + cell->options.renew_every_ms;
    cell->next_evaluation_at_ms =
        MIN(cell->next_evaluation_at_ms, own_claim->give_up_at_ms);
    set_all_renewals_due(cell);
}

/* Starts to claim a slice in an epoch. RsCell_EVENT_HELD or _REFUSED tells the
 * outcome. Does nothing when the slice is already held or claimed in this or
 * a higher epoch; a lease in a lower epoch ends with RsCell_EVENT_LOST.
 * `position` is the owner's index in the succession. Returns 0,
 * RsCell_UNKNOWN_MEMBER when this process is no member of the cell, or
 * RsCell_SUPERSEDED when a higher epoch is known or `epoch` is 0. */
int
RsCell_Claim(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
             uint64_t epoch, uint32_t position)
{
    RsCell_Tick(cell, now_ms);
    const struct rs_cell_peer *self = find_peer(cell, cell->options.self);
    if (self == NULL || !self->member) {
        return RsCell_UNKNOWN_MEMBER;
    }
    const struct rs_cell_record *record = RsCell_FindOrAddRecord(cell, slice);
    if (epoch == 0 || epoch < record->claim.fence.epoch ||
        epoch < record->table_epoch) {
        return RsCell_SUPERSEDED;
    }
    struct rs_cell_own_claim *own_claim =
        g_hash_table_lookup(cell->own_claims, &slice);
    if (own_claim != NULL && own_claim->claim.fence.epoch >= epoch) {
        return 0;
    }
    if (own_claim == NULL) {
        own_claim = g_new0(struct rs_cell_own_claim, 1);
        own_claim->claim.slice = slice;
        g_hash_table_insert(cell->own_claims, &own_claim->claim.slice,
                            own_claim);
    }
    else if (own_claim->held) {
        RsCell_QueueClaimEvent(cell, RsCell_EVENT_LOST, &own_claim->claim);
    }
    own_claim->claim.fence.epoch = epoch;
    own_claim->claim.fence.step = cell->first_step;
    if (record->claim.fence.epoch == epoch) {
        own_claim->claim.fence.step =
            MAX(cell->first_step, record->claim.fence.step + 1);
    }
    own_claim->claim.position = position;
    own_claim->give_up_at_ms = cell->now_ms + cell->options.lease_ms;
    g_hash_table_remove(cell->pending_releases, &slice);
    start_claim(cell, own_claim);
    return 0;
}

/* Releases a slice that this process holds or claims; the process must not use
 * the slice any more. `next_position` is the position in the succession at
 * which the next holder starts. */
void
RsCell_Release(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
               uint32_t next_position)
{
    RsCell_Tick(cell, now_ms);
    struct rs_cell_own_claim *own_claim =
        g_hash_table_lookup(cell->own_claims, &slice);
    if (own_claim != NULL) {
        release_own_claim(cell, own_claim, next_position);
    }
}

/* Releases all slices that this process holds or claims. */
void
RsCell_ReleaseAll(struct rs_cell *cell, int64_t now_ms)
{
    RsCell_Tick(cell, now_ms);
    GList *own_claims = g_hash_table_get_values(cell->own_claims);
    for (GList *node = own_claims; node != NULL; node = node->next) {
        struct rs_cell_own_claim *own_claim = node->data;
        release_own_claim(cell, own_claim, own_claim->claim.position);
    }
    g_list_free(own_claims);
}

/* Returns whether this process holds a slice at `now_ms`, and if so stores the
 * claim and the end of the lease. Call this function before each use of the
 * slice. `claim` and `until_ms` may be NULL. */
bool
RsCell_Holds(const struct rs_cell *cell, int64_t now_ms, uint64_t slice,
             struct rs_cell_claim *claim, int64_t *until_ms)
{
    const struct rs_cell_own_claim *own_claim =
        g_hash_table_lookup(cell->own_claims, &slice);
    if (own_claim == NULL || !own_claim->held) {
        return false;
    }
    int64_t held_until_ms = own_claim_until_ms(cell, own_claim);
    if (held_until_ms <= now_ms) {
        return false;
    }
    if (claim != NULL) {
        *claim = own_claim->claim;
    }
    if (until_ms != NULL) {
        *until_ms = held_until_ms;
    }
    return true;
}

/* Returns whether this process claims the slice and does not hold it yet. */
bool
RsCell_IsClaiming(const struct rs_cell *cell, uint64_t slice)
{
    const struct rs_cell_own_claim *own_claim =
        g_hash_table_lookup(cell->own_claims, &slice);
    return own_claim != NULL && !own_claim->held;
}

/* Queues RsCell_EVENT_RELEASE_REQUESTED, once for each lease, when this
 * process holds the slice in `epoch` or a lower one. */
void
RsCell_RequestRelease(struct rs_cell *cell, uint64_t slice, uint64_t epoch)
{
    struct rs_cell_own_claim *own_claim =
        g_hash_table_lookup(cell->own_claims, &slice);
    if (own_claim != NULL && own_claim->held &&
        !own_claim->release_requested &&
        own_claim->claim.fence.epoch <= epoch) {
        own_claim->release_requested = true;
        RsCell_QueueClaimEvent(cell, RsCell_EVENT_RELEASE_REQUESTED,
                               &own_claim->claim);
    }
}

/* Ends a claim that is not held, with RsCell_EVENT_REFUSED. Frees
 * `own_claim`. */
static void
fail_claim(struct rs_cell *cell, struct rs_cell_own_claim *own_claim)
{
    struct rs_cell_event event = {.kind = RsCell_EVENT_REFUSED,
                                  .claim = own_claim->claim,
                                  .holder = own_claim->holder,
                                  .error = own_claim->error,
                                  .retry_at_ms = own_claim->retry_at_ms};
    release_own_claim(cell, own_claim, own_claim->claim.position);
    RsCell_QueueEvent(cell, &event);
}

/* Returns whether the peers that have not refused are too few for a majority
 * of the members, or of the former ones. */
static bool
majority_is_impossible(const struct rs_cell *cell, uint32_t refusals)
{
    size_t refusing_members = 0;
    size_t refusing_former = 0;
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        if (refusals & (1u << i)) {
            refusing_members += cell->peers[i].member ? 1 : 0;
            refusing_former += cell->peers[i].former ? 1 : 0;
        }
    }
    size_t member_count = cell->roster.member_count;
    size_t former_count = cell->roster.former_count;
    return member_count - refusing_members <= member_count / 2 ||
           (former_count > 0 &&
            former_count - refusing_former <= former_count / 2);
}

/* Queues an event when the slice is now held, is no longer held, cannot be won
 * or was not won in time. A claim that goes on is evaluated again when its
 * promises expire or, if it is not held, when it is to be given up. Frees
 * `own_claim` when it has ended. */
static void
evaluate_own_claim(struct rs_cell *cell, struct rs_cell_own_claim *own_claim)
{
    int64_t until_ms = own_claim_until_ms(cell, own_claim);
    if (until_ms > cell->now_ms) {
        cell->next_evaluation_at_ms =
            MIN(cell->next_evaluation_at_ms, until_ms);
        if (!own_claim->held) {
            own_claim->held = true;
            own_claim->claim.held = true;
            RsCell_QueueClaimEvent(cell, RsCell_EVENT_HELD, &own_claim->claim);
        }
        return;
    }
    if (own_claim->held) {
        RsCell_QueueClaimEvent(cell, RsCell_EVENT_LOST, &own_claim->claim);
        release_own_claim(cell, own_claim, own_claim->claim.position);
        return;
    }
    if (own_claim->give_up_at_ms <= cell->now_ms ||
        majority_is_impossible(cell, own_claim->refusals)) {
        fail_claim(cell, own_claim);
        return;
    }
    cell->next_evaluation_at_ms =
        MIN(cell->next_evaluation_at_ms, own_claim->give_up_at_ms);
}

/* Evaluates all claims at the present time and sets the time of the next
 * evaluation. */
void
RsCell_EvaluateClaims(struct rs_cell *cell)
{
    cell->next_evaluation_at_ms = INT64_MAX;
    GList *own_claims = g_hash_table_get_values(cell->own_claims);
    for (GList *node = own_claims; node != NULL; node = node->next) {
        evaluate_own_claim(cell, node->data);
    }
    g_list_free(own_claims);
}

/* Makes a claim again with a step above the highest that a member knows in the
 * epoch. */
static void
retry_with_higher_step(struct rs_cell *cell,
                       struct rs_cell_own_claim *own_claim,
                       const struct rs_cell_claim *highest)
{
    own_claim->claim.fence.step = highest->fence.step + 1;
    own_claim->claim.position =
        MAX(own_claim->claim.position, highest->position);
    start_claim(cell, own_claim);
}

/* Handles a member's refusal of a claim. The refusal changes nothing if this
 * process already holds the slice by the promises of other members. A member
 * that is not ready is asked again with the next renewal. If the step is too
 * low in the claim's epoch, the claim is made again with a higher one. A
 * promise to another holder fails the claim only when too few other members
 * remain for a majority; any other error fails the claim at once. */
static void
handle_refusal(struct rs_cell *cell, const struct rs_cell_peer *peer,
               struct rs_cell_own_claim *own_claim,
               const struct rs_cell_claim_answer *answer)
{
    uint64_t epoch = own_claim->claim.fence.epoch;
    if (own_claim->held || answer->result == RsCell_NOT_READY) {
        return;
    }
    if (answer->result == RsCell_STALE_FENCE &&
        answer->highest.fence.epoch == epoch) {
        retry_with_higher_step(cell, own_claim, &answer->highest);
        return;
    }
    own_claim->holder = answer->holder;
    own_claim->refusals |= peer_bit(cell, peer);
    own_claim->retry_at_ms =
        MAX(own_claim->retry_at_ms, cell->now_ms + answer->wait_ms);
    own_claim->error = answer->result == RsCell_STALE_FENCE ? RsCell_SUPERSEDED
                                                            : answer->result;
    if (own_claim->error != RsCell_HELD_BY_OTHER) {
        fail_claim(cell, own_claim);
        return;
    }
    evaluate_own_claim(cell, own_claim);
}

/* Handles a member's answer to a claim. The answer is ignored when the claim
 * has ended or has another fence now. */
static void
handle_claim_answer(struct rs_cell *cell, const struct rs_cell_peer *peer,
                    const struct rs_cell_claim_answer *answer)
{
    struct rs_cell_own_claim *own_claim =
        g_hash_table_lookup(cell->own_claims, &answer->claim.slice);
    if (own_claim == NULL || RsCell_CompareFence(&own_claim->claim.fence,
                                                 &answer->claim.fence) != 0) {
        return;
    }
    if (answer->result != 0) {
        handle_refusal(cell, peer, own_claim, answer);
        return;
    }
    own_claim->acks |= peer_bit(cell, peer);
    own_claim->refusals &= ~peer_bit(cell, peer);
    evaluate_own_claim(cell, own_claim);
}

/* Handles a member's notice that it no longer extends its promise for a
 * slice. */
static void
handle_exclusion(struct rs_cell *cell, const struct rs_cell_peer *peer,
                 uint64_t slice)
{
    struct rs_cell_own_claim *own_claim =
        g_hash_table_lookup(cell->own_claims, &slice);
    if (own_claim == NULL || !(own_claim->acks & peer_bit(cell, peer))) {
        return;
    }
    /* Remove the acknowledgement before the peer's `until_ms` is raised, so
     * that the renewed promise does not count for this slice. The promise made
     * before the renewal still does. */
    own_claim->retained_until_ms = own_claim_until_ms(cell, own_claim);
    own_claim->acks &= ~peer_bit(cell, peer);
    RsCell_RequestRelease(cell, slice, own_claim->claim.fence.epoch);
}

/* Stores when the renewal with this sequence was sent to the peer. Returns
 * false when the renewal is not among the latest RsCell_SENT_RENEWALS. */
static bool
find_sent_time(const struct rs_cell_peer *peer, uint64_t sequence,
               int64_t *at_ms)
{
    for (size_t i = 0; i < RsCell_SENT_RENEWALS; i++) {
        if (sequence != 0 && peer->sent[i].sequence == sequence) {
            *at_ms = peer->sent[i].at_ms;
            return true;
        }
    }
    return false;
}

/* Handles a peer's answer to the renewal with this sequence: marks as
 * acknowledged each release that was first sent to the peer in that renewal or
 * an earlier one. A release is sent in every renewal until it is acknowledged,
 * so the answered renewal carried it. Forgets the releases that no peer must
 * acknowledge any more. */
static void
record_acknowledged_releases(struct rs_cell *cell,
                             const struct rs_cell_peer *peer,
                             uint64_t sequence)
{
    size_t index = (size_t)(peer - cell->peers);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->pending_releases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_pending_release *pending_release = value;
        if (pending_release->first_sequence[index] != 0 &&
            pending_release->first_sequence[index] <= sequence) {
            pending_release->unacknowledged &= ~(1u << index);
        }
        if (pending_release->unacknowledged == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Handles a member's answer to a renewal. An answer changes nothing when it is
 * an error, when its sender is not in the roster, when this or a newer answer
 * has been handled, or when the answer is not to one of the latest
 * RsCell_SENT_RENEWALS renewals to the sender. The promise counts from when
 * the answered renewal was sent, less the margin. */
void
RsCell_HandleRenewAnswer(struct rs_cell *cell,
                         const struct rs_cell_message *answer)
{
    struct rs_cell_peer *peer = find_peer(cell, answer->from);
    int64_t sent_at_ms;
    if (peer == NULL || answer->result != 0 ||
        answer->sequence <= peer->last_answered_sequence ||
        !find_sent_time(peer, answer->sequence, &sent_at_ms)) {
        return;
    }
    peer->last_answered_sequence = answer->sequence;
    if (peer->session != answer->incarnation) {
        retain_promises(cell);
        clear_peer_bit(cell, peer_bit(cell, peer));
        peer->session = answer->incarnation;
    }
    for (size_t i = 0; i < answer->excluded_count; i++) {
        handle_exclusion(cell, peer, answer->excluded[i]);
    }
    peer->until_ms =
        sent_at_ms + cell->options.lease_ms - cell->options.margin_ms;
    record_acknowledged_releases(cell, peer, answer->sequence);
    for (size_t i = 0; i < answer->answer_count; i++) {
        handle_claim_answer(cell, peer, &answer->answers[i]);
    }
}

/* Adds to a renewal the claims that the peer with this bit has not
 * acknowledged. */
static void
add_claims(struct rs_cell *cell, uint32_t bit, struct rs_cell_message *renewal)
{
    GHashTableIter iter;
    gpointer value;
    renewal->claims =
        g_new(struct rs_cell_claim, g_hash_table_size(cell->own_claims));
    g_hash_table_iter_init(&iter, cell->own_claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_cell_own_claim *own_claim = value;
        if (!(own_claim->acks & bit)) {
            renewal->claims[renewal->claim_count++] = own_claim->claim;
        }
    }
}

/* Adds to a renewal the releases that the peer has not acknowledged, and notes
 * the first renewal that carries each release. */
static void
add_releases(struct rs_cell *cell, size_t index,
             struct rs_cell_message *renewal)
{
    GHashTableIter iter;
    gpointer value;
    renewal->releases =
        g_new(struct rs_cell_claim, g_hash_table_size(cell->pending_releases));
    g_hash_table_iter_init(&iter, cell->pending_releases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_cell_pending_release *pending_release = value;
        if (!(pending_release->unacknowledged & (1u << index))) {
            continue;
        }
        if (pending_release->first_sequence[index] == 0) {
            pending_release->first_sequence[index] = renewal->sequence;
        }
        renewal->releases[renewal->release_count++] = pending_release->claim;
    }
}

/* Sends a renewal to a peer. A renewal to this process itself is answered by
 * direct calls. */
static void
send_renewal(struct rs_cell *cell, struct rs_cell_peer *peer)
{
    struct rs_cell_message renewal = {.kind = RsCell_RENEW,
                                      .from = cell->options.self,
                                      .to = peer->id,
                                      .incarnation = cell->options.incarnation,
                                      .roster_version = cell->roster.version,
                                      .sequence =
                                          ++cell->last_renewal_sequence};
    size_t slot = peer->next_sent++ % RsCell_SENT_RENEWALS;
    peer->sent[slot].sequence = renewal.sequence;
    peer->sent[slot].at_ms = cell->now_ms;
    peer->renewal_due = false;
    add_claims(cell, peer_bit(cell, peer), &renewal);
    add_releases(cell, (size_t)(peer - cell->peers), &renewal);
    if (peer->id != cell->options.self) {
        RsCell_Send(cell, &renewal);
        return;
    }
    struct rs_cell_message answer;
    if (RsCell_AnswerRenewal(cell, &renewal, &answer)) {
        RsCell_HandleRenewAnswer(cell, &answer);
        RsCell_FreeMessage(&answer);
    }
    RsCell_FreeMessage(&renewal);
}

/* Sends a renewal to each peer to which one is due. This process's own member
 * comes first, since its answer may raise a claim's step and so make renewals
 * due again. */
void
RsCell_SendDueRenewals(struct rs_cell *cell)
{
    struct rs_cell_peer *self = find_peer(cell, cell->options.self);
    while (self != NULL && self->renewal_due) {
        send_renewal(cell, self);
    }
    for (size_t i = 0; i < RsCell_MAX_PEERS; i++) {
        if (cell->peers[i].id != 0 && cell->peers[i].renewal_due) {
            send_renewal(cell, &cell->peers[i]);
        }
    }
}

static int
compare_claim_slices(const void *a, const void *b)
{
    uint64_t left = ((const struct rs_cell_claim *)a)->slice;
    uint64_t right = ((const struct rs_cell_claim *)b)->slice;
    return (left > right) - (left < right);
}

/* Stores up to `capacity` of the claims of this process, in ascending order of
 * the slices; `held` tells whether this process already holds the slice.
 * Returns how many there are in all. */
size_t
RsCell_ListClaims(const struct rs_cell *cell, int64_t now_ms,
                  struct rs_cell_claim *claims, size_t capacity)
{
    size_t count = g_hash_table_size(cell->own_claims);
    struct rs_cell_claim *all = g_new(struct rs_cell_claim, count);
    size_t claim_index = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, cell->own_claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_cell_own_claim *own_claim = value;
        all[claim_index] = own_claim->claim;
        all[claim_index++].held =
            own_claim->held && own_claim_until_ms(cell, own_claim) > now_ms;
    }
    qsort(all, count, sizeof(*all), compare_claim_slices);
    memcpy(claims, all, MIN(count, capacity) * sizeof(*all));
    g_free(all);
    return count;
}
