#include "tests/scene.h"

#include <CUnit/CUnit.h>

#include "core/clock.h"

#define WARM_UP_MS 600

/* Starts a deployment and a stream on its keys. Returns false when it does
 * not get going. */
bool
RsScene_Open(struct rs_scene *scene, const struct rs_cluster_options *options)
{
    scene->failures_before = CU_get_number_of_failures();
    scene->cluster = RsCluster_New(options);
    scene->stream = NULL;
    bool is_up = RsCluster_Start(scene->cluster);
    CU_ASSERT(is_up);
    if (is_up) {
        struct rs_stream_options stream = {.keys = RsScene_KEYS,
                                           .only_domain = -1};
        scene->stream = RsStream_Start(scene->cluster, &stream);
        RsCluster_SleepMs(WARM_UP_MS);
    }
    scene->began_us = RsClock_WallUs();
    return is_up;
}

/* Lets the stream run on, ends it, and returns the longest time for which a
 * key had no answer since the scene began. */
int64_t
RsScene_Settle(struct rs_scene *scene, int64_t duration_ms)
{
    RsCluster_SleepMs(duration_ms);
    int64_t end_us = RsClock_WallUs();
    RsStream_Stop(scene->stream);
    scene->stream = NULL;
    return RsStream_LongestGapMs(scene->cluster, RsScene_KEYS, scene->began_us,
                                 end_us);
}

/* Ends all, after the verdict on what must hold in each test. */
void
RsScene_Close(struct rs_scene *scene)
{
    if (scene->stream != NULL) {
        RsStream_Stop(scene->stream);
    }
    CU_ASSERT_EQUAL(RsVerdict_Violations(scene->cluster), 0);
    bool has_failed = CU_get_number_of_failures() > scene->failures_before;
    RsCluster_Free(scene->cluster, has_failed);
}
