/* Concurrency limit of one target: how many requests may be in flight to it.
 * Policy `adaptive` starts with a limit of `slots` and adjusts it to the
 * target's answers, between 1 and `slots` plus `window`. Policy `fixed` keeps
 * it at `slots` plus `window`, and policy `none` sets no limit. */

#ifndef RATTANSHED_DISPATCH_LIMIT_H
#define RATTANSHED_DISPATCH_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

enum rs_limit_outcome {
    RsLimit_DONE,    /* answered */
    RsLimit_REFUSED, /* the target refused to run it */
    RsLimit_TIMEOUT, /* no answer in time */
    RsLimit_OTHER    /* says nothing about the target's load */
};

struct rs_limit_sample {
    enum rs_limit_outcome outcome;
    int64_t now_ms;
    int64_t latency_us;
    uint32_t in_flight; /* when this request was sent, itself included */
    bool limit_reached; /* when this request ended */
};

/* A value type; owns nothing. */
struct rs_limit {
    uint32_t slots;  /* requests that the target runs at once */
    uint32_t window; /* further requests that may wait at the target */
    double value;    /* the limit */
    /* moving average of the latency of requests that were answered or timed
     * out and were sent while at most `slots` requests, themselves included,
     * were in flight; 0 if unknown */
    double mean_run_us;
    /* the same average for requests sent while more than `slots` were in
     * flight */
    double queued_latency_us;
    int64_t next_cut_at_ms; /* the limit is not lowered before this */
};

struct rs_limit_policy {
    const char *name;
    void (*start)(struct rs_limit *limit);
    void (*add_sample)(struct rs_limit *limit,
                       const struct rs_limit_sample *sample);
};

extern const struct rs_limit_policy rs_limit_adaptive;
extern const struct rs_limit_policy rs_limit_fixed;
extern const struct rs_limit_policy rs_limit_none;

const struct rs_limit_policy *RsLimit_FindPolicy(const char *name);
void RsLimit_Init(struct rs_limit *limit, const struct rs_limit_policy *policy,
                  uint32_t slots, uint32_t window);
uint32_t RsLimit_Value(const struct rs_limit *limit);

#endif
