/* Which process of a cell speaks for a target. The processes agree without a
 * word as far as they agree on who is live; the lease decides in the end. */

#ifndef RATTANSHED_PLACE_SPEAKER_H
#define RATTANSHED_PLACE_SPEAKER_H

#include <stddef.h>
#include <stdint.h>

#include "place/model.h"

#define RsSpeaker_NONE 0

uint64_t RsSpeaker_OfTarget(uint64_t target, const uint64_t *live,
                            size_t live_count);
uint64_t RsSpeaker_OfSlice(const struct rs_model_assignment *assignment,
                           size_t position, const uint64_t *live,
                           size_t live_count);

#endif
