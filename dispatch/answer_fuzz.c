/* Drives the answer matcher of one connection with arbitrary events of a
 * faulty target, and the flow control of one stream with an arbitrary reader.
 * A model tracks what was written and received. It checks that an answer
 * counts as done only if it is complete and belongs to the request, that "not
 * run" is reported only if it is true, that each request ends once, and that
 * nothing is accepted from a connection after its close. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch/answer.h"
#include "dispatch/flow.h"

#define WINDOW_BYTES 1000
#define START_ID 7

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

struct model {
    struct rs_answer answer;
    bool open;
    bool outstanding;
    bool written;
    bool fully_written;
    bool own_head; /* the head of the request's own answer arrived */
    bool in_body;
    enum rs_answer_reported_outcome reported_outcome;
    int64_t length_bytes;
    int64_t body_bytes;
    uint64_t first_start_id;
    char id[2];
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
check_finished(struct model *model, const struct rs_answer_verdict *verdict)
{
    bool refused = model->reported_outcome == RsAnswer_REPORTED_NOT_RUN ||
                   model->reported_outcome == RsAnswer_REPORTED_ABORTED;
    bool whole = model->own_head && (model->length_bytes < 0 ||
                                     model->body_bytes == model->length_bytes);
    bool not_run = !model->written || (model->own_head && refused);
    CHECK(model->outstanding);
    CHECK((verdict->outcome == RsOutcome_NOT_RUN) == not_run);
    CHECK(verdict->outcome != RsOutcome_DONE || whole);
    CHECK(verdict->outcome != RsOutcome_DONE ||
          verdict->kind == RsAnswer_COMPLETE);
    CHECK(verdict->kind != RsAnswer_COMPLETE || whole);
    CHECK(verdict->close || model->fully_written);
    model->outstanding = false;
    model->in_body = false;
}

static void
check_verdict(struct model *model, struct rs_answer_verdict verdict)
{
    bool passes =
        verdict.kind == RsAnswer_PASS_ON || verdict.kind == RsAnswer_COMPLETE;
    CHECK(model->open || !passes);
    CHECK(passes || verdict.close);
    if (verdict.kind == RsAnswer_PASS_ON) {
        CHECK(model->own_head && model->outstanding && model->written);
        CHECK(model->length_bytes < 0 ||
              model->body_bytes <= model->length_bytes);
    }
    if (verdict.close && model->outstanding) {
        CHECK(verdict.finished);
    }
    if (verdict.finished) {
        check_finished(model, &verdict);
    }
    if (verdict.close) {
        model->open = false;
        CHECK(RsAnswer_BeginRequest(&model->answer, "x") == RsAnswer_CLOSED);
    }
}

static void
begin(struct input *input, struct model *model)
{
    char id[2] = {(char)('a' + take_byte(input) % 3), 0};
    int status = RsAnswer_BeginRequest(&model->answer, id);
    CHECK((status == 0) == (model->open && !model->outstanding));
    if (status == 0) {
        model->outstanding = true;
        model->written = false;
        model->fully_written = false;
        model->own_head = false;
        model->in_body = false;
        model->reported_outcome = RsAnswer_REPORTED_NONE;
        memcpy(model->id, id, sizeof(id));
    }
}

static void
write_some(struct input *input, struct model *model)
{
    if (!model->outstanding) {
        return;
    }
    bool whole = take_byte(input) % 4 != 0;
    model->written = true;
    model->fully_written = model->fully_written || whole;
    RsAnswer_RecordWritten(&model->answer, whole);
}

/* Returns whether this head must be accepted, on an open connection, as the
 * answer of the outstanding request. */
static bool
is_own(const struct model *model, const struct rs_answer_head *head)
{
    return model->outstanding && model->written && !model->in_body &&
           head->request_id != NULL &&
           strcmp(head->request_id, model->id) == 0 && head->start_id != 0 &&
           (model->first_start_id == 0 ||
            model->first_start_id == head->start_id);
}

static void
deliver_head(struct model *model, const struct rs_answer_head *head)
{
    bool own_answer = is_own(model, head);
    if (own_answer) {
        model->own_head = true;
        model->in_body = true;
        model->first_start_id = head->start_id;
        model->reported_outcome = head->reported_outcome;
        model->length_bytes = head->length_bytes;
        model->body_bytes = 0;
    }
    struct rs_answer_verdict verdict =
        RsAnswer_ReceiveHead(&model->answer, head);
    CHECK(verdict.kind != RsAnswer_PASS_ON || own_answer);
    CHECK(!own_answer || !model->open || verdict.kind == RsAnswer_PASS_ON);
    check_verdict(model, verdict);
}

