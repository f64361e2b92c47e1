/* Admission control for one target. It runs in the process that forwards
 * requests to this target.
 *
 * A request is sent only while fewer requests are in flight than the current
 * limit. The limit policy sets the limit (see limit.h), and a ceiling lowers
 * it while the target warms up. Further requests wait in a bounded queue: the
 * flows, one for each caller and service, take turns, and within a turn the
 * request with the earliest deadline goes first. A request that is expected to
 * miss its deadline is refused, when it is submitted or later in the queue.
 * A request that can be sent at once to an idle target is refused only if its
 * deadline has passed.
 *
 * This is a pure state machine: it opens no socket and reads no clock. */

#ifndef RATTANSHED_DISPATCH_ADMISSION_H
#define RATTANSHED_DISPATCH_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "dispatch/limit.h"

enum rs_admission_error {
    RsAdmission_DUPLICATE = RsError_DISPATCH - 1,
    RsAdmission_UNKNOWN_REQUEST = RsError_DISPATCH - 2
};

struct rs_admission_options {
    const struct rs_limit_policy *limit_policy;
    uint32_t slots;  /* requests that the target runs at once */
    uint32_t window; /* further requests that may wait at the target */
    uint32_t queue_capacity;
    /* longest time that a request may run; see RsAdmission_Finish() */
    uint32_t max_run_ms;
};

struct rs_admission_request {
    /* unique among the requests that are queued, are running, or still hold a
     * slot after they timed out or were abandoned */
    uint64_t id;
    uint64_t caller;  /* hash of the caller's name */
    uint64_t service; /* hash of the service's name */
    int64_t deadline_ms;
};

enum rs_admission_kind {
    RsAdmission_RUN,
    RsAdmission_QUEUED,
    RsAdmission_REFUSED
};

enum rs_admission_reason {
    RsAdmission_NO_REASON,
    RsAdmission_QUEUE_FULL,
    RsAdmission_DEADLINE
};

struct rs_admission_verdict {
    enum rs_admission_kind kind;
    enum rs_admission_reason reason;
    uint32_t retry_after_ms;
};

/* The decision on a request that was queued: RUN or REFUSED. */
struct rs_admission_event {
    uint64_t id;
    struct rs_admission_verdict verdict;
};

enum rs_admission_outcome {
    RsAdmission_DONE,
    RsAdmission_TARGET_REFUSED,
    RsAdmission_TIMED_OUT, /* given up; may still be running */
    RsAdmission_ABANDONED, /* cancelled; may still be running */
    RsAdmission_FAILED     /* not sent, or without its complete answer */
};

struct rs_admission_status {
    uint32_t limit;     /* with the ceiling applied */
    uint32_t in_flight; /* including abandoned ones that hold a slot */
    uint32_t queued;
    /* moving average of the latency of requests that were answered or timed
     * out and were sent while at most `slots` requests, themselves included,
     * were in flight; 0 if unknown */
    int64_t mean_run_us;
};

/* Construction */
struct rs_admission *
RsAdmission_New(const struct rs_admission_options *options);
void RsAdmission_Free(struct rs_admission *admission);

/* Requests */
int RsAdmission_Submit(struct rs_admission *admission, int64_t now_ms,
                       const struct rs_admission_request *request,
                       struct rs_admission_verdict *verdict);
int RsAdmission_Finish(struct rs_admission *admission, int64_t now_ms,
                       uint64_t id, enum rs_admission_outcome outcome,
                       int64_t latency_us);
int RsAdmission_Cancel(struct rs_admission *admission, int64_t now_ms,
                       uint64_t id);
bool RsAdmission_NextEvent(struct rs_admission *admission,
                           struct rs_admission_event *event);

/* Timer, and the upper bound on the limit while the target warms up */
void RsAdmission_Expire(struct rs_admission *admission, int64_t now_ms);
void RsAdmission_SetCeiling(struct rs_admission *admission, int64_t now_ms,
                            uint32_t ceiling);

/* Current state, and names */
void RsAdmission_GetStatus(const struct rs_admission *admission,
                           struct rs_admission_status *status);
const char *RsAdmission_ReasonText(enum rs_admission_reason reason);

#endif
