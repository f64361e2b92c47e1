#include "place/names.h"

#include <string.h>

#define PLAIN_CHARACTERS "abcdefghijklmnopqrstuvwxyz0123456789._-"
#define CELL_CHARACTERS PLAIN_CHARACTERS "/"

static bool
is_valid(const char *name, size_t size_bytes, const char *characters)
{
    return size_bytes > 0 && size_bytes < RsModel_NAME_BYTES &&
           strspn(name, characters) == size_bytes;
}

/* Returns whether `name` consists of 1 to RsModel_NAME_BYTES - 1 characters of
 * [a-z0-9._-]. `size_bytes` is its length without the terminating zero. */
bool
RsNames_IsPlain(const char *name, size_t size_bytes)
{
    return is_valid(name, size_bytes, PLAIN_CHARACTERS);
}

/* Returns whether `name` consists of the characters allowed in names of cells:
 * 1 to RsModel_NAME_BYTES - 1 characters of [a-z0-9._/-]. RsCellName_Parse()
 * checks the form. */
bool
RsNames_IsCell(const char *name, size_t size_bytes)
{
    return is_valid(name, size_bytes, CELL_CHARACTERS);
}

/* Returns whether a list contains a name. */
bool
RsNames_Contain(const char (*names)[RsModel_NAME_BYTES], size_t count,
                const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether two lists have the same names in the same order. */
bool
RsNames_Equal(const char (*a)[RsModel_NAME_BYTES], size_t a_count,
              const char (*b)[RsModel_NAME_BYTES], size_t b_count)
{
    if (a_count != b_count) {
        return false;
    }
    for (size_t i = 0; i < a_count; i++) {
        if (strcmp(a[i], b[i]) != 0) {
            return false;
        }
    }
    return true;
}

/* Returns a JSON array of the names. The caller owns the reference. */
json_t *
RsNames_Encode(const char (*names)[RsModel_NAME_BYTES], size_t count)
{
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, json_string(names[i]));
    }
    return list;
}

/* Copies a JSON string to `name` if `valid` accepts it. Returns false for any
 * other value. `valid` must reject strings that don't fit into `name` or
 * contain a zero byte, as RsNames_IsPlain() and RsNames_IsCell() do. */
bool
RsNames_DecodeOne(const json_t *value,
                  bool (*valid)(const char *name, size_t size_bytes),
                  char name[RsModel_NAME_BYTES])
{
    if (!json_is_string(value)) {
        return false;
    }
    const char *text = json_string_value(value);
    size_t size_bytes = json_string_length(value);
    if (!valid(text, size_bytes)) {
        return false;
    }
    memcpy(name, text, size_bytes + 1);
    return true;
}

/* Copies a JSON array of names to `names`, and the number of names to
 * `*count`. Returns false if the value is not an array, or has more than
 * `capacity` elements, an element that is not a string or that `valid`
 * rejects, or a repeated name. On failure, `names` is undefined and `*count`
 * is not written. */
bool
RsNames_Decode(const json_t *list,
               bool (*valid)(const char *name, size_t size_bytes),
               char (*names)[RsModel_NAME_BYTES], size_t capacity,
               size_t *count)
{
    if (!json_is_array(list) || json_array_size(list) > capacity) {
        return false;
    }
    size_t size = json_array_size(list);
    for (size_t i = 0; i < size; i++) {
        if (!RsNames_DecodeOne(json_array_get(list, i), valid, names[i]) ||
            RsNames_Contain((const char(*)[RsModel_NAME_BYTES])names, i,
                            names[i])) {
            return false;
        }
    }
    *count = size;
    return true;
}
