#include "review/rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/param.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define BACKLOG 256
#define STORE_MS 4 /* that a call to the store takes */
#define MAX_ROWS 256
#define BEAT_MS 870
#define QUEUE 8 /* requests that wait at a worker */
/* Offsets from the base port. */
#define CALLER_PORT 0
#define READINESS_PORT 1
#define PEER_PORT 2 /* and the next one */
#define ADMIN_PORT 5
#define STORE_PORT 10
#define WORKER_PORT 20
#define FIRST_PORT 21000
#define PORT_SPAN 10000
#define PORTS 40
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define TEXT_BYTES 1024
#define HOST_BYTES 24
#define MAX_SEGMENT_BYTES 1460
#define WINDOW_BYTES 16384
#define READ_TIMEOUT_S 20
#define READ_BYTES 65536
#define DEADLINE_MS_TEXT "2000"
#define STATUS_OK 200

static const char program[] = "target/rattanshed/rattanshed";
static const char *const zones[RsRig_NODES] = {"sul-poa", "sul-cwb",
                                               "sul-fln"};

struct row {
    char table[64];
    char key[200];
    char *value; /* base64 */
    uint64_t version;
    bool deleted;
};

pthread_mutex_t RsRig_Lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t job_ended = PTHREAD_COND_INITIALIZER;
static struct row rows[MAX_ROWS];
static size_t row_count;
static uint64_t store_version;
static FILE *record;
static int64_t opened_at_ms;
static char folder[64];
static uint16_t base_port;
static pid_t pids[RsRig_NODES];
static struct rs_rig_worker *workers[RsRig_MAX_WORKERS];
static uint32_t worker_count;

/* Returns the monotonic time in ms. */
int64_t
RsRig_NowMs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static int64_t
wall_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

void
RsRig_Sleep(int64_t span_ms)
{
    struct timespec span = {span_ms / MS_PER_S,
                            (span_ms % MS_PER_S) * NS_PER_MS};
    nanosleep(&span, NULL);
}

/* Returns whether the script is to bring about its disruption. */
bool
RsRig_HasTrouble(void)
{
    const char *text = getenv("TROUBLE");
    return text == NULL || strcmp(text, "0") != 0;
}

/* Writes a line to record.txt. */
void
RsRig_Record(const char *format, ...)
{
    va_list args;
    pthread_mutex_lock(&record_lock);
    fprintf(record, "%8.3f ",
            (double)(RsRig_NowMs() - opened_at_ms) / MS_PER_S);
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

/* Kills all nodes, removes the temporary folder and ends the script. */
void
RsRig_End(int code)
{
    char path[TEXT_BYTES];
    for (uint32_t i = 0; i < RsRig_NODES; i++) {
        RsRig_KillNode(i);
        snprintf(path, sizeof(path), "%s/n%u.yaml", folder, i);
        unlink(path);
        if (getenv("KEEP_LOGS") == NULL) {
            snprintf(path, sizeof(path), "%s/n%u.log", folder, i);
            unlink(path);
        }
    }
    rmdir(folder);
    RsRig_Record("end: %s", code == RsRig_HELD     ? "the rule held"
                            : code == RsRig_BROKEN ? "the rule was broken"
                                                   : "could not run");
    fflush(NULL);
    _exit(code);
}

/* Sockets. */

static int
listen_at(const char *host, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    inet_pton(AF_INET, host, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, BACKLOG) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
start_thread(void *(*run)(void *), void *arg)
{
    pthread_t thread;
    if (pthread_create(&thread, NULL, run, arg) == 0) {
        pthread_detach(thread);
    }
}

/* Writes all bytes. Returns false if the connection is broken. */
bool
RsRig_Write(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t count = send(fd, data, size, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        data += count;
        size -= (size_t)count;
    }
    return true;
}

/* Copies the value of a header to `value`; empty if it is absent. */
static void
copy_header(const char *head, const char *name, char *value, size_t size)
{
    size_t name_bytes = strlen(name);
    value[0] = '\0';
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, name, name_bytes) != 0 ||
            line[2 + name_bytes] != ':') {
            continue;
        }
        const char *text = line + 2 + name_bytes + 1;
        text += strspn(text, " ");
        size_t length = MIN(strcspn(text, "\r"), size - 1);
        memcpy(value, text, length);
        value[length] = '\0';
        return;
    }
}

/* Reads a request with its body. Returns false at the end of the
 * connection. */
