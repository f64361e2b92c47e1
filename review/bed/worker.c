/* Workers that follow the users' pages, and the check of the rule OWNER on
 * what they were granted and run. */

#include "review/bed/bed.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_RUNS 20000
#define MAX_QUEUED 8
#define HEALTH_MS 5 /* what a worker takes for its health answer */
#define WORK_MS 100 /* unless the path names another duration */
#define POLL_MS 5
#define REPORT_EVERY_MS 500
#define JUDGE_EVERY_MS 20
#define MAX_SHARED_MS                                                         \
    500 /* rule OWNER: two holders for over half a second                     \
         */
#define DEFAULT_DEADLINE_MS 10000

struct run {
    char id[40];
    uint32_t count;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct rs_bed_worker *workers[RsBed_MAX_WORKERS];
static size_t worker_count;
static struct run runs[MAX_RUNS];
static size_t run_count;
static int64_t shared_since_ms[RsBed_KEYS];
static bool shared_reported;
static uint64_t next_handover = 1;

static struct run *
find_run(const char *id)
{
    for (size_t i = 0; i < run_count; i++) {
        if (strcmp(runs[i].id, id) == 0) {
            return &runs[i];
        }
    }
    return NULL;
}

static void
count_run(const char *id)
{
    struct run *run = find_run(id);
    if (run == NULL && run_count < MAX_RUNS) {
        run = &runs[run_count++];
        snprintf(run->id, sizeof(run->id), "%s", id);
    }
    if (run != NULL) {
        run->count++;
    }
}

/* Returns how often a request has run. */
uint32_t
RsBedWorker_Runs(const char *request_id)
{
    pthread_mutex_lock(&lock);
    const struct run *run = find_run(request_id);
    uint32_t count = run != NULL ? run->count : 0;
    pthread_mutex_unlock(&lock);
    return count;
}

/* Returns whether a request has run. */
bool
RsBedWorker_HasRun(const char *request_id)
{
    return RsBedWorker_Runs(request_id) > 0;
}

/* Answers. */

/* Sends an answer with the headers that a worker of these sites adds. `extra`
 * is a text of whole header lines. */
static int
answer(struct rs_bed_worker *worker, int fd, int status, const char *extra,
       const char *body)
{
    char text[2048];
    int size =
        snprintf(text, sizeof(text),
                 "HTTP/1.1 %d Answer\r\n%sX-Instance-Load: %u,%u,%u\r\n"
                 "Keep-Alive: timeout=10\r\nContent-Length: %zu\r\n\r\n%s",
                 status, extra, worker->running, worker->waiting,
                 worker->slots, strlen(body), body);
    return RsBedHttp_SendAll(fd, text, (size_t)size);
}

/* Answers that the request was not run. */
static int
reject(struct rs_bed_worker *worker, int fd, int status, const char *id)
{
    char extra[256];
    snprintf(extra, sizeof(extra),
             "X-Request-Id: %s\r\nX-Not-Executed: 1\r\n"
             "X-Instance-Id: %s\r\n",
             id, worker->id);
    return answer(worker, fd, status, extra, "");
}

/* Grants and releases. */

/* Judges a grant: no other worker may be at work on the keys before its hold
 * would have run out. */
static void
judge_grant(const struct rs_bed_worker *to, uint32_t first, uint32_t last,
            int64_t now_ms)
{
    for (size_t i = 0; i < worker_count; i++) {
        const struct rs_bed_worker *other = workers[i];
        if (other == to || !other->up ||
            strcmp(other->service, to->service) != 0) {
            continue;
        }
        for (uint32_t key = first; key <= last; key++) {
            if (other->active[key] > 0 &&
                now_ms < other->granted_until_ms[key]) {
                RsBed_Break("OWNER: %s is given key %u, on which %s is still "
                            "at work, %lld ms before the hold of %s would "
                            "have run out",
                            to->id, key, other->id,
                            (long long)(other->granted_until_ms[key] - now_ms),
                            other->id);
                return;
            }
        }
    }
}

/* Judges the epoch number of a grant: it must be above all with which other
 * workers had the keys. */
static void
judge_fence(const struct rs_bed_worker *to, uint32_t first, uint32_t last,
            uint64_t fence)
{
    for (size_t i = 0; i < worker_count; i++) {
        const struct rs_bed_worker *other = workers[i];
        if (other == to || strcmp(other->service, to->service) != 0) {
            continue;
        }
        for (uint32_t key = first; key <= last; key++) {
            if (other->granted_fence[key] >= fence) {
                RsBed_Break(
                    "OWNER: %s takes key %u with epoch %llu, %s had "
                    "it with %llu and its hold ends in %lld ms",
                    to->id, key, (unsigned long long)fence, other->id,
                    (unsigned long long)other->granted_fence[key],
                    (long long)(other->hold_until_ms[key] - RsBed_NowMs()));
                return;
            }
        }
    }
}

/* Applies a grant. Returns the HTTP status. */
static int
apply_grant(struct rs_bed_worker *worker, const json_t *body, int64_t now_ms)
{
    uint32_t first =
        (uint32_t)json_integer_value(json_object_get(body, "from"));
    uint32_t last =
        (uint32_t)json_integer_value(json_object_get(body, "target"));
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(body, "fence"));
    int64_t hold_ms = json_integer_value(json_object_get(body, "hold_ms"));
    bool is_new = false;
    if (last >= RsBed_KEYS || first > last || hold_ms <= 0) {
        return 400;
    }
    for (uint32_t key = first; key <= last; key++) {
        if (worker->seen[key] > fence) {
            return 409;
        }
    }
    for (uint32_t key = first; key <= last; key++) {
        is_new |= worker->hold_until_ms[key] <= now_ms;
    }
    if (is_new) {
        RsBed_Record("%s is granted keys %u to %u, epoch %llu, %lld ms",
                     worker->id, first, last, (unsigned long long)fence,
                     (long long)hold_ms);
        judge_grant(worker, first, last, now_ms);
        judge_fence(worker, first, last, fence);
    }
    for (uint32_t key = first; key <= last; key++) {
        worker->seen[key] = fence;
        worker->granted_fence[key] = fence;
        worker->hold_until_ms[key] = now_ms + hold_ms;
        worker->granted_until_ms[key] = now_ms + hold_ms;
    }
    return 200;
}

