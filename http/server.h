/* An HTTP/1 server based on h2o. A single handler gets all requests and
 * answers each of them immediately or later, on the server's loop. */

#ifndef RATTANSHED_HTTP_SERVER_H
#define RATTANSHED_HTTP_SERVER_H

#include <h2o.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/counter.h"
#include "core/error.h"

enum rs_server_error {
    RsServer_LISTEN_FAILED = RsError_HTTP - 50
};

/* What may be kept in memory for any connection; see memory_bytes. */
#define RsServer_ALLOWANCE_BYTES 12288

/* Memory of a process whose settings don't state it. */
#define RsServer_DEFAULT_MEMORY_BYTES ((uint64_t)256 * 1024 * 1024)

struct rs_server;

/* Connections that were closed to bound memory and descriptors. */
struct rs_server_counters {
    struct rs_counter refused;    /* no memory for the request that arrived */
    struct rs_counter stalled;    /* made room for others: no progress */
    struct rs_counter unfinished; /* closed in favour of new connections: no
                                     whole request, or idle */
    struct rs_counter not_accepted; /* above the number of connections */
};

/* Called for each request that h2o has accepted and read as a whole. The
 * handler must answer each request once, unless the request ends before. */
typedef void (*rs_server_handler)(void *arg, h2o_req_t *request);

struct rs_server_options {
    uv_loop_t *loop;
    struct sockaddr_in address;
    size_t max_body_bytes;
    uint32_t max_connections; /* fewer if memory_bytes has no room for them */
    /* Memory of the process, which bounds what is kept for clients; 0:
     * RsServer_DEFAULT_MEMORY_BYTES. */
    uint64_t memory_bytes;
    uint32_t idle_timeout_ms; /* see RsServer_SetIdleTimeout(); 0: 10 s */
    rs_server_handler handler;
    void *arg;
};

int RsServer_Open(const struct rs_server_options *options,
                  struct rs_server **server);
void RsServer_StopListening(struct rs_server *server);
void RsServer_OmitChunks(h2o_req_t *request);
void RsServer_StartResponse(h2o_req_t *request, h2o_generator_t *generator);
bool RsServer_EndsWithConnection(const h2o_req_t *request);
void RsServer_EndResponse(h2o_req_t *request);
void RsServer_AbortResponse(h2o_req_t *request);
bool RsServer_HoldResponse(h2o_req_t *request, size_t bytes);
void RsServer_RecordSent(h2o_req_t *request, size_t bytes, bool is_all);
bool RsServer_IsShortOfMemory(const h2o_req_t *request);
void RsServer_DropConnection(h2o_req_t *request);
void RsServer_CloseIdle(struct rs_server *server);
void RsServer_SetMaxBodyBytes(struct rs_server *server, size_t max_body_bytes);
void RsServer_SetIdleTimeout(struct rs_server *server, uint32_t timeout_ms);
bool RsServer_ClientDisconnected(h2o_req_t *request);
uint32_t RsServer_ConnectionCount(const struct rs_server *server);
uint64_t RsServer_ChargedBytes(const struct rs_server *server);
const struct rs_server_counters *
RsServer_Counters(const struct rs_server *server);

void RsServer_Reply(h2o_req_t *request, int status, const char *content_type,
                    const char *body, size_t body_bytes);
void RsServer_AddHeader(h2o_req_t *request, const char *name,
                        const char *value);

/* These return copies, which the caller frees with g_free(). */
char *RsServer_Path(const h2o_req_t *request);
char *RsServer_Query(const h2o_req_t *request, const char *name);
char *RsServer_Header(const h2o_req_t *request, const char *name);

#endif
