#include "router/overload.h"

#include <math.h>

#include "router/load.h"

/* Older reports of the demand are ignored; the granter sends them a few times
 * a second. */
#define MAX_DEMAND_AGE_MS 1000
/* A target counts as overloaded from this share of what it can run, as the
 * service time is measured too high under load. A slow target that is asked
 * for less answers late, which is better for callers than to be refused. */
#define OVERLOAD_SHARE 1.05
/* Rate of admitted requests, as a multiple of the rate that the target can run
 * by its service time, which is measured too high under load. */
#define ADMITTED_SHARE 1.2
/* Each rank gets at least this part of the share that all ranks together get.
 */
#define MIN_RANK_PART 0.25
/* Time constant of the counts of requests by rank. One node sees some tens of
 * requests of a service a second, so that even a rank with a tenth of them is
 * known within some percent. */
#define MIX_WINDOW_MS 5000.0
#define MS_PER_S 1000.0
/* A request goes to an overloaded target if its answer is expected within this
 * part of its latency target. The load is known only from sums that are some
 * hundred milliseconds old, and with more, more answers are late
 * (docs/design/schedule.md). */
#define LATENCY_PART 0.65
/* The part is higher by up to this for ranks with many less urgent requests
 * and for callers with a place, so that the others leave room for them. */
#define URGENT_PART 0.3
/* Targets are not sent more requests than this many times their slots. Their
 * own queue has room for four times the slots, and they refuse or reset what
 * exceeds it. */
#define MAX_QUEUE_FACTOR 3
/* An admitted request waits at most this long for room at an overloaded
 * target. The requests that wait at all nodes are sent as soon as one of them
 * sees room; with longer waits they overfill the target. */
#define MAX_WAIT_MS 60
/* Share of the admitted requests of a rank that is kept for callers who come
 * back at the time they were told. It is lower for a rank that is hardly ever
 * refused. */
#define RESERVED_PART 0.5
/* Callers come back at the latest after a third of the time they have left.
 * Those who have a place are told a random share of that time between these
 * two, so that they don't come at once. */
#define MIN_PLACE_SHARE 0.1
#define MAX_PLACE_SHARE 0.32
/* A caller with a place may come earlier by this much, which is less than a
 * tick of RsRequest_Tick(). */
#define PLACE_TOLERANCE_MS 20
/* For how long a place is kept after its time, at least. */
#define PLACE_KEPT_MS 2000
/* Upper limit of the entries in one table: the refusals of one node in
 * PLACE_KEPT_MS, of several hundred a second. */
#define MAX_PLACES 2000
/* Fractional part of the golden ratio: its multiples modulo 1 are spread
 * evenly, so that out of any few successive requests the share is admitted. */
#define GOLDEN_FRACTION 0.6180339887498949

/* Returns how many requests a second the target can run. */
static double
max_runs_per_s(const struct rs_fleet_target *target)
{
    return MS_PER_S * target->report.slots / RsLoad_ServiceMs(target);
}

/* Returns whether the owner of keys is asked for more than it can run, as far
 * as the granter has lately said so. A cold target is not judged by that: its
 * requests wait for their time in its warm-up. */
bool
RsOverload_IsOverloaded(const struct rs_fleet_target *target, int64_t now_ms)
{
    return target->demand_per_s > OVERLOAD_SHARE * max_runs_per_s(target) &&
           now_ms >= target->cold_until_ms &&
           now_ms - target->demand_at_ms <= MAX_DEMAND_AGE_MS;
}

/* Counts a request of a caller. */
void
RsOverload_Count(struct rs_overload_mix *mix, uint32_t rank, int64_t now_ms)
{
    double kept = exp(-(double)(now_ms - mix->counted_at_ms) / MIX_WINDOW_MS);
    for (uint32_t i = 0; i < RsOverload_RANKS; i++) {
        mix->counts[i] *= kept;
    }
    mix->counted_at_ms = now_ms;
    mix->counts[MIN(rank, RsOverload_RANKS - 1)] += 1;
}

/* Returns the share of the requests of a rank that is admitted if `share` of
 * all requests can be. Each rank gets MIN_RANK_PART of `share`; the rest goes
 * to the ranks in their order. */
double
RsOverload_ShareOfRank(const struct rs_overload_mix *mix, uint32_t rank,
                       double share)
{
    uint32_t own = MIN(rank, RsOverload_RANKS - 1);
    double sum = 0;
    double before = 0;
    for (uint32_t i = 0; i < RsOverload_RANKS; i++) {
        sum += mix->counts[i];
        before += i < own ? mix->counts[i] : 0;
    }
    if (sum <= 0 || mix->counts[own] <= 0) {
        return share;
    }
    double floor_share = MIN_RANK_PART * share;
    double rest = (share - floor_share) * sum - before * (1 - floor_share);
    double extra = rest / mix->counts[own];
    return floor_share + CLAMP(extra, 0, 1 - floor_share);
}

