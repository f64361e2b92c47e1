#include "dispatch/choice.h"

#include <string.h>

#include "core/id.h"

#define MAX_DRAWS 8
#define PICKS_PER_PROBE 512 /* one in this many may be a probe */

/* Returns a pseudo-random index below `count`. */
static size_t
draw_index(struct rs_choice *choice, size_t count)
{
    choice->random = RsId_Combine(choice->random, count);
    return (size_t)(choice->random % count);
}

static bool
is_eligible(const struct rs_choice_target *target,
            enum rs_health_state worst_state)
{
    return target->usable && target->state <= worst_state;
}

/* Returns the index of a random usable target, other than `avoid`, whose state
 * is no worse than `worst_state`, or RsChoice_NONE. After MAX_DRAWS draws
 * without one it scans all targets from a random index. */
static size_t
draw_target(struct rs_choice *choice, const struct rs_choice_target *targets,
            size_t count, enum rs_health_state worst_state, size_t avoid)
{
    for (int i = 0; i < MAX_DRAWS; i++) {
        size_t index = draw_index(choice, count);
        if (index != avoid && is_eligible(&targets[index], worst_state)) {
            return index;
        }
    }
    size_t first = draw_index(choice, count);
    for (size_t i = 0; i < count; i++) {
        size_t index = (first + i) % count;
        if (index != avoid && is_eligible(&targets[index], worst_state)) {
            return index;
        }
    }
    return RsChoice_NONE;
}

/* Returns an estimate, to compare targets by, of the time until this target
 * would answer one more request. A latency of less than 1 us counts as
 * 1 us. */
static double
estimated_cost(const struct rs_choice_target *target)
{
    double latency_us = target->latency_us > 1.0 ? target->latency_us : 1.0;
    return (double)(target->in_flight + 1) * latency_us;
}

static bool
is_full(const struct rs_choice_target *target)
{
    return target->in_flight >= target->limit;
}

/* Returns the better of two targets. One below its limit is better than a full
 * one; otherwise the one with the lower estimated cost is. Either may be
 * RsChoice_NONE. */
static size_t
better_target(const struct rs_choice_target *targets, size_t a, size_t b)
{
    if (a == RsChoice_NONE || b == RsChoice_NONE) {
        return a == RsChoice_NONE ? b : a;
    }
    if (is_full(&targets[a]) != is_full(&targets[b])) {
        return is_full(&targets[a]) ? b : a;
    }
    return estimated_cost(&targets[b]) < estimated_cost(&targets[a]) ? b : a;
}

/* Draws two targets and returns the better. The second is drawn up to
 * MAX_DRAWS times until it differs from the first. Returns RsChoice_NONE if
 * there is no eligible target. */
static size_t
better_of_two(struct rs_choice *choice, const struct rs_choice_target *targets,
              size_t count, enum rs_health_state worst_state, size_t avoid)
{
    size_t a = draw_target(choice, targets, count, worst_state, avoid);
    size_t b = a;
    for (int i = 0; i < MAX_DRAWS && b == a; i++) {
        b = draw_target(choice, targets, count, worst_state, avoid);
    }
    return better_target(targets, a, b);
}

/* Returns a usable target, other than `avoid`, that has no request in flight
 * and is slow, suspect or lost; or RsChoice_NONE. A request to it gives a new
 * observation of its health. */
static size_t
find_probe(struct rs_choice *choice, const struct rs_choice_target *targets,
           size_t count, size_t avoid)
{
    size_t first = draw_index(choice, count);
    for (size_t i = 0; i < count; i++) {
        size_t index = (first + i) % count;
        const struct rs_choice_target *target = &targets[index];
        if (index != avoid && target->usable && target->state != RsHealth_UP &&
            target->in_flight == 0) {
            return index;
        }
    }
    return RsChoice_NONE;
}

/* Draws two targets that are up and returns the better one. If that one is
 * full, or no target is up, draws two more from those that are up or slow and
 * returns the best of all drawn. If there are none, draws from all usable
 * targets. One in
 * PICKS_PER_PROBE picks goes to a target that find_probe() returns, if there
 * is one. */
static size_t
pick_by_two_choices(struct rs_choice *choice,
                    const struct rs_choice_target *targets, size_t count,
                    size_t avoid)
{
    size_t index = RsChoice_NONE;
    if (choice->picks % PICKS_PER_PROBE == 0) {
        index = find_probe(choice, targets, count, avoid);
        if (index != RsChoice_NONE) {
            return index;
        }
    }
    index = better_of_two(choice, targets, count, RsHealth_UP, avoid);
    if (index == RsChoice_NONE || is_full(&targets[index])) {
        size_t other =
            better_of_two(choice, targets, count, RsHealth_SLOW, avoid);
        index = better_target(targets, index, other);
    }
    if (index == RsChoice_NONE) {
        index = better_of_two(choice, targets, count, RsHealth_LOST, avoid);
    }
    return index;
}

static size_t
pick_round_robin(struct rs_choice *choice,
                 const struct rs_choice_target *targets, size_t count,
                 size_t avoid)
{
    for (size_t i = 0; i < count; i++) {
        size_t index = choice->next++ % count;
        if (index != avoid && targets[index].usable) {
            return index;
        }
    }
    return RsChoice_NONE;
}

static size_t
pick_random(struct rs_choice *choice, const struct rs_choice_target *targets,
            size_t count, size_t avoid)
{
    return draw_target(choice, targets, count, RsHealth_LOST, avoid);
}

const struct rs_choice_policy rs_choice_two_choices = {
    .name = "two-choices", .pick = pick_by_two_choices};
const struct rs_choice_policy rs_choice_round_robin = {
    .name = "round-robin", .pick = pick_round_robin};
const struct rs_choice_policy rs_choice_random = {.name = "random",
                                                  .pick = pick_random};

/* Returns the policy with this name, or NULL. */
const struct rs_choice_policy *
RsChoice_FindPolicy(const char *name)
{
    static const struct rs_choice_policy *const policies[] = {
        &rs_choice_two_choices, &rs_choice_round_robin, &rs_choice_random};
    for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        if (strcmp(policies[i]->name, name) == 0) {
            return policies[i];
        }
    }
    return NULL;
}

/* Initializes `choice`; `seed` starts its pseudo-random generator. */
void
RsChoice_Init(struct rs_choice *choice, const struct rs_choice_policy *policy,
              uint64_t seed)
{
    *choice = (struct rs_choice){.policy = policy, .random = seed};
}

/* Returns the index of the target to use, or RsChoice_NONE if none is
 * usable. `avoid` is the index of a target that was tried before, or
 * RsChoice_NONE; it is returned only if no other target is usable. */
size_t
RsChoice_Pick(struct rs_choice *choice, const struct rs_choice_target *targets,
              size_t count, size_t avoid)
{
    if (count == 0) {
        return RsChoice_NONE;
    }
    choice->picks++;
    size_t index = choice->policy->pick(choice, targets, count, avoid);
    if (index == RsChoice_NONE && avoid < count && targets[avoid].usable) {
        index = avoid;
    }
    return index;
}
