#include "router/balance.h"

#include <math.h>

/* Each key has a small weight in addition to its request rate, so that keys
 * without requests are spread too. The weights of all keys together are this
 * share of all requests, and at least this rate. */
#define BASE_WEIGHT_SHARE 0.15
#define MIN_BASE_WEIGHT_PER_S 1.0
/* A target is overloaded when its load exceeds both its fair load times the
 * factor, and its fair load plus a number of standard deviations of its
 * measured request rate: at least this many, and sqrt(2 ln n) with n targets,
 * which is about the highest of n random values. With 1.5 for 187 targets,
 * 12 of them exceeded it by chance at any time, and each plan moved their
 * keys. */
#define OVERLOAD_FACTOR 1.25
#define MIN_OVERLOAD_DEVIATIONS 1.5
/* Below this utilization requests hardly wait, so the target is not
 * overloaded. */
#define MIN_UTILIZATION 0.2
/* A lighter piece is not moved away from an overloaded target. */
#define MIN_MOVE_PER_S 1.0
/* Bounds on the weight of the piece that is preferred for a move, as shares of
 * the wanted weight; see choose_piece(). */
#define MIN_PIECE_SHARE 0.7
#define MAX_PIECE_SHARE 1.6
/* A piece weighs at most this many times what its new owner has below its fair
 * load, so that hot keys are spread at once and don't overload one target
 * after the other. */
#define MAX_ROOM_FACTOR 1.25
/* Keys are moved away from overloaded targets only until a plan has MAX_MOVES
 * moves or, if that is more, as many as MAX_MOVES_SHARE of the number of
 * eligible targets. Each move stops its keys for about the time of one
 * request. */
#define MAX_MOVES 6
#define MAX_MOVES_SHARE 0.3
/* A range without an eligible owner is split into at most about this many
 * pieces. A heavy range may be split into more, each with about this share of
 * a target's fair load or more. */
#define MAX_PIECES 12
#define MIN_FAIR_SHARE 0.9

/* A map should have at most this many ranges times the number of eligible
 * targets: each range needs its own grants, and all nodes decode all ranges at
 * each change. */
#define MAX_MEAN_RANGES_PER_TARGET 3
/* Maximum number of small ranges that one plan gives to the owner of an
 * adjacent range. */
#define MAX_MERGE_MOVES 8
/* A range is small when it weighs less than this share of a fair load. */
#define SMALL_SHARE 0.25

/* At most this share of the eligible targets owns hot keys. */
#define MAX_DEDICATED_SHARE 0.25
/* Share of its load by which a target counts as slower when the owner of a hot
 * key is chosen, since its other keys have to leave. */
#define HOT_OWNER_LOAD_WEIGHT 0.5
/* A hot key stays at its owner until another target is better by this factor,
 * and by the second one if the owner has no other keys left. */
#define MIN_HOT_GAIN 1.25
#define MIN_DEDICATED_GAIN 2.0
/* Maximum number of pieces into which a range is split that leaves the owner
 * of a hot key. */
#define MAX_LEAVING_PIECES 2

struct plan {
    struct rs_keymap *map;
    struct rs_balance_problem *problem;
    GHashTable *indexes; /* id to index of the target */
    double base_weight_per_key;
    double mean_utilization;
    double fair_load; /* at mean capacity and mean utilization */
    double overload_deviations;
    size_t eligible_count;
    size_t max_moves;
    size_t moves;
};

/* Returns the weight of the keys, in requests a second: their request rates
 * plus their base weights. */
static double
weight_of(const struct plan *plan, uint32_t first_key, uint32_t last_key)
{
    double sum = 0;
    for (uint32_t key = first_key; key <= last_key; key++) {
        sum += plan->problem->rates[key];
    }
    return sum + plan->base_weight_per_key * (last_key - first_key + 1);
}

/* Returns the index of the target that is this owner, or target_count if there
 * is none. */
