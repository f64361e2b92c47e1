#include "http/connection.h"

#include <assert.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>

#define NO_VALUE SIZE_MAX

struct rs_http_connection {
    uv_tcp_t tcp;
    uv_connect_t connect;
    http_parser parser;
    const struct rs_http_events *events;
    void *arg;
    GString *head_text; /* names and values, each with a zero byte */
    size_t name_at[RsHttp_MAX_HEADERS];
    size_t value_at[RsHttp_MAX_HEADERS];
    size_t header_count;
    bool in_value;
    bool connected;
    bool awaiting; /* a request was sent and its answer is not complete */
    bool is_head_request;
    bool skipping;   /* the answer being read belongs to no request */
    bool complete;   /* an answer was read to its end, and not yet told of */
    bool keep_alive; /* its word on the connection */
    bool closing;
    int error;
};

struct write_request {
    uv_write_t write;
    char *data;
};

static void
freed(uv_handle_t *handle)
{
    struct rs_http_connection *connection = handle->data;
    g_string_free(connection->head_text, TRUE);
    g_free(connection);
}

/* Closes from inside: the owner is told. */
static void
fail(struct rs_http_connection *connection, int error)
{
    if (connection->closing) {
        return;
    }
    connection->closing = true;
    uv_close((uv_handle_t *)&connection->tcp, freed);
    connection->events->closed(connection->arg, error);
}

static void
forget_head(struct rs_http_connection *connection)
{
    g_string_truncate(connection->head_text, 0);
    connection->header_count = 0;
    connection->in_value = false;
}

static int
on_begin(http_parser *parser)
{
    struct rs_http_connection *connection = parser->data;
    if (!connection->awaiting) {
        connection->error = RsHttp_UNASKED;
        return -1;
    }
    forget_head(connection);
    return 0;
}

static int
append_head(struct rs_http_connection *connection, const char *data,
            size_t size)
{
    if (connection->head_text->len + size + 2 > RsHttp_MAX_HEAD_BYTES) {
        return -1;
    }
    g_string_append_len(connection->head_text, data, (gssize)size);
    return 0;
}

static int
on_name(http_parser *parser, const char *data, size_t size)
{
    struct rs_http_connection *connection = parser->data;
    bool first = connection->header_count == 0;
    if (first || connection->in_value) {
        if (connection->header_count == RsHttp_MAX_HEADERS) {
            return -1;
        }
        if (!first) {
            g_string_append_c(connection->head_text, '\0');
        }
        connection->name_at[connection->header_count] =
            connection->head_text->len;
        connection->value_at[connection->header_count] = NO_VALUE;
        connection->header_count++;
        connection->in_value = false;
    }
    return append_head(connection, data, size);
}

static int
on_value(http_parser *parser, const char *data, size_t size)
{
    struct rs_http_connection *connection = parser->data;
    if (!connection->in_value) {
        g_string_append_c(connection->head_text, '\0');
        connection->value_at[connection->header_count - 1] =
            connection->head_text->len;
        connection->in_value = true;
    }
    return append_head(connection, data, size);
}

static int64_t
body_length(const http_parser *parser)
{
    if (parser->content_length == UINT64_MAX) {
        return -1;
    }
    return (int64_t)parser->content_length;
}

static const char *
header_value(const struct rs_http_connection *connection, size_t index)
{
    if (connection->value_at[index] == NO_VALUE) {
        return "";
    }
    return connection->head_text->str + connection->value_at[index];
}

static int
on_head_complete(http_parser *parser)
{
    struct rs_http_connection *connection = parser->data;
    struct rs_http_header headers[RsHttp_MAX_HEADERS];
    g_string_append_c(connection->head_text, '\0');
    for (size_t i = 0; i < connection->header_count; i++) {
        headers[i].name = connection->head_text->str + connection->name_at[i];
        headers[i].value = header_value(connection, i);
    }
    struct rs_http_head head = {
        .status = (int)parser->status_code,
        .length = body_length(parser),
        .chunked = (parser->flags & F_CHUNKED) != 0,
        .headers = headers,
        .header_count = connection->header_count,
    };
    connection->events->head(connection->arg, &head);
    if (connection->closing) {
        return -1;
    }
    return connection->is_head_request ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct rs_http_connection *connection = parser->data;
    if (!connection->skipping) {
        connection->events->body(connection->arg, data, size);
    }
    return connection->closing ? -1 : 0;
}

