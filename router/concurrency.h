/* How many concurrent requests a target answers within the latency target. The
 * limit follows from the target's slots and from its speed, which is learned
 * from answers: the mean work of each kind of request (a route) is kept for
 * the service, and for each target only a factor on it. No I/O; see
 * docs/design/concurrency.md. */

#ifndef RATTANSHED_ROUTER_CONCURRENCY_H
#define RATTANSHED_ROUTER_CONCURRENCY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Mean work of a kind of request, or of all requests to a service, on a target
 * of mean speed. Older samples count less. */
struct rs_concurrency_work {
    double mean_ms; /* 0: no sample yet */
    double samples; /* decayed number of samples */
    int64_t updated_at_ms;
};

/* What a node knows of one service. */
struct rs_concurrency_service {
    struct rs_concurrency_work work; /* over all kinds */
    GHashTable *kinds; /* interned route to struct rs_concurrency_work */
    /* Over the targets with samples; see RsConcurrency_CountFactor(). */
    double factor_sum;
    uint32_t factor_count;
    double shared_ms_sum; /* of the service times that all nodes have seen */
    uint32_t shared_count;
};

/* Decayed sums of samples. A sample is the work of one request relative to the
 * mean work of its kind. */
struct rs_concurrency_sums {
    double samples;
    double relative_work;
};

/* What a node has learned of a target's present process; all zero for a new
 * one. */
struct rs_concurrency {
    struct rs_concurrency_sums own; /* of this node, for its reports */
    /* Of this node's requests that should have been answered by now. */
    struct rs_concurrency_sums overdue;
    struct rs_concurrency_sums all; /* of all nodes, as far as known */
    int64_t decayed_at_ms;
    double factor;     /* duration of its work relative to the mean; 0: none */
    double service_ms; /* expected work of a request; 0: not learned */
    /* For the log. */
    double logged_factor;
    int64_t logged_at_ms;
};

/* One answered request. */
struct rs_concurrency_sample {
    double elapsed_ms;
    double queueing_factor;    /* see RsFleet_QueueingFactor() */
    uint32_t duration_percent; /* as the target states it, see
                                  platform/report.h */
};

/* Inputs of the limit. */
struct rs_concurrency_input {
    uint32_t slots;
    double service_ms; /* mean work of the requests of a target */
    double work_ms;    /* expected work of the request at the target */
    double latency_target_ms;
};

void RsConcurrency_InitService(struct rs_concurrency_service *service);
void RsConcurrency_ClearService(struct rs_concurrency_service *service);
double RsConcurrency_MeanWorkMs(const struct rs_concurrency_service *service,
                                const char *route);
void RsConcurrency_Record(struct rs_concurrency *target,
                          struct rs_concurrency_service *service,
                          const char *route,
                          const struct rs_concurrency_sample *sample,
                          int64_t now_ms);
void RsConcurrency_RecordOverdue(struct rs_concurrency *target,
                                 const struct rs_concurrency_service *service,
                                 const char *route,
                                 const struct rs_concurrency_sample *sample);
void RsConcurrency_Decay(struct rs_concurrency *target, int64_t now_ms);
struct rs_concurrency_sums
RsConcurrency_Reported(const struct rs_concurrency *target);
void RsConcurrency_SetSums(struct rs_concurrency *target,
                           const struct rs_concurrency_sums *sums,
                           int64_t now_ms);
void RsConcurrency_ResetFactors(struct rs_concurrency_service *service);
void RsConcurrency_CountFactor(struct rs_concurrency_service *service,
                               const struct rs_concurrency *target,
                               double shared_service_ms);
void RsConcurrency_Refresh(struct rs_concurrency *target,
                           const struct rs_concurrency_service *service);
double RsConcurrency_Limit(const struct rs_concurrency_input *input);
bool RsConcurrency_IsNews(struct rs_concurrency *target, int64_t now_ms);

#endif