/* Returns the share of the requests of a rank with which the target is just
 * busy, or 1 if it isn't overloaded. */
static double
admitted_share(const struct rs_fleet_target *target,
               const struct rs_overload_mix *mix, uint32_t rank,
               int64_t now_ms)
{
    if (!RsOverload_IsOverloaded(target, now_ms)) {
        return 1;
    }
    double share =
        ADMITTED_SHARE * max_runs_per_s(target) / target->demand_per_s;
    return share >= 1 ? 1 : RsOverload_ShareOfRank(mix, rank, share);
}

/* Returns which share of all requests gets a place. */
static double
place_share(double share)
{
    return share * RESERVED_PART * (1 - share);
}

/* Returns the part of an admitted share that is left to callers without a
 * place. Only as much is kept for places as was used of them lately, since not
 * all callers come back. */
static double
unreserved_share(const struct rs_overload_places *places, double share)
{
    double used = places->reserved > 0 ? places->taken / places->reserved : 0;
    return share - place_share(share) * MIN(used, 1);
}

/* Returns whether a request for a key of the target is admitted. While the
 * granter says that the target is asked for more than its capacity, the nodes
 * admit a share of the requests with which the target is just busy, part of it
 * by places. One node sees few requests for a target, so the decisions of a
 * node start at a random point of their sequence. */
bool
RsOverload_Admit(struct rs_fleet_target *target,
                 const struct rs_overload_mix *mix,
                 const struct rs_overload_places *places, uint32_t rank,
                 GRand *random, int64_t now_ms)
{
    double share = admitted_share(target, mix, rank, now_ms);
    if (share >= 1) {
        return true;
    }
    if (target->admission <= 0) {
        target->admission = g_rand_double(random);
    }
    target->admission = fmod(target->admission + GOLDEN_FRACTION, 1);
    return target->admission < unreserved_share(places, share);
}

/* Returns when a caller should come back whose request was not admitted, with
 * `time_left_ms` until its deadline. As many get a place within the time for
 * which callers wait as the reserved part of the admitted requests allows; one
 * node sees too few requests for a target to number the places. The others are
 * told the truth, which is that there is no room before their deadline. */
struct rs_overload_place
RsOverload_DrawPlace(const struct rs_fleet_target *target,
                     const struct rs_overload_mix *mix, uint32_t rank,
                     int64_t time_left_ms, GRand *random, int64_t now_ms)
{
    double share = admitted_share(target, mix, rank, now_ms);
    double refused_share = 1 - share + place_share(share);
    double with_place =
        refused_share > 0 ? place_share(share) / refused_share : 1;
    double left_ms = (double)MAX(time_left_ms, (int64_t)0);
    if (g_rand_double(random) < with_place) {
        double wait_ms = left_ms * g_rand_double_range(random, MIN_PLACE_SHARE,
                                                       MAX_PLACE_SHARE);
        return (struct rs_overload_place){now_ms + (int64_t)wait_ms, true};
    }
    return (struct rs_overload_place){now_ms + (int64_t)left_ms, false};
}

struct place_entry {
    uint64_t fingerprint;
    int64_t back_at_ms; /* of the first reserved place */
    uint32_t reserved;  /* places not yet taken */
};

