/* A stand-in of a target: it takes grants of keys, runs requests, reports
 * itself to the store, and goes wrong by command. What it holds and runs is
 * told to the check. */

#ifndef RATTANSHED_SOAK_TARGET_H
#define RATTANSHED_SOAK_TARGET_H

#include <uv.h>

#include "soak/check.h"
#include "soak/store.h"
#include "standin/link_lane.h"

struct rs_soak_target_options {
    uv_loop_t *loop;
    uint32_t number;
    const char *service;
    const char *zone;
    bool sharded;
    uint16_t port;      /* behind the lane */
    uint16_t lane_port; /* where nodes reach it */
    uint32_t work_ms;
    struct rs_check *check;
    struct rs_soak_store *store;
    GRand *random;
};

/* Faults that are planted to see that the check catches them. */
enum rs_soak_plant {
    RsSoakPlant_NONE,
    RsSoakPlant_OWNER, /* a target takes keys that nobody granted */
    RsSoakPlant_TWICE, /* a request is run again */
    RsSoakPlant_MIXED, /* a body is changed on its way */
};

struct rs_soak_target;

struct rs_soak_target *
RsSoakTarget_Open(const struct rs_soak_target_options *options);
struct rs_link_lane *RsSoakTarget_Lane(const struct rs_soak_target *target);

void RsSoakTarget_Start(struct rs_soak_target *target, bool new_id);
void RsSoakTarget_Crash(struct rs_soak_target *target);
void RsSoakTarget_Leave(struct rs_soak_target *target);
void RsSoakTarget_SetSlow(struct rs_soak_target *target, uint32_t factor);
void RsSoakTarget_SetLateOrders(struct rs_soak_target *target, bool late);
void RsSoakTarget_SetReports(struct rs_soak_target *target, bool on);
void RsSoakTarget_Plant(struct rs_soak_target *target,
                        enum rs_soak_plant plant);
bool RsSoakTarget_IsUp(const struct rs_soak_target *target);

/* The signature of the answer that a target makes for a request. */
char *RsSoakTarget_Signature(const char *request_id);

#endif
