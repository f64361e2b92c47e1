/* Load balancing: picks a target for a request without a key, by one of
 * several policies. */

#ifndef RATTANSHED_DISPATCH_CHOICE_H
#define RATTANSHED_DISPATCH_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch/health.h"

#define RsChoice_NONE ((size_t)-1)

struct rs_choice_target {
    bool usable; /* can be reached and is not leaving */
    enum rs_health_state state;
    uint32_t in_flight; /* including requests queued for it */
    uint32_t limit;     /* requests in flight with which it is full */
    double latency_us;  /* expected; 0 if unknown */
};

struct rs_choice;

struct rs_choice_policy {
    const char *name;
    /* Returns the index of a usable target other than `avoid`, or
     * RsChoice_NONE. `count` is not 0. */
    size_t (*pick)(struct rs_choice *choice,
                   const struct rs_choice_target *targets, size_t count,
                   size_t avoid);
};

/* A value type; owns nothing. */
struct rs_choice {
    const struct rs_choice_policy *policy;
    uint64_t random; /* state of the pseudo-random generator */
    /* counter of round robin; its remainder modulo the number of targets is
     * the index to try next */
    size_t next;
    uint64_t picks; /* so far, with the current one */
};

extern const struct rs_choice_policy rs_choice_two_choices;
extern const struct rs_choice_policy rs_choice_round_robin;
extern const struct rs_choice_policy rs_choice_random;

const struct rs_choice_policy *RsChoice_FindPolicy(const char *name);
void RsChoice_Init(struct rs_choice *choice,
                   const struct rs_choice_policy *policy, uint64_t seed);
size_t RsChoice_Pick(struct rs_choice *choice,
                     const struct rs_choice_target *targets, size_t count,
                     size_t avoid);

#endif
