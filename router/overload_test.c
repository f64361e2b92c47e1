#include <CUnit/Basic.h>

#include "core/log.h"
#include "router/fixture.h"
#include "router/load.h"
#include "router/overload.h"

#define NOW_MS 100000
#define REQUESTS 3000
#define SERVICE_MS 100
#define RUNS_PER_S 20.0 /* of 2 slots */

struct scenario {
    struct rs_fleet fleet;
    struct rs_fleet_target *owner;
    struct rs_overload_mix mix;
    struct rs_overload_places places;
    GRand *random;
};

/* Requests of the ranks 0, 1 and 2 arrive in the proportion 1:1:2. */
static void
open_scenario(struct scenario *scenario, double demand_per_s)
{
    *scenario = (struct scenario){.random = g_rand_new_with_seed(3)};
    RsFleet_Init(&scenario->fleet, RsFixture_FleetEvents(), NULL);
    const struct rs_fixture_report report = {.id = "a",
                                             .service = "s",
                                             .zone = "z",
                                             .port = 1000,
                                             .started_wall_ms = 1,
                                             .sequence = 1};
    RsFixture_Report(&scenario->fleet, &report, NOW_MS);
    scenario->owner = RsFleet_Find(&scenario->fleet, g_intern_string("a"));
    scenario->owner->service_ms = SERVICE_MS;
    scenario->owner->demand_per_s = demand_per_s;
    scenario->owner->demand_at_ms = NOW_MS;
    scenario->places =
        (struct rs_overload_places){.reserved = 10, .taken = 10};
    for (uint32_t i = 0; i < REQUESTS; i++) {
        static const uint32_t ranks[] = {0, 2, 1, 2};
        RsOverload_Count(&scenario->mix, ranks[i % 4], NOW_MS);
    }
}

static void
close_scenario(struct scenario *scenario)
{
    g_rand_free(scenario->random);
    RsFleet_Clear(&scenario->fleet);
}

static double
admitted_share(struct scenario *scenario, uint32_t rank, int64_t now_ms)
{
    uint32_t admitted = 0;
    for (uint32_t i = 0; i < REQUESTS; i++) {
        admitted += RsOverload_Admit(scenario->owner, &scenario->mix,
                                     &scenario->places, rank, scenario->random,
                                     now_ms);
    }
    return (double)admitted / REQUESTS;
}

/* Returns which part of the requests is admitted at once or by a place. */
static double
admitted_or_placed_share(struct scenario *scenario, uint32_t rank)
{
    uint32_t admitted = 0;
    for (uint32_t i = 0; i < REQUESTS; i++) {
        admitted += RsOverload_Admit(scenario->owner, &scenario->mix,
                                     &scenario->places, rank, scenario->random,
                                     NOW_MS) ||
                    RsOverload_DrawPlace(scenario->owner, &scenario->mix, rank,
                                         1000, scenario->random, NOW_MS)
                        .reserved;
    }
    return (double)admitted / REQUESTS;
}

/* Guards against refusals on outdated demand, which no longer says anything
 * about the load, and at targets that warm up. */
static void
test_all_are_admitted_without_known_overload(void)
{
    struct scenario scenario;
    open_scenario(&scenario, 0);
    CU_ASSERT_EQUAL(admitted_share(&scenario, 2, NOW_MS), 1);
    scenario.owner->demand_per_s = 4 * RUNS_PER_S;
    CU_ASSERT_TRUE(admitted_or_placed_share(&scenario, 2) < 0.5);
    CU_ASSERT_EQUAL(admitted_share(&scenario, 2, NOW_MS + 1001), 1);
    scenario.owner->cold_until_ms = NOW_MS + 1;
    CU_ASSERT_EQUAL(admitted_share(&scenario, 2, NOW_MS), 1);
    close_scenario(&scenario);
}

/* Guards against a rank that gets more than a less urgent one leaves to it,
 * and against one that gets nothing. Half of the requests can be run: rank 0
 * is admitted, rank 1 gets what is left but for the least part of rank 2. */
