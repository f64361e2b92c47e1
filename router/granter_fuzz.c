/* Runs a simulation of granters, targets and a store, in which the bytes of
 * the input choose moves of keys and faults. The rules that the simulation
 * checks are described in router/fixture.c. */

#include <stdio.h>
#include <stdlib.h>

#include "core/log.h"
#include "router/fixture.h"

#define YIELD_EVERY_STEPS 4
#define MAX_STEPS 60
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
    struct rs_simulation *sim = RsSimulation_New();
    RsSimulation_Advance(sim, 400);
    size_t steps = size_bytes / STEP_BYTES;
    for (size_t i = 0; i < steps && i < MAX_STEPS; i++) {
        const uint8_t *step = data + i * STEP_BYTES;
        uint32_t first_key = step[1] * KEY_UNIT;
        uint32_t last_key = first_key + (step[2] % 16 + 1u) * KEY_UNIT - 1;
        if (step[0] < 128) {
            RsSimulation_MoveKeys(sim, first_key,
                                  MIN(last_key, RsKeymap_KEYS - 1), step[0]);
        }
        else {
            RsSimulation_InjectFault(
                sim, (enum rs_fixture_fault)(step[0] % RsFixture_FAULTS),
                step[1], (step[2] + 1) * SPAN_UNIT_MS);
        }
        if (step[3] % YIELD_EVERY_STEPS == 0) {
            RsSimulation_YieldIfStronger(sim);
        }
        RsSimulation_Advance(sim, step[3] * SPAN_UNIT_MS / 8 + 1);
        const char *violation = RsSimulation_Violation(sim);
        if (violation != NULL) {
            fprintf(stderr, "%s\n", violation);
            abort();
        }
    }
    RsSimulation_Free(sim);
    return 0;
}
