/* The control task: membership, the mirror of the platform's table, leases,
 * planning, tickets and the operators' API. It owns the control connections,
 * the connections to the platform and the admin listener. */

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
    struct rs_mailbox *data; /* of the data task */
    const struct rs_front_counters *front_counters;
    const struct rs_target_counters *target_counters;
    /* All is handed over: the process may end. */
    void (*left)(void *arg);
    void *arg;
};

int RsControl_Open(const struct rs_control_options *options,
                   struct rs_control **control);

/* Gets the data task's messages; runs on the control task's loop. */
void RsControl_TakeMessage(void *arg, struct rs_message *message);

/* Begins a graceful shutdown. */
void RsControl_Leave(struct rs_control *control);

#endif
