#include "standin/server.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024
#define IDLE_TIMEOUT_MS 600000
#define LISTEN_ADDRESS "127.0.0.1"

struct rs_standin_server_port {
    uv_tcp_t listener;
    h2o_accept_ctx_t accept;
    h2o_hostconf_t *hosts[2];
    uint16_t number;
    rs_standin_server_handler handler;
    void *arg;
};

/* h2o's handler object with a pointer to the port. */
struct port_handler {
    h2o_handler_t super;
    struct rs_standin_server_port *port;
};

static int
on_request(h2o_handler_t *super, h2o_req_t *req)
{
    struct rs_standin_server_port *port = ((struct port_handler *)super)->port;
    port->handler(port->arg, req);
    return 0;
}

static void
free_connection(uv_handle_t *handle)
{
    free(handle);
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct rs_standin_server_port *port = listener->data;
    if (status != 0) {
        return;
    }
    uv_tcp_t *connection = h2o_mem_alloc(sizeof(*connection));
    uv_tcp_init(listener->loop, connection);
    if (uv_accept(listener, (uv_stream_t *)connection) != 0) {
        uv_close((uv_handle_t *)connection, free_connection);
        return;
    }
    uv_tcp_nodelay(connection, 1);
    h2o_accept(&port->accept, h2o_uv_socket_create((uv_stream_t *)connection,
                                                   free_connection));
}

/* Initializes a server without ports on `loop`. Sets the process to ignore
 * SIGPIPE. */
void
RsStandinServer_Init(struct rs_standin_server *server, uv_loop_t *loop)
{
    memset(server, 0, sizeof(*server));
    signal(SIGPIPE, SIG_IGN);
    server->loop = loop;
    h2o_config_init(&server->config);
    server->config.http1.req_timeout = IDLE_TIMEOUT_MS;
}

/* Adds a port of the loopback address whose requests go to `handler` with
 * `arg`. */
void
RsStandinServer_AddPort(struct rs_standin_server *server, uint16_t number,
                        rs_standin_server_handler handler, void *arg)
{
    char name[32];
    g_assert(server->port_count < RsStandinServer_MAX_PORTS);
    struct rs_standin_server_port *port =
        g_new0(struct rs_standin_server_port, 1);
    snprintf(name, sizeof(name), "port-%u", (unsigned)number);
    port->number = number;
    port->handler = handler;
    port->arg = arg;
    h2o_iovec_t host = {name, strlen(name)};
    port->hosts[0] = h2o_config_register_host(&server->config, host, number);
    g_assert(port->hosts[0] != NULL);
    h2o_pathconf_t *path = h2o_config_register_path(port->hosts[0], "/", 0);
    struct port_handler *h2o_handler =
        (struct port_handler *)h2o_create_handler(path, sizeof(*h2o_handler));
    h2o_handler->super.on_req = on_request;
    h2o_handler->port = port;
    server->ports[server->port_count++] = port;
}

static int
listen_on(struct rs_standin_server *server,
          struct rs_standin_server_port *port)
{
    struct sockaddr_in address;
    port->accept.ctx = &server->context;
    port->accept.hosts = port->hosts;
    uv_tcp_init(server->loop, &port->listener);
    port->listener.data = port;
    uv_ip4_addr(LISTEN_ADDRESS, port->number, &address);
    int result =
        uv_tcp_bind(&port->listener, (const struct sockaddr *)&address, 0);
    if (result != 0) {
        return result;
    }
    return uv_listen((uv_stream_t *)&port->listener, LISTEN_BACKLOG,
                     on_connection);
}

/* Starts listening on all ports. Returns 0 or a negative libuv error, which it
 * has printed. */
int
RsStandinServer_Start(struct rs_standin_server *server)
{
    h2o_context_init(&server->context, server->loop, &server->config);
    for (size_t i = 0; i < server->port_count; i++) {
        int result = listen_on(server, server->ports[i]);
        if (result != 0) {
            fprintf(stderr, "can't listen on %s:%u: %s\n", LISTEN_ADDRESS,
                    (unsigned)server->ports[i]->number, uv_strerror(result));
            return result;
        }
    }
    return 0;
}

static size_t
path_size_bytes(const h2o_req_t *req)
{
    return req->query_at == SIZE_MAX ? req->path.len : req->query_at;
}

/* Returns whether the request has this method and, without its query, this
 * path. */
