/* The ramp of a target that has just started: how much of its slots it may
 * get, and how many connections to have open to it. Plain state machine. */

#ifndef RATTANSHED_DISPATCH_RAMP_H
#define RATTANSHED_DISPATCH_RAMP_H

#include <stdbool.h>
#include <stdint.h>

struct rs_ramp;

struct rs_ramp_policy {
    const char *name;
    uint32_t (*ceiling)(const struct rs_ramp *ramp, int64_t now_ms);
    uint32_t (*connections)(const struct rs_ramp *ramp, int64_t now_ms);
    void (*refused)(struct rs_ramp *ramp, int64_t now_ms);
    void (*slowed)(struct rs_ramp *ramp, int64_t now_ms);
};

struct rs_ramp_options {
    const struct rs_ramp_policy *policy;
    uint32_t slots;
    uint32_t window;
    uint32_t cold_ms;
    uint32_t connections;        /* when warm */
    uint32_t connection_cost_us; /* of the target's time */
    double connection_share;     /* of its time that connecting may take */
};

/* A value type; owns nothing. */
struct rs_ramp {
    struct rs_ramp_options options;
    bool contacted;
    bool refuses_connections;
    bool cold;
    uint64_t start_id;
    double share; /* of the slots, at `share_at_ms`; rises from there */
    int64_t share_at_ms;
    int64_t connecting_since_ms;
    int64_t paused_until_ms;
    int64_t next_cut_ms;
    uint32_t pause_ms;
    int64_t latest_warm_ms; /* slow answers hold it back no longer */
    double warm_latency_us;
    double cold_latency_us;
};

extern const struct rs_ramp_policy rs_ramp_adaptive;
extern const struct rs_ramp_policy rs_ramp_linear;
extern const struct rs_ramp_policy rs_ramp_none;

const struct rs_ramp_policy *RsRamp_FindPolicy(const char *name);
void RsRamp_Start(struct rs_ramp *ramp, const struct rs_ramp_options *options);

/* What was seen of the target */
void RsRamp_KnownWarm(struct rs_ramp *ramp, int64_t now_ms, uint64_t start_id);
void RsRamp_Connected(struct rs_ramp *ramp, int64_t now_ms);
void RsRamp_ConnectFailed(struct rs_ramp *ramp);
void RsRamp_SawStartId(struct rs_ramp *ramp, int64_t now_ms,
                       uint64_t start_id);
void RsRamp_RefusedCold(struct rs_ramp *ramp, int64_t now_ms);
void RsRamp_Answered(struct rs_ramp *ramp, int64_t now_ms, int64_t latency_us);

/* What it may get now */
uint32_t RsRamp_Ceiling(struct rs_ramp *ramp, int64_t now_ms);
uint32_t RsRamp_Connections(const struct rs_ramp *ramp, int64_t now_ms);
int64_t RsRamp_NextChangeMs(const struct rs_ramp *ramp, int64_t now_ms);

#endif
