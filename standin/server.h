/* A small HTTP/1.1 server on h2o and libuv for the stand-ins. One loop may
 * listen on several ports, each with a handler of its own. */

#ifndef RATTANSHED_STANDIN_SERVER_H
#define RATTANSHED_STANDIN_SERVER_H

#include <h2o.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RsServer_MAX_PORTS 256

/* Answers `req` now or later, on the server's loop. */
typedef void (*rs_server_handler)(void *arg, h2o_req_t *req);

struct rs_server_port;

struct rs_server {
    uv_loop_t *loop;
    h2o_globalconf_t config;
    h2o_context_t context;
    struct rs_server_port *ports[RsServer_MAX_PORTS];
    size_t port_count;
};

/* Life. Ports are added before the start. */
void RsServer_Init(struct rs_server *server, uv_loop_t *loop);
void RsServer_AddPort(struct rs_server *server, uint16_t port,
                      rs_server_handler handler, void *arg);
int RsServer_Start(struct rs_server *server);

/* What a request says */
bool RsServer_IsCall(const h2o_req_t *req, const char *method,
                     const char *path);
char *RsServer_CopyQuery(const h2o_req_t *req, const char *name);
int64_t RsServer_QueryNumber(const h2o_req_t *req, const char *name,
                             int64_t absent);
h2o_iovec_t RsServer_Header(const h2o_req_t *req, const char *name);
bool RsServer_CallerIsGone(h2o_req_t *req);

/* Answers */
void RsServer_AddHeader(h2o_req_t *req, const char *name, const char *value);
void RsServer_SetStatus(h2o_req_t *req, int status);
void RsServer_SendText(h2o_req_t *req, int status, const char *text,
                       size_t size_bytes);
void RsServer_SendJson(h2o_req_t *req, int status, json_t *body);
void RsServer_Drop(h2o_req_t *req);

#endif
