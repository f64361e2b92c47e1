/* Submits to the platform's table a ticket that an operator sent to this
 * process. */

#ifndef RATTANSHED_CONTROL_SUBMISSION_H
#define RATTANSHED_CONTROL_SUBMISSION_H

#include <uv.h>

#include "platform/platform.h"
#include "ticket/submit.h"

/* Called once with the result, which is valid only during the call. */
typedef void (*rs_submission_done)(void *arg,
                                   const struct rs_submit_result *result);
/* Returns the newest configuration that this process has, or NULL. */
typedef struct rs_config *(*rs_submission_config)(void *arg);

struct rs_submission_options {
    uv_loop_t *loop;
    struct rs_platform *platform;
    struct rs_ticket *ticket; /* ownership passes to the submission */
    rs_submission_config config;
    void *config_arg;
    rs_submission_done done;
    void *done_arg;
};

void RsSubmission_Start(const struct rs_submission_options *options);

#endif