static bool
read_request(struct rs_rig_conn *conn)
{
    char text[32];
    free(conn->body);
    conn->body = NULL;
    conn->body_bytes = 0;
    char *end = NULL;
    for (;;) {
        conn->buffer[conn->buffered] = '\0';
        end = strstr(conn->buffer, "\r\n\r\n");
        if (end != NULL || conn->buffered >= sizeof(conn->buffer) - 1) {
            break;
        }
        ssize_t count = recv(conn->fd, conn->buffer + conn->buffered,
                             sizeof(conn->buffer) - 1 - conn->buffered, 0);
        if (count <= 0) {
            return false;
        }
        conn->buffered += (size_t)count;
    }
    if (end == NULL) {
        return false;
    }
    conn->head_bytes = (size_t)(end - conn->buffer) + 4;
    memcpy(conn->head, conn->buffer, conn->head_bytes);
    conn->head[conn->head_bytes] = '\0';
    copy_header(conn->head, "content-length", text, sizeof(text));
    conn->body_bytes = strtoul(text, NULL, 10);
    conn->body = calloc(1, conn->body_bytes + 1);
    size_t have = MIN(conn->buffered - conn->head_bytes, conn->body_bytes);
    memcpy(conn->body, conn->buffer + conn->head_bytes, have);
    conn->buffered -= conn->head_bytes + have;
    memmove(conn->buffer, conn->buffer + conn->head_bytes + have,
            conn->buffered);
    while (have < conn->body_bytes) {
        ssize_t count =
            recv(conn->fd, conn->body + have, conn->body_bytes - have, 0);
        if (count <= 0) {
            return false;
        }
        have += (size_t)count;
    }
    return true;
}

/* The store. */

static char *
encode_base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    char *out = calloc(1, (size + 2) / 3 * 4 + 1);
    char *next = out;
    for (size_t i = 0; i < size; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;
        bits |= i + 1 < size ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        bits |= i + 2 < size ? (uint32_t)(unsigned char)text[i + 2] : 0;
        *next++ = digits[bits >> 18 & 63];
        *next++ = digits[bits >> 12 & 63];
        *next++ = i + 1 < size ? digits[bits >> 6 & 63] : '=';
        *next++ = i + 2 < size ? digits[bits & 63] : '=';
    }
    return out;
}

static struct row *
find_row(const char *table, const char *key)
{
    for (size_t i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, table) == 0 &&
            strcmp(rows[i].key, key) == 0) {
            return &rows[i];
        }
    }
    return NULL;
}

/* Writes a row, whose value is base64, or deletes it if `value` is NULL. */
static void
write_row(const char *table, const char *key, const char *value)
{
    struct row *row = find_row(table, key);
    if (row == NULL && row_count < MAX_ROWS) {
        row = &rows[row_count++];
        snprintf(row->table, sizeof(row->table), "%s", table);
        snprintf(row->key, sizeof(row->key), "%s", key);
    }
    if (row == NULL) {
        return;
    }
    free(row->value);
    row->value = strdup(value != NULL ? value : "");
    row->deleted = value == NULL;
    row->version = store_version;
}

/* Writes a row as the operator or a worker. */
void
RsRig_PutRow(const char *table, const char *key, const char *value)
{
    char *encoded = encode_base64(value);
    pthread_mutex_lock(&store_lock);
    store_version++;
    write_row(table, key, encoded);
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
    free(encoded);
}

void
RsRig_DeleteRow(const char *table, const char *key)
{
    pthread_mutex_lock(&store_lock);
    store_version++;
    write_row(table, key, NULL);
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
}

static json_t *
pack_row(const struct row *row)
{
    json_t *json = json_pack("{s:s,s:s,s:s,s:s,s:I}", "table", row->table,
                             "part", "", "key", row->key, "value", row->value,
                             "api_version", (json_int_t)row->version);
    if (row->deleted) {
        json_object_set_new(json, "deleted", json_true());
    }
    return json;
}

static int
compare_keys(const void *a, const void *b)
{
    const struct row *left = a;
    const struct row *right = b;
    return strcmp(left->key, right->key);
}

static int
compare_versions(const void *a, const void *b)
{
    const struct row *left = a;
    const struct row *right = b;
    return (left->version > right->version) - (left->version < right->version);
}

/* Returns the rows of a table that are newer than `after`. Deleted ones are
 * listed only in a feed. */
static json_t *
list_rows(const char *table, uint64_t after, bool feed)
{
    json_t *list = json_array();
    qsort(rows, row_count, sizeof(rows[0]),
          feed ? compare_versions : compare_keys);
    for (size_t i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, table) == 0 && rows[i].version > after &&
            (feed || !rows[i].deleted)) {
            json_array_append_new(list, pack_row(&rows[i]));
        }
    }
    return list;
}

