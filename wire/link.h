/* A TCP connection that carries framed messages between two processes. */

#ifndef RATTANSHED_WIRE_LINK_H
#define RATTANSHED_WIRE_LINK_H

#include <netinet/in.h>
#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "core/error.h"

enum rs_link_error {
    RsLink_CLOSED = RsError_WIRE - 20,
    RsLink_QUEUE_FULL = RsError_WIRE - 21, /* the peer reads too slowly; the
                                        caller should close the link */
    RsLink_LISTEN_FAILED = RsError_WIRE - 22,
    RsLink_TOO_LARGE = RsError_WIRE - 23
};

struct rs_link;

/* Callbacks of one link. `opened`, which may be NULL, is called only for links
 * created by RsLink_Connect(). `frame` is called for each message and returns
 * 0, or a negative error that closes the link. `closed` is called once when
 * the link fails, is closed by the peer or is aborted, but not after
 * RsLink_Close(). The link must not be used after `closed` or
 * RsLink_Close(). */
struct rs_link_events {
    void (*opened)(void *arg);
    int (*frame)(void *arg, const uint8_t *data, size_t size_bytes);
    void (*closed)(void *arg, int error);
};

struct rs_link_options {
    uv_loop_t *loop;
    struct sockaddr_in address;
    const struct rs_link_events *events;
    void *arg;
    size_t max_queue_bytes; /* nothing can be sent while more bytes than this
                               are queued; see RsLink_QueuedBytes() */
};

/* Called for each accepted link. Must set the callbacks of the link with
 * RsLink_SetEvents(), or close it, before it returns. */
typedef void (*rs_link_accept)(void *arg, struct rs_link *link);

struct rs_link_listener;

struct rs_link *RsLink_Connect(const struct rs_link_options *options);
int RsLink_Listen(uv_loop_t *loop, const struct sockaddr_in *address,
                  size_t max_queue_bytes, rs_link_accept accept, void *arg,
                  struct rs_link_listener **listener);
void RsLink_StopListening(struct rs_link_listener *listener);
void RsLink_SetEvents(struct rs_link *link,
                      const struct rs_link_events *events, void *arg);
int RsLink_Send(struct rs_link *link, const ProtobufCMessage *message);
int RsLink_SendFrame(struct rs_link *link, uint8_t *data, size_t size_bytes);
size_t RsLink_QueuedBytes(const struct rs_link *link);
size_t RsLink_UnacknowledgedBytes(const struct rs_link *link);
uint64_t RsLink_ReceivedBytes(const struct rs_link *link);
void RsLink_Close(struct rs_link *link);
void RsLink_Abort(struct rs_link *link);

/* Frames and bytes sent and received by all links of one thread. Queued frames
 * count as sent. */
struct rs_link_totals {
    uint64_t sent_frames;
    uint64_t sent_bytes;
    uint64_t received_frames;
    uint64_t received_bytes;
};

struct rs_link_totals RsLink_Totals(void);

#endif
