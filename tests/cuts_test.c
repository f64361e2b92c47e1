/* Network partitions between failure domains and towards the platform, and
 * long outages of the platform. A key must be served by each side that can
 * reach the entry processes of the domain of the key's target. A side that
 * cannot reach them must refuse requests for the key or report their outcome
 * as unknown. The targets themselves stay reachable. */

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "tests/failures.h"
#include "tests/scenario.h"

#define PARTITION_MS 4000
#define PLATFORM_PARTITION_MS 8000
#define HEALED_WITHIN_MS 5000
#define OUTAGE_MS 10000
#define OUTAGE_START_DELAY_MS 150
#define REQUEST_TIMEOUT_MS 800
#define TIMEOUT_SLACK_MS 400
#define US_PER_MS 1000
#define KEY_COUNT 12
#define STATUS_OK 200

static const struct rs_cluster_options two_domains = {
    .domains = 2, .entries = 3, .targets = 2, .has_links = true};

static void
format_key(char text[RsCaller_ID_BYTES], uint32_t index)
{
    g_snprintf(text, RsCaller_ID_BYTES, RsScenario_KEY_PREFIX "%u", index);
}

/* Requests a key whose target is in a domain whose entry processes can't be
 * reached. The request must end within TIMEOUT_SLACK_MS after its timeout, as
 * refused or unknown. */
static void
expect_refused_or_unknown(struct rs_cluster *cluster,
                          const struct rs_cluster_entry *entry,
                          const char *method, const char *key)
{
    struct rs_caller_request request =
        RsCaller_SendRequest(cluster, entry, method, key, REQUEST_TIMEOUT_MS);
    int64_t took_ms = (request.end_us - request.start_us) / US_PER_MS;
    CU_ASSERT(request.outcome == RsLoad_REFUSED ||
              request.outcome == RsLoad_UNKNOWN);
    CU_ASSERT(took_ms <= REQUEST_TIMEOUT_MS + TIMEOUT_SLACK_MS);
    printf("%s of %s by %s: %s %s after %lld ms\n", method, key, request.entry,
           RsLoadAnswer_OutcomeName(request.outcome), request.reason,
           (long long)took_ms);
}

static void
expect_answer(struct rs_cluster *cluster, const struct rs_cluster_entry *entry,
              const char *method, const char *key)
{
    struct rs_caller_request request =
        RsCaller_SendRequest(cluster, entry, method, key, REQUEST_TIMEOUT_MS);
    CU_ASSERT_EQUAL(request.outcome, RsLoad_ANSWERED);
    if (request.outcome != RsLoad_ANSWERED) {
        printf("%s of %s by %s: %s %s\n", method, key, request.entry,
               RsLoadAnswer_OutcomeName(request.outcome), request.reason);
    }
}

static void
send_during_partition(struct rs_cluster *cluster,
                      const uint32_t domains[KEY_COUNT])
{
    char key[RsCaller_ID_BYTES];
    for (uint32_t i = 0; i < KEY_COUNT; i++) {
        const struct rs_cluster_entry *local_entry =
            &cluster->entries[domains[i] * cluster->options.entries + i % 3];
        format_key(key, i);
        expect_answer(cluster, local_entry, i % 2 == 0 ? "GET" : "POST", key);
    }
    for (uint32_t i = 0; i < KEY_COUNT / 2; i++) {
        const struct rs_cluster_entry *remote_entry =
            &cluster->entries[(1 - domains[i]) * cluster->options.entries +
                              i % 3];
        format_key(key, i);
        expect_refused_or_unknown(cluster, remote_entry,
                                  i % 2 == 0 ? "GET" : "POST", key);
    }
}

/* Stores the domain of each key's target. Both domains must have some keys. */
static void
find_domains(struct rs_cluster *cluster, uint32_t domains[KEY_COUNT])
{
    uint32_t second_domain_key_count = 0;
    char key[RsCaller_ID_BYTES];
    for (uint32_t i = 0; i < KEY_COUNT; i++) {
        format_key(key, i);
        domains[i] = RsCluster_FindTarget(cluster, key)->domain;
        second_domain_key_count += domains[i];
    }
    CU_ASSERT(second_domain_key_count > 0 &&
              second_domain_key_count < KEY_COUNT);
}

/* Expects that each entry process serves each key at least once, and all of
 * them within `within_ms` in total. */
static void
expect_all_served(struct rs_cluster *cluster, int64_t within_ms)
{
    int64_t give_up_at_ms = RsClock_NowMs() + within_ms;
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        for (uint32_t j = 0; j < KEY_COUNT; j++) {
            char key[RsCaller_ID_BYTES];
            bool served = false;
            format_key(key, j);
            while (!served && RsClock_NowMs() < give_up_at_ms) {
                served = RsCaller_SendRequest(cluster, &cluster->entries[i],
                                              "GET", key, REQUEST_TIMEOUT_MS)
                             .outcome == RsLoad_ANSWERED;
            }
            CU_ASSERT(served);
        }
    }
}