bool
RsStandinServer_Matches(const h2o_req_t *req, const char *method,
                        const char *path)
{
    size_t path_bytes = path_size_bytes(req);
    return h2o_memis(req->method.base, req->method.len, method,
                     strlen(method)) &&
           h2o_memis(req->path.base, path_bytes, path, strlen(path));
}

/* Returns the decoded value of a query parameter, which the caller frees with
 * g_free(), or NULL if it is absent or wrongly encoded. */
char *
RsStandinServer_CopyQueryParameter(const h2o_req_t *req, const char *name)
{
    size_t name_bytes = strlen(name);
    if (req->query_at == SIZE_MAX) {
        return NULL;
    }
    const char *param = req->path.base + req->query_at + 1;
    const char *end = req->path.base + req->path.len;
    while (param < end) {
        const char *stop = memchr(param, '&', (size_t)(end - param));
        stop = stop != NULL ? stop : end;
        if ((size_t)(stop - param) > name_bytes && param[name_bytes] == '=' &&
            memcmp(param, name, name_bytes) == 0) {
            return g_uri_unescape_segment(param + name_bytes + 1, stop, NULL);
        }
        param = stop + 1;
    }
    return NULL;
}

/* Returns a query parameter as a number, or `absent` if there is none. Text
 * that is no number counts as 0. */
int64_t
RsStandinServer_QueryInteger(const h2o_req_t *req, const char *name,
                             int64_t absent)
{
    char *text = RsStandinServer_CopyQueryParameter(req, name);
    if (text == NULL) {
        return absent;
    }
    int64_t number = g_ascii_strtoll(text, NULL, 10);
    g_free(text);
    return number;
}

/* Returns a header's value, which is valid as long as the request; its base is
 * NULL if the header is absent. `name` must be in lower case. */
h2o_iovec_t
RsStandinServer_Header(const h2o_req_t *req, const char *name)
{
    ssize_t index =
        h2o_find_header_by_str(&req->headers, name, strlen(name), -1);
    if (index < 0) {
        return (h2o_iovec_t){NULL, 0};
    }
    return req->headers.entries[index].value;
}

/* Returns whether the caller has closed its side of the connection. Peeks at
 * the socket, since h2o doesn't read from it while a request is in progress.
 */
bool
RsStandinServer_IsCallerGone(h2o_req_t *req)
{
    char byte;
    int fd = h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn));
    ssize_t got = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

/* Adds a header to the answer. Both texts are copied. */
void
RsStandinServer_AddHeader(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t name_copy = h2o_strdup(&req->pool, name, SIZE_MAX);
    h2o_iovec_t value_copy = h2o_strdup(&req->pool, value, SIZE_MAX);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base,
                          name_copy.len, 0, NULL, value_copy.base,
                          value_copy.len);
}

/* Sets the status of the answer and its reason phrase. Statuses other than
 * 200, 400, 404 and 409 get the phrase of 503. */
void
RsStandinServer_SetStatus(h2o_req_t *req, int status)
{
    req->res.status = status;
    switch (status) {
    case 200:
        req->res.reason = "OK";
        break;
    case 400:
        req->res.reason = "Bad Request";
        break;
    case 404:
        req->res.reason = "Not Found";
        break;
    case 409:
        req->res.reason = "Conflict";
        break;
    default:
        req->res.reason = "Service Unavailable";
        break;
    }
}

/* Sends the answer with a body, which is copied. */
void
RsStandinServer_SendText(h2o_req_t *req, int status, const char *text,
                         size_t size_bytes)
{
    RsStandinServer_SetStatus(req, status);
    req->res.content_length = size_bytes;
    h2o_send_inline(req, text, size_bytes);
}

/* Sends the answer with a JSON body. Takes over the reference to `body`. */
void
RsStandinServer_SendJson(h2o_req_t *req, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    RsStandinServer_AddHeader(req, "content-type", "application/json");
    RsStandinServer_SendText(req, status, text, strlen(text));
    free(text);
    json_decref(body);
}

/* Closes the request's connection without an answer. Shuts the socket down and
 * then answers, since h2o frees the request and the connection once its write
 * fails. */
void
RsStandinServer_DropConnection(h2o_req_t *req)
{
    int fd = h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn));
    shutdown(fd, SHUT_RDWR);
    RsStandinServer_SendText(req, 503, "", 0);
}
