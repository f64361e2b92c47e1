/* Checks the system's guarantees, for standin_judge and the failure tests, on
 * the events that targets recorded and the outcomes that callers were told: a
 * key has one owner at a time; no request takes effect under a stale fence; no
 * POST request takes effect twice; a request reported as not run takes no
 * effect; an answered POST request takes effect; no target runs more
 * requests at once than it has slots. */

#ifndef RATTANSHED_STANDIN_CHECKER_H
#define RATTANSHED_STANDIN_CHECKER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rs_checker;

/* A request that a target ran. The texts are copied. */
struct rs_checker_event {
    const char *target;
    const char *service;
    const char *request_id;
    const char *method;
    const char *key;
    const char *slice; /* empty when the request has no fence */
    uint64_t epoch;
    uint64_t step;
    int64_t start_us; /* by the wall clock */
    int64_t end_us;   /* by the wall clock */
    bool effect;      /* it took effect; false if it was refused at its end */
};

/* The outcome of a request as its caller saw it. The texts are copied. */
struct rs_checker_request {
    const char *request_id;
    const char *method;
    const char *outcome; /* a name from RsLoadAnswer_OutcomeName(), which
                            standin_load also writes to its log */
};

struct rs_checker *RsChecker_New(void);
void RsChecker_Free(struct rs_checker *checker);

void RsChecker_AddEvent(struct rs_checker *checker,
                        const struct rs_checker_event *event);
void RsChecker_AddRequest(struct rs_checker *checker,
                          const struct rs_checker_request *request);
void RsChecker_SetSlots(struct rs_checker *checker, const char *target,
                        uint32_t slots);
void RsChecker_MarkPartial(struct rs_checker *checker, const char *target);

const GPtrArray *RsChecker_Run(struct rs_checker *checker);

#endif
