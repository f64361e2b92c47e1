/* Drives the retry decisions of a series of requests with arbitrary outcomes.
 * The test tracks how many tries may have run. It checks that at most one
 * try of a request that is not repeatable may have run, that "not run" is
 * answered only if no try may have run, that the budgets are kept, and that
 * each request is answered once. */

#include <stdio.h>
#include <stdlib.h>

#include "core/clock.h"
#include "dispatch/retry.h"

#define MAX_TRIES 3
#define MAX_REDIRECTS 3
#define BURST 3
#define BUDGET_SHARE 0.1
#define HEDGE_SHARE 0.05

#define CHECK(condition)                                                      \
    do {                                                                      \
        if (!(condition)) {                                                   \
            fprintf(stderr, "broken: %s\n", #condition);                      \
            abort();                                                          \
        }                                                                     \
    } while (0)

struct input {
    const uint8_t *data;
    size_t size;
};

/* Counts of one request. */
struct tally {
    unsigned tries;
    unsigned in_flight;
    unsigned may_have_run;
    unsigned redirects;
    unsigned hedges;
    unsigned answers;
};

/* Counts of all requests. */
struct totals {
    double first_tries;
    double retries;
    double hedges;
};

static uint8_t
take_byte(struct input *input)
{
    if (input->size == 0) {
        return 0;
    }
    input->size--;
    return *input->data++;
}

static void
send_try(struct rs_retry_request *request, struct tally *tally)
{
    RsRetry_RecordSent(request);
    tally->tries++;
    tally->in_flight++;
    CHECK(request->repeatable ||
          (tally->may_have_run == 0 && tally->in_flight == 1));
    CHECK(tally->tries <= MAX_TRIES + tally->redirects + tally->hedges);
}

static void
hedge(struct rs_retry *retry, struct rs_retry_request *request,
      struct tally *tally, struct totals *totals, int64_t now_ms)
{
    int64_t at_ms = RsRetry_HedgeAtMs(retry, request, now_ms);
    CHECK(at_ms > now_ms);
    CHECK(at_ms == RsClock_NEVER_MS || at_ms < request->deadline_ms);
    if (!RsRetry_TryHedge(retry, request, now_ms)) {
        return;
    }
    CHECK(request->repeatable && !request->keyed);
    CHECK(tally->answers == 0 && tally->hedges == 0);
    tally->hedges++;
    totals->hedges++;
    send_try(request, tally);
}

static void
check_answer(const struct rs_retry_decision *decision, struct tally *tally,
             enum rs_outcome last_outcome)
{
    tally->answers++;
    CHECK(tally->answers == 1);
    CHECK(decision->outcome != RsOutcome_REDIRECT);
    CHECK((decision->outcome == RsOutcome_DONE) ==
          (last_outcome == RsOutcome_DONE));
    if (decision->outcome == RsOutcome_NOT_RUN) {
        CHECK(tally->may_have_run == 0 && tally->in_flight == 0);
    }
}

/* Ends a try with an arbitrary outcome and follows the decision, which may
 * send another try. Returns whether a try is in flight afterwards. */
static bool
end_try(struct input *input, struct rs_retry *retry,
        struct rs_retry_request *request, struct tally *tally,
        struct totals *totals, int64_t *now_ms)
{
    enum rs_outcome outcome = take_byte(input) % 4;
    uint32_t after_ms = take_byte(input) % 64;
    struct rs_retry_decision decision;
    tally->in_flight--;
    if (outcome == RsOutcome_DONE || outcome == RsOutcome_UNKNOWN) {
        tally->may_have_run++;
    }
    RsRetry_Decide(retry, request, *now_ms, outcome, after_ms, &decision);
    switch (decision.action) {
    case RsRetry_NOTHING:
        CHECK(tally->answers == 1);
        return tally->in_flight > 0;
    case RsRetry_WAIT:
        CHECK(tally->in_flight > 0);
        return true;
    case RsRetry_ANSWER:
        check_answer(&decision, tally, outcome);
        return tally->in_flight > 0;
    case RsRetry_REDIRECT:
        CHECK(outcome == RsOutcome_REDIRECT);
        CHECK(++tally->redirects <= MAX_REDIRECTS);
        break;
    case RsRetry_RETRY:
        CHECK(!retry->options.policy->backs_off ||
              decision.at_ms >= *now_ms + after_ms);
        totals->retries++;
        break;
    }
    CHECK(decision.at_ms < request->deadline_ms && tally->in_flight == 0);
    *now_ms = decision.at_ms;
    send_try(request, tally);
    return true;
}

static void
run_request(struct input *input, struct rs_retry *retry, struct totals *totals)
{
    struct rs_retry_request request;
    struct tally tally = {0};
    int64_t now_ms = 1000;
    uint8_t flags = take_byte(input);
    RsRetry_BeginRequest(retry, &request, (flags & 1) != 0, (flags & 2) != 0,
                         now_ms + 1 + (flags >> 2) * 4);
    totals->first_tries++;
    send_try(&request, &tally);
    do {
        now_ms += take_byte(input) % 32;
        if (take_byte(input) % 2 == 0) {
            hedge(retry, &request, &tally, totals, now_ms);
        }
    } while (end_try(input, retry, &request, &tally, totals, &now_ms));
    CHECK(tally.answers == 1 && tally.in_flight == 0);
    RsRetry_RecordLatency(retry, take_byte(input) * 100);
}

static void
check_budgets(const struct rs_retry *retry, const struct totals *totals)
{
    double retries = BURST + totals->first_tries * BUDGET_SHARE;
    double hedges = BURST + totals->first_tries * HEDGE_SHARE;
    CHECK(!retry->options.policy->uses_budget ||
          totals->retries <= retries + 1e-6);
    CHECK(retry->options.policy->retries || totals->retries == 0);
    CHECK(totals->hedges <= hedges + 1e-6);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const struct rs_retry_policy *const policies[] = {
        &rs_retry_budget, &rs_retry_budget, &rs_retry_immediate,
        &rs_retry_none};
    struct input input = {.data = data, .size = size};
    struct totals totals = {0};
    struct rs_retry retry;
    struct rs_retry_options options = {.policy =
                                           policies[take_byte(&input) % 4],
                                       .seed = 3,
                                       .max_tries = MAX_TRIES,
                                       .max_redirects = MAX_REDIRECTS,
                                       .backoff_ms = 5,
                                       .max_backoff_ms = 40,
                                       .budget_share = BUDGET_SHARE,
                                       .hedge_share = HEDGE_SHARE,
                                       .burst = BURST,
                                       .min_hedge_ms = 2};
    RsRetry_Init(&retry, &options);
    while (input.size > 0) {
        run_request(&input, &retry, &totals);
        check_budgets(&retry, &totals);
    }
    return 0;
}
