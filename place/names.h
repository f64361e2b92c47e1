/* Validation of names, and lists of names in the JSON values of rows. */

#ifndef RATTANSHED_PLACE_NAMES_H
#define RATTANSHED_PLACE_NAMES_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "place/model.h"

bool RsNames_IsPlain(const char *name, size_t size_bytes);
bool RsNames_IsCell(const char *name, size_t size_bytes);
bool RsNames_Contain(const char (*names)[RsModel_NAME_BYTES], size_t count,
                     const char *name);
bool RsNames_Equal(const char (*a)[RsModel_NAME_BYTES], size_t a_count,
                   const char (*b)[RsModel_NAME_BYTES], size_t b_count);
json_t *RsNames_Encode(const char (*names)[RsModel_NAME_BYTES], size_t count);
bool RsNames_DecodeOne(const json_t *value,
                       bool (*valid)(const char *name, size_t size_bytes),
                       char name[RsModel_NAME_BYTES]);
bool RsNames_Decode(const json_t *list,
                    bool (*valid)(const char *name, size_t size_bytes),
                    char (*names)[RsModel_NAME_BYTES], size_t capacity,
                    size_t *count);

#endif
