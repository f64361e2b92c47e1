#include "view/chunks.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <string.h>

#include "core/log.h"
#include "place/assignment.h"

#define RENUMBER_AT 32768

struct rs_chunks {
    GHashTable *rules;        /* name to rs_chunks_rule */
    GPtrArray *names;         /* of cells and targets */
    GHashTable *name_numbers; /* name to its number and one */
    GPtrArray *retired;       /* earlier names, which views may still show */
    guint first_count;        /* names after the first snapshot since then */
    bool renumbered;          /* since the last snapshot */
    uint64_t rows_decoded;
};

static void
free_rule(gpointer data)
{
    struct rs_chunks_rule *rule = data;
    g_free(rule->packed);
    g_free(rule->row_versions);
    g_free(rule);
}

/* Makes an empty cache. */
struct rs_chunks *
RsChunks_New(void)
{
    struct rs_chunks *chunks = g_new0(struct rs_chunks, 1);
    chunks->rules =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_rule);
    chunks->names = g_ptr_array_new_with_free_func(g_free);
    chunks->retired =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_ptr_array_unref);
    chunks->name_numbers = g_hash_table_new(g_str_hash, g_str_equal);
    return chunks;
}

/* Frees the cache and its names. */
void
RsChunks_Free(struct rs_chunks *chunks)
{
    g_hash_table_destroy(chunks->rules);
    g_hash_table_destroy(chunks->name_numbers);
    g_ptr_array_free(chunks->names, TRUE);
    g_ptr_array_free(chunks->retired, TRUE);
    g_free(chunks);
}

/* Names of targets and cells that are long gone would use the numbers up:
 * when most of them may be such, all rows are decoded anew. The old names
 * stay, since views that other tasks still have point at them. */
void
RsChunks_Begin(struct rs_chunks *chunks)
{
    guint count = chunks->names->len;
    if (chunks->renumbered) {
        chunks->renumbered = false;
        chunks->first_count = count;
    }
    if (count < RENUMBER_AT || count / 2 < chunks->first_count) {
        return;
    }
    g_ptr_array_add(chunks->retired, chunks->names);
    chunks->names = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_remove_all(chunks->name_numbers);
    g_hash_table_remove_all(chunks->rules);
    chunks->renumbered = true;
}

/* Finds the number of a name. Returns false when there are more names than
 * numbers. */
static bool
number_name(struct rs_chunks *chunks, const char *name, uint16_t *number)
{
    gpointer known = g_hash_table_lookup(chunks->name_numbers, name);
    if (known == NULL) {
        if (chunks->names->len > UINT16_MAX) {
            return false;
        }
        char *copy = g_strdup(name);
        g_ptr_array_add(chunks->names, copy);
        known = GUINT_TO_POINTER(chunks->names->len);
        g_hash_table_insert(chunks->name_numbers, copy, known);
    }
    *number = (uint16_t)(GPOINTER_TO_UINT(known) - 1);
    return true;
}

/* Packs an assignment; one with a name that has no number stays out. */
static void
pack(struct rs_chunks *chunks, const struct rs_model_assignment *from,
     struct rs_packed_slice *to)
{
    memset(to, 0, sizeof(*to));
    if (from->epoch == 0) {
        return;
    }
    bool named = number_name(chunks, from->cell, &to->cell);
    to->succession_count = (uint8_t)from->succession_count;
    to->from_count = (uint8_t)from->from_count;
    for (size_t i = 0; i < from->succession_count; i++) {
        named &= number_name(chunks, from->succession[i], &to->succession[i]);
    }
    for (size_t i = 0; i < from->from_count; i++) {
        named &= number_name(chunks, from->from[i], &to->from[i]);
    }
    to->epoch = named ? from->epoch : 0;
    if (!named) {
        RsLog_EVENT(RsLog_ERROR, "too_many_names",
                    RsLog_NUMBER("slice", from->slice));
    }
}

static struct rs_chunks_rule *
find_rule(struct rs_chunks *chunks, const struct rs_model_rule *model)
{
    struct rs_chunks_rule *rule =
        g_hash_table_lookup(chunks->rules, model->name);
    if (rule != NULL && rule->slices == model->slices) {
        return rule;
    }
    rule = g_new0(struct rs_chunks_rule, 1);
    rule->slices = model->slices;
    rule->row_count = RsAssignment_Rows(model->slices);
    rule->packed = g_new0(struct rs_packed_slice, model->slices);
    rule->row_versions = g_new0(uint64_t, rule->row_count);
    g_hash_table_replace(chunks->rules, g_strdup(model->name), rule);
    return rule;
}

/* A row that can't be read counts as one without assignments. */
static void
decode_row(struct rs_chunks *chunks, const char *name,
           struct rs_chunks_rule *rule, size_t row, const char *text)
{
    struct rs_model_assignment slices[RsAssignment_PER_ROW];
    size_t count = 0;
    size_t first = row * RsAssignment_PER_ROW;
    size_t room = MIN((size_t)RsAssignment_PER_ROW, rule->slices - first);
    json_t *value = json_loads(text, 0, NULL);
    memset(rule->packed + first, 0, room * sizeof(rule->packed[0]));
    if (RsAssignment_Decode(value, name, (uint32_t)row, slices, &count) == 0) {
        for (size_t i = 0; i < MIN(count, room); i++) {
            pack(chunks, &slices[i], &rule->packed[first + i]);
        }
    }
    json_decref(value);
    chunks->rows_decoded++;
}

static void
update_row(struct rs_chunks *chunks, const struct rs_mirror *mirror,
           const char *name, struct rs_chunks_rule *rule, size_t row)
{
    char key[RsAssignment_KEY_BYTES];
    struct rs_mirror_row found = {.value = ""};
    RsAssignment_FormatKey(name, (uint32_t)row, key);
    RsMirror_Find(mirror, key, &found);
    if (found.version != rule->row_versions[row]) {
        rule->row_versions[row] = found.version;
        decode_row(chunks, name, rule, row, found.value);
    }
}

/* Decodes the rows that changed. */
const struct rs_chunks_rule *
RsChunks_Update(struct rs_chunks *chunks, const struct rs_mirror *mirror,
                const struct rs_model_rule *model)
{
    struct rs_chunks_rule *rule = find_rule(chunks, model);
    for (size_t row = 0; row < rule->row_count; row++) {
        update_row(chunks, mirror, model->name, rule, row);
    }
    return rule;
}

/* Returns how many names there are. They only grow in number. */
size_t
RsChunks_NameCount(const struct rs_chunks *chunks)
{
    return chunks->names->len;
}

/* Returns the names; the array is valid until the next update. */
const char *const *
RsChunks_Names(const struct rs_chunks *chunks)
{
    return (const char *const *)(void *)chunks->names->pdata;
}

/* Returns how many rows were decoded so far. */
uint64_t
RsChunks_RowsDecoded(const struct rs_chunks *chunks)
{
    return chunks->rows_decoded;
}

/* Fills in an assignment with its names; its epoch is 0 when there is none. */
void
RsChunks_Unpack(const struct rs_packed_slice *packed, const char *const *names,
                uint64_t slice, struct rs_model_assignment *assignment)
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
