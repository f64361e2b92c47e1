/* Internal state of a cell, shared by cell.c, member.c, holder.c and seal.c.
 * Nothing else includes this header. */

#ifndef RATTANSHED_CELL_STATE_H
#define RATTANSHED_CELL_STATE_H

#include <glib.h>

#include "cell/cell.h"

#define RsCell_MAX_PEERS (2 * RsCell_MAX_MEMBERS)
#define RsCell_SENT_RENEWALS 16

/* Member side: an uninterrupted series of renewals from one start of one
 * holder; the session has expired if none arrives for a lease. All promises
 * made in it expire with the session, except those for excluded slices. */
struct rs_cell_session {
    uint64_t id;
    uint64_t holder;
    uint64_t incarnation;
    uint64_t last_sequence; /* of the last renewal handled */
    int64_t until_ms;
    /* set of slices whose promises are no longer extended by renewals */
    GHashTable *excluded;
};

/* Member side: what this member knows of one slice. */
struct rs_cell_record {
    uint64_t slice;
    /* the highest one promised; epoch 0 when there was none */
    struct rs_cell_claim claim;
    uint64_t holder;      /* process to which it was promised */
    uint64_t incarnation; /* of that process */
    uint64_t session; /* id of the promise's session; 0 when released or never
                         promised */
    bool excluded;    /* renewals no longer extend the promise */
    int64_t frozen_until_ms; /* expiry of an excluded promise */
    uint64_t sealed_epoch;   /* no claim up to this epoch is accepted */
    uint64_t table_epoch;    /* highest epoch read from the table */
    /* used by the holder role: the fence of this process's latest claim */
    struct rs_cell_fence last_own_fence;
};

/* Holder side: one present or former member. Its index in rs_cell.peers is its
 * bit number in `acks`, `refusals` and `unacknowledged`. */
struct rs_cell_peer {
    uint64_t id; /* 0 for a free slot */
    bool member;
    bool former;
    bool renewal_due; /* RsCell_SendDueRenewals() sends it a renewal */
    uint64_t session; /* the member's id for its session with this process */
    uint64_t last_answered_sequence;
    int64_t until_ms;           /* expiry of its promise, on the local clock */
    int64_t roster_known_at_ms; /* when `roster_known` became true */
    bool roster_known; /* the peer has the present roster, or a newer one */
    struct {
        uint64_t sequence;
        int64_t at_ms;
    } sent[RsCell_SENT_RENEWALS]; /* ring buffer of the latest renewals */
    size_t next_sent;
};

/* Holder side: a slice that this process claims or holds. */
struct rs_cell_own_claim {
    struct rs_cell_claim claim;
    /* peers that have acknowledged the claim: it is covered until their
     * promises expire */
    uint32_t acks;
    uint32_t refusals; /* peers that answered RsCell_HELD_BY_OTHER */
    bool held;
    /* RsCell_EVENT_RELEASE_REQUESTED has been queued */
    bool release_requested;
    /* Until when promises that no longer count in `acks` still cover the
     * slice. */
    int64_t retained_until_ms;
    int64_t give_up_at_ms; /* while not held */
    int error;             /* this and the next two fields are copied into
                              RsCell_EVENT_REFUSED */
    uint64_t holder;
    int64_t retry_at_ms;
};

/* Holder side: a release that some peers have not acknowledged yet. */
struct rs_cell_pending_release {
    struct rs_cell_claim claim; /* `position` is that of the next holder */
    uint32_t unacknowledged;    /* peers that must still acknowledge it */
    /* Sequence of the first renewal to each peer that carried the release, or
     * 0. */
    uint64_t first_sequence[RsCell_MAX_PEERS];
};

/* A seal that this process has requested from a slice's former cell. */
struct rs_cell_seal {
    uint64_t slice;
    uint64_t epoch;
    uint64_t sequence;
    struct rs_cell_roster former_cell_roster;
    int64_t next_send_at_ms; /* when the request is sent next */
    /* When the promise of each member of `former_cell_roster` expires;
     * INT64_MAX before the member answers. The second array is for the former
     * members in that roster. */
    int64_t member_until_ms[RsCell_MAX_MEMBERS];
    int64_t former_until_ms[RsCell_MAX_MEMBERS];
};

/* One process's view of its cell. */
struct rs_cell {
    struct rs_cell_options options;
    struct rs_cell_roster roster;
    int64_t now_ms;
    bool table_read;
    /* before this, no new promise is made, and seals are answered with
     * RsCell_NOT_READY */
    int64_t startup_wait_until_ms;
    int64_t pause_wait_until_ms; /* no new promise before this */
    uint64_t last_session_number;
    uint64_t last_seal_sequence;
    uint64_t last_renewal_sequence; /* over all peers; never used twice */
    uint32_t first_step; /* that of `options`, raised on joining a cell */
    GPtrArray *sessions;
    GHashTable *records; /* slice to rs_cell_record */
    struct rs_cell_peer peers[RsCell_MAX_PEERS];
    GHashTable *own_claims;       /* slice to rs_cell_own_claim */
    GHashTable *pending_releases; /* slice to rs_cell_pending_release */
    GHashTable *seals;            /* slice to rs_cell_seal */
    int64_t next_renewal_at_ms;
    int64_t next_evaluation_at_ms; /* when RsCell_EvaluateClaims() is due */
    GQueue messages;
    GQueue events;
};

/* cell.c */
bool RsCell_InRoster(const struct rs_cell_roster *roster, uint64_t id);
void RsCell_QueueClaimEvent(struct rs_cell *cell, enum rs_cell_event_kind kind,
                            const struct rs_cell_claim *claim);
void RsCell_QueueEvent(struct rs_cell *cell,
                       const struct rs_cell_event *event);
void RsCell_Send(struct rs_cell *cell, struct rs_cell_message *message);
int RsCell_CompareFence(const struct rs_cell_fence *a,
                        const struct rs_cell_fence *b);
int64_t RsCell_MajorityUntilMs(const int64_t *until_ms, size_t count);

/* member.c */
struct rs_cell_record *RsCell_FindOrAddRecord(struct rs_cell *cell,
                                              uint64_t slice);
bool RsCell_AnswerRenewal(struct rs_cell *cell,
                          const struct rs_cell_message *renewal,
                          struct rs_cell_message *answer);
void RsCell_AnswerSeal(struct rs_cell *cell,
                       const struct rs_cell_message *seal);
void RsCell_FreeSession(void *session);

/* holder.c */
void RsCell_ApplyRoster(struct rs_cell *cell,
                        const struct rs_cell_roster *roster);
void RsCell_RecordPeerRoster(struct rs_cell *cell, uint64_t from,
                             uint64_t roster_version);
void RsCell_HandleRenewAnswer(struct rs_cell *cell,
                              const struct rs_cell_message *answer);
void RsCell_SendDueRenewals(struct rs_cell *cell);
void RsCell_EvaluateClaims(struct rs_cell *cell);
void RsCell_RequestRelease(struct rs_cell *cell, uint64_t slice,
                           uint64_t epoch);

/* seal.c */
void RsCell_HandleSealAnswer(struct rs_cell *cell,
                             const struct rs_cell_message *answer);
void RsCell_UpdateSeals(struct rs_cell *cell);
int64_t RsCell_NextSealUpdateAtMs(const struct rs_cell *cell);

#endif
