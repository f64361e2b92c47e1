#include "http/connection.h"

#include <assert.h>
#include <glib.h>
#include <http_parser.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>

#define NO_VALUE SIZE_MAX
#define MAX_TUNNEL_ANSWER_BYTES 1024
#define TUNNEL_OPEN 200
#define TUNNEL_REFUSED 503
#define END_OF_HEAD "\r\n\r\n"
#define HEAD_BYTES 512 /* of most requests */
/* A longer body is sent from where it is, if that stays valid. */
#define MAX_COPIED_BODY_BYTES 16384
/* Responses, to other requests or interim ones, and bytes of their bodies that
 * may come before the response to a request. */
#define MAX_SKIPPED_RESPONSES 64
#define MAX_SKIPPED_BYTES (2 * 1024 * 1024)
#define STATUS_MIN 100
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_OK 200
#define STATUS_MAX 599

struct rs_http_connection {
    uv_tcp_t tcp;
    uv_connect_t connect;
    http_parser parser;
    const struct rs_http_events *events;
    void *arg;
    GString *header_text; /* header names and values, each null-terminated */
    size_t name_offset[RsHttp_MAX_HEADERS];
    size_t value_offset[RsHttp_MAX_HEADERS];
    size_t header_count;
    bool in_value; /* the end of `header_text` belongs to a value */
    bool connected;
    /* Waiting for the answer to CONNECT; its bytes are in `header_text`. */
    bool opening_tunnel;
    struct sockaddr_in address;
    uint32_t own_address;   /* see rs_http_options */
    bool awaiting_response; /* from sending a request until its
                               response is complete */
    bool is_head_request;
    bool skipping_response;  /* set by RsHttp_SkipResponse() */
    bool interim;            /* the present response is an interim one (1xx) */
    uint32_t skipped_count;  /* responses before that of the request */
    uint64_t body_bytes;     /* of all responses since the request was sent */
    uint64_t max_body_bytes; /* 0: unlimited */
    bool response_complete;  /* parsed, but `end` not called yet */
    bool keep_alive;         /* of the last response */
    bool closing;
    bool sending_kept_body; /* see keeps_body of struct rs_http_request */
    int error;              /* reported instead of RsHttp_MALFORMED if not 0 */
};

struct write_request {
    uv_write_t write;
    char *data;
    bool has_kept_body;
};

static void
on_handle_closed(uv_handle_t *handle)
{
    struct rs_http_connection *connection = handle->data;
    g_string_free(connection->header_text, TRUE);
    g_free(connection);
}

/* Closes the connection and reports the error to its owner. */
static void
close_with_error(struct rs_http_connection *connection, int error)
{
    if (connection->closing) {
        return;
    }
    connection->closing = true;
    uv_close((uv_handle_t *)&connection->tcp, on_handle_closed);
    connection->events->closed(connection->arg, error);
}

static void
reset_head(struct rs_http_connection *connection)
{
    g_string_truncate(connection->header_text, 0);
    connection->header_count = 0;
    connection->in_value = false;
}

static int
on_response_begin(http_parser *parser)
{
    struct rs_http_connection *connection = parser->data;
    if (!connection->awaiting_response) {
        connection->error = RsHttp_UNSOLICITED;
        return -1;
    }
    reset_head(connection);
    return 0;
}

static int
append_header_text(struct rs_http_connection *connection, const char *data,
                   size_t size)
{
    if (connection->header_text->len + size + 2 > RsHttp_MAX_HEAD_BYTES) {
        return -1;
    }
    g_string_append_len(connection->header_text, data, (gssize)size);
    return 0;
}

static int
on_field_name(http_parser *parser, const char *data, size_t size)
{
    struct rs_http_connection *connection = parser->data;
    bool first = connection->header_count == 0;
    if (first || connection->in_value) {
        if (connection->header_count == RsHttp_MAX_HEADERS) {
            return -1;
        }
        if (!first) {
            g_string_append_c(connection->header_text, '\0');
        }
        connection->name_offset[connection->header_count] =
            connection->header_text->len;
        connection->value_offset[connection->header_count] = NO_VALUE;
        connection->header_count++;
        connection->in_value = false;
    }
    return append_header_text(connection, data, size);
}

