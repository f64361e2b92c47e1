/* The failure tests. Each one starts its own deployment of real processes,
 * injects a fault and checks what callers and targets saw. main.c lists them
 * by name. */

#ifndef RATTANSHED_TESTS_FAILURES_H
#define RATTANSHED_TESTS_FAILURES_H

/* losses_test.c: killed, paused and restarted processes */
void test_target_killed(void);
void test_target_killed_in_outage(void);
void test_target_paused(void);
void test_target_without_fences_paused(void);
void test_holder_killed(void);
void test_holder_and_target_killed(void);
void test_holder_and_target_killed_in_outage(void);
void test_holder_paused(void);
void test_holder_paused_without_fences(void);
void test_members_restarted(void);

/* cuts_test.c: network partitions and outages of the platform */
void test_domains_cut(void);
void test_domain_cut_off(void);
void test_domain_cut_from_platform(void);
void test_outage_in_move(void);
void test_answers_of_platform_lost(void);

/* tickets_test.c: concurrent tickets, leaving domains and targets */
void test_ticket_before_table(void);
void test_concurrent_tickets(void);
void test_domain_out_and_back(void);
void test_target_leaves(void);

/* load_test.c: shutdown and cold start under load */
void test_graceful_shutdown(void);
void test_target_starts_cold(void);

/* answers_test.c, input_test.c: faulty targets, malformed requests */
void test_bad_answers(void);
void test_bad_answers_under_load(void);
void test_bad_input(void);

#endif
