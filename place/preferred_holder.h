/* Chooses the entry process of a cell that should hold the leases of a
 * target's slices and send the target its requests. Processes that see the
 * same live members choose the same one without exchanging messages. Where
 * their views differ, the lease decides. */

#ifndef RATTANSHED_PLACE_PREFERRED_HOLDER_H
#define RATTANSHED_PLACE_PREFERRED_HOLDER_H

#include <stddef.h>
#include <stdint.h>

#include "place/model.h"

#define RsPreferredHolder_NONE 0

uint64_t RsPreferredHolder_OfTarget(uint64_t target, const uint64_t *live,
                                    size_t live_count);
uint64_t
RsPreferredHolder_OfSlice(const struct rs_model_assignment *assignment,
                          size_t position, const uint64_t *live,
                          size_t live_count);

#endif
