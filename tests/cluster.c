#include "tests/cluster.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/clock.h"
#include "tests/caller.h"
#include "tests/cluster_files.h"
#include "tests/target_records.h"

#define FIRST_PORT 12000
#define PORTS_PER_BLOCK 100
#define PORT_BLOCKS 150
#define CALL_TIMEOUT_MS 3000
#define START_WITHIN_MS 20000
#define POLL_EVERY_MS 20
#define US_PER_MS 1000
#define STATUS_OK 200
#define DEFAULT_SERVICE_TIME_US 3000

#define RATTANSHED (RATTANSHED_BUILD "/rattanshed/rattanshed")
#define STANDIN(name) (RATTANSHED_BUILD "/standin/standin_" name)

/* Blocks the calling thread for `duration_ms`. */
void
RsCluster_SleepMs(int64_t duration_ms)
{
    g_usleep((gulong)(duration_ms * US_PER_MS));
}

/* Calls the HTTP API of a stand-in or the operators' API of an entry process
 * on `port`. `body` may be NULL. Stores the JSON answer, which the caller
 * owns, in `answer` unless that is NULL. Returns the HTTP status, or 0 when
 * there was no answer. */
int
RsCluster_Call(uint16_t port, const char *method, const char *path,
               const char *body, json_t **answer)
{
    return RsCaller_CallApi(port, method, path, body, CALL_TIMEOUT_MS, answer);
}

/* Sets the faults that the stand-in on `port` injects; `body` is the JSON of
 * its fault settings. Aborts when the stand-in doesn't accept them. */
void
RsCluster_SetFaults(uint16_t port, const char *body)
{
    int status = RsCluster_Call(port, "POST", "/standin", body, NULL);
    if (status != STATUS_OK) {
        printf("the stand-in on port %u answered %d to %s\n", port, status,
               body);
    }
    g_assert(status == STATUS_OK);
}

static void
add_entries(struct rs_cluster *cluster, uint32_t domain)
{
    for (uint32_t i = 0; i < cluster->options.entries; i++) {
        struct rs_cluster_entry *entry =
            &cluster->entries[cluster->entry_count++];
        char *name = g_strdup_printf("e-%u-%u", domain, i);
        char *path = g_strdup_printf("%s/%s.yaml", cluster->folder, name);
        const char *const arguments[] = {RATTANSHED, "-c", path, NULL};
        RsProcess_Init(&entry->process, name, cluster->folder, arguments);
        entry->domain = domain;
        entry->callers_port = RsClusterFiles_TakeFreePort(cluster);
        entry->admin_port = RsClusterFiles_TakeFreePort(cluster);
        entry->control_port = RsClusterFiles_TakeFreePort(cluster);
        entry->relay_port = RsClusterFiles_TakeFreePort(cluster);
        g_free(path);
        g_free(name);
    }
}

static void
add_target(struct rs_cluster *cluster, uint32_t domain, const char *name,
           bool has_files)
{
    const struct rs_cluster_options *options = &cluster->options;
    struct rs_cluster_target *target =
        &cluster->targets[cluster->target_count++];
    uint32_t time_us = options->service_time_us;
    target->domain = domain;
    target->has_files = has_files;
    target->port = RsClusterFiles_TakeFreePort(cluster);
    char *address = g_strdup_printf("%s:%u", name, target->port);
    char *cold = g_strdup_printf("--cold-ms=%u", options->cold_ms);
    char *time =
        g_strdup_printf("--service-time-us=%u",
                        time_us != 0 ? time_us : DEFAULT_SERVICE_TIME_US);
    const char *const arguments[] = {
        STANDIN("target"),
        "--targets",
        address,
        cold,
        time,
        options->ignores_fences ? "--check-fences=0" : "--check-fences=1",
        has_files ? "--file-bytes=300000" : "--file-bytes=0",
        NULL};
    RsProcess_Init(&target->process, name, cluster->folder, arguments);
    g_free(time);
    g_free(cold);
    g_free(address);
}

static void
add_targets(struct rs_cluster *cluster, uint32_t domain)
{
    for (uint32_t i = 0; i < cluster->options.targets; i++) {
        char *name = g_strdup_printf("t-%u-%u", domain, i);
        add_target(cluster, domain, name, false);
        g_free(name);
    }
    if (domain == 0 && cluster->options.has_files) {
        add_target(cluster, domain, "f-0-0", true);
    }
}

static void
write_file(const struct rs_cluster *cluster, const char *name,
           const char *text)
{
    char *path = g_build_filename(cluster->folder, name, NULL);
    bool was_written = g_file_set_contents(path, text, -1, NULL);
    g_assert(was_written);
    g_free(path);
}

