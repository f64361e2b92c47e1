#include "router/keymap.h"

#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_FENCE 1
#define NOBODY (-1)      /* in place of the index of an owner */
#define SETTLED_FIELDS 3 /* of a range without a former owner */

/* Makes a map in which nobody owns anything. */
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
        g_free(RsKeymap_At(map, i)->orders.handover);
    }
    g_array_unref(map->ranges);
    g_free(map);
}

/* ID@ADDRESS, so that a later granter can tell who has the address now. */
static char *
owner_text(const struct rs_owner *owner)
{
    if (owner->id == NULL) {
        return g_strdup("");
    }
    return owner->address != NULL
               ? g_strdup_printf("%s@%s", owner->id, owner->address)
               : g_strdup(owner->id);
}

/* The owners that a map names, each once: hundreds of ranges have few owners.
 * They are in the order of their names, so that their places change little. */
struct owner_list {
    GPtrArray *names;    /* "ID@ADDRESS BORN_MS" */
    GHashTable *indexes; /* name to index */
};

static char *
owner_name(const struct rs_owner *owner)
{
    char *text = owner_text(owner);
    char *name = g_strdup_printf("%s %" PRId64, text, owner->born_ms);
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
        add_owner(&list, &RsKeymap_At(map, i)->owner);
        add_owner(&list, &RsKeymap_At(map, i)->former);
    }
    g_ptr_array_sort(list.names, compare_names);
    for (guint i = 0; i < list.names->len; i++) {
        g_hash_table_insert(list.indexes,
                            g_strdup(g_ptr_array_index(list.names, i)),
                            GUINT_TO_POINTER(i));
    }
    return list;
}

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
    g_string_append_c(text, ']');
}

/* Returns the map as text, which the caller frees with g_free(): JSON, with a
 * line for each owner and each range. Orders are left out. */
char *
RsKeymap_Encode(const struct rs_keymap *map)
{
    struct owner_list owners = list_owners(map);
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "{\"next_fence\":%" PRIu64 ",\"owners\":[",
                           map->next_fence);
    for (guint i = 0; i < owners.names->len; i++) {
        const char *name = g_ptr_array_index(owners.names, i);
        const char *born = strrchr(name, ' ');
        g_string_append_printf(text, "%s\n[\"%.*s\",%s]", i > 0 ? "," : "",
                               (int)(born - name), name, born + 1);
    }
    g_string_append(text, "],\"ranges\":[");
    for (size_t i = 0; i < map->ranges->len; i++) {
        g_string_append(text, i > 0 ? ",\n" : "\n");
        encode_range(text, RsKeymap_At(map, i), &owners);
    }
    g_string_append(text, "]}\n");
    g_ptr_array_unref(owners.names);
    g_hash_table_unref(owners.indexes);
    return g_string_free(text, FALSE);
}

static struct rs_owner
parse_owner(const char *text, int64_t born_ms)
{
    struct rs_owner owner = {.born_ms = born_ms};
    const char *at = strrchr(text, '@');
    char *id =
        at != NULL ? g_strndup(text, (gsize)(at - text)) : g_strdup(text);
    owner.id = id[0] != '\0' ? g_intern_string(id) : NULL;
    owner.address = at != NULL ? g_intern_string(at + 1) : NULL;
    g_free(id);
    return owner;
}

/* Returns the owners named, or NULL when one can't be read. */
static GArray *
decode_owners(const json_t *items)
{
    GArray *owners = g_array_new(FALSE, FALSE, sizeof(struct rs_owner));
    for (size_t i = 0; i < json_array_size(items); i++) {
        const char *text = NULL;
        json_int_t born_ms = 0;
        if (json_unpack(json_array_get(items, i), "[sI!]", &text, &born_ms) !=
            0) {
            g_array_unref(owners);
            return NULL;
        }
        struct rs_owner owner = parse_owner(text, born_ms);
        g_array_append_val(owners, owner);
    }
    return owners;
}

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

static bool
decode_range(json_t *item, const GArray *owners, uint32_t first_key,
             struct rs_key_range *range)
{
    json_int_t last = 0;
    json_int_t owner = NOBODY;
    json_int_t fence = 0;
    json_int_t former = NOBODY;
    json_int_t former_fence = 0;
    bool settled = json_array_size(item) == SETTLED_FIELDS;
    int status = settled ? json_unpack(item, "[III!]", &last, &owner, &fence)
                         : json_unpack(item, "[IIIII!]", &last, &owner, &fence,
                                       &former, &former_fence);
    *range = (struct rs_key_range){
        .first_key = first_key,
        .last_key = (uint32_t)last,
        .fence = (uint64_t)fence,
        .former_fence = (uint64_t)former_fence,
    };
    return status == 0 && last >= (json_int_t)first_key &&
           last < RsKeymap_KEYS && find_owner(owners, owner, &range->owner) &&
           find_owner(owners, former, &range->former);
}

static bool
decode_ranges(struct rs_keymap *map, const json_t *items, const GArray *owners)
{
    uint32_t next_key = 0;
    g_array_set_size(map->ranges, 0);
    for (size_t i = 0; i < json_array_size(items); i++) {
        struct rs_key_range range;
        if (!decode_range(json_array_get(items, i), owners, next_key,
                          &range)) {
            return false;
        }
        next_key = range.last_key + 1;
        g_array_append_val(map->ranges, range);
    }
    return next_key == RsKeymap_KEYS;
}

