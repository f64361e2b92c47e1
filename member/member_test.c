#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "member/members.h"
#include "member/mirror.h"

#define SUSPECT_MS 600
#define FORGET_MS 10000

static void
append_key(void *arg, const struct rs_mirror_row *row)
{
    g_string_append_printf(arg, "%s ", row->key);
}

static void
test_mirror_visits_changes_in_order(void)
{
    struct rs_mirror *mirror = RsMirror_New();
    GString *keys = g_string_new(NULL);
    bool more = true;
    CU_ASSERT(RsMirror_Put(mirror, "object/a", 1, "{}"));
    CU_ASSERT(RsMirror_Put(mirror, "object/b", 2, "{}"));
    CU_ASSERT(RsMirror_Put(mirror, "object/a", 3, "[]"));
    CU_ASSERT_FALSE(RsMirror_Put(mirror, "object/a", 2, "old"));
    CU_ASSERT(RsMirror_Advance(mirror, 3));
    CU_ASSERT_EQUAL(
        RsMirror_VisitAfter(mirror, 0, 9, 999, append_key, keys, &more), 3);
    CU_ASSERT_STRING_EQUAL(keys->str, "object/b object/a ");
    CU_ASSERT_FALSE(more);
    g_string_free(keys, TRUE);
    RsMirror_Free(mirror);
}

static void
test_mirror_page_does_not_split_a_transaction(void)
{
    struct rs_mirror *mirror = RsMirror_New();
    GString *keys = g_string_new(NULL);
    bool more = false;
    RsMirror_Put(mirror, "a", 4, "{}");
    RsMirror_Put(mirror, "b", 4, "{}");
    RsMirror_Put(mirror, "c", 5, "{}");
    RsMirror_Advance(mirror, 5);
    CU_ASSERT_EQUAL(
        RsMirror_VisitAfter(mirror, 0, 1, 999, append_key, keys, &more), 4);
    CU_ASSERT_STRING_EQUAL(keys->str, "a b ");
    CU_ASSERT(more);
    g_string_free(keys, TRUE);
    RsMirror_Free(mirror);
}

static void
test_mirror_prefix_leaves_out_deleted_rows(void)
{
    struct rs_mirror *mirror = RsMirror_New();
    GString *keys = g_string_new(NULL);
    RsMirror_Put(mirror, "cell/x", 1, "{}");
    RsMirror_Put(mirror, "object/a", 2, "{}");
    RsMirror_Put(mirror, "object/b", 3, NULL);
    RsMirror_Put(mirror, "object/c", 4, "{}");
    RsMirror_Put(mirror, "objects", 5, "{}");
    RsMirror_VisitPrefix(mirror, "object/", append_key, keys);
    CU_ASSERT_STRING_EQUAL(keys->str, "object/a object/c ");
    g_string_free(keys, TRUE);
    RsMirror_Free(mirror);
}

static struct rs_members *
new_members(void)
{
    struct rs_members_options options = {.self = "me",
                                         .suspect_after_ms = SUSPECT_MS,
                                         .forget_after_ms = FORGET_MS,
                                         .seed = 1};
    return RsMembers_New(&options);
}

static void
test_only_direct_message_shows_reachability(void)
{
    struct rs_members *members = new_members();
    struct rs_member state = {.name = "a", .incarnation = 1};
    RsMembers_Update(members, 1000, &state, 10, false);
    CU_ASSERT_FALSE(RsMembers_IsReachable(members, 1000, "a"));
    RsMembers_Update(members, 1000, &state, 0, true);
    CU_ASSERT(RsMembers_IsReachable(members, 1000 + SUSPECT_MS, "a"));
    CU_ASSERT_FALSE(RsMembers_IsReachable(members, 1001 + SUSPECT_MS, "a"));
    CU_ASSERT(RsMembers_IsReachable(members, 99999, "me"));
    RsMembers_Free(members);
}

static void
test_older_state_is_ignored(void)
{
    struct rs_members *members = new_members();
    struct rs_member state = {.name = "a", .applied_ticket = 7};
    RsMembers_Update(members, 1000, &state, 0, true);
    state.applied_ticket = 5;
    RsMembers_Update(members, 1100, &state, 500, false);
    CU_ASSERT_EQUAL(RsMembers_Find(members, "a")->applied_ticket, 7);
    RsMembers_Free(members);
}

static void
test_gap_or_restart_resets_steady_time(void)
{
    struct rs_members *members = new_members();
    struct rs_member state = {.name = "a", .incarnation = 1};
    RsMembers_Update(members, 1000, &state, 0, true);
    RsMembers_Update(members, 1200, &state, 0, true);
    CU_ASSERT_EQUAL(RsMembers_Find(members, "a")->steady_from_ms, 1000);
    state.incarnation = 2;
    RsMembers_Update(members, 1400, &state, 0, true);
    CU_ASSERT_EQUAL(RsMembers_Find(members, "a")->steady_from_ms, 1400);
    RsMembers_Update(members, 1401 + SUSPECT_MS, &state, 0, true);
    CU_ASSERT_EQUAL(RsMembers_Find(members, "a")->steady_from_ms,
                    1401 + SUSPECT_MS);
    RsMembers_Free(members);
}

static void
test_silent_member_is_forgotten(void)
{
    struct rs_members *members = new_members();
    struct rs_member state = {.name = "a"};
    RsMembers_Update(members, 1000, &state, 0, true);
    RsMembers_Forget(members, 1000 + FORGET_MS);
    CU_ASSERT_PTR_NOT_NULL(RsMembers_Find(members, "a"));
    RsMembers_Forget(members, 1001 + FORGET_MS);
    CU_ASSERT_PTR_NULL(RsMembers_Find(members, "a"));
    RsMembers_Free(members);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("member", NULL, NULL);
    CU_ADD_TEST(suite, test_mirror_visits_changes_in_order);
    CU_ADD_TEST(suite, test_mirror_page_does_not_split_a_transaction);
    CU_ADD_TEST(suite, test_mirror_prefix_leaves_out_deleted_rows);
    CU_ADD_TEST(suite, test_only_direct_message_shows_reachability);
    CU_ADD_TEST(suite, test_older_state_is_ignored);
    CU_ADD_TEST(suite, test_gap_or_restart_resets_steady_time);
    CU_ADD_TEST(suite, test_silent_member_is_forgotten);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
