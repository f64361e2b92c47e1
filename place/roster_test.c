#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "core/id.h"
#include "place/cell_name.h"
#include "place/names.h"
#include "place/roster.h"
#include "place/preferred_holder.h"

#define PROMISES_EXPIRE_AFTER_MS 1000
#define SILENT_AFTER_MS 300
#define REPLACE_AFTER_MS 5000
#define MAX_VMS 20

static struct rs_roster_vm vms[MAX_VMS];
static struct rs_roster_row rows[RsRoster_MAX_CELLS];
static struct rs_roster_options options;

static void
open_domain(void)
{
    memset(vms, 0, sizeof(vms));
    memset(rows, 0, sizeof(rows));
    options = (struct rs_roster_options){
        .domain = "d",
        .vms = vms,
        .rows = rows,
        .promises_expire_after_ms = PROMISES_EXPIRE_AFTER_MS,
        .silent_after_ms = SILENT_AFTER_MS,
        .replace_after_ms = REPLACE_AFTER_MS,
    };
}

static void
add_vms(size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct rs_roster_vm *vm = &vms[options.vm_count++];
        snprintf(vm->name, sizeof(vm->name), "vm%02zu", options.vm_count);
        vm->heard_at_ms = options.now_ms;
        memcpy(vm->cell, "d/0", sizeof("d/0"));
    }
}

/* Advances the time, and sets the last heartbeat of each VM to the new time.
 */
static void
advance_time(int64_t duration_ms)
{
    options.now_ms += duration_ms;
    for (size_t i = 0; i < options.vm_count; i++) {
        vms[i].heard_at_ms = options.now_ms;
    }
}

static void
remove_vm(size_t index)
{
    vms[index].state = RsRoster_GONE;
    vms[index].gone_at_ms = options.now_ms;
}

/* Decides the next row of a cell and stores it in `rows`. Returns false when
 * the row stays as it is, or the cell is not to be created. */
static bool
apply_next_row(uint32_t number)
{
    struct rs_roster_row next;
    if (!RsRoster_DecideNextRow(&options, number, &next)) {
        return false;
    }
    CU_ASSERT_EQUAL(next.version, rows[number].version + 1);
    rows[number] = next;
    options.row_count += number == options.row_count ? 1 : 0;
    return true;
}

/* Lets all VMs that are not gone acknowledge the row that lists them. */
static void
acknowledge_all(void)
{
    for (size_t i = 0; i < options.vm_count; i++) {
        for (size_t j = 0; j < options.row_count; j++) {
            const struct rs_roster_row *row = &rows[j];
            bool member =
                RsNames_Contain(row->members, row->member_count,
                                vms[i].name) ||
                RsNames_Contain(row->former, row->former_count, vms[i].name);
            if (member && vms[i].state != RsRoster_GONE) {
                memcpy(vms[i].cell, row->cell, RsModel_NAME_BYTES);
                vms[i].acknowledged = row->version;
            }
        }
    }
}

/* Applies changes and acknowledgements until no cell changes any more. */
static void
run_until_stable(void)
{
    size_t unchanged = 0;
    for (uint32_t i = 0; unchanged <= options.row_count && i < 1000; i++) {
        acknowledge_all();
        bool changed = apply_next_row(i % (uint32_t)(options.row_count + 1));
        unchanged = changed ? 0 : unchanged + 1;
    }
    CU_ASSERT(unchanged > options.row_count);
}

static void
test_first_row_lists_the_live_vms(void)
{
    CU_ASSERT(!apply_next_row(0));
    add_vms(4);
    vms[1].state = RsRoster_LEAVING;
    vms[2].heard_at_ms = INT64_MIN;
    CU_ASSERT(!apply_next_row(1));
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT_STRING_EQUAL(rows[0].cell, "d/0");
    CU_ASSERT_STRING_EQUAL(rows[0].domain, "d");
    CU_ASSERT_EQUAL(rows[0].member_count, 3);
    CU_ASSERT_STRING_EQUAL(rows[0].members[0], "vm01");
    CU_ASSERT_STRING_EQUAL(rows[0].members[1], "vm03");
    CU_ASSERT_STRING_EQUAL(rows[0].members[2], "vm04");
    CU_ASSERT_EQUAL(rows[0].former_count, 0);
}

