/* One HTTP request to a target and its response. Connections to targets are
 * kept alive and reused. */

#ifndef RATTANSHED_ROUTER_EXCHANGE_H
#define RATTANSHED_ROUTER_EXCHANGE_H

#include <uv.h>

#include "http/connection.h"
#include "router/fleet.h"
#include "router/paths.h"

enum rs_exchange_error {
    /* The request was not sent: no connection could be opened in time, there
     * were too many already, or sending on a reused connection failed at once.
     */
    RsExchange_NOT_SENT = RsError_DISPATCH - 60,
    /* The request may have been sent, but no complete response arrived. */
    RsExchange_BROKEN = RsError_DISPATCH - 61,
    /* The request was not sent, as `may_send` did not allow it. */
    RsExchange_WITHDRAWN = RsError_DISPATCH - 62,
    /* The request was not sent: no open connection was old enough, see
     * `only_open`. */
    RsExchange_NO_CONNECTION = RsError_DISPATCH - 63,
};

/* `may_send`, which may be NULL, is asked when a new connection has been
 * opened, before the request is sent on it. `head` and `body` report the
 * response as it arrives. `done` is called exactly once, with 0 after a
 * complete response or an rs_exchange_error, unless the exchange is cancelled
 * first. */
struct rs_exchange_events {
    bool (*may_send)(void *arg);
    void (*head)(void *arg, const struct rs_http_head *head);
    void (*body)(void *arg, const char *data, size_t size_bytes);
    void (*done)(void *arg, int error);
};

struct rs_exchange_options {
    uv_loop_t *loop;
    struct rs_paths *paths;
    uint32_t tunnel_port; /* of the other nodes */
    /* After a direct connection has failed, a tunnel is tried, also if the
     * node is not isolated: no other target can take the request. */
    bool only_target;
    struct rs_fleet_target *target;
    /* Connections of different uses are kept and counted apart. */
    enum rs_fleet_use use;
    uint32_t max_connections; /* from this node to the target, for this use */
    uint64_t max_body_bytes;  /* see rs_http_options */
    /* If not NULL, the request is sent on a new connection only after the
     * target has answered a GET of this path on it: a target without room lets
     * new connections wait, and may take the request long after it was given
     * up. Must stay valid as long as the connection. */
    const char *opening_path;
    /* If not 0, the same holds for a connection on which the target has not
     * answered for this long: it may be cut off. */
    uint32_t max_silence_ms;
    /* Connections that are not to be used, by RsExchange_ConnectionNumber().
     */
    const uint64_t *excluded;
    size_t excluded_count;
    /* Only an open connection is used that was not opened later than the one
     * with this number, see RsExchange_NewestOpening(). */
    bool only_open;
    uint64_t newest_opening;
    int64_t send_before_ms; /* not sent later than this; 0: no limit */
    /* What the request points to must stay valid until the request was sent.
     */
    const struct rs_http_request *request;
    const struct rs_exchange_events *events;
    void *arg;
};

struct rs_exchange;

struct rs_exchange *
RsExchange_Start(const struct rs_exchange_options *options);
void RsExchange_SkipResponse(struct rs_exchange *exchange);
void RsExchange_Pause(struct rs_exchange *exchange);
void RsExchange_Resume(struct rs_exchange *exchange);
void RsExchange_Cancel(struct rs_exchange *exchange);
int64_t RsExchange_SentAtMs(const struct rs_exchange *exchange);
uint64_t RsExchange_ConnectionNumber(const struct rs_exchange *exchange);
uint64_t RsExchange_NewestOpening(const struct rs_exchange *exchange);
bool RsExchange_IsReused(const struct rs_exchange *exchange);
bool RsExchange_IsSilent(const struct rs_exchange *exchange);
void RsExchange_CloseIdle(struct rs_fleet_target *target);
void RsExchange_CloseIdleThrough(struct rs_fleet *fleet, uint32_t peer);

#endif
