/* Shared by the tests of this package: reports as targets write them, and a
 * world of nodes, targets and a store for the granter. */

#ifndef RATTANSHED_ROUTER_FIXTURE_H
#define RATTANSHED_ROUTER_FIXTURE_H

#include "router/fleet.h"
#include "router/granter.h"

struct rs_fixture_report {
    const char *id;
    const char *service;
    const char *zone;
    uint32_t port; /* at 127.0.0.1 */
    int64_t born_ms;
    uint64_t sequence;
    bool draining;
    uint32_t cold_left_ms;
};

enum rs_rows_news RsFixture_Report(struct rs_fleet *fleet,
                                   const struct rs_fixture_report *report,
                                   int64_t now_ms);
const struct rs_fleet_events *RsFixture_FleetEvents(void);

/* The world: see router/fixture.c. */
#define RsFixture_NODES 3
#define RsFixture_TARGETS 4
#define RsFixture_STRONG 2 /* this node's VM is stronger than the others */

struct rs_world;

enum rs_fixture_fault {
    RsFixture_COMMIT_ANSWER_LOST,
    RsFixture_GRANT_ANSWER_LOST,
    RsFixture_GRANT_LATE,
    RsFixture_RELEASE_LOST,
    RsFixture_STORE_DOWN,
    RsFixture_NODE_RESTARTED,
    RsFixture_NODE_FROZEN,
    RsFixture_TARGET_RESTARTED,
    RsFixture_NODE_RESIGNED,
    RsFixture_FAULTS
};

struct rs_world *RsWorld_New(void);
void RsWorld_Free(struct rs_world *world);
void RsWorld_Step(struct rs_world *world, int64_t span_ms);
void RsWorld_Inject(struct rs_world *world, enum rs_fixture_fault fault,
                    uint32_t which, int64_t for_ms);
void RsWorld_MoveKeys(struct rs_world *world, uint32_t first_key,
                      uint32_t last_key, uint32_t target);

/* Has the granter leave the lease to a stronger node, if there is one. */
void RsWorld_Yield(struct rs_world *world);

/* What the oracle saw. */
const char *RsWorld_Violation(const struct rs_world *world);
uint32_t RsWorld_OwnedKeys(const struct rs_world *world);
int RsWorld_Granter(const struct rs_world *world); /* -1: none */
int64_t RsWorld_NowMs(const struct rs_world *world);

#endif
