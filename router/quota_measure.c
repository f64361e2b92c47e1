/* Measures what quotas cost: the decision for a request, a granter's answer,
 * and the memory of each workspace at the granter and at a node. Prints one
 * figure a line. */

#include <malloc.h>
#include <stdio.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/quota_ledger.h"

#define WORKSPACES 100000
#define NODES 62
#define REQUESTS 2000000
#define ANSWERS 200000
#define NEEDS 10
#define START_MS 1000000
#define NS_PER_US 1000.0

static struct rs_workspace workspaces[WORKSPACES];
static const struct rs_quota_bounds bounds = {5, 0.1, 20};

static double
used_bytes(void)
{
    return (double)mallinfo2().uordblks;
}

static void
fill_workspaces(void)
{
    char name[32];
    for (uint32_t w = 0; w < WORKSPACES; w++) {
        snprintf(name, sizeof(name), "workspace-%06u", w);
        workspaces[w] = (struct rs_workspace){
            .name = g_intern_string(name), .per_s = 1e6, .burst = 1e6};
    }
}

/* Takes a token for each of many requests of `count` workspaces, with answers
 * as a granter with enough tokens gives them. */
static void
measure_take(uint32_t count)
{
    struct rs_quota *quota = RsQuota_New(&bounds, 1);
    GArray *items = g_array_new(FALSE, FALSE, sizeof(struct rs_quota_item));
    struct rs_quota_request request;
    struct rs_quota_claim first = {0};
    for (uint32_t w = 0; w < count; w++) {
        first = (struct rs_quota_claim){0};
        RsQuota_Take(quota, &workspaces[w], &first, START_MS);
        const struct rs_quota_item item = {workspaces[w].name,
                                           REQUESTS / count + 2, 1, 0};
        g_array_append_val(items, item);
    }
    RsQuota_MakeRequest(quota, START_MS, &request);
    const struct rs_quota_grant grant = {request.sequence, items};
    RsQuota_ApplyGrant(quota, &grant, START_MS);
    uint32_t taken = 0;
    int64_t begin_us = RsClock_NowUs();
    for (uint32_t i = 0; i < REQUESTS; i++) {
        struct rs_quota_claim claim = {0};
        taken += RsQuota_Take(quota, &workspaces[i % count], &claim,
                              START_MS + 1) == RsQuota_TAKEN;
    }
    double ns = (double)(RsClock_NowUs() - begin_us) * NS_PER_US / REQUESTS;
    printf("take, %u workspaces at the node: %.0f ns (%u of %u taken)\n",
           count, ns, taken, REQUESTS);
    g_array_unref(items);
    RsQuota_Free(quota);
}

static void
measure_unlimited(void)
{
    struct rs_quota *quota = RsQuota_New(&bounds, 1);
    const struct rs_workspace unlimited = {.name = "free"};
    uint32_t taken = 0;
    int64_t begin_us = RsClock_NowUs();
    for (uint32_t i = 0; i < REQUESTS; i++) {
        struct rs_quota_claim claim = {0};
        taken += RsQuota_Take(quota, &unlimited, &claim, START_MS + i) ==
                 RsQuota_TAKEN;
    }
    printf("take, no quota: %.1f ns (%u taken)\n",
           (double)(RsClock_NowUs() - begin_us) * NS_PER_US / REQUESTS, taken);
    RsQuota_Free(quota);
}

static void
measure_ledger(void)
{
    char name[16];
    double before = used_bytes();
    struct rs_quota_ledger *ledger = RsQuotaLedger_New(&bounds);
    RsQuotaLedger_Start(ledger, 0, START_MS);
    RsQuotaLedger_SetNodes(ledger, NODES);
    int64_t begin_us = RsClock_NowUs();
    RsQuotaLedger_SetWorkspaces(ledger, workspaces, WORKSPACES, START_MS);
    printf("ledger, new configuration of %d workspaces: %.1f ms\n", WORKSPACES,
           (double)(RsClock_NowUs() - begin_us) / NS_PER_US);
    printf("ledger, a workspace that is not used: %.0f bytes\n",
           (used_bytes() - before) / WORKSPACES);
    GArray *needs = g_array_new(FALSE, FALSE, sizeof(struct rs_quota_need));
    struct rs_quota_grant grant;
    double idle = used_bytes();
    begin_us = RsClock_NowUs();
    for (uint32_t i = 0; i < ANSWERS; i++) {
        g_array_set_size(needs, 0);
        for (uint32_t n = 0; n < NEEDS; n++) {
            const struct rs_quota_need need = {
                workspaces[(i * NEEDS + n) % WORKSPACES].name, 3, 0, 0};
            g_array_append_val(needs, need);
        }
        snprintf(name, sizeof(name), "n%u", i / (WORKSPACES / NEEDS));
        const struct rs_quota_sender sender = {name, 1};
        const struct rs_quota_request request = {i + 1, i, needs};
        RsQuotaLedger_Answer(ledger, &sender, &request, START_MS + i / 100,
                             &grant);
    }
    uint32_t shares = ANSWERS * NEEDS / WORKSPACES;
    printf("ledger, an answer with %d workspaces, up to %u nodes each: "
           "%.1f us\n",
           NEEDS, shares, (double)(RsClock_NowUs() - begin_us) / ANSWERS);
    printf("ledger, a workspace used by %u nodes: %.0f bytes more\n", shares,
           (used_bytes() - idle) / WORKSPACES);
    begin_us = RsClock_NowUs();
    RsQuotaLedger_Tick(ledger, START_MS + ANSWERS / 100);
    printf("ledger, a tick with %zu buckets: %.1f ms\n",
           RsQuotaLedger_BucketCount(ledger),
           (double)(RsClock_NowUs() - begin_us) / NS_PER_US);
    g_array_unref(needs);
    RsQuotaLedger_Free(ledger);
}

static void
measure_node(void)
{
    double before = used_bytes();
    struct rs_quota *quota = RsQuota_New(&bounds, 1);
    for (uint32_t w = 0; w < WORKSPACES; w++) {
        struct rs_quota_claim claim = {0};
        RsQuota_Take(quota, &workspaces[w], &claim, START_MS);
    }
    printf("node, a workspace that has requests there: %.0f bytes\n",
           (used_bytes() - before) / WORKSPACES);
    RsQuota_Free(quota);
}

int
main(void)
{
    RsLog_Open("measure", RsLog_ERROR);
    fill_workspaces();
    measure_unlimited();
    measure_take(1);
    measure_take(73);
    measure_take(1000);
    measure_node();
    measure_ledger();
    return 0;
}
