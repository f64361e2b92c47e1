#include <CUnit/Basic.h>

#include "standin/grants.h"

#define SLICE_A 0xa
#define SLICES(epoch, step)                                                   \
    ",\"slices\":[{\"slice\":\"000000000000000a\",\"epoch\":" #epoch          \
    ",\"step\":" #step "}]"

/* Applies a grant and checks the `highest` member of the answer, unless
 * `expected` is NULL. Returns the HTTP status. */
static int
apply(struct rs_grants *grants, const char *holder, int session, int until_ms,
      int set, const char *slices, const char *expected)
{
    char text[512];
    snprintf(text, sizeof(text),
             "{\"holder\":\"%s\",\"session\":%d,\"until_ms\":%d,"
             "\"set\":%d%s}",
             holder, session, until_ms, set, slices);
    json_t *message = json_loads(text, 0, NULL);
    json_t *answer = json_object();
    int status = RsGrants_Apply(grants, message, answer);
    char *highest = json_dumps(json_object_get(answer, "highest"),
                               JSON_COMPACT | JSON_ENCODE_ANY);
    if (expected != NULL) {
        CU_ASSERT_STRING_EQUAL(highest, expected);
    }
    free(highest);
    json_decref(answer);
    json_decref(message);
    return status;
}

static enum rs_grants_decision
check(const struct rs_grants *grants, int64_t clock_ms, const char *holder,
      uint64_t epoch, uint64_t step)
{
    struct rs_grants_fence fence = {epoch, step};
    return RsGrants_Check(grants, clock_ms, holder, SLICE_A, fence);
}

static void
test_grant_expires_and_is_extended(void)
{
    struct rs_grants *grants = RsGrants_New();
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 100, 1, SLICES(3, 2), "[]"), 200);
    CU_ASSERT_EQUAL(check(grants, 100, "p", 3, 2), RsGrants_GRANTED);
    CU_ASSERT_EQUAL(check(grants, 101, "p", 3, 2), RsGrants_NO_GRANT);
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 200, 1, "", "[]"), 200);
    CU_ASSERT_EQUAL(check(grants, 101, "p", 3, 2), RsGrants_GRANTED);
    CU_ASSERT_EQUAL(check(grants, 101, "q", 3, 2), RsGrants_NO_GRANT);
    CU_ASSERT_EQUAL(check(grants, 101, "p", 3, 3), RsGrants_NO_GRANT);
    CU_ASSERT_EQUAL(check(grants, 101, "p", 3, 1), RsGrants_STALE_FENCE);
    RsGrants_Free(grants);
}

static void
test_higher_fence_supersedes_a_lower_one(void)
{
    struct rs_grants *grants = RsGrants_New();
    const char *highest =
        "[{\"slice\":\"000000000000000a\",\"epoch\":4,\"step\":0}]";
    apply(grants, "p", 1, 100, 1, SLICES(3, 9), "[]");
    CU_ASSERT_EQUAL(apply(grants, "q", 1, 100, 1, SLICES(4, 0), "[]"), 200);
    CU_ASSERT_EQUAL(check(grants, 50, "p", 3, 9), RsGrants_STALE_FENCE);
    CU_ASSERT_EQUAL(check(grants, 50, "q", 4, 0), RsGrants_GRANTED);
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 100, 1, "", highest), 200);
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 100, 2, SLICES(3, 10), highest),
                    200);
    CU_ASSERT_EQUAL(check(grants, 50, "p", 3, 10), RsGrants_STALE_FENCE);
    RsGrants_Free(grants);
}

static void
test_new_set_replaces_the_old_one(void)
{
    struct rs_grants *grants = RsGrants_New();
    apply(grants, "p", 1, 100, 1, SLICES(3, 2), "[]");
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 100, 2, ",\"slices\":[]", "[]"),
                    200);
    CU_ASSERT_EQUAL(check(grants, 50, "p", 3, 2), RsGrants_NO_GRANT);
    RsGrants_Free(grants);
}

static void
test_set_that_is_not_current_is_rejected(void)
{
    struct rs_grants *grants = RsGrants_New();
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 100, 1, "", "[]"), 409);
    apply(grants, "p", 1, 100, 2, SLICES(3, 2), "[]");
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 100, 3, "", "[]"), 409);
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 900, 1, SLICES(3, 1), NULL), 409);
    CU_ASSERT_EQUAL(check(grants, 101, "p", 3, 2), RsGrants_NO_GRANT);
    RsGrants_Free(grants);
}

static void
test_later_session_replaces_an_earlier_one(void)
{
    struct rs_grants *grants = RsGrants_New();
    apply(grants, "p", 1, 100, 9, SLICES(3, 2), "[]");
    CU_ASSERT_EQUAL(apply(grants, "p", 2, 100, 9, "", "[]"), 409);
    CU_ASSERT_EQUAL(check(grants, 50, "p", 3, 2), RsGrants_NO_GRANT);
    CU_ASSERT_EQUAL(apply(grants, "p", 2, 100, 1, SLICES(3, 2), "[]"), 200);
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 900, 9, "", "[]"), 409);
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 900, 1, "", NULL), 409);
    CU_ASSERT_EQUAL(check(grants, 50, "p", 3, 2), RsGrants_GRANTED);
    CU_ASSERT_EQUAL(check(grants, 101, "p", 3, 2), RsGrants_NO_GRANT);
    RsGrants_Free(grants);
}

static void
test_bad_message_is_refused(void)
{
    struct rs_grants *grants = RsGrants_New();
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 1, 1,
                          ",\"slices\":[{\"slice\":\"0a\",\"epoch\":1,"
                          "\"step\":1}]",
                          NULL),
                    400);
    CU_ASSERT_EQUAL(apply(grants, "p", 1, 1, 1, ",\"slices\":7", NULL), 400);
    RsGrants_Free(grants);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("grants", NULL, NULL);
    CU_ADD_TEST(suite, test_grant_expires_and_is_extended);
    CU_ADD_TEST(suite, test_higher_fence_supersedes_a_lower_one);
    CU_ADD_TEST(suite, test_new_set_replaces_the_old_one);
    CU_ADD_TEST(suite, test_set_that_is_not_current_is_rejected);
    CU_ADD_TEST(suite, test_later_session_replaces_an_earlier_one);
    CU_ADD_TEST(suite, test_bad_message_is_refused);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