/* Stops the parser, so that what follows the answer is not taken for that of
 * the next request, which the owner may send when it is told. */
static int
on_complete(http_parser *parser)
{
    struct rs_http_connection *connection = parser->data;
    connection->keep_alive = http_should_keep_alive(parser) != 0;
    if (connection->skipping && connection->keep_alive) {
        connection->skipping = false;
        return 0;
    }
    connection->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head_complete,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/* Tells the owner that the answer is whole. A connection that brought more
 * than that is not used again. */
static void
end_answer(struct rs_http_connection *connection, bool alone)
{
    http_parser_pause(&connection->parser, 0);
    connection->complete = false;
    if (connection->skipping) {
        fail(connection, RsHttp_CLOSED);
        return;
    }
    connection->awaiting = false;
    connection->events->end(connection->arg, connection->keep_alive && alone);
    if (!alone) {
        fail(connection, RsHttp_UNASKED);
    }
}

static void
parse(struct rs_http_connection *connection, const char *data, size_t size)
{
    if (!connection->awaiting) {
        fail(connection, RsHttp_UNASKED);
        return;
    }
    size_t used =
        http_parser_execute(&connection->parser, &parser_settings, data, size);
    if (connection->closing) {
        return;
    }
    if (connection->complete) {
        end_answer(connection, used == size);
    }
    else if (used != size ||
             HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
        int error =
            connection->error != 0 ? connection->error : RsHttp_MALFORMED;
        fail(connection, error);
    }
}

/* An answer without a length ends with the connection. */
static void
end_of_stream(struct rs_http_connection *connection)
{
    if (connection->awaiting) {
        http_parser_execute(&connection->parser, &parser_settings, NULL, 0);
    }
    if (connection->complete && !connection->closing) {
        connection->keep_alive = false;
        end_answer(connection, true);
    }
    fail(connection, RsHttp_CLOSED);
}

static void
give_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static _Thread_local char bytes[RsHttp_READ_BYTES];
    buffer->base = bytes;
    buffer->len = sizeof(bytes);
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    struct rs_http_connection *connection = stream->data;
    if (size > 0) {
        parse(connection, buffer->base, (size_t)size);
    }
    else if (size == UV_EOF) {
        end_of_stream(connection);
    }
    else if (size < 0) {
        fail(connection, RsHttp_RESET);
    }
}

static void
on_connect(uv_connect_t *connect, int status)
{
    struct rs_http_connection *connection = connect->data;
    if (connection->closing) {
        return;
    }
    if (status != 0) {
        fail(connection, RsHttp_CONNECT_FAILED);
        return;
    }
    connection->connected = true;
    uv_tcp_nodelay(&connection->tcp, 1);
    uv_read_start((uv_stream_t *)&connection->tcp, give_buffer, on_read);
    connection->events->connected(connection->arg);
}

/* Reads an IP number and port. Returns 0 or RsHttp_BAD_ADDRESS. */
int
RsHttp_ParseAddress(const char *host, uint16_t port,
                    struct sockaddr_in *address)
{
    return uv_ip4_addr(host, port, address) == 0 ? 0 : RsHttp_BAD_ADDRESS;
}

static void
reset_on_close(uv_tcp_t *tcp)
{
    const struct linger at_once = {.l_onoff = 1, .l_linger = 0};
    uv_os_fd_t fd;
    if (uv_fileno((const uv_handle_t *)tcp, &fd) == 0) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
}

/* Begins to connect. Returns NULL when no socket can be had; otherwise
 * `connected` or `closed` follows. */
