#include "ticket/config.h"

#include <glib.h>
#include <stdatomic.h>
#include <string.h>

#define OBJECT_PREFIX "object/"
#define HEAD_KEY "ticket/head"

/* The rules of one service by prefix. Bit L of `length_bits` is set if one of
 * these rules has a prefix of L bytes. */
struct prefix_index {
    GHashTable *rule_by_prefix;
    uint64_t length_bits;
};

struct rs_config {
    atomic_uint references;
    uint64_t applied_ticket;
    size_t invalid_row_count;
    GPtrArray *entries[RsObject_KIND_COUNT];        /* sorted by name */
    GHashTable *entry_by_name[RsObject_KIND_COUNT]; /* owns the entries */
    GHashTable *place_by_target;
    GHashTable *prefix_index_by_service; /* service name to prefix_index */
};

static void
free_entry(gpointer data)
{
    struct rs_config_entry *entry = data;
    RsObject_Free(&entry->object);
    json_decref(entry->value);
    g_free(entry);
}

static void
free_prefix_index(gpointer data)
{
    struct prefix_index *index = data;
    g_hash_table_unref(index->rule_by_prefix);
    g_free(index);
}

/* Parses the key "object/KIND/NAME". Returns a pointer to the name within the
 * key, or NULL if the key is invalid. */
static const char *
split_key(const char *key, enum rs_object_kind *kind)
{
    const char *kind_text = key + strlen(OBJECT_PREFIX);
    const char *slash = strchr(kind_text, '/');
    if (slash == NULL || !RsObject_IsValidName(slash + 1)) {
        return NULL;
    }
    char *copy = g_strndup(kind_text, (gsize)(slash - kind_text));
    int status = RsObject_ParseKind(copy, kind);
    g_free(copy);
    return status == 0 ? slash + 1 : NULL;
}

static struct rs_config_entry *
read_entry(const struct rs_config_row *row)
{
    enum rs_object_kind kind;
    const char *name = split_key(row->key, &kind);
    const json_t *ticket = json_object_get(row->value, "ticket");
    json_t *value = json_object_get(row->value, "value");
    if (name == NULL || !json_is_integer(ticket) ||
        json_integer_value(ticket) < 1) {
        return NULL;
    }
    struct rs_faults faults = {0};
    struct rs_object object;
    int status = RsObject_Parse(&object, kind, name, value, "", &faults);
    RsFaults_Free(&faults);
    if (status < 0) {
        return NULL;
    }
    struct rs_config_entry *entry = g_new0(struct rs_config_entry, 1);
    entry->object = object;
    entry->version = row->version;
    entry->ticket = (uint64_t)json_integer_value(ticket);
    entry->value = json_incref(value);
    return entry;
}

static void
read_head_number(struct rs_config *config, const json_t *number)
{
    if (!json_is_integer(number) || json_integer_value(number) < 0) {
        config->invalid_row_count++;
        return;
    }
    uint64_t ticket = (uint64_t)json_integer_value(number);
    config->applied_ticket = MAX(config->applied_ticket, ticket);
}

static void
add_row(struct rs_config *config, const struct rs_config_row *row)
{
    if (row->value == NULL || json_is_null(row->value)) {
        return;
    }
    if (strcmp(row->key, HEAD_KEY) == 0) {
        read_head_number(config, json_object_get(row->value, "number"));
        return;
    }
    if (!g_str_has_prefix(row->key, OBJECT_PREFIX)) {
        return;
    }
    struct rs_config_entry *entry = read_entry(row);
    if (entry == NULL) {
        config->invalid_row_count++;
        return;
    }
    config->applied_ticket = MAX(config->applied_ticket, entry->ticket);
    enum rs_object_kind kind = entry->object.kind;
    const char *name = RsObject_Name(&entry->object);
    if (!g_hash_table_replace(config->entry_by_name[kind], (char *)name,
                              entry)) {
        config->invalid_row_count++;
    }
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    const struct rs_config_entry *left = *(struct rs_config_entry *const *)a;
    const struct rs_config_entry *right = *(struct rs_config_entry *const *)b;
    return strcmp(RsObject_Name(&left->object), RsObject_Name(&right->object));
}

