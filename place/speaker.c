#include "place/speaker.h"

#include "core/id.h"

/* Returns the id of the live member preferred for a target, by rendezvous
 * hashing, or RsSpeaker_NONE when none is live. When a member comes or goes,
 * only the targets that it speaks for change. */
uint64_t
RsSpeaker_OfTarget(uint64_t target, const uint64_t *live, size_t live_count)
{
    uint64_t best = RsSpeaker_NONE;
    uint64_t best_rank = 0;
    for (size_t i = 0; i < live_count; i++) {
        uint64_t rank = RsId_Combine(target, live[i]);
        if (best == RsSpeaker_NONE || rank > best_rank) {
            best = live[i];
            best_rank = rank;
        }
    }
    return best;
}

/* Returns a front's first guess of the process that holds a slice: the one
 * preferred for the target at `position` of the succession, 0 when nothing
 * else is known. RsSpeaker_NONE for a slice that is not assigned. */
uint64_t
RsSpeaker_OfSlice(const struct rs_model_assignment *assignment,
                  size_t position, const uint64_t *live, size_t live_count)
{
    if (assignment->succession_count == 0) {
        return RsSpeaker_NONE;
    }
    size_t at = position % assignment->succession_count;
    uint64_t target = RsId_FromName(assignment->succession[at]);
    return RsSpeaker_OfTarget(target, live, live_count);
}
