#include "view/assignment_cache.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <string.h>

#include "core/log.h"
#include "place/assignment.h"

#define RENUMBER_AT 32768

struct rs_assignment_cache {
    GHashTable *rules;        /* name to rs_cached_rule */
    GPtrArray *names;         /* of cells and targets */
    GHashTable *name_numbers; /* name to its number + 1 */
    /* Arrays of names from before each renumbering; views may use the names.
     */
    GPtrArray *retired_name_arrays;
    /* Number of names at the end of the first snapshot after the last
     * renumbering, set by the next RsAssignmentCache_BeginSnapshot; 0 before
     * the first renumbering. */
    guint name_count_after_renumbering;
    /* Whether the last RsAssignmentCache_BeginSnapshot renumbered the names.
     */
    bool renumbered;
    uint64_t rows_decoded;
};

static void
free_rule(gpointer data)
{
    struct rs_cached_rule *rule = data;
    g_free(rule->packed);
    g_free(rule->row_versions);
    g_free(rule);
}

/* Creates an empty cache. The caller frees it with RsAssignmentCache_Free. */
struct rs_assignment_cache *
RsAssignmentCache_New(void)
{
    struct rs_assignment_cache *cache = g_new0(struct rs_assignment_cache, 1);
    cache->rules =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_rule);
    cache->names = g_ptr_array_new_with_free_func(g_free);
    cache->retired_name_arrays =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_ptr_array_unref);
    cache->name_numbers = g_hash_table_new(g_str_hash, g_str_equal);
    return cache;
}

/* Frees the cache and all names that it returned. */
void
RsAssignmentCache_Free(struct rs_assignment_cache *cache)
{
    g_hash_table_destroy(cache->rules);
    g_hash_table_destroy(cache->name_numbers);
    g_ptr_array_free(cache->names, TRUE);
    g_ptr_array_free(cache->retired_name_arrays, TRUE);
    g_free(cache);
}

/* Begins a new snapshot. Targets and cells are added and removed over time,
 * and the names of removed ones would use up the 16-bit numbers. So numbering
 * starts again, and all rows are decoded again, once at least RENUMBER_AT
 * names have numbers and their count is at least twice
 * `name_count_after_renumbering`. The old names stay in memory, since views
 * that other tasks hold point to them. */
void
RsAssignmentCache_BeginSnapshot(struct rs_assignment_cache *cache)
{
    guint count = cache->names->len;
    if (cache->renumbered) {
        cache->renumbered = false;
        cache->name_count_after_renumbering = count;
    }
    if (count < RENUMBER_AT ||
        count / 2 < cache->name_count_after_renumbering) {
        return;
    }
    g_ptr_array_add(cache->retired_name_arrays, cache->names);
    cache->names = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_remove_all(cache->name_numbers);
    g_hash_table_remove_all(cache->rules);
    cache->renumbered = true;
}

/* Finds the number of a name, or assigns the next free one. Returns false if
 * no number is left. */
static bool
number_name(struct rs_assignment_cache *cache, const char *name,
            uint16_t *number)
{
    gpointer known = g_hash_table_lookup(cache->name_numbers, name);
    if (known == NULL) {
        if (cache->names->len > UINT16_MAX) {
            return false;
        }
        char *copy = g_strdup(name);
        g_ptr_array_add(cache->names, copy);
        known = GUINT_TO_POINTER(cache->names->len);
        g_hash_table_insert(cache->name_numbers, copy, known);
    }
    *number = (uint16_t)(GPOINTER_TO_UINT(known) - 1);
    return true;
}

/* Converts an assignment to compact form. If no number is left for one of its
 * names, the slice counts as not assigned. */
static void
pack(struct rs_assignment_cache *cache,
     const struct rs_model_assignment *assignment,
     struct rs_packed_assignment *packed)
{
    memset(packed, 0, sizeof(*packed));
    if (assignment->epoch == 0) {
        return;
    }
    bool all_numbered = number_name(cache, assignment->cell, &packed->cell);
    packed->succession_count = (uint8_t)assignment->succession_count;
    packed->from_count = (uint8_t)assignment->from_count;
    for (size_t i = 0; i < assignment->succession_count; i++) {
        all_numbered &= number_name(cache, assignment->succession[i],
                                    &packed->succession[i]);
    }
    for (size_t i = 0; i < assignment->from_count; i++) {
        all_numbered &=
            number_name(cache, assignment->from[i], &packed->from[i]);
    }
    packed->epoch = all_numbered ? assignment->epoch : 0;
    if (!all_numbered) {
        RsLog_EVENT(RsLog_ERROR, "too_many_names",
                    RsLog_NUMBER("slice", assignment->slice));
    }
}

