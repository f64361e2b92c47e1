#include "core/siphash.h"

#include <endian.h>
#include <string.h>

#define WORD_BYTES 8
#define COMPRESSION_ROUNDS 2
#define FINAL_ROUNDS 4
#define LENGTH_SHIFT 56
/* These distinguish the form with 128 bits and its two halves. */
#define WIDE_MARK 0xee
#define SECOND_HALF_MARK 0xdd

struct state {
    uint64_t v0;
    uint64_t v1;
    uint64_t v2;
    uint64_t v3;
};

static uint64_t
rotate(uint64_t value, int bits)
{
    return (value << bits) | (value >> (64 - bits));
}

static void
mix(struct state *state, int rounds)
{
    for (int i = 0; i < rounds; i++) {
        state->v0 += state->v1;
        state->v2 += state->v3;
        state->v1 = rotate(state->v1, 13) ^ state->v0;
        state->v3 = rotate(state->v3, 16) ^ state->v2;
        state->v0 = rotate(state->v0, 32);
        state->v2 += state->v1;
        state->v0 += state->v3;
        state->v1 = rotate(state->v1, 17) ^ state->v2;
        state->v3 = rotate(state->v3, 21) ^ state->v0;
        state->v2 = rotate(state->v2, 32);
    }
}

static void
compress(struct state *state, uint64_t word)
{
    state->v3 ^= word;
    mix(state, COMPRESSION_ROUNDS);
    state->v0 ^= word;
}

/* Returns up to eight bytes as a little-endian number. */
static uint64_t
load_word(const uint8_t *bytes, size_t size_bytes)
{
    uint64_t word = 0;
    memcpy(&word, bytes, size_bytes);
    return le64toh(word);
}

static void
store_half(const struct state *state, uint8_t *half)
{
    uint64_t word = htole64(state->v0 ^ state->v1 ^ state->v2 ^ state->v3);
    memcpy(half, &word, sizeof(word));
}

/* Computes the digest of `size_bytes` bytes at `data`. */
void
RsSipHash_Digest(const uint8_t key[RsSipHash_KEY_BYTES], const void *data,
                 size_t size_bytes, uint8_t digest[RsSipHash_DIGEST_BYTES])
{
    const uint8_t *bytes = data;
    size_t left_bytes = size_bytes;
    uint64_t first = load_word(key, WORD_BYTES);
    uint64_t second = load_word(key + WORD_BYTES, WORD_BYTES);
    struct state state = {
        .v0 = first ^ 0x736f6d6570736575,
        .v1 = second ^ 0x646f72616e646f6d ^ WIDE_MARK,
        .v2 = first ^ 0x6c7967656e657261,
        .v3 = second ^ 0x7465646279746573,
    };
    while (left_bytes >= WORD_BYTES) {
        compress(&state, load_word(bytes, WORD_BYTES));
        bytes += WORD_BYTES;
        left_bytes -= WORD_BYTES;
    }
    compress(&state, load_word(bytes, left_bytes) | (uint64_t)size_bytes
                                                        << LENGTH_SHIFT);
    state.v2 ^= WIDE_MARK;
    mix(&state, FINAL_ROUNDS);
    store_half(&state, digest);
    state.v1 ^= SECOND_HALF_MARK;
    mix(&state, FINAL_ROUNDS);
    store_half(&state, digest + WORD_BYTES);
}
