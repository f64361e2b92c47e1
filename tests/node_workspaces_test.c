/* Workspaces are recognized by API keys, which are revoked at any time. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define WORK_MS 10
#define ANSWER_WITHIN_MS 4000
/* When a new configuration must be in force (config_apply_ms). */
#define APPLIED_WITHIN_MS 2500
#define REVOKE_MS 1500
/* A confirmation may be an answer that the store held for this long. */
#define HELD_ANSWER_MS 1500
#define LARGE_KEY_BYTES 8192
#define BURST_REQUESTS 12
#define SLOWDOWN 30

#define ALPHA_AND_BETA                                                        \
    "{\"alpha\":{\"api_keys\":[\"Key-a\",\"Key-b\"]},"                        \
    "\"beta\":{\"api_keys\":[\"Key-c\"],\"priority\":2}}"
#define WITHOUT_KEY_A                                                         \
    "{\"alpha\":{\"api_keys\":[\"Key-b\"]},"                                  \
    "\"beta\":{\"api_keys\":[\"Key-c\"],\"priority\":2}}"

static const struct rs_node_fixture_call with_key_a = {
    .headers = {{"authorization", "Bearer Key-a"}}};
static const struct rs_node_fixture_call with_key_c = {
    .headers = {{"authorization", "Bearer Key-c"}}};

static struct rs_node_fixture_options
make_options(uint16_t base_port, uint32_t plain, uint32_t sharded)
{
    return (struct rs_node_fixture_options){
        .base_port = base_port,
        .node_count = 1,
        .plain_targets = plain,
        .sharded_targets = sharded,
        .work_ms = WORK_MS,
        .timeout_ms = 2000,
        .workspaces = ALPHA_AND_BETA,
        .authorization = "Bearer Key-b",
    };
}

static struct rs_node_fixture *
open_fixture(uint16_t base_port, uint32_t plain, uint32_t sharded)
{
    const struct rs_node_fixture_options options =
        make_options(base_port, plain, sharded);
    return RsNodeFixture_OpenServing(&options);
}

static void
close_fixture(struct rs_node_fixture *fixture)
{
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    CU_ASSERT_EQUAL(RsSoakTarget_CredentialsCount(fixture->targets[0]), 0);
    RsNodeFixture_Close(fixture);
}

/* Sends a request and returns the status of its response; 0: none. */
static int
post_with(struct rs_node_fixture *fixture,
          const struct rs_node_fixture_call *call)
{
    struct rs_node_fixture_request *request =
        RsNodeFixture_PostWith(fixture, 0, call);
    CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
    return request->status;
}

static uint64_t
arrivals(const struct rs_node_fixture *fixture)
{
    return RsSoakTarget_RequestCount(fixture->targets[0]);
}

/* Puts other workspaces into the configuration. */
static void
put_workspaces(struct rs_node_fixture *fixture, uint32_t version,
               const char *workspaces)
{
    fixture->options.workspaces = workspaces;
    RsNodeFixture_PutConfig(fixture, version);
}

/* A request reached a target without a valid key. */
void
test_requests_without_a_valid_key_reach_no_target(void)
{
    struct rs_node_fixture *fixture = open_fixture(31400, 1, 0);
    char *large = g_strnfill(LARGE_KEY_BYTES, 'K');
    char *large_header = g_strdup_printf("Bearer %s", large);
    const struct rs_node_fixture_call bad[] = {
        {.headers = {{NULL, NULL}}},
        {.headers = {{"authorization", ""}}},
        {.headers = {{"authorization", "Bearer"}}},
        {.headers = {{"authorization", "Bearer "}}},
        {.headers = {{"authorization", "Key-a"}}},
        {.headers = {{"authorization", "Basic Key-a"}}},
        {.headers = {{"authorization", "BearerKey-a"}}},
        {.headers = {{"authorization", "Bearer key-a"}}},
        {.headers = {{"authorization", "Bearer KEY-A"}}},
        {.headers = {{"authorization", "Bearer Key-"}}},
        {.headers = {{"authorization", "Bearer Key-a Key-a"}}},
        {.headers = {{"authorization", "Bearer Key-a,Bearer Key-b"}}},
        {.headers = {{"authorization", "Bearer unknown"}}},
        {.headers = {{"authorization", large_header}}},
        {.headers = {{"authorization", "Bearer Key-a"},
                     {"Authorization", "Bearer Key-a"}}},
        {.headers = {{"Authorization", "Bearer Key-a"},
                     {"authorization", "Basic x"}}},
        {.headers = {{"proxy-authorization", "Bearer Key-a"}}},
        {.headers = {{"x-tenant", "alpha"}}},
    };
    uint64_t before = arrivals(fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        struct rs_node_fixture_request *request =
            RsNodeFixture_PostWith(fixture, 0, &bad[i]);
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
        CU_ASSERT_EQUAL(request->status, 401);
        CU_ASSERT_STRING_EQUAL(request->authenticate, "Bearer");
    }
    CU_ASSERT_EQUAL(arrivals(fixture), before);
    const struct rs_node_fixture_call no_route = {.path = "/none/"};
    const struct rs_node_fixture_call no_host = {.host = "other.example"};
    CU_ASSERT_EQUAL(post_with(fixture, &no_route), 404);
    CU_ASSERT_EQUAL(post_with(fixture, &no_host), 404);
    g_free(large_header);
    g_free(large);
    close_fixture(fixture);
}

