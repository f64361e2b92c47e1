#include "router/quota_fixture.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 25
#define LEDGER_TICK_MS 100
#define WINDOW_MS 5000
#define WINDOW_S 5
#define OVERAGE 0.1
#define SLACK 20
#define MAX_ARRIVAL_MS 30 /* from the spending of a token to the target */
#define USUAL_PART (1 / 1.6)
#define USUAL_NODES 3
#define GREEDY_FACTOR 5
#define ONE_FACTOR 3
#define MS_PER_S 1000.0
#define MAX_DELAY_MS 3
#define MAX_SLOW_MS 600
#define LOSS_RATE 0.3
#define DEADLINE_MS 9000
#define LATE_MS 4000
#define NODES RsQuotaFixture_NODES
#define START_MS 1000000

struct message {
    int64_t arrives_at_ms;
    uint32_t to;
    uint32_t from;
    uint64_t incarnation; /* of the node that asks */
    bool is_grant;
    uint64_t sequence;
    uint64_t answered;
    GArray *content; /* needs or items */
};

struct caller {
    uint32_t workspace;
    bool is_back; /* was refused before */
    int64_t asks_at_ms;
    struct rs_quota_claim claim;
};

struct node {
    struct rs_quota *quota;
    struct rs_quota_ledger *ledger;
    uint64_t incarnation;
    uint32_t granter; /* as far as it knows */
    int64_t frozen_until_ms;
    bool was_granter;
    GArray *waiting; /* struct caller */
};

struct workspace_state {
    enum rs_quota_load load;
    uint32_t place;
    double bound;           /* requests in a window */
    int64_t bound_since_ms; /* a lower limit binds one window later */
    uint32_t arrived[WINDOW_MS];
    uint32_t in_window;
    double most;
    struct rs_quota_counts counts;
};

struct rs_quota_simulation {
    GRand *random;
    enum rs_quota_break fault;
    int64_t now_ms;
    struct rs_workspace workspaces[RsQuotaFixture_WORKSPACES];
    struct workspace_state states[RsQuotaFixture_WORKSPACES];
    struct node nodes[NODES];
    GArray *messages;   /* struct message */
    GArray *back;       /* struct caller, who come back; all at any node */
    GArray *in_transit; /* struct caller: arrivals at targets */
    uint32_t granter;
    int64_t authority_until_ms; /* of the granter */
    int64_t granter_since_ms;
    uint32_t former_granter;
    uint32_t next_granter;
    uint64_t next_incarnation;
    uint32_t cut_domain;
    bool one_way;
    int64_t cut_until_ms;
    int64_t losses_until_ms;
    int64_t slow_until_ms;
    uint64_t message_count;
    char violation[160];
};

static const struct rs_quota_bounds bounds = {WINDOW_S, OVERAGE, SLACK};

static void
start_node(struct rs_quota_simulation *sim, uint32_t number)
{
    struct node *node = &sim->nodes[number];
    if (node->quota != NULL) {
        RsQuota_Free(node->quota);
        RsQuotaLedger_Free(node->ledger);
        g_array_set_size(node->waiting, 0);
    }
    else {
        node->waiting = g_array_new(FALSE, FALSE, sizeof(struct caller));
    }
    node->incarnation = ++sim->next_incarnation;
    node->quota = RsQuota_New(&bounds, g_rand_int(sim->random));
    node->ledger = RsQuotaLedger_New(&bounds);
    node->granter = number;
    node->was_granter = false;
    RsQuota_SetNodes(node->quota, NODES);
    RsQuotaLedger_SetNodes(node->ledger, NODES);
    RsQuota_SetWorkspaces(node->quota, sim->workspaces,
                          RsQuotaFixture_WORKSPACES, sim->now_ms);
    RsQuotaLedger_SetWorkspaces(node->ledger, sim->workspaces,
                                RsQuotaFixture_WORKSPACES, sim->now_ms);
}

static void
set_bound(struct rs_quota_simulation *sim, uint32_t workspace)
{
    const struct rs_workspace *limits = &sim->workspaces[workspace];
    struct workspace_state *state = &sim->states[workspace];
    double bound =
        (limits->per_s * WINDOW_S + limits->burst) * (1 + OVERAGE) + SLACK;
    if (bound < state->bound) {
        state->bound_since_ms = sim->now_ms + WINDOW_MS;
    }
    state->bound = bound;
}

/* Starts nodes of three failure domains and workspaces with 5, 12, 60 and 400
 * requests a second. */
