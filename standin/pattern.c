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

/* Returns the byte at an offset from the word that covers the offset. */
static uint8_t
extract_byte(uint64_t word, uint64_t offset_bytes)
{
    return (uint8_t)(word >> (offset_bytes % WORD_BYTES * BYTE_BITS));
}

/* Fills `data` with the bytes of a key's file from `offset_bytes` on. */
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
        data[i] = extract_byte(word, at);
    }
}

/* Returns whether `data` is what a key's file has from `offset_bytes` on. */
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
        if (data[i] != extract_byte(word, at)) {
            return false;
        }
    }
    return true;
}
