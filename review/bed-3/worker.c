/* A stand-in of a worker. It registers itself in the store, runs requests,
 * and takes grants and releases of keys if it is sharded. It writes to the
 * record what it was granted and what it ran. From SIGUSR1 to SIGUSR2 it is
 * cut off from all nodes, but not from the store: nothing that they send
 * arrives. From SIGTERM on it reports that it is draining, and goes on serving
 * for 8 s. Its time of day is ahead by CLOCK_AHEAD_MS.
 * usage: worker ID SERVICE PORT STORE_PORT SHARDED WORK_MS */

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/bed-3/wire.h"

#define KEYS 65536
#define SLOTS 2
#define QUEUE 8
#define HEARTBEAT_MS 870
#define DECIMAL 10
#define CUT_CHECK_MS 5
#define DRAINING_MS 8000
#define TEXT_BYTES 256
#define PART_BYTES 1024

static struct {
    const char *id;
    const char *service;
    int port;
    int store_port;
    bool sharded;
    int work_ms;
    int64_t born_ms;
} self;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t slot_free = PTHREAD_COND_INITIALIZER;
static int64_t hold_until_ms[KEYS];
static int64_t highest_fence[KEYS];
static int running_on[KEYS];
static int running;
static int waiting;
static volatile sig_atomic_t is_cut;
static volatile sig_atomic_t is_draining;

static void
on_cut(int number)
{
    is_cut = number == SIGUSR1;
}

static void
on_terminate(int number)
{
    is_draining = number == SIGTERM;
}

static void
report(int64_t sequence)
{
    json_t *value = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I}", "service", self.service,
        "address", "", "zone", "sul-poa", "version", "v1", "capacity", SLOTS,
        "state", is_draining ? "draining" : "ready", "warmup_left_ms", 0,
        "sequence", (json_int_t)sequence, "born", (json_int_t)self.born_ms);
    char address[TEXT_BYTES];
    snprintf(address, sizeof(address), "127.0.0.1:%d", self.port);
    json_object_set_new(value, "address", json_string(address));
    char *text = json_dumps(value, JSON_COMPACT);
    char *encoded = g_base64_encode((const guchar *)text, strlen(text));
    json_t *body = json_pack(
        "{s:[],s:[{s:s,s:s,s:s,s:s}],s:[]}", "precondition", "writes", "table",
        "servers", "part", "", "key", self.id, "value", encoded, "deletes");
    char *call = json_dumps(body, JSON_COMPACT);
    RsBed_Post(self.store_port, "/rows-tx", call);
    free(call);
    json_decref(body);
    g_free(encoded);
    free(text);
    json_decref(value);
}

/* Reports every HEARTBEAT_MS, and at once when the worker begins to drain. */
static void *
run_heartbeat(void *arg)
{
    int64_t drained_at_ms = 0;
    int64_t next_ms = 0;
    int64_t sequence = 0;
    for (;;) {
        bool begins = is_draining && drained_at_ms == 0;
        if (begins || RsBed_NowMs() >= next_ms) {
            report(++sequence);
            next_ms = RsBed_NowMs() + HEARTBEAT_MS;
        }
        if (begins) {
            RsBed_Record("draining %s born %lld accepted by the store",
                         self.id, (long long)self.born_ms);
            drained_at_ms = RsBed_NowMs();
        }
        if (drained_at_ms > 0 &&
            RsBed_NowMs() - drained_at_ms >= DRAINING_MS) {
            exit(0);
        }
        RsBed_SleepMs(CUT_CHECK_MS);
    }
    return arg;
}

static int64_t
number_of(const json_t *object, const char *field)
{
    return json_integer_value(json_object_get(object, field));
}

/* Handles a grant. Returns the status of the answer. */
static int
take_grant(const json_t *order)
{
    int64_t first = number_of(order, "from");
    int64_t last = number_of(order, "target");
    int64_t fence = number_of(order, "fence");
    int64_t hold_ms = number_of(order, "hold_ms");
    bool stale = false;
    for (int64_t key = first; key <= last; key++) {
        stale |= highest_fence[key] > fence;
    }
    for (int64_t key = first; key <= last && !stale; key++) {
        highest_fence[key] = fence;
        hold_until_ms[key] = RsBed_NowMs() + hold_ms;
    }
    RsBed_Record("grant %s born %lld keys %lld %lld fence %lld hold %lld %s",
                 self.id, (long long)self.born_ms, (long long)first,
                 (long long)last, (long long)fence, (long long)hold_ms,
                 stale ? "refused" : "taken");
    return stale ? 409 : 200;
}

/* Handles a release: waits until no work on the keys is running. */
static void
release(const json_t *order)
{
    int64_t first = number_of(order, "from");
    int64_t last = number_of(order, "target");
    int64_t fence = number_of(order, "fence");
    for (int64_t key = first; key <= last; key++) {
        highest_fence[key] = MAX(highest_fence[key], fence);
        hold_until_ms[key] = 0;
    }
    RsBed_Record("release %s born %lld keys %lld %lld fence %lld", self.id,
                 (long long)self.born_ms, (long long)first, (long long)last,
                 (long long)fence);
    for (int64_t key = first; key <= last; key++) {
        while (running_on[key] > 0) {
            pthread_cond_wait(&slot_free, &lock);
        }
    }
}

