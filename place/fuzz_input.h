/* Events for stateful fuzzing, and the oracles' checks. */

#ifndef RATTANSHED_PLACE_FUZZ_INPUT_H
#define RATTANSHED_PLACE_FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/* The input's bytes, then ones that follow from them: short inputs run as
 * many events as long ones. */
struct fuzz_input {
    const uint8_t *data;
    size_t size;
    uint64_t more;
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
