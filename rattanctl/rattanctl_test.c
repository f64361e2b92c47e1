#include <CUnit/Basic.h>
#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rattanctl/ctl.h"
#include "rattanctl/fake_admin.h"

#define MAX_ARGS 16

static char *seen_out;
static char *seen_err;

/* Runs rattanctl. The arguments end with NULL. Returns the exit code and
 * stores the output in seen_out and seen_err. */
static int
run(const char *first, ...)
{
    char *argv[MAX_ARGS] = {"rattanctl"};
    int argc = 1;
    size_t size = 0;
    va_list args;
    va_start(args, first);
    for (const char *arg = first; arg != NULL; arg = va_arg(args, char *)) {
        argv[argc++] = (char *)arg;
    }
    va_end(args);
    free(seen_out);
    free(seen_err);
    FILE *out = open_memstream(&seen_out, &size);
    FILE *err = open_memstream(&seen_err, &size);
    int code = RsCtl_Main(argc, argv, out, err);
    fclose(out);
    fclose(err);
    return code;
}

static char *
write_ticket_file(void)
{
    char *path = NULL;
    int file = g_file_open_tmp("ticket-XXXXXX", &path, NULL);
    CU_ASSERT_FATAL(file >= 0);
    close(file);
    CU_ASSERT_FATAL(g_file_set_contents(path, "{\"number\":7}", -1, NULL));
    return path;
}

static int
submit_to(const struct rs_fake_admin *first,
          const struct rs_fake_admin *second)
{
    char *path = write_ticket_file();
    int code = run("-a", first->address, "-a", second->address, "ticket",
                   "submit", path, NULL);
    unlink(path);
    g_free(path);
    return code;
}

/* Submits a ticket with the addresses of two servers, each with one prepared
 * response, and checks the request to the first server. Returns the exit code.
 */
static int
submit_with(int status, const char *body, int second_status,
            const char *second_body)
{
    struct rs_fake_answer first_answer = {status, body};
    struct rs_fake_answer second_answer = {second_status, second_body};
    struct rs_fake_admin first;
    struct rs_fake_admin second;
    RsFakeAdmin_Start(&first, &first_answer, 1);
    RsFakeAdmin_Start(&second, &second_answer, 1);
    int code = submit_to(&first, &second);
    RsFakeAdmin_Stop(&first);
    RsFakeAdmin_Stop(&second);
    CU_ASSERT_STRING_EQUAL(first.requests[0], "POST /tickets HTTP/1.1");
    CU_ASSERT_STRING_EQUAL(first.bodies[0], "{\"number\":7}");
    return code;
}

#define NOT_ACCEPTED_BODY "{\"error\":\"x\",\"outcome\":\"not-accepted\"}"
#define UNKNOWN "{\"error\":\"x\",\"outcome\":\"unknown\"}"
#define ACCEPTED "{\"accepted\":7,\"digest\":\"00000000000000ab\"}"

static void
test_submission_responses_map_to_exit_codes(void)
{
    CU_ASSERT_EQUAL(submit_with(200, ACCEPTED, 500, "{}"), RsCtl_OK);
    CU_ASSERT_STRING_EQUAL(seen_out,
                           "accepted  7\ndigest    00000000000000ab\n");
    CU_ASSERT_EQUAL(
        submit_with(400,
                    "{\"faults\":[{\"path\":\"number\",\"what\":\"missing\","
                    "\"allowed\":\"1 to 9\"}]}",
                    500, "{}"),
        RsCtl_INVALID);
    CU_ASSERT_STRING_EQUAL(seen_err, "number: missing; allowed: 1 to 9\n");
    CU_ASSERT_EQUAL(
        submit_with(409, "{\"head\":8,\"difference\":[]}", 500, "{}"),
        RsCtl_CONFLICT);
    CU_ASSERT_PTR_NOT_NULL(strstr(seen_err, "ticket 8"));
    CU_ASSERT_EQUAL(submit_with(500, "{}", 200, ACCEPTED), RsCtl_FAILED);
}

static void
test_next_address_is_tried_if_the_platform_is_unavailable(void)
{
    CU_ASSERT_EQUAL(submit_with(503, UNKNOWN, 200, ACCEPTED), RsCtl_OK);
    CU_ASSERT_EQUAL(submit_with(0, "", 200, ACCEPTED), RsCtl_OK);
}

