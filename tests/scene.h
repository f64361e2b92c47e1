/* The frame of a failure test: starts a deployment and a steady stream of
 * requests; the test injects a fault; at the end the invariants that hold in
 * every test are checked. */

#ifndef RATTANSHED_TESTS_SCENE_H
#define RATTANSHED_TESTS_SCENE_H

#include "tests/caller.h"
#include "tests/cluster.h"
#include "tests/verdict.h"

#define RsScene_KEYS "k" /* prefix of the stream's keys */

struct rs_scene {
    struct rs_cluster *cluster;
    struct rs_stream *stream;  /* NULL after it was stopped */
    int64_t started_us;        /* wall clock */
    uint32_t initial_failures; /* CUnit's count of failures before the test */
};

bool RsScene_Open(struct rs_scene *scenario,
                  const struct rs_cluster_options *options);
int64_t RsScene_Settle(struct rs_scene *scenario, int64_t duration_ms);
void RsScene_Close(struct rs_scene *scenario);

#endif