static void
test_urgent_ranks_use_the_share_first(void)
{
    struct scenario scenario;
    open_scenario(&scenario, 0);
    CU_ASSERT_DOUBLE_EQUAL(RsOverload_ShareOfRank(&scenario.mix, 0, 0.5), 1,
                           0.001);
    CU_ASSERT_DOUBLE_EQUAL(RsOverload_ShareOfRank(&scenario.mix, 1, 0.5), 0.75,
                           0.001);
    CU_ASSERT_DOUBLE_EQUAL(RsOverload_ShareOfRank(&scenario.mix, 2, 0.5),
                           0.125, 0.001);
    for (uint32_t percent = 1; percent <= 100; percent++) {
        double share = percent / 100.0;
        double sum = 0;
        for (uint32_t rank = 0; rank < 3; rank++) {
            double own = RsOverload_ShareOfRank(&scenario.mix, rank, share);
            CU_ASSERT_TRUE(own >= 0.25 * share - 1e-9 && own <= 1 + 1e-9);
            sum += own * (rank == 2 ? 0.5 : 0.25);
        }
        CU_ASSERT_DOUBLE_EQUAL(sum, share, 0.001);
    }
    close_scenario(&scenario);
}

/* Guards against admission that begins only far above the capacity, and
 * against more places than the owner has room for. */
static void
test_admitted_rate_is_what_the_owner_can_run(void)
{
    static const double factors[] = {1.3, 1.6, 2, 5};
    for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
        struct scenario scenario;
        double demand_per_s = factors[i] * RUNS_PER_S;
        open_scenario(&scenario, demand_per_s);
        double sum = (admitted_or_placed_share(&scenario, 0) +
                      admitted_or_placed_share(&scenario, 1) +
                      2 * admitted_or_placed_share(&scenario, 2)) /
                     4;
        /* Guards against admission without regard to the rank. With a low
         * share the ranks 1 and 2 both get their least part. */
        double last = admitted_or_placed_share(&scenario, 2);
        CU_ASSERT_TRUE(admitted_or_placed_share(&scenario, 0) > last + 0.1);
        CU_ASSERT_TRUE(admitted_or_placed_share(&scenario, 1) > last - 0.03);
        CU_ASSERT_TRUE(sum * demand_per_s >= 1.15 * RUNS_PER_S);
        CU_ASSERT_TRUE(sum * demand_per_s <= 1.25 * RUNS_PER_S);
        close_scenario(&scenario);
    }
}

/* Guards against requests that fill the owner's queue until answers are late,
 * and against a slow owner that gets none. */
static void
test_room_depends_on_the_latency_target(void)
{
    struct scenario scenario;
    open_scenario(&scenario, 2 * RUNS_PER_S);
    struct rs_overload_request request = {.rank = 2,
                                          .arrived_at_ms = NOW_MS,
                                          .admitted_at_ms = NOW_MS,
                                          .latency_target_ms = 400,
                                          .wait_until_ms = NOW_MS + 400};
    struct rs_fleet_target *owner = scenario.owner;
    const struct rs_overload_mix *mix = &scenario.mix;
    /* With 4 others, the answer is expected after 250 ms, less than 0.65 of
     * the target. */
    owner->in_flight = 4;
    CU_ASSERT_TRUE(RsOverload_HasRoom(owner, mix, &request, NOW_MS));
    CU_ASSERT_FALSE(RsOverload_HasRoom(owner, mix, &request, NOW_MS + 11));
    owner->in_flight = 5;
    CU_ASSERT_FALSE(RsOverload_HasRoom(owner, mix, &request, NOW_MS));
    request.rank = 0;
    CU_ASSERT_TRUE(RsOverload_HasRoom(owner, mix, &request, NOW_MS));
    owner->in_flight = 6;
    request.latency_target_ms = 60000;
    CU_ASSERT_FALSE(RsOverload_HasRoom(owner, mix, &request, NOW_MS));
    owner->service_ms = 5000;
    owner->in_flight = 1;
    request.latency_target_ms = 400;
    CU_ASSERT_TRUE(RsOverload_HasRoom(owner, mix, &request, NOW_MS));
    owner->full_until_ms = NOW_MS + 1;
    CU_ASSERT_FALSE(RsOverload_HasRoom(owner, mix, &request, NOW_MS));
    close_scenario(&scenario);
}

