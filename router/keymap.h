/* The key map of one service: ranges that cover the whole key space, each with
 * its owner and the fence of its grant. No I/O. */

#ifndef RATTANSHED_ROUTER_KEYMAP_H
#define RATTANSHED_ROUTER_KEYMAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RsKeymap_KEYS 65536 /* keys are 0 to 65535 */

/* One process of a target; a restarted target is another owner. */
struct rs_owner {
    const char *id; /* interned; NULL for nobody */
    int64_t started_wall_ms;
    const char *address; /* interned "IP:PORT"; NULL: unknown */
};

/* State of the orders for one range; used by the granter only. */
struct rs_range_orders {
    bool grant_in_flight;
    bool release_in_flight;
    /* The former owner has confirmed its release, or has `ended`: another
     * target has answered at its address. Set until the next move. */
    bool released;
    bool ended;
    int64_t next_grant_at_ms;
    int64_t next_release_at_ms;
    int64_t hold_until_ms;        /* latest end of the owner's grants */
    int64_t former_hold_until_ms; /* the same for the former owner */
    char *handover; /* text from the former owner's release; NULL: none */
    /* The fence of the owner's grants if it is above that of the range, which
     * the row has; 0: it is that. */
    uint64_t renewed_fence;
    /* The fence of the owner's grants has been sent. It is sent again only on
     * connections opened before the first time, see
     * RsExchange_NewestOpening(): on any other, another process of the owner
     * may run. */
    bool fence_sent;
    uint64_t newest_opening;
    uint64_t former_newest_opening; /* the same for the former owner */
    /* Unproven only: the owner has refused its fence, or nothing is known of
     * the last grants. No orders are sent. */
    bool blocked;
};

struct rs_key_range {
    uint32_t first_key;
    uint32_t last_key;     /* inclusive */
    struct rs_owner owner; /* `id` is NULL if none */
    uint64_t fence;        /* of the owner's grants */
    /* The previous owner, which may still hold the keys; `id` is NULL if
     * none. */
    struct rs_owner former;
    uint64_t former_fence;
    /* Another target may hold the keys, because the store has lost the last
     * changes of owners. The range is not moved. */
    bool unproven;
    struct rs_range_orders orders;
};

struct rs_keymap {
    const char *service; /* interned */
    uint64_t next_fence;
    /* Rows state this as the next fence if it is higher. Only the granter that
     * wrote the row uses lower ones. */
    uint64_t reserved_fence;
    GArray *ranges; /* struct rs_key_range, by ascending key */
};

struct rs_keymap *RsKeymap_New(const char *service);
void RsKeymap_Free(struct rs_keymap *map);

/* Conversion to and from the value of a row in the store. */
char *RsKeymap_Encode(const struct rs_keymap *map);
struct rs_keymap *RsKeymap_Decode(const char *service, const char *value);

struct rs_key_range *RsKeymap_GetRange(const struct rs_keymap *map,
                                       size_t index);
struct rs_key_range *RsKeymap_FindRange(const struct rs_keymap *map,
                                        uint32_t key);
uint64_t RsKeymap_GrantFence(const struct rs_key_range *range);
bool RsKeymap_SameOwner(const struct rs_owner *a, const struct rs_owner *b);

/* Changes of owners. */
bool RsKeymap_Move(struct rs_keymap *map, uint32_t first_key,
                   uint32_t last_key, const struct rs_owner *to);
void RsKeymap_UndoMove(struct rs_key_range *range);
void RsKeymap_ClearFormer(struct rs_key_range *range);
size_t RsKeymap_MergeRanges(struct rs_keymap *map);

#endif
