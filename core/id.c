#include "core/id.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "core/error.h"

#define ID_HEX_DIGITS 16

/* Returns the id of a null-terminated name. */
uint64_t
RsId_FromName(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

/* Returns the id of `size_bytes` bytes at `data`. */
uint64_t
RsId_FromBytes(const void *data, size_t size_bytes)
{
    return XXH3_64bits(data, size_bytes);
}

/* Returns the id of the bytes of all pieces, one after the other. */
uint64_t
RsId_FromPieces(const struct rs_id_piece *pieces, size_t count)
{
    XXH3_state_t *state = XXH3_createState();
    assert(state != NULL);
    XXH3_64bits_reset(state);
    for (size_t i = 0; i < count; i++) {
        XXH3_64bits_update(state, pieces[i].data, pieces[i].size_bytes);
    }
    uint64_t id = XXH3_64bits_digest(state);
    XXH3_freeState(state);
    return id;
}

/* Returns a hash of two ids, which depends on their order. */
uint64_t
RsId_Combine(uint64_t a, uint64_t b)
{
    uint64_t pair[2] = {a, b};
    return XXH3_64bits(pair, sizeof(pair));
}

/* Writes an id as 16 lower-case hex digits and a null byte. */
void
RsId_Format(uint64_t id, char text[RsId_TEXT_BYTES])
{
    snprintf(text, RsId_TEXT_BYTES, "%016" PRIx64, id);
}

/* Parses a text of exactly 16 lower-case hex digits. Returns 0, or
 * RsId_MALFORMED if the text is anything else. */
int
RsId_Parse(const char *text, uint64_t *id)
{
    if (strspn(text, "0123456789abcdef") != ID_HEX_DIGITS ||
        text[ID_HEX_DIGITS] != '\0') {
        return RsId_MALFORMED;
    }
    return sscanf(text, "%16" SCNx64, id) == 1 ? 0 : RsId_MALFORMED;
}
