/* The data task serves callers, relay links and targets. It has its own event
 * loop and thread, so that heavy traffic does not delay lease renewals. */

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

int RsData_Open(const struct rs_data_options *options, struct rs_data **data);

int RsData_Start(struct rs_data *data, struct rs_mailbox *control);

struct rs_mailbox *RsData_Mailbox(struct rs_data *data);
const struct rs_front_counters *
RsData_FrontCounters(const struct rs_data *data);
const struct rs_target_counters *
RsData_TargetCounters(const struct rs_data *data);

#endif
