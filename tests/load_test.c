/* Processes that stop and start under load: entry processes that shut down
 * gracefully, and a target that restarts cold. */

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "core/clock.h"
#include "tests/failures.h"
#include "tests/scenario.h"
#include "tests/steady_load.h"

#define SHUTDOWN_RATE_PER_S 150
#define SHUTDOWN_LOAD_S 10
#define SHUTDOWN_WITHIN_MS 8000
#define SHUTDOWN_INTERVAL_MS 800
#define FULL_RATE_PER_S 450
#define COLD_MS 3000
#define COLD_LOAD_S 7
/* The targets' service has 2 slots and a window of 2 (requests that may wait
 * at the target beyond the slots), so a cold target may have at most this many
 * requests at a time. The test also allows it to refuse this many while it is
 * cold. */
#define MAX_COLD_IN_FLIGHT 4
#define WARM_UP_MS 4000 /* COLD_MS and a margin */
#define US_PER_MS 1000
#define LOAD_POLL_INTERVAL_MS 100
#define LOSS_DELAY_MS 1500

static void
expect_all_answered(struct rs_cluster *cluster, int64_t from_us)
{
    for (int i = 0; i < RsLoad_OUTCOME_COUNT; i++) {
        enum rs_load_outcome outcome = (enum rs_load_outcome)i;
        if (outcome != RsLoad_ANSWERED) {
            CU_ASSERT_EQUAL(RsCaller_CountOutcomes(cluster, outcome, from_us),
                            0);
            RsCaller_PrintOutcomes(cluster, outcome, from_us);
        }
    }
    CU_ASSERT(RsCaller_CountOutcomes(cluster, RsLoad_ANSWERED, from_us) >
              SHUTDOWN_RATE_PER_S);
}

/* Sends SIGTERM to an entry process, expects that it exits with status 0
 * within SHUTDOWN_WITHIN_MS, and starts it again. */
static void
replace_entry(struct rs_cluster_entry *entry)
{
    int status = -1;
    RsProcess_Signal(&entry->process, SIGTERM);
    bool ended =
        RsProcess_WaitEnd(&entry->process, SHUTDOWN_WITHIN_MS, &status);
    CU_ASSERT(ended);
    CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    if (ended) {
        RsCluster_RestartEntry(entry);
    }
}

/* Entry processes shut down one after the other under load. Every request must
 * be answered. */
void
test_graceful_shutdown(void)
{
    struct rs_cluster_options options = {
        .domains = 1, .entries = 3, .targets = 3, .has_files = true};
    struct rs_cluster *cluster = RsCluster_New(&options);
    struct rs_steady_load load;
    uint32_t failures = CU_get_number_of_failures();
    bool is_up = RsCluster_Start(cluster);
    CU_ASSERT(is_up);
    if (is_up) {
        int64_t from_us = RsClock_WallUs();
        RsSteadyLoad_Start(&load, cluster, SHUTDOWN_RATE_PER_S,
                           SHUTDOWN_LOAD_S, "60,30,10");
        for (uint32_t i = 0; i < cluster->entry_count; i++) {
            RsCluster_SleepMs(SHUTDOWN_INTERVAL_MS);
            replace_entry(&cluster->entries[i]);
        }
        CU_ASSERT(RsSteadyLoad_Finish(&load));
        expect_all_answered(cluster, from_us);
    }
    CU_ASSERT_EQUAL(RsTargetRecords_CountViolations(cluster), 0);
    RsCluster_Free(cluster, CU_get_number_of_failures() > failures);
}

/* Returns the sum of a counter over all entry processes. */
static uint64_t
sum_metric(const struct rs_cluster *cluster, const char *name)
{
    uint64_t sum = 0;
    char *start = g_strdup_printf("\n%s{} ", name);
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        char *text =
            RsCaller_GetText(cluster->entries[i].admin_port, "/metrics");
        const char *found = text != NULL ? strstr(text, start) : NULL;
        CU_ASSERT_PTR_NOT_NULL(found);
        if (found != NULL) {
            sum += g_ascii_strtoull(found + strlen(start), NULL, 10);
        }
        g_free(text);
    }
    g_free(start);
    return sum;
}

