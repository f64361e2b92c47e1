#include "wire/link.h"

#include <glib.h>
#include <linux/sockios.h>
#include <stdbool.h>
#include <sys/ioctl.h>

#include "wire/frame.h"

#define LISTEN_BACKLOG 512
#define READ_BUFFER_BYTES 65536
#define KEEPALIVE_IDLE_S 10

struct rs_link {
    uv_tcp_t tcp;
    uv_connect_t connect;
    struct rs_frame_reader reader;
    const struct rs_link_events *events;
    void *arg;
    size_t max_queue_bytes;
    uint64_t received_bytes;
    bool open;
    bool closing;
};

struct rs_link_listener {
    uv_tcp_t tcp;
    size_t max_queue_bytes;
    rs_link_accept accept;
    void *arg;
};

struct link_write {
    uv_write_t write;
    uint8_t *data;
};

static _Thread_local struct rs_link_totals totals;

static void
on_handle_closed(uv_handle_t *handle)
{
    struct rs_link *link = handle->data;
    RsFrame_FreeReader(&link->reader);
    g_free(link);
}

/* Closes the link and reports the error to its owner. */
static void
close_with_error(struct rs_link *link, int error)
{
    if (link->closing) {
        return;
    }
    RsLink_Close(link);
    link->events->closed(link->arg, error);
}

static int
on_frame(void *arg, const uint8_t *data, size_t size)
{
    struct rs_link *link = arg;
    totals.received_frames++;
    if (link->closing) {
        return RsLink_CLOSED;
    }
    return link->events->frame(link->arg, data, size);
}

static void
provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static _Thread_local char bytes[READ_BUFFER_BYTES];
    buffer->base = bytes;
    buffer->len = sizeof(bytes);
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    struct rs_link *link = stream->data;
    if (size < 0) {
        close_with_error(link, RsLink_CLOSED);
        return;
    }
    totals.received_bytes += (uint64_t)size;
    link->received_bytes += (uint64_t)size;
    int status = RsFrame_Read(&link->reader, (const uint8_t *)buffer->base,
                              (size_t)size, on_frame, link);
    if (status < 0) {
        close_with_error(link, status);
    }
}

static void
start_reading(struct rs_link *link)
{
    link->open = true;
    uv_tcp_nodelay(&link->tcp, 1);
    /* Detects a peer whose VM has vanished without closing the connection. */
    uv_tcp_keepalive(&link->tcp, 1, KEEPALIVE_IDLE_S);
    uv_read_start((uv_stream_t *)&link->tcp, provide_buffer, on_read);
}

static void
on_connect(uv_connect_t *connect, int status)
{
    struct rs_link *link = connect->data;
    if (link->closing) {
        return;
    }
    if (status != 0) {
        close_with_error(link, RsLink_CLOSED);
        return;
    }
    start_reading(link);
    if (link->events->opened != NULL) {
        link->events->opened(link->arg);
    }
}

static struct rs_link *
create_link(uv_loop_t *loop, size_t max_queue_bytes)
{
    struct rs_link *link = g_new0(struct rs_link, 1);
    link->max_queue_bytes = max_queue_bytes;
    uv_tcp_init(loop, &link->tcp);
    link->tcp.data = link;
    link->connect.data = link;
    return link;
}

/* Starts connecting to `options->address`. Returns NULL on immediate failure;
 * otherwise `opened` or `closed` is called later, unless RsLink_Close() is
 * called before. */
struct rs_link *
RsLink_Connect(const struct rs_link_options *options)
{
    struct rs_link *link =
        create_link(options->loop, options->max_queue_bytes);
    link->events = options->events;
    link->arg = options->arg;
    int status =
        uv_tcp_connect(&link->connect, &link->tcp,
                       (const struct sockaddr *)&options->address, on_connect);
    if (status != 0) {
        RsLink_Close(link);
        return NULL;
    }
    return link;
}

static void
on_connection(uv_stream_t *stream, int status)
{
    struct rs_link_listener *listener = stream->data;
    if (status != 0) {
        return;
    }
    struct rs_link *link =
        create_link(stream->loop, listener->max_queue_bytes);
    if (uv_accept(stream, (uv_stream_t *)&link->tcp) != 0) {
        RsLink_Close(link);
        return;
    }
    listener->accept(listener->arg, link);
    if (!link->closing) {
        start_reading(link);
    }
}

/* Accepts links on `address` and calls `accept` for each of them. Returns 0 or
 * RsLink_LISTEN_FAILED. In both cases `*out` is set to the new listener, which
 * RsLink_StopListening() frees. */
int
RsLink_Listen(uv_loop_t *loop, const struct sockaddr_in *address,
              size_t max_queue_bytes, rs_link_accept accept, void *arg,
              struct rs_link_listener **out)
{
    struct rs_link_listener *listener = g_new0(struct rs_link_listener, 1);
    listener->max_queue_bytes = max_queue_bytes;
    listener->accept = accept;
    listener->arg = arg;
    uv_tcp_init(loop, &listener->tcp);
    listener->tcp.data = listener;
    *out = listener;
    if (uv_tcp_bind(&listener->tcp, (const struct sockaddr *)address, 0) !=
            0 ||
        uv_listen((uv_stream_t *)&listener->tcp, LISTEN_BACKLOG,
                  on_connection) != 0) {
        return RsLink_LISTEN_FAILED;
    }
    return 0;
}

