/* Replays the load of the deployments for which the limits of targets are
 * learned (docs/design/hard-load.md) with several rules for the limit:
 * 75 nodes with 187 targets of 6 slots, and 65 nodes with 119 targets of 2
 * slots. Targets differ in speed, a fifth of them takes three times as long
 * for 400 ms, some slow down from half of their slots on, and in the middle a
 * tenth of them turns three times as slow. Each request has a key and may be
 * sent to its owner only; keys are divided by the granter's view of the
 * capacities. The figures are in docs/design/concurrency.md. */

#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/log.h"
#include "router/fixture.h"
#include "router/load.h"

#define START_MS 100000
#define MAX_NODES 75
#define MAX_TARGETS 187
#define MAX_SLOTS 6
#define QUEUE_PER_SLOT 4
#define MAX_JOBS (MAX_SLOTS * (1 + QUEUE_PER_SLOT))
#define KINDS 2
#define SPEEDS 3
#define SPAN_MS 24000
#define CHANGE_AT_MS (START_MS + 12000)
#define WARM_UP_MS                                                            \
    4000 /* not counted: the first service times are learned                  \
          */
#define CHANGE_FACTOR 3.0
#define CHANGED_EVERY 10 /* targets */
#define NOISE_MS 400
#define NOISE_PERCENT 300
#define DEGRADED_EVERY 4 /* targets */
#define DEGRADED_FACTOR 1.5
#define PLAN_EVERY_MS 1000
/* A learned factor has followed a change when it is this close. */
#define FOLLOWED_SHARE 0.25
#define MAX_FOLLOW_MS 2000.0
/* Limits of a steady load vary by the random error of the service times only:
 * about a third, the variation of work, over the root of some 4 samples. */
#define MAX_VARIATION 0.3
#define MAX_REJECTED 0.01
#define TOLERANCE 0.02 /* standard error of the smaller deployment */

enum rule {
    CONSTANT, /* load.adaptive is not set */
    MODEL,    /* router/concurrency.c */
    GRADIENT,
    AIMD,
    RULES
};

struct deployment {
    const char *name;
    uint32_t nodes;
    uint32_t targets;
    uint32_t slots;
    double speeds[SPEEDS];
    double work_ms[KINDS];
    double latency_target_ms[KINDS];
    double utilization;
    uint32_t seeds; /* more where there are few requests */
};

struct job {
    uint32_t node;
    uint32_t kind;
    int64_t requested_at_ms;
    int64_t sent_at_ms;
    int64_t end_at_ms; /* 0 while it waits */
    double ahead;
};

struct pending {
    uint32_t target;
    uint32_t kind;
    int64_t requested_at_ms;
};

/* Sums of a target over all nodes since the last step of a limit rule. */
struct observed {
    double samples;
    double late;
    double relative_ms; /* sum of elapsed time relative to the kind's work */
};

struct target {
    double speed;
    struct job jobs[MAX_JOBS]; /* in order of arrival */
    uint32_t count;
    /* Of the rules GRADIENT and AIMD. */
    double limit;
    double lowest_latency;
    struct observed observed;
    /* Results. */
    int64_t followed_at_ms; /* 0: not yet */
    int64_t limited_at_ms;  /* the limit does not exceed the slots; 0: never */
    double limit_sum;
    double limit_square_sum;
    uint32_t limit_count;
    double weight; /* planned share of the keys */
};

struct sim {
    const struct deployment *deployment;
    enum rule rule;
    int64_t report_every_ms;
    struct rs_fleet fleets[MAX_NODES];
    struct rs_load_choice_input choices[MAX_NODES];
    struct rs_concurrency_service services[MAX_NODES];
    struct rs_fleet_target *seen[MAX_NODES][MAX_TARGETS];
    struct {
        uint32_t in_flight;
        double service_ms;
        struct rs_concurrency_sums sums;
    } reported[MAX_NODES][MAX_TARGETS];
    struct target targets[MAX_TARGETS];
    GQueue pending[MAX_NODES];
    GRand *random;
    int64_t now_ms;
    uint32_t asked;
    uint32_t in_time;
    uint32_t late;
    uint32_t refused;
    uint32_t rejected; /* by a full target */
};

