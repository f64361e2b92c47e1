/* The submission of one ticket, as a state machine without I/O.
 *
 * RsSubmit_Start and the RsSubmit_On... functions return the current action,
 * which the owner of the submission carries out. `action_number` identifies an
 * action: if it is the same as that of the previous action, there is nothing
 * new to do. The owner reports the result of an action with its number;
 * results of earlier actions are ignored. If an action other than
 * RsSubmit_DONE is still the current one at its `until_ms`, the owner calls
 * RsSubmit_OnTimer. */

#ifndef RATTANSHED_TICKET_SUBMIT_H
#define RATTANSHED_TICKET_SUBMIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ticket/config.h"
#include "ticket/fault.h"
#include "ticket/ticket.h"

enum rs_submit_outcome {
    RsSubmit_ACCEPTED, /* the ticket is stored durably; this submission or
                          an earlier one wrote it */
    RsSubmit_CONFLICT, /* the number is another ticket's, or not the next */
    RsSubmit_INVALID,  /* the faults list the reasons */
    RsSubmit_NOT_ACCEPTED, /* not accepted in time; nothing was written */
    RsSubmit_UNKNOWN       /* a commit may have been sent; whether it took
                              effect is not known */
};

enum rs_submit_action_kind {
    RsSubmit_GET,    /* read the table row `key` */
    RsSubmit_COMMIT, /* send `body` to the table's commit call */
    RsSubmit_WAIT,   /* do nothing until `until_ms` */
    RsSubmit_DONE    /* RsSubmit_Result has the outcome */
};

/* `key` is for RsSubmit_GET and `body` for RsSubmit_COMMIT. Both are borrowed
 * until the next call to a function of this submission. `until_ms` is the time
 * on the clock of `now_ms` at which a wait ends, or by which a GET or COMMIT
 * must have its response. */
struct rs_submit_action {
    enum rs_submit_action_kind kind;
    uint32_t action_number;
    int64_t until_ms;
    const char *key;
    const json_t *body;
};

struct rs_submit_options {
    struct rs_ticket *ticket; /* ownership passes to the submission */
    int64_t deadline_ms;      /* point in time at which to give up */
    int64_t call_timeout_ms;  /* for one read or commit */
    int64_t retry_after_ms;   /* wait before the next try */
};

/* `head` is the number of the newest accepted ticket known, or 0 if none is
 * known. `difference` is NULL unless the outcome is a conflict. All pointers
 * are borrowed. */
struct rs_submit_result {
    enum rs_submit_outcome outcome;
    uint64_t number;
    uint64_t head;
    char digest[RsId_TEXT_BYTES];
    const struct rs_faults *faults;
    const json_t *difference;
};

struct rs_submit;

struct rs_submit *RsSubmit_New(const struct rs_submit_options *options);
void RsSubmit_Free(struct rs_submit *submit);

/* `config` is the newest configuration that the process has, or NULL if it has
 * none yet. The submission keeps no reference to it. */
struct rs_submit_action RsSubmit_Start(struct rs_submit *submit,
                                       const struct rs_config *config,
                                       int64_t now_ms);
struct rs_submit_action RsSubmit_OnResponse(struct rs_submit *submit,
                                            uint32_t action_number, int status,
                                            const json_t *body,
                                            const struct rs_config *config,
                                            int64_t now_ms);
struct rs_submit_action RsSubmit_OnCallFailed(struct rs_submit *submit,
                                              uint32_t action_number,
                                              bool sent,
                                              const struct rs_config *config,
                                              int64_t now_ms);
struct rs_submit_action RsSubmit_OnTimer(struct rs_submit *submit,
                                         const struct rs_config *config,
                                         int64_t now_ms);
struct rs_submit_action RsSubmit_CurrentAction(const struct rs_submit *submit);
struct rs_submit_result RsSubmit_Result(const struct rs_submit *submit);

#endif