static void
write_vms(struct rs_cluster *cluster, GString *pairs)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        json_array_append_new(list, RsClusterFiles_MakeEntryVm(
                                        cluster, &cluster->entries[i], pairs));
    }
    for (uint32_t i = 0; i < cluster->target_count; i++) {
        json_array_append_new(
            list, RsClusterFiles_MakeTargetVm(&cluster->targets[i], "live"));
    }
    json_t *file = json_pack("{s:o}", "vms", list);
    char *text = json_dumps(file, JSON_INDENT(1));
    write_file(cluster, "vms.json", text);
    free(text);
    json_decref(file);
}

static void
write_files(struct rs_cluster *cluster)
{
    GString *pairs = g_string_new("");
    for (uint32_t i = 0; i < cluster->options.domains; i++) {
        cluster->platform_link_ports[i] = RsClusterFiles_TakeFreePort(cluster);
        g_string_append_printf(pairs, "%u 127.0.0.1:%u dom-%u platform\n",
                               cluster->platform_link_ports[i],
                               cluster->platform_port, i);
    }
    write_vms(cluster, pairs);
    write_file(cluster, "pairs", pairs->str);
    g_string_free(pairs, TRUE);
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        const struct rs_cluster_entry *entry = &cluster->entries[i];
        char *name = g_strdup_printf("%s.yaml", entry->process.name);
        char *text = RsClusterFiles_MakeSettings(cluster, entry);
        write_file(cluster, name, text);
        g_free(text);
        g_free(name);
    }
}

static void
init_platform_and_link(struct rs_cluster *cluster)
{
    char *vms_argument = g_strdup_printf("--vms=%s/vms.json", cluster->folder);
    char *pairs_argument =
        g_strdup_printf("--pairs=%s/pairs", cluster->folder);
    char *platform_port_argument =
        g_strdup_printf("--port=%u", cluster->platform_port);
    char *link_port_argument =
        g_strdup_printf("--port=%u", cluster->link_port);
    const char *const platform_arguments[] = {
        STANDIN("platform"), platform_port_argument, vms_argument, NULL};
    const char *const link_arguments[] = {STANDIN("link"), link_port_argument,
                                          pairs_argument, NULL};
    RsProcess_Init(&cluster->platform, "platform", cluster->folder,
                   platform_arguments);
    RsProcess_Init(&cluster->link, "link", cluster->folder, link_arguments);
    g_free(link_port_argument);
    g_free(platform_port_argument);
    g_free(pairs_argument);
    g_free(vms_argument);
}

/* Prepares a deployment without starting any process. The caller frees it with
 * RsCluster_Free(). Ports are taken from a block that depends on the process
 * id, so that tests can run side by side; ports in use are skipped. */
struct rs_cluster *
RsCluster_New(const struct rs_cluster_options *options)
{
    struct rs_cluster *cluster = g_new0(struct rs_cluster, 1);
    uint32_t port_block = (uint32_t)getpid() % PORT_BLOCKS;
    cluster->options = *options;
    cluster->folder = g_dir_make_tmp("rattanshed-failures-XXXXXX", NULL);
    cluster->next_port = (uint16_t)(FIRST_PORT + port_block * PORTS_PER_BLOCK);
    cluster->next_ticket = 1;
    g_mutex_init(&cluster->mutex);
    cluster->events = g_ptr_array_new_with_free_func(g_free);
    cluster->requests = g_ptr_array_new_with_free_func(g_free);
    cluster->platform_port = RsClusterFiles_TakeFreePort(cluster);
    cluster->link_port = RsClusterFiles_TakeFreePort(cluster);
    for (uint32_t i = 0; i < options->domains; i++) {
        add_entries(cluster, i);
        add_targets(cluster, i);
    }
    init_platform_and_link(cluster);
    write_files(cluster);
    return cluster;
}

static bool
wait_for_ok(uint16_t port, const char *path, int64_t give_up_at_ms)
{
    while (RsCluster_Call(port, "GET", path, NULL, NULL) != STATUS_OK) {
        if (RsClock_NowMs() >= give_up_at_ms) {
            printf("no answer on port %u\n", port);
            return false;
        }
        RsCluster_SleepMs(POLL_EVERY_MS);
    }
    return true;
}

