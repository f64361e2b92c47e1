/* One target, in the process that speaks for it: its connections, what runs
 * there, its grants and its health. Runs on the data task's loop. */

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
#include "dispatch/work.h"
#include "http/connection.h"

#define RsTarget_REASON_BYTES 32

/* Counters of one process's data task that concern its targets. */
struct rs_target_counters {
    struct rs_counter sent;
    struct rs_counter done;
    struct rs_counter not_run;
    struct rs_counter unknown;
    struct rs_counter mismatched; /* answers that were another's or cut */
    struct rs_counter cancelled;
    struct rs_counter refused_by_target;
    struct rs_counter grants;
    struct rs_counter restarts; /* of targets, seen by their start identity */
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
    uint32_t ping_every_ms;
    int64_t now_ms;
    /* Called when the target is lost and nothing can run there any more, and
     * when it answers again. */
    void (*changed)(void *arg, struct rs_target *target, bool lost);
    /* Tells whether this process still holds the lease under which `work`
     * was admitted, and until when. */
    bool (*allowed)(void *arg, const struct rs_work *work, int64_t now_ms,
                    int64_t *until_ms);
    /* The target knows a higher fence for a slice than the one granted. */
    void (*stale)(void *arg, uint64_t slice, uint64_t epoch, uint32_t step);
    void *arg;
};

struct rs_target_connection {
    struct rs_target *target;
    struct rs_http_connection *http;
    struct rs_answer answer;
    struct rs_work *work;
    bool connected;
    bool paused;
    bool refused; /* the answer that is coming says "not run" */
    char reason[RsTarget_REASON_BYTES];
};

/* The grant under which the target serves this process. */
struct rs_target_grant {
    struct rs_http_connection *http;
    bool connected;
    bool asked; /* a ping or grant is out */
    int64_t asked_at_ms;
    int64_t ask_at_ms;  /* when the next one is due */
    int64_t session_us; /* rises with each start of this process */
    uint64_t set;       /* number of the set of slices */
    uint64_t known_set; /* that the target has acknowledged */
    uint64_t asked_set; /* that the one that is out is about; 0: a ping */
    int64_t asked_until_ms;
    int64_t until_ms;    /* acknowledged: requests may be sent before */
    int64_t lapse_ms;    /* upper bound for when all grants have lapsed */
    int64_t clock_ms;    /* reading of the target's clock ... */
    int64_t read_at_ms;  /* ... that was received then; 0: none */
    GArray *slices;      /* struct rs_lease, what the set holds */
    GHashTable *granted; /* slice to struct rs_lease, acknowledged */
    GString *answer;
    int status;
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
    GQueue idle;       /* of connections */
    GQueue ready;      /* of works that are admitted and want a connection */
    GHashTable *works; /* by id; owns them */
    uint32_t opening;
    struct rs_target_grant grant;
    uint64_t start_id;
    int64_t last_deadline_ms;   /* latest run deadline ever given to it */
    int64_t abandoned_until_ms; /* until when requests that nobody waits for
                                 * any more may take effect there */
    double median_us;           /* latency of its peers of the same service */
    double told_share;          /* of capacity, that was reported last */
    bool lost;
    bool told_lost;
    bool outdated; /* its service or address is another now */
    int64_t next_connect_ms;
    int64_t active_until_ms; /* until when it has warm connections */
};

/* Life */
struct rs_target *RsTarget_New(const struct rs_target_options *options);
void RsTarget_Free(struct rs_target *target);
bool RsTarget_Differs(const struct rs_target *target,
                      const struct rs_target_options *options);
bool RsTarget_MayRenew(const struct rs_target *target, int64_t now_ms);
void RsTarget_Renew(struct rs_target *target,
                    const struct rs_target_options *options);

/* Work: takes ownership of `work`, whose events may come during the call */
void RsTarget_Offer(struct rs_target *target, struct rs_work *work,
                    int64_t now_ms);
void RsTarget_Cancel(struct rs_target *target, struct rs_work *work,
                     int64_t now_ms);
void RsTarget_Credit(struct rs_work *work, uint32_t size_bytes);
void RsTarget_Tick(struct rs_target *target, int64_t now_ms);
size_t RsTarget_Busy(const struct rs_target *target, uint64_t slice);

/* Grants */
void RsTarget_SetSlices(struct rs_target *target, const GArray *leases);
bool RsTarget_Granted(const struct rs_target *target, int64_t now_ms,
                      const struct rs_lease *lease);
int64_t RsTarget_ToItsClock(const struct rs_target *target, int64_t at_ms);

json_t *RsTarget_Dump(const struct rs_target *target, int64_t now_ms);

/* Shared by the files of this component. */
void RsTarget_SawStartId(struct rs_target *target, uint64_t start_id,
                         int64_t now_ms);
void RsTargetPool_Fill(struct rs_target *target, int64_t now_ms);
void RsTargetPool_Run(struct rs_target *target, int64_t now_ms);
void RsTargetPool_Drop(struct rs_target_connection *connection);
void RsTargetPool_Abandon(struct rs_target *target,
                          const struct rs_work *work);
void RsTargetPool_CloseAll(struct rs_target *target);
void RsTargetGrant_Tick(struct rs_target *target, int64_t now_ms);
void RsTargetGrant_DoubtClock(struct rs_target *target);
void RsTargetGrant_BeginAnew(struct rs_target *target);
void RsTargetGrant_Close(struct rs_target *target);
void RsTargetWork_Finish(struct rs_work *work, enum rs_outcome outcome,
                         const char *reason, uint32_t retry_after_ms);
void RsTargetWork_TakeEvents(struct rs_target *target, int64_t now_ms);
void RsTargetWork_Events(struct rs_target *target, int64_t now_ms);

#endif
