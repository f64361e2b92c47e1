/* What callers and targets must see, whatever fails. It knows nothing of the
 * router: it is told what targets hold and run, and what callers get. */

#ifndef RATTANSHED_SOAK_CHECK_H
#define RATTANSHED_SOAK_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define RsCheck_KEYS 65536
#define RsCheck_MAX_TARGETS 32

/* A range of keys that a target holds until a time. */
struct rs_check_hold {
    uint32_t first_key;
    uint32_t last_key;
    uint64_t fence;
    int64_t until_ms;
};

struct rs_check_target {
    bool up;
    GArray *holds; /* struct rs_check_hold */
};

struct rs_check {
    struct rs_check_target targets[RsCheck_MAX_TARGETS];
    uint64_t taken_fence[RsCheck_KEYS];
    uint32_t taken_by[RsCheck_KEYS];
    GHashTable *runs;    /* request id to the number of its runs */
    GHashTable *refused; /* ids of requests that were said not to run */
    uint32_t violations;
    FILE *report;
    int64_t start_ms;
};

void RsCheck_Init(struct rs_check *check, FILE *report, int64_t now_ms);
void RsCheck_Free(struct rs_check *check);

/* Targets. */
void RsCheck_TargetStarts(struct rs_check *check, uint32_t target);
void RsCheck_TargetEnds(struct rs_check *check, uint32_t target);
void RsCheck_Grant(struct rs_check *check, uint32_t target,
                   const struct rs_check_hold *hold, int64_t now_ms);
void RsCheck_Release(struct rs_check *check, uint32_t target,
                     uint32_t first_key, uint32_t last_key, int64_t now_ms);
bool RsCheck_Holds(const struct rs_check *check, uint32_t target, uint32_t key,
                   int64_t now_ms);
void RsCheck_Run(struct rs_check *check, const char *request_id,
                 bool repeatable, int64_t now_ms);

/* Callers. */
void RsCheck_Answer(struct rs_check *check, const char *request_id,
                    bool repeatable, int status, bool sound, int64_t now_ms);

/* Anything else that must not happen. */
void RsCheck_Fail(struct rs_check *check, const char *rule, int64_t now_ms,
                  const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#endif
