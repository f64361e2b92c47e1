/* soak: runs real nodes with stand-ins of the store, the targets and the
 * callers, lets things go wrong at random, and checks what callers and targets
 * see. See docs/SOAK.md. */

#include <argtable2.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/log.h"
#include "soak/caller.h"
#include "soak/check.h"
#include "soak/store.h"
#include "soak/target.h"
#include "tests/process.h"

#define MAX_NODES 64
#define WARM_MS 5000 /* nodes start, keys get owners */
#define CALM_MS                                                               \
    9000                 /* after the last fault; a grant may last 4 s, a     \
                            granter's lease 2 s, a lapsed row 2 s */
#define FINAL_MS 3000    /* what is served then is counted */
#define FINAL_PERCENT 90 /* of requests */
#define FAULT_LEAST_MS 200
#define FAULT_MOST_MS 1200
#define SPAN_LEAST_MS 300
#define SPAN_MOST_MS 4500
#define RESTART_MOST_MS 1500
#define DRAIN_MS 3000
#define CALLER_PORT 0 /* offsets from a node's first port */
#define READINESS_PORT 1
#define PEER_PORT 2
#define ADMIN_PORT 3
#define STORE_PORT 10
#define LANE_PORT 20    /* of a node to the store */
#define TARGET_PORT 100 /* behind its lane, which follows */
#define KEYED_SHARE 2   /* one in so many targets has no keys */
#define WORK_MS 25
#define PAUSE_MS 60

struct soak;

struct node {
    struct soak *soak;
    struct rs_process process;
    struct rs_link_lane *store_lane;
    uv_timer_t heal; /* the end of a fault */
    bool stopped;    /* by SIGSTOP */
    bool ending;     /* it was told to end, or killed */
};

struct target_slot {
    struct soak *soak;
    struct rs_soak_target *target;
    uv_timer_t heal;
};

struct soak {
    uv_loop_t loop;
    GRand *random;
    struct rs_check check;
    struct rs_soak_store *store;
    struct rs_soak_callers *callers;
    struct node nodes[MAX_NODES];
    struct sockaddr_in addresses[MAX_NODES];
    uint32_t node_count;
    struct target_slot targets[RsCheck_MAX_TARGETS];
    uint32_t target_count;
    uv_timer_t next_fault;
    uv_timer_t store_heal;
    uv_timer_t watch;
    uv_timer_t phase;
    uint16_t base_port;
    char folder[64];
    const char *program;
    uint32_t config_version;
    int64_t fault_ms; /* how long things go wrong */
    bool healing;
    bool verbose;
    enum rs_soak_plant plant;
    bool plant_crash;
    uint64_t faults;
};

static uint32_t
pick(struct soak *soak, uint32_t count)
{
    return (uint32_t)g_rand_int_range(soak->random, 0, (gint32)count);
}

static uint64_t
pick_span_ms(struct soak *soak)
{
    return SPAN_LEAST_MS + pick(soak, SPAN_MOST_MS - SPAN_LEAST_MS);
}

static void
say(struct soak *soak, const char *fault, uint32_t number, uint64_t span_ms)
{
    soak->faults++;
    if (soak->verbose) {
        printf("%8.3f s  %s %u for %lu ms\n",
               (double)(RsClock_NowMs() - soak->check.start_ms) / 1000, fault,
               number, (unsigned long)span_ms);
    }
}

/* The operator. */

static void
write_config(struct soak *soak)
{
    char *text = g_strdup_printf(
        "{\"version\":\"%08x\",\"routes\":{"
        "\"get\":{\"host\":\"soak.example\",\"prefix\":\"/get/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":%u,\"target_latency_ms\":300,"
        "\"priority\":1,\"service\":\"keyed\",\"max_attempts\":2},"
        "\"post\":{\"host\":\"soak.example\",\"prefix\":\"/post/\","
        "\"kind\":\"non_idempotent\",\"timeout_ms\":2000,"
        "\"target_latency_ms\":300,\"priority\":0,\"service\":\"plain\","
        "\"max_attempts\":2}},\"services\":{"
        "\"keyed\":{\"max_connections\":200,\"warmup_s\":1,"
        "\"warmup_per_s\":50,\"sharded\":true},"
        "\"plain\":{\"max_connections\":200,\"warmup_s\":1,"
        "\"warmup_per_s\":50}},"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
        ++soak->config_version, 1500 + pick(soak, 500));
    RsSoakStore_Put(soak->store, "op", "config", text);
    g_free(text);
}

/* Ends of faults. */

