/* A test's course: a deployment under a steady stream, a fault, the end. */

#ifndef RATTANSHED_TESTS_SCENE_H
#define RATTANSHED_TESTS_SCENE_H

#include "tests/caller.h"
#include "tests/cluster.h"
#include "tests/verdict.h"

#define RsScene_KEYS "k" /* begin the stream's keys */

struct rs_scene {
    struct rs_cluster *cluster;
    struct rs_stream *stream;
    int64_t began_us; /* by the wall clock */
    uint32_t failures_before;
};

bool RsScene_Open(struct rs_scene *scene,
                  const struct rs_cluster_options *options);
int64_t RsScene_Settle(struct rs_scene *scene, int64_t duration_ms);
void RsScene_Close(struct rs_scene *scene);

#endif
