/* The tests of router nodes as processes. */

#ifndef RATTANSHED_TESTS_NODE_TESTS_H
#define RATTANSHED_TESTS_NODE_TESTS_H

/* tests/node_shutdown_test.c */
void test_late_request_on_a_new_connection(void);
void test_request_on_a_kept_connection(void);
void test_request_at_a_slow_target(void);

#endif
