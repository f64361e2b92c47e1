/* Checks the guarantees that the router gives to callers and targets, also
 * during faults. Independent of the router: simulated targets report the keys
 * that they hold and the requests that they run; callers report the responses
 * that they get. */

#ifndef RATTANSHED_SOAK_CHECK_H
#define RATTANSHED_SOAK_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define RsCheck_KEYS 65536
#define RsCheck_MAX_TARGETS 32
/* A target that states a limit may get RsCheck_MaxLimited() requests within
 * this time. */
#define RsCheck_LIMIT_WINDOW_MS 4000

struct rs_soak_workspaces;

/* A range of keys that a target holds until a point in time. */
struct rs_check_hold {
    uint32_t first_key;
    uint32_t last_key;
    uint64_t fence;
    int64_t until_ms;
};

struct rs_check_target {
    bool up;
    uint32_t life; /* number of its starts */
    GArray *holds; /* struct rs_check_hold */
};

struct rs_check {
    struct rs_check_target targets[RsCheck_MAX_TARGETS];
    uint64_t highest_fence[RsCheck_KEYS]; /* of the grants of each key */
    uint32_t last_holder[RsCheck_KEYS];   /* target of the last grant */
    uint32_t last_life[RsCheck_KEYS];     /* the life of that target */
    GHashTable *executed; /* ids of non-idempotent requests that were run */
    GHashTable *not_executed; /* ids of those reported not to have run */
    /* Checks the API keys of requests; NULL: there are no workspaces. */
    struct rs_soak_workspaces *workspaces;
    uint32_t violation_count;
    FILE *report;
    int64_t started_at_ms;
};

void RsCheck_Init(struct rs_check *check, FILE *report, int64_t now_ms);
void RsCheck_Free(struct rs_check *check);

/* Reports of targets, and a query of the keys that they hold. */
void RsCheck_RecordTargetStart(struct rs_check *check, uint32_t target);
void RsCheck_RecordTargetEnd(struct rs_check *check, uint32_t target);
void RsCheck_RecordGrant(struct rs_check *check, uint32_t target,
                         const struct rs_check_hold *hold, int64_t now_ms);
void RsCheck_RecordRelease(struct rs_check *check, uint32_t target,
                           uint32_t first_key, uint32_t last_key,
                           int64_t now_ms);
bool RsCheck_HoldsKey(const struct rs_check *check, uint32_t target,
                      uint32_t key, int64_t now_ms);
void RsCheck_RecordRun(struct rs_check *check, const char *request_id,
                       bool idempotent, int64_t now_ms);

uint32_t RsCheck_MaxLimited(double limit_per_s);

/* Reports of callers. */
void RsCheck_RecordResponse(struct rs_check *check, const char *request_id,
                            bool idempotent, int status, bool matches_request,
                            int64_t now_ms);

void RsCheck_ReportViolation(struct rs_check *check, const char *rule,
                             int64_t now_ms, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#endif
