#include "place/fuzz_input.h"

#include "core/id.h"

/* Returns a reader of `size` bytes at `data`, which must outlive it. */
struct fuzz_input
fuzz_open(const uint8_t *data, size_t size)
{
    struct fuzz_input input = {data, size, RsId_FromBytes(data, size)};
    return input;
}

/* Returns the next byte of the input, or a pseudorandom one after its end. */
uint8_t
fuzz_next_byte(struct fuzz_input *input)
{
    if (input->size == 0) {
        input->random_state = RsId_Combine(input->random_state, 1);
        return (uint8_t)input->random_state;
    }
    input->size--;
    return *input->data++;
}