/* A caller passed for another workspace, or a target saw a key. */
void
test_targets_are_told_the_workspace_only(void)
{
    struct rs_node_fixture *fixture = open_fixture(31500, 1, 0);
    const struct rs_node_fixture_call named_otherwise = {
        .headers = {{"Authorization", "bearer  Key-a"},
                    {"x-tenant", "beta"},
                    {"X-Tenant", "beta"},
                    {"X-TENANT", ""}}};
    const struct rs_node_fixture_call public_plain = {.path = "/open/x"};
    const struct rs_node_fixture_call public_with_all = {
        .path = "/open/x",
        .headers = {{"authorization", "Bearer Key-a"},
                    {"authorization", "Bearer unknown"},
                    {"X-Tenant", "beta"}}};
    const struct {
        const struct rs_node_fixture_call *call;
        const char *workspace;
    } cases[] = {{&with_key_a, "alpha"},
                 {&with_key_c, "beta"},
                 {&named_otherwise, "alpha"},
                 {&public_plain, ""},
                 {&public_with_all, ""}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(post_with(fixture, cases[i].call), 200);
        CU_ASSERT_STRING_EQUAL(RsSoakTarget_Workspace(fixture->targets[0]),
                               cases[i].workspace);
    }
    close_fixture(fixture);
}

/* A connection outlived the key of its first request. */
void
test_key_revoked_on_an_open_connection(void)
{
    struct rs_node_fixture *fixture = open_fixture(31600, 1, 0);
    struct rs_node_fixture_request *request =
        RsNodeFixture_PostWith(fixture, 0, &with_key_a);
    CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
    CU_ASSERT_EQUAL(request->status, 200);
    CU_ASSERT_TRUE_FATAL(request->keep_alive);
    fixture->options.authorization = "Bearer Key-a";
    put_workspaces(fixture, 2, WITHOUT_KEY_A);
    RsNodeFixture_Run(fixture, APPLIED_WITHIN_MS);
    uint64_t before = arrivals(fixture);
    request = RsNodeFixture_PostAgain(request);
    CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
    CU_ASSERT_EQUAL(request->status, 401);
    CU_ASSERT_EQUAL(arrivals(fixture), before);
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_c), 200);
    put_workspaces(fixture, 3, ALPHA_AND_BETA);
    RsNodeFixture_Run(fixture, APPLIED_WITHIN_MS);
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_a), 200);
    close_fixture(fixture);
}

/* A request that the target refused at first was sent again, when it waited
 * for the target to open, with a key that was revoked meanwhile. */
void
test_key_revoked_while_a_request_waits(void)
{
    struct rs_node_fixture *fixture = open_fixture(31700, 0, 1);
    RsSoakTarget_Close(fixture->targets[0], "0.25");
    uint64_t before = arrivals(fixture);
    struct rs_node_fixture_request *revoked =
        RsNodeFixture_GetWith(fixture, 0, 1, &with_key_a);
    struct rs_node_fixture_request *kept =
        RsNodeFixture_GetWith(fixture, 0, 1, &with_key_c);
    while (arrivals(fixture) == before && revoked->ended_at_ms == 0) {
        RsNodeFixture_Run(fixture, 1);
    }
    RsSoakTarget_Close(fixture->targets[0], "");
    put_workspaces(fixture, 2, WITHOUT_KEY_A);
    CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(revoked, ANSWER_WITHIN_MS));
    CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(kept, ANSWER_WITHIN_MS));
    CU_ASSERT_EQUAL(revoked->status, 401);
    CU_ASSERT_EQUAL(kept->status, 200);
    CU_ASSERT_STRING_EQUAL(RsSoakTarget_Workspace(fixture->targets[0]),
                           "beta");
    close_fixture(fixture);
}

/* Requests that waited in the queue for room were sent with a key that was
 * revoked meanwhile. */
void
test_key_revoked_while_requests_wait_for_room(void)
{
    struct rs_node_fixture *fixture = open_fixture(31800, 0, 1);
    struct rs_node_fixture_request *requests[BURST_REQUESTS];
    uint32_t rejected = 0;
    RsSoakTarget_SetSlowdown(fixture->targets[0], SLOWDOWN);
    for (uint32_t i = 0; i < BURST_REQUESTS; i++) {
        requests[i] = RsNodeFixture_GetWith(fixture, 0, 1, &with_key_a);
    }
    RsNodeFixture_Run(fixture, WORK_MS);
    put_workspaces(fixture, 2, WITHOUT_KEY_A);
    int64_t give_up_at_ms = RsClock_NowMs() + APPLIED_WITHIN_MS;
    while (RsNodeFixture_ConfigVersion(fixture, 0) != 2 &&
           RsClock_NowMs() < give_up_at_ms) {
        RsNodeFixture_Run(fixture, 1);
    }
    /* What the node sent before the change has arrived. */
    RsNodeFixture_Run(fixture, WORK_MS);
    uint64_t before = arrivals(fixture);
    for (uint32_t i = 0; i < BURST_REQUESTS; i++) {
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(requests[i], ANSWER_WITHIN_MS));
        rejected += requests[i]->status == 401;
    }
    CU_ASSERT_TRUE(rejected > 0);
    CU_ASSERT_EQUAL(arrivals(fixture), before);
    close_fixture(fixture);
}

