/* Framing of protobuf messages on a TCP stream. A frame is a length of four
 * bytes in network byte order, followed by one packed message. */

#ifndef RATTANSHED_WIRE_FRAME_H
#define RATTANSHED_WIRE_FRAME_H

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

#define RsFrame_HEADER_BYTES 4
#define RsFrame_MAX_BYTES (4u << 20) /* of the message */

enum rs_frame_error {
    RsFrame_TOO_LARGE = RsError_WIRE - 1,
    RsFrame_BAD_MESSAGE = RsError_WIRE - 2
};

/* Buffers the incomplete frame at the end of the bytes received from one
 * stream. Zeroed memory is an empty reader. */
struct rs_frame_reader {
    uint8_t *data;
    size_t size_bytes;
    size_t capacity_bytes;
};

/* Called with the message of each complete frame; `data` is valid only during
 * the call. Returns 0 to continue, or a negative error to stop reading the
 * stream. */
typedef int (*rs_frame_handler)(void *arg, const uint8_t *data,
                                size_t size_bytes);

int RsFrame_Read(struct rs_frame_reader *reader, const uint8_t *data,
                 size_t size_bytes, rs_frame_handler handler, void *arg);
void RsFrame_FreeReader(struct rs_frame_reader *reader);

uint8_t *RsFrame_Pack(const ProtobufCMessage *message, size_t *size_bytes);

#endif
