/* Fuzzes the frame reader and the decoders of rs.relay.Envelope and
 * rs.wire.Peer. The input is read once as a whole and once in chunks; both
 * reads must give the same status, number of frames and number of bytes. */

#include <stdlib.h>

#include "dispatch/relay.pb-c.h"
#include "wire/frame.h"
#include "wire/peer.pb-c.h"

/* The first byte of the input is the chunk size minus one. */
#define INPUT_HEADER_BYTES 1

struct frame_totals {
    uint64_t frames;
    uint64_t bytes;
};

static int
decode(void *arg, const uint8_t *data, size_t size)
{
    struct frame_totals *frame_totals = arg;
    frame_totals->frames++;
    frame_totals->bytes += size;
    Rs__Relay__Envelope *relay = rs__relay__envelope__unpack(NULL, size, data);
    if (relay != NULL) {
        rs__relay__envelope__free_unpacked(relay, NULL);
    }
    Rs__Wire__Peer *peer = rs__wire__peer__unpack(NULL, size, data);
    if (peer != NULL) {
        rs__wire__peer__free_unpacked(peer, NULL);
    }
    return 0;
}

static int
read_in_chunks(const uint8_t *data, size_t size, size_t chunk,
               struct frame_totals *frame_totals)
{
    struct rs_frame_reader reader = {0};
    int status = 0;
    for (size_t offset = 0; offset < size && status == 0; offset += chunk) {
        size_t chunk_bytes = size - offset < chunk ? size - offset : chunk;
        status = RsFrame_Read(&reader, data + offset, chunk_bytes, decode,
                              frame_totals);
    }
    RsFrame_FreeReader(&reader);
    return status;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < INPUT_HEADER_BYTES + 1) {
        return 0;
    }
    size_t chunk = (size_t)data[0] + 1;
    struct frame_totals whole = {0};
    struct frame_totals chunks = {0};
    int whole_status = read_in_chunks(data + 1, size - 1, size, &whole);
    int chunk_status = read_in_chunks(data + 1, size - 1, chunk, &chunks);
    if (whole_status != chunk_status || whole.frames != chunks.frames ||
        whole.bytes != chunks.bytes) {
        abort();
    }
    return 0;
}