static void
heal_node(uv_timer_t *timer)
{
    struct node *node = timer->data;
    if (node->stopped) {
        RsProcess_Signal(&node->process, SIGCONT);
        node->stopped = false;
    }
    RsLinkLane_SetCut(node->store_lane, false);
    RsLinkLane_SetOneWay(node->store_lane, false);
    RsLinkLane_SetDelay(node->store_lane, 0);
    if (node->process.pid == 0) {
        node->ending = false;
        RsProcess_Start(&node->process);
    }
}

static void
heal_target(uv_timer_t *timer)
{
    struct target_slot *slot = timer->data;
    struct rs_soak_target *target = slot->target;
    RsSoakTarget_SetSlow(target, 1);
    RsSoakTarget_SetLateOrders(target, false);
    RsSoakTarget_SetReports(target, true);
    RsLinkLane_SetDelay(RsSoakTarget_Lane(target), 0);
    RsLinkLane_SetOneWay(RsSoakTarget_Lane(target), false);
    if (!RsSoakTarget_IsUp(target)) {
        RsSoakTarget_Start(target, pick(slot->soak, 3) > 0);
    }
    else {
        RsLinkLane_SetCut(RsSoakTarget_Lane(target), false);
    }
}

static void
end_leave(uv_timer_t *timer)
{
    struct target_slot *slot = timer->data;
    RsSoakTarget_Crash(slot->target);
    uv_timer_start(&slot->heal, heal_target, pick(slot->soak, RESTART_MOST_MS),
                   0);
}

static void
heal_store(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    RsSoakStore_SetMode(soak->store, RsSoakStore_UP);
}

/* Faults. */

static void
kill_node(struct soak *soak, struct node *node)
{
    node->ending = true;
    node->stopped = false;
    RsProcess_Kill(&node->process);
    uint64_t pause_ms = pick(soak, RESTART_MOST_MS);
    uv_timer_start(&node->heal, heal_node, pause_ms, 0);
    say(soak, "node killed", (uint32_t)(node - soak->nodes), pause_ms);
}

static void
harm_node(struct soak *soak)
{
    struct node *node = &soak->nodes[pick(soak, soak->node_count)];
    uint32_t number = (uint32_t)(node - soak->nodes);
    uint64_t span_ms = pick_span_ms(soak);
    if (uv_is_active((uv_handle_t *)&node->heal) || node->ending) {
        return;
    }
    switch (pick(soak, 7)) {
    case 0:
    case 1:
        kill_node(soak, node);
        return;
    case 2:
        RsProcess_Signal(&node->process, SIGSTOP);
        node->stopped = true;
        say(soak, "node paused", number, span_ms);
        break;
    case 3:
        node->ending = true;
        RsProcess_Signal(&node->process, SIGTERM);
        say(soak, "node told to stop", number, 0);
        return;
    case 4:
        RsProcess_Signal(&node->process, SIGHUP);
        say(soak, "node told to reload", number, 0);
        return;
    case 5:
        RsLinkLane_SetCut(node->store_lane, true);
        say(soak, "node cut off from the store", number, span_ms);
        break;
    default:
        RsLinkLane_SetOneWay(node->store_lane, true);
        say(soak, "node gets no answers of the store", number, span_ms);
    }
    uv_timer_start(&node->heal, heal_node, span_ms, 0);
}

static void
harm_target(struct soak *soak)
{
    struct target_slot *slot = &soak->targets[pick(soak, soak->target_count)];
    struct rs_soak_target *target = slot->target;
    uint32_t number = (uint32_t)(slot - soak->targets);
    uint64_t span_ms = pick_span_ms(soak);
    if (uv_is_active((uv_handle_t *)&slot->heal)) {
        return;
    }
    switch (pick(soak, 9)) {
    case 0:
        RsSoakTarget_Crash(target);
        say(soak, "target crashes", number, span_ms);
        break;
    case 1:
        RsSoakTarget_Leave(target);
        say(soak, "target leaves", number, DRAIN_MS);
        uv_timer_start(&slot->heal, end_leave, DRAIN_MS, 0);
        return;
    case 2:
        RsSoakTarget_SetSlow(target, 8);
        say(soak, "target slow", number, span_ms);
        break;
    case 3:
        RsSoakTarget_SetLateOrders(target, true);
        say(soak, "target takes orders late", number, span_ms);
        break;
    case 4:
        RsSoakTarget_SetReports(target, false);
        say(soak, "target does not report", number, span_ms);
        break;
    case 5:
        RsLinkLane_SetCut(RsSoakTarget_Lane(target), true);
        say(soak, "target silent", number, span_ms);
        break;
    case 6:
        RsLinkLane_Reset(RsSoakTarget_Lane(target));
        say(soak, "target's connections reset", number, 0);
        return;
    case 7:
        RsLinkLane_SetOneWay(RsSoakTarget_Lane(target), true);
        say(soak, "target's answers lost", number, span_ms);
        break;
    default:
        RsLinkLane_SetDelay(RsSoakTarget_Lane(target), 80000);
        say(soak, "target's link slow", number, span_ms);
    }
    uv_timer_start(&slot->heal, heal_target, span_ms, 0);
}