static json_t *
failed_conditions(const json_t *body)
{
    json_t *list = json_array();
    bool hold = true;
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(body, "precondition"), i, item)
    {
        const struct row *row =
            find_row(json_string_value(json_object_get(item, "table")),
                     json_string_value(json_object_get(item, "key")));
        json_int_t actual =
            row != NULL && !row->deleted ? (json_int_t)row->version : 0;
        hold = hold && actual == json_integer_value(
                                     json_object_get(item, "api_version"));
        if (row != NULL) {
            json_array_append_new(list, pack_row(row));
        }
    }
    if (hold) {
        json_decref(list);
        return NULL;
    }
    return list;
}

static json_t *
transact(const char *text, int *status)
{
    json_t *body = json_loads(text, 0, NULL);
    json_t *failed = failed_conditions(body);
    size_t i;
    json_t *item;
    *status = failed != NULL ? 412 : STATUS_OK;
    if (failed == NULL) {
        store_version++;
        json_array_foreach(json_object_get(body, "writes"), i, item)
        {
            write_row(json_string_value(json_object_get(item, "table")),
                      json_string_value(json_object_get(item, "key")),
                      json_string_value(json_object_get(item, "value")));
        }
        pthread_cond_broadcast(&store_changed);
    }
    json_decref(body);
    return failed != NULL ? failed : json_array();
}

/* Returns the value of a query parameter as a number, and copies its text. */
static uint64_t
copy_query(const char *head, const char *name, char *value, size_t size)
{
    char pattern[32];
    snprintf(pattern, sizeof(pattern), "%s=", name);
    const char *line_end = strchr(head, '\r');
    const char *at = strstr(head, pattern);
    value[0] = '\0';
    if (at == NULL || at > line_end) {
        return 0;
    }
    at += strlen(pattern);
    size_t length = MIN(strcspn(at, "& "), size - 1);
    memcpy(value, at, length);
    value[length] = '\0';
    return strtoull(value, NULL, 10);
}

/* Waits for rows that are newer than `after`. */
static json_t *
wait_for_rows(const char *table, uint64_t after, uint64_t wait_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += (time_t)(wait_ms / MS_PER_S);
    until.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
    if (until.tv_nsec >= MS_PER_S * (long)NS_PER_MS) {
        until.tv_sec++;
        until.tv_nsec -= MS_PER_S * (long)NS_PER_MS;
    }
    for (;;) {
        json_t *list = list_rows(table, after, true);
        if (json_array_size(list) > 0 ||
            pthread_cond_timedwait(&store_changed, &store_lock, &until) != 0) {
            return list;
        }
        json_decref(list);
    }
}

static json_t *
handle_store_call(const struct rs_rig_conn *conn, int *status)
{
    char table[64];
    char text[32];
    *status = STATUS_OK;
    copy_query(conn->head, "table", table, sizeof(table));
    if (strncmp(conn->head, "POST /rows-tx", 13) == 0) {
        return transact(conn->body, status);
    }
    if (strncmp(conn->head, "GET /rows-get", 13) == 0) {
        return list_rows(table, 0, false);
    }
    uint64_t after = copy_query(conn->head, "after", text, sizeof(text));
    uint64_t wait_ms = copy_query(conn->head, "wait_ms", text, sizeof(text));
    return wait_for_rows(table, after, wait_ms);
}

static void *
serve_store(void *arg)
{
    struct rs_rig_conn *conn = arg;
    char head[256];
    while (read_request(conn)) {
        int status = 0;
        RsRig_Sleep(STORE_MS);
        pthread_mutex_lock(&store_lock);
        json_t *list = handle_store_call(conn, &status);
        json_t *body = json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "has_more",
                                 0, "api_version", (json_int_t)store_version,
                                 "now_ms", (json_int_t)RsRig_NowMs());
        pthread_mutex_unlock(&store_lock);
        char *text = json_dumps(body, JSON_COMPACT);
        json_decref(body);
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d Store\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 status, strlen(text));
        bool sent = RsRig_Write(conn->fd, head, strlen(head)) &&
                    RsRig_Write(conn->fd, text, strlen(text));
        free(text);
        if (!sent) {
            break;
        }
    }
    close(conn->fd);
    free(conn->body);
    free(conn);
    return NULL;
}

static void *
accept_store(void *arg)
{
    int listener = *(int *)arg;
    for (;;) {
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        struct rs_rig_conn *conn = calloc(1, sizeof(*conn));
        conn->fd = fd;
        start_thread(serve_store, conn);
    }
    return NULL;
}

/* Workers. */

struct rs_rig_worker *
RsRig_Worker(uint32_t index)
{
    return workers[index];
}

uint32_t
RsRig_WorkerCount(void)
{
    return worker_count;
}

/* Sends an answer with a length, and keeps it as the connection's last one.
 * `headers` has its line ends. */
