#include <CUnit/Basic.h>
#include <string.h>

#include "standin/checker.h"

#define MAX_EVENTS 5
#define MAX_REQUESTS 2

/* Events and outcomes, and the one violation, if any, that they must lead
 * to. */
struct checker_case {
    const char *name;
    struct rs_checker_event events[MAX_EVENTS];
    struct rs_checker_request requests[MAX_REQUESTS];
    const char *partial;  /* target with missing events, or NULL */
    const char *expected; /* start of the violation's text, NULL: none */
};

#define EVENT(target_name, id, method_name, key_name, slice_id, fence_epoch,  \
              fence_step, started_us, ended_us, took_effect)                  \
    {                                                                         \
        .target = (target_name), .service = "listas", .request_id = (id),     \
        .method = (method_name), .key = (key_name), .slice = (slice_id),      \
        .epoch = (fence_epoch), .step = (fence_step),                         \
        .start_us = (started_us), .end_us = (ended_us),                       \
        .effect = (took_effect)                                               \
    }

static const struct checker_case checker_cases[] = {
    {.name = "owner moves cleanly",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, true),
                EVENT("a", "2", "GET", "k", "s", 1, 0, 5, 12, true),
                EVENT("b", "3", "GET", "k", "s", 2, 0, 12, 20, true)}},
    {.name = "two owners",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, true),
                EVENT("b", "2", "GET", "k", "s", 1, 0, 9, 20, true)},
     .expected = "two owners: key k "},
    {.name = "two owners, the overlap is not with the run that began last",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, true),
                EVENT("b", "2", "GET", "k", "s", 2, 0, 10, 30, true),
                EVENT("b", "3", "GET", "k", "s", 2, 0, 11, 12, true),
                EVENT("a", "4", "GET", "k", "s", 2, 0, 25, 40, true)},
     .expected = "two owners: key k "},
    {.name = "two owners, with runs of other keys in between",
     .events = {EVENT("b", "1", "GET", "k", "s", 1, 0, 0, 20, true),
                EVENT("a", "2", "GET", "j", "s", 1, 0, 1, 50, true),
                EVENT("a", "3", "GET", "k", "s", 1, 0, 20, 60, true),
                EVENT("c", "4", "GET", "m", "s", 1, 0, 21, 58, true),
                EVENT("b", "5", "GET", "k", "s", 1, 0, 59, 61, true)},
     .expected = "two owners: key k "},
    {.name = "an aborted run doesn't count as a second owner",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, false),
                EVENT("b", "2", "GET", "k", "s", 1, 0, 9, 20, true)}},
    {.name = "different services may share a key's name",
     .events = {{.target = "a",
                 .service = "listas",
                 .request_id = "1",
                 .method = "GET",
                 .key = "k",
                 .slice = "s",
                 .end_us = 10,
                 .effect = true},
                {.target = "b",
                 .service = "reservas",
                 .request_id = "2",
                 .method = "GET",
                 .key = "k",
                 .slice = "t",
                 .end_us = 10,
                 .effect = true}}},
    {.name = "different keys may run at once",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, true),
                EVENT("b", "2", "GET", "j", "s", 1, 0, 0, 10, true)}},
    {.name = "requests without a slice have no owner",
     .events = {EVENT("a", "1", "GET", "k", "", 0, 0, 0, 10, true),
                EVENT("b", "2", "GET", "k", "", 0, 0, 0, 10, true)}},
    {.name = "step goes back",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 2, 0, 10, true),
                EVENT("b", "2", "GET", "j", "s", 1, 1, 11, 20, true)},
     .expected = "stale fence: slice s, request 2 "},
    {.name = "epoch goes back",
     .events = {EVENT("a", "1", "GET", "k", "s", 2, 0, 0, 10, true),
                EVENT("b", "2", "GET", "j", "s", 1, 5, 11, 20, true)},
     .expected = "stale fence: slice s, request 2 "},
    {.name = "fences of different slices are not compared",
     .events = {EVENT("a", "1", "GET", "k", "s", 2, 0, 0, 10, true),
                EVENT("b", "2", "GET", "j", "t", 1, 0, 11, 20, true)}},
    {.name =
         "a run that began before the later fence's effect but ended first",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, true),
                EVENT("a", "2", "GET", "j", "s", 2, 0, 1, 11, true)}},
    {.name = "a run that began first ends under the lower fence",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 20, true),
                EVENT("a", "2", "GET", "j", "s", 2, 0, 5, 10, true)},
     .expected = "stale fence: slice s, request 1 "},
    {.name = "effects of one microsecond have no order",
     .events = {EVENT("a", "1", "GET", "k", "s", 2, 0, 0, 10, true),
                EVENT("a", "2", "GET", "j", "s", 1, 0, 0, 10, true)}},
    {.name = "reservation runs twice",
     .events = {EVENT("a", "1", "POST", "k", "s", 1, 0, 0, 10, true),
                EVENT("a", "1", "POST", "k", "s", 1, 0, 11, 20, true)},
     .expected = "repeated: POST request 1 "},
    {.name = "reservation runs again after an abort",
     .events = {EVENT("a", "1", "POST", "k", "s", 1, 0, 0, 10, false),
                EVENT("a", "1", "POST", "k", "s", 1, 0, 11, 20, true)}},
    {.name = "a read may run twice",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, true),
                EVENT("a", "1", "GET", "k", "s", 1, 0, 11, 20, true)}},
    {.name = "refused but run",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, true)},
     .requests = {{"1", "GET", "not-run"}},
     .expected = "false refusal: GET request 1 "},
    {.name = "refused and aborted",
     .events = {EVENT("a", "1", "POST", "k", "s", 1, 0, 0, 10, false)},
     .requests = {{"1", "POST", "not-run"}}},
    {.name = "answered but never run",
     .events = {EVENT("a", "2", "POST", "k", "s", 1, 0, 0, 10, true)},
     .requests = {{"1", "POST", "answered"}, {"2", "POST", "answered"}},
     .expected = "lost: POST request 1 "},
    {.name = "no lost requests with a partial record",
     .requests = {{"1", "POST", "answered"}},
     .partial = "a"},
    {.name = "outcomes unknown and silent are not checked",
     .events = {EVENT("a", "2", "POST", "k", "s", 1, 0, 0, 10, true)},
     .requests = {{"1", "POST", "unknown"}, {"2", "POST", "silent"}}},
    {.name = "more requests than slots",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, true),
                EVENT("a", "2", "GET", "k", "s", 1, 0, 1, 11, false),
                EVENT("a", "3", "GET", "k", "s", 1, 0, 9, 12, true)},
     .expected = "overrun: a ran 3 requests at once, 2 slots"},
    {.name = "a slot is reused in the same microsecond",
     .events = {EVENT("a", "1", "GET", "k", "s", 1, 0, 0, 10, true),
                EVENT("a", "2", "GET", "k", "s", 1, 0, 1, 11, true),
                EVENT("a", "3", "GET", "k", "s", 1, 0, 10, 12, true),
                EVENT("b", "4", "GET", "j", "t", 1, 0, 5, 12, true)}},
};

