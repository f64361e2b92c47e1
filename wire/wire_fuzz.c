/* Feeds arbitrary bytes, cut at arbitrary places, to the frame reader and to
 * both message decoders. The oracle: the same bytes read in one piece give
 * the same frames. */

#include <stdlib.h>

#include "dispatch/relay.pb-c.h"
#include "wire/frame.h"
#include "wire/peer.pb-c.h"

#define HEADER_BYTES 1

struct tally {
    uint64_t frames;
    uint64_t bytes;
};

static int
decode(void *arg, const uint8_t *data, size_t size)
{
    struct tally *tally = arg;
    tally->frames++;
    tally->bytes += size;
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
read_in_pieces(const uint8_t *data, size_t size, size_t piece,
               struct tally *tally)
{
    struct rs_frame_reader reader = {0};
    int status = 0;
    for (size_t at = 0; at < size && status == 0; at += piece) {
        size_t here = size - at < piece ? size - at : piece;
        status = RsFrame_Read(&reader, data + at, here, decode, tally);
    }
    RsFrame_FreeReader(&reader);
    return status;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < HEADER_BYTES + 1) {
        return 0;
    }
    size_t piece = (size_t)data[0] + 1;
    struct tally whole = {0};
    struct tally pieces = {0};
    int whole_status = read_in_pieces(data + 1, size - 1, size, &whole);
    int piece_status = read_in_pieces(data + 1, size - 1, piece, &pieces);
    if (whole_status != piece_status || whole.frames != pieces.frames ||
        whole.bytes != pieces.bytes) {
        abort();
    }
    return 0;
}
