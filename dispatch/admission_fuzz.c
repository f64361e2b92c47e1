/* Drives one target's admission and ramp with arbitrary events. The oracle
 * keeps its own book of each request and checks that none is lost, told
 * twice, or sent after a refusal, that the limit and the ramp hold, that
 * places are not left idle, and that callers take turns. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch/admission.h"
#include "dispatch/ramp.h"

#define CALLERS 4
#define MAX_REQUESTS 1024
#define SLOTS 2
#define WINDOW 2
#define COLD_MS 500
#define CAPACITY 12
#define MAX_OTHER_TURNS 2

#define CHECK(condition)                                                      \
    do {                                                                      \
        if (!(condition)) {                                                   \
            fprintf(stderr, "broken: %s\n", #condition);                      \
            abort();                                                          \
        }                                                                     \
    } while (0)

enum stage {
    RsFuzz_FRESH,
    RsFuzz_QUEUED,
    RsFuzz_SENT,
    RsFuzz_ENDED
};

struct booked {
    enum stage stage;
    unsigned caller;
    int64_t deadline_ms;
};

struct book {
    const uint8_t *data;
    size_t size;
    struct rs_admission *admission;
    struct rs_ramp ramp;
    bool limited;
    int64_t now_ms;
    int64_t cold_since_ms;
    uint64_t start_id; /* never 0, which means unknown */
    bool cold;
    struct booked requests[MAX_REQUESTS]; /* by id */
    size_t count;
    unsigned others[CALLERS][CALLERS]; /* starts while the first one waits */
};

static uint8_t
take(struct book *book)
{
    if (book->size == 0) {
        return 0;
    }
    book->size--;
    return *book->data++;
}

static unsigned
count_stage(const struct book *book, enum stage stage, unsigned caller)
{
    unsigned count = 0;
    for (size_t id = 1; id <= book->count; id++) {
        const struct booked *one = &book->requests[id];
        count += one->stage == stage &&
                 (caller == CALLERS || one->caller == caller);
    }
    return count;
}

static void
check_send(struct book *book, struct booked *one)
{
    struct rs_admission_view view;
    RsAdmission_Look(book->admission, &view);
    CHECK(one->deadline_ms > book->now_ms);
    one->stage = RsFuzz_SENT;
    if (book->limited) {
        CHECK(count_stage(book, RsFuzz_SENT, CALLERS) <= SLOTS + WINDOW);
    }
}

static void
check_turns(struct book *book, const struct booked *started)
{
    for (size_t id = 1; id <= book->count; id++) {
        const struct booked *one = &book->requests[id];
        CHECK(one->stage != RsFuzz_QUEUED || one->caller != started->caller ||
              one->deadline_ms >= started->deadline_ms);
    }
    for (unsigned caller = 0; caller < CALLERS; caller++) {
        unsigned *others = book->others[caller];
        if (caller == started->caller ||
            count_stage(book, RsFuzz_QUEUED, caller) == 0) {
            memset(others, 0, sizeof(book->others[caller]));
            continue;
        }
        others[started->caller]++;
        CHECK(others[started->caller] <= MAX_OTHER_TURNS);
    }
}

static void
drain_events(struct book *book)
{
    struct rs_admission_event event;
    while (RsAdmission_NextEvent(book->admission, &event)) {
        CHECK(event.id >= 1 && event.id <= book->count);
        struct booked *one = &book->requests[event.id];
        CHECK(one->stage == RsFuzz_QUEUED);
        CHECK(event.verdict.kind != RsAdmission_QUEUED);
        if (event.verdict.kind == RsAdmission_REFUSED) {
            CHECK(event.verdict.retry_after_ms > 0);
            one->stage = RsFuzz_ENDED;
            continue;
        }
        check_send(book, one);
        check_turns(book, one);
    }
}

