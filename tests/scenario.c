#include "tests/scenario.h"

#include <CUnit/CUnit.h>

#include "core/clock.h"

#define WARM_UP_MS 600

/* Starts a deployment and a stream of requests to it. Returns false when the
 * deployment doesn't serve all keys in time; the test fails then. The scenario
 * must be ended with RsScenario_Finish() in either case. */
bool
RsScenario_Start(struct rs_scenario *scenario,
                 const struct rs_cluster_options *options)
{
    scenario->initial_failures = CU_get_number_of_failures();
    scenario->cluster = RsCluster_New(options);
    scenario->stream = NULL;
    bool is_up = RsCluster_Start(scenario->cluster);
    CU_ASSERT(is_up);
    if (is_up) {
        struct rs_stream_options stream = {.key_prefix = RsScenario_KEY_PREFIX,
                                           .domain_filter = -1};
        scenario->stream = RsStream_Start(scenario->cluster, &stream);
        RsCluster_SleepMs(WARM_UP_MS);
    }
    scenario->started_us = RsClock_WallUs();
    return is_up;
}

/* Lets the stream run for another `duration_ms` and stops it. Returns the
 * longest time in ms for which a key had no answer since `started_us`. */
int64_t
RsScenario_StopStream(struct rs_scenario *scenario, int64_t duration_ms)
{
    RsCluster_SleepMs(duration_ms);
    int64_t end_us = RsClock_WallUs();
    RsStream_Stop(scenario->stream);
    scenario->stream = NULL;
    return RsStream_LongestGapMs(scenario->cluster, RsScenario_KEY_PREFIX,
                                 scenario->started_us, end_us);
}

/* Stops the stream if it runs, checks the invariants that hold in every test,
 * and ends the deployment. The deployment's logs are kept when the test has
 * failed. */
void
RsScenario_Finish(struct rs_scenario *scenario)
{
    if (scenario->stream != NULL) {
        RsStream_Stop(scenario->stream);
    }
    CU_ASSERT_EQUAL(RsTargetRecords_CountViolations(scenario->cluster), 0);
    bool has_failed = CU_get_number_of_failures() > scenario->initial_failures;
    RsCluster_Free(scenario->cluster, has_failed);
}