static void
harm_store(struct soak *soak)
{
    static const char *const names[] = {
        "store up",          "store busy",
        "store silent",      "store loses answers",
        "store writes late", "store slow"};
    uint64_t span_ms = pick_span_ms(soak);
    if (uv_is_active((uv_handle_t *)&soak->store_heal)) {
        return;
    }
    uint32_t mode = 1 + pick(soak, 5);
    RsSoakStore_SetMode(soak->store, (enum rs_soak_store_mode)mode);
    say(soak, names[mode], 0, span_ms);
    uv_timer_start(&soak->store_heal, heal_store, span_ms, 0);
}

static void
harm_operator(struct soak *soak)
{
    switch (pick(soak, 4)) {
    case 0:
        write_config(soak);
        say(soak, "config", soak->config_version, 0);
        break;
    case 1:
        RsSoakStore_ForgetHistory(soak->store);
        say(soak, "store forgets its history", 0, 0);
        break;
    case 2:
        RsSoakStore_Put(soak->store, "op", "evacuate/z1", "{}");
        say(soak, "zone evacuated", 1, 0);
        break;
    default:
        RsSoakStore_Drop(soak->store, "op", "evacuate/z1");
        say(soak, "zone taken back", 1, 0);
    }
}

static void
harm(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    switch (pick(soak, 8)) {
    case 0:
    case 1:
    case 2:
        harm_node(soak);
        break;
    case 3:
    case 4:
    case 5:
        harm_target(soak);
        break;
    case 6:
        harm_store(soak);
        break;
    default:
        harm_operator(soak);
    }
    uv_timer_start(&soak->next_fault, harm,
                   FAULT_LEAST_MS + pick(soak, FAULT_MOST_MS - FAULT_LEAST_MS),
                   0);
}

/* Processes that end without being told to are a violation. */
static void
watch(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    for (uint32_t i = 0; i < soak->node_count; i++) {
        struct node *node = &soak->nodes[i];
        int status = 0;
        if (!RsProcess_HasEnded(&node->process, &status)) {
            continue;
        }
        if (!node->ending || WIFSIGNALED(status) || WEXITSTATUS(status) != 0) {
            RsCheck_Fail(&soak->check, "END", RsClock_NowMs(),
                         "node %u ended by itself, status %d", i, status);
        }
        uv_timer_start(&node->heal, heal_node,
                       soak->healing ? 1 : pick(soak, RESTART_MOST_MS), 0);
    }
}

/* Phases: faults, then calm, then what is served is counted. */

static void
end(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    struct rs_soak_tally tally = RsSoakCallers_Tally(soak->callers);
    printf("final: %lu asked, %lu served, %lu refused, %lu failed\n",
           (unsigned long)tally.asked, (unsigned long)tally.served,
           (unsigned long)tally.refused, (unsigned long)tally.failed);
    if (tally.served * 100 < tally.asked * FINAL_PERCENT) {
        RsCheck_Fail(&soak->check, "RECOVER", RsClock_NowMs(),
                     "%lu of %lu requests are served after all has healed",
                     (unsigned long)tally.served, (unsigned long)tally.asked);
    }
    RsSoakCallers_Stop(soak->callers);
    uv_stop(&soak->loop);
}

static void
count_final(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    struct rs_soak_tally tally = RsSoakCallers_Tally(soak->callers);
    printf("under faults: %lu asked, %lu served, %lu refused, %lu failed\n",
           (unsigned long)tally.asked, (unsigned long)tally.served,
           (unsigned long)tally.refused, (unsigned long)tally.failed);
    uv_timer_start(&soak->phase, end, FINAL_MS, 0);
}

static void
calm_down(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    soak->healing = true;
    uv_timer_stop(&soak->next_fault);
    uv_timer_stop(&soak->store_heal);
    heal_store(&soak->store_heal);
    RsSoakStore_Drop(soak->store, "op", "evacuate/z1");
    for (uint32_t i = 0; i < soak->node_count; i++) {
        uv_timer_stop(&soak->nodes[i].heal);
        heal_node(&soak->nodes[i].heal);
    }
    for (uint32_t i = 0; i < soak->target_count; i++) {
        uv_timer_stop(&soak->targets[i].heal);
        RsSoakTarget_Crash(soak->targets[i].target);
        heal_target(&soak->targets[i].heal);
    }
    uv_timer_start(&soak->phase, count_final, CALM_MS, 0);
}