static void
test_change_ends_when_most_former_members_acknowledged(void)
{
    add_vms(3);
    apply_next_row(0);
    add_vms(1);
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT_EQUAL(rows[0].member_count, 4);
    CU_ASSERT_EQUAL(rows[0].former_count, 3);
    vms[0].acknowledged = 2;
    vms[1].acknowledged = 1;
    vms[3].acknowledged = 2;
    add_vms(1);
    CU_ASSERT(!apply_next_row(0));
    vms[1].acknowledged = 2;
    vms[1].cell[2] = '1';
    CU_ASSERT(!apply_next_row(0));
    vms[1].cell[2] = '0';
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT_EQUAL(rows[0].former_count, 0);
    CU_ASSERT_EQUAL(rows[0].member_count, 4);
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT_EQUAL(rows[0].member_count, 5);
}

static void
test_former_members_gone_long_enough_need_not_acknowledge(void)
{
    add_vms(3);
    apply_next_row(0);
    remove_vm(0);
    remove_vm(1);
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT_EQUAL(rows[0].member_count, 1);
    CU_ASSERT_EQUAL(rows[0].former_count, 3);
    advance_time(PROMISES_EXPIRE_AFTER_MS - 1);
    CU_ASSERT(!apply_next_row(0));
    advance_time(1);
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT_EQUAL(rows[0].former_count, 0);
}

static void
test_change_after_a_long_loss_lists_no_former_members(void)
{
    add_vms(3);
    apply_next_row(0);
    remove_vm(0);
    remove_vm(1);
    advance_time(PROMISES_EXPIRE_AFTER_MS);
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT_EQUAL(rows[0].former_count, 0);
}

static void
test_change_waits_for_members_of_unknown_state(void)
{
    add_vms(3);
    apply_next_row(0);
    strcpy(vms[0].name, "vm08");
    strcpy(vms[1].name, "vm09");
    CU_ASSERT(apply_next_row(0));
    advance_time(10 * PROMISES_EXPIRE_AFTER_MS);
    CU_ASSERT(!apply_next_row(0));
}

static void
test_silent_member_stays_unless_replaced(void)
{
    add_vms(4);
    vms[3].state = RsRoster_GONE;
    apply_next_row(0);
    advance_time(REPLACE_AFTER_MS);
    vms[2].heard_at_ms = 1;
    CU_ASSERT(!apply_next_row(0));
    vms[3].state = RsRoster_LIVE;
    vms[3].heard_at_ms = options.now_ms - SILENT_AFTER_MS;
    CU_ASSERT(!apply_next_row(0));
    vms[3].heard_at_ms = options.now_ms;
    vms[1].heard_at_ms = 0;
    vms[2].heard_at_ms = 0;
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT_EQUAL(rows[0].member_count, 3);
    CU_ASSERT_STRING_EQUAL(rows[0].members[1], "vm02");
    CU_ASSERT_STRING_EQUAL(rows[0].members[2], "vm04");
}

static void
test_leaving_member_is_removed_unless_it_is_the_last(void)
{
    add_vms(2);
    apply_next_row(0);
    vms[0].state = RsRoster_LEAVING;
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT_EQUAL(rows[0].member_count, 1);
    run_until_stable();
    vms[1].state = RsRoster_LEAVING;
    CU_ASSERT(!apply_next_row(0));
}

static void
test_many_vms_form_stable_cells(void)
{
    add_vms(13);
    run_until_stable();
    CU_ASSERT_EQUAL(options.row_count, 3);
    for (size_t i = 0; i < options.row_count; i++) {
        CU_ASSERT(rows[i].member_count >= RsRoster_MIN_MEMBERS);
    }
    struct rs_roster_row kept = rows[0];
    add_vms(1);
    run_until_stable();
    CU_ASSERT_EQUAL(memcmp(&kept, &rows[0], sizeof(kept)), 0);
    add_vms(2);
    run_until_stable();
    CU_ASSERT_EQUAL(options.row_count, 3);
    CU_ASSERT_EQUAL(memcmp(&kept, &rows[0], sizeof(kept)), 0);
}

static void
test_no_vm_is_in_two_cells(void)
{
    add_vms(15);
    run_until_stable();
    for (size_t i = 0; i < 15; i++) {
        size_t cells = 0;
        for (size_t j = 0; j < options.row_count; j++) {
            for (size_t k = 0; k < rows[j].member_count; k++) {
                cells += strcmp(rows[j].members[k], vms[i].name) == 0 ? 1 : 0;
            }
        }
        CU_ASSERT_EQUAL(cells, 1);
    }
}

/* Removes the VMs of the last `count` members of a cell from the list. */
static void
remove_vms_of_last_members(uint32_t number, size_t count)
{
    const struct rs_roster_row row = rows[number];
    for (size_t i = 0; i < options.vm_count; i++) {
        for (size_t j = row.member_count - count; j < row.member_count; j++) {
            if (strcmp(row.members[j], vms[i].name) == 0) {
                remove_vm(i);
            }
        }
    }
}

