/* Decides how this node connects to targets: directly or, when it has lost its
 * own links, through a tunnel of another node (router/tunnel.h). No I/O.
 *
 * Load pattern: a node that reaches no target, while callers, the store and
 * the other nodes reach the node. A target that fails must not look like this,
 * and neither must a node without requests. */

#ifndef RATTANSHED_ROUTER_PATHS_H
#define RATTANSHED_ROUTER_PATHS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "router/fleet.h"

#define RsPaths_MAX_PEERS 32
/* A connect takes about a millisecond; a target that has not accepted the
 * connection within this time is treated as unreachable. */
#define RsPaths_CONNECT_TIMEOUT_MS 250
/* A node is isolated when connecting to this many targets has failed, and for
 * some time none has succeeded, nor has a target responded. */
#define RsPaths_ISOLATED_TARGETS 3

enum rs_path {
    RsPath_DIRECT,
    RsPath_PEER, /* through a tunnel of another node */
    RsPath_NONE, /* this node is isolated, and knows no node to ask */
};

enum rs_path_result {
    RsPath_CONNECTED,
    RsPath_PEER_FAILED, /* the other node didn't open a tunnel */
    RsPath_TARGET_FAILED,
};

struct rs_path_peer {
    uint32_t address; /* IPv4, network byte order */
    int64_t avoid_until_ms;
    /* When it last opened a tunnel, or said that its tunnels can be used, and
     * when it last said that it is stopping. */
    int64_t confirmed_at_ms;
    int64_t stopping_at_ms;
};

struct rs_paths {
    const struct rs_fleet *fleet;
    uint32_t own_address; /* IPv4, network byte order */
    struct rs_path_peer peers[RsPaths_MAX_PEERS];
    uint32_t peer_count;
    /* Ids of targets that could not be connected to since a direct connection
     * was last made. */
    const char *failed[RsPaths_ISOLATED_TARGETS];
    uint32_t failed_count;
    bool isolated;
    int64_t connected_at_ms; /* the last direct connection was made */
    /* Direct connections: when the oldest request was sent since the last
     * response, and when that response came. */
    int64_t asked_at_ms;
    int64_t answered_at_ms;
    int64_t next_probe_at_ms;
    GRand *random;
};

/* Other nodes. */
void RsPaths_AddPeer(struct rs_paths *paths, uint32_t address);
void RsPaths_RecordPeer(struct rs_paths *paths, uint32_t address,
                        struct rs_fleet_target *target,
                        enum rs_path_result result, int64_t now_ms);
void RsPaths_RecordTunnelState(struct rs_paths *paths, uint32_t address,
                               bool stopping, int64_t now_ms);
bool RsPaths_MayUseTunnel(struct rs_paths *paths, uint32_t address,
                          int64_t opened_at_ms, int64_t now_ms);

enum rs_path RsPaths_Choose(const struct rs_paths *paths,
                            const struct rs_fleet_target *target,
                            int64_t now_ms, uint32_t *peer);

/* Direct connections. */
bool RsPaths_HasFailed(const struct rs_paths *paths,
                       const struct rs_fleet_target *target);
void RsPaths_RecordConnected(struct rs_paths *paths,
                             struct rs_fleet_target *target, int64_t now_ms);
void RsPaths_RecordConnectFailed(struct rs_paths *paths,
                                 struct rs_fleet_target *target,
                                 int64_t now_ms);
void RsPaths_RecordSent(struct rs_paths *paths, int64_t now_ms);
void RsPaths_RecordAnswered(struct rs_paths *paths, int64_t now_ms);
bool RsPaths_AreDoubtful(const struct rs_paths *paths, int64_t now_ms);
bool RsPaths_IsSilent(const struct rs_paths *paths, int64_t now_ms);
bool RsPaths_TakeProbe(struct rs_paths *paths, int64_t now_ms);

#endif
