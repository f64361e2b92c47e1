/* What a load run found: counts and latencies of each class, a time line, and
 * how long groups of keys went without an answer. */

#ifndef RATTANSHED_STANDIN_LOAD_REPORT_H
#define RATTANSHED_STANDIN_LOAD_REPORT_H

#include <jansson.h>
#include <stdint.h>

#include "standin/load_answer.h"
#include "standin/load_traffic.h"

#define RsLoadReport_KEY_GROUPS 64

struct rs_load_report;

/* All times in microseconds since the start of the run. */
struct rs_load_result {
    enum rs_load_class class;
    enum rs_load_outcome outcome;
    uint64_t key_hash;
    int64_t intended_us;
    int64_t end_us;
    const char *reason;
};

struct rs_load_report *RsLoadReport_New(int64_t duration_us);
void RsLoadReport_Free(struct rs_load_report *report);
void RsLoadReport_Sent(struct rs_load_report *report, enum rs_load_class class,
                       uint64_t key_hash, int64_t intended_us);
void RsLoadReport_Ended(struct rs_load_report *report,
                        const struct rs_load_result *result);
void RsLoadReport_Close(struct rs_load_report *report, int64_t now_us);
json_t *RsLoadReport_Json(const struct rs_load_report *report);
void RsLoadReport_Print(const struct rs_load_report *report);

#endif