struct rs_quota_simulation *
RsQuotaFixture_New(uint32_t seed, enum rs_quota_break fault)
{
    static const char *const names[] = {"small", "some", "large", "huge"};
    static const double rates[] = {5, 12, 60, 400};
    struct rs_quota_simulation *sim = g_new0(struct rs_quota_simulation, 1);
    sim->random = g_rand_new_with_seed(seed);
    sim->fault = fault;
    sim->now_ms = START_MS;
    sim->messages = g_array_new(FALSE, FALSE, sizeof(struct message));
    sim->back = g_array_new(FALSE, FALSE, sizeof(struct caller));
    sim->in_transit = g_array_new(FALSE, FALSE, sizeof(struct caller));
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        sim->workspaces[w] = (struct rs_workspace){
            .name = g_intern_string(names[w]),
            .per_s = rates[w],
            .burst = rates[w],
        };
        sim->states[w].load = RsQuotaLoad_NONE;
        set_bound(sim, w);
    }
    for (uint32_t n = 0; n < NODES; n++) {
        start_node(sim, n);
    }
    sim->authority_until_ms = INT64_MAX;
    return sim;
}

static void
free_message(struct message *message)
{
    g_array_unref(message->content);
}

void
RsQuotaFixture_Free(struct rs_quota_simulation *sim)
{
    for (uint32_t n = 0; n < NODES; n++) {
        RsQuota_Free(sim->nodes[n].quota);
        RsQuotaLedger_Free(sim->nodes[n].ledger);
        g_array_unref(sim->nodes[n].waiting);
    }
    for (guint i = 0; i < sim->messages->len; i++) {
        free_message(&g_array_index(sim->messages, struct message, i));
    }
    g_array_unref(sim->messages);
    g_array_unref(sim->back);
    g_array_unref(sim->in_transit);
    g_rand_free(sim->random);
    g_free(sim);
}

/* `place` is the node or the domain of the loads that have one. */
void
RsQuotaFixture_SetLoad(struct rs_quota_simulation *sim, uint32_t workspace,
                       enum rs_quota_load load, uint32_t place)
{
    sim->states[workspace].load = load;
    sim->states[workspace].place = place;
}

/* Gives all nodes a configuration with another limit. */
void
RsQuotaFixture_SetLimit(struct rs_quota_simulation *sim, uint32_t workspace,
                        double per_s)
{
    sim->workspaces[workspace].per_s = per_s;
    sim->workspaces[workspace].burst = per_s;
    set_bound(sim, workspace);
    for (uint32_t n = 0; n < NODES; n++) {
        RsQuota_SetWorkspaces(sim->nodes[n].quota, sim->workspaces,
                              RsQuotaFixture_WORKSPACES, sim->now_ms);
        RsQuotaLedger_SetWorkspaces(sim->nodes[n].ledger, sim->workspaces,
                                    RsQuotaFixture_WORKSPACES, sim->now_ms);
    }
}

/* The present granter loses its authority within 2 s, and the next one begins
 * after that. */
static void
change_granter(struct rs_quota_simulation *sim, uint32_t next)
{
    if (sim->authority_until_ms != INT64_MAX) {
        return;
    }
    sim->authority_until_ms =
        sim->now_ms + g_rand_int_range(sim->random, 0, 2000);
    sim->granter_since_ms =
        sim->authority_until_ms + g_rand_int_range(sim->random, 50, 2500);
    sim->next_granter = next;
}

void
RsQuotaFixture_InjectFault(struct rs_quota_simulation *sim,
                           enum rs_quota_fault fault, uint32_t place,
                           int64_t span_ms)
{
    uint32_t number = place % NODES;
    switch (fault) {
    case RsQuotaFault_CUT:
    case RsQuotaFault_ONE_WAY:
        sim->cut_domain = place % RsQuotaFixture_DOMAINS;
        sim->one_way = fault == RsQuotaFault_ONE_WAY;
        sim->cut_until_ms = sim->now_ms + span_ms;
        break;
    case RsQuotaFault_FREEZE:
        sim->nodes[number].frozen_until_ms = sim->now_ms + span_ms;
        break;
    case RsQuotaFault_RESTART:
        start_node(sim, number);
        if (number == sim->granter) {
            sim->authority_until_ms = INT64_MAX;
            change_granter(sim, number + 1);
            sim->authority_until_ms = sim->now_ms;
        }
        break;
    case RsQuotaFault_RESTART_ALL:
        for (uint32_t n = 0; n < NODES; n++) {
            start_node(sim, n);
        }
        sim->authority_until_ms = INT64_MAX;
        change_granter(sim, number);
        sim->authority_until_ms = sim->now_ms;
        break;
    case RsQuotaFault_GRANTER:
        change_granter(sim, number);
        break;
    case RsQuotaFault_LOSSES:
        sim->losses_until_ms = sim->now_ms + span_ms;
        break;
    case RsQuotaFault_SLOW:
        sim->slow_until_ms = sim->now_ms + span_ms;
        break;
    case RsQuotaFault_COUNT:
        break;
    }
}