static struct rs_cached_rule *
find_or_reset_rule(struct rs_assignment_cache *cache,
                   const struct rs_model_rule *model)
{
    struct rs_cached_rule *rule =
        g_hash_table_lookup(cache->rules, model->name);
    if (rule != NULL && rule->slices == model->slices) {
        return rule;
    }
    rule = g_new0(struct rs_cached_rule, 1);
    rule->slices = model->slices;
    rule->row_count = RsAssignment_CountRows(model->slices);
    rule->packed = g_new0(struct rs_packed_assignment, model->slices);
    rule->row_versions = g_new0(uint64_t, rule->row_count);
    g_hash_table_replace(cache->rules, g_strdup(model->name), rule);
    return rule;
}

/* Decodes a row. The slices of an invalid row count as not assigned. */
static void
decode_row(struct rs_assignment_cache *cache, const char *name,
           struct rs_cached_rule *rule, size_t row, const char *text)
{
    struct rs_model_assignment slices[RsAssignment_SLICES_PER_ROW];
    size_t count = 0;
    size_t first = row * RsAssignment_SLICES_PER_ROW;
    size_t slices_in_row =
        MIN((size_t)RsAssignment_SLICES_PER_ROW, rule->slices - first);
    json_t *value = json_loads(text, 0, NULL);
    memset(rule->packed + first, 0, slices_in_row * sizeof(rule->packed[0]));
    if (RsAssignment_Decode(value, name, (uint32_t)row, slices, &count) == 0) {
        for (size_t i = 0; i < MIN(count, slices_in_row); i++) {
            pack(cache, &slices[i], &rule->packed[first + i]);
        }
    }
    json_decref(value);
    cache->rows_decoded++;
}

static void
update_row(struct rs_assignment_cache *cache, const struct rs_mirror *mirror,
           const char *name, struct rs_cached_rule *rule, size_t row)
{
    char key[RsAssignment_KEY_BYTES];
    struct rs_mirror_row found = {.value = ""};
    RsAssignment_FormatKey(name, (uint32_t)row, key);
    RsMirror_Find(mirror, key, &found);
    if (found.version != rule->row_versions[row]) {
        rule->row_versions[row] = found.version;
        decode_row(cache, name, rule, row, found.value);
    }
}

/* Updates a rule by decoding the rows that need it, and returns its
 * assignments. */
const struct rs_cached_rule *
RsAssignmentCache_UpdateRule(struct rs_assignment_cache *cache,
                             const struct rs_mirror *mirror,
                             const struct rs_model_rule *model)
{
    struct rs_cached_rule *rule = find_or_reset_rule(cache, model);
    for (size_t row = 0; row < rule->row_count; row++) {
        update_row(cache, mirror, model->name, rule, row);
    }
    return rule;
}

/* Returns the number of names that have numbers. It grows with the updates
 * until RsAssignmentCache_BeginSnapshot starts numbering again. */
size_t
RsAssignmentCache_NameCount(const struct rs_assignment_cache *cache)
{
    return cache->names->len;
}

/* Returns the names by number. The array is valid until the next update or
 * RsAssignmentCache_BeginSnapshot. */
const char *const *
RsAssignmentCache_Names(const struct rs_assignment_cache *cache)
{
    return (const char *const *)(void *)cache->names->pdata;
}

/* Returns the number of rows decoded since the cache was created. */
uint64_t
RsAssignmentCache_RowsDecoded(const struct rs_assignment_cache *cache)
{
    return cache->rows_decoded;
}

/* Converts an assignment from compact form. `names` must be the cache's names,
 * by number, from the time when the assignment was packed. The assignment's
 * epoch is 0 if the slice is not assigned. */
void
RsAssignmentCache_Unpack(const struct rs_packed_assignment *packed,
                         const char *const *names, uint64_t slice,
                         struct rs_model_assignment *assignment)
{
    memset(assignment, 0, sizeof(*assignment));
    assignment->slice = slice;
    assignment->epoch = packed->epoch;
    if (packed->epoch == 0) {
        return;
    }
    g_strlcpy(assignment->cell, names[packed->cell], RsModel_NAME_BYTES);
    assignment->succession_count = packed->succession_count;
    assignment->from_count = packed->from_count;
    for (size_t i = 0; i < packed->succession_count; i++) {
        g_strlcpy(assignment->succession[i], names[packed->succession[i]],
                  RsModel_NAME_BYTES);
    }
    for (size_t i = 0; i < packed->from_count; i++) {
        g_strlcpy(assignment->from[i], names[packed->from[i]],
                  RsModel_NAME_BYTES);
    }
}
