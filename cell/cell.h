/* Leases on slices, granted by a majority of a cell's members.
 *
 * A cell is a small set of entry processes of one failure domain. At most one
 * process at a time holds a slice. Each holder has a fence (a fencing token)
 * that is higher than that of every earlier holder of the slice.
 *
 * Every process of a cell acts in two roles. As a holder it claims slices and
 * renews its leases. As a member it answers claims, its own too: it promises
 * a holder that until a stated time it will accept no other holder's claim on
 * the slice. A process holds a slice while a majority of the members have
 * made it this promise.
 *
 * This is a state machine without input or output of its own: the caller
 * passes in messages, the time and the rows of the platform's table, and
 * takes out messages to send and events. It opens no socket and reads no
 * clock.
 *
 * Time: a holder counts a promise from when it sent the renewal, less a
 * margin; a member counts it from when it received the renewal. So the promise
 * ends for the holder first, unless the clocks drift by more than the margin
 * over one lease. A member that has just started, and so has no memory of its
 * promises, or finds that it was paused, promises nothing new for one full
 * lease. One that has just started also waits until the platform's table has
 * been read once.
 */

#ifndef RATTANSHED_CELL_CELL_H
#define RATTANSHED_CELL_CELL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

#define RsCell_MAX_MEMBERS 7

enum rs_cell_error {
    /* the sender of a renewal is not in the roster, or the process that claims
     * is no present member */
    RsCell_UNKNOWN_MEMBER = RsError_CELL - 1,
    RsCell_STALE_ROSTER = RsError_CELL - 2, /* a newer roster is known */
    /* The member waits one lease after a start or pause, has not read the
     * table yet, or is not in the roster. In RsCell_EVENT_REFUSED also: too
     * few members answered in time. */
    RsCell_NOT_READY = RsError_CELL - 3,
    /* promised to another holder, or to another start of the same one */
    RsCell_HELD_BY_OTHER = RsError_CELL - 4,
    /* the fence is too low: not above the known one, or its step is below the
     * member's `first_step` */
    RsCell_STALE_FENCE = RsError_CELL - 5,
    /* the slice is sealed up to this epoch or a later one */
    RsCell_SEALED = RsError_CELL - 6,
    RsCell_SUPERSEDED = RsError_CELL - 7, /* a later epoch is known */
    RsCell_BAD_MESSAGE = RsError_CELL - 8
};

/* Fencing token of a holder. Ordered by epoch, then by step. */
struct rs_cell_fence {
    uint64_t epoch; /* of the slice's row in the platform's table */
    uint32_t step;  /* rises with every claim within an epoch */
};

struct rs_cell_claim {
    uint64_t slice;
    struct rs_cell_fence fence;
    /* index of the owner in the slice's succession; in a release, the index at
     * which the next holder starts */
    uint32_t position;
    bool held; /* in a renewal: the sender already holds the slice */
};

/* The members of a cell. While a change of members is under way, `former` has
 * the members before it, and a lease needs a majority of each of the two
 * sets. */
struct rs_cell_roster {
    uint64_t version;
    uint64_t members[RsCell_MAX_MEMBERS];
    size_t member_count;
    uint64_t former[RsCell_MAX_MEMBERS];
    size_t former_count; /* 0 when no change is under way */
};

enum rs_cell_message_kind {
    RsCell_RENEW,
    RsCell_RENEW_ANSWER,
    RsCell_SEAL,
    RsCell_SEAL_ANSWER
};

struct rs_cell_claim_answer {
    struct rs_cell_claim claim; /* as asked */
    int32_t result;             /* 0 or an rs_cell_error */
    /* Highest claim that the member knows. If the claim's step was below the
     * member's `first_step`, its fence is instead the one just below the
     * lowest that the member accepts. */
    struct rs_cell_claim highest;
    uint64_t holder;  /* process promised the slice by the member; 0 if none */
    uint32_t wait_ms; /* until a repeated claim may succeed; 0 if unknown */
};

/* Owns its arrays; free them with RsCell_FreeMessage(). */
struct rs_cell_message {
    enum rs_cell_message_kind kind;
    uint64_t from; /* member ids */
    uint64_t to;
    /* renew: of the sender; renew answer: the id of the member's session with
     * the holder, 0 on an error; otherwise 0 */
    uint64_t incarnation;
    /* of the sender's roster; seal: of the former cell's; seal answer: 0 */
    uint64_t roster_version;
    uint64_t sequence;            /* an answer repeats that of its request */
    int32_t result;               /* answers: 0 or an rs_cell_error */
    struct rs_cell_claim *claims; /* only in RsCell_RENEW */
    size_t claim_count;
    struct rs_cell_claim *releases; /* only in RsCell_RENEW */
    size_t release_count;
    struct rs_cell_claim_answer *answers; /* renew answer */
    size_t answer_count;
    /* renew answer: slices whose promise it does not extend */
    uint64_t *excluded;
    size_t excluded_count;
    uint64_t slice; /* seal and its answer */
    uint64_t epoch;
    /* seal answer: until the member's promise expires, 0 if there is none */
    uint32_t wait_ms;
    bool released; /* seal answer: the last promise was released */
};