static int
on_field_value(http_parser *parser, const char *data, size_t size)
{
    struct rs_http_connection *connection = parser->data;
    if (!connection->in_value) {
        g_string_append_c(connection->header_text, '\0');
        connection->value_offset[connection->header_count - 1] =
            connection->header_text->len;
        connection->in_value = true;
    }
    return append_header_text(connection, data, size);
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
    if (connection->value_offset[index] == NO_VALUE) {
        return "";
    }
    return connection->header_text->str + connection->value_offset[index];
}

/* Returns whether one more response may be skipped. */
static bool
may_skip(struct rs_http_connection *connection)
{
    return ++connection->skipped_count <= MAX_SKIPPED_RESPONSES;
}

/* Returns whether a status can be one of a response to a request, which never
 * asks for another protocol, or of an interim response. */
static bool
is_valid_status(unsigned status)
{
    return status >= STATUS_MIN && status <= STATUS_MAX &&
           status != STATUS_SWITCHING_PROTOCOLS;
}

static int
on_head_complete(http_parser *parser)
{
    struct rs_http_connection *connection = parser->data;
    if (!is_valid_status(parser->status_code)) {
        return -1;
    }
    if (parser->status_code < STATUS_OK) {
        connection->interim = true;
        return may_skip(connection) ? 0 : -1;
    }
    struct rs_http_header headers[RsHttp_MAX_HEADERS];
    g_string_append_c(connection->header_text, '\0');
    for (size_t i = 0; i < connection->header_count; i++) {
        headers[i].name =
            connection->header_text->str + connection->name_offset[i];
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
    if (connection->closing ||
        (connection->skipping_response && !may_skip(connection))) {
        return -1;
    }
    return connection->is_head_request ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct rs_http_connection *connection = parser->data;
    uint64_t max_bytes = connection->skipping_response
                             ? MAX_SKIPPED_BYTES
                             : connection->max_body_bytes;
    connection->body_bytes += size;
    if (max_bytes != 0 && connection->body_bytes > max_bytes) {
        connection->error = RsHttp_TOO_LARGE;
        return -1;
    }
    if (!connection->skipping_response) {
        connection->events->body(connection->arg, data, size);
    }
    return connection->closing ? -1 : 0;
}

/* Pauses the parser at the end of the response. Bytes that follow it must not
 * be parsed as the response to the next request, which the owner may send from
 * its `end` callback. After a skipped response on a connection that is kept
 * alive, parsing goes on with the next response. */
static int
on_response_complete(http_parser *parser)
{
    struct rs_http_connection *connection = parser->data;
    if (connection->interim) {
        connection->interim = false;
        return 0;
    }
    connection->keep_alive = http_should_keep_alive(parser) != 0;
    if (connection->skipping_response && connection->keep_alive) {
        connection->skipping_response = false;
        return 0;
    }
    connection->response_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_response_begin,
    .on_header_field = on_field_name,
    .on_header_value = on_field_value,
    .on_headers_complete = on_head_complete,
    .on_body = on_body,
    .on_message_complete = on_response_complete,
};

/* Reports the end of the response to the owner. If more bytes than the
 * response were received (`fully_consumed` is false), the connection is
 * closed, since the extra bytes belong to no request. If the response was to
 * be skipped, closes the connection instead, since no other response can
 * follow. */
static void
finish_response(struct rs_http_connection *connection, bool fully_consumed)
{
    http_parser_pause(&connection->parser, 0);
    connection->response_complete = false;
    if (connection->skipping_response) {
        close_with_error(connection, RsHttp_CLOSED);
        return;
    }
    connection->awaiting_response = false;
    /* The rest of a body that is not copied can't be sent any more. */
    connection->events->end(connection->arg,
                            connection->keep_alive && fully_consumed &&
                                !connection->sending_kept_body);
    if (!fully_consumed) {
        close_with_error(connection, RsHttp_UNSOLICITED);
    }
}

/* Reads the answer to CONNECT. The connection can be used after status 200;
 * the target sends nothing before a request. */
static void
read_tunnel_answer(struct rs_http_connection *connection, const char *data,
                   size_t size)
{
    GString *answer = connection->header_text;
    int status = 0;
    g_string_append_len(answer, data, (gssize)size);
    const char *end = strstr(answer->str, END_OF_HEAD);
    if (end == NULL && answer->len < MAX_TUNNEL_ANSWER_BYTES) {
        return;
    }
    if (end == NULL || end[strlen(END_OF_HEAD)] != '\0' ||
        sscanf(answer->str, "HTTP/1.1 %3d", &status) != 1) {
        close_with_error(connection, RsHttp_MALFORMED);
    }
    else if (status == TUNNEL_OPEN) {
        connection->opening_tunnel = false;
        connection->connected = true;
        connection->events->connected(connection->arg);
    }
    else {
        close_with_error(connection, status == TUNNEL_REFUSED
                                         ? RsHttp_TUNNEL_REFUSED
                                         : RsHttp_TUNNEL_FAILED);
    }
}

static void
parse_bytes(struct rs_http_connection *connection, const char *data,
            size_t size)
{
    if (connection->opening_tunnel) {
        read_tunnel_answer(connection, data, size);
        return;
    }
    if (!connection->awaiting_response) {
        close_with_error(connection, RsHttp_UNSOLICITED);
        return;
    }
    size_t consumed =
        http_parser_execute(&connection->parser, &parser_settings, data, size);
    if (connection->closing) {
        return;
    }
    if (connection->response_complete) {
        finish_response(connection, consumed == size);
    }
    else if (consumed != size ||
             HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
        int error =
            connection->error != 0 ? connection->error : RsHttp_MALFORMED;
        close_with_error(connection, error);
    }
}

/* Handles the end of the stream, which also ends the body of a response that
 * has neither a Content-Length nor chunks. */
static void
on_end_of_stream(struct rs_http_connection *connection)
{
    if (connection->awaiting_response) {
        http_parser_execute(&connection->parser, &parser_settings, NULL, 0);
    }
    if (connection->response_complete && !connection->closing) {
        connection->keep_alive = false;
        finish_response(connection, true);
    }
    close_with_error(connection, RsHttp_CLOSED);
}

static void
provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
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
        parse_bytes(connection, buffer->base, (size_t)size);
    }
    else if (size == UV_EOF && !RsHttp_IsReset(&connection->tcp)) {
        on_end_of_stream(connection);
    }
    else if (size < 0) {
        close_with_error(connection, RsHttp_RESET);
    }
}

