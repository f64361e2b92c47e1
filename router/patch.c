#include "router/patch.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

#include "router/patch.pb-c.h"

/* A line ends after a closing brace as well, so that JSON without newlines has
 * a line for each object. */
#define LINE_ENDS "\n}"

/* A line including its end character. The last line of a text may lack one. */
struct line {
    const char *start;
    size_t size_bytes;
};

/* Returns an array of struct line that point into the text. The caller frees
 * the array with g_array_unref(). */
static GArray *
split_lines(const char *text)
{
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct line));
    while (*text != '\0') {
        const char *end = strpbrk(text, LINE_ENDS);
        size_t size_bytes =
            end != NULL ? (size_t)(end - text) + 1 : strlen(text);
        const struct line line = {text, size_bytes};
        g_array_append_val(lines, line);
        text += size_bytes;
    }
    return lines;
}

static guint
hash_line(gconstpointer key)
{
    const struct line *line = key;
    return (guint)XXH3_64bits(line->start, line->size_bytes);
}

static gboolean
same_line(gconstpointer a, gconstpointer b)
{
    const struct line *first = a;
    const struct line *second = b;
    return first->size_bytes == second->size_bytes &&
           memcmp(first->start, second->start, first->size_bytes) == 0;
}

/* The steps of a patch while it is built, see router/patch.proto. */
struct steps {
    GArray *from;
    GArray *count;
    GArray *insert;
    GByteArray *text;
};

static void
add_step(struct steps *steps, uint32_t from)
{
    const uint32_t zero = 0;
    g_array_append_val(steps->from, from);
    g_array_append_val(steps->count, zero);
    g_array_append_val(steps->insert, zero);
}

static uint32_t *
last_value_ref(const GArray *numbers)
{
    return &g_array_index(numbers, uint32_t, numbers->len - 1);
}

/* Adds to the patch: copy the line with this index from the old text. */
static void
copy_line(struct steps *steps, uint32_t index)
{
    uint32_t next =
        *last_value_ref(steps->from) + *last_value_ref(steps->count);
    if (*last_value_ref(steps->insert) > 0 || next != index) {
        add_step(steps, index);
    }
    (*last_value_ref(steps->count))++;
}

/* Adds to the patch: insert this line, whose text the patch contains. */
static void
insert_line(struct steps *steps, const struct line *line)
{
    (*last_value_ref(steps->insert))++;
    g_byte_array_append(steps->text, (const guint8 *)line->start,
                        (guint)line->size_bytes);
}

static GByteArray *
serialize(const struct steps *steps, const char *new_text)
{
    Rs__Patch__Patch patch = RS__PATCH__PATCH__INIT;
    patch.n_from = steps->from->len;
    patch.from = (uint32_t *)(void *)steps->from->data;
    patch.n_count = steps->count->len;
    patch.count = (uint32_t *)(void *)steps->count->data;
    patch.n_insert = steps->insert->len;
    patch.insert = (uint32_t *)(void *)steps->insert->data;
    patch.text.data = steps->text->data;
    patch.text.len = steps->text->len;
    patch.hash = XXH3_64bits(new_text, strlen(new_text));
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_set_size(bytes,
                          (guint)rs__patch__patch__get_packed_size(&patch));
    rs__patch__patch__pack(&patch, bytes->data);
    return bytes;
}

/* Returns a serialized patch that turns the old text into the new one; the
 * caller frees it with g_byte_array_unref(). */
GByteArray *
RsPatch_Make(const char *old_text, const char *new_text)
{
    GArray *old_lines = split_lines(old_text);
    GArray *new_lines = split_lines(new_text);
    GHashTable *line_numbers = g_hash_table_new(hash_line, same_line);
    struct steps steps = {
        .from = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .count = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .insert = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .text = g_byte_array_new(),
    };
    for (guint i = 0; i < old_lines->len; i++) {
        g_hash_table_insert(line_numbers,
                            &g_array_index(old_lines, struct line, i),
                            GUINT_TO_POINTER(i + 1));
    }
    add_step(&steps, 0);
    for (guint i = 0; i < new_lines->len; i++) {
        const struct line *line = &g_array_index(new_lines, struct line, i);
        guint line_number =
            GPOINTER_TO_UINT(g_hash_table_lookup(line_numbers, line));
        if (line_number > 0) {
            copy_line(&steps, line_number - 1);
        }
        else {
            insert_line(&steps, line);
        }
    }
    GByteArray *bytes = serialize(&steps, new_text);
    g_hash_table_unref(line_numbers);
    g_array_unref(steps.from);
    g_array_unref(steps.count);
    g_array_unref(steps.insert);
    g_byte_array_unref(steps.text);
    g_array_unref(old_lines);
    g_array_unref(new_lines);
    return bytes;
}

/* Appends `count` of the lines to the text, starting at index `from`. Returns
 * false and appends nothing when there are too few. */
static bool
append_lines(GString *text, const GArray *lines, uint64_t from, uint64_t count)
{
    if (from + count > lines->len) {
        return false;
    }
    for (uint64_t i = from; i < from + count; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        g_string_append_len(text, line->start, (gssize)line->size_bytes);
    }
    return true;
}

/* Appends the new text to `text`. Returns false when the patch is inconsistent
 * or the result doesn't match its hash. */
static bool
run_steps(const Rs__Patch__Patch *patch, const GArray *old_lines,
          const GArray *inserted_lines, GString *text)
{
    uint64_t next_inserted = 0;
    if (patch->n_count != patch->n_from || patch->n_insert != patch->n_from) {
        return false;
    }
    for (size_t i = 0; i < patch->n_from; i++) {
        if (!append_lines(text, old_lines, patch->from[i], patch->count[i]) ||
            !append_lines(text, inserted_lines, next_inserted,
                          patch->insert[i])) {
            return false;
        }
        next_inserted += patch->insert[i];
    }
    return XXH3_64bits(text->str, text->len) == patch->hash;
}

/* Applies a patch to the old text. Returns the new text, which the caller
 * frees with g_free(), or NULL when the patch is malformed or was made for
 * another text. */
char *
RsPatch_Apply(const char *old_text, const void *patch_data, size_t patch_bytes)
{
    Rs__Patch__Patch *patch =
        rs__patch__patch__unpack(NULL, patch_bytes, patch_data);
    if (patch == NULL) {
        return NULL;
    }
    /* A patch that only deletes lines has no text of its own. */
    char *inserted_text =
        patch->text.len > 0
            ? g_strndup((const char *)patch->text.data, patch->text.len)
            : g_strdup("");
    GArray *old_lines = split_lines(old_text);
    GArray *inserted_lines = split_lines(inserted_text);
    GString *text = g_string_new(NULL);
    bool good = run_steps(patch, old_lines, inserted_lines, text);
    g_array_unref(old_lines);
    g_array_unref(inserted_lines);
    g_free(inserted_text);
    rs__patch__patch__free_unpacked(patch, NULL);
    return g_string_free(text, !good);
}