static void
test_small_cell_gets_a_member_of_the_largest(void)
{
    add_vms(14);
    run_until_stable();
    remove_vms_of_last_members(0, 1);
    remove_vms_of_last_members(2, 3);
    advance_time(PROMISES_EXPIRE_AFTER_MS);
    CU_ASSERT(apply_next_row(2));
    CU_ASSERT(apply_next_row(0));
    acknowledge_all();
    CU_ASSERT(apply_next_row(0));
    CU_ASSERT(!apply_next_row(0));
    CU_ASSERT(apply_next_row(1));
    CU_ASSERT_EQUAL(rows[1].member_count, 4);
    /* The released VM belongs to its former cell until the change ends. */
    CU_ASSERT(!apply_next_row(2));
    run_until_stable();
    CU_ASSERT_EQUAL(rows[0].member_count, 3);
    CU_ASSERT_EQUAL(rows[1].member_count, 4);
    CU_ASSERT_EQUAL(rows[2].member_count, 3);
}

static void
test_cell_with_a_change_under_way_gets_no_spare_vm(void)
{
    add_vms(8);
    run_until_stable();
    remove_vms_of_last_members(0, 3);
    CU_ASSERT(apply_next_row(0));
    add_vms(1);
    CU_ASSERT(apply_next_row(1));
    CU_ASSERT_EQUAL(rows[1].member_count, 4);
}

static void
test_cell_is_gone_when_all_its_vms_are_gone(void)
{
    add_vms(2);
    run_until_stable();
    remove_vm(0);
    advance_time(PROMISES_EXPIRE_AFTER_MS);
    CU_ASSERT(!RsRoster_IsCellGone(&options, &rows[0]));
    remove_vm(1);
    advance_time(PROMISES_EXPIRE_AFTER_MS - 1);
    CU_ASSERT(!RsRoster_IsCellGone(&options, &rows[0]));
    advance_time(1);
    CU_ASSERT(RsRoster_IsCellGone(&options, &rows[0]));
    add_vms(1);
    memcpy(rows[0].former[0], vms[2].name, RsModel_NAME_BYTES);
    rows[0].former_count = 1;
    CU_ASSERT(!RsRoster_IsCellGone(&options, &rows[0]));
}

static void
test_new_cell_moves_no_targets_between_old_cells(void)
{
    size_t moved = 0;
    size_t counts[3] = {0};
    for (uint32_t i = 0; i < 3; i++) {
        RsCellName_Format("d", i, rows[i].cell);
    }
    for (size_t i = 0; i < 300; i++) {
        char target[RsModel_NAME_BYTES];
        snprintf(target, sizeof(target), "t%zu", i);
        size_t with_two = RsRoster_CellOfTarget(target, rows, 2);
        size_t with_three = RsRoster_CellOfTarget(target, rows, 3);
        CU_ASSERT(with_three == with_two || with_three == 2);
        moved += with_three == with_two ? 0 : 1;
        counts[with_three]++;
    }
    CU_ASSERT(moved > 70 && moved < 130);
    CU_ASSERT(counts[0] > 70 && counts[1] > 70);
}

static void
test_preferred_holder_stays_unless_that_member_is_removed(void)
{
    static const uint64_t live[] = {11, 22, 33};
    size_t counts[3] = {0};
    CU_ASSERT_EQUAL(RsPreferredHolder_OfTarget(5, live, 0),
                    RsPreferredHolder_NONE);
    for (uint64_t target = 1; target <= 300; target++) {
        uint64_t with_three = RsPreferredHolder_OfTarget(target, live, 3);
        uint64_t with_two = RsPreferredHolder_OfTarget(target, live, 2);
        CU_ASSERT(with_three == with_two || with_three == 33);
        counts[with_three / 11 - 1]++;
    }
    CU_ASSERT(counts[0] > 70 && counts[1] > 70 && counts[2] > 70);
}

static void
test_likely_holder_of_a_slice_is_preferred_holder_of_its_owner(void)
{
    static const uint64_t live[] = {11, 22, 33};
    struct rs_model_assignment row = {.succession = {"t1", "t2"}};
    CU_ASSERT_EQUAL(RsPreferredHolder_OfSlice(&row, 0, live, 3),
                    RsPreferredHolder_NONE);
    row.succession_count = 2;
    for (size_t i = 0; i < 2; i++) {
        uint64_t target = RsId_FromName(row.succession[i]);
        CU_ASSERT_EQUAL(RsPreferredHolder_OfSlice(&row, i, live, 3),
                        RsPreferredHolder_OfTarget(target, live, 3));
    }
}