/* A node rejected requests without knowing which keys are valid. */
void
test_node_without_configuration_rejects_no_key(void)
{
    struct rs_node_fixture_options options = make_options(31900, 1, 0);
    options.no_config = true;
    struct rs_node_fixture *fixture = RsNodeFixture_Open(&options);
    const struct rs_node_fixture_call without_key = {.path = "/none/"};
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture);
    if (fixture == NULL) {
        return; /* the macro returns, which the analyser doesn't know */
    }
    int64_t give_up_at_ms = RsClock_NowMs() + ANSWER_WITHIN_MS;
    while (post_with(fixture, &with_key_a) == 0 &&
           RsClock_NowMs() < give_up_at_ms) {
        RsNodeFixture_Run(fixture, WORK_MS);
    }
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_a), 503);
    CU_ASSERT_EQUAL(post_with(fixture, &without_key), 503);
    RsNodeFixture_PutConfig(fixture, 1);
    RsNodeFixture_Run(fixture, APPLIED_WITHIN_MS);
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_a), 200);
    CU_ASSERT_EQUAL(post_with(fixture, &without_key), 404);
    close_fixture(fixture);
}

/* A malformed table opened the service to all, or closed it. */
void
test_malformed_workspaces_do_not_come_into_force(void)
{
    static const char *const malformed[] = {
        "null", "[]", "{\"alpha\":{\"api_keys\":\"Key-a\"}}",
        "{\"alpha\":{\"api_keys\":[\"Key-a\"]},\"be\\nta\":{}}"};
    const struct rs_node_fixture_call without_key = {.path = NULL};
    struct rs_node_fixture *fixture = open_fixture(32000, 1, 0);
    for (uint32_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        put_workspaces(fixture, 2 + i, malformed[i]);
        RsNodeFixture_Run(fixture, APPLIED_WITHIN_MS);
        CU_ASSERT_EQUAL(RsNodeFixture_ConfigVersion(fixture, 0), 1);
        CU_ASSERT_EQUAL(post_with(fixture, &with_key_c), 200);
        CU_ASSERT_EQUAL(post_with(fixture, &without_key), 401);
    }
    close_fixture(fixture);
}

/* A node that is cut off stopped serving though it need not. */
void
test_node_cut_off_from_the_store_trusts_keys(void)
{
    const struct rs_node_fixture_call without_key = {.path = NULL};
    struct rs_node_fixture *fixture = open_fixture(32100, 1, 0);
    RsSoakStore_SetMode(fixture->store, RsSoakStore_UNRESPONSIVE);
    RsNodeFixture_Run(fixture, 2 * (REVOKE_MS + HELD_ANSWER_MS));
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_a), 200);
    CU_ASSERT_EQUAL(post_with(fixture, &without_key), 401);
    close_fixture(fixture);
}

/* A node that may have missed a revocation trusted keys, or did not recover.
 */
void
test_strict_node_cut_off_from_the_store_trusts_no_keys(void)
{
    const struct rs_node_fixture_call without_key = {.path = NULL};
    const struct rs_node_fixture_call public_route = {.path = "/open/x"};
    const struct rs_node_fixture_call no_route = {.path = "/none/"};
    struct rs_node_fixture_options options = make_options(32200, 1, 0);
    options.revoke_ms = REVOKE_MS;
    struct rs_node_fixture *fixture = RsNodeFixture_OpenServing(&options);
    RsNodeFixture_Run(fixture, 2 * REVOKE_MS);
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_a), 200);
    RsSoakStore_SetMode(fixture->store, RsSoakStore_UNRESPONSIVE);
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_a), 200);
    RsNodeFixture_Run(fixture, REVOKE_MS + HELD_ANSWER_MS);
    uint64_t before = arrivals(fixture);
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_a), 503);
    CU_ASSERT_EQUAL(post_with(fixture, &without_key), 503);
    CU_ASSERT_EQUAL(arrivals(fixture), before);
    CU_ASSERT_EQUAL(post_with(fixture, &public_route), 200);
    CU_ASSERT_EQUAL(post_with(fixture, &no_route), 404);
    put_workspaces(fixture, 2, WITHOUT_KEY_A);
    RsSoakStore_SetMode(fixture->store, RsSoakStore_UP);
    RsNodeFixture_Run(fixture, APPLIED_WITHIN_MS);
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_a), 401);
    CU_ASSERT_EQUAL(post_with(fixture, &with_key_c), 200);
    close_fixture(fixture);
}
