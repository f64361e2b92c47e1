/* A simulated target. It accepts grants of keys, runs requests, reports itself
 * to the store and fails on command. It tells the check which keys it holds
 * and which requests it runs. */

#ifndef RATTANSHED_SOAK_TARGET_H
#define RATTANSHED_SOAK_TARGET_H

#include <uv.h>

#include "soak/check.h"
#include "soak/store.h"
#include "standin/link_proxy.h"

struct rs_soak_target_options {
    uv_loop_t *loop;
    uint32_t number;
    const char *service;
    const char *zone;
    bool sharded;
    uint16_t port;       /* where the target listens */
    uint16_t proxy_port; /* where nodes connect; forwards to `port` */
    uint32_t work_ms;    /* mean duration of a request */
    bool hides_load;     /* states no load in its responses */
    struct rs_check *check;
    struct rs_soak_store *store;
    GRand *random;
};

/* A request for this path crashes the target that begins to run it. The target
 * starts again after a second, with a new id. */
#define RsSoakTarget_DEADLY_PATH "/get/deadly"

/* Violations that are injected to test that the check detects them. */
enum rs_soak_violation {
    RsSoakViolation_NONE,
    RsSoakViolation_SECOND_OWNER, /* the target is said to hold all keys for
                                     1 s */
    RsSoakViolation_TWICE,        /* non-idempotent requests are run twice */
    RsSoakViolation_MIXED,        /* response bodies are corrupted */
    RsSoakViolation_KEY,          /* requests are said to come with keys */
};

struct rs_soak_target;

struct rs_soak_target *
RsSoakTarget_Open(const struct rs_soak_target_options *options);
struct rs_link_proxy *RsSoakTarget_Proxy(const struct rs_soak_target *target);

void RsSoakTarget_Start(struct rs_soak_target *target, bool new_id);
void RsSoakTarget_Crash(struct rs_soak_target *target);
void RsSoakTarget_ReportDraining(struct rs_soak_target *target);
void RsSoakTarget_Drain(struct rs_soak_target *target);
void RsSoakTarget_SetSlowdown(struct rs_soak_target *target, uint32_t factor);
void RsSoakTarget_SetLateOrders(struct rs_soak_target *target, bool late);
void RsSoakTarget_SetReporting(struct rs_soak_target *target, bool on);
void RsSoakTarget_InjectViolation(struct rs_soak_target *target,
                                  enum rs_soak_violation violation);
void RsSoakTarget_SayLeaving(struct rs_soak_target *target);
void RsSoakTarget_Close(struct rs_soak_target *target,
                        const char *retry_after);
void RsSoakTarget_SetLimit(struct rs_soak_target *target, const char *limit);
uint32_t RsSoakTarget_DeadlyRuns(const struct rs_soak_target *target);
uint32_t RsSoakTarget_MostRequestsWithin(const struct rs_soak_target *target,
                                         int64_t since_ms, int64_t window_ms);
bool RsSoakTarget_IsUp(const struct rs_soak_target *target);
uint64_t RsSoakTarget_RequestCount(const struct rs_soak_target *target);
const char *RsSoakTarget_Workspace(const struct rs_soak_target *target);
uint32_t RsSoakTarget_CredentialsCount(const struct rs_soak_target *target);

char *RsSoakTarget_Signature(const char *request_id);

#endif
