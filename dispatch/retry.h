/* What the front does after each try of a request: try again, wait for a
 * second copy that is still out, or answer the caller. Plain state machine.
 *
 * A request that is not repeatable is tried again only when it truly was not
 * run. Retries and hedges have budgets, filled by first tries. */

#ifndef RATTANSHED_DISPATCH_RETRY_H
#define RATTANSHED_DISPATCH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "dispatch/outcome.h"
#include "dispatch/quantile.h"

struct rs_retry_policy {
    const char *name;
    bool retries;
    bool counts_budget;
    bool waits; /* backs off between tries */
};

struct rs_retry_options {
    const struct rs_retry_policy *policy;
    uint64_t seed;
    uint32_t max_tries;
    uint32_t max_redirects;
    uint32_t max_unasked; /* tries that no target was asked in */
    uint32_t backoff_ms;  /* doubles with each try */
    uint32_t max_backoff_ms;
    double budget_share; /* retries for each first try */
    double hedge_share;  /* hedges for each first try */
    double burst;        /* most that either budget holds */
    uint32_t min_hedge_ms;
};

struct rs_retry_counts {
    uint64_t first_tries;
    uint64_t retries;
    uint64_t redirects;
    uint64_t hedges;
    uint64_t out_of_budget;
};

/* Of one front and service. A value type; owns nothing. */
struct rs_retry {
    struct rs_retry_options options;
    double retry_tokens;
    double hedge_tokens;
    uint64_t random;
    struct rs_quantile latency_us; /* of unkeyed requests, p95 */
    struct rs_retry_counts counts;
};

/* One caller's request. A value type. */
struct rs_retry_request {
    bool repeatable;
    bool keyed;
    int64_t deadline_ms;
    uint32_t tries;
    uint32_t redirects;
    uint32_t out; /* tries without an outcome yet */
    uint32_t unasked_tries;
    bool unasked; /* set before RsRetry_Decide(): the last try was refused
                   * before any target was asked, as while a slice moves; it
                   * costs no target anything and so no budget */
    bool may_have_run;
    bool hedged;
    bool answered;
};

enum rs_retry_action {
    RsRetry_NOTHING,  /* the caller has its answer already */
    RsRetry_WAIT,     /* another try is still out */
    RsRetry_AGAIN,    /* look up afresh, send not before `at_ms` */
    RsRetry_REDIRECT, /* send to the process named, not before `at_ms` */
    RsRetry_ANSWER    /* final: tell the caller `outcome` */
};

struct rs_retry_decision {
    enum rs_retry_action action;
    int64_t at_ms;
    enum rs_outcome outcome;
    bool other_target; /* prefer one that was not tried */
};

extern const struct rs_retry_policy rs_retry_budget;
extern const struct rs_retry_policy rs_retry_immediate;
extern const struct rs_retry_policy rs_retry_none;

const struct rs_retry_policy *RsRetry_FindPolicy(const char *name);
void RsRetry_Start(struct rs_retry *retry,
                   const struct rs_retry_options *options);

/* Tries */
void RsRetry_Begin(struct rs_retry *retry, struct rs_retry_request *request,
                   bool repeatable, bool keyed, int64_t deadline_ms);
void RsRetry_Sent(struct rs_retry_request *request);
void RsRetry_Decide(struct rs_retry *retry, struct rs_retry_request *request,
                    int64_t now_ms, enum rs_outcome outcome,
                    uint32_t retry_after_ms,
                    struct rs_retry_decision *decision);

/* Hedges */
void RsRetry_Answered(struct rs_retry *retry, int64_t latency_us);
int64_t RsRetry_HedgeAtMs(const struct rs_retry *retry,
                          const struct rs_retry_request *request,
                          int64_t sent_ms);
bool RsRetry_Hedge(struct rs_retry *retry, struct rs_retry_request *request,
                   int64_t now_ms);

#endif
