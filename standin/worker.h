/* A worker: an emulated target of a service, which behaves as docs/PLATFORM.md
 * describes and can inject faults. */

#ifndef RATTANSHED_STANDIN_WORKER_H
#define RATTANSHED_STANDIN_WORKER_H

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

struct rs_worker_options {
    const char *name;
    const char *service;
    uint32_t slots;           /* requests that run at once */
    uint32_t queue;           /* requests that may wait for a slot */
    uint32_t service_time_us; /* mean */
    bool exponential;         /* distribution of service times; else fixed */
    uint32_t cold_ms;         /* from the start until all slots are usable */
    bool checks_fences;       /* requires grants and checks fences */
    uint64_t file_bytes;     /* above 0: serve files of this size, and check no
                                fences */
    int64_t clock_offset_ms; /* added to the monotonic clock to get the
                                target's clock */
    uint64_t seed;           /* of the random service times */
    FILE *record_file;       /* gets a JSON line per event; NULL: none */
};

struct rs_worker;

struct rs_worker *RsWorker_New(const struct rs_worker_options *options,
                               uv_loop_t *loop);
void RsWorker_HandleRequest(void *worker, h2o_req_t *req);

#endif