static void
on_written(uv_write_t *write, int status)
{
    struct write_request *request = write->data;
    struct rs_http_connection *connection = write->handle->data;
    if (request->has_kept_body) {
        connection->sending_kept_body = false;
    }
    g_free(request->data);
    g_free(request);
    if (status != 0) {
        close_with_error(connection, RsHttp_RESET);
    }
}

/* Writes `text`, which it takes over, and then a body that is kept valid, if
 * there is one. Returns whether that has begun. */
static bool
write_text(struct rs_http_connection *connection, GString *text,
           const struct rs_http_request *kept_body)
{
    struct write_request *write = g_new0(struct write_request, 1);
    uv_buf_t buffers[2] = {uv_buf_init(text->str, (unsigned)text->len)};
    unsigned count = 1;
    if (kept_body != NULL) {
        buffers[count++] = uv_buf_init((char *)kept_body->body,
                                       (unsigned)kept_body->body_bytes);
        write->has_kept_body = true;
    }
    write->data = g_string_free(text, FALSE);
    write->write.data = write;
    connection->sending_kept_body = write->has_kept_body;
    if (uv_write(&write->write, (uv_stream_t *)&connection->tcp, buffers,
                 count, on_written) != 0) {
        connection->sending_kept_body = false;
        g_free(write->data);
        g_free(write);
        return false;
    }
    return true;
}

