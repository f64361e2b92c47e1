/* Nodes are stopped in turn. One of them carries a request of another one. */

#include "review/bed/bed.h"

#include <signal.h>
#include <stdio.h>

#define NODES 5
#define FIRST 0 /* the node that takes the requests */
#define START_MS 3000
#define LOSS_MS 200
#define CALM_MS 5000 /* over contact_ms, 3 s */
#define CALL_EVERY_MS 100
#define GAP_MS 2000  /* between two SIGTERMs */
#define LATE_MS 1200 /* from the last SIGTERM to the last request */

/* Returns a request to the first node. */
static struct rs_bed_call
make_call(const char *path)
{
    struct rs_bed_call call = {.node = FIRST,
                               .method = "POST",
                               .host = "entries.example",
                               .key = -1,
                               .deadline_ms = 4000,
                               .body_bytes = 2000};
    snprintf(call.path, sizeof(call.path), "%s", path);
    return call;
}

/* Returns the node other than the first that has opened a tunnel, or the
 * second one. */
static uint32_t
find_carrier(void)
{
    for (uint32_t i = 0; i < NODES; i++) {
        if (i != FIRST && RsBedNodes_CountTunnels(i) > 0) {
            RsBed_Record("node %u carries requests of node %u", i + 1,
                         FIRST + 1);
            return i;
        }
    }
    return 1;
}

static void
stop(uint32_t number)
{
    RsBed_Record("SIGTERM to node %u", number + 1);
    kill(RsBedNodes_Get(number)->pid, SIGTERM);
}

/* Sends a short request at a time to the first node. */
static void
send_for(int64_t duration_ms)
{
    int64_t until_ms = RsBed_NowMs() + duration_ms;
    while (RsBed_NowMs() < until_ms) {
        struct rs_bed_call call = make_call("/entries/a?ms=20");
        RsBedCaller_Call(&call);
        int64_t left_ms = until_ms - RsBed_NowMs();
        RsBed_SleepMs(left_ms < CALL_EVERY_MS ? (left_ms > 0 ? left_ms : 0)
                                              : CALL_EVERY_MS);
    }
}

/* Sends requests to the first node, the first of which can't reach the worker
 * directly if there is trouble. */
static void
send_requests(const struct rs_bed_worker *worker)
{
    struct rs_bed_call call = make_call("/entries/a?ms=20");
    pthread_t thread;
    if (RsBed_HasTrouble()) {
        RsBed_Record("first packets of connections to %s are lost",
                     worker->id);
        RsBedHttp_LoseConnects(worker->port);
    }
    RsBedCaller_Begin(&call, &thread);
    RsBed_SleepMs(LOSS_MS);
    if (RsBed_HasTrouble()) {
        RsBedHttp_LetConnect(worker->port);
        RsBed_Record("no packets are lost any more");
    }
    pthread_join(thread, NULL);
    send_for(CALM_MS);
}

int
main(int count, char **arguments)
{
    char folder[256];
    struct rs_bed_worker *first = NULL;
    struct rs_bed_worker *second = NULL;
    if (RsBed_OpenFolder(count, arguments, folder, sizeof(folder)) != 0 ||
        RsBed_Start(folder, NODES, &first, &second) != 0) {
        RsBedNodes_End();
        return RsBed_NOT_RUN;
    }
    struct rs_bed_worker *worker =
        RsBedWorker_Start("i-3c", "inscripcion", "maldonado-c", false);
    RsBed_SleepMs(START_MS);
    send_requests(worker);
    uint32_t carrier = find_carrier();
    stop(carrier);
    send_for(GAP_MS);
    stop(carrier == 1 ? 2 : 1);
    send_for(GAP_MS);
    stop(FIRST);
    send_for(LATE_MS);
    struct rs_bed_call call = make_call("/entries/b?ms=1200");
    RsBedCaller_Call(&call);
    if (call.status != 200 && RsBedWorker_HasRun(call.id)) {
        RsBed_Break("LOST: after its SIGTERM node %u gave up %s, at which "
                    "its worker was at work, and answered %d",
                    FIRST + 1, call.id, call.status);
    }
    return RsBed_End();
}
