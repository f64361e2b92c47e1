#include "place/assignment.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place/names.h"
#include "place/slice.h"

#define ROW_DIGITS 4
#define SLICE_FIELD_COUNT 4

/* Returns the number of rows for a rule with `slices` slices. */
uint32_t
RsAssignment_CountRows(uint32_t slices)
{
    return (slices + RsAssignment_SLICES_PER_ROW - 1) /
           RsAssignment_SLICES_PER_ROW;
}

/* Returns the number of slices in row `row` of a rule with `slices` slices; 0
 * for a row past the last one. */
uint32_t
RsAssignment_CountSlicesInRow(uint32_t slices, uint32_t row)
{
    uint32_t first = row * RsAssignment_SLICES_PER_ROW;
    if (first >= slices) {
        return 0;
    }
    uint32_t remaining = slices - first;
    return remaining < RsAssignment_SLICES_PER_ROW
               ? remaining
               : RsAssignment_SLICES_PER_ROW;
}

/* Writes the table key of a rule's row. `row` must be below
 * RsAssignment_MAX_ROWS. */
void
RsAssignment_FormatKey(const char *rule, uint32_t row,
                       char key[RsAssignment_KEY_BYTES])
{
    assert(row < RsAssignment_MAX_ROWS);
    snprintf(key, RsAssignment_KEY_BYTES, RsAssignment_PREFIX "%s/%0*u", rule,
             ROW_DIGITS, row);
}

/* Splits a table key into the rule's name and the row's number. Returns 0, or
 * RsAssignment_BAD_KEY for a key that RsAssignment_FormatKey() does not
 * write. */
int
RsAssignment_ParseKey(const char *key, char rule[RsModel_NAME_BYTES],
                      uint32_t *row)
{
    size_t prefix_bytes = strlen(RsAssignment_PREFIX);
    if (strncmp(key, RsAssignment_PREFIX, prefix_bytes) != 0) {
        return RsAssignment_BAD_KEY;
    }
    const char *name = key + prefix_bytes;
    size_t name_bytes = strcspn(name, "/");
    const char *digits = name + name_bytes + 1;
    if (!RsNames_IsPlain(name, name_bytes) || name[name_bytes] != '/' ||
        strspn(digits, "0123456789") != ROW_DIGITS ||
        digits[ROW_DIGITS] != '\0') {
        return RsAssignment_BAD_KEY;
    }
    unsigned long number = strtoul(digits, NULL, 10);
    if (number >= RsAssignment_MAX_ROWS) {
        return RsAssignment_BAD_KEY;
    }
    memcpy(rule, name, name_bytes);
    rule[name_bytes] = '\0';
    *row = (uint32_t)number;
    return 0;
}

/* Returns the JSON value of a row with `count` slices, 1 to
 * RsAssignment_SLICES_PER_ROW. The caller owns the reference. */
json_t *
RsAssignment_Encode(const struct rs_model_assignment *slices, size_t count)
{
    assert(count > 0 && count <= RsAssignment_SLICES_PER_ROW);
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        const struct rs_model_assignment *slice = &slices[i];
        json_t *succession =
            RsNames_Encode(slice->succession, slice->succession_count);
        json_t *from = RsNames_Encode(slice->from, slice->from_count);
        json_t *item =
            json_pack("{s:I,s:s,s:o,s:o}", "e", (json_int_t)slice->epoch, "c",
                      slice->cell, "s", succession, "f", from);
        json_array_append_new(list, item);
    }
    return json_pack("{s:o}", "slices", list);
}

static int
decode_lists(const json_t *item, struct rs_model_assignment *slice)
{
    if (!RsNames_Decode(json_object_get(item, "s"), RsNames_IsPlain,
                        slice->succession, RsModel_MAX_SUCCESSION,
                        &slice->succession_count)) {
        return RsAssignment_BAD_SUCCESSION;
    }
    if (!RsNames_Decode(json_object_get(item, "f"), RsNames_IsCell,
                        slice->from, RsModel_MAX_FROM, &slice->from_count)) {
        return RsAssignment_BAD_FROM;
    }
    return 0;
}

/* Checks that the fields of a decoded slice agree: an unassigned slice has no
 * cell, targets or earlier cells; an assigned one has a cell and targets, and
 * `from` doesn't contain its own cell. */
static int
check_consistency(const struct rs_model_assignment *slice)
{
    bool assigned = slice->epoch > 0;
    if (assigned != (slice->cell[0] != '\0')) {
        return RsAssignment_BAD_CELL;
    }
    if (assigned != (slice->succession_count > 0)) {
        return RsAssignment_BAD_SUCCESSION;
    }
    if ((!assigned && slice->from_count > 0) ||
        RsNames_Contain(slice->from, slice->from_count, slice->cell)) {
        return RsAssignment_BAD_FROM;
    }
    return 0;
}

static int
decode_slice(const json_t *item, struct rs_model_assignment *slice)
{
    if (!json_is_object(item) || json_object_size(item) != SLICE_FIELD_COUNT) {
        return RsAssignment_BAD_VALUE;
    }
    const json_t *epoch = json_object_get(item, "e");
    if (!json_is_integer(epoch) || json_integer_value(epoch) < 0) {
        return RsAssignment_BAD_EPOCH;
    }
    slice->epoch = (uint64_t)json_integer_value(epoch);
    const json_t *cell = json_object_get(item, "c");
    bool no_cell = json_is_string(cell) && json_string_length(cell) == 0;
    if (!no_cell && !RsNames_DecodeOne(cell, RsNames_IsCell, slice->cell)) {
        return RsAssignment_BAD_CELL;
    }
    int status = decode_lists(item, slice);
    return status == 0 ? check_consistency(slice) : status;
}

/* Decodes the JSON value of row `row` of a rule into `slices`, which has room
 * for RsAssignment_SLICES_PER_ROW, and checks it. Returns 0 or an
 * rs_assignment_error; `*count` is written only on success. */
int
RsAssignment_Decode(const json_t *value, const char *rule, uint32_t row,
                    struct rs_model_assignment *slices, size_t *count)
{
    const json_t *list = json_object_get(value, "slices");
    if (!json_is_array(list) || json_object_size(value) != 1) {
        return RsAssignment_BAD_VALUE;
    }
    size_t size = json_array_size(list);
    if (size == 0 || size > RsAssignment_SLICES_PER_ROW) {
        return RsAssignment_BAD_COUNT;
    }
    memset(slices, 0, size * sizeof(slices[0]));
    for (size_t i = 0; i < size; i++) {
        uint32_t index = row * RsAssignment_SLICES_PER_ROW + (uint32_t)i;
        slices[i].slice = RsSlice_Id(rule, index);
        int status = decode_slice(json_array_get(list, i), &slices[i]);
        if (status != 0) {
            return status;
        }
    }
    *count = size;
    return 0;
}

/* Returns whether all fields of two assignments are equal. */
bool
RsAssignment_Equal(const struct rs_model_assignment *a,
                   const struct rs_model_assignment *b)
{
    return a->slice == b->slice && a->epoch == b->epoch &&
           strcmp(a->cell, b->cell) == 0 &&
           RsNames_Equal(a->succession, a->succession_count, b->succession,
                         b->succession_count) &&
           RsNames_Equal(a->from, a->from_count, b->from, b->from_count);
}

/* Returns the index of a target in the succession, or -1. */
int
RsAssignment_Position(const struct rs_model_assignment *assignment,
                      const char *target)
{
    for (size_t i = 0; i < assignment->succession_count; i++) {
        if (strcmp(assignment->succession[i], target) == 0) {
            return (int)i;
        }
    }
    return -1;
}
