/* The results of a load run: counts and latencies of each class of requests, a
 * time line, and, for each class, the longest time in which a group of keys
 * got no answer. */

#ifndef RATTANSHED_STANDIN_LOAD_REPORT_H
#define RATTANSHED_STANDIN_LOAD_REPORT_H

#include <jansson.h>
#include <stdint.h>

#include "standin/load_answer.h"
#include "standin/load_traffic.h"

#define RsLoadReport_KEY_GROUPS 64

struct rs_load_report;

/* How a request ended. Times are in microseconds since the run started. */
struct rs_load_result {
    enum rs_load_class class;
    enum rs_load_outcome outcome;
    uint64_t key_hash;   /* chooses the group of keys */
    int64_t intended_us; /* when the request was to be sent; the latency
                            counts from then */
    int64_t end_us;
    const char *reason; /* ignored for RsLoad_ANSWERED; may be NULL */
};

struct rs_load_report *RsLoadReport_New(int64_t duration_us);
void RsLoadReport_Free(struct rs_load_report *report);
void RsLoadReport_AddSent(struct rs_load_report *report,
                          enum rs_load_class class, uint64_t key_hash,
                          int64_t intended_us);
void RsLoadReport_AddResult(struct rs_load_report *report,
                            const struct rs_load_result *result);
void RsLoadReport_EndWaits(struct rs_load_report *report, int64_t now_us);
json_t *RsLoadReport_Json(const struct rs_load_report *report);
void RsLoadReport_Print(const struct rs_load_report *report);

#endif
