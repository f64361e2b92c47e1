/* Losses of targets and entries: each key is served again within the stated
 * time, also while the platform is down, and by one owner at a time. */

#include <CUnit/CUnit.h>
#include <signal.h>

#include "tests/failures.h"
#include "tests/scene.h"

#define KEY "k0"
#define AFTER_LOSS_MS 2500
#define AFTER_PAUSE_MS 1500
#define PAUSE_MS 3000
#define LONG_SERVICE_US 20000 /* more is under way at any moment */

static const struct rs_cluster_options one_domain = {
    .domains = 1, .entries = 3, .targets = 3};

static void
fail_platform(struct rs_scene *scene)
{
    RsCluster_Switch(scene->cluster->platform_port, "{\"outage\":true}");
}

static void
expect_served(struct rs_scene *scene, int64_t watch_ms)
{
    int64_t gap_ms = RsScene_Settle(scene, watch_ms);
    CU_ASSERT(gap_ms <= RsCluster_SERVED_WITHIN_MS);
}

void
test_target_killed(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &one_domain)) {
        RsCluster_KillTarget(scene.cluster,
                             RsCluster_TargetOf(scene.cluster, KEY));
        expect_served(&scene, AFTER_LOSS_MS);
    }
    RsScene_Close(&scene);
}

void
test_target_killed_in_outage(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &one_domain)) {
        fail_platform(&scene);
        RsCluster_KillTarget(scene.cluster,
                             RsCluster_TargetOf(scene.cluster, KEY));
        expect_served(&scene, AFTER_LOSS_MS);
    }
    RsScene_Close(&scene);
}

/* A target freezes and returns as though nothing had happened. */
static void
pause_target(const struct rs_cluster_options *options)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, options)) {
        struct rs_cluster_target *target =
            RsCluster_TargetOf(scene.cluster, KEY);
        RsProcess_Signal(&target->process, SIGSTOP);
        RsCluster_SleepMs(PAUSE_MS);
        CU_ASSERT(RsCluster_TargetOf(scene.cluster, KEY) != target);
        RsProcess_Signal(&target->process, SIGCONT);
        expect_served(&scene, AFTER_PAUSE_MS);
    }
    RsScene_Close(&scene);
}

void
test_target_paused(void)
{
    pause_target(&one_domain);
}

void
test_target_without_fences_paused(void)
{
    struct rs_cluster_options options = one_domain;
    options.ignores_fences = true;
    options.service_time_us = LONG_SERVICE_US;
    pause_target(&options);
}

void
test_holder_killed(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &one_domain)) {
        struct rs_cluster_entry *holder =
            RsCluster_HolderOf(scene.cluster, KEY);
        RsCluster_KillEntry(holder);
        expect_served(&scene, AFTER_LOSS_MS);
        CU_ASSERT(RsCluster_HolderOf(scene.cluster, KEY) != holder);
    }
    RsScene_Close(&scene);
}

static void
kill_holder_and_target(struct rs_scene *scene)
{
    struct rs_cluster_target *target = RsCluster_TargetOf(scene->cluster, KEY);
    RsCluster_KillEntry(RsCluster_HolderOf(scene->cluster, KEY));
    RsCluster_KillTarget(scene->cluster, target);
    expect_served(scene, AFTER_LOSS_MS);
}

void
test_holder_and_target_killed(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &one_domain)) {
        kill_holder_and_target(&scene);
    }
    RsScene_Close(&scene);
}

void
test_rack_killed_in_outage(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &one_domain)) {
        fail_platform(&scene);
        kill_holder_and_target(&scene);
    }
    RsScene_Close(&scene);
}

/* A holder freezes and returns as though nothing had happened, with requests
 * that it had not sent yet. */
static void
pause_holder(const struct rs_cluster_options *options)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, options)) {
        struct rs_cluster_entry *holder =
            RsCluster_HolderOf(scene.cluster, KEY);
        holder->is_offered = false;
        RsProcess_Signal(&holder->process, SIGSTOP);
        RsCluster_SleepMs(PAUSE_MS);
        CU_ASSERT(RsCluster_HolderOf(scene.cluster, KEY) != holder);
        RsProcess_Signal(&holder->process, SIGCONT);
        holder->is_offered = true;
        expect_served(&scene, AFTER_PAUSE_MS);
    }
    RsScene_Close(&scene);
}

void
test_holder_paused(void)
{
    pause_holder(&one_domain);
}

void
test_holder_paused_without_fences(void)
{
    struct rs_cluster_options options = one_domain;
    options.ignores_fences = true;
    options.service_time_us = LONG_SERVICE_US;
    pause_holder(&options);
}

/* Each process of the cell is replaced by one that remembers nothing. */
void
test_members_restarted(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &one_domain)) {
        for (uint32_t i = 0; i < scene.cluster->entry_count; i++) {
            RsCluster_KillEntry(&scene.cluster->entries[i]);
            RsCluster_RestartEntry(&scene.cluster->entries[i]);
            RsCluster_SleepMs(AFTER_LOSS_MS);
        }
        expect_served(&scene, 0);
    }
    RsScene_Close(&scene);
}
