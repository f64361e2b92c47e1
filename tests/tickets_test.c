/* Tickets of shifts that race, domains that leave and return, targets that
 * leave. */

#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "tests/cluster_files.h"
#include "tests/failures.h"
#include "tests/scene.h"

#define STATUS_OK 200
#define STATUS_CONFLICT 409
#define STATUS_UNAVAILABLE 503
#define US_PER_MS 1000
#define KEY "k0"
#define TRIES 20
#define TRY_PAUSE_MS 100
#define AFTER_LEFT_MS 700

static const struct rs_cluster_options two_domains = {
    .domains = 2, .entries = 3, .targets = 2};
static const struct rs_cluster_options one_domain = {
    .domains = 1, .entries = 3, .targets = 3};

struct submission {
    const struct rs_cluster_entry *entry;
    char *ticket;
    int status;
    json_t *answer;
    GThread *thread;
};

static gpointer
submit(gpointer arg)
{
    struct submission *submission = arg;
    submission->status =
        RsCluster_Call(submission->entry->admin_port, "POST", "/tickets",
                       submission->ticket, &submission->answer);
    return NULL;
}

/* Submits two tickets at once to two entries. */
static void
race(struct rs_cluster *cluster, struct submission pair[2])
{
    for (uint32_t i = 0; i < 2; i++) {
        pair[i].entry = &cluster->entries[i * 2];
        pair[i].thread = g_thread_new("shift", submit, &pair[i]);
    }
    for (uint32_t i = 0; i < 2; i++) {
        g_thread_join(pair[i].thread);
    }
}

static void
clear_race(struct submission pair[2])
{
    for (uint32_t i = 0; i < 2; i++) {
        json_decref(pair[i].answer);
        g_free(pair[i].ticket);
    }
}

static char *
domain_ticket(uint64_t number, const char *author, const char *state)
{
    return g_strdup_printf(
        "{\"number\":%llu,\"author\":\"%s\",\"note\":\"\",\"objects\":["
        "{\"kind\":\"domain\",\"name\":\"dom-1\",\"value\":{\"region\":"
        "\"sul\",\"state\":\"%s\"}}]}",
        (unsigned long long)number, author, state);
}

/* Exactly one of two tickets with one number is accepted; the other shift is
 * told the head. The accepted one is in the log. */
static void
race_different(struct rs_cluster *cluster, uint64_t number)
{
    struct submission pair[2] = {
        {.ticket = domain_ticket(number, "ana", "out")},
        {.ticket = domain_ticket(number, "bruno", "in")}};
    race(cluster, pair);
    uint32_t winner = pair[0].status == STATUS_OK ? 0 : 1;
    const struct submission *loser = &pair[1 - winner];
    CU_ASSERT_EQUAL(pair[winner].status, STATUS_OK);
    CU_ASSERT_EQUAL(loser->status, STATUS_CONFLICT);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(loser->answer, "head")),
                    (json_int_t)number);
    char *path = g_strdup_printf("/tickets/%llu", (unsigned long long)number);
    json_t *kept = NULL;
    RsCluster_Call(cluster->entries[1].admin_port, "GET", path, NULL, &kept);
    const char *author = json_string_value(json_object_get(kept, "author"));
    CU_ASSERT_STRING_EQUAL(author != NULL ? author : "",
                           winner == 0 ? "ana" : "bruno");
    json_decref(kept);
    g_free(path);
    clear_race(pair);
}

/* The same ticket twice is accepted once, and both are told so. */
static void
race_same(struct rs_cluster *cluster, uint64_t number)
{
    struct submission pair[2] = {
        {.ticket = domain_ticket(number, "ana", "in")},
        {.ticket = domain_ticket(number, "ana", "in")}};
    race(cluster, pair);
    CU_ASSERT_EQUAL(pair[0].status, STATUS_OK);
    CU_ASSERT_EQUAL(pair[1].status, STATUS_OK);
    clear_race(pair);
}

/* An answer is lost on the way; the repeated ticket ends as accepted. */
static void
repeat_after_loss(struct rs_cluster *cluster, uint64_t number)
{
    char *ticket = domain_ticket(number, "ana", "in");
    int status = 0;
    RsCluster_Switch(cluster->platform_port, "{\"lose_answers\":1}");
    for (int i = 0; i < TRIES && status != STATUS_OK; i++) {
        status = RsCluster_Submit(&cluster->entries[i % 3], ticket);
        RsCluster_SleepMs(TRY_PAUSE_MS);
    }
    CU_ASSERT_EQUAL(status, STATUS_OK);
    g_free(ticket);
}

/* A ticket that comes before the table was read is not accepted, and the
 * process lives. */
