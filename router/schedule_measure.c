/* Prints the mean time that the schedule and the admission control of owners
 * take for one request, for some numbers of waiting requests. */

#include <stdio.h>

#include "core/clock.h"
#include "router/overload.h"
#include "router/schedule.h"

#define MAX_ITEMS 400
#define ROUNDS 2000
#define ADMISSIONS 1000000
#define NS_PER_US 1000.0
#define RANKS 3
#define WORKSPACES 73

static struct rs_schedule_item items[MAX_ITEMS];

static void
add(struct rs_schedule *schedule, uint32_t i, bool mixed, GRand *random)
{
    static char names[WORKSPACES];
    items[i] = (struct rs_schedule_item){
        .service = g_intern_static_string("s"),
        .workspace =
            mixed ? &names[g_rand_int_range(random, 0, WORKSPACES)] : NULL,
        .rank = mixed ? (uint32_t)g_rand_int_range(random, 0, RANKS) : 0,
        .due_ms = g_rand_int_range(random, 0, 1000),
    };
    RsSchedule_Add(schedule, &items[i]);
}

/* Measures the arrival and the end of a request while `waiting` others wait,
 * and a pass over all of them. */
static void
measure_schedule(uint32_t waiting, bool mixed)
{
    struct rs_schedule schedule;
    GRand *random = g_rand_new_with_seed(5);
    int64_t pass_us = 0;
    RsSchedule_Init(&schedule);
    for (uint32_t i = 0; i < waiting; i++) {
        add(&schedule, i, mixed, random);
    }
    int64_t start_us = RsClock_NowUs();
    for (uint32_t i = 0; i < ROUNDS; i++) {
        RsSchedule_Take(&schedule, &items[i % waiting]);
        add(&schedule, i % waiting, mixed, random);
    }
    int64_t change_us = RsClock_NowUs() - start_us;
    start_us = RsClock_NowUs();
    for (uint32_t i = 0; i < ROUNDS; i++) {
        RsSchedule_BeginPass(&schedule);
        while (RsSchedule_Next(&schedule) != NULL) {
        }
    }
    pass_us = RsClock_NowUs() - start_us;
    printf("| %u | %s | %.0f | %.0f |\n", waiting, mixed ? "yes" : "no",
           (double)change_us * NS_PER_US / ROUNDS,
           (double)pass_us * NS_PER_US / ROUNDS / waiting);
    RsSchedule_Clear(&schedule);
    g_rand_free(random);
}

static void
measure_admission(double demand_per_s)
{
    struct rs_fleet_target owner = {
        .report = {.slots = 6},
        .service_ms = 260,
        .demand_per_s = demand_per_s,
    };
    struct rs_overload_mix mix = {0};
    const struct rs_overload_places places = {0};
    GRand *random = g_rand_new_with_seed(5);
    uint32_t admitted = 0;
    int64_t start_us = RsClock_NowUs();
    for (uint32_t i = 0; i < ADMISSIONS; i++) {
        RsOverload_Count(&mix, i % RANKS, i / RANKS);
        admitted +=
            RsOverload_Admit(&owner, &mix, &places, i % RANKS, random, 0);
    }
    int64_t spent_us = RsClock_NowUs() - start_us;
    printf("| %.0f | %.0f%% | %.0f |\n", demand_per_s,
           100.0 * admitted / ADMISSIONS,
           (double)spent_us * NS_PER_US / ADMISSIONS);
    g_rand_free(random);
}

int
main(void)
{
    printf("| waiting | ranks and workspaces | ns an arrival and end | ns a "
           "request and pass |\n|---|---|---|---|\n");
    static const uint32_t counts[] = {1, 10, 100, MAX_ITEMS};
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        measure_schedule(counts[i], false);
        measure_schedule(counts[i], true);
    }
    printf("\n| demand of an owner, requests/s | admitted | ns a request |\n"
           "|---|---|---|\n");
    measure_admission(0);
    measure_admission(46);
    return 0;
}