static bool
start_processes(struct rs_cluster *cluster, int64_t give_up_at_ms)
{
    RsProcess_Start(&cluster->platform);
    bool is_up =
        wait_for_ok(cluster->platform_port, "/standin", give_up_at_ms);
    if (cluster->options.has_links) {
        RsProcess_Start(&cluster->link);
        is_up = is_up &&
                wait_for_ok(cluster->link_port, "/standin", give_up_at_ms);
    }
    for (uint32_t i = 0; i < cluster->target_count; i++) {
        RsProcess_Start(&cluster->targets[i].process);
        is_up = is_up && wait_for_ok(cluster->targets[i].port, "/health",
                                     give_up_at_ms);
    }
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        RsProcess_Start(&cluster->entries[i].process);
        cluster->entries[i].in_rotation = true;
    }
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        is_up = is_up && wait_for_ok(cluster->entries[i].admin_port, "/health",
                                     give_up_at_ms);
    }
    return is_up;
}

static bool
submit_first_ticket(struct rs_cluster *cluster, int64_t give_up_at_ms)
{
    char *ticket = RsClusterFiles_MakeFirstTicket(cluster);
    int status = 0;
    while (status != STATUS_OK && RsClock_NowMs() < give_up_at_ms) {
        status = RsCluster_Submit(&cluster->entries[0], ticket);
        RsCluster_SleepMs(POLL_EVERY_MS);
    }
    free(ticket);
    cluster->next_ticket = 2;
    return status == STATUS_OK;
}

/* Waits until each entry process has answered a request for each key of a
 * stream. Returns false on a timeout. */
static bool
wait_served(struct rs_cluster *cluster, int64_t give_up_at_ms)
{
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        for (uint32_t j = 0; j < RsCaller_STREAM_KEYS; j++) {
            char *key = g_strdup_printf("k%u", j);
            bool served = false;
            while (!served && RsClock_NowMs() < give_up_at_ms) {
                struct rs_caller_request request = RsCaller_SendRequest(
                    cluster, &cluster->entries[i], "GET", key, 500);
                served = request.outcome == RsLoad_ANSWERED;
            }
            g_free(key);
            if (!served) {
                return false;
            }
        }
    }
    return true;
}

/* Starts all processes, submits ticket 1, and waits until it is in force and
 * each entry process has served each key of a stream. Returns false when that
 * takes too long. Starts the reader of the targets' records in any case. */
bool
RsCluster_Start(struct rs_cluster *cluster)
{
    int64_t give_up_at_ms = RsClock_NowMs() + START_WITHIN_MS;
    bool is_up = start_processes(cluster, give_up_at_ms) &&
                 submit_first_ticket(cluster, give_up_at_ms) &&
                 RsCluster_WaitInForce(cluster, 1, START_WITHIN_MS) &&
                 wait_served(cluster, give_up_at_ms);
    RsTargetRecords_StartReader(cluster);
    return is_up;
}

