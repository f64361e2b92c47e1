#include "ticket/reader.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define NAME_CHARACTERS "abcdefghijklmnopqrstuvwxyz0123456789._-"

/* Returns whether the text is a valid name as described in place/model.h. */
bool
RsReader_IsValidName(const char *text)
{
    size_t size = strlen(text);
    return size > 0 && size < RsModel_NAME_BYTES &&
           strspn(text, NAME_CHARACTERS) == size;
}

/* Initializes the reader for a value. `path` is the position of the value in
 * the input. Returns 0, or -1 after adding a fault if the value is not a JSON
 * object. */
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
was_read(const struct rs_reader *reader, const char *field)
{
    for (size_t i = 0; i < reader->field_count; i++) {
        if (strcmp(reader->fields[i], field) == 0) {
            return true;
        }
    }
    return false;
}

/* Adds a fault for each field of the JSON object that was not read. */
void
RsReader_Close(struct rs_reader *reader)
{
    char *allowed = NULL;
    const char *field = NULL;
    json_t *value = NULL;
    json_object_foreach((json_t *)reader->value, field, value)
    {
        if (was_read(reader, field)) {
            continue;
        }
        if (allowed == NULL) {
            reader->fields[reader->field_count] = NULL;
            allowed = g_strjoinv(", ", (char **)reader->fields);
        }
        RsReader_AddFault(reader, field, RsReader_NO_INDEX, "unknown field",
                          "%s", allowed);
    }
    g_free(allowed);
}

/* Returns the field's value, or NULL if it is absent, and records the field as
 * read. Adds no fault. */
const json_t *
RsReader_Field(struct rs_reader *reader, const char *field)
{
    g_assert(reader->field_count < RsReader_MAX_FIELDS - 1);
    reader->fields[reader->field_count++] = field;
    return json_object_get(reader->value, field);
}

static const char *
describe_bad_value(const json_t *value, const char *what)
{
    return value == NULL ? "missing" : what;
}

/* Returns the field's string. If the field is missing or not a string, adds a
 * fault and returns NULL. */
const char *
RsReader_String(struct rs_reader *reader, const char *field)
{
    const json_t *value = RsReader_Field(reader, field);
    const char *text = json_string_value(value);
    if (text == NULL) {
        RsReader_AddFault(reader, field, RsReader_NO_INDEX,
                          describe_bad_value(value, "no text"), "text");
    }
    return text;
}

/* Copies the field's value to `name`. If it is not a valid name, adds a fault
 * and leaves `name` unchanged. */
void
RsReader_Name(struct rs_reader *reader, const char *field,
              char name[RsModel_NAME_BYTES])
{
    const json_t *value = RsReader_Field(reader, field);
    const char *text = json_string_value(value);
    if (text == NULL || !RsReader_IsValidName(text)) {
        RsReader_AddFault(reader, field, RsReader_NO_INDEX,
                          describe_bad_value(value, "no name"), "%s",
                          RsReader_NAME_ALLOWED);
        return;
    }
    snprintf(name, RsModel_NAME_BYTES, "%s", text);
}

/* Returns the field's boolean. If the field is missing or not a boolean, adds
 * a fault and returns false. */
bool
RsReader_Bool(struct rs_reader *reader, const char *field)
{
    const json_t *value = RsReader_Field(reader, field);
    if (!json_is_boolean(value)) {
        RsReader_AddFault(reader, field, RsReader_NO_INDEX,
                          describe_bad_value(value, "no boolean"),
                          "true, false");
    }
    return json_is_true(value);
}

/* Returns the field's integer, which must be from min to max. If the field is
 * missing or has another value, adds a fault and returns min. */
uint32_t
RsReader_Number(struct rs_reader *reader, const char *field, uint32_t min,
                uint32_t max)
{
    const json_t *value = RsReader_Field(reader, field);
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < min || number > max) {
        RsReader_AddFault(reader, field, RsReader_NO_INDEX,
                          describe_bad_value(value, json_is_integer(value)
                                                        ? "out of range"
                                                        : "no integer"),
                          "%u to %u", min, max);
        return min;
    }
    return (uint32_t)number;
}

/* Returns the index of the field's string in `choices`, which ends with NULL.
 * If the field is missing or has another value, adds a fault and returns 0. */
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
    RsReader_AddFault(reader, field, RsReader_NO_INDEX,
                      describe_bad_value(value, "unknown"), "%s", allowed);
    g_free(allowed);
    return 0;
}

/* Returns the field's JSON array and stores its size in `count`. If the field
 * is missing, not an array, or has fewer than min or more than max items, adds
 * a fault, stores 0 and returns NULL. */
const json_t *
RsReader_Array(struct rs_reader *reader, const char *field, size_t min,
               size_t max, size_t *count)
{
    const json_t *value = RsReader_Field(reader, field);
    size_t size = json_array_size(value);
    *count = 0;
    if (!json_is_array(value) || size < min || size > max) {
        RsReader_AddFault(reader, field, RsReader_NO_INDEX,
                          describe_bad_value(value, "no such list"),
                          "a list of %zu to %zu items", min, max);
        return NULL;
    }
    *count = size;
    return value;
}

/* Writes the path of item `index` of a list field, or the path of the field
 * itself if the index is RsReader_NO_INDEX. */
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

/* Adds a fault for item `index` of a field, or for the field itself if the
 * index is RsReader_NO_INDEX. `allowed` is a printf format. */
void
RsReader_AddFault(struct rs_reader *reader, const char *field, size_t index,
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

/* Adds a fault for each string that repeats an earlier one of the list. */
void
RsReader_AddDuplicateFaults(struct rs_reader *reader, const char *field,
                            const json_t *list)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *text = json_string_value(json_array_get(list, i));
        if (text != NULL && !g_hash_table_add(seen, (char *)text)) {
            RsReader_AddFault(reader, field, i, "listed twice", "each once");
        }
    }
    g_hash_table_unref(seen);
}
