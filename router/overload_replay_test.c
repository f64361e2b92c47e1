/* Replays the load of many nodes on the owners of keys, at 0.9 to 1.6 times
 * what the owners can run, with requests of three ranks and callers that come
 * back once after a refusal. Each node sees less than one request a second for
 * an owner and knows the load of the others only from sums that are some
 * hundred milliseconds old.
 *
 * The former rules are replayed for comparison: requests wait for up to their
 * latency target, and admission control begins at twice the capacity. */

#include <CUnit/Basic.h>
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "core/log.h"
#include "router/fixture.h"
#include "router/load.h"
#include "router/overload.h"

#define START_MS 100000
#define MAX_NODES 75
#define MAX_TARGETS 187
#define MAX_JOBS 30
#define MAX_KINDS 3
#define WARM_UP_MS 6000
#define COUNTED_MS 8000
/* The last callers counted are given this long to come to an end. */
#define TAIL_MS 5000
#define REPORT_MS_PER_NODE 5
#define PLAN_EVERY_MS 300
#define QUEUE_EVERY_MS 4
#define RATE_WINDOW_MS 3000.0
/* The granter adds the weights of keys without requests, see
 * router/balance.c. */
#define BASE_WEIGHT 0.15
#define NOISE_MS 400
#define NOISE_FACTOR 3.0
#define MAX_SHARE_OF_TIME_LEFT 3

/* See "Part C" of docs/design/hard-load.md. */
#define MIN_RANK_PART 0.25
/* Of the callers who are told when they can be served, most must be. */
#define MAX_LOST_PLACES 0.25
#define MAX_RANK_DISADVANTAGE_PERCENT 5
/* As much of the urgent ranks may be lost although there is room for them. */
#define MAX_URGENT_REFUSED_PERCENT 5

/* The requests of one route. */
struct kind {
    uint32_t rank;
    uint32_t weight;
    double work_ms;
    int64_t latency_target_ms;
    int64_t deadline_ms;
};

/* One service of a deployment. */
struct scenario {
    const char *name;
    uint32_t nodes;
    uint32_t targets;
    uint32_t slots;
    uint32_t queue;
    uint32_t kind_count;
    struct kind kinds[MAX_KINDS];
};

static const struct scenario heating = {
    .name = "heating",
    .nodes = 75,
    .targets = 187,
    .slots = 6,
    .queue = 24,
    .kind_count = 3,
    .kinds = {{0, 3, 180, 800, 2500},
              {1, 4, 330, 1200, 3500},
              {2, 10, 260, 800, 2500}},
};

static const struct scenario cadastre = {
    .name = "cadastre",
    .nodes = 65,
    .targets = 119,
    .slots = 2,
    .queue = 8,
    .kind_count = 1,
    .kinds = {{0, 1, 220, 500, 2500}},
};

enum outcome {
    RsReplay_IN_TIME,
    RsReplay_LATE,
    RsReplay_REFUSED_TWICE,
    RsReplay_OUTCOMES
};

/* A caller with one request, which it may send a second time. */
struct call {
    uint32_t kind;
    uint32_t node;
    uint32_t target;
    uint64_t fingerprint;
    bool has_place;  /* reserved by the node that refused it */
    bool uses_place; /* admitted by it */
    bool counts;
    bool is_second;
    int64_t sent_at_ms; /* by the caller, this time */
    int64_t deadline_at_ms;
    int64_t wait_until_ms;
    int64_t come_back_at_ms;
    /* At the target. */
    int64_t started_at_ms; /* sent by the node */
    int64_t end_at_ms;     /* 0 while it waits */
    double ahead;
};

struct target {
    double speed;
    double share; /* of the load of the service */
    struct call *jobs[MAX_JOBS];
    uint32_t count;
    double demand_per_s; /* moving average */
    uint32_t asked;      /* since the last plan */
};

