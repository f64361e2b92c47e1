#include <CUnit/Basic.h>
#include <string.h>

#include "ticket/submit.h"

#define DEADLINE_MS 10000
#define RETRY_MS 100
#define CALL_MS 1000

/* A submission of ticket 2 with the platform's answers given by hand. */
struct fixture {
    struct rs_config *config;
    struct rs_submit *submit;
    struct rs_submit_action action;
    int64_t now_ms;
};

static struct rs_config *
config_at(int ticket)
{
    struct rs_config_row row = {"object/domain/d", 1,
                                json_pack("{s:i, s:{s:s, s:s}}", "ticket",
                                          ticket, "value", "region", "r",
                                          "state", "in")};
    struct rs_config *config = RsConfig_Build(&row, 1);
    json_decref(row.value);
    return config;
}

static struct rs_ticket *
ticket_of(int number, const char *state)
{
    char text[256];
    struct rs_ticket *ticket = NULL;
    struct rs_faults faults = {0};
    snprintf(text, sizeof(text),
             "{\"number\":%d,\"author\":\"a\",\"note\":\"\",\"objects\":"
             "[{\"kind\":\"domain\",\"name\":\"d\",\"value\":"
             "{\"region\":\"r\",\"state\":\"%s\"}}]}",
             number, state);
    CU_ASSERT_EQUAL_FATAL(RsTicket_Parse(text, strlen(text), &ticket, &faults),
                          0);
    return ticket;
}

static void
open_fixture(struct fixture *f, int applied, int number)
{
    struct rs_submit_options options = {.ticket = ticket_of(number, "out"),
                                        .deadline_ms = DEADLINE_MS,
                                        .call_timeout_ms = CALL_MS,
                                        .retry_after_ms = RETRY_MS};
    *f = (struct fixture){.config = config_at(applied)};
    f->submit = RsSubmit_New(&options);
    f->action = RsSubmit_Start(f->submit, f->config, f->now_ms);
}

static void
close_fixture(struct fixture *f)
{
    RsSubmit_Free(f->submit);
    RsConfig_Unref(f->config);
}

static void
answer(struct fixture *f, int status, json_t *body)
{
    f->action = RsSubmit_OnAnswer(f->submit, f->action.call, status, body,
                                  f->config, f->now_ms);
    json_decref(body);
}

static void
answer_head(struct fixture *f, int number)
{
    CU_ASSERT_EQUAL(f->action.kind, RsSubmit_GET);
    CU_ASSERT_STRING_EQUAL(f->action.key, "ticket/head");
    answer(f, 200,
           json_pack("{s:s, s:i, s:{s:i}}", "key", "ticket/head", "version",
                     40 + number, "value", "number", number));
}

static void
answer_log(struct fixture *f, const char *digest)
{
    CU_ASSERT_EQUAL(f->action.kind, RsSubmit_GET);
    CU_ASSERT_STRING_EQUAL(f->action.key, "ticket/log/0000000002");
    answer(
        f, 200,
        json_pack("{s:i, s:{s:s}}", "version", 42, "value", "digest", digest));
}

static void
pass_time(struct fixture *f)
{
    f->now_ms = f->action.until_ms;
    f->action = RsSubmit_OnTimer(f->submit, f->config, f->now_ms);
}

static enum rs_submit_outcome
outcome_of(struct fixture *f)
{
    CU_ASSERT_EQUAL_FATAL(f->action.kind, RsSubmit_DONE);
    return RsSubmit_Result(f->submit).outcome;
}

static void
test_commit_is_conditional_on_the_head_that_was_read(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    answer_head(&f, 1);
    CU_ASSERT_EQUAL_FATAL(f.action.kind, RsSubmit_COMMIT);
    const json_t *condition =
        json_array_get(json_object_get(f.action.body, "if"), 0);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(condition, "version")),
                    41);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(f.action.body, "put")), 3);
    answer(&f, 200, json_pack("{s:i}", "revision", 42));
    CU_ASSERT_EQUAL(outcome_of(&f), RsSubmit_ACCEPTED);
    close_fixture(&f);
}

static void
test_first_ticket_needs_that_there_is_no_head(void)
{
    struct fixture f;
    open_fixture(&f, 1, 1);
    RsConfig_Unref(f.config);
    f.config = RsConfig_Build(NULL, 0);
    answer(&f, 404, NULL);
    CU_ASSERT_EQUAL_FATAL(f.action.kind, RsSubmit_COMMIT);
    const json_t *condition =
        json_array_get(json_object_get(f.action.body, "if"), 0);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(condition, "version")),
                    0);
    close_fixture(&f);
}

static void
test_lost_answer_is_read_back_by_digest(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    answer_head(&f, 1);
    f.action =
        RsSubmit_OnLost(f.submit, f.action.call, true, f.config, f.now_ms);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_WAIT);
    pass_time(&f);
    answer_head(&f, 2);
    char digest[RsId_TEXT_BYTES];
    struct rs_ticket *same = ticket_of(2, "out");
    memcpy(digest, same->digest, sizeof(digest));
    RsTicket_Free(same);
    answer_log(&f, digest);
    CU_ASSERT_EQUAL(outcome_of(&f), RsSubmit_ACCEPTED);
    close_fixture(&f);
}

