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
void test_members_restarted(void);

#endif
