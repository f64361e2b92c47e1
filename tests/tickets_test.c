/* Tickets that are submitted at the same time or too early, domains that are
 * taken out and back in by ticket, and targets that leave. */

#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "tests/cluster_files.h"
#include "tests/failures.h"
#include "tests/scenario.h"

#define STATUS_OK 200
#define STATUS_CONFLICT 409
#define STATUS_UNAVAILABLE 503
#define US_PER_MS 1000
#define KEY "k0"
#define MAX_TRIES 20
#define RETRY_INTERVAL_MS 100
#define OBSERVE_AFTER_DRAIN_MS 700

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

/* Submits two tickets at the same time to two entry processes. */
static void
submit_concurrently(struct rs_cluster *cluster, struct submission pair[2])
{
    for (uint32_t i = 0; i < 2; i++) {
        pair[i].entry = &cluster->entries[i * 2];
        pair[i].thread = g_thread_new("submit", submit, &pair[i]);
    }
    for (uint32_t i = 0; i < 2; i++) {
        g_thread_join(pair[i].thread);
    }
}

static void
clear_submissions(struct submission pair[2])
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

/* Of two different tickets with the same number exactly one is accepted; the
 * answer to the other gives the number of the newest ticket. The accepted one
 * is in the ticket log. */
static void
submit_conflicting(struct rs_cluster *cluster, uint64_t number)
{
    struct submission pair[2] = {
        {.ticket = domain_ticket(number, "ana", "out")},
        {.ticket = domain_ticket(number, "bruno", "in")}};
    submit_concurrently(cluster, pair);
    uint32_t winner = pair[0].status == STATUS_OK ? 0 : 1;
    const struct submission *loser = &pair[1 - winner];
    CU_ASSERT_EQUAL(pair[winner].status, STATUS_OK);
    CU_ASSERT_EQUAL(loser->status, STATUS_CONFLICT);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(loser->answer, "head")),
                    (json_int_t)number);
    char *path = g_strdup_printf("/tickets/%llu", (unsigned long long)number);
    json_t *logged = NULL;
    RsCluster_Call(cluster->entries[1].admin_port, "GET", path, NULL, &logged);
    const char *author = json_string_value(json_object_get(logged, "author"));
    CU_ASSERT_STRING_EQUAL(author != NULL ? author : "",
                           winner == 0 ? "ana" : "bruno");
    json_decref(logged);
    g_free(path);
    clear_submissions(pair);
}

/* Two submissions of the same ticket both succeed. */
static void
submit_identical(struct rs_cluster *cluster, uint64_t number)
{
    struct submission pair[2] = {
        {.ticket = domain_ticket(number, "ana", "in")},
        {.ticket = domain_ticket(number, "ana", "in")}};
    submit_concurrently(cluster, pair);
    CU_ASSERT_EQUAL(pair[0].status, STATUS_OK);
    CU_ASSERT_EQUAL(pair[1].status, STATUS_OK);
    clear_submissions(pair);
}

/* The platform's answer to the next commit is lost, usually that of the
 * ticket. Submitting the same ticket again must succeed. */
static void
resubmit_after_lost_answer(struct rs_cluster *cluster, uint64_t number)
{
    char *ticket = domain_ticket(number, "ana", "in");
    int status = 0;
    RsCluster_SetFaults(cluster->platform_port, "{\"lose_answers\":1}");
    for (int i = 0; i < MAX_TRIES && status != STATUS_OK; i++) {
        status = RsCluster_Submit(&cluster->entries[i % 3], ticket);
        RsCluster_SleepMs(RETRY_INTERVAL_MS);
    }
    CU_ASSERT_EQUAL(status, STATUS_OK);
    g_free(ticket);
}

/* A ticket that is submitted before the entry process has read the table is
 * answered with 503, and the process goes on running. */
void
test_ticket_before_table(void)
{
    struct rs_cluster *cluster = RsCluster_New(&one_domain);
    struct rs_cluster_entry *entry = &cluster->entries[0];
    char *ticket = RsClusterFiles_MakeFirstTicket(cluster);
    uint32_t failures = CU_get_number_of_failures();
    int ended = 0;
    RsProcess_Start(&entry->process);
    int status = 0;
    for (int i = 0; i < MAX_TRIES && status == 0; i++) {
        RsCluster_SleepMs(RETRY_INTERVAL_MS);
        status = RsCluster_Submit(entry, ticket);
    }
    CU_ASSERT_EQUAL(status, STATUS_UNAVAILABLE);
    CU_ASSERT_FALSE(RsProcess_HasEnded(&entry->process, &ended));
    free(ticket);
    RsCluster_Free(cluster, CU_get_number_of_failures() > failures);
}

