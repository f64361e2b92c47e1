/* How many requests may be at one target at once: a limit that learns from
 * the target's answers, behind a table of policies. */

#ifndef RATTANSHED_DISPATCH_LIMIT_H
#define RATTANSHED_DISPATCH_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

enum rs_limit_outcome {
    RsLimit_DONE,    /* answered */
    RsLimit_REFUSED, /* the target refused it: too much for it */
    RsLimit_TIMEOUT, /* no answer in time */
    RsLimit_OTHER    /* says nothing of the target's load */
};

struct rs_limit_sample {
    enum rs_limit_outcome outcome;
    int64_t now_ms;
    int64_t latency_us;
    uint32_t in_flight; /* at the target when it was sent, itself included */
    bool full;          /* the limit was reached when it ended */
};

/* A value type; owns nothing. */
struct rs_limit {
    uint32_t slots;
    uint32_t window;
    double value;
    double run_us;    /* latency without waiting at the target */
    double recent_us; /* latency beyond the slots */
    int64_t next_cut_ms;
};

struct rs_limit_policy {
    const char *name;
    void (*start)(struct rs_limit *limit);
    void (*learn)(struct rs_limit *limit,
                  const struct rs_limit_sample *sample);
};

extern const struct rs_limit_policy rs_limit_adaptive;
extern const struct rs_limit_policy rs_limit_fixed;
extern const struct rs_limit_policy rs_limit_none;

const struct rs_limit_policy *RsLimit_FindPolicy(const char *name);
void RsLimit_Start(struct rs_limit *limit,
                   const struct rs_limit_policy *policy, uint32_t slots,
                   uint32_t window);
uint32_t RsLimit_Value(const struct rs_limit *limit);

#endif