bool
RsRig_Answer(struct rs_rig_conn *conn, int status, const char *headers,
             const char *body)
{
    struct rs_rig_worker *worker = conn->worker;
    pthread_mutex_lock(&RsRig_Lock);
    uint32_t running = worker->running;
    if (worker->answered != NULL) {
        worker->answered(worker);
    }
    pthread_mutex_unlock(&RsRig_Lock);
    snprintf(conn->last_answer, sizeof(conn->last_answer),
             "HTTP/1.1 %d Answer\r\n%sX-Instance-Id: %s\r\n"
             "X-Instance-Load: %u,%u,%u,100\r\nKeep-Alive: timeout=10\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             status, headers, worker->id, MIN(running, worker->capacity),
             running > worker->capacity ? running - worker->capacity : 0,
             worker->capacity, strlen(body), body);
    return RsRig_Write(conn->fd, conn->last_answer, strlen(conn->last_answer));
}

/* Answers with the request's id, if it has one. `headers` has its line ends.
 */
static bool
answer_with_id(struct rs_rig_conn *conn, int status, const char *headers)
{
    char id[40];
    char all[240];
    copy_header(conn->head, "x-request-id", id, sizeof(id));
    snprintf(all, sizeof(all), "%s%s%s%s", headers,
             id[0] != '\0' ? "X-Request-Id: " : "", id,
             id[0] != '\0' ? "\r\n" : "");
    return RsRig_Answer(conn, status, all, "");
}

static bool
reject(struct rs_rig_conn *conn, int status)
{
    return answer_with_id(conn, status, "X-Not-Executed: 1\r\n");
}

/* Applies a grant. Returns the status of its answer. */
static int
apply_grant(struct rs_rig_worker *worker, const struct rs_rig_conn *conn)
{
    json_t *body = json_loads(conn->body, 0, NULL);
    uint32_t first =
        (uint32_t)json_integer_value(json_object_get(body, "from"));
    uint32_t last =
        (uint32_t)json_integer_value(json_object_get(body, "target"));
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(body, "fence"));
    int64_t hold_ms = json_integer_value(json_object_get(body, "hold_ms"));
    int status = STATUS_OK;
    json_decref(body);
    for (uint32_t key = first; key <= last; key++) {
        if (worker->seen_fence[key] > fence) {
            status = 409;
        }
    }
    for (uint32_t key = first; key <= last && status == STATUS_OK; key++) {
        worker->seen_fence[key] = fence;
        worker->held_until_ms[key] = RsRig_NowMs() + hold_ms;
        worker->granted_until_ms[key] = worker->held_until_ms[key];
    }
    if (status == STATUS_OK && worker->granted != NULL) {
        worker->granted(worker, first, last);
    }
    return status;
}

static bool
has_job_in(const struct rs_rig_worker *worker, uint32_t first, uint32_t last)
{
    for (uint32_t i = 0; i < RsRig_MAX_JOBS; i++) {
        if (worker->jobs[i].running && worker->jobs[i].key >= first &&
            worker->jobs[i].key <= last) {
            return true;
        }
    }
    return false;
}

/* Stops new work on the keys and returns when the running work on them has
 * ended. */
static void
apply_release(struct rs_rig_worker *worker, const struct rs_rig_conn *conn)
{
    json_t *body = json_loads(conn->body, 0, NULL);
    uint32_t first =
        (uint32_t)json_integer_value(json_object_get(body, "from"));
    uint32_t last =
        (uint32_t)json_integer_value(json_object_get(body, "target"));
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(body, "fence"));
    json_decref(body);
    for (uint32_t key = first; key <= last; key++) {
        worker->seen_fence[key] = MAX(worker->seen_fence[key], fence);
        worker->held_until_ms[key] = 0;
    }
    RsRig_Record("%s: release of %u to %u with fence %llu%s", worker->id,
                 first, last, (unsigned long long)fence,
                 has_job_in(worker, first, last) ? ", work is running" : "");
    while (has_job_in(worker, first, last)) {
        pthread_cond_wait(&job_ended, &RsRig_Lock);
    }
}

static bool
handle_order(struct rs_rig_conn *conn, bool release)
{
    struct rs_rig_worker *worker = conn->worker;
    int status = STATUS_OK;
    if (release && worker->before_release != NULL) {
        worker->before_release(conn);
    }
    pthread_mutex_lock(&RsRig_Lock);
    if (release) {
        apply_release(worker, conn);
    }
    else {
        status = apply_grant(worker, conn);
    }
    pthread_mutex_unlock(&RsRig_Lock);
    return answer_with_id(conn, status,
                          release ? "X-Handover: 5c0e7a21d94b36f8\r\n" : "");
}

/* Begins work on a request. Returns NULL, with the status of the rejection, if
 * it can't run. */
