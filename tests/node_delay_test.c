/* Orders that the network holds up until after the granter has given them up.
 */

#include <CUnit/Basic.h>

#include "core/clock.h"
#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define WORK_MS 20
#define NODES 3
#define SHARDED_TARGETS 4
#define TARGET 0 /* whose grants are held up */
#define REQUEST_INTERVAL_MS 10
#define KEY_SPACING 64
/* Longer than the granter's interval between grants (RENEW_GRANT_EVERY_MS in
 * router/granter.c), shorter than that and the time until it gives one up. */
#define SENDING_MS 1100
#define HELD_UP_US 1300000
/* From when the target can't be reached until its keys have moved to others,
 * also if the granter waits longer than it must. */
#define MOVED_WITHIN_MS 12000

/* Returns whether other targets hold all keys, as far as a sample tells. */
static bool
have_moved(const struct rs_node_fixture *fixture)
{
    int64_t now_ms = RsClock_NowMs();
    for (uint32_t key = 0; key < RsCheck_KEYS; key += KEY_SPACING) {
        bool held = false;
        for (uint32_t i = 0; i < fixture->target_count; i++) {
            held |= i != TARGET &&
                    RsCheck_HoldsKey(&fixture->check, i, key, now_ms);
        }
        if (!held) {
            return false;
        }
    }
    return true;
}

/* The granter gives up a grant that reaches the target 0.8 s after that. Then
 * no node can connect to the target any more: if only the granter could not,
 * it would reach it through another node. */
void
test_two_targets_hold_keys_after_a_late_grant(void)
{
    const struct rs_node_fixture_options options = {
        .base_port = 27600,
        .node_count = NODES,
        .sharded_targets = SHARDED_TARGETS,
        .work_ms = WORK_MS,
        .timeout_ms = 2000,
        /* They are sent grants without being asked first. */
        .targets_hide_load = true,
    };
    struct rs_node_fixture *fixture = RsNodeFixture_OpenServing(&options);
    struct rs_link_proxy *proxy = RsSoakTarget_Proxy(fixture->targets[TARGET]);
    RsNodeFixture_SendToAll(fixture, SENDING_MS, REQUEST_INTERVAL_MS);
    RsLinkProxy_SetHoldUp(proxy, HELD_UP_US);
    RsLinkProxy_SetNewCut(proxy, true);
    RsNodeFixture_SendToAll(fixture, SENDING_MS, REQUEST_INTERVAL_MS);
    RsLinkProxy_SetHoldUp(proxy, 0);
    int64_t give_up_at_ms = RsClock_NowMs() + MOVED_WITHIN_MS;
    CU_ASSERT_FALSE(have_moved(fixture));
    while (!have_moved(fixture) && RsClock_NowMs() < give_up_at_ms) {
        RsNodeFixture_SendToAll(fixture, SENDING_MS, REQUEST_INTERVAL_MS);
    }
    CU_ASSERT_TRUE(have_moved(fixture));
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}
