#include "http/linger.h"

#include <glib.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"

/* How long a peer that has received everything may take to close its side. */
#define LINGER_MS 2000
#define CHECK_EVERY_MS 100
/* A peer that goes on sending is not read any more after this many bytes. */
#define MAX_DISCARDED_BYTES (1024 * 1024)
#define READ_BYTES 65536

struct socket {
    uv_tcp_t tcp;
    uv_timer_t timer;
    struct rs_linger *linger;
    uint64_t discarded_bytes;
    uint64_t unacknowledged_bytes; /* at the last check */
    int64_t close_at_ms;
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

/* Returns how much of what the kernel has of a connection's stream, its end
 * included, the peer has not acknowledged. */
uint64_t
RsLinger_UnacknowledgedBytes(int fd)
{
    int bytes = 0;
    return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? (uint64_t)bytes : 0;
}

static uint64_t
unacknowledged_bytes(const struct socket *socket)
{
    uv_os_fd_t fd;
    return uv_fileno((const uv_handle_t *)&socket->tcp, &fd) == 0
               ? RsLinger_UnacknowledgedBytes(fd)
               : 0;
}

/* Sets when a socket is closed at the latest, by what its peer has not
 * acknowledged now. */
static void
extend(struct socket *socket, uint64_t bytes)
{
    socket->unacknowledged_bytes = bytes;
    socket->close_at_ms =
        RsClock_NowMs() +
        (bytes > 0 ? (int64_t)socket->linger->idle_timeout_ms : LINGER_MS);
}

/* Closes a socket whose peer takes too long to close its side or has received
 * nothing for too long. */
static void
on_check(uv_timer_t *timer)
{
    struct socket *socket = timer->data;
    uint64_t bytes = unacknowledged_bytes(socket);
    if (bytes < socket->unacknowledged_bytes &&
        socket->discarded_bytes <= MAX_DISCARDED_BYTES) {
        extend(socket, bytes);
    }
    if (RsClock_NowMs() >= socket->close_at_ms) {
        close_socket(socket);
    }
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
        /* From now on, the end of the connection goes unnoticed. */
        uv_read_stop(stream);
        socket->close_at_ms =
            MIN(socket->close_at_ms, RsClock_NowMs() + LINGER_MS);
    }
}

/* Ends the stream of a connected socket, to which all has been written, and
 * takes `fd` over. What the peer still sends is read and discarded until it
 * closes its side: for a limited time after it has received the stream, and as
 * long as it goes on receiving. Returns 0, or RsLinger_FAILED if there
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
    extend(socket, unacknowledged_bytes(socket));
    uv_timer_start(&socket->timer, on_check, CHECK_EVERY_MS, CHECK_EVERY_MS);
    uv_read_start((uv_stream_t *)&socket->tcp, provide_buffer, on_read);
    return 0;
}
