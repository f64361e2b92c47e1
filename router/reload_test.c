/* Tests that new settings take effect while the node runs, or are named. */

#include <CUnit/Basic.h>
#include <string.h>

#include "router/fixture.h"
#include "router/reload.h"

struct scenario {
    uv_loop_t loop;
    struct rs_node_settings settings;
    struct rs_node_settings update;
    struct rs_router router;
    GString *needs_restart;
};

static void
open_scenario(struct scenario *s)
{
    memset(s, 0, sizeof(*s));
    uv_loop_init(&s->loop);
    s->settings = (struct rs_node_settings){
        .node = {"n1", "z1", "127.0.0.1", 0.2F, 100, 260, true},
        .listen = {"127.0.0.1:1", "127.0.0.1:2", 3, 5},
        .store = {"127.0.0.1:6"},
        .bounds = {.grace_s = 6,
                   .max_hold_ms = 10000,
                   .drain_ms = 2000,
                   .retry_ratio = 0.2F,
                   .retry_window_s = 10,
                   .retry_slack = 58,
                   .cold_factor = 1.5F,
                   .cold_slack = 5,
                   .revoke_ms = 5000},
    };
    s->update = s->settings;
    s->needs_restart = g_string_new(NULL);
    RsRouter_Init(&s->router, &s->loop, &s->settings);
    RsFleet_Init(&s->router.fleet, RsFixture_FleetEvents(), NULL);
}

static void
close_scenario(struct scenario *s)
{
    g_string_free(s->needs_restart, TRUE);
    RsFleet_Clear(&s->router.fleet);
    uv_loop_close(&s->loop);
}

static void
test_same_settings_change_nothing(void)
{
    struct scenario s;
    open_scenario(&s);
    CU_ASSERT_EQUAL(
        RsReload_Apply(&s.router, &s.settings, &s.update, s.needs_restart), 0);
    CU_ASSERT_EQUAL(s.needs_restart->len, 0);
    close_scenario(&s);
}

/* A bound that is kept as a copy must not stay at its former value. */
static void
test_changed_bounds_take_effect(void)
{
    struct scenario s;
    open_scenario(&s);
    struct rs_load_retry_budget *budget =
        RsRouter_RetryBudget(&s.router, g_intern_string("s"));
    s.update.bounds.drain_ms = 3000;
    s.update.bounds.retry_slack = 7;
    s.update.bounds.strict_revoke = true;
    s.update.load.adaptive = true;
    CU_ASSERT_EQUAL(
        RsReload_Apply(&s.router, &s.settings, &s.update, s.needs_restart), 4);
    CU_ASSERT_EQUAL(s.router.fleet.drain_ms, 3000);
    CU_ASSERT_EQUAL(budget->slack, 7);
    CU_ASSERT_TRUE(s.router.workspaces.strict);
    CU_ASSERT_TRUE(s.router.settings->load.adaptive);
    CU_ASSERT_EQUAL(s.needs_restart->len, 0);
    close_scenario(&s);
}

/* A changed address or the length of grants must not be taken over half. */
static void
test_settings_that_need_a_restart_are_named_and_stay(void)
{
    struct scenario s;
    open_scenario(&s);
    s.update.listen.callers = "127.0.0.1:9";
    s.update.bounds.max_hold_ms = 5000;
    s.update.bounds.grace_s = 9;
    CU_ASSERT_EQUAL(
        RsReload_Apply(&s.router, &s.settings, &s.update, s.needs_restart), 1);
    CU_ASSERT_STRING_EQUAL(s.needs_restart->str,
                           "listen.callers bounds.max_hold_ms");
    CU_ASSERT_STRING_EQUAL(s.settings.listen.callers, "127.0.0.1:1");
    CU_ASSERT_EQUAL(s.settings.bounds.max_hold_ms, 10000);
    CU_ASSERT_EQUAL(s.settings.bounds.grace_s, 9);
    close_scenario(&s);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("reload", NULL, NULL);
    CU_ADD_TEST(suite, test_same_settings_change_nothing);
    CU_ADD_TEST(suite, test_changed_bounds_take_effect);
    CU_ADD_TEST(suite, test_settings_that_need_a_restart_are_named_and_stay);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
