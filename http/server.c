#include "http/server.h"

#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/log.h"
#include "http/client.h"
#include "http/connection.h"

#define LISTEN_BACKLOG 1024
#define DEFAULT_IDLE_TIMEOUT_MS 10000
/* Connections that may linger, of which there may be this part of all. */
#define MIN_LINGERING 128
#define MAX_LINGERING 512
#define LINGERING_CONNECTIONS_PART 8
#define STALL_CHECK_MS 1000
/* Responses up to this size leave the kernel at once. */
#define DELIVERED_SOON_BYTES 8192
/* What is kept in memory for all clients: a budget of a third, or up to 60%
 * if one body needs that, and for each connection an allowance, all of which
 * make up a sixth. */
#define BUDGET_MEMORY_PART 3
#define MAX_BUDGET_MEMORY_PERCENT 60
#define PERCENT 100
#define MAX_HEAD_BYTES 16384 /* kept with the body */
#define ALLOWANCES_MEMORY_PART 6
#define SHORT_MEMORY_PART 4 /* of the budget */
#define HTTP_1_0 0x100      /* value of `version` of struct h2o_req_t */

struct server_handler {
    h2o_handler_t super;
    struct rs_server *server;
};

/* Part of the memory pool of a request; h2o disposes of it when the request
 * ends, which calls on_request_disposed(). */
struct request_tracker {
    struct rs_client *client;
};

static void
on_request_disposed(void *memory)
{
    struct request_tracker *tracker = memory;
    RsClient_EndRequest(tracker->client);
}

static int
fd_of(const h2o_req_t *request)
{
    return h2o_socket_get_fd(
        request->conn->callbacks->get_socket(request->conn));
}

static struct rs_client *
find_client(const h2o_req_t *request)
{
    const struct rs_server_context *context =
        (const struct rs_server_context *)request->conn->ctx;
    return g_ptr_array_index(context->server->clients_by_fd, fd_of(request));
}

/* Sets whether the connection is reset when it is closed, in whatever way. */
static void
set_resets(h2o_req_t *request, bool resets)
{
    find_client(request)->resets = resets;
    RsHttp_ResetSocketOnClose(fd_of(request), resets);
}

static void
drop_spare(struct rs_client *client)
{
    if (client->spare_fd != RsClient_NO_FD) {
        close(client->spare_fd);
        client->spare_fd = RsClient_NO_FD;
        client->server->spare_count--;
    }
}

static void
track_request(h2o_req_t *request)
{
    struct rs_client *client = find_client(request);
    struct request_tracker *tracker = h2o_mem_alloc_shared(
        &request->pool, sizeof(*tracker), on_request_disposed);
    tracker->client = client;
    RsClient_BeginRequest(client);
    drop_spare(client);
}

/* Closes `fd`, a duplicate of the client's socket, when the client has
 * received all that was written to it. */
void
RsClient_Linger(struct rs_client *client, int fd)
{
    if (fd == RsClient_NO_FD ||
        RsLinger_Take(&client->server->linger, fd) != 0) {
        RsLog_EVENT(
            RsLog_WARNING, "connection_not_lingering",
            RsLog_NUMBER("lingering", client->server->linger.socket_count));
    }
}

/* Returns whether more than the request was read from its connection. */
static bool
has_followers(const struct rs_client *client, const h2o_req_t *request)
{
    static const char end_of_head[] = "\r\n\r\n";
    const h2o_buffer_t *input = client->socket->input;
    const char *end =
        memmem(input->bytes, input->size, end_of_head, strlen(end_of_head));
    return end != NULL && input->size > (size_t)(end - input->bytes) +
                                            strlen(end_of_head) +
                                            request->entity.len;
}

static void
keep_spare(struct rs_client *client)
{
    if (client->spare_fd == RsClient_NO_FD &&
        client->server->spare_count < MAX_LINGERING) {
        client->spare_fd = fcntl(client->fd, F_DUPFD_CLOEXEC, 0);
        client->server->spare_count += client->spare_fd != RsClient_NO_FD;
    }
}

/* Lets the client receive the response that has ended, although h2o closes the
 * connection now and the client may have sent more. */
