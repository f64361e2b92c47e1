/* Keys with more requests than any target can run: how the granter recognises
 * them, and how nodes admit their requests. No I/O.
 *
 * Load pattern: 40% of all requests are for one key, through all nodes, from
 * one second to the next; its owner runs a tenth of them or less. All nodes
 * admit the same share of their requests for the key and refuse the others at
 * once, so that other keys of the owner are served. */

#ifndef RATTANSHED_ROUTER_HOT_KEYS_H
#define RATTANSHED_ROUTER_HOT_KEYS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "router/key_rates.h"

#define RsHotKeys_MAX 64    /* 51 are expected at the design scale */
#define RsHotKeys_PLACES 32 /* callers of one key that are to come back */

/* A refused caller that will be admitted when it comes back. */
struct rs_hot_key_place {
    uint64_t fingerprint; /* of the request; 0: no place */
    int64_t at_ms;
};

struct rs_hot_key {
    const char *service; /* interned */
    uint32_t key;
    double demand_per_s;   /* requests a second, of all nodes */
    double admitted_per_s; /* of these, the requests that its owner can run */
    int64_t stated_at_ms;  /* when the granter last named it */
    double pace;           /* on the granter; see RsHotKeys_SetPace() */
    /* Of this node. */
    double own_per_s; /* moving average of its requests for the key */
    int64_t own_at_ms;
    double credit; /* admitted fraction carried over to the next request */
    int64_t credit_at_ms;
    int64_t queue_end_ms; /* when the last of the places is due */
    struct rs_hot_key_place places[RsHotKeys_PLACES];
    uint32_t next_place;
};

struct rs_hot_keys {
    struct rs_hot_key keys[RsHotKeys_MAX];
    size_t count;
    bool known; /* on the granter: all hot keys have been recognised */
};

/* A request for a key, for admission. */
struct rs_hot_key_request {
    const char *service; /* interned */
    uint32_t key;
    uint64_t fingerprint;
    int64_t deadline_ms;
};

struct rs_hot_key *RsHotKeys_Find(struct rs_hot_keys *hot, const char *service,
                                  uint32_t key);

/* On the granter. */
void RsHotKeys_Detect(struct rs_hot_keys *hot, const char *service,
                      const struct rs_key_rates *rates, double fastest_per_s,
                      int64_t now_ms);
void RsHotKeys_SetPace(struct rs_hot_key *hot, double outstanding,
                       double slots);

/* On each node. */
void RsHotKeys_Record(struct rs_hot_keys *hot, const struct rs_hot_key *stated,
                      int64_t now_ms);
void RsHotKeys_DropUnnamed(struct rs_hot_keys *hot, int64_t now_ms);
int64_t RsHotKeys_Admit(struct rs_hot_keys *hot,
                        const struct rs_hot_key_request *request,
                        int64_t now_ms);

#endif