void
test_concurrent_tickets(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &two_domains)) {
        struct rs_cluster *cluster = scenario.cluster;
        for (uint64_t number = 2; number < 8; number++) {
            submit_conflicting(cluster, number);
            CU_ASSERT(RsCluster_WaitInForce(cluster, number,
                                            RsCluster_IN_FORCE_WITHIN_MS));
        }
        submit_identical(cluster, 8);
        CU_ASSERT(
            RsCluster_WaitInForce(cluster, 8, RsCluster_IN_FORCE_WITHIN_MS));
        resubmit_after_lost_answer(cluster, 9);
        CU_ASSERT(
            RsCluster_WaitInForce(cluster, 9, RsCluster_IN_FORCE_WITHIN_MS));
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

/* Sets the state of domain 1 by ticket and waits until it is in force. */
static void
set_domain(struct rs_cluster *cluster, const char *state)
{
    uint64_t number = cluster->next_ticket;
    char *ticket = RsCluster_MakeDomainTicket(cluster, 1, state);
    CU_ASSERT_EQUAL(RsCluster_Submit(&cluster->entries[0], ticket), STATUS_OK);
    CU_ASSERT(
        RsCluster_WaitInForce(cluster, number, RsCluster_IN_FORCE_WITHIN_MS));
    g_free(ticket);
}

static void
expect_no_failures(struct rs_scenario *scenario)
{
    static const enum rs_load_outcome unwanted[] = {
        RsLoad_REFUSED, RsLoad_UNKNOWN, RsLoad_BROKEN, RsLoad_SILENT};
    for (size_t i = 0; i < G_N_ELEMENTS(unwanted); i++) {
        CU_ASSERT_EQUAL(RsCaller_CountOutcomes(scenario->cluster, unwanted[i],
                                               scenario->started_us),
                        0);
        RsCaller_PrintOutcomes(scenario->cluster, unwanted[i],
                               scenario->started_us);
    }
}

/* A domain is taken out by ticket and back in. Its targets must start no
 * requests later than RsCluster_DRAINED_WITHIN_MS after the first ticket is
 * submitted, and must get requests again once the domain is back in. No
 * request may be refused or fail. */
void
test_domain_out_and_back(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &two_domains)) {
        struct rs_cluster *cluster = scenario.cluster;
        int64_t out_us = RsClock_WallUs();
        CU_ASSERT(count_started_in_domain(cluster, 1, 0) > 0);
        set_domain(cluster, "out");
        RsCluster_SleepMs(RsCluster_DRAINED_WITHIN_MS +
                          OBSERVE_AFTER_DRAIN_MS);
        int64_t drained_by_us =
            out_us + (int64_t)RsCluster_DRAINED_WITHIN_MS * US_PER_MS;
        CU_ASSERT_EQUAL(count_started_in_domain(cluster, 1, drained_by_us), 0);
        int64_t back_us = RsClock_WallUs();
        set_domain(cluster, "in");
        CU_ASSERT(
            RsScenario_StopStream(&scenario, RsCluster_DRAINED_WITHIN_MS) <=
            RsCluster_SERVED_WITHIN_MS);
        CU_ASSERT(count_started_in_domain(cluster, 1, back_us) > 0);
        expect_no_failures(&scenario);
    }
    RsScenario_Finish(&scenario);
}

/* The platform lists a target as leaving. The target must start no requests
 * later than RsCluster_DRAINED_WITHIN_MS after that, and no request may be
 * refused or fail. */
void
test_target_leaves(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        struct rs_cluster *cluster = scenario.cluster;
        struct rs_cluster_target *target = RsCluster_FindTarget(cluster, KEY);
        json_t *change = json_pack(
            "{s:[o]}", "put", RsClusterFiles_MakeTargetVm(target, "leaving"));
        char *text = json_dumps(change, JSON_COMPACT);
        int64_t leave_announced_us = RsClock_WallUs();
        CU_ASSERT_EQUAL(RsCluster_Call(cluster->platform_port, "POST",
                                       "/standin/vms", text, NULL),
                        STATUS_OK);
        CU_ASSERT(
            RsScenario_StopStream(&scenario, RsCluster_DRAINED_WITHIN_MS +
                                                 OBSERVE_AFTER_DRAIN_MS) <=
            RsCluster_SERVED_WITHIN_MS);
        int64_t drained_by_us =
            leave_announced_us +
            (int64_t)RsCluster_DRAINED_WITHIN_MS * US_PER_MS;
        CU_ASSERT_EQUAL(
            RsTargetRecords_CountStartedAfter(cluster, target, drained_by_us),
            0);
        expect_no_failures(&scenario);
        free(text);
        json_decref(change);
    }
    RsScenario_Finish(&scenario);
}
