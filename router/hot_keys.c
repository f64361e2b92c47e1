#include "router/hot_keys.h"

#include <math.h>
#include <string.h>

#include "core/log.h"

#define MS_PER_S 1000.0
/* A key is hot when its rate exceeds what the fastest target can run by this
 * many standard deviations of the rate. Only a key whose real rate is near
 * that exceeds it by chance, and such a key is not refused. */
#define FAST_DEVIATIONS 2.0
#define BLEND_DEVIATIONS 1.5
/* A hot key is no longer hot when its rate is below this share of what the
 * fastest target can run. */
#define END_SHARE 0.7
/* The owner of a hot key is to have its slots in use and about this many
 * requests waiting. The sums are up to two plans old, so that larger steps of
 * the pace oscillate. */
#define MAX_OWNER_QUEUE 2
#define PACE_DOWN 0.9
#define PACE_UP 1.06
#define MIN_PACE 0.3
#define MAX_PACE 1.6
/* The granter names hot keys with each summary, a few times a second. A node
 * that has heard nothing for this long goes by its own counts. */
#define MAX_STATED_AGE_MS 1000
/* A node without sums forgets a hot key after this time. */
#define FORGET_MS 30000
/* Time constant of a node's average of its requests for a hot key. */
#define OWN_WINDOW_MS 2000.0
/* A caller uses Retry-After up to a third of the time it has left, and
 * RsLoad_RetryAtMs() adds up to a quarter to a wait. */
#define MAX_WAIT_DIVISOR 4
/* A caller may come back earlier than its place by a timer's resolution, and
 * later by its round trip. */
#define EARLY_MS 20
#define LATE_MS 500
/* Places may use the admitted requests of this many others in advance. */
#define MIN_CREDIT (-4.0)

/* Returns the hot key, or NULL if the key is not hot. `service` must be
 * interned. */
struct rs_hot_key *
RsHotKeys_Find(struct rs_hot_keys *hot, const char *service, uint32_t key)
{
    for (size_t i = 0; i < hot->count; i++) {
        if (hot->keys[i].key == key && hot->keys[i].service == service) {
            return &hot->keys[i];
        }
    }
    return NULL;
}

/* Adds a hot key, or returns NULL if there are too many. The credit starts at
 * a random value: if it started at 0 on all nodes, none would admit a request
 * for a long time. */
static struct rs_hot_key *
add_key(struct rs_hot_keys *hot, const char *service, uint32_t key,
        double demand_per_s, int64_t now_ms)
{
    if (hot->count == RsHotKeys_MAX) {
        return NULL;
    }
    struct rs_hot_key *added = &hot->keys[hot->count++];
    *added = (struct rs_hot_key){
        .service = service,
        .key = key,
        .demand_per_s = demand_per_s,
        .pace = 1,
        .own_at_ms = now_ms,
        .credit = g_random_double(),
        .credit_at_ms = now_ms,
    };
    RsLog_EVENT(RsLog_WARNING, "hot_key", RsLog_TEXT("service", service),
                RsLog_NUMBER("key", key),
                RsLog_NUMBER("per_s", (int64_t)demand_per_s));
    return added;
}

static void
remove_key(struct rs_hot_keys *hot, size_t index)
{
    RsLog_EVENT(RsLog_INFO, "hot_key_ended",
                RsLog_TEXT("service", hot->keys[index].service),
                RsLog_NUMBER("key", hot->keys[index].key));
    hot->count--;
    memmove(&hot->keys[index], &hot->keys[index + 1],
            (hot->count - index) * sizeof(hot->keys[0]));
}

/* Returns whether the rate exceeds the limit by more than random variation.
 * `window_s` is the time constant of the rate. */
static bool
exceeds(double rate, double limit, double deviations, double window_s)
{
    return rate - deviations * sqrt(rate / (2 * window_s)) > limit;
}

/* Adds the keys of a service whose rates have risen above what the fastest
 * target can run, and removes those whose rates have fallen well below it.
 * Updates the demand of the others. */
void
RsHotKeys_Detect(struct rs_hot_keys *hot, const char *service,
                 const struct rs_key_rates *rates, double fastest_per_s,
                 int64_t now_ms)
{
    for (size_t i = hot->count; i-- > 0;) {
        const struct rs_hot_key *known = &hot->keys[i];
        if (known->service == service &&
            rates->short_window[known->key] < END_SHARE * fastest_per_s) {
            remove_key(hot, i);
        }
    }
    for (uint32_t key = 0; key < RsKeymap_KEYS && fastest_per_s > 0; key++) {
        double fast = rates->fast_window[key];
        double blend = rates->blend[key];
        if ((fast < fastest_per_s && blend < fastest_per_s) ||
            rates->short_window[key] < END_SHARE * fastest_per_s) {
            continue;
        }
        if ((exceeds(fast, fastest_per_s, FAST_DEVIATIONS,
                     RsKeyRates_FAST_WINDOW_S) ||
             exceeds(blend, fastest_per_s, BLEND_DEVIATIONS,
                     RsKeyRates_WINDOW_S)) &&
            RsHotKeys_Find(hot, service, key) == NULL) {
            add_key(hot, service, key, fast, now_ms);
        }
    }
    for (size_t i = 0; i < hot->count; i++) {
        if (hot->keys[i].service == service) {
            hot->keys[i].demand_per_s = rates->fast_window[hot->keys[i].key];
            hot->keys[i].stated_at_ms = now_ms;
        }
    }
}