static void
request_tunnel(struct rs_http_connection *connection)
{
    char host[INET_ADDRSTRLEN];
    GString *text = g_string_new(NULL);
    unsigned port = ntohs(connection->address.sin_port);
    uv_ip4_name(&connection->address, host, sizeof(host));
    g_string_printf(text, "CONNECT %s:%u HTTP/1.1\r\nhost: %s:%u", host, port,
                    host, port);
    if (connection->own_address != 0) {
        const struct sockaddr_in own = {
            .sin_family = AF_INET, .sin_addr.s_addr = connection->own_address};
        uv_ip4_name(&own, host, sizeof(host));
        g_string_append_printf(text, "\r\n" RsHttp_TUNNEL_USER ": %s", host);
    }
    g_string_append(text, END_OF_HEAD);
    if (!write_text(connection, text, NULL)) {
        close_with_error(connection, RsHttp_RESET);
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
        close_with_error(connection, RsHttp_CONNECT_FAILED);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    uv_read_start((uv_stream_t *)&connection->tcp, provide_buffer, on_read);
    if (connection->opening_tunnel) {
        request_tunnel(connection);
        return;
    }
    connection->connected = true;
    connection->events->connected(connection->arg);
}

/* Sets `*address` to the IPv4 address `host` and a port. Returns 0, or
 * RsHttp_BAD_ADDRESS if `host` is not an IPv4 address. */
int
RsHttp_ParseAddress(const char *host, uint16_t port,
                    struct sockaddr_in *address)
{
    return uv_ip4_addr(host, port, address) == 0 ? 0 : RsHttp_BAD_ADDRESS;
}

/* Sets whether closing a socket, also by the end of the process, discards data
 * that was not sent and resets the connection. Otherwise closing it ends the
 * stream in order. */
void
RsHttp_ResetSocketOnClose(int fd, bool reset)
{
    const struct linger linger = {.l_onoff = reset, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Does the same for a handle. */
void
RsHttp_ResetOnClose(uv_tcp_t *tcp, bool reset)
{
    uv_os_fd_t fd;
    if (uv_fileno((const uv_handle_t *)tcp, &fd) == 0) {
        RsHttp_ResetSocketOnClose(fd, reset);
    }
}

/* Returns whether the peer has reset the connection. Must be checked at the
 * end of a stream: libuv also reports UV_EOF for a reset that arrives together
 * with the last bytes. */
bool
RsHttp_IsReset(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    struct pollfd entry = {0};
    if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0) {
        return true;
    }
    entry.fd = fd;
    return poll(&entry, 1, 0) > 0 && (entry.revents & POLLERR) != 0;
}

/* Starts connecting. Returns NULL if that fails immediately; otherwise
 * `connected` or `closed` is called later, unless RsHttp_Close() is called
 * before. */
struct rs_http_connection *
RsHttp_Open(const struct rs_http_options *options)
{
    struct rs_http_connection *connection =
        g_new0(struct rs_http_connection, 1);
    connection->events = options->events;
    connection->arg = options->arg;
    connection->header_text = g_string_new(NULL);
    if (uv_tcp_init_ex(options->loop, &connection->tcp, AF_INET) != 0) {
        g_string_free(connection->header_text, TRUE);
        g_free(connection);
        return NULL;
    }
    connection->tcp.data = connection;
    connection->connect.data = connection;
    if (options->reset_on_close) {
        RsHttp_ResetOnClose(&connection->tcp, true);
    }
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection;
    connection->address = options->address;
    connection->own_address = options->own_address;
    connection->max_body_bytes = options->max_body_bytes;
    connection->opening_tunnel = options->via.sin_family != 0;
    const struct sockaddr_in *peer =
        connection->opening_tunnel ? &options->via : &options->address;
    int status = uv_tcp_connect(&connection->connect, &connection->tcp,
                                (const struct sockaddr *)peer, on_connect);
    if (status != 0) {
        connection->closing = true;
        uv_close((uv_handle_t *)&connection->tcp, on_handle_closed);
        return NULL;
    }
    return connection;
}

static bool
has_host_header(const struct rs_http_request *request)
{
    for (size_t i = 0; i < request->header_count; i++) {
        if (g_ascii_strcasecmp(request->headers[i].name, "host") == 0) {
            return true;
        }
    }
    return false;
}

/* Appends a header. A control character in its value, which may be a text of
 * another program, is sent as a space: a line break would begin another
 * header. */
static void
append_header(GString *text, const struct rs_http_header *header)
{
    g_string_append_printf(text, "%s: ", header->name);
    for (const char *c = header->value; *c != '\0'; c++) {
        g_string_append_c(text, g_ascii_iscntrl(*c) && *c != '\t' ? ' ' : *c);
    }
    g_string_append(text, "\r\n");
}

/* Returns the head of a request as sent. Adds a Host header if there is none,
 * and a Content-Length if there is a body or the method is POST or PUT. */
static GString *
format_head(const struct rs_http_request *request)
{
    GString *text = g_string_sized_new(HEAD_BYTES);
    g_string_append_printf(text, "%s %s HTTP/1.1\r\n", request->method,
                           request->path);
    if (!has_host_header(request)) {
        g_string_append(text, "host: target\r\n");
    }
    for (size_t i = 0; i < request->header_count; i++) {
        append_header(text, &request->headers[i]);
    }
    if (request->body_bytes > 0 || strcmp(request->method, "POST") == 0 ||
        strcmp(request->method, "PUT") == 0) {
        g_string_append_printf(text, "content-length: %zu\r\n",
                               request->body_bytes);
    }
    g_string_append(text, "\r\n");
    return text;
}

/* Sets the argument of the callbacks. The connection must be idle. */
void
RsHttp_SetArg(struct rs_http_connection *connection, void *arg)
{
    connection->arg = arg;
}

/* Sends a request, copying all its parts but a long body that stays valid. The
 * connection must be connected and idle. Returns 0, or RsHttp_RESET if nothing
 * was written; the caller must then close the connection. */
int
RsHttp_Send(struct rs_http_connection *connection,
            const struct rs_http_request *request)
{
    assert(connection->connected && !connection->awaiting_response);
    connection->awaiting_response = true;
    connection->skipped_count = 0;
    connection->body_bytes = 0;
    connection->is_head_request = strcmp(request->method, "HEAD") == 0;
    GString *text = format_head(request);
    bool kept =
        request->keeps_body && request->body_bytes > MAX_COPIED_BODY_BYTES;
    if (!kept) {
        g_string_append_len(text, request->body, (gssize)request->body_bytes);
    }
    return write_text(connection, text, kept ? request : NULL) ? 0
                                                               : RsHttp_RESET;
}

/* Stops reading from the connection until RsHttp_Resume(). Bytes that were
 * read before may still lead to calls of `body` and `end`. */
void
RsHttp_Pause(struct rs_http_connection *connection)
{
    if (!connection->closing) {
        uv_read_stop((uv_stream_t *)&connection->tcp);
    }
}

/* Resumes reading after RsHttp_Pause(). */
void
RsHttp_Resume(struct rs_http_connection *connection)
{
    if (!connection->closing) {
        uv_read_start((uv_stream_t *)&connection->tcp, provide_buffer,
                      on_read);
    }
}

/* Discards the current response, which belongs to another request, and waits
 * for the next one. Must be called from the `head` callback; neither `body`
 * nor `end` is called for the discarded response. If the connection can't be
 * kept alive after that response, `closed` is called with RsHttp_CLOSED. */
void
RsHttp_SkipResponse(struct rs_http_connection *connection)
{
    connection->skipping_response = true;
}

/* Closes and frees the connection. No callback is called any more. */
void
RsHttp_Close(struct rs_http_connection *connection)
{
    if (connection->closing) {
        return;
    }
    connection->closing = true;
    uv_close((uv_handle_t *)&connection->tcp, on_handle_closed);
}

/* Returns the value of the first header with a name, or NULL if there is none.
 * Names are compared case-insensitively. */
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

/* Returns how many headers have this name, compared without regard to case. */
size_t
RsHttp_CountHeaders(const struct rs_http_head *head, const char *name)
{
    size_t count = 0;
    for (size_t i = 0; i < head->header_count; i++) {
        count += g_ascii_strcasecmp(head->headers[i].name, name) == 0;
    }
    return count;
}
