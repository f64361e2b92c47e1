/* Bounds what the clients of a server make it keep in memory. h2o reads a
 * request as a whole before it is handled, whatever its size, so this stands
 * between libuv and h2o: it calls h2o's callbacks of each connection, and
 * refuses a request that needs more than is left of the server's budget. */

#include <fcntl.h>
#include <http_parser.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "core/clock.h"
#include "core/log.h"
#include "http/client.h"

/* A single read must not exceed the budget by more than this. */
#define READ_BYTES 65536
/* Input buffers of this size or more are enlarged by a part of it. */
#define MIN_ENLARGED_BYTES 65536
#define ENLARGED_PART 4
/* Input buffers above this size are replaced at the end of a request. */
#define MAX_KEPT_INPUT_BYTES 16384
/* How long a connection must have been idle or without progress until it may
 * be closed in favour of a new one. */
#define UNFINISHED_MS 500
#define REFUSAL_BODY "{\"outcome\":\"not-run\",\"reason\":\"no-memory\"}\n"
#define MAX_REFUSAL_BYTES 256
/* Bounds of the time after which a refused client is to come back. */
#define RETRY_MIN_S 0.5
#define RETRY_MAX_S 1.5

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);

/* Enlarges a large input buffer for the next read. h2o would double it by
 * copying, so that a long body stood in memory twice for a moment; the kernel
 * moves the pages of a large block instead. */
static void
enlarge_input(struct rs_client *client)
{
    h2o_buffer_t *input = client->socket->input;
    if (input->bytes == NULL || input->capacity < MIN_ENLARGED_BYTES) {
        return;
    }
    size_t offset = (size_t)(input->bytes - input->_buf);
    size_t needed_bytes = offset + input->size + READ_BYTES;
    if (input->capacity >= needed_bytes) {
        return;
    }
    size_t capacity =
        MAX(input->capacity + input->capacity / ENLARGED_PART, needed_bytes);
    input = h2o_mem_realloc(input, offsetof(h2o_buffer_t, _buf) + capacity);
    input->capacity = capacity;
    input->bytes = input->_buf + offset;
    client->socket->input = input;
}

static void
provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    struct rs_client *client = (struct rs_client *)handle;
    enlarge_input(client);
    client->alloc(handle, suggested, buffer);
    buffer->len = MIN(buffer->len, READ_BYTES);
}

/* Replaces h2o's callbacks, which h2o sets each time it starts to read.
 * Returns false if h2o does not read from the connection at present. */
static bool
intercept(struct rs_client *client)
{
    if (client->tcp.read_cb == NULL) {
        return false;
    }
    if (client->tcp.read_cb != on_read) {
        client->alloc = client->tcp.alloc_cb;
        client->read = client->tcp.read_cb;
        client->tcp.alloc_cb = provide_buffer;
        client->tcp.read_cb = on_read;
    }
    return true;
}

static bool
is_closing(const struct rs_client *client)
{
    return uv_is_closing((const uv_handle_t *)&client->tcp);
}

/* Lets RsClient_OnRestart() look at the connection. */
static void
await_restart(struct rs_client *client)
{
    if (client->restarted_link.data == NULL) {
        client->restarted_link.data = client;
        g_queue_push_tail_link(&client->server->restarted,
                               &client->restarted_link);
    }
}

static void
update_holder(struct rs_client *client)
{
    const h2o_buffer_t *input = client->socket->input;
    /* The memory before `bytes` is only given back with the buffer. */
    size_t input_bytes =
        input->bytes != NULL
            ? (size_t)(input->bytes - input->_buf) + input->size
            : 0;
    client->input_bytes = MAX(client->input_bytes, input_bytes);
    RsByteBudget_Hold(&client->server->budget, &client->holder,
                      client->input_bytes + client->response_bytes);
}

/* Replaces an input buffer that is much larger than its content; h2o would
 * keep it as long as the connection. */
static void
shrink_input(struct rs_client *client)
{
    h2o_buffer_t *former = client->socket->input;
    client->input_bytes = former->size;
    if (former->bytes == NULL || former->capacity <= MAX_KEPT_INPUT_BYTES ||
        former->size > former->capacity / 2) {
        return;
    }
    h2o_buffer_init(&client->socket->input, &h2o_socket_buffer_prototype);
    if (former->size > 0) {
        h2o_iovec_t room =
            h2o_buffer_reserve(&client->socket->input, former->size);
        memcpy(room.base, former->bytes, former->size);
        client->socket->input->size = former->size;
    }
    h2o_buffer_dispose(&former);
}

/* Writes a refusal to a client whose request is still arriving. A client that
 * has sent nothing gets none. */
