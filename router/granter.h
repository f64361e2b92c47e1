/* Elects the node that grants key ranges to targets (the granter), and sends
 * grants and releases while this node holds that role. This is a state machine
 * without I/O: the caller passes in store responses, answers to orders and the
 * time; commits and orders leave through struct rs_granter_actions.
 *
 * The granter is the node named in the lease row of the store. Each commit
 * that the store confirms extends its authority to a fixed time after the
 * commit was sent. Any granter may renew a grant whose owner is committed to
 * the store. A new owner gets its first grant only once the move is committed
 * and the former owner has confirmed its release, another target has answered
 * the release at its address, or its last grant has expired. What rows say of
 * the former owner is no proof.
 *
 * A fence belongs to one process of its owner. Another one may run there under
 * the same id before its row is known, so a renewal whose fence can't be sent
 * on a connection to the same process gets a new one. Each commit of a map
 * reserves fences for that, which last while the store is unavailable.
 *
 * After the store has gone back to a copy, its rows don't show the last
 * changes of owners. Each era of the store has rows of its own for the lease
 * and the maps, so that no commit made for a former era touches them, and
 * fences that are higher than those of former eras.
 *
 * - A granter that has authority when it learns of the era goes on with the
 *   maps that it has in memory: nobody else has changed owners.
 * - One whose authority has lapsed not long ago goes on too, but its ranges
 * are unproven, since another node may have been the granter after it. It
 * renews the grants under their fences, which owners refuse if they had to
 * release the keys since, and moves a range only once the owner has accepted a
 * grant that was sent after all authority of the former era had ended.
 * - Any other node waits until that authority has ended before it claims the
 *   lease, and until all grants of the former era have expired before it sends
 *   any.
 *
 * A map whose row can't be read, or is gone, is begun anew in the same way:
 * any target may hold its keys, so none are granted until all earlier grants
 * have expired, and its fences are higher than all that are known from the
 * lease row and from maps. */

#ifndef RATTANSHED_ROUTER_GRANTER_H
#define RATTANSHED_ROUTER_GRANTER_H

#include <stdbool.h>
#include <stdint.h>

#include "platform/store.h"
#include "platform/wire.h"
#include "router/fleet.h"
#include "router/keymap.h"

#define RsGranter_LEASE_TABLE "rattanshed-lease"
/* The keys of these rows end with the era of the store, and those of the maps
 * also with the service, see RsGranter_LeaseKey() and RsGranter_MapKey(). */
#define RsGranter_LEASE_PREFIX "granter/"
#define RsGranter_MAP_TABLE "rattanshed"
#define RsGranter_MAP_PREFIX "keys/"
#define RsGranter_MAX_MAPS 32 /* one for each sharded service */

enum rs_granter_phase {
    RsGranter_OBSERVING, /* another node is the granter, or none */
    RsGranter_CLAIMING,  /* this node is taking the lease with a commit */
    RsGranter_LOADING,   /* the key maps are being read */
    RsGranter_LEADING,   /* the granter; see RsGranter_HasAuthority() */
};

/* Status of an order that got no HTTP response. */
enum rs_granter_order_error {
    RsGranter_NOT_SENT = -1, /* the target can't have received it */
    /* The target may have applied it, or may still do so later. */
    RsGranter_UNANSWERED = -2,
    /* Not sent, since no connection is left on which its fence may be sent
     * again. */
    RsGranter_NO_CONNECTION = -3,
};

/* The key map of one service, with its commit state. */
struct rs_granter_map {
    struct rs_keymap *map;
    uint64_t row_version;
    uint64_t committed_fence; /* lower fences are committed to the store */
    /* New value of `committed_fence` once the commit in flight is
     * confirmed. */
    uint64_t in_commit_fence;
    /* Fences below this may be used for renewals without a commit: the row
     * states a higher next fence. */
    uint64_t reserved_fence;
    bool dirty;     /* has changes for the next commit */
    bool in_commit; /* is part of the commit in flight */
};

/* A grant or release to be sent to a target. */
struct rs_order {
    bool release;        /* false: a grant */
    const char *service; /* interned, as is target_id */
    const char *target_id;
    struct rs_wire_order grant;
    int64_t sent_at_ms;
    int64_t send_before_ms; /* end of the granter's authority */
    /* A grant whose fence was sent before, see struct rs_range_orders. */
    bool repeats_fence;
    /* The newest connection for a grant that repeats its fence; in the answer
     * to any other, the newest one when it was sent. */
    uint64_t newest_opening;
};

struct rs_granter;

/* What the granter asks its caller to do. Pointers are valid only during the
 * call. */
struct rs_granter_actions {
    /* Sends a commit to the store; its response goes to
     * RsGranter_CommitAnswered(). */
    void (*commit)(void *arg, const struct rs_store_commit *commit);
    /* Reads all key maps; the result goes to RsGranter_MapsLoaded(). */
    void (*load_maps)(void *arg);
    /* Sends an order; its answer goes to RsGranter_OrderAnswered(). */
    void (*order)(void *arg, const struct rs_order *order);
    /* Called for the owner and the former owner of each range of a loaded map,
     * so possibly several times for the same owner. */
    void (*owner)(void *arg, const struct rs_owner *owner);
};

struct rs_granter_options {
    const char *node;      /* name of this node */
    const char *peer_host; /* where other nodes reach this one */
    uint32_t peer_port;
    uint64_t incarnation; /* of this process; differs after a restart */
    bool bootstrap;       /* see settings/node.h */
    uint32_t max_hold_ms; /* longest grant that targets accept */
    uint32_t strength;    /* of this node's VM, in thousandths of a core */
    const struct rs_granter_actions *actions;
    void *arg;
    const struct rs_fleet *fleet;
};

