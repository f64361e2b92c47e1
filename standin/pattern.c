#include "standin/pattern.h"

#define WORD_BYTES 8
#define BYTE_BITS 8

/* The finalizer of SplitMix64. */
static uint64_t
mix(uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

static uint8_t
byte_of(uint64_t word, uint64_t offset_bytes)
{
    return (uint8_t)(word >> (offset_bytes % WORD_BYTES * BYTE_BITS));
}

/* Writes the part of a key's file that begins at `offset_bytes`. */
void
RsPattern_Fill(uint64_t key, uint64_t offset_bytes, uint8_t *data,
               size_t size_bytes)
{
    uint64_t word = mix(key ^ mix(offset_bytes / WORD_BYTES));
    for (size_t i = 0; i < size_bytes; i++) {
        uint64_t at = offset_bytes + i;
        if (at % WORD_BYTES == 0) {
            word = mix(key ^ mix(at / WORD_BYTES));
        }
        data[i] = byte_of(word, at);
    }
}

/* Tells whether `data` is the part of a key's file at `offset_bytes`. */
bool
RsPattern_Matches(uint64_t key, uint64_t offset_bytes, const uint8_t *data,
                  size_t size_bytes)
{
    uint64_t word = mix(key ^ mix(offset_bytes / WORD_BYTES));
    for (size_t i = 0; i < size_bytes; i++) {
        uint64_t at = offset_bytes + i;
        if (at % WORD_BYTES == 0) {
            word = mix(key ^ mix(at / WORD_BYTES));
        }
        if (data[i] != byte_of(word, at)) {
            return false;
        }
    }
    return true;
}
