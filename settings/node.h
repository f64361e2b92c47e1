/* The settings of a router node, from the file that the platform generates
 * from the template `deploy/node.yaml`. The file is read at start; on SIGHUP
 * it is only checked for faults. */

#ifndef RATTANSHED_SETTINGS_NODE_H
#define RATTANSHED_SETTINGS_NODE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "settings/settings.h"

struct rs_node_identity {
    char *name;
    char *zone;         /* the failure domain of this VM */
    char *address;      /* IPv4 address */
    float cpu_share;    /* cores available to this VM, e.g. 0.2 */
    float link_mbps;    /* bandwidth of this VM's network link */
    uint32_t memory_mb; /* memory available to the process; 0: not stated */
    /* The whole system starts for the first time, so the store can't have lost
     * anything of it. */
    bool bootstrap;
};

/* Local endpoints. Addresses have the form "IP:PORT". */
struct rs_node_listen {
    char *callers;
    char *readiness;
    uint32_t peer_port; /* for messages between nodes, over UDP and TCP; the
                           next port is used as well */
    uint32_t admin_port;
};

/* The platform's metadata store. */
struct rs_node_store {
    char *address; /* "IP:PORT" */
};

/* Limits that the operator guarantees to the node or requires of it. */
struct rs_node_bounds {
    uint32_t grace_s;     /* from the stop request until the node is killed */
    uint32_t max_hold_ms; /* longest grant of keys that a target accepts */
    /* How long after it has started to leave a target may be sent requests. */
    uint32_t drain_ms;
    /* Maximum number of retries of a service per first attempt, counted over
     * all nodes together. */
    float retry_ratio;
    uint32_t retry_window_s; /* over which the ratio must hold */
    uint32_t retry_slack;    /* retries allowed beyond the ratio, of all nodes
                                together, per service and window */
    /* Maximum request rate of all nodes together to a cold target, as a
     * multiple of the warm-up rate of its service. */
    float cold_factor;
    uint32_t cold_slack; /* requests per second beyond this rate */
    /* In any `quota_window_s`, all nodes together send at most (quota x window
     * + burst) x (1 + `quota_overage`) + `quota_slack` requests of a
     * workspace. */
    uint32_t quota_window_s;
    float quota_overage;
    uint32_t quota_slack;
    /* API keys are not trusted while the configuration has not been confirmed
     * as current for `revoke_ms`. */
    bool strict_revoke;
    uint32_t revoke_ms;
};

/* How load is spread. */
struct rs_node_load {
    /* Learn how many requests at once each target answers in time. */
    bool adaptive;
};

struct rs_node_settings {
    struct rs_node_identity node;
    struct rs_node_listen listen;
    struct rs_node_store store;
    struct rs_node_bounds bounds;
    struct rs_node_load load;
};

int RsNodeSettings_Load(const char *path, struct rs_node_settings **out,
                        struct rs_settings_fault *fault);
void RsNodeSettings_Free(struct rs_node_settings *settings);
int RsNodeSettings_ParseEndpoint(const char *text,
                                 struct sockaddr_in *address);

#endif