static bool
reaches(const struct rs_quota_simulation *sim, uint32_t from, uint32_t to)
{
    bool from_inside = from % RsQuotaFixture_DOMAINS == sim->cut_domain;
    bool to_inside = to % RsQuotaFixture_DOMAINS == sim->cut_domain;
    return sim->now_ms >= sim->cut_until_ms || from_inside == to_inside ||
           (sim->one_way && from_inside);
}

static bool
has_authority(const struct rs_quota_simulation *sim, uint32_t number)
{
    if (sim->fault == RsQuotaBreak_TWO_GRANTERS &&
        sim->nodes[number].was_granter) {
        return true;
    }
    return number == sim->granter && sim->now_ms < sim->authority_until_ms;
}

static void
post(struct rs_quota_simulation *sim, struct message *message)
{
    double loss = sim->now_ms < sim->losses_until_ms ? LOSS_RATE : 0;
    int32_t max_ms =
        sim->now_ms < sim->slow_until_ms ? MAX_SLOW_MS : MAX_DELAY_MS;
    sim->message_count++;
    if (!reaches(sim, message->from, message->to) ||
        g_rand_double(sim->random) < loss) {
        free_message(message);
        return;
    }
    message->arrives_at_ms =
        sim->now_ms + (message->from == message->to
                           ? 0
                           : g_rand_int_range(sim->random, 1, max_ms + 1));
    g_array_append_val(sim->messages, *message);
}

static GArray *
copy_array(const GArray *array, guint element_bytes)
{
    GArray *copy = g_array_new(FALSE, FALSE, element_bytes);
    g_array_append_vals(copy, array->data, array->len);
    return copy;
}

static void
send_request(struct rs_quota_simulation *sim, uint32_t number)
{
    struct node *node = &sim->nodes[number];
    struct rs_quota_request request;
    RsQuota_SetLedger(node->quota, sim->nodes[node->granter].incarnation);
    if (RsQuota_MakeRequest(node->quota, sim->now_ms, &request)) {
        struct message message = {
            .to = node->granter,
            .from = number,
            .incarnation = node->incarnation,
            .sequence = request.sequence,
            .answered = request.answered,
            .content = copy_array(request.needs, sizeof(struct rs_quota_need)),
        };
        post(sim, &message);
    }
}

static void
answer_request(struct rs_quota_simulation *sim, const struct message *message)
{
    char name[16];
    struct rs_quota_grant grant;
    const struct rs_quota_request request = {
        message->sequence, message->answered, message->content};
    snprintf(name, sizeof(name), "n%u", message->from);
    const struct rs_quota_sender sender = {name, message->incarnation};
    struct node *node = &sim->nodes[message->to];
    if (has_authority(sim, message->to) &&
        RsQuotaLedger_Answer(node->ledger, &sender, &request, sim->now_ms,
                             &grant)) {
        struct message answer = {
            .to = message->from,
            .from = message->to,
            .incarnation = message->incarnation,
            .is_grant = true,
            .sequence = grant.sequence,
            .content = copy_array(grant.items, sizeof(struct rs_quota_item)),
        };
        post(sim, &answer);
    }
}

/* Handles a caller's request that is new or has waited. Returns whether it
 * still waits. */
static bool
handle_caller(struct rs_quota_simulation *sim, struct node *node,
              struct caller *caller)
{
    const struct rs_workspace *workspace = &sim->workspaces[caller->workspace];
    struct rs_quota_counts *counts = &sim->states[caller->workspace].counts;
    enum rs_quota_verdict verdict =
        RsQuota_Take(node->quota, workspace, &caller->claim, sim->now_ms);
    if (verdict == RsQuota_WAITING) {
        return true;
    }
    if (verdict == RsQuota_TAKEN) {
        struct caller arrival = *caller;
        arrival.asks_at_ms =
            sim->now_ms + g_rand_int_range(sim->random, 0, MAX_ARRIVAL_MS);
        if (sim->fault == RsQuotaBreak_LATE_TOKENS) {
            arrival.asks_at_ms += LATE_MS - arrival.asks_at_ms % LATE_MS;
        }
        counts->sent++;
        counts->back_served += caller->is_back;
        g_array_append_val(sim->in_transit, arrival);
        return false;
    }
    counts->refused++;
    struct caller back = {
        .workspace = caller->workspace,
        .is_back = true,
        .asks_at_ms = RsQuota_ComeBackAtMs(
            node->quota, workspace, sim->now_ms + DEADLINE_MS, sim->now_ms),
    };
    if (!caller->is_back && back.asks_at_ms - sim->now_ms <=
                                DEADLINE_MS / RsQuota_PATIENCE_DIVISOR) {
        g_array_append_val(sim->back, back);
    }
    return false;
}

