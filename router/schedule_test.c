#include <CUnit/Basic.h>

#include "core/log.h"
#include "router/schedule.h"

#define MAX_ITEMS 64

struct scenario {
    struct rs_schedule schedule;
    struct rs_schedule_item items[MAX_ITEMS];
    uint32_t count;
};

static void
open_scenario(struct scenario *scenario)
{
    *scenario = (struct scenario){0};
    RsSchedule_Init(&scenario->schedule);
}

static struct rs_schedule_item *
add(struct scenario *scenario, const char *workspace, uint32_t rank,
    int64_t due_ms)
{
    struct rs_schedule_item *item = &scenario->items[scenario->count++];
    *item = (struct rs_schedule_item){
        .service = g_intern_string("s"),
        .workspace = workspace != NULL ? g_intern_string(workspace) : NULL,
        .rank = rank,
        .due_ms = due_ms,
    };
    RsSchedule_Add(&scenario->schedule, item);
    return item;
}

/* Returns the item to be served next. */
static struct rs_schedule_item *
peek(struct scenario *scenario)
{
    if (!RsSchedule_BeginPass(&scenario->schedule)) {
        return NULL;
    }
    struct rs_schedule_item *first = RsSchedule_Next(&scenario->schedule);
    while (RsSchedule_Next(&scenario->schedule) != NULL) {
    }
    return first;
}

static struct rs_schedule_item *
take(struct scenario *scenario)
{
    struct rs_schedule_item *item = peek(scenario);
    RsSchedule_Take(&scenario->schedule, item);
    return item;
}

/* With one rank and no workspaces, the requests go by the end of their latency
 * target, and by their arrival if that is equal. */
static void
test_one_kind_is_ordered_by_the_latency_target(void)
{
    struct scenario scenario;
    open_scenario(&scenario);
    const struct rs_schedule_item *late = add(&scenario, NULL, 0, 300);
    const struct rs_schedule_item *first = add(&scenario, NULL, 0, 100);
    const struct rs_schedule_item *second = add(&scenario, NULL, 0, 100);
    CU_ASSERT_PTR_EQUAL(take(&scenario), first);
    CU_ASSERT_PTR_EQUAL(take(&scenario), second);
    CU_ASSERT_PTR_EQUAL(take(&scenario), late);
    CU_ASSERT_PTR_NULL(peek(&scenario));
    RsSchedule_Clear(&scenario.schedule);
}

/* Guards against urgent requests that wait behind others, and against others
 * that starve: each rank gets one in four turns while it waits. */
static void
test_ranks_take_turns(void)
{
    struct scenario scenario;
    uint32_t served[3] = {0};
    open_scenario(&scenario);
    for (uint32_t i = 0; i < 20; i++) {
        add(&scenario, NULL, 2, i);
        add(&scenario, NULL, 1, 100 + i);
        add(&scenario, NULL, 0, 1000 + i);
    }
    for (uint32_t i = 0; i < 16; i++) {
        uint32_t rank = take(&scenario)->rank;
        CU_ASSERT_TRUE(i >= 3 || rank == 0);
        served[rank]++;
    }
    CU_ASSERT_TRUE(served[0] >= 8);
    CU_ASSERT_TRUE(served[1] >= 3);
    CU_ASSERT_TRUE(served[2] >= 3);
    RsSchedule_Clear(&scenario.schedule);
}

/* Guards against a pass that promises another order than the one in which
 * items are taken one by one. */
static void
test_pass_is_in_the_order_of_service(void)
{
    struct scenario scenario;
    struct rs_schedule_item *order[30];
    open_scenario(&scenario);
    for (uint32_t i = 0; i < 30; i++) {
        add(&scenario, i % 4 == 0 ? "a" : "b", i % 3, i * 7 % 11);
    }
    CU_ASSERT_TRUE(RsSchedule_BeginPass(&scenario.schedule));
    for (uint32_t i = 0; i < 30; i++) {
        order[i] = RsSchedule_Next(&scenario.schedule);
        CU_ASSERT_PTR_NOT_NULL(order[i]);
    }
    CU_ASSERT_PTR_NULL(RsSchedule_Next(&scenario.schedule));
    for (uint32_t i = 0; i < 30; i++) {
        CU_ASSERT_PTR_EQUAL(take(&scenario), order[i]);
    }
    RsSchedule_Clear(&scenario.schedule);
}

