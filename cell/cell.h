/* Leases on slices, promised by a majority of a cell's members.
 *
 * A cell is a small set of entry processes of one failure domain. At most one
 * of them at a time holds a slice, under a fence that only rises. This is a
 * plain state machine: messages, time and the platform's rows go in, messages
 * and events come out. It holds both sides, that of the holder and that of
 * the member who promises. It opens no socket and reads no clock.
 *
 * Time: a holder counts a promise from before it sent the renewal, less a
 * margin; a member counts from when it received it. A member that started
 * without memory, or finds that it was paused, promises nothing for one full
 * lease. A member that started without memory promises nothing at all until
 * the platform's table has been read once since its start.
 */

#ifndef RATTANSHED_CELL_CELL_H
#define RATTANSHED_CELL_CELL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

#define RsCell_MAX_MEMBERS 7

enum rs_cell_error {
    RsCell_UNKNOWN_MEMBER = RsError_CELL - 1,
    RsCell_STALE_ROSTER = RsError_CELL - 2,
    RsCell_NOT_READY = RsError_CELL - 3,   /* waits out a lease, or no table */
    RsCell_HELD = RsError_CELL - 4,        /* another holder's promise lives */
    RsCell_STALE_FENCE = RsError_CELL - 5, /* the fence is not above */
    RsCell_SEALED = RsError_CELL - 6,      /* the epoch was given up */
    RsCell_SUPERSEDED = RsError_CELL - 7,  /* a later epoch is in the table */
    RsCell_BAD_MESSAGE = RsError_CELL - 8
};

/* Compared by epoch, then by step. */
struct rs_cell_fence {
    uint64_t epoch;
    uint32_t step;
};

struct rs_cell_claim {
    uint64_t slice;
    struct rs_cell_fence fence;
    uint32_t position; /* of the owner in the slice's succession */
    bool held;         /* in a renewal: the sender holds it already */
};

/* The members; while a change is under way also those before it. A majority
 * of each set is needed then. */
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
    struct rs_cell_claim claim;   /* as asked */
    int32_t result;               /* 0 or an rs_cell_error */
    struct rs_cell_claim highest; /* what the member knows */
    uint64_t holder;              /* 0 when nobody holds it */
    uint32_t wait_ms;
};

/* Owns its arrays; free it with RsCell_FreeMessage(). */
struct rs_cell_message {
    enum rs_cell_message_kind kind;
    uint64_t from; /* member ids */
    uint64_t to;
    uint64_t incarnation; /* of the sender; in a renew answer it names the
                           * unbroken run of promises to this holder */
    uint64_t roster;
    uint64_t sequence;
    int32_t result;
    struct rs_cell_claim *claims; /* renew */
    size_t claim_count;
    struct rs_cell_claim *releases; /* renew */
    size_t release_count;
    struct rs_cell_claim_answer *answers; /* renew answer */
    size_t answer_count;
    uint64_t *excluded; /* renew answer */
    size_t excluded_count;
    uint64_t slice; /* seal and its answer */
    uint64_t epoch;
    uint32_t wait_ms;
    bool released;
};

enum rs_cell_event_kind {
    RsCell_EVENT_HELD,     /* this process holds the slice from now on */
    RsCell_EVENT_LOST,     /* it no longer does: stop at once */
    RsCell_EVENT_REFUSED,  /* a claim failed; `error`, `holder`, `retry_at_ms`
                            */
    RsCell_EVENT_RELEASED, /* another member gave it up: it may be claimed */
    RsCell_EVENT_WANTED,   /* a later epoch wants it: drain, then release */
    RsCell_EVENT_SEALED    /* the former cell gave it up: claim may begin */
};

struct rs_cell_event {
    enum rs_cell_event_kind kind;
    struct rs_cell_claim claim;
    uint64_t holder;
    int error;
    int64_t retry_at_ms;
};

struct rs_cell_options {
    uint64_t self;
    uint64_t incarnation;
    int64_t now_ms;
    uint32_t lease_ms;
    uint32_t renew_every_ms;
    uint32_t margin_ms; /* for clock drift over one lease */
    /* Wall clock seconds at the start, or 0. A member promises no new fence
     * with a lower step, so that fences rise also past a loss of memory. */
    uint32_t first_step;
    uint32_t steps_per_s; /* how fast that clock runs; 0 means 1 */
};

/* What a member knows of one slice; for dumps and redirects. */
struct rs_cell_view {
    struct rs_cell_claim claim; /* highest known */
    uint64_t holder;            /* 0 when no promise lives */
    int64_t until_ms;
};

/* Life */
struct rs_cell *RsCell_New(const struct rs_cell_options *options);
void RsCell_Free(struct rs_cell *cell);

/* What the platform's table says. Apply a whole reading: first the epochs of
 * all rows, then the roster, then RsCell_TableWasRead(). */
int RsCell_SetRoster(struct rs_cell *cell, int64_t now_ms,
                     const struct rs_cell_roster *roster);
bool RsCell_ChangeDone(const struct rs_cell *cell, int64_t now_ms);
void RsCell_TableWasRead(struct rs_cell *cell);
void RsCell_LearnEpoch(struct rs_cell *cell, uint64_t slice, uint64_t epoch);

/* As a holder */
int RsCell_Claim(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                 uint64_t epoch, uint32_t position);
void RsCell_Release(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                    uint32_t next_position);
void RsCell_ReleaseAll(struct rs_cell *cell, int64_t now_ms);
bool RsCell_Holds(const struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                  struct rs_cell_claim *claim, int64_t *until_ms);
bool RsCell_Claiming(const struct rs_cell *cell, uint64_t slice);
int RsCell_BeginSeal(struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                     uint64_t epoch, const struct rs_cell_roster *former);

/* As a member */
bool RsCell_Look(const struct rs_cell *cell, int64_t now_ms, uint64_t slice,
                 struct rs_cell_view *view);

/* Time and messages. `now_ms` never goes back. */
void RsCell_Tick(struct rs_cell *cell, int64_t now_ms);
int64_t RsCell_NextTickMs(const struct rs_cell *cell);
int RsCell_Receive(struct rs_cell *cell, int64_t now_ms,
                   const struct rs_cell_message *message);
bool RsCell_NextMessage(struct rs_cell *cell, struct rs_cell_message *message);
bool RsCell_NextEvent(struct rs_cell *cell, struct rs_cell_event *event);
void RsCell_FreeMessage(struct rs_cell_message *message);

/* For dumps: the slices that this process holds or claims, ascending. */
size_t RsCell_ListHeld(const struct rs_cell *cell, int64_t now_ms,
                       struct rs_cell_claim *claims, size_t capacity);

#endif
