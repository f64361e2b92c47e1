#include "router/paths.h"

#include "core/log.h"

/* A node that has opened no tunnel is not asked for this long. */
#define AVOID_PEER_MS 2000
/* A node tells every half second that its tunnels can be used
 * (router/tunnel.c). After two lost messages they aren't used any more. */
#define CONFIRMED_MS 1500
/* After a failed direct connection, a target is reached through other nodes
 * for this long, unless they can't reach it either. */
#define THROUGH_PEERS_MS 2000
/* The links may be lost when no target has responded for this long to the
 * requests on direct connections. */
#define SILENT_MS 500
/* A node that has reached a target within this time is not isolated: others
 * may fail at the same moment, for instance all of another failure domain. */
#define REACHED_MS 400
#define DOUBTFUL_TARGETS 2
/* A node that has connected to a target within this time may tell others that
 * a target can't be reached. */
#define PROVEN_MS 1000
/* Interval of the probes that find out whether the links are lost. */
#define PROBE_DOUBTFUL_EVERY_MS 50
/* Interval of the probes that find out whether an isolated node reaches
 * targets again. */
#define PROBE_ISOLATED_EVERY_MS 250

static struct rs_path_peer *
find_peer(struct rs_paths *paths, uint32_t address)
{
    for (uint32_t i = 0; i < paths->peer_count; i++) {
        if (paths->peers[i].address == address) {
            return &paths->peers[i];
        }
    }
    return NULL;
}

/* Adds a node that can be asked for tunnels, by its IPv4 address in network
 * byte order. When the list is full, a random one is replaced. */
void
RsPaths_AddPeer(struct rs_paths *paths, uint32_t address)
{
    if (address == 0 || address == paths->own_address ||
        find_peer(paths, address) != NULL) {
        return;
    }
    uint32_t index = paths->peer_count;
    if (index == RsPaths_MAX_PEERS) {
        index =
            (uint32_t)g_rand_int_range(paths->random, 0, RsPaths_MAX_PEERS);
    }
    else {
        paths->peer_count++;
    }
    paths->peers[index] = (struct rs_path_peer){.address = address};
}

/* Records what became of a tunnel that another node was asked for. */
void
RsPaths_RecordPeer(struct rs_paths *paths, uint32_t address,
                   struct rs_fleet_target *target, enum rs_path_result result,
                   int64_t now_ms)
{
    struct rs_path_peer *peer = find_peer(paths, address);
    if (result == RsPath_PEER_FAILED && peer != NULL) {
        peer->avoid_until_ms = now_ms + AVOID_PEER_MS;
    }
    if (result == RsPath_CONNECTED && peer != NULL) {
        peer->confirmed_at_ms = now_ms;
    }
    if (result == RsPath_TARGET_FAILED) {
        target->through_peers_until_ms = 0;
        target->direct_until_ms = now_ms + THROUGH_PEERS_MS;
    }
}

/* Records what another node says of its tunnels. */
void
RsPaths_RecordTunnelState(struct rs_paths *paths, uint32_t address,
                          bool stopping, int64_t now_ms)
{
    RsPaths_AddPeer(paths, address);
    struct rs_path_peer *peer = find_peer(paths, address);
    if (peer == NULL) {
        return; /* this node */
    }
    if (!stopping) {
        peer->confirmed_at_ms = now_ms;
        return;
    }
    peer->stopping_at_ms = now_ms;
    peer->avoid_until_ms = MAX(peer->avoid_until_ms, now_ms + AVOID_PEER_MS);
}

/* Returns whether a request may be sent through a tunnel of another node that
 * was opened at `opened_at_ms`: the node isn't stopping, as it has said
 * lately. */
bool
RsPaths_MayUseTunnel(struct rs_paths *paths, uint32_t address,
                     int64_t opened_at_ms, int64_t now_ms)
{
    const struct rs_path_peer *peer = find_peer(paths, address);
    return peer != NULL && opened_at_ms > peer->stopping_at_ms &&
           now_ms - peer->confirmed_at_ms < CONFIRMED_MS;
}

/* Returns a random node that can be asked for a tunnel, or 0. */
static uint32_t
choose_peer(const struct rs_paths *paths, int64_t now_ms)
{
    uint32_t usable[RsPaths_MAX_PEERS];
    uint32_t count = 0;
    for (uint32_t i = 0; i < paths->peer_count; i++) {
        if (now_ms >= paths->peers[i].avoid_until_ms) {
            usable[count++] = paths->peers[i].address;
        }
    }
    return count > 0
               ? usable[g_rand_int_range(paths->random, 0, (gint32)count)]
               : 0;
}

/* Chooses how to connect to a target. Sets `*peer` to the address of the other
 * node for RsPath_PEER. */