static void
partition_and_heal(const char *cut)
{
    struct rs_scenario scenario;
    uint32_t domains[KEY_COUNT];
    if (RsScenario_Start(&scenario, &two_domains)) {
        uint16_t link_port = scenario.cluster->link_port;
        find_domains(scenario.cluster, domains);
        RsStream_Stop(scenario.stream);
        scenario.stream = NULL;
        RsCluster_SetFaults(link_port, cut);
        RsCluster_SleepMs(PARTITION_MS);
        send_during_partition(scenario.cluster, domains);
        RsCluster_SetFaults(link_port, "{\"cut\":[]}");
        expect_all_served(scenario.cluster, HEALED_WITHIN_MS);
    }
    RsScenario_Finish(&scenario);
}

void
test_domains_cut(void)
{
    partition_and_heal("{\"cut\":[[\"dom-0\",\"dom-1\"]]}");
}

/* The entry processes of domain 1 can reach neither those of domain 0 nor the
 * platform. */
void
test_domain_cut_off(void)
{
    partition_and_heal("{\"cut\":[[\"dom-0\",\"dom-1\"],"
                       "[\"dom-1\",\"platform\"]]}");
}

/* The entry processes of domain 1 can reach those of domain 0, but not the
 * platform. */
void
test_domain_cut_from_platform(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &two_domains)) {
        RsCluster_SetFaults(scenario.cluster->link_port,
                            "{\"cut\":[[\"dom-1\",\"platform\"]]}");
        RsCluster_SleepMs(PLATFORM_PARTITION_MS);
        RsCluster_SetFaults(scenario.cluster->link_port, "{\"cut\":[]}");
        CU_ASSERT(RsScenario_StopStream(&scenario, PARTITION_MS / 4) <=
                  RsCluster_SERVED_WITHIN_MS);
    }
    RsScenario_Finish(&scenario);
}

/* Returns how many requests the targets of a domain started after `after_us`,
 * a time of the wall clock. */
static uint32_t
count_started_in_domain(struct rs_cluster *cluster, uint32_t domain,
                        int64_t after_us)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < cluster->target_count; i++) {
        if (cluster->targets[i].domain == domain) {
            count += RsTargetRecords_CountStartedAfter(
                cluster, &cluster->targets[i], after_us);
        }
    }
    return count;
}

/* The platform fails shortly after a ticket that makes the slices of a domain
 * move to another domain. The move must go on once the platform is back, and
 * all keys must be served throughout. */
void
test_outage_in_move(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &two_domains)) {
        struct rs_cluster *cluster = scenario.cluster;
        char *ticket = RsCluster_MakeDomainTicket(cluster, 1, "out");
        CU_ASSERT_EQUAL(RsCluster_Submit(&cluster->entries[0], ticket),
                        STATUS_OK);
        RsCluster_SleepMs(OUTAGE_START_DELAY_MS);
        RsCluster_SetFaults(cluster->platform_port, "{\"outage\":true}");
        RsCluster_SleepMs(OUTAGE_MS);
        RsCluster_SetFaults(cluster->platform_port, "{\"outage\":false}");
        CU_ASSERT(
            RsCluster_WaitInForce(cluster, 2, RsCluster_IN_FORCE_WITHIN_MS));
        int64_t in_force_us = RsClock_WallUs();
        int64_t gap_ms = RsScenario_StopStream(
            &scenario, RsCluster_DRAINED_WITHIN_MS + 500);
        CU_ASSERT(gap_ms <= RsCluster_SERVED_WITHIN_MS);
        int64_t drained_by_us =
            in_force_us + (int64_t)RsCluster_DRAINED_WITHIN_MS * US_PER_MS;
        CU_ASSERT_EQUAL(count_started_in_domain(cluster, 1, drained_by_us), 0);
        g_free(ticket);
    }
    RsScenario_Finish(&scenario);
}

/* The platform is slow, and the answers to the next six commits are lost. The
 * ticket must still be accepted, and the domain's targets must start no
 * requests later than RsCluster_DRAINED_WITHIN_MS after the ticket is in
 * force. */
void
test_answers_of_platform_lost(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &two_domains)) {
        struct rs_cluster *cluster = scenario.cluster;
        char *ticket = RsCluster_MakeDomainTicket(cluster, 1, "out");
        RsCluster_SetFaults(cluster->platform_port,
                            "{\"lose_answers\":6,\"slow_ms\":50}");
        int status = 0;
        for (int i = 0; i < 5 && status != STATUS_OK; i++) {
            status = RsCluster_Submit(&cluster->entries[i], ticket);
        }
        CU_ASSERT_EQUAL(status, STATUS_OK);
        CU_ASSERT(
            RsCluster_WaitInForce(cluster, 2, RsCluster_IN_FORCE_WITHIN_MS));
        int64_t in_force_us = RsClock_WallUs();
        int64_t gap_ms = RsScenario_StopStream(
            &scenario, RsCluster_DRAINED_WITHIN_MS + 500);
        CU_ASSERT(gap_ms <= RsCluster_SERVED_WITHIN_MS);
        int64_t drained_by_us =
            in_force_us + (int64_t)RsCluster_DRAINED_WITHIN_MS * US_PER_MS;
        CU_ASSERT_EQUAL(count_started_in_domain(cluster, 1, drained_by_us), 0);
        g_free(ticket);
    }
    RsScenario_Finish(&scenario);
}
