#include "dispatch/retry.h"

#include <assert.h>
#include <stddef.h>
#include <string.h>

#include "core/clock.h"
#include "core/id.h"

#define HEDGE_QUANTILE 0.95
#define IMMEDIATE_REDIRECTS 2 /* sent without backoff */
#define US_PER_MS 1000
#define JITTER_BITS 20

const struct rs_retry_policy rs_retry_budget = {
    .name = "budget", .retries = true, .uses_budget = true, .backs_off = true};

const struct rs_retry_policy rs_retry_immediate = {.name = "immediate",
                                                   .retries = true,
                                                   .uses_budget = false,
                                                   .backs_off = false};

const struct rs_retry_policy rs_retry_none = {.name = "none",
                                              .retries = false,
                                              .uses_budget = false,
                                              .backs_off = false};

static double
smaller_of(double a, double b)
{
    return a < b ? a : b;
}

/* Returns a pseudo-random number in [0, 1). */
static double
random_fraction(struct rs_retry *retry)
{
    retry->random = RsId_Combine(retry->random, retry->options.seed);
    uint64_t bits = retry->random >> (64 - JITTER_BITS);
    return (double)bits / (double)(1u << JITTER_BITS);
}

/* Returns the time of the next try after `tries` tries: an exponential backoff
 * with full jitter, which starts after the delay that the refusal asked for,
 * or `now_ms` if the policy has no backoff. */
static int64_t
next_try_at_ms(struct rs_retry *retry, uint32_t tries, int64_t now_ms,
               uint32_t retry_after_ms)
{
    if (!retry->options.policy->backs_off) {
        return now_ms;
    }
    double backoff_ms = retry->options.backoff_ms;
    for (uint32_t i = 1; i < tries; i++) {
        backoff_ms =
            smaller_of(backoff_ms * 2.0, retry->options.max_backoff_ms);
    }
    return now_ms + retry_after_ms +
           (int64_t)(random_fraction(retry) * backoff_ms);
}

static bool
take_token(double *tokens)
{
    if (*tokens < 1.0) {
        return false;
    }
    *tokens -= 1.0;
    return true;
}

/* Returns whether to retry a try that was refused because of its routing.
 * Its retry takes no token, and the try is then not counted in `tries`;
 * `max_routing_refusals` bounds the number of such retries. */
static bool
allow_retry_after_routing_refusal(const struct rs_retry *retry,
                                  struct rs_retry_request *request,
                                  int64_t at_ms)
{
    if (!retry->options.policy->retries || at_ms >= request->deadline_ms ||
        request->retried_routing_refusals >=
            retry->options.max_routing_refusals) {
        return false;
    }
    request->retried_routing_refusals++;
    request->tries--;
    return true;
}

/* Returns whether to retry any other try, and takes a token if the policy has
 * a budget and nothing else forbids the retry. A try with an unknown outcome
 * is retried only if the request is repeatable. */
static bool
allow_retry(struct rs_retry *retry, const struct rs_retry_request *request,
            enum rs_outcome outcome, int64_t at_ms)
{
    if (!retry->options.policy->retries || at_ms >= request->deadline_ms ||
        request->tries >= retry->options.max_tries) {
        return false;
    }
    if (outcome == RsOutcome_UNKNOWN && !request->repeatable) {
        return false;
    }
    if (retry->options.policy->uses_budget &&
        !take_token(&retry->retry_tokens)) {
        retry->counts.out_of_budget++;
        return false;
    }
    return true;
}

/* Decides to answer the caller, or to wait if `outcome` is not done and
 * another try is in flight. "Not run" is answered only if no try may have run;
 * otherwise the outcome is unknown. */
static void
decide_answer(struct rs_retry_request *request, enum rs_outcome outcome,
              struct rs_retry_decision *decision)
{
    if (request->in_flight > 0 && outcome != RsOutcome_DONE) {
        decision->action = RsRetry_WAIT;
        return;
    }
    request->answered = true;
    decision->action = RsRetry_ANSWER;
    decision->outcome = outcome;
    if (outcome != RsOutcome_DONE) {
        decision->outcome =
            request->may_have_run ? RsOutcome_UNKNOWN : RsOutcome_NOT_RUN;
    }
}

/* Decides to follow a redirect; its try is then not counted in `tries`. After
 * IMMEDIATE_REDIRECTS of them each one waits for `backoff_ms`. Answers the
 * caller if `max_redirects` were followed or the deadline does not allow it.
 */
static void
decide_redirect(struct rs_retry *retry, struct rs_retry_request *request,
                int64_t now_ms, struct rs_retry_decision *decision)
{
    int64_t at_ms = now_ms;
    if (request->redirects >= IMMEDIATE_REDIRECTS) {
        at_ms += retry->options.backoff_ms;
    }
    if (request->redirects >= retry->options.max_redirects ||
        at_ms >= request->deadline_ms) {
        decide_answer(request, RsOutcome_NOT_RUN, decision);
        return;
    }
    request->redirects++;
    request->tries--;
    retry->counts.redirects++;
    decision->action = RsRetry_REDIRECT;
    decision->at_ms = at_ms;
}

