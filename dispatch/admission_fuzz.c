/* Drives the admission and the ramp of one target with arbitrary events. A
 * model tracks the state of each request and checks that none is lost, decided
 * twice, or sent after a refusal, that the limit and the ramp are obeyed, that
 * no request is queued while the limit allows to send it, and that callers
 * take turns. */

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
#define QUEUE_CAPACITY 12
#define MAX_OTHER_TURNS 2

#define CHECK(condition)                                                      \
    do {                                                                      \
        if (!(condition)) {                                                   \
            fprintf(stderr, "broken: %s\n", #condition);                      \
            abort();                                                          \
        }                                                                     \
    } while (0)

enum stage {
    RsFuzz_NOT_SUBMITTED,
    RsFuzz_QUEUED,
    RsFuzz_SENT,
    RsFuzz_ENDED
};

struct tracked_request {
    enum stage stage;
    unsigned caller;
    int64_t deadline_ms;
};

struct model {
    const uint8_t *data;
    size_t size;
    struct rs_admission *admission;
    struct rs_ramp ramp;
    bool limited; /* the limit policy is not `none` */
    int64_t now_ms;
    int64_t cold_since_ms;
    uint64_t start_id; /* never 0, which means unknown */
    bool cold;
    struct tracked_request requests[MAX_REQUESTS]; /* by id */
    size_t count;
    /* [a][b]: number of queued requests of caller b that were sent, since
     * caller a's last turn, while a request of caller a waited */
    unsigned sent_while_waiting[CALLERS][CALLERS];
};

static uint8_t
take_byte(struct model *model)
{
    if (model->size == 0) {
        return 0;
    }
    model->size--;
    return *model->data++;
}

/* Counts the requests of `caller` in this stage, or of all callers if `caller`
 * is CALLERS. */
static unsigned
count_in_stage(const struct model *model, enum stage stage, unsigned caller)
{
    unsigned count = 0;
    for (size_t id = 1; id <= model->count; id++) {
        const struct tracked_request *tracked = &model->requests[id];
        count += tracked->stage == stage &&
                 (caller == CALLERS || tracked->caller == caller);
    }
    return count;
}

static void
check_send(struct model *model, struct tracked_request *tracked)
{
    struct rs_admission_status status;
    RsAdmission_GetStatus(model->admission, &status);
    CHECK(tracked->deadline_ms > model->now_ms);
    tracked->stage = RsFuzz_SENT;
    if (model->limited) {
        CHECK(count_in_stage(model, RsFuzz_SENT, CALLERS) <= SLOTS + WINDOW);
    }
}

/* Checks that the earliest deadline of a caller goes first, and that no caller
 * is served more often than MAX_OTHER_TURNS times while another one waits for
 * its turn. */
static void
check_turns(struct model *model, const struct tracked_request *started)
{
    for (size_t id = 1; id <= model->count; id++) {
        const struct tracked_request *tracked = &model->requests[id];
        CHECK(tracked->stage != RsFuzz_QUEUED ||
              tracked->caller != started->caller ||
              tracked->deadline_ms >= started->deadline_ms);
    }
    for (unsigned caller = 0; caller < CALLERS; caller++) {
        unsigned *sent_while_waiting = model->sent_while_waiting[caller];
        if (caller == started->caller ||
            count_in_stage(model, RsFuzz_QUEUED, caller) == 0) {
            memset(sent_while_waiting, 0,
                   sizeof(model->sent_while_waiting[caller]));
            continue;
        }
        sent_while_waiting[started->caller]++;
        CHECK(sent_while_waiting[started->caller] <= MAX_OTHER_TURNS);
    }
}

static void
drain_events(struct model *model)
{
    struct rs_admission_event event;
    while (RsAdmission_NextEvent(model->admission, &event)) {
        CHECK(event.id >= 1 && event.id <= model->count);
        struct tracked_request *tracked = &model->requests[event.id];
        CHECK(tracked->stage == RsFuzz_QUEUED);
        CHECK(event.verdict.kind != RsAdmission_QUEUED);
        if (event.verdict.kind == RsAdmission_REFUSED) {
            CHECK(event.verdict.retry_after_ms > 0);
            tracked->stage = RsFuzz_ENDED;
            continue;
        }
        check_send(model, tracked);
        check_turns(model, tracked);
    }
}

static void
check_model(struct model *model)
{
    struct rs_admission_status status;
    RsAdmission_GetStatus(model->admission, &status);
    unsigned sent = count_in_stage(model, RsFuzz_SENT, CALLERS);
    CHECK(status.queued == count_in_stage(model, RsFuzz_QUEUED, CALLERS));
    CHECK(status.queued <= QUEUE_CAPACITY);
    CHECK(status.in_flight >= sent);
    CHECK(status.queued == 0 || status.in_flight >= status.limit);
    CHECK(!model->limited || status.in_flight <= SLOTS + WINDOW);
    for (unsigned caller = 0; caller < CALLERS; caller++) {
        if (count_in_stage(model, RsFuzz_QUEUED, caller) == 0) {
            memset(model->sent_while_waiting[caller], 0,
                   sizeof(model->sent_while_waiting[caller]));
        }
    }
}

static void
submit(struct model *model)
{
    if (model->count + 1 >= MAX_REQUESTS) {
        return;
    }
    uint64_t id = ++model->count;
    struct tracked_request *tracked = &model->requests[id];
    uint8_t byte = take_byte(model);
    tracked->caller = byte % 8 < 5 ? 0 : byte % CALLERS;
    tracked->deadline_ms = model->now_ms + take_byte(model) * 4;
    struct rs_admission_request request = {.id = id,
                                           .caller = tracked->caller,
                                           .deadline_ms =
                                               tracked->deadline_ms};
    struct rs_admission_status before;
    struct rs_admission_verdict verdict;
    RsAdmission_GetStatus(model->admission, &before);
    CHECK(RsAdmission_Submit(model->admission, model->now_ms, &request,
                             &verdict) == 0);
    tracked->stage =
        verdict.kind == RsAdmission_QUEUED ? RsFuzz_QUEUED : RsFuzz_ENDED;
    if (verdict.kind == RsAdmission_RUN) {
        CHECK(before.in_flight < before.limit);
        check_send(model, tracked);
    }
    else if (verdict.kind == RsAdmission_REFUSED) {
        CHECK(verdict.reason != RsAdmission_NO_REASON);
        CHECK(verdict.retry_after_ms > 0);
    }
    CHECK(RsAdmission_Submit(model->admission, model->now_ms, &request,
                             &verdict) == RsAdmission_DUPLICATE ||
          tracked->stage == RsFuzz_ENDED);
}

/* Returns the id of the request in this stage after `skip` others, or 0. */
static uint64_t
find_in_stage(const struct model *model, enum stage stage, unsigned skip)
{
    for (size_t id = 1; id <= model->count; id++) {
        if (model->requests[id].stage == stage && skip-- == 0) {
            return id;
        }
    }
    return 0;
}

/* Checks that RsAdmission_Finish() rejects a queued request, and
 * RsAdmission_Cancel() a sent one. */
static void
check_invalid_calls_are_rejected(struct model *model)
{
    uint64_t queued = find_in_stage(model, RsFuzz_QUEUED, 0);
    uint64_t sent = find_in_stage(model, RsFuzz_SENT, 0);
    CHECK(queued == 0 || RsAdmission_Finish(model->admission, model->now_ms,
                                            queued, RsAdmission_DONE,
                                            1) == RsAdmission_UNKNOWN_REQUEST);
    CHECK(sent == 0 ||
          RsAdmission_Cancel(model->admission, model->now_ms, sent) ==
              RsAdmission_UNKNOWN_REQUEST);
}

static void
finish(struct model *model, enum rs_admission_outcome outcome)
{
    uint64_t id = find_in_stage(model, RsFuzz_SENT, take_byte(model) % 4);
    if (id == 0) {
        return;
    }
    model->requests[id].stage = RsFuzz_ENDED;
    CHECK(RsAdmission_Finish(model->admission, model->now_ms, id, outcome,
                             (take_byte(model) + 1) * 250) == 0);
    CHECK(RsAdmission_Finish(model->admission, model->now_ms, id, outcome,
                             1) == RsAdmission_UNKNOWN_REQUEST);
}

static void
cancel(struct model *model)
{
    uint64_t id = find_in_stage(model, RsFuzz_QUEUED, take_byte(model) % 8);
    if (id == 0) {
        return;
    }
    model->requests[id].stage = RsFuzz_ENDED;
    CHECK(RsAdmission_Cancel(model->admission, model->now_ms, id) == 0);
}

static void
begin_cold(struct model *model)
{
    model->cold = true;
    model->cold_since_ms = model->now_ms;
}

static void
observe_target(struct model *model)
{
    uint8_t byte = take_byte(model);
    if (byte % 4 == 0) {
        uint64_t start_id = byte / 4 + 1;
        if (start_id != model->start_id) {
            begin_cold(model);
        }
        model->start_id = start_id;
        RsRamp_RecordStartId(&model->ramp, model->now_ms, start_id);
    }
    else if (byte % 4 == 1) {
        RsRamp_RecordConnectFailure(&model->ramp);
        RsRamp_RecordConnect(&model->ramp, model->now_ms);
        begin_cold(model);
    }
    else if (byte % 4 == 2) {
        RsRamp_RecordAnswer(&model->ramp, model->now_ms, byte * 1000);
    }
    else {
        if (!model->cold) {
            begin_cold(model);
        }
        RsRamp_RecordColdRefusal(&model->ramp, model->now_ms);
    }
}

/* Applies the ramp. While the target is cold, checks that the ramp allows at
 * most one request, or a share of the slots that rises linearly over COLD_MS
 * if that is more. */
static void
apply_ramp(struct model *model)
{
    uint32_t ceiling = RsRamp_Ceiling(&model->ramp, model->now_ms);
    int64_t cold_for_ms = model->now_ms - model->cold_since_ms;
    if (model->cold && cold_for_ms < COLD_MS) {
        uint32_t share = (uint32_t)(SLOTS * cold_for_ms / COLD_MS);
        CHECK(ceiling <= (share > 1 ? share : 1));
    }
    if (ceiling == UINT32_MAX) {
        model->cold = false;
    }
    RsAdmission_SetCeiling(model->admission, model->now_ms, ceiling);
}

static void
step(struct model *model)
{
    switch (take_byte(model) % 12) {
    case 0:
    case 1:
    case 2:
    case 3:
        submit(model);
        break;
    case 4:
    case 5:
        finish(model, RsAdmission_DONE);
        break;
    case 6:
        finish(model, take_byte(model) % (RsAdmission_FAILED + 1));
        break;
    case 7:
        cancel(model);
        break;
    case 8:
        RsAdmission_Expire(model->admission, model->now_ms);
        break;
    case 9:
        observe_target(model);
        apply_ramp(model);
        break;
    case 10:
        apply_ramp(model);
        break;
    default:
        model->now_ms += take_byte(model);
        break;
    }
    drain_events(model);
    check_model(model);
    check_invalid_calls_are_rejected(model);
}

/* Checks that after any events all requests end once the target answers. */
static void
drain_requests(struct model *model)
{
    for (int i = 0; i < MAX_REQUESTS * 4; i++) {
        model->now_ms += 10;
        apply_ramp(model);
        finish(model, RsAdmission_DONE);
        RsAdmission_Expire(model->admission, model->now_ms);
        drain_events(model);
        check_model(model);
        if (find_in_stage(model, RsFuzz_QUEUED, 0) == 0 &&
            find_in_stage(model, RsFuzz_SENT, 0) == 0) {
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
    static struct model model;
    memset(&model, 0, sizeof(model));
    model.data = data;
    model.size = size;
    model.now_ms = 1000;
    const struct rs_limit_policy *policy = choose_policy(take_byte(&model));
    struct rs_admission_options options = {.limit_policy = policy,
                                           .slots = SLOTS,
                                           .window = WINDOW,
                                           .queue_capacity = QUEUE_CAPACITY,
                                           .max_run_ms = 100};
    struct rs_ramp_options ramp_options = {.policy = &rs_ramp_adaptive,
                                           .slots = SLOTS,
                                           .window = WINDOW,
                                           .cold_ms = COLD_MS,
                                           .connections = 10,
                                           .connection_cost_us = 1000,
                                           .connection_share = 0.1};
    model.limited = policy != &rs_limit_none;
    model.admission = RsAdmission_New(&options);
    RsRamp_Init(&model.ramp, &ramp_options);
    model.start_id = 1;
    RsRamp_MarkWarm(&model.ramp, model.now_ms, model.start_id);
    while (model.size > 0) {
        step(&model);
    }
    drain_requests(&model);
    RsAdmission_Free(model.admission);
    return 0;
}