/* Reads a row's value. Returns NULL when it isn't a whole map. */
struct rs_keymap *
RsKeymap_Decode(const char *service, const char *value)
{
    json_t *body = json_loads(value, 0, NULL);
    GArray *owners = decode_owners(json_object_get(body, "owners"));
    struct rs_keymap *map = RsKeymap_New(service);
    map->next_fence =
        (uint64_t)json_integer_value(json_object_get(body, "next_fence"));
    bool good = owners != NULL && map->next_fence >= FIRST_FENCE &&
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

/* Returns a range by its place in the order of keys. */
struct rs_key_range *
RsKeymap_At(const struct rs_keymap *map, size_t index)
{
    return &g_array_index(map->ranges, struct rs_key_range, index);
}

static size_t
find_index(const struct rs_keymap *map, uint32_t key)
{
    size_t low = 0;
    size_t high = map->ranges->len - 1;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (RsKeymap_At(map, middle)->last_key < key) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Returns the range of a key, which must be below RsKeymap_KEYS. */
struct rs_key_range *
RsKeymap_Find(const struct rs_keymap *map, uint32_t key)
{
    assert(key < RsKeymap_KEYS);
    return RsKeymap_At(map, find_index(map, key));
}

/* Tells whether both are the same life of the same target. */
bool
RsKeymap_SameOwner(const struct rs_owner *a, const struct rs_owner *b)
{
    return a->id == b->id && (a->id == NULL || a->born_ms == b->born_ms);
}

/* Cuts ranges so that one begins at the key. Both parts keep their fence: a
 * target may be granted a part of what it has. */
static void
cut_at(struct rs_keymap *map, uint32_t key)
{
    size_t index = find_index(map, key);
    struct rs_key_range right = *RsKeymap_At(map, index);
    if (right.first_key == key) {
        return;
    }
    right.first_key = key;
    right.orders.handover = g_strdup(right.orders.handover);
    RsKeymap_At(map, index)->last_key = key - 1;
    g_array_insert_val(map->ranges, (guint)index + 1, right);
}

static bool
may_move(const struct rs_keymap *map, uint32_t first_key, uint32_t last_key)
{
    for (size_t i = find_index(map, first_key);
         i < map->ranges->len && RsKeymap_At(map, i)->first_key <= last_key;
         i++) {
        const struct rs_key_range *range = RsKeymap_At(map, i);
        if (range->former.id != NULL || range->orders.grant_in_flight) {
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
    range->former_fence = range->fence;
    range->owner = *to;
    range->fence = map->next_fence;
    g_free(range->orders.handover);
    range->orders = (struct rs_range_orders){
        .former_until_ms = range->orders.hold_until_ms,
    };
}

/* Gives a range of keys to a target under a new fence; their present owner
 * becomes the former one. Returns false, and changes nothing, when a part of
 * the range is still being handed over, or a grant of it is on its way and
 * might overtake a release. */
bool
RsKeymap_Move(struct rs_keymap *map, uint32_t first_key, uint32_t last_key,
              const struct rs_owner *to)
{
    if (!may_move(map, first_key, last_key)) {
        return false;
    }
    cut_at(map, first_key);
    if (last_key + 1 < RsKeymap_KEYS) {
        cut_at(map, last_key + 1);
    }
    for (size_t i = find_index(map, first_key);
         i < map->ranges->len && RsKeymap_At(map, i)->first_key <= last_key;
         i++) {
        struct rs_key_range *range = RsKeymap_At(map, i);
        if (!RsKeymap_SameOwner(&range->owner, to)) {
            move_range(map, range, to);
        }
    }
    map->next_fence++;
    return true;
}

/* Notes that the former owner has stopped. */
void
RsKeymap_Settle(struct rs_key_range *range)
{
    range->former = (struct rs_owner){0};
    range->former_fence = 0;
}

static bool
is_quiet(const struct rs_key_range *range)
{
    return range->owner.id != NULL && range->former.id == NULL &&
           !range->orders.grant_in_flight && !range->orders.release_in_flight;
}

/* Makes the first range take in the second, which follows it. The owner is
 * granted all of it under the higher fence, which nobody else had. */
static void
take_in(struct rs_key_range *range, struct rs_key_range *next)
{
    struct rs_range_orders *orders = &range->orders;
    range->last_key = next->last_key;
    range->fence = MAX(range->fence, next->fence);
    orders->hold_until_ms =
        MAX(orders->hold_until_ms, next->orders.hold_until_ms);
    orders->next_grant_ms =
        MIN(orders->next_grant_ms, next->orders.next_grant_ms);
    g_free(orders->handover);
    g_free(next->orders.handover);
    orders->handover = NULL;
}

/* Joins neighbours that one owner has, but for those with an order on its way.
 * Returns how many ranges are gone. */
size_t
RsKeymap_Join(struct rs_keymap *map)
{
    guint kept = 0;
    guint count = map->ranges->len;
    for (guint i = 1; i < count; i++) {
        struct rs_key_range *last = RsKeymap_At(map, kept);
        struct rs_key_range *next = RsKeymap_At(map, i);
        if (is_quiet(last) && is_quiet(next) &&
            RsKeymap_SameOwner(&last->owner, &next->owner)) {
            take_in(last, next);
        }
        else {
            *RsKeymap_At(map, ++kept) = *next;
        }
    }
    g_array_set_size(map->ranges, kept + 1);
    return count - kept - 1;
}
