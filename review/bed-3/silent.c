/* Workers of a service with keys are cut off from all nodes for some seconds,
 * a third of them or fewer at a time, and are sound again afterwards. They
 * never get keys again. The rule CONFIG is broken if requests on a route that
 * was added later, whose service has keys, are served less than a quarter as
 * often as those on the first route, long after all workers are back.
 * usage: silent RECORD TROUBLE */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include "review/bed-3/deployment.h"
#include "review/bed-3/wire.h"

#define WORKERS 8
#define KEYED_WORKERS 6
#define NODES 2
#define KEYS 65536
#define WORK_MS 200
#define KEYED_CALLERS 60
#define CALLERS (KEYED_CALLERS + 4)
#define CUT_MS 9000
#define BACK_MS 6000
#define SETTLE_MS 10000
#define STEADY_MS 15000
#define PAUSE_MS 1000
#define CALM_MS 5000
#define SERVED_WITHIN_MS 20000
#define MIN_REQUESTS 20
#define LEAST_SHARE 0.25

static const struct rs_bed_worker workers[] = {
    {"i-7f3a91c0", "listas", true, WORK_MS},
    {"i-7f3a91c1", "listas", true, WORK_MS},
    {"i-7f3a91c2", "listas", true, WORK_MS},
    {"i-7f3a91c3", "listas", true, WORK_MS},
    {"i-7f3a91c4", "listas", true, WORK_MS},
    {"i-7f3a91c5", "listas", true, WORK_MS},
    {"i-5be0d1a0", "guias", false, WORK_MS},
    {"i-5be0d1a1", "guias", false, WORK_MS},
};

/* Which workers are cut off: from the first to before the second of a row. */
static const int cuts[][2] = {{0, 2}, {2, 4}, {4, 5}};

#define FIRST_ROUTE                                                           \
    "\"r-first\":{\"host\":\"lista.example\",\"prefix\":\"/guias/\","         \
    "\"kind\":\"download\",\"timeout_ms\":1500,"                              \
    "\"target_latency_ms\":600,\"priority\":2,"                               \
    "\"service\":\"guias\",\"max_attempts\":2}"
#define LATER_ROUTE                                                           \
    ",\"r-later\":{\"host\":\"lista.example\",\"prefix\":\"/listas/\","       \
    "\"kind\":\"idempotent\",\"timeout_ms\":1500,"                            \
    "\"target_latency_ms\":600,\"priority\":1,"                               \
    "\"service\":\"listas\",\"max_attempts\":2}"
#define CONFIG(version, routes)                                               \
    "{\"version\":\"" version "\",\"routes\":{" routes "},"                   \
    "\"services\":{\"listas\":{\"health_path\":\"/health\","                  \
    "\"max_connections\":110,\"warmup_s\":3.0,\"warmup_per_s\":3.6,"          \
    "\"sharded\":true,\"warm_s\":2.0},"                                       \
    "\"guias\":{\"health_path\":\"/health\",\"max_connections\":110,"         \
    "\"warmup_s\":3.0,\"warmup_per_s\":3.6}},"                                \
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"     \
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"

static const char first_config[] = CONFIG("00000001", FIRST_ROUTE);
static const char later_config[] = CONFIG("00000003", FIRST_ROUTE LATER_ROUTE);

static struct rs_bed bed;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool counting;
static bool ended;
static struct {
    long sent;
    long served;
} tallies[2]; /* first route, later route */

/* Sends one request after the other. */
static void *
run_caller(void *arg)
{
    long number = (long)arg;
    long route = number < KEYED_CALLERS;
    for (long i = 0; !ended; i++) {
        bool counts = counting;
        int node = (int)(number % NODES);
        int key = (int)((number * 104729 + i * 7919) % KEYS);
        int status = route == 0 ? RsBed_Call(&bed, node, "/guias/a", -1)
                                : RsBed_Call(&bed, node, "/listas/a", key);
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

/* Starts the deployment. Returns false if it doesn't serve. */
static bool
start_deployment(void)
{
    RsBed_PutConfig(&bed, first_config);
    for (int i = 0; i < WORKERS; i++) {
        RsBed_StartWorker(&bed, i, &workers[i]);
    }
    for (int i = 0; i < NODES; i++) {
        RsBed_StartNode(&bed, i, 0.2);
    }
    if (!RsBed_AwaitServed(&bed, 0, "/guias/a", -1, SERVED_WITHIN_MS)) {
        return false;
    }
    RsBed_PutConfig(&bed, later_config);
    for (int key = 0; key < KEYS; key += KEYS / 8) {
        if (!RsBed_AwaitServed(&bed, 0, "/listas/a", key, SERVED_WITHIN_MS)) {
            return false;
        }
    }
    return RsBed_AwaitServed(&bed, 1, "/listas/a", 1, SERVED_WITHIN_MS);
}

/* Cuts the workers of one row off, and connects them again. */
static void
cut_off(const int cut[2])
{
    for (int i = cut[0]; i < cut[1] && RsBed_HasTrouble(); i++) {
        RsBed_Record("worker %d is cut off from the nodes", i);
        kill(bed.workers[i], SIGUSR1);
    }
    RsBed_SleepMs(CUT_MS);
    for (int i = cut[0]; i < cut[1] && RsBed_HasTrouble(); i++) {
        RsBed_Record("worker %d is connected again", i);
        kill(bed.workers[i], SIGUSR2);
    }
    RsBed_SleepMs(BACK_MS);
}

int
main(int argc, char **argv)
{
    pthread_t callers[CALLERS];
    if (!RsBed_Begin(&bed, argc, argv) || !start_deployment()) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    for (long i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, run_caller, (void *)i);
    }
    RsBed_SleepMs(CALM_MS);
    for (size_t i = 0; i < sizeof(cuts) / sizeof(cuts[0]); i++) {
        cut_off(cuts[i]);
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
