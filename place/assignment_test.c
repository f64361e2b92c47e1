#include <CUnit/Basic.h>
#include <string.h>

#include "place/assignment.h"
#include "place/slice.h"

static void
test_slice_id_combines_rule_and_index(void)
{
    uint64_t first = RsSlice_Id("listas", 0);
    uint64_t last = RsSlice_Id("listas", RsModel_MAX_SLICES - 1);
    CU_ASSERT_EQUAL(first & 0xffff, 0);
    CU_ASSERT_EQUAL(last - first, 0xffff);
    CU_ASSERT_EQUAL(RsSlice_Index(RsSlice_Id("listas", 513)), 513);
    CU_ASSERT_NOT_EQUAL(RsSlice_Id("reservas", 0), first);
}

static void
test_keys_spread_over_all_slices(void)
{
    uint32_t counts[16] = {0};
    for (uint32_t key = 0; key < 16000; key++) {
        counts[RsSlice_IndexOfKey(&key, sizeof(key), 16)]++;
    }
    for (size_t i = 0; i < 16; i++) {
        CU_ASSERT(counts[i] > 800 && counts[i] < 1200);
    }
}

static void
test_row_key_round_trip(void)
{
    char key[RsAssignment_KEY_BYTES];
    char rule[RsModel_NAME_BYTES];
    uint32_t row = 0;
    RsAssignment_FormatKey("listas", 17, key);
    CU_ASSERT_STRING_EQUAL(key, "assign/listas/0017");
    CU_ASSERT_EQUAL(RsAssignment_ParseKey(key, rule, &row), 0);
    CU_ASSERT_STRING_EQUAL(rule, "listas");
    CU_ASSERT_EQUAL(row, 17);
}

static void
test_invalid_row_keys_are_rejected(void)
{
    static const char *const keys[] = {"",
                                       "assign/",
                                       "assign/listas",
                                       "assign//01",
                                       "assign/listas/17",
                                       "assign/listas/00017",
                                       "assign//0017",
                                       "assign/a/b/0017",
                                       "assign/listas/2048",
                                       "assign/listas/001x",
                                       "assign/listas/0017x",
                                       "cell/listas/0017"};
    char rule[RsModel_NAME_BYTES];
    uint32_t row = 0;
    for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
        CU_ASSERT_EQUAL(RsAssignment_ParseKey(keys[i], rule, &row),
                        RsAssignment_BAD_KEY);
    }
}

static void
test_row_key_with_too_long_rule_is_rejected(void)
{
    char rule[RsModel_NAME_BYTES + 1] = "";
    char key[RsAssignment_KEY_BYTES];
    uint32_t row = 0;
    memset(rule, 'r', RsModel_NAME_BYTES);
    snprintf(key, sizeof(key), "assign/%s/0017", rule);
    CU_ASSERT_EQUAL(RsAssignment_ParseKey(key, rule, &row),
                    RsAssignment_BAD_KEY);
}

static void
test_rows_cover_all_slices_of_a_rule(void)
{
    CU_ASSERT_EQUAL(RsAssignment_CountRows(64), 2);
    CU_ASSERT_EQUAL(RsAssignment_CountRows(65), 3);
    CU_ASSERT_EQUAL(RsAssignment_CountSlicesInRow(65, 1), 32);
    CU_ASSERT_EQUAL(RsAssignment_CountSlicesInRow(65, 2), 1);
    CU_ASSERT_EQUAL(RsAssignment_CountSlicesInRow(65, 3), 0);
}

static void
test_row_value_round_trip(void)
{
    struct rs_model_assignment encoded[2] = {
        {.slice = RsSlice_Id("r", 32)},
        {.slice = RsSlice_Id("r", 33),
         .epoch = 7,
         .cell = "sul-poa/0",
         .succession = {"t1", "t2", "t3"},
         .succession_count = 3,
         .from = {"sul-cwb/1"},
         .from_count = 1},
    };
    struct rs_model_assignment decoded[RsAssignment_SLICES_PER_ROW];
    size_t count = 0;
    json_t *value = RsAssignment_Encode(encoded, 2);
    CU_ASSERT_EQUAL(RsAssignment_Decode(value, "r", 1, decoded, &count), 0);
    CU_ASSERT_EQUAL_FATAL(count, 2);
    CU_ASSERT(RsAssignment_Equal(&decoded[0], &encoded[0]));
    CU_ASSERT(RsAssignment_Equal(&decoded[1], &encoded[1]));
    CU_ASSERT_EQUAL(RsAssignment_Position(&decoded[1], "t3"), 2);
    CU_ASSERT_EQUAL(RsAssignment_Position(&decoded[1], "t4"), -1);
    json_decref(value);
}

/* Each line of the file has a number and a JSON value. The number is 0 if the
 * value is valid; otherwise RsError_PLACE minus the number is the expected
 * error. */
static void
test_value_cases_from_file(void)
{
    FILE *file = fopen("assignment_cases.txt", "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    char line[1024];
    size_t cases = 0;
    while (fgets(line, sizeof(line), file) != NULL) {
        struct rs_model_assignment decoded[RsAssignment_SLICES_PER_ROW];
        size_t count = 0;
        char *text = NULL;
        long expected = strtol(line, &text, 10);
        json_t *value = json_loads(text, JSON_ALLOW_NUL, NULL);
        int status = RsAssignment_Decode(value, "r", 0, decoded, &count);
        CU_ASSERT_EQUAL(status,
                        expected == 0 ? 0 : RsError_PLACE - (int)expected);
        if (status != 0 && expected == 0) {
            printf("case: %s", line);
        }
        json_decref(value);
        cases++;
    }
    fclose(file);
    CU_ASSERT(cases > 0);
}

static void
test_row_with_too_many_slices_is_rejected(void)
{
    struct rs_model_assignment slices[RsAssignment_SLICES_PER_ROW + 1] = {{0}};
    size_t count = 0;
    json_t *value = RsAssignment_Encode(slices, RsAssignment_SLICES_PER_ROW);
    json_t *list = json_object_get(value, "slices");
    CU_ASSERT_EQUAL(RsAssignment_Decode(value, "r", 0, slices, &count), 0);
    json_array_append(list, json_array_get(list, 0));
    CU_ASSERT_EQUAL(RsAssignment_Decode(value, "r", 0, slices, &count),
                    RsAssignment_BAD_COUNT);
    json_decref(value);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("assignment", NULL, NULL);
    CU_ADD_TEST(suite, test_slice_id_combines_rule_and_index);
    CU_ADD_TEST(suite, test_keys_spread_over_all_slices);
    CU_ADD_TEST(suite, test_row_key_round_trip);
    CU_ADD_TEST(suite, test_invalid_row_keys_are_rejected);
    CU_ADD_TEST(suite, test_row_key_with_too_long_rule_is_rejected);
    CU_ADD_TEST(suite, test_rows_cover_all_slices_of_a_rule);
    CU_ADD_TEST(suite, test_row_value_round_trip);
    CU_ADD_TEST(suite, test_value_cases_from_file);
    CU_ADD_TEST(suite, test_row_with_too_many_slices_is_rejected);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