static void
deliver_arbitrary_head(struct input *input, struct model *model)
{
    uint8_t byte = take_byte(input);
    char id[2] = {(char)('a' + byte % 3), 0};
    bool use_own_id = byte >= 64 && model->outstanding;
    struct rs_answer_head head = {
        .request_id = use_own_id ? model->id : id,
        .start_id = byte % 8 == 7 ? byte % 3 : START_ID,
        .reported_outcome = (byte >> 2) % 4,
        .length_bytes = (int64_t)(take_byte(input) % 8) - 1};
    if (byte % 32 == 31) {
        head.request_id = NULL;
    }
    deliver_head(model, &head);
}

/* Sends a request and delivers its own, complete answer, if the connection is
 * open and idle. */
static void
run_exchange(struct input *input, struct model *model)
{
    if (model->outstanding || !model->open) {
        return;
    }
    begin(input, model);
    model->written = true;
    model->fully_written = true;
    RsAnswer_RecordWritten(&model->answer, true);
    struct rs_answer_head head = {.request_id = model->id,
                                  .start_id = START_ID,
                                  .reported_outcome = RsAnswer_REPORTED_DONE,
                                  .length_bytes = 0};
    deliver_head(model, &head);
    if (model->in_body) {
        check_verdict(model, RsAnswer_ReceiveEnd(&model->answer));
        CHECK(model->open && !model->outstanding);
    }
}

static void
step(struct input *input, struct model *model)
{
    uint8_t size_bytes;
    switch (take_byte(input) % 11) {
    case 0:
    case 1:
        begin(input, model);
        break;
    case 2:
    case 3:
        write_some(input, model);
        break;
    case 4:
    case 5:
        deliver_arbitrary_head(input, model);
        break;
    case 6:
    case 7:
        size_bytes = take_byte(input) % 8;
        model->body_bytes += size_bytes;
        check_verdict(model, RsAnswer_ReceiveBody(&model->answer, size_bytes));
        break;
    case 8:
        check_verdict(model, RsAnswer_ReceiveEnd(&model->answer));
        break;
    case 9:
        run_exchange(input, model);
        break;
    default:
        if (take_byte(input) % 8 == 0) {
            check_verdict(model, take_byte(input) % 2 == 0
                                     ? RsAnswer_HandleClose(&model->answer)
                                     : RsAnswer_GiveUp(&model->answer));
        }
        break;
    }
}

static void
drive_answers(struct input *input)
{
    while (input->size > 0) {
        struct model model = {.open = true};
        while (input->size > 0 && model.open) {
            step(input, &model);
        }
        for (int i = 0; i < 4; i++) {
            step(input, &model);
        }
    }
}

/* Drives a stream whose reader pauses and resumes. Checks that the unread
 * bytes stay within the window, and that the sender may send again once all
 * bytes are read. */
static void
drive_flow(struct input *input)
{
    struct rs_flow_sender sender = {.window_bytes = WINDOW_BYTES};
    struct rs_flow_receiver receiver = {.window_bytes = WINDOW_BYTES};
    uint32_t buffered_bytes = 0;
    uint32_t credit_bytes = 0;
    while (input->size > 0) {
        uint32_t size_bytes = (uint32_t)take_byte(input) * 8;
        if (take_byte(input) % 2 == 0) {
            bool fits = size_bytes <= RsFlow_SendableBytes(&sender);
            CHECK((RsFlow_Send(&sender, size_bytes) == 0) == fits);
            if (fits) {
                CHECK(RsFlow_Receive(&receiver, size_bytes) == 0);
                buffered_bytes += size_bytes;
            }
        }
        else {
            bool available = size_bytes <= buffered_bytes;
            int status = RsFlow_Consume(&receiver, size_bytes, &credit_bytes);
            CHECK((status == 0) == available);
            if (available) {
                buffered_bytes -= size_bytes;
                CHECK(RsFlow_AddCredit(&sender, credit_bytes) == 0);
            }
        }
        CHECK(buffered_bytes <= WINDOW_BYTES);
        CHECK(buffered_bytes > 0 || RsFlow_SendableBytes(&sender) > 0);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct input input = {.data = data, .size = size};
    if (take_byte(&input) % 4 == 0) {
        drive_flow(&input);
    }
    else {
        drive_answers(&input);
    }
    return 0;
}
