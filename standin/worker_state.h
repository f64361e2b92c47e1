/* The state of a worker, shared by the worker*.c files. */

#ifndef RATTANSHED_STANDIN_WORKER_STATE_H
#define RATTANSHED_STANDIN_WORKER_STATE_H

#include <glib.h>

#include "core/id.h"
#include "standin/grants.h"
#include "standin/record.h"
#include "standin/server.h"
#include "standin/worker.h"

#define RsWorker_MS_PER_S 1000
#define RsWorker_US_PER_MS 1000

/* The faults in force, set by POST /standin. Those that end in `_answers` are
 * the number of answers that still get the fault. */
struct rs_worker_faults {
    double slow_factor;     /* multiplies service times */
    bool lie_health;        /* hide draining, and report no load */
    bool refuse;            /* refuse requests as busy */
    int64_t answer_late_ms; /* delay of answers to requests that took effect */
    int64_t cross_answers;  /* replaced by an earlier answer */
    int64_t short_answers;  /* cut off halfway */
    int64_t double_answers; /* followed by a second answer */
    int64_t wrong_id_answers; /* with a wrong request ID */
};

struct rs_worker {
    struct rs_worker_options options;
    uv_loop_t *loop;
    uv_timer_t load_timer;
    char start_id[RsId_TEXT_BYTES];
    int64_t started_at_ms; /* by the target's clock */
    GRand *random;
    struct rs_grants *grants;
    struct rs_record *record;
    GHashTable *reservations; /* key to number of POST requests that took
                                 effect */
    GQueue waiting;           /* struct rs_worker_job */
    uint32_t running;         /* slots in use */
    bool draining;
    struct rs_worker_faults faults;
    uint32_t reported_running;        /* sampled for GET /load */
    uint32_t reported_queued;         /* sampled for GET /load */
    uint32_t peak_running_or_waiting; /* most requests that ran, waited or just
                                         arrived at once */
    GHashTable *refusals;             /* reason to number of refusals */
    /* Request ID and JSON body of the last answer to a request that took
     * effect, for `cross_answers`; NULL before the first. */
    char *last_id;
    char *last_body;
};

/* A request, from its arrival until its answer is passed to h2o or the
 * request is dropped. */
struct rs_worker_job {
    struct rs_worker *worker;
    h2o_req_t *req;
    uv_timer_t timer;
    char *request_id;
    char *method;
    char *path_service; /* first segment of the path */
    char *path_key;     /* second segment */
    char *key;          /* value of the request's X-Key header, or else
                           `path_key`; for the record */
    char *holder;
    char *slice_text; /* empty if the request has none */
    uint64_t slice;   /* 0 if `slice_text` is no slice ID */
    struct rs_grants_fence fence;
    int64_t deadline_ms;   /* by the target's clock */
    int64_t start_ms;      /* of the service time, by the target's clock */
    int64_t wall_start_us; /* by the wall clock */
    const char *outcome;   /* value of the answer's X-Outcome header */
    const char *reason; /* why the request has no effect; NULL if it has one */
    uint64_t count;     /* number of POST requests for the key that took
                           effect, including this one; 0 if this is no POST
                           request or took no effect */
};

int64_t RsWorker_ClockMs(const struct rs_worker *worker);

/* Jobs: one per request at the worker */
struct rs_worker_job *RsWorker_NewJob(struct rs_worker *worker,
                                      h2o_req_t *req);
void RsWorker_CloseJob(struct rs_worker_job *job);

/* Admission */
void RsWorker_Admit(struct rs_worker_job *job);
void RsWorker_ReleaseSlot(struct rs_worker *worker);

/* Answers */
void RsWorker_Answer(struct rs_worker_job *job);

/* Requests other than those of callers */
bool RsWorker_HandleControl(struct rs_worker *worker, h2o_req_t *req);

#endif
