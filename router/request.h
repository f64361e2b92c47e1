/* A caller's request and its attempts at targets. The state is shared by
 * router/request.c (lifecycle), router/attempt.c (sending to targets) and
 * router/reply.c (responding to the caller). */

#ifndef RATTANSHED_ROUTER_REQUEST_H
#define RATTANSHED_ROUTER_REQUEST_H

#include "router/exchange.h"
#include "router/quota.h"
#include "router/router.h"

#define RsRequest_MAX_ATTEMPTS 4
/* Maximum number of headers copied from the caller. An attempt has room for
 * four more, which the router sets itself. */
#define RsRequest_MAX_HEADERS 44
/* Maximum size of a request ID, including the terminating zero byte. */
#define RsRequest_MAX_ID_BYTES 128
#define RsRequest_NO_KEY UINT32_MAX

struct rs_request;

/* One attempt to have a target execute the request. */
struct rs_attempt {
    struct rs_request *request;
    struct rs_exchange *exchange; /* NULL once the attempt has ended */
    uint64_t connection;          /* its number */
    struct rs_fleet_target *target;
    int64_t target_started_wall_ms; /* of the target's process */
    int64_t started_at_us;
    /* Estimated number of requests running or queued at the target when the
     * attempt started. */
    double queued_ahead;
    double expected_ms; /* expected time until the response */
    /* For how long the target may have been leaving when the attempt started;
     * -1: it wasn't. */
    int64_t leaving_for_ms;
    int status;   /* HTTP status; 0 until the response head arrived */
    bool not_run; /* the target reported that it did not execute the request */
    /* The target's response was accepted for forwarding to the caller. */
    bool forwarded;
    uint64_t discarded_bytes; /* of the body of a refusal */
    char deadline_text[24];
    struct rs_http_header headers[RsRequest_MAX_HEADERS + 4];
    struct rs_http_request message;
};

struct rs_request {
    h2o_generator_t generator;
    h2o_req_t *http;
    struct rs_router *router;
    struct rs_routing *config;
    const struct rs_route *route;
    const struct rs_service *service;
    /* Part of `identity`; NULL if the request needs no API key. */
    const struct rs_workspace *workspace;
    /* The configuration against which the API key was last checked. */
    struct rs_routing *identity;
    /* Of the workspace, or else of the route when the request arrived; 0 is
     * the most urgent. */
    uint32_t rank;
    /* Credentials and the name of a workspace that the caller sent are not
     * forwarded. */
    bool hides_credentials;
    struct rs_quota_claim quota_claim;
    bool unauthorized; /* it was answered with 401 */
    uint32_t key;      /* RsRequest_NO_KEY unless the service is sharded */
    char id[RsRequest_MAX_ID_BYTES];
    uint64_t fingerprint; /* see RsRequest_Fingerprint(); 0: not computed */
    int64_t arrived_at_ms;
    int64_t arrived_at_us;
    int64_t deadline_ms; /* when the caller must have a final response */
    /* Earliest time of the next attempt after status 421; 0: not limited. */
    int64_t next_attempt_at_ms;
    int64_t wait_until_ms; /* if it is still waiting then, it is refused */
    GList active_link;
    struct rs_schedule_item schedule_item;
    bool waiting;
    /* Admission control for the owner of the key has accepted the request. */
    bool admitted;
    int64_t admitted_at_ms;
    bool has_place; /* admitted because it came back when it was told to */
    bool finished;
    bool may_have_run;
    /* Ended attempts that count towards the maximum of the route. Those that
     * were not sent, were cancelled or got an invalid response don't count. */
    uint32_t counted_attempts;
    struct rs_attempt attempts[RsRequest_MAX_ATTEMPTS];
    uint32_t attempt_count;
    /* The attempt whose response is forwarded to the caller; NULL: none yet.
     */
    struct rs_attempt *forwarded_attempt;
    /* The target's response ends with its connection. */
    bool close_delimited;
    /* The head of the forwarded response was passed to the HTTP server. */
    bool response_started;
    bool body_ended;     /* no more body data will come from the target */
    bool body_aborted;   /* the response ended early, after response_started */
    bool paused;         /* reading from the target is paused */
    uint64_t body_bytes; /* received of the forwarded response */
    GByteArray *body;    /* received, but not yet passed to the HTTP server */
    GByteArray *sending; /* being sent by the HTTP server */
    size_t held_bytes;   /* of both, as the HTTP server was told */
    const char *reason;  /* of the last failure; NULL: none */
    /* When the caller should come back after a refusal; 0: depends on the
     * caller's time only. */
    int64_t come_back_at_ms;
};

/* Implemented in router/attempt.c. */
void RsAttempt_Dispatch(struct rs_request *request, int64_t now_ms);
void RsAttempt_HedgeIfLate(struct rs_request *request, int64_t now_ms);
void RsAttempt_CancelOthers(struct rs_request *request,
                            const struct rs_attempt *keep);
bool RsAttempt_AnyActive(const struct rs_request *request);

/* Implemented in router/reply.c. */
void RsReply_Refuse(struct rs_request *request, const char *reason);
void RsReply_RefuseWithoutToken(struct rs_request *request, bool is_over,
                                int64_t now_ms);
void RsReply_Fail(struct rs_request *request, int status, const char *reason);
void RsReply_Reject(struct rs_request *request, int status,
                    const char *reason);
void RsReply_ForwardHead(struct rs_attempt *attempt,
                         const struct rs_http_head *head);
void RsReply_ForwardBody(struct rs_attempt *attempt, const char *data,
                         size_t size_bytes);
void RsReply_Complete(struct rs_attempt *attempt);
bool RsReply_Abort(struct rs_attempt *attempt);
bool RsReply_BreakOff(struct rs_attempt *attempt, const char *reason);

/* Implemented in router/request.c. */
void RsRequest_Wait(struct rs_request *request);
void RsRequest_StopWaiting(struct rs_request *request);
void RsRequest_TakeFromQueue(struct rs_request *request);
uint64_t RsRequest_Fingerprint(struct rs_request *request);
bool RsRequest_RefuseIfStopping(struct rs_request *request, int64_t now_ms);
bool RsRequest_RefuseIfSuspected(struct rs_request *request, int64_t now_ms);
enum rs_workspaces_verdict RsRequest_CheckApiKey(struct rs_request *request,
                                                 int64_t now_ms);
bool RsRequest_RejectIfUnauthorized(struct rs_request *request,
                                    int64_t now_ms);
bool RsRequest_EndIfAbandoned(struct rs_request *request);
bool RsRequest_IsHopByHop(const char *header);
void RsRequest_Finish(struct rs_request *request, int status,
                      const char *outcome);

#endif
