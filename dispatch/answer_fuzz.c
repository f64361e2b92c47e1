/* Drives the answer matcher of one connection with arbitrary events of a
 * faulty target, and a pair of credit counters with an arbitrary reader. The
 * oracle keeps its own account of what was written and what came, and checks
 * that an answer counts as done only if it is whole and the request's own,
 * that "not run" is told only when it is true, that each request ends once,
 * and that nothing is taken from a connection after its close. */

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

struct account {
    struct rs_answer answer;
    bool open;
    bool outstanding;
    bool written;
    bool whole_written;
    bool own_head; /* its own head came, and no other one since */
    bool in_body;
    enum rs_answer_word word;
    int64_t length_bytes;
    int64_t body_bytes;
    uint64_t first_start_id;
    char id[2];
};

static uint8_t
take(struct input *input)
{
    if (input->size == 0) {
        return 0;
    }
    input->size--;
    return *input->data++;
}

static void
check_finished(struct account *account,
               const struct rs_answer_verdict *verdict)
{
    bool refused = account->word == RsAnswer_WORD_NOT_RUN ||
                   account->word == RsAnswer_WORD_ABORTED;
    bool whole =
        account->own_head && (account->length_bytes < 0 ||
                              account->body_bytes == account->length_bytes);
    bool not_run = !account->written || (account->own_head && refused);
    CHECK(account->outstanding);
    CHECK((verdict->outcome == RsOutcome_NOT_RUN) == not_run);
    CHECK(verdict->outcome != RsOutcome_DONE || whole);
    CHECK(verdict->outcome != RsOutcome_DONE ||
          verdict->kind == RsAnswer_COMPLETE);
    CHECK(verdict->kind != RsAnswer_COMPLETE || whole);
    CHECK(verdict->close || account->whole_written);
    account->outstanding = false;
    account->in_body = false;
}

static void
check_verdict(struct account *account, struct rs_answer_verdict verdict)
{
    bool passes =
        verdict.kind == RsAnswer_GOOD || verdict.kind == RsAnswer_COMPLETE;
    CHECK(account->open || !passes);
    CHECK(passes || verdict.close);
    if (verdict.kind == RsAnswer_GOOD) {
        CHECK(account->own_head && account->outstanding && account->written);
        CHECK(account->length_bytes < 0 ||
              account->body_bytes <= account->length_bytes);
    }
    if (verdict.close && account->outstanding) {
        CHECK(verdict.finished);
    }
    if (verdict.finished) {
        check_finished(account, &verdict);
    }
    if (verdict.close) {
        account->open = false;
        CHECK(RsAnswer_Begin(&account->answer, "x") == RsAnswer_CLOSED);
    }
}

static void
begin(struct input *input, struct account *account)
{
    char id[2] = {(char)('a' + take(input) % 3), 0};
    int status = RsAnswer_Begin(&account->answer, id);
    CHECK((status == 0) == (account->open && !account->outstanding));
    if (status == 0) {
        account->outstanding = true;
        account->written = false;
        account->whole_written = false;
        account->own_head = false;
        account->in_body = false;
        account->word = RsAnswer_WORD_NONE;
        memcpy(account->id, id, sizeof(id));
    }
}

static void
write_some(struct input *input, struct account *account)
{
    if (!account->outstanding) {
        return;
    }
    bool whole = take(input) % 4 != 0;
    account->written = true;
    account->whole_written = account->whole_written || whole;
    RsAnswer_Written(&account->answer, whole);
}

static bool
is_own(const struct account *account, const struct rs_answer_head *head)
{
    return account->outstanding && account->written && !account->in_body &&
           head->request_id != NULL &&
           strcmp(head->request_id, account->id) == 0 && head->start_id != 0 &&
           (account->first_start_id == 0 ||
            account->first_start_id == head->start_id);
}

static void
give_head(struct account *account, const struct rs_answer_head *head)
{
    bool own = is_own(account, head);
    if (own) {
        account->own_head = true;
        account->in_body = true;
        account->first_start_id = head->start_id;
        account->word = head->word;
        account->length_bytes = head->length_bytes;
        account->body_bytes = 0;
    }
    struct rs_answer_verdict verdict = RsAnswer_Head(&account->answer, head);
    CHECK(verdict.kind != RsAnswer_GOOD || own);
    CHECK(!own || !account->open || verdict.kind == RsAnswer_GOOD);
    check_verdict(account, verdict);
}