static const char *const kind_names[KINDS] = {"lookups", "certificates"};

static void
add_node(struct sim *sim, uint32_t node)
{
    const struct deployment *deployment = sim->deployment;
    RsFixture_InitFleet(&sim->fleets[node], deployment->targets,
                        sim->seen[node], START_MS);
    RsConcurrency_InitService(&sim->services[node]);
    for (uint32_t t = 0; t < deployment->targets; t++) {
        sim->seen[node][t]->report.slots = deployment->slots;
    }
    sim->choices[node] = (struct rs_load_choice_input){
        .fleet = &sim->fleets[node],
        .service = g_intern_string("s"),
        .zone = g_intern_string("z"),
        .share = {.nodes = deployment->nodes},
        .random = sim->random,
    };
}

static struct sim *
new_sim(const struct deployment *deployment, enum rule rule, uint32_t seed)
{
    struct sim *sim = g_new0(struct sim, 1);
    sim->deployment = deployment;
    sim->rule = rule;
    sim->report_every_ms = MAX(deployment->nodes * 5, 150);
    sim->random = g_rand_new_with_seed(seed);
    sim->now_ms = START_MS;
    for (uint32_t t = 0; t < deployment->targets; t++) {
        sim->targets[t].speed = deployment->speeds[t % SPEEDS];
        sim->targets[t].limit = deployment->slots;
        sim->targets[t].weight = 1;
    }
    for (uint32_t n = 0; n < deployment->nodes; n++) {
        add_node(sim, n);
    }
    return sim;
}

static void
free_sim(struct sim *sim)
{
    for (uint32_t n = 0; n < sim->deployment->nodes; n++) {
        RsFleet_Clear(&sim->fleets[n]);
        RsConcurrency_ClearService(&sim->services[n]);
        g_queue_clear_full(&sim->pending[n], g_free);
    }
    g_rand_free(sim->random);
    g_free(sim);
}

static bool
counts(const struct sim *sim)
{
    return sim->now_ms >= START_MS + WARM_UP_MS;
}

static uint32_t
duration_percent(const struct sim *sim, uint32_t number)
{
    uint64_t turn = (uint64_t)(sim->now_ms / NOISE_MS) * 2654435761U;
    return ((turn >> 7) + number * 7) % 5 == 0
               ? NOISE_PERCENT
               : RsReport_NORMAL_DURATION_PERCENT;
}

/* Targets of all three speeds change. */
static bool
is_changed(uint32_t number)
{
    return number % CHANGED_EVERY == 3;
}

static double
present_speed(const struct sim *sim, uint32_t number)
{
    bool slowed = is_changed(number) && sim->now_ms >= CHANGE_AT_MS;
    return sim->targets[number].speed / (slowed ? CHANGE_FACTOR : 1);
}

static uint32_t
count_running(const struct sim *sim, uint32_t number)
{
    return MIN(sim->targets[number].count, sim->deployment->slots);
}

static void
start_jobs(struct sim *sim, uint32_t number)
{
    struct target *target = &sim->targets[number];
    uint32_t running = count_running(sim, number);
    bool degraded =
        number % DEGRADED_EVERY == 1 && running * 2 > sim->deployment->slots;
    for (uint32_t i = 0; i < running; i++) {
        struct job *job = &target->jobs[i];
        if (job->end_at_ms == 0) {
            double factor = g_rand_double_range(sim->random, 0.4, 1.6) *
                            (degraded ? DEGRADED_FACTOR : 1) *
                            duration_percent(sim, number) /
                            RsReport_NORMAL_DURATION_PERCENT;
            double work_ms = sim->deployment->work_ms[job->kind] /
                             present_speed(sim, number) * factor;
            job->end_at_ms = sim->now_ms + (int64_t)MAX(work_ms, 1.0);
        }
    }
}