static size_t
find_target(const struct plan *plan, const struct rs_owner *owner)
{
    gpointer index;
    bool found =
        owner->id != NULL &&
        g_hash_table_lookup_extended(plan->indexes, owner->id, NULL, &index);
    return found && RsKeymap_SameOwner(
                        &plan->problem->targets[GPOINTER_TO_SIZE(index)].owner,
                        owner)
               ? GPOINTER_TO_SIZE(index)
               : plan->problem->target_count;
}

static GHashTable *
index_targets(const struct rs_balance_problem *problem)
{
    GHashTable *indexes = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (size_t i = 0; i < problem->target_count; i++) {
        g_hash_table_insert(indexes, (gpointer)problem->targets[i].owner.id,
                            GSIZE_TO_POINTER(i));
    }
    return indexes;
}

/* Returns whether the owner is an eligible target. */
static bool
is_eligible_owner(const struct plan *plan, const struct rs_owner *owner)
{
    size_t i = find_target(plan, owner);
    return owner->id != NULL && i < plan->problem->target_count &&
           plan->problem->targets[i].eligible;
}

static double
utilization_of(const struct rs_balance_target *target)
{
    return target->load / target->capacity;
}

/* Returns whether this is the owner of a hot key that is to own no other
 * keys. */
static bool
is_dedicated(const struct plan *plan, const struct rs_owner *owner)
{
    size_t i = find_target(plan, owner);
    return i < plan->problem->target_count &&
           plan->problem->targets[i].dedicated;
}

static bool
is_hot(const struct plan *plan, uint32_t key)
{
    for (size_t i = 0; i < plan->problem->hot_key_count; i++) {
        if (plan->problem->hot_keys[i].key == key) {
            return true;
        }
    }
    return false;
}

/* Sets the outputs of the targets as of the start of the plan. */
static void
compute_loads(struct plan *plan)
{
    double total = 0;
    for (uint32_t key = 0; key < RsKeymap_KEYS; key++) {
        total += plan->problem->rates[key];
    }
    plan->base_weight_per_key =
        MAX(total * BASE_WEIGHT_SHARE, MIN_BASE_WEIGHT_PER_S) / RsKeymap_KEYS;
    for (size_t i = 0; i < plan->problem->target_count; i++) {
        plan->problem->targets[i].load = 0;
        plan->problem->targets[i].awaiting_keys = false;
        plan->problem->targets[i].skipped = false;
        plan->problem->targets[i].dedicated = false;
    }
    for (size_t i = 0; i < plan->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(plan->map, i);
        size_t owner = find_target(plan, &range->owner);
        double weight = weight_of(plan, range->first_key, range->last_key);
        if (owner < plan->problem->target_count) {
            plan->problem->targets[owner].load += weight;
            plan->problem->targets[owner].awaiting_keys |=
                range->former.id != NULL;
        }
    }
}

/* Computes the totals of the plan. The owners of hot keys are left out: their
 * capacity is not available for other keys. */
static void
compute_totals(struct plan *plan)
{
    double capacity = 0;
    double load = weight_of(plan, 0, RsKeymap_KEYS - 1);
    size_t eligible_count = 0;
    for (size_t i = 0; i < plan->problem->target_count; i++) {
        const struct rs_balance_target *target = &plan->problem->targets[i];
        bool counts = target->eligible && !target->dedicated;
        capacity += counts ? target->capacity : 0;
        eligible_count += counts;
    }
    plan->mean_utilization = capacity > 0 ? load / capacity : INFINITY;
    plan->eligible_count = eligible_count;
    plan->fair_load = load / (double)MAX(eligible_count, (size_t)1);
    plan->overload_deviations =
        MAX(sqrt(2 * log((double)MAX(eligible_count, (size_t)1))),
            MIN_OVERLOAD_DEVIATIONS);
    plan->max_moves = MAX((size_t)((double)eligible_count * MAX_MOVES_SHARE),
                          (size_t)MAX_MOVES);
}

/* Returns whether `target` should get keys rather than `other`: it is not full
 * or the other is, and it is less utilized. */