static void
write_refusal(const struct rs_client *client)
{
    char text[MAX_REFUSAL_BYTES];
    if (client->socket->input->size == 0) {
        return;
    }
    int size = snprintf(text, sizeof(text),
                        "HTTP/1.1 503 Refused\r\n"
                        "content-type: application/json\r\n"
                        "content-length: %zu\r\nretry-after: %.3f\r\n"
                        "connection: close\r\n\r\n" REFUSAL_BODY,
                        strlen(REFUSAL_BODY),
                        g_random_double_range(RETRY_MIN_S, RETRY_MAX_S));
    if (send(client->fd, text, (size_t)size, MSG_NOSIGNAL | MSG_DONTWAIT) !=
        size) {
        RsLog_EVENT(RsLog_WARNING, "refusal_not_sent");
    }
}

/* Closes a connection on which a request is arriving, or none at present. Its
 * request, of which nothing has been handled, is refused. If the
 * connection lingers, the client can receive the refusal although it is still
 * sending. */
static void
refuse(struct rs_client *client, const char *reason, bool lingers)
{
    static const uv_buf_t no_buffer;
    int64_t now_ms = RsClock_NowMs();
    RsLog_EVENT(
        RsLog_WARNING, "client_refused", RsLog_TEXT("reason", reason),
        RsLog_NUMBER("held_bytes", (int64_t)client->holder.held_bytes),
        RsLog_NUMBER("charged_bytes",
                     (int64_t)client->server->budget.charged_bytes),
        RsLog_NUMBER("stalled_ms", now_ms - client->holder.progress_at_ms));
    RsByteBudget_Release(&client->server->budget, &client->holder);
    if (!intercept(client)) {
        RsClient_Drop(client); /* h2o is sending a response of its own */
        return;
    }
    write_refusal(client);
    if (lingers) {
        RsClient_Linger(client, fcntl(client->fd, F_DUPFD_CLOEXEC, 0));
    }
    client->read((uv_stream_t *)&client->tcp, UV_ECONNRESET, &no_buffer);
}

/* Closes clients that have stalled until the budget has room for `bytes`.
 * Returns false if it has not. */
static bool
make_room(struct rs_server *server, uint64_t bytes, int64_t now_ms)
{
    while (!RsByteBudget_HasRoom(&server->budget, bytes)) {
        struct rs_byte_holder *stalled =
            RsByteBudget_FindStalled(&server->budget, now_ms);
        if (stalled == NULL) {
            return false;
        }
        RsCounter_Add(&server->counters.stalled, 1);
        refuse(stalled->owner, "stalled", true);
    }
    return true;
}

static int
stop_at_head(http_parser *parser)
{
    http_parser_pause(parser, 1);
    return 0;
}

/* Returns how much of the request is still to come by its Content-Length; 0 if
 * it has none. */
static uint64_t
announced_bytes(const h2o_buffer_t *input)
{
    static const http_parser_settings settings = {.on_headers_complete =
                                                      stop_at_head};
    http_parser parser;
    http_parser_init(&parser, HTTP_REQUEST);
    size_t head_bytes =
        http_parser_execute(&parser, &settings, input->bytes, input->size);
    uint64_t received_bytes = input->size - MIN(head_bytes, input->size);
    if (HTTP_PARSER_ERRNO(&parser) != HPE_PAUSED ||
        parser.content_length == UINT64_MAX ||
        parser.content_length <= received_bytes) {
        return 0;
    }
    return parser.content_length - received_bytes;
}

/* Returns whether the rest of a body with a known length has room. */
static bool
admit_announced(struct rs_client *client, int64_t now_ms)
{
    client->length_checked = true;
    return make_room(client->server, announced_bytes(client->socket->input),
                     now_ms);
}

/* Refuses the request that is arriving if the budget is exhausted. */
static void
enforce_budget(struct rs_client *client, int64_t now_ms)
{
    struct rs_server *server = client->server;
    if (!RsByteBudget_IsCharged(&server->budget, &client->holder)) {
        return;
    }
    bool receiving = client->open_request_count == 0;
    bool admitted = make_room(server, 0, now_ms) &&
                    (!receiving || client->length_checked ||
                     is_closing(client) || admit_announced(client, now_ms));
    if (!admitted && receiving && !is_closing(client)) {
        RsCounter_Add(&server->counters.refused, 1);
        refuse(client, "memory", true);
    }
}

/* Passes received bytes to h2o, which adds them to the input and handles the
 * request once it is complete. */
static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    struct rs_client *client = (struct rs_client *)stream;
    if (size <= 0) {
        client->read(stream, size, buffer);
        return;
    }
    int64_t now_ms = RsClock_NowMs();
    struct rs_byte_budget *budget = &client->server->budget;
    if (client->open_request_count == 0 &&
        client->holder.transfer != RsByteTransfer_RECEIVING) {
        RsByteBudget_BeginTransfer(budget, &client->holder,
                                   RsByteTransfer_RECEIVING, now_ms);
    }
    client->read(stream, size, buffer);
    if (is_closing(client)) {
        return;
    }
    RsByteBudget_RecordTransfer(budget, &client->holder, (uint64_t)size,
                                now_ms);
    update_holder(client);
    if (client->open_request_count == 0 && !intercept(client)) {
        await_restart(client); /* h2o sends a response of its own */
    }
    enforce_budget(client, now_ms);
}

