/* Simulates many nodes that send to the targets of one service. Each node
 * knows the load of the other nodes only from sums that are some hundred
 * milliseconds old. If all nodes sent to the targets that look idle by these
 * sums, they would overfill them. */

#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/log.h"
#include "router/fixture.h"
#include "router/load.h"
#include "router/overload.h"

#define START_MS 100000
#define MAX_NODES 60
#define MAX_TARGETS 90
#define SLOTS 2
#define QUEUE 8
#define SPAN_MS 100000
#define MAX_REQUESTS 5000 /* enough for a resolution of one percent */
#define WARM_UP_MS 2000   /* until the service times are known */
#define WORK_MS 120.0
#define NOISE_MS 400
#define NOISE_PERCENT 300
#define LATENCY_TARGET_MS 500
#define MAX_JOBS (SLOTS + QUEUE)
/* HALF_LOAD and HIGH_LOAD are shares of the capacity of all targets, the
 * others are bounds on shares of the requests. */
#define HALF_LOAD 0.5
#define MIN_IN_TIME 0.95
/* Lower, as the slowest third of the targets is used at 0.5 / 0.6 = 0.83 of
 * its capacity. */
#define MIN_IN_TIME_KEYED 0.85
#define MIN_BUSY 0.8
#define MAX_REJECTED_HOT_KEY 0.02
#define MAX_REFUSED_LATE 0.1
/* Full targets reject a few requests, as several nodes may send to one target
 * at the same time. */
#define MAX_REJECTED 0.001
#define HIGH_LOAD 0.75
#define MIN_IN_TIME_HIGH 0.9

struct job {
    uint32_t node;
    int64_t requested_at_ms;
    int64_t sent_at_ms;
    int64_t end_at_ms; /* 0 while it waits */
    /* Requests running or waiting at the target when this one was sent, as
     * estimated by the node. */
    double ahead;
};

/* A request that waits at a node until the owner of its key has room. */
struct pending {
    uint32_t target;
    int64_t requested_at_ms;
};

struct target {
    double work_ms;
    struct job jobs[MAX_JOBS]; /* in order of arrival */
    uint32_t count;
};

struct sim {
    uint32_t node_count;
    uint32_t target_count;
    double rate_per_s;
    int64_t report_every_ms;
    struct rs_fleet fleets[MAX_NODES];
    struct rs_load_choice_input choices[MAX_NODES];
    struct rs_fleet_target *seen[MAX_NODES][MAX_TARGETS];
    struct target targets[MAX_TARGETS];
    uint32_t reported[MAX_NODES][MAX_TARGETS];
    GRand *random;
    int64_t now_ms;
    /* Results for callers, after the warm-up. */
    uint32_t asked;
    uint32_t in_time;
    uint32_t full;     /* no target had room, as far as the node knew */
    uint32_t rejected; /* by a target that was full */
    /* If `keyed` is set, each request has a key and may be sent only to the
     * owner of that key. Of the members below, only `served` is also used
     * without `keyed`. */
    bool keyed;
    double demand_per_s; /* as the granter reports it */
    struct rs_overload_mix mixes[MAX_NODES];
    struct rs_overload_places places; /* unused, as no caller comes back */
    GQueue pending[MAX_NODES];        /* struct pending */
    uint32_t refused;                 /* without waiting */
    uint32_t refused_late;            /* after waiting */
    uint32_t served;
};

static struct sim *
new_sim(uint32_t node_count, uint32_t target_count, double rate_per_s,
        int64_t report_every_ms)
{
    static const double speeds[] = {0.6, 1.0, 1.4};
    struct sim *sim = g_new0(struct sim, 1);
    sim->node_count = node_count;
    sim->target_count = target_count;
    sim->rate_per_s = rate_per_s;
    sim->report_every_ms = report_every_ms;
    sim->random = g_rand_new_with_seed(7);
    sim->now_ms = START_MS;
    for (uint32_t t = 0; t < target_count; t++) {
        sim->targets[t].work_ms = WORK_MS / speeds[t % 3];
    }
    for (uint32_t n = 0; n < node_count; n++) {
        RsFixture_InitFleet(&sim->fleets[n], target_count, sim->seen[n],
                            START_MS);
        sim->choices[n] = (struct rs_load_choice_input){
            .fleet = &sim->fleets[n],
            .service = g_intern_string("s"),
            .zone = g_intern_string("z"),
            .share = {.nodes = node_count,
                      .zone_nodes = node_count,
                      .zone_rank = n},
            .random = sim->random,
        };
    }
    return sim;
}

