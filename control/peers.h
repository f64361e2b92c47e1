/* Control links to the other entry processes. Each process sends only on the
 * links that it opened and receives only on those that others opened. */

#ifndef RATTANSHED_CONTROL_PEERS_H
#define RATTANSHED_CONTROL_PEERS_H

#include <netinet/in.h>
#include <stdint.h>
#include <uv.h>

#include "wire/peer.pb-c.h"

struct rs_peers;

/* Called with each message after the Hello and the name of the process that
 * sent it. The arguments are borrowed. */
typedef void (*rs_peers_handler)(void *arg, const char *from,
                                 const Rs__Wire__Peer *message);

struct rs_peers_options {
    uv_loop_t *loop;
    struct sockaddr_in address;
    const char *self;
    uint64_t incarnation;
    rs_peers_handler handler;
    void *arg;
};

int RsPeers_Open(const struct rs_peers_options *options,
                 struct rs_peers **peers);

/* Sends a message if the link is open. Otherwise drops the message, and opens
 * the link unless the last attempt was too recent. Dropping is safe because
 * control messages are repeated or, as for changes of the table, requested
 * again. */
void RsPeers_Send(struct rs_peers *peers, const char *name,
                  const struct sockaddr_in *address,
                  const Rs__Wire__Peer *message);

/* Like RsPeers_Send(), for a packed frame that was allocated with g_malloc(),
 * which it takes over. */
void RsPeers_SendFrame(struct rs_peers *peers, const char *name,
                       const struct sockaddr_in *address, uint8_t *data,
                       size_t size_bytes);

/* Closes an open link, so that the next message opens it anew. */
void RsPeers_Reset(struct rs_peers *peers, const char *name);

#endif
