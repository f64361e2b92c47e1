/* The grants that a target has taken: which holder may send which slice's
 * requests, under which fence, until when. */

#ifndef RATTANSHED_STANDIN_GRANTS_H
#define RATTANSHED_STANDIN_GRANTS_H

#include <jansson.h>
#include <stdint.h>

struct rs_grants;

struct rs_grants_fence {
    uint64_t epoch;
    uint64_t step;
};

enum rs_grants_verdict {
    RsGrants_GRANTED,
    RsGrants_STALE_FENCE,
    RsGrants_NO_GRANT
};

struct rs_grants *RsGrants_New(void);
void RsGrants_Free(struct rs_grants *grants);

int RsGrants_CompareFences(struct rs_grants_fence a, struct rs_grants_fence b);
int RsGrants_Apply(struct rs_grants *grants, const json_t *message,
                   json_t *answer);
enum rs_grants_verdict RsGrants_Check(const struct rs_grants *grants,
                                      int64_t clock_ms, const char *holder,
                                      uint64_t slice,
                                      struct rs_grants_fence fence);

#endif