/* Polls a target's own report of its load for `duration_ms`. Returns the
 * highest number of running and queued requests that it reported. The target
 * samples them once a second, so shorter peaks are missed. */
static json_int_t
watch_reported_peak(const struct rs_cluster_target *target,
                    int64_t duration_ms)
{
    json_int_t peak = 0;
    int64_t end_ms = RsClock_NowMs() + duration_ms;
    while (RsClock_NowMs() < end_ms) {
        json_t *load = NULL;
        RsCluster_Call(target->port, "GET", "/load", NULL, &load);
        json_int_t reported_requests =
            json_integer_value(json_object_get(load, "in_flight")) +
            json_integer_value(json_object_get(load, "queued"));
        peak = MAX(peak, reported_requests);
        json_decref(load);
        RsCluster_SleepMs(LOAD_POLL_INTERVAL_MS);
    }
    return peak;
}

/* Once the target is warm it must handle the full load: it answers more than
 * half a second's worth of requests and refuses less than a tenth as many. */
static void
expect_full_capacity(struct rs_cluster *cluster, int64_t from_us)
{
    uint32_t answered =
        RsCaller_CountOutcomes(cluster, RsLoad_ANSWERED, from_us);
    uint32_t refused =
        RsCaller_CountOutcomes(cluster, RsLoad_REFUSED, from_us);
    printf("once warm: %u answered, %u refused\n", answered, refused);
    CU_ASSERT(answered > FULL_RATE_PER_S / 2);
    CU_ASSERT(refused < answered / 10);
}

/* The only target of a service is killed and restarted under full load. While
 * it is cold it must not get more requests than it can take, and requests to
 * the service must be answered again within RsCluster_SERVED_WITHIN_MS. */
void
test_target_starts_cold(void)
{
    struct rs_cluster_options options = {
        .domains = 1, .entries = 3, .targets = 1, .cold_ms = COLD_MS};
    struct rs_cluster *cluster = RsCluster_New(&options);
    struct rs_cluster_target *target = &cluster->targets[0];
    struct rs_steady_load load;
    uint32_t failures = CU_get_number_of_failures();
    bool is_up = RsCluster_Start(cluster);
    CU_ASSERT(is_up);
    if (is_up) {
        RsSteadyLoad_Start(&load, cluster, FULL_RATE_PER_S, COLD_LOAD_S,
                           "80,20,0");
        RsCluster_SleepMs(LOSS_DELAY_MS);
        uint64_t refused =
            sum_metric(cluster, "rattanshed_target_refused_total");
        RsCluster_KillTarget(cluster, target);
        RsProcess_Start(&target->process);
        int64_t started_us = RsClock_WallUs();
        json_int_t peak = watch_reported_peak(target, COLD_MS);
        refused =
            sum_metric(cluster, "rattanshed_target_refused_total") - refused;
        printf("the cold target refused %llu and had at most %lld\n",
               (unsigned long long)refused, (long long)peak);
        CU_ASSERT(peak <= MAX_COLD_IN_FLIGHT);
        CU_ASSERT(refused <= MAX_COLD_IN_FLIGHT);
        CU_ASSERT(RsSteadyLoad_Finish(&load));
        int64_t first_ms = RsCaller_FirstAnswerMs(cluster, started_us);
        printf("served again after %lld ms\n", (long long)first_ms);
        CU_ASSERT(first_ms <= RsCluster_SERVED_WITHIN_MS);
        expect_full_capacity(cluster,
                             started_us + (int64_t)WARM_UP_MS * US_PER_MS);
    }
    CU_ASSERT_EQUAL(RsTargetRecords_CountViolations(cluster), 0);
    RsCluster_Free(cluster, CU_get_number_of_failures() > failures);
}
