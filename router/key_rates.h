/* Request rates of the keys of one service, as moving averages over the
 * reports of all nodes. No I/O. */

#ifndef RATTANSHED_ROUTER_KEY_RATES_H
#define RATTANSHED_ROUTER_KEY_RATES_H

#include <stdbool.h>
#include <stdint.h>

#include "router/keymap.h"

/* Effective time constant of the rates from RsKeyRates_Blend(). A rate is 0.4
 * of a moving average with a time constant of 1.5 s, since a hot key must be
 * noticed within a second, plus 0.6 of one with 5 s. The random variation of
 * the rates is that of a single exponential moving average with this time
 * constant. */
#define RsKeyRates_WINDOW_S 3.0

/* Time constant of `fast_window`, in which a key with many times the requests
 * that a target can run shows within half a second. */
#define RsKeyRates_FAST_WINDOW_S 0.3

struct rs_key_rates {
    float fast_window[RsKeymap_KEYS];
    float short_window[RsKeymap_KEYS];
    float long_window[RsKeymap_KEYS];
    float blend[RsKeymap_KEYS]; /* computed by RsKeyRates_Blend() */
    int64_t since_ms;           /* requests are recorded since then */
    int64_t decayed_at_ms;
    bool requested; /* a request was recorded */
};

struct rs_key_rates *RsKeyRates_New(int64_t now_ms);
void RsKeyRates_Record(struct rs_key_rates *rates, const uint32_t *keys,
                       size_t count, int64_t now_ms);
float *RsKeyRates_Blend(struct rs_key_rates *rates, int64_t now_ms);
double RsKeyRates_WindowS(const struct rs_key_rates *rates, int64_t now_ms);

#endif
