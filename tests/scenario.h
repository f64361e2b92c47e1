/* Steps that most failure tests share: starting a deployment and a steady
 * stream of requests, stopping the stream, and checking at the end the
 * invariants that hold in every test. In between the test injects its
 * faults. */

#ifndef RATTANSHED_TESTS_SCENARIO_H
#define RATTANSHED_TESTS_SCENARIO_H

#include "tests/caller.h"
#include "tests/cluster.h"
#include "tests/target_records.h"

#define RsScenario_KEY_PREFIX "k" /* prefix of the stream's keys */

struct rs_scenario {
    struct rs_cluster *cluster;
    struct rs_stream *stream;  /* NULL while no stream runs */
    int64_t started_us;        /* after the warm-up; wall clock */
    uint32_t initial_failures; /* CUnit's count of failures before the test */
};

bool RsScenario_Start(struct rs_scenario *scenario,
                      const struct rs_cluster_options *options);
int64_t RsScenario_StopStream(struct rs_scenario *scenario,
                              int64_t duration_ms);
void RsScenario_Finish(struct rs_scenario *scenario);

#endif
