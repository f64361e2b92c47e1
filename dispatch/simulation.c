#include "dispatch/simulation.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "dispatch/admission.h"
#include "dispatch/choice.h"
#include "dispatch/health.h"
#include "dispatch/ramp.h"
#include "dispatch/retry.h"

#define TARGETS RsSimulation_TARGETS
#define SLOTS 2
#define WINDOW 2
#define TARGET_QUEUE_CAPACITY                                                 \
    64 /* a target with as many waiting refuses requests */
#define QUEUE_CAPACITY 256
#define HOP_US 1000        /* one-way network latency */
#define FIXED_RUN_US 2000  /* constant part of a run */
#define RANDOM_RUN_US 8000 /* mean of the exponential part of a run */
#define TIMEOUT_US 1000000
#define TICK_US 10000
/* The ramp's setting `cold_ms`. How long a simulated target really is cold is
 * `cold_us` in struct rs_simulation_setup. */
#define COLD_SETTING_MS 3000
#define FAULT_FROM_US RsSimulation_FAULT_FROM_US
#define END_US 12000000 /* no request arrives from then on */
#define CALLERS 64
#define US_PER_MS 1000
#define US_PER_S 1000000

enum event_kind {
    RsSimulation_ARRIVE,
    RsSimulation_SUBMIT,
    RsSimulation_HEDGE,
    RsSimulation_RECEIVE,
    RsSimulation_FINISH,
    RsSimulation_ANSWER,
    RsSimulation_TICK,
    RsSimulation_FAULT,
    RsSimulation_REPAIR
};

/* One caller's request. */
struct job {
    struct rs_retry_request retry;
    struct attempt *latest[2]; /* attempts; the second only if hedged */
    int64_t arrival_us;
    size_t key_target;  /* used if the requests are keyed */
    size_t last_target; /* of the last attempt, or RsChoice_NONE */
    uint64_t caller;
    int64_t run_us; /* on a target that is not slowed down */
    bool arrived_during_fault;
};

/* One try of a job at a target. */
struct attempt {
    struct job *job;
    bool queued; /* in the admission queue */
    size_t target;
    uint64_t id;
    /* `restart_count` of the target when it received the attempt */
    unsigned target_restart_count;
    int64_t sent_us;
    enum rs_outcome outcome;
    bool refused; /* by the target */
    bool refused_as_cold;
};

struct event {
    int64_t at_us;
    uint64_t number; /* order of events at the same time */
    enum event_kind kind;
    void *subject; /* struct job or attempt, or NULL; depends on `kind` */
};

struct target {
    struct rs_admission *admission;
    struct rs_ramp ramp;
    struct rs_health health;
    GQueue waiting;
    GHashTable *attempts; /* waiting or running at the target, by id */
    uint32_t running;
    unsigned restart_count;
    double slow_factor;
    int64_t cold_since_us; /* -1 if warm */
    /* most requests waiting and running at once since its last restart, with
     * one that it refused */
    uint32_t max_open_requests;
};

struct simulation {
    const struct rs_simulation_setup *setup;
    GRand *random;
    GSequence *events;
    uint64_t event_number;
    uint64_t attempt_number;
    int64_t now_us;
    struct target targets[TARGETS];
    GHashTable *open_attempts; /* by id, from submission to end; not owned */
    GPtrArray *jobs;           /* owns the jobs */
    GPtrArray *all_attempts;   /* owns the attempts */
    struct rs_choice choice;
    struct rs_retry retry;
    struct rs_simulation_results results;
};

static int64_t
now_ms(const struct simulation *simulation)
{
    return simulation->now_us / US_PER_MS;
}

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer arg)
{
    const struct event *left = a;
    const struct event *right = b;
    if (left->at_us != right->at_us) {
        return left->at_us < right->at_us ? -1 : 1;
    }
    return left->number < right->number ? -1 : 1;
}

static void
schedule(struct simulation *simulation, int64_t at_us, enum event_kind kind,
         void *subject)
{
    struct event *event = g_new(struct event, 1);
    event->at_us = at_us;
    event->number = simulation->event_number++;
    event->kind = kind;
    event->subject = subject;
    g_sequence_insert_sorted(simulation->events, event, compare_events, NULL);
}

