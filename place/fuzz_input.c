#include "place/fuzz_input.h"

#include "core/id.h"

/* Begins to read an input. */
struct fuzz_input
fuzz_open(const uint8_t *data, size_t size)
{
    struct fuzz_input input = {data, size, RsId_FromBytes(data, size)};
    return input;
}

/* Returns the next byte. */
uint8_t
fuzz_next_byte(struct fuzz_input *input)
{
    if (input->size == 0) {
        input->more = RsId_Combine(input->more, 1);
        return (uint8_t)input->more;
    }
    input->size--;
    return *input->data++;
}
