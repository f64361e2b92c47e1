/* The known targets, each with its last report and its load as seen by this
 * node. No I/O. */

#ifndef RATTANSHED_ROUTER_FLEET_H
#define RATTANSHED_ROUTER_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/report.h"
#include "router/concurrency.h"
#include "router/limit.h"
#include "router/reachability.h"
#include "router/table_copy.h"

/* What connections to targets are used for. */
enum rs_fleet_use {
    RsFleet_REQUESTS,
    RsFleet_ORDERS,
    RsFleet_USES, /* number of uses */
};

/* A row that has no effect yet. */
struct rs_fleet_held_row {
    struct rs_target_report report;
    int64_t at_ms; /* when it came */
    /* See rs_fleet; of the first row that reported the same state. */
    int64_t rows_current_at_ms;
};

struct rs_fleet_target {
    const char *id; /* interned */
    struct rs_target_report report;
    bool listed;            /* it has a row in the store */
    bool seen;              /* unused */
    int64_t known_since_ms; /* when its present process was first reported */
    /* A younger target is listed at its address, as its row says. It gets no
     * requests; whether it still holds keys is asked at the address. */
    bool replaced;
    /* Its last row if that names an earlier start than the present process
     * has: the time of day was set back before the target started again, or a
     * former process wrote late. It takes effect at `believe_at_ms` unless the
     * present process reports before; 0: there is none. */
    struct rs_fleet_held_row doubted;
    int64_t believe_at_ms;
    int64_t lapse_at_ms; /* if unlisted, it may be used until then */
    /* The earliest time at which it may have begun to drain or, if unlisted,
     * the time at which it lapses; 0: neither. */
    int64_t leaving_since_ms;
    /* When its present process said in a response that it leaves; 0: never. */
    int64_t said_leaving_at_ms;
    /* It has refused a request of this node and wants no others until then. */
    int64_t closed_until_ms;
    struct rs_limit limit; /* as stated by its present process */
    int64_t cold_until_ms;
    /* When its last cold phase began; 0 if that was the start of its
     * process. */
    int64_t turned_cold_at_ms;
    /* Load as seen by this node. */
    uint32_t in_flight;
    struct rs_target_load load;
    int64_t load_at_ms;         /* 0: none was reported */
    uint32_t in_flight_at_load; /* this node's requests when `load` came */
    uint32_t elsewhere;         /* in flight from other nodes, as reported */
    int64_t elsewhere_at_ms;
    /* After the target refused a request for lack of room, it gets no requests
     * until `full_until_ms`. */
    int64_t full_until_ms;
    /* Load of its keys in requests a second, as planned by the granter, if
     * more than its capacity; see RsLoad_CapacityPerS(). */
    double demand_per_s; /* 0: not overloaded */
    int64_t demand_at_ms;
    double admission;  /* admitted fraction carried over to the next request */
    double service_ms; /* moving average of the service time */
    uint32_t answers;  /* number of samples in service_ms */
    int64_t answered_at_ms;            /* last answer; 0: none */
    double shared_service_ms;          /* mean of all nodes; 0: unknown */
    struct rs_concurrency concurrency; /* unused unless load.adaptive is set */
    struct rs_reachability reachability; /* by the granter's orders */
    uint32_t failures;                   /* of requests, consecutive */
    int64_t avoid_until_ms;
    int64_t next_cold_send_at_ms;
    /* See router/paths.c: until when it is connected to through other nodes,
     * and until when it is not because they have failed, too. */
    int64_t through_peers_until_ms;
    int64_t direct_until_ms;
    /* Of this node, for each use; see router/exchange.c. */
    GQueue idle[RsFleet_USES];          /* idle connections */
    uint32_t connections[RsFleet_USES]; /* open or being opened */
};

/* What a target has stated of its limit. */
struct rs_fleet_limit_notice {
    double per_s;         /* requests a second; negative: no limit */
    int64_t stated_at_ms; /* when the response came */
    const char *source;   /* who told this node, for the log */
};

struct rs_fleet_events {
    /* Called when a process of the target is first reported, or when another
     * target has taken the target's address. Connections to the old process
     * must be closed then. */
    void (*reset)(void *arg, struct rs_fleet_target *target);
};

