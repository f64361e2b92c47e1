#include "router/balance.h"

#include <math.h>

/* Keys that nobody asks for count a little, so that they are spread too:
 * together as much as this share of all requests, or as one a second. */
#define IDLE_SHARE 0.15
#define IDLE_LEAST_PER_S 1.0
/* A target gives keys away above both: its fair load times a factor, and its
 * fair load plus some standard deviations of what was counted. */
#define GIVE_FACTOR 1.25
#define GIVE_DEVIATIONS 1.5
#define LEAST_USE 0.2 /* below it requests hardly wait */
#define LEAST_MOVE_PER_S 1.0
/* Of the weight that would even two targets out. */
#define LEAST_PIECE_SHARE 0.7
#define MOST_PIECE_SHARE 1.6
/* Hand-overs at a time: each stops its keys for about one request's time. A
 * third of the targets may give keys in one plan, in a small fleet these. */
#define MAX_MOVES 6
#define MAX_MOVES_SHARE 0.3
/* Pieces that the keys of a lost target are cut into, at most. Many keys are
 * cut into more, down to this share of what a target should have. */
#define MAX_PIECES 12
#define LEAST_FAIR_SHARE 0.9

/* More ranges than this for each target are too many: each is granted by
 * itself and is part of what all nodes read with each change. */
#define MOST_RANGES_PER_TARGET 3
/* Small ranges given to the owner of a neighbour, in one plan. */
#define MAX_TIDY_MOVES 8
/* A range that weighs less than this share of a fair load is small. */
#define SMALL_SHARE 0.25