static void
sort_entries(struct rs_config *config, int kind)
{
    GHashTableIter iter;
    gpointer entry = NULL;
    g_hash_table_iter_init(&iter, config->entry_by_name[kind]);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        g_ptr_array_add(config->entries[kind], entry);
    }
    g_ptr_array_sort(config->entries[kind], compare_names);
}

static void
index_targets(struct rs_config *config)
{
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_PLACE); i++) {
        const struct rs_model_place *place =
            &RsConfig_EntryAt(config, RsObject_PLACE, i)->object.as.place;
        for (size_t j = 0; j < place->target_count; j++) {
            g_hash_table_insert(config->place_by_target,
                                place->targets[j].name, (gpointer)place);
        }
    }
}

static struct prefix_index *
find_or_add_prefix_index(struct rs_config *config, const char *service)
{
    struct prefix_index *index =
        g_hash_table_lookup(config->prefix_index_by_service, service);
    if (index == NULL) {
        index = g_new0(struct prefix_index, 1);
        index->rule_by_prefix = g_hash_table_new(g_str_hash, g_str_equal);
        g_hash_table_insert(config->prefix_index_by_service, (char *)service,
                            index);
    }
    return index;
}

/* Builds the prefix index of each service that has rules. Validation of
 * tickets prevents two rules of a service with the same prefix. If the table
 * holds such rules anyway, the first by name is used, so that all processes
 * choose the same rule. The other rules are counted as invalid. */
static void
index_prefixes(struct rs_config *config)
{
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_RULE); i++) {
        const struct rs_model_rule *rule =
            &RsConfig_EntryAt(config, RsObject_RULE, i)->object.as.rule;
        struct prefix_index *index =
            find_or_add_prefix_index(config, rule->service);
        if (g_hash_table_contains(index->rule_by_prefix, rule->prefix)) {
            config->invalid_row_count++;
            continue;
        }
        g_hash_table_insert(index->rule_by_prefix, (char *)rule->prefix,
                            (gpointer)rule);
        index->length_bits |= UINT64_C(1) << strlen(rule->prefix);
    }
}

/* Builds a configuration from the rows `object/KIND/NAME` and `ticket/head`.
 * Rows with other keys and deleted rows are ignored. Rows that cannot be
 * parsed are left out. Of several rows for the same object, the last is used.
 * Of rules with the same service and prefix, only the first by name is used
 * for keys. The caller owns one reference to the configuration and may
 * free the rows afterwards. */
struct rs_config *
RsConfig_Build(const struct rs_config_row *rows, size_t count)
{
    struct rs_config *config = g_new0(struct rs_config, 1);
    atomic_init(&config->references, 1);
    for (int kind = 0; kind < RsObject_KIND_COUNT; kind++) {
        config->entries[kind] = g_ptr_array_new();
        config->entry_by_name[kind] =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    }
    config->place_by_target = g_hash_table_new(g_str_hash, g_str_equal);
    config->prefix_index_by_service = g_hash_table_new_full(
        g_str_hash, g_str_equal, NULL, free_prefix_index);
    for (size_t i = 0; i < count; i++) {
        add_row(config, &rows[i]);
    }
    for (int kind = 0; kind < RsObject_KIND_COUNT; kind++) {
        sort_entries(config, kind);
    }
    index_targets(config);
    index_prefixes(config);
    return config;
}

/* Adds a reference and returns the configuration. Any thread that already
 * holds a reference may call this. */
struct rs_config *
RsConfig_Ref(struct rs_config *config)
{
    atomic_fetch_add_explicit(&config->references, 1, memory_order_relaxed);
    return config;
}

/* Releases a reference. Releasing the last one frees the configuration. NULL
 * is allowed. */
void
RsConfig_Unref(struct rs_config *config)
{
    if (config == NULL ||
        atomic_fetch_sub_explicit(&config->references, 1,
                                  memory_order_acq_rel) > 1) {
        return;
    }
    g_hash_table_unref(config->prefix_index_by_service);
    g_hash_table_unref(config->place_by_target);
    for (int kind = 0; kind < RsObject_KIND_COUNT; kind++) {
        g_ptr_array_unref(config->entries[kind]);
        g_hash_table_unref(config->entry_by_name[kind]);
    }
    g_free(config);
}

