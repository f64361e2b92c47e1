/* A router node: the process that accepts callers' requests, follows tables of
 * the store and, while it holds the granter lease, assigns keys to targets. */

#ifndef RATTANSHED_ROUTER_NODE_H
#define RATTANSHED_ROUTER_NODE_H

#include <stdint.h>

#include "settings/node.h"

enum rs_node_error {
    RsNode_NO_CALLERS_PORT = RsError_CORE - 20,
    RsNode_NO_READINESS_PORT = RsError_CORE - 21,
    RsNode_NO_PEER_PORT = RsError_CORE - 22,
};

struct rs_node_options {
    struct rs_node_settings *settings; /* a reload changes some of them */
    const char *settings_path;         /* read again when it changes */
};

int RsNode_Run(const struct rs_node_options *options);

#endif
