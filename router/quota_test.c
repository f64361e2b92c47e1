#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "core/log.h"
#include "router/quota_fixture.h"

#define START_MS 50000
#define SEEDS 36
#define STEPS 24
#define STEP_MS 2500
#define MAX_SPAN_MS 9000
/* Part of the requests within the quota that may be refused. */
#define MAX_REFUSED 0.01
/* Part of the callers that come back when they were told to, after a surge
 * has ended, that are served. */
#define MIN_BACK_SERVED 0.9
#define MIN_BACK 50 /* with fewer, the part is mostly chance */
/* Part of the quota that a greedy workspace gets. */
#define MIN_USED 0.9
#define BREAK_SEEDS 12

static const struct rs_quota_bounds bounds = {5, 0.1, 20};

/* A node, the ledger and a workspace, without a network between them. */
struct pair {
    struct rs_workspace workspace;
    struct rs_quota *quota;
    struct rs_quota_ledger *ledger;
    int64_t now_ms;
};

static struct pair
open_pair(double per_s)
{
    struct pair pair = {
        .workspace = {.name = g_intern_string("w"),
                      .per_s = per_s,
                      .burst = per_s},
        .quota = RsQuota_New(&bounds, 1),
        .ledger = RsQuotaLedger_New(&bounds),
        .now_ms = START_MS,
    };
    RsQuotaLedger_Start(pair.ledger, 0, START_MS - 30000);
    RsQuotaLedger_SetWorkspaces(pair.ledger, &pair.workspace, 1, START_MS);
    RsQuota_SetLedger(pair.quota, 1);
    return pair;
}

static void
close_pair(struct pair *pair)
{
    RsQuota_Free(pair->quota);
    RsQuotaLedger_Free(pair->ledger);
}

/* Sends the next request to the ledger, if there is one, and applies the
 * answer `delay_ms` later. Returns whether tokens came. */
static bool
exchange(struct pair *pair, int64_t delay_ms)
{
    const struct rs_quota_sender sender = {"n0", 7};
    struct rs_quota_request request;
    struct rs_quota_grant grant;
    if (!RsQuota_MakeRequest(pair->quota, pair->now_ms, &request) ||
        !RsQuotaLedger_Answer(pair->ledger, &sender, &request, pair->now_ms,
                              &grant)) {
        return false;
    }
    pair->now_ms += delay_ms;
    return RsQuota_ApplyGrant(pair->quota, &grant, pair->now_ms);
}

static enum rs_quota_verdict
take(struct pair *pair, struct rs_quota_claim *claim)
{
    return RsQuota_Take(pair->quota, &pair->workspace, claim, pair->now_ms);
}

/* Guards against tokens that outlive RsQuota_TOKEN_MS, counted from the
 * request: the bound has no room for older ones. */
static void
test_token_expires(void)
{
    struct pair pair = open_pair(100);
    struct rs_quota_claim first = {0};
    CU_ASSERT_EQUAL(take(&pair, &first), RsQuota_WAITING);
    CU_ASSERT_TRUE(exchange(&pair, 30));
    CU_ASSERT_EQUAL(take(&pair, &first), RsQuota_TAKEN);
    CU_ASSERT_EQUAL(first.token_until_ms, START_MS + RsQuota_TOKEN_MS);
    RsQuota_Return(pair.quota, &first, pair.now_ms);
    struct rs_quota_claim second = {0};
    pair.now_ms = START_MS + RsQuota_TOKEN_MS - 1;
    CU_ASSERT_EQUAL(take(&pair, &second), RsQuota_TAKEN);
    RsQuota_Return(pair.quota, &second, pair.now_ms);
    struct rs_quota_claim third = {0};
    pair.now_ms = START_MS + RsQuota_TOKEN_MS;
    CU_ASSERT_EQUAL(take(&pair, &third), RsQuota_WAITING);
    close_pair(&pair);
}

/* Guards against a retry that pays twice, and against a cost for workspaces
 * without a quota. */
