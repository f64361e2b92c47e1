#include "review/bed-3/deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/bed-3/wire.h"

#define NODE_PROGRAM "target/rattanshed/rattanshed"
#define STORE_PROGRAM "target/review-3/store"
#define WORKER_PROGRAM "target/review-3/worker"
#define FIRST_PORT 20000
#define PORTS 10000
#define PORTS_OF_CASE 40
#define PORT_TRIES 50
/* Offsets from the first port of the case. */
#define WORKER_PORT 10
#define NODE_PORT 30
#define STORE_WITHIN_MS 5000
#define CALL_MS 2000
#define RETRY_MS 100
#define MAX_ARGUMENTS 8
#define FILE_MODE 0644
#define TEXT_BYTES 512
#define SEED_MULTIPLIER 7919

extern char **environ;

static struct rs_bed *current;
static bool has_trouble;

/* Starts a program whose output goes to a file of the folder of the case. */
static pid_t
start(const struct rs_bed *bed, const char *log, const char *const arguments[])
{
    char path[TEXT_BYTES];
    pid_t pid = 0;
    posix_spawn_file_actions_t actions;
    snprintf(path, sizeof(path), "%s/%s.log", bed->folder, log);
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, path,
                                     O_WRONLY | O_CREAT | O_APPEND, FILE_MODE);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&pid, arguments[0], &actions, NULL, (char **)arguments,
                    environ) != 0) {
        pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

static void
end(pid_t *pid)
{
    if (*pid > 0) {
        kill(*pid, SIGKILL);
        waitpid(*pid, NULL, 0);
    }
    *pid = 0;
}

static void
format_host(char host[TEXT_BYTES], int node)
{
    snprintf(host, TEXT_BYTES, "127.0.4.%d", node + 1);
}

static bool
is_free(const char *host, int port)
{
    int fd = RsBed_Listen(host, port);
    if (fd >= 0) {
        close(fd);
    }
    return fd >= 0;
}

static bool
are_free(int base_port)
{
    char host[TEXT_BYTES];
    bool free_ports = true;
    for (int port = 0; port < PORTS_OF_CASE && free_ports; port++) {
        free_ports = is_free("127.0.0.1", base_port + port);
        for (int node = 0; node < RsBed_MAX_NODES && port >= NODE_PORT;
             node++) {
            format_host(host, node);
            free_ports = free_ports && is_free(host, base_port + port);
        }
    }
    return free_ports;
}

/* Returns whether the case is to run with its disruption. */
bool
RsBed_HasTrouble(void)
{
    return has_trouble;
}

/* Ends all processes of the case when it is interrupted itself. */
static void
on_interrupted(int number)
{
    for (int i = 0; i < RsBed_MAX_NODES; i++) {
        end(&current->nodes[i]);
    }
    for (int i = 0; i < RsBed_MAX_WORKERS; i++) {
        end(&current->workers[i]);
    }
    end(&current->store);
    _exit(number > 0 ? RsBed_NOT_RUN : RsBed_BROKEN);
}

/* Prepares a case. Its arguments are the path of its record, which is begun
 * anew, and TROUBLE: 0 leaves out the disruption. Returns false if that fails
 * or no ports are free. */
bool
RsBed_Begin(struct rs_bed *bed, int argc, char **argv)
{
    char text[TEXT_BYTES];
    *bed = (struct rs_bed){.base_port = 0};
    snprintf(bed->folder, sizeof(bed->folder), "/tmp/review-3-XXXXXX");
    if (argc != 3 || g_mkdtemp(bed->folder) == NULL) {
        return false;
    }
    has_trouble = strcmp(argv[2], "0") != 0;
    current = bed;
    signal(SIGTERM, on_interrupted);
    signal(SIGINT, on_interrupted);
    signal(SIGHUP, on_interrupted);
    unlink(argv[1]);
    setenv("RECORD", argv[1], 1);
    snprintf(text, sizeof(text), "%lld", (long long)RsBed_NowMs());
    setenv("RECORD_FROM_MS", text, 1);
    for (int i = 0; i < PORT_TRIES && bed->base_port == 0; i++) {
        int port = FIRST_PORT + (getpid() * SEED_MULTIPLIER +
                                 i * SEED_MULTIPLIER * PORTS_OF_CASE) %
                                    PORTS / PORTS_OF_CASE * PORTS_OF_CASE;
        bed->base_port = are_free(port) ? port : 0;
    }
    if (bed->base_port == 0) {
        return false;
    }
    snprintf(text, sizeof(text), "%d", bed->base_port);
    const char *const arguments[] = {STORE_PROGRAM, text, NULL};
    bed->store = start(bed, "store", arguments);
    int64_t end_ms = RsBed_NowMs() + STORE_WITHIN_MS;
    while (RsBed_Post(bed->base_port, "/ping", "") == 0) {
        if (RsBed_NowMs() >= end_ms) {
            return false;
        }
        RsBed_SleepMs(RETRY_MS);
    }
    RsBed_Record("begins, with the disruption: %d", RsBed_HasTrouble());
    return true;
}

/* Ends all processes, removes the folder and returns the status. With KEEP the
 * folder with the logs of the processes stays. */
int
RsBed_End(struct rs_bed *bed, int status)
{
    for (int i = 0; i < RsBed_MAX_NODES; i++) {
        end(&bed->nodes[i]);
    }
    for (int i = 0; i < RsBed_MAX_WORKERS; i++) {
        end(&bed->workers[i]);
    }
    end(&bed->store);
    GDir *folder = g_dir_open(bed->folder, 0, NULL);
    const char *name;
    while (getenv("KEEP") == NULL && folder != NULL &&
           (name = g_dir_read_name(folder)) != NULL) {
        char *path = g_build_filename(bed->folder, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    if (folder != NULL) {
        g_dir_close(folder);
    }
    g_rmdir(bed->folder);
    RsBed_Record("ends with status %d", status);
    return status;
}

/* Writes a configuration as the operator. */
void
RsBed_PutConfig(const struct rs_bed *bed, const char *config)
{
    char *encoded = g_base64_encode((const guchar *)config, strlen(config));
    json_t *body = json_pack("{s:[],s:[{s:s,s:s,s:s,s:s}],s:[]}",
                             "precondition", "writes", "table", "op", "part",
                             "", "key", "config", "value", encoded, "deletes");
    char *call = json_dumps(body, JSON_COMPACT);
    RsBed_Record("operator writes a config, status %d",
                 RsBed_Post(bed->base_port, "/rows-tx", call));
    free(call);
    json_decref(body);
    g_free(encoded);
}

void
RsBed_StartWorker(struct rs_bed *bed, int index,
                  const struct rs_bed_worker *worker)
{
    char port[TEXT_BYTES];
    char store_port[TEXT_BYTES];
    char work_ms[TEXT_BYTES];
    snprintf(port, sizeof(port), "%d", bed->base_port + WORKER_PORT + index);
    snprintf(store_port, sizeof(store_port), "%d", bed->base_port);
    snprintf(work_ms, sizeof(work_ms), "%d", worker->work_ms);
    const char *const arguments[] = {
        WORKER_PROGRAM, worker->id, worker->service,
        port,           store_port, worker->sharded ? "1" : "0",
        work_ms,        NULL};
    bed->workers[index] = start(bed, worker->id, arguments);
}

/* Kills a worker with SIGKILL. */
void
RsBed_KillWorker(struct rs_bed *bed, int index)
{
    RsBed_Record("worker %d is killed", index);
    end(&bed->workers[index]);
}

/* Starts a node with the settings of deploy/node.yaml, filled in as for the
 * site lista-serrana-gw. */
void
RsBed_StartNode(struct rs_bed *bed, int index, double cpu_share)
{
    char host[TEXT_BYTES];
    char name[TEXT_BYTES];
    int port = bed->base_port + NODE_PORT;
    format_host(host, index);
    snprintf(name, sizeof(name), "edge-sul-poa-%d", index + 1);
    char *path = g_strdup_printf("%s/%s.yaml", bed->folder, name);
    char *text = g_strdup_printf(
        "node:\n  name: \"%s\"\n  zone: \"sul-poa\"\n  address: \"%s\"\n"
        "  cpu_share: %.1f\n  link_mbps: 1000.0\n  memory_mb: 260\n"
        "  bootstrap: %s\nlisten:\n  callers: \"%s:%d\"\n"
        "  readiness: \"%s:%d\"\n  peer_port: %d\n  admin_port: %d\n"
        "store:\n  address: \"127.0.0.1:%d\"\nbounds:\n  grace_s: 6\n"
        "  max_hold_ms: 10000\n  drain_ms: 2000\n  retry_ratio: 0.2\n"
        "  retry_window_s: 10\n  retry_slack: 58\n  cold_factor: 1.5\n"
        "  cold_slack: 5\nload:\n  adaptive: true\n",
        name, host, cpu_share, bed->first_start[index] ? "false" : "true",
        host, port, host, port + 1, port + 2, port + 5, bed->base_port);
    g_file_set_contents(path, text, -1, NULL);
    g_free(text);
    const char *const arguments[] = {NODE_PROGRAM, "--serve", "-c", path,
                                     NULL};
    bed->first_start[index] = true;
    bed->nodes[index] = start(bed, name, arguments);
    g_free(path);
    RsBed_Record("node %d starts, cpu_share %.1f", index, cpu_share);
}

/* Kills a node with SIGKILL. */
void
RsBed_KillNode(struct rs_bed *bed, int index)
{
    RsBed_Record("node %d is killed", index);
    end(&bed->nodes[index]);
}

/* Returns a connection of a caller that lets the node send only this much
 * before it is read, or -1. */
int
RsBed_ConnectCaller(const struct rs_bed *bed, int node, int window_bytes)
{
    char host[TEXT_BYTES];
    format_host(host, node);
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)(bed->base_port + NODE_PORT))};
    inet_pton(AF_INET, host, &address.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Sends a request of a caller, GET on a new connection, and returns the status
 * of the complete answer, or 0. A key below 0 stands for none. */
int
RsBed_Call(struct rs_bed *bed, int node, const char *path, int key)
{
    char host[TEXT_BYTES];
    char key_line[TEXT_BYTES] = "";
    char text[TEXT_BYTES * 4];
    struct rs_bed_stream stream;
    struct rs_bed_message *answer = calloc(1, sizeof(*answer));
    unsigned number =
        __atomic_add_fetch(&bed->last_request, 1, __ATOMIC_RELAXED);
    int status = 0;
    format_host(host, node);
    if (key >= 0) {
        snprintf(key_line, sizeof(key_line), "X-Shard-Key: %d\r\n", key);
    }
    int size = snprintf(text, sizeof(text),
                        "GET %s HTTP/1.1\r\nHost: lista.example\r\n"
                        "X-Request-Id: %016x\r\nX-Deadline-Ms: %d\r\n"
                        "%s\r\n",
                        path, number, CALL_MS, key_line);
    int fd =
        RsBed_Connect(host, bed->base_port + NODE_PORT, CALL_MS + RETRY_MS);
    RsBed_Open(&stream, fd);
    if (fd >= 0 && RsBed_Send(fd, text, (size_t)size) &&
        RsBed_Read(&stream, answer)) {
        status = answer->status;
    }
    RsBed_Record("caller %016x at node %d, %s key %d: status %d %s", number,
                 node, path, key, status,
                 status >= 500 ? g_strchomp(answer->body) : "");
    RsBed_Free(answer);
    RsBed_Close(&stream);
    close(fd);
    free(answer);
    return status;
}

/* Sends requests until one is served. Returns false if none is in time. */
bool
RsBed_AwaitServed(struct rs_bed *bed, int node, const char *path, int key,
                  int64_t within_ms)
{
    int64_t end_ms = RsBed_NowMs() + within_ms;
    while (RsBed_Call(bed, node, path, key) != 200) {
        if (RsBed_NowMs() >= end_ms) {
            return false;
        }
        RsBed_SleepMs(RETRY_MS);
    }
    return true;
}
