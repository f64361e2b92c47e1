/* Changes of the store's tables, passed from node to node: the granter reads
 * the store, the others subscribe to it, or to one of its subscribers when it
 * has many. A node whose stream is silent or out of date asks the store. */

#ifndef RATTANSHED_ROUTER_STREAM_H
#define RATTANSHED_ROUTER_STREAM_H

#include <uv.h>

#include "router/follower.h"
#include "router/granter.h"

#define RsStream_MAX_TABLES 4

struct rs_stream;

struct rs_stream_options {
    uv_loop_t *loop;
    const char *node;
    const char *host; /* of this node's own listener */
    uint32_t port;
    struct rs_granter *granter;
    struct rs_follower *followers[RsStream_MAX_TABLES];
    size_t follower_count;
};

struct rs_stream *RsStream_Open(const struct rs_stream_options *options);

/* A table changed: tells the subscribers. */
void RsStream_Publish(struct rs_stream *stream);

/* To be called every few tens of ms. */
void RsStream_Tick(struct rs_stream *stream, int64_t now_ms);

/* Ends all subscriptions; the others look for the granter. */
void RsStream_DropAll(struct rs_stream *stream);

/* Takes no subscribers, and ends those there are, before the node stops. */
void RsStream_Leave(struct rs_stream *stream);

bool RsStream_IsFed(const struct rs_stream *stream);

/* Tells whether this node's followers ask the store. */
bool RsStream_AsksStore(const struct rs_stream *stream);

#endif
