/* Lets other nodes reach targets through this node: a server that answers the
 * HTTP method CONNECT and then passes bytes on in both directions.
 *
 * Those nodes keep such connections and reuse them. The bytes that are passed
 * on can't tell them that this node stops, so it sends them datagrams: every
 * half second that its tunnels can be used, or, from the start of its
 * shutdown, ten times a second that no more requests are to be sent through
 * them. A node that hears neither doesn't reuse them either. Requests in
 * progress go on until they or the shutdown end. */

#ifndef RATTANSHED_ROUTER_TUNNEL_H
#define RATTANSHED_ROUTER_TUNNEL_H

#include <protobuf-c/protobuf-c.h>

#include "core/counter.h"
#include "router/router.h"

struct rs_tunnel_counters {
    struct rs_counter opened;
    struct rs_counter refused; /* this node could not help */
    struct rs_counter failed;  /* the target could not be reached */
};

struct rs_tunnel_server;

struct rs_tunnel_options {
    struct rs_router *router;
    uint64_t incarnation; /* of this process; not 0 */
    /* What all tunnels together may hold, but for a few KB of each one. */
    uint64_t max_queued_bytes;
    /* Sends a message from the peer port (UDP). */
    void (*send)(void *arg, const struct sockaddr *address,
                 const ProtobufCMessage *message);
    void *arg;
};

struct rs_tunnel_server *
RsTunnel_Open(const struct rs_tunnel_options *options);

/* Tells the nodes that use the tunnels whether they still can. Must be called
 * every few tens of milliseconds. */
void RsTunnel_Tick(struct rs_tunnel_server *server, int64_t now_ms);

/* Handles a datagram of a node whose tunnels this node uses. Returns false for
 * messages of other kinds. */
bool RsTunnel_HandleDatagram(struct rs_router *router, const uint8_t *data,
                             size_t size_bytes, const struct sockaddr *from,
                             int64_t now_ms);
const struct rs_tunnel_counters *
RsTunnel_Counters(const struct rs_tunnel_server *server);
uint64_t RsTunnel_QueuedBytes(const struct rs_tunnel_server *server);
uint32_t RsTunnel_Count(const struct rs_tunnel_server *server);

#endif