static void
test_retry_and_unlimited_take_nothing(void)
{
    struct pair pair = open_pair(1);
    struct rs_quota_claim claim = {0};
    take(&pair, &claim);
    exchange(&pair, 1);
    CU_ASSERT_EQUAL(take(&pair, &claim), RsQuota_TAKEN);
    CU_ASSERT_EQUAL(take(&pair, &claim), RsQuota_TAKEN);
    const struct rs_workspace free_one = {.name = g_intern_string("free")};
    struct rs_quota_claim other = {0};
    CU_ASSERT_EQUAL(RsQuota_Take(pair.quota, &free_one, &other, START_MS),
                    RsQuota_TAKEN);
    CU_ASSERT_EQUAL(RsQuota_Take(pair.quota, NULL, &other, START_MS),
                    RsQuota_TAKEN);
    CU_ASSERT_EQUAL(other.token_until_ms, 0);
    close_pair(&pair);
}

/* Guards against a request that waits longer than RsQuota_WAIT_MS, and against
 * a 429 where only the granter is missing. */
static void
test_wait_ends(void)
{
    struct pair pair = open_pair(1);
    struct rs_quota_claim claim = {0};
    CU_ASSERT_EQUAL(take(&pair, &claim), RsQuota_WAITING);
    pair.now_ms += RsQuota_WAIT_MS - 1;
    CU_ASSERT_EQUAL(take(&pair, &claim), RsQuota_WAITING);
    pair.now_ms += 1;
    CU_ASSERT_EQUAL(take(&pair, &claim), RsQuota_UNKNOWN);
    enum rs_quota_verdict verdict = RsQuota_TAKEN;
    for (int i = 0; i < 10 && verdict == RsQuota_TAKEN; i++) {
        struct rs_quota_claim one = {0};
        take(&pair, &one);
        exchange(&pair, 1);
        verdict = take(&pair, &one);
        pair.now_ms += 20;
    }
    struct rs_quota_claim denied = {0};
    CU_ASSERT_EQUAL(take(&pair, &denied), RsQuota_WAITING);
    pair.now_ms += RsQuota_WAIT_MS;
    CU_ASSERT_EQUAL(take(&pair, &denied), RsQuota_OVER);
    close_pair(&pair);
}

/* Guards against answers that add tokens twice, and against a ledger that
 * grants again for a repeated or late datagram. */
static void
test_repeated_datagrams_change_nothing(void)
{
    struct pair pair = open_pair(100);
    const struct rs_quota_sender sender = {"n0", 7};
    struct rs_quota_request request;
    struct rs_quota_grant grant;
    struct rs_quota_claim claim = {0};
    take(&pair, &claim);
    CU_ASSERT_TRUE(RsQuota_MakeRequest(pair.quota, pair.now_ms, &request));
    CU_ASSERT_TRUE(RsQuotaLedger_Answer(pair.ledger, &sender, &request,
                                        pair.now_ms, &grant));
    CU_ASSERT_TRUE(RsQuota_ApplyGrant(pair.quota, &grant, pair.now_ms));
    CU_ASSERT_FALSE(RsQuota_ApplyGrant(pair.quota, &grant, pair.now_ms));
    CU_ASSERT_FALSE(RsQuotaLedger_Answer(pair.ledger, &sender, &request,
                                         pair.now_ms, &grant));
    CU_ASSERT_EQUAL(take(&pair, &claim), RsQuota_TAKEN);
    close_pair(&pair);
}

/* Guards against tokens by a former, higher rate. */
static void
test_lower_rate_drops_tokens(void)
{
    struct pair pair = open_pair(100);
    struct rs_quota_claim claim = {0};
    take(&pair, &claim);
    exchange(&pair, 1);
    pair.workspace.per_s = 50;
    RsQuota_SetWorkspaces(pair.quota, &pair.workspace, 1, pair.now_ms);
    CU_ASSERT_EQUAL(take(&pair, &claim), RsQuota_WAITING);
    close_pair(&pair);
}

static void
set_all_loads(struct rs_quota_simulation *sim, enum rs_quota_load load)
{
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        RsQuotaFixture_SetLoad(sim, w, load, w);
    }
}