static double
draw_exponential(struct simulation *simulation, double mean)
{
    double uniform = 1.0 - g_rand_double(simulation->random);
    double value = 0.0;
    for (double power = uniform; power < 1.0 && value < 20.0;) {
        /* Computes -ln(uniform) by doubling and a series, so that libm is not
         * needed. */
        if (power <= 0.5) {
            power *= 2.0;
            value += 0.69314718055994531;
            continue;
        }
        double ratio = (1.0 - power) / (1.0 + power);
        double square = ratio * ratio;
        value += 2.0 * ratio *
                 (1.0 + square / 3.0 + square * square / 5.0 +
                  square * square * square / 7.0);
        break;
    }
    return value * mean;
}

static void
finish_job(struct simulation *simulation, struct job *job,
           enum rs_outcome outcome)
{
    struct rs_simulation_results *results = &simulation->results;
    int64_t latency_us = simulation->now_us - job->arrival_us;
    if (outcome == RsOutcome_DONE) {
        RsRetry_RecordLatency(&simulation->retry, latency_us);
    }
    if (!job->arrived_during_fault) {
        return;
    }
    if (outcome == RsOutcome_DONE && latency_us <= TIMEOUT_US) {
        results->answered++;
        RsHistogram_Record(&results->latency_us, (uint64_t)latency_us);
    }
    else if (outcome == RsOutcome_NOT_RUN) {
        results->not_run++;
    }
    else {
        results->unknown++;
    }
}

/* Removes any attempt of an answered job that is still in an admission queue.
 * An attempt that was already sent keeps running at its target. */
static void
cancel_queued(struct simulation *simulation, struct job *job)
{
    for (size_t i = 0; i < 2; i++) {
        struct attempt *attempt = job->latest[i];
        if (attempt == NULL || !attempt->queued) {
            continue;
        }
        struct target *target = &simulation->targets[attempt->target];
        attempt->queued = false;
        g_hash_table_remove(simulation->open_attempts, &attempt->id);
        RsAdmission_Cancel(target->admission, now_ms(simulation), attempt->id);
    }
}

static void
apply_retry_policy(struct simulation *simulation, struct job *job,
                   enum rs_outcome outcome, uint32_t retry_after_ms)
{
    struct rs_retry_decision decision;
    RsRetry_Decide(&simulation->retry, &job->retry, now_ms(simulation),
                   outcome, retry_after_ms, &decision);
    if (decision.action == RsRetry_RETRY) {
        int64_t at_us = decision.at_ms * US_PER_MS;
        schedule(simulation, MAX(at_us, simulation->now_us),
                 RsSimulation_SUBMIT, job);
    }
    else if (decision.action == RsRetry_ANSWER) {
        finish_job(simulation, job, decision.outcome);
        cancel_queued(simulation, job);
    }
}

static void
send_attempt(struct simulation *simulation, struct attempt *attempt)
{
    struct target *target = &simulation->targets[attempt->target];
    attempt->sent_us = simulation->now_us;
    RsHealth_RecordSent(&target->health, now_ms(simulation), RsHealth_REQUEST);
    schedule(simulation, simulation->now_us + HOP_US, RsSimulation_RECEIVE,
             attempt);
}

static void
handle_admission_events(struct simulation *simulation, size_t index)
{
    struct rs_admission_event event;
    struct rs_admission *admission = simulation->targets[index].admission;
    while (RsAdmission_NextEvent(admission, &event)) {
        struct attempt *attempt =
            g_hash_table_lookup(simulation->open_attempts, &event.id);
        attempt->queued = false;
        if (event.verdict.kind == RsAdmission_RUN) {
            send_attempt(simulation, attempt);
            continue;
        }
        g_hash_table_remove(simulation->open_attempts, &event.id);
        apply_retry_policy(simulation, attempt->job, RsOutcome_NOT_RUN,
                           event.verdict.retry_after_ms);
    }
}

