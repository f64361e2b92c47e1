/* Measures the planner's policies on the same sequence of events: the time to
 * compute a plan, and the numbers of slices moved and slices changed until
 * nothing changes any more or a limit of rounds is reached. Usage:
 * plan_measure [SEED] */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "place/planner_world.h"

#define DEFAULT_SEED 7
#define SLICES_PER_TARGET 16
#define SLOW_SHARE 0.5
#define US_PER_MS 1000.0

struct scenario {
    const char *name;
    size_t domains;
    size_t targets_per_domain;
    size_t cells_per_domain;
    size_t targets;    /* in total; the last domain may have fewer */
    size_t rack_size;  /* number of targets that fail at once */
    size_t repeats;    /* of the sequence of events */
    size_t max_rounds; /* per event, as a policy might never converge */
};

enum event_kind {
    RsMeasure_FIRST_PLAN,
    RsMeasure_NO_CHANGE,
    RsMeasure_TARGET_LOST,
    RsMeasure_TARGET_BACK,
    RsMeasure_TARGET_SLOW,
    RsMeasure_TARGET_NO_LONGER_SLOW,
    RsMeasure_RACK_LOST,
    RsMeasure_RACK_BACK,
    RsMeasure_DOMAIN_OUT,
    RsMeasure_DOMAIN_BACK,
    RsMeasure_EVENT_KINDS
};

static const char *const event_names[RsMeasure_EVENT_KINDS] = {
    "first plan",  "no change", "target lost", "target back", "target slow",
    "target fast", "rack lost", "rack back",   "domain out",  "domain back"};

/* Sums and maximums over the events of one kind. */
struct tally {
    size_t event_count;
    size_t round_count;
    size_t moves;
    size_t changed_slices;
    int64_t total_plan_us;
    int64_t max_plan_us;
    double peak; /* highest value of peak_ratio() */
};

/* Returns the ratio of the highest number of slices of a target to the mean
 * over the usable targets. */
static double
peak_ratio(struct planner_world *world)
{
    size_t most = 0;
    size_t usable = 0;
    size_t total = planner_world_count_owned(world);
    for (size_t i = 0; i < world->target_count; i++) {
        const struct rs_planner_target *target = &world->targets[i];
        bool out =
            world->domains[target->domain[1] - '0'].state != RsModel_DOMAIN_IN;
        usable += target->alive && !out ? 1 : 0;
        most = world->owned[i] > most ? world->owned[i] : most;
    }
    return (double)most * (double)usable / (double)total;
}

/* Plans until nothing changes or `max_rounds` is reached, and adds to the
 * tally. */
static void
run_until_stable(struct planner_world *world, size_t max_rounds,
                 struct tally *tally)
{
    size_t changes = 1;
    tally->event_count++;
    for (size_t round = 0; round < max_rounds && changes > 0; round++) {
        struct rs_planner_plan plan;
        int64_t started_at_us = RsClock_NowUs();
        if (RsPlanner_Plan(&world->options, &plan) != 0) {
            abort();
        }
        int64_t duration_us = RsClock_NowUs() - started_at_us;
        planner_world_apply(world, &plan);
        planner_world_finish_handovers(world);
        changes = plan.change_count;
        tally->round_count++;
        tally->moves += plan.moves;
        tally->changed_slices += plan.change_count;
        tally->total_plan_us += duration_us;
        tally->max_plan_us = duration_us > tally->max_plan_us
                                 ? duration_us
                                 : tally->max_plan_us;
        RsPlanner_FreePlan(&plan);
    }
    double peak = peak_ratio(world);
    tally->peak = peak > tally->peak ? peak : tally->peak;
}

static void
set_alive(struct planner_world *world, size_t first, size_t count, bool alive)
{
    for (size_t i = 0; i < count; i++) {
        world->targets[(first + i) % world->target_count].alive = alive;
    }
}

