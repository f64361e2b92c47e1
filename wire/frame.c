#include "wire/frame.h"

#include <glib.h>
#include <string.h>

#define FIRST_BYTES 4096

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
append(struct rs_frame_reader *reader, const uint8_t *data, size_t size)
{
    size_t needed = reader->size_bytes + size;
    if (needed > reader->capacity_bytes) {
        size_t capacity = MAX(reader->capacity_bytes * 2, FIRST_BYTES);
        reader->capacity_bytes = MAX(capacity, needed);
        reader->data = g_realloc(reader->data, reader->capacity_bytes);
    }
    if (size > 0) {
        memcpy(reader->data + reader->size_bytes, data, size);
    }
    reader->size_bytes = needed;
}

/* Hands on every whole frame in `data`. Returns the bytes used up, or a
 * negative error. */
static int64_t
take_frames(const uint8_t *data, size_t size, rs_frame_handler handler,
            void *arg)
{
    size_t at = 0;
    while (size - at >= RsFrame_HEADER_BYTES) {
        uint32_t length = read_length(data + at);
        if (length > RsFrame_MAX_BYTES) {
            return RsFrame_TOO_LARGE;
        }
        if (size - at - RsFrame_HEADER_BYTES < length) {
            break;
        }
        int status = handler(arg, data + at + RsFrame_HEADER_BYTES, length);
        if (status < 0) {
            return status;
        }
        at += RsFrame_HEADER_BYTES + length;
    }
    return (int64_t)at;
}

static void
keep_rest(struct rs_frame_reader *reader, size_t used)
{
    size_t rest = reader->size_bytes - used;
    memmove(reader->data, reader->data + used, rest);
    reader->size_bytes = rest;
    if (rest == 0 && reader->capacity_bytes > FIRST_BYTES) {
        RsFrame_FreeReader(reader);
    }
}

/* Takes in bytes of the stream and hands each whole frame to the handler. A
 * rest is kept for the next call. Returns 0, RsFrame_TOO_LARGE, or what the
 * handler returned; after an error the stream can't be read on. */
int
RsFrame_Read(struct rs_frame_reader *reader, const uint8_t *data,
             size_t size_bytes, rs_frame_handler handler, void *arg)
{
    if (reader->size_bytes == 0) {
        int64_t used = take_frames(data, size_bytes, handler, arg);
        if (used < 0) {
            return (int)used;
        }
        append(reader, data + used, size_bytes - (size_t)used);
        return 0;
    }
    append(reader, data, size_bytes);
    int64_t used = take_frames(reader->data, reader->size_bytes, handler, arg);
    if (used < 0) {
        return (int)used;
    }
    keep_rest(reader, (size_t)used);
    return 0;
}

/* Frees what the reader keeps; it is empty again. */
void
RsFrame_FreeReader(struct rs_frame_reader *reader)
{
    g_free(reader->data);
    *reader = (struct rs_frame_reader){0};
}

/* Packs a message with its length before it. Returns NULL when it is larger
 * than a frame may be. */
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