enum rs_path
RsPaths_Choose(const struct rs_paths *paths,
               const struct rs_fleet_target *target, int64_t now_ms,
               uint32_t *peer)
{
    if (!paths->isolated && now_ms >= target->through_peers_until_ms) {
        return RsPath_DIRECT;
    }
    *peer = choose_peer(paths, now_ms);
    if (*peer != 0) {
        return RsPath_PEER;
    }
    return paths->isolated ? RsPath_NONE : RsPath_DIRECT;
}

/* Records that a direct connection was made, which ends an isolation. */
void
RsPaths_RecordConnected(struct rs_paths *paths, struct rs_fleet_target *target,
                        int64_t now_ms)
{
    if (paths->isolated) {
        RsLog_EVENT(RsLog_INFO, "links_back",
                    RsLog_TEXT("target", target->id));
    }
    paths->isolated = false;
    paths->failed_count = 0;
    paths->connected_at_ms = now_ms;
    paths->answered_at_ms = now_ms;
    target->through_peers_until_ms = 0;
}

/* Returns whether the target could not be connected to since a direct
 * connection was last made. */
bool
RsPaths_HasFailed(const struct rs_paths *paths,
                  const struct rs_fleet_target *target)
{
    for (uint32_t i = 0; i < paths->failed_count; i++) {
        if (paths->failed[i] == target->id) {
            return true;
        }
    }
    return false;
}

/* Returns how many targets have to fail until this node is isolated. */
static uint32_t
count_needed(const struct rs_paths *paths)
{
    uint32_t listed = 0;
    for (guint i = 0;
         i < paths->fleet->list->len && listed < RsPaths_ISOLATED_TARGETS;
         i++) {
        const struct rs_fleet_target *target =
            g_ptr_array_index(paths->fleet->list, i);
        listed += target->listed && !target->replaced;
    }
    return MAX(listed, 1);
}

/* Records that a direct connection could not be made, which may isolate the
 * node. */
void
RsPaths_RecordConnectFailed(struct rs_paths *paths,
                            struct rs_fleet_target *target, int64_t now_ms)
{
    if (now_ms >= target->direct_until_ms) {
        target->through_peers_until_ms = now_ms + THROUGH_PEERS_MS;
    }
    if (paths->isolated) {
        return;
    }
    if (paths->failed_count < RsPaths_ISOLATED_TARGETS &&
        !RsPaths_HasFailed(paths, target)) {
        paths->failed[paths->failed_count++] = target->id;
    }
    paths->isolated = paths->failed_count >= count_needed(paths) &&
                      now_ms - paths->answered_at_ms >= REACHED_MS;
    if (paths->isolated) {
        RsLog_EVENT(RsLog_WARNING, "links_lost",
                    RsLog_TEXT("target", target->id),
                    RsLog_NUMBER("failed_targets", paths->failed_count),
                    RsLog_NUMBER("peers", paths->peer_count),
                    RsLog_NUMBER("silent_ms", RsPaths_IsSilent(paths, now_ms)
                                                  ? now_ms - paths->asked_at_ms
                                                  : 0));
    }
}

/* Records that a request was sent on a direct connection. */
void
RsPaths_RecordSent(struct rs_paths *paths, int64_t now_ms)
{
    if (paths->asked_at_ms <= paths->answered_at_ms) {
        paths->asked_at_ms = now_ms;
    }
}

/* Records that a response arrived on a direct connection: the links to some
 * targets work. That does not end an isolation, as open connections may live
 * on while no new ones can be made. */
void
RsPaths_RecordAnswered(struct rs_paths *paths, int64_t now_ms)
{
    paths->answered_at_ms = now_ms;
}

/* Returns whether this node's links are in doubt: it could not connect to
 * several targets, and to none since, or to one, and to no other lately. */
bool
RsPaths_AreDoubtful(const struct rs_paths *paths, int64_t now_ms)
{
    return paths->failed_count >= DOUBTFUL_TARGETS ||
           (paths->failed_count > 0 &&
            now_ms - paths->connected_at_ms >= PROVEN_MS);
}

/* Returns whether no target has responded for SILENT_MS to requests on direct
 * connections. */
bool
RsPaths_IsSilent(const struct rs_paths *paths, int64_t now_ms)
{
    return paths->asked_at_ms > paths->answered_at_ms &&
           now_ms - paths->asked_at_ms >= SILENT_MS;
}

/* Returns whether to probe now if some target can be connected to directly. */
bool
RsPaths_TakeProbe(struct rs_paths *paths, int64_t now_ms)
{
    bool doubtful = paths->failed_count > 0 || RsPaths_IsSilent(paths, now_ms);
    if ((!paths->isolated && !doubtful) || now_ms < paths->next_probe_at_ms) {
        return false;
    }
    paths->next_probe_at_ms =
        now_ms +
        (paths->isolated ? PROBE_ISOLATED_EVERY_MS : PROBE_DOUBTFUL_EVERY_MS);
    return true;
}
