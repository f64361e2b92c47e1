/* One request in the process that forwards it to its target. */

#ifndef RATTANSHED_DISPATCH_TARGET_REQUEST_H
#define RATTANSHED_DISPATCH_TARGET_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch/flow.h"
#include "dispatch/relay.pb-c.h"

/* Callbacks that receive the answer, unless the request is cancelled. `head`
 * is called once, and ends the request unless its outcome is done. After that,
 * `body` is called for each part of the body; the call with `last` set ends
 * the request. `broken` in that call means that the body is incomplete. */
struct rs_target_request_events {
    void (*head)(void *arg, const Rs__Relay__AnswerHead *head);
    void (*body)(void *arg, const void *data, size_t size_bytes, bool last,
                 bool broken);
};

struct rs_target;
struct rs_target_connection;

struct rs_target_request {
    uint64_t id;
    struct rs_target *target;
    Rs__Relay__Forward *forward; /* owned */
    const struct rs_target_request_events *events;
    void *arg;
    int64_t deadline_ms; /* after which the caller no longer waits */
    /* time after which the target may not run the request; set when it is
     * sent */
    int64_t run_deadline_ms;
    int64_t sent_at_us;
    /* with `step`, the fence under which it was admitted; 0 without a key */
    uint64_t epoch;
    uint32_t step;
    struct rs_target_connection *connection; /* NULL until it is sent */
    struct rs_flow_sender flow; /* the front's credit for the body */
    int64_t stall_deadline_ms;  /* when a body without progress is abandoned */
    bool head_delivered;
};

#endif