static void
test_row_round_trip(void)
{
    char key[RsRoster_KEY_BYTES];
    char cell[RsModel_NAME_BYTES];
    struct rs_roster_row row;
    struct rs_cell_roster roster;
    add_vms(3);
    run_until_stable();
    add_vms(1);
    apply_next_row(0);
    json_t *value = RsRoster_Encode(&rows[0]);
    RsRoster_FormatKey(rows[0].cell, key);
    CU_ASSERT_STRING_EQUAL(key, "cell/d/0");
    CU_ASSERT_EQUAL(RsRoster_ParseKey(key, cell), 0);
    CU_ASSERT_EQUAL(RsRoster_Decode(value, cell, &row), 0);
    CU_ASSERT_EQUAL(memcmp(&row, &rows[0], sizeof(row)), 0);
    CU_ASSERT_EQUAL(RsRoster_Decode(value, "e/0", &row), RsRoster_BAD_VALUE);
    json_decref(value);
    RsRoster_ToCellRoster(&rows[0], &roster);
    CU_ASSERT_EQUAL(roster.version, rows[0].version);
    CU_ASSERT_EQUAL(roster.member_count, 4);
    CU_ASSERT_EQUAL(roster.former_count, 3);
    CU_ASSERT_EQUAL(roster.members[3], RsId_FromName("vm04"));
    CU_ASSERT_EQUAL(roster.former[2], RsId_FromName("vm03"));
}

static void
test_invalid_rows_are_rejected(void)
{
    static const char *const keys[] = {"cell/",    "cell/d",     "cell//0",
                                       "cell/d/",  "cell/d/00",  "cell/d/0x",
                                       "cell/D/0", "cell/d/100", "dell/d/0"};
    static const struct {
        int expected;
        const char *value;
    } cases[] = {
        {RsRoster_BAD_VALUE, "[]"},
        {RsRoster_BAD_VALUE, "{\"version\":0,\"domain\":\"d\","
                             "\"members\":[\"a\"],\"former\":[]}"},
        {RsRoster_BAD_VALUE, "{\"version\":1,\"domain\":\"d\",\"x\":1,"
                             "\"members\":[\"a\"],\"former\":[]}"},
        {RsRoster_BAD_MEMBERS, "{\"version\":1,\"domain\":\"d\","
                               "\"members\":[],\"former\":[]}"},
        {RsRoster_BAD_MEMBERS, "{\"version\":1,\"domain\":\"d\","
                               "\"members\":[\"a/b\"],\"former\":[]}"},
        {RsRoster_BAD_FORMER, "{\"version\":1,\"domain\":\"d\","
                              "\"members\":[\"a\"],\"former\":[\"b\",\"b\"]}"},
    };
    char cell[RsModel_NAME_BYTES];
    struct rs_roster_row row;
    for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
        CU_ASSERT_EQUAL(RsRoster_ParseKey(keys[i], cell), RsRoster_BAD_KEY);
    }
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        json_t *value = json_loads(cases[i].value, 0, NULL);
        CU_ASSERT_EQUAL(RsRoster_Decode(value, "d/0", &row),
                        cases[i].expected);
        json_decref(value);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite_with_setup_and_teardown(
        "roster", NULL, NULL, open_domain, NULL);
    CU_ADD_TEST(suite, test_first_row_lists_the_live_vms);
    CU_ADD_TEST(suite, test_change_ends_when_most_former_members_acknowledged);
    CU_ADD_TEST(suite,
                test_former_members_gone_long_enough_need_not_acknowledge);
    CU_ADD_TEST(suite, test_change_after_a_long_loss_lists_no_former_members);
    CU_ADD_TEST(suite, test_change_waits_for_members_of_unknown_state);
    CU_ADD_TEST(suite, test_silent_member_stays_unless_replaced);
    CU_ADD_TEST(suite, test_leaving_member_is_removed_unless_it_is_the_last);
    CU_ADD_TEST(suite, test_many_vms_form_stable_cells);
    CU_ADD_TEST(suite, test_no_vm_is_in_two_cells);
    CU_ADD_TEST(suite, test_small_cell_gets_a_member_of_the_largest);
    CU_ADD_TEST(suite, test_cell_with_a_change_under_way_gets_no_spare_vm);
    CU_ADD_TEST(suite, test_cell_is_gone_when_all_its_vms_are_gone);
    CU_ADD_TEST(suite, test_new_cell_moves_no_targets_between_old_cells);
    CU_ADD_TEST(suite,
                test_preferred_holder_stays_unless_that_member_is_removed);
    CU_ADD_TEST(
        suite, test_likely_holder_of_a_slice_is_preferred_holder_of_its_owner);
    CU_ADD_TEST(suite, test_row_round_trip);
    CU_ADD_TEST(suite, test_invalid_rows_are_rejected);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
