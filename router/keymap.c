#include "router/keymap.h"

#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_FENCE 1
#define NOBODY (-1) /* index that stands for no owner */
/* Fields of an encoded range. */
#define FIELDS 3
#define FORMER_FIELDS 2   /* added if it has a former owner */
#define UNPROVEN_FIELDS 1 /* added if it is unproven */
#define UNPROVEN_MARK 1

/* Creates a map without owners. `service` must be interned; the caller frees
 * the map with RsKeymap_Free(). */
struct rs_keymap *
RsKeymap_New(const char *service)
{
    struct rs_keymap *map = g_new0(struct rs_keymap, 1);
    const struct rs_key_range all = {.last_key = RsKeymap_KEYS - 1};
    map->service = service;
    map->next_fence = FIRST_FENCE;
    map->ranges = g_array_new(FALSE, TRUE, sizeof(struct rs_key_range));
    g_array_append_val(map->ranges, all);
    return map;
}

/* Frees a map; NULL is allowed. */
void
RsKeymap_Free(struct rs_keymap *map)
{
    if (map == NULL) {
        return;
    }
    for (size_t i = 0; i < map->ranges->len; i++) {
        g_free(RsKeymap_GetRange(map, i)->orders.handover);
    }
    g_array_unref(map->ranges);
    g_free(map);
}

/* Returns "ID@ADDRESS". Without a known address it is "ID", or "ID@" if the id
 * has an "@" of its own. The address lets a later granter ask the process at
 * it whether the owner still runs. The caller frees the text. */
static char *
owner_text(const struct rs_owner *owner)
{
    if (owner->address == NULL && strchr(owner->id, '@') == NULL) {
        return g_strdup(owner->id);
    }
    return g_strdup_printf("%s@%s", owner->id,
                           owner->address != NULL ? owner->address : "");
}

/* The distinct owners in a map, to which the encoded ranges refer by index,
 * since hundreds of ranges have few owners. They are sorted, so that indexes
 * change only when an owner is added or removed. */
struct owner_list {
    GPtrArray *names;    /* "ID@ADDRESS STARTED_MS" */
    GHashTable *indexes; /* name to index */
};

/* Returns "ID@ADDRESS STARTED_MS"; the caller frees it. */
static char *
owner_name(const struct rs_owner *owner)
{
    char *text = owner_text(owner);
    char *name = g_strdup_printf("%s %" PRId64, text, owner->started_wall_ms);
    g_free(text);
    return name;
}

