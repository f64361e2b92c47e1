/* Judges by what the targets recorded, and what the callers were told,
 * whether the system kept its word. */

#ifndef RATTANSHED_STANDIN_JUDGE_CHECK_H
#define RATTANSHED_STANDIN_JUDGE_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rs_judge;

/* What a target ran. Texts are copied. */
struct rs_judge_event {
    const char *target;
    const char *service;
    const char *request_id;
    const char *method;
    const char *key;
    const char *slice; /* empty when the request has no fence */
    uint64_t epoch;
    uint64_t step;
    int64_t start_us; /* by the wall clock */
    int64_t end_us;
    bool effect;
};

/* What a caller was told. Texts are copied. */
struct rs_judge_request {
    const char *request_id;
    const char *method;
    const char *outcome; /* as in standin_load's log */
};

struct rs_judge *RsJudge_New(void);
void RsJudge_Free(struct rs_judge *judge);

void RsJudge_AddEvent(struct rs_judge *judge,
                      const struct rs_judge_event *event);
void RsJudge_AddRequest(struct rs_judge *judge,
                        const struct rs_judge_request *request);
void RsJudge_SetSlots(struct rs_judge *judge, const char *target,
                      uint32_t slots);
void RsJudge_MarkPartial(struct rs_judge *judge, const char *target);

/* Returns the violations, a text each, in an array of the judge's own. */
const GPtrArray *RsJudge_Check(struct rs_judge *judge);

#endif