static void
head(struct input *input, struct account *account)
{
    uint8_t byte = take(input);
    char id[2] = {(char)('a' + byte % 3), 0};
    bool right = byte >= 64 && account->outstanding;
    struct rs_answer_head head = {
        .request_id = right ? account->id : id,
        .start_id = byte % 8 == 7 ? byte % 3 : START_ID,
        .word = (byte >> 2) % 4,
        .length_bytes = (int64_t)(take(input) % 8) - 1};
    if (byte % 32 == 31) {
        head.request_id = NULL;
    }
    give_head(account, &head);
}

/* One exchange as it should be, if the connection is free. */
static void
exchange(struct input *input, struct account *account)
{
    if (account->outstanding || !account->open) {
        return;
    }
    begin(input, account);
    account->written = true;
    account->whole_written = true;
    RsAnswer_Written(&account->answer, true);
    struct rs_answer_head head = {.request_id = account->id,
                                  .start_id = START_ID,
                                  .word = RsAnswer_WORD_DONE,
                                  .length_bytes = 0};
    give_head(account, &head);
    if (account->in_body) {
        check_verdict(account, RsAnswer_End(&account->answer));
        CHECK(account->open && !account->outstanding);
    }
}

static void
step(struct input *input, struct account *account)
{
    uint8_t size_bytes;
    switch (take(input) % 11) {
    case 0:
    case 1:
        begin(input, account);
        break;
    case 2:
    case 3:
        write_some(input, account);
        break;
    case 4:
    case 5:
        head(input, account);
        break;
    case 6:
    case 7:
        size_bytes = take(input) % 8;
        account->body_bytes += size_bytes;
        check_verdict(account, RsAnswer_Body(&account->answer, size_bytes));
        break;
    case 8:
        check_verdict(account, RsAnswer_End(&account->answer));
        break;
    case 9:
        exchange(input, account);
        break;
    default:
        if (take(input) % 8 == 0) {
            check_verdict(account, take(input) % 2 == 0
                                       ? RsAnswer_Close(&account->answer)
                                       : RsAnswer_GiveUp(&account->answer));
        }
        break;
    }
}

static void
drive_answers(struct input *input)
{
    while (input->size > 0) {
        struct account account = {.open = true};
        while (input->size > 0 && account.open) {
            step(input, &account);
        }
        for (int i = 0; i < 4; i++) {
            step(input, &account);
        }
    }
}

/* A stream whose reader stops and goes: what is under way stays within the
 * window, and once all is read the sender may send again. */
static void
drive_flow(struct input *input)
{
    struct rs_flow_sender sender = {.window_bytes = WINDOW_BYTES};
    struct rs_flow_receiver receiver = {.window_bytes = WINDOW_BYTES};
    uint32_t buffered_bytes = 0;
    uint32_t credit_bytes = 0;
    while (input->size > 0) {
        uint32_t size_bytes = (uint32_t)take(input) * 8;
        if (take(input) % 2 == 0) {
            bool fits = size_bytes <= RsFlow_Sendable(&sender);
            CHECK((RsFlow_Send(&sender, size_bytes) == 0) == fits);
            if (fits) {
                CHECK(RsFlow_Receive(&receiver, size_bytes) == 0);
                buffered_bytes += size_bytes;
            }
        }
        else {
            bool there = size_bytes <= buffered_bytes;
            int status = RsFlow_Consume(&receiver, size_bytes, &credit_bytes);
            CHECK((status == 0) == there);
            if (there) {
                buffered_bytes -= size_bytes;
                CHECK(RsFlow_TakeCredit(&sender, credit_bytes) == 0);
            }
        }
        CHECK(buffered_bytes <= WINDOW_BYTES);
        CHECK(buffered_bytes > 0 || RsFlow_Sendable(&sender) > 0);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct input input = {.data = data, .size = size};
    if (take(&input) % 4 == 0) {
        drive_flow(&input);
    }
    else {
        drive_answers(&input);
    }
    return 0;
}