static void
on_listener_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

/* Stops and frees the listener. Links that it accepted stay open. */
void
RsLink_StopListening(struct rs_link_listener *listener)
{
    uv_close((uv_handle_t *)&listener->tcp, on_listener_closed);
}

/* Sets the callbacks of a link and their argument. */
void
RsLink_SetEvents(struct rs_link *link, const struct rs_link_events *events,
                 void *arg)
{
    link->events = events;
    link->arg = arg;
}

static void
on_written(uv_write_t *write, int status)
{
    struct link_write *link_write = write->data;
    struct rs_link *link = write->handle->data;
    g_free(link_write->data);
    g_free(link_write);
    if (status != 0) {
        close_with_error(link, RsLink_CLOSED);
    }
}

static int
check_sendable(const struct rs_link *link)
{
    if (link->closing || !link->open) {
        return RsLink_CLOSED;
    }
    if (RsLink_QueuedBytes(link) > link->max_queue_bytes) {
        return RsLink_QUEUE_FULL;
    }
    return 0;
}

static int
write_frame(struct rs_link *link, uint8_t *data, size_t size)
{
    struct link_write *write = g_new0(struct link_write, 1);
    write->data = data;
    write->write.data = write;
    uv_buf_t buffer = uv_buf_init((char *)data, (unsigned)size);
    int status = uv_write(&write->write, (uv_stream_t *)&link->tcp, &buffer, 1,
                          on_written);
    if (status != 0) {
        g_free(write->data);
        g_free(write);
        return RsLink_CLOSED;
    }
    totals.sent_frames++;
    totals.sent_bytes += size;
    return 0;
}

/* Sends a message, or queues what the kernel doesn't accept yet. Returns 0, or
 * sends nothing and returns RsLink_CLOSED if the link is not open or writing
 * fails, RsLink_QUEUE_FULL if more than `max_queue_bytes` are already queued,
 * or RsLink_TOO_LARGE if the message exceeds RsFrame_MAX_BYTES. */
int
RsLink_Send(struct rs_link *link, const ProtobufCMessage *message)
{
    int status = check_sendable(link);
    if (status != 0) {
        return status;
    }
    size_t size = 0;
    uint8_t *data = RsFrame_Pack(message, &size);
    return data != NULL ? write_frame(link, data, size) : RsLink_TOO_LARGE;
}

/* Sends a frame that was packed with RsFrame_Pack(). Takes ownership of
 * `data`, even on an error; NULL stands for a message that was too large to
 * pack. Returns the same errors as RsLink_Send(). */
int
RsLink_SendFrame(struct rs_link *link, uint8_t *data, size_t size_bytes)
{
    int status = check_sendable(link);
    if (status != 0) {
        g_free(data);
        return status;
    }
    if (data == NULL) {
        return RsLink_TOO_LARGE;
    }
    return write_frame(link, data, size_bytes);
}

/* Returns the number of sent bytes that the kernel has not accepted yet. */
size_t
RsLink_QueuedBytes(const struct rs_link *link)
{
    return uv_stream_get_write_queue_size((const uv_stream_t *)&link->tcp);
}

/* Returns the number of bytes received so far, including those of an
 * incomplete frame. */
uint64_t
RsLink_ReceivedBytes(const struct rs_link *link)
{
    return link->received_bytes;
}

/* Returns the number of sent bytes that the peer has not acknowledged: those
 * that the kernel has not accepted yet, and those in its TCP send queue. They
 * may be lost if the process exits. */
size_t
RsLink_UnacknowledgedBytes(const struct rs_link *link)
{
    uv_os_fd_t fd;
    int unacknowledged = 0;
    if (uv_fileno((const uv_handle_t *)&link->tcp, &fd) == 0 &&
        ioctl(fd, SIOCOUTQ, &unacknowledged) != 0) {
        unacknowledged = 0; /* not connected */
    }
    return RsLink_QueuedBytes(link) + (size_t)unacknowledged;
}

/* Closes and frees the link. No callback is called any more. Does nothing
 * after RsLink_Abort(). */
void
RsLink_Close(struct rs_link *link)
{
    if (link->closing) {
        return;
    }
    link->closing = true;
    uv_close((uv_handle_t *)&link->tcp, on_handle_closed);
}

static void
on_abort_closed(uv_handle_t *handle)
{
    struct rs_link *link = handle->data;
    link->events->closed(link->arg, RsLink_CLOSED);
    on_handle_closed(handle);
}

/* Closes the link and calls `closed` from the event loop, after the current
 * callback has returned. For callers that must not be reentered by `closed`.
 */
void
RsLink_Abort(struct rs_link *link)
{
    if (link->closing) {
        return;
    }
    link->closing = true;
    uv_close((uv_handle_t *)&link->tcp, on_abort_closed);
}

/* Returns the totals of the calling thread. */
struct rs_link_totals
RsLink_Totals(void)
{
    return totals;
}
