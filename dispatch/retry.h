/* Retry policy of the front. After each try of a request it decides whether to
 * retry, to follow a redirect, to wait for another copy that is still in
 * flight, or to answer the caller. This is a pure state machine.
 *
 * A request that is not repeatable is retried only if it certainly was not
 * run. Hedges (second copies of a slow request) take tokens from a budget, and
 * retries under policy `budget` from another, except those of tries that were
 * refused because of their routing. Each first try adds tokens to both. */

#ifndef RATTANSHED_DISPATCH_RETRY_H
#define RATTANSHED_DISPATCH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "dispatch/outcome.h"
#include "dispatch/quantile.h"

struct rs_retry_policy {
    const char *name;
    bool retries;
    bool uses_budget;
    bool backs_off; /* between tries */
};

struct rs_retry_options {
    const struct rs_retry_policy *policy;
    uint64_t seed;
    uint32_t max_tries; /* no retry after this many tries, hedges included */
    uint32_t max_redirects;
    /* most retries of tries that were refused because of their routing; these
     * tries do not count for `max_tries` */
    uint32_t max_routing_refusals;
    /* longest random wait before the first retry; doubles with each further
     * one up to `max_backoff_ms` */
    uint32_t backoff_ms;
    uint32_t max_backoff_ms;
    double budget_share;   /* retry tokens added by each first try */
    double hedge_share;    /* hedge tokens added by each first try */
    double burst;          /* most tokens that either budget holds */
    uint32_t min_hedge_ms; /* shortest wait before a hedge */
};

struct rs_retry_counts {
    uint64_t first_tries;
    uint64_t retries;
    uint64_t redirects;
    uint64_t hedges;
    uint64_t out_of_budget; /* retries not made for lack of a token */
};

/* Retry state of one service in one front. A value type; owns nothing. */
struct rs_retry {
    struct rs_retry_options options;
    double retry_tokens;
    double hedge_tokens;
    uint64_t random;               /* state of the pseudo-random generator */
    struct rs_quantile latency_us; /* p95 of the recorded latencies */
    struct rs_retry_counts counts;
};

/* Retry state of one caller's request. A value type. */
struct rs_retry_request {
    bool repeatable;
    bool keyed;
    int64_t deadline_ms;
    /* tries that were sent, except those that ended with a redirect that was
     * followed and those in `retried_routing_refusals` */
    uint32_t tries;
    uint32_t redirects; /* followed */
    uint32_t in_flight; /* tries that were sent and have no outcome yet */
    /* tries that were refused because of their routing and were retried */
    uint32_t retried_routing_refusals;
    /* set by the caller of RsRetry_Decide() if the last try was refused
     * because of its routing, for example while a slice moves; no target has
     * worked on it, so its retry takes no token */
    bool refused_by_routing;
    bool may_have_run; /* the outcome of a try is unknown */
    bool hedged;
    bool answered; /* RsRetry_ANSWER was decided */
};

enum rs_retry_action {
    RsRetry_NOTHING, /* the caller was answered already */
    RsRetry_WAIT,    /* another try is still in flight */
    RsRetry_RETRY,   /* route it again and send it at `at_ms` or later */
    /* send it to the process that the redirect answer named, at `at_ms` or
     * later */
    RsRetry_REDIRECT,
    RsRetry_ANSWER /* final: answer the caller with `outcome` */
};

struct rs_retry_decision {
    enum rs_retry_action action;
    int64_t at_ms;           /* for RETRY and REDIRECT */
    enum rs_outcome outcome; /* for ANSWER */
    /* for RETRY: prefer a target that was not tried yet */
    bool prefer_other_target;
};

extern const struct rs_retry_policy rs_retry_budget;
extern const struct rs_retry_policy rs_retry_immediate;
extern const struct rs_retry_policy rs_retry_none;

const struct rs_retry_policy *RsRetry_FindPolicy(const char *name);
void RsRetry_Init(struct rs_retry *retry,
                  const struct rs_retry_options *options);

/* Tries */
void RsRetry_BeginRequest(struct rs_retry *retry,
                          struct rs_retry_request *request, bool repeatable,
                          bool keyed, int64_t deadline_ms);
void RsRetry_RecordSent(struct rs_retry_request *request);
void RsRetry_Decide(struct rs_retry *retry, struct rs_retry_request *request,
                    int64_t now_ms, enum rs_outcome outcome,
                    uint32_t retry_after_ms,
                    struct rs_retry_decision *decision);

/* Hedges */
void RsRetry_RecordLatency(struct rs_retry *retry, int64_t latency_us);
int64_t RsRetry_HedgeAtMs(const struct rs_retry *retry,
                          const struct rs_retry_request *request,
                          int64_t sent_at_ms);
bool RsRetry_TryHedge(struct rs_retry *retry, struct rs_retry_request *request,
                      int64_t now_ms);

#endif
