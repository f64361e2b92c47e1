/* Generates the requests of an open-loop load: their times, classes and keys.
 * The same options give the same requests. */

#ifndef RATTANSHED_STANDIN_LOAD_TRAFFIC_H
#define RATTANSHED_STANDIN_LOAD_TRAFFIC_H

#include <stdint.h>

enum rs_load_class {
    RsLoad_READ, /* GET of a key with an owner; may run more than once */
    RsLoad_POST, /* POST to a key with an owner; must not run twice */
    RsLoad_FILE, /* GET of a file; files have no owner */
    RsLoad_CLASS_COUNT
};

struct rs_load_traffic_options {
    uint64_t seed;
    double rate_per_s;                 /* arrivals are a Poisson process */
    double shares[RsLoad_CLASS_COUNT]; /* relative to their sum */
    uint32_t key_count;
    double zipf_exponent; /* 0: all keys are equally likely */
    int64_t shift_at_us;  /* when other keys become the hot ones; 0: never */
};

/* One request to send. */
struct rs_load_arrival {
    int64_t at_us; /* since the start */
    enum rs_load_class class;
    uint32_t key; /* number of the key, below `key_count` */
};

struct rs_load_traffic;

struct rs_load_traffic *
RsLoadTraffic_New(const struct rs_load_traffic_options *options);
void RsLoadTraffic_Free(struct rs_load_traffic *traffic);
struct rs_load_arrival RsLoadTraffic_Next(struct rs_load_traffic *traffic);

#endif
