/* Stand-ins for the scripts under review/: the platform's store, workers,
 * consumers, and the processes of the product, each on the loopback. A script
 * has one deployment, which is global. */

#ifndef RATTANSHED_REVIEW_RIG_H
#define RATTANSHED_REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RsRig_KEYS 65536
#define RsRig_NODES 3
#define RsRig_MAX_WORKERS 8
#define RsRig_MAX_HEAD_BYTES 8192
#define RsRig_MAX_ANSWER_BYTES 4096
#define RsRig_MAX_JOBS 32
#define RsRig_MAX_FDS 128

/* Exit codes of a script. */
#define RsRig_HELD 0
#define RsRig_BROKEN 1
#define RsRig_NOT_RUN 2

struct rs_rig_worker;

/* A connection to a worker, and the request on it. */
struct rs_rig_conn {
    struct rs_rig_worker *worker;
    int fd;
    char head[RsRig_MAX_HEAD_BYTES];
    size_t head_bytes;
    char *body;
    size_t body_bytes;
    char buffer[RsRig_MAX_HEAD_BYTES]; /* read, but not used yet */
    size_t buffered;
    char last_answer[RsRig_MAX_ANSWER_BYTES]; /* empty: none yet */
};

/* A request that a worker is at work on. */
struct rs_rig_job {
    bool running;
    uint32_t key;
    char id[40];
    int64_t began_at_ms;
};

struct rs_rig_worker {
    const char *id;
    const char *service;
    const char *zone;
    bool sharded;
    uint32_t work_ms;
    uint32_t capacity;
    /* Writes the answer to a request that has run. NULL: a short one. */
    bool (*answer)(struct rs_rig_conn *conn, const char *request_id);
    /* Called for each short answer, with the rig locked. NULL: nothing. */
    void (*answered)(struct rs_rig_worker *worker);
    /* Called before a release is handled. NULL: nothing. */
    void (*before_release)(struct rs_rig_conn *conn);
    /* Called when a grant was accepted, with the rig locked. NULL: nothing. */
    void (*granted)(struct rs_rig_worker *worker, uint32_t first_key,
                    uint32_t last_key);

    uint16_t port; /* the rest is set by the rig */
    int64_t born_ms;
    uint64_t sequence;
    bool draining;
    bool gone;
    int listener;
    int fds[RsRig_MAX_FDS]; /* of open connections; 0: none */
    uint32_t answers;       /* for the script to count */
    uint32_t extras;        /* second answers */
    uint32_t running;
    struct rs_rig_job jobs[RsRig_MAX_JOBS];
    uint64_t seen_fence[RsRig_KEYS];
    int64_t held_until_ms[RsRig_KEYS];    /* 0: not held */
    int64_t granted_until_ms[RsRig_KEYS]; /* also after a release */
};

/* A consumer's request, and what became of it. */
struct rs_rig_call {
    uint32_t node;
    const char *path;
    const char *key; /* NULL: none */
    char id[40];
    /* Called after each read with the bytes of the body so far. NULL: none. */
    void (*progress)(struct rs_rig_call *call);
    /* At most `read_bytes` are read at a time, each `read_every_ms` after they
     * can be; 0: no limit. */
    size_t read_bytes;
    uint32_t read_every_ms;

    int status; /* 0: none */
    bool is_signed;
    bool has_length;
    bool is_chunked;
    size_t length;
    size_t body_bytes;
    bool was_reset;
    bool looks_complete; /* by the framing of the response */
};

extern pthread_mutex_t RsRig_Lock;

int64_t RsRig_NowMs(void);
void RsRig_Sleep(int64_t span_ms);
bool RsRig_HasTrouble(void);
void RsRig_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
void RsRig_Open(const char *folder);
void RsRig_End(int code) __attribute__((noreturn));

void RsRig_PutRow(const char *table, const char *key, const char *value);
void RsRig_DeleteRow(const char *table, const char *key);

void RsRig_StartWorker(struct rs_rig_worker *worker);
void RsRig_DrainWorker(struct rs_rig_worker *worker);
void RsRig_RemoveWorker(struct rs_rig_worker *worker);
void RsRig_CutWorker(struct rs_rig_worker *worker, bool cut);
struct rs_rig_worker *RsRig_Worker(uint32_t index);
uint32_t RsRig_WorkerCount(void);
bool RsRig_Write(int fd, const char *data, size_t size);
bool RsRig_Answer(struct rs_rig_conn *conn, int status, const char *headers,
                  const char *body);

void RsRig_StartNode(uint32_t node, bool bootstrap);
void RsRig_KillNode(uint32_t node);
bool RsRig_AwaitReady(uint32_t node, int64_t within_ms);
void RsRig_StopNode(uint32_t node);
void RsRig_AwaitEnd(uint32_t node);
int RsRig_Connect(uint32_t node);
void RsRig_FormatRequest(struct rs_rig_call *call, char *text, size_t size);
void RsRig_ReadResponse(struct rs_rig_call *call, int fd);
void RsRig_Call(struct rs_rig_call *call);
bool RsRig_AwaitService(const char *path, const char *key, int64_t within_ms);

#endif
