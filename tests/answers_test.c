/* Targets that answer late, short, twice or for another request. No caller
 * gets another's answer, or a cut one as whole; what may not be repeated runs
 * once and ends as unknown at once. */

#include <CUnit/CUnit.h>
#include <stdio.h>

#include "tests/failures.h"
#include "tests/scene.h"

#define KEY "k0"
#define FILE_KEY "file-0"
#define TIMEOUT_MS 2000
#define AT_ONCE_MS 500
#define LATE_MS 700
#define SHORT_TIMEOUT_MS 300
#define US_PER_MS 1000
#define ROUNDS 5
#define SETTLE_MS 300
#define NO_FAULTS                                                             \
    "{\"cross_answers\":0,\"short_answers\":0,\"double_answers\":0,"          \
    "\"wrong_id_answers\":0,\"answer_late_ms\":0}"
#define FAULT_MS 500 /* of the stream under each fault */

static const struct rs_cluster_options one_domain = {
    .domains = 1, .entries = 3, .targets = 2, .has_files = true};

static struct rs_caller_request
ask(struct rs_cluster *cluster, const char *method, const char *key,
    uint32_t timeout_ms)
{
    return RsCaller_Ask(cluster, &cluster->entries[0], method, key,
                        timeout_ms);
}

static int64_t
took_ms(const struct rs_caller_request *request)
{
    return (request->end_us - request->start_us) / US_PER_MS;
}

/* Switches a fault at all targets that may own the key: the planner may give
 * its slice to another one at any time. */
static void
switch_owners(struct rs_cluster *cluster, const char *fault)
{
    for (uint32_t i = 0; i < cluster->options.targets; i++) {
        RsCluster_Switch(cluster->targets[i].port, fault);
    }
}

/* A POST whose answer can't be trusted ends as unknown at once, and has run
 * once; so it does when the connection breaks off in a cut body. */
static void
expect_unknown(struct rs_cluster *cluster, const char *fault, bool may_break)
{
    for (int i = 0; i < ROUNDS; i++) {
        CU_ASSERT_EQUAL(ask(cluster, "GET", KEY, TIMEOUT_MS).outcome,
                        RsLoad_ANSWERED);
        switch_owners(cluster, fault);
        struct rs_caller_request post = ask(cluster, "POST", KEY, TIMEOUT_MS);
        switch_owners(cluster, NO_FAULTS);
        CU_ASSERT(post.outcome == RsLoad_UNKNOWN ||
                  (may_break && post.outcome == RsLoad_BROKEN));
        CU_ASSERT(took_ms(&post) < AT_ONCE_MS);
        RsCluster_SleepMs(SETTLE_MS);
        CU_ASSERT_EQUAL(RsVerdict_EffectsOf(cluster, post.id), 1);
        printf("%s: %s after %lld ms\n", fault,
               RsLoadAnswer_OutcomeName(post.outcome),
               (long long)took_ms(&post));
    }
}

/* A second answer that nobody asked for is given to nobody. */
static void
expect_own_answer(struct rs_cluster *cluster)
{
    for (int i = 0; i < ROUNDS; i++) {
        switch_owners(cluster, "{\"double_answers\":1}");
        CU_ASSERT_EQUAL(ask(cluster, "POST", KEY, TIMEOUT_MS).outcome,
                        RsLoad_ANSWERED);
        CU_ASSERT_EQUAL(ask(cluster, "GET", KEY, TIMEOUT_MS).outcome,
                        RsLoad_ANSWERED);
    }
    switch_owners(cluster, NO_FAULTS);
}

/* A late answer is that of a request which has ended as unknown; it is given
 * to no other. */
static void
expect_late_is_unknown(struct rs_cluster *cluster)
{
    switch_owners(cluster, "{\"answer_late_ms\":700}");
    struct rs_caller_request post =
        ask(cluster, "POST", KEY, SHORT_TIMEOUT_MS);
    switch_owners(cluster, NO_FAULTS);
    CU_ASSERT_EQUAL(post.outcome, RsLoad_UNKNOWN);
    CU_ASSERT(took_ms(&post) < SHORT_TIMEOUT_MS + AT_ONCE_MS);
    for (int i = 0; i < ROUNDS; i++) {
        CU_ASSERT_EQUAL(ask(cluster, "GET", KEY, TIMEOUT_MS).outcome,
                        RsLoad_ANSWERED);
    }
    RsCluster_SleepMs(LATE_MS);
    CU_ASSERT_EQUAL(ask(cluster, "GET", KEY, TIMEOUT_MS).outcome,
                    RsLoad_ANSWERED);
    CU_ASSERT_EQUAL(RsVerdict_EffectsOf(cluster, post.id), 1);
}

/* A file that was cut is asked for again, or breaks off. */
static void
expect_no_cut_file(struct rs_cluster *cluster, const char *fault)
{
    const struct rs_cluster_target *files =
        &cluster->targets[cluster->options.targets];
    for (int i = 0; i < ROUNDS; i++) {
        RsCluster_Switch(files->port, fault);
        struct rs_caller_request file =
            ask(cluster, "GET", FILE_KEY, TIMEOUT_MS);
        RsCluster_Switch(files->port, NO_FAULTS);
        CU_ASSERT(file.outcome == RsLoad_BROKEN ||
                  file.outcome == RsLoad_ANSWERED);
        CU_ASSERT_EQUAL(ask(cluster, "GET", FILE_KEY, TIMEOUT_MS).outcome,
                        RsLoad_ANSWERED);
    }
}

void
test_bad_answers(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &one_domain)) {
        struct rs_cluster *cluster = scene.cluster;
        RsStream_Stop(scene.stream);
        scene.stream = NULL;
        expect_unknown(cluster, "{\"cross_answers\":1}", false);
        expect_unknown(cluster, "{\"wrong_id_answers\":1}", false);
        expect_unknown(cluster, "{\"short_answers\":1}", true);
        expect_own_answer(cluster);
        expect_late_is_unknown(cluster);
        expect_no_cut_file(cluster, "{\"short_answers\":1}");
        expect_no_cut_file(cluster, "{\"wrong_id_answers\":1}");
    }
    RsScene_Close(&scene);
}

/* One fault after the other, under the stream of all keys. */
void
test_bad_answers_under_load(void)
{
    static const char *const faults[] = {
        "{\"cross_answers\":20}", "{\"wrong_id_answers\":20}",
        "{\"short_answers\":20}", "{\"double_answers\":20}"};
    struct rs_scene scene;
    if (RsScene_Open(&scene, &one_domain)) {
        for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
            for (uint32_t j = 0; j < one_domain.targets; j++) {
                RsCluster_Switch(scene.cluster->targets[j].port, faults[i]);
            }
            RsCluster_SleepMs(FAULT_MS);
        }
        CU_ASSERT(RsScene_Settle(&scene, FAULT_MS) <=
                  RsCluster_SERVED_WITHIN_MS);
        CU_ASSERT(
            RsStream_Count(scene.cluster, RsLoad_UNKNOWN, scene.began_us) > 0);
    }
    RsScene_Close(&scene);
}
