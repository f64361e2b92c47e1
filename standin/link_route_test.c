#include <CUnit/Basic.h>

#include "standin/link_route.h"

static void
test_lines_are_parsed(void)
{
    struct rs_link_route route;
    CU_ASSERT(RsLinkRoute_Parse(&route, "7001  127.0.0.1:8001 a b 1.5\n"));
    CU_ASSERT_EQUAL(route.listen_port, 7001);
    CU_ASSERT_STRING_EQUAL(route.target_host, "127.0.0.1");
    CU_ASSERT_EQUAL(route.target_port, 8001);
    CU_ASSERT_STRING_EQUAL(route.from, "a");
    CU_ASSERT_STRING_EQUAL(route.to, "b");
    CU_ASSERT_EQUAL(route.delay_us, 1500);
    CU_ASSERT(RsLinkRoute_Parse(&route, "7001 127.0.0.1:8001 a b"));
    CU_ASSERT_EQUAL(route.delay_us, RsLinkRoute_DEFAULT_DELAY);
}

static void
test_bad_lines_are_refused(void)
{
    static const char *const lines[] = {
        "",
        "7001 127.0.0.1:8001 a",
        "0 127.0.0.1:8001 a b",
        "70010 127.0.0.1:8001 a b",
        "7001 127.0.0.1 a b",
        "7001 :8001 a b",
        "7001 127.0.0.1:8001 a b -1",
        "7001 127.0.0.1:8001 a b 1x",
        "7001 127.0.0.1:8001 a b 1 2",
    };
    for (size_t i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
        struct rs_link_route route;
        CU_ASSERT(!RsLinkRoute_Parse(&route, lines[i]));
    }
}

static bool
is_cut(const char *from, const char *to)
{
    struct rs_link_route route = {0};
    json_t *cut =
        json_loads("[7,[\"a\"],[\"a\",\"b\"],[\"platform\",\"c\"]]", 0, NULL);
    snprintf(route.from, sizeof(route.from), "%s", from);
    snprintf(route.to, sizeof(route.to), "%s", to);
    bool result = RsLinkRoute_IsCut(&route, cut);
    json_decref(cut);
    return result;
}

static void
test_a_pair_is_cut_in_both_directions(void)
{
    CU_ASSERT(is_cut("a", "b"));
    CU_ASSERT(is_cut("b", "a"));
    CU_ASSERT(is_cut("c", "platform"));
    CU_ASSERT(!is_cut("a", "c"));
    CU_ASSERT(!is_cut("a", "a"));
    CU_ASSERT(!is_cut("b", "b"));
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("link route", NULL, NULL);
    CU_ADD_TEST(suite, test_lines_are_parsed);
    CU_ADD_TEST(suite, test_bad_lines_are_refused);
    CU_ADD_TEST(suite, test_a_pair_is_cut_in_both_directions);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
