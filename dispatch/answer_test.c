#include <CUnit/Basic.h>

#include "dispatch/answer.h"

#define START_ID 77

static void
expect(struct rs_answer_verdict verdict, enum rs_answer_kind kind, bool close,
       bool finished, enum rs_outcome outcome)
{
    CU_ASSERT_EQUAL(verdict.kind, kind);
    CU_ASSERT_EQUAL(verdict.close, close);
    CU_ASSERT_EQUAL(verdict.finished, finished);
    if (finished) {
        CU_ASSERT_EQUAL(verdict.outcome, outcome);
    }
}

static struct rs_answer_verdict
receive_head(struct rs_answer *answer, const char *id, uint64_t start_id,
             enum rs_answer_reported_outcome reported_outcome,
             int64_t length_bytes)
{
    struct rs_answer_head head = {.request_id = id,
                                  .start_id = start_id,
                                  .reported_outcome = reported_outcome,
                                  .length_bytes = length_bytes};
    return RsAnswer_ReceiveHead(answer, &head);
}

static void
send_request(struct rs_answer *answer, const char *id)
{
    CU_ASSERT_EQUAL(RsAnswer_BeginRequest(answer, id), 0);
    RsAnswer_RecordWritten(answer, true);
}

static void
test_outcome_for_all_facts(void)
{
    for (unsigned bits = 0; bits < 16; bits++) {
        struct rs_answer_facts facts = {.written = (bits & 1) != 0,
                                        .reported_not_run = (bits & 2) != 0,
                                        .aborted = (bits & 4) != 0,
                                        .complete = (bits & 8) != 0};
        static const enum rs_outcome expected[16] = {1, 2, 1, 1, 1, 1, 1, 1,
                                                     1, 0, 1, 1, 1, 1, 1, 1};
        CU_ASSERT_EQUAL(RsAnswer_Outcome(&facts), expected[bits]);
    }
}

static void
test_whole_answer_leaves_the_connection_open(void)
{
    struct rs_answer answer = {0};
    send_request(&answer, "a");
    expect(receive_head(&answer, "a", START_ID, RsAnswer_REPORTED_DONE, 5),
           RsAnswer_PASS_ON, false, false, 0);
    expect(RsAnswer_ReceiveBody(&answer, 5), RsAnswer_PASS_ON, false, false,
           0);
    expect(RsAnswer_ReceiveEnd(&answer), RsAnswer_COMPLETE, false, true,
           RsOutcome_DONE);
    CU_ASSERT_EQUAL(RsAnswer_BeginRequest(&answer, "b"), 0);
    CU_ASSERT_EQUAL(RsAnswer_BeginRequest(&answer, "c"), RsAnswer_BUSY);
}

static void
test_answers_to_other_requests_are_not_delivered(void)
{
    struct rs_answer answer = {0};
    send_request(&answer, "a");
    expect(receive_head(&answer, "b", START_ID, RsAnswer_REPORTED_NOT_RUN, 0),
           RsAnswer_MISMATCH, true, true, RsOutcome_UNKNOWN);
    CU_ASSERT_EQUAL(RsAnswer_BeginRequest(&answer, "b"), RsAnswer_CLOSED);
    struct rs_answer unnamed = {0};
    send_request(&unnamed, "a");
    expect(receive_head(&unnamed, NULL, START_ID, RsAnswer_REPORTED_DONE, 0),
           RsAnswer_MISMATCH, true, true, RsOutcome_UNKNOWN);
    struct rs_answer restarted = {.start_id = START_ID};
    send_request(&restarted, "a");
    expect(
        receive_head(&restarted, "a", START_ID + 1, RsAnswer_REPORTED_DONE, 0),
        RsAnswer_MISMATCH, true, true, RsOutcome_UNKNOWN);
}

static void
test_truncated_body_leaves_outcome_unknown(void)
{
    struct rs_answer answer = {0};
    send_request(&answer, "a");
    receive_head(&answer, "a", START_ID, RsAnswer_REPORTED_DONE, 5);
    RsAnswer_ReceiveBody(&answer, 4);
    expect(RsAnswer_HandleClose(&answer), RsAnswer_TRUNCATED, true, true,
           RsOutcome_UNKNOWN);
    struct rs_answer ended_early = {0};
    send_request(&ended_early, "a");
    receive_head(&ended_early, "a", START_ID, RsAnswer_REPORTED_DONE, 5);
    expect(RsAnswer_ReceiveEnd(&ended_early), RsAnswer_TRUNCATED, true, true,
           RsOutcome_UNKNOWN);
}