static void
on_request_ended(h2o_logger_t *logger, h2o_req_t *request)
{
    struct rs_client *client = find_client(request);
    if (client == NULL || client->resets) {
        return;
    }
    if (!request->http1_is_persistent) {
        drop_spare(client);
        RsClient_Linger(client, fcntl(client->fd, F_DUPFD_CLOEXEC, 0));
    }
    else if (has_followers(client, request) ||
             (request->bytes_sent > DELIVERED_SOON_BYTES &&
              RsLinger_UnacknowledgedBytes(client->fd) > 0)) {
        keep_spare(client);
    }
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *request)
{
    struct server_handler *self = (struct server_handler *)handler;
    track_request(request);
    self->server->handler(self->server->arg, request);
    return 0;
}

static void
on_client_closed(uv_handle_t *handle)
{
    struct rs_client *client = (struct rs_client *)handle;
    client->server->connection_count--;
    RsClient_Release(client);
    if (client->spare_fd != RsClient_NO_FD && !client->resets) {
        client->server->spare_count--;
        RsClient_Linger(client, client->spare_fd);
    }
    else {
        drop_spare(client);
    }
    if (g_ptr_array_index(client->server->clients_by_fd, client->fd) ==
        client) {
        g_ptr_array_index(client->server->clients_by_fd, client->fd) = NULL;
    }
    g_free(client);
}

static void
on_rejected_closed(uv_handle_t *handle)
{
    g_free(handle);
}

/* Returns whether all descriptors for clients are in use. */
static bool
is_full(const struct rs_server *server)
{
    return RsServer_ConnectionCount(server) + server->spare_count >=
           server->max_connections;
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct rs_server *server = listener->data;
    if (status != 0) {
        RsLog_EVENT(RsLog_WARNING, "connection_not_accepted",
                    RsLog_TEXT("error", uv_strerror(status)));
        RsCounter_Add(&server->counters.not_accepted, 1);
        return;
    }
    struct rs_client *client = g_new0(struct rs_client, 1);
    client->server = server;
    client->spare_fd = RsClient_NO_FD;
    uv_tcp_init(listener->loop, &client->tcp);
    if (uv_accept(listener, (uv_stream_t *)&client->tcp) != 0 ||
        (is_full(server) && !RsClient_CloseOldest(server))) {
        RsCounter_Add(&server->counters.not_accepted, 1);
        uv_close((uv_handle_t *)&client->tcp, on_rejected_closed);
        return;
    }
    server->connection_count++;
    uv_fileno((uv_handle_t *)&client->tcp, &client->fd);
    if ((guint)client->fd >= server->clients_by_fd->len) {
        g_ptr_array_set_size(server->clients_by_fd, client->fd + 1);
    }
    g_ptr_array_index(server->clients_by_fd, client->fd) = client;
    uv_tcp_nodelay(&client->tcp, 1);
    client->socket =
        h2o_uv_socket_create((uv_stream_t *)&client->tcp, on_client_closed);
    h2o_accept(&server->accept, client->socket);
    RsClient_BeginReceiving(client);
}

/* h2o calls loggers when a request ends, before it closes the connection. */
static void
add_logger(h2o_pathconf_t *path)
{
    h2o_create_logger(path, sizeof(h2o_logger_t))->log_access =
        on_request_ended;
}

