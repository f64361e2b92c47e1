#include "http/server.h"

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>

#define BACKLOG 1024
#define REQUEST_TIMEOUT_MS 10000

struct server_handler {
    h2o_handler_t super;
    struct rs_server *server;
};

/* h2o hands its context back with each request. */
struct server_context {
    h2o_context_t h2o;
    struct rs_server *server;
};

struct rs_server {
    h2o_globalconf_t config;
    struct server_context context;
    h2o_accept_ctx_t accept;
    uv_tcp_t listener;
    bool listening;
    rs_server_handler handler;
    void *arg;
    uint32_t connections;
    uint32_t max_connections;
    GPtrArray *by_fd; /* struct accepted; NULL where none is open */
};

struct accepted {
    uv_tcp_t tcp;
    struct rs_server *server;
    uv_os_fd_t fd;
    uint32_t requests; /* that have no whole answer yet */
    bool ended;        /* nothing more is read from it */
};

/* In the pool of a request, so that its end is known. */
struct open_request {
    struct accepted *accepted;
};

static void
on_request_disposed(void *memory)
{
    struct open_request *open = memory;
    open->accepted->requests--;
}

static struct accepted *
find_accepted(h2o_req_t *request)
{
    const struct server_context *context =
        (const struct server_context *)request->conn->ctx;
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    return g_ptr_array_index(context->server->by_fd,
                             h2o_socket_get_fd(socket));
}

static void
count_request(h2o_req_t *request)
{
    struct accepted *accepted = find_accepted(request);
    struct open_request *open = h2o_mem_alloc_shared(
        &request->pool, sizeof(*open), on_request_disposed);
    open->accepted = accepted;
    accepted->requests++;
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *request)
{
    struct server_handler *self = (struct server_handler *)handler;
    count_request(request);
    self->server->handler(self->server->arg, request);
    return 0;
}

static void
on_connection_freed(uv_handle_t *handle)
{
    struct accepted *accepted = (struct accepted *)handle;
    accepted->server->connections--;
    if (g_ptr_array_index(accepted->server->by_fd, accepted->fd) == accepted) {
        g_ptr_array_index(accepted->server->by_fd, accepted->fd) = NULL;
    }
    g_free(accepted);
}

static void
on_refused_freed(uv_handle_t *handle)
{
    g_free(handle);
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct rs_server *server = listener->data;
    if (status != 0) {
        return;
    }
    struct accepted *accepted = g_new0(struct accepted, 1);
    accepted->server = server;
    uv_tcp_init(listener->loop, &accepted->tcp);
    if (uv_accept(listener, (uv_stream_t *)&accepted->tcp) != 0 ||
        server->connections >= server->max_connections) {
        uv_close((uv_handle_t *)&accepted->tcp, on_refused_freed);
        return;
    }
    server->connections++;
    uv_fileno((uv_handle_t *)&accepted->tcp, &accepted->fd);
    if ((guint)accepted->fd >= server->by_fd->len) {
        g_ptr_array_set_size(server->by_fd, accepted->fd + 1);
    }
    g_ptr_array_index(server->by_fd, accepted->fd) = accepted;
    uv_tcp_nodelay(&accepted->tcp, 1);
    h2o_socket_t *socket = h2o_uv_socket_create((uv_stream_t *)&accepted->tcp,
                                                on_connection_freed);
    h2o_accept(&server->accept, socket);
}