static void
add_owner(struct owner_list *list, const struct rs_owner *owner)
{
    if (owner->id == NULL) {
        return;
    }
    char *name = owner_name(owner);
    if (g_hash_table_contains(list->indexes, name)) {
        g_free(name);
        return;
    }
    g_hash_table_insert(list->indexes, name, NULL);
    g_ptr_array_add(list->names, name);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static struct owner_list
list_owners(const struct rs_keymap *map)
{
    struct owner_list list = {
        .names = g_ptr_array_new(),
        .indexes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    for (size_t i = 0; i < map->ranges->len; i++) {
        add_owner(&list, &RsKeymap_GetRange(map, i)->owner);
        add_owner(&list, &RsKeymap_GetRange(map, i)->former);
    }
    g_ptr_array_sort(list.names, compare_names);
    for (guint i = 0; i < list.names->len; i++) {
        g_hash_table_insert(list.indexes,
                            g_strdup(g_ptr_array_index(list.names, i)),
                            GUINT_TO_POINTER(i));
    }
    return list;
}

/* Returns the index of an owner, which must be in the list, or NOBODY for no
 * owner. */
static int
index_of(const struct owner_list *list, const struct rs_owner *owner)
{
    if (owner->id == NULL) {
        return NOBODY;
    }
    char *name = owner_name(owner);
    guint index = GPOINTER_TO_UINT(g_hash_table_lookup(list->indexes, name));
    g_free(name);
    return (int)index;
}

static void
encode_range(GString *text, const struct rs_key_range *range,
             const struct owner_list *owners)
{
    g_string_append_printf(text, "[%" PRIu32 ",%d,%" PRIu64, range->last_key,
                           index_of(owners, &range->owner), range->fence);
    if (range->former.id != NULL) {
        g_string_append_printf(text, ",%d,%" PRIu64,
                               index_of(owners, &range->former),
                               range->former_fence);
    }
    if (range->unproven) {
        g_string_append_printf(text, ",%d", UNPROVEN_MARK);
    }
    g_string_append_c(text, ']');
}

/* Appends an owner as [TEXT, STARTED_MS]. Ids are texts of other programs. */
static void
encode_owner(GString *text, const char *name)
{
    const char *started = strrchr(name, ' ');
    json_t *id = json_stringn(name, (size_t)(started - name));
    char *quoted = json_dumps(id, JSON_ENCODE_ANY);
    assert(quoted != NULL); /* see RsReport_IsUsableId() */
    g_string_append_printf(text, "[%s,%s]", quoted, started + 1);
    free(quoted);
    json_decref(id);
}

/* Returns the map as JSON text with a line for each owner and each range,
 * without the state of orders. The caller frees it with g_free(). */
char *
RsKeymap_Encode(const struct rs_keymap *map)
{
    struct owner_list owners = list_owners(map);
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "{\"next_fence\":%" PRIu64 ",\"owners\":[",
                           MAX(map->next_fence, map->reserved_fence));
    for (guint i = 0; i < owners.names->len; i++) {
        g_string_append(text, i > 0 ? ",\n" : "\n");
        encode_owner(text, g_ptr_array_index(owners.names, i));
    }
    g_string_append(text, "],\"ranges\":[");
    for (size_t i = 0; i < map->ranges->len; i++) {
        g_string_append(text, i > 0 ? ",\n" : "\n");
        encode_range(text, RsKeymap_GetRange(map, i), &owners);
    }
    g_string_append(text, "]}\n");
    g_ptr_array_unref(owners.names);
    g_hash_table_unref(owners.indexes);
    return g_string_free(text, FALSE);
}

/* Parses the result of owner_text(). */
static struct rs_owner
parse_owner(const char *text, int64_t started_wall_ms)
{
    struct rs_owner owner = {.started_wall_ms = started_wall_ms};
    const char *at = strrchr(text, '@');
    char *id =
        at != NULL ? g_strndup(text, (gsize)(at - text)) : g_strdup(text);
    owner.id = id[0] != '\0' ? g_intern_string(id) : NULL;
    owner.address =
        at != NULL && at[1] != '\0' ? g_intern_string(at + 1) : NULL;
    g_free(id);
    return owner;
}

/* Returns an array of struct rs_owner, or NULL when an item is malformed. */
static GArray *
decode_owners(const json_t *items)
{
    GArray *owners = g_array_new(FALSE, FALSE, sizeof(struct rs_owner));
    for (size_t i = 0; i < json_array_size(items); i++) {
        const char *text = NULL;
        json_int_t started_wall_ms = 0;
        if (json_unpack(json_array_get(items, i), "[sI!]", &text,
                        &started_wall_ms) != 0) {
            g_array_unref(owners);
            return NULL;
        }
        struct rs_owner owner = parse_owner(text, started_wall_ms);
        g_array_append_val(owners, owner);
    }
    return owners;
}

/* Sets `owner` to the owner at an index, or to no owner for NOBODY. Returns
 * false when the index is out of bounds. */
static bool
find_owner(const GArray *owners, json_int_t index, struct rs_owner *owner)
{
    if (index == NOBODY) {
        *owner = (struct rs_owner){0};
        return true;
    }
    if (index < 0 || index >= (json_int_t)owners->len) {
        return false;
    }
    *owner = g_array_index(owners, struct rs_owner, (guint)index);
    return true;
}

/* Decodes a range that starts at `first_key` of a map with this next fence.
 * Returns false if it is malformed. */
static bool
decode_range(json_t *item, const GArray *owners, uint32_t first_key,
             uint64_t next_fence, struct rs_key_range *range)
{
    json_int_t last_key = 0;
    json_int_t owner = NOBODY;
    json_int_t fence = 0;
    json_int_t former = NOBODY;
    json_int_t former_fence = 0;
    json_int_t mark = 0;
    size_t fields = json_array_size(item);
    bool has_former = fields >= FIELDS + FORMER_FIELDS;
    bool unproven =
        fields == FIELDS + UNPROVEN_FIELDS + (has_former ? FORMER_FIELDS : 0);
    int status =
        has_former
            ? json_unpack(item, unproven ? "[IIIIII!]" : "[IIIII!]", &last_key,
                          &owner, &fence, &former, &former_fence, &mark)
            : json_unpack(item, unproven ? "[IIII!]" : "[III!]", &last_key,
                          &owner, &fence, &mark);
    *range = (struct rs_key_range){
        .first_key = first_key,
        .last_key = (uint32_t)last_key,
        .fence = (uint64_t)fence,
        .former_fence = (uint64_t)former_fence,
        .unproven = unproven,
    };
    return status == 0 && mark == (unproven ? UNPROVEN_MARK : 0) &&
           last_key >= (json_int_t)first_key && last_key < RsKeymap_KEYS &&
           range->fence < next_fence && range->former_fence < next_fence &&
           find_owner(owners, owner, &range->owner) &&
           find_owner(owners, former, &range->former);
}

/* Decodes all ranges into the map. Returns false unless they are well-formed
 * and cover the whole key space. */
static bool
decode_ranges(struct rs_keymap *map, const json_t *items, const GArray *owners)
{
    uint32_t next_key = 0;
    g_array_set_size(map->ranges, 0);
    for (size_t i = 0; i < json_array_size(items); i++) {
        struct rs_key_range range;
        if (!decode_range(json_array_get(items, i), owners, next_key,
                          map->next_fence, &range)) {
            return false;
        }
        next_key = range.last_key + 1;
        g_array_append_val(map->ranges, range);
    }
    return next_key == RsKeymap_KEYS;
}

/* Decodes the value of a row. Returns NULL when it is malformed, doesn't cover
 * the whole key space or has fences that are not below its next one. `service`
 * must be interned; the caller frees the map with RsKeymap_Free(). */
struct rs_keymap *
RsKeymap_Decode(const char *service, const char *value)
{
    json_t *body = json_loads(value, 0, NULL);
    GArray *owners = decode_owners(json_object_get(body, "owners"));
    struct rs_keymap *map = RsKeymap_New(service);
    json_int_t next_fence =
        json_integer_value(json_object_get(body, "next_fence"));
    map->next_fence = (uint64_t)next_fence;
    bool good = owners != NULL && next_fence >= FIRST_FENCE &&
                decode_ranges(map, json_object_get(body, "ranges"), owners);
    if (owners != NULL) {
        g_array_unref(owners);
    }
    json_decref(body);
    if (!good) {
        RsKeymap_Free(map);
        return NULL;
    }
    return map;
}

/* Returns the range at an index in key order. The pointer is valid until the
 * map changes. */
struct rs_key_range *
RsKeymap_GetRange(const struct rs_keymap *map, size_t index)
{
    return &g_array_index(map->ranges, struct rs_key_range, index);
}

/* Returns the index of the range that contains the key. */
static size_t
find_index(const struct rs_keymap *map, uint32_t key)
{
    size_t low = 0;
    size_t high = map->ranges->len - 1;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (RsKeymap_GetRange(map, middle)->last_key < key) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Returns the range that contains a key, which must be below RsKeymap_KEYS.
 * The pointer is valid until the map changes. */
struct rs_key_range *
RsKeymap_FindRange(const struct rs_keymap *map, uint32_t key)
{
    assert(key < RsKeymap_KEYS);
    return RsKeymap_GetRange(map, find_index(map, key));
}

/* Returns the fence of the grants to the owner of a range. */
uint64_t
RsKeymap_GrantFence(const struct rs_key_range *range)
{
    return MAX(range->fence, range->orders.renewed_fence);
}

/* Returns whether `a` and `b` are the same process of the same target, or both
 * stand for no owner. */
bool
RsKeymap_SameOwner(const struct rs_owner *a, const struct rs_owner *b)
{
    return a->id == b->id &&
           (a->id == NULL || a->started_wall_ms == b->started_wall_ms);
}

/* Splits the range that contains the key, so that a range starts at this key.
 * Both parts keep the fence, since a target may be granted a part of a range
 * that it holds. */
static void
split_at(struct rs_keymap *map, uint32_t key)
{
    size_t index = find_index(map, key);
    struct rs_key_range right = *RsKeymap_GetRange(map, index);
    if (right.first_key == key) {
        return;
    }
    right.first_key = key;
    right.orders.handover = g_strdup(right.orders.handover);
    RsKeymap_GetRange(map, index)->last_key = key - 1;
    g_array_insert_val(map->ranges, (guint)index + 1, right);
}

/* Returns whether the keys may be moved: none of their ranges has a former
 * owner or a grant in flight, or is unproven. */
static bool
may_move(const struct rs_keymap *map, uint32_t first_key, uint32_t last_key)
{
    for (size_t i = find_index(map, first_key);
         i < map->ranges->len &&
         RsKeymap_GetRange(map, i)->first_key <= last_key;
         i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(map, i);
        if (range->former.id != NULL || range->orders.grant_in_flight ||
            range->unproven) {
            return false;
        }
    }
    return true;
}

static void
move_range(struct rs_keymap *map, struct rs_key_range *range,
           const struct rs_owner *to)
{
    range->former = range->owner;
    range->former_fence = RsKeymap_GrantFence(range);
    range->owner = *to;
    range->fence = map->next_fence;
    g_free(range->orders.handover);
    range->orders = (struct rs_range_orders){
        .former_hold_until_ms = range->orders.hold_until_ms,
        .former_newest_opening = range->orders.newest_opening,
    };
}

/* Assigns the keys to a target under a new fence; their current owners become
 * former owners. Keys that the target owns already keep their fence. Returns
 * false and changes nothing when some of the keys are still being handed over
 * or unproven, or when a grant for them is in flight, since a release could
 * overtake the grant. */
bool
RsKeymap_Move(struct rs_keymap *map, uint32_t first_key, uint32_t last_key,
              const struct rs_owner *to)
{
    if (!may_move(map, first_key, last_key)) {
        return false;
    }
    split_at(map, first_key);
    if (last_key + 1 < RsKeymap_KEYS) {
        split_at(map, last_key + 1);
    }
    for (size_t i = find_index(map, first_key);
         i < map->ranges->len &&
         RsKeymap_GetRange(map, i)->first_key <= last_key;
         i++) {
        struct rs_key_range *range = RsKeymap_GetRange(map, i);
        if (!RsKeymap_SameOwner(&range->owner, to)) {
            move_range(map, range, to);
        }
    }
    map->next_fence++;
    return true;
}

/* Gives a range back to its former owner, under the former fence. No order may
 * have been sent for the move. */
void
RsKeymap_UndoMove(struct rs_key_range *range)
{
    range->owner = range->former;
    range->fence = range->former_fence;
    range->orders.hold_until_ms = range->orders.former_hold_until_ms;
    range->orders.fence_sent = true;
    range->orders.newest_opening = range->orders.former_newest_opening;
    RsKeymap_ClearFormer(range);
}

/* Removes the former owner of a range. The former owner must have stopped
 * using the keys. */
void
RsKeymap_ClearFormer(struct rs_key_range *range)
{
    range->former = (struct rs_owner){0};
    range->former_fence = 0;
}

/* Returns whether the range has an owner, no former owner and no order in
 * flight, and is not unproven. */
static bool
is_mergeable(const struct rs_key_range *range)
{
    return range->owner.id != NULL && range->former.id == NULL &&
           !range->unproven && !range->orders.grant_in_flight &&
           !range->orders.release_in_flight;
}

/* Sets which connections may carry the fence of a range that is extended by
 * the next one: those of the higher fence or, if both have one fence, those
 * that both may use. */
static void
merge_openings(struct rs_key_range *range, const struct rs_key_range *next)
{
    struct rs_range_orders *orders = &range->orders;
    uint64_t fence = RsKeymap_GrantFence(range);
    uint64_t next_fence = RsKeymap_GrantFence(next);
    if (next_fence > fence || (next_fence == fence && !orders->fence_sent)) {
        orders->fence_sent = next->orders.fence_sent;
        orders->newest_opening = next->orders.newest_opening;
    }
    else if (next_fence == fence && next->orders.fence_sent) {
        orders->newest_opening =
            MIN(orders->newest_opening, next->orders.newest_opening);
    }
    orders->renewed_fence =
        MAX(orders->renewed_fence, next->orders.renewed_fence);
}

/* Extends a range by the next one. The owner is granted the merged range under
 * the higher of the two fences, which no other target has had. */
static void
merge_next(struct rs_key_range *range, struct rs_key_range *next)
{
    struct rs_range_orders *orders = &range->orders;
    merge_openings(range, next);
    range->last_key = next->last_key;
    range->fence = MAX(range->fence, next->fence);
    orders->hold_until_ms =
        MAX(orders->hold_until_ms, next->orders.hold_until_ms);
    orders->next_grant_at_ms =
        MIN(orders->next_grant_at_ms, next->orders.next_grant_at_ms);
    g_free(orders->handover);
    g_free(next->orders.handover);
    orders->handover = NULL;
}

/* Merges adjacent ranges with the same owner, except those with a former owner
 * or an order in flight. Returns by how many ranges the map shrinks. */
size_t
RsKeymap_MergeRanges(struct rs_keymap *map)
{
    guint kept = 0;
    guint count = map->ranges->len;
    for (guint i = 1; i < count; i++) {
        struct rs_key_range *last = RsKeymap_GetRange(map, kept);
        struct rs_key_range *next = RsKeymap_GetRange(map, i);
        if (is_mergeable(last) && is_mergeable(next) &&
            RsKeymap_SameOwner(&last->owner, &next->owner)) {
            merge_next(last, next);
        }
        else {
            *RsKeymap_GetRange(map, ++kept) = *next;
        }
    }
    g_array_set_size(map->ranges, kept + 1);
    return count - kept - 1;
}
