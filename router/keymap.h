/* Who owns which keys of one service: ranges that cover the whole key space,
 * each with its owner and the fence under which it has the keys. No I/O. */

#ifndef RATTANSHED_ROUTER_KEYMAP_H
#define RATTANSHED_ROUTER_KEYMAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RsKeymap_KEYS 65536 /* keys are 0 to 65535 */

/* One life of a target. */
struct rs_owner {
    const char *id; /* interned; NULL for nobody */
    int64_t born_ms;
    const char *address; /* interned "IP:PORT"; NULL when it isn't known */
};

/* Orders on the way to targets for one range; only the granter has them. */
struct rs_range_orders {
    bool grant_in_flight;
    bool release_in_flight;
    bool released; /* the former owner has given the keys up */
    int64_t next_grant_ms;
    int64_t next_release_ms;
    int64_t hold_until_ms;   /* latest end of the owner's answered grants */
    int64_t former_until_ms; /* the same of the former owner */
    char *handover;          /* word of the former owner; NULL: none */
};

struct rs_key_range {
    uint32_t first_key;
    uint32_t last_key; /* included */
    struct rs_owner owner;
    uint64_t fence;
    /* Not yet known to have stopped; `id` is NULL when nobody is in the way.
     */
    struct rs_owner former;
    uint64_t former_fence;
    struct rs_range_orders orders;
};

struct rs_keymap {
    const char *service; /* interned */
    uint64_t next_fence;
    GArray *ranges; /* struct rs_key_range, in the order of keys */
};

struct rs_keymap *RsKeymap_New(const char *service);
void RsKeymap_Free(struct rs_keymap *map);

/* The value of a row. */
char *RsKeymap_Encode(const struct rs_keymap *map);
struct rs_keymap *RsKeymap_Decode(const char *service, const char *value);

struct rs_key_range *RsKeymap_At(const struct rs_keymap *map, size_t index);
struct rs_key_range *RsKeymap_Find(const struct rs_keymap *map, uint32_t key);
bool RsKeymap_SameOwner(const struct rs_owner *a, const struct rs_owner *b);

/* Changes, each under a new fence. */
bool RsKeymap_Move(struct rs_keymap *map, uint32_t first_key,
                   uint32_t last_key, const struct rs_owner *to);
void RsKeymap_Settle(struct rs_key_range *range);
size_t RsKeymap_Join(struct rs_keymap *map);

#endif