static void
count_answer(struct sim *sim, uint32_t number, const struct job *job)
{
    struct target *target = &sim->targets[number];
    double elapsed_ms = (double)(sim->now_ms - job->requested_at_ms);
    bool late = elapsed_ms > sim->deployment->latency_target_ms[job->kind];
    target->observed.samples++;
    target->observed.late += late;
    target->observed.relative_ms += (double)(sim->now_ms - job->sent_at_ms) /
                                    sim->deployment->work_ms[job->kind];
    if (counts(sim)) {
        sim->in_time += !late;
        sim->late += late;
    }
}

static void
answer(struct sim *sim, uint32_t number, const struct job *job)
{
    struct target *target = &sim->targets[number];
    struct rs_fleet_target *seen = sim->seen[job->node][number];
    const struct rs_target_load load = {
        .running = count_running(sim, number),
        .waiting = target->count - count_running(sim, number),
        .slots = sim->deployment->slots,
        .duration_percent = duration_percent(sim, number),
    };
    double elapsed_ms = (double)(sim->now_ms - job->sent_at_ms);
    seen->in_flight--;
    RsFleet_RecordLoad(seen, &load, sim->now_ms);
    RsFleet_RecordAnswer(seen, elapsed_ms, (uint32_t)job->ahead, sim->now_ms);
    if (sim->rule != CONSTANT) {
        const struct rs_concurrency_sample sample = {
            .elapsed_ms = elapsed_ms,
            .queueing_factor = RsFleet_AnswerQueueingFactor(
                seen, (uint32_t)job->ahead, sim->now_ms),
            .duration_percent = load.duration_percent,
        };
        RsConcurrency_Record(&seen->concurrency, &sim->services[job->node],
                             g_intern_string(kind_names[job->kind]), &sample,
                             sim->now_ms);
    }
    count_answer(sim, number, job);
}

