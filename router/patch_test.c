#include <CUnit/Basic.h>
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "core/log.h"
#include "router/keymap.h"
#include "router/patch.h"

#define ROUNDS 300

/* Checks that a patch between two texts produces the new one. */
static void
check(const char *old_text, const char *new_text)
{
    GByteArray *patch = RsPatch_Make(old_text, new_text);
    char *patched = RsPatch_Apply(old_text, patch->data, patch->len);
    CU_ASSERT_PTR_NOT_NULL_FATAL(patched);
    assert(patched != NULL);
    CU_ASSERT_STRING_EQUAL(patched, new_text);
    g_free(patched);
    g_byte_array_unref(patch);
}

static void
test_patch_produces_the_new_text(void)
{
    check("", "");
    check("", "a\n");
    check("a\nb\n", "");
    check("a\nb\nc\n", "a\nc\n");
    check("a\nb\nc\n", "a\nx\nb\ny\nc\nz\n");
    check("a\nb\nc\n", "c\nb\na\n");
    check("a\na\na\n", "a\na\n");
    check("a\nb", "a\nb\nc");
    check("a\nb\n", "b\nb\nb\na\n");
}

static char *
random_text(GRand *random)
{
    GString *text = g_string_new(NULL);
    gint32 lines = g_rand_int_range(random, 0, 30);
    for (gint32 i = 0; i < lines; i++) {
        g_string_append_printf(text, "line %d\n",
                               g_rand_int_range(random, 0, 20));
    }
    return g_string_free(text, FALSE);
}

static void
test_patch_between_random_texts(void)
{
    GRand *random = g_rand_new_with_seed(5);
    for (int i = 0; i < ROUNDS; i++) {
        char *old_text = random_text(random);
        char *new_text = random_text(random);
        check(old_text, new_text);
        g_free(old_text);
        g_free(new_text);
    }
    g_rand_free(random);
}

static void
test_patch_for_another_text_is_refused(void)
{
    GByteArray *patch = RsPatch_Make("a\nb\nc\n", "a\nx\nc\n");
    CU_ASSERT_PTR_NULL(RsPatch_Apply("a\nb\nd\n", patch->data, patch->len));
    CU_ASSERT_PTR_NULL(RsPatch_Apply("a\n", patch->data, patch->len));
    CU_ASSERT_PTR_NULL(RsPatch_Apply("a\nb\nc\n", "\xff\xff", 2));
    for (guint cut = 1; cut < patch->len; cut++) {
        g_free(RsPatch_Apply("a\nb\nc\n", patch->data, cut));
    }
    g_byte_array_unref(patch);
}

static struct rs_keymap *
large_map(void)
{
    struct rs_keymap *map = RsKeymap_New(g_intern_string("s"));
    for (uint32_t i = 0; i < 450; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%08x", i % 150);
        const struct rs_owner to = {g_intern_string(id), 1774251872815,
                                    g_intern_string("10.1.64.7:8289")};
        RsKeymap_Move(map, i * 145, i * 145 + 144, &to);
    }
    for (size_t i = 0; i < map->ranges->len; i++) {
        RsKeymap_ClearFormer(RsKeymap_GetRange(map, i));
    }
    return map;
}

/* Owners change several times a second, and each change is sent to all nodes.
 * The patch for a change of a few ranges must be much smaller than the whole
 * map. */
static void
test_change_of_a_few_ranges_is_small(void)
{
    struct rs_keymap *map = large_map();
    char *before = RsKeymap_Encode(map);
    for (uint32_t i = 0; i < 6; i++) {
        const struct rs_owner to =
            RsKeymap_FindRange(map, 60000 - i * 999)->owner;
        RsKeymap_Move(map, i * 7000 + 20, i * 7000 + 29, &to);
    }
    char *after = RsKeymap_Encode(map);
    GByteArray *patch = RsPatch_Make(before, after);
    CU_ASSERT_TRUE(patch->len < 1500);
    CU_ASSERT_TRUE(strlen(after) > 10000);
    check(before, after);
    g_byte_array_unref(patch);
    g_free(before);
    g_free(after);
    RsKeymap_Free(map);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("patch", NULL, NULL);
    CU_ADD_TEST(suite, test_patch_produces_the_new_text);
    CU_ADD_TEST(suite, test_patch_between_random_texts);
    CU_ADD_TEST(suite, test_patch_for_another_text_is_refused);
    CU_ADD_TEST(suite, test_change_of_a_few_ranges_is_small);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
