/* One submission of a ticket, as a state machine without I/O.
 *
 * Each call gives the action that is under way; when its `call` is that of
 * the action before, there is nothing new to do. The owner carries an action
 * out and reports back with its `call`; reports of earlier calls are passed
 * over. At `until_ms` of any action but RsSubmit_DONE it calls
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
    RsSubmit_ACCEPTED,     /* durable; also for a repeat of the same ticket */
    RsSubmit_CONFLICT,     /* the number is taken, or not the next one */
    RsSubmit_INVALID,      /* see the faults */
    RsSubmit_NOT_ACCEPTED, /* platform unavailable; nothing was written */
    RsSubmit_UNKNOWN       /* platform unavailable after a write was sent */
};

enum rs_submit_action_kind {
    RsSubmit_GET,    /* read the row `key` */
    RsSubmit_COMMIT, /* post `body` */
    RsSubmit_WAIT,
    RsSubmit_DONE
};

/* Key and body live until the next call into the machine. */
struct rs_submit_action {
    enum rs_submit_action_kind kind;
    uint32_t call;
    int64_t until_ms;
    const char *key;
    const json_t *body;
};

struct rs_submit_options {
    struct rs_ticket *ticket; /* the submission owns it */
    int64_t deadline_ms;      /* a clock reading */
    int64_t call_timeout_ms;
    int64_t retry_after_ms;
};

/* `head` is the last known number; `difference` is set for a conflict. */
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

/* `config` is the newest snapshot that the process has, NULL before the first;
 * it is not kept. */
struct rs_submit_action RsSubmit_Start(struct rs_submit *submit,
                                       const struct rs_config *config,
                                       int64_t now_ms);
struct rs_submit_action RsSubmit_OnAnswer(struct rs_submit *submit,
                                          uint32_t call, int status,
                                          const json_t *body,
                                          const struct rs_config *config,
                                          int64_t now_ms);
struct rs_submit_action RsSubmit_OnLost(struct rs_submit *submit,
                                        uint32_t call, bool sent,
                                        const struct rs_config *config,
                                        int64_t now_ms);
struct rs_submit_action RsSubmit_OnTimer(struct rs_submit *submit,
                                         const struct rs_config *config,
                                         int64_t now_ms);
struct rs_submit_action RsSubmit_Pending(const struct rs_submit *submit);
struct rs_submit_result RsSubmit_Result(const struct rs_submit *submit);

#endif
