/* An entry of another writer, whose key has a quotation mark, comes into the
 * store. Then the node that gives orders to workers loses power. */

#include "review/bed/bed.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define NODES 3
#define CALL_EVERY_MS 60
#define KEY_STEP 40503U /* spreads the keys of successive requests */
#define BEFORE_MS 1500
#define ENTRY_MS 5000
#define DARK_MS 3500
#define AFTER_MS 8000

/* Writes the entry: a field is missing, and it names the address of a worker
 * of another service. */
static void
write_foreign_entry(const struct rs_bed_worker *worker)
{
    char text[512];
    snprintf(text, sizeof(text),
             "{\"service\":\"sorteo\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"maldonado-c\",\"capacity\":2,\"state\":\"ready\","
             "\"warmup_left_ms\":0,\"sequence\":1,\"born\":%lld}",
             worker->port, (long long)worker->born_wall_ms - 1000);
    RsBed_Record("another writer writes servers/copy \"1\": %s", text);
    RsBedStore_Put("servers", "copy \"1\"", text);
}

/* Sends requests to all nodes for a while. */
static void
send_for(int64_t duration_ms)
{
    static uint32_t number;
    int64_t until_ms = RsBed_NowMs() + duration_ms;
    while (RsBed_NowMs() < until_ms) {
        struct rs_bed_call call = {
            .node = number % NODES,
            .method = "GET",
            .host = "sorteo.example",
            .path = "/draws/club-7?ms=20",
            .key = (int64_t)(number * KEY_STEP % RsBed_KEYS),
            .deadline_ms = 3000};
        number++;
        if (RsBedNodes_Get(call.node)->pid > 0) {
            RsBedCaller_Call(&call);
        }
        RsBed_SleepMs(CALL_EVERY_MS);
    }
}

/* Returns the node that last wrote to the store under a condition. */
static uint32_t
find_leader(void)
{
    char value[1024];
    if (RsBedStore_Read("rattanshed-lease", value, sizeof(value))) {
        const char *name = strstr(value, "\"edge-");
        if (name != NULL) {
            return (uint32_t)strtoul(name + strlen("\"edge-"), NULL, 10) - 1;
        }
    }
    return 0;
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
    const struct rs_bed_worker *other =
        RsBedWorker_Start("i-3c", "inscripcion", "maldonado-c", false);
    send_for(BEFORE_MS);
    if (RsBed_HasTrouble()) {
        write_foreign_entry(other);
    }
    send_for(ENTRY_MS);
    uint32_t leader = find_leader();
    struct rs_bed_node *node = RsBedNodes_Get(leader);
    RsBed_Record("node %u loses power", leader + 1);
    kill(node->pid, SIGKILL);
    waitpid(node->pid, NULL, 0);
    node->pid = 0;
    send_for(DARK_MS);
    RsBed_Record("node %u starts again", leader + 1);
    RsBedNodes_Restart(leader);
    send_for(AFTER_MS);
    return RsBed_End();
}