/* Guards against a workspace whose many requests make others wait. */
static void
test_workspaces_take_turns(void)
{
    struct scenario scenario;
    uint32_t small = 0;
    open_scenario(&scenario);
    for (uint32_t i = 0; i < 20; i++) {
        add(&scenario, "large", 1, i);
    }
    for (uint32_t i = 0; i < 4; i++) {
        add(&scenario, "small", 1, 500 + i);
    }
    for (uint32_t i = 0; i < 8; i++) {
        small += take(&scenario)->workspace == g_intern_string("small");
    }
    CU_ASSERT_EQUAL(small, 4);
    RsSchedule_Clear(&scenario.schedule);
}

/* Guards against the use of a request that ended during the pass, and against
 * a second pass within the first. */
static void
test_items_may_end_during_a_pass(void)
{
    struct scenario scenario;
    open_scenario(&scenario);
    struct rs_schedule_item *first = add(&scenario, NULL, 0, 1);
    struct rs_schedule_item *second = add(&scenario, NULL, 0, 2);
    struct rs_schedule_item *third = add(&scenario, NULL, 0, 3);
    CU_ASSERT_TRUE(RsSchedule_BeginPass(&scenario.schedule));
    CU_ASSERT_FALSE(RsSchedule_BeginPass(&scenario.schedule));
    CU_ASSERT_PTR_EQUAL(RsSchedule_Next(&scenario.schedule), first);
    RsSchedule_Remove(&scenario.schedule, second);
    RsSchedule_Take(&scenario.schedule, first);
    add(&scenario, NULL, 0, 4);
    CU_ASSERT_PTR_EQUAL(RsSchedule_Next(&scenario.schedule), third);
    CU_ASSERT_PTR_NULL(RsSchedule_Next(&scenario.schedule));
    CU_ASSERT_EQUAL(scenario.schedule.count, 2);
    CU_ASSERT_TRUE(RsSchedule_BeginPass(&scenario.schedule));
    RsSchedule_Clear(&scenario.schedule);
}

/* Guards against an urgent request that is refused in place of others. */
static void
test_less_urgent_item_is_found(void)
{
    struct scenario scenario;
    open_scenario(&scenario);
    add(&scenario, NULL, 0, 1);
    CU_ASSERT_PTR_NULL(RsSchedule_FindLessUrgent(&scenario.schedule, 0));
    add(&scenario, NULL, 1, 1);
    add(&scenario, NULL, 2, 1);
    const struct rs_schedule_item *last = add(&scenario, NULL, 2, 9);
    CU_ASSERT_PTR_EQUAL(RsSchedule_FindLessUrgent(&scenario.schedule, 0),
                        last);
    CU_ASSERT_PTR_EQUAL(RsSchedule_FindLessUrgent(&scenario.schedule, 1),
                        last);
    CU_ASSERT_PTR_NULL(RsSchedule_FindLessUrgent(&scenario.schedule, 2));
    RsSchedule_Clear(&scenario.schedule);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("schedule", NULL, NULL);
    CU_ADD_TEST(suite, test_one_kind_is_ordered_by_the_latency_target);
    CU_ADD_TEST(suite, test_ranks_take_turns);
    CU_ADD_TEST(suite, test_pass_is_in_the_order_of_service);
    CU_ADD_TEST(suite, test_workspaces_take_turns);
    CU_ADD_TEST(suite, test_items_may_end_during_a_pass);
    CU_ADD_TEST(suite, test_less_urgent_item_is_found);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