/* Returns the policy with this name, or NULL. */
const struct rs_retry_policy *
RsRetry_FindPolicy(const char *name)
{
    static const struct rs_retry_policy *const policies[] = {
        &rs_retry_budget, &rs_retry_immediate, &rs_retry_none};
    for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        if (strcmp(policies[i]->name, name) == 0) {
            return policies[i];
        }
    }
    return NULL;
}

/* Initializes `retry` with full budgets. `max_tries` must be at least 1. */
void
RsRetry_Init(struct rs_retry *retry, const struct rs_retry_options *options)
{
    assert(options->max_tries > 0);
    *retry = (struct rs_retry){.options = *options,
                               .retry_tokens = options->burst,
                               .hedge_tokens = options->burst};
}

/* Initializes `request` and adds tokens for its first try to the budgets. The
 * caller then sends this try and calls RsRetry_RecordSent(). */
void
RsRetry_BeginRequest(struct rs_retry *retry, struct rs_retry_request *request,
                     bool repeatable, bool keyed, int64_t deadline_ms)
{
    const struct rs_retry_options *options = &retry->options;
    *request = (struct rs_retry_request){
        .repeatable = repeatable, .keyed = keyed, .deadline_ms = deadline_ms};
    retry->retry_tokens = smaller_of(
        retry->retry_tokens + options->budget_share, options->burst);
    retry->hedge_tokens =
        smaller_of(retry->hedge_tokens + options->hedge_share, options->burst);
    retry->counts.first_tries++;
}

/* Records that a try was sent: the first one, a retry or redirect that
 * RsRetry_Decide() asked for, or a hedge. */
void
RsRetry_RecordSent(struct rs_retry_request *request)
{
    request->tries++;
    request->in_flight++;
}

/* Records the outcome of a try and sets `decision`. `retry_after_ms` is the
 * delay that the refusal asked for, or 0. */
void
RsRetry_Decide(struct rs_retry *retry, struct rs_retry_request *request,
               int64_t now_ms, enum rs_outcome outcome,
               uint32_t retry_after_ms, struct rs_retry_decision *decision)
{
    assert(request->in_flight > 0);
    *decision = (struct rs_retry_decision){.action = RsRetry_NOTHING};
    request->in_flight--;
    if (request->answered) {
        return;
    }
    if (outcome == RsOutcome_UNKNOWN) {
        request->may_have_run = true;
    }
    if (outcome == RsOutcome_DONE || request->in_flight > 0) {
        decide_answer(request, outcome, decision);
        return;
    }
    if (outcome == RsOutcome_REDIRECT) {
        decide_redirect(retry, request, now_ms, decision);
        return;
    }
    bool refused_by_routing =
        request->refused_by_routing && outcome == RsOutcome_NOT_RUN;
    uint32_t backoff_step = refused_by_routing
                                ? request->retried_routing_refusals + 1
                                : request->tries;
    int64_t at_ms =
        next_try_at_ms(retry, backoff_step, now_ms, retry_after_ms);
    bool allowed =
        refused_by_routing
            ? allow_retry_after_routing_refusal(retry, request, at_ms)
            : allow_retry(retry, request, outcome, at_ms);
    if (!allowed) {
        decide_answer(request, outcome, decision);
        return;
    }
    retry->counts.retries++;
    decision->action = RsRetry_RETRY;
    decision->at_ms = at_ms;
    decision->prefer_other_target = !request->keyed;
}

/* Records the latency of an answered request. Hedges are timed by these
 * latencies. */
void
RsRetry_RecordLatency(struct rs_retry *retry, int64_t latency_us)
{
    RsQuantile_Add(&retry->latency_us, HEDGE_QUANTILE, (double)latency_us);
}

/* Returns the time at which a second copy of a request may be sent: once it
 * has taken longer than the p95 latency, and at least `min_hedge_ms`. Returns
 * RsClock_NEVER_MS if none may be sent, or none before the deadline. */
int64_t
RsRetry_HedgeAtMs(const struct rs_retry *retry,
                  const struct rs_retry_request *request, int64_t sent_at_ms)
{
    bool eligible = request->repeatable && !request->keyed &&
                    !request->hedged && retry->options.hedge_share > 0.0 &&
                    retry->latency_us.value > 0.0;
    if (!eligible) {
        return RsClock_NEVER_MS;
    }
    int64_t wait_ms = (int64_t)(retry->latency_us.value / US_PER_MS) + 1;
    if (wait_ms < retry->options.min_hedge_ms) {
        wait_ms = retry->options.min_hedge_ms;
    }
    int64_t at_ms = sent_at_ms + wait_ms;
    return at_ms < request->deadline_ms ? at_ms : RsClock_NEVER_MS;
}

/* To be called at the time that RsRetry_HedgeAtMs() returned. Returns true if
 * a second copy is to be sent now to another target, and then takes a token
 * for it. */
bool
RsRetry_TryHedge(struct rs_retry *retry, struct rs_retry_request *request,
                 int64_t now_ms)
{
    if (request->answered || request->in_flight != 1 || request->hedged ||
        request->keyed || !request->repeatable ||
        now_ms >= request->deadline_ms || !take_token(&retry->hedge_tokens)) {
        return false;
    }
    request->hedged = true;
    retry->counts.hedges++;
    return true;
}