static void
run_repeats(struct planner_world *world, const struct scenario *scenario,
            uint64_t seed, struct tally *tallies)
{
    for (size_t i = 0; i < scenario->repeats; i++) {
        size_t first_target = RsId_Combine(seed, i) % world->target_count;
        size_t domain = RsId_Combine(seed + 1, i) % world->domain_count;
        run_until_stable(world, scenario->max_rounds,
                         &tallies[RsMeasure_NO_CHANGE]);
        set_alive(world, first_target, 1, false);
        run_until_stable(world, scenario->max_rounds,
                         &tallies[RsMeasure_TARGET_LOST]);
        set_alive(world, first_target, 1, true);
        run_until_stable(world, scenario->max_rounds,
                         &tallies[RsMeasure_TARGET_BACK]);
        world->targets[first_target].share = SLOW_SHARE;
        run_until_stable(world, scenario->max_rounds,
                         &tallies[RsMeasure_TARGET_SLOW]);
        world->targets[first_target].share = 1;
        run_until_stable(world, scenario->max_rounds,
                         &tallies[RsMeasure_TARGET_NO_LONGER_SLOW]);
        set_alive(world, first_target, scenario->rack_size, false);
        run_until_stable(world, scenario->max_rounds,
                         &tallies[RsMeasure_RACK_LOST]);
        set_alive(world, first_target, scenario->rack_size, true);
        run_until_stable(world, scenario->max_rounds,
                         &tallies[RsMeasure_RACK_BACK]);
        world->domains[domain].state = RsModel_DOMAIN_OUT;
        run_until_stable(world, scenario->max_rounds,
                         &tallies[RsMeasure_DOMAIN_OUT]);
        world->domains[domain].state = RsModel_DOMAIN_IN;
        run_until_stable(world, scenario->max_rounds,
                         &tallies[RsMeasure_DOMAIN_BACK]);
    }
}

static void
print_tallies(const struct scenario *scenario, const char *policy,
              const struct tally *tallies)
{
    for (size_t i = 0; i < RsMeasure_EVENT_KINDS; i++) {
        const struct tally *tally = &tallies[i];
        double event_count = (double)tally->event_count;
        printf("| %s | %s | %s | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f |\n",
               scenario->name, event_names[i], policy,
               (double)tally->moves / event_count,
               (double)tally->changed_slices / event_count,
               (double)tally->round_count / event_count,
               (double)tally->total_plan_us / US_PER_MS /
                   (double)tally->round_count,
               (double)tally->max_plan_us / US_PER_MS, tally->peak);
    }
}

static void
measure(const struct scenario *scenario,
        const struct rs_planner_policy *policy, uint64_t seed)
{
    struct planner_world world;
    struct tally tallies[RsMeasure_EVENT_KINDS];
    memset(tallies, 0, sizeof(tallies));
    planner_world_open(&world, scenario->domains, scenario->targets_per_domain,
                       scenario->cells_per_domain,
                       (uint32_t)(scenario->targets * SLICES_PER_TARGET));
    world.target_count = scenario->targets;
    world.options.target_count = scenario->targets;
    world.options.policy = policy;
    run_until_stable(&world, scenario->max_rounds,
                     &tallies[RsMeasure_FIRST_PLAN]);
    run_repeats(&world, scenario, seed, tallies);
    print_tallies(scenario, policy->name, tallies);
    planner_world_close(&world);
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    static const struct scenario scenarios[] = {
        {"31", 3, 11, 1, 31, 3, 5, 40},
        {"3,500", 7, 500, 4, 3500, 20, 1, 15},
    };
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : DEFAULT_SEED;
    printf("| targets | event | policy | slices moved | rows written | rounds "
           "| ms a plan | longest ms | peak |\n");
    printf("|---|---|---|---|---|---|---|---|---|\n");
    for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
        measure(&scenarios[i], RsPlanner_MinimalPolicy(), seed);
        measure(&scenarios[i], RsPlanner_FullPolicy(), seed);
        measure(&scenarios[i], RsPlanner_RingPolicy(), seed);
    }
    return 0;
}