struct replay {
    const struct scenario *scenario;
    bool former_rules;
    double load;
    struct rs_fleet fleets[MAX_NODES];
    struct rs_load_choice_input choices[MAX_NODES];
    struct rs_overload_places places[MAX_NODES];
    uint64_t last_fingerprint;
    uint32_t with_place; /* callers who were given one */
    uint32_t place_lost; /* of these, refused nevertheless */
    struct rs_overload_mix mixes[MAX_NODES];
    struct rs_fleet_target *seen[MAX_NODES][MAX_TARGETS];
    uint32_t reported[MAX_NODES][MAX_TARGETS];
    uint32_t sums[MAX_TARGETS];
    struct target targets[MAX_TARGETS];
    GQueue
        waiting[MAX_NODES]; /* struct call, by arrival plus latency target */
    GQueue returning;       /* struct call, in no order */
    GRand *random;
    int64_t now_ms;
    uint32_t callers[MAX_KINDS];
    uint32_t outcomes[MAX_KINDS][RsReplay_OUTCOMES];
    uint32_t waited_and_refused;
    uint32_t rejected; /* by targets that were full */
    uint64_t busy_ms;  /* of all slots, while callers are counted */
};

static double
capacity_per_s(const struct replay *replay)
{
    const struct scenario *scenario = replay->scenario;
    double work_ms = 0;
    uint32_t weight = 0;
    double speed = 0;
    for (uint32_t i = 0; i < scenario->kind_count; i++) {
        work_ms += scenario->kinds[i].work_ms * scenario->kinds[i].weight;
        weight += scenario->kinds[i].weight;
    }
    for (uint32_t t = 0; t < scenario->targets; t++) {
        speed += replay->targets[t].speed;
    }
    return speed * scenario->slots * 1000 * weight / work_ms;
}

static const struct kind *
kind_of(const struct replay *replay, const struct call *call)
{
    return &replay->scenario->kinds[call->kind];
}

static void
open_node(struct replay *replay, uint32_t n)
{
    RsFixture_InitFleet(&replay->fleets[n], replay->scenario->targets,
                        replay->seen[n], START_MS);
    RsOverload_InitPlaces(&replay->places[n]);
    for (uint32_t t = 0; t < replay->scenario->targets; t++) {
        replay->seen[n][t]->report.slots = replay->scenario->slots;
    }
    replay->choices[n] = (struct rs_load_choice_input){
        .fleet = &replay->fleets[n],
        .service = g_intern_string("s"),
        .zone = g_intern_string("z"),
        .share = {.nodes = replay->scenario->nodes,
                  .zone_nodes = replay->scenario->nodes,
                  .zone_rank = n},
        .random = replay->random,
    };
}

/* `load` is a multiple of what all targets can run. Keys are spread over the
 * targets by their speed, within 15%. */
static struct replay *
new_replay(const struct scenario *scenario, double load, bool former_rules)
{
    static const double speeds[] = {0.6, 0.85, 1.0, 1.15, 1.6};
    struct replay *replay = g_new0(struct replay, 1);
    double sum = 0;
    replay->scenario = scenario;
    replay->load = load;
    replay->former_rules = former_rules;
    replay->random = g_rand_new_with_seed(11);
    replay->now_ms = START_MS;
    for (uint32_t t = 0; t < scenario->targets; t++) {
        struct target *target = &replay->targets[t];
        target->speed = speeds[t % G_N_ELEMENTS(speeds)];
        target->share =
            target->speed * g_rand_double_range(replay->random, 0.85, 1.15);
        sum += target->share;
    }
    for (uint32_t t = 0; t < scenario->targets; t++) {
        replay->targets[t].share /= sum;
    }
    for (uint32_t n = 0; n < scenario->nodes; n++) {
        open_node(replay, n);
    }
    return replay;
}

static void
free_replay(struct replay *replay)
{
    for (uint32_t n = 0; n < replay->scenario->nodes; n++) {
        RsFleet_Clear(&replay->fleets[n]);
        RsOverload_ClearPlaces(&replay->places[n]);
        g_queue_clear_full(&replay->waiting[n], g_free);
    }
    for (uint32_t t = 0; t < replay->scenario->targets; t++) {
        for (uint32_t i = 0; i < replay->targets[t].count; i++) {
            g_free(replay->targets[t].jobs[i]);
        }
    }
    g_queue_clear_full(&replay->returning, g_free);
    g_rand_free(replay->random);
    g_free(replay);
}

