/* Finds the granter through other nodes while this one can't read the lease
 * from the store. Over UDP, on the port after that of the reports. */

#ifndef RATTANSHED_ROUTER_FINDER_H
#define RATTANSHED_ROUTER_FINDER_H

#include <stdint.h>
#include <uv.h>

#include "router/granter.h"

struct rs_finder_events {
    /* Returns whether this node hears from the granter, so that what it knows
     * of it can be told. */
    bool (*hears_granter)(void *arg);
    /* Another node told who has the lease. */
    void (*told)(void *arg, const struct rs_granter_lease *lease,
                 uint64_t version);
};

struct rs_finder_options {
    uv_loop_t *loop;
    const char *host; /* of this node */
    uint32_t port;
    const struct rs_granter *granter;
    const struct rs_finder_events *events;
    void *arg;
};

struct rs_finder;

struct rs_finder *RsFinder_Open(const struct rs_finder_options *options);

/* Remembers a node, by its IPv4 number in network byte order. */
void RsFinder_AddPeer(struct rs_finder *finder, uint32_t address);

/* Asks a few of the nodes that are known; to be called while the granter is
 * being looked for. */
void RsFinder_Ask(struct rs_finder *finder, int64_t now_ms);

#endif