static size_t
choose_target(struct simulation *simulation, const struct job *job)
{
    struct rs_choice_target choices[TARGETS];
    if (simulation->setup->keyed) {
        return job->key_target;
    }
    for (size_t i = 0; i < TARGETS; i++) {
        const struct target *target = &simulation->targets[i];
        struct rs_admission_status status;
        RsAdmission_GetStatus(target->admission, &status);
        choices[i] = (struct rs_choice_target){
            .usable = true,
            .state = target->health.state,
            .in_flight = status.in_flight + status.queued,
            .limit = status.limit,
            .latency_us = RsHealth_ExpectedLatencyUs(&target->health,
                                                     now_ms(simulation))};
    }
    return RsChoice_Pick(&simulation->choice, choices, TARGETS,
                         job->last_target);
}

static void
submit_attempt(struct simulation *simulation, struct job *job)
{
    struct attempt *attempt = g_new0(struct attempt, 1);
    struct rs_admission_verdict verdict;
    g_ptr_array_add(simulation->all_attempts, attempt);
    attempt->job = job;
    attempt->id = ++simulation->attempt_number;
    attempt->target = choose_target(simulation, job);
    job->last_target = attempt->target;
    struct rs_admission_request request = {.id = attempt->id,
                                           .caller = job->caller,
                                           .deadline_ms =
                                               job->retry.deadline_ms};
    struct rs_admission *admission =
        simulation->targets[attempt->target].admission;
    job->latest[job->retry.in_flight % 2] = attempt;
    RsRetry_RecordSent(&job->retry);
    g_hash_table_insert(simulation->open_attempts, &attempt->id, attempt);
    RsAdmission_Submit(admission, now_ms(simulation), &request, &verdict);
    if (verdict.kind == RsAdmission_RUN) {
        send_attempt(simulation, attempt);
    }
    else if (verdict.kind == RsAdmission_QUEUED) {
        attempt->queued = true;
    }
    else {
        g_hash_table_remove(simulation->open_attempts, &attempt->id);
        apply_retry_policy(simulation, job, RsOutcome_NOT_RUN,
                           verdict.retry_after_ms);
    }
    handle_admission_events(simulation, attempt->target);
}

static void
arrive(struct simulation *simulation)
{
    const struct rs_simulation_setup *setup = simulation->setup;
    double rate = setup->load * TARGETS * SLOTS /
                  (FIXED_RUN_US + RANDOM_RUN_US); /* per microsecond */
    struct job *job = g_new0(struct job, 1);
    g_ptr_array_add(simulation->jobs, job);
    job->arrival_us = simulation->now_us;
    job->key_target = (size_t)g_rand_int_range(simulation->random, 0, TARGETS);
    job->caller = (uint64_t)g_rand_int_range(simulation->random, 0, CALLERS);
    job->run_us =
        FIXED_RUN_US + (int64_t)draw_exponential(simulation, RANDOM_RUN_US);
    job->last_target = RsChoice_NONE;
    job->arrived_during_fault = simulation->now_us >= FAULT_FROM_US &&
                                simulation->now_us < setup->fault_until_us;
    simulation->results.offered += job->arrived_during_fault;
    RsRetry_BeginRequest(&simulation->retry, &job->retry, true, setup->keyed,
                         (simulation->now_us + TIMEOUT_US) / US_PER_MS);
    submit_attempt(simulation, job);
    int64_t hedge_ms =
        RsRetry_HedgeAtMs(&simulation->retry, &job->retry, now_ms(simulation));
    if (hedge_ms != RsClock_NEVER_MS) {
        schedule(simulation, hedge_ms * US_PER_MS, RsSimulation_HEDGE, job);
    }
    int64_t next_arrival_us =
        simulation->now_us + 1 +
        (int64_t)draw_exponential(simulation, 1.0 / rate);
    if (next_arrival_us < END_US) {
        schedule(simulation, next_arrival_us, RsSimulation_ARRIVE, NULL);
    }
}

static void
send_answer(struct simulation *simulation, struct attempt *attempt,
            enum rs_outcome outcome, bool refused)
{
    attempt->outcome = outcome;
    attempt->refused = refused;
    g_hash_table_remove(simulation->targets[attempt->target].attempts,
                        &attempt->id);
    schedule(simulation, simulation->now_us + HOP_US, RsSimulation_ANSWER,
             attempt);
}

/* Returns how many requests the target accepts at once, the
 * TARGET_QUEUE_CAPACITY aside: UINT32_MAX if it is warm; while it is cold, at
 * least 1 and a share of the slots that grows with the time since its restart.
 * Marks it as warm after `cold_us`. */
