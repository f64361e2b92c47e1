/* The inside of a cell: what its member, holder and seal parts share. */

#ifndef RATTANSHED_CELL_STATE_H
#define RATTANSHED_CELL_STATE_H

#include <glib.h>

#include "cell/cell.h"

#define RsCell_MAX_PEERS (2 * RsCell_MAX_MEMBERS)
#define RsCell_SENT_RING 16

/* Member side: an unbroken run of promises to one start of one holder. */
struct rs_cell_session {
    uint64_t id;
    uint64_t holder;
    uint64_t incarnation;
    uint64_t last_sequence;
    int64_t until_ms;
    GHashTable *excluded; /* set of slices that renewals don't cover */
};

/* Member side: what is known of one slice. */
struct rs_cell_record {
    uint64_t slice;
    struct rs_cell_claim claim; /* highest; epoch 0 when none is known */
    uint64_t holder;
    uint64_t incarnation;
    uint64_t session; /* 0 when released */
    bool excluded;
    int64_t frozen_until_ms; /* of an excluded promise */
    uint64_t sealed_epoch;
    uint64_t table_epoch;
    struct rs_cell_fence used; /* highest that this process has asked for */
};

/* Holder side: one member. Its index is its bit in acknowledgements. */
struct rs_cell_peer {
    uint64_t id; /* 0 for a free slot */
    bool member;
    bool former;
    bool due; /* a renewal goes out at the next flush */
    uint64_t session;
    uint64_t answered;
    int64_t until_ms;
    int64_t roster_since_ms; /* when it was known to have this roster */
    bool roster_known;
    struct {
        uint64_t sequence;
        int64_t at_ms;
    } sent[RsCell_SENT_RING];
    size_t next_sent;
};

/* Holder side: a slice that this process claims or holds. */
struct rs_cell_own {
    struct rs_cell_claim claim;
    uint32_t acks;
    uint32_t refusals;
    bool held;
    bool wanted;
    int64_t kept_until_ms; /* promised under the roster before */
    int64_t give_up_ms;    /* while not held */
    int error;
    uint64_t holder;
    int64_t retry_at_ms;
};

struct rs_cell_give_back {
    struct rs_cell_claim claim; /* position: of the next holder */
    uint32_t waiting;           /* peers that have not acknowledged it */
    uint64_t first_sequence[RsCell_MAX_PEERS];
};

struct rs_cell_seal {
    uint64_t slice;
    uint64_t epoch;
    uint64_t sequence;
    struct rs_cell_roster former;
    int64_t send_at_ms;
    int64_t member_until_ms[RsCell_MAX_MEMBERS];
    int64_t former_until_ms[RsCell_MAX_MEMBERS];
};

struct rs_cell {
    struct rs_cell_options options;
    struct rs_cell_roster roster;
    int64_t now_ms;
    bool table_read;
    int64_t fresh_until_ms;
    int64_t paused_until_ms;
    uint64_t next_session;
    uint64_t next_seal;
    uint64_t next_sequence; /* of renewals; never used twice */
    uint32_t first_step;
    GPtrArray *sessions;
    GHashTable *records; /* slice to rs_cell_record */
    struct rs_cell_peer peers[RsCell_MAX_PEERS];
    GHashTable *owns;       /* slice to rs_cell_own */
    GHashTable *give_backs; /* slice to rs_cell_give_back */
    GHashTable *seals;      /* slice to rs_cell_seal */
    int64_t renew_at_ms;
    int64_t scan_at_ms;
    GQueue messages;
    GQueue events;
};

/* cell.c */
bool RsCell_InRoster(const struct rs_cell_roster *roster, uint64_t id);
void RsCell_Raise(struct rs_cell *cell, enum rs_cell_event_kind kind,
                  const struct rs_cell_claim *claim);
void RsCell_RaiseEvent(struct rs_cell *cell,
                       const struct rs_cell_event *event);
void RsCell_Send(struct rs_cell *cell, struct rs_cell_message *message);
int RsCell_CompareFence(const struct rs_cell_fence *a,
                        const struct rs_cell_fence *b);
int64_t RsCell_Majority(const int64_t *until_ms, size_t count);

/* member.c */
struct rs_cell_record *RsCell_Record(struct rs_cell *cell, uint64_t slice);
bool RsCell_AnswerRenewal(struct rs_cell *cell,
                          const struct rs_cell_message *renewal,
                          struct rs_cell_message *answer);
void RsCell_AnswerSeal(struct rs_cell *cell,
                       const struct rs_cell_message *seal);
void RsCell_FreeSession(void *session);

/* holder.c */
void RsCell_TakeRoster(struct rs_cell *cell,
                       const struct rs_cell_roster *roster);
void RsCell_NoteRoster(struct rs_cell *cell, uint64_t from, uint64_t roster);
void RsCell_TakeRenewAnswer(struct rs_cell *cell,
                            const struct rs_cell_message *answer);
void RsCell_Flush(struct rs_cell *cell);
void RsCell_Scan(struct rs_cell *cell);
void RsCell_WantBack(struct rs_cell *cell, uint64_t slice, uint64_t epoch);

/* seal.c */
void RsCell_TakeSealAnswer(struct rs_cell *cell,
                           const struct rs_cell_message *answer);
void RsCell_TickSeals(struct rs_cell *cell);
int64_t RsCell_NextSealMs(const struct rs_cell *cell);

#endif