static void
free_sim(struct sim *sim)
{
    for (uint32_t n = 0; n < sim->node_count; n++) {
        RsFleet_Clear(&sim->fleets[n]);
        g_queue_clear_full(&sim->pending[n], g_free);
    }
    g_rand_free(sim->random);
    g_free(sim);
}

/* Targets share their machines: at any moment about a fifth of them take three
 * times as long, for 400 ms. */
static uint32_t
duration_percent(const struct sim *sim, uint32_t number)
{
    uint64_t turn = (uint64_t)(sim->now_ms / NOISE_MS) * 2654435761U;
    return ((turn >> 7) + number * 7) % 5 == 0
               ? NOISE_PERCENT
               : RsReport_NORMAL_DURATION_PERCENT;
}

static void
start_jobs(struct sim *sim, uint32_t number)
{
    struct target *target = &sim->targets[number];
    for (uint32_t i = 0; i < target->count && i < SLOTS; i++) {
        struct job *job = &target->jobs[i];
        if (job->end_at_ms == 0) {
            double factor = g_rand_double_range(sim->random, 0.4, 1.6) *
                            duration_percent(sim, number) /
                            RsReport_NORMAL_DURATION_PERCENT;
            job->end_at_ms =
                sim->now_ms + (int64_t)MAX(target->work_ms * factor, 1.0);
        }
    }
}

static void
answer(struct sim *sim, uint32_t number, const struct job *job)
{
    struct target *target = &sim->targets[number];
    struct rs_fleet_target *seen = sim->seen[job->node][number];
    const struct rs_target_load load = {
        .running = MIN(target->count, (uint32_t)SLOTS),
        .waiting = target->count > SLOTS ? target->count - SLOTS : 0,
        .slots = SLOTS,
        .duration_percent = duration_percent(sim, number),
    };
    int64_t elapsed_ms = sim->now_ms - job->sent_at_ms;
    seen->in_flight--;
    RsFleet_RecordLoad(seen, &load, sim->now_ms);
    RsFleet_RecordAnswer(seen, (double)elapsed_ms, (uint32_t)job->ahead,
                         sim->now_ms);
    if (sim->now_ms >= START_MS + WARM_UP_MS) {
        sim->served++;
        sim->in_time +=
            sim->now_ms - job->requested_at_ms <= LATENCY_TARGET_MS;
    }
}

static void
run_targets(struct sim *sim)
{
    for (uint32_t t = 0; t < sim->target_count; t++) {
        struct target *target = &sim->targets[t];
        for (uint32_t i = 0; i < target->count;) {
            struct job job = target->jobs[i];
            if (job.end_at_ms == 0 || job.end_at_ms > sim->now_ms) {
                i++;
                continue;
            }
            target->count--;
            memmove(&target->jobs[i], &target->jobs[i + 1],
                    (target->count - i) * sizeof(job));
            answer(sim, t, &job);
        }
        start_jobs(sim, t);
    }
}

static void
send_to(struct sim *sim, uint32_t node, uint32_t number,
        int64_t requested_at_ms)
{
    struct rs_fleet_target *seen = sim->seen[node][number];
    struct target *target = &sim->targets[number];
    if (target->count == MAX_JOBS) {
        sim->rejected += sim->now_ms >= START_MS + WARM_UP_MS;
        RsFleet_RecordFull(seen, sim->now_ms);
        return;
    }
    target->jobs[target->count++] = (struct job){
        .node = node,
        .requested_at_ms = requested_at_ms,
        .sent_at_ms = sim->now_ms,
        .ahead = RsLoad_CountOutstanding(seen, sim->now_ms),
    };
    seen->in_flight++;
    start_jobs(sim, number);
}

/* Returns whether the owner has room for a request that arrived at
 * `requested_at_ms`, and sets `*wait_until_ms` to the end of its wait. */
