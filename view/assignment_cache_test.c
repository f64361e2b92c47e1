#include "view/assignment_cache.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "place/assignment.h"
#include "place/slice.h"

#define SLICES 2048
#define ROUNDS 8
#define NAMES_PER_SLICE 10
#define EXHAUSTED_ROUND 4 /* the first round in which the numbers run out */

static const struct rs_model_rule rule = {.name = "r", .slices = SLICES};

/* Fills in an assignment whose names are used by no other slice or round. */
static void
fill_slice(struct rs_model_assignment *slice, uint32_t index, int round)
{
    memset(slice, 0, sizeof(*slice));
    slice->slice = RsSlice_Id(rule.name, index);
    slice->epoch = (uint64_t)round;
    snprintf(slice->cell, sizeof(slice->cell), "c%d-%u", round, index);
    slice->succession_count = RsModel_MAX_SUCCESSION;
    slice->from_count = RsModel_MAX_FROM;
    for (int i = 0; i < RsModel_MAX_SUCCESSION; i++) {
        snprintf(slice->succession[i], sizeof(slice->succession[i]),
                 "t%d-%u-%d", round, index, i);
    }
    for (int i = 0; i < RsModel_MAX_FROM; i++) {
        snprintf(slice->from[i], sizeof(slice->from[i]), "f%d-%u-%d", round,
                 index, i);
    }
}

static void
put_rows(struct rs_mirror *mirror, int round)
{
    for (uint32_t row = 0; row < RsAssignment_CountRows(SLICES); row++) {
        struct rs_model_assignment slices[RsAssignment_SLICES_PER_ROW];
        char key[RsAssignment_KEY_BYTES];
        for (uint32_t i = 0; i < RsAssignment_SLICES_PER_ROW; i++) {
            fill_slice(&slices[i], row * RsAssignment_SLICES_PER_ROW + i,
                       round);
        }
        json_t *value =
            RsAssignment_Encode(slices, RsAssignment_SLICES_PER_ROW);
        char *text = json_dumps(value, JSON_COMPACT);
        RsAssignment_FormatKey(rule.name, row, key);
        RsMirror_Put(mirror, key, (uint64_t)round, text);
        free(text);
        json_decref(value);
    }
}

static void
check_slices(const struct rs_assignment_cache *cache,
             const struct rs_cached_rule *cached, int round)
{
    uint32_t equal = 0;
    for (uint32_t i = 0; i < SLICES; i++) {
        struct rs_model_assignment expected;
        struct rs_model_assignment found;
        fill_slice(&expected, i, round);
        RsAssignmentCache_Unpack(&cached->packed[i],
                                 RsAssignmentCache_Names(cache),
                                 expected.slice, &found);
        equal += RsAssignment_Equal(&expected, &found) ? 1 : 0;
    }
    CU_ASSERT_EQUAL(equal, SLICES);
}

/* Targets and cells are added and removed while a process runs. The names of
 * removed ones must not use up the numbers. */
static void
test_name_numbers_do_not_run_out(void)
{
    struct rs_assignment_cache *cache = RsAssignmentCache_New();
    struct rs_mirror *mirror = RsMirror_New();
    const char *first = NULL;
    for (int round = 1; round <= ROUNDS; round++) {
        put_rows(mirror, round);
        RsAssignmentCache_BeginSnapshot(cache);
        const struct rs_cached_rule *cached =
            RsAssignmentCache_UpdateRule(cache, mirror, &rule);
        check_slices(cache, cached, round);
        if (first == NULL) {
            first = RsAssignmentCache_Names(cache)[cached->packed[0].cell];
        }
    }
    CU_ASSERT_STRING_EQUAL(first, "c1-0");
    /* The names are renumbered once more, although no row has changed. */
    RsAssignmentCache_BeginSnapshot(cache);
    check_slices(cache, RsAssignmentCache_UpdateRule(cache, mirror, &rule),
                 ROUNDS);
    uint64_t decoded = RsAssignmentCache_RowsDecoded(cache);
    RsAssignmentCache_BeginSnapshot(cache);
    check_slices(cache, RsAssignmentCache_UpdateRule(cache, mirror, &rule),
                 ROUNDS);
    CU_ASSERT_EQUAL(RsAssignmentCache_RowsDecoded(cache), decoded);
    CU_ASSERT_EQUAL(RsAssignmentCache_NameCount(cache),
                    SLICES * NAMES_PER_SLICE);
    RsAssignmentCache_Free(cache);
    RsMirror_Free(mirror);
}

/* With more names than numbers, the slices whose names have no number are not
 * assigned. The other slices keep their assignments. */
static void
test_slices_whose_names_have_no_number_are_not_assigned(void)
{
    struct rs_assignment_cache *cache = RsAssignmentCache_New();
    struct rs_mirror *mirror = RsMirror_New();
    const struct rs_cached_rule *cached = NULL;
    for (int round = 1; round <= EXHAUSTED_ROUND; round++) {
        put_rows(mirror, round);
        cached = RsAssignmentCache_UpdateRule(cache, mirror, &rule);
    }
    struct rs_model_assignment found;
    RsAssignmentCache_Unpack(&cached->packed[0],
                             RsAssignmentCache_Names(cache), 0, &found);
    CU_ASSERT_STRING_EQUAL(found.cell, "c4-0");
    CU_ASSERT_EQUAL(cached->packed[SLICES - 1].epoch, 0);
    RsAssignmentCache_Free(cache);
    RsMirror_Free(mirror);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("assignment cache", NULL, NULL);
    CU_ADD_TEST(suite, test_name_numbers_do_not_run_out);
    CU_ADD_TEST(suite,
                test_slices_whose_names_have_no_number_are_not_assigned);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
