/* One request on its way through the process that speaks for its target. */

#ifndef RATTANSHED_DISPATCH_WORK_H
#define RATTANSHED_DISPATCH_WORK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch/flow.h"
#include "dispatch/relay.pb-c.h"

/* Where the answer goes. `head` comes once; unless its outcome is done, it
 * ends the work. `body` with `last` set ends it otherwise; with `broken` the
 * answer is not whole. */
struct rs_work_events {
    void (*head)(void *arg, const Rs__Relay__AnswerHead *head);
    void (*body)(void *arg, const void *data, size_t size_bytes, bool last,
                 bool broken);
};

struct rs_target;
struct rs_target_connection;

struct rs_work {
    uint64_t id;
    struct rs_target *target;
    Rs__Relay__Forward *forward; /* owned */
    const struct rs_work_events *events;
    void *arg;
    int64_t deadline_ms;     /* the caller's */
    int64_t run_deadline_ms; /* after which it may not take effect */
    int64_t sent_us;
    uint64_t epoch; /* of the fence under which it was admitted */
    uint32_t step;
    struct rs_target_connection *connection; /* NULL while it waits */
    struct rs_flow_sender flow;              /* of the body, to the front */
    int64_t stall_at_ms; /* when a body without progress is given up */
    bool head_passed;
};

#endif
