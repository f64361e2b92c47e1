#include <CUnit/Basic.h>
#include <string.h>

#include "ticket/submit.h"

#define DEADLINE_MS 10000
#define RETRY_DELAY_MS 100
#define CALL_TIMEOUT_MS 1000

/* A submission to which the test gives the platform's responses. */
struct fixture {
    struct rs_config *config;
    struct rs_submit *submit;
    struct rs_submit_action action;
    int64_t now_ms;
};

static struct rs_config *
make_config(int ticket)
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
make_ticket(int number, const char *state)
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
    struct rs_submit_options options = {.ticket = make_ticket(number, "out"),
                                        .deadline_ms = DEADLINE_MS,
                                        .call_timeout_ms = CALL_TIMEOUT_MS,
                                        .retry_after_ms = RETRY_DELAY_MS};
    *f = (struct fixture){.config = make_config(applied)};
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
respond(struct fixture *f, int status, json_t *body)
{
    f->action = RsSubmit_OnResponse(f->submit, f->action.action_number, status,
                                    body, f->config, f->now_ms);
    json_decref(body);
}

static void
respond_head(struct fixture *f, int number)
{
    CU_ASSERT_EQUAL(f->action.kind, RsSubmit_GET);
    CU_ASSERT_STRING_EQUAL(f->action.key, "ticket/head");
    respond(f, 200,
            json_pack("{s:s, s:i, s:{s:i}}", "key", "ticket/head", "version",
                      40 + number, "value", "number", number));
}

static void
respond_log(struct fixture *f, const char *digest)
{
    CU_ASSERT_EQUAL(f->action.kind, RsSubmit_GET);
    CU_ASSERT_STRING_EQUAL(f->action.key, "ticket/log/0000000002");
    respond(
        f, 200,
        json_pack("{s:i, s:{s:s}}", "version", 42, "value", "digest", digest));
}

static void
advance_to_timer(struct fixture *f)
{
    f->now_ms = f->action.until_ms;
    f->action = RsSubmit_OnTimer(f->submit, f->config, f->now_ms);
}

static enum rs_submit_outcome
get_outcome(struct fixture *f)
{
    CU_ASSERT_EQUAL_FATAL(f->action.kind, RsSubmit_DONE);
    return RsSubmit_Result(f->submit).outcome;
}

static void
test_commit_is_conditional_on_the_head_that_was_read(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    respond_head(&f, 1);
    CU_ASSERT_EQUAL_FATAL(f.action.kind, RsSubmit_COMMIT);
    const json_t *condition =
        json_array_get(json_object_get(f.action.body, "if"), 0);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(condition, "version")),
                    41);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(f.action.body, "put")), 3);
    respond(&f, 200, json_pack("{s:i}", "revision", 42));
    CU_ASSERT_EQUAL(get_outcome(&f), RsSubmit_ACCEPTED);
    close_fixture(&f);
}

static void
test_first_ticket_requires_that_no_head_exists(void)
{
    struct fixture f;
    open_fixture(&f, 1, 1);
    RsConfig_Unref(f.config);
    f.config = RsConfig_Build(NULL, 0);
    respond(&f, 404, NULL);
    CU_ASSERT_EQUAL_FATAL(f.action.kind, RsSubmit_COMMIT);
    const json_t *condition =
        json_array_get(json_object_get(f.action.body, "if"), 0);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(condition, "version")),
                    0);
    close_fixture(&f);
}

static void
test_commit_with_lost_response_is_recognized_by_digest(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    respond_head(&f, 1);
    f.action = RsSubmit_OnCallFailed(f.submit, f.action.action_number, true,
                                     f.config, f.now_ms);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_WAIT);
    advance_to_timer(&f);
    respond_head(&f, 2);
    char digest[RsId_TEXT_BYTES];
    struct rs_ticket *same = make_ticket(2, "out");
    memcpy(digest, same->digest, sizeof(digest));
    RsTicket_Free(same);
    respond_log(&f, digest);
    CU_ASSERT_EQUAL(get_outcome(&f), RsSubmit_ACCEPTED);
    close_fixture(&f);
}

static void
test_taken_number_is_a_conflict_with_the_difference(void)
{
    struct fixture f;
    open_fixture(&f, 3, 2);
    respond_head(&f, 3);
    respond_log(&f, "0123456789abcdef");
    CU_ASSERT_EQUAL(get_outcome(&f), RsSubmit_CONFLICT);
    CU_ASSERT_EQUAL(RsSubmit_Result(f.submit).head, 3);
    CU_ASSERT_EQUAL(json_array_size(RsSubmit_Result(f.submit).difference), 1);
    close_fixture(&f);
}

