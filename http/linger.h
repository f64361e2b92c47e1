/* Lingering close: ends the stream of a socket whose peer may still be
 * sending. Closing such a socket at once resets the connection, and the kernel
 * then discards what it has not sent yet. */

#ifndef RATTANSHED_HTTP_LINGER_H
#define RATTANSHED_HTTP_LINGER_H

#include <stdint.h>
#include <uv.h>

#include "core/error.h"

enum rs_linger_error {
    RsLinger_FAILED = RsError_HTTP - 60
};

/* The sockets of one server that are being closed. */
struct rs_linger {
    uv_loop_t *loop;
    uint64_t idle_timeout_ms; /* for peers that receive nothing any more */
    uint32_t max_sockets;
    uint32_t socket_count;
};

uint64_t RsLinger_UnacknowledgedBytes(int fd);
int RsLinger_Take(struct rs_linger *linger, int fd);

#endif