static bool
is_preferred(const struct rs_balance_target *target,
             const struct rs_balance_target *other)
{
    if (target->full != other->full) {
        return other->full;
    }
    return utilization_of(target) < utilization_of(other);
}

/* Returns the eligible target of non-zero capacity with the lowest
 * utilization, without owners of hot keys, or NULL. A full target is returned
 * only if all are full. */
static struct rs_balance_target *
least_utilized(const struct plan *plan)
{
    struct rs_balance_target *best = NULL;
    struct rs_balance_target *targets = plan->problem->targets;
    for (size_t i = 0; i < plan->problem->target_count; i++) {
        struct rs_balance_target *target = &targets[i];
        if (target->eligible && !target->dedicated && target->capacity > 0 &&
            (best == NULL || is_preferred(target, best))) {
            best = target;
        }
    }
    return best;
}

/* Returns how many requests a second the target's load is below its fair
 * load. */
static double
room_of(const struct plan *plan, const struct rs_balance_target *target)
{
    return plan->mean_utilization * target->capacity - target->load;
}

/* Returns the eligible target with the most room, without owners of hot keys,
 * or NULL. Few large pieces go to such targets, where the least utilized ones
 * may be slow. A full target is returned only if all are full. */
static struct rs_balance_target *
most_room(const struct plan *plan)
{
    struct rs_balance_target *best = NULL;
    struct rs_balance_target *targets = plan->problem->targets;
    for (size_t i = 0; i < plan->problem->target_count; i++) {
        struct rs_balance_target *target = &targets[i];
        if (!target->eligible || target->dedicated || target->capacity <= 0) {
            continue;
        }
        bool better = best == NULL ||
                      (target->full != best->full
                           ? best->full
                           : room_of(plan, target) > room_of(plan, best));
        best = better ? target : best;
    }
    return best;
}

/* Returns the load above which a target is overloaded, in requests a second.
 * The rates are treated as exponential moving averages with a time constant of
 * `window_s`, which vary like a plain average over twice that time. The
 * standard deviation of the request count in that time is about its square
 * root, so the standard deviation of the rate is
 * sqrt(rate / (2 * window_s)). */
static double
overload_limit_per_s(const struct plan *plan,
                     const struct rs_balance_target *target)
{
    double fair = plan->mean_utilization * target->capacity;
    double deviation_per_s =
        sqrt(target->load / (2 * plan->problem->window_s));
    return MAX(fair * OVERLOAD_FACTOR,
               fair + plan->overload_deviations * deviation_per_s);
}

static bool
is_overloaded(const struct plan *plan, const struct rs_balance_target *target)
{
    return utilization_of(target) >= MIN_UTILIZATION &&
           target->load > overload_limit_per_s(plan, target);
}

/* Returns whether the target may give keys away. */
static bool
may_give(const struct rs_balance_target *target)
{
    return target->eligible && !target->dedicated && !target->awaiting_keys &&
           !target->skipped;
}

/* Returns the target with the highest utilization among those that may give
 * keys away and, if `overloaded`, are overloaded, or NULL. */
static struct rs_balance_target *
most_utilized(const struct plan *plan, bool overloaded)
{
    struct rs_balance_target *highest = NULL;
    for (size_t i = 0; i < plan->problem->target_count; i++) {
        struct rs_balance_target *target = &plan->problem->targets[i];
        if (may_give(target) && (!overloaded || is_overloaded(plan, target)) &&
            (highest == NULL ||
             utilization_of(target) > utilization_of(highest))) {
            highest = target;
        }
    }
    return highest;
}

/* Returns the last key of a piece that starts at `first_key` and weighs at
 * most `wanted`. The piece has at least one key, even a heavier one. */
static uint32_t
last_key_of_piece(const struct plan *plan, uint32_t first_key,
                  uint32_t last_key, double wanted)
{
    double weight = 0;
    uint32_t key = first_key;
    while (key <= last_key) {
        weight += plan->problem->rates[key] + plan->base_weight_per_key;
        if (weight > wanted && key > first_key) {
            return key - 1;
        }
        key++;
    }
    return last_key;
}