/* Corrects the admitted rate of a hot key by the number of requests that are
 * running or waiting at its owner: the service time of an owner that became
 * full is known only roughly. `pace` is a factor on the estimated rate. */
void
RsHotKeys_SetPace(struct rs_hot_key *hot, double outstanding, double slots)
{
    if (outstanding > slots + MAX_OWNER_QUEUE) {
        hot->pace = MAX(hot->pace * PACE_DOWN, MIN_PACE);
    }
    else if (outstanding < slots) {
        hot->pace = MIN(hot->pace * PACE_UP, MAX_PACE);
    }
}

/* Records what the granter has stated of a hot key. */
void
RsHotKeys_Record(struct rs_hot_keys *hot, const struct rs_hot_key *stated,
                 int64_t now_ms)
{
    struct rs_hot_key *known =
        RsHotKeys_Find(hot, stated->service, stated->key);
    if (known == NULL) {
        known = add_key(hot, stated->service, stated->key,
                        stated->demand_per_s, now_ms);
    }
    if (known != NULL) {
        known->demand_per_s = stated->demand_per_s;
        known->admitted_per_s = stated->admitted_per_s;
        known->stated_at_ms = now_ms;
    }
}

/* Forgets the hot keys that the granter has not named now; it has named
 * all. */
void
RsHotKeys_DropUnnamed(struct rs_hot_keys *hot, int64_t now_ms)
{
    for (size_t i = hot->count; i-- > 0;) {
        if (hot->keys[i].stated_at_ms != now_ms) {
            remove_key(hot, i);
        }
    }
}

/* Counts a request of this node for the key. */
static void
count_own(struct rs_hot_key *hot, int64_t now_ms)
{
    hot->own_per_s *= exp(-(double)(now_ms - hot->own_at_ms) / OWN_WINDOW_MS);
    hot->own_per_s += MS_PER_S / OWN_WINDOW_MS;
    hot->own_at_ms = now_ms;
}

static double
admitted_share(const struct rs_hot_key *hot)
{
    return hot->demand_per_s > hot->admitted_per_s
               ? hot->admitted_per_s / hot->demand_per_s
               : 1;
}

/* Admits a request that comes back at the time that its caller was told. */
static bool
take_place(struct rs_hot_key *hot, uint64_t fingerprint, int64_t now_ms)
{
    for (size_t i = 0; i < RsHotKeys_PLACES; i++) {
        struct rs_hot_key_place *place = &hot->places[i];
        if (place->fingerprint == fingerprint && fingerprint != 0 &&
            now_ms >= place->at_ms - EARLY_MS &&
            now_ms <= place->at_ms + LATE_MS) {
            place->fingerprint = 0;
            hot->credit = MAX(hot->credit - 1, MIN_CREDIT);
            return true;
        }
    }
    return false;
}

/* Returns when the caller can be served: after the refused callers before it,
 * at the rate at which this node admits requests for the key. Keeps a place
 * for the caller if it has the time to come back then. */
static int64_t
give_place(struct rs_hot_key *hot, const struct rs_hot_key_request *request,
           int64_t now_ms)
{
    double own_admitted_per_s = admitted_share(hot) * hot->own_per_s;
    int64_t at_ms = MAX(hot->queue_end_ms, now_ms) +
                    (int64_t)(MS_PER_S / own_admitted_per_s);
    if (at_ms - now_ms <= (request->deadline_ms - now_ms) / MAX_WAIT_DIVISOR) {
        hot->queue_end_ms = at_ms;
        hot->places[hot->next_place++ % RsHotKeys_PLACES] =
            (struct rs_hot_key_place){request->fingerprint, at_ms};
    }
    return at_ms;
}

/* Returns 0 if the request is admitted, or else when its caller can be served.
 * A request for a key that is not hot is admitted. Each node admits the share
 * that the granter has stated. A node that has heard nothing from the granter
 * lately admits as many requests a second as it did before. */
int64_t
RsHotKeys_Admit(struct rs_hot_keys *hot,
                const struct rs_hot_key_request *request, int64_t now_ms)
{
    struct rs_hot_key *key =
        RsHotKeys_Find(hot, request->service, request->key);
    if (key == NULL || now_ms - key->stated_at_ms > FORGET_MS) {
        return 0;
    }
    double share = admitted_share(key);
    if (now_ms - key->stated_at_ms <= MAX_STATED_AGE_MS) {
        count_own(key, now_ms);
        key->credit += share;
    }
    else {
        key->credit += share * key->own_per_s *
                       (double)(now_ms - key->credit_at_ms) / MS_PER_S;
        key->credit = MIN(key->credit, 1.0);
    }
    key->credit_at_ms = now_ms;
    if (take_place(key, request->fingerprint, now_ms)) {
        return 0;
    }
    if (key->credit >= 1) {
        key->credit -= 1;
        return 0;
    }
    return give_place(key, request, now_ms);
}
