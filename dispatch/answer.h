/* Matches the answers on one connection to a target with the requests sent on
 * it, and determines the outcome of each request: done, not run or unknown. At
 * most one request is outstanding. The connection must be closed after an
 * answer that is truncated, unexpected or of another request, or that is
 * complete before the request is fully written. This is a pure state
 * machine. */

#ifndef RATTANSHED_DISPATCH_ANSWER_H
#define RATTANSHED_DISPATCH_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"
#include "dispatch/outcome.h"

#define RsAnswer_ID_BYTES 128 /* including the terminating null byte */

enum rs_answer_error {
    RsAnswer_BUSY = RsError_DISPATCH - 20, /* a request is outstanding */
    RsAnswer_CLOSED = RsError_DISPATCH - 21,
    RsAnswer_BAD_ID = RsError_DISPATCH - 22
};

enum rs_answer_state {
    RsAnswer_IDLE,
    RsAnswer_ASSIGNED, /* has a request, of which no byte is written yet */
    RsAnswer_WAITING,  /* for the head of the answer */
    RsAnswer_IN_BODY,
    RsAnswer_STATE_CLOSED /* the connection is closed or must be */
};

/* The value of the header `X-Outcome` in a target's answer. */
enum rs_answer_reported_outcome {
    RsAnswer_REPORTED_NONE, /* absent or not a known value */
    RsAnswer_REPORTED_DONE,
    RsAnswer_REPORTED_NOT_RUN,
    RsAnswer_REPORTED_ABORTED
};

/* State of one connection. A value type; zeroed memory is a new, idle
 * connection. */
struct rs_answer {
    enum rs_answer_state state;
    char request_id[RsAnswer_ID_BYTES]; /* of the last request assigned */
    /* ID of the last request whose answer was complete */
    char last_completed_id[RsAnswer_ID_BYTES];
    /* start ID of the target's process; 0 until the first valid head */
    uint64_t start_id;
    enum rs_answer_reported_outcome reported_outcome;
    bool fully_written; /* the whole request was written */
    /* of the body; -1 if its length is unknown; valid while IN_BODY */
    int64_t remaining_bytes;
};

struct rs_answer_head {
    const char *request_id; /* NULL if absent */
    uint64_t start_id;      /* 0 if absent */
    enum rs_answer_reported_outcome reported_outcome;
    int64_t length_bytes; /* of the body; -1 if unknown */
};

enum rs_answer_kind {
    /* the head, or the part of the body, that was just received can be passed
     * on */
    RsAnswer_PASS_ON,
    RsAnswer_COMPLETE, /* the answer is complete */
    /* an answer to another request or from another target process, or without
     * a request id or start id */
    RsAnswer_MISMATCH,
    RsAnswer_TRUNCATED,  /* the answer ended before it was complete */
    RsAnswer_UNEXPECTED, /* this part of an answer is not waited for */
    RsAnswer_DUPLICATE,  /* a second answer, or bytes after the end */
    RsAnswer_NO_FAULT    /* closed without a request, or RsAnswer_GiveUp() */
};

/* If `close` is set, the caller must close the connection. If `finished` is
 * set, the outstanding request has ended with `outcome`. */
struct rs_answer_verdict {
    enum rs_answer_kind kind;
    bool close;
    bool finished;
    enum rs_outcome outcome;
};

/* What is known of a request, from which its outcome follows. */
struct rs_answer_facts {
    bool written; /* a byte may have been passed to the socket */
    /* the target reported that the request was not run */
    bool reported_not_run;
    bool aborted;  /* the target reported an abort without effect */
    bool complete; /* the request's own answer arrived completely */
};

enum rs_outcome RsAnswer_Outcome(const struct rs_answer_facts *facts);
enum rs_answer_reported_outcome RsAnswer_ParseOutcomeHeader(const char *text);

/* The request */
int RsAnswer_BeginRequest(struct rs_answer *answer, const char *request_id);
void RsAnswer_RecordWritten(struct rs_answer *answer, bool whole);

/* Events of the connection */
struct rs_answer_verdict
RsAnswer_ReceiveHead(struct rs_answer *answer,
                     const struct rs_answer_head *head);
struct rs_answer_verdict RsAnswer_ReceiveBody(struct rs_answer *answer,
                                              uint64_t size_bytes);
struct rs_answer_verdict RsAnswer_ReceiveEnd(struct rs_answer *answer);
struct rs_answer_verdict RsAnswer_HandleClose(struct rs_answer *answer);
struct rs_answer_verdict RsAnswer_GiveUp(struct rs_answer *answer);

#endif
