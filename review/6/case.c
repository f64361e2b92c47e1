/* A worker sends its answer to a grant a second time. The second answer comes
 * late, when the next answer on the connection is expected. */

#include "review/bed/bed.h"

#include <stddef.h>
#include <stdio.h>

#define NODES 3
#define CALLS 320
#define CALL_EVERY_MS 25
#define LONG_CALL_EVERY 28 /* every 28th takes 900 ms, the others 20 ms */
#define LEAVE_AT_CALL 210
#define REPEATS 2
#define WATCH_MS 3000
#define KEY_STEP 40503U /* spreads the keys of successive requests */

static struct rs_bed_call calls[CALLS];

/* Lets the worker leave. */
static void
leave(struct rs_bed_worker *worker)
{
    RsBed_Record("%s leaves", worker->id);
    worker->repeats_after_ms = RsBed_NowMs();
    worker->repeats_left = RsBed_HasTrouble() ? REPEATS : 0;
    RsBedWorker_SetDraining(worker);
}

/* Returns a request: a long one for a key that the worker holds, or a short
 * one for any key. */
static struct rs_bed_call
make_call(size_t number, const struct rs_bed_worker *worker)
{
    struct rs_bed_call call = {.node = number % NODES,
                               .method = "GET",
                               .host = "sorteo.example",
                               .path = "/draws/club-7?ms=20",
                               .key =
                                   (int64_t)(number * KEY_STEP % RsBed_KEYS),
                               .deadline_ms = 3000};
    if (number % LONG_CALL_EVERY == 0) {
        snprintf(call.path, sizeof(call.path), "/draws/club-7?ms=900");
        call.key = RsBedWorker_FindHeldKey(worker) % RsBed_KEYS;
    }
    return call;
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
    for (size_t i = 0; i < CALLS; i++) {
        calls[i] = make_call(i, first);
        RsBedCaller_Begin(&calls[i], &threads[i]);
        RsBed_SleepMs(CALL_EVERY_MS);
        if (i == LEAVE_AT_CALL) {
            leave(first);
        }
    }
    RsBed_SleepMs(WATCH_MS);
    for (size_t i = 0; i < CALLS; i++) {
        pthread_join(threads[i], NULL);
    }
    return RsBed_End();
}
