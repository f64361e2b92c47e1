/* A client's connection to a server, as the parts of the server see it. Not
 * for users of the server. */

#ifndef RATTANSHED_HTTP_CLIENT_H
#define RATTANSHED_HTTP_CLIENT_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "core/byte_budget.h"
#include "http/linger.h"
#include "http/server.h"

#define RsClient_NO_FD (-1)

/* The context pointer of a request's connection points to the first member, so
 * that it can be cast to this type to find the server. */
struct rs_server_context {
    h2o_context_t h2o;
    struct rs_server *server;
};

struct rs_server {
    h2o_globalconf_t config;
    struct rs_server_context context;
    h2o_accept_ctx_t accept;
    uv_tcp_t listener;
    bool listening;
    rs_server_handler handler;
    void *arg;
    uint32_t connection_count;
    uint32_t max_connections;
    GPtrArray *clients_by_fd; /* struct rs_client of open connections, by file
                                  descriptor; NULL for each other
                                  descriptor */
    struct rs_linger linger;
    uint32_t spare_count;
    uv_timer_t stall_check;
    uint64_t memory_bytes;        /* of the process */
    struct rs_byte_budget budget; /* of the clients */
    GQueue restarted; /* struct rs_client, see RsClient_OnRestart() */
    uv_prepare_t restart;
    struct rs_server_counters counters;
};

struct rs_client {
    uv_tcp_t tcp; /* must come first */
    struct rs_server *server;
    uv_os_fd_t fd;
    h2o_socket_t *socket;
    /* A duplicate of `fd`, held from the end of a request to the next one if
     * h2o might close the connection meanwhile, for instance for malformed
     * bytes, before the client has the response. */
    int spare_fd;
    bool resets; /* the connection is to be reset when it is closed */
    /* Bytes that the client had not acknowledged at the last check, and since
     * when it has not acknowledged any of them. */
    uint64_t unsent_bytes;
    int64_t stalled_since_ms;
    uint32_t open_request_count; /* passed to the handler and not ended yet */
    struct rs_byte_holder holder;
    uint64_t input_bytes;    /* the most that h2o's input buffer has held */
    uint64_t response_bytes; /* of the open request's response */
    bool length_checked;     /* of the body that arrives */
    bool request_ended;      /* since the last call of RsClient_OnRestart() */
    /* h2o's callbacks of `tcp`, which those of receive.c call. */
    uv_alloc_cb alloc;
    uv_read_cb read;
    GList restarted_link; /* in `restarted` if its data is not NULL */
};

/* http/server.c */
void RsClient_Linger(struct rs_client *client, int fd);
void RsClient_Drop(struct rs_client *client);

/* http/receive.c */
void RsClient_OnRestart(uv_prepare_t *prepare);
void RsClient_BeginReceiving(struct rs_client *client);
void RsClient_BeginRequest(struct rs_client *client);
void RsClient_EndRequest(struct rs_client *client);
bool RsClient_HoldResponse(struct rs_client *client, uint64_t bytes);
void RsClient_RecordSent(struct rs_client *client, uint64_t bytes,
                         bool is_all);
void RsClient_Release(struct rs_client *client);
bool RsClient_CloseOldest(struct rs_server *server);

#endif
