/* The targets that are known, each with its report and the load that this
 * node sees of it. No I/O. */

#ifndef RATTANSHED_ROUTER_FLEET_H
#define RATTANSHED_ROUTER_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/report.h"
#include "router/rows.h"

struct rs_fleet_target {
    const char *id; /* interned */
    struct rs_report report;
    bool listed;              /* its row stands in the store */
    bool seen;                /* by the whole reading in progress */
    bool replaced;            /* another target answers at its address */
    int64_t lapse_at_ms;      /* unlisted, but believed in until then */
    int64_t leaving_since_ms; /* draining or unlisted since; 0 if neither */
    int64_t cold_until_ms;
    int64_t turned_cold_ms; /* while it was serving; 0: it was not */
    /* Load, as this node sees it. */
    uint32_t in_flight;
    struct rs_load load;
    int64_t load_at_ms;         /* 0 when there was none */
    uint32_t in_flight_at_load; /* of this node */
    uint32_t elsewhere;         /* in flight from other nodes */
    int64_t elsewhere_at_ms;
    int64_t full_until_ms; /* it refused one for want of room */
    /* Requests a second for its keys, if that is more than it can run. */
    double demand_per_s; /* 0: it is not */
    int64_t demand_at_ms;
    double admission;    /* what part of the next request is admitted so far */
    double service_ms;   /* moving average of the work on one request */
    uint32_t answers;    /* that it is made of */
    int64_t answered_ms; /* the last one; 0: none */
    double shared_service_ms;       /* mean over all nodes; 0: unknown */
    int64_t order_failing_since_ms; /* orders had no answer since; 0: have */
    uint32_t failures;              /* in a row */
    int64_t avoid_until_ms;
    int64_t next_cold_send_ms;
    GQueue idle; /* connections, see router/exchange.c */
    uint32_t connections;
};

struct rs_fleet_events {
    /* The target has a new life, or is gone: close its connections. */
    void (*reset)(void *arg, struct rs_fleet_target *target);
};

struct rs_fleet {
    GHashTable *targets; /* id to struct rs_fleet_target */
    GPtrArray *list;     /* the same, in the order in which they were found */
    GHashTable
        *evacuated; /* interned zone to int64_t, when this node saw it */
    const struct rs_fleet_events *events;
    void *arg;
    int64_t store_lost_at_ms; /* last failure of the store */
    int64_t store_back_at_ms; /* first success after it */
    int64_t store_good_at_ms; /* last success; 0: none yet */
    int64_t outage_at_ms;     /* last failure of one that went on for long */
};

void RsFleet_Init(struct rs_fleet *fleet, const struct rs_fleet_events *events,
                  void *arg);

void RsFleet_Clear(struct rs_fleet *fleet);

/* What the store holds. */
enum rs_rows_news RsFleet_TakeRow(struct rs_fleet *fleet, const char *id,
                                  const char *value, int64_t now_ms);
void RsFleet_DropRow(struct rs_fleet *fleet, const char *id, int64_t now_ms);
void RsFleet_Remember(struct rs_fleet *fleet, const char *id, int64_t born_ms,
                      const char *address);
void RsFleet_SetEvacuated(struct rs_fleet *fleet, const char *zone,
                          bool evacuated, int64_t now_ms);
void RsFleet_NoteStore(struct rs_fleet *fleet, bool reachable, int64_t now_ms);

struct rs_fleet_target *RsFleet_Find(const struct rs_fleet *fleet,
                                     const char *id);
bool RsFleet_IsListed(const struct rs_fleet_target *target, int64_t now_ms);
bool RsFleet_MayTakeWork(const struct rs_fleet *fleet,
                         const struct rs_fleet_target *target, int64_t now_ms);

bool RsFleet_MayKeepWork(const struct rs_fleet *fleet,
                         const struct rs_fleet_target *target, int64_t now_ms);

/* What this node saw of a target. */
void RsFleet_NoteLoad(struct rs_fleet_target *target,
                      const struct rs_load *load, int64_t now_ms);
double RsFleet_Rounds(const struct rs_fleet_target *target, double ahead);
void RsFleet_NoteAnswer(struct rs_fleet_target *target, double elapsed_ms,
                        uint32_t ahead, int64_t now_ms);
bool RsFleet_AnsweredLately(const struct rs_fleet_target *target,
                            int64_t now_ms);
void RsFleet_NoteFailure(struct rs_fleet_target *target, int64_t now_ms);
void RsFleet_NoteFull(struct rs_fleet_target *target, int64_t now_ms);

#endif
