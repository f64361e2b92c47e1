/* The grants that an emulated target has accepted. A grant lets one holder
 * send requests for the keys of a set of slices, each slice under a fence,
 * until a point in time of the target's clock. */

#ifndef RATTANSHED_STANDIN_GRANTS_H
#define RATTANSHED_STANDIN_GRANTS_H

#include <jansson.h>
#include <stdint.h>

struct rs_grants;

/* Ordered by epoch, then by step. */
struct rs_grants_fence {
    uint64_t epoch;
    uint64_t step;
};

enum rs_grants_decision {
    RsGrants_GRANTED,
    RsGrants_STALE_FENCE, /* a higher fence of the slice was granted */
    RsGrants_NO_GRANT     /* the holder has no grant for this slice and fence,
                              or it has expired */
};

struct rs_grants *RsGrants_New(void);
void RsGrants_Free(struct rs_grants *grants);

int RsGrants_CompareFences(struct rs_grants_fence a, struct rs_grants_fence b);
int RsGrants_Apply(struct rs_grants *grants, const json_t *message,
                   json_t *answer);
enum rs_grants_decision RsGrants_Check(const struct rs_grants *grants,
                                       int64_t clock_ms, const char *holder,
                                       uint64_t slice,
                                       struct rs_grants_fence fence);

#endif