static struct rs_rig_job *
begin_job(struct rs_rig_worker *worker, const char *id, uint32_t key,
          int *rejection)
{
    *rejection = 503;
    if (worker->running >= worker->capacity + QUEUE) {
        return NULL;
    }
    worker->running++;
    uint32_t active = 0;
    do {
        active = 0;
        for (uint32_t i = 0; i < RsRig_MAX_JOBS; i++) {
            active += worker->jobs[i].running;
        }
        if (active >= worker->capacity) {
            pthread_cond_wait(&job_ended, &RsRig_Lock);
        }
    } while (active >= worker->capacity);
    if (worker->sharded && worker->held_until_ms[key] <= RsRig_NowMs()) {
        worker->running--;
        pthread_cond_broadcast(&job_ended);
        *rejection = 421;
        return NULL;
    }
    struct rs_rig_job *job = worker->jobs;
    while (job->running) {
        job++;
    }
    job->running = true;
    job->key = key;
    job->began_at_ms = RsRig_NowMs();
    snprintf(job->id, sizeof(job->id), "%s", id);
    return job;
}

static bool
handle_request(struct rs_rig_conn *conn)
{
    struct rs_rig_worker *worker = conn->worker;
    char id[40];
    char key[16];
    char headers[200];
    int rejection = 0;
    copy_header(conn->head, "x-request-id", id, sizeof(id));
    copy_header(conn->head, "x-shard-key", key, sizeof(key));
    pthread_mutex_lock(&RsRig_Lock);
    struct rs_rig_job *job = begin_job(
        worker, id, (uint32_t)strtoul(key, NULL, 10) % RsRig_KEYS, &rejection);
    pthread_mutex_unlock(&RsRig_Lock);
    if (job == NULL) {
        return reject(conn, rejection);
    }
    RsRig_Record("%s: runs %s, key %s", worker->id, id, key);
    RsRig_Sleep(worker->work_ms);
    pthread_mutex_lock(&RsRig_Lock);
    job->running = false;
    worker->running--;
    pthread_cond_broadcast(&job_ended);
    pthread_mutex_unlock(&RsRig_Lock);
    if (worker->answer != NULL) {
        return worker->answer(conn, id);
    }
    snprintf(headers, sizeof(headers),
             "X-Request-Id: %s\r\nX-Server-Signature: sig-%s\r\n", id, id);
    return RsRig_Answer(conn, STATUS_OK, headers, id);
}

/* Replaces `former` in the list of the worker's open connections. */
static void
replace_fd(struct rs_rig_worker *worker, int former, int fd)
{
    pthread_mutex_lock(&RsRig_Lock);
    for (uint32_t i = 0; i < RsRig_MAX_FDS; i++) {
        if (worker->fds[i] == former) {
            worker->fds[i] = fd;
            break;
        }
    }
    pthread_mutex_unlock(&RsRig_Lock);
}

static void *
serve_worker(void *arg)
{
    struct rs_rig_conn *conn = arg;
    char expected[64];
    bool open = true;
    replace_fd(conn->worker, 0, conn->fd);
    while (open && read_request(conn)) {
        copy_header(conn->head, "x-target-instance", expected,
                    sizeof(expected));
        bool misdirected =
            expected[0] != '\0' && strcmp(expected, conn->worker->id) != 0;
        if (misdirected) {
            open = reject(conn, 421);
        }
        else if (strncmp(conn->head, "POST /grant ", 12) == 0) {
            open = handle_order(conn, false);
        }
        else if (strncmp(conn->head, "POST /release ", 14) == 0) {
            open = handle_order(conn, true);
        }
        else if (strncmp(conn->head, "GET /health ", 12) == 0) {
            open = answer_with_id(
                conn, conn->worker->draining ? 503 : STATUS_OK, "");
        }
        else {
            open = handle_request(conn);
        }
    }
    replace_fd(conn->worker, conn->fd, 0);
    close(conn->fd);
    free(conn->body);
    free(conn);
    return NULL;
}

static void *
accept_worker(void *arg)
{
    struct rs_rig_worker *worker = arg;
    while (!worker->gone) {
        int listener = worker->listener;
        int fd =
            listener >= 0 ? accept4(listener, NULL, NULL, SOCK_CLOEXEC) : -1;
        if (fd < 0) {
            RsRig_Sleep(1);
            continue;
        }
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        struct rs_rig_conn *conn = calloc(1, sizeof(*conn));
        conn->fd = fd;
        conn->worker = worker;
        start_thread(serve_worker, conn);
    }
    return NULL;
}

static void
write_report(struct rs_rig_worker *worker)
{
    char text[TEXT_BYTES];
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"%s\",\"version\":\"v1\",\"capacity\":%u,"
             "\"state\":\"%s\",\"warmup_left_ms\":0,\"sequence\":%llu,"
             "\"born\":%lld}",
             worker->service, worker->port, worker->zone, worker->capacity,
             worker->draining ? "draining" : "ready",
             (unsigned long long)++worker->sequence,
             (long long)worker->born_ms);
    RsRig_PutRow("servers", worker->id, text);
}

