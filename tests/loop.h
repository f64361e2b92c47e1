/* An event loop for tests, which wakes up regularly, so that they can wait for
 * a time or for a condition. */

#ifndef RATTANSHED_TESTS_LOOP_H
#define RATTANSHED_TESTS_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct rs_test_loop {
    uv_loop_t uv;
    uv_timer_t step;
};

void RsTestLoop_Open(struct rs_test_loop *loop);
void RsTestLoop_Run(struct rs_test_loop *loop, int64_t span_ms);
bool RsTestLoop_Await(struct rs_test_loop *loop, const bool *condition,
                      int64_t within_ms);

#endif
