#include <CUnit/Basic.h>

#include "standin/table.h"

static int
commit(struct rs_table *table, const char *text, const char *expected)
{
    GString *answer = g_string_new("");
    json_t *body = json_loads(text, 0, NULL);
    int status = RsTable_Commit(table, body, answer);
    CU_ASSERT_STRING_EQUAL(answer->str, expected);
    json_decref(body);
    g_string_free(answer, TRUE);
    return status;
}

static void
expect_changes(struct rs_table *table, int64_t after, int64_t limit,
               const char *skip, const char *expected)
{
    GString *answer = g_string_new("");
    RsTable_Changes(table, after, limit, skip, answer);
    CU_ASSERT_STRING_EQUAL(answer->str, expected);
    g_string_free(answer, TRUE);
}

static void
expect_list(struct rs_table *table, const char *prefix, const char *after_key,
            bool reverse, const char *expected)
{
    GString *answer = g_string_new("");
    RsTable_List(table, prefix, after_key, 2, reverse, answer);
    CU_ASSERT_STRING_EQUAL(answer->str, expected);
    g_string_free(answer, TRUE);
}

static void
test_commit_is_conditional(void)
{
    struct rs_table *table = RsTable_New();
    struct rs_table_row row;
    const char *create = "{\"if\":[{\"key\":\"a\",\"version\":0}],"
                         "\"put\":[{\"key\":\"a\",\"value\":1},"
                         "{\"key\":\"b\",\"value\":2}]}";
    CU_ASSERT_EQUAL(commit(table, create, "{\"revision\":1}"), 200);
    CU_ASSERT_EQUAL(
        commit(table, create,
               "{\"rows\":[{\"key\":\"a\",\"version\":1,\"value\":1}]}"),
        409);
    CU_ASSERT_EQUAL(commit(table, "{\"if\":[{\"key\":\"a\",\"version\":9}]}",
                           "{\"rows\":[{\"key\":\"a\",\"version\":1,"
                           "\"value\":1}]}"),
                    409);
    CU_ASSERT_EQUAL(RsTable_Revision(table), 1);
    CU_ASSERT(RsTable_Get(table, "b", &row));
    CU_ASSERT_EQUAL(commit(table, "{\"put\":[{\"key\":\"b\"}]}",
                           "{\"error\":\"bad transaction\"}"),
                    400);
    RsTable_Free(table);
}

static void
test_deleted_row_can_be_created_again(void)
{
    struct rs_table *table = RsTable_New();
    struct rs_table_row row;
    commit(table, "{\"put\":[{\"key\":\"a\",\"value\":1}]}",
           "{\"revision\":1}");
    commit(table, "{\"put\":[{\"key\":\"a\",\"value\":null}]}",
           "{\"revision\":2}");
    CU_ASSERT(!RsTable_Get(table, "a", &row));
    expect_changes(table, 1, 10, NULL,
                   "{\"revision\":2,\"rows\":[{\"key\":\"a\",\"version\":2,"
                   "\"value\":null}],\"more\":false}");
    expect_list(table, "", NULL, false, "{\"rows\":[]}");
    expect_list(table, "", NULL, true, "{\"rows\":[]}");
    CU_ASSERT_EQUAL(commit(table,
                           "{\"if\":[{\"key\":\"a\",\"version\":0}],"
                           "\"put\":[{\"key\":\"a\",\"value\":3}]}",
                           "{\"revision\":3}"),
                    200);
    RsTable_Free(table);
}

static void
test_changes_come_in_whole_revisions(void)
{
    struct rs_table *table = RsTable_New();
    commit(table, "{\"put\":[{\"key\":\"x\",\"value\":1}]}",
           "{\"revision\":1}");
    commit(table,
           "{\"put\":[{\"key\":\"y\",\"value\":2},"
           "{\"key\":\"z\",\"value\":2}]}",
           "{\"revision\":2}");
    expect_changes(table, 0, 2, NULL,
                   "{\"revision\":1,\"rows\":[{\"key\":\"x\",\"version\":1,"
                   "\"value\":1}],\"more\":true}");
    expect_changes(table, 1, 1, NULL,
                   "{\"revision\":2,\"rows\":[{\"key\":\"y\",\"version\":2,"
                   "\"value\":2},{\"key\":\"z\",\"version\":2,\"value\":2}],"
                   "\"more\":false}");
    expect_changes(table, 0, 10, "y",
                   "{\"revision\":2,\"rows\":[{\"key\":\"x\",\"version\":1,"
                   "\"value\":1},{\"key\":\"z\",\"version\":2,\"value\":2}],"
                   "\"more\":false}");
    RsTable_Free(table);
}

#define ROW(key) "{\"key\":\"" key "\",\"version\":1,\"value\":0}"

static void
test_list_follows_the_order_of_keys(void)
{
    struct rs_table *table = RsTable_New();
    commit(table,
           "{\"put\":[{\"key\":\"p/3\",\"value\":0},"
           "{\"key\":\"q\",\"value\":0},{\"key\":\"p/1\",\"value\":0},"
           "{\"key\":\"p/2\",\"value\":0},{\"key\":\"o\",\"value\":0}]}",
           "{\"revision\":1}");
    expect_list(table, "p/", NULL, false,
                "{\"rows\":[" ROW("p/1") "," ROW("p/2") "]}");
    expect_list(table, "p/", "p/2", false, "{\"rows\":[" ROW("p/3") "]}");
    expect_list(table, "p/", NULL, true,
                "{\"rows\":[" ROW("p/3") "," ROW("p/2") "]}");
    expect_list(table, "p/", "p/2", true, "{\"rows\":[" ROW("p/1") "]}");
    expect_list(table, "", "q", false, "{\"rows\":[]}");
    RsTable_Free(table);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("table", NULL, NULL);
    CU_ADD_TEST(suite, test_commit_is_conditional);
    CU_ADD_TEST(suite, test_deleted_row_can_be_created_again);
    CU_ADD_TEST(suite, test_changes_come_in_whole_revisions);
    CU_ADD_TEST(suite, test_list_follows_the_order_of_keys);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
