/* The control task: membership, the mirror of the platform's table, leases,
 * planning, tickets and the admin API. It owns the control links to other
 * processes, the connections to the platform and the admin listener. */

#ifndef RATTANSHED_CONTROL_CONTROL_TASK_H
#define RATTANSHED_CONTROL_CONTROL_TASK_H

#include <stdint.h>
#include <uv.h>

#include "core/mailbox.h"
#include "dispatch/target.h"
#include "front/front.h"
#include "settings/settings.h"

struct rs_control;

struct rs_control_options {
    uv_loop_t *loop;
    const struct rs_settings *settings;
    uint64_t incarnation;
    struct rs_mailbox *data; /* mailbox of the data task */
    const struct rs_front_counters *front_counters;
    const struct rs_target_counters *target_counters;
    /* Called when the shutdown is complete or its deadline has passed, and
     * again at each tick after that: the process may exit. */
    void (*on_shutdown_complete)(void *arg);
    void *arg;
};

int RsControl_Open(const struct rs_control_options *options,
                   struct rs_control **control);

/* Handles a message of the data task and frees it. `arg` is the struct
 * rs_control. Runs on the loop of the control task. */
void RsControl_HandleMessage(void *arg, struct rs_message *message);

/* Begins a graceful shutdown. Does nothing when it has begun already. */
void RsControl_Leave(struct rs_control *control);

#endif
