/* Targets that answer late, twice, with a truncated body or for another
 * request. No caller may get the answer to another request, or a truncated
 * answer that looks complete. When the answer to a request that may not be
 * repeated can't be trusted, the request must run only once and end,
 * without waiting for its timeout, as "outcome unknown" or, if the answer was
 * truncated, possibly with the caller's connection closed. */

#include <CUnit/CUnit.h>
#include <stdio.h>

#include "tests/failures.h"
#include "tests/scenario.h"

#define KEY "k0"
#define FILE_KEY "file-0"
#define TIMEOUT_MS 2000
#define PROMPT_MS 500
#define ANSWER_DELAY_MS 700 /* as in `answer_late_ms` below */
#define SHORT_TIMEOUT_MS 300
#define US_PER_MS 1000
#define ROUNDS 5
#define SETTLE_MS 300
#define NO_FAULTS                                                             \
    "{\"cross_answers\":0,\"short_answers\":0,\"double_answers\":0,"          \
    "\"wrong_id_answers\":0,\"answer_late_ms\":0}"
/* From setting one fault to setting the next. */
#define FAULT_INTERVAL_MS 500

static const struct rs_cluster_options one_domain = {
    .domains = 1, .entries = 3, .targets = 2, .has_files = true};

static struct rs_caller_request
send_request(struct rs_cluster *cluster, const char *method, const char *key,
             uint32_t timeout_ms)
{
    return RsCaller_SendRequest(cluster, &cluster->entries[0], method, key,
                                timeout_ms);
}

static int64_t
duration_ms(const struct rs_caller_request *request)
{
    return (request->end_us - request->start_us) / US_PER_MS;
}

/* Sets a fault at all targets of the keyed service, because an entry process
 * may move the key's slice to another target at any time. */
static void
set_fault_at_keyed_targets(struct rs_cluster *cluster, const char *fault)
{
    for (uint32_t i = 0; i < cluster->options.targets; i++) {
        RsCluster_SetFaults(cluster->targets[i].port, fault);
    }
}

/* A POST whose answer can't be trusted ends as unknown without waiting for its
 * timeout, and has run once. If `may_disconnect` is set, because the fault
 * closes the target's connection within the body, the caller's connection may
 * be closed instead. */
static void
expect_not_answered_and_run_once(struct rs_cluster *cluster, const char *fault,
                                 bool may_disconnect)
{
    for (int i = 0; i < ROUNDS; i++) {
        CU_ASSERT_EQUAL(send_request(cluster, "GET", KEY, TIMEOUT_MS).outcome,
                        RsLoad_ANSWERED);
        set_fault_at_keyed_targets(cluster, fault);
        struct rs_caller_request post =
            send_request(cluster, "POST", KEY, TIMEOUT_MS);
        set_fault_at_keyed_targets(cluster, NO_FAULTS);
        CU_ASSERT(post.outcome == RsLoad_UNKNOWN ||
                  (may_disconnect && post.outcome == RsLoad_BROKEN));
        CU_ASSERT(duration_ms(&post) < PROMPT_MS);
        RsCluster_SleepMs(SETTLE_MS);
        CU_ASSERT_EQUAL(RsTargetRecords_CountEffects(cluster, post.id), 1);
        printf("%s: %s after %lld ms\n", fault,
               RsLoadAnswer_OutcomeName(post.outcome),
               (long long)duration_ms(&post));
    }
}

/* A second answer to the same request is discarded: it must not become the
 * answer to the next request on that connection. */
static void
expect_duplicate_discarded(struct rs_cluster *cluster)
{
    for (int i = 0; i < ROUNDS; i++) {
        set_fault_at_keyed_targets(cluster, "{\"double_answers\":1}");
        CU_ASSERT_EQUAL(send_request(cluster, "POST", KEY, TIMEOUT_MS).outcome,
                        RsLoad_ANSWERED);
        CU_ASSERT_EQUAL(send_request(cluster, "GET", KEY, TIMEOUT_MS).outcome,
                        RsLoad_ANSWERED);
    }
    set_fault_at_keyed_targets(cluster, NO_FAULTS);
}