static double
refused_part(const struct rs_quota_counts *counts)
{
    return (double)counts->refused / (double)MAX(counts->offered, 1);
}

/* Guards against quotas that hurt workspaces that keep them. */
static void
test_usual_rates_are_hardly_refused(void)
{
    struct rs_quota_simulation *sim = RsQuotaFixture_New(3, RsQuotaBreak_NONE);
    set_all_loads(sim, RsQuotaLoad_USUAL);
    RsQuotaFixture_Advance(sim, 3000);
    RsQuotaFixture_ResetCounts(sim);
    uint64_t first = RsQuotaFixture_Messages(sim);
    RsQuotaFixture_Advance(sim, 300000);
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        const struct rs_quota_counts *counts = RsQuotaFixture_Counts(sim, w);
        printf("usual, workspace %u: %.4f of %u refused\n", w,
               refused_part(counts), (unsigned)counts->offered);
        CU_ASSERT_TRUE(refused_part(counts) < MAX_REFUSED);
    }
    printf("messages a second: %.0f\n",
           (double)(RsQuotaFixture_Messages(sim) - first) / 300);
    CU_ASSERT_PTR_NULL(RsQuotaFixture_Violation(sim));
    RsQuotaFixture_Free(sim);
}

/* Guards against greedy workspaces that get more than their quota, or much
 * less, and against refusals of others meanwhile. */
static void
test_greedy_workspace_gets_its_quota(void)
{
    struct rs_quota_simulation *sim = RsQuotaFixture_New(4, RsQuotaBreak_NONE);
    static const double rates[] = {5, 12, 60, 400};
    set_all_loads(sim, RsQuotaLoad_GREEDY);
    RsQuotaFixture_SetLoad(sim, 0, RsQuotaLoad_USUAL, 0);
    RsQuotaFixture_Advance(sim, 3000);
    RsQuotaFixture_ResetCounts(sim);
    RsQuotaFixture_Advance(sim, 60000);
    CU_ASSERT_TRUE(refused_part(RsQuotaFixture_Counts(sim, 0)) < MAX_REFUSED);
    for (uint32_t w = 1; w < RsQuotaFixture_WORKSPACES; w++) {
        double used = (double)RsQuotaFixture_Counts(sim, w)->sent / 60;
        printf("greedy, workspace %u: %.1f of %.0f a second, %.2f of the "
               "bound\n",
               w, used, rates[w], RsQuotaFixture_MostOfBound(sim, w));
        CU_ASSERT_TRUE(used >= MIN_USED * rates[w]);
    }
    CU_ASSERT_PTR_NULL(RsQuotaFixture_Violation(sim));
    RsQuotaFixture_Free(sim);
}

/* Guards against times of return that are not true: after a surge, who comes
 * back when told finds a token. */
static void
test_refused_callers_come_back_in_time(void)
{
    struct rs_quota_simulation *sim = RsQuotaFixture_New(5, RsQuotaBreak_NONE);
    set_all_loads(sim, RsQuotaLoad_USUAL);
    RsQuotaFixture_Advance(sim, 5000);
    set_all_loads(sim, RsQuotaLoad_GREEDY);
    RsQuotaFixture_Advance(sim, 800);
    set_all_loads(sim, RsQuotaLoad_NONE);
    RsQuotaFixture_ResetCounts(sim);
    RsQuotaFixture_Advance(sim, 8000);
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        const struct rs_quota_counts *counts = RsQuotaFixture_Counts(sim, w);
        double served =
            (double)counts->back_served / (double)MAX(counts->came_back, 1);
        printf("after a surge, workspace %u: %u came back, %.3f served\n", w,
               (unsigned)counts->came_back, served);
        CU_ASSERT_TRUE(served >= MIN_BACK_SERVED ||
                       counts->came_back < MIN_BACK);
    }
    RsQuotaFixture_Free(sim);
}

static void
set_random_loads(struct rs_quota_simulation *sim, GRand *random)
{
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        RsQuotaFixture_SetLoad(
            sim, w,
            (enum rs_quota_load)g_rand_int_range(random, 0, RsQuotaLoad_COUNT),
            g_rand_int(random) % 64);
    }
}