/* Guards against waits that end only after the answer could be in time, and
 * against shorter waits without overload, as during a handover. */
static void
test_waits_at_an_overloaded_owner_are_short(void)
{
    struct scenario scenario;
    open_scenario(&scenario, 2 * RUNS_PER_S);
    struct rs_overload_request request = {.arrived_at_ms = NOW_MS - 300,
                                          .admitted_at_ms = NOW_MS,
                                          .latency_target_ms = 400,
                                          .wait_until_ms = NOW_MS + 100};
    CU_ASSERT_EQUAL(RsOverload_WaitUntilMs(scenario.owner, &request, NOW_MS),
                    NOW_MS + 60);
    request.wait_until_ms = NOW_MS + 10;
    CU_ASSERT_EQUAL(RsOverload_WaitUntilMs(scenario.owner, &request, NOW_MS),
                    NOW_MS + 10);
    request.wait_until_ms = NOW_MS + 100;
    scenario.owner->demand_per_s = 0;
    CU_ASSERT_EQUAL(RsOverload_WaitUntilMs(scenario.owner, &request, NOW_MS),
                    NOW_MS + 100);
    CU_ASSERT_TRUE(
        RsOverload_IsTooLate(scenario.owner, NOW_MS + SERVICE_MS - 1, NOW_MS));
    CU_ASSERT_FALSE(
        RsOverload_IsTooLate(scenario.owner, NOW_MS + SERVICE_MS, NOW_MS));
    close_scenario(&scenario);
}

/* Guards against an owner that is idle for callers who don't come back. */
static void
test_nothing_is_kept_for_callers_who_stay_away(void)
{
    struct scenario scenario;
    open_scenario(&scenario, 10 * RUNS_PER_S);
    scenario.mix = (struct rs_overload_mix){0};
    RsOverload_Count(&scenario.mix, 0, NOW_MS);
    CU_ASSERT_TRUE(admitted_share(&scenario, 0, NOW_MS) < 0.075);
    scenario.places.taken = 0;
    CU_ASSERT_DOUBLE_EQUAL(admitted_share(&scenario, 0, NOW_MS), 0.12, 0.005);
    close_scenario(&scenario);
}

/* Guards against times to come back that are not true: those without a place
 * are told the end of their time, the others a time for which callers wait. */
static void
test_refused_callers_are_told_a_true_time(void)
{
    struct scenario scenario;
    open_scenario(&scenario, 3 * RUNS_PER_S);
    uint32_t reserved = 0;
    for (uint32_t i = 0; i < REQUESTS; i++) {
        struct rs_overload_place place = RsOverload_DrawPlace(
            scenario.owner, &scenario.mix, 1, 900, scenario.random, NOW_MS);
        reserved += place.reserved;
        if (place.reserved) {
            CU_ASSERT_TRUE(place.back_at_ms > NOW_MS);
            CU_ASSERT_TRUE(place.back_at_ms <= NOW_MS + 300);
        }
        else {
            CU_ASSERT_EQUAL(place.back_at_ms, NOW_MS + 900);
        }
    }
    CU_ASSERT_TRUE(reserved > 0 && reserved < REQUESTS);
    close_scenario(&scenario);
}

/* Guards against callers who are refused although they came when they were
 * told to, against one place that is used twice, and against places that are
 * kept forever. */