static bool
is_at_work(const struct rs_bed_worker *worker, uint32_t first, uint32_t last)
{
    for (uint32_t key = first; key <= last; key++) {
        if (worker->active[key] > 0) {
            return true;
        }
    }
    return false;
}

/* Stops new work on the keys, waits for the end of what runs on them, and
 * answers. */
static int
release(struct rs_bed_worker *worker, int fd, const json_t *body)
{
    char extra[64];
    uint32_t first =
        (uint32_t)json_integer_value(json_object_get(body, "from"));
    uint32_t last =
        (uint32_t)json_integer_value(json_object_get(body, "target"));
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(body, "fence"));
    if (last >= RsBed_KEYS || first > last) {
        return answer(worker, fd, 400, "", "");
    }
    pthread_mutex_lock(&lock);
    RsBed_Record("%s is asked to release keys %u to %u, epoch %llu",
                 worker->id, first, last, (unsigned long long)fence);
    for (uint32_t key = first; key <= last; key++) {
        worker->hold_until_ms[key] = 0;
        if (fence > worker->seen[key]) {
            worker->seen[key] = fence;
            worker->granted_fence[key] = fence;
        }
    }
    while (is_at_work(worker, first, last)) {
        pthread_mutex_unlock(&lock);
        RsBed_SleepMs(POLL_MS);
        pthread_mutex_lock(&lock);
    }
    snprintf(extra, sizeof(extra), "X-Handover: %016llx\r\n",
             (unsigned long long)next_handover++);
    pthread_mutex_unlock(&lock);
    RsBed_Record("%s has ended its work on keys %u to %u", worker->id, first,
                 last);
    return answer(worker, fd, 200, extra, "");
}

/* Handles an order. */
static int
handle_order(struct rs_bed_worker *worker, struct rs_bed_stream *stream,
             const struct rs_bed_message *message)
{
    int sent = 0;
    json_t *body =
        json_loads(message->body != NULL ? message->body : "", 0, NULL);
    if (strcmp(message->path, "/release") == 0) {
        sent = release(worker, stream->fd, body);
    }
    else {
        pthread_mutex_lock(&lock);
        int status = apply_grant(worker, body, RsBed_NowMs());
        pthread_mutex_unlock(&lock);
        sent = answer(worker, stream->fd, status, "", "");
    }
    json_decref(body);
    return sent;
}

/* Requests. */

/* Returns the duration that a path names (?ms=N). */
static int64_t
read_work_ms(const char *path)
{
    const char *text = strstr(path, "ms=");
    return text != NULL ? strtol(text + 3, NULL, 10) : WORK_MS;
}

static bool
holds(const struct rs_bed_worker *worker, int64_t key)
{
    return !worker->sharded ||
           (key >= 0 && RsBed_NowMs() < worker->hold_until_ms[key]);
}

/* Waits for a slot. Returns 0, or the status with which the request is
 * rejected. The lock must be held. */