static bool
is_counting(const struct replay *replay)
{
    return replay->now_ms >= START_MS + WARM_UP_MS &&
           replay->now_ms < START_MS + WARM_UP_MS + COUNTED_MS;
}

static void
end_call(struct replay *replay, struct call *call, enum outcome outcome)
{
    replay->outcomes[call->kind][outcome] += call->counts;
    g_free(call);
}

/* A fifth of the targets take three times as long for a fifth of the time. */
static double
slowness(const struct replay *replay, uint32_t number)
{
    uint64_t turn = (uint64_t)(replay->now_ms / NOISE_MS) * 2654435761U;
    return number % 5 == 2 && ((turn >> 7) + number * 7) % 5 == 0
               ? NOISE_FACTOR
               : 1;
}

static void
start_jobs(struct replay *replay, uint32_t number)
{
    struct target *target = &replay->targets[number];
    for (uint32_t i = 0; i < target->count && i < replay->scenario->slots;
         i++) {
        struct call *job = target->jobs[i];
        if (job->end_at_ms == 0) {
            double work_ms = kind_of(replay, job)->work_ms / target->speed *
                             g_rand_double_range(replay->random, 0.6, 1.4) *
                             slowness(replay, number);
            job->end_at_ms = replay->now_ms + MAX((int64_t)work_ms, 1);
        }
    }
}

static void
answer(struct replay *replay, uint32_t number, struct call *call)
{
    const struct target *target = &replay->targets[number];
    uint32_t slots = replay->scenario->slots;
    struct rs_fleet_target *seen = replay->seen[call->node][number];
    const struct rs_target_load load = {
        .running = MIN(target->count, slots),
        .waiting = target->count > slots ? target->count - slots : 0,
        .slots = slots,
        .duration_percent = (uint32_t)(100 * slowness(replay, number)),
    };
    seen->in_flight--;
    RsFleet_RecordLoad(seen, &load, replay->now_ms);
    RsFleet_RecordAnswer(seen, (double)(replay->now_ms - call->started_at_ms),
                         (uint32_t)call->ahead, replay->now_ms);
    bool in_time = replay->now_ms - call->sent_at_ms <=
                   kind_of(replay, call)->latency_target_ms;
    end_call(replay, call, in_time ? RsReplay_IN_TIME : RsReplay_LATE);
}

static void
run_targets(struct replay *replay)
{
    uint32_t slots = replay->scenario->slots;
    for (uint32_t t = 0; t < replay->scenario->targets; t++) {
        struct target *target = &replay->targets[t];
        for (uint32_t i = 0; i < target->count;) {
            struct call *job = target->jobs[i];
            if (job->end_at_ms == 0 || job->end_at_ms > replay->now_ms) {
                i++;
                continue;
            }
            target->count--;
            for (uint32_t k = i; k < target->count; k++) {
                target->jobs[k] = target->jobs[k + 1];
            }
            answer(replay, t, job);
        }
        start_jobs(replay, t);
        replay->busy_ms += is_counting(replay) ? MIN(target->count, slots) : 0;
    }
}

/* The caller comes back once, after the time it was told, but waits for at
 * most a third of the time it has left. */
static void
refuse(struct replay *replay, struct call *call, int64_t after_ms)
{
    int64_t left_ms = call->deadline_at_ms - replay->now_ms;
    if (call->is_second || left_ms <= 0) {
        replay->place_lost += call->counts && call->has_place;
        end_call(replay, call, RsReplay_REFUSED_TWICE);
        return;
    }
    call->is_second = true;
    call->come_back_at_ms =
        replay->now_ms + MIN(after_ms, left_ms / MAX_SHARE_OF_TIME_LEFT);
    g_queue_push_tail(&replay->returning, call);
}

static void
refuse_unplaced(struct replay *replay, struct call *call)
{
    refuse(replay, call,
           RsLoad_RetryAfterMs(call->deadline_at_ms - replay->now_ms,
                               replay->random));
}

