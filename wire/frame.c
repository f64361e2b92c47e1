#include "wire/frame.h"

#include <glib.h>
#include <string.h>

#define MIN_CAPACITY_BYTES 4096

static uint32_t
read_length(const uint8_t *data)
{
    return (uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 |
           (uint32_t)data[2] << 8 | data[3];
}

static void
write_length(uint8_t *data, uint32_t length)
{
    data[0] = (uint8_t)(length >> 24);
    data[1] = (uint8_t)(length >> 16);
    data[2] = (uint8_t)(length >> 8);
    data[3] = (uint8_t)length;
}

static void
append_bytes(struct rs_frame_reader *reader, const uint8_t *data, size_t size)
{
    size_t needed = reader->size_bytes + size;
    if (needed > reader->capacity_bytes) {
        size_t capacity = MAX(reader->capacity_bytes * 2, MIN_CAPACITY_BYTES);
        reader->capacity_bytes = MAX(capacity, needed);
        reader->data = g_realloc(reader->data, reader->capacity_bytes);
    }
    if (size > 0) {
        memcpy(reader->data + reader->size_bytes, data, size);
    }
    reader->size_bytes = needed;
}

/* Calls the handler for the complete frames at the start of `data`, until it
 * returns an error. Returns the number of bytes consumed, RsFrame_TOO_LARGE,
 * or the error of the handler. */
static int64_t
deliver_frames(const uint8_t *data, size_t size, rs_frame_handler handler,
               void *arg)
{
    size_t offset = 0;
    while (size - offset >= RsFrame_HEADER_BYTES) {
        uint32_t length = read_length(data + offset);
        if (length > RsFrame_MAX_BYTES) {
            return RsFrame_TOO_LARGE;
        }
        if (size - offset - RsFrame_HEADER_BYTES < length) {
            break;
        }
        int status =
            handler(arg, data + offset + RsFrame_HEADER_BYTES, length);
        if (status < 0) {
            return status;
        }
        offset += RsFrame_HEADER_BYTES + length;
    }
    return (int64_t)offset;
}

/* Removes the first `consumed` bytes from the buffer, and frees a large buffer
 * that has become empty. */
static void
discard_consumed(struct rs_frame_reader *reader, size_t consumed)
{
    size_t remaining = reader->size_bytes - consumed;
    memmove(reader->data, reader->data + consumed, remaining);
    reader->size_bytes = remaining;
    if (remaining == 0 && reader->capacity_bytes > MIN_CAPACITY_BYTES) {
        RsFrame_FreeReader(reader);
    }
}

/* Processes the next bytes of the stream and calls the handler for each
 * complete frame. The bytes of an incomplete frame are kept for the next call.
 * Returns 0, RsFrame_TOO_LARGE, or the error returned by the handler. After an
 * error the stream must not be read any further. */
int
RsFrame_Read(struct rs_frame_reader *reader, const uint8_t *data,
             size_t size_bytes, rs_frame_handler handler, void *arg)
{
    if (reader->size_bytes == 0) {
        int64_t consumed = deliver_frames(data, size_bytes, handler, arg);
        if (consumed < 0) {
            return (int)consumed;
        }
        append_bytes(reader, data + consumed, size_bytes - (size_t)consumed);
        return 0;
    }
    append_bytes(reader, data, size_bytes);
    int64_t consumed =
        deliver_frames(reader->data, reader->size_bytes, handler, arg);
    if (consumed < 0) {
        return (int)consumed;
    }
    discard_consumed(reader, (size_t)consumed);
    return 0;
}

/* Frees the buffer of the reader and leaves the reader empty. */
void
RsFrame_FreeReader(struct rs_frame_reader *reader)
{
    g_free(reader->data);
    *reader = (struct rs_frame_reader){0};
}

/* Packs a message into a new frame, which the caller frees with g_free(), and
 * sets `*size_bytes` to the size of the frame. Returns NULL if the message
 * exceeds RsFrame_MAX_BYTES. */
uint8_t *
RsFrame_Pack(const ProtobufCMessage *message, size_t *size_bytes)
{
    size_t length = protobuf_c_message_get_packed_size(message);
    if (length > RsFrame_MAX_BYTES) {
        return NULL;
    }
    uint8_t *data = g_malloc(length + RsFrame_HEADER_BYTES);
    write_length(data, (uint32_t)length);
    protobuf_c_message_pack(message, data + RsFrame_HEADER_BYTES);
    *size_bytes = length + RsFrame_HEADER_BYTES;
    return data;
}
