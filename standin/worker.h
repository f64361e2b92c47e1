/* One target of a service, as docs/PLATFORM.md describes it. */

#ifndef RATTANSHED_STANDIN_WORKER_H
#define RATTANSHED_STANDIN_WORKER_H

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

struct rs_worker_options {
    const char *name;
    const char *service;
    uint32_t slots;
    uint32_t queue; /* requests that wait beyond the slots */
    uint32_t service_time_us;
    bool exponential; /* service times; fixed otherwise */
    uint32_t cold_ms;
    bool checks_fences;
    uint64_t file_bytes; /* above 0: a service of files, without keys */
    int64_t clock_offset_ms;
    uint64_t seed;
    FILE *record_lines; /* NULL: none; a line for each event, at once */
};

struct rs_worker;

struct rs_worker *RsWorker_New(const struct rs_worker_options *options,
                               uv_loop_t *loop);
void RsWorker_Handle(void *worker, h2o_req_t *req);

#endif
