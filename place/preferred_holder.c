#include "place/preferred_holder.h"

#include "core/id.h"

/* Returns the id of the live member that rendezvous hashing prefers for the
 * target with id `target`, or RsPreferredHolder_NONE when none is live. When a
 * member joins or leaves, the result changes only for targets for which that
 * member is or was preferred. */
uint64_t
RsPreferredHolder_OfTarget(uint64_t target, const uint64_t *live,
                           size_t live_count)
{
    uint64_t best = RsPreferredHolder_NONE;
    uint64_t best_hash = 0;
    for (size_t i = 0; i < live_count; i++) {
        uint64_t hash = RsId_Combine(target, live[i]);
        if (best == RsPreferredHolder_NONE || hash > best_hash) {
            best = live[i];
            best_hash = hash;
        }
    }
    return best;
}

/* Returns the id of the member that most likely holds a slice: the one that is
 * preferred for the target at `position` of the slice's succession. The
 * position is taken modulo the succession's length; pass 0 when the owner's
 * position is not known. Returns RsPreferredHolder_NONE for a slice that is
 * not assigned, or when no member is live. */
uint64_t
RsPreferredHolder_OfSlice(const struct rs_model_assignment *assignment,
                          size_t position, const uint64_t *live,
                          size_t live_count)
{
    if (assignment->succession_count == 0) {
        return RsPreferredHolder_NONE;
    }
    size_t index = position % assignment->succession_count;
    uint64_t target = RsId_FromName(assignment->succession[index]);
    return RsPreferredHolder_OfTarget(target, live, live_count);
}