static void *
report_workers(void *arg)
{
    for (;;) {
        RsRig_Sleep(BEAT_MS);
        for (uint32_t i = 0; i < worker_count; i++) {
            if (!workers[i]->gone) {
                write_report(workers[i]);
            }
        }
    }
    return NULL;
}

/* Starts a worker. What it points to must stay valid. */
void
RsRig_StartWorker(struct rs_rig_worker *worker)
{
    worker->port = (uint16_t)(base_port + WORKER_PORT + worker_count);
    worker->born_ms = wall_ms();
    worker->listener = listen_at("127.0.0.1", worker->port);
    if (worker->listener < 0) {
        RsRig_End(RsRig_NOT_RUN);
    }
    workers[worker_count++] = worker;
    RsRig_Record("%s: starts, service %s, port %u", worker->id,
                 worker->service, worker->port);
    write_report(worker);
    start_thread(accept_worker, worker);
}

/* Lets a worker report that it is draining. */
void
RsRig_DrainWorker(struct rs_rig_worker *worker)
{
    RsRig_Record("%s: reports draining", worker->id);
    worker->draining = true;
    write_report(worker);
}

/* Ends a worker: its row goes, and nobody listens at its address. */
void
RsRig_RemoveWorker(struct rs_rig_worker *worker)
{
    RsRig_Record("%s: leaves", worker->id);
    worker->gone = true;
    shutdown(worker->listener, SHUT_RDWR);
    close(worker->listener);
    RsRig_DeleteRow("servers", worker->id);
}

/* Ends all connections to a worker and refuses new ones, or accepts them
 * again. */
void
RsRig_CutWorker(struct rs_rig_worker *worker, bool cut)
{
    RsRig_Record("%s: connections are %s", worker->id,
                 cut ? "ended and refused" : "accepted");
    if (cut) {
        int listener = worker->listener;
        worker->listener = -1;
        shutdown(listener, SHUT_RDWR);
        close(listener);
        pthread_mutex_lock(&RsRig_Lock);
        for (uint32_t i = 0; i < RsRig_MAX_FDS; i++) {
            if (worker->fds[i] != 0) {
                shutdown(worker->fds[i], SHUT_RDWR);
            }
        }
        pthread_mutex_unlock(&RsRig_Lock);
        return;
    }
    worker->listener = listen_at("127.0.0.1", worker->port);
}

/* Nodes. */

static void
node_host(uint32_t node, char text[HOST_BYTES])
{
    snprintf(text, HOST_BYTES, "127.0.1.%u", node + 1);
}

static void
write_settings(uint32_t node, const char *path, bool bootstrap)
{
    char host[HOST_BYTES];
    FILE *file = fopen(path, "w");
    node_host(node, host);
    if (file == NULL) {
        RsRig_End(RsRig_NOT_RUN);
    }
    fprintf(file,
            "node:\n  name: \"edge-%s-1\"\n  zone: \"%s\"\n"
            "  address: \"%s\"\n  cpu_share: 0.2\n  link_mbps: 1000.0\n"
            "  memory_mb: 260\n  bootstrap: %s\n",
            zones[node], zones[node], host, bootstrap ? "true" : "false");
    fprintf(file,
            "listen:\n  callers: \"%s:%u\"\n  readiness: \"%s:%u\"\n"
            "  peer_port: %u\n  admin_port: %u\n"
            "store:\n  address: \"127.0.0.1:%u\"\n",
            host, base_port + CALLER_PORT, host, base_port + READINESS_PORT,
            base_port + PEER_PORT, base_port + ADMIN_PORT,
            base_port + STORE_PORT);
    fputs("bounds:\n  grace_s: 6\n  max_hold_ms: 10000\n  drain_ms: 2000\n"
          "  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 58\n"
          "  cold_factor: 1.5\n  cold_slack: 5\nload:\n  adaptive: true\n",
          file);
    fclose(file);
}

/* Starts a process of the product, as the deploy file says. */
void
RsRig_StartNode(uint32_t node, bool bootstrap)
{
    char settings[TEXT_BYTES];
    char log[TEXT_BYTES];
    snprintf(settings, sizeof(settings), "%s/n%u.yaml", folder, node);
    snprintf(log, sizeof(log), "%s/n%u.log", folder, node);
    write_settings(node, settings, bootstrap);
    pids[node] = fork();
    if (pids[node] == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (freopen(log, "a", stdout) == NULL) {
            _exit(RsRig_NOT_RUN);
        }
        execl(program, program, "--serve", "-c", settings, (char *)NULL);
        _exit(RsRig_NOT_RUN);
    }
    RsRig_Record("node %u: starts, pid %d", node, (int)pids[node]);
}

