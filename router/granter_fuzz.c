/* Drives a world of granters, targets and a store by the bytes of the input:
 * moves of keys and faults, in any order. The oracle is in router/fixture.c.
 */

#include <stdio.h>
#include <stdlib.h>

#include "core/log.h"
#include "router/fixture.h"

#define YIELD_EVERY_STEPS 4
#define MOST_STEPS 60
#define STEP_BYTES 4
#define SPAN_UNIT_MS 40
#define KEY_UNIT 256

int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    RsLog_Open("fuzz", RsLog_ERROR);
    return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    struct rs_world *world = RsWorld_New();
    RsWorld_Step(world, 400);
    size_t steps = size_bytes / STEP_BYTES;
    for (size_t i = 0; i < steps && i < MOST_STEPS; i++) {
        const uint8_t *step = data + i * STEP_BYTES;
        uint32_t first_key = step[1] * KEY_UNIT;
        uint32_t last_key = first_key + (step[2] % 16 + 1u) * KEY_UNIT - 1;
        if (step[0] < 128) {
            RsWorld_MoveKeys(world, first_key,
                             MIN(last_key, RsKeymap_KEYS - 1), step[0]);
        }
        else {
            RsWorld_Inject(world,
                           (enum rs_fixture_fault)(step[0] % RsFixture_FAULTS),
                           step[1], (step[2] + 1) * SPAN_UNIT_MS);
        }
        if (step[3] % YIELD_EVERY_STEPS == 0) {
            RsWorld_Yield(world);
        }
        RsWorld_Step(world, step[3] * SPAN_UNIT_MS / 8 + 1);
        const char *violation = RsWorld_Violation(world);
        if (violation != NULL) {
            fprintf(stderr, "%s\n", violation);
            abort();
        }
    }
    RsWorld_Free(world);
    return 0;
}
