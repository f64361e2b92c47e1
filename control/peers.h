/* Control connections to the other entry processes. Each process sends on
 * links that it opened itself and receives on those of the others. */

#ifndef RATTANSHED_CONTROL_PEERS_H
#define RATTANSHED_CONTROL_PEERS_H

#include <netinet/in.h>
#include <stdint.h>
#include <uv.h>

#include "wire/peer.pb-c.h"

struct rs_peers;

/* Gets each message with the name of the process that sent it. */
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

/* Sends when the link is open, and otherwise opens it and drops the message:
 * all control messages are repeated by their senders. */
void RsPeers_Send(struct rs_peers *peers, const char *name,
                  const struct sockaddr_in *address,
                  const Rs__Wire__Peer *message);

/* The same with a packed frame, which it takes over. */
void RsPeers_SendFrame(struct rs_peers *peers, const char *name,
                       const struct sockaddr_in *address, uint8_t *data,
                       size_t size_bytes);

/* Closes the link, so that the next message opens it anew. */
void RsPeers_Reset(struct rs_peers *peers, const char *name);

#endif
