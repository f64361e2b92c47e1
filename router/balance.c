#include "router/balance.h"

#include <math.h>

/* Keys that nobody asks for count a little, so that they are spread too:
 * together as much as this share of all requests, or as one a second. */
#define IDLE_SHARE 0.15
#define IDLE_LEAST_PER_S 1.0
/* A target gives keys away above both: the mean use times a factor, and the
 * mean plus a margin of its capacity. Rates are means over a second or two,
 * so that smaller differences are chance. */
#define GIVE_FACTOR 1.3
#define GIVE_MARGIN 0.1
#define LEAST_MOVE_PER_S 1.0
/* Hand-overs at a time: each stops its keys for about one request's time. */
#define MAX_MOVES 6
/* Pieces that the keys of a lost target are cut into, at most. */
#define MAX_PIECES 12

struct plan {
    struct rs_keymap *map;
    struct rs_balance_input *input;
    double idle_per_key;
    double mean_use;
    size_t moves;
};

static double
weight_of(const struct plan *plan, uint32_t first_key, uint32_t last_key)
{
    double sum = 0;
    for (uint32_t key = first_key; key <= last_key; key++) {
        sum += plan->input->rates[key];
    }
    return sum + plan->idle_per_key * (last_key - first_key + 1);
}

/* Returns the number of a target, or the count when it is not among them. */
static size_t
find_target(const struct plan *plan, const struct rs_owner *owner)
{
    size_t i = 0;
    while (i < plan->input->target_count &&
           !RsKeymap_SameOwner(&plan->input->targets[i].owner, owner)) {
        i++;
    }
    return i;
}

static bool
may_keep(const struct plan *plan, const struct rs_owner *owner)
{
    size_t i = find_target(plan, owner);
    return owner->id != NULL && i < plan->input->target_count &&
           plan->input->targets[i].eligible;
}

static double
use_of(const struct rs_balance_target *target)
{
    return target->load / target->capacity;
}

static void
measure(struct plan *plan)
{
    double total = 0;
    double load = 0;
    double capacity = 0;
    for (uint32_t key = 0; key < RsKeymap_KEYS; key++) {
        total += plan->input->rates[key];
    }
    plan->idle_per_key =
        MAX(total * IDLE_SHARE, IDLE_LEAST_PER_S) / RsKeymap_KEYS;
    for (size_t i = 0; i < plan->input->target_count; i++) {
        plan->input->targets[i].load = 0;
        plan->input->targets[i].changing = false;
    }
    for (size_t i = 0; i < plan->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_At(plan->map, i);
        size_t owner = find_target(plan, &range->owner);
        double weight = weight_of(plan, range->first_key, range->last_key);
        load += weight;
        if (owner < plan->input->target_count) {
            plan->input->targets[owner].load += weight;
            plan->input->targets[owner].changing |= range->former.id != NULL;
        }
    }
    for (size_t i = 0; i < plan->input->target_count; i++) {
        const struct rs_balance_target *target = &plan->input->targets[i];
        capacity += target->eligible ? target->capacity : 0;
    }
    plan->mean_use = capacity > 0 ? load / capacity : INFINITY;
}

static struct rs_balance_target *
least_used(const struct plan *plan)
{
    struct rs_balance_target *best = NULL;
    struct rs_balance_target *targets = plan->input->targets;
    for (size_t i = 0; i < plan->input->target_count; i++) {
        struct rs_balance_target *target = &targets[i];
        if (target->eligible && target->capacity > 0 &&
            (best == NULL || use_of(target) < use_of(best))) {
            best = target;
        }
    }
    return best;
}

static struct rs_balance_target *
most_used(const struct plan *plan)
{
    struct rs_balance_target *worst = NULL;
    for (size_t i = 0; i < plan->input->target_count; i++) {
        struct rs_balance_target *target = &plan->input->targets[i];
        if (target->eligible && !target->changing &&
            (worst == NULL || use_of(target) > use_of(worst))) {
            worst = target;
        }
    }
    return worst;
}

/* Returns the last key of a piece from `first_key` on that weighs about
 * `wanted`; the next key would make it heavier than that. */
