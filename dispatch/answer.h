/* Matches answers to requests on one connection to a target, and says what
 * is then known of the request. At most one request is outstanding. An
 * answer that is not whole or not the request's own closes the connection.
 * Plain state machine. */

#ifndef RATTANSHED_DISPATCH_ANSWER_H
#define RATTANSHED_DISPATCH_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"
#include "dispatch/outcome.h"

#define RsAnswer_ID_BYTES 128 /* with the zero byte */

enum rs_answer_error {
    RsAnswer_BUSY = RsError_DISPATCH - 20,
    RsAnswer_CLOSED = RsError_DISPATCH - 21,
    RsAnswer_BAD_ID = RsError_DISPATCH - 22
};

enum rs_answer_state {
    RsAnswer_IDLE,
    RsAnswer_ASSIGNED, /* a request, but no byte of it is written */
    RsAnswer_WAITING,
    RsAnswer_IN_BODY,
    RsAnswer_SHUT
};

/* What a target says of itself in `X-Outcome`. */
enum rs_answer_word {
    RsAnswer_WORD_NONE,
    RsAnswer_WORD_DONE,
    RsAnswer_WORD_NOT_RUN,
    RsAnswer_WORD_ABORTED
};

/* A value type; zeroed memory is an idle connection. */
struct rs_answer {
    enum rs_answer_state state;
    char request_id[RsAnswer_ID_BYTES];
    char last_id[RsAnswer_ID_BYTES]; /* of the answer before */
    uint64_t start_id;               /* 0 until the first answer */
    enum rs_answer_word word;
    bool fully_written;
    int64_t left_bytes; /* of the body, -1 when it ends otherwise */
};

struct rs_answer_head {
    const char *request_id; /* NULL when absent */
    uint64_t start_id;      /* 0 when absent */
    enum rs_answer_word word;
    int64_t length_bytes; /* -1 when not known beforehand */
};

enum rs_answer_kind {
    RsAnswer_GOOD,     /* pass on the head or these bytes */
    RsAnswer_COMPLETE, /* the answer is whole */
    RsAnswer_MISMATCH, /* another request's, or another process's */
    RsAnswer_SHORT,    /* it ends before it is whole */
    RsAnswer_LATE,     /* nobody waits for it */
    RsAnswer_DOUBLE,   /* a second answer, or bytes after the end */
    RsAnswer_QUIET     /* nothing to tell: an idle connection closed */
};

/* `finished`: the outstanding request ends here, with `outcome`. */
struct rs_answer_verdict {
    enum rs_answer_kind kind;
    bool close;
    bool finished;
    enum rs_outcome outcome;
};

struct rs_answer_facts {
    bool written; /* its first byte was given to the socket */
    bool said_not_run;
    bool aborted;
    bool complete; /* its own answer arrived whole */
};

enum rs_outcome RsAnswer_Outcome(const struct rs_answer_facts *facts);
enum rs_answer_word RsAnswer_ParseWord(const char *text);

/* The request */
int RsAnswer_Begin(struct rs_answer *answer, const char *request_id);
void RsAnswer_Written(struct rs_answer *answer, bool whole);

/* What the connection brings */
struct rs_answer_verdict RsAnswer_Head(struct rs_answer *answer,
                                       const struct rs_answer_head *head);
struct rs_answer_verdict RsAnswer_Body(struct rs_answer *answer,
                                       uint64_t size_bytes);
struct rs_answer_verdict RsAnswer_End(struct rs_answer *answer);
struct rs_answer_verdict RsAnswer_Close(struct rs_answer *answer);
struct rs_answer_verdict RsAnswer_GiveUp(struct rs_answer *answer);

#endif
