#include <CUnit/Basic.h>
#include <assert.h>
#include <stdint.h>
#include <string.h>

#include "router/pack.h"

#define ROUTES 1800

/* A configuration with many routes. Such a row goes to all nodes, some of them
 * on 10 Mbit/s links, half of which callers' requests already use. */
static char *
large_config(void)
{
    GString *text = g_string_new("{\"version\":\"0000000c\",\"routes\":{");
    for (unsigned i = 0; i < ROUTES; i++) {
        g_string_append_printf(
            text,
            "\"r-%07x\":{\"host\":\"kaye53.example\",\"prefix\":\"/w%x/\","
            "\"service\":\"bago88a\",\"kind\":\"idempotent\","
            "\"timeout_ms\":1500,\"target_latency_ms\":400,"
            "\"max_attempts\":2,\"priority\":2},",
            i * 2654435U, i * 40503U);
    }
    return g_string_free(text, FALSE);
}

static void
test_large_row_is_compressed_to_less_than_a_quarter(void)
{
    char *text = large_config();
    size_t size_bytes = strlen(text);
    GByteArray *packed = RsPack_Compress(text, size_bytes);
    CU_ASSERT_PTR_NOT_NULL_FATAL(packed);
    assert(packed != NULL);
    CU_ASSERT_TRUE(packed->len < size_bytes / 4);
    char *decompressed =
        RsPack_Decompress(packed->data, packed->len, size_bytes);
    CU_ASSERT_PTR_NOT_NULL_FATAL(decompressed);
    assert(decompressed != NULL);
    CU_ASSERT_STRING_EQUAL(decompressed, text);
    g_free(decompressed);
    CU_ASSERT_PTR_NULL(
        RsPack_Decompress(packed->data, packed->len, size_bytes - 1));
    CU_ASSERT_PTR_NULL(
        RsPack_Decompress(packed->data, packed->len, size_bytes + 1));
    CU_ASSERT_PTR_NULL(
        RsPack_Decompress(packed->data, packed->len / 2, size_bytes));
    CU_ASSERT_PTR_NULL(RsPack_Decompress(packed->data, packed->len, SIZE_MAX));
    g_byte_array_unref(packed);
    g_free(text);
}

static void
test_text_that_does_not_shrink_is_not_compressed(void)
{
    CU_ASSERT_PTR_NULL(RsPack_Compress("", 0));
    CU_ASSERT_PTR_NULL(RsPack_Compress("abc", 3));
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("pack", NULL, NULL);
    CU_ADD_TEST(suite, test_large_row_is_compressed_to_less_than_a_quarter);
    CU_ADD_TEST(suite, test_text_that_does_not_shrink_is_not_compressed);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
