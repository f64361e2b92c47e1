/* Targets and entry processes that are killed, paused or restarted. Each key
 * must be served again within RsCluster_SERVED_WITHIN_MS, also while the
 * platform is down, and must have only one owner at a time. */

#include <CUnit/CUnit.h>
#include <signal.h>

#include "tests/failures.h"
#include "tests/scenario.h"

#define KEY "k0"
#define OBSERVE_AFTER_LOSS_MS 2500
#define OBSERVE_AFTER_PAUSE_MS 1500
#define PAUSE_MS 3000
#define LONG_SERVICE_US 20000 /* so that more requests are in flight */

static const struct rs_cluster_options one_domain = {
    .domains = 1, .entries = 3, .targets = 3};

static void
start_platform_outage(struct rs_scenario *scenario)
{
    RsCluster_SetFaults(scenario->cluster->platform_port, "{\"outage\":true}");
}

static void
expect_all_keys_served(struct rs_scenario *scenario, int64_t watch_ms)
{
    int64_t gap_ms = RsScenario_StopStream(scenario, watch_ms);
    CU_ASSERT(gap_ms <= RsCluster_SERVED_WITHIN_MS);
}

void
test_target_killed(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        RsCluster_KillTarget(scenario.cluster,
                             RsCluster_FindTarget(scenario.cluster, KEY));
        expect_all_keys_served(&scenario, OBSERVE_AFTER_LOSS_MS);
    }
    RsScenario_Finish(&scenario);
}

void
test_target_killed_in_outage(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        start_platform_outage(&scenario);
        RsCluster_KillTarget(scenario.cluster,
                             RsCluster_FindTarget(scenario.cluster, KEY));
        expect_all_keys_served(&scenario, OBSERVE_AFTER_LOSS_MS);
    }
    RsScenario_Finish(&scenario);
}

/* A target is stopped for PAUSE_MS, and its slices (KEY's is checked) must get
 * another owner meanwhile. The target then resumes without knowing that. */
static void
pause_target(const struct rs_cluster_options *options)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, options)) {
        struct rs_cluster_target *target =
            RsCluster_FindTarget(scenario.cluster, KEY);
        RsProcess_Signal(&target->process, SIGSTOP);
        RsCluster_SleepMs(PAUSE_MS);
        CU_ASSERT(RsCluster_FindTarget(scenario.cluster, KEY) != target);
        RsProcess_Signal(&target->process, SIGCONT);
        expect_all_keys_served(&scenario, OBSERVE_AFTER_PAUSE_MS);
    }
    RsScenario_Finish(&scenario);
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
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        struct rs_cluster_entry *holder =
            RsCluster_FindHolder(scenario.cluster, KEY);
        RsCluster_KillEntry(holder);
        expect_all_keys_served(&scenario, OBSERVE_AFTER_LOSS_MS);
        CU_ASSERT(RsCluster_FindHolder(scenario.cluster, KEY) != holder);
    }
    RsScenario_Finish(&scenario);
}

static void
kill_holder_and_target(struct rs_scenario *scenario)
{
    struct rs_cluster_target *target =
        RsCluster_FindTarget(scenario->cluster, KEY);
    RsCluster_KillEntry(RsCluster_FindHolder(scenario->cluster, KEY));
    RsCluster_KillTarget(scenario->cluster, target);
    expect_all_keys_served(scenario, OBSERVE_AFTER_LOSS_MS);
}

void
test_holder_and_target_killed(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        kill_holder_and_target(&scenario);
    }
    RsScenario_Finish(&scenario);
}

void
test_holder_and_target_killed_in_outage(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        start_platform_outage(&scenario);
        kill_holder_and_target(&scenario);
    }
    RsScenario_Finish(&scenario);
}

/* The entry process that holds a slice's lease is stopped for PAUSE_MS, and
 * another process must get the lease meanwhile. The first one then resumes
 * without knowing that, possibly with requests that it has not sent to the
 * target yet. */
static void
pause_holder(const struct rs_cluster_options *options)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, options)) {
        struct rs_cluster_entry *holder =
            RsCluster_FindHolder(scenario.cluster, KEY);
        holder->in_rotation = false;
        RsProcess_Signal(&holder->process, SIGSTOP);
        RsCluster_SleepMs(PAUSE_MS);
        CU_ASSERT(RsCluster_FindHolder(scenario.cluster, KEY) != holder);
        RsProcess_Signal(&holder->process, SIGCONT);
        holder->in_rotation = true;
        expect_all_keys_served(&scenario, OBSERVE_AFTER_PAUSE_MS);
    }
    RsScenario_Finish(&scenario);
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

/* Each entry process of the cell in turn is killed and restarted, and so loses
 * all state that it held in memory. */
void
test_members_restarted(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        for (uint32_t i = 0; i < scenario.cluster->entry_count; i++) {
            RsCluster_KillEntry(&scenario.cluster->entries[i]);
            RsCluster_RestartEntry(&scenario.cluster->entries[i]);
            RsCluster_SleepMs(OBSERVE_AFTER_LOSS_MS);
        }
        expect_all_keys_served(&scenario, 0);
    }
    RsScenario_Finish(&scenario);
}
