/* Callers send further requests before the first one is answered, and read the
 * answers late. Their node is stopped meanwhile. The rule LOST is broken if
 * the first request of a connection, which a worker has run and answered in
 * full, gets no complete answer. usage: reader RECORD TROUBLE */

#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/bed-3/deployment.h"
#include "review/bed-3/wire.h"

#define WORKERS 3
#define NODES 2
#define STOPPED 0 /* the node that gets SIGTERM */
#define CALLERS 4
#define WORK_MS 550
#define ANSWER_BYTES 9000
#define WINDOW_BYTES 4096
#define FOLLOWERS 13
#define FOLLOW_EVERY_MS 200
#define STOP_AFTER_MS 100
#define READ_WITHIN_MS 4000
#define CALM_MS 5000
#define SERVED_WITHIN_MS 20000

static const struct rs_bed_worker workers[] = {
    {"i-00a1c2d0", "tile-archive", false, WORK_MS},
    {"i-00a1c2d1", "tile-archive", false, WORK_MS},
    {"i-00a1c2d2", "tile-archive", false, WORK_MS},
};

static const char config[] =
    "{\"version\":\"00000001\",\"routes\":{\"r-1\":{"
    "\"host\":\"lista.example\",\"prefix\":\"/tiles/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":3000,\"priority\":1,\"service\":\"tile-archive\","
    "\"max_attempts\":2}},"
    "\"services\":{\"tile-archive\":{\"health_path\":\"/health\","
    "\"max_connections\":510,\"warmup_s\":3.0,\"warmup_per_s\":3.6}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct rs_bed bed;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static long lost;
static long whole;

static void
send_request(int fd, long caller, int number)
{
    char text[512];
    int size = snprintf(text, sizeof(text),
                        "GET /tiles/a?bytes=%d HTTP/1.1\r\n"
                        "Host: lista.example\r\nX-Request-Id: c%ld-%d\r\n"
                        "X-Deadline-Ms: 6000\r\n\r\n",
                        ANSWER_BYTES, caller, number);
    bool sent = RsBed_Send(fd, text, (size_t)size);
    RsBed_Record("caller %ld sends request c%ld-%d: %d", caller, caller,
                 number, sent);
}

/* Reads the first answer. Returns its status if it is complete, 0 if its
 * connection ended before, and the status below 0 if it isn't complete. */
static int
read_first(int fd, long caller)
{
    char *data = calloc(1, 2 * ANSWER_BYTES);
    size_t size = 0;
    ssize_t got = 1;
    int64_t end_ms = RsBed_NowMs() + READ_WITHIN_MS;
    int status = 0;
    size_t needed = 2 * ANSWER_BYTES - 1;
    while (size < needed && got > 0 && RsBed_NowMs() < end_ms) {
        struct pollfd readable = {.fd = fd, .events = POLLIN};
        poll(&readable, 1, READ_WITHIN_MS);
        got = recv(fd, data + size, needed - size, 0);
        size += got > 0 ? (size_t)got : 0;
        char *end = strstr(data, "\r\n\r\n");
        char *length = strstr(data, "content-length: ");
        if (end != NULL && status == 0) {
            sscanf(data, "HTTP/1.1 %3d", &status);
            needed =
                (size_t)(end - data) + 4 +
                (length != NULL && length < end
                     ? strtoul(length + strlen("content-length: "), NULL, 10)
                     : ANSWER_BYTES);
        }
    }
    RsBed_Record("caller %ld has read %zu of %zu bytes, status %d, %s", caller,
                 size, needed, status,
                 got < 0    ? "reset"
                 : got == 0 ? "end"
                            : "open");
    free(data);
    return size >= needed ? status : -status;
}

/* Sends requests one after the other, and then reads. */
static void *
run_caller(void *arg)
{
    long caller = (long)arg;
    int fd = RsBed_ConnectCaller(&bed, STOPPED, WINDOW_BYTES);
    for (int i = 0; i <= FOLLOWERS; i++) {
        send_request(fd, caller, i);
        RsBed_SleepMs(FOLLOW_EVERY_MS);
    }
    int status = read_first(fd, caller);
    pthread_mutex_lock(&lock);
    whole += status == 200;
    lost += status <= 0;
    pthread_mutex_unlock(&lock);
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    pthread_t callers[CALLERS];
    if (!RsBed_Begin(&bed, argc, argv)) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    RsBed_PutConfig(&bed, config);
    for (int i = 0; i < WORKERS; i++) {
        RsBed_StartWorker(&bed, i, &workers[i]);
    }
    for (int i = 0; i < NODES; i++) {
        RsBed_StartNode(&bed, i, 0.2);
    }
    for (int i = 0; i < NODES; i++) {
        if (!RsBed_AwaitServed(&bed, i, "/tiles/a", -1, SERVED_WITHIN_MS)) {
            return RsBed_End(&bed, RsBed_NOT_RUN);
        }
    }
    RsBed_SleepMs(CALM_MS);
    for (long i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, run_caller, (void *)i);
    }
    RsBed_SleepMs(STOP_AFTER_MS);
    if (RsBed_HasTrouble()) {
        RsBed_Record("node %d gets SIGTERM", STOPPED);
        kill(bed.nodes[STOPPED], SIGTERM);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    RsBed_Record("first requests: %ld answered in full, %ld lost", whole,
                 lost);
    printf("LOST: %ld of %d first requests lost\n", lost, CALLERS);
    if (whole + lost < CALLERS) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    return RsBed_End(&bed, lost > 0 ? RsBed_BROKEN : RsBed_HELD);
}