struct rs_fleet {
    GHashTable *targets; /* interned id to struct rs_fleet_target */
    GPtrArray *list;     /* the same, in the order of discovery */
    /* Interned names of the services that the configuration names; NULL before
     * the first one. */
    GHashTable *services;
    /* Interned id to struct rs_fleet_held_row: the last row of an id if it
     * names a service that is not in `services`. */
    GHashTable *held_rows;
    /* Interned zone to int64_t, the earliest time at which its evacuation may
     * have been requested. */
    GHashTable *evacuated;
    /* How long a leaving target accepts requests, see settings/node.h. */
    uint32_t drain_ms;
    /* When the target table was last known to be up to date, before the rows
     * that are being applied; 0: never. */
    int64_t rows_current_at_ms;
    /* No doubted row takes effect before; 0: there is none. */
    int64_t next_belief_at_ms;
    const struct rs_fleet_events *events;
    void *arg;
    int64_t store_lost_at_ms;     /* last failed call */
    int64_t store_back_at_ms;     /* last success that followed a failure */
    int64_t store_answered_at_ms; /* last success; 0: none yet */
    /* Last call that failed so long after a success that the store counts as
     * unavailable; 0: none. */
    int64_t outage_at_ms;
};

void RsFleet_Init(struct rs_fleet *fleet, const struct rs_fleet_events *events,
                  void *arg);
void RsFleet_SetDrainMs(struct rs_fleet *fleet, uint32_t drain_ms);

void RsFleet_Clear(struct rs_fleet *fleet);
void RsFleet_Tick(struct rs_fleet *fleet, int64_t now_ms);

/* Update from the configuration. */
void RsFleet_SetServices(struct rs_fleet *fleet, const char *const *names,
                         size_t count);

/* Updates from the store. */
void RsFleet_RecordRowsCurrent(struct rs_fleet *fleet, int64_t at_ms);
enum rs_row_effect RsFleet_ApplyRow(struct rs_fleet *fleet, const char *id,
                                    const char *value, int64_t now_ms);
void RsFleet_RemoveRow(struct rs_fleet *fleet, const char *id, int64_t now_ms);
void RsFleet_AddUnlisted(struct rs_fleet *fleet, const char *id,
                         int64_t started_wall_ms, const char *address);
void RsFleet_SetEvacuated(struct rs_fleet *fleet, const char *zone,
                          bool evacuated, int64_t since_ms);
void RsFleet_RecordStoreCall(struct rs_fleet *fleet, bool reachable,
                             int64_t now_ms);
void RsFleet_RecordRestore(struct rs_fleet *fleet, int64_t now_ms);

struct rs_fleet_target *RsFleet_Find(const struct rs_fleet *fleet,
                                     const char *id);
bool RsFleet_IsListed(const struct rs_fleet_target *target, int64_t now_ms);
bool RsFleet_MayTakeWork(const struct rs_fleet *fleet,
                         const struct rs_fleet_target *target, int64_t now_ms);

bool RsFleet_MayKeepWork(const struct rs_fleet *fleet,
                         const struct rs_fleet_target *target, int64_t now_ms);
int64_t RsFleet_LeavingForMs(const struct rs_fleet_target *target,
                             int64_t now_ms);
bool RsFleet_IsClosed(const struct rs_fleet_target *target, int64_t now_ms);

/* What a process of the target says of itself in its responses. Nothing
 * happens if another process of the target runs by now. */
bool RsFleet_RecordLeaving(struct rs_fleet_target *target,
                           int64_t started_wall_ms, int64_t now_ms);
void RsFleet_RecordClosed(struct rs_fleet_target *target,
                          int64_t started_wall_ms, int64_t until_ms);
bool RsFleet_RecordLimit(struct rs_fleet_target *target,
                         int64_t started_wall_ms,
                         const struct rs_fleet_limit_notice *notice,
                         int64_t now_ms);

/* Recording what this node observes of a target (loads, responses, failures
 * and refusals), and estimates based on it. */
void RsFleet_RecordLoad(struct rs_fleet_target *target,
                        const struct rs_target_load *load, int64_t now_ms);
double RsFleet_QueueingFactor(const struct rs_fleet_target *target,
                              double ahead);
double RsFleet_AnswerQueueingFactor(const struct rs_fleet_target *target,
                                    uint32_t ahead, int64_t now_ms);
void RsFleet_RecordAnswer(struct rs_fleet_target *target, double elapsed_ms,
                          uint32_t ahead, int64_t now_ms);
bool RsFleet_AnsweredRecently(const struct rs_fleet_target *target,
                              int64_t now_ms);
void RsFleet_RecordFailure(struct rs_fleet_target *target, int64_t now_ms);
void RsFleet_RecordFull(struct rs_fleet_target *target, int64_t now_ms);

#endif
