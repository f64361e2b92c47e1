/* 64-bit ids, computed as hashes of names or bytes. The same name or bytes
 * give the same id in every process. The hash is XXH3. */

#ifndef RATTANSHED_CORE_ID_H
#define RATTANSHED_CORE_ID_H

#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

/* Size of an id as text: 16 hex digits and a null byte. */
#define RsId_TEXT_BYTES 17

enum rs_id_error {
    RsId_MALFORMED = RsError_CORE
};

struct rs_id_piece {
    const void *data;
    size_t size_bytes;
};

uint64_t RsId_FromName(const char *name);
uint64_t RsId_FromBytes(const void *data, size_t size_bytes);
uint64_t RsId_FromPieces(const struct rs_id_piece *pieces, size_t count);
uint64_t RsId_Combine(uint64_t a, uint64_t b);
void RsId_Format(uint64_t id, char text[RsId_TEXT_BYTES]);
int RsId_Parse(const char *text, uint64_t *id);

#endif
