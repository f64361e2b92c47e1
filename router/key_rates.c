#include "router/key_rates.h"

#include <math.h>

#define MS_PER_S 1000.0
/* Time constants of the moving averages of key rates. The short one shows
 * within a second that a key has become busy, but in it random variation makes
 * up a quarter of the rate of a target's keys. The long one reduces this
 * variation. */
#define SHORT_WINDOW_MS 1500.0
#define LONG_WINDOW_MS 5000.0
#define SHORT_WINDOW_WEIGHT 0.4F

/* Returns rates that are all 0. The caller frees them with g_free(). */
struct rs_key_rates *
RsKeyRates_New(int64_t now_ms)
{
    struct rs_key_rates *rates = g_new0(struct rs_key_rates, 1);
    rates->decayed_at_ms = now_ms;
    return rates;
}

/* Counts one request for a key. Ignores keys that do not exist. */
void
RsKeyRates_Record(struct rs_key_rates *rates, uint32_t key)
{
    if (key < RsKeymap_KEYS) {
        rates->requested = true;
        rates->short_window[key] += (float)(MS_PER_S / SHORT_WINDOW_MS);
        rates->long_window[key] += (float)(MS_PER_S / LONG_WINDOW_MS);
    }
}

/* Returns an array of the requests per second for each key. The array belongs
 * to `rates`; the next call overwrites it. */
const float *
RsKeyRates_Blend(struct rs_key_rates *rates, int64_t now_ms)
{
    double elapsed_ms = (double)(now_ms - rates->decayed_at_ms);
    float short_decay = (float)exp(-elapsed_ms / SHORT_WINDOW_MS);
    float long_decay = (float)exp(-elapsed_ms / LONG_WINDOW_MS);
    for (size_t key = 0; key < RsKeymap_KEYS; key++) {
        rates->short_window[key] *= short_decay;
        rates->long_window[key] *= long_decay;
        rates->blend[key] =
            SHORT_WINDOW_WEIGHT * rates->short_window[key] +
            (1 - SHORT_WINDOW_WEIGHT) * rates->long_window[key];
    }
    rates->decayed_at_ms = now_ms;
    return rates->blend;
}