static void
start_faults(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    for (uint32_t i = 0; i < soak->target_count; i++) {
        RsSoakTarget_Plant(soak->targets[i].target, soak->plant);
    }
    if (soak->plant_crash) {
        RsProcess_Signal(&soak->nodes[0].process, SIGABRT);
    }
    uv_timer_start(&soak->next_fault, harm, 1, 0);
    uv_timer_start(&soak->phase, calm_down, (uint64_t)soak->fault_ms, 0);
}

/* Setting up. */

static bool
open_targets(struct soak *soak)
{
    for (uint32_t i = 0; i < soak->target_count; i++) {
        struct target_slot *slot = &soak->targets[i];
        bool sharded = i % (KEYED_SHARE + 1) != 0;
        const struct rs_soak_target_options options = {
            .loop = &soak->loop,
            .number = i,
            .service = sharded ? "keyed" : "plain",
            .zone = i % 2 == 0 ? "z1" : "z2",
            .sharded = sharded,
            .port = (uint16_t)(soak->base_port + TARGET_PORT + 2 * i),
            .lane_port = (uint16_t)(soak->base_port + TARGET_PORT + 2 * i + 1),
            .work_ms = WORK_MS,
            .check = &soak->check,
            .store = soak->store,
            .random = soak->random,
        };
        slot->soak = soak;
        slot->target = RsSoakTarget_Open(&options);
        if (slot->target == NULL) {
            return false;
        }
        RsSoakTarget_Start(slot->target, true);
        uv_timer_init(&soak->loop, &slot->heal);
        slot->heal.data = slot;
    }
    return true;
}

static bool
write_settings(struct soak *soak, uint32_t number, const char *path)
{
    char *text = g_strdup_printf(
        "node:\n  name: \"n%u\"\n  zone: \"z%u\"\n  address: \"127.0.1.%u\"\n"
        "  cpu_share: 1.0\n  link_mbps: 1000\n"
        "listen:\n  callers: \"127.0.1.%u:%u\"\n"
        "  readiness: \"127.0.1.%u:%u\"\n  peer_port: %u\n  admin_port: %u\n"
        "store:\n  address: \"127.0.0.1:%u\"\n"
        "bounds:\n  grace_s: 6\n  max_hold_ms: 10000\n  retry_ratio: 0.2\n"
        "  retry_window_s: 10\n  retry_slack: 58\n  cold_factor: 1.5\n"
        "  cold_slack: 5\n",
        number, 1 + number % 2, number + 1, number + 1,
        soak->base_port + CALLER_PORT, number + 1,
        soak->base_port + READINESS_PORT, soak->base_port + PEER_PORT,
        soak->base_port + ADMIN_PORT, soak->base_port + LANE_PORT + number);
    bool written = g_file_set_contents(path, text, -1, NULL);
    g_free(text);
    return written;
}

static bool
open_nodes(struct soak *soak)
{
    for (uint32_t i = 0; i < soak->node_count; i++) {
        struct node *node = &soak->nodes[i];
        char name[16];
        char host[24];
        char *path = g_strdup_printf("%s/n%u.yaml", soak->folder, i);
        const char *const arguments[] = {soak->program, "--serve", "-c", path,
                                         NULL};
        struct rs_link_route route = {
            .listen_port = (uint16_t)(soak->base_port + LANE_PORT + i),
            .target_host = "127.0.0.1",
            .target_port = (uint16_t)(soak->base_port + STORE_PORT),
            .delay_us = RsLinkRoute_DEFAULT_DELAY,
        };
        snprintf(name, sizeof(name), "n%u", i);
        snprintf(host, sizeof(host), "127.0.1.%u", i + 1);
        uv_ip4_addr(host, soak->base_port + CALLER_PORT, &soak->addresses[i]);
        node->soak = soak;
        node->store_lane = RsLinkLane_New(&route, &soak->loop);
        uv_timer_init(&soak->loop, &node->heal);
        node->heal.data = node;
        bool good = write_settings(soak, i, path) &&
                    RsLinkLane_Listen(node->store_lane) == 0;
        RsProcess_Init(&node->process, name, soak->folder, arguments);
        g_free(path);
        if (!good || RsProcess_Start(&node->process) != 0) {
            return false;
        }
    }
    return true;
}

static uv_timer_t *
open_timer(struct soak *soak, uv_timer_t *timer)
{
    uv_timer_init(&soak->loop, timer);
    timer->data = soak;
    return timer;
}

