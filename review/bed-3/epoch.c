/* A worker crashes and starts again under the id that it had. The rule OWNER
 * is broken if its new life takes a key with an epoch number with which its
 * former life had that key.
 * usage: epoch RECORD TROUBLE */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/bed-3/deployment.h"
#include "review/bed-3/wire.h"

#define WORKERS 8
#define CRASHES 3 /* workers, one after the other */
#define NODES 2
#define KEYS 65536
#define DOWN_MS 1000
#define CALM_MS 4000
#define SERVED_WITHIN_MS 20000
#define LINE_BYTES 1024

static const struct rs_bed_worker workers[] = {
    {"i-7f3a91c0", "listas", true, 50}, {"i-7f3a91c1", "listas", true, 50},
    {"i-7f3a91c2", "listas", true, 50}, {"i-7f3a91c3", "listas", true, 50},
    {"i-7f3a91c4", "listas", true, 50}, {"i-7f3a91c5", "listas", true, 50},
    {"i-7f3a91c6", "listas", true, 50}, {"i-7f3a91c7", "listas", true, 50},
};

static const char config[] =
    "{\"version\":\"00000001\",\"routes\":{\"r-1\":{"
    "\"host\":\"lista.example\",\"prefix\":\"/listas/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":300,"
    "\"priority\":1,\"service\":\"listas\",\"max_attempts\":2}},"
    "\"services\":{\"listas\":{\"health_path\":\"/health\","
    "\"max_connections\":110,\"warmup_s\":3.0,\"warmup_per_s\":3.6,"
    "\"sharded\":true,\"warm_s\":2.0}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* The highest epoch number with which any worker has had a key, and which life
 * of which worker that was. */
struct owner {
    long long fence;
    long long born;
    char id[32];
};

/* Reads the grants in the record. Returns how many grants of a key had an
 * epoch number that another life had had, or a lower one. */
static long
count_breaks(const char *path)
{
    char line[LINE_BYTES];
    struct owner *owners = calloc(KEYS, sizeof(*owners));
    long breaks = 0;
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        struct owner taken = {0};
        int first = 0;
        int last = -1;
        const char *text = strstr(line, " grant ");
        if (text == NULL || strstr(text, " taken") == NULL ||
            sscanf(text, " grant %31s born %lld keys %d %d fence %lld",
                   taken.id, &taken.born, &first, &last, &taken.fence) != 5) {
            continue;
        }
        for (int key = first; key <= last; key++) {
            struct owner *former = &owners[key];
            bool same = strcmp(former->id, taken.id) == 0 &&
                        former->born == taken.born;
            breaks += !same && former->fence >= taken.fence;
            *former = taken.fence >= former->fence ? taken : *former;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    free(owners);
    return breaks;
}

/* Sends requests for keys all over the key space for some time. */
static void
send_requests(struct rs_bed *bed, int64_t span_ms)
{
    int64_t end_ms = RsBed_NowMs() + span_ms;
    for (int i = 0; RsBed_NowMs() < end_ms; i++) {
        RsBed_Call(bed, i % NODES, "/listas/a", i * 7919 % KEYS);
        RsBed_SleepMs(20);
    }
}

int
main(int argc, char **argv)
{
    struct rs_bed bed;
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
    for (int key = 0; key < KEYS; key += KEYS / 8) {
        if (!RsBed_AwaitServed(&bed, 0, "/listas/a", key, SERVED_WITHIN_MS)) {
            return RsBed_End(&bed, RsBed_NOT_RUN);
        }
    }
    send_requests(&bed, CALM_MS);
    for (int i = 0; i < CRASHES; i++) {
        if (RsBed_HasTrouble()) {
            RsBed_KillWorker(&bed, i);
            send_requests(&bed, DOWN_MS);
            RsBed_StartWorker(&bed, i, &workers[i]);
        }
        send_requests(&bed, CALM_MS);
    }
    long breaks = count_breaks(argv[1]);
    RsBed_Record("keys taken with an epoch number that another life had had: "
                 "%ld",
                 breaks);
    printf("OWNER: %ld keys taken with an epoch number of another life\n",
           breaks);
    return RsBed_End(&bed, breaks > 0 ? RsBed_BROKEN : RsBed_HELD);
}
