/* Receives requests from the fronts of other processes over links, and
 * forwards them through the holder. */

#ifndef RATTANSHED_DISPATCH_RELAY_SERVER_H
#define RATTANSHED_DISPATCH_RELAY_SERVER_H

#include <netinet/in.h>

#include "dispatch/holder.h"

#define RsRelayServer_MAX_STREAMS 4096

struct rs_relay_server;

struct rs_relay_server_options {
    uv_loop_t *loop;
    struct sockaddr_in address;
    struct rs_holder *holder; /* not owned */
    size_t
        max_streams_per_link; /* per link; requests above that are refused */
};

int RsRelayServer_Open(const struct rs_relay_server_options *options,
                       struct rs_relay_server **server);
size_t RsRelayServer_StreamCount(const struct rs_relay_server *server);
size_t RsRelayServer_UnacknowledgedBytes(const struct rs_relay_server *server);

#endif