static void
send_to_owner(struct replay *replay, struct call *call)
{
    struct rs_fleet_target *seen = replay->seen[call->node][call->target];
    struct target *target = &replay->targets[call->target];
    if (target->count == replay->scenario->slots + replay->scenario->queue) {
        replay->rejected += call->counts;
        RsFleet_RecordFull(seen, replay->now_ms);
        refuse_unplaced(replay, call);
        return;
    }
    call->started_at_ms = replay->now_ms;
    call->end_at_ms = 0;
    call->ahead = RsLoad_CountOutstanding(seen, replay->now_ms);
    target->jobs[target->count++] = call;
    seen->in_flight++;
    start_jobs(replay, call->target);
}

/* RsLoad_Admit() as it was. */
static bool
admit_by_former_rules(struct rs_fleet_target *target, int64_t now_ms)
{
    double max_runs_per_s =
        1000.0 * target->report.slots / RsLoad_ServiceMs(target);
    if (target->demand_per_s <= 2 * max_runs_per_s ||
        now_ms - target->demand_at_ms > 1000) {
        return true;
    }
    target->admission += 1.1 * max_runs_per_s / target->demand_per_s;
    if (target->admission < 1) {
        return false;
    }
    target->admission -= 1;
    return true;
}

static gint
compare_due(gconstpointer a, gconstpointer b, gpointer arg)
{
    const struct replay *replay = arg;
    const struct call *first = a;
    const struct call *second = b;
    int64_t first_due =
        first->sent_at_ms + kind_of(replay, first)->latency_target_ms;
    int64_t second_due =
        second->sent_at_ms + kind_of(replay, second)->latency_target_ms;
    return first_due < second_due ? -1 : first_due > second_due;
}

static struct rs_overload_request
describe(const struct replay *replay, const struct call *call)
{
    return (struct rs_overload_request){
        .rank = kind_of(replay, call)->rank,
        .arrived_at_ms = call->sent_at_ms,
        .admitted_at_ms = call->sent_at_ms,
        .latency_target_ms = kind_of(replay, call)->latency_target_ms,
        .wait_until_ms = call->wait_until_ms,
        .has_place = call->uses_place,
    };
}

static bool
has_room(struct replay *replay, const struct call *call)
{
    const struct rs_fleet_target *owner =
        replay->seen[call->node][call->target];
    const struct rs_overload_request request = describe(replay, call);
    if (!replay->former_rules &&
        RsOverload_IsOverloaded(owner, replay->now_ms)) {
        return RsOverload_HasRoom(owner, &replay->mixes[call->node], &request,
                                  replay->now_ms);
    }
    return RsLoad_HasRoom(owner, &replay->choices[call->node], replay->now_ms);
}

static bool
admit(struct replay *replay, struct call *call, struct rs_fleet_target *owner)
{
    struct rs_overload_mix *mix = &replay->mixes[call->node];
    uint32_t rank = kind_of(replay, call)->rank;
    if (replay->former_rules) {
        return admit_by_former_rules(owner, replay->now_ms);
    }
    RsOverload_Count(mix, rank, replay->now_ms);
    if (RsOverload_TakePlace(&replay->places[call->node], call->fingerprint,
                             replay->now_ms)) {
        call->uses_place = true;
        return true;
    }
    return RsOverload_Admit(owner, mix, &replay->places[call->node], rank,
                            replay->random, replay->now_ms);
}

static void
refuse_with_place(struct replay *replay, struct call *call)
{
    if (replay->former_rules) {
        refuse_unplaced(replay, call);
        return;
    }
    struct rs_overload_place place = RsOverload_DrawPlace(
        replay->seen[call->node][call->target], &replay->mixes[call->node],
        kind_of(replay, call)->rank, call->deadline_at_ms - replay->now_ms,
        replay->random, replay->now_ms);
    RsOverload_RecordPlace(&replay->places[call->node], call->fingerprint,
                           &place, replay->now_ms);
    if (!call->is_second) {
        call->has_place = place.reserved;
        replay->with_place += call->counts && place.reserved;
    }
    refuse(replay, call, place.back_at_ms - replay->now_ms);
}

