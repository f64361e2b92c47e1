#include "router/key_rates.h"

#include <math.h>

#define MS_PER_S 1000.0
/* Time constants of the moving averages of key rates. The short one shows
 * within a second that a key has become busy, but in it random variation makes
 * up a quarter of the rate of a target's keys. The long one reduces this
 * variation. */
#define FAST_WINDOW_MS (RsKeyRates_FAST_WINDOW_S * MS_PER_S)
#define SHORT_WINDOW_MS 1500.0
#define LONG_WINDOW_MS 5000.0
#define SHORT_WINDOW_WEIGHT 0.4F
#define MIN_AGE_MS 100.0 /* bounds the correction of young averages */
/* The requests for this many adjacent keys show within half a second that
 * their rate has changed, although those for each key are few. */
#define BLOCK_KEYS 64
/* A change of the rate of a block is not random variation when it is this many
 * standard deviations; there are 1,024 blocks. */
#define CHANGE_DEVIATIONS 2.5
/* The changed rate is divided among the keys of the block half in equal parts
 * if the requests are for at least about this many of them. */
#define MIN_POOLED_KEYS 4.0

/* Returns rates that are all 0. The caller frees them with g_free(). */
struct rs_key_rates *
RsKeyRates_New(int64_t now_ms)
{
    struct rs_key_rates *rates = g_new0(struct rs_key_rates, 1);
    rates->since_ms = now_ms;
    rates->decayed_at_ms = now_ms;
    return rates;
}

/* Counts requests, one for each entry of `keys`. Ignores keys that do not
 * exist. All averages decay in RsKeyRates_Blend() as if the requests had come
 * at its last call, so that they weigh more here. */
void
RsKeyRates_Record(struct rs_key_rates *rates, const uint32_t *keys,
                  size_t count, int64_t now_ms)
{
    double elapsed_ms = (double)(now_ms - rates->decayed_at_ms);
    float fast =
        (float)(exp(elapsed_ms / FAST_WINDOW_MS) * MS_PER_S / FAST_WINDOW_MS);
    float of_short = (float)(exp(elapsed_ms / SHORT_WINDOW_MS) * MS_PER_S /
                             SHORT_WINDOW_MS);
    float of_long =
        (float)(exp(elapsed_ms / LONG_WINDOW_MS) * MS_PER_S / LONG_WINDOW_MS);
    for (size_t i = 0; i < count; i++) {
        if (keys[i] < RsKeymap_KEYS) {
            rates->requested = true;
            rates->fast_window[keys[i]] += fast;
            rates->short_window[keys[i]] += of_short;
            rates->long_window[keys[i]] += of_long;
        }
    }
}

/* Factors on the averages, which start at 0, so that young ones are too low.
 */
struct corrections {
    float of_short;
    float of_long;
};

/* Replaces the averages of a block of keys if their rate has changed lately:
 * their sum becomes that of the fast window. Otherwise they would show a part
 * of the change only for seconds, and the planner would divide the keys again
 * and again. */
static void
follow_change(struct rs_key_rates *rates, size_t first_key,
              const struct corrections *corrections)
{
    double fast = 0;
    double sum = 0;
    double squares = 0;
    for (size_t key = first_key; key < first_key + BLOCK_KEYS; key++) {
        double rate = rates->blend[key];
        fast += rates->fast_window[key];
        sum += rate;
        squares += rate * rate;
    }
    double deviation = sqrt(MAX(fast, sum) / (2 * RsKeyRates_FAST_WINDOW_S));
    if (sum <= 0 || fabs(fast - sum) < CHANGE_DEVIATIONS * deviation) {
        return;
    }
    bool pooled = sum * sum / squares >= MIN_POOLED_KEYS;
    for (size_t key = first_key; key < first_key + BLOCK_KEYS; key++) {
        double share = rates->blend[key] / sum;
        if (pooled) {
            share = (share + 1.0 / BLOCK_KEYS) / 2;
        }
        rates->blend[key] = (float)(fast * share);
        rates->short_window[key] = rates->blend[key] / corrections->of_short;
        rates->long_window[key] = rates->blend[key] / corrections->of_long;
    }
}

/* Brings all averages up to date, and returns an array of the requests per
 * second for each key. The array belongs to `rates`; the caller may change it,
 * and the next call overwrites it. */
float *
RsKeyRates_Blend(struct rs_key_rates *rates, int64_t now_ms)
{
    double elapsed_ms = (double)(now_ms - rates->decayed_at_ms);
    float fast_decay = (float)exp(-elapsed_ms / FAST_WINDOW_MS);
    float short_decay = (float)exp(-elapsed_ms / SHORT_WINDOW_MS);
    float long_decay = (float)exp(-elapsed_ms / LONG_WINDOW_MS);
    double age_ms = MAX((double)(now_ms - rates->since_ms), MIN_AGE_MS);
    const struct corrections corrections = {
        (float)(1 / (1 - exp(-age_ms / SHORT_WINDOW_MS))),
        (float)(1 / (1 - exp(-age_ms / LONG_WINDOW_MS)))};
    for (size_t key = 0; key < RsKeymap_KEYS; key++) {
        rates->fast_window[key] *= fast_decay;
        rates->short_window[key] *= short_decay;
        rates->long_window[key] *= long_decay;
        rates->blend[key] = SHORT_WINDOW_WEIGHT * corrections.of_short *
                                rates->short_window[key] +
                            (1 - SHORT_WINDOW_WEIGHT) * corrections.of_long *
                                rates->long_window[key];
    }
    for (size_t key = 0; key < RsKeymap_KEYS; key += BLOCK_KEYS) {
        follow_change(rates, key, &corrections);
    }
    rates->decayed_at_ms = now_ms;
    return rates->blend;
}

/* Returns the time constant, in seconds, of a moving average that varies at
 * random as much as the rates. A plain average over a time varies like a
 * moving average with half that time constant. */
double
RsKeyRates_WindowS(const struct rs_key_rates *rates, int64_t now_ms)
{
    double age_ms = MAX((double)(now_ms - rates->since_ms), MIN_AGE_MS);
    return MIN(RsKeyRates_WINDOW_S, age_ms / 2 / MS_PER_S);
}