static void
test_refusal_with_truncated_body_is_not_run(void)
{
    struct rs_answer answer = {0};
    send_request(&answer, "a");
    receive_head(&answer, "a", START_ID, RsAnswer_REPORTED_NOT_RUN, 5);
    expect(RsAnswer_HandleClose(&answer), RsAnswer_TRUNCATED, true, true,
           RsOutcome_NOT_RUN);
}

static void
test_unwritten_request_is_not_run(void)
{
    struct rs_answer answer = {0};
    CU_ASSERT_EQUAL(RsAnswer_BeginRequest(&answer, "a"), 0);
    expect(receive_head(&answer, "a", START_ID, RsAnswer_REPORTED_DONE, 0),
           RsAnswer_UNEXPECTED, true, true, RsOutcome_NOT_RUN);
    struct rs_answer closed = {0};
    CU_ASSERT_EQUAL(RsAnswer_BeginRequest(&closed, "a"), 0);
    expect(RsAnswer_HandleClose(&closed), RsAnswer_TRUNCATED, true, true,
           RsOutcome_NOT_RUN);
}

static void
test_second_answer_closes_the_connection(void)
{
    struct rs_answer answer = {0};
    send_request(&answer, "a");
    receive_head(&answer, "a", START_ID, RsAnswer_REPORTED_DONE, 0);
    RsAnswer_ReceiveEnd(&answer);
    expect(receive_head(&answer, "a", START_ID, RsAnswer_REPORTED_DONE, 0),
           RsAnswer_DUPLICATE, true, false, 0);
    struct rs_answer idle = {0};
    expect(RsAnswer_ReceiveBody(&idle, 1), RsAnswer_DUPLICATE, true, false, 0);
    struct rs_answer longer = {0};
    send_request(&longer, "a");
    receive_head(&longer, "a", START_ID, RsAnswer_REPORTED_DONE, 3);
    expect(RsAnswer_ReceiveBody(&longer, 4), RsAnswer_DUPLICATE, true, true,
           RsOutcome_UNKNOWN);
}

static void
test_given_up_request_closes_its_connection(void)
{
    struct rs_answer answer = {0};
    send_request(&answer, "a");
    expect(RsAnswer_GiveUp(&answer), RsAnswer_NO_FAULT, true, true,
           RsOutcome_UNKNOWN);
    expect(receive_head(&answer, "a", START_ID, RsAnswer_REPORTED_DONE, 0),
           RsAnswer_UNEXPECTED, true, false, 0);
}

static void
test_answer_to_a_partly_written_request_closes_the_connection(void)
{
    struct rs_answer answer = {0};
    CU_ASSERT_EQUAL(RsAnswer_BeginRequest(&answer, "a"), 0);
    RsAnswer_RecordWritten(&answer, false);
    receive_head(&answer, "a", START_ID, RsAnswer_REPORTED_NOT_RUN, 0);
    expect(RsAnswer_ReceiveEnd(&answer), RsAnswer_COMPLETE, true, true,
           RsOutcome_NOT_RUN);
}

static void
test_parse_outcome_header(void)
{
    CU_ASSERT_EQUAL(RsAnswer_ParseOutcomeHeader("done"),
                    RsAnswer_REPORTED_DONE);
    CU_ASSERT_EQUAL(RsAnswer_ParseOutcomeHeader("not-run"),
                    RsAnswer_REPORTED_NOT_RUN);
    CU_ASSERT_EQUAL(RsAnswer_ParseOutcomeHeader("aborted"),
                    RsAnswer_REPORTED_ABORTED);
    CU_ASSERT_EQUAL(RsAnswer_ParseOutcomeHeader("Done"),
                    RsAnswer_REPORTED_NONE);
    CU_ASSERT_EQUAL(RsAnswer_ParseOutcomeHeader(NULL), RsAnswer_REPORTED_NONE);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("answer", NULL, NULL);
    CU_ADD_TEST(suite, test_outcome_for_all_facts);
    CU_ADD_TEST(suite, test_whole_answer_leaves_the_connection_open);
    CU_ADD_TEST(suite, test_answers_to_other_requests_are_not_delivered);
    CU_ADD_TEST(suite, test_truncated_body_leaves_outcome_unknown);
    CU_ADD_TEST(suite, test_refusal_with_truncated_body_is_not_run);
    CU_ADD_TEST(suite, test_unwritten_request_is_not_run);
    CU_ADD_TEST(suite, test_second_answer_closes_the_connection);
    CU_ADD_TEST(suite, test_given_up_request_closes_its_connection);
    CU_ADD_TEST(suite,
                test_answer_to_a_partly_written_request_closes_the_connection);
    CU_ADD_TEST(suite, test_parse_outcome_header);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
