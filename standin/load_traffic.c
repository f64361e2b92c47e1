#include "standin/load_traffic.h"

#include <glib.h>
#include <math.h>

#define US_PER_S 1e6

struct rs_load_traffic {
    struct rs_load_traffic_options options;
    GRand *random;
    double *cumulative; /* sums of the weights of the ranks, hottest first */
    double share_sum;
    double at_us; /* time of the latest request */
};

/* Returns a generator, which the caller frees with RsLoadTraffic_Free(). The
 * rate, the number of keys and at least one share must be above 0. */
struct rs_load_traffic *
RsLoadTraffic_New(const struct rs_load_traffic_options *options)
{
    struct rs_load_traffic *traffic = g_new0(struct rs_load_traffic, 1);
    double sum = 0;
    traffic->options = *options;
    traffic->random = g_rand_new_with_seed((guint32)options->seed);
    for (int i = 0; i < RsLoad_CLASS_COUNT; i++) {
        traffic->share_sum += options->shares[i];
    }
    g_assert(options->rate_per_s > 0 && options->key_count > 0);
    g_assert(traffic->share_sum > 0);
    traffic->cumulative = g_new(double, options->key_count);
    for (uint32_t rank = 0; rank < options->key_count; rank++) {
        sum += pow(rank + 1, -options->zipf_exponent);
        traffic->cumulative[rank] = sum;
    }
    return traffic;
}

/* Frees the generator. */
void
RsLoadTraffic_Free(struct rs_load_traffic *traffic)
{
    g_rand_free(traffic->random);
    g_free(traffic->cumulative);
    g_free(traffic);
}

/* Draws a rank from the Zipf distribution, 0 for the hottest key. */
static uint32_t
draw_rank(struct rs_load_traffic *traffic)
{
    uint32_t low = 0;
    uint32_t high = traffic->options.key_count - 1;
    double drawn = g_rand_double(traffic->random) * traffic->cumulative[high];
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        if (traffic->cumulative[middle] > drawn) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}

static enum rs_load_class
draw_class(struct rs_load_traffic *traffic)
{
    double drawn = g_rand_double(traffic->random) * traffic->share_sum;
    int class = 0;
    while (class < RsLoad_CLASS_COUNT - 1 &&
           drawn >= traffic->options.shares[class]) {
        drawn -= traffic->options.shares[class];
        class ++;
    }
    return (enum rs_load_class) class;
}

/* Returns the next request. Its key is the rank drawn, 0 for the hottest. From
 * `shift_at_us` on, if that is above 0, `key_count` / 2 is added to the key,
 * modulo `key_count`, so that other keys are the hot ones. */
struct rs_load_arrival
RsLoadTraffic_Next(struct rs_load_traffic *traffic)
{
    const struct rs_load_traffic_options *options = &traffic->options;
    struct rs_load_arrival arrival;
    traffic->at_us += -log(1 - g_rand_double(traffic->random)) * US_PER_S /
                      options->rate_per_s;
    arrival.at_us = (int64_t)traffic->at_us;
    arrival.class = draw_class(traffic);
    arrival.key = draw_rank(traffic);
    if (options->shift_at_us > 0 && arrival.at_us >= options->shift_at_us) {
        arrival.key =
            (arrival.key + options->key_count / 2) % options->key_count;
    }
    return arrival;
}