static bool
owner_has_room(const struct sim *sim, uint32_t node, uint32_t number,
               int64_t requested_at_ms, int64_t *wait_until_ms)
{
    const struct rs_fleet_target *owner = sim->seen[node][number];
    const struct rs_overload_request request = {
        .arrived_at_ms = requested_at_ms,
        .admitted_at_ms = requested_at_ms,
        .latency_target_ms = LATENCY_TARGET_MS,
        .wait_until_ms = requested_at_ms + LATENCY_TARGET_MS,
    };
    *wait_until_ms = RsOverload_WaitUntilMs(owner, &request, sim->now_ms);
    if (RsOverload_IsOverloaded(owner, sim->now_ms)) {
        return RsOverload_HasRoom(owner, &sim->mixes[node], &request,
                                  sim->now_ms);
    }
    return RsLoad_HasRoom(owner, &sim->choices[node], sim->now_ms);
}

/* Sends those requests waiting at a node for which the owner of the key has
 * room, and refuses those that have waited for too long. */
static void
send_pending(struct sim *sim, uint32_t node)
{
    GList *link = sim->pending[node].head;
    while (link != NULL) {
        struct pending *pending = link->data;
        GList *next = link->next;
        int64_t wait_until_ms = 0;
        bool room = owner_has_room(sim, node, pending->target,
                                   pending->requested_at_ms, &wait_until_ms);
        bool late = sim->now_ms >= wait_until_ms;
        if (late || room) {
            g_queue_delete_link(&sim->pending[node], link);
            sim->refused_late += late && sim->now_ms >= START_MS + WARM_UP_MS;
        }
        if (!late && room) {
            send_to(sim, node, pending->target, pending->requested_at_ms);
        }
        if (late || room) {
            g_free(pending);
        }
        link = next;
    }
}

/* Sends a request to the owner of its key, refuses it or lets it wait. */
static void
ask_owner(struct sim *sim, uint32_t node)
{
    uint32_t number =
        (uint32_t)g_rand_int_range(sim->random, 0, (gint32)sim->target_count);
    struct rs_fleet_target *owner = sim->seen[node][number];
    struct rs_overload_mix *mix = &sim->mixes[node];
    int64_t wait_until_ms = 0;
    RsOverload_Count(mix, 0, sim->now_ms);
    if (!RsOverload_Admit(owner, mix, &sim->places, 0, sim->random,
                          sim->now_ms)) {
        sim->refused += sim->now_ms >= START_MS + WARM_UP_MS;
    }
    else if (owner_has_room(sim, node, number, sim->now_ms, &wait_until_ms)) {
        send_to(sim, node, number, sim->now_ms);
    }
    else {
        struct pending *pending = g_new0(struct pending, 1);
        pending->target = number;
        pending->requested_at_ms = sim->now_ms;
        g_queue_push_tail(&sim->pending[node], pending);
    }
}

static void
ask(struct sim *sim, uint32_t node)
{
    struct rs_fleet_target *chosen = NULL;
    bool counts = sim->now_ms >= START_MS + WARM_UP_MS;
    sim->asked += counts;
    if (sim->keyed) {
        ask_owner(sim, node);
        return;
    }
    if (RsLoad_Choose(&sim->choices[node], sim->now_ms, &chosen) !=
        RsLoad_SEND) {
        sim->full += counts;
        return;
    }
    uint32_t number = 0;
    while (sim->seen[node][number] != chosen) {
        number++;
    }
    send_to(sim, node, number, sim->now_ms);
}

/* Exchanges load reports: the node reports its counts and gets the sums of the
 * last reports of the other nodes. */
static void
report(struct sim *sim, uint32_t node)
{
    for (uint32_t t = 0; t < sim->target_count; t++) {
        struct rs_fleet_target *seen = sim->seen[node][t];
        sim->reported[node][t] = seen->in_flight;
        seen->elsewhere = 0;
        for (uint32_t n = 0; n < sim->node_count; n++) {
            seen->elsewhere += n != node ? sim->reported[n][t] : 0;
        }
        seen->demand_per_s = sim->keyed ? sim->demand_per_s : 0;
        seen->demand_at_ms = sim->now_ms;
        seen->elsewhere_at_ms = sim->now_ms;
    }
}

static void
run_simulation(struct sim *sim)
{
    while (sim->asked < MAX_REQUESTS &&
           sim->now_ms < START_MS + WARM_UP_MS + SPAN_MS) {
        sim->now_ms++;
        run_targets(sim);
        for (uint32_t n = 0; n < sim->node_count; n++) {
            int64_t phase = n * sim->report_every_ms / sim->node_count;
            if ((sim->now_ms + phase) % sim->report_every_ms == 0) {
                report(sim, n);
            }
            if (sim->keyed) {
                send_pending(sim, n);
            }
        }
        double due = sim->rate_per_s / 1000;
        while (due > 0) {
            if (g_rand_double(sim->random) < due) {
                ask(sim, (uint32_t)g_rand_int_range(sim->random, 0,
                                                    (gint32)sim->node_count));
            }
            due -= 1;
        }
    }
}