static void
add_caller(struct rs_quota_simulation *sim, uint32_t number,
           const struct caller *caller)
{
    struct node *node = &sim->nodes[number];
    struct caller copy = *caller;
    sim->states[caller->workspace].counts.offered++;
    if (sim->now_ms < node->frozen_until_ms) {
        g_array_append_val(node->waiting, copy);
    }
    else if (handle_caller(sim, node, &copy)) {
        g_array_append_val(node->waiting, copy);
        send_request(sim, number);
    }
}

static void
retry_waiting(struct rs_quota_simulation *sim, struct node *node)
{
    GArray *former = node->waiting;
    node->waiting = g_array_new(FALSE, FALSE, sizeof(struct caller));
    for (guint i = 0; i < former->len; i++) {
        struct caller *caller = &g_array_index(former, struct caller, i);
        if (handle_caller(sim, node, caller)) {
            g_array_append_val(node->waiting, *caller);
        }
    }
    g_array_unref(former);
}

static void
deliver(struct rs_quota_simulation *sim)
{
    for (guint i = 0; i < sim->messages->len;) {
        struct message message =
            g_array_index(sim->messages, struct message, i);
        struct node *node = &sim->nodes[message.to];
        if (message.arrives_at_ms > sim->now_ms ||
            sim->now_ms < node->frozen_until_ms) {
            i++;
            continue;
        }
        g_array_remove_index(sim->messages, i);
        const struct rs_quota_grant grant = {message.sequence,
                                             message.content};
        if (!message.is_grant) {
            answer_request(sim, &message);
        }
        else if (message.incarnation == node->incarnation &&
                 RsQuota_ApplyGrant(node->quota, &grant, sim->now_ms)) {
            retry_waiting(sim, node);
            send_request(sim, message.to);
        }
        free_message(&message);
    }
}

static void
begin_granter(struct rs_quota_simulation *sim)
{
    struct node *node = &sim->nodes[sim->next_granter % NODES];
    if (sim->authority_until_ms == INT64_MAX ||
        sim->now_ms < sim->granter_since_ms ||
        sim->now_ms < node->frozen_until_ms) {
        return;
    }
    sim->nodes[sim->granter].was_granter = true;
    sim->former_granter = sim->granter;
    sim->granter = sim->next_granter % NODES;
    sim->authority_until_ms = INT64_MAX;
    bool knows_nodes = sim->fault != RsQuotaBreak_NO_RESERVE &&
                       sim->fault != RsQuotaBreak_TWO_GRANTERS;
    RsQuotaLedger_Start(node->ledger, knows_nodes ? NODES : 0, sim->now_ms);
}

static void
tick_node(struct rs_quota_simulation *sim, uint32_t number)
{
    struct node *node = &sim->nodes[number];
    /* All but the nodes that have lost it learn who the granter is. */
    if (reaches(sim, sim->granter, number) &&
        sim->authority_until_ms == INT64_MAX) {
        bool stays = sim->fault == RsQuotaBreak_TWO_GRANTERS &&
                     number % 2 == 0 && sim->nodes[node->granter].was_granter;
        node->granter = stays ? node->granter : sim->granter;
    }
    if (sim->now_ms % LEDGER_TICK_MS == 0) {
        RsQuotaLedger_Tick(node->ledger, sim->now_ms);
    }
    retry_waiting(sim, node);
    send_request(sim, number);
}

