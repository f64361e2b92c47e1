/* Encodes the rows `assign/RULE/CCCC` of the platform's table. Each row but
 * the last holds the assignments of RsAssignment_SLICES_PER_ROW slices; CCCC
 * is the row's number. */

#ifndef RATTANSHED_PLACE_ASSIGNMENT_H
#define RATTANSHED_PLACE_ASSIGNMENT_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "place/model.h"

#define RsAssignment_PREFIX "assign/"
#define RsAssignment_SLICES_PER_ROW 32
#define RsAssignment_MAX_ROWS                                                 \
    (RsModel_MAX_SLICES / RsAssignment_SLICES_PER_ROW)
#define RsAssignment_KEY_BYTES (RsModel_NAME_BYTES + 16)

enum rs_assignment_error {
    RsAssignment_BAD_KEY = RsError_PLACE - 1,
    RsAssignment_BAD_VALUE =
        RsError_PLACE - 2, /* not a JSON object with exactly
                            * the expected fields */
    RsAssignment_BAD_COUNT =
        RsError_PLACE - 3, /* no slices, or more than
                            * RsAssignment_SLICES_PER_ROW */
    RsAssignment_BAD_EPOCH = RsError_PLACE - 4,
    RsAssignment_BAD_CELL = RsError_PLACE - 5,
    RsAssignment_BAD_SUCCESSION = RsError_PLACE - 6,
    RsAssignment_BAD_FROM = RsError_PLACE - 7
};

/* Row keys */
uint32_t RsAssignment_CountRows(uint32_t slices);
uint32_t RsAssignment_CountSlicesInRow(uint32_t slices, uint32_t row);
void RsAssignment_FormatKey(const char *rule, uint32_t row,
                            char key[RsAssignment_KEY_BYTES]);
int RsAssignment_ParseKey(const char *key, char rule[RsModel_NAME_BYTES],
                          uint32_t *row);

/* Row values */
json_t *RsAssignment_Encode(const struct rs_model_assignment *slices,
                            size_t count);
int RsAssignment_Decode(const json_t *value, const char *rule, uint32_t row,
                        struct rs_model_assignment *slices, size_t *count);

/* Comparison and lookup */
bool RsAssignment_Equal(const struct rs_model_assignment *a,
                        const struct rs_model_assignment *b);
int RsAssignment_Position(const struct rs_model_assignment *assignment,
                          const char *target);

#endif