static void
run_targets(struct sim *sim)
{
    for (uint32_t t = 0; t < sim->deployment->targets; t++) {
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

static bool
has_room(struct sim *sim, uint32_t node, const struct pending *request)
{
    const struct rs_fleet_target *owner = sim->seen[node][request->target];
    struct rs_load_choice_input input = sim->choices[node];
    if (sim->rule == GRADIENT || sim->rule == AIMD) {
        return RsLoad_CountOutstanding(owner, sim->now_ms) <
                   sim->targets[request->target].limit &&
               sim->now_ms >= owner->full_until_ms;
    }
    if (sim->rule == MODEL) {
        input.latency_target_ms =
            sim->deployment->latency_target_ms[request->kind];
        input.work_ms = RsConcurrency_MeanWorkMs(
            &sim->services[node], g_intern_string(kind_names[request->kind]));
    }
    return RsLoad_HasRoom(owner, &input, sim->now_ms);
}

static void
send_to(struct sim *sim, uint32_t node, const struct pending *request)
{
    struct rs_fleet_target *seen = sim->seen[node][request->target];
    struct target *target = &sim->targets[request->target];
    if (target->count == sim->deployment->slots * (1 + QUEUE_PER_SLOT)) {
        sim->rejected += counts(sim);
        RsFleet_RecordFull(seen, sim->now_ms);
        return;
    }
    target->jobs[target->count++] = (struct job){
        .node = node,
        .kind = request->kind,
        .requested_at_ms = request->requested_at_ms,
        .sent_at_ms = sim->now_ms,
        .ahead = RsLoad_CountOutstanding(seen, sim->now_ms),
    };
    seen->in_flight++;
    start_jobs(sim, request->target);
}

/* Sends those requests waiting at a node whose owner has room, and refuses
 * those that have waited for their latency target. */
static void
send_pending(struct sim *sim, uint32_t node)
{
    GList *link = sim->pending[node].head;
    while (link != NULL) {
        struct pending *request = link->data;
        GList *next = link->next;
        bool expired = (double)(sim->now_ms - request->requested_at_ms) >=
                       sim->deployment->latency_target_ms[request->kind];
        bool room = !expired && has_room(sim, node, request);
        if (room) {
            send_to(sim, node, request);
        }
        sim->refused += expired && counts(sim);
        if (expired || room) {
            g_queue_delete_link(&sim->pending[node], link);
            g_free(request);
        }
        link = next;
    }
}

/* Adds a request to a random node. Its owner is chosen by the planned shares
 * of the keys. */
static void
ask(struct sim *sim, double weight_sum)
{
    uint32_t node = (uint32_t)g_rand_int_range(sim->random, 0,
                                               (gint32)sim->deployment->nodes);
    struct pending *request = g_new0(struct pending, 1);
    double place = g_rand_double(sim->random) * weight_sum;
    while (request->target + 1 < sim->deployment->targets &&
           place >= sim->targets[request->target].weight) {
        place -= sim->targets[request->target].weight;
        request->target++;
    }
    request->kind = g_rand_double(sim->random) < 0.3;
    request->requested_at_ms = sim->now_ms;
    g_queue_push_tail(&sim->pending[node], request);
    sim->asked += counts(sim);
}

/* Applies the sums of all nodes' last reports to a target of one node. */
static void
apply_totals(struct sim *sim, uint32_t node, uint32_t number)
{
    struct rs_fleet_target *seen = sim->seen[node][number];
    struct rs_concurrency_sums sums = {0};
    double service_ms = 0;
    uint32_t service_count = 0;
    seen->elsewhere = 0;
    for (uint32_t n = 0; n < sim->deployment->nodes; n++) {
        seen->elsewhere += n != node ? sim->reported[n][number].in_flight : 0;
        service_ms += sim->reported[n][number].service_ms;
        service_count += sim->reported[n][number].service_ms > 0;
        sums.samples += sim->reported[n][number].sums.samples;
        sums.relative_work += sim->reported[n][number].sums.relative_work;
    }
    seen->elsewhere_at_ms = sim->now_ms;
    if (service_count > 0) {
        seen->shared_service_ms = service_ms / service_count;
    }
    RsConcurrency_SetSums(&seen->concurrency, &sums, sim->now_ms);
}

static void
record_overdue(struct sim *sim, uint32_t node, uint32_t number)
{
    const struct target *target = &sim->targets[number];
    struct rs_fleet_target *seen = sim->seen[node][number];
    seen->concurrency.overdue = (struct rs_concurrency_sums){0};
    for (uint32_t i = 0; i < target->count; i++) {
        const struct job *job = &target->jobs[i];
        const struct rs_concurrency_sample sample = {
            .elapsed_ms = (double)(sim->now_ms - job->sent_at_ms),
            .queueing_factor = RsFleet_QueueingFactor(seen, job->ahead),
        };
        if (job->node == node) {
            RsConcurrency_RecordOverdue(
                &seen->concurrency, &sim->services[node],
                g_intern_string(kind_names[job->kind]), &sample);
        }
    }
}

static void
report(struct sim *sim, uint32_t node)
{
    struct rs_concurrency_service *service = &sim->services[node];
    for (uint32_t t = 0; t < sim->deployment->targets; t++) {
        struct rs_fleet_target *seen = sim->seen[node][t];
        RsConcurrency_Decay(&seen->concurrency, sim->now_ms);
        sim->reported[node][t].in_flight = seen->in_flight;
        sim->reported[node][t].service_ms =
            seen->answers > 0 ? seen->service_ms : 0;
        record_overdue(sim, node, t);
        sim->reported[node][t].sums =
            RsConcurrency_Reported(&seen->concurrency);
        apply_totals(sim, node, t);
    }
    if (sim->rule == CONSTANT) {
        return;
    }
    RsConcurrency_ResetFactors(service);
    for (uint32_t t = 0; t < sim->deployment->targets; t++) {
        RsConcurrency_CountFactor(service, &sim->seen[node][t]->concurrency,
                                  sim->seen[node][t]->shared_service_ms);
    }
    for (uint32_t t = 0; t < sim->deployment->targets; t++) {
        RsConcurrency_Refresh(&sim->seen[node][t]->concurrency, service);
    }
}

/* Latency gradient: the limit shrinks with the ratio of the lowest latency to
 * the present one, and grows by a headroom. The lowest latency is forgotten
 * slowly, so that a change of speed is taken up. */
static void
step_gradient(const struct sim *sim, struct target *target)
{
    double latency = target->observed.relative_ms / target->observed.samples;
    target->lowest_latency = target->lowest_latency > 0
                                 ? MIN(target->lowest_latency * 1.02, latency)
                                 : latency;
    double gradient = CLAMP(target->lowest_latency / latency, 0.5, 1.0);
    double wanted = target->limit * gradient + sqrt(target->limit);
    target->limit += 0.2 * (wanted - target->limit);
    target->limit =
        CLAMP(target->limit, 1, sim->deployment->slots * (1 + 1.5));
}

/* Additive increase while the limit is used and answers are in time,
 * multiplicative decrease if more than one in ten is late. */
static void
step_aimd(const struct sim *sim, struct target *target)
{
    if (target->observed.late > 0.1 * target->observed.samples) {
        target->limit *= 0.85;
    }
    else if (target->count * 2 >= target->limit) {
        target->limit += 0.5;
    }
    target->limit =
        CLAMP(target->limit, 1, sim->deployment->slots * (1 + 1.5));
}

static void
step_limits(struct sim *sim)
{
    for (uint32_t t = 0; t < sim->deployment->targets; t++) {
        struct target *target = &sim->targets[t];
        if (target->observed.samples < 3) {
            continue;
        }
        if (sim->rule == GRADIENT) {
            step_gradient(sim, target);
        }
        else if (sim->rule == AIMD) {
            step_aimd(sim, target);
        }
        target->observed = (struct observed){0};
    }
}

/* Divides the keys by the capacities that node 0, the granter, knows. */
static void
plan(struct sim *sim)
{
    for (uint32_t t = 0; t < sim->deployment->targets; t++) {
        sim->targets[t].weight = RsLoad_CapacityPerS(
            sim->seen[0][t], sim->deployment->latency_target_ms[0]);
    }
}

/* Returns the limit of a target for the first kind, as node 0 knows it. */
static double
present_limit(const struct sim *sim, uint32_t number)
{
    double service_ms = RsLoad_ServiceMs(sim->seen[0][number]);
    const struct rs_concurrency_input input = {
        sim->deployment->slots, service_ms, service_ms,
        sim->deployment->latency_target_ms[0]};
    switch (sim->rule) {
    case CONSTANT:
        return sim->deployment->slots + 2;
    case MODEL:
        return RsConcurrency_Limit(&input);
    default:
        return sim->targets[number].limit;
    }
}

/* Records whether the granter's view has followed the changed targets, and how
 * much the limits of unchanged ones vary while the load is steady. */
static void
observe(struct sim *sim)
{
    double usual_ms = 0;
    uint32_t usual_count = 0;
    for (uint32_t t = 0; t < sim->deployment->targets; t++) {
        if (!is_changed(t)) {
            usual_ms +=
                RsLoad_ServiceMs(sim->seen[0][t]) * sim->targets[t].speed;
            usual_count++;
        }
    }
    for (uint32_t t = 0; t < sim->deployment->targets; t++) {
        struct target *target = &sim->targets[t];
        double service_ms = RsLoad_ServiceMs(sim->seen[0][t]);
        double limit = present_limit(sim, t);
        if (is_changed(t) && sim->now_ms >= CHANGE_AT_MS &&
            target->limited_at_ms == 0 && limit <= sim->deployment->slots) {
            target->limited_at_ms = sim->now_ms;
        }
        double expected_ms =
            usual_ms / usual_count / target->speed * CHANGE_FACTOR;
        if (is_changed(t) && sim->now_ms >= CHANGE_AT_MS &&
            target->followed_at_ms == 0 &&
            service_ms >= (1 - FOLLOWED_SHARE) * expected_ms) {
            target->followed_at_ms = sim->now_ms;
        }
        if (!is_changed(t) && sim->now_ms >= START_MS + WARM_UP_MS &&
            sim->now_ms < CHANGE_AT_MS) {
            target->limit_sum += limit;
            target->limit_square_sum += limit * limit;
            target->limit_count++;
        }
    }
}

static double
capacity_per_s(const struct deployment *deployment)
{
    double speed = 0;
    double work_ms =
        0.7 * deployment->work_ms[0] + 0.3 * deployment->work_ms[1];
    for (uint32_t t = 0; t < deployment->targets; t++) {
        speed += deployment->speeds[t % SPEEDS];
    }
    return speed * deployment->slots * 1000 / work_ms /
           ((4 + NOISE_PERCENT / 100.0) / 5);
}

static void
run(struct sim *sim)
{
    double per_ms =
        capacity_per_s(sim->deployment) * sim->deployment->utilization / 1000;
    while (sim->now_ms < START_MS + SPAN_MS) {
        sim->now_ms++;
        run_targets(sim);
        for (uint32_t n = 0; n < sim->deployment->nodes; n++) {
            int64_t phase = n * sim->report_every_ms / sim->deployment->nodes;
            if ((sim->now_ms + phase) % sim->report_every_ms == 0) {
                report(sim, n);
            }
            send_pending(sim, n);
        }
        if (sim->now_ms % PLAN_EVERY_MS == 0) {
            plan(sim);
        }
        if (sim->now_ms % 100 == 0) {
            observe(sim);
        }
        if (sim->now_ms % 300 == 0) {
            step_limits(sim);
        }
        double weight_sum = 0;
        for (uint32_t t = 0; t < sim->deployment->targets; t++) {
            weight_sum += sim->targets[t].weight;
        }
        double due = per_ms;
        while (due > 0) {
            if (g_rand_double(sim->random) < due) {
                ask(sim, weight_sum);
            }
            due -= 1;
        }
    }
}

struct result {
    double in_time;
    double late;
    double refused;
    double rejected;
    /* Medians over the targets that change, until the service time and the
     * limit are seen to have changed; SPAN_MS: never. */
    double follow_ms;
    double limit_ms;
    double oscillation; /* mean coefficient of variation of the limits */
};

/* Returns how long after the change of speeds something was seen. */
static double
delay_ms(int64_t seen_at_ms)
{
    return seen_at_ms > 0 ? (double)(seen_at_ms - CHANGE_AT_MS) : SPAN_MS;
}

static int
compare(const void *left, const void *right)
{
    double difference = *(const double *)left - *(const double *)right;
    return (difference > 0) - (difference < 0);
}

static double
median(double *values, uint32_t count)
{
    qsort(values, count, sizeof(values[0]), compare);
    return values[count / 2];
}

static struct result
replay_once(const struct deployment *deployment, enum rule rule, uint32_t seed)
{
    struct sim *sim = new_sim(deployment, rule, seed);
    struct result result = {0};
    double follow_ms[MAX_TARGETS];
    double limit_ms[MAX_TARGETS];
    uint32_t changed = 0;
    uint32_t steady = 0;
    run(sim);
    for (uint32_t t = 0; t < deployment->targets; t++) {
        const struct target *target = &sim->targets[t];
        if (is_changed(t)) {
            follow_ms[changed] = delay_ms(target->followed_at_ms);
            limit_ms[changed] = delay_ms(target->limited_at_ms);
            changed++;
        }
        else {
            double mean = target->limit_sum / target->limit_count;
            double square = target->limit_square_sum / target->limit_count;
            result.oscillation += sqrt(MAX(square - mean * mean, 0.0)) / mean;
            steady++;
        }
    }
    result.follow_ms = median(follow_ms, changed);
    result.limit_ms = median(limit_ms, changed);
    result.oscillation /= steady;
    result.in_time = (double)sim->in_time / sim->asked;
    result.late = (double)sim->late / sim->asked;
    result.refused = (double)sim->refused / sim->asked;
    result.rejected = (double)sim->rejected / sim->asked;
    free_sim(sim);
    return result;
}

static const struct deployment heating = {
    .name = "heating",
    .nodes = 75,
    .targets = 187,
    .slots = 6,
    .speeds = {0.6, 1.0, 1.6},
    .work_ms = {260, 330},
    .latency_target_ms = {800, 1200},
    .utilization = 0.7,
    .seeds = 1,
};

static const struct deployment cadastre = {
    .name = "cadastre",
    .nodes = 65,
    .targets = 119,
    .slots = 2,
    .speeds = {0.6, 1.0, 1.4},
    .work_ms = {260, 330},
    .latency_target_ms = {500, 800},
    .utilization = 0.5,
    .seeds = 3,
};

/* Returns the means over several seeds, and prints them. */
static struct result
replay(const struct deployment *deployment, enum rule rule)
{
    static const char *const names[RULES] = {"constant", "model", "gradient",
                                             "aimd"};
    struct result mean = {0};
    for (uint32_t seed = 1; seed <= deployment->seeds; seed++) {
        struct result result = replay_once(deployment, rule, seed);
        mean.in_time += result.in_time / deployment->seeds;
        mean.late += result.late / deployment->seeds;
        mean.refused += result.refused / deployment->seeds;
        mean.rejected += result.rejected / deployment->seeds;
        mean.follow_ms += result.follow_ms / deployment->seeds;
        mean.limit_ms += result.limit_ms / deployment->seeds;
        mean.oscillation += result.oscillation / deployment->seeds;
    }
    printf("%-14s %.2f %-8s in time %.3f late %.3f refused %.3f "
           "rejected %.4f follow %5.0f ms limit %5.0f ms varies %.3f\n",
           deployment->name, deployment->utilization, names[rule],
           mean.in_time, mean.late, mean.refused, mean.rejected,
           mean.follow_ms, mean.limit_ms, mean.oscillation);
    return mean;
}

/* Replays a deployment at two loads with all rules. More answers are in time
 * than with a constant room, and no fewer than with the other algorithms. */
static void
check(struct deployment deployment, double high_utilization)
{
    for (int high = 0; high < 2; high++) {
        if (high) {
            deployment.utilization = high_utilization;
        }
        struct result constant = replay(&deployment, CONSTANT);
        struct result model = replay(&deployment, MODEL);
        struct result gradient = replay(&deployment, GRADIENT);
        struct result aimd = replay(&deployment, AIMD);
        CU_ASSERT_TRUE(model.in_time > constant.in_time);
        CU_ASSERT_TRUE(model.in_time >= gradient.in_time - TOLERANCE);
        CU_ASSERT_TRUE(model.in_time >= aimd.in_time - TOLERANCE);
        CU_ASSERT_TRUE(model.limit_ms <= MAX_FOLLOW_MS);
        CU_ASSERT_TRUE(model.oscillation <= MAX_VARIATION);
        CU_ASSERT_TRUE(model.rejected <= MAX_REJECTED);
    }
}

/* With six slots a queue of two is too short, and slow targets owned as many
 * keys as fast ones. */
static void
test_large_targets_answer_more_in_time(void)
{
    check(heating, 0.85);
}

/* With two slots a queue of two is too long for the slow targets. */
static void
test_small_targets_answer_more_in_time(void)
{
    check(cadastre, 0.65);
}

/* Work that differs ten times must not be taken for a difference of speed. */
static void
test_long_work_beside_short_work(void)
{
    struct deployment large = heating;
    struct deployment small = cadastre;
    large.name = "heating-mixed";
    small.name = "cadastre-mixed";
    large.work_ms[0] = small.work_ms[0] = 100;
    large.work_ms[1] = small.work_ms[1] = 1000;
    large.latency_target_ms[1] = small.latency_target_ms[1] = 3000;
    check(large, 0.85);
    check(small, 0.65);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("concurrency simulation", NULL, NULL);
    CU_ADD_TEST(suite, test_large_targets_answer_more_in_time);
    CU_ADD_TEST(suite, test_small_targets_answer_more_in_time);
    CU_ADD_TEST(suite, test_long_work_beside_short_work);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
