/* Frames on a TCP stream: four bytes of length, the most significant first,
 * then one packed protobuf message. */

#ifndef RATTANSHED_WIRE_FRAME_H
#define RATTANSHED_WIRE_FRAME_H

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

#define RsFrame_HEADER_BYTES 4
#define RsFrame_MAX_BYTES (4u << 20)

enum rs_frame_error {
    RsFrame_TOO_LARGE = RsError_WIRE - 1,
    RsFrame_BAD_MESSAGE = RsError_WIRE - 2
};

/* Collects the bytes of one stream. Zeroed memory is an empty reader. */
struct rs_frame_reader {
    uint8_t *data;
    size_t size_bytes;
    size_t capacity_bytes;
};

/* Gets each frame; returns 0 to go on, or an error that ends the reading. */
typedef int (*rs_frame_handler)(void *arg, const uint8_t *data,
                                size_t size_bytes);

int RsFrame_Read(struct rs_frame_reader *reader, const uint8_t *data,
                 size_t size_bytes, rs_frame_handler handler, void *arg);
void RsFrame_FreeReader(struct rs_frame_reader *reader);

/* Returns a new buffer that the caller frees with g_free(), or NULL when the
 * message is too large. */
uint8_t *RsFrame_Pack(const ProtobufCMessage *message, size_t *size_bytes);

#endif