static void
test_unknown_outcome_is_not_reported_as_not_accepted(void)
{
    CU_ASSERT_EQUAL(
        submit_with(503, NOT_ACCEPTED_BODY, 503, NOT_ACCEPTED_BODY),
        RsCtl_UNAVAILABLE);
    CU_ASSERT_PTR_NOT_NULL(strstr(seen_err, "not accepted"));
    CU_ASSERT_EQUAL(submit_with(503, UNKNOWN, 503, NOT_ACCEPTED_BODY),
                    RsCtl_UNAVAILABLE);
    CU_ASSERT_PTR_NOT_NULL(strstr(seen_err, "unknown"));
    CU_ASSERT_EQUAL(submit_with(0, "", 503, NOT_ACCEPTED_BODY),
                    RsCtl_UNAVAILABLE);
    CU_ASSERT_PTR_NOT_NULL(strstr(seen_err, "unknown"));
    CU_ASSERT_EQUAL(submit_with(0, "", 0, ""), RsCtl_UNAVAILABLE);
    CU_ASSERT_PTR_NOT_NULL(strstr(seen_err, "unknown"));
}

static void
test_refused_connection_is_not_an_unknown_outcome(void)
{
    struct rs_fake_answer answer = {200, "{}"};
    struct rs_fake_admin stopped_server;
    RsFakeAdmin_Start(&stopped_server, &answer, 1);
    RsFakeAdmin_Stop(&stopped_server);
    CU_ASSERT_EQUAL(submit_to(&stopped_server, &stopped_server),
                    RsCtl_ADMIN_UNREACHABLE);
    CU_ASSERT_EQUAL(run("-a", stopped_server.address, "status", NULL),
                    RsCtl_ADMIN_UNREACHABLE);
}

static void
test_drain_is_never_sent_to_a_second_process(void)
{
    struct rs_fake_answer lost = {0, ""};
    struct rs_fake_answer ok = {200, "{\"process\":\"b\"}"};
    struct rs_fake_admin first;
    struct rs_fake_admin second;
    RsFakeAdmin_Start(&first, &lost, 1);
    RsFakeAdmin_Start(&second, &ok, 1);
    int code = run("-a", first.address, "-a", second.address, "drain", NULL);
    RsFakeAdmin_Stop(&first);
    RsFakeAdmin_Stop(&second);
    CU_ASSERT_EQUAL(code, RsCtl_ADMIN_UNREACHABLE);
    CU_ASSERT_EQUAL(second.request_count, 0);
}

static void
test_wait_polls_until_the_ticket_is_in_force(void)
{
    static const struct rs_fake_answer answers[] = {
        {404, "{\"error\":\"no such ticket\"}"},
        {200, "{\"number\":7,\"in_force\":false,\"behind\":[\"b\"]}"},
        {200, "{\"number\":7,\"in_force\":true,\"applied\":[\"a\",\"b\"]}"}};
    struct rs_fake_admin admin;
    RsFakeAdmin_Start(&admin, answers, 3);
    CU_ASSERT_EQUAL(run("-a", admin.address, "ticket", "wait", "7", NULL),
                    RsCtl_OK);
    RsFakeAdmin_Stop(&admin);
    CU_ASSERT_STRING_EQUAL(seen_out, "in force\napplied: a b\n");
    CU_ASSERT_STRING_EQUAL(admin.requests[2], "GET /tickets/7/force HTTP/1.1");
    RsFakeAdmin_Start(&admin, &answers[1], 1);
    CU_ASSERT_EQUAL(run("-a", admin.address, "--timeout", "0", "ticket",
                        "wait", "7", NULL),
                    RsCtl_NOT_IN_FORCE);
    RsFakeAdmin_Stop(&admin);
    CU_ASSERT_STRING_EQUAL(seen_out, "not in force\nbehind: b\n");
}

