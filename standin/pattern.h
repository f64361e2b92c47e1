/* The content of the files that emulated targets serve. Each byte depends on
 * the key and on its offset, so that a reader can detect missing, moved or
 * foreign bytes. */

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