/* Lets buckets fill or own rates settle, then cuts off a domain, mostly with a
 * granter change, while all workspaces are greedy at all nodes. */
static void
run_cut(struct rs_quota_simulation *sim, GRand *random)
{
    uint32_t domain = g_rand_int(random) % RsQuotaFixture_DOMAINS;
    bool both_sides = g_rand_boolean(random);
    set_random_loads(sim, random);
    RsQuotaFixture_Advance(sim, g_rand_int_range(random, 1000, 16000));
    if (g_rand_boolean(random)) {
        set_all_loads(sim, RsQuotaLoad_NONE);
        RsQuotaFixture_Advance(sim, 1500);
    }
    if (both_sides) {
        set_all_loads(sim, RsQuotaLoad_GREEDY);
    }
    RsQuotaFixture_Advance(sim, g_rand_int_range(random, 1, 1500));
    RsQuotaFixture_InjectFault(sim, RsQuotaFault_CUT, domain, 16000);
    if (g_rand_boolean(random)) {
        RsQuotaFixture_InjectFault(sim, RsQuotaFault_GRANTER, domain + 1, 0);
    }
    RsQuotaFixture_Advance(sim, g_rand_int_range(random, 1, 4000));
    set_all_loads(sim, RsQuotaLoad_GREEDY);
    RsQuotaFixture_Advance(sim, 14000);
}

/* Cuts off the only domain that sends requests, then lets all send. Half of
 * the time the granter is in it, and the next one, in another domain, doesn't
 * know the rates of the cut-off nodes. */
static void
run_busy_domain_cut(struct rs_quota_simulation *sim, GRand *random)
{
    bool with_granter = g_rand_boolean(random);
    uint32_t domain = with_granter ? 0 : 1; /* node 0 is the granter */
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        RsQuotaFixture_SetLoad(sim, w, RsQuotaLoad_DOMAIN, domain);
    }
    RsQuotaFixture_Advance(sim, g_rand_int_range(random, 8000, 16000));
    RsQuotaFixture_InjectFault(sim, RsQuotaFault_CUT, domain, 30000);
    if (with_granter) {
        RsQuotaFixture_InjectFault(sim, RsQuotaFault_GRANTER, 1, 0);
    }
    RsQuotaFixture_Advance(sim, g_rand_int_range(random, 1, 3000));
    set_all_loads(sim, RsQuotaLoad_GREEDY);
    RsQuotaFixture_Advance(sim, 16000);
}

/* Injects random faults, some of them at once. */
static void
run_faults(struct rs_quota_simulation *sim, GRand *random)
{
    for (int i = 0; i < STEPS; i++) {
        if (g_rand_int(random) % 4 == 0) {
            set_random_loads(sim, random);
        }
        else if (g_rand_int(random) % 2 == 0) {
            set_all_loads(sim, RsQuotaLoad_GREEDY);
        }
        RsQuotaFixture_InjectFault(sim,
                                   (enum rs_quota_fault)g_rand_int_range(
                                       random, 0, RsQuotaFault_COUNT),
                                   g_rand_int(random) % 64,
                                   g_rand_int_range(random, 1, MAX_SPAN_MS));
        RsQuotaFixture_Advance(sim, g_rand_int_range(random, 1, STEP_MS));
    }
}

/* Runs random faults and loads. Returns whether the bound was broken. */
static bool
run_seed(uint32_t seed, enum rs_quota_break fault, double *most)
{
    struct rs_quota_simulation *sim = RsQuotaFixture_New(seed, fault);
    GRand *random = g_rand_new_with_seed(seed);
    if (seed % 3 == 0) {
        run_faults(sim, random);
    }
    else if (seed % 3 == 1) {
        run_cut(sim, random);
    }
    else {
        run_busy_domain_cut(sim, random);
    }
    const char *violation = RsQuotaFixture_Violation(sim);
    if (violation != NULL && fault == RsQuotaBreak_NONE) {
        printf("seed %u: %s\n", seed, violation);
    }
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        *most = MAX(*most, RsQuotaFixture_MostOfBound(sim, w));
    }
    RsQuotaFixture_Free(sim);
    g_rand_free(random);
    return violation != NULL;
}

