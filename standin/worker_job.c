#include <string.h>

#include "core/clock.h"
#include "standin/worker_state.h"

#define NO_DEADLINE_MS INT64_MAX

/* Returns a copy of a header's value, or an empty text if it is absent. */
static char *
copy_header(const h2o_req_t *req, const char *name)
{
    h2o_iovec_t value = RsStandinServer_Header(req, name);
    return value.base != NULL ? g_strndup(value.base, value.len)
                              : g_strdup("");
}

/* Copies the first two segments of the path: the service and the key. */
static void
read_path(struct rs_worker_job *job, const h2o_req_t *req)
{
    char *path =
        g_strndup(req->path.base,
                  req->query_at != SIZE_MAX ? req->query_at : req->path.len);
    char **segments = g_strsplit(path + 1, "/", 3);
    bool has_key = segments[0] != NULL && segments[1] != NULL;
    job->path_service = g_strdup(segments[0] != NULL ? segments[0] : "");
    job->path_key = g_strdup(has_key ? segments[1] : "");
    g_strfreev(segments);
    g_free(path);
}

/* Reads the fence, `EPOCH.STEP`, and the slice. A missing or malformed
 * slice ID gives slice 0, which no grant is expected to contain. */
static void
read_fence(struct rs_worker_job *job, const h2o_req_t *req)
{
    char *fence = copy_header(req, "x-fence");
    char *dot = NULL;
    if (RsId_Parse(job->slice_text, &job->slice) != 0) {
        job->slice = 0;
    }
    job->fence.epoch = g_ascii_strtoull(fence, &dot, 10);
    job->fence.step = *dot == '.' ? g_ascii_strtoull(dot + 1, NULL, 10) : 0;
    g_free(fence);
}

/* Returns a job for a request that has just arrived. It is freed with
 * RsWorker_CloseJob(). */
struct rs_worker_job *
RsWorker_NewJob(struct rs_worker *worker, h2o_req_t *req)
{
    struct rs_worker_job *job = g_new0(struct rs_worker_job, 1);
    char *deadline = copy_header(req, "x-deadline-ms");
    job->worker = worker;
    job->req = req;
    uv_timer_init(worker->loop, &job->timer);
    job->timer.data = job;
    job->request_id = copy_header(req, "x-request-id");
    job->method = g_strndup(req->method.base, req->method.len);
    read_path(job, req);
    job->key = copy_header(req, "x-key");
    if (job->key[0] == '\0') {
        g_free(job->key);
        job->key = g_strdup(job->path_key);
    }
    job->holder = copy_header(req, "x-holder");
    job->slice_text = copy_header(req, "x-slice");
    read_fence(job, req);
    job->deadline_ms = deadline[0] != '\0'
                           ? g_ascii_strtoll(deadline, NULL, 10)
                           : NO_DEADLINE_MS;
    g_free(deadline);
    return job;
}

static void
free_job(uv_handle_t *handle)
{
    struct rs_worker_job *job = handle->data;
    g_free(job->request_id);
    g_free(job->method);
    g_free(job->path_service);
    g_free(job->path_key);
    g_free(job->key);
    g_free(job->holder);
    g_free(job->slice_text);
    g_free(job);
}

/* Frees a job after its request was answered or dropped. */
void
RsWorker_CloseJob(struct rs_worker_job *job)
{
    uv_close((uv_handle_t *)&job->timer, free_job);
}
