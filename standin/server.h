/* A small HTTP/1.1 server on h2o and libuv for the emulated platform, links
 * and targets. One server may listen on several ports of the loopback address,
 * each with its own handler. */

#ifndef RATTANSHED_STANDIN_SERVER_H
#define RATTANSHED_STANDIN_SERVER_H

#include <h2o.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RsStandinServer_MAX_PORTS 256

/* Handles one request. The handler must send one answer, now or later, on the
 * server's loop. */
typedef void (*rs_standin_server_handler)(void *arg, h2o_req_t *req);

struct rs_standin_server_port;

struct rs_standin_server {
    uv_loop_t *loop;
    h2o_globalconf_t config;
    h2o_context_t context;
    struct rs_standin_server_port *ports[RsStandinServer_MAX_PORTS];
    size_t port_count;
};

/* Setup. All ports are added before the start; a server is never freed. */
void RsStandinServer_Init(struct rs_standin_server *server, uv_loop_t *loop);
void RsStandinServer_AddPort(struct rs_standin_server *server, uint16_t port,
                             rs_standin_server_handler handler, void *arg);
int RsStandinServer_Start(struct rs_standin_server *server);

/* Reading requests */
bool RsStandinServer_Matches(const h2o_req_t *req, const char *method,
                             const char *path);
char *RsStandinServer_CopyQueryParameter(const h2o_req_t *req,
                                         const char *name);
int64_t RsStandinServer_QueryInteger(const h2o_req_t *req, const char *name,
                                     int64_t absent);
h2o_iovec_t RsStandinServer_Header(const h2o_req_t *req, const char *name);
bool RsStandinServer_IsCallerGone(h2o_req_t *req);

/* Sending answers */
void RsStandinServer_AddHeader(h2o_req_t *req, const char *name,
                               const char *value);
void RsStandinServer_SetStatus(h2o_req_t *req, int status);
void RsStandinServer_SendText(h2o_req_t *req, int status, const char *text,
                              size_t size_bytes);
void RsStandinServer_SendJson(h2o_req_t *req, int status, json_t *body);
void RsStandinServer_DropConnection(h2o_req_t *req);

#endif
