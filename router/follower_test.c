#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "core/log.h"
#include "router/follower.h"

#define KEY "op/config"
#define CONTENT_MAX_BYTES 16

/* A node whose only row has a number as its content. The store is never
 * called. */
struct fixture {
    uv_loop_t loop;
    struct rs_follower *follower;
    int in_force;
    uint32_t published;
};

static enum rs_row_effect
on_row(void *arg, const struct rs_store_row *row)
{
    struct fixture *fixture = arg;
    if (!row->deleted) {
        fixture->in_force = atoi(row->value);
    }
    return RsTableCopy_CHANGED;
}

static int
compare_row(void *arg, const struct rs_store_row *row)
{
    const struct fixture *fixture = arg;
    return atoi(row->value) - fixture->in_force;
}

static void
on_updated(void *arg)
{
    struct fixture *fixture = arg;
    fixture->published++;
}

static void
on_caught_up(void *arg, bool changed)
{
    struct fixture *fixture = arg;
    fixture->published += changed;
}

static const struct rs_follower_events events = {
    .row = on_row,
    .compare = compare_row,
    .updated = on_updated,
    .caught_up = on_caught_up,
};

static void
open_node(struct fixture *fixture)
{
    *fixture = (struct fixture){0};
    uv_loop_init(&fixture->loop);
    const struct rs_follower_options options = {
        .loop = &fixture->loop,
        .table = "op",
        .events = &events,
        .arg = fixture,
    };
    fixture->follower = RsFollower_Open(&options);
}

/* Gives a node a row that another node sent. Returns whether that row is newer
 * but has older content. */
static bool
send_row(struct fixture *to, int content, uint64_t version, bool kept)
{
    char value[CONTENT_MAX_BYTES];
    struct rs_follower_origin origin = {.kept = kept};
    snprintf(value, sizeof(value), "%d", content);
    struct rs_store_row row = {.key = KEY,
                               .value = value,
                               .value_bytes = strlen(value),
                               .version = version};
    const struct rs_store_rows rows = {
        .rows = &row, .count = 1, .version = version};
    return RsFollower_ApplyUpdate(to->follower, &rows, &origin, false);
}

static void
add_kept(void *arg, struct rs_known_row *row)
{
    struct rs_store_row *kept = arg;
    CU_ASSERT_PTR_NULL(kept->key);
    *kept = (struct rs_store_row){.key = row->key,
                                  .value = row->value,
                                  .value_bytes = row->value_bytes,
                                  .version = row->version};
}

/* Tells a node what another one keeps. Returns whether it keeps something. */
static bool
tell_kept(struct fixture *to, const struct fixture *from)
{
    struct rs_store_row kept = {0};
    RsTableCopy_VisitKept(RsFollower_TableCopy(from->follower), add_kept,
                          &kept);
    const struct rs_store_rows rows = {.rows = &kept,
                                       .count = kept.key != NULL ? 1 : 0};
    RsFollower_AdoptKept(to->follower, &rows);
    return rows.count > 0;
}

static uint32_t
kept_revision(const struct fixture *fixture)
{
    return RsFollower_TableCopy(fixture->follower)->kept_revision;
}

/* Opens a node that keeps content 2 against the older content that the store
 * has at `version`, and another one that knows nothing. */
static void
open_after_restore(struct fixture *node, struct fixture *restarted,
                   uint64_t version)
{
    open_node(node);
    open_node(restarted);
    CU_ASSERT_FALSE(send_row(node, 2, 50, false));
    CU_ASSERT_TRUE(send_row(node, 1, version, false));
}

static void
test_older_content_is_ignored_and_the_later_kept(void)
{
    struct fixture node;
    struct fixture restarted;
    open_node(&node);
    open_node(&restarted);
    CU_ASSERT_FALSE(send_row(&node, 2, 50, false));
    CU_ASSERT_FALSE(tell_kept(&restarted, &node));
    CU_ASSERT_TRUE(send_row(&node, 1, 60, false));
    CU_ASSERT_EQUAL(node.in_force, 2);
    CU_ASSERT_EQUAL(RsFollower_TableCopy(node.follower)->version, 60);
    CU_ASSERT_TRUE(tell_kept(&restarted, &node));
    CU_ASSERT_EQUAL(restarted.in_force, 2);
}

