/* A caller's request from its arrival to its final answer, and the state of
 * the front. Private to the files of front/. */

#ifndef RATTANSHED_FRONT_REQUEST_H
#define RATTANSHED_FRONT_REQUEST_H

#include <h2o.h>

#include "dispatch/relay_client.h"
#include "front/front.h"
#include "http/server.h"

#define RsRequest_MAX_ATTEMPTS_IN_FLIGHT 2
#define RsRequest_ID_BYTES 96

struct rs_front_target;

/* An attempt, sent over a relay link (`stream`) or passed to the holder in
 * this process (`work`). It is in flight while `active`. */
struct rs_front_attempt {
    struct rs_front_request *request;
    struct rs_relay_stream *stream;
    struct rs_target_request *work;
    struct rs_front_target *target; /* for a request without a key, until the
                                     * result is recorded; else NULL */
    char process[RsModel_NAME_BYTES];
    int64_t sent_us;
    bool active;
    /* the attempt's final event has arrived, possibly before the call that
     * sends the attempt has returned */
    bool ended;
};

struct rs_front_request {
    h2o_generator_t generator; /* must be the first member */
    struct rs_front *front;
    h2o_req_t *http;
    Rs__Relay__Forward *forward; /* owned */
    struct rs_retry_request retry;
    struct rs_front_attempt attempts[RsRequest_MAX_ATTEMPTS_IN_FLIGHT];
    /* the attempt whose answer is forwarded, or NULL */
    struct rs_front_attempt *answering;
    struct rs_retry *budget; /* of the service. Borrowed. */
    char request_id[RsRequest_ID_BYTES];
    char service[RsModel_NAME_BYTES];
    char redirect[RsModel_NAME_BYTES]; /* next process to ask, or "" */
    char last_reason[64];
    uint32_t retry_after_ms;
    uint32_t cell_retry_after_ms; /* until a member of the unreachable cell may
                                   * be contacted again; 0: the cell is not
                                   * known to be unreachable */
    uint32_t skipped_member_count; /* number of most preferred members of the
                                    * cell to pass over */
    int64_t arrived_us;
    int64_t deadline_ms;
    int64_t next_attempt_at_ms; /* 0: no attempt is scheduled */
    int64_t hedge_at_ms;        /* 0: not decided yet; RsClock_NEVER_MS: no
                                 * (further) hedge */
    int64_t next_caller_check_at_ms;
    GByteArray *body;    /* of the answer; not yet handed to the HTTP server */
    GByteArray *sending; /* being sent by the HTTP server */
    bool answer_started; /* the head of a target's answer was sent */
    bool body_ended;
    bool body_broken;
    bool finished;
    bool in_scheduled_queue; /* in `scheduled_requests` of the front */
};

/* What the front has observed of a target that serves requests without a key.
 */
struct rs_front_target {
    char name[RsModel_NAME_BYTES];
    struct rs_health health;
    uint32_t in_flight;
};

struct rs_front {
    struct rs_front_options options;
    char self[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    struct rs_server *server;
    struct rs_relay_client *relay;
    struct rs_view *view;
    GHashTable *requests; /* set of those that the HTTP server has not freed */
    GQueue closed_requests; /* freed by the HTTP server; the next on_check() or
                             * RsFront_Tick() frees the records */
    GQueue scheduled_requests; /* requests whose next attempt was scheduled
                                * since the last on_check() */
    uv_check_t check;
    GHashTable *hints; /* slice to the process that answered its last request;
                        * removed when an attempt fails */
    GHashTable *targets; /* name to struct rs_front_target */
    GHashTable *budgets; /* service to struct rs_retry */
    struct rs_choice choice;
    struct rs_front_counters counters;
    uint64_t last_request_number; /* in generated request ids */
    bool leaving;
    int64_t next_health_update_at_ms;
};

/* Parsing (front/parse.c) */
int RsFrontParse_Request(struct rs_front *front,
                         struct rs_front_request *request,
                         const char **reason);

/* Attempts (front/attempt.c) */
void RsFrontAttempt_Begin(struct rs_front_request *request, int64_t now_ms);
void RsFrontAttempt_Hedge(struct rs_front_request *request, int64_t now_ms);
void RsFrontAttempt_CancelAll(struct rs_front_request *request);
void RsFrontAttempt_Credit(struct rs_front_attempt *attempt,
                           uint32_t size_bytes);

/* Routing (front/route.c) */
const char *RsFrontRoute_FindHolder(struct rs_front_request *request,
                                    int64_t now_ms);
const char *RsFrontRoute_ChooseTarget(struct rs_front_request *request,
                                      struct rs_front_attempt *attempt,
                                      const struct rs_front_target *avoid,
                                      int64_t now_ms);
void RsFrontRoute_UpdateTargetHealth(struct rs_front *front, int64_t now_ms);

/* Answers (front/reply.c) */
void RsFrontReply_SendHead(struct rs_front_request *request,
                           const Rs__Relay__AnswerHead *head);
void RsFrontReply_SendBody(struct rs_front_request *request, const void *data,
                           size_t size_bytes, bool last, bool broken);
void RsFrontReply_Fail(struct rs_front_request *request,
                       enum rs_outcome outcome);
void RsFrontReply_Reject(struct rs_front_request *request, int status,
                         const char *reason);

#endif
