/* One target as seen by a process that forwards requests to it: its
 * connections, the requests that wait or run there, its grants and its health.
 * Runs on the data task's loop. */

#ifndef RATTANSHED_DISPATCH_TARGET_H
#define RATTANSHED_DISPATCH_TARGET_H

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <uv.h>

#include "core/counter.h"
#include "dispatch/admission.h"
#include "dispatch/answer.h"
#include "dispatch/health.h"
#include "dispatch/ramp.h"
#include "dispatch/task_messages.h"
#include "dispatch/target_request.h"
#include "http/connection.h"

#define RsTarget_REASON_BYTES 32

/* Totals over all targets of this process. Any thread may read them. */
struct rs_target_counters {
    struct rs_counter sent;
    struct rs_counter done;
    struct rs_counter not_run;
    struct rs_counter unknown;
    /* connections closed because of an invalid answer */
    struct rs_counter mismatched;
    struct rs_counter cancelled;
    struct rs_counter refused_by_target;
    struct rs_counter grants;
    struct rs_counter restarts; /* of targets: a new start ID was seen */
    struct rs_histogram run_us;
};

struct rs_target_policies {
    const struct rs_limit_policy *admission;
    const struct rs_ramp_policy *ramp;
};

struct rs_target_options {
    uv_loop_t *loop;
    const char *name;
    const char *self; /* name of this process */
    struct sockaddr_in address;
    const struct rs_model_service *service;
    bool checks_fences;
    struct rs_target_policies policies;
    struct rs_health_options health;
    struct rs_target_counters *counters;
    uint32_t ping_interval_ms; /* of health pings and of grants */
    int64_t now_ms;
    /* Called when the target is lost and no keyed request can run there any
     * more, and when it answers again after that. */
    void (*lost_changed)(void *arg, struct rs_target *target, bool lost);
    /* Tells whether a keyed request may be sent: this process still holds the
     * lease under which it was admitted, and RsTarget_IsGranted() holds for
     * that lease. If so, sets `until_ms` to the end of the lease. */
    bool (*may_send)(void *arg, const struct rs_target_request *request,
                     int64_t now_ms, int64_t *until_ms);
    /* Called when the target reports a higher fence for a slice than the
     * granted one. */
    void (*fence_stale)(void *arg, uint64_t slice, uint64_t epoch,
                        uint32_t step);
    void *arg;
};

struct rs_target_connection {
    struct rs_target *target;
    struct rs_http_connection *http;
    struct rs_answer answer;
    struct rs_target_request *request; /* NULL when it carries none */
    bool connected;
    bool paused; /* reading is paused until the front grants credit */
    /* the answer's head said that the request was not run, or was aborted
     * without effect */
    bool refused;
    char reason[RsTarget_REASON_BYTES]; /* of the refusal */
};

/* Grants to the target, and the connection that they are sent on. A grant lets
 * the target serve a set of slices for this process until a deadline. The
 * connection also carries the health pings. */
struct rs_target_grant {
    struct rs_http_connection *http;
    bool connected;
    bool outstanding; /* a ping or grant awaits its answer */
    /* when the last ping or grant was sent, or the last connect was started */
    int64_t sent_at_ms;
    /* when the next ping or grant is due, or the next connect if there is no
     * connection */
    int64_t next_send_at_ms;
    /* number of the grant session: a new one starts when the target must be
     * sent all slices again; taken from the wall clock, always rising */
    int64_t session;
    uint64_t set_version; /* version of the slice set */
    /* version that the target has acknowledged in this session, or 0 */
    uint64_t acknowledged_version;
    /* version in the last grant sent; 0 after a ping, or after
     * RsTargetGrant_RestartSession() */
    uint64_t sent_version;
    int64_t sent_until_ms; /* deadline in the last grant sent */
    int64_t until_ms;      /* deadline of the last acknowledged grant */
    int64_t latest_grant_until_ms; /* latest deadline of any grant sent */
    int64_t target_clock_ms;       /* last reading of the target's clock */
    /* when that reading was received; 0 if there is no valid one */
    int64_t clock_read_at_ms;
    GArray *slices; /* struct rs_lease, the current slice set, by slice */
    /* slice to struct rs_lease: the set of `acknowledged_version`, without
     * the slices for which the target reported a higher fence */
    GHashTable *granted;
    GString *answer; /* body of the last answer, as far as received */
    int status;      /* its HTTP status */
};

