/* Runs the simulation of quotas, in which the bytes of the input choose loads,
 * limits and faults, against the operator's bound. */

#include <stdio.h>
#include <stdlib.h>

#include "core/log.h"
#include "router/quota_fixture.h"

#define STEP_BYTES 5
#define MAX_STEPS 12
#define SPAN_UNIT_MS 40
#define ADVANCE_UNIT_MS 10
#define SEED 1

int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    RsLog_Open("fuzz", RsLog_ERROR);
    return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    struct rs_quota_simulation *sim =
        RsQuotaFixture_New(SEED, RsQuotaBreak_NONE);
    size_t steps = MIN(size_bytes / STEP_BYTES, MAX_STEPS);
    for (size_t i = 0; i < steps; i++) {
        const uint8_t *step = data + i * STEP_BYTES;
        RsQuotaFixture_SetLoad(
            sim, step[0] % RsQuotaFixture_WORKSPACES,
            (enum rs_quota_load)(step[1] % RsQuotaLoad_COUNT),
            step[0] / RsQuotaFixture_WORKSPACES);
        RsQuotaFixture_InjectFault(
            sim, (enum rs_quota_fault)(step[2] % RsQuotaFault_COUNT),
            step[2] / RsQuotaFault_COUNT, (step[3] + 1) * SPAN_UNIT_MS);
        RsQuotaFixture_Advance(sim, step[4] * ADVANCE_UNIT_MS + 1);
        const char *violation = RsQuotaFixture_Violation(sim);
        if (violation != NULL) {
            fprintf(stderr, "%s\n", violation);
            abort();
        }
    }
    RsQuotaFixture_Free(sim);
    return 0;
}