static int64_t
wait_until_ms(const struct replay *replay, const struct call *call)
{
    const struct rs_overload_request request = describe(replay, call);
    return replay->former_rules
               ? call->wait_until_ms
               : RsOverload_WaitUntilMs(replay->seen[call->node][call->target],
                                        &request, replay->now_ms);
}

static void
dispatch(struct replay *replay, struct call *call)
{
    struct rs_fleet_target *owner = replay->seen[call->node][call->target];
    call->sent_at_ms = replay->now_ms;
    call->wait_until_ms =
        MIN(replay->now_ms + kind_of(replay, call)->latency_target_ms,
            call->deadline_at_ms);
    replay->targets[call->target].asked++;
    if (!admit(replay, call, owner)) {
        refuse_with_place(replay, call);
    }
    else if (has_room(replay, call)) {
        send_to_owner(replay, call);
    }
    else if (replay->now_ms >= wait_until_ms(replay, call)) {
        refuse_unplaced(replay, call);
    }
    else {
        g_queue_insert_sorted(&replay->waiting[call->node], call, compare_due,
                              replay);
    }
}

static void
send_waiting(struct replay *replay, uint32_t node)
{
    GList *link = replay->waiting[node].head;
    while (link != NULL) {
        struct call *call = link->data;
        GList *next = link->next;
        if (replay->now_ms >= wait_until_ms(replay, call)) {
            g_queue_delete_link(&replay->waiting[node], link);
            replay->waited_and_refused += call->counts;
            refuse_unplaced(replay, call);
        }
        else if (has_room(replay, call)) {
            g_queue_delete_link(&replay->waiting[node], link);
            send_to_owner(replay, call);
        }
        link = next;
    }
}

/* The node reports its counts and gets the sums of the others', and what the
 * granter, which is node 0, last planned with. */
static void
report(struct replay *replay, uint32_t node)
{
    for (uint32_t t = 0; t < replay->scenario->targets; t++) {
        struct rs_fleet_target *seen = replay->seen[node][t];
        const struct rs_fleet_target *planned = replay->seen[0][t];
        replay->sums[t] += seen->in_flight - replay->reported[node][t];
        replay->reported[node][t] = seen->in_flight;
        seen->elsewhere = replay->sums[t] - seen->in_flight;
        seen->elsewhere_at_ms = replay->now_ms;
        seen->demand_per_s = planned->demand_per_s;
        seen->demand_at_ms = replay->now_ms;
        seen->shared_service_ms = planned->shared_service_ms;
    }
}

static double
lowest_latency_target_ms(const struct replay *replay)
{
    int64_t lowest_ms = INT64_MAX;
    for (uint32_t i = 0; i < replay->scenario->kind_count; i++) {
        lowest_ms =
            MIN(lowest_ms, replay->scenario->kinds[i].latency_target_ms);
    }
    return (double)lowest_ms;
}

/* Does as record_demand() of router/owners.c. */
static void
plan(struct replay *replay)
{
    double weight = PLAN_EVERY_MS / RATE_WINDOW_MS;
    for (uint32_t t = 0; t < replay->scenario->targets; t++) {
        struct target *target = &replay->targets[t];
        struct rs_fleet_target *planned = replay->seen[0][t];
        double rate = target->asked * 1000.0 / PLAN_EVERY_MS;
        double sum = 0;
        uint32_t count = 0;
        for (uint32_t n = 0; n < replay->scenario->nodes; n++) {
            const struct rs_fleet_target *seen = replay->seen[n][t];
            sum += seen->answers > 0 ? seen->service_ms : 0;
            count += seen->answers > 0;
        }
        target->asked = 0;
        target->demand_per_s += weight * (rate - target->demand_per_s);
        planned->shared_service_ms = count > 0 ? sum / count : 0;
        double load = target->demand_per_s * (1 + BASE_WEIGHT);
        planned->demand_per_s =
            load > RsLoad_CapacityPerS(planned,
                                       lowest_latency_target_ms(replay))
                ? load
                : 0;
    }
}

static uint32_t
pick_target(struct replay *replay)
{
    double draw = g_rand_double(replay->random);
    uint32_t t = 0;
    while (t < replay->scenario->targets - 1 &&
           draw >= replay->targets[t].share) {
        draw -= replay->targets[t].share;
        t++;
    }
    return t;
}