static void
test_places_are_taken_once_and_not_too_early(void)
{
    struct rs_overload_places places;
    const struct rs_overload_place place = {NOW_MS + 500, true};
    const struct rs_overload_place none = {NOW_MS + 900, false};
    RsOverload_InitPlaces(&places);
    CU_ASSERT_FALSE(RsOverload_HasPlaces(&places));
    CU_ASSERT_FALSE(RsOverload_RecordPlace(&places, 1, &place, NOW_MS));
    CU_ASSERT_FALSE(RsOverload_RecordPlace(&places, 2, &none, NOW_MS));
    CU_ASSERT_TRUE(RsOverload_HasPlaces(&places));
    CU_ASSERT_FALSE(RsOverload_TakePlace(&places, 1, NOW_MS + 400));
    CU_ASSERT_FALSE(RsOverload_TakePlace(&places, 2, NOW_MS + 900));
    CU_ASSERT_FALSE(RsOverload_TakePlace(&places, 3, NOW_MS + 900));
    CU_ASSERT_TRUE(RsOverload_TakePlace(&places, 1, NOW_MS + 500));
    CU_ASSERT_FALSE(RsOverload_TakePlace(&places, 1, NOW_MS + 510));
    CU_ASSERT_TRUE(RsOverload_RecordPlace(&places, 1, &none, NOW_MS + 520));
    CU_ASSERT_FALSE(RsOverload_RecordPlace(&places, 1, &none, NOW_MS + 5000));
    CU_ASSERT_FALSE(RsOverload_TakePlace(&places, 2, NOW_MS + 9000));
    CU_ASSERT_FALSE(RsOverload_HasPlaces(&places));
    RsOverload_ClearPlaces(&places);
}

/* Two callers whose requests are alike have two places. */
static void
test_like_requests_have_a_place_each(void)
{
    struct rs_overload_places places;
    const struct rs_overload_place first = {NOW_MS + 500, true};
    const struct rs_overload_place second = {NOW_MS + 300, true};
    RsOverload_InitPlaces(&places);
    RsOverload_RecordPlace(&places, 1, &first, NOW_MS);
    RsOverload_RecordPlace(&places, 1, &second, NOW_MS);
    CU_ASSERT_TRUE(RsOverload_TakePlace(&places, 1, NOW_MS + 300));
    CU_ASSERT_TRUE(RsOverload_TakePlace(&places, 1, NOW_MS + 500));
    CU_ASSERT_FALSE(RsOverload_TakePlace(&places, 1, NOW_MS + 600));
    RsOverload_ClearPlaces(&places);
}

/* Guards against memory that grows with the number of refused callers. */
static void
test_number_of_places_is_limited(void)
{
    struct rs_overload_places places;
    const struct rs_overload_place place = {NOW_MS + 500, true};
    RsOverload_InitPlaces(&places);
    for (uint64_t i = 1; i <= 10000; i++) {
        RsOverload_RecordPlace(&places, i, &place, NOW_MS);
    }
    CU_ASSERT_TRUE(g_hash_table_size(places.newer) +
                       g_hash_table_size(places.older) <=
                   4000);
    RsOverload_ClearPlaces(&places);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("overload", NULL, NULL);
    CU_ADD_TEST(suite, test_all_are_admitted_without_known_overload);
    CU_ADD_TEST(suite, test_urgent_ranks_use_the_share_first);
    CU_ADD_TEST(suite, test_admitted_rate_is_what_the_owner_can_run);
    CU_ADD_TEST(suite, test_room_depends_on_the_latency_target);
    CU_ADD_TEST(suite, test_waits_at_an_overloaded_owner_are_short);
    CU_ADD_TEST(suite, test_nothing_is_kept_for_callers_who_stay_away);
    CU_ADD_TEST(suite, test_refused_callers_are_told_a_true_time);
    CU_ADD_TEST(suite, test_places_are_taken_once_and_not_too_early);
    CU_ADD_TEST(suite, test_like_requests_have_a_place_each);
    CU_ADD_TEST(suite, test_number_of_places_is_limited);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