/* The restarted node has read the copy, at the version that the store has. */
static void
test_node_that_knows_the_copy_adopts_what_is_kept(void)
{
    struct fixture node;
    struct fixture restarted;
    open_after_restore(&node, &restarted, 60);
    send_row(&restarted, 1, 60, false);
    uint32_t published = restarted.published;
    CU_ASSERT_TRUE(tell_kept(&restarted, &node));
    CU_ASSERT_EQUAL(restarted.in_force, 2);
    CU_ASSERT_TRUE(restarted.published > published);
    CU_ASSERT_EQUAL(kept_revision(&restarted), 1);
    CU_ASSERT_TRUE(tell_kept(&restarted, &node));
    CU_ASSERT_EQUAL(kept_revision(&restarted), 1);
}

/* The versions stay as they are, so that nothing of the store is skipped. */
static void
test_adopted_row_hides_no_change_of_the_store(void)
{
    struct fixture node;
    struct fixture restarted;
    open_after_restore(&node, &restarted, 90);
    send_row(&restarted, 1, 60, false);
    tell_kept(&restarted, &node);
    CU_ASSERT_EQUAL(RsFollower_TableCopy(restarted.follower)->version, 60);
    CU_ASSERT_FALSE(send_row(&restarted, 3, 61, false));
    CU_ASSERT_EQUAL(restarted.in_force, 3);
    CU_ASSERT_FALSE(tell_kept(&node, &restarted));
}

/* A node that knows nothing yet adopts the row, then reads the copy. */
static void
test_copy_does_not_replace_an_adopted_row(void)
{
    struct fixture node;
    struct fixture restarted;
    open_after_restore(&node, &restarted, 60);
    tell_kept(&restarted, &node);
    CU_ASSERT_TRUE(send_row(&restarted, 1, 60, false));
    CU_ASSERT_EQUAL(restarted.in_force, 2);
    CU_ASSERT_TRUE(tell_kept(&node, &restarted));
}

static void
test_kept_row_of_an_upstream_node_is_adopted(void)
{
    struct fixture restarted;
    open_node(&restarted);
    send_row(&restarted, 1, 60, false);
    CU_ASSERT_FALSE(send_row(&restarted, 2, 60, false));
    CU_ASSERT_EQUAL(restarted.in_force, 1);
    CU_ASSERT_FALSE(send_row(&restarted, 2, 60, true));
    CU_ASSERT_EQUAL(restarted.in_force, 2);
    CU_ASSERT_EQUAL(kept_revision(&restarted), 1);
    CU_ASSERT_FALSE(send_row(&restarted, 2, 60, true));
    CU_ASSERT_FALSE(send_row(&restarted, 1, 60, true));
    CU_ASSERT_EQUAL(restarted.in_force, 2);
    CU_ASSERT_EQUAL(kept_revision(&restarted), 1);
}

/* The operator has written the row again. */
static void
test_row_that_the_store_has_again_is_not_kept(void)
{
    struct fixture node;
    struct fixture other;
    open_after_restore(&node, &other, 60);
    CU_ASSERT_FALSE(send_row(&node, 2, 70, false));
    CU_ASSERT_FALSE(tell_kept(&other, &node));
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("follower", NULL, NULL);
    CU_ADD_TEST(suite, test_older_content_is_ignored_and_the_later_kept);
    CU_ADD_TEST(suite, test_node_that_knows_the_copy_adopts_what_is_kept);
    CU_ADD_TEST(suite, test_adopted_row_hides_no_change_of_the_store);
    CU_ADD_TEST(suite, test_copy_does_not_replace_an_adopted_row);
    CU_ADD_TEST(suite, test_kept_row_of_an_upstream_node_is_adopted);
    CU_ADD_TEST(suite, test_row_that_the_store_has_again_is_not_kept);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
