/* What is known of a request that was given to a target. The numbers are
 * those of relay.proto. */

#ifndef RATTANSHED_DISPATCH_OUTCOME_H
#define RATTANSHED_DISPATCH_OUTCOME_H

enum rs_outcome {
    RsOutcome_DONE = 0,    /* the target's own answer, whole */
    RsOutcome_NOT_RUN = 1, /* nothing was done: this is certain */
    RsOutcome_UNKNOWN = 2, /* it may have run */
    RsOutcome_REDIRECT = 3 /* not run: another process speaks for the key */
};

#endif
