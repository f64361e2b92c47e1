/* An entry of another writer comes into the store: a copy of a worker's entry
 * under another key, without the field `version`. */

#include "review/bed/bed.h"

#include <stdio.h>

#define NODES 3
#define CALLS 24
#define CALL_EVERY_MS 250
#define WRITE_AT_CALL 10
#define WATCH_MS 3000

static struct rs_bed_call calls[CALLS];

/* Writes the entry. It names the address of `worker` and the time of writing.
 */
static void
write_foreign_entry(const struct rs_bed_worker *worker)
{
    char text[512];
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\""
             ",\"capacity\":%u,\"state\":\"ready\",\"warmup_left_ms\":0,"
             "\"sequence\":1,\"born\":%lld}",
             worker->service, worker->port, worker->zone, worker->slots,
             (long long)RsBed_WallMs());
    RsBed_Record("another writer writes servers/copy-1: %s", text);
    RsBedStore_Put("servers", "copy-1", text);
}

int
main(int count, char **arguments)
{
    char folder[256];
    struct rs_bed_worker *first = NULL;
    struct rs_bed_worker *second = NULL;
    pthread_t threads[CALLS];
    if (RsBed_OpenFolder(count, arguments, folder, sizeof(folder)) != 0 ||
        RsBed_Start(folder, NODES, &first, &second) != 0) {
        RsBedNodes_End();
        return RsBed_NOT_RUN;
    }
    uint32_t key = RsBedWorker_FindHeldKey(first);
    for (size_t i = 0; i < CALLS; i++) {
        calls[i] = (struct rs_bed_call){.node = i % NODES,
                                        .method = "GET",
                                        .host = "sorteo.example",
                                        .path = "/draws/club-7?ms=300",
                                        .key = key,
                                        .deadline_ms = 3000};
        RsBedCaller_Begin(&calls[i], &threads[i]);
        RsBed_SleepMs(CALL_EVERY_MS);
        if (i == WRITE_AT_CALL && RsBed_HasTrouble()) {
            write_foreign_entry(first);
        }
    }
    RsBed_SleepMs(WATCH_MS);
    for (size_t i = 0; i < CALLS; i++) {
        pthread_join(threads[i], NULL);
    }
    return RsBed_End();
}
