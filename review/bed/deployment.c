/* The deployment of the cases: the services `sorteo` (sharded) and
 * `inscripcion` of the site bochas-fixtures. */

#include "review/bed/bed.h"

#include <stdio.h>
#include <string.h>

#define READY_WITHIN_MS 15000

/* Writes the config of the operator. Times and limits are those of the site.
 */
void
RsBed_WriteConfig(void)
{
    static const char config[] =
        "{\"version\":\"00000007\",\"routes\":{"
        "\"draws\":{\"host\":\"sorteo.example\",\"prefix\":\"/draws/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":1500,"
        "\"target_latency_ms\":500,\"priority\":2,\"service\":\"sorteo\","
        "\"max_attempts\":2},"
        "\"entries\":{\"host\":\"entries.example\",\"prefix\":\"/entries/\","
        "\"kind\":\"non_idempotent\",\"timeout_ms\":2000,"
        "\"target_latency_ms\":600,\"priority\":1,"
        "\"service\":\"inscripcion\",\"max_attempts\":2}},"
        "\"services\":{"
        "\"sorteo\":{\"health_path\":\"/health\",\"max_connections\":130,"
        "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,"
        "\"warmup_per_s\":3.6,\"sharded\":true,\"warm_s\":2.0,"
        "\"grants\":\"call\"},"
        "\"inscripcion\":{\"health_path\":\"/health\",\"max_connections\":130,"
        "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,"
        "\"warmup_per_s\":3.6}},"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    RsBedStore_Put("op", "config", config);
}

/* Takes the case's folder and a temporary folder from the arguments, and opens
 * the record in the former. Returns 0 or -1. */
int
RsBed_OpenFolder(int count, char **arguments, char *folder, size_t size)
{
    char path[512];
    if (count != 3) {
        fprintf(stderr, "usage: %s CASE-FOLDER TEMPORARY-FOLDER\n",
                arguments[0]);
        return -1;
    }
    snprintf(path, sizeof(path), "%s/record.txt", arguments[1]);
    snprintf(folder, size, "%s", arguments[2]);
    return RsBed_OpenRecord(path);
}

/* Starts the deployment, with two workers of the sharded service, and waits
 * until the nodes are ready and the workers hold all keys. Returns 0 or -1. */
int
RsBed_Start(const char *folder, uint32_t nodes, struct rs_bed_worker **first,
            struct rs_bed_worker **second)
{
    uint16_t store_port = 0;
    if (RsBedStore_Open(&store_port) != 0) {
        return -1;
    }
    RsBed_WriteConfig();
    *first = RsBedWorker_Start("i-1a", "sorteo", "montevideo-a", true);
    *second = RsBedWorker_Start("i-2b", "sorteo", "canelones-b", true);
    if (*first == NULL || *second == NULL ||
        RsBedNodes_Start(nodes, store_port, folder) != 0 ||
        RsBedNodes_AwaitReady(READY_WITHIN_MS) != 0) {
        return -1;
    }
    int64_t until_ms = RsBed_NowMs() + READY_WITHIN_MS;
    while (RsBed_NowMs() < until_ms) {
        if (RsBedWorker_CountHeld(*first) + RsBedWorker_CountHeld(*second) ==
            RsBed_KEYS) {
            return 0;
        }
        RsBed_SleepMs(100);
    }
    return -1;
}

/* Ends the nodes. Returns the exit status of the case. */
int
RsBed_End(void)
{
    int breaks = RsBed_Breaks();
    RsBedNodes_End();
    RsBed_Record("the rule %s", breaks > 0 ? "was broken" : "held");
    return breaks > 0 ? RsBed_BROKEN : RsBed_HELD;
}
