/* A rule's keys are hashed into slices, numbered from 0. The id of a slice
 * combines the id of its rule with its index. */

#ifndef RATTANSHED_PLACE_SLICE_H
#define RATTANSHED_PLACE_SLICE_H

#include <stddef.h>
#include <stdint.h>

uint64_t RsSlice_Id(const char *rule, uint32_t index);
uint32_t RsSlice_Index(uint64_t slice);
uint32_t RsSlice_IndexOfKey(const void *key, size_t size_bytes,
                            uint32_t slices);

#endif