/* Looks at a connection after the end of a request: h2o has begun the next one
 * or waits for it, perhaps with a part of it. */
static void
restart(struct rs_client *client)
{
    struct rs_byte_budget *budget = &client->server->budget;
    client->request_ended = false;
    client->length_checked = false;
    if (client->open_request_count > 0) {
        update_holder(client);
        return;
    }
    shrink_input(client);
    update_holder(client);
    RsByteBudget_BeginTransfer(budget, &client->holder,
                               client->socket->input->size > 0
                                   ? RsByteTransfer_RECEIVING
                                   : RsByteTransfer_IDLE,
                               RsClock_NowMs());
}

/* Called before the loop waits for events: looks at the connections on which
 * a request has ended, from which h2o may read again. */
void
RsClient_OnRestart(uv_prepare_t *prepare)
{
    struct rs_server *server = prepare->data;
    for (guint count = server->restarted.length; count > 0; count--) {
        struct rs_client *client = server->restarted.head->data;
        g_queue_unlink(&server->restarted, &client->restarted_link);
        client->restarted_link.data = NULL;
        if (is_closing(client)) {
            continue;
        }
        if (client->open_request_count == 0 && !intercept(client)) {
            await_restart(client);
        }
        if (client->request_ended) {
            restart(client);
        }
    }
}

/* Must be called when h2o has begun to read from a new connection. */
void
RsClient_BeginReceiving(struct rs_client *client)
{
    client->holder.owner = client;
    RsByteBudget_BeginTransfer(&client->server->budget, &client->holder,
                               RsByteTransfer_RECEIVING, RsClock_NowMs());
    if (!is_closing(client) && !intercept(client)) {
        await_restart(client);
    }
}

/* Must be called before a request is passed to the handler. */
void
RsClient_BeginRequest(struct rs_client *client)
{
    RsByteBudget_EndTransfer(&client->server->budget, &client->holder);
    client->open_request_count++;
}

/* Must be called when a request that was passed to the handler has ended. */
void
RsClient_EndRequest(struct rs_client *client)
{
    RsByteBudget_EndTransfer(&client->server->budget, &client->holder);
    client->open_request_count--;
    client->response_bytes = 0;
    client->request_ended = true;
    await_restart(client);
}

/* Sets how many bytes are kept of the response to the open request. Returns
 * false if there is no memory for them, although callers that have stalled
 * were closed, of which this may be one. */
bool
RsClient_HoldResponse(struct rs_client *client, uint64_t bytes)
{
    struct rs_byte_budget *budget = &client->server->budget;
    int64_t now_ms = RsClock_NowMs();
    bool grows = bytes > client->response_bytes;
    client->response_bytes = bytes;
    update_holder(client);
    if (!RsByteBudget_IsCharged(budget, &client->holder)) {
        return true;
    }
    if (client->holder.transfer != RsByteTransfer_SENDING) {
        RsByteBudget_BeginTransfer(budget, &client->holder,
                                   RsByteTransfer_SENDING, now_ms);
    }
    return !grows || make_room(client->server, 0, now_ms);
}

/* Records that the client has received, or the kernel taken, `bytes` more of
 * a response. If that is all of it so far, it is not the client that delays
 * the rest. */
void
RsClient_RecordSent(struct rs_client *client, uint64_t bytes, bool is_all)
{
    if (client->holder.transfer != RsByteTransfer_SENDING) {
        return;
    }
    if (is_all) {
        RsByteBudget_EndTransfer(&client->server->budget, &client->holder);
    }
    else {
        RsByteBudget_RecordTransfer(&client->server->budget, &client->holder,
                                    bytes, RsClock_NowMs());
    }
}

/* Must be called before the client is freed. */
void
RsClient_Release(struct rs_client *client)
{
    RsByteBudget_Release(&client->server->budget, &client->holder);
    if (client->restarted_link.data != NULL) {
        g_queue_unlink(&client->server->restarted, &client->restarted_link);
    }
}

/* Closes the connection whose request has been arriving without progress for
 * longest, or on which none has come since it was opened, or else the one that
 * has been idle for longest. Returns false if there is none. */
bool
RsClient_CloseOldest(struct rs_server *server)
{
    static const enum rs_byte_transfer kinds[] = {RsByteTransfer_RECEIVING,
                                                  RsByteTransfer_IDLE};
    int64_t now_ms = RsClock_NowMs();
    struct rs_byte_holder *oldest = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(kinds) && oldest == NULL; i++) {
        oldest = RsByteBudget_FindOldest(&server->budget, kinds[i],
                                         UNFINISHED_MS, now_ms);
    }
    if (oldest == NULL) {
        return false;
    }
    RsCounter_Add(&server->counters.unfinished, 1);
    refuse(oldest->owner, "connections", false);
    return true;
}
