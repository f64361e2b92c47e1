/* Admission control for owners of keys that are asked for more than they can
 * run: which requests are admitted, and until when an admitted one may wait.
 * No I/O. */

#ifndef RATTANSHED_ROUTER_OVERLOAD_H
#define RATTANSHED_ROUTER_OVERLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "router/fleet.h"

/* Ranks from this one on are treated alike. */
#define RsOverload_RANKS 8

/* How the requests of this node to one service are divided among the ranks.
 */
struct rs_overload_mix {
    double counts[RsOverload_RANKS]; /* decaying; see RsOverload_Count() */
    int64_t counted_at_ms;
};

/* What refused callers were told, by the fingerprints of their requests, see
 * RsRequest_Fingerprint(). Callers whose requests are alike share an entry. */
struct rs_overload_places {
    GHashTable *newer;
    GHashTable *older; /* entries before the last change of tables */
    int64_t changed_at_ms;
    /* Places reserved and taken lately; both are halved from time to time. */
    double reserved;
    double taken;
};

/* When a refused caller should come back. */
struct rs_overload_place {
    int64_t back_at_ms;
    bool reserved; /* it will be admitted then */
};

/* What is known of a request when it is decided on. */
struct rs_overload_request {
    uint32_t rank;
    int64_t arrived_at_ms;
    int64_t admitted_at_ms;
    int64_t latency_target_ms;
    int64_t wait_until_ms;
    bool has_place; /* it was refused and came back when it was told to */
};

bool RsOverload_IsOverloaded(const struct rs_fleet_target *target,
                             int64_t now_ms);
void RsOverload_Count(struct rs_overload_mix *mix, uint32_t rank,
                      int64_t now_ms);
double RsOverload_ShareOfRank(const struct rs_overload_mix *mix, uint32_t rank,
                              double share);
bool RsOverload_Admit(struct rs_fleet_target *target,
                      const struct rs_overload_mix *mix,
                      const struct rs_overload_places *places, uint32_t rank,
                      GRand *random, int64_t now_ms);
bool RsOverload_HasRoom(const struct rs_fleet_target *target,
                        const struct rs_overload_mix *mix,
                        const struct rs_overload_request *request,
                        int64_t now_ms);
int64_t RsOverload_WaitUntilMs(const struct rs_fleet_target *target,
                               const struct rs_overload_request *request,
                               int64_t now_ms);
struct rs_overload_place
RsOverload_DrawPlace(const struct rs_fleet_target *target,
                     const struct rs_overload_mix *mix, uint32_t rank,
                     int64_t time_left_ms, GRand *random, int64_t now_ms);

void RsOverload_InitPlaces(struct rs_overload_places *places);
void RsOverload_ClearPlaces(struct rs_overload_places *places);
bool RsOverload_HasPlaces(const struct rs_overload_places *places);
bool RsOverload_RecordPlace(struct rs_overload_places *places,
                            uint64_t fingerprint,
                            const struct rs_overload_place *place,
                            int64_t now_ms);
bool RsOverload_TakePlace(struct rs_overload_places *places,
                          uint64_t fingerprint, int64_t now_ms);

bool RsOverload_IsTooLate(const struct rs_fleet_target *target,
                          int64_t deadline_ms, int64_t now_ms);

#endif