void
test_ticket_before_table(void)
{
    struct rs_cluster *cluster = RsCluster_New(&one_domain);
    struct rs_cluster_entry *entry = &cluster->entries[0];
    char *ticket = RsClusterFiles_FirstTicket(cluster);
    uint32_t failures = CU_get_number_of_failures();
    int ended = 0;
    RsProcess_Start(&entry->process);
    int status = 0;
    for (int i = 0; i < TRIES && status == 0; i++) {
        RsCluster_SleepMs(TRY_PAUSE_MS);
        status = RsCluster_Submit(entry, ticket);
    }
    CU_ASSERT_EQUAL(status, STATUS_UNAVAILABLE);
    CU_ASSERT_FALSE(RsProcess_HasEnded(&entry->process, &ended));
    free(ticket);
    RsCluster_Free(cluster, CU_get_number_of_failures() > failures);
}

void
test_shifts_race(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &two_domains)) {
        struct rs_cluster *cluster = scene.cluster;
        for (uint64_t number = 2; number < 8; number++) {
            race_different(cluster, number);
            CU_ASSERT(RsCluster_WaitInForce(cluster, number,
                                            RsCluster_IN_FORCE_WITHIN_MS));
        }
        race_same(cluster, 8);
        CU_ASSERT(
            RsCluster_WaitInForce(cluster, 8, RsCluster_IN_FORCE_WITHIN_MS));
        repeat_after_loss(cluster, 9);
        CU_ASSERT(
            RsCluster_WaitInForce(cluster, 9, RsCluster_IN_FORCE_WITHIN_MS));
    }
    RsScene_Close(&scene);
}

static uint32_t
work_of_domain(struct rs_cluster *cluster, uint32_t domain, int64_t after_us)
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

static void
set_domain(struct rs_cluster *cluster, const char *state)
{
    uint64_t number = cluster->next_ticket;
    char *ticket = RsCluster_DomainTicket(cluster, 1, state);
    CU_ASSERT_EQUAL(RsCluster_Submit(&cluster->entries[0], ticket), STATUS_OK);
    CU_ASSERT(
        RsCluster_WaitInForce(cluster, number, RsCluster_IN_FORCE_WITHIN_MS));
    g_free(ticket);
}

static void
expect_no_refusals(struct rs_scene *scene)
{
    static const enum rs_load_outcome bad[] = {RsLoad_REFUSED, RsLoad_UNKNOWN,
                                               RsLoad_BROKEN, RsLoad_SILENT};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        CU_ASSERT_EQUAL(
            RsStream_Count(scene->cluster, bad[i], scene->began_us), 0);
        RsStream_Print(scene->cluster, bad[i], scene->began_us);
    }
}

void
test_domain_out_and_back(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &two_domains)) {
        struct rs_cluster *cluster = scene.cluster;
        int64_t out_us = RsClock_WallUs();
        CU_ASSERT(work_of_domain(cluster, 1, 0) > 0);
        set_domain(cluster, "out");
        RsCluster_SleepMs(RsCluster_LEFT_WITHIN_MS + AFTER_LEFT_MS);
        int64_t left_by_us =
            out_us + (int64_t)RsCluster_LEFT_WITHIN_MS * US_PER_MS;
        CU_ASSERT_EQUAL(work_of_domain(cluster, 1, left_by_us), 0);
        int64_t back_us = RsClock_WallUs();
        set_domain(cluster, "in");
        CU_ASSERT(RsScene_Settle(&scene, RsCluster_LEFT_WITHIN_MS) <=
                  RsCluster_SERVED_WITHIN_MS);
        CU_ASSERT(work_of_domain(cluster, 1, back_us) > 0);
        expect_no_refusals(&scene);
    }
    RsScene_Close(&scene);
}

void
test_target_leaves(void)
{
    struct rs_scene scene;
    if (RsScene_Open(&scene, &one_domain)) {
        struct rs_cluster *cluster = scene.cluster;
        struct rs_cluster_target *target = RsCluster_TargetOf(cluster, KEY);
        json_t *change = json_pack("{s:[o]}", "put",
                                   RsClusterFiles_TargetVm(target, "leaving"));
        char *text = json_dumps(change, JSON_COMPACT);
        int64_t leaves_us = RsClock_WallUs();
        CU_ASSERT_EQUAL(RsCluster_Call(cluster->platform_port, "POST",
                                       "/standin/vms", text, NULL),
                        STATUS_OK);
        CU_ASSERT(
            RsScene_Settle(&scene, RsCluster_LEFT_WITHIN_MS + AFTER_LEFT_MS) <=
            RsCluster_SERVED_WITHIN_MS);
        int64_t left_by_us =
            leaves_us + (int64_t)RsCluster_LEFT_WITHIN_MS * US_PER_MS;
        CU_ASSERT_EQUAL(RsVerdict_WorkAfter(cluster, target, left_by_us), 0);
        expect_no_refusals(&scene);
        free(text);
        json_decref(change);
    }
    RsScene_Close(&scene);
}
