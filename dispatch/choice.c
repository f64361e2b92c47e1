#include "dispatch/choice.h"

#include <string.h>

#include "core/id.h"

#define DRAWS 8
#define PROBE_EVERY 512 /* picks, one of which goes to a target left out */

static size_t
draw(struct rs_choice *choice, size_t count)
{
    choice->random = RsId_Mix(choice->random, count);
    return (size_t)(choice->random % count);
}

static bool
may_take(const struct rs_choice_target *target, enum rs_health_state worst)
{
    return target->usable && target->state <= worst;
}

/* Draws a target no worse than `worst`; after some misses it takes the next
 * one in order from a random place. */
static size_t
draw_target(struct rs_choice *choice, const struct rs_choice_target *targets,
            size_t count, enum rs_health_state worst, size_t avoid)
{
    for (int i = 0; i < DRAWS; i++) {
        size_t index = draw(choice, count);
        if (index != avoid && may_take(&targets[index], worst)) {
            return index;
        }
    }
    size_t first = draw(choice, count);
    for (size_t i = 0; i < count; i++) {
        size_t index = (first + i) % count;
        if (index != avoid && may_take(&targets[index], worst)) {
            return index;
        }
    }
    return RsChoice_NOWHERE;
}

static double
cost(const struct rs_choice_target *target)
{
    double latency_us = target->latency_us > 1.0 ? target->latency_us : 1.0;
    return (double)(target->in_flight + 1) * latency_us;
}

static bool
full(const struct rs_choice_target *target)
{
    return target->in_flight >= target->limit;
}

static size_t
better(const struct rs_choice_target *targets, size_t a, size_t b)
{
    if (a == RsChoice_NOWHERE || b == RsChoice_NOWHERE) {
        return a == RsChoice_NOWHERE ? b : a;
    }
    if (full(&targets[a]) != full(&targets[b])) {
        return full(&targets[a]) ? b : a;
    }
    return cost(&targets[b]) < cost(&targets[a]) ? b : a;
}

static size_t
better_of_two(struct rs_choice *choice, const struct rs_choice_target *targets,
              size_t count, enum rs_health_state worst, size_t avoid)
{
    size_t a = draw_target(choice, targets, count, worst, avoid);
    size_t b = a;
    for (int i = 0; i < DRAWS && b == a; i++) {
        b = draw_target(choice, targets, count, worst, avoid);
    }
    return better(targets, a, b);
}

/* Now and then a target that is left out gets one, so that its recovery is
 * seen. */
static size_t
probe(struct rs_choice *choice, const struct rs_choice_target *targets,
      size_t count, size_t avoid)
{
    size_t first = draw(choice, count);
    for (size_t i = 0; i < count; i++) {
        size_t index = (first + i) % count;
        const struct rs_choice_target *target = &targets[index];
        if (index != avoid && target->usable && target->state != RsHealth_UP &&
            target->in_flight == 0) {
            return index;
        }
    }
    return RsChoice_NOWHERE;
}

/* Slow targets are used only when the draw finds the others full, suspect
 * ones only when there is no other, lost ones only to probe. */
static size_t
pick_two(struct rs_choice *choice, const struct rs_choice_target *targets,
         size_t count, size_t avoid)
{
    size_t index = RsChoice_NOWHERE;
    if (choice->picks % PROBE_EVERY == 0) {
        index = probe(choice, targets, count, avoid);
        if (index != RsChoice_NOWHERE) {
            return index;
        }
    }
    index = better_of_two(choice, targets, count, RsHealth_UP, avoid);
    if (index == RsChoice_NOWHERE || full(&targets[index])) {
        size_t other =
            better_of_two(choice, targets, count, RsHealth_SLOW, avoid);
        index = better(targets, index, other);
    }
    if (index == RsChoice_NOWHERE) {
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
    return RsChoice_NOWHERE;
}

static size_t
pick_random(struct rs_choice *choice, const struct rs_choice_target *targets,
            size_t count, size_t avoid)
{
    return draw_target(choice, targets, count, RsHealth_LOST, avoid);
}

const struct rs_choice_policy rs_choice_two = {.name = "two-choices",
                                               .pick = pick_two};
const struct rs_choice_policy rs_choice_round_robin = {
    .name = "round-robin", .pick = pick_round_robin};
const struct rs_choice_policy rs_choice_random = {.name = "random",
                                                  .pick = pick_random};

/* Returns the policy of that name, or NULL. */
const struct rs_choice_policy *
RsChoice_FindPolicy(const char *name)
{
    static const struct rs_choice_policy *const policies[] = {
        &rs_choice_two, &rs_choice_round_robin, &rs_choice_random};
    for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        if (strcmp(policies[i]->name, name) == 0) {
            return policies[i];
        }
    }
    return NULL;
}

/* Sets `choice` to its start. */
void
RsChoice_Start(struct rs_choice *choice, const struct rs_choice_policy *policy,
               uint64_t seed)
{
    *choice = (struct rs_choice){.policy = policy, .random = seed};
}

/* Returns the index of the target to use, or RsChoice_NOWHERE. `avoid` was
 * tried before, or is RsChoice_NOWHERE; it is taken again only when no other
 * one is usable. */
size_t
RsChoice_Pick(struct rs_choice *choice, const struct rs_choice_target *targets,
              size_t count, size_t avoid)
{
    if (count == 0) {
        return RsChoice_NOWHERE;
    }
    choice->picks++;
    size_t index = choice->policy->pick(choice, targets, count, avoid);
    if (index == RsChoice_NOWHERE && avoid < count && targets[avoid].usable) {
        index = avoid;
    }
    return index;
}