static uint32_t
cut_piece(const struct plan *plan, uint32_t first_key, uint32_t last_key,
          double wanted)
{
    double weight = 0;
    uint32_t key = first_key;
    while (key <= last_key) {
        weight += plan->input->rates[key] + plan->idle_per_key;
        if (weight > wanted && key > first_key) {
            return key - 1;
        }
        key++;
    }
    return last_key;
}

static bool
give(struct plan *plan, uint32_t first_key, uint32_t last_key,
     struct rs_balance_target *to)
{
    double weight = weight_of(plan, first_key, last_key);
    if (!RsKeymap_Move(plan->map, first_key, last_key, &to->owner)) {
        return false;
    }
    to->load += weight;
    plan->moves++;
    return true;
}

/* Shares the keys of an owner that can't keep them out to the others. */
static void
share_out(struct plan *plan, uint32_t first_key, uint32_t last_key)
{
    double least = weight_of(plan, first_key, last_key) / MAX_PIECES;
    while (first_key <= last_key) {
        struct rs_balance_target *to = least_used(plan);
        if (to == NULL) {
            return;
        }
        double room = plan->mean_use * to->capacity - to->load;
        uint32_t piece_end =
            cut_piece(plan, first_key, last_key, MAX(room, least));
        if (!give(plan, first_key, piece_end, to)) {
            return;
        }
        first_key = piece_end + 1;
    }
}

static void
replace_owners(struct plan *plan)
{
    GArray *lost = g_array_new(FALSE, FALSE, sizeof(struct rs_key_range));
    for (size_t i = 0; i < plan->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_At(plan->map, i);
        if (range->former.id == NULL && !may_keep(plan, &range->owner)) {
            g_array_append_val(lost, *range);
        }
    }
    for (size_t i = 0; i < lost->len; i++) {
        const struct rs_key_range *range =
            &g_array_index(lost, struct rs_key_range, i);
        share_out(plan, range->first_key, range->last_key);
    }
    g_array_unref(lost);
}

/* Returns the range of the owner with the most requests for each key. */
static const struct rs_key_range *
busiest_range(const struct plan *plan, const struct rs_owner *owner)
{
    const struct rs_key_range *best = NULL;
    double best_weight = 0;
    for (size_t i = 0; i < plan->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_At(plan->map, i);
        if (!RsKeymap_SameOwner(&range->owner, owner)) {
            continue;
        }
        double weight = weight_of(plan, range->first_key, range->last_key);
        if (best == NULL || weight > best_weight) {
            best = range;
            best_weight = weight;
        }
    }
    return best;
}

/* Moves a piece from a target that is used much to the one used least, of the
 * weight that brings both to the same use. Returns false when nothing is to
 * be gained. */
static bool
even_out(struct plan *plan)
{
    struct rs_balance_target *from = most_used(plan);
    struct rs_balance_target *to = least_used(plan);
    if (from == NULL || to == NULL || from == to ||
        use_of(from) <= plan->mean_use * GIVE_FACTOR ||
        use_of(from) <= plan->mean_use + GIVE_MARGIN) {
        return false;
    }
    double both = from->capacity + to->capacity;
    double wanted =
        (from->load * to->capacity - to->load * from->capacity) / both;
    wanted = MIN(wanted, from->load - plan->mean_use * from->capacity);
    const struct rs_key_range *range = busiest_range(plan, &from->owner);
    if (wanted < LEAST_MOVE_PER_S || range == NULL) {
        return false;
    }
    uint32_t first_key = range->first_key;
    uint32_t last_key = cut_piece(plan, first_key, range->last_key, wanted);
    double weight = weight_of(plan, first_key, last_key);
    if (weight > wanted * 2 || weight < LEAST_MOVE_PER_S / 2 ||
        !give(plan, first_key, last_key, to)) {
        return false;
    }
    from->load -= weight;
    return true;
}

/* Changes the owners in the map. Returns how many pieces move. */
size_t
RsBalance_Plan(struct rs_keymap *map, struct rs_balance_input *input)
{
    struct plan plan = {.map = map, .input = input};
    measure(&plan);
    replace_owners(&plan);
    while (plan.moves < MAX_MOVES && even_out(&plan)) {
    }
    return plan.moves;
}
