/* The data task: callers, relay links and targets, on a loop and thread of
 * its own, so that heavy traffic does not delay leases. */

#ifndef RATTANSHED_FRONT_DATA_TASK_H
#define RATTANSHED_FRONT_DATA_TASK_H

#include "core/mailbox.h"
#include "dispatch/holder.h"
#include "front/front.h"
#include "settings/settings.h"

struct rs_data;

struct rs_data_options {
    const struct rs_settings *settings;
    uint64_t incarnation;
};

/* Opens the listeners, on the calling thread. */
int RsData_Open(const struct rs_data_options *options, struct rs_data **data);

/* Starts the thread; reports go to the control task's mailbox. */
int RsData_Start(struct rs_data *data, struct rs_mailbox *control);

struct rs_mailbox *RsData_Mailbox(struct rs_data *data);
const struct rs_front_counters *
RsData_FrontCounters(const struct rs_data *data);
const struct rs_target_counters *
RsData_TargetCounters(const struct rs_data *data);

#endif
