/* Cuts between failure domains and towards the platform, and long outages of
 * the platform: each side serves what it can, and says honestly what not. */

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "tests/failures.h"
#include "tests/scene.h"

#define CUT_MS 4000
#define LONG_CUT_MS 8000
#define HEALED_WITHIN_MS 5000
#define OUTAGE_MS 10000
#define OUTAGE_BEGINS_AFTER_MS 150
#define ASK_TIMEOUT_MS 800
#define ASK_SLACK_MS 400
#define US_PER_MS 1000
#define KEYS 12
#define STATUS_OK 200

static const struct rs_cluster_options two_domains = {
    .domains = 2, .entries = 3, .targets = 2, .has_links = true};

static void
key_text(char text[RsCaller_ID_BYTES], uint32_t index)
{
    g_snprintf(text, RsCaller_ID_BYTES, RsScene_KEYS "%u", index);
}

/* Asks for a key of another domain, which can't be reached: the end comes by
 * the deadline and tells the truth. */
static void
expect_honest_end(struct rs_cluster *cluster,
                  const struct rs_cluster_entry *entry, const char *method,
                  const char *key)
{
    struct rs_caller_request request =
        RsCaller_Ask(cluster, entry, method, key, ASK_TIMEOUT_MS);
    int64_t took_ms = (request.end_us - request.start_us) / US_PER_MS;
    CU_ASSERT(request.outcome == RsLoad_REFUSED ||
              request.outcome == RsLoad_UNKNOWN);
    CU_ASSERT(took_ms <= ASK_TIMEOUT_MS + ASK_SLACK_MS);
    printf("%s of %s by %s: %s %s after %lld ms\n", method, key, request.entry,
           RsLoadAnswer_OutcomeName(request.outcome), request.reason,
           (long long)took_ms);
}

static void
expect_answer(struct rs_cluster *cluster, const struct rs_cluster_entry *entry,
              const char *method, const char *key)
{
    struct rs_caller_request request =
        RsCaller_Ask(cluster, entry, method, key, ASK_TIMEOUT_MS);
    CU_ASSERT_EQUAL(request.outcome, RsLoad_ANSWERED);
    if (request.outcome != RsLoad_ANSWERED) {
        printf("%s of %s by %s: %s %s\n", method, key, request.entry,
               RsLoadAnswer_OutcomeName(request.outcome), request.reason);
    }
}

static void
ask_in_cut(struct rs_cluster *cluster, const uint32_t domains[KEYS])
{
    char key[RsCaller_ID_BYTES];
    for (uint32_t i = 0; i < KEYS; i++) {
        const struct rs_cluster_entry *near =
            &cluster->entries[domains[i] * cluster->options.entries + i % 3];
        key_text(key, i);
        expect_answer(cluster, near, i % 2 == 0 ? "GET" : "POST", key);
    }
    for (uint32_t i = 0; i < KEYS / 2; i++) {
        const struct rs_cluster_entry *far =
            &cluster->entries[(1 - domains[i]) * cluster->options.entries +
                              i % 3];
        key_text(key, i);
        expect_honest_end(cluster, far, i % 2 == 0 ? "GET" : "POST", key);
    }
}

/* Returns the domain of each key's target. Both domains have some. */
static void
find_domains(struct rs_cluster *cluster, uint32_t domains[KEYS])
{
    uint32_t in_second = 0;
    char key[RsCaller_ID_BYTES];
    for (uint32_t i = 0; i < KEYS; i++) {
        key_text(key, i);
        domains[i] = RsCluster_TargetOf(cluster, key)->domain;
        in_second += domains[i];
    }
    CU_ASSERT(in_second > 0 && in_second < KEYS);
}

/* All is served by all entries within the time. */
static void
expect_all_served(struct rs_cluster *cluster, int64_t within_ms)
{
    int64_t give_up_at_ms = RsClock_NowMs() + within_ms;
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        for (uint32_t j = 0; j < KEYS; j++) {
            char key[RsCaller_ID_BYTES];
            bool served = false;
            key_text(key, j);
            while (!served && RsClock_NowMs() < give_up_at_ms) {
                served = RsCaller_Ask(cluster, &cluster->entries[i], "GET",
                                      key, ASK_TIMEOUT_MS)
                             .outcome == RsLoad_ANSWERED;
            }
            CU_ASSERT(served);
        }
    }
}

