/* Shared by the tests of this component: reports as targets write them, and a
 * simulation of nodes, targets and a store for tests of the granter. */

#ifndef RATTANSHED_ROUTER_FIXTURE_H
#define RATTANSHED_ROUTER_FIXTURE_H

#include "router/fleet.h"
#include "router/granter.h"

struct rs_fixture_report {
    const char *id;
    const char *service;
    const char *zone;
    uint32_t port; /* on 127.0.0.1 */
    int64_t started_wall_ms;
    uint64_t sequence;
    bool draining;
    uint32_t warmup_left_ms;
};

enum rs_row_effect RsFixture_Report(struct rs_fleet *fleet,
                                    const struct rs_fixture_report *report,
                                    int64_t now_ms);
enum rs_row_effect
RsFixture_ReportUnnamed(struct rs_fleet *fleet,
                        const struct rs_fixture_report *report,
                        int64_t now_ms);
void RsFixture_NameService(struct rs_fleet *fleet, const char *service);
const struct rs_fleet_events *RsFixture_FleetEvents(void);
void RsFixture_InitFleet(struct rs_fleet *fleet, uint32_t target_count,
                         struct rs_fleet_target **targets, int64_t now_ms);

/* The simulation, see router/fixture.c. */
#define RsFixture_NODES 3
#define RsFixture_TARGETS 4
#define RsFixture_STRONG_NODE 2 /* its VM is the strongest */

struct rs_simulation;

enum rs_fixture_fault {
    RsFixture_COMMIT_ANSWER_LOST,
    RsFixture_GRANT_ANSWER_LOST,
    RsFixture_GRANT_LATE,
    RsFixture_RELEASE_ANSWER_LOST,
    RsFixture_STORE_DOWN,
    RsFixture_NODE_RESTARTED,
    RsFixture_NODE_FROZEN,
    RsFixture_TARGET_RESTARTED,
    RsFixture_NODE_RESIGNED,
    /* The store goes away and comes back from a copy. */
    RsFixture_STORE_RESTORED,
    /* The next grant to a target arrives late. The granter gives it up. */
    RsFixture_GRANT_HELD_UP,
    /* Orders to a target are not sent, except one that is held up already. */
    RsFixture_TARGET_CUT_OFF,
    /* The store refuses the calls of one node. */
    RsFixture_NODE_REFUSED,
    RsFixture_FAULTS
};

struct rs_simulation *RsSimulation_New(void);
struct rs_simulation *RsSimulation_NewSettled(uint32_t target,
                                              bool equal_nodes);
void RsSimulation_Free(struct rs_simulation *sim);
void RsSimulation_Advance(struct rs_simulation *sim, int64_t span_ms);
void RsSimulation_InjectFault(struct rs_simulation *sim,
                              enum rs_fixture_fault fault, uint32_t which,
                              int64_t for_ms);
void RsSimulation_MoveKeys(struct rs_simulation *sim, uint32_t first_key,
                           uint32_t last_key, uint32_t target);

/* Delays the reports of all targets. */
void RsSimulation_DelayReports(struct rs_simulation *sim, int64_t for_ms);

/* Lists another target at the address of a target, which goes on running. */
void RsSimulation_ListAtAddress(struct rs_simulation *sim, uint32_t number);

/* Ends a target; another one starts at its address. */
void RsSimulation_ReplaceTarget(struct rs_simulation *sim, uint32_t number);

/* Has another writer replace the row of the key map, or that of the lease, by
 * `value`. */
void RsSimulation_OverwriteMap(struct rs_simulation *sim, const char *value);
void RsSimulation_OverwriteLease(struct rs_simulation *sim, const char *value);

/* Has another writer delete one of these rows. */
void RsSimulation_DeleteMap(struct rs_simulation *sim);
void RsSimulation_DeleteLease(struct rs_simulation *sim);

/* Makes all nodes equally strong and well informed of the lease. */
void RsSimulation_MakeNodesEqual(struct rs_simulation *sim);

/* Makes a store that is restored tell its era also while it is away. */
void RsSimulation_TellEraOfNextRestore(struct rs_simulation *sim);

/* Tells the granter the strength of the strong node, to which it may yield the
 * lease. */
void RsSimulation_YieldIfStronger(struct rs_simulation *sim);

/* Results of the checks. */
const char *RsSimulation_Violation(const struct rs_simulation *sim);
bool RsSimulation_IsSound(const struct rs_simulation *sim);
uint32_t RsSimulation_CountHeldKeys(const struct rs_simulation *sim);
bool RsSimulation_Holds(const struct rs_simulation *sim, uint32_t target,
                        uint32_t key);
int RsSimulation_FindGranter(const struct rs_simulation *sim); /* -1: none */
int64_t RsSimulation_NowMs(const struct rs_simulation *sim);

#endif
