#include "router/pack.h"

#include <zlib.h>

/* Rows are compressed once for all receivers, but decompressed by each of many
 * slow nodes. The fastest level already reduces JSON to a tenth of its size.
 */
#define COMPRESSION_LEVEL 1
/* Far above the size of a row that the store accepts. */
#define MAX_TEXT_BYTES (16 * 1024 * 1024)

/* Returns the compressed text, to be freed by the caller with
 * g_byte_array_unref(), or NULL if compression does not make it smaller. */
GByteArray *
RsPack_Compress(const char *text, size_t size_bytes)
{
    uLongf packed_bytes = compressBound(size_bytes);
    GByteArray *packed = g_byte_array_sized_new((guint)packed_bytes);
    g_byte_array_set_size(packed, (guint)packed_bytes);
    int status = compress2(packed->data, &packed_bytes, (const Bytef *)text,
                           size_bytes, COMPRESSION_LEVEL);
    if (status != Z_OK || packed_bytes >= size_bytes) {
        g_byte_array_unref(packed);
        return NULL;
    }
    g_byte_array_set_size(packed, (guint)packed_bytes);
    return packed;
}

/* Returns the decompressed text, terminated by a zero byte and to be freed by
 * the caller with g_free(). Returns NULL if the data is invalid or does not
 * decompress to exactly `size_bytes`. */
char *
RsPack_Decompress(const void *packed, size_t packed_bytes, size_t size_bytes)
{
    if (size_bytes > MAX_TEXT_BYTES) {
        return NULL;
    }
    uLongf decompressed_bytes = size_bytes;
    char *text = g_malloc(size_bytes + 1);
    int status =
        uncompress((Bytef *)text, &decompressed_bytes, packed, packed_bytes);
    if (status != Z_OK || decompressed_bytes != size_bytes) {
        g_free(text);
        return NULL;
    }
    text[size_bytes] = '\0';
    return text;
}