static void
configure(struct rs_server *server, const struct rs_server_options *options)
{
    h2o_config_init(&server->config);
    server->config.max_request_entity_size = options->max_body_bytes;
    server->config.http1.req_timeout = options->idle_timeout_ms > 0
                                           ? options->idle_timeout_ms
                                           : REQUEST_TIMEOUT_MS;
    server->config.server_name = (h2o_iovec_t){H2O_STRLIT("rattanshed")};
    h2o_hostconf_t *host = h2o_config_register_host(
        &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    struct server_handler *handler =
        (struct server_handler *)h2o_create_handler(path, sizeof(*handler));
    handler->super.on_req = on_request;
    handler->server = server;
    server->context.server = server;
    h2o_context_init(&server->context.h2o, options->loop, &server->config);
    server->accept.ctx = &server->context.h2o;
    server->accept.hosts = server->config.hosts;
}

/* Listens. The server lives as long as the process. Returns 0 or
 * RsServer_LISTEN_FAILED. */
int
RsServer_Open(const struct rs_server_options *options,
              struct rs_server **server)
{
    struct rs_server *self = g_new0(struct rs_server, 1);
    self->handler = options->handler;
    self->arg = options->arg;
    self->max_connections = options->max_connections;
    self->by_fd = g_ptr_array_new();
    configure(self, options);
    uv_tcp_init(options->loop, &self->listener);
    self->listener.data = self;
    int status = uv_tcp_bind(&self->listener,
                             (const struct sockaddr *)&options->address, 0);
    if (status == 0) {
        status =
            uv_listen((uv_stream_t *)&self->listener, BACKLOG, on_connection);
    }
    *server = self;
    self->listening = status == 0;
    return status == 0 ? 0 : RsServer_LISTEN_FAILED;
}

/* Takes no further connections; those that are open go on. */
void
RsServer_StopListening(struct rs_server *server)
{
    if (server->listening) {
        server->listening = false;
        uv_close((uv_handle_t *)&server->listener, NULL);
    }
}

/* Ends an answer that has begun and can't be completed. The connection ends
 * within the answer; h2o alone would send a malformed chunk. */
void
RsServer_BreakOff(h2o_req_t *request)
{
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    shutdown(h2o_socket_get_fd(socket), SHUT_WR);
    h2o_send(request, NULL, 0, H2O_SEND_STATE_ERROR);
}

/* Closes connections on which no request is open. */
void
RsServer_CloseIdle(struct rs_server *server)
{
    for (guint fd = 0; fd < server->by_fd->len; fd++) {
        struct accepted *accepted = g_ptr_array_index(server->by_fd, fd);
        if (accepted != NULL && accepted->requests == 0) {
            /* The server reads an end and closes by itself; a request that
             * has come already is served. */
            accepted->ended = true;
            shutdown((int)fd, SHUT_RD);
        }
    }
}

/* Tells whether the caller has closed the connection of a request that has no
 * answer yet: the server does not read meanwhile. */
bool
RsServer_CallerLeft(h2o_req_t *request)
{
    char byte;
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    const struct accepted *accepted = find_accepted(request);
    if (accepted->ended) {
        return false;
    }
    ssize_t size = recv(h2o_socket_get_fd(socket), &byte, sizeof(byte),
                        MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

/* Changes how long a connection may be idle, or take to send a request. */
void
RsServer_SetIdleTimeout(struct rs_server *server, uint32_t timeout_ms)
{
    server->context.h2o.http1.req_timeout.timeout = timeout_ms;
}

/* Returns how many connections are open. */
uint32_t
RsServer_Connections(const struct rs_server *server)
{
    return server->connections;
}

static const char *
reason_of(int status)
{
    return status < 400 ? "OK" : "Refused";
}

/* Answers at once with a whole body, which is copied. */
void
RsServer_Reply(h2o_req_t *request, int status, const char *content_type,
               const char *body, size_t body_bytes)
{
    request->res.status = status;
    request->res.reason = reason_of(status);
    request->res.content_length = body_bytes;
    if (content_type != NULL) {
        h2o_add_header(&request->pool, &request->res.headers,
                       H2O_TOKEN_CONTENT_TYPE, NULL, content_type,
                       strlen(content_type));
    }
    h2o_iovec_t copy = h2o_strdup(&request->pool, body, body_bytes);
    h2o_send_inline(request, copy.base, copy.len);
}

/* Adds a header to the answer; both texts are copied. */
void
RsServer_AddHeader(h2o_req_t *request, const char *name, const char *value)
{
    h2o_iovec_t name_copy = h2o_strdup(&request->pool, name, strlen(name));
    h2o_iovec_t value_copy = h2o_strdup(&request->pool, value, strlen(value));
    h2o_strtolower(name_copy.base, name_copy.len);
    h2o_add_header_by_str(&request->pool, &request->res.headers,
                          name_copy.base, name_copy.len, 0, NULL,
                          value_copy.base, value_copy.len);
}

/* Returns the path without its query. */
char *
RsServer_Path(const h2o_req_t *request)
{
    size_t size =
        request->query_at != SIZE_MAX ? request->query_at : request->path.len;
    return g_strndup(request->path.base, size);
}

/* Returns a parameter of the query, decoded, or NULL. */
char *
RsServer_Query(const h2o_req_t *request, const char *name)
{
    if (request->query_at == SIZE_MAX) {
        return NULL;
    }
    char *query = g_strndup(request->path.base + request->query_at + 1,
                            request->path.len - request->query_at - 1);
    char **pairs = g_strsplit(query, "&", -1);
    char *found = NULL;
    size_t name_size = strlen(name);
    for (char **pair = pairs; *pair != NULL && found == NULL; pair++) {
        if (strncmp(*pair, name, name_size) == 0 &&
            (*pair)[name_size] == '=') {
            found = g_uri_unescape_string(*pair + name_size + 1, NULL);
        }
    }
    g_strfreev(pairs);
    g_free(query);
    return found;
}

/* Returns a header's value, or NULL. */
char *
RsServer_Header(const h2o_req_t *request, const char *name)
{
    ssize_t at =
        h2o_find_header_by_str(&request->headers, name, strlen(name), -1);
    if (at < 0) {
        return NULL;
    }
    h2o_iovec_t value = request->headers.entries[at].value;
    return g_strndup(value.base, value.len);
}
