/* A run of standin_load: open-loop load, which starts each request at its
 * intended time however slowly earlier ones are answered, and a report on the
 * answers. A request waits only if all connections to its entry process are in
 * use. */

#ifndef RATTANSHED_STANDIN_LOAD_H
#define RATTANSHED_STANDIN_LOAD_H

#include <stdint.h>
#include <stdio.h>

#include "standin/load_traffic.h"

struct rs_load_options {
    struct rs_load_traffic_options traffic;
    const char *entries;                      /* HOST:PORT,HOST:PORT... */
    const char *services[RsLoad_CLASS_COUNT]; /* first segments of the paths */
    const char *name;                         /* prefix of each request ID */
    int64_t duration_us;
    int64_t timeout_ms; /* sent with each request */
    int64_t grace_ms;   /* added to timeout_ms before a request is given up */
    size_t max_connections; /* to each entry process */
    FILE *log; /* a JSON line for each request that ended; NULL: none */
    const char *json_path; /* of the report; NULL: none */
};

int RsLoad_Run(const struct rs_load_options *options);

#endif