static void
remove_folder(const char *folder)
{
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;
    while ((name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(folder, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    g_dir_close(dir);
    g_rmdir(folder);
}

/* Ends all processes and frees the cluster. Removes its folder, with the logs
 * of the processes, unless `keep_logs` is set. */
void
RsCluster_Free(struct rs_cluster *cluster, bool keep_logs)
{
    RsTargetRecords_StopReader(cluster);
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        RsProcess_Clear(&cluster->entries[i].process);
    }
    for (uint32_t i = 0; i < cluster->target_count; i++) {
        RsProcess_Clear(&cluster->targets[i].process);
    }
    RsProcess_Clear(&cluster->link);
    RsProcess_Clear(&cluster->platform);
    if (keep_logs) {
        printf("logs are kept in %s\n", cluster->folder);
    }
    else {
        remove_folder(cluster->folder);
    }
    g_ptr_array_free(cluster->events, TRUE);
    g_ptr_array_free(cluster->requests, TRUE);
    g_mutex_clear(&cluster->mutex);
    g_free(cluster->folder);
    g_free(cluster);
}

/* Reads a target's record as far as possible, then kills the target with
 * SIGKILL. Events that were not read are lost, so the records count as
 * incomplete from then on. */
void
RsCluster_KillTarget(struct rs_cluster *cluster,
                     struct rs_cluster_target *target)
{
    RsTargetRecords_Read(cluster, target, CALL_TIMEOUT_MS);
    cluster->records_incomplete = true;
    RsProcess_Kill(&target->process);
}

/* Kills an entry process with SIGKILL and takes it out of the load balancer's
 * rotation. */
void
RsCluster_KillEntry(struct rs_cluster_entry *entry)
{
    entry->in_rotation = false;
    RsProcess_Kill(&entry->process);
}

/* Starts an entry process again, without any state from before. Waits until
 * the process has applied ticket 1, and then puts it in the load balancer's
 * rotation. On a timeout the process stays out of the rotation. */
void
RsCluster_RestartEntry(struct rs_cluster_entry *entry)
{
    RsProcess_Start(&entry->process);
    entry->in_rotation = RsCluster_WaitApplied(entry, 1, START_WITHIN_MS);
}

/* Waits until an entry process has applied a ticket. Returns false on a
 * timeout. */
bool
RsCluster_WaitApplied(const struct rs_cluster_entry *entry, uint64_t ticket,
                      int64_t within_ms)
{
    int64_t give_up_at_ms = RsClock_NowMs() + within_ms;
    json_int_t applied = 0;
    while (applied < (json_int_t)ticket) {
        json_t *status = NULL;
        RsCluster_Call(entry->admin_port, "GET", "/status", NULL, &status);
        applied =
            json_integer_value(json_object_get(status, "applied_ticket"));
        json_decref(status);
        if (applied < (json_int_t)ticket && RsClock_NowMs() >= give_up_at_ms) {
            return false;
        }
        RsCluster_SleepMs(POLL_EVERY_MS);
    }
    return true;
}

/* Waits until each entry process that was started and not killed has applied a
 * ticket. Returns false on a timeout. */
bool
RsCluster_WaitInForce(struct rs_cluster *cluster, uint64_t ticket,
                      int64_t within_ms)
{
    int64_t give_up_at_ms = RsClock_NowMs() + within_ms;
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        int64_t remaining_ms = MAX(give_up_at_ms - RsClock_NowMs(), 0);
        if (cluster->entries[i].process.pid != 0 &&
            !RsCluster_WaitApplied(&cluster->entries[i], ticket,
                                   remaining_ms)) {
            printf("ticket %llu is not in force in %s\n",
                   (unsigned long long)ticket,
                   cluster->entries[i].process.name);
            return false;
        }
    }
    return true;
}

/* Returns the JSON of a ticket with the next free number, which sets the state
 * of a domain ("in", "out"); freed with g_free(). */
char *
RsCluster_MakeDomainTicket(struct rs_cluster *cluster, uint32_t domain,
                           const char *state)
{
    return g_strdup_printf(
        "{\"number\":%llu,\"author\":\"ana\",\"note\":\"dom-%u %s\","
        "\"objects\":[{\"kind\":\"domain\",\"name\":\"dom-%u\",\"value\":"
        "{\"region\":\"sul\",\"state\":\"%s\"}}]}",
        (unsigned long long)cluster->next_ticket++, domain, state, domain,
        state);
}

/* Submits a ticket to an entry process. Returns the HTTP status, or 0 when
 * there was no answer. */
int
RsCluster_Submit(const struct rs_cluster_entry *entry, const char *ticket)
{
    return RsCluster_Call(entry->admin_port, "POST", "/tickets", ticket, NULL);
}

/* Returns the event, of those read so far, of the request that took effect
 * last on a key, or NULL when there is none. */
static const struct rs_cluster_event *
newest_event(struct rs_cluster *cluster, const char *key)
{
    const struct rs_cluster_event *newest = NULL;
    g_mutex_lock(&cluster->mutex);
    for (guint i = 0; i < cluster->events->len; i++) {
        const struct rs_cluster_event *candidate =
            g_ptr_array_index(cluster->events, i);
        if (strcmp(candidate->event.key, key) == 0 &&
            candidate->event.effect &&
            (newest == NULL ||
             candidate->event.end_us > newest->event.end_us)) {
            newest = candidate;
        }
    }
    g_mutex_unlock(&cluster->mutex);
    return newest;
}

/* Returns the target of the last request that took effect on a key, of the
 * events read so far. Aborts when none is known. */
struct rs_cluster_target *
RsCluster_FindTarget(struct rs_cluster *cluster, const char *key)
{
    const struct rs_cluster_event *event = newest_event(cluster, key);
    for (uint32_t i = 0; event != NULL && i < cluster->target_count; i++) {
        struct rs_cluster_target *target = &cluster->targets[i];
        if (strcmp(target->process.name, event->event.target) == 0) {
            return target;
        }
    }
    g_assert_not_reached();
}

/* Returns the entry process that sent a target the last request that took
 * effect on a key, of the events read so far. Aborts when none is known. */
struct rs_cluster_entry *
RsCluster_FindHolder(struct rs_cluster *cluster, const char *key)
{
    const struct rs_cluster_event *event = newest_event(cluster, key);
    for (uint32_t i = 0; event != NULL && i < cluster->entry_count; i++) {
        struct rs_cluster_entry *entry = &cluster->entries[i];
        if (strcmp(entry->process.name, event->holder) == 0) {
            return entry;
        }
    }
    g_assert_not_reached();
}

/* Returns the index of the domain of an entry process or target, which is the
 * third character of its name. */
uint32_t
RsCluster_ParseDomain(const char *name)
{
    return (uint32_t)(name[2] - '0');
}
