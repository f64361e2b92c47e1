/* failures_test [NAME]: runs the named failure test, or all of them. Exits
 * non-zero when a test fails or no test has that name. */

#include <CUnit/Basic.h>
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "tests/failures.h"

struct failure_test {
    const char *name;
    void (*run)(void);
};

static const struct failure_test tests[] = {
    {"target_killed", test_target_killed},
    {"target_killed_in_outage", test_target_killed_in_outage},
    {"target_paused", test_target_paused},
    {"target_without_fences_paused", test_target_without_fences_paused},
    {"holder_killed", test_holder_killed},
    {"holder_and_target_killed", test_holder_and_target_killed},
    {"rack_killed_in_outage", test_holder_and_target_killed_in_outage},
    {"holder_paused", test_holder_paused},
    {"holder_paused_without_fences", test_holder_paused_without_fences},
    {"members_restarted", test_members_restarted},
    {"domains_cut", test_domains_cut},
    {"domain_cut_off", test_domain_cut_off},
    {"domain_cut_from_platform", test_domain_cut_from_platform},
    {"outage_in_move", test_outage_in_move},
    {"answers_of_platform_lost", test_answers_of_platform_lost},
    {"ticket_before_table", test_ticket_before_table},
    {"shifts_race", test_concurrent_tickets},
    {"domain_out_and_back", test_domain_out_and_back},
    {"target_leaves", test_target_leaves},
    {"graceful_shutdown", test_graceful_shutdown},
    {"target_starts_cold", test_target_starts_cold},
    {"bad_answers", test_bad_answers},
    {"bad_answers_under_load", test_bad_answers_under_load},
    {"bad_input", test_bad_input},
};

int
main(int argc, char **argv)
{
    const char *name = argc > 1 ? argv[1] : NULL;
    bool found = false;
    setvbuf(stdout, NULL, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("failures", NULL, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        if (name == NULL || strcmp(name, tests[i].name) == 0) {
            CU_add_test(suite, tests[i].name, tests[i].run);
            found = true;
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return found && failures == 0 ? 0 : 1;
}
