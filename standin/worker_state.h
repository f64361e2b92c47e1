/* The state of a target, shared by the files that make it up. */

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

struct rs_worker_faults {
    double slow_factor;
    bool lie_health;
    bool refuse;
    int64_t answer_late_ms;
    int64_t cross_answers;
    int64_t short_answers;
    int64_t double_answers;
    int64_t wrong_id_answers;
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
    GHashTable *reservations; /* key to count */
    GQueue waiting;           /* struct rs_worker_job */
    uint32_t running;
    bool draining;
    struct rs_worker_faults faults;
    uint32_t shown_in_flight; /* what the load endpoint tells */
    uint32_t shown_queued;
    uint32_t peak_in_flight; /* most that ran or waited at once */
    GHashTable *refusals;    /* reason to count */
    char *last_id;           /* of the last answer, for crossed ones */
    char *last_body;
};

/* One request, from its arrival until its answer. */
struct rs_worker_job {
    struct rs_worker *worker;
    h2o_req_t *req;
    uv_timer_t timer;
    char *request_id;
    char *method;
    char *path_service; /* first segment of the path */
    char *path_key;     /* second segment */
    char *key;          /* for the record */
    char *holder;
    char *slice_text; /* empty when the request has none */
    uint64_t slice;
    struct rs_grants_fence fence;
    int64_t deadline_ms;
    int64_t start_ms;
    int64_t wall_start_us;
    const char *outcome;
    const char *reason; /* NULL when it took effect */
    uint64_t count;     /* reservations of the key */
};

int64_t RsWorker_ClockMs(const struct rs_worker *worker);

/* Jobs */
struct rs_worker_job *RsWorker_NewJob(struct rs_worker *worker,
                                      h2o_req_t *req);
void RsWorker_EndJob(struct rs_worker_job *job);

/* Admission */
void RsWorker_Admit(struct rs_worker_job *job);
void RsWorker_ReleaseSlot(struct rs_worker *worker);

/* Answers */
void RsWorker_Answer(struct rs_worker_job *job);

/* The calls that are no work */
bool RsWorker_HandleControl(struct rs_worker *worker, h2o_req_t *req);

#endif
