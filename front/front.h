/* The caller-facing part of the data task. It receives requests over HTTP,
 * routes each to the process that holds its slice (or to a target that it
 * chooses, for a request without a key), retries where that is allowed, and
 * gives each request one final answer unless its caller disconnects first. */

#ifndef RATTANSHED_FRONT_FRONT_H
#define RATTANSHED_FRONT_FRONT_H

#include <jansson.h>
#include <netinet/in.h>
#include <uv.h>

#include "core/counter.h"
#include "dispatch/choice.h"
#include "dispatch/holder.h"
#include "dispatch/retry.h"
#include "view/view.h"

struct rs_front_counters {
    struct rs_counter requests;
    struct rs_counter answered;
    struct rs_counter not_run; /* refused; no target ran the request */
    struct rs_counter unknown; /* outcome unknown; a target may have run it */
    /* requests refused before the first attempt: malformed, too large,
     * unknown service, no rule, or no snapshot yet */
    struct rs_counter rejected;
    struct rs_counter broken;       /* answers that ended incomplete */
    struct rs_counter disconnected; /* requests whose caller disconnected
                                     * before the end of the answer */
    struct rs_counter attempts;
    struct rs_counter redirects;
    struct rs_counter hedges; /* also those for which no target was usable */
    struct rs_counter open;   /* as RsFront_CountOpenRequests() */
    /* from arrival to the head of a target's answer */
    struct rs_histogram latency_us;
};

struct rs_front;

struct rs_front_options {
    uv_loop_t *loop;
    struct sockaddr_in address;
    const char *self;
    const char *domain;
    struct rs_holder *holder;
    size_t max_body_bytes;
    size_t max_header_bytes;
    uint32_t max_connections;
    const struct rs_choice_policy *choice;
    const struct rs_retry_policy *retry;
    double retry_share; /* retry tokens that each first attempt adds */
    uint64_t seed;
};

int RsFront_Open(const struct rs_front_options *options,
                 struct rs_front **front);
void RsFront_SetView(struct rs_front *front, struct rs_view *view);
void RsFront_Leave(struct rs_front *front);
void RsFront_StopListening(struct rs_front *front);
void RsFront_Tick(struct rs_front *front, int64_t now_ms);
size_t RsFront_CountOpenRequests(const struct rs_front *front);
const struct rs_front_counters *RsFront_Counters(const struct rs_front *front);
json_t *RsFront_Dump(const struct rs_front *front, int64_t now_ms);

#endif
