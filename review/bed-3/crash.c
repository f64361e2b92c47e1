/* All workers of a service crash at the same time and come back, twice. The
 * requests that were in flight, which had nothing to do with that, are refused
 * from then on. The rule CONFIG is broken if requests on a route that was
 * added later are served less than a quarter as often as those on the first
 * route, long after the workers are back.
 *
 * usage: crash RECORD TROUBLE */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "review/bed-3/deployment.h"
#include "review/bed-3/wire.h"

#define WORKERS 6
#define ROUNDS 2
#define NODES 4
#define CALLERS 24 /* half of them on each route */
#define WORK_MS 600
#define CALM_MS 5000
#define DOWN_MS 4000
#define SETTLE_MS 8000 /* until the workers are warm, and more */
#define STEADY_MS 20000
#define PAUSE_MS 150
#define SERVED_WITHIN_MS 20000
#define MIN_REQUESTS 20
#define LEAST_SHARE 0.25

static const struct rs_bed_worker workers[] = {
    {"i-00a1c2d0", "membership", false, WORK_MS},
    {"i-00a1c2d1", "membership", false, WORK_MS},
    {"i-00a1c2d2", "membership", false, WORK_MS},
    {"i-00a1c2d3", "membership", false, WORK_MS},
    {"i-00a1c2d4", "membership", false, WORK_MS},
    {"i-00a1c2d5", "membership", false, WORK_MS},
};

/* The same after each crash: a start is a new lifetime, mostly with a new id.
 */
static const struct rs_bed_worker new_workers[ROUNDS][WORKERS] = {
    {
        {"i-00b7e5f0", "membership", false, WORK_MS},
        {"i-00b7e5f1", "membership", false, WORK_MS},
        {"i-00b7e5f2", "membership", false, WORK_MS},
        {"i-00b7e5f3", "membership", false, WORK_MS},
        {"i-00b7e5f4", "membership", false, WORK_MS},
        {"i-00b7e5f5", "membership", false, WORK_MS},
    },
    {
        {"i-00c93a20", "membership", false, WORK_MS},
        {"i-00c93a21", "membership", false, WORK_MS},
        {"i-00c93a22", "membership", false, WORK_MS},
        {"i-00c93a23", "membership", false, WORK_MS},
        {"i-00c93a24", "membership", false, WORK_MS},
        {"i-00c93a25", "membership", false, WORK_MS},
    },
};

#define FIRST_ROUTE                                                           \
    "\"r-first\":{\"host\":\"lista.example\",\"prefix\":\"/audits/\","        \
    "\"kind\":\"idempotent\",\"timeout_ms\":6000,"                            \
    "\"target_latency_ms\":3000,\"priority\":1,"                              \
    "\"service\":\"membership\",\"max_attempts\":2}"
#define LATER_ROUTE                                                           \
    ",\"r-later\":{\"host\":\"lista.example\",\"prefix\":\"/schedule/\","     \
    "\"kind\":\"idempotent\",\"timeout_ms\":6000,"                            \
    "\"target_latency_ms\":3000,\"priority\":1,"                              \
    "\"service\":\"membership\",\"max_attempts\":2}"
#define CONFIG(version, routes)                                               \
    "{\"version\":\"" version "\",\"routes\":{" routes "},"                   \
    "\"services\":{\"membership\":{\"health_path\":\"/health\","              \
    "\"max_connections\":510,\"warmup_s\":3.0,\"warmup_per_s\":3.6}},"        \
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"     \
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"

static const char first_config[] = CONFIG("00000001", FIRST_ROUTE);
static const char later_config[] = CONFIG("00000004", FIRST_ROUTE LATER_ROUTE);

static struct rs_bed bed;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool counting;
static bool ended;
static struct {
    long sent;
    long served;
} tallies[2]; /* first route, later route */

/* Sends one request after the other. On the first route each is about another
 * thing; on the later one all are about the same. */
static void *
run_caller(void *arg)
{
    long number = (long)arg;
    long route = number % 2;
    char path[64];
    for (long i = 0; !ended; i++) {
        if (route == 0) {
            snprintf(path, sizeof(path), "/audits/%ld-%ld", number, i);
        }
        else {
            snprintf(path, sizeof(path), "/schedule/week");
        }
        bool counts = counting;
        int status = RsBed_Call(&bed, (int)(number / 2) % NODES, path, -1);
        pthread_mutex_lock(&lock);
        tallies[route].sent += counts;
        tallies[route].served += counts && status == 200;
        pthread_mutex_unlock(&lock);
        RsBed_SleepMs(PAUSE_MS);
    }
    return NULL;
}

static bool
is_broken(void)
{
    double first = (double)tallies[0].served / (double)(tallies[0].sent + 1);
    double later = (double)tallies[1].served / (double)(tallies[1].sent + 1);
    RsBed_Record("steady state: first route %ld of %ld served, later route "
                 "%ld of %ld",
                 tallies[0].served, tallies[0].sent, tallies[1].served,
                 tallies[1].sent);
    printf("CONFIG: first route %ld of %ld served, later route %ld of %ld\n",
           tallies[0].served, tallies[0].sent, tallies[1].served,
           tallies[1].sent);
    return tallies[1].sent >= MIN_REQUESTS && later < LEAST_SHARE * first;
}

/* Kills all workers at once, and starts them again with the ids of a round. */
static void
crash_workers(int round)
{
    for (int i = 0; i < WORKERS && RsBed_HasTrouble(); i++) {
        kill(bed.workers[i], SIGKILL); /* all, before any is awaited */
    }
    for (int i = 0; i < WORKERS && RsBed_HasTrouble(); i++) {
        RsBed_KillWorker(&bed, i);
    }
    RsBed_SleepMs(DOWN_MS);
    for (int i = 0; i < WORKERS && RsBed_HasTrouble(); i++) {
        RsBed_StartWorker(&bed, i, &new_workers[round][i]);
    }
}

int
main(int argc, char **argv)
{
    pthread_t callers[CALLERS];
    if (!RsBed_Begin(&bed, argc, argv)) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    RsBed_PutConfig(&bed, first_config);
    for (int i = 0; i < WORKERS; i++) {
        RsBed_StartWorker(&bed, i, &workers[i]);
    }
    for (int i = 0; i < NODES; i++) {
        RsBed_StartNode(&bed, i, 0.2);
    }
    if (!RsBed_AwaitServed(&bed, 0, "/audits/a", -1, SERVED_WITHIN_MS)) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    RsBed_PutConfig(&bed, later_config);
    for (int i = 0; i < NODES; i++) {
        if (!RsBed_AwaitServed(&bed, i, "/schedule/week", -1,
                               SERVED_WITHIN_MS)) {
            return RsBed_End(&bed, RsBed_NOT_RUN);
        }
    }
    for (long i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, run_caller, (void *)i);
    }
    for (int i = 0; i < ROUNDS; i++) {
        RsBed_SleepMs(CALM_MS);
        crash_workers(i);
    }
    RsBed_SleepMs(SETTLE_MS);
    counting = true;
    RsBed_SleepMs(STEADY_MS);
    ended = true;
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    return RsBed_End(&bed, is_broken() ? RsBed_BROKEN : RsBed_HELD);
}
