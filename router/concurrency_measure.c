/* Measures what learning the speed of targets costs a router node: time for a
 * sample, for a decision and for a refresh of all targets, memory, and the
 * bytes in reports. Prints a table. */

#include <stdio.h>
#include <stdlib.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/fixture.h"
#include "router/load.h"
#include "router/peer.pb-c.h"

#define TARGETS 2625 /* at 3,500 nodes, see docs/CAPACITY.md */
#define KINDS 4
#define ROUNDS 400
#define NS_PER_US 1000.0
#define WORK_MS 285.0
#define LATENCY_TARGET_MS 800.0

static struct rs_fleet fleet;
static struct rs_concurrency_service service;
static const char *kinds[KINDS];
static struct rs_load_choice_input input;

static void
set_up(void)
{
    RsFleet_Init(&fleet, RsFixture_FleetEvents(), NULL);
    RsConcurrency_InitService(&service);
    for (uint32_t k = 0; k < KINDS; k++) {
        char name[16];
        snprintf(name, sizeof(name), "route-%u", k);
        kinds[k] = g_intern_string(name);
    }
    for (uint32_t t = 0; t < TARGETS; t++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%010x", t);
        const struct rs_fixture_report report = {
            .id = id,
            .service = "s",
            .zone = "z",
            .port = 1000 + t,
            .started_wall_ms = 1,
            .sequence = 1,
        };
        RsFixture_Report(&fleet, &report, 1);
    }
    input = (struct rs_load_choice_input){
        .fleet = &fleet,
        .share = {.nodes = 3500},
    };
}

static struct rs_fleet_target *
target_at(uint32_t number)
{
    return g_ptr_array_index(fleet.list, number);
}

static void
print(const char *what, int64_t started_at_us, uint32_t count)
{
    printf("| %s | %.0f ns |\n", what,
           (double)(RsClock_NowUs() - started_at_us) * NS_PER_US / count);
}

static void
measure_samples(void)
{
    int64_t started_at_us = RsClock_NowUs();
    for (uint32_t i = 0; i < ROUNDS * TARGETS; i++) {
        const struct rs_concurrency_sample sample = {
            WORK_MS * (0.4 + i % 7 * 0.2), 1, 100};
        RsConcurrency_Record(&target_at(i % TARGETS)->concurrency, &service,
                             kinds[i % KINDS], &sample, i / TARGETS);
    }
    print("a sample", started_at_us, ROUNDS * TARGETS);
}

static uint32_t
count_with_room(double latency_target_ms)
{
    uint32_t count = 0;
    input.latency_target_ms = latency_target_ms;
    for (uint32_t i = 0; i < ROUNDS * TARGETS; i++) {
        input.work_ms =
            latency_target_ms > 0
                ? RsConcurrency_MeanWorkMs(&service, kinds[i % KINDS])
                : 0;
        count += RsLoad_HasRoom(target_at(i % TARGETS), &input, 1);
    }
    return count;
}

static void
measure_decisions(void)
{
    int64_t started_at_us = RsClock_NowUs();
    uint32_t count = count_with_room(0);
    print("a decision, constant room", started_at_us, ROUNDS * TARGETS);
    started_at_us = RsClock_NowUs();
    count += count_with_room(LATENCY_TARGET_MS);
    print("a decision, learned limit", started_at_us, ROUNDS * TARGETS);
    if (count == 0) {
        printf("| no target has room | |\n");
    }
}

static void
measure_refresh(void)
{
    int64_t started_at_us = RsClock_NowUs();
    for (uint32_t round = 0; round < ROUNDS; round++) {
        RsConcurrency_ResetFactors(&service);
        for (uint32_t t = 0; t < TARGETS; t++) {
            struct rs_fleet_target *target = target_at(t);
            RsConcurrency_Decay(&target->concurrency, ROUNDS + round);
            RsConcurrency_CountFactor(&service, &target->concurrency,
                                      target->shared_service_ms);
        }
        for (uint32_t t = 0; t < TARGETS; t++) {
            RsConcurrency_Refresh(&target_at(t)->concurrency, &service);
        }
    }
    print("a refresh, for each target", started_at_us, ROUNDS * TARGETS);
}

static void
measure_bytes(void)
{
    Rs__Peer__TargetLoad load = RS__PEER__TARGET_LOAD__INIT;
    load.id = (char *)target_at(0)->id;
    load.in_flight = 3;
    load.service_us = (uint32_t)(WORK_MS * NS_PER_US);
    size_t former = rs__peer__target_load__get_packed_size(&load);
    load.work_samples = 800;
    load.work_permille = 1250;
    load.work_process = 0x9abcdef0;
    size_t present = rs__peer__target_load__get_packed_size(&load);
    printf("| a target in a report or summary | %zu bytes, %zu more than "
           "without |\n",
           present, present - former);
    printf("| memory for each target | %zu bytes |\n",
           sizeof(struct rs_concurrency));
    printf("| memory for each route of a service | %zu bytes and a hash "
           "entry |\n",
           sizeof(struct rs_concurrency_work));
}

int
main(void)
{
    RsLog_Open("measure", RsLog_ERROR);
    set_up();
    printf("| with %d targets | |\n|---|---|\n", TARGETS);
    measure_samples();
    measure_decisions();
    measure_refresh();
    measure_bytes();
    RsConcurrency_ClearService(&service);
    RsFleet_Clear(&fleet);
    return 0;
}