static uint32_t
accepted_at_once(const struct simulation *simulation, struct target *target)
{
    int64_t cold_us = simulation->now_us - target->cold_since_us;
    if (target->cold_since_us < 0 || cold_us >= simulation->setup->cold_us) {
        target->cold_since_us = -1;
        return UINT32_MAX;
    }
    uint32_t share = (uint32_t)(SLOTS * cold_us / simulation->setup->cold_us);
    return MAX(share, 1);
}

static void
start_runs(struct simulation *simulation, struct target *target)
{
    while (target->running < SLOTS) {
        struct attempt *attempt = g_queue_pop_head(&target->waiting);
        if (attempt == NULL) {
            return;
        }
        if (now_ms(simulation) >= attempt->job->retry.deadline_ms) {
            send_answer(simulation, attempt, RsOutcome_NOT_RUN, false);
            continue;
        }
        double run_us = (double)attempt->job->run_us * target->slow_factor;
        target->running++;
        schedule(simulation, simulation->now_us + (int64_t)run_us,
                 RsSimulation_FINISH, attempt);
    }
}

static void
receive_at_target(struct simulation *simulation, struct attempt *attempt)
{
    struct target *target = &simulation->targets[attempt->target];
    uint32_t open_count = target->running + target->waiting.length;
    uint32_t capacity = accepted_at_once(simulation, target);
    attempt->target_restart_count = target->restart_count;
    target->max_open_requests = MAX(target->max_open_requests, open_count + 1);
    if (open_count >= capacity ||
        target->waiting.length >= TARGET_QUEUE_CAPACITY) {
        attempt->refused_as_cold = open_count >= capacity;
        simulation->results.target_refusals++;
        send_answer(simulation, attempt, RsOutcome_NOT_RUN, true);
        return;
    }
    g_hash_table_insert(target->attempts, &attempt->id, attempt);
    g_queue_push_tail(&target->waiting, attempt);
    start_runs(simulation, target);
}

static void
finish_run(struct simulation *simulation, struct attempt *attempt)
{
    struct target *target = &simulation->targets[attempt->target];
    if (attempt->target_restart_count != target->restart_count) {
        return;
    }
    target->running--;
    bool late = now_ms(simulation) >= attempt->job->retry.deadline_ms;
    send_answer(simulation, attempt, late ? RsOutcome_NOT_RUN : RsOutcome_DONE,
                false);
    start_runs(simulation, target);
}

static void
apply_ramp(struct simulation *simulation, size_t index)
{
    struct target *target = &simulation->targets[index];
    uint32_t ceiling = RsRamp_Ceiling(&target->ramp, now_ms(simulation));
    RsAdmission_SetCeiling(target->admission, now_ms(simulation), ceiling);
    handle_admission_events(simulation, index);
}

static enum rs_admission_outcome
admission_outcome(const struct attempt *attempt)
{
    if (attempt->refused) {
        return RsAdmission_TARGET_REFUSED;
    }
    return attempt->outcome == RsOutcome_UNKNOWN ? RsAdmission_FAILED
                                                 : RsAdmission_DONE;
}

static void
handle_answer(struct simulation *simulation, struct attempt *attempt)
{
    struct target *target = &simulation->targets[attempt->target];
    int64_t latency_us = simulation->now_us - attempt->sent_us;
    int64_t at_ms = now_ms(simulation);
    g_hash_table_remove(simulation->open_attempts, &attempt->id);
    if (attempt->refused) {
        RsHealth_RecordRefusal(&target->health, at_ms);
    }
    else {
        RsHealth_RecordAnswer(&target->health, at_ms, RsHealth_REQUEST,
                              latency_us);
        RsRamp_RecordAnswer(&target->ramp, at_ms, latency_us);
    }
    if (attempt->refused_as_cold) {
        RsRamp_RecordColdRefusal(&target->ramp, at_ms);
        apply_ramp(simulation, attempt->target);
    }
    apply_retry_policy(simulation, attempt->job, attempt->outcome, 0);
    RsAdmission_Finish(target->admission, at_ms, attempt->id,
                       admission_outcome(attempt), latency_us);
    handle_admission_events(simulation, attempt->target);
}

