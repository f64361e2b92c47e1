/* The requests that a target has run, which standin_judge checks. The record
 * is bounded: it drops the oldest events and reports that as an overflow. */

#ifndef RATTANSHED_STANDIN_RECORD_H
#define RATTANSHED_STANDIN_RECORD_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rs_record;

/* A request that the target ran. The texts are copied. */
struct rs_record_event {
    const char *request_id;
    const char *method;
    const char *service;
    const char *key;
    const char *holder;
    const char *slice; /* empty when the request has no fence */
    uint64_t epoch;
    uint64_t step;
    int64_t start_ms; /* by the target's clock */
    int64_t end_ms;
    int64_t wall_start_us; /* by the wall clock */
    int64_t wall_end_us;
    bool effect; /* it took effect; false if it was refused at its end */
};

struct rs_record *RsRecord_New(size_t capacity);
void RsRecord_Free(struct rs_record *record);
int64_t RsRecord_Append(struct rs_record *record,
                        const struct rs_record_event *event);
json_t *RsRecord_EventJson(int64_t number,
                           const struct rs_record_event *event);
json_t *RsRecord_Read(const struct rs_record *record, int64_t after,
                      size_t limit);

#endif
