/* The tests of failures. Each starts a deployment of its own. */

#ifndef RATTANSHED_TESTS_FAILURES_H
#define RATTANSHED_TESTS_FAILURES_H

/* Losses and pauses */
void test_target_killed(void);
void test_target_killed_in_outage(void);
void test_target_paused(void);
void test_target_without_fences_paused(void);
void test_holder_killed(void);
void test_holder_and_target_killed(void);
void test_rack_killed_in_outage(void);
void test_holder_paused(void);
void test_holder_paused_without_fences(void);
void test_members_restarted(void);

/* Cuts and outages */
void test_domains_cut(void);
void test_domain_cut_off(void);
void test_domain_cut_from_platform(void);
void test_outage_in_move(void);
void test_answers_of_platform_lost(void);

/* Tickets and departures */
void test_ticket_before_table(void);
void test_shifts_race(void);
void test_domain_out_and_back(void);
void test_target_leaves(void);

/* Under load */
void test_graceful_shutdown(void);
void test_target_starts_cold(void);

/* Bad answers and input */
void test_bad_answers(void);
void test_bad_answers_under_load(void);
void test_bad_input(void);

#endif