static bool
open_soak(struct soak *soak)
{
    uv_loop_init(&soak->loop);
    RsCheck_Init(&soak->check, stdout, RsClock_NowMs());
    soak->store = RsSoakStore_Open(
        &soak->loop, (uint16_t)(soak->base_port + STORE_PORT), soak->random);
    if (soak->store == NULL || !open_targets(soak)) {
        return false;
    }
    write_config(soak);
    if (!open_nodes(soak)) {
        return false;
    }
    const struct rs_soak_callers_options callers = {
        .loop = &soak->loop,
        .nodes = soak->addresses,
        .node_count = soak->node_count,
        .callers = 6 * soak->node_count,
        .pause_ms = PAUSE_MS,
        .check = &soak->check,
        .random = soak->random,
    };
    soak->callers = RsSoakCallers_Open(&callers);
    open_timer(soak, &soak->next_fault);
    open_timer(soak, &soak->store_heal);
    uv_timer_start(open_timer(soak, &soak->watch), watch, 20, 20);
    uv_timer_start(open_timer(soak, &soak->phase), start_faults, WARM_MS, 0);
    return true;
}

static int
run(struct soak *soak, uint32_t seed)
{
    printf("seed %u, %u nodes, %u targets, logs in %s\n", seed,
           soak->node_count, soak->target_count, soak->folder);
    bool opened = open_soak(soak);
    if (opened) {
        uv_run(&soak->loop, UV_RUN_DEFAULT);
    }
    for (uint32_t i = 0; i < soak->node_count; i++) {
        if (soak->nodes[i].process.name != NULL) {
            RsProcess_Clear(&soak->nodes[i].process);
        }
    }
    if (!opened) {
        printf("a port is taken\n");
        return 2;
    }
    printf("seed %u: %lu faults, %u violations\n", seed,
           (unsigned long)soak->faults, soak->check.violations);
    return soak->check.violations == 0 ? 0 : 1;
}

static bool
set_plant(struct soak *soak, const char *name)
{
    static const char *const names[] = {"none", "owner", "twice", "mixed"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(name, names[i]) == 0) {
            soak->plant = (enum rs_soak_plant)i;
            return true;
        }
    }
    soak->plant_crash = strcmp(name, "crash") == 0;
    return soak->plant_crash;
}

int
main(int argc, char **argv)
{
    struct arg_file *program = arg_file1(NULL, NULL, "PROGRAM", "rattanshed");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "of the faults");
    struct arg_int *nodes = arg_int0(NULL, "nodes", "N", "default 4");
    struct arg_int *targets = arg_int0(NULL, "targets", "N", "default 8");
    struct arg_int *seconds =
        arg_int0(NULL, "seconds", "N", "of faults, default 20");
    struct arg_int *port =
        arg_int0(NULL, "port", "N", "first port, default 21000");
    struct arg_str *plant =
        arg_str0(NULL, "plant", "FAULT", "owner, twice, mixed or crash");
    struct arg_lit *verbose = arg_lit0("v", NULL, "print the faults");
    struct arg_end *ends = arg_end(4);
    void *table[] = {program, seed,  nodes,   targets, seconds,
                     port,    plant, verbose, ends};
    seed->ival[0] = 1;
    nodes->ival[0] = 4;
    targets->ival[0] = 8;
    seconds->ival[0] = 20;
    port->ival[0] = 21000;
    plant->sval[0] = "none";
    static struct soak soak;
    if (arg_parse(argc, argv, table) != 0 || nodes->ival[0] < 1 ||
        nodes->ival[0] > MAX_NODES || targets->ival[0] < 2 ||
        targets->ival[0] > RsCheck_MAX_TARGETS ||
        !set_plant(&soak, plant->sval[0])) {
        arg_print_errors(stderr, ends, "soak");
        arg_print_syntax(stderr, table, "\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, NULL, _IOLBF, 0);
    RsLog_Open("soak", RsLog_ERROR);
    soak.random = g_rand_new_with_seed((guint32)seed->ival[0]);
    soak.program = program->filename[0];
    soak.node_count = (uint32_t)nodes->ival[0];
    soak.target_count = (uint32_t)targets->ival[0];
    soak.fault_ms = (int64_t)seconds->ival[0] * 1000;
    soak.base_port = (uint16_t)port->ival[0];
    soak.verbose = verbose->count > 0;
    snprintf(soak.folder, sizeof(soak.folder), "/tmp/soak-XXXXXX");
    if (g_mkdtemp(soak.folder) == NULL) {
        return 2;
    }
    return run(&soak, (uint32_t)seed->ival[0]);
}
