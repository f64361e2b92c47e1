/* The requests of an open-loop load: when, of which class and for which key.
 * The same options give the same requests. */

#ifndef RATTANSHED_STANDIN_LOAD_TRAFFIC_H
#define RATTANSHED_STANDIN_LOAD_TRAFFIC_H

#include <stdint.h>

enum rs_load_class {
    RsLoad_READ, /* keyed, may be repeated */
    RsLoad_POST, /* keyed, must not be repeated */
    RsLoad_FILE, /* without an owner */
    RsLoad_CLASSES
};

struct rs_load_traffic_options {
    uint64_t seed;
    double rate_per_s; /* arrivals are a Poisson process */
    double shares[RsLoad_CLASSES];
    uint32_t key_count;
    double zipf_exponent; /* 0: all keys alike */
    int64_t shift_at_us;  /* from then on other keys are hot; 0: never */
};

struct rs_load_item {
    int64_t at_us; /* since the start */
    enum rs_load_class class;
    uint32_t key;
};

struct rs_load_traffic;

struct rs_load_traffic *
RsLoadTraffic_New(const struct rs_load_traffic_options *options);
void RsLoadTraffic_Free(struct rs_load_traffic *traffic);
struct rs_load_item RsLoadTraffic_Next(struct rs_load_traffic *traffic);

#endif