/* The value of the lease row. */
struct rs_granter_lease {
    char node[128]; /* empty: nobody holds the lease */
    char peer_host[64];
    uint32_t peer_port;
    uint64_t incarnation;
    uint32_t nodes;     /* number of nodes that route requests; 0: unknown */
    uint32_t strongest; /* highest strength of a known node; 0: unknown */
    /* All fences that were given in any map are lower; 0: unknown. */
    uint64_t next_fence;
    /* Services whose maps have rows; interned. */
    const char *services[RsGranter_MAX_MAPS];
    size_t service_count;
};

struct rs_granter {
    struct rs_granter_options options;
    enum rs_granter_phase phase;
    struct rs_granter_lease holder; /* last known holder of the lease */
    uint64_t lease_version;
    int64_t lease_seen_at_ms; /* when this node first saw that version */
    bool lease_known; /* the state of the lease was learned at least once */
    bool lease_lost;  /* its row was deleted; a granter may have authority */
    int64_t lease_read_at_ms; /* last call of RsGranter_LeaseRead() */
    bool commit_in_flight;
    bool last_commit_confirmed;
    /* Consecutive claims that were neither confirmed nor in conflict. */
    uint32_t failed_claims;
    bool resigning; /* gives up the lease and doesn't claim it */
    bool yielding;  /* resigns in favour of a stronger node; may claim again */
    int64_t elected_at_ms;
    int64_t next_yield_at_ms;
    bool resign_in_commit; /* the commit in flight gives up the lease */
    int64_t commit_sent_at_ms;
    int64_t next_commit_at_ms;
    int64_t authority_until_ms;
    int64_t confirmed_at_ms; /* last commit that the store confirmed */
    /* For the lease row; set by the caller. See struct rs_granter_lease. */
    uint32_t nodes;
    uint32_t strongest;
    bool extended_holds; /* grants last max_hold_ms, see STORE_OUTAGE_MS */
    bool era_known;
    uint32_t era; /* of the store */
    /* The store has gone back: its rows may lack the last changes. */
    bool restored;
    /* Valid on a granter, and if `restored`. From the first time on, no node
     * can have authority from a former era; from the second on, no target can
     * hold keys by a grant of one. */
    int64_t proof_from_ms;
    int64_t lapsed_from_ms;
    /* Highest next fence that this node has seen, of any lease or map. A map
     * that is begun anew has no lower fences. */
    uint64_t next_fence;
    /* Services whose maps have rows, by the leases that were read and the
     * commits of this node. */
    const char *services[RsGranter_MAX_MAPS];
    size_t service_count;
    struct rs_granter_map maps[RsGranter_MAX_MAPS];
    size_t map_count;
};

void RsGranter_Init(struct rs_granter *granter,
                    const struct rs_granter_options *options);

/* Inputs. They are described at their definitions. */
void RsGranter_EraSeen(struct rs_granter *granter, uint32_t era,
                       int64_t now_ms);
bool RsGranter_LeaseRowsRead(struct rs_granter *granter,
                             const struct rs_store_rows *rows, int64_t now_ms);
void RsGranter_LeaseRead(struct rs_granter *granter, uint64_t version,
                         const char *value, int64_t now_ms);
void RsGranter_LeaseLearned(struct rs_granter *granter,
                            const struct rs_granter_lease *lease,
                            uint64_t version, int64_t now_ms);
void RsGranter_LeaseRenewed(struct rs_granter *granter, uint64_t incarnation,
                            uint64_t version, int64_t now_ms);
void RsGranter_CommitAnswered(struct rs_granter *granter,
                              enum rs_store_status status,
                              const struct rs_store_rows *rows,
                              int64_t now_ms);
void RsGranter_MapsLoaded(struct rs_granter *granter,
                          enum rs_store_status status,
                          const struct rs_store_rows *rows, int64_t now_ms);
void RsGranter_OrderAnswered(struct rs_granter *granter,
                             const struct rs_order *order, int status,
                             const char *handover, int64_t now_ms);
void RsGranter_Tick(struct rs_granter *granter, int64_t now_ms);
void RsGranter_Resign(struct rs_granter *granter, int64_t now_ms);
void RsGranter_YieldIfStronger(struct rs_granter *granter, uint32_t strongest,
                               int64_t now_ms);

/* Queries and access to the key maps. */
bool RsGranter_MayPlan(const struct rs_granter *granter, int64_t now_ms);
bool RsGranter_HasAuthority(const struct rs_granter *granter, int64_t now_ms);
uint32_t RsGranter_Strength(double cpu_share, double link_mbps);
bool RsGranter_LeaseReadIsDue(const struct rs_granter *granter,
                              int64_t last_read_at_ms, bool upstream_current,
                              int64_t now_ms);
struct rs_keymap *RsGranter_DecodeRow(const char *key, const char *value,
                                      uint64_t version);
void RsGranter_RecordFences(struct rs_granter *granter,
                            const struct rs_keymap *map);
char *RsGranter_LeaseKey(uint32_t era);
char *RsGranter_MapKey(uint32_t era, const char *service);
bool RsGranter_ParseMapKey(const char *key, uint32_t *era,
                           const char **service);
struct rs_granter_map *RsGranter_FindMap(struct rs_granter *granter,
                                         const char *service);
struct rs_granter_map *RsGranter_AddMap(struct rs_granter *granter,
                                        const char *service);

#endif
