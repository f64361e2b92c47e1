/* Carries out the submissions of tickets that operators make through this
 * process. */

#ifndef RATTANSHED_CONTROL_SUBMISSION_H
#define RATTANSHED_CONTROL_SUBMISSION_H

#include <uv.h>

#include "platform/platform.h"
#include "ticket/submit.h"

/* Gets the result; valid during the call. */
typedef void (*rs_submission_done)(void *arg,
                                   const struct rs_submit_result *result);
/* Gives the newest configuration that the process has, or NULL. */
typedef struct rs_config *(*rs_submission_config)(void *arg);

struct rs_submission_options {
    uv_loop_t *loop;
    struct rs_platform *platform;
    struct rs_ticket *ticket; /* taken over */
    rs_submission_config config;
    void *config_arg;
    rs_submission_done done;
    void *done_arg;
};

void RsSubmission_Start(const struct rs_submission_options *options);

#endif
