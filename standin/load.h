/* A run of standin_load: sends the traffic at its time, whatever becomes of
 * the answers, and reports on them. */

#ifndef RATTANSHED_STANDIN_LOAD_H
#define RATTANSHED_STANDIN_LOAD_H

#include <stdint.h>
#include <stdio.h>

#include "standin/load_traffic.h"

struct rs_load_options {
    struct rs_load_traffic_options traffic;
    const char *entries;                  /* HOST:PORT,HOST:PORT... */
    const char *services[RsLoad_CLASSES]; /* first segments of the paths */
    const char *name;                     /* begins each request id */
    int64_t duration_us;
    int64_t timeout_ms; /* told to the system */
    int64_t grace_ms;   /* that the caller waits beyond it */
    size_t connections; /* to each entry */
    FILE *log;          /* NULL: none */
    const char *json_path;
};

int RsLoad_Run(const struct rs_load_options *options);

#endif