static GHashTable *
new_table(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Initializes without entries. RsOverload_ClearPlaces() frees the memory. */
void
RsOverload_InitPlaces(struct rs_overload_places *places)
{
    *places = (struct rs_overload_places){.newer = new_table(),
                                          .older = new_table()};
}

void
RsOverload_ClearPlaces(struct rs_overload_places *places)
{
    g_hash_table_destroy(places->newer);
    g_hash_table_destroy(places->older);
}

/* Returns whether callers were refused lately, so that it is worth while to
 * compute fingerprints. */
bool
RsOverload_HasPlaces(const struct rs_overload_places *places)
{
    return g_hash_table_size(places->newer) +
               g_hash_table_size(places->older) >
           0;
}

/* Forgets the entries that are older than PLACE_KEPT_MS, by dropping a whole
 * table at a time. */
static void
forget_old(struct rs_overload_places *places, int64_t now_ms)
{
    int64_t age_ms = now_ms - places->changed_at_ms;
    if (age_ms < PLACE_KEPT_MS) {
        return;
    }
    if (age_ms >= 2 * (int64_t)PLACE_KEPT_MS) {
        g_hash_table_remove_all(places->newer);
    }
    GHashTable *oldest = places->older;
    places->older = places->newer;
    places->newer = oldest;
    g_hash_table_remove_all(oldest);
    places->changed_at_ms = now_ms;
    places->reserved /= 2;
    places->taken /= 2;
}

static struct place_entry *
find_entry(const struct rs_overload_places *places, uint64_t fingerprint)
{
    struct place_entry *entry =
        g_hash_table_lookup(places->newer, &fingerprint);
    return entry != NULL ? entry
                         : g_hash_table_lookup(places->older, &fingerprint);
}

/* Returns a new entry in the newer table, or NULL if that is full. */
static struct place_entry *
add_entry(struct rs_overload_places *places, uint64_t fingerprint)
{
    if (g_hash_table_size(places->newer) >= MAX_PLACES) {
        return NULL;
    }
    struct place_entry *entry = g_new0(struct place_entry, 1);
    entry->fingerprint = fingerprint;
    g_hash_table_insert(places->newer, &entry->fingerprint, entry);
    return entry;
}

/* Moves an entry from the older table to the newer one, so that it is kept for
 * PLACE_KEPT_MS from now on. */
static void
keep_entry(struct rs_overload_places *places, struct place_entry *entry)
{
    if (g_hash_table_steal(places->older, &entry->fingerprint)) {
        g_hash_table_insert(places->newer, &entry->fingerprint, entry);
    }
}

/* Records what a refused caller is told. Returns whether a caller with the
 * same request was refused before, which means that this one was probably
 * refused twice. */
bool
RsOverload_RecordPlace(struct rs_overload_places *places, uint64_t fingerprint,
                       const struct rs_overload_place *place, int64_t now_ms)
{
    forget_old(places, now_ms);
    struct place_entry *entry = find_entry(places, fingerprint);
    bool again = entry != NULL;
    if (again) {
        keep_entry(places, entry);
    }
    else {
        entry = add_entry(places, fingerprint);
    }
    if (entry == NULL) {
        return false;
    }
    if (place->reserved) {
        entry->back_at_ms = entry->reserved > 0
                                ? MIN(entry->back_at_ms, place->back_at_ms)
                                : place->back_at_ms;
        entry->reserved++;
        places->reserved++;
    }
    return again;
}

/* Returns whether a place is reserved for the request and its time has come,
 * and takes it. A caller that comes too early keeps its place. */
bool
RsOverload_TakePlace(struct rs_overload_places *places, uint64_t fingerprint,
                     int64_t now_ms)
{
    forget_old(places, now_ms);
    struct place_entry *entry = find_entry(places, fingerprint);
    if (entry == NULL || entry->reserved == 0 ||
        now_ms < entry->back_at_ms - PLACE_TOLERANCE_MS) {
        return false;
    }
    entry->reserved--;
    places->taken++;
    return true;
}

/* Returns which share of the requests is less urgent than `rank`. */
static double
less_urgent_share(const struct rs_overload_mix *mix, uint32_t rank)
{
    double sum = 0;
    double after = 0;
    for (uint32_t i = 0; i < RsOverload_RANKS; i++) {
        sum += mix->counts[i];
        after += i > rank ? mix->counts[i] : 0;
    }
    return sum > 0 ? after / sum : 0;
}

/* Returns whether an overloaded target has room for one more request: whether
 * the answer is expected within the latency target, and the target's own queue
 * has room. */
bool
RsOverload_HasRoom(const struct rs_fleet_target *target,
                   const struct rs_overload_mix *mix,
                   const struct rs_overload_request *request, int64_t now_ms)
{
    double outstanding = RsLoad_CountOutstanding(target, now_ms);
    if (now_ms < target->full_until_ms ||
        outstanding >= MAX_QUEUE_FACTOR * target->report.slots) {
        return false;
    }
    double urgency =
        request->has_place ? 1 : less_urgent_share(mix, request->rank);
    double part = LATENCY_PART + URGENT_PART * urgency;
    double left_ms = part * (double)request->latency_target_ms -
                     (double)(now_ms - request->arrived_at_ms);
    return outstanding < target->report.slots ||
           RsLoad_ExpectedLatencyMs(target, now_ms) <= left_ms;
}

/* Returns until when an admitted request may wait for room at the target. */
int64_t
RsOverload_WaitUntilMs(const struct rs_fleet_target *target,
                       const struct rs_overload_request *request,
                       int64_t now_ms)
{
    if (!RsOverload_IsOverloaded(target, now_ms)) {
        return request->wait_until_ms;
    }
    return MIN(request->admitted_at_ms + MAX_WAIT_MS, request->wait_until_ms);
}

/* Returns whether the target would still take longer than until `deadline_ms`
 * if no other requests were there, so that waiting is of no use. */
bool
RsOverload_IsTooLate(const struct rs_fleet_target *target, int64_t deadline_ms,
                     int64_t now_ms)
{
    return RsLoad_ServiceMs(target) > (double)(deadline_ms - now_ms);
}
