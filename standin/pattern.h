/* The content of the stand-in's files: each byte depends on the key and on
 * its position, so that a reader can tell whether a file is whole. */

#ifndef RATTANSHED_STANDIN_PATTERN_H
#define RATTANSHED_STANDIN_PATTERN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

void RsPattern_Fill(uint64_t key, uint64_t offset_bytes, uint8_t *data,
                    size_t size_bytes);
bool RsPattern_Matches(uint64_t key, uint64_t offset_bytes,
                       const uint8_t *data, size_t size_bytes);

#endif
