/* Entries of other writers among those of the targets. */

#include <CUnit/Basic.h>
#include <glib.h>

#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define NESTING 20000
#define ANSWER_WITHIN_MS 3000
#define REQUESTS 60
#define SETTLE_MS 1500
#define RECOVER_MS 15000 /* recover_s of the users' pages */
#define KEY_STEP 40503   /* spreads the keys of successive requests */
/* Of the service "keyed" in the first era, see router/granter.h. */
#define MAP_KEY "keys/65535/keyed"

/* Writes entries that name no target: deeply nested, with numbers that are too
 * large, and with a port that is out of range. */
static void
put_odd_rows(struct rs_node_fixture *fixture)
{
    static const char format[] =
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%s\",\"zone\":\"z1\","
        "\"version\":\"v1\",\"capacity\":%s,\"state\":\"ready\","
        "\"warmup_left_ms\":0,\"sequence\":1,\"born\":1}";
    static const struct {
        const char *port;
        const char *capacity;
    } odd[] = {{"26", "4294967296"},
               {"26", "9223372036854775807"},
               {"26", "1e999"},
               {"70000", "2"},
               {"-1", "2"}};
    char *nested = g_strnfill(NESTING, '[');
    RsSoakStore_Put(fixture->store, "servers", "nested", nested);
    for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
        for (int sharded = 0; sharded <= 1; sharded++) {
            char *id = g_strdup_printf("odd-%zu-%d", i, sharded);
            char *value = g_strdup_printf(format, sharded ? "keyed" : "plain",
                                          odd[i].port, odd[i].capacity);
            RsSoakStore_Put(fixture->store, "servers", id, value);
            g_free(value);
            g_free(id);
        }
    }
    g_free(nested);
}

/* The node goes on serving and following the table. */
void
test_odd_rows_among_those_of_the_targets(void)
{
    const struct rs_node_fixture_options options = {
        .base_port = 23600,
        .node_count = 1,
        .plain_targets = 2,
        .sharded_targets = 2,
        .work_ms = 10,
        .timeout_ms = 2000,
    };
    struct rs_node_fixture *fixture = RsNodeFixture_OpenServing(&options);
    int status = 0;
    put_odd_rows(fixture);
    RsNodeFixture_Run(fixture, SETTLE_MS);
    uint32_t served = 0;
    for (uint32_t i = 0; i < REQUESTS; i++) {
        struct rs_node_fixture_request *request =
            i % 2 == 0 ? RsNodeFixture_Post(fixture, 0)
                       : RsNodeFixture_Get(fixture, 0, i * 1000);
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
        served += request->status == 200;
    }
    CU_ASSERT_EQUAL(served, REQUESTS);
    CU_ASSERT_FALSE(RsProcess_HasEnded(&fixture->nodes[0], &status));
    RsSoakTarget_Crash(fixture->targets[0]);
    RsSoakTarget_Start(fixture->targets[0], true);
    /* Otherwise this one may get all requests, as its speed is known. */
    RsSoakTarget_Drain(fixture->targets[1]);
    uint64_t count = RsSoakTarget_RequestCount(fixture->targets[0]);
    RsNodeFixture_Run(fixture, SETTLE_MS);
    RsNodeFixture_SendToAll(fixture, SETTLE_MS, 10);
    CU_ASSERT_TRUE(RsSoakTarget_RequestCount(fixture->targets[0]) > count);
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}

/* Checks that all keys are served again within the time that the users allow
 * after the loss of nodes. */
static void
expect_service_again(struct rs_node_fixture *fixture)
{
    CU_ASSERT_TRUE(RsNodeFixture_AwaitService(fixture, RECOVER_MS));
    for (uint32_t i = 0; i < REQUESTS; i++) {
        struct rs_node_fixture_request *request =
            RsNodeFixture_Get(fixture, i % 3, i * KEY_STEP % RsCheck_KEYS);
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
        CU_ASSERT_EQUAL(request->status, 200);
    }
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
}

/* OWNER (review/6): the granter is lost while the row of the key map can't be
 * read. The next one may not give keys to other targets while they are held.
 */
void
test_unreadable_key_map_gives_no_second_owner(void)
{
    const struct rs_node_fixture_options options = {
        .base_port = 22900,
        .node_count = 3,
        .plain_targets = 1,
        .sharded_targets = 3,
        .work_ms = 10,
        .timeout_ms = 2000,
    };
    struct rs_node_fixture *fixture = RsNodeFixture_OpenServing(&options);
    RsNodeFixture_Run(fixture, SETTLE_MS);
    uint32_t granter = RsNodeFixture_Granter(fixture, 0);
    RsSoakStore_Put(fixture->store, "rattanshed", MAP_KEY,
                    "{\"next_fence\":2,\"owners\":[[\"i\"1\",7]]");
    RsNodeFixture_RestartNode(fixture, granter);
    /* Targets that leave and join have keys planned anew. */
    RsSoakTarget_Drain(fixture->targets[1]);
    RsNodeFixture_SendToAll(fixture, SETTLE_MS, 10);
    expect_service_again(fixture);
    RsNodeFixture_Close(fixture);
}
