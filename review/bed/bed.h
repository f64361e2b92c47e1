/* A small deployment on loopback addresses for the cases of this review: the
 * platform's store, workers and consumers as threads of one process, and
 * router nodes as processes that it starts. Times are in milliseconds of the
 * steady clock. */

#ifndef RATTANSHED_REVIEW_BED_H
#define RATTANSHED_REVIEW_BED_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RsBed_KEYS 65536
#define RsBed_MAX_WORKERS 16
#define RsBed_MAX_NODES 8
#define RsBed_HEAD_BYTES 16384

/* Exit statuses of a case. */
enum rs_bed_verdict {
    RsBed_HELD = 0,
    RsBed_BROKEN = 1,
    RsBed_NOT_RUN = 2,
};

/* Record and judge: bed/record.c. */
int64_t RsBed_NowMs(void);
int64_t RsBed_WallMs(void);
void RsBed_SleepMs(int64_t ms);
int RsBed_OpenRecord(const char *path);
void RsBed_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
void RsBed_Break(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
int RsBed_Breaks(void);
bool RsBed_HasTrouble(void);

/* HTTP/1.1 on blocking sockets: bed/http.c. */
struct rs_bed_stream {
    int fd;
    size_t size;
    char buffer[65536];
};

struct rs_bed_message {
    char head[RsBed_HEAD_BYTES];
    char method[16];
    char path[2048];
    int status;
    char *body; /* zero-terminated; NULL: none */
    size_t body_bytes;
};

typedef void (*rs_bed_handler)(void *arg, struct rs_bed_stream *stream);

int RsBedHttp_Listen(const char *host, uint16_t *port, rs_bed_handler handler,
                     void *arg);
void RsBedHttp_LoseConnects(uint16_t port);
void RsBedHttp_LetConnect(uint16_t port);
int RsBedHttp_Connect(const char *host, uint16_t port);
int RsBedHttp_Read(struct rs_bed_stream *stream,
                   struct rs_bed_message *message);
void RsBedHttp_Clear(struct rs_bed_message *message);
bool RsBedHttp_Header(const struct rs_bed_message *message, const char *name,
                      char *value, size_t size);
int RsBedHttp_SendAll(int fd, const char *data, size_t size);
bool RsBedHttp_HungUp(int fd);

/* The platform's store: bed/store.c. */
int RsBedStore_Open(uint16_t *port);
void RsBedStore_Put(const char *table, const char *key, const char *value);
void RsBedStore_Delete(const char *table, const char *key);
bool RsBedStore_Read(const char *table, char *value, size_t size);

/* Workers: bed/worker.c. */
struct rs_bed_worker {
    char id[32];
    char service[32];
    char zone[32];
    bool sharded;
    uint32_t slots;
    uint16_t port;
    bool up;
    bool draining;
    bool reports;
    int64_t born_wall_ms;
    uint64_t sequence;
    uint32_t running;
    uint32_t waiting;
    /* Of each key: the highest epoch number seen, the one of its last grant,
     * the end of the hold, the end that it would have had without a release,
     * and requests at work. */
    uint64_t seen[RsBed_KEYS];
    uint64_t granted_fence[RsBed_KEYS];
    int64_t hold_until_ms[RsBed_KEYS];
    int64_t granted_until_ms[RsBed_KEYS];
    uint16_t active[RsBed_KEYS];
};

struct rs_bed_worker *RsBedWorker_Start(const char *id, const char *service,
                                        const char *zone, bool sharded);
void RsBedWorker_WriteRow(struct rs_bed_worker *worker);
void RsBedWorker_SetDraining(struct rs_bed_worker *worker);
uint32_t RsBedWorker_CountHeld(const struct rs_bed_worker *worker);
uint32_t RsBedWorker_FindHeldKey(const struct rs_bed_worker *worker);
bool RsBedWorker_HasRun(const char *request_id);
uint32_t RsBedWorker_Runs(const char *request_id);

/* Router nodes: bed/nodes.c. */
struct rs_bed_node {
    char host[32];
    uint16_t callers_port;
    uint16_t readiness_port;
    uint16_t admin_port;
    char settings[256];
    char log[256];
    int pid;
};

int RsBedNodes_Start(uint32_t count, uint16_t store_port, const char *folder);
int RsBedNodes_Restart(uint32_t number);
int RsBedNodes_AwaitReady(int64_t within_ms);
struct rs_bed_node *RsBedNodes_Get(uint32_t number);
long RsBedNodes_CountTunnels(uint32_t number);
void RsBedNodes_End(void);

/* Consumers: bed/caller.c. */
struct rs_bed_call {
    uint32_t node;
    const char *method;
    const char *host;
    char path[128];
    int64_t key; /* -1: none */
    int64_t deadline_ms;
    size_t body_bytes;
    char id[40];
    int status; /* 0: the connection ended without an answer */
    bool is_signed;
    char answer_id[40];
};

void RsBedCaller_Call(struct rs_bed_call *call);
int RsBedCaller_Begin(struct rs_bed_call *call, pthread_t *thread);

/* The deployment: bed/deployment.c. */
void RsBed_WriteConfig(void);
int RsBed_OpenFolder(int count, char **arguments, char *folder, size_t size);
int RsBed_Start(const char *folder, uint32_t nodes,
                struct rs_bed_worker **first, struct rs_bed_worker **second);
int RsBed_End(void);

#endif