static void
check(struct sim *sim, double min_in_time)
{
    run_simulation(sim);
    printf("%u nodes: %u asked, %u in time, %u without room, %u rejected\n",
           sim->node_count, sim->asked, sim->in_time, sim->full,
           sim->rejected);
    CU_ASSERT_TRUE(sim->rejected <= MAX_REJECTED * sim->asked);
    CU_ASSERT_TRUE(sim->in_time >= min_in_time * sim->asked);
    free_sim(sim);
}

/* Returns the capacity of this many targets, with a mean relative speed of 1,
 * in requests a second. */
static double
capacity_per_s(uint32_t target_count)
{
    double slowness = (4 + NOISE_PERCENT / 100.0) / 5;
    return target_count * SLOTS * 1000 / (WORK_MS * slowness);
}

static void
test_many_nodes_do_not_overfill_the_targets_that_looked_idle(void)
{
    check(new_sim(59, 85, capacity_per_s(85) * HALF_LOAD, 295), MIN_IN_TIME);
}

static void
test_many_nodes_at_three_quarters_of_the_capacity(void)
{
    check(new_sim(59, 85, capacity_per_s(85) * HIGH_LOAD, 295),
          MIN_IN_TIME_HIGH);
}

static void
test_nine_nodes_get_answers_in_time(void)
{
    check(new_sim(9, 9, capacity_per_s(9) * HALF_LOAD, 150), MIN_IN_TIME);
}

/* Each request may be sent only to the owner of its key, and the nodes know
 * the queues of most owners only from outdated sums. */
static void
test_keyed_requests_are_in_time_with_outdated_load(void)
{
    struct sim *sim = new_sim(59, 85, capacity_per_s(85) * HALF_LOAD, 295);
    sim->keyed = true;
    run_simulation(sim);
    printf("keys: %u asked, %u in time, %u refused, %u after waiting, "
           "%u rejected\n",
           sim->asked, sim->in_time, sim->refused, sim->refused_late,
           sim->rejected);
    CU_ASSERT_TRUE(sim->in_time >= MIN_IN_TIME_KEYED * sim->asked);
    CU_ASSERT_TRUE(sim->rejected <= MAX_REJECTED * sim->asked);
    free_sim(sim);
}

/* One key gets ten times as many requests as its owner can run. The owner is
 * kept busy but not overfilled, and most requests that can't be served are
 * refused at once. */
static void
test_owner_of_a_hot_key_is_busy_but_not_overfilled(void)
{
    struct sim *sim = new_sim(59, 1, 10 * capacity_per_s(1), 295);
    sim->keyed = true;
    sim->demand_per_s = sim->rate_per_s;
    run_simulation(sim);
    printf("hot key: %u asked, %u served, %u in time, %u refused at once, "
           "%u after waiting, %u rejected\n",
           sim->asked, sim->served, sim->in_time, sim->refused,
           sim->refused_late, sim->rejected);
    int64_t span_ms = sim->now_ms - START_MS - WARM_UP_MS;
    /* 0.6 is the relative speed of target 0. */
    double sustainable = capacity_per_s(1) * 0.6 * span_ms / 1000;
    CU_ASSERT_TRUE(sim->served >= MIN_BUSY * sustainable);
    CU_ASSERT_TRUE(sim->rejected <= MAX_REJECTED_HOT_KEY * sim->asked);
    CU_ASSERT_TRUE(sim->refused_late <= MAX_REFUSED_LATE * sim->asked);
    free_sim(sim);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("load simulation", NULL, NULL);
    CU_ADD_TEST(suite,
                test_many_nodes_do_not_overfill_the_targets_that_looked_idle);
    CU_ADD_TEST(suite, test_many_nodes_at_three_quarters_of_the_capacity);
    CU_ADD_TEST(suite, test_keyed_requests_are_in_time_with_outdated_load);
    CU_ADD_TEST(suite, test_owner_of_a_hot_key_is_busy_but_not_overfilled);
    CU_ADD_TEST(suite, test_nine_nodes_get_answers_in_time);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