enum rs_cell_event_kind {
    RsCell_EVENT_HELD, /* this process holds the slice from now on */
    /* this process no longer holds the slice and must stop using it at once */
    RsCell_EVENT_LOST,
    /* a claim failed: see `error`, `holder` and `retry_at_ms` */
    RsCell_EVENT_REFUSED,
    /* another process released the slice or gave up its claim: the slice may
     * be claimed */
    RsCell_EVENT_RELEASED,
    /* a later epoch needs the slice: finish the running requests, then release
     * it */
    RsCell_EVENT_RELEASE_REQUESTED,
    /* the seal is complete: the former cell has no lease left on the slice up
     * to the seal's epoch, and grants no new one */
    RsCell_EVENT_SEALED
};

struct rs_cell_event {
    enum rs_cell_event_kind kind;
    struct rs_cell_claim claim;
    /* of RsCell_EVENT_REFUSED: process to which a member has promised the
     * slice, or 0; of RsCell_EVENT_RELEASED: process that released it */
    uint64_t holder;
    int error; /* of RsCell_EVENT_REFUSED, like `retry_at_ms` */
    /* a claim before this time would probably be refused too */
    int64_t retry_at_ms;
};

struct rs_cell_options {
    uint64_t self; /* member id of this process */
    uint64_t incarnation;
    int64_t start_ms; /* local clock when RsCell_New() is called */
    uint32_t lease_ms;
    uint32_t renew_every_ms;
    uint32_t margin_ms; /* for clock drift over one lease */
    /* Wall-clock reading at the start, in steps, or 0. A member promises no
     * new fence with a lower step, unless the claimant already holds the
     * slice, so that fences rise even after members have lost their memory. */
    uint32_t first_step;
    /* steps per second of `first_step`'s clock; 0 means 1 */
    uint32_t steps_per_s;
};

/* What a member knows of one slice: for deciding where to claim, for planning,
 * for redirects and for dumps. It does not entitle this process to use the
 * slice. */
struct rs_cell_view {
    struct rs_cell_claim claim; /* highest known */
    uint64_t holder;  /* process promised the slice; 0 when none is any more */
    int64_t until_ms; /* expiry of the promise; 0 if there is none */
};

/* Creating and freeing. */
struct rs_cell *RsCell_New(const struct rs_cell_options *options);
void RsCell_Free(struct rs_cell *cell);

/* Input from the platform's table. Apply a complete read of the table in this
 * order: the epochs of all rows, the roster, RsCell_MarkTableRead(). */
int RsCell_SetRoster(struct rs_cell *cell, int64_t now_ms,
                     const struct rs_cell_roster *roster);
bool RsCell_IsRosterChangeComplete(const struct rs_cell *cell, int64_t now_ms);
void RsCell_MarkTableRead(struct rs_cell *cell);
void RsCell_RecordTableEpoch(struct rs_cell *cell, uint64_t slice,
                             uint64_t epoch);

/* The holder role. */
int RsCell_Claim(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                 uint64_t epoch, uint32_t position);
void RsCell_Release(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                    uint32_t next_position);
void RsCell_ReleaseAll(struct rs_cell *cell, int64_t now_ms);
bool RsCell_Holds(const struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                  struct rs_cell_claim *claim, int64_t *until_ms);
bool RsCell_IsClaiming(const struct rs_cell *cell, uint64_t slice);
int RsCell_BeginSeal(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                     uint64_t epoch, const struct rs_cell_roster *former);

/* The member role. */
bool RsCell_GetView(const struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                    struct rs_cell_view *view);

/* Time, messages and events. `now_ms` must not go back. */
void RsCell_Tick(struct rs_cell *cell, int64_t now_ms);
int64_t RsCell_NextTickAtMs(const struct rs_cell *cell);
int RsCell_Receive(struct rs_cell *cell, int64_t now_ms,
                   const struct rs_cell_message *message);
bool RsCell_NextMessage(struct rs_cell *cell, struct rs_cell_message *message);
bool RsCell_NextEvent(struct rs_cell *cell, struct rs_cell_event *event);
void RsCell_FreeMessage(struct rs_cell_message *message);

/* For dumps. */
size_t RsCell_ListClaims(const struct rs_cell *cell, int64_t now_ms,
                         struct rs_cell_claim *claims, size_t capacity);

#endif
