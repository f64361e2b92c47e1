/* Input bytes for stateful fuzzing, and the check that test oracles use. */

#ifndef RATTANSHED_PLACE_FUZZ_INPUT_H
#define RATTANSHED_PLACE_FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/* Yields the bytes of the input, then pseudorandom bytes seeded by the input,
 * so that short inputs run as many events as long ones. */
struct fuzz_input {
    const uint8_t *data; /* next byte of the input */
    size_t size;         /* number of bytes left */
    uint64_t random_state;
};

struct fuzz_input fuzz_open(const uint8_t *data, size_t size);
uint8_t fuzz_next_byte(struct fuzz_input *input);

#define CHECK(condition)                                                      \
    do {                                                                      \
        if (!(condition)) {                                                   \
            fprintf(stderr, "oracle: %s (line %d)\n", #condition, __LINE__);  \
            abort();                                                          \
        }                                                                     \
    } while (0)

#endif
