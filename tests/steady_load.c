#include "tests/steady_load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/caller.h"

#define STANDIN_LOAD (RATTANSHED_BUILD "/standin/standin_load")
#define FINISH_WITHIN_MS 30000
#define SERVICES                                                              \
    ("--services=" RsCluster_KEYED_SERVICE "," RsCluster_KEYED_SERVICE        \
     "," RsCluster_FILE_SERVICE)

static char *
list_entries(const struct rs_cluster *cluster)
{
    GString *list = g_string_new("--entries=");
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        g_string_append_printf(list, "%s127.0.0.1:%u", i > 0 ? "," : "",
                               cluster->entries[i].callers_port);
    }
    return g_string_free(list, FALSE);
}

/* Starts standin_load against all entry processes. `mix` gives the shares of
 * reads, POSTs and files, separated by commas. The caller must end the
 * load with RsSteadyLoad_Finish(). */
void
RsSteadyLoad_Start(struct rs_steady_load *load, struct rs_cluster *cluster,
                   uint32_t rate_per_s, uint32_t duration_s, const char *mix)
{
    memset(load, 0, sizeof(*load));
    load->cluster = cluster;
    load->log_path = g_strdup_printf("%s/requests", cluster->folder);
    char *entries = list_entries(cluster);
    char *rate = g_strdup_printf("--rate=%u", rate_per_s);
    char *seconds = g_strdup_printf("--seconds=%u", duration_s);
    char *shares = g_strdup_printf("--mix=%s", mix);
    char *log = g_strdup_printf("--log=%s", load->log_path);
    const char *const arguments[] = {
        STANDIN_LOAD, entries,      rate,         seconds,       shares, log,
        SERVICES,     "--keys=200", "--zipf=0.5", "--name=load", NULL};
    RsProcess_Init(&load->process, "load", cluster->folder, arguments);
    RsProcess_Start(&load->process);
    g_free(log);
    g_free(shares);
    g_free(seconds);
    g_free(rate);
    g_free(entries);
}

static enum rs_load_outcome
parse_outcome(const char *name)
{
    for (int i = 0; i < RsLoad_OUTCOME_COUNT; i++) {
        if (g_strcmp0(RsLoadAnswer_OutcomeName((enum rs_load_outcome)i),
                      name) == 0) {
            return (enum rs_load_outcome)i;
        }
    }
    return RsLoad_WRONG;
}

static void
add_log_line(struct rs_cluster *cluster, const char *line)
{
    const char *id = "";
    const char *key = "";
    const char *method = "";
    const char *outcome = "";
    const char *reason = "";
    json_int_t status = 0;
    json_int_t sent_us = 0;
    json_int_t end_us = 0;
    int entry = 0;
    json_t *json = json_loads(line, 0, NULL);
    int result = json_unpack(
        json, "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:i}", "id", &id, "key", &key,
        "method", &method, "outcome", &outcome, "reason", &reason, "status",
        &status, "sent_us", &sent_us, "end_us", &end_us, "entry", &entry);
    g_assert(result == 0);
    struct rs_caller_request *request = g_new0(struct rs_caller_request, 1);
    g_strlcpy(request->id, id, sizeof(request->id));
    g_strlcpy(request->key, key, sizeof(request->key));
    g_strlcpy(request->reason, reason, sizeof(request->reason));
    request->method = g_intern_string(method);
    request->outcome = parse_outcome(outcome);
    request->status = (int)status;
    request->entry = cluster->entries[entry].process.name;
    request->start_us = sent_us;
    request->end_us = end_us;
    g_ptr_array_add(cluster->requests, request);
    json_decref(json);
}

/* Waits until standin_load ends, adds its requests to the cluster and frees
 * the load. Returns false when it failed or didn't end in time. */
bool
RsSteadyLoad_Finish(struct rs_steady_load *load)
{
    int status = -1;
    size_t capacity = 0;
    char *line = NULL;
    bool ended = RsProcess_WaitEnd(&load->process, FINISH_WITHIN_MS, &status);
    FILE *log = fopen(load->log_path, "r");
    g_mutex_lock(&load->cluster->mutex);
    while (log != NULL && ended && getline(&line, &capacity, log) > 0) {
        add_log_line(load->cluster, line);
    }
    g_mutex_unlock(&load->cluster->mutex);
    if (log != NULL) {
        fclose(log);
    }
    free(line);
    RsProcess_Clear(&load->process);
    g_free(load->log_path);
    return ended && status == 0 && log != NULL;
}