static void
check_books(struct book *book)
{
    struct rs_admission_view view;
    RsAdmission_Look(book->admission, &view);
    unsigned sent = count_stage(book, RsFuzz_SENT, CALLERS);
    CHECK(view.queued == count_stage(book, RsFuzz_QUEUED, CALLERS));
    CHECK(view.queued <= CAPACITY);
    CHECK(view.in_flight >= sent);
    CHECK(view.queued == 0 || view.in_flight >= view.limit);
    CHECK(!book->limited || view.in_flight <= SLOTS + WINDOW);
    for (unsigned caller = 0; caller < CALLERS; caller++) {
        if (count_stage(book, RsFuzz_QUEUED, caller) == 0) {
            memset(book->others[caller], 0, sizeof(book->others[caller]));
        }
    }
}

static void
offer(struct book *book)
{
    if (book->count + 1 >= MAX_REQUESTS) {
        return;
    }
    uint64_t id = ++book->count;
    struct booked *one = &book->requests[id];
    uint8_t byte = take(book);
    one->caller = byte % 8 < 5 ? 0 : byte % CALLERS;
    one->deadline_ms = book->now_ms + take(book) * 4;
    struct rs_admission_request request = {
        .id = id, .caller = one->caller, .deadline_ms = one->deadline_ms};
    struct rs_admission_view before;
    struct rs_admission_verdict verdict;
    RsAdmission_Look(book->admission, &before);
    CHECK(RsAdmission_Offer(book->admission, book->now_ms, &request,
                            &verdict) == 0);
    one->stage =
        verdict.kind == RsAdmission_QUEUED ? RsFuzz_QUEUED : RsFuzz_ENDED;
    if (verdict.kind == RsAdmission_RUN) {
        CHECK(before.in_flight < before.limit);
        check_send(book, one);
    }
    else if (verdict.kind == RsAdmission_REFUSED) {
        CHECK(verdict.reason != RsAdmission_NO_REASON);
        CHECK(verdict.retry_after_ms > 0);
    }
    CHECK(RsAdmission_Offer(book->admission, book->now_ms, &request,
                            &verdict) == RsAdmission_DUPLICATE ||
          one->stage == RsFuzz_ENDED);
}

static uint64_t
find_stage(const struct book *book, enum stage stage, unsigned skip)
{
    for (size_t id = 1; id <= book->count; id++) {
        if (book->requests[id].stage == stage && skip-- == 0) {
            return id;
        }
    }
    return 0;
}

/* Neither call touches a request in the other's state. */
static void
check_wrong_calls(struct book *book)
{
    uint64_t queued = find_stage(book, RsFuzz_QUEUED, 0);
    uint64_t sent = find_stage(book, RsFuzz_SENT, 0);
    CHECK(queued == 0 || RsAdmission_Done(book->admission, book->now_ms,
                                          queued, RsAdmission_DONE,
                                          1) == RsAdmission_UNKNOWN_REQUEST);
    CHECK(sent == 0 ||
          RsAdmission_Cancel(book->admission, book->now_ms, sent) ==
              RsAdmission_UNKNOWN_REQUEST);
}

static void
finish(struct book *book, enum rs_admission_outcome outcome)
{
    uint64_t id = find_stage(book, RsFuzz_SENT, take(book) % 4);
    if (id == 0) {
        return;
    }
    book->requests[id].stage = RsFuzz_ENDED;
    CHECK(RsAdmission_Done(book->admission, book->now_ms, id, outcome,
                           (take(book) + 1) * 250) == 0);
    CHECK(RsAdmission_Done(book->admission, book->now_ms, id, outcome, 1) ==
          RsAdmission_UNKNOWN_REQUEST);
}

static void
cancel(struct book *book)
{
    uint64_t id = find_stage(book, RsFuzz_QUEUED, take(book) % 8);
    if (id == 0) {
        return;
    }
    book->requests[id].stage = RsFuzz_ENDED;
    CHECK(RsAdmission_Cancel(book->admission, book->now_ms, id) == 0);
}

static void
begin_cold(struct book *book)
{
    book->cold = true;
    book->cold_since_ms = book->now_ms;
}