static void
test_taken_number_is_a_conflict_that_shows_the_difference(void)
{
    struct fixture f;
    open_fixture(&f, 3, 2);
    answer_head(&f, 3);
    answer_log(&f, "0123456789abcdef");
    CU_ASSERT_EQUAL(outcome_of(&f), RsSubmit_CONFLICT);
    CU_ASSERT_EQUAL(RsSubmit_Result(f.submit).head, 3);
    CU_ASSERT_EQUAL(json_array_size(RsSubmit_Result(f.submit).difference), 1);
    close_fixture(&f);
}

static void
test_gap_is_a_conflict_that_names_the_head(void)
{
    struct fixture f;
    open_fixture(&f, 7, 9);
    answer_head(&f, 7);
    CU_ASSERT_EQUAL(outcome_of(&f), RsSubmit_CONFLICT);
    CU_ASSERT_EQUAL(RsSubmit_Result(f.submit).head, 7);
    close_fixture(&f);
}

static void
test_lagging_configuration_is_waited_for(void)
{
    struct fixture f;
    open_fixture(&f, 1, 3);
    answer_head(&f, 2);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_WAIT);
    RsConfig_Unref(f.config);
    f.config = config_at(2);
    pass_time(&f);
    answer_head(&f, 2);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_COMMIT);
    close_fixture(&f);
}

static void
test_first_configuration_is_waited_for(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    struct rs_config *config = f.config;
    f.config = NULL;
    answer_head(&f, 1);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_WAIT);
    f.config = config;
    pass_time(&f);
    answer_head(&f, 1);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_COMMIT);
    close_fixture(&f);
}

static void
test_conflict_before_the_first_configuration(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    struct rs_config *config = f.config;
    f.config = NULL;
    answer_head(&f, 7);
    answer_log(&f, "another");
    f.config = config;
    CU_ASSERT_EQUAL(outcome_of(&f), RsSubmit_CONFLICT);
    close_fixture(&f);
}

static void
fail_until_done(struct fixture *f, bool sent)
{
    while (f->action.kind != RsSubmit_DONE) {
        if (f->action.kind == RsSubmit_WAIT) {
            pass_time(f);
        }
        else {
            f->action = RsSubmit_OnLost(f->submit, f->action.call, sent,
                                        f->config, f->now_ms);
        }
    }
    CU_ASSERT_EQUAL(f->now_ms, DEADLINE_MS);
}

static void
test_outage_before_the_commit_left_is_not_accepted(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    fail_until_done(&f, true);
    CU_ASSERT_EQUAL(outcome_of(&f), RsSubmit_NOT_ACCEPTED);
    close_fixture(&f);
    open_fixture(&f, 1, 2);
    answer_head(&f, 1);
    fail_until_done(&f, false);
    CU_ASSERT_EQUAL(outcome_of(&f), RsSubmit_NOT_ACCEPTED);
    close_fixture(&f);
}

static void
test_outage_after_the_commit_left_is_unknown(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    answer_head(&f, 1);
    pass_time(&f);
    fail_until_done(&f, false);
    CU_ASSERT_EQUAL(outcome_of(&f), RsSubmit_UNKNOWN);
    close_fixture(&f);
    open_fixture(&f, 1, 2);
    answer_head(&f, 1);
    answer(&f, 503, NULL);
    fail_until_done(&f, true);
    CU_ASSERT_EQUAL(outcome_of(&f), RsSubmit_UNKNOWN);
    close_fixture(&f);
}

static void
test_reports_of_earlier_calls_are_passed_over(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    answer_head(&f, 1);
    uint32_t commit = f.action.call;
    pass_time(&f);
    pass_time(&f);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_GET);
    struct rs_submit_action same =
        RsSubmit_OnAnswer(f.submit, commit, 200, NULL, f.config, f.now_ms);
    CU_ASSERT_EQUAL(same.kind, RsSubmit_GET);
    CU_ASSERT_EQUAL(same.call, f.action.call);
    close_fixture(&f);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("submit", NULL, NULL);
    CU_ADD_TEST(suite, test_commit_is_conditional_on_the_head_that_was_read);
    CU_ADD_TEST(suite, test_first_ticket_needs_that_there_is_no_head);
    CU_ADD_TEST(suite, test_lost_answer_is_read_back_by_digest);
    CU_ADD_TEST(suite,
                test_taken_number_is_a_conflict_that_shows_the_difference);
    CU_ADD_TEST(suite, test_gap_is_a_conflict_that_names_the_head);
    CU_ADD_TEST(suite, test_lagging_configuration_is_waited_for);
    CU_ADD_TEST(suite, test_first_configuration_is_waited_for);
    CU_ADD_TEST(suite, test_conflict_before_the_first_configuration);
    CU_ADD_TEST(suite, test_outage_before_the_commit_left_is_not_accepted);
    CU_ADD_TEST(suite, test_outage_after_the_commit_left_is_unknown);
    CU_ADD_TEST(suite, test_reports_of_earlier_calls_are_passed_over);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
