/* Compression of large rows for their transfer between nodes. No I/O. */

#ifndef RATTANSHED_ROUTER_PACK_H
#define RATTANSHED_ROUTER_PACK_H

#include <glib.h>
#include <stddef.h>

GByteArray *RsPack_Compress(const char *text, size_t size_bytes);
char *RsPack_Decompress(const void *packed, size_t packed_bytes,
                        size_t size_bytes);

#endif
