#include "http/linger.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

/* How long a peer may take to close its side. */
#define LINGER_MS 2000
/* A peer that goes on sending is not read any more after this many bytes. */
#define MAX_DISCARDED_BYTES (1024 * 1024)
#define READ_BYTES 65536

struct socket {
    uv_tcp_t tcp;
    uv_timer_t timer;
    struct rs_linger *linger;
    uint64_t discarded_bytes;
};

static void
on_timer_closed(uv_handle_t *handle)
{
    struct socket *socket = handle->data;
    socket->linger->socket_count--;
    g_free(socket);
}

static void
on_tcp_closed(uv_handle_t *handle)
{
    struct socket *socket = handle->data;
    uv_close((uv_handle_t *)&socket->timer, on_timer_closed);
}

static void
close_socket(struct socket *socket)
{
    if (!uv_is_closing((uv_handle_t *)&socket->tcp)) {
        uv_close((uv_handle_t *)&socket->tcp, on_tcp_closed);
    }
}

static void
on_timeout(uv_timer_t *timer)
{
    close_socket(timer->data);
}

static void
provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static _Thread_local char bytes[READ_BYTES];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    struct socket *socket = stream->data;
    if (size < 0) {
        close_socket(socket);
        return;
    }
    socket->discarded_bytes += (uint64_t)size;
    if (socket->discarded_bytes > MAX_DISCARDED_BYTES) {
        uv_read_stop(stream);
    }
}

/* Ends the stream of a connected socket, to which all has been written, and
 * takes `fd` over. What the peer still sends is read and discarded until it
 * closes its side, for a limited time. Returns 0, or RsLinger_FAILED if there
 * are too many such sockets; it is closed at once then. */
int
RsLinger_Take(struct rs_linger *linger, int fd)
{
    if (linger->socket_count >= linger->max_sockets) {
        close(fd);
        return RsLinger_FAILED;
    }
    struct socket *socket = g_new0(struct socket, 1);
    socket->linger = linger;
    linger->socket_count++;
    uv_timer_init(linger->loop, &socket->timer);
    uv_tcp_init(linger->loop, &socket->tcp);
    socket->timer.data = socket;
    socket->tcp.data = socket;
    shutdown(fd, SHUT_WR);
    if (uv_tcp_open(&socket->tcp, fd) != 0) {
        close(fd);
        close_socket(socket);
        return RsLinger_FAILED;
    }
    uv_timer_start(&socket->timer, on_timeout, LINGER_MS, 0);
    uv_read_start((uv_stream_t *)&socket->tcp, provide_buffer, on_read);
    return 0;
}