static void
see_target(struct book *book)
{
    uint8_t byte = take(book);
    if (byte % 4 == 0) {
        uint64_t start_id = byte / 4 + 1;
        if (start_id != book->start_id) {
            begin_cold(book);
        }
        book->start_id = start_id;
        RsRamp_SawStartId(&book->ramp, book->now_ms, start_id);
    }
    else if (byte % 4 == 1) {
        RsRamp_ConnectFailed(&book->ramp);
        RsRamp_Connected(&book->ramp, book->now_ms);
        begin_cold(book);
    }
    else if (byte % 4 == 2) {
        RsRamp_Answered(&book->ramp, book->now_ms, byte * 1000);
    }
    else {
        if (!book->cold) {
            begin_cold(book);
        }
        RsRamp_RefusedCold(&book->ramp, book->now_ms);
    }
}

/* The ramp is never steeper than the target's own. */
static void
apply_ramp(struct book *book)
{
    uint32_t ceiling = RsRamp_Ceiling(&book->ramp, book->now_ms);
    int64_t cold_for_ms = book->now_ms - book->cold_since_ms;
    if (book->cold && cold_for_ms < COLD_MS) {
        uint32_t share = (uint32_t)(SLOTS * cold_for_ms / COLD_MS);
        CHECK(ceiling <= (share > 1 ? share : 1));
    }
    if (ceiling == UINT32_MAX) {
        book->cold = false;
    }
    RsAdmission_SetCeiling(book->admission, book->now_ms, ceiling);
}

static void
step(struct book *book)
{
    switch (take(book) % 12) {
    case 0:
    case 1:
    case 2:
    case 3:
        offer(book);
        break;
    case 4:
    case 5:
        finish(book, RsAdmission_DONE);
        break;
    case 6:
        finish(book, take(book) % (RsAdmission_FAILED + 1));
        break;
    case 7:
        cancel(book);
        break;
    case 8:
        RsAdmission_Expire(book->admission, book->now_ms);
        break;
    case 9:
        see_target(book);
        apply_ramp(book);
        break;
    case 10:
        apply_ramp(book);
        break;
    default:
        book->now_ms += take(book);
        break;
    }
    drain_events(book);
    check_books(book);
    check_wrong_calls(book);
}

/* Whatever came before, all requests end once the target answers. */
static void
run_out(struct book *book)
{
    for (int i = 0; i < MAX_REQUESTS * 4; i++) {
        book->now_ms += 10;
        apply_ramp(book);
        finish(book, RsAdmission_DONE);
        RsAdmission_Expire(book->admission, book->now_ms);
        drain_events(book);
        check_books(book);
        if (find_stage(book, RsFuzz_QUEUED, 0) == 0 &&
            find_stage(book, RsFuzz_SENT, 0) == 0) {
            return;
        }
    }
    CHECK(!"a request was lost");
}

static const struct rs_limit_policy *
choose_policy(uint8_t byte)
{
    static const struct rs_limit_policy *const policies[] = {
        &rs_limit_adaptive, &rs_limit_adaptive, &rs_limit_fixed,
        &rs_limit_none};
    return policies[byte % 4];
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct book book;
    memset(&book, 0, sizeof(book));
    book.data = data;
    book.size = size;
    book.now_ms = 1000;
    const struct rs_limit_policy *policy = choose_policy(take(&book));
    struct rs_admission_options options = {.policy = policy,
                                           .slots = SLOTS,
                                           .window = WINDOW,
                                           .queue_capacity = CAPACITY,
                                           .max_run_ms = 100};
    struct rs_ramp_options ramp_options = {.policy = &rs_ramp_adaptive,
                                           .slots = SLOTS,
                                           .window = WINDOW,
                                           .cold_ms = COLD_MS,
                                           .connections = 10,
                                           .connection_cost_us = 1000,
                                           .connection_share = 0.1};
    book.limited = policy != &rs_limit_none;
    book.admission = RsAdmission_New(&options);
    RsRamp_Start(&book.ramp, &ramp_options);
    book.start_id = 1;
    RsRamp_KnownWarm(&book.ramp, book.now_ms, book.start_id);
    while (book.size > 0) {
        step(&book);
    }
    run_out(&book);
    RsAdmission_Free(book.admission);
    return 0;
}
