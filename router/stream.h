/* Distribution of table changes from node to node. The granter polls the
 * store; the other nodes subscribe to the granter or, when the granter has
 * its maximum number of subscribers, to one of its subscribers. A node that
 * gets no current data from an upstream node polls the store itself. */

#ifndef RATTANSHED_ROUTER_STREAM_H
#define RATTANSHED_ROUTER_STREAM_H

#include <uv.h>

#include "router/follower.h"
#include "router/granter.h"

#define RsStream_MAX_TABLES 4

struct rs_stream;

struct rs_stream_options {
    uv_loop_t *loop;
    const char *node; /* name of this node */
    const char *host; /* where this node accepts subscribers */
    uint32_t port;
    struct rs_granter *granter;
    struct rs_follower *followers[RsStream_MAX_TABLES];
    size_t follower_count;
};

struct rs_stream *RsStream_Open(const struct rs_stream_options *options);

/* Sends the changes of the tables to the subscribers. Call it after each
 * change. */
void RsStream_Publish(struct rs_stream *stream);

/* Sends heartbeats and manages the connection to the upstream node. Must be
 * called every few tens of milliseconds. */
void RsStream_Tick(struct rs_stream *stream, int64_t now_ms);

/* Closes the connections of all subscribers, which then look for the granter.
 */
void RsStream_DropSubscribers(struct rs_stream *stream);

/* Closes the connections of all subscribers before the node stops, and
 * disconnects from the upstream node at the next tick. */
void RsStream_Shutdown(struct rs_stream *stream);

/* Returns whether the upstream node delivers current data. */
bool RsStream_IsUpstreamCurrent(const struct rs_stream *stream);

/* Returns whether this node's followers are to poll the store. */
bool RsStream_PollsStore(const struct rs_stream *stream);

#endif
