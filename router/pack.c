#include "router/pack.h"

#include <zlib.h>

/* Rows are compressed once for all receivers, but opened by each of many weak
 * nodes; the fastest level makes JSON a tenth of its size. */
#define LEVEL 1
#define MAX_TEXT_BYTES                                                        \
    (16 * 1024 * 1024) /* far above what the store takes                      \
                        */

/* Returns the text compressed, which the caller frees, or NULL when that saves
 * nothing. */
GByteArray *
RsPack_Make(const char *text, size_t size_bytes)
{
    uLongf packed_bytes = compressBound(size_bytes);
    GByteArray *packed = g_byte_array_sized_new((guint)packed_bytes);
    g_byte_array_set_size(packed, (guint)packed_bytes);
    int status = compress2(packed->data, &packed_bytes, (const Bytef *)text,
                           size_bytes, LEVEL);
    if (status != Z_OK || packed_bytes >= size_bytes) {
        g_byte_array_unref(packed);
        return NULL;
    }
    g_byte_array_set_size(packed, (guint)packed_bytes);
    return packed;
}

/* Returns the text of that size, ended by a zero byte, which the caller frees
 * with g_free(), or NULL when the bytes hold something else. */
char *
RsPack_Open(const void *packed, size_t packed_bytes, size_t size_bytes)
{
    if (size_bytes > MAX_TEXT_BYTES) {
        return NULL;
    }
    uLongf opened_bytes = size_bytes;
    char *text = g_malloc(size_bytes + 1);
    int status =
        uncompress((Bytef *)text, &opened_bytes, packed, packed_bytes);
    if (status != Z_OK || opened_bytes != size_bytes) {
        g_free(text);
        return NULL;
    }
    text[size_bytes] = '\0';
    return text;
}