/* Returns the number of the last ticket that the configuration includes: the
 * highest ticket number in its valid rows, or 0 if there is none. */
uint64_t
RsConfig_AppliedTicket(const struct rs_config *config)
{
    return config->applied_ticket;
}

/* Returns the number of invalid rows: those that cannot be parsed, that repeat
 * an object, or that hold a rule whose service and prefix are those of a rule
 * with an earlier name. */
size_t
RsConfig_InvalidRowCount(const struct rs_config *config)
{
    return config->invalid_row_count;
}

/* Returns the number of objects of a kind. */
size_t
RsConfig_Count(const struct rs_config *config, enum rs_object_kind kind)
{
    return config->entries[kind]->len;
}

/* Returns the entry at an index in order of name. The index must be less than
 * RsConfig_Count. */
const struct rs_config_entry *
RsConfig_EntryAt(const struct rs_config *config, enum rs_object_kind kind,
                 size_t index)
{
    g_assert(index < config->entries[kind]->len);
    return g_ptr_array_index(config->entries[kind], index);
}

/* Returns the entry of the object with the given kind and name, or NULL if
 * there is none. */
const struct rs_config_entry *
RsConfig_FindEntry(const struct rs_config *config, enum rs_object_kind kind,
                   const char *name)
{
    return g_hash_table_lookup(config->entry_by_name[kind], name);
}

/* Returns the service with the given name, or NULL if there is none. */
const struct rs_model_service *
RsConfig_Service(const struct rs_config *config, const char *name)
{
    const struct rs_config_entry *entry =
        RsConfig_FindEntry(config, RsObject_SERVICE, name);
    return entry == NULL ? NULL : &entry->object.as.service;
}

/* Returns the place with the given name, or NULL if there is none. */
const struct rs_model_place *
RsConfig_Place(const struct rs_config *config, const char *name)
{
    const struct rs_config_entry *entry =
        RsConfig_FindEntry(config, RsObject_PLACE, name);
    return entry == NULL ? NULL : &entry->object.as.place;
}

/* Returns the rule with the given name, or NULL if there is none. */
const struct rs_model_rule *
RsConfig_Rule(const struct rs_config *config, const char *name)
{
    const struct rs_config_entry *entry =
        RsConfig_FindEntry(config, RsObject_RULE, name);
    return entry == NULL ? NULL : &entry->object.as.rule;
}

/* Returns the domain with the given name, or NULL if there is none. */
const struct rs_model_domain *
RsConfig_Domain(const struct rs_config *config, const char *name)
{
    const struct rs_config_entry *entry =
        RsConfig_FindEntry(config, RsObject_DOMAIN, name);
    return entry == NULL ? NULL : &entry->object.as.domain;
}

/* Returns the place that lists the target, or NULL if none does. */
const struct rs_model_place *
RsConfig_PlaceOfTarget(const struct rs_config *config, const char *target)
{
    return g_hash_table_lookup(config->place_by_target, target);
}

/* Returns the rule of the service whose prefix is the longest that the key
 * starts with, or NULL if no rule matches. */
const struct rs_model_rule *
RsConfig_RuleOfKey(const struct rs_config *config, const char *service,
                   const char *key, size_t key_bytes)
{
    const struct prefix_index *index =
        g_hash_table_lookup(config->prefix_index_by_service, service);
    if (index == NULL) {
        return NULL;
    }
    char prefix[RsModel_NAME_BYTES];
    size_t length = MIN(key_bytes, sizeof(prefix) - 1);
    memcpy(prefix, key, length);
    for (;; length--) {
        prefix[length] = '\0';
        const struct rs_model_rule *rule =
            (index->length_bits >> length & 1) != 0
                ? g_hash_table_lookup(index->rule_by_prefix, prefix)
                : NULL;
        if (rule != NULL || length == 0) {
            return rule;
        }
    }
}