struct rs_http_connection *
RsHttp_Open(const struct rs_http_options *options)
{
    struct rs_http_connection *connection =
        g_new0(struct rs_http_connection, 1);
    connection->events = options->events;
    connection->arg = options->arg;
    connection->head_text = g_string_new(NULL);
    if (uv_tcp_init_ex(options->loop, &connection->tcp, AF_INET) != 0) {
        g_string_free(connection->head_text, TRUE);
        g_free(connection);
        return NULL;
    }
    connection->tcp.data = connection;
    connection->connect.data = connection;
    if (options->reset_on_close) {
        reset_on_close(&connection->tcp);
    }
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection;
    int status =
        uv_tcp_connect(&connection->connect, &connection->tcp,
                       (const struct sockaddr *)&options->address, on_connect);
    if (status != 0) {
        connection->closing = true;
        uv_close((uv_handle_t *)&connection->tcp, freed);
        return NULL;
    }
    return connection;
}

static bool
names_host(const struct rs_http_request *request)
{
    for (size_t i = 0; i < request->header_count; i++) {
        if (g_ascii_strcasecmp(request->headers[i].name, "host") == 0) {
            return true;
        }
    }
    return false;
}

static GString *
format_request(const struct rs_http_request *request)
{
    GString *text = g_string_sized_new(512 + request->body_bytes);
    g_string_append_printf(text, "%s %s HTTP/1.1\r\n", request->method,
                           request->path);
    if (!names_host(request)) {
        g_string_append(text, "host: target\r\n");
    }
    for (size_t i = 0; i < request->header_count; i++) {
        g_string_append_printf(text, "%s: %s\r\n", request->headers[i].name,
                               request->headers[i].value);
    }
    if (request->body_bytes > 0 || strcmp(request->method, "POST") == 0 ||
        strcmp(request->method, "PUT") == 0) {
        g_string_append_printf(text, "content-length: %zu\r\n",
                               request->body_bytes);
    }
    g_string_append(text, "\r\n");
    g_string_append_len(text, request->body, (gssize)request->body_bytes);
    return text;
}

static void
on_written(uv_write_t *write, int status)
{
    struct write_request *request = write->data;
    struct rs_http_connection *connection = write->handle->data;
    g_free(request->data);
    g_free(request);
    if (status != 0) {
        fail(connection, RsHttp_RESET);
    }
}

/* Sends a request whose parts are copied. The connection must be connected
 * and idle. Returns 0, or RsHttp_RESET when nothing was written; the caller
 * then closes the connection. */
int
RsHttp_Send(struct rs_http_connection *connection,
            const struct rs_http_request *request)
{
    assert(connection->connected && !connection->awaiting);
    struct write_request *write = g_new0(struct write_request, 1);
    GString *text = format_request(request);
    uv_buf_t buffer = uv_buf_init(text->str, (unsigned)text->len);
    write->data = g_string_free(text, FALSE);
    write->write.data = write;
    connection->awaiting = true;
    connection->is_head_request = strcmp(request->method, "HEAD") == 0;
    int status = uv_write(&write->write, (uv_stream_t *)&connection->tcp,
                          &buffer, 1, on_written);
    if (status != 0) {
        g_free(write->data);
        g_free(write);
        return RsHttp_RESET;
    }
    return 0;
}

/* Stops reading until RsHttp_Resume(). */
void
RsHttp_Pause(struct rs_http_connection *connection)
{
    if (!connection->closing) {
        uv_read_stop((uv_stream_t *)&connection->tcp);
    }
}

/* Reads on. */
void
RsHttp_Resume(struct rs_http_connection *connection)
{
    if (!connection->closing) {
        uv_read_start((uv_stream_t *)&connection->tcp, give_buffer, on_read);
    }
}

/* Called from `head`: the answer belongs to another request. It is read to its
 * end without further calls, and the next one is waited for. */
void
RsHttp_SkipAnswer(struct rs_http_connection *connection)
{
    connection->skipping = true;
}

/* Closes without telling the owner; no call follows. */
void
RsHttp_Close(struct rs_http_connection *connection)
{
    if (connection->closing) {
        return;
    }
    connection->closing = true;
    uv_close((uv_handle_t *)&connection->tcp, freed);
}

/* Returns a header's value, or NULL. Names are compared without case. */
const char *
RsHttp_FindHeader(const struct rs_http_head *head, const char *name)
{
    for (size_t i = 0; i < head->header_count; i++) {
        if (g_ascii_strcasecmp(head->headers[i].name, name) == 0) {
            return head->headers[i].value;
        }
    }
    return NULL;
}
