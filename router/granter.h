/* Decides who may grant keys, and sends grants and releases while this node
 * is the one. A state machine without I/O: answers and the time come in,
 * commits and orders go out through a table of functions.
 *
 * The granter is the node whose name stands in the lease row of the store.
 * It keeps its authority for a while after each commit that the store has
 * confirmed, counted from before the commit was sent. A grant under a fence
 * that stands in the store may be renewed by any granter. A new owner gets
 * its first grant only when the former one has confirmed its release, has a
 * new life, or can't hold the keys any longer. */

#ifndef RATTANSHED_ROUTER_GRANTER_H
#define RATTANSHED_ROUTER_GRANTER_H

#include <stdbool.h>
#include <stdint.h>

#include "platform/store.h"
#include "platform/wire.h"
#include "router/fleet.h"
#include "router/keymap.h"

#define RsGranter_LEASE_TABLE "rattanshed-lease"
#define RsGranter_LEASE_KEY "granter"
#define RsGranter_MAP_TABLE "rattanshed"
#define RsGranter_MAP_PREFIX "keys/" /* followed by the service */
#define RsGranter_MAX_MAPS 32        /* sharded services */

enum rs_granter_phase {
    RsGranter_OBSERVING,
    RsGranter_CLAIMING, /* a commit that takes the lease is under way */
    RsGranter_LOADING,  /* the maps are being read */
    RsGranter_LEADING,
};

/* What became of an order without an answer. */
enum rs_granter_order_error {
    RsGranter_NOT_SENT = -1,   /* it can't be applied */
    RsGranter_UNANSWERED = -2, /* it may have been, or may be later */
};

/* The map of one service, as the granter has it. */
struct rs_granter_map {
    struct rs_keymap *map;
    uint64_t row_version;
    uint64_t committed_fence; /* fences below it stand in the store */
    uint64_t offered_fence;   /* the same, in the commit under way */
    bool dirty;               /* differs from the row */
    bool offered;             /* is part of the commit under way */
};

struct rs_order {
    bool release; /* a grant otherwise */
    const char *service;
    const char *target_id;
    struct rs_wire_grant grant;
    int64_t send_before_ms; /* the granter's authority ends then */
};

struct rs_granter;

struct rs_granter_actions {
    void (*commit)(void *arg, const struct rs_store_commit *commit);
    void (*load_maps)(void *arg);
    void (*order)(void *arg, const struct rs_order *order);
    /* A loaded map names this owner. */
    void (*owner)(void *arg, const struct rs_owner *owner);
};

struct rs_granter_options {
    const char *node;      /* name of this node */
    const char *peer_host; /* where reports for the granter go */
    uint32_t peer_port;
    uint64_t incarnation; /* of this process */
    uint32_t max_hold_ms;
    uint32_t strength; /* of this node's VM, thousandths of a core */
    const struct rs_granter_actions *actions;
    void *arg;
    const struct rs_fleet *fleet;
};

struct rs_granter_lease {
    char node[128]; /* empty when it was given up */
    char peer_host[64];
    uint32_t peer_port;
    uint64_t incarnation;
    uint32_t nodes;     /* that route requests; 0: unknown */
    uint32_t strongest; /* the most strength of a node; 0: unknown */
};

struct rs_granter {
    struct rs_granter_options options;
    enum rs_granter_phase phase;
    struct rs_granter_lease holder; /* by the row as last seen */
    uint64_t lease_version;
    int64_t lease_seen_ms; /* when this version was first seen */
    bool lease_known;      /* the row was read at least once */
    int64_t lease_read_ms; /* last answer of the store about it */
    bool committing;
    bool last_commit_done;
    uint32_t claims_failed; /* in a row, for want of an answer */
    bool resigning;
    bool yielding; /* resigns for a stronger node; may claim again later */
    int64_t elected_ms;
    int64_t next_yield_ms;
    bool resign_offered; /* by the commit under way */
    int64_t commit_sent_ms;
    int64_t next_commit_ms;
    int64_t authority_until_ms;
    int64_t confirmed_ms; /* last confirmed commit */
    uint32_t nodes;       /* as this node counts them; goes into the row */
    uint32_t strongest;   /* the same */
    bool long_holds;      /* the store does not answer; grants bridge that */
    struct rs_granter_map maps[RsGranter_MAX_MAPS];
    size_t map_count;
};

void RsGranter_Init(struct rs_granter *granter,
                    const struct rs_granter_options *options);

/* What came in. */
void RsGranter_LeaseRead(struct rs_granter *granter, uint64_t version,
                         const char *value, int64_t now_ms);
/* Another node knows of a newer holder. */
void RsGranter_LeaseTold(struct rs_granter *granter,
                         const struct rs_granter_lease *lease,
                         uint64_t version, int64_t now_ms);
void RsGranter_LeaseHeard(struct rs_granter *granter, uint64_t incarnation,
                          uint64_t version, int64_t now_ms);
void RsGranter_Committed(struct rs_granter *granter,
                         enum rs_store_status status,
                         const struct rs_store_rows *rows, int64_t now_ms);
void RsGranter_MapsLoaded(struct rs_granter *granter,
                          enum rs_store_status status,
                          const struct rs_store_rows *rows, int64_t now_ms);
void RsGranter_OrderAnswered(struct rs_granter *granter,
                             const struct rs_order *order, int status,
                             const char *handover, int64_t now_ms);
void RsGranter_Tick(struct rs_granter *granter, int64_t now_ms);
void RsGranter_Resign(struct rs_granter *granter, int64_t now_ms);
void RsGranter_MayYield(struct rs_granter *granter, uint32_t strongest,
                        int64_t now_ms);

/* What others may know and change. */
bool RsGranter_MayPlan(const struct rs_granter *granter, int64_t now_ms);
bool RsGranter_HasAuthority(const struct rs_granter *granter, int64_t now_ms);
uint32_t RsGranter_Strength(double cpu_share, double link_mbps);
bool RsGranter_LeaseIsDue(const struct rs_granter *granter, int64_t read_ms,
                          bool fed, int64_t now_ms);
/* Rows that hold a map; NULL for others, and for those that can't be read. */
struct rs_keymap *RsGranter_DecodeRow(const char *key, const char *value,
                                      uint64_t version);
char *RsGranter_RowKey(const struct rs_keymap *map);
struct rs_granter_map *RsGranter_FindMap(struct rs_granter *granter,
                                         const char *service);
struct rs_granter_map *RsGranter_AddMap(struct rs_granter *granter,
                                        const char *service);

#endif