static double
load_per_s(const struct rs_quota_simulation *sim, uint32_t workspace,
           uint32_t number)
{
    const struct workspace_state *state = &sim->states[workspace];
    double per_s = sim->workspaces[workspace].per_s;
    switch (state->load) {
    case RsQuotaLoad_USUAL:
        return (number + NODES - state->place % NODES) % NODES < USUAL_NODES
                   ? per_s * USUAL_PART / USUAL_NODES
                   : 0;
    case RsQuotaLoad_GREEDY:
        return per_s * GREEDY_FACTOR / NODES;
    case RsQuotaLoad_ONE:
        return number == state->place % NODES ? per_s * ONE_FACTOR : 0;
    case RsQuotaLoad_DOMAIN:
        return number % RsQuotaFixture_DOMAINS ==
                       state->place % RsQuotaFixture_DOMAINS
                   ? per_s * ONE_FACTOR * RsQuotaFixture_DOMAINS / NODES
                   : 0;
    default:
        return 0;
    }
}

static void
send_callers(struct rs_quota_simulation *sim)
{
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        for (uint32_t n = 0; n < NODES; n++) {
            double per_ms = load_per_s(sim, w, n) / MS_PER_S;
            const struct caller caller = {.workspace = w};
            uint32_t count =
                (uint32_t)floor(per_ms + g_rand_double(sim->random));
            for (uint32_t i = 0; i < count; i++) {
                add_caller(sim, n, &caller);
            }
        }
    }
    for (guint i = 0; i < sim->back->len;) {
        struct caller caller = g_array_index(sim->back, struct caller, i);
        if (caller.asks_at_ms > sim->now_ms) {
            i++;
            continue;
        }
        g_array_remove_index_fast(sim->back, i);
        sim->states[caller.workspace].counts.came_back++;
        add_caller(sim,
                   (uint32_t)g_rand_int_range(sim->random, 0, (gint32)NODES),
                   &caller);
    }
}

/* Counts the requests that reach targets now, and checks the window. */
static void
check_windows(struct rs_quota_simulation *sim)
{
    size_t slot = (size_t)(sim->now_ms % WINDOW_MS);
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        struct workspace_state *state = &sim->states[w];
        state->in_window -= state->arrived[slot];
        state->arrived[slot] = 0;
    }
    for (guint i = 0; i < sim->in_transit->len;) {
        const struct caller *caller =
            &g_array_index(sim->in_transit, struct caller, i);
        if (caller->asks_at_ms > sim->now_ms) {
            i++;
            continue;
        }
        sim->states[caller->workspace].arrived[slot]++;
        sim->states[caller->workspace].in_window++;
        g_array_remove_index_fast(sim->in_transit, i);
    }
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        struct workspace_state *state = &sim->states[w];
        if (sim->now_ms < state->bound_since_ms) {
            continue;
        }
        state->most = MAX(state->most, state->in_window / state->bound);
        if (state->in_window > state->bound && sim->violation[0] == '\0') {
            snprintf(sim->violation, sizeof(sim->violation),
                     "workspace %s: %u requests in 5 s, allowed %.1f, at %d",
                     sim->workspaces[w].name, state->in_window, state->bound,
                     (int)(sim->now_ms - START_MS));
        }
    }
}

void
RsQuotaFixture_Advance(struct rs_quota_simulation *sim, int64_t span_ms)
{
    for (int64_t end_ms = sim->now_ms + span_ms; sim->now_ms < end_ms;
         sim->now_ms++) {
        begin_granter(sim);
        deliver(sim);
        for (uint32_t n = 0; n < NODES; n++) {
            if (sim->now_ms >= sim->nodes[n].frozen_until_ms &&
                (sim->now_ms + n) % TICK_MS == 0) {
                tick_node(sim, n);
            }
        }
        send_callers(sim);
        check_windows(sim);
    }
}

/* Returns the first violation of the bound, or NULL. */
const char *
RsQuotaFixture_Violation(const struct rs_quota_simulation *sim)
{
    return sim->violation[0] != '\0' ? sim->violation : NULL;
}

void
RsQuotaFixture_ResetCounts(struct rs_quota_simulation *sim)
{
    for (uint32_t w = 0; w < RsQuotaFixture_WORKSPACES; w++) {
        sim->states[w].counts = (struct rs_quota_counts){0};
        sim->states[w].most = 0;
    }
}

const struct rs_quota_counts *
RsQuotaFixture_Counts(const struct rs_quota_simulation *sim,
                      uint32_t workspace)
{
    return &sim->states[workspace].counts;
}

/* Returns the fullest window as a part of the bound. */
double
RsQuotaFixture_MostOfBound(const struct rs_quota_simulation *sim,
                           uint32_t workspace)
{
    return sim->states[workspace].most;
}

uint64_t
RsQuotaFixture_Messages(const struct rs_quota_simulation *sim)
{
    return sim->message_count;
}