static int
take_slot(struct rs_bed_worker *worker, int64_t key, int64_t until_ms)
{
    if (!holds(worker, key)) {
        return 421;
    }
    if (worker->running >= worker->slots && worker->waiting >= MAX_QUEUED) {
        return 503;
    }
    worker->waiting++;
    while (worker->running >= worker->slots && RsBed_NowMs() < until_ms) {
        pthread_mutex_unlock(&lock);
        RsBed_SleepMs(POLL_MS);
        pthread_mutex_lock(&lock);
    }
    worker->waiting--;
    if (worker->running >= worker->slots) {
        return 503;
    }
    if (!holds(worker, key)) {
        return 421;
    }
    worker->running++;
    if (worker->sharded) {
        worker->active[key]++;
    }
    return 0;
}

/* Works on a request that has a slot. Returns the status of the answer, 0 if
 * the connection has ended. */
static int
work(struct rs_bed_worker *worker, int fd, int64_t key, int64_t until_ms,
     int64_t work_ms)
{
    int64_t end_ms = RsBed_NowMs() + work_ms;
    int status = 200;
    while (RsBed_NowMs() < end_ms && status == 200) {
        RsBed_SleepMs(POLL_MS);
        if (RsBedHttp_HungUp(fd)) {
            status = 0;
        }
        else if (RsBed_NowMs() >= until_ms) {
            status = 504;
        }
    }
    pthread_mutex_lock(&lock);
    if (status == 200 && worker->sharded &&
        RsBed_NowMs() >= worker->granted_until_ms[key]) {
        status = 500;
    }
    worker->running--;
    if (worker->sharded) {
        worker->active[key]--;
    }
    pthread_mutex_unlock(&lock);
    return status;
}

static int
handle_request(struct rs_bed_worker *worker, int fd,
               const struct rs_bed_message *message)
{
    char id[128] = "";
    char text[64];
    char extra[512];
    int64_t key = -1;
    int64_t until_ms = RsBed_NowMs() + DEFAULT_DEADLINE_MS;
    if (!RsBedHttp_Header(message, "x-request-id", id, sizeof(id))) {
        return reject(worker, fd, 400, "");
    }
    if (RsBedHttp_Header(message, "x-deadline-ms", text, sizeof(text))) {
        until_ms = RsBed_NowMs() + strtol(text, NULL, 10);
    }
    if (RsBedHttp_Header(message, "x-shard-key", text, sizeof(text))) {
        key = strtol(text, NULL, 10);
    }
    pthread_mutex_lock(&lock);
    int status = take_slot(worker, key, until_ms);
    if (status == 0) {
        count_run(id);
    }
    pthread_mutex_unlock(&lock);
    if (status != 0) {
        return reject(worker, fd, status, id);
    }
    RsBed_Record("%s begins request %s, key %lld", worker->id, id,
                 (long long)key);
    status = work(worker, fd, key, until_ms, read_work_ms(message->path));
    RsBed_Record("%s ends request %s with %d", worker->id, id, status);
    if (status == 0) {
        return -1;
    }
    snprintf(extra, sizeof(extra),
             "X-Request-Id: %s\r\nX-Server-Signature: %s.%s\r\n", id,
             worker->id, id);
    return answer(worker, fd, status, extra, "done\n");
}

static void
serve(void *arg, struct rs_bed_stream *stream)
{
    struct rs_bed_worker *worker = arg;
    struct rs_bed_message message;
    char target[64];
    char extra[128];
    int sent = 0;
    while (sent == 0 && RsBedHttp_Read(stream, &message) == 0) {
        bool named = RsBedHttp_Header(&message, "x-target-instance", target,
                                      sizeof(target));
        snprintf(extra, sizeof(extra), "X-Instance-Id: %s\r\n", worker->id);
        if (named && strcmp(target, worker->id) != 0) {
            sent = answer(worker, stream->fd, 421, extra, "");
        }
        else if (strcmp(message.path, "/health") == 0) {
            RsBed_SleepMs(HEALTH_MS);
            sent = answer(worker, stream->fd, worker->draining ? 503 : 200,
                          extra, "");
        }
        else if (strcmp(message.path, "/grant") == 0 ||
                 strcmp(message.path, "/release") == 0) {
            sent = handle_order(worker, stream, &message);
        }
        else {
            sent = handle_request(worker, stream->fd, &message);
        }
        RsBedHttp_Clear(&message);
    }
}

/* Reports and the judge. */