static uint32_t
pick_kind(struct replay *replay)
{
    const struct scenario *scenario = replay->scenario;
    uint32_t weight = 0;
    for (uint32_t i = 0; i < scenario->kind_count; i++) {
        weight += scenario->kinds[i].weight;
    }
    uint32_t draw =
        (uint32_t)g_rand_int_range(replay->random, 0, (gint32)weight);
    uint32_t kind = 0;
    while (draw >= scenario->kinds[kind].weight) {
        draw -= scenario->kinds[kind++].weight;
    }
    return kind;
}

static void
begin_call(struct replay *replay)
{
    struct call *call = g_new0(struct call, 1);
    call->fingerprint = ++replay->last_fingerprint;
    call->kind = pick_kind(replay);
    call->node = (uint32_t)g_rand_int_range(replay->random, 0,
                                            (gint32)replay->scenario->nodes);
    call->target = pick_target(replay);
    call->counts = is_counting(replay);
    call->deadline_at_ms = replay->now_ms + kind_of(replay, call)->deadline_ms;
    replay->callers[call->kind] += call->counts;
    dispatch(replay, call);
}

static void
take_returning(struct replay *replay)
{
    GList *link = replay->returning.head;
    while (link != NULL) {
        struct call *call = link->data;
        GList *next = link->next;
        if (replay->now_ms >= call->come_back_at_ms) {
            g_queue_delete_link(&replay->returning, link);
            dispatch(replay, call);
        }
        link = next;
    }
}

static void
run(struct replay *replay)
{
    double calls_per_ms = replay->load * capacity_per_s(replay) / 1000;
    assert(replay->scenario->nodes > 0);
    int64_t report_every_ms = REPORT_MS_PER_NODE * replay->scenario->nodes;
    int64_t end_ms = START_MS + WARM_UP_MS + COUNTED_MS + TAIL_MS;
    while (replay->now_ms < end_ms) {
        replay->now_ms++;
        run_targets(replay);
        for (uint32_t n = 0; n < replay->scenario->nodes; n++) {
            if ((replay->now_ms + REPORT_MS_PER_NODE * n) % report_every_ms ==
                0) {
                report(replay, n);
            }
            if ((replay->now_ms + n) % QUEUE_EVERY_MS == 0) {
                send_waiting(replay, n);
            }
        }
        if (replay->now_ms % PLAN_EVERY_MS == 0) {
            plan(replay);
        }
        take_returning(replay);
        double due = calls_per_ms;
        while (due > 0) {
            if (g_rand_double(replay->random) < due) {
                begin_call(replay);
            }
            due -= 1;
        }
    }
}

static double
percent(const struct replay *replay, uint32_t kind, enum outcome outcome)
{
    return 100.0 * replay->outcomes[kind][outcome] / replay->callers[kind];
}

static void
print_results(const struct replay *replay)
{
    double slot_ms = (double)COUNTED_MS * replay->scenario->targets *
                     replay->scenario->slots;
    printf("%s, %s, load %.1f: busy %.0f%%, %u refused after waiting, "
           "%u rejected, %u of %u places lost\n",
           replay->scenario->name, replay->former_rules ? "former" : "present",
           replay->load, 100 * (double)replay->busy_ms / slot_ms,
           replay->waited_and_refused, replay->rejected, replay->place_lost,
           replay->with_place);
    for (uint32_t k = 0; k < replay->scenario->kind_count; k++) {
        printf("  rank %u: %u callers, %.1f%% in time, %.1f%% late, "
               "%.1f%% refused twice\n",
               replay->scenario->kinds[k].rank, replay->callers[k],
               percent(replay, k, RsReplay_IN_TIME),
               percent(replay, k, RsReplay_LATE),
               percent(replay, k, RsReplay_REFUSED_TWICE));
    }
}

/* The part of the callers that are answered, of all ranks or of one. */
static double
answered_percent(const struct replay *replay, uint32_t kind)
{
    return percent(replay, kind, RsReplay_IN_TIME) +
           percent(replay, kind, RsReplay_LATE);
}