/* An answer that comes after its request has ended as unknown is discarded: it
 * must not become the answer to a later request. */
static void
expect_late_answer_discarded(struct rs_cluster *cluster)
{
    set_fault_at_keyed_targets(cluster, "{\"answer_late_ms\":700}");
    struct rs_caller_request post =
        send_request(cluster, "POST", KEY, SHORT_TIMEOUT_MS);
    set_fault_at_keyed_targets(cluster, NO_FAULTS);
    CU_ASSERT_EQUAL(post.outcome, RsLoad_UNKNOWN);
    CU_ASSERT(duration_ms(&post) < SHORT_TIMEOUT_MS + PROMPT_MS);
    for (int i = 0; i < ROUNDS; i++) {
        CU_ASSERT_EQUAL(send_request(cluster, "GET", KEY, TIMEOUT_MS).outcome,
                        RsLoad_ANSWERED);
    }
    RsCluster_SleepMs(ANSWER_DELAY_MS);
    CU_ASSERT_EQUAL(send_request(cluster, "GET", KEY, TIMEOUT_MS).outcome,
                    RsLoad_ANSWERED);
    CU_ASSERT_EQUAL(RsTargetRecords_CountEffects(cluster, post.id), 1);
}

/* When a file's answer is truncated or for another request, the file is
 * requested again, or the caller's connection is closed. */
static void
expect_no_truncated_file(struct rs_cluster *cluster, const char *fault)
{
    const struct rs_cluster_target *files =
        &cluster->targets[cluster->options.targets];
    for (int i = 0; i < ROUNDS; i++) {
        RsCluster_SetFaults(files->port, fault);
        struct rs_caller_request file =
            send_request(cluster, "GET", FILE_KEY, TIMEOUT_MS);
        RsCluster_SetFaults(files->port, NO_FAULTS);
        CU_ASSERT(file.outcome == RsLoad_BROKEN ||
                  file.outcome == RsLoad_ANSWERED);
        CU_ASSERT_EQUAL(
            send_request(cluster, "GET", FILE_KEY, TIMEOUT_MS).outcome,
            RsLoad_ANSWERED);
    }
}

void
test_bad_answers(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        struct rs_cluster *cluster = scenario.cluster;
        RsStream_Stop(scenario.stream);
        scenario.stream = NULL;
        expect_not_answered_and_run_once(cluster, "{\"cross_answers\":1}",
                                         false);
        expect_not_answered_and_run_once(cluster, "{\"wrong_id_answers\":1}",
                                         false);
        expect_not_answered_and_run_once(cluster, "{\"short_answers\":1}",
                                         true);
        expect_duplicate_discarded(cluster);
        expect_late_answer_discarded(cluster);
        expect_no_truncated_file(cluster, "{\"short_answers\":1}");
        expect_no_truncated_file(cluster, "{\"wrong_id_answers\":1}");
    }
    RsScenario_Finish(&scenario);
}

/* Sets each kind of faulty answer in turn, for up to 60 answers of each
 * keyed target, while the stream runs. */
void
test_bad_answers_under_load(void)
{
    static const char *const faults[] = {
        "{\"cross_answers\":60}", "{\"wrong_id_answers\":60}",
        "{\"short_answers\":60}", "{\"double_answers\":60}"};
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
            for (uint32_t j = 0; j < one_domain.targets; j++) {
                RsCluster_SetFaults(scenario.cluster->targets[j].port,
                                    faults[i]);
            }
            RsCluster_SleepMs(FAULT_INTERVAL_MS);
        }
        CU_ASSERT(RsScenario_StopStream(&scenario, FAULT_INTERVAL_MS) <=
                  RsCluster_SERVED_WITHIN_MS);
        CU_ASSERT(RsCaller_CountOutcomes(scenario.cluster, RsLoad_UNKNOWN,
                                         scenario.started_us) > 0);
    }
    RsScenario_Finish(&scenario);
}
