/* One caller's request, from its arrival to its final answer. Shared by the
 * files of the front. */

#ifndef RATTANSHED_FRONT_REQUEST_H
#define RATTANSHED_FRONT_REQUEST_H

#include <h2o.h>

#include "dispatch/relay_client.h"
#include "front/front.h"
#include "http/server.h"

#define RsRequest_MAX_TRIES_OUT 2
#define RsRequest_ID_BYTES 96

struct rs_front_target;

/* One try that is under way: through a link, or in this process. */
struct rs_front_try {
    struct rs_front_request *request;
    struct rs_relay_stream *stream;
    struct rs_target_request *work;
    struct rs_front_target *target; /* of a request without a key */
    char process[RsModel_NAME_BYTES];
    int64_t sent_us;
    bool active;
    bool ended_early; /* ended during the call that sent it */
};

struct rs_front_request {
    h2o_generator_t generator; /* must be first */
    struct rs_front *front;
    h2o_req_t *http;
    Rs__Relay__Forward *forward; /* owned */
    struct rs_retry_request retry;
    struct rs_front_try tries[RsRequest_MAX_TRIES_OUT];
    struct rs_front_try *answering; /* the try whose answer is passed on */
    struct rs_retry *budget;
    char request_id[RsRequest_ID_BYTES];
    char service[RsModel_NAME_BYTES];
    char redirect[RsModel_NAME_BYTES]; /* where the next try goes, or "" */
    char last_reason[64];
    uint32_t retry_after_ms;
    uint32_t unreachable_ms; /* until the slice's cell is tried again, or 0 */
    uint32_t skip;           /* members of the cell that were no help */
    int64_t arrived_us;
    int64_t deadline_ms;
    int64_t next_try_ms; /* 0: none is due */
    int64_t hedge_at_ms; /* 0: none is due */
    int64_t check_caller_at_ms;
    GByteArray *body;    /* of the answer, not given to the server yet */
    GByteArray *sending; /* what the server is busy with */
    bool started;
    bool body_ended;
    bool body_broken;
    bool finished;
    bool in_due;
};

/* What the front has seen of a target of requests without a key. */
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
    GHashTable *requests; /* set of open ones */
    GQueue dead;          /* requests to be freed after this round */
    GQueue due;           /* requests whose next try may be due now */
    uv_check_t check;
    GHashTable *hints;   /* slice to the process that answered last */
    GHashTable *targets; /* by name */
    GHashTable *budgets; /* service to struct rs_retry */
    struct rs_choice choice;
    struct rs_front_counters counters;
    uint64_t next_id;
    bool leaving;
    int64_t next_median_ms;
};

/* Reading a request (front/parse.c). Returns 0, or the status to refuse with
 * and a reason. */
int RsFrontParse_Request(struct rs_front *front,
                         struct rs_front_request *request,
                         const char **reason);

/* Tries (front/attempt.c) */
void RsFrontAttempt_Begin(struct rs_front_request *request, int64_t now_ms);
void RsFrontAttempt_Hedge(struct rs_front_request *request, int64_t now_ms);
void RsFrontAttempt_CancelAll(struct rs_front_request *request);
void RsFrontAttempt_Credit(struct rs_front_try *attempt, uint32_t size_bytes);

/* Where they go (front/route.c) */
const char *RsFrontRoute_OfSlice(struct rs_front_request *request,
                                 int64_t now_ms);
const char *RsFrontRoute_Choose(struct rs_front_request *request,
                                struct rs_front_try *attempt,
                                const struct rs_front_target *avoid,
                                int64_t now_ms);
void RsFrontRoute_SetMedians(struct rs_front *front, int64_t now_ms);

/* Answers (front/reply.c) */
void RsFrontReply_Head(struct rs_front_request *request,
                       const Rs__Relay__AnswerHead *head);
void RsFrontReply_Body(struct rs_front_request *request, const void *data,
                       size_t size_bytes, bool last, bool broken);
void RsFrontReply_Refuse(struct rs_front_request *request,
                         enum rs_outcome outcome);
void RsFrontReply_Bad(struct rs_front_request *request, int status,
                      const char *reason);

#endif
