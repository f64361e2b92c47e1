/* A small deployment for the cases of the third review: a store, workers and
 * nodes, each a process, on loopback addresses and free ports. */

#ifndef RATTANSHED_REVIEW_DEPLOYMENT_H
#define RATTANSHED_REVIEW_DEPLOYMENT_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define RsBed_MAX_WORKERS 16
#define RsBed_MAX_NODES 4

/* Exit statuses of a case. */
#define RsBed_HELD 0
#define RsBed_BROKEN 1
#define RsBed_NOT_RUN 2

struct rs_bed_worker {
    const char *id;
    const char *service;
    bool sharded;
    int work_ms;
};

struct rs_bed {
    char folder[64];
    int base_port;
    pid_t store;
    pid_t workers[RsBed_MAX_WORKERS];
    pid_t nodes[RsBed_MAX_NODES];
    bool first_start[RsBed_MAX_NODES];
    unsigned last_request;
};

bool RsBed_Begin(struct rs_bed *bed, int argc, char **argv);
int RsBed_End(struct rs_bed *bed, int status);
bool RsBed_HasTrouble(void);
void RsBed_PutConfig(const struct rs_bed *bed, const char *config);
void RsBed_StartWorker(struct rs_bed *bed, int index,
                       const struct rs_bed_worker *worker);
void RsBed_KillWorker(struct rs_bed *bed, int index);
void RsBed_StartNode(struct rs_bed *bed, int index, double cpu_share);
void RsBed_KillNode(struct rs_bed *bed, int index);
int RsBed_ConnectCaller(const struct rs_bed *bed, int node, int window_bytes);
int RsBed_Call(struct rs_bed *bed, int node, const char *path, int key);
bool RsBed_AwaitServed(struct rs_bed *bed, int node, const char *path, int key,
                       int64_t within_ms);

#endif
