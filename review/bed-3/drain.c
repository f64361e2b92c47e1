/* A worker crashes soon after its start, and starts again under the id that it
 * had, while the time of day of its machine jumps back. Much later it reports
 * that it is draining. The rule DRAIN is broken if requests reach it later
 * than drain_ms after the store has accepted that.
 * usage: drain RECORD TROUBLE */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/bed-3/deployment.h"
#include "review/bed-3/wire.h"

#define WORKERS 8
#define DRAINING 7 /* the index of the worker that crashes and drains */
#define NODES 2
#define CALLERS 36
#define WORK_MS 60
#define PAUSE_MS 60
#define CLOCK_AHEAD_TEXT "2000"
#define LIFE_MS 1000
#define DOWN_MS 300
#define CALM_MS 8000
#define AFTER_MS 7000
#define DRAIN_MS 2000
#define SERVED_WITHIN_MS 20000
#define LINE_BYTES 1024

static const struct rs_bed_worker workers[] = {
    {"i-5be0d1a0", "reservas", false, WORK_MS},
    {"i-5be0d1a1", "reservas", false, WORK_MS},
    {"i-5be0d1a2", "reservas", false, WORK_MS},
    {"i-5be0d1a3", "reservas", false, WORK_MS},
    {"i-5be0d1a4", "reservas", false, WORK_MS},
    {"i-5be0d1a5", "reservas", false, WORK_MS},
    {"i-5be0d1a6", "reservas", false, WORK_MS},
    {"i-5be0d1a7", "reservas", false, WORK_MS},
};

static const char config[] =
    "{\"version\":\"00000001\",\"routes\":{\"r-1\":{"
    "\"host\":\"lista.example\",\"prefix\":\"/reservas/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":1500,"
    "\"target_latency_ms\":400,\"priority\":0,\"service\":\"reservas\","
    "\"max_attempts\":2}},"
    "\"services\":{\"reservas\":{\"health_path\":\"/health\","
    "\"max_connections\":110,\"warmup_s\":3.0,\"warmup_per_s\":3.6}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct rs_bed bed;
static bool ended;

static void *
run_caller(void *arg)
{
    long number = (long)arg;
    while (!ended) {
        RsBed_Call(&bed, (int)(number % NODES), "/reservas/a", -1);
        RsBed_SleepMs(PAUSE_MS);
    }
    return NULL;
}

/* Starts the worker that will drain: with the disruption it crashes after a
 * second, and its machine's time of day jumps back before it starts again. */
static void
start_draining_worker(void)
{
    if (RsBed_HasTrouble()) {
        setenv("CLOCK_AHEAD_MS", CLOCK_AHEAD_TEXT, 1);
    }
    RsBed_StartWorker(&bed, DRAINING, &workers[DRAINING]);
    unsetenv("CLOCK_AHEAD_MS");
    RsBed_SleepMs(LIFE_MS);
    RsBed_KillWorker(&bed, DRAINING);
    RsBed_SleepMs(DOWN_MS);
    RsBed_StartWorker(&bed, DRAINING, &workers[DRAINING]);
}

/* Reads the record. Returns how many requests the worker ran later than
 * DRAIN_MS after its report was accepted, or -1 if it never drained. */
static long
count_late(const char *path)
{
    char line[LINE_BYTES];
    char id[64];
    long long at_ms = 0;
    long long accepted_at_ms = 0;
    long late = -1;
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "%lld draining %63s", &at_ms, id) == 2) {
            accepted_at_ms = at_ms;
            late = 0;
        }
        else if (late >= 0 && sscanf(line, "%lld run %63s", &at_ms, id) == 2 &&
                 strcmp(id, workers[DRAINING].id) == 0) {
            late += at_ms > accepted_at_ms + DRAIN_MS;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return late;
}

int
main(int argc, char **argv)
{
    pthread_t callers[CALLERS];
    if (!RsBed_Begin(&bed, argc, argv)) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    RsBed_PutConfig(&bed, config);
    for (int i = 0; i < DRAINING; i++) {
        RsBed_StartWorker(&bed, i, &workers[i]);
    }
    for (int i = 0; i < NODES; i++) {
        RsBed_StartNode(&bed, i, 0.2);
    }
    for (int i = 0; i < NODES; i++) {
        if (!RsBed_AwaitServed(&bed, i, "/reservas/a", -1, SERVED_WITHIN_MS)) {
            return RsBed_End(&bed, RsBed_NOT_RUN);
        }
    }
    for (long i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, run_caller, (void *)i);
    }
    start_draining_worker();
    RsBed_SleepMs(CALM_MS);
    kill(bed.workers[DRAINING], SIGTERM);
    RsBed_SleepMs(AFTER_MS);
    ended = true;
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    long late = count_late(argv[1]);
    RsBed_Record("requests later than drain_ms after the report: %ld", late);
    printf("DRAIN: %ld requests later than drain_ms\n", late);
    if (late < 0) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    return RsBed_End(&bed, late > 0 ? RsBed_BROKEN : RsBed_HELD);
}
