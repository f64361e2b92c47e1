/* Compares the policies of this folder by the simulation of one service and
 * prints a table. Each row adds up SEEDS runs, with the same seeds as in the
 * other rows. A second table has the mean time that admission takes for one
 * request. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "dispatch/admission.h"
#include "dispatch/simulation.h"

#define US_PER_MS 1000
#define US_PER_S 1000000
#define SEEDS 5
#define TIMED_REQUESTS 100000
#define FAR_DEADLINE_MS (1LL << 40)
#define NS_PER_US 1000

static double
quantile_ms(const struct rs_simulation_results *results, double share)
{
    return (double)RsHistogram_Quantile(&results->latency_us, share) /
           US_PER_MS;
}

static void
print_row(const struct rs_simulation_setup *setup,
          const struct rs_simulation_results *results)
{
    double seconds =
        (double)(setup->fault_until_us - RsSimulation_FAULT_FROM_US) * SEEDS /
        US_PER_S;
    double offered = (double)results->offered;
    double tries =
        1.0 + (double)results->extra_tries / (double)results->first_tries;
    printf("| %s | %s | %s | %s | %s | %.0f%% | %.1f | %.1f | %.1f | %.2f | "
           "%.2f | %.0f | %.3f | %" PRIu64 " | %" PRIu32 " |\n",
           setup->name, setup->admission, setup->keyed ? "key" : setup->choice,
           setup->ramp, setup->retry, setup->hedge_share * 100.0,
           quantile_ms(results, 0.5), quantile_ms(results, 0.99),
           quantile_ms(results, 0.999),
           100.0 * (double)results->not_run / offered,
           100.0 * (double)results->unknown / offered,
           (double)results->answered / seconds, tries,
           results->target_refusals, results->max_open_requests);
}

#define SLOW                                                                  \
    .load = 0.7, .slowed_count = 2, .slow_factor = 10.0,                      \
    .fault_until_us = RsSimulation_FAULT_FROM_US + 4 * US_PER_S,              \
    .ramp = "adaptive", .retry = "budget"
#define COLD                                                                  \
    .load = 0.95, .keyed = true, .restarted_count = RsSimulation_TARGETS / 3, \
    .fault_until_us = RsSimulation_FAULT_FROM_US + 4 * US_PER_S,              \
    .choice = "random"
#define STORM                                                                 \
    .name = "storm", .load = 0.8, .keyed = true,                              \
    .slowed_count = RsSimulation_TARGETS, .slow_factor = 2.0,                 \
    .fault_until_us = RsSimulation_FAULT_FROM_US + 4 * US_PER_S,              \
    .choice = "random", .ramp = "adaptive"

static const struct rs_simulation_setup setups[] = {
    {.name = "slow", SLOW, .admission = "adaptive", .choice = "two-choices"},
    {.name = "slow",
     SLOW,
     .admission = "adaptive",
     .choice = "two-choices",
     .hedge_share = 0.05},
    {.name = "slow", SLOW, .admission = "adaptive", .choice = "round-robin"},
    {.name = "slow", SLOW, .admission = "adaptive", .choice = "random"},
    {.name = "slow", SLOW, .admission = "none", .choice = "round-robin"},
    {.name = "slow-keyed",
     SLOW,
     .keyed = true,
     .admission = "adaptive",
     .choice = "random"},
    {.name = "slow-keyed",
     SLOW,
     .keyed = true,
     .admission = "fixed",
     .choice = "random"},
    {.name = "slow-keyed",
     SLOW,
     .keyed = true,
     .admission = "none",
     .choice = "random"},
    {.name = "cold",
     COLD,
     .cold_us = 3 * US_PER_S,
     .admission = "adaptive",
     .ramp = "adaptive",
     .retry = "budget"},
    {.name = "cold",
     COLD,
     .cold_us = 3 * US_PER_S,
     .admission = "adaptive",
     .ramp = "linear",
     .retry = "budget"},
    {.name = "cold",
     COLD,
     .cold_us = 3 * US_PER_S,
     .admission = "adaptive",
     .ramp = "none",
     .retry = "budget"},
    {.name = "cold",
     COLD,
     .cold_us = 3 * US_PER_S,
     .admission = "none",
     .ramp = "none",
     .retry = "immediate"},
    {.name = "cold-longer",
     COLD,
     .cold_us = 6 * US_PER_S,
     .admission = "adaptive",
     .ramp = "adaptive",
     .retry = "budget"},
    {.name = "cold-longer",
     COLD,
     .cold_us = 6 * US_PER_S,
     .admission = "adaptive",
     .ramp = "linear",
     .retry = "budget"},
    {STORM, .admission = "adaptive", .retry = "budget"},
    {STORM, .admission = "adaptive", .retry = "immediate"},
    {STORM, .admission = "adaptive", .retry = "none"},
    {STORM, .admission = "none", .retry = "immediate"},
    {STORM, .admission = "none", .retry = "budget"},
};

/* Prints the mean time, in nanoseconds, that admission takes for one request
 * from its submission to its end, while `depth` other requests wait, each of
 * another caller. */
static void
print_admission_time(uint32_t depth)
{
    struct rs_admission_options options = {.limit_policy = &rs_limit_fixed,
                                           .slots = 1,
                                           .queue_capacity = depth + 1,
                                           .max_run_ms = 500};
    struct rs_admission *admission = RsAdmission_New(&options);
    struct rs_admission_verdict verdict;
    struct rs_admission_event event = {.id = 1};
    int64_t from_us = 0;
    for (uint64_t id = 1; id <= depth + 1 + TIMED_REQUESTS; id++) {
        if (id == depth + 2) {
            from_us = RsClock_NowUs();
        }
        struct rs_admission_request request = {
            .id = id, .caller = id, .deadline_ms = FAR_DEADLINE_MS};
        RsAdmission_Submit(admission, 0, &request, &verdict);
        if (id >= depth + 2) {
            RsAdmission_Finish(admission, 0, event.id, RsAdmission_DONE, 1);
            RsAdmission_NextEvent(admission, &event);
        }
    }
    int64_t spent_us = RsClock_NowUs() - from_us;
    printf("| %" PRIu32 " | %" PRId64 " |\n", depth,
           spent_us * NS_PER_US / TIMED_REQUESTS);
    RsAdmission_Free(admission);
}

int
main(void)
{
    printf("| case | admission | choice | ramp | retry | hedges | p50 ms | "
           "p99 ms | p99.9 ms | not run %% | unknown %% | answered/s | "
           "tries | refused by targets | most at a target |\n"
           "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (size_t i = 0; i < sizeof(setups) / sizeof(setups[0]); i++) {
        static struct rs_simulation_results results;
        memset(&results, 0, sizeof(results));
        for (uint32_t seed = 1; seed <= SEEDS; seed++) {
            RsSimulation_Run(&setups[i], seed, &results);
        }
        print_row(&setups[i], &results);
    }
    printf("\n| waiting | ns for one request's admission |\n|---|---|\n");
    print_admission_time(0);
    print_admission_time(16);
    print_admission_time(256);
    return 0;
}
