/* Finds the granter by asking other nodes while this node can't read the lease
 * row from the store. Uses UDP on the port that follows the port of the load
 * reports. */

#ifndef RATTANSHED_ROUTER_FINDER_H
#define RATTANSHED_ROUTER_FINDER_H

#include <stdint.h>
#include <uv.h>

#include "router/granter.h"

struct rs_finder_events {
    /* Returns whether this node receives current data from the granter or is
     * the granter, so that it may tell other nodes who the granter is. */
    bool (*is_granter_reachable)(void *arg);
    /* Called when another node has sent the lease that it knows, and the
     * version of the lease row. */
    void (*lease_received)(void *arg, const struct rs_granter_lease *lease,
                           uint64_t version);
};

struct rs_finder_options {
    uv_loop_t *loop;
    const char *host; /* address of this node */
    uint32_t port;
    const struct rs_granter *granter;
    const struct rs_finder_events *events;
    void *arg;
};

struct rs_finder;

struct rs_finder *RsFinder_Open(const struct rs_finder_options *options);

/* Adds a node that can be asked, by its IPv4 address in network byte order. */
void RsFinder_AddPeer(struct rs_finder *finder, uint32_t address);

/* Asks a few random known nodes for the granter. To be called often while the
 * granter is unknown; does nothing if called again too early or if no node is
 * known. */
void RsFinder_Ask(struct rs_finder *finder, int64_t now_ms);

#endif