struct plan {
    struct rs_keymap *map;
    struct rs_balance_input *input;
    double idle_per_key;
    double mean_use;
    double fair_load; /* of a target of mean capacity */
    size_t eligible;  /* targets */
    size_t max_moves;
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
        plan->input->targets[i].passed_over = false;
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
    size_t eligible = 0;
    for (size_t i = 0; i < plan->input->target_count; i++) {
        const struct rs_balance_target *target = &plan->input->targets[i];
        capacity += target->eligible ? target->capacity : 0;
        eligible += target->eligible;
    }
    plan->mean_use = capacity > 0 ? load / capacity : INFINITY;
    plan->eligible = eligible;
    plan->fair_load = load / (double)MAX(eligible, (size_t)1);
    plan->max_moves =
        MAX((size_t)((double)eligible * MAX_MOVES_SHARE), (size_t)MAX_MOVES);
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
        if (target->eligible && !target->changing && !target->passed_over &&
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
    double least = MIN(weight_of(plan, first_key, last_key) / MAX_PIECES,
                       plan->fair_load * LEAST_FAIR_SHARE);
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

/* A run of keys of one range. */
struct piece {
    uint32_t first_key;
    uint32_t last_key;
    double weight;
};

/* Finds the fewest keys of a range that weigh at least `wanted` together, if
 * they are fewer than those of `best`. */
static void
find_dense(const struct plan *plan, const struct rs_key_range *range,
           double wanted, struct piece *best)
{
    double weight = 0;
    uint32_t first_key = range->first_key;
    for (uint32_t key = range->first_key; key <= range->last_key; key++) {
        weight += plan->input->rates[key] + plan->idle_per_key;
        while (weight >= wanted) {
            if (best->weight == 0 ||
                key - first_key < best->last_key - best->first_key) {
                *best = (struct piece){first_key, key, weight};
            }
            weight -= plan->input->rates[first_key] + plan->idle_per_key;
            first_key++;
        }
    }
}

/* Finds the first keys of a range that weigh about `wanted`, for want of a
 * dense piece: the densest key may be heavier than that. */
static void
find_first(const struct plan *plan, const struct rs_key_range *range,
           double wanted, struct piece *best)
{
    uint32_t last_key =
        cut_piece(plan, range->first_key, range->last_key, wanted);
    double weight = weight_of(plan, range->first_key, last_key);
    if (weight > best->weight && weight <= wanted) {
        *best = (struct piece){range->first_key, last_key, weight};
    }
}

/* Chooses which keys of an owner to move, about `wanted` in weight. The weight
 * is 0 when there are none that fit. */
static struct piece
choose_piece(const struct plan *plan, const struct rs_owner *owner,
             double wanted)
{
    struct piece dense = {0};
    struct piece first = {0};
    for (size_t i = 0; i < plan->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_At(plan->map, i);
        if (RsKeymap_SameOwner(&range->owner, owner)) {
            find_dense(plan, range, wanted * LEAST_PIECE_SHARE, &dense);
            find_first(plan, range, wanted, &first);
        }
    }
    bool fits = dense.weight > 0 && dense.weight <= wanted * MOST_PIECE_SHARE;
    return fits ? dense : first;
}

/* Returns the load above which a target gives keys away. Counted requests
 * vary by chance with the root of their number. */
static double
give_limit(const struct plan *plan, const struct rs_balance_target *target)
{
    double fair = plan->mean_use * target->capacity;
    double chance = sqrt(target->load / (2 * plan->input->window_s));
    return MAX(fair * GIVE_FACTOR, fair + GIVE_DEVIATIONS * chance);
}

static bool
gives_keys(const struct plan *plan, const struct rs_balance_target *target)
{
    return use_of(target) >= LEAST_USE &&
           target->load > give_limit(plan, target);
}

/* Moves a piece from a target to the one used least, of the weight that brings
 * both to the same use. Returns false when nothing is to be gained. */
static bool
relieve(struct plan *plan, struct rs_balance_target *from)
{
    struct rs_balance_target *to = least_used(plan);
    if (to == NULL || from == to) {
        return false;
    }
    double both = from->capacity + to->capacity;
    double wanted =
        (from->load * to->capacity - to->load * from->capacity) / both;
    wanted = MIN(wanted, from->load - plan->mean_use * from->capacity);
    struct piece piece = choose_piece(plan, &from->owner, wanted);
    if (piece.weight < LEAST_MOVE_PER_S ||
        !give(plan, piece.first_key, piece.last_key, to)) {
        return false;
    }
    from->load -= piece.weight;
    return true;
}

/* Moves keys of the targets that are used most, each until it is used no more
 * than it should be or none of its keys fit. */
static void
even_out(struct plan *plan)
{
    while (plan->moves < plan->max_moves) {
        struct rs_balance_target *from = most_used(plan);
        if (from == NULL || !gives_keys(plan, from)) {
            return;
        }
        if (!relieve(plan, from)) {
            from->passed_over = true;
        }
    }
}

/* Returns the target that owns the range before or after one, if it may be
 * given more keys, or NULL. */
static struct rs_balance_target *
neighbour_of(const struct plan *plan, size_t index)
{
    const size_t places[] = {index - 1, index + 1};
    for (size_t i = 0; i < 2; i++) {
        if (places[i] >= plan->map->ranges->len) {
            continue; /* also before the first */
        }
        const struct rs_key_range *range = RsKeymap_At(plan->map, places[i]);
        if (range->former.id == NULL && may_keep(plan, &range->owner)) {
            return &plan->input->targets[find_target(plan, &range->owner)];
        }
    }
    return NULL;
}

/* Tells whether the range will be joined with one beside it. */
static bool
is_to_be_joined(const struct plan *plan, size_t index)
{
    const struct rs_owner *owner = &RsKeymap_At(plan->map, index)->owner;
    return (index > 0 &&
            RsKeymap_SameOwner(owner,
                               &RsKeymap_At(plan->map, index - 1)->owner)) ||
           (index + 1 < plan->map->ranges->len &&
            RsKeymap_SameOwner(owner,
                               &RsKeymap_At(plan->map, index + 1)->owner));
}

/* Gives small ranges that lie between others to the owner of a neighbour, so
 * that they can be joined. */
static void
tidy(struct plan *plan)
{
    size_t most = plan->eligible * MOST_RANGES_PER_TARGET;
    size_t left = MAX_TIDY_MOVES;
    for (size_t i = 0; i < plan->map->ranges->len && left > 0; i++) {
        const struct rs_key_range range = *RsKeymap_At(plan->map, i);
        struct rs_balance_target *to = neighbour_of(plan, i);
        double weight = weight_of(plan, range.first_key, range.last_key);
        if (plan->map->ranges->len <= most) {
            return;
        }
        bool small = weight <= plan->fair_load * SMALL_SHARE;
        if (small && to != NULL && range.former.id == NULL &&
            !is_to_be_joined(plan, i) &&
            to->load + weight <= give_limit(plan, to) &&
            give(plan, range.first_key, range.last_key, to)) {
            left--;
            i++; /* its neighbour is not moved in the same plan */
        }
    }
}

/* Changes the owners in the map. Returns how many pieces move. */
size_t
RsBalance_Plan(struct rs_keymap *map, struct rs_balance_input *input)
{
    struct plan plan = {.map = map, .input = input};
    size_t joined = RsKeymap_Join(map);
    measure(&plan);
    replace_owners(&plan);
    even_out(&plan);
    tidy(&plan);
    return plan.moves + joined;
}