static bool
answer(int fd, int status, const char *id, const char *extra, const char *body)
{
    char headers[PART_BYTES];
    snprintf(headers, sizeof(headers),
             "x-request-id: %s\r\nx-instance-id: %s\r\n"
             "x-instance-load: %d,%d,%d,100\r\n%s",
             id, self.id, running, waiting, SLOTS, extra);
    return RsBed_Answer(fd, status, headers, body);
}

/* Returns the body of an answer, as long as the query asks for, which the
 * caller frees. */
static char *
make_body(const struct rs_bed_message *call, const char *id)
{
    char bytes[TEXT_BYTES];
    RsBed_Query(call, "bytes", bytes, sizeof(bytes));
    size_t size = MAX(strtoul(bytes, NULL, DECIMAL), PART_BYTES);
    char *text = calloc(1, size + 1);
    memset(text, 'x', size);
    text[snprintf(text, PART_BYTES, "%s at %s", id, self.id)] = ' ';
    return text;
}

/* Runs a request once there is a slot. The caller holds the lock. */
static bool
run_request(int fd, const struct rs_bed_message *call, const char *id)
{
    char key_text[TEXT_BYTES];
    RsBed_Header(call, "x-shard-key", key_text, sizeof(key_text));
    int64_t key = self.sharded ? strtoll(key_text, NULL, DECIMAL) : 0;
    if (waiting >= QUEUE) {
        return answer(fd, 503, id, "x-not-executed: 1\r\n", "");
    }
    waiting++;
    while (running >= SLOTS) {
        pthread_cond_wait(&slot_free, &lock);
    }
    waiting--;
    if (self.sharded && RsBed_NowMs() >= hold_until_ms[key]) {
        return answer(fd, 421, id, "x-not-executed: 1\r\n", "");
    }
    running++;
    running_on[key]++;
    RsBed_Record("run %s born %lld request %s %s fence %lld", self.id,
                 (long long)self.born_ms, id, call->path,
                 (long long)highest_fence[key]);
    pthread_mutex_unlock(&lock);
    RsBed_SleepMs(self.work_ms);
    pthread_mutex_lock(&lock);
    running--;
    running_on[key]--;
    pthread_cond_broadcast(&slot_free);
    char *text = make_body(call, id);
    bool sent = answer(fd, 200, id, "x-server-signature: s\r\n", text);
    free(text);
    return sent;
}

static bool
handle_call(int fd, const struct rs_bed_message *call)
{
    char id[TEXT_BYTES];
    char target[TEXT_BYTES];
    RsBed_Header(call, "x-request-id", id, sizeof(id));
    if (RsBed_Header(call, "x-target-instance", target, sizeof(target)) &&
        strcmp(target, self.id) != 0) {
        return answer(fd, 421, id, "x-not-executed: 1\r\n", "");
    }
    if (strcmp(call->path, "/health") == 0) {
        return answer(fd, 200, id, "", "");
    }
    bool is_grant = strcmp(call->path, "/grant") == 0;
    if (is_grant || strcmp(call->path, "/release") == 0) {
        json_t *order = json_loads(call->body, 0, NULL);
        int status = 200;
        if (is_grant) {
            status = take_grant(order);
        }
        else {
            release(order);
        }
        json_decref(order);
        return answer(fd, status, id, is_grant ? "" : "x-handover: h\r\n", "");
    }
    return run_request(fd, call, id);
}

static void
serve(int fd)
{
    struct rs_bed_stream stream;
    struct rs_bed_message *call = calloc(1, sizeof(*call));
    bool open = true;
    RsBed_Open(&stream, fd);
    while (open && RsBed_Read(&stream, call)) {
        if (is_cut) {
            break;
        }
        pthread_mutex_lock(&lock);
        open = handle_call(fd, call);
        pthread_mutex_unlock(&lock);
        RsBed_Free(call);
    }
    while (is_cut) {
        RsBed_SleepMs(CUT_CHECK_MS);
    }
    RsBed_Free(call);
    RsBed_Close(&stream);
    free(call);
}

int
main(int argc, char **argv)
{
    pthread_t thread;
    if (argc != 7) {
        return 2;
    }
    signal(SIGUSR1, on_cut);
    signal(SIGUSR2, on_cut);
    signal(SIGTERM, on_terminate);
    self.id = argv[1];
    self.service = argv[2];
    self.port = (int)strtol(argv[3], NULL, DECIMAL);
    self.store_port = (int)strtol(argv[4], NULL, DECIMAL);
    self.sharded = strcmp(argv[5], "1") == 0;
    self.work_ms = (int)strtol(argv[6], NULL, DECIMAL);
    const char *ahead = getenv("CLOCK_AHEAD_MS");
    self.born_ms =
        RsBed_WallMs() + (ahead != NULL ? strtoll(ahead, NULL, DECIMAL) : 0);
    int listener = RsBed_Listen("127.0.0.1", self.port);
    if (listener < 0) {
        return 2;
    }
    RsBed_Record("worker %s starts, born %lld", self.id,
                 (long long)self.born_ms);
    pthread_create(&thread, NULL, run_heartbeat, NULL);
    RsBed_Serve(listener, serve);
    return 0;
}