static void
hedge(struct simulation *simulation, struct job *job)
{
    if (RsRetry_TryHedge(&simulation->retry, &job->retry,
                         now_ms(simulation))) {
        submit_attempt(simulation, job);
    }
}

static void
tick(struct simulation *simulation)
{
    const struct rs_health *peers[TARGETS];
    for (size_t i = 0; i < TARGETS; i++) {
        peers[i] = &simulation->targets[i].health;
    }
    int64_t at_ms = now_ms(simulation);
    double median_us = RsHealth_MedianLatencyUs(peers, TARGETS, at_ms);
    for (size_t i = 0; i < TARGETS; i++) {
        struct target *target = &simulation->targets[i];
        RsHealth_Update(&target->health, at_ms, median_us);
        RsAdmission_Expire(target->admission, at_ms);
        apply_ramp(simulation, i);
    }
    if (simulation->now_us < END_US + 2 * TIMEOUT_US) {
        schedule(simulation, simulation->now_us + TICK_US, RsSimulation_TICK,
                 NULL);
    }
}

static void
restart(struct simulation *simulation, struct target *target)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, target->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct attempt *attempt = value;
        attempt->outcome = RsOutcome_UNKNOWN;
        schedule(simulation, simulation->now_us + HOP_US, RsSimulation_ANSWER,
                 attempt);
    }
    g_hash_table_remove_all(target->attempts);
    g_queue_clear(&target->waiting);
    target->running = 0;
    target->restart_count++;
    target->cold_since_us = simulation->now_us;
    target->max_open_requests = 0;
    RsRamp_RecordConnectFailure(&target->ramp);
    RsRamp_RecordConnect(&target->ramp, now_ms(simulation));
}

static void
inject_fault(struct simulation *simulation)
{
    for (size_t i = 0; i < simulation->setup->slowed_count; i++) {
        simulation->targets[i].slow_factor = simulation->setup->slow_factor;
    }
    for (size_t i = 0; i < simulation->setup->restarted_count; i++) {
        restart(simulation, &simulation->targets[i]);
        apply_ramp(simulation, i);
    }
}

static void
repair_targets(struct simulation *simulation)
{
    for (size_t i = 0; i < TARGETS; i++) {
        simulation->targets[i].slow_factor = 1.0;
    }
}

static void
handle_event(struct simulation *simulation, const struct event *event)
{
    switch (event->kind) {
    case RsSimulation_ARRIVE:
        arrive(simulation);
        break;
    case RsSimulation_SUBMIT:
        submit_attempt(simulation, event->subject);
        break;
    case RsSimulation_HEDGE:
        hedge(simulation, event->subject);
        break;
    case RsSimulation_RECEIVE:
        receive_at_target(simulation, event->subject);
        break;
    case RsSimulation_FINISH:
        finish_run(simulation, event->subject);
        break;
    case RsSimulation_ANSWER:
        handle_answer(simulation, event->subject);
        break;
    case RsSimulation_TICK:
        tick(simulation);
        break;
    case RsSimulation_FAULT:
        inject_fault(simulation);
        break;
    case RsSimulation_REPAIR:
        repair_targets(simulation);
        break;
    }
}

static void
init_target(struct target *target, const struct rs_simulation_setup *setup)
{
    struct rs_admission_options admission = {
        .limit_policy = RsLimit_FindPolicy(setup->admission),
        .slots = SLOTS,
        .window = WINDOW,
        .queue_capacity = QUEUE_CAPACITY,
        .max_run_ms = 500};
    struct rs_ramp_options ramp = {.policy = RsRamp_FindPolicy(setup->ramp),
                                   .slots = SLOTS,
                                   .window = WINDOW,
                                   .cold_ms = COLD_SETTING_MS,
                                   .connections = 110,
                                   .connection_cost_us = 1000,
                                   .connection_share = 0.1};
    struct rs_health_options health = {.suspect_ms = 200,
                                       .lost_ms = 500,
                                       .recovery_ms = 300,
                                       .slow_ms = 100,
                                       .fast_ms = 500,
                                       .stale_ms = 5000,
                                       .slow_factor = 2.5,
                                       .fast_factor = 1.5,
                                       .min_share_change = 0.2,
                                       .share_interval_ms = 1000,
                                       .max_connect_failures = 3};
    target->admission = RsAdmission_New(&admission);
    RsRamp_Init(&target->ramp, &ramp);
    RsRamp_MarkWarm(&target->ramp, 0, 1);
    RsHealth_Init(&target->health, &health, 0);
    g_queue_init(&target->waiting);
    target->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
    target->slow_factor = 1.0;
    target->cold_since_us = -1;
}