/* Sends a node SIGTERM. */
void
RsRig_StopNode(uint32_t node)
{
    RsRig_Record("node %u: SIGTERM, pid %d", node, (int)pids[node]);
    kill(pids[node], SIGTERM);
}

/* Waits until a node that was sent SIGTERM has ended. */
void
RsRig_AwaitEnd(uint32_t node)
{
    waitpid(pids[node], NULL, 0);
    RsRig_Record("node %u: ended, pid %d", node, (int)pids[node]);
    pids[node] = 0;
}

/* Kills a node with SIGKILL, if it runs. */
void
RsRig_KillNode(uint32_t node)
{
    if (pids[node] > 0) {
        kill(pids[node], SIGKILL);
        waitpid(pids[node], NULL, 0);
        RsRig_Record("node %u: killed, pid %d", node, (int)pids[node]);
        pids[node] = 0;
    }
}

/* Consumers. */

static int
connect_to(uint32_t node, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    char host[HOST_BYTES];
    int segment = MAX_SEGMENT_BYTES;
    int window = WINDOW_BYTES;
    struct timeval timeout = {.tv_sec = READ_TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    node_host(node, host);
    inet_pton(AF_INET, host, &address.sin_addr);
    /* As on a usual link, so that not all of a response is on its way at
     * once. */
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
read_head(struct rs_rig_call *call, const char *head)
{
    char text[64];
    if (sscanf(head, "HTTP/1.1 %d", &call->status) != 1) {
        call->status = 0;
    }
    copy_header(head, "content-length", text, sizeof(text));
    call->has_length = text[0] != '\0';
    call->length = strtoul(text, NULL, 10);
    copy_header(head, "transfer-encoding", text, sizeof(text));
    call->is_chunked = text[0] != '\0';
    copy_header(head, "x-server-signature", text, sizeof(text));
    call->is_signed = text[0] != '\0';
}

/* Reads until the response is complete by its framing or the connection has
 * ended. The body of a chunked response is counted with its framing. */
void
RsRig_ReadResponse(struct rs_rig_call *call, int fd)
{
    static const char last_chunk[] = "0\r\n\r\n";
    char head[RsRig_MAX_HEAD_BYTES] = "";
    size_t head_bytes = 0;
    char data[READ_BYTES];
    char tail[sizeof(last_chunk)] = "";
    size_t most = call->read_bytes > 0 ? call->read_bytes : sizeof(data);
    for (;;) {
        bool in_head = call->status == 0;
        if (call->read_every_ms > 0) {
            struct pollfd readable = {.fd = fd, .events = POLLIN};
            poll(&readable, 1, READ_TIMEOUT_S * MS_PER_S);
            RsRig_Sleep(call->read_every_ms);
        }
        ssize_t count =
            recv(fd, in_head ? head + head_bytes : data,
                 in_head ? sizeof(head) - 1 - head_bytes : most, 0);
        if (count <= 0) {
            call->was_reset = count < 0;
            call->looks_complete = count == 0 && call->status != 0 &&
                                   !call->is_chunked && !call->has_length;
            return;
        }
        const char *from = data;
        size_t size = (size_t)count;
        if (in_head) {
            head_bytes += size;
            head[head_bytes] = '\0';
            const char *end = strstr(head, "\r\n\r\n");
            if (end == NULL) {
                continue;
            }
            read_head(call, head);
            from = end + 4;
            size = head_bytes - (size_t)(from - head);
        }
        call->body_bytes += size;
        if (size >= sizeof(last_chunk) - 1) {
            memcpy(tail, from + size - (sizeof(last_chunk) - 1),
                   sizeof(last_chunk) - 1);
        }
        if (call->has_length
                ? call->body_bytes >= call->length
                : call->is_chunked && strcmp(tail, last_chunk) == 0) {
            call->looks_complete = true;
            return;
        }
        if (call->progress != NULL) {
            call->progress(call);
        }
    }
}

/* Opens a consumer's connection to a node. Returns -1 if that fails. */
int
RsRig_Connect(uint32_t node)
{
    return connect_to(node, (uint16_t)(base_port + CALLER_PORT));
}

/* Writes a GET request to `text` and gives it an id. */
void
RsRig_FormatRequest(struct rs_rig_call *call, char *text, size_t size)
{
    static uint32_t last_id;
    char key[64] = "";
    pthread_mutex_lock(&RsRig_Lock);
    snprintf(call->id, sizeof(call->id), "r%07u", ++last_id);
    pthread_mutex_unlock(&RsRig_Lock);
    if (call->key != NULL) {
        snprintf(key, sizeof(key), "X-Shard-Key: %s\r\n", call->key);
    }
    snprintf(text, size,
             "GET %s HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: %s\r\n"
             "X-Deadline-Ms: " DEADLINE_MS_TEXT "\r\n%s\r\n",
             call->path, call->id, key);
}

/* Sends a GET request on a connection of its own and reads the response. */
void
RsRig_Call(struct rs_rig_call *call)
{
    char text[TEXT_BYTES];
    RsRig_FormatRequest(call, text, sizeof(text));
    int fd = RsRig_Connect(call->node);
    if (fd >= 0) {
        if (RsRig_Write(fd, text, strlen(text))) {
            RsRig_ReadResponse(call, fd);
        }
        close(fd);
    }
}

/* Waits until a node's readiness check answers 200. */
bool
RsRig_AwaitReady(uint32_t node, int64_t within_ms)
{
    static const char text[] = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
    int64_t give_up_at_ms = RsRig_NowMs() + within_ms;
    while (RsRig_NowMs() < give_up_at_ms) {
        struct rs_rig_call call = {.node = node};
        int fd = connect_to(node, (uint16_t)(base_port + READINESS_PORT));
        if (fd >= 0) {
            if (RsRig_Write(fd, text, strlen(text))) {
                RsRig_ReadResponse(&call, fd);
            }
            close(fd);
        }
        if (call.status == STATUS_OK) {
            return true;
        }
        RsRig_Sleep(50);
    }
    return false;
}

/* Waits until each node serves a path. */
bool
RsRig_AwaitService(const char *path, const char *key, int64_t within_ms)
{
    int64_t give_up_at_ms = RsRig_NowMs() + within_ms;
    for (uint32_t node = 0; node < RsRig_NODES; node++) {
        int status = 0;
        while (status != STATUS_OK) {
            if (RsRig_NowMs() >= give_up_at_ms) {
                return false;
            }
            struct rs_rig_call call = {.node = node, .path = path, .key = key};
            RsRig_Call(&call);
            status = call.status;
            RsRig_Sleep(50);
        }
    }
    return true;
}

/* Returns whether all ports from a base port can be used. */
static bool
is_free(uint16_t base)
{
    for (uint16_t offset = 0; offset < PORTS; offset++) {
        for (uint32_t node = 0; node < RsRig_NODES + 1; node++) {
            char host[HOST_BYTES] = "127.0.0.1";
            if (node < RsRig_NODES) {
                node_host(node, host);
            }
            int fd = listen_at(host, (uint16_t)(base + offset));
            if (fd < 0) {
                return false;
            }
            close(fd);
        }
    }
    return true;
}

static const char config[] =
    "{\"version\":\"00000001\",\"routes\":{"
    "\"list-read\":{\"host\":\"review.example\",\"prefix\":\"/lists/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"listas\",\"max_attempts\":2},"
    "\"guide-download\":{\"host\":\"review.example\",\"prefix\":\"/guides/\","
    "\"kind\":\"download\",\"timeout_ms\":2000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"guias\",\"max_attempts\":2}},"
    "\"services\":{"
    "\"listas\":{\"health_path\":\"/health\",\"max_connections\":110,"
    "\"warmup_s\":3,\"warmup_per_s\":6.3,\"sharded\":true},"
    "\"guias\":{\"health_path\":\"/health\",\"max_connections\":110,"
    "\"warmup_s\":3,\"warmup_per_s\":6.3}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* Opens the record in `case_folder`, starts the store, and writes the first
 * configuration. */
void
RsRig_Open(const char *case_folder)
{
    static int listener;
    char path[TEXT_BYTES];
    snprintf(path, sizeof(path), "%s/record.txt", case_folder);
    record = fopen(path, "w");
    if (record == NULL) {
        _exit(RsRig_NOT_RUN);
    }
    opened_at_ms = RsRig_NowMs();
    signal(SIGPIPE, SIG_IGN);
    base_port = (uint16_t)(FIRST_PORT + getpid() * PORTS % PORT_SPAN);
    for (int tries = 0; tries < 20 && !is_free(base_port); tries++) {
        base_port = (uint16_t)(base_port + PORTS);
    }
    snprintf(folder, sizeof(folder), "/tmp/review-XXXXXX");
    if (mkdtemp(folder) == NULL || access(program, X_OK) != 0) {
        RsRig_End(RsRig_NOT_RUN);
    }
    listener = listen_at("127.0.0.1", (uint16_t)(base_port + STORE_PORT));
    if (listener < 0) {
        RsRig_End(RsRig_NOT_RUN);
    }
    RsRig_Record("trouble: %s", RsRig_HasTrouble() ? "yes" : "no");
    RsRig_PutRow("op", "config", config);
    start_thread(accept_store, &listener);
    start_thread(report_workers, NULL);
}
