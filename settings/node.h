/* The settings of a router node on a platform that fills them in from
 * `deploy/node.yaml`. Read once at start and again on a reload. */

#ifndef RATTANSHED_SETTINGS_NODE_H
#define RATTANSHED_SETTINGS_NODE_H

#include <netinet/in.h>
#include <stdint.h>

#include "settings/settings.h"

struct rs_node_identity {
    char *name;
    char *zone;      /* the failure domain of this VM */
    char *address;   /* IP number */
    float cpu_share; /* of a core that this VM has */
    float link_mbps; /* of this VM's network link */
};

/* Endpoints are written as "IP:PORT". */
struct rs_node_listen {
    char *callers;
    char *readiness;
    uint32_t peer_port; /* UDP, between nodes */
    uint32_t admin_port;
};

struct rs_node_store {
    char *address;
};

/* What the operator promises or demands, with the units of the names. */
struct rs_node_bounds {
    uint32_t grace_s;     /* from the request to stop until the kill */
    uint32_t max_hold_ms; /* longest grant that a target accepts */
    float retry_ratio;    /* repeats per first attempt, over all nodes */
    uint32_t retry_window_s;
    uint32_t retry_slack; /* repeats over all nodes beyond the ratio */
    float cold_factor;
    uint32_t cold_slack; /* requests a second beyond the factor */
};

struct rs_node_settings {
    struct rs_node_identity node;
    struct rs_node_listen listen;
    struct rs_node_store store;
    struct rs_node_bounds bounds;
};

int RsNode_Load(const char *path, struct rs_node_settings **out,
                struct rs_settings_fault *fault);
void RsNode_Free(struct rs_node_settings *settings);
int RsNode_ParseEndpoint(const char *text, struct sockaddr_in *address);

#endif
