#include "ticket/reader.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define NAME_CHARACTERS "abcdefghijklmnopqrstuvwxyz0123456789._-"

/* Tells whether the text is a name as place/model.h has them. */
bool
RsReader_IsName(const char *text)
{
    size_t size = strlen(text);
    return size > 0 && size < RsModel_NAME_BYTES &&
           strspn(text, NAME_CHARACTERS) == size;
}

/* Starts on a value. Returns 0, or -1 with a fault when it is no object. */
int
RsReader_Open(struct rs_reader *reader, const json_t *value, const char *path,
              struct rs_faults *faults)
{
    *reader =
        (struct rs_reader){.value = value, .path = path, .faults = faults};
    if (!json_is_object(value)) {
        RsFaults_Add(faults, path, "no JSON object", "a JSON object");
        return -1;
    }
    return 0;
}

static bool
was_asked(const struct rs_reader *reader, const char *field)
{
    for (size_t i = 0; i < reader->asked_count; i++) {
        if (strcmp(reader->asked[i], field) == 0) {
            return true;
        }
    }
    return false;
}

/* Adds a fault for each field that was not asked for. */
void
RsReader_Close(struct rs_reader *reader)
{
    char *allowed = NULL;
    const char *field = NULL;
    json_t *value = NULL;
    json_object_foreach((json_t *)reader->value, field, value)
    {
        if (was_asked(reader, field)) {
            continue;
        }
        if (allowed == NULL) {
            reader->asked[reader->asked_count] = NULL;
            allowed = g_strjoinv(", ", (char **)reader->asked);
        }
        RsReader_Refuse(reader, field, RsReader_NO_INDEX, "unknown field",
                        "%s", allowed);
    }
    g_free(allowed);
}

/* Returns the field's value, or NULL when it is absent (no fault then). */
const json_t *
RsReader_Field(struct rs_reader *reader, const char *field)
{
    g_assert(reader->asked_count < RsReader_MAX_FIELDS - 1);
    reader->asked[reader->asked_count++] = field;
    return json_object_get(reader->value, field);
}

static const char *
what_is_wrong(const json_t *value, const char *otherwise)
{
    return value == NULL ? "missing" : otherwise;
}

/* Returns the text, or NULL with a fault. */
const char *
RsReader_Text(struct rs_reader *reader, const char *field)
{
    const json_t *value = RsReader_Field(reader, field);
    const char *text = json_string_value(value);
    if (text == NULL) {
        RsReader_Refuse(reader, field, RsReader_NO_INDEX,
                        what_is_wrong(value, "no text"), "text");
    }
    return text;
}

/* Reads a name, or adds a fault and leaves the name as it was. */
void
RsReader_Name(struct rs_reader *reader, const char *field,
              char name[RsModel_NAME_BYTES])
{
    const json_t *value = RsReader_Field(reader, field);
    const char *text = json_string_value(value);
    if (text == NULL || !RsReader_IsName(text)) {
        RsReader_Refuse(reader, field, RsReader_NO_INDEX,
                        what_is_wrong(value, "no name"), "%s",
                        RsReader_NAME_ALLOWED);
        return;
    }
    snprintf(name, RsModel_NAME_BYTES, "%s", text);
}

/* Reads true or false; false with a fault. */
bool
RsReader_Bool(struct rs_reader *reader, const char *field)
{
    const json_t *value = RsReader_Field(reader, field);
    if (!json_is_boolean(value)) {
        RsReader_Refuse(reader, field, RsReader_NO_INDEX,
                        what_is_wrong(value, "no boolean"), "true, false");
    }
    return json_is_true(value);
}

/* Reads an integer from min to max; min with a fault. */
uint32_t
RsReader_Number(struct rs_reader *reader, const char *field, uint32_t min,
                uint32_t max)
{
    const json_t *value = RsReader_Field(reader, field);
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < min || number > max) {
        RsReader_Refuse(reader, field, RsReader_NO_INDEX,
                        what_is_wrong(value, json_is_integer(value)
                                                 ? "out of range"
                                                 : "no integer"),
                        "%u to %u", min, max);
        return min;
    }
    return (uint32_t)number;
}

/* Reads one of the choices, which end with NULL. Returns its index; 0 with a
 * fault. */
int
RsReader_Choice(struct rs_reader *reader, const char *field,
                const char *const *choices)
{
    const json_t *value = RsReader_Field(reader, field);
    const char *text = json_string_value(value);
    for (int i = 0; text != NULL && choices[i] != NULL; i++) {
        if (strcmp(text, choices[i]) == 0) {
            return i;
        }
    }
    char *allowed = g_strjoinv(", ", (char **)choices);
    RsReader_Refuse(reader, field, RsReader_NO_INDEX,
                    what_is_wrong(value, "unknown"), "%s", allowed);
    g_free(allowed);
    return 0;
}

/* Returns a list and its count; NULL and 0 with a fault when it is none, or
 * has fewer than min or more than max items. */
const json_t *
RsReader_List(struct rs_reader *reader, const char *field, size_t min,
              size_t max, size_t *count)
{
    const json_t *value = RsReader_Field(reader, field);
    size_t size = json_array_size(value);
    *count = 0;
    if (!json_is_array(value) || size < min || size > max) {
        RsReader_Refuse(reader, field, RsReader_NO_INDEX,
                        what_is_wrong(value, "no such list"),
                        "a list of %zu to %zu items", min, max);
        return NULL;
    }
    *count = size;
    return value;
}

/* Writes the path of one item of a list; of the field with
 * RsReader_NO_INDEX. */
void
RsReader_ItemPath(const struct rs_reader *reader, const char *field,
                  size_t index, char path[RsReader_PATH_BYTES])
{
    const char *dot = reader->path[0] == '\0' ? "" : ".";
    if (index == RsReader_NO_INDEX) {
        snprintf(path, RsReader_PATH_BYTES, "%s%s%s", reader->path, dot,
                 field);
        return;
    }
    snprintf(path, RsReader_PATH_BYTES, "%s%s%s[%zu]", reader->path, dot,
             field, index);
}

/* Adds a fault of a field, or of item `index` of it. */
void
RsReader_Refuse(struct rs_reader *reader, const char *field, size_t index,
                const char *what, const char *allowed, ...)
{
    char path[RsReader_PATH_BYTES];
    RsReader_ItemPath(reader, field, index, path);
    va_list args;
    va_start(args, allowed);
    char *text = g_strdup_vprintf(allowed, args);
    va_end(args);
    RsFaults_Add(reader->faults, path, what, "%s", text);
    g_free(text);
}

/* Adds a fault for each text that stands in the list a second time. */
void
RsReader_RefuseRepeats(struct rs_reader *reader, const char *field,
                       const json_t *list)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *text = json_string_value(json_array_get(list, i));
        if (text != NULL && !g_hash_table_add(seen, (char *)text)) {
            RsReader_Refuse(reader, field, i, "listed twice", "each once");
        }
    }
    g_hash_table_unref(seen);
}
