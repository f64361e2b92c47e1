/* Outcome of a request or of one try of it. The numbers are those
 * of enum Outcome in relay.proto. */

#ifndef RATTANSHED_DISPATCH_OUTCOME_H
#define RATTANSHED_DISPATCH_OUTCOME_H

enum rs_outcome {
    RsOutcome_DONE = 0,    /* the target's answer arrived completely */
    RsOutcome_NOT_RUN = 1, /* it certainly had no effect */
    RsOutcome_UNKNOWN = 2, /* it may have run */
    /* not run: another process holds the lease of its slice */
    RsOutcome_REDIRECT = 3
};

#endif
