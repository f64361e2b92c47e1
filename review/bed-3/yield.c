/* The node that grants keys hands that role to a stronger one, and the store
 * loses its answer to that write. Later the stronger machine is taken away.
 * The rule CONFIG is broken if requests on a route that was added later, whose
 * service has keys, are served less than a quarter as often as those on the
 * first route.
 * usage: yield RECORD */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "review/bed-3/deployment.h"
#include "review/bed-3/wire.h"

#define WORKERS 5
#define KEYED_WORKERS 3
#define KEYS 65536
#define WEAK 0
#define STRONG 1
#define WEAK_SHARE 0.1
#define STRONG_SHARE 0.5
#define SERVED_WITHIN_MS 20000
#define YIELD_MS 8000
#define SETTLE_MS 15000
#define STEADY_MS 20000
#define GRACE_MS 6000
#define PAUSE_MS 50
#define MIN_REQUESTS 20
#define LEAST_SHARE 0.25

static const struct rs_bed_worker workers[] = {
    {"i-7f3a91c0", "listas", true, 50}, {"i-7f3a91c1", "listas", true, 50},
    {"i-7f3a91c2", "listas", true, 50}, {"i-5be0d1a0", "guias", false, 50},
    {"i-5be0d1a1", "guias", false, 50},
};

#define FIRST_ROUTE                                                           \
    "\"r-first\":{\"host\":\"lista.example\",\"prefix\":\"/guias/\","         \
    "\"kind\":\"download\",\"timeout_ms\":1500,"                              \
    "\"target_latency_ms\":300,\"priority\":2,"                               \
    "\"service\":\"guias\",\"max_attempts\":2}"
#define LATER_ROUTE                                                           \
    ",\"r-later\":{\"host\":\"lista.example\",\"prefix\":\"/listas/\","       \
    "\"kind\":\"idempotent\",\"timeout_ms\":1500,"                            \
    "\"target_latency_ms\":300,\"priority\":1,"                               \
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

struct tally {
    long sent;
    long served;
};

static void
send_requests(struct rs_bed *bed, struct tally *first, struct tally *later)
{
    int64_t end_ms = RsBed_NowMs() + STEADY_MS;
    for (int i = 0; RsBed_NowMs() < end_ms; i++) {
        first->sent++;
        first->served += RsBed_Call(bed, WEAK, "/guias/a", -1) == 200;
        later->sent++;
        later->served +=
            RsBed_Call(bed, WEAK, "/listas/a", i * 7919 % KEYS) == 200;
        RsBed_SleepMs(PAUSE_MS);
    }
}

static bool
is_broken(const struct tally *first, const struct tally *later)
{
    RsBed_Record("steady state: first route %ld of %ld served, later route "
                 "%ld of %ld",
                 first->served, first->sent, later->served, later->sent);
    printf("CONFIG: first route %ld of %ld served, later route %ld of %ld\n",
           first->served, first->sent, later->served, later->sent);
    return later->sent >= MIN_REQUESTS &&
           (double)later->served / (double)(later->sent + 1) <
               LEAST_SHARE * (double)first->served / (double)(first->sent + 1);
}

int
main(int argc, char **argv)
{
    struct rs_bed bed;
    struct tally first = {0};
    struct tally later = {0};
    if (RsBed_HasTrouble()) {
        setenv("LOSE_RESIGNATION", "1", 1);
    }
    if (!RsBed_Begin(&bed, argc, argv)) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    RsBed_PutConfig(&bed, first_config);
    for (int i = 0; i < WORKERS; i++) {
        RsBed_StartWorker(&bed, i, &workers[i]);
    }
    RsBed_StartNode(&bed, WEAK, WEAK_SHARE);
    if (!RsBed_AwaitServed(&bed, WEAK, "/guias/a", -1, SERVED_WITHIN_MS)) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    RsBed_PutConfig(&bed, later_config);
    if (!RsBed_AwaitServed(&bed, WEAK, "/listas/a", 5, SERVED_WITHIN_MS)) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    RsBed_StartNode(&bed, STRONG, STRONG_SHARE);
    RsBed_SleepMs(YIELD_MS);
    if (!RsBed_AwaitServed(&bed, STRONG, "/listas/a", 5, SERVED_WITHIN_MS) ||
        !RsBed_AwaitServed(&bed, WEAK, "/listas/a", 5, SERVED_WITHIN_MS)) {
        return RsBed_End(&bed, RsBed_NOT_RUN);
    }
    RsBed_Record("the strong node is taken away, with SIGTERM");
    kill(bed.nodes[STRONG], SIGTERM);
    RsBed_SleepMs(GRACE_MS);
    RsBed_KillNode(&bed, STRONG);
    RsBed_SleepMs(SETTLE_MS);
    send_requests(&bed, &first, &later);
    bool broken = is_broken(&first, &later);
    return RsBed_End(&bed, broken ? RsBed_BROKEN : RsBed_HELD);
}
