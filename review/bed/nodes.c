/* Router nodes: processes of the program that the deploy file runs, each on a
 * loopback address of its own. */

#include "review/bed/bed.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM "target/rattanshed/rattanshed" /* of deploy/system.toml */
#define FIRST_PORT 20000
#define LAST_PORT 60000
#define PORTS 18 /* internal ports, callers, readiness */
#define POLL_MS 20

static struct rs_bed_node nodes[RsBed_MAX_NODES];
static uint32_t node_count;

static bool
is_free(const char *host, uint16_t port, int type)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    int on = 1;
    inet_pton(AF_INET, host, &address.sin_addr);
    int fd = socket(AF_INET, type, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    bool free_now =
        bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(fd);
    return free_now;
}

/* Returns the first of PORTS ports that are free on all nodes, or 0. */
static uint16_t
find_ports(void)
{
    uint32_t offset = (uint32_t)getpid() * PORTS;
    for (uint32_t tries = 0; tries < 500; tries++) {
        uint32_t base = FIRST_PORT + (offset + tries * PORTS) %
                                         (LAST_PORT - FIRST_PORT - PORTS);
        bool good = true;
        for (uint32_t i = 0; good && i < node_count * PORTS; i++) {
            const char *host = nodes[i / PORTS].host;
            uint16_t port = (uint16_t)(base + i % PORTS);
            good = is_free(host, port, SOCK_STREAM) &&
                   is_free(host, port, SOCK_DGRAM);
        }
        if (good) {
            return (uint16_t)base;
        }
    }
    return 0;
}

/* Writes the settings as the platform makes them from deploy/node.yaml. */
static int
write_settings(const struct rs_bed_node *node, uint32_t number,
               uint16_t first_port, uint16_t store_port)
{
    static const char *const zones[] = {"montevideo-a", "canelones-b",
                                        "maldonado-c"};
    FILE *file = fopen(node->settings, "w");
    if (file == NULL) {
        return -1;
    }
    fprintf(file,
            "node:\n  name: \"edge-%u\"\n  zone: \"%s\"\n  address: \"%s\"\n"
            "  cpu_share: 0.2\n  link_mbps: 1000.0\n  memory_mb: 260\n"
            "  bootstrap: true\n"
            "listen:\n  callers: \"%s:%u\"\n  readiness: \"%s:%u\"\n"
            "  peer_port: %u\n  admin_port: %u\n"
            "store:\n  address: \"127.0.0.1:%u\"\n"
            "bounds:\n  grace_s: 6\n  max_hold_ms: 10000\n  drain_ms: 2000\n"
            "  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 62\n"
            "  cold_factor: 1.5\n  cold_slack: 5\n"
            "load:\n  adaptive: true\n",
            number + 1, zones[number % 3], node->host, node->host,
            node->callers_port, node->host, node->readiness_port, first_port,
            node->admin_port, store_port);
    return fclose(file);
}

static int
start_process(struct rs_bed_node *node)
{
    node->pid = fork();
    if (node->pid == 0) {
        int log = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        execl(PROGRAM, PROGRAM, "--serve", "-c", node->settings, (char *)NULL);
        _exit(127);
    }
    return node->pid > 0 ? 0 : -1;
}

/* Starts nodes. Their settings and logs go to `folder`. Returns 0 or -1. */
int
RsBedNodes_Start(uint32_t count, uint16_t store_port, const char *folder)
{
    node_count = count;
    for (uint32_t i = 0; i < count; i++) {
        snprintf(nodes[i].host, sizeof(nodes[i].host), "127.0.0.%u", 11 + i);
    }
    uint16_t first_port = find_ports();
    if (first_port == 0) {
        return -1;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct rs_bed_node *node = &nodes[i];
        node->admin_port = (uint16_t)(first_port + 15);
        node->callers_port = (uint16_t)(first_port + 16);
        node->readiness_port = (uint16_t)(first_port + 17);
        snprintf(node->settings, sizeof(node->settings), "%s/node-%u.yaml",
                 folder, i + 1);
        snprintf(node->log, sizeof(node->log), "%s/node-%u.log", folder,
                 i + 1);
        if (write_settings(node, i, first_port, store_port) != 0 ||
            start_process(node) != 0) {
            return -1;
        }
    }
    return 0;
}

/* Starts the process of a node again, after it has ended. Returns 0 or -1. */
int
RsBedNodes_Restart(uint32_t number)
{
    return start_process(&nodes[number]);
}

static bool
is_ready(const struct rs_bed_node *node)
{
    static const char question[] = "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n";
    struct rs_bed_stream stream = {
        .fd = RsBedHttp_Connect(node->host, node->readiness_port)};
    struct rs_bed_message message = {0};
    if (stream.fd < 0) {
        return false;
    }
    bool ready =
        RsBedHttp_SendAll(stream.fd, question, strlen(question)) == 0 &&
        RsBedHttp_Read(&stream, &message) == 0 && message.status == 200;
    RsBedHttp_Clear(&message);
    close(stream.fd);
    return ready;
}

/* Waits until all nodes count as ready. Returns 0 or -1. */
int
RsBedNodes_AwaitReady(int64_t within_ms)
{
    int64_t until_ms = RsBed_NowMs() + within_ms;
    uint32_t ready = 0;
    while (ready < node_count && RsBed_NowMs() < until_ms) {
        ready = 0;
        for (uint32_t i = 0; i < node_count; i++) {
            ready += is_ready(&nodes[i]);
        }
        RsBed_SleepMs(POLL_MS);
    }
    RsBed_Record("%u of %u nodes are ready", ready, node_count);
    return ready == node_count ? 0 : -1;
}

struct rs_bed_node *
RsBedNodes_Get(uint32_t number)
{
    return &nodes[number];
}

/* Returns how many tunnels a node has opened for others by its own metrics, or
 * -1. */
long
RsBedNodes_CountTunnels(uint32_t number)
{
    static const char question[] = "GET /metrics HTTP/1.1\r\nHost: n\r\n\r\n";
    static const char name[] = "\nrattanshed_tunnels_total";
    const struct rs_bed_node *node = &nodes[number];
    struct rs_bed_stream stream = {
        .fd = RsBedHttp_Connect(node->host, node->admin_port)};
    struct rs_bed_message message = {0};
    long count = -1;
    if (stream.fd >= 0 &&
        RsBedHttp_SendAll(stream.fd, question, strlen(question)) == 0 &&
        RsBedHttp_Read(&stream, &message) == 0 && message.body != NULL) {
        const char *line = strstr(message.body, name);
        const char *value = line != NULL ? strchr(line, ' ') : NULL;
        count = value != NULL ? strtol(value, NULL, 10) : -1;
    }
    RsBedHttp_Clear(&message);
    close(stream.fd);
    return count;
}

/* Ends all nodes. */
void
RsBedNodes_End(void)
{
    for (uint32_t i = 0; i < node_count; i++) {
        if (nodes[i].pid > 0) {
            kill(nodes[i].pid, SIGKILL);
            waitpid(nodes[i].pid, NULL, 0);
            nodes[i].pid = 0;
        }
    }
}
