/* Slow start of a target whose process has just started ("cold"): how many
 * requests may be in flight to it, and how many connections to keep open to
 * it. Except with policy `none`, the usable share of its slots rises from 0 to
 * 1 over `cold_ms`, with at least one request allowed. Policy `adaptive`
 * delays the rise when the target refuses requests as cold or answers slowly;
 * while the share is small, a refusal also stops all requests for a pause.
 * This is a pure state machine. */

#ifndef RATTANSHED_DISPATCH_RAMP_H
#define RATTANSHED_DISPATCH_RAMP_H

#include <stdbool.h>
#include <stdint.h>

struct rs_ramp;

struct rs_ramp_policy {
    const char *name;
    /* See RsRamp_Ceiling() and RsRamp_Connections(). */
    uint32_t (*ceiling)(const struct rs_ramp *ramp, int64_t now_ms);
    uint32_t (*connections)(const struct rs_ramp *ramp, int64_t now_ms);
    /* Called when the target refused a request because it is cold. */
    void (*refused)(struct rs_ramp *ramp, int64_t now_ms);
    /* Called after an answer if the target is cold and answers much more
     * slowly than when it was warm. */
    void (*slowed)(struct rs_ramp *ramp, int64_t now_ms);
};

struct rs_ramp_options {
    const struct rs_ramp_policy *policy;
    uint32_t slots;
    uint32_t window;
    uint32_t cold_ms;            /* time of the rise to 1; 0: never cold */
    uint32_t connections;        /* most connections to keep open */
    uint32_t connection_cost_us; /* target's time to accept a connection */
    /* largest part of the target's time to spend on accepting connections */
    double connection_share;
};

/* A value type; owns nothing. */
struct rs_ramp {
    struct rs_ramp_options options;
    /* a connection was established, or RsRamp_MarkWarm() was called */
    bool contacted;
    bool last_connect_failed;
    bool cold;
    uint64_t start_id; /* of the target's process; 0 if unknown */
    /* share of the slots at `share_changed_at_ms`, from which it rises; valid
     * while cold */
    double share;
    int64_t share_changed_at_ms;
    int64_t connecting_since_ms; /* since when RsRamp_Connections() rises */
    int64_t paused_until_ms;     /* no requests before this while cold */
    int64_t next_cut_at_ms;      /* no further cut of the share before this */
    uint32_t pause_ms;           /* length of the next pause */
    /* slow answers can delay the rise of the share only until then */
    int64_t delay_allowed_until_ms;
    double warm_latency_us; /* moving average; 0 if unknown */
    double cold_latency_us; /* the same while the target is cold */
};

extern const struct rs_ramp_policy rs_ramp_adaptive;
extern const struct rs_ramp_policy rs_ramp_linear;
extern const struct rs_ramp_policy rs_ramp_none;

const struct rs_ramp_policy *RsRamp_FindPolicy(const char *name);
void RsRamp_Init(struct rs_ramp *ramp, const struct rs_ramp_options *options);

/* State of the target: set by RsRamp_MarkWarm(), otherwise observed */
void RsRamp_MarkWarm(struct rs_ramp *ramp, int64_t now_ms, uint64_t start_id);
void RsRamp_RecordConnect(struct rs_ramp *ramp, int64_t now_ms);
void RsRamp_RecordConnectFailure(struct rs_ramp *ramp);
void RsRamp_RecordStartId(struct rs_ramp *ramp, int64_t now_ms,
                          uint64_t start_id);
void RsRamp_RecordColdRefusal(struct rs_ramp *ramp, int64_t now_ms);
void RsRamp_RecordAnswer(struct rs_ramp *ramp, int64_t now_ms,
                         int64_t latency_us);

/* Current bounds */
uint32_t RsRamp_Ceiling(struct rs_ramp *ramp, int64_t now_ms);
uint32_t RsRamp_Connections(const struct rs_ramp *ramp, int64_t now_ms);
int64_t RsRamp_NextChangeAtMs(const struct rs_ramp *ramp, int64_t now_ms);

#endif
