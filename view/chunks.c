#include "view/chunks.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "place/assignment.h"

struct rs_chunks {
    GHashTable *rules;        /* name to rs_chunks_rule */
    GPtrArray *names;         /* of cells and targets */
    GHashTable *name_numbers; /* name to its number and one */
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
    g_free(chunks);
}

/* Returns the number of a name. More than 65,535 names are beyond the size
 * that is planned for. */
static uint16_t
number_name(struct rs_chunks *chunks, const char *name)
{
    gpointer known = g_hash_table_lookup(chunks->name_numbers, name);
    if (known == NULL) {
        char *copy = g_strdup(name);
        g_assert(chunks->names->len < UINT16_MAX);
        g_ptr_array_add(chunks->names, copy);
        known = GUINT_TO_POINTER(chunks->names->len);
        g_hash_table_insert(chunks->name_numbers, copy, known);
    }
    return (uint16_t)(GPOINTER_TO_UINT(known) - 1);
}

static void
pack(struct rs_chunks *chunks, const struct rs_model_assignment *from,
     struct rs_packed_slice *to)
{
    memset(to, 0, sizeof(*to));
    to->epoch = from->epoch;
    if (from->epoch == 0) {
        return;
    }
    to->cell = number_name(chunks, from->cell);
    to->succession_count = (uint8_t)from->succession_count;
    to->from_count = (uint8_t)from->from_count;
    for (size_t i = 0; i < from->succession_count; i++) {
        to->succession[i] = number_name(chunks, from->succession[i]);
    }
    for (size_t i = 0; i < from->from_count; i++) {
        to->from[i] = number_name(chunks, from->from[i]);
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
