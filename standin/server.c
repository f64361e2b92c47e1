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

struct rs_server_port {
    uv_tcp_t listener;
    h2o_accept_ctx_t accept;
    h2o_hostconf_t *hosts[2];
    uint16_t number;
    rs_server_handler handler;
    void *arg;
};

/* Ties h2o's handler object to the port's own handler. */
struct port_handler {
    h2o_handler_t super;
    struct rs_server_port *port;
};

static int
on_request(h2o_handler_t *super, h2o_req_t *req)
{
    struct rs_server_port *port = ((struct port_handler *)super)->port;
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
    struct rs_server_port *port = listener->data;
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

/* Prepares a server without ports on `loop`. */
void
RsServer_Init(struct rs_server *server, uv_loop_t *loop)
{
    memset(server, 0, sizeof(*server));
    signal(SIGPIPE, SIG_IGN);
    server->loop = loop;
    h2o_config_init(&server->config);
    server->config.http1.req_timeout = IDLE_TIMEOUT_MS;
}

/* Adds a port of the loopback address, on which requests go to `handler`. */
void
RsServer_AddPort(struct rs_server *server, uint16_t number,
                 rs_server_handler handler, void *arg)
{
    char name[32];
    g_assert(server->port_count < RsServer_MAX_PORTS);
    struct rs_server_port *port = g_new0(struct rs_server_port, 1);
    snprintf(name, sizeof(name), "port-%u", (unsigned)number);
    port->number = number;
    port->handler = handler;
    port->arg = arg;
    h2o_iovec_t host = {name, strlen(name)};
    port->hosts[0] = h2o_config_register_host(&server->config, host, number);
    g_assert(port->hosts[0] != NULL);
    h2o_pathconf_t *path = h2o_config_register_path(port->hosts[0], "/", 0);
    struct port_handler *link =
        (struct port_handler *)h2o_create_handler(path, sizeof(*link));
    link->super.on_req = on_request;
    link->port = port;
    server->ports[server->port_count++] = port;
}

static int
listen_on(struct rs_server *server, struct rs_server_port *port)
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

/* Listens on all ports. Returns 0 or a negative libuv error, which it has
 * printed. */
int
RsServer_Start(struct rs_server *server)
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

/* Tells whether the request has this method and, but for its query, this
 * path. */
bool
RsServer_IsCall(const h2o_req_t *req, const char *method, const char *path)
{
    size_t path_bytes = path_size_bytes(req);
    return h2o_memis(req->method.base, req->method.len, method,
                     strlen(method)) &&
           h2o_memis(req->path.base, path_bytes, path, strlen(path));
}

/* Returns the decoded value of a parameter of the query, which the caller
 * frees with g_free(), or NULL when it is absent or badly encoded. */
char *
RsServer_CopyQuery(const h2o_req_t *req, const char *name)
{
    size_t name_bytes = strlen(name);
    if (req->query_at == SIZE_MAX) {
        return NULL;
    }
    const char *at = req->path.base + req->query_at + 1;
    const char *end = req->path.base + req->path.len;
    while (at < end) {
        const char *stop = memchr(at, '&', (size_t)(end - at));
        stop = stop != NULL ? stop : end;
        if ((size_t)(stop - at) > name_bytes && at[name_bytes] == '=' &&
            memcmp(at, name, name_bytes) == 0) {
            return g_uri_unescape_segment(at + name_bytes + 1, stop, NULL);
        }
        at = stop + 1;
    }
    return NULL;
}

/* Returns a parameter of the query as a number, or `absent`. */
int64_t
RsServer_QueryNumber(const h2o_req_t *req, const char *name, int64_t absent)
{
    char *text = RsServer_CopyQuery(req, name);
    if (text == NULL) {
        return absent;
    }
    int64_t number = g_ascii_strtoll(text, NULL, 10);
    g_free(text);
    return number;
}

/* Returns a header's value, valid as long as the request, or one with a NULL
 * base. `name` is in lower case. */
h2o_iovec_t
RsServer_Header(const h2o_req_t *req, const char *name)
{
    ssize_t index =
        h2o_find_header_by_str(&req->headers, name, strlen(name), -1);
    if (index < 0) {
        return (h2o_iovec_t){NULL, 0};
    }
    return req->headers.entries[index].value;
}

/* Tells whether the caller has closed the connection. h2o doesn't read while
 * a request is under way, so that the socket itself is asked. */
bool
RsServer_CallerIsGone(h2o_req_t *req)
{
    char byte;
    int fd = h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn));
    ssize_t got = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

/* Adds a header to the answer; both texts are copied. */
void
RsServer_AddHeader(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t kept_name = h2o_strdup(&req->pool, name, SIZE_MAX);
    h2o_iovec_t kept_value = h2o_strdup(&req->pool, value, SIZE_MAX);
    h2o_add_header_by_str(&req->pool, &req->res.headers, kept_name.base,
                          kept_name.len, 0, NULL, kept_value.base,
                          kept_value.len);
}

/* Sets the status of the answer and its reason phrase. */
void
RsServer_SetStatus(h2o_req_t *req, int status)
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

/* Answers with a body, which is copied. */
void
RsServer_SendText(h2o_req_t *req, int status, const char *text,
                  size_t size_bytes)
{
    RsServer_SetStatus(req, status);
    req->res.content_length = size_bytes;
    h2o_send_inline(req, text, size_bytes);
}

/* Answers with a JSON body; takes the reference to it. */
void
RsServer_SendJson(h2o_req_t *req, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    RsServer_AddHeader(req, "content-type", "application/json");
    RsServer_SendText(req, status, text, strlen(text));
    free(text);
    json_decref(body);
}

/* Closes the request's connection without an answer. h2o closes it once its
 * write fails. */
void
RsServer_Drop(h2o_req_t *req)
{
    int fd = h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn));
    shutdown(fd, SHUT_RDWR);
    RsServer_SendText(req, 503, "", 0);
}
