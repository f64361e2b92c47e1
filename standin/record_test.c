#include <CUnit/Basic.h>

#include "standin/pattern.h"
#include "standin/record.h"

#define CAPACITY 100

static void
append(struct rs_record *record, int64_t start_ms)
{
    struct rs_record_event event = {.request_id = "r",
                                    .method = "GET",
                                    .service = "s",
                                    .key = "k",
                                    .holder = "h",
                                    .slice = "",
                                    .start_ms = start_ms};
    RsRecord_Append(record, &event);
}

static void
expect_events(const struct rs_record *record, int64_t after, size_t limit,
              size_t count, int64_t first_n, bool overflowed)
{
    json_t *answer = RsRecord_Read(record, after, limit);
    json_t *events = json_object_get(answer, "events");
    json_t *first = json_array_get(events, 0);
    CU_ASSERT_EQUAL(json_array_size(events), count);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(first, "n")), first_n);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(first, "start_ms")),
                    first_n * 10);
    CU_ASSERT_STRING_EQUAL(
        json_string_value(json_object_get(first, "service")), "s");
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(first, "key")),
                           "k");
    CU_ASSERT_EQUAL(json_is_true(json_object_get(answer, "overflowed")),
                    overflowed);
    json_decref(answer);
}

static void
test_record_drops_the_oldest_events(void)
{
    struct rs_record *record = RsRecord_New(CAPACITY);
    for (int n = 1; n <= CAPACITY; n++) {
        append(record, n * 10);
    }
    expect_events(record, 0, 1000, CAPACITY, 1, false);
    expect_events(record, 70, 20, 20, 71, false);
    append(record, (CAPACITY + 1) * 10);
    expect_events(record, 0, 1000, CAPACITY, 2, true);
    expect_events(record, CAPACITY, 1000, 1, CAPACITY + 1, true);
    RsRecord_Free(record);
}

static void
test_pattern_depends_on_offset_and_key(void)
{
    uint8_t whole[64];
    uint8_t part[64];
    RsPattern_Fill(7, 0, whole, sizeof(whole));
    RsPattern_Fill(7, 13, part, 20);
    CU_ASSERT_EQUAL(memcmp(whole + 13, part, 20), 0);
    CU_ASSERT(RsPattern_Matches(7, 13, part, 20));
    CU_ASSERT(!RsPattern_Matches(7, 14, part, 1));
    CU_ASSERT(!RsPattern_Matches(7, 21, part, 20));
    CU_ASSERT(!RsPattern_Matches(8, 13, part, 20));
    part[19] ^= 1;
    CU_ASSERT(!RsPattern_Matches(7, 13, part, 20));
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("record", NULL, NULL);
    CU_ADD_TEST(suite, test_record_drops_the_oldest_events);
    CU_ADD_TEST(suite, test_pattern_depends_on_offset_and_key);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