static void
test_gap_in_numbers_is_a_conflict_with_the_head(void)
{
    struct fixture f;
    open_fixture(&f, 7, 9);
    respond_head(&f, 7);
    CU_ASSERT_EQUAL(get_outcome(&f), RsSubmit_CONFLICT);
    CU_ASSERT_EQUAL(RsSubmit_Result(f.submit).head, 7);
    close_fixture(&f);
}

static void
test_waits_for_a_lagging_configuration(void)
{
    struct fixture f;
    open_fixture(&f, 1, 3);
    respond_head(&f, 2);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_WAIT);
    RsConfig_Unref(f.config);
    f.config = make_config(2);
    advance_to_timer(&f);
    respond_head(&f, 2);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_COMMIT);
    close_fixture(&f);
}

static void
test_waits_for_the_first_configuration(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    struct rs_config *config = f.config;
    f.config = NULL;
    respond_head(&f, 1);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_WAIT);
    f.config = config;
    advance_to_timer(&f);
    respond_head(&f, 1);
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
    respond_head(&f, 7);
    respond_log(&f, "another");
    f.config = config;
    CU_ASSERT_EQUAL(get_outcome(&f), RsSubmit_CONFLICT);
    close_fixture(&f);
}

static void
fail_calls_until_done(struct fixture *f, bool sent)
{
    while (f->action.kind != RsSubmit_DONE) {
        if (f->action.kind == RsSubmit_WAIT) {
            advance_to_timer(f);
        }
        else {
            f->action =
                RsSubmit_OnCallFailed(f->submit, f->action.action_number, sent,
                                      f->config, f->now_ms);
        }
    }
    CU_ASSERT_EQUAL(f->now_ms, DEADLINE_MS);
}

static void
test_outage_before_the_commit_is_sent_means_not_accepted(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    fail_calls_until_done(&f, true);
    CU_ASSERT_EQUAL(get_outcome(&f), RsSubmit_NOT_ACCEPTED);
    close_fixture(&f);
    open_fixture(&f, 1, 2);
    respond_head(&f, 1);
    fail_calls_until_done(&f, false);
    CU_ASSERT_EQUAL(get_outcome(&f), RsSubmit_NOT_ACCEPTED);
    close_fixture(&f);
}

static void
test_outage_after_the_commit_is_sent_means_unknown(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    respond_head(&f, 1);
    advance_to_timer(&f);
    fail_calls_until_done(&f, false);
    CU_ASSERT_EQUAL(get_outcome(&f), RsSubmit_UNKNOWN);
    close_fixture(&f);
    open_fixture(&f, 1, 2);
    respond_head(&f, 1);
    respond(&f, 503, NULL);
    fail_calls_until_done(&f, true);
    CU_ASSERT_EQUAL(get_outcome(&f), RsSubmit_UNKNOWN);
    close_fixture(&f);
}

static void
test_results_of_earlier_calls_are_ignored(void)
{
    struct fixture f;
    open_fixture(&f, 1, 2);
    respond_head(&f, 1);
    uint32_t commit = f.action.action_number;
    advance_to_timer(&f);
    advance_to_timer(&f);
    CU_ASSERT_EQUAL(f.action.kind, RsSubmit_GET);
    struct rs_submit_action same =
        RsSubmit_OnResponse(f.submit, commit, 200, NULL, f.config, f.now_ms);
    CU_ASSERT_EQUAL(same.kind, RsSubmit_GET);
    CU_ASSERT_EQUAL(same.action_number, f.action.action_number);
    close_fixture(&f);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("submit", NULL, NULL);
    CU_ADD_TEST(suite, test_commit_is_conditional_on_the_head_that_was_read);
    CU_ADD_TEST(suite, test_first_ticket_requires_that_no_head_exists);
    CU_ADD_TEST(suite, test_commit_with_lost_response_is_recognized_by_digest);
    CU_ADD_TEST(suite, test_taken_number_is_a_conflict_with_the_difference);
    CU_ADD_TEST(suite, test_gap_in_numbers_is_a_conflict_with_the_head);
    CU_ADD_TEST(suite, test_waits_for_a_lagging_configuration);
    CU_ADD_TEST(suite, test_waits_for_the_first_configuration);
    CU_ADD_TEST(suite, test_conflict_before_the_first_configuration);
    CU_ADD_TEST(suite,
                test_outage_before_the_commit_is_sent_means_not_accepted);
    CU_ADD_TEST(suite, test_outage_after_the_commit_is_sent_means_unknown);
    CU_ADD_TEST(suite, test_results_of_earlier_calls_are_ignored);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