/* Adds a case's events and requests and returns the violations. */
static const GPtrArray *
run_checks(struct rs_checker *checker, const struct checker_case *c)
{
    for (size_t i = 0; i < MAX_EVENTS && c->events[i].target != NULL; i++) {
        RsChecker_AddEvent(checker, &c->events[i]);
    }
    for (size_t i = 0; i < MAX_REQUESTS; i++) {
        if (c->requests[i].request_id != NULL) {
            RsChecker_AddRequest(checker, &c->requests[i]);
        }
    }
    RsChecker_SetSlots(checker, "a", 2);
    RsChecker_SetSlots(checker, "b", 2);
    if (c->partial != NULL) {
        RsChecker_MarkPartial(checker, c->partial);
    }
    return RsChecker_Run(checker);
}

static void
test_only_expected_violations_are_found(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(checker_cases); i++) {
        const struct checker_case *c = &checker_cases[i];
        struct rs_checker *checker = RsChecker_New();
        const GPtrArray *violations = run_checks(checker, c);
        const char *first =
            violations->len > 0 ? g_ptr_array_index(violations, 0) : "none";
        const char *expected = c->expected != NULL ? c->expected : "none";
        bool right = violations->len == (c->expected != NULL) &&
                     g_str_has_prefix(first, expected);
        if (!right) {
            printf("\n  %s: %u violations, %s\n", c->name, violations->len,
                   first);
        }
        CU_ASSERT(right);
        RsChecker_Free(checker);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("judge", NULL, NULL);
    CU_ADD_TEST(suite, test_only_expected_violations_are_found);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