static void
init_simulation(struct simulation *simulation,
                const struct rs_simulation_setup *setup, uint32_t seed)
{
    struct rs_retry_options retry = {.policy =
                                         RsRetry_FindPolicy(setup->retry),
                                     .seed = seed,
                                     .max_tries = 3,
                                     .max_redirects = 3,
                                     .backoff_ms = 10,
                                     .max_backoff_ms = 200,
                                     .budget_share = 0.1,
                                     .hedge_share = setup->hedge_share,
                                     .burst = 20,
                                     .min_hedge_ms = 5};
    memset(simulation, 0, sizeof(*simulation));
    simulation->setup = setup;
    simulation->random = g_rand_new_with_seed(seed);
    simulation->events = g_sequence_new(g_free);
    simulation->open_attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
    simulation->jobs = g_ptr_array_new_with_free_func(g_free);
    simulation->all_attempts = g_ptr_array_new_with_free_func(g_free);
    RsChoice_Init(&simulation->choice, RsChoice_FindPolicy(setup->choice),
                  seed);
    RsRetry_Init(&simulation->retry, &retry);
    for (size_t i = 0; i < TARGETS; i++) {
        init_target(&simulation->targets[i], setup);
    }
}

static void
free_simulation(struct simulation *simulation)
{
    for (size_t i = 0; i < TARGETS; i++) {
        RsAdmission_Free(simulation->targets[i].admission);
        g_queue_clear(&simulation->targets[i].waiting);
        g_hash_table_destroy(simulation->targets[i].attempts);
    }
    g_hash_table_destroy(simulation->open_attempts);
    g_ptr_array_free(simulation->jobs, TRUE);
    g_ptr_array_free(simulation->all_attempts, TRUE);
    g_sequence_free(simulation->events);
    g_rand_free(simulation->random);
}

static void
add_results(const struct simulation *simulation,
            struct rs_simulation_results *sum)
{
    const struct rs_simulation_results *results = &simulation->results;
    const struct rs_retry_counts *counts = &simulation->retry.counts;
    assert(results->answered + results->not_run + results->unknown ==
           results->offered);
    RsHistogram_Merge(&sum->latency_us, &results->latency_us);
    sum->offered += results->offered;
    sum->answered += results->answered;
    sum->not_run += results->not_run;
    sum->unknown += results->unknown;
    sum->target_refusals += results->target_refusals;
    sum->first_tries += counts->first_tries;
    sum->extra_tries += counts->retries + counts->hedges;
    for (size_t i = 0; i < TARGETS; i++) {
        sum->max_open_requests = MAX(sum->max_open_requests,
                                     simulation->targets[i].max_open_requests);
    }
}

/* Runs the simulation of `setup` to its end. Adds its counts to `results`, and
 * raises `max_open_requests` there if its own is greater. Arrivals, keys and
 * run times depend only on `seed` and the load, not on the policies. */
void
RsSimulation_Run(const struct rs_simulation_setup *setup, uint32_t seed,
                 struct rs_simulation_results *results)
{
    static struct simulation simulation;
    init_simulation(&simulation, setup, seed);
    schedule(&simulation, 0, RsSimulation_ARRIVE, NULL);
    schedule(&simulation, TICK_US, RsSimulation_TICK, NULL);
    schedule(&simulation, FAULT_FROM_US, RsSimulation_FAULT, NULL);
    schedule(&simulation, setup->fault_until_us, RsSimulation_REPAIR, NULL);
    GSequence *events = simulation.events;
    while (!g_sequence_is_empty(events)) {
        GSequenceIter *first = g_sequence_get_begin_iter(events);
        struct event event = *(struct event *)g_sequence_get(first);
        g_sequence_remove(first);
        simulation.now_us = event.at_us;
        handle_event(&simulation, &event);
    }
    add_results(&simulation, results);
    free_simulation(&simulation);
}