static double
overall_percent(const struct replay *replay, enum outcome outcome)
{
    uint32_t count = 0;
    uint32_t callers = 0;
    for (uint32_t k = 0; k < replay->scenario->kind_count; k++) {
        count += replay->outcomes[k][outcome];
        callers += replay->callers[k];
    }
    return 100.0 * count / callers;
}

static struct replay *
replay_load(const struct scenario *scenario, double load, bool former_rules)
{
    struct replay *replay = new_replay(scenario, load, former_rules);
    run(replay);
    print_results(replay);
    return replay;
}

/* Guards against ranks that are answered less often than less urgent ones, and
 * against ranks that starve. */
static void
check_ranks(const struct replay *replay)
{
    double overall = overall_percent(replay, RsReplay_IN_TIME) +
                     overall_percent(replay, RsReplay_LATE);
    for (uint32_t k = 0; k < replay->scenario->kind_count; k++) {
        double own = answered_percent(replay, k);
        CU_ASSERT_TRUE(own >= MIN_RANK_PART * overall);
        for (uint32_t other = k + 1; other < replay->scenario->kind_count;
             other++) {
            CU_ASSERT_TRUE(own >= answered_percent(replay, other) -
                                      MAX_RANK_DISADVANTAGE_PERCENT);
        }
    }
}

/* Guards against overload in which requests wait until their answers are late:
 * more must be answered in time than by the former rules, and no more than
 * half as many late. */
static void
check_overload(const struct scenario *scenario, double load)
{
    struct replay *former = replay_load(scenario, load, true);
    struct replay *present = replay_load(scenario, load, false);
    CU_ASSERT_TRUE(overall_percent(present, RsReplay_IN_TIME) >
                   overall_percent(former, RsReplay_IN_TIME));
    CU_ASSERT_TRUE(overall_percent(present, RsReplay_LATE) <=
                   overall_percent(former, RsReplay_LATE) / 2);
    for (uint32_t k = 0; k + 1 < scenario->kind_count; k++) {
        /* All ranks but the last one together fit the capacity. */
        CU_ASSERT_TRUE(percent(present, k, RsReplay_REFUSED_TWICE) <=
                       MAX_URGENT_REFUSED_PERCENT);
    }
    CU_ASSERT_TRUE(present->place_lost <=
                   MAX_LOST_PLACES * present->with_place);
    check_ranks(present);
    free_replay(former);
    free_replay(present);
}

static void
test_overload_is_refused_early(void)
{
    check_overload(&heating, 1.2);
    check_overload(&heating, 1.6);
    check_overload(&cadastre, 1.2);
    check_overload(&cadastre, 1.6);
}

/* Just below the capacity some owners are overloaded. */
static void
test_more_in_time_just_below_the_capacity(void)
{
    static const struct scenario *const scenarios[] = {&heating, &cadastre};
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        struct replay *former = replay_load(scenarios[i], 0.9, true);
        struct replay *present = replay_load(scenarios[i], 0.9, false);
        CU_ASSERT_TRUE(overall_percent(present, RsReplay_IN_TIME) >
                       overall_percent(former, RsReplay_IN_TIME));
        check_ranks(present);
        free_replay(former);
        free_replay(present);
    }
}

/* Guards against admission control that takes effect without overload. */
static void
test_half_the_load_is_served_as_before(void)
{
    struct replay *former = replay_load(&heating, 0.5, true);
    struct replay *present = replay_load(&heating, 0.5, false);
    CU_ASSERT_EQUAL(overall_percent(present, RsReplay_IN_TIME),
                    overall_percent(former, RsReplay_IN_TIME));
    CU_ASSERT_EQUAL(overall_percent(present, RsReplay_REFUSED_TWICE), 0);
    free_replay(former);
    free_replay(present);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("overload replay", NULL, NULL);
    CU_ADD_TEST(suite, test_half_the_load_is_served_as_before);
    CU_ADD_TEST(suite, test_more_in_time_just_below_the_capacity);
    CU_ADD_TEST(suite, test_overload_is_refused_early);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