struct rs_target {
    char name[RsModel_NAME_BYTES];
    uint64_t id;
    struct rs_target_options options;
    struct rs_model_service service;
    struct rs_admission *admission;
    struct rs_ramp ramp;
    struct rs_health health;
    GPtrArray *connections;
    GQueue idle;               /* connections without a request */
    GQueue ready;              /* admitted requests that are not sent yet */
    GHashTable *requests;      /* by ID; owned */
    uint32_t connecting_count; /* connections that aren't established yet */
    struct rs_target_grant grants;
    uint64_t start_id; /* of the target's process; 0 if unknown */
    /* latest run deadline of the keyed requests sent */
    int64_t latest_keyed_run_deadline_ms;
    /* latest run deadline of requests that may still run though their answer
     * is no longer waited for */
    int64_t abandoned_until_ms;
    double peer_median_us; /* median of the service's targets; 0 if unknown */
    /* capacity share in the last report; 1 before the first report */
    double reported_share;
    bool lost;
    bool reported_lost; /* the loss was reported through `lost_changed` */
    /* the target's options in the view have changed and are not applied yet */
    bool outdated;
    int64_t next_connect_at_ms;
    /* the target counts as in use until this time; after it, unused
     * connections are closed */
    int64_t active_until_ms;
};

/* Lifecycle and options */
struct rs_target *RsTarget_New(const struct rs_target_options *options);
void RsTarget_Free(struct rs_target *target);
bool RsTarget_OptionsDiffer(const struct rs_target *target,
                            const struct rs_target_options *options);
bool RsTarget_CanReconfigure(const struct rs_target *target, int64_t now_ms);
void RsTarget_Reconfigure(struct rs_target *target,
                          const struct rs_target_options *options);

/* Requests. RsTarget_Submit() takes ownership of `request`, whose events may
 * be delivered during the call. */
void RsTarget_Submit(struct rs_target *target,
                     struct rs_target_request *request, int64_t now_ms);
void RsTarget_Cancel(struct rs_target *target,
                     struct rs_target_request *request, int64_t now_ms);
void RsTarget_AddCredit(struct rs_target_request *request,
                        uint32_t size_bytes);
void RsTarget_Tick(struct rs_target *target, int64_t now_ms);
size_t RsTarget_SliceRequestCount(const struct rs_target *target,
                                  uint64_t slice);

/* Grants */
void RsTarget_SetSlices(struct rs_target *target, const GArray *leases);
bool RsTarget_IsGranted(const struct rs_target *target, int64_t now_ms,
                        const struct rs_lease *lease);
int64_t RsTarget_ToTargetClockMs(const struct rs_target *target,
                                 int64_t at_ms);

json_t *RsTarget_Dump(const struct rs_target *target, int64_t now_ms);

/* Internal to the target_*.c files */
void RsTarget_ObserveStartId(struct rs_target *target, uint64_t start_id,
                             int64_t now_ms);
void RsTargetPool_Fill(struct rs_target *target, int64_t now_ms);
void RsTargetPool_SendReady(struct rs_target *target, int64_t now_ms);
void RsTargetPool_CloseConnection(struct rs_target_connection *connection);
void RsTargetPool_RecordAbandoned(struct rs_target *target,
                                  const struct rs_target_request *request);
void RsTargetPool_CloseUnused(struct rs_target *target);
void RsTargetGrant_Tick(struct rs_target *target, int64_t now_ms);
void RsTargetGrant_InvalidateClock(struct rs_target *target);
void RsTargetGrant_RestartSession(struct rs_target *target);
void RsTargetGrant_Close(struct rs_target *target);
void RsTargetRequest_Finish(struct rs_target_request *request,
                            enum rs_outcome outcome, const char *reason,
                            uint32_t retry_after_ms);
void RsTargetRequest_ApplyDecisions(struct rs_target *target, int64_t now_ms);
void RsTargetRequest_Advance(struct rs_target *target, int64_t now_ms);

#endif