static void
cut_and_heal(const char *cut)
{
    struct rs_scene scene;
    uint32_t domains[KEYS];
    if (RsScene_Open(&scene, &two_domains)) {
        uint16_t link_port = scene.cluster->link_port;
        find_domains(scene.cluster, domains);
        RsStream_Stop(scene.stream);
        scene.stream = NULL;
        RsCluster_Switch(link_port, cut);
        RsCluster_SleepMs(CUT_MS);
        ask_in_cut(scene.cluster, domains);
        RsCluster_Switch(link_port, "{\"cut\":[]}");
        expect_all_served(scene.cluster, HEALED_WITHIN_MS);
    }
    RsScene_Close(&scene);
}

void
test_domains_cut(void)
{
    cut_and_heal("{\"cut\":[[\"dom-0\",\"dom-1\"]]}");
}

/* A domain that sees neither the other one nor the platform. */
void
test_domain_cut_off(void)
{
    cut_and_heal("{\"cut\":[[\"dom-0\",\"dom-1\"],"
                 "[\"dom-1\",\"platform\"]]}");
}

/* A domain that can't see the platform, but its peers. */
void
test_domain_cut_from_platform(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &two_domains)) {
        RsCluster_Switch(scene.cluster->link_port,
                         "{\"cut\":[[\"dom-1\",\"platform\"]]}");
        RsCluster_SleepMs(LONG_CUT_MS);
        RsCluster_Switch(scene.cluster->link_port, "{\"cut\":[]}");
        CU_ASSERT(RsScene_Settle(&scene, CUT_MS / 4) <=
                  RsCluster_SERVED_WITHIN_MS);
    }
    RsScene_Close(&scene);
}

static uint32_t
count_work_elsewhere(struct rs_cluster *cluster, uint32_t domain,
                     int64_t after_us)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < cluster->target_count; i++) {
        if (cluster->targets[i].domain == domain) {
            count +=
                RsVerdict_WorkAfter(cluster, &cluster->targets[i], after_us);
        }
    }
    return count;
}

/* The platform fails in the middle of a domain's move. The move goes on as
 * soon as it is back, and keys are served all the time. */
void
test_outage_in_move(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &two_domains)) {
        struct rs_cluster *cluster = scene.cluster;
        char *ticket = RsCluster_DomainTicket(cluster, 1, "out");
        CU_ASSERT_EQUAL(RsCluster_Submit(&cluster->entries[0], ticket),
                        STATUS_OK);
        RsCluster_SleepMs(OUTAGE_BEGINS_AFTER_MS);
        RsCluster_Switch(cluster->platform_port, "{\"outage\":true}");
        RsCluster_SleepMs(OUTAGE_MS);
        RsCluster_Switch(cluster->platform_port, "{\"outage\":false}");
        CU_ASSERT(
            RsCluster_WaitInForce(cluster, 2, RsCluster_IN_FORCE_WITHIN_MS));
        int64_t in_force_us = RsClock_WallUs();
        int64_t gap_ms =
            RsScene_Settle(&scene, RsCluster_LEFT_WITHIN_MS + 500);
        CU_ASSERT(gap_ms <= RsCluster_SERVED_WITHIN_MS);
        int64_t left_by_us =
            in_force_us + (int64_t)RsCluster_LEFT_WITHIN_MS * US_PER_MS;
        CU_ASSERT_EQUAL(count_work_elsewhere(cluster, 1, left_by_us), 0);
        g_free(ticket);
    }
    RsScene_Close(&scene);
}

/* Commits of tickets and of plans take effect, but their answers are lost;
 * the platform is slow besides. */
void
test_answers_of_platform_lost(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &two_domains)) {
        struct rs_cluster *cluster = scene.cluster;
        char *ticket = RsCluster_DomainTicket(cluster, 1, "out");
        RsCluster_Switch(cluster->platform_port,
                         "{\"lose_answers\":6,\"slow_ms\":50}");
        int status = 0;
        for (int i = 0; i < 5 && status != STATUS_OK; i++) {
            status = RsCluster_Submit(&cluster->entries[i], ticket);
        }
        CU_ASSERT_EQUAL(status, STATUS_OK);
        CU_ASSERT(
            RsCluster_WaitInForce(cluster, 2, RsCluster_IN_FORCE_WITHIN_MS));
        int64_t in_force_us = RsClock_WallUs();
        int64_t gap_ms =
            RsScene_Settle(&scene, RsCluster_LEFT_WITHIN_MS + 500);
        CU_ASSERT(gap_ms <= RsCluster_SERVED_WITHIN_MS);
        int64_t left_by_us =
            in_force_us + (int64_t)RsCluster_LEFT_WITHIN_MS * US_PER_MS;
        CU_ASSERT_EQUAL(count_work_elsewhere(cluster, 1, left_by_us), 0);
        g_free(ticket);
    }
    RsScene_Close(&scene);
}