/* Moves keys to a target and adds them to its load. Returns false when they
 * can't move now. Does not reduce the load of their former owner; see
 * offload(). */
static bool
assign_keys(struct plan *plan, uint32_t first_key, uint32_t last_key,
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

/* Distributes keys without an eligible owner among the eligible targets, in
 * about `max_pieces` pieces unless they are heavy. Stops when there is no such
 * target or some of the keys can't move now. */
static void
distribute_keys(struct plan *plan, uint32_t first_key, uint32_t last_key,
                uint32_t max_pieces)
{
    double min_weight = MIN(weight_of(plan, first_key, last_key) / max_pieces,
                            plan->fair_load * MIN_FAIR_SHARE);
    while (first_key <= last_key) {
        struct rs_balance_target *to = least_utilized(plan);
        if (to == NULL) {
            return;
        }
        double room = plan->mean_utilization * to->capacity - to->load;
        uint32_t piece_last_key = last_key_of_piece(plan, first_key, last_key,
                                                    MAX(room, min_weight));
        if (!assign_keys(plan, first_key, piece_last_key, to)) {
            return;
        }
        first_key = piece_last_key + 1;
    }
}

/* Reassigns all ranges that have no eligible owner, except those that are
 * still being handed over or have a grant in flight. */
static void
replace_owners(struct plan *plan)
{
    GArray *ineligible =
        g_array_new(FALSE, FALSE, sizeof(struct rs_key_range));
    for (size_t i = 0; i < plan->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(plan->map, i);
        if (range->former.id == NULL &&
            !is_eligible_owner(plan, &range->owner)) {
            g_array_append_val(ineligible, *range);
        }
    }
    for (size_t i = 0; i < ineligible->len; i++) {
        const struct rs_key_range *range =
            &g_array_index(ineligible, struct rs_key_range, i);
        distribute_keys(plan, range->first_key, range->last_key, MAX_PIECES);
    }
    g_array_unref(ineligible);
}

/* Adjacent keys within one range. */
struct piece {
    uint32_t first_key;
    uint32_t last_key;
    double weight;
};

/* Finds the shortest piece of the range whose weight is at least `wanted`.
 * Stores the piece in `best` if `best` is longer or empty (weight 0). */
static void
find_shortest_piece(const struct plan *plan, const struct rs_key_range *range,
                    double wanted, struct piece *best)
{
    double weight = 0;
    uint32_t first_key = range->first_key;
    for (uint32_t key = range->first_key; key <= range->last_key; key++) {
        weight += plan->problem->rates[key] + plan->base_weight_per_key;
        while (weight >= wanted) {
            if (best->weight == 0 ||
                key - first_key < best->last_key - best->first_key) {
                *best = (struct piece){first_key, key, weight};
            }
            weight -=
                plan->problem->rates[first_key] + plan->base_weight_per_key;
            first_key++;
        }
    }
}

/* Finds the longest piece at the start of a range whose weight is at most
 * `wanted`, and stores the piece in `best` if `best` is lighter. This piece is
 * used when the shortest piece is too heavy, or no piece is heavy enough. */
static void
find_leading_piece(const struct plan *plan, const struct rs_key_range *range,
                   double wanted, struct piece *best)
{
    uint32_t last_key =
        last_key_of_piece(plan, range->first_key, range->last_key, wanted);
    double weight = weight_of(plan, range->first_key, last_key);
    if (weight > best->weight && weight <= wanted) {
        *best = (struct piece){range->first_key, last_key, weight};
    }
}

/* Chooses adjacent keys of an owner to move: the shortest piece with a weight
 * of about `wanted` or, if there is none, the heaviest piece of at most that
 * weight at the start of a range. The weight of the result is 0 when no keys
 * fit. */
static struct piece
choose_piece(const struct plan *plan, const struct rs_owner *owner,
             double wanted)
{
    struct piece shortest = {0};
    struct piece leading = {0};
    for (size_t i = 0; i < plan->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(plan->map, i);
        if (RsKeymap_SameOwner(&range->owner, owner)) {
            find_shortest_piece(plan, range, wanted * MIN_PIECE_SHARE,
                                &shortest);
            find_leading_piece(plan, range, wanted, &leading);
        }
    }
    bool fits =
        shortest.weight > 0 && shortest.weight <= wanted * MAX_PIECE_SHARE;
    return fits ? shortest : leading;
}

/* Moves keys from a target to the one with the most room: about as many as
 * give both the same utilization, but no more than what `from` has above its
 * fair load. Returns false if there is no other eligible target, no keys fit,
 * or the keys can't move now. */
static bool
offload(struct plan *plan, struct rs_balance_target *from)
{
    struct rs_balance_target *to = most_room(plan);
    if (to == NULL || from == to) {
        return false;
    }
    double total_capacity = from->capacity + to->capacity;
    double wanted = (from->load * to->capacity - to->load * from->capacity) /
                    total_capacity;
    wanted = MIN(wanted, from->load - plan->mean_utilization * from->capacity);
    wanted =
        MIN(wanted, MAX(room_of(plan, to) * MAX_ROOM_FACTOR, MIN_MOVE_PER_S));
    struct piece piece = choose_piece(plan, &from->owner, wanted);
    if (piece.weight < MIN_MOVE_PER_S ||
        !assign_keys(plan, piece.first_key, piece.last_key, to)) {
        return false;
    }
    from->load -= piece.weight;
    return true;
}

/* Moves keys away from the most utilized target, until that target is not
 * overloaded or the plan has `max_moves` moves. Skips targets whose keys could
 * not be moved. */
static void
rebalance(struct plan *plan)
{
    while (plan->moves < plan->max_moves) {
        struct rs_balance_target *from = most_utilized(plan, true);
        if (from == NULL) {
            return;
        }
        if (!offload(plan, from)) {
            from->skipped = true;
        }
    }
}

/* Returns whether the target owns keys, or is about to. */
static bool
owns_keys(const struct plan *plan, const struct rs_balance_target *target)
{
    for (size_t i = 0; i < plan->map->ranges->len; i++) {
        if (RsKeymap_SameOwner(&RsKeymap_GetRange(plan->map, i)->owner,
                               &target->owner)) {
            return true;
        }
    }
    return false;
}

/* Gives keys to the targets that have none while few requests come, so that
 * they are in use before load comes. Each gets one piece from the most
 * utilized target. */
static void
supply_new_targets(struct plan *plan)
{
    if (plan->mean_utilization >= MIN_UTILIZATION) {
        return;
    }
    struct rs_balance_target *targets = plan->problem->targets;
    for (size_t i = 0; i < plan->problem->target_count; i++) {
        struct rs_balance_target *to = &targets[i];
        struct rs_balance_target *from = most_utilized(plan, false);
        if (from == NULL || plan->moves >= plan->max_moves) {
            return;
        }
        if (to->eligible && to->capacity > 0 && from != to &&
            !owns_keys(plan, to)) {
            struct piece piece =
                choose_piece(plan, &from->owner,
                             MIN(from->load * to->capacity /
                                     (from->capacity + to->capacity),
                                 plan->mean_utilization * to->capacity));
            if (piece.weight == 0 ||
                !assign_keys(plan, piece.first_key, piece.last_key, to)) {
                from->skipped = true;
                continue;
            }
            from->load -= piece.weight;
        }
    }
}

/* Returns the owner of the previous or else the next range, or NULL. Only an
 * eligible owner counts, and only if its range is not being handed over. */
static struct rs_balance_target *
neighbour_of(const struct plan *plan, size_t index)
{
    const size_t indexes[] = {index - 1, index + 1};
    for (size_t i = 0; i < 2; i++) {
        if (indexes[i] >= plan->map->ranges->len) {
            continue; /* index - 1 wraps around for the first range */
        }
        const struct rs_key_range *range =
            RsKeymap_GetRange(plan->map, indexes[i]);
        if (range->former.id == NULL && !is_dedicated(plan, &range->owner) &&
            is_eligible_owner(plan, &range->owner)) {
            return &plan->problem->targets[find_target(plan, &range->owner)];
        }
    }
    return NULL;
}

/* Returns whether an adjacent range has the same owner, so that the two
 * ranges will be merged anyway, once both are mergeable. */
static bool
will_be_merged(const struct plan *plan, size_t index)
{
    const struct rs_owner *owner = &RsKeymap_GetRange(plan->map, index)->owner;
    return (index > 0 &&
            RsKeymap_SameOwner(
                owner, &RsKeymap_GetRange(plan->map, index - 1)->owner)) ||
           (index + 1 < plan->map->ranges->len &&
            RsKeymap_SameOwner(
                owner, &RsKeymap_GetRange(plan->map, index + 1)->owner));
}

/* While the map has too many ranges, gives small ranges to the owner of an
 * adjacent range, so that the two can be merged. Moves at most MAX_MERGE_MOVES
 * ranges. */
static void
assign_small_ranges(struct plan *plan)
{
    size_t max_ranges = plan->eligible_count * MAX_MEAN_RANGES_PER_TARGET;
    size_t moves_left = MAX_MERGE_MOVES;
    for (size_t i = 0; i < plan->map->ranges->len && moves_left > 0; i++) {
        const struct rs_key_range range = *RsKeymap_GetRange(plan->map, i);
        struct rs_balance_target *to = neighbour_of(plan, i);
        double weight = weight_of(plan, range.first_key, range.last_key);
        if (plan->map->ranges->len <= max_ranges) {
            return;
        }
        bool small = weight <= plan->fair_load * SMALL_SHARE;
        if (small && to != NULL && range.former.id == NULL &&
            !is_dedicated(plan, &range.owner) && !will_be_merged(plan, i) &&
            to->load + weight <= overload_limit_per_s(plan, to) &&
            assign_keys(plan, range.first_key, range.last_key, to)) {
            moves_left--;
            i++; /* don't move its neighbour in the same plan */
        }
    }
}

/* Returns how many requests a second the target could run for a hot key, less
 * a part of the load of its keys, which would have to leave. */
static double
hot_owner_score(const struct rs_balance_target *target)
{
    return target->capacity - HOT_OWNER_LOAD_WEIGHT * target->load;
}

/* Returns the target that can run the most requests of a hot key: the present
 * owner unless another is clearly better, or NULL. */
static struct rs_balance_target *
choose_hot_owner(const struct plan *plan, const struct rs_key_range *range)
{
    struct rs_balance_target *best = NULL;
    struct rs_balance_target *targets = plan->problem->targets;
    for (size_t i = 0; i < plan->problem->target_count; i++) {
        struct rs_balance_target *target = &targets[i];
        if (target->eligible && !target->dedicated && !target->awaiting_keys &&
            !target->full &&
            (best == NULL ||
             hot_owner_score(target) > hot_owner_score(best))) {
            best = target;
        }
    }
    size_t present = find_target(plan, &range->owner);
    if (best == NULL || present == plan->problem->target_count ||
        !targets[present].eligible || targets[present].dedicated) {
        return best;
    }
    bool alone = range->first_key == range->last_key;
    double gain = alone ? MIN_DEDICATED_GAIN : MIN_HOT_GAIN;
    return hot_owner_score(best) > gain * hot_owner_score(&targets[present])
               ? best
               : &targets[present];
}

/* Chooses an owner for each hot key and gives it the key. Keys that are being
 * handed over stay. */
static void
place_hot_keys(struct plan *plan)
{
    size_t max_dedicated =
        (size_t)((double)plan->eligible_count * MAX_DEDICATED_SHARE);
    for (size_t i = 0; i < plan->problem->hot_key_count; i++) {
        struct rs_balance_hot_key *hot = &plan->problem->hot_keys[i];
        struct rs_key_range range = *RsKeymap_FindRange(plan->map, hot->key);
        bool movable =
            range.former.id == NULL && !plan->problem->rates_unknown;
        if (i < max_dedicated && movable) {
            struct rs_balance_target *to = choose_hot_owner(plan, &range);
            if (to != NULL && (RsKeymap_SameOwner(&to->owner, &range.owner) ||
                               assign_keys(plan, hot->key, hot->key, to))) {
                to->dedicated = true;
                range.owner = to->owner;
            }
        }
        else if (i < max_dedicated) {
            size_t owner = find_target(plan, &range.owner);
            if (owner < plan->problem->target_count &&
                range.first_key == range.last_key) {
                plan->problem->targets[owner].dedicated = true;
            }
        }
        hot->target = find_target(plan, &range.owner);
    }
    compute_totals(plan);
}

/* Moves all other keys away from the owners of hot keys, if they can move. */
static void
clear_dedicated(struct plan *plan)
{
    if (plan->problem->hot_key_count == 0) {
        return;
    }
    GArray *leaving = g_array_new(FALSE, FALSE, sizeof(struct rs_key_range));
    for (size_t i = 0; i < plan->map->ranges->len; i++) {
        struct rs_key_range range = *RsKeymap_GetRange(plan->map, i);
        if (!is_dedicated(plan, &range.owner) || range.former.id != NULL) {
            continue;
        }
        uint32_t last_key = range.last_key;
        for (uint32_t key = range.first_key; key <= last_key; key++) {
            if (is_hot(plan, key)) {
                range.last_key = key - 1;
                if (key > range.first_key) {
                    g_array_append_val(leaving, range);
                }
                range.first_key = key + 1;
            }
        }
        range.last_key = last_key;
        if (range.first_key <= last_key) {
            g_array_append_val(leaving, range);
        }
    }
    for (size_t i = 0; i < leaving->len; i++) {
        const struct rs_key_range *range =
            &g_array_index(leaving, struct rs_key_range, i);
        distribute_keys(plan, range->first_key, range->last_key,
                        MAX_LEAVING_PIECES);
    }
    g_array_unref(leaving);
}

/* Sets the weight of the keys that the owners of hot keys still have besides
 * these. */
static void
measure_others(struct plan *plan)
{
    for (size_t i = 0; i < plan->problem->hot_key_count; i++) {
        struct rs_balance_hot_key *hot = &plan->problem->hot_keys[i];
        hot->others_per_s = 0;
        for (size_t k = 0; k < plan->map->ranges->len &&
                           hot->target < plan->problem->target_count;
             k++) {
            const struct rs_key_range *range = RsKeymap_GetRange(plan->map, k);
            if (RsKeymap_SameOwner(
                    &range->owner,
                    &plan->problem->targets[hot->target].owner)) {
                hot->others_per_s +=
                    weight_of(plan, range->first_key, range->last_key);
            }
        }
    }
}

/* Merges and reassigns ranges of the map, and fills in the outputs of
 * `problem`. Returns the number of changes: moved pieces plus merged ranges.
 */
size_t
RsBalance_Plan(struct rs_keymap *map, struct rs_balance_problem *problem)
{
    struct plan plan = {
        .map = map, .problem = problem, .indexes = index_targets(problem)};
    size_t merged_ranges = RsKeymap_MergeRanges(map);
    compute_loads(&plan);
    compute_totals(&plan);
    place_hot_keys(&plan);
    clear_dedicated(&plan);
    replace_owners(&plan);
    if (!problem->rates_unknown) {
        rebalance(&plan);
        supply_new_targets(&plan);
        assign_small_ranges(&plan);
    }
    measure_others(&plan);
    g_hash_table_unref(plan.indexes);
    return plan.moves + merged_ranges;
}
