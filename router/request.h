/* One caller's request, shared by the files that serve it. */

#ifndef RATTANSHED_ROUTER_REQUEST_H
#define RATTANSHED_ROUTER_REQUEST_H

#include "router/exchange.h"
#include "router/router.h"

#define RsRequest_MAX_ATTEMPTS 4
#define RsRequest_MAX_HEADERS 44 /* the connection takes four more */
#define RsRequest_ID_BYTES 128
#define RsRequest_NO_KEY UINT32_MAX

struct rs_request;

/* One target that was asked, or is being asked. */
struct rs_attempt {
    struct rs_request *request;
    struct rs_exchange *exchange; /* NULL once it is over */
    struct rs_fleet_target *target;
    int64_t started_us;
    double ahead; /* at the target, when it was sent */
    double expect_ms;
    int status;   /* of the answer; 0 until its head came */
    bool not_run; /* the answer says so */
    bool sound;   /* the answer may go to the caller */
    char deadline_text[24];
    struct rs_http_header headers[RsRequest_MAX_HEADERS + 4];
    struct rs_http_request message;
};

struct rs_request {
    h2o_generator_t generator;
    h2o_req_t *http; /* NULL once the caller left */
    struct rs_router *router;
    struct rs_routing *config;
    const struct rs_route *route;
    const struct rs_service *service;
    uint32_t key;
    char id[RsRequest_ID_BYTES];
    int64_t arrived_ms;
    int64_t arrived_us;
    int64_t deadline_ms;   /* when the caller gets a final answer */
    int64_t not_before_ms; /* of the next attempt */
    int64_t wait_until_ms; /* gives up waiting for room */
    GList active_link;
    GList waiting_link;
    bool waiting;
    bool admitted; /* by the owner of its key */
    bool finished;
    bool may_have_run;
    uint32_t attempts_sent;
    struct rs_attempt attempts[RsRequest_MAX_ATTEMPTS];
    uint32_t attempt_count;
    struct rs_attempt *answering; /* whose answer the caller gets */
    bool unframed;                /* it ends with its connection */
    bool started;                 /* the head went to the caller */
    bool body_ended;
    bool body_broken;
    bool paused;
    uint64_t body_bytes; /* of the answer so far */
    GByteArray *body;    /* not yet given to the server */
    GByteArray *sending; /* given to the server */
    const char *reason;  /* of the last thing that went wrong */
};

/* Sending: router/attempt.c. */
void RsAttempt_Next(struct rs_request *request, int64_t now_ms);
void RsAttempt_MayHedge(struct rs_request *request, int64_t now_ms);
void RsAttempt_CancelOthers(struct rs_request *request,
                            const struct rs_attempt *kept);
bool RsAttempt_AnyActive(const struct rs_request *request);

/* Answering: router/reply.c. */
void RsReply_Refuse(struct rs_request *request, const char *reason);
void RsReply_Fail(struct rs_request *request, int status, const char *reason);
void RsReply_Reject(struct rs_request *request, int status,
                    const char *reason);
void RsReply_TakeHead(struct rs_attempt *attempt,
                      const struct rs_http_head *head);
void RsReply_TakeBody(struct rs_attempt *attempt, const char *data,
                      size_t size_bytes);
void RsReply_End(struct rs_attempt *attempt);
bool RsReply_Break(struct rs_attempt *attempt);

/* Waiting and the end of a request: router/request.c. */
void RsRequest_Wait(struct rs_request *request);
void RsRequest_StopWaiting(struct rs_request *request);
bool RsRequest_IsForConnection(const char *header);
void RsRequest_Finish(struct rs_request *request, int status,
                      const char *outcome);

#endif