/* Writes the worker's entry into the store. */
void
RsBedWorker_WriteRow(struct rs_bed_worker *worker)
{
    char text[512];
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\""
             ",\"version\":\"v1\",\"capacity\":%u,\"state\":\"%s\","
             "\"warmup_left_ms\":0,\"sequence\":%llu,\"born\":%lld}",
             worker->service, worker->port, worker->zone, worker->slots,
             worker->draining ? "draining" : "ready",
             (unsigned long long)++worker->sequence,
             (long long)worker->born_wall_ms);
    RsBedStore_Put("servers", worker->id, text);
}

/* Lets the worker leave: it says so in the store, and goes on serving. */
void
RsBedWorker_SetDraining(struct rs_bed_worker *worker)
{
    worker->draining = true;
    RsBedWorker_WriteRow(worker);
}

static void *
report(void *arg)
{
    struct rs_bed_worker *worker = arg;
    for (;;) {
        if (worker->reports) {
            RsBedWorker_WriteRow(worker);
        }
        RsBed_SleepMs(REPORT_EVERY_MS);
    }
    return NULL;
}

/* Counts the workers of sharded services that hold a key; there is one sharded
 * service. */
static uint32_t
count_holders(uint32_t key, int64_t now_ms)
{
    uint32_t count = 0;
    for (size_t i = 0; i < worker_count; i++) {
        count += workers[i]->sharded && workers[i]->up &&
                 now_ms < workers[i]->hold_until_ms[key];
    }
    return count;
}

static void *
judge(void *arg)
{
    for (;;) {
        pthread_mutex_lock(&lock);
        int64_t now_ms = RsBed_NowMs();
        uint32_t shared = 0;
        int64_t longest_ms = 0;
        for (uint32_t key = 0; key < RsBed_KEYS; key++) {
            if (count_holders(key, now_ms) < 2) {
                shared_since_ms[key] = 0;
                continue;
            }
            if (shared_since_ms[key] == 0) {
                shared_since_ms[key] = now_ms;
            }
            shared++;
            int64_t shared_ms = now_ms - shared_since_ms[key];
            longest_ms = shared_ms > longest_ms ? shared_ms : longest_ms;
        }
        if (longest_ms > MAX_SHARED_MS && !shared_reported) {
            shared_reported = true;
            RsBed_Break("OWNER: two workers that are up hold the same %u keys "
                        "for over %d ms",
                        shared, MAX_SHARED_MS);
        }
        pthread_mutex_unlock(&lock);
        RsBed_SleepMs(JUDGE_EVERY_MS);
    }
    return NULL;
}

/* Starts a worker with two slots, which reports at once. Returns NULL if that
 * fails. */
struct rs_bed_worker *
RsBedWorker_Start(const char *id, const char *service, const char *zone,
                  bool sharded)
{
    struct rs_bed_worker *worker = calloc(1, sizeof(*worker));
    pthread_t thread;
    snprintf(worker->id, sizeof(worker->id), "%s", id);
    snprintf(worker->service, sizeof(worker->service), "%s", service);
    snprintf(worker->zone, sizeof(worker->zone), "%s", zone);
    worker->sharded = sharded;
    worker->slots = 2;
    worker->up = true;
    worker->reports = true;
    worker->born_wall_ms = RsBed_WallMs();
    if (worker_count == RsBed_MAX_WORKERS ||
        RsBedHttp_Listen("127.0.0.1", &worker->port, serve, worker) != 0 ||
        pthread_create(&thread, NULL, report, worker) != 0) {
        free(worker);
        return NULL;
    }
    pthread_detach(thread);
    pthread_mutex_lock(&lock);
    workers[worker_count++] = worker;
    bool first = worker_count == 1;
    pthread_mutex_unlock(&lock);
    if (first && pthread_create(&thread, NULL, judge, NULL) == 0) {
        pthread_detach(thread);
    }
    return worker;
}

/* Returns how many keys the worker holds now. */
uint32_t
RsBedWorker_CountHeld(const struct rs_bed_worker *worker)
{
    uint32_t count = 0;
    int64_t now_ms = RsBed_NowMs();
    pthread_mutex_lock(&lock);
    for (uint32_t key = 0; key < RsBed_KEYS; key++) {
        count += now_ms < worker->hold_until_ms[key];
    }
    pthread_mutex_unlock(&lock);
    return count;
}

/* Returns a key that the worker holds now, or RsBed_KEYS. */
uint32_t
RsBedWorker_FindHeldKey(const struct rs_bed_worker *worker)
{
    int64_t now_ms = RsBed_NowMs();
    uint32_t found = RsBed_KEYS;
    pthread_mutex_lock(&lock);
    for (uint32_t key = 0; key < RsBed_KEYS && found == RsBed_KEYS; key++) {
        if (now_ms < worker->hold_until_ms[key]) {
            found = key;
        }
    }
    pthread_mutex_unlock(&lock);
    return found;
}