/* Guards against a sum over all nodes beyond the bound, whatever is lost. */
static void
test_bound_holds_during_faults(void)
{
    double most = 0;
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        CU_ASSERT_FALSE(run_seed(seed, RsQuotaBreak_NONE, &most));
    }
    printf("fullest window: %.3f of the bound\n", most);
}

/* Guards against a check that finds nothing. */
static void
test_broken_variants_are_found(void)
{
    for (int fault = RsQuotaBreak_NO_RESERVE;
         fault <= RsQuotaBreak_LATE_TOKENS; fault++) {
        uint32_t found = 0;
        double most = 0;
        for (uint32_t seed = 1; seed <= BREAK_SEEDS; seed++) {
            found += run_seed(seed, (enum rs_quota_break)fault, &most);
        }
        printf("broken variant %d: found in %u of %d runs, %.2f\n", fault,
               found, BREAK_SEEDS, most);
        CU_ASSERT_TRUE(found > 0);
    }
}

/* Guards against the price of a cut: own rates must let a domain go on. */
static void
test_cut_off_domain_goes_on(void)
{
    struct rs_quota_simulation *sim = RsQuotaFixture_New(6, RsQuotaBreak_NONE);
    set_all_loads(sim, RsQuotaLoad_USUAL);
    RsQuotaFixture_Advance(sim, 15000);
    RsQuotaFixture_InjectFault(sim, RsQuotaFault_CUT, 1, 30000);
    RsQuotaFixture_Advance(sim, 1500);
    RsQuotaFixture_ResetCounts(sim);
    RsQuotaFixture_Advance(sim, 8000);
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        printf("cut, workspace %u: %.3f refused\n", w,
               refused_part(RsQuotaFixture_Counts(sim, w)));
    }
    /* All domains have a third of the load. The own rate of a lost node is
     * the usual one, so that its random peaks are refused. */
    CU_ASSERT_TRUE(refused_part(RsQuotaFixture_Counts(sim, 3)) < 0.1);
    CU_ASSERT_TRUE(refused_part(RsQuotaFixture_Counts(sim, 2)) < 0.15);
    CU_ASSERT_PTR_NULL(RsQuotaFixture_Violation(sim));
    RsQuotaFixture_Free(sim);
}

/* Guards against a lowered limit that binds late. */
static void
test_lowered_limit_binds_after_a_window(void)
{
    struct rs_quota_simulation *sim = RsQuotaFixture_New(8, RsQuotaBreak_NONE);
    set_all_loads(sim, RsQuotaLoad_GREEDY);
    RsQuotaFixture_Advance(sim, 8000);
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        RsQuotaFixture_SetLimit(sim, w, 3 + w * 20);
    }
    RsQuotaFixture_Advance(sim, 15000);
    const char *violation = RsQuotaFixture_Violation(sim);
    CU_ASSERT_PTR_NULL(violation);
    if (violation != NULL) {
        printf("%s\n", violation);
    }
    RsQuotaFixture_Free(sim);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("quota", NULL, NULL);
    CU_ADD_TEST(suite, test_token_expires);
    CU_ADD_TEST(suite, test_retry_and_unlimited_take_nothing);
    CU_ADD_TEST(suite, test_wait_ends);
    CU_ADD_TEST(suite, test_repeated_datagrams_change_nothing);
    CU_ADD_TEST(suite, test_lower_rate_drops_tokens);
    CU_ADD_TEST(suite, test_usual_rates_are_hardly_refused);
    CU_ADD_TEST(suite, test_greedy_workspace_gets_its_quota);
    CU_ADD_TEST(suite, test_refused_callers_come_back_in_time);
    CU_ADD_TEST(suite, test_bound_holds_during_faults);
    CU_ADD_TEST(suite, test_broken_variants_are_found);
    CU_ADD_TEST(suite, test_cut_off_domain_goes_on);
    CU_ADD_TEST(suite, test_lowered_limit_binds_after_a_window);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