static void
configure(struct rs_server *server, const struct rs_server_options *options)
{
    /* By default, h2o moves large buffers to files in /tmp. */
    h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
    h2o_config_init(&server->config);
    RsServer_SetMaxBodyBytes(server, options->max_body_bytes);
    server->config.http1.req_timeout = options->idle_timeout_ms > 0
                                           ? options->idle_timeout_ms
                                           : DEFAULT_IDLE_TIMEOUT_MS;
    server->config.server_name = (h2o_iovec_t){H2O_STRLIT("rattanshed")};
    h2o_hostconf_t *host = h2o_config_register_host(
        &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    struct server_handler *handler =
        (struct server_handler *)h2o_create_handler(path, sizeof(*handler));
    handler->super.on_req = on_request;
    handler->server = server;
    add_logger(path);
    add_logger(&host->fallback_path);
    server->context.server = server;
    h2o_context_init(&server->context.h2o, options->loop, &server->config);
    server->linger.idle_timeout_ms = server->config.http1.req_timeout;
    server->accept.ctx = &server->context.h2o;
    server->accept.hosts = server->config.hosts;
}

/* Resets the connection, also while h2o is sending. */
void
RsClient_Drop(struct rs_client *client)
{
    client->resets = true;
    RsHttp_ResetSocketOnClose(client->fd, true);
    /* Makes the write that h2o waits for fail. */
    shutdown(client->fd, SHUT_RDWR);
}

/* Resets the connection if the client has received nothing of a response for
 * as long as a connection may be idle. h2o has no time limit for writing. */
static void
check_stalled(struct rs_client *client, int64_t now_ms)
{
    size_t queued_bytes =
        uv_stream_get_write_queue_size((const uv_stream_t *)&client->tcp);
    uint64_t unsent_bytes =
        queued_bytes > 0
            ? queued_bytes + RsLinger_UnacknowledgedBytes(client->fd)
            : 0;
    if (unsent_bytes < client->unsent_bytes) {
        RsClient_RecordSent(client, client->unsent_bytes - unsent_bytes,
                            false);
    }
    if (unsent_bytes == 0 || unsent_bytes != client->unsent_bytes) {
        client->unsent_bytes = unsent_bytes;
        client->stalled_since_ms = now_ms;
        return;
    }
    int64_t stalled_ms = now_ms - client->stalled_since_ms;
    if (stalled_ms >=
        (int64_t)client->server->context.h2o.http1.req_timeout.timeout) {
        RsLog_EVENT(RsLog_WARNING, "caller_stalled",
                    RsLog_NUMBER("unsent_bytes", (int64_t)unsent_bytes),
                    RsLog_NUMBER("stalled_ms", stalled_ms));
        RsClient_Drop(client);
    }
}

static void
on_stall_check(uv_timer_t *timer)
{
    const struct rs_server *server = timer->data;
    int64_t now_ms = RsClock_NowMs();
    for (guint fd = 0; fd < server->clients_by_fd->len; fd++) {
        struct rs_client *client =
            g_ptr_array_index(server->clients_by_fd, fd);
        if (client != NULL && !uv_is_closing((uv_handle_t *)&client->tcp)) {
            check_stalled(client, now_ms);
        }
    }
}

/* Creates a server and listens. The server is never freed. Returns 0 or
 * RsServer_LISTEN_FAILED; `*server` is set in both cases. */
int
RsServer_Open(const struct rs_server_options *options,
              struct rs_server **server)
{
    struct rs_server *self = g_new0(struct rs_server, 1);
    self->handler = options->handler;
    self->arg = options->arg;
    self->memory_bytes = options->memory_bytes > 0
                             ? options->memory_bytes
                             : RsServer_DEFAULT_MEMORY_BYTES;
    self->max_connections = (uint32_t)MIN(
        options->max_connections, self->memory_bytes / ALLOWANCES_MEMORY_PART /
                                      RsServer_ALLOWANCE_BYTES);
    RsByteBudget_Init(&self->budget, self->memory_bytes / BUDGET_MEMORY_PART,
                      RsServer_ALLOWANCE_BYTES);
    self->clients_by_fd = g_ptr_array_new();
    self->linger = (struct rs_linger){
        .loop = options->loop,
        .max_sockets =
            CLAMP(self->max_connections / LINGERING_CONNECTIONS_PART,
                  MIN_LINGERING, MAX_LINGERING),
    };
    configure(self, options);
    uv_timer_init(options->loop, &self->stall_check);
    self->stall_check.data = self;
    uv_timer_start(&self->stall_check, on_stall_check, STALL_CHECK_MS,
                   STALL_CHECK_MS);
    uv_unref((uv_handle_t *)&self->stall_check);
    g_queue_init(&self->restarted);
    uv_prepare_init(options->loop, &self->restart);
    self->restart.data = self;
    uv_prepare_start(&self->restart, RsClient_OnRestart);
    uv_unref((uv_handle_t *)&self->restart);
    uv_tcp_init(options->loop, &self->listener);
    self->listener.data = self;
    int status = uv_tcp_bind(&self->listener,
                             (const struct sockaddr *)&options->address, 0);
    if (status == 0) {
        status = uv_listen((uv_stream_t *)&self->listener, LISTEN_BACKLOG,
                           on_connection);
    }
    *server = self;
    self->listening = status == 0;
    return status == 0 ? 0 : RsServer_LISTEN_FAILED;
}

/* Stops accepting connections. Open connections are not affected. */
void
RsServer_StopListening(struct rs_server *server)
{
    if (server->listening) {
        server->listening = false;
        uv_close((uv_handle_t *)&server->listener, NULL);
    }
}

/* Makes the body of a response without a length end with the connection; h2o
 * would send chunks to a client of HTTP/1.1. Must be called before the
 * response is started. */
void
RsServer_OmitChunks(h2o_req_t *request)
{
    request->version = HTTP_1_0;
    request->http1_is_persistent = 0;
}

/* Returns whether only the end of the connection marks the end of the body of
 * a response that has been started: it has no length, and h2o doesn't send it
 * in chunks, for instance because the client speaks HTTP/1.0. */
bool
RsServer_EndsWithConnection(const h2o_req_t *request)
{
    return request->res.content_length == SIZE_MAX &&
           h2o_find_header(&request->res.headers, H2O_TOKEN_TRANSFER_ENCODING,
                           -1) < 0;
}

/* Starts a response whose body `generator` sends. If only the end of the
 * connection marks its end, the connection is reset when it is closed before
 * RsServer_EndResponse(), also when the process is killed, so that the client
 * can't take a part of the response for the whole. */
void
RsServer_StartResponse(h2o_req_t *request, h2o_generator_t *generator)
{
    h2o_start_response(request, generator);
    if (RsServer_EndsWithConnection(request)) {
        set_resets(request, true);
    }
}

/* Ends a response that was started with RsServer_StartResponse(). If it ends
 * with its connection, the kernel must have all of its body: the generator was
 * asked to proceed after the last piece. */
void
RsServer_EndResponse(h2o_req_t *request)
{
    if (RsServer_EndsWithConnection(request)) {
        set_resets(request, false);
    }
    h2o_send(request, NULL, 0, H2O_SEND_STATE_FINAL);
}

/* Aborts a response that has been started and can't be completed. A connection
 * whose end marks the end of the response is reset. Otherwise shuts down its
 * sending side first, so that the client sees a truncated response; h2o alone
 * would send a malformed chunk. */
void
RsServer_AbortResponse(h2o_req_t *request)
{
    if (RsServer_EndsWithConnection(request)) {
        set_resets(request, true);
    }
    else {
        shutdown(fd_of(request), SHUT_WR);
    }
    h2o_send(request, NULL, 0, H2O_SEND_STATE_ERROR);
}

/* Sets how many bytes the handler keeps of the response to a request. Returns
 * false if there is no memory for them; the response is to be broken off
 * then, unless its connection is already being closed. */
bool
RsServer_HoldResponse(h2o_req_t *request, size_t bytes)
{
    return RsClient_HoldResponse(find_client(request), bytes);
}

/* Records that `bytes` more of a response have been written, which may be all
 * that there is of it so far. */
void
RsServer_RecordSent(h2o_req_t *request, size_t bytes, bool is_all)
{
    RsClient_RecordSent(find_client(request), bytes, is_all);
}

/* Returns whether the memory for clients is nearly exhausted, so that as
 * little as possible should be kept of each response. */
bool
RsServer_IsShortOfMemory(const h2o_req_t *request)
{
    const struct rs_byte_budget *budget =
        &find_client(request)->server->budget;
    return !RsByteBudget_HasRoom(budget,
                                 budget->max_bytes / SHORT_MEMORY_PART);
}

/* Resets the connection of a request, also while h2o is sending a part of the
 * response. */
void
RsServer_DropConnection(h2o_req_t *request)
{
    RsClient_Drop(find_client(request));
}

/* Closes the connections that have no request in progress, and whose clients
 * have received all responses. A request that has been received but not yet
 * read by h2o is still served. */
void
RsServer_CloseIdle(struct rs_server *server)
{
    for (guint fd = 0; fd < server->clients_by_fd->len; fd++) {
        const struct rs_client *client =
            g_ptr_array_index(server->clients_by_fd, fd);
        if (client != NULL && client->open_request_count == 0 &&
            !uv_is_closing((const uv_handle_t *)&client->tcp) &&
            RsLinger_UnacknowledgedBytes(client->fd) == 0) {
            /* h2o reads the end of the stream and closes the connection. */
            shutdown((int)fd, SHUT_RD);
        }
    }
}

/* Returns whether the client of a request in progress has closed its
 * connection, or its side of it. Must be polled, since h2o doesn't read from
 * the connection until the response is sent. The state of the connection also
 * tells that when the client has sent more than the request, or when
 * RsServer_CloseIdle() has shut down reading. */
bool
RsServer_ClientDisconnected(h2o_req_t *request)
{
    struct tcp_info info = {0};
    socklen_t size_bytes = sizeof(info);
    return getsockopt(fd_of(request), IPPROTO_TCP, TCP_INFO, &info,
                      &size_bytes) != 0 ||
           info.tcpi_state != TCP_ESTABLISHED;
}

/* Sets how long a connection may stay idle, and how long the client may take
 * to send a request. */
void
RsServer_SetIdleTimeout(struct rs_server *server, uint32_t timeout_ms)
{
    server->context.h2o.http1.req_timeout.timeout = timeout_ms;
    server->linger.idle_timeout_ms = timeout_ms;
}

/* Sets the size above which the body of a request is rejected with 413. The
 * budget is enlarged, if need be, to hold one body of this size. One that has
 * no room even in the largest budget is rejected, too. */
void
RsServer_SetMaxBodyBytes(struct rs_server *server, size_t max_body_bytes)
{
    uint64_t needed_bytes =
        MIN(max_body_bytes + MAX_HEAD_BYTES,
            server->memory_bytes / PERCENT * MAX_BUDGET_MEMORY_PERCENT);
    server->budget.max_bytes =
        MAX(server->memory_bytes / BUDGET_MEMORY_PART, needed_bytes);
    server->config.max_request_entity_size =
        MIN(max_body_bytes, server->budget.max_bytes);
}

const struct rs_server_counters *
RsServer_Counters(const struct rs_server *server)
{
    return &server->counters;
}

/* Returns how many bytes are kept for clients beyond their allowances. */
uint64_t
RsServer_ChargedBytes(const struct rs_server *server)
{
    return server->budget.charged_bytes;
}

/* Returns the number of open connections, with those whose clients have not
 * received the end of the stream yet. */
uint32_t
RsServer_ConnectionCount(const struct rs_server *server)
{
    return server->connection_count + server->linger.socket_count;
}

static const char *
reason_phrase(int status)
{
    return status < 400 ? "OK" : "Refused";
}

/* Sends a complete response; the body is copied. `content_type` may be NULL if
 * the body is empty. */
void
RsServer_Reply(h2o_req_t *request, int status, const char *content_type,
               const char *body, size_t body_bytes)
{
    request->res.status = status;
    request->res.reason = reason_phrase(status);
    request->res.content_length = body_bytes;
    if (content_type != NULL) {
        h2o_add_header(&request->pool, &request->res.headers,
                       H2O_TOKEN_CONTENT_TYPE, NULL, content_type,
                       strlen(content_type));
    }
    h2o_iovec_t copy = h2o_strdup(&request->pool, body, body_bytes);
    h2o_send_inline(request, copy.base, copy.len);
}

/* Adds a header to the response. The name is converted to lower case. The name
 * and the value are copied. */
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

/* Returns a copy of the path of a request without the query, which the caller
 * frees with g_free(). */
char *
RsServer_Path(const h2o_req_t *request)
{
    size_t size =
        request->query_at != SIZE_MAX ? request->query_at : request->path.len;
    return g_strndup(request->path.base, size);
}

/* Returns the decoded value of a query parameter, which the caller frees with
 * g_free(), or NULL if it is absent or can't be decoded. */
char *
RsServer_Query(const h2o_req_t *request, const char *name)
{
    if (request->query_at == SIZE_MAX) {
        return NULL;
    }
    char *query = g_strndup(request->path.base + request->query_at + 1,
                            request->path.len - request->query_at - 1);
    char **pairs = g_strsplit(query, "&", -1);
    char *value_text = NULL;
    size_t name_size = strlen(name);
    for (char **pair = pairs; *pair != NULL && value_text == NULL; pair++) {
        if (strncmp(*pair, name, name_size) == 0 &&
            (*pair)[name_size] == '=') {
            value_text = g_uri_unescape_string(*pair + name_size + 1, NULL);
        }
    }
    g_strfreev(pairs);
    g_free(query);
    return value_text;
}

/* Returns a copy of the value of a request header, which the caller frees with
 * g_free(), or NULL if it is absent. `name` must be in lower case. */
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