static void
test_tables_and_json(void)
{
    static const struct rs_fake_answer answers[] = {
        {200, "{\"tickets\":[{\"number\":12,\"author\":\"ana\",\"digest\":"
              "\"00000000000000ab\",\"note\":\"n\",\"objects\":[1,2]}]}"},
        {200, "{\"process\":\"a\",\"peers\":[{\"name\":\"b\",\"age_ms\":5},"
              "{\"name\":\"long\",\"x\":null}]}"}};
    struct rs_fake_admin admin;
    RsFakeAdmin_Start(&admin, answers, 2);
    CU_ASSERT_EQUAL(run("-a", admin.address, "--before", "13", "--limit", "1",
                        "ticket", "list", NULL),
                    RsCtl_OK);
    CU_ASSERT_STRING_EQUAL(seen_out,
                           "NUMBER  AUTHOR  DIGEST            TOUCHES  NOTE\n"
                           "12      ana     00000000000000ab  2        n\n");
    CU_ASSERT_EQUAL(run("-a", admin.address, "status", NULL), RsCtl_OK);
    CU_ASSERT_STRING_EQUAL(seen_out, "process  a\n\npeers:\n"
                                     "NAME  AGE_MS  X\n"
                                     "b     5       -\n"
                                     "long  -       -\n");
    CU_ASSERT_EQUAL(
        run("-a", admin.address, "--json", "owner", "listas", "a/b c", NULL),
        RsCtl_OK);
    RsFakeAdmin_Stop(&admin);
    CU_ASSERT_STRING_EQUAL(admin.requests[0],
                           "GET /tickets?before=13&limit=1 HTTP/1.1");
    CU_ASSERT_STRING_EQUAL(admin.requests[2],
                           "GET /owner?service=listas&key=a%2Fb%20c HTTP/1.1");
    json_t *value = json_loads(seen_out, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL(value);
    json_decref(value);
}

static void
test_dump_finds_the_process_by_name(void)
{
    struct rs_fake_answer a = {200, "{\"process\":\"a\"}"};
    struct rs_fake_answer b = {200, "{\"process\":\"b\"}"};
    struct rs_fake_admin first;
    struct rs_fake_admin second;
    RsFakeAdmin_Start(&first, &a, 1);
    RsFakeAdmin_Start(&second, &b, 1);
    CU_ASSERT_EQUAL(
        run("-a", first.address, "-a", second.address, "dump", "b", NULL),
        RsCtl_OK);
    CU_ASSERT_PTR_NOT_NULL(strstr(seen_out, "\"b\""));
    CU_ASSERT_EQUAL(run("-a", first.address, "dump", "b", NULL), RsCtl_FAILED);
    RsFakeAdmin_Stop(&first);
    RsFakeAdmin_Stop(&second);
}

static void
test_invalid_command_lines_and_the_variable(void)
{
    unsetenv("RATTANSHED_ADMIN");
    CU_ASSERT_EQUAL(run("status", NULL), RsCtl_USAGE);
    CU_ASSERT_EQUAL(run("-a", "127.0.0.1:1", NULL), RsCtl_USAGE);
    CU_ASSERT_EQUAL(run("-a", "127.0.0.1:1", "ticket", NULL), RsCtl_USAGE);
    CU_ASSERT_EQUAL(run("-a", "127.0.0.1:1", "ticket", "show", "x", NULL),
                    RsCtl_USAGE);
    CU_ASSERT_EQUAL(run("-a", "127.0.0.1:1", "fly", NULL), RsCtl_USAGE);
    CU_ASSERT_EQUAL(run("-a", "nonsense", "status", NULL), RsCtl_USAGE);
    CU_ASSERT_EQUAL(run("--colour", "status", NULL), RsCtl_USAGE);
    CU_ASSERT_EQUAL(run("--help", NULL), RsCtl_OK);
    CU_ASSERT_PTR_NOT_NULL(strstr(seen_out, "exit codes"));
    struct rs_fake_answer a = {200, "{\"process\":\"a\"}"};
    struct rs_fake_admin admin;
    RsFakeAdmin_Start(&admin, &a, 1);
    char *list = g_strdup_printf("127.0.0.1:1, %s", admin.address);
    setenv("RATTANSHED_ADMIN", list, 1);
    CU_ASSERT_EQUAL(run("status", NULL), RsCtl_OK);
    RsFakeAdmin_Stop(&admin);
    g_free(list);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("rattanctl", NULL, NULL);
    CU_ADD_TEST(suite, test_submission_responses_map_to_exit_codes);
    CU_ADD_TEST(suite,
                test_next_address_is_tried_if_the_platform_is_unavailable);
    CU_ADD_TEST(suite, test_unknown_outcome_is_not_reported_as_not_accepted);
    CU_ADD_TEST(suite, test_refused_connection_is_not_an_unknown_outcome);
    CU_ADD_TEST(suite, test_drain_is_never_sent_to_a_second_process);
    CU_ADD_TEST(suite, test_wait_polls_until_the_ticket_is_in_force);
    CU_ADD_TEST(suite, test_tables_and_json);
    CU_ADD_TEST(suite, test_dump_finds_the_process_by_name);
    CU_ADD_TEST(suite, test_invalid_command_lines_and_the_variable);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
