/* soak: runs real router nodes with a simulated store, targets and callers,
 * injects random faults, and checks the guarantees given to callers and
 * targets. See docs/SOAK.md. */

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
#include "soak/setup.h"
#include "soak/store.h"
#include "soak/target.h"
#include "soak/workspaces.h"
#include "tests/link_cut.h"
#include "tests/process.h"

#define MAX_NODES 64
#define WARMUP_MS 5000 /* until nodes are up and keys have owners */
/* Time from the end of the faults until requests must be served again. Longer
 * than the sum of a grant (HOLD_MS in router/granter.c), a granter's lease
 * (LEASE_MS there) and the time until the row of a target that has ended is
 * deleted (REPORT_TTL_MS in soak/target.c). */
#define RECOVERY_MS 9000
#define FINAL_PHASE_MS 3000   /* after recovery; served requests are counted */
#define MIN_SERVED_PERCENT 90 /* of the requests in the final phase */
#define FAULT_INTERVAL_MIN_MS 200
#define FAULT_INTERVAL_MAX_MS 1200
#define FAULT_DURATION_MIN_MS 300
#define FAULT_DURATION_MAX_MS 4500
#define MAX_RESTART_DELAY_MS 1500
#define MAX_AWAY_MS 5000 /* of a store that will go back to a copy */
#define MAX_REWRITE_DELAY_MS 2000
#define DRAIN_MS 3000
#define REFUSAL_RETRY_AFTER "0.7" /* seconds */
#define POST_TIMEOUT_MS 2000
#define LIMIT_MS 8000
#define LIMIT_TOLD_MS 1500 /* until all nodes were told of a limit */
/* Offsets from the first port of the soak; see also soak/setup.h. */
#define STORE_PORT_OFFSET 10
#define STORE_PROXY_PORT_OFFSET 20 /* proxy to the store, one per node */
#define TARGET_PORT_OFFSET 100     /* a target; the next port is its proxy */
#define SHARDED_PER_UNSHARDED 2    /* sharded targets per unsharded target */
#define TARGET_WORK_MS 25
/* A hold-up lasts longer than the granter's interval between grants
 * (RENEW_GRANT_EVERY_MS in router/granter.c). What is sent meanwhile arrives
 * after HOLD_UP_MIN_MS to HOLD_UP_MAX_MS. The cut that may follow outlasts the
 * hold of a grant. */
#define HOLD_UP_MIN_MS 600
#define HOLD_UP_MAX_MS 3000
#define HOLD_UP_LASTS_MS 1100
#define HOLD_UP_CUT_MIN_MS 5000
#define HOLD_UP_CUT_MAX_MS 8000
#define GRANTER_SPARED_MS 8000
#define US_PER_MS 1000
#define CALLER_PAUSE_MS 60
/* API keys are not trusted by a node that has not confirmed the configuration
 * for REVOKE_MS. A confirmation may be an answer that the store held, or was
 * late with, for ANSWER_MS, and a request may reach the target when the
 * longest fault has ended. Without faults, nodes have a change in
 * CHANGE_IN_FORCE_MS.
 */
#define REVOKE_MS 2000
#define ANSWER_MS 1500
#define KEY_IN_FORCE_MS (REVOKE_MS + ANSWER_MS + FAULT_DURATION_MAX_MS)
#define CHANGE_IN_FORCE_MS 2500

struct soak;

struct node {
    struct soak *soak;
    struct rs_process process;
    struct rs_soak_node_setup setup;
    struct rs_link_proxy *store_proxy;
    struct rs_link_cut link_cut;
    uv_timer_t recovery_timer; /* ends a fault or restarts the node */
    bool paused;               /* with SIGSTOP */
    bool exit_expected;        /* a signal to end was sent */
};

struct target_slot {
    struct soak *soak;
    struct rs_soak_target *target;
    uv_timer_t recovery_timer;
    bool new_cut;       /* with the present hold-up */
    double limit_per_s; /* 0: it states none */
    int64_t limited_since_ms;
};

struct soak {
    uv_loop_t loop;
    GRand *random;
    struct rs_check check;
    struct rs_soak_store *store;
    struct rs_soak_callers *callers;
    struct node nodes[MAX_NODES];
    struct sockaddr_in node_caller_addresses[MAX_NODES];
    uint32_t node_count;
    struct target_slot targets[RsCheck_MAX_TARGETS];
    uint32_t target_count;
    uv_timer_t next_fault_timer;
    uv_timer_t store_recovery_timer;
    uv_timer_t watch_processes;
    uv_timer_t phase_timer; /* ends the current phase */
    uint16_t base_port;
    char folder[64];
    const char *program;
    uint32_t config_version;
    int64_t fault_phase_ms; /* duration of the fault phase */
    bool recovering;        /* set at the end of the fault phase */
    bool verbose;
    enum rs_soak_violation injected_violation;
    bool crash_node;     /* abort node 0 when the fault phase starts */
    bool restores;       /* the store may go back to a copy */
    bool links;          /* nodes may lose their links to all targets */
    bool limits;         /* targets may state request limits */
    bool hold_ups;       /* what nodes send to targets may be held up */
    bool has_workspaces; /* requests need API keys, which change */
    struct rs_soak_workspaces workspaces;
    /* Until then, no faults are injected into nodes, as their restarts and
     * pauses would excuse too many requests at a limited target. */
    int64_t nodes_spared_until_ms;
    /* Until then, the granter is to stay the same and to send grants of the
     * normal duration: no faults are injected into nodes and the store. */
    int64_t granter_spared_until_ms;
    uint64_t fault_count;
};

/* Returns a random number from 0 to count - 1. */
static uint32_t
random_below(struct soak *soak, uint32_t count)
{
    return (uint32_t)g_rand_int_range(soak->random, 0, (gint32)count);
}

/* Returns a random duration of a fault. */
static uint64_t
random_duration_ms(struct soak *soak)
{
    return FAULT_DURATION_MIN_MS +
           random_below(soak, FAULT_DURATION_MAX_MS - FAULT_DURATION_MIN_MS);
}

/* Counts a fault and prints it if the output is verbose. `number` is the
 * number of the affected node, target, zone or configuration version, or 0. */
static void
log_fault(struct soak *soak, const char *fault, uint32_t number,
          uint64_t duration_ms)
{
    soak->fault_count++;
    if (soak->verbose) {
        printf("%8.3f s  %s %u for %lu ms\n",
               (double)(RsClock_NowMs() - soak->check.started_at_ms) / 1000,
               fault, number, (unsigned long)duration_ms);
    }
}

/* Writes a new version of the operator's configuration to the store. */
static void
write_config(struct soak *soak)
{
    char *workspaces = soak->has_workspaces
                           ? RsSoakWorkspaces_Config(&soak->workspaces)
                           : NULL;
    const struct rs_soak_config config = {
        .version = ++soak->config_version,
        .get_timeout_ms = 1500 + random_below(soak, 500),
        .post_timeout_ms = POST_TIMEOUT_MS,
        .workspaces = workspaces,
    };
    char *text = RsSoakSetup_Config(&config);
    RsSoakStore_Put(soak->store, "op", "config", text);
    g_free(text);
    g_free(workspaces);
}

/* Revokes an API key and adds one, if there are workspaces. */
static void
replace_key(struct soak *soak)
{
    if (soak->has_workspaces) {
        RsSoakWorkspaces_ReplaceKey(&soak->workspaces, RsClock_NowMs());
    }
}

/* Ends all faults of a node, and starts it if it isn't running. */
static void
recover_node(uv_timer_t *timer)
{
    struct node *node = timer->data;
    if (node->paused) {
        RsProcess_Signal(&node->process, SIGCONT);
        node->paused = false;
    }
    RsLinkProxy_SetCut(node->store_proxy, false);
    RsLinkProxy_SetOneWayCut(node->store_proxy, false);
    RsLinkProxy_SetDelay(node->store_proxy, 0);
    RsLinkCut_Heal(&node->link_cut);
    if (node->process.pid == 0) {
        char *path = g_strdup_printf("%s/n%u.yaml", node->soak->folder,
                                     (unsigned)(node - node->soak->nodes));
        node->exit_expected = false;
        node->setup.bootstrap = false;
        RsSoakSetup_WriteSettings(&node->setup, path);
        RsProcess_Start(&node->process);
        g_free(path);
    }
}

/* Ends all faults of a target, and starts it if it isn't running. */
static void
recover_target(uv_timer_t *timer)
{
    struct target_slot *slot = timer->data;
    struct rs_soak_target *target = slot->target;
    RsSoakTarget_SetSlowdown(target, 1);
    RsSoakTarget_SetLateOrders(target, false);
    RsSoakTarget_SetReporting(target, true);
    RsSoakTarget_Close(target, "");
    RsLinkProxy_SetDelay(RsSoakTarget_Proxy(target), 0);
    RsLinkProxy_SetHoldUp(RsSoakTarget_Proxy(target), 0);
    RsLinkProxy_SetNewCut(RsSoakTarget_Proxy(target), false);
    RsLinkProxy_SetOneWayCut(RsSoakTarget_Proxy(target), false);
    if (!RsSoakTarget_IsUp(target)) {
        RsSoakTarget_Start(target, random_below(slot->soak, 3) > 0);
    }
    else {
        RsLinkProxy_SetCut(RsSoakTarget_Proxy(target), false);
    }
}

/* Ends a target that was draining. The target restarts after a random delay.
 */
static void
finish_drain(uv_timer_t *timer)
{
    struct target_slot *slot = timer->data;
    RsSoakTarget_Crash(slot->target);
    uv_timer_start(&slot->recovery_timer, recover_target,
                   random_below(slot->soak, MAX_RESTART_DELAY_MS), 0);
}

static void
recover_store(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    RsSoakStore_SetMode(soak->store, RsSoakStore_UP);
}

/* Reports a violation (END) if the node has ended unexpectedly, by a signal or
 * with a status other than 0. Returns whether the node has ended. */
static bool
notice_end(struct soak *soak, struct node *node)
{
    int status = 0;
    if (!RsProcess_HasEnded(&node->process, &status)) {
        return false;
    }
    if (!node->exit_expected || WIFSIGNALED(status) ||
        WEXITSTATUS(status) != 0) {
        RsCheck_ReportViolation(&soak->check, "END", RsClock_NowMs(),
                                "node %u ended by itself, status %d",
                                (unsigned)(node - soak->nodes), status);
    }
    return true;
}

/* Kills a node with SIGKILL, unless it has ended by itself. The node restarts
 * after a random delay. */
static void
kill_node(struct soak *soak, struct node *node)
{
    notice_end(soak, node);
    node->exit_expected = true;
    node->paused = false;
    RsProcess_Kill(&node->process);
    uint64_t pause_ms = random_below(soak, MAX_RESTART_DELAY_MS);
    uv_timer_start(&node->recovery_timer, recover_node, pause_ms, 0);
    log_fault(soak, "node killed", (uint32_t)(node - soak->nodes), pause_ms);
}

/* Injects a random fault into a random node, unless that node has a fault or
 * is expected to exit. */
static void
inject_node_fault(struct soak *soak)
{
    struct node *node = &soak->nodes[random_below(soak, soak->node_count)];
    uint32_t number = (uint32_t)(node - soak->nodes);
    uint64_t duration_ms = random_duration_ms(soak);
    int64_t spared_until_ms =
        MAX(soak->nodes_spared_until_ms, soak->granter_spared_until_ms);
    if (uv_is_active((uv_handle_t *)&node->recovery_timer) ||
        node->exit_expected || RsClock_NowMs() < spared_until_ms) {
        return;
    }
    if (soak->links && random_below(soak, 3) == 0) {
        RsLinkCut_Cut(&node->link_cut, random_below(soak, 2) == 0);
        log_fault(soak, "node cut off from all targets", number, duration_ms);
        uv_timer_start(&node->recovery_timer, recover_node, duration_ms, 0);
        return;
    }
    switch (random_below(soak, 7)) {
    case 0:
    case 1:
        kill_node(soak, node);
        return;
    case 2:
        RsProcess_Signal(&node->process, SIGSTOP);
        node->paused = true;
        log_fault(soak, "node paused", number, duration_ms);
        break;
    case 3:
        node->exit_expected = true;
        RsProcess_Signal(&node->process, SIGTERM);
        log_fault(soak, "node told to stop", number, 0);
        return;
    case 4:
        RsProcess_Signal(&node->process, SIGHUP);
        log_fault(soak, "node told to reload", number, 0);
        return;
    case 5:
        RsLinkProxy_SetCut(node->store_proxy, true);
        log_fault(soak, "node cut off from the store", number, duration_ms);
        break;
    default:
        RsLinkProxy_SetOneWayCut(node->store_proxy, true);
        log_fault(soak, "node receives no responses from the store", number,
                  duration_ms);
    }
    uv_timer_start(&node->recovery_timer, recover_node, duration_ms, 0);
}

static bool
any_node_has_fault(const struct soak *soak)
{
    bool any = false;
    for (uint32_t i = 0; i < soak->node_count; i++) {
        const struct node *node = &soak->nodes[i];
        any |= node->exit_expected || node->process.pid == 0 ||
               uv_is_active((const uv_handle_t *)&node->recovery_timer);
    }
    return any;
}

/* Reports a violation (LIMIT) if the target got more requests than its limit
 * allows, and ends the limit. */
static void
end_limit(uv_timer_t *timer)
{
    struct target_slot *slot = timer->data;
    struct soak *soak = slot->soak;
    uint32_t most = RsSoakTarget_MostRequestsWithin(
        slot->target, slot->limited_since_ms + LIMIT_TOLD_MS,
        RsCheck_LIMIT_WINDOW_MS);
    uint32_t allowed = RsCheck_MaxLimited(slot->limit_per_s);
    if (most > allowed) {
        RsCheck_ReportViolation(
            &soak->check, "LIMIT", RsClock_NowMs(),
            "target %u with a limit of %.1f a second got %u requests in 4 s, "
            "allowed %u",
            (unsigned)(slot - soak->targets), slot->limit_per_s, most,
            allowed);
    }
    slot->limit_per_s = 0;
    RsSoakTarget_SetLimit(slot->target, "");
}

/* Makes a target state a limit, unless a node has a fault. */
static void
start_limit(struct target_slot *slot)
{
    static const double limits[] = {0.8, 2, 5};
    struct soak *soak = slot->soak;
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    if (any_node_has_fault(soak)) {
        return;
    }
    slot->limit_per_s = limits[random_below(soak, G_N_ELEMENTS(limits))];
    slot->limited_since_ms = RsClock_NowMs();
    soak->nodes_spared_until_ms = slot->limited_since_ms + LIMIT_MS;
    g_ascii_formatd(text, sizeof(text), "%.1f", slot->limit_per_s);
    RsSoakTarget_SetLimit(slot->target, text);
    log_fault(soak, "target limited", (uint32_t)(slot - soak->targets),
              LIMIT_MS);
    uv_timer_start(&slot->recovery_timer, end_limit, LIMIT_MS, 0);
}

static void start_hold_up(struct target_slot *slot);

/* Ends a hold-up. If new connections were cut, they stay so; otherwise the
 * whole link is cut, or another hold-up follows, or the link is whole. */
static void
end_hold_up(uv_timer_t *timer)
{
    struct target_slot *slot = timer->data;
    struct soak *soak = slot->soak;
    struct rs_link_proxy *proxy = RsSoakTarget_Proxy(slot->target);
    uint64_t duration_ms =
        HOLD_UP_CUT_MIN_MS +
        random_below(soak, HOLD_UP_CUT_MAX_MS - HOLD_UP_CUT_MIN_MS);
    uint32_t next = random_below(soak, 3);
    RsLinkProxy_SetHoldUp(proxy, 0);
    if (!slot->new_cut && next == 0) {
        start_hold_up(slot);
        return;
    }
    if (!slot->new_cut && next == 1) {
        duration_ms = 1;
    }
    else if (!slot->new_cut) {
        RsLinkProxy_SetCut(proxy, true);
        log_fault(soak, "target link cut", (uint32_t)(slot - soak->targets),
                  duration_ms);
    }
    uv_timer_start(&slot->recovery_timer, recover_target, duration_ms, 0);
}

/* Holds up all that nodes send to a target from now on, for a random time, and
 * mostly cuts its link for new connections, through which later orders could
 * reach it. */
static void
start_hold_up(struct target_slot *slot)
{
    struct soak *soak = slot->soak;
    uint32_t number = (uint32_t)(slot - soak->targets);
    uint64_t hold_up_ms =
        HOLD_UP_MIN_MS + random_below(soak, HOLD_UP_MAX_MS - HOLD_UP_MIN_MS);
    RsLinkProxy_SetHoldUp(RsSoakTarget_Proxy(slot->target),
                          (int64_t)hold_up_ms * US_PER_MS);
    log_fault(soak, "nodes' bytes held up at target", number, hold_up_ms);
    slot->new_cut = random_below(soak, 3) > 0;
    if (slot->new_cut) {
        RsLinkProxy_SetNewCut(RsSoakTarget_Proxy(slot->target), true);
        log_fault(soak, "new connections cut at target", number, 0);
    }
    if (random_below(soak, 4) > 0) {
        soak->granter_spared_until_ms = RsClock_NowMs() + GRANTER_SPARED_MS;
    }
    uv_timer_start(&slot->recovery_timer, end_hold_up, HOLD_UP_LASTS_MS, 0);
}

/* Injects a random fault into a random target, unless the target has a fault.
 */
static void
inject_target_fault(struct soak *soak)
{
    struct target_slot *slot =
        &soak->targets[random_below(soak, soak->target_count)];
    struct rs_soak_target *target = slot->target;
    uint32_t number = (uint32_t)(slot - soak->targets);
    uint64_t duration_ms = random_duration_ms(soak);
    if (uv_is_active((uv_handle_t *)&slot->recovery_timer)) {
        return;
    }
    if (soak->limits && random_below(soak, 3) == 0) {
        start_limit(slot);
        return;
    }
    if (soak->hold_ups && random_below(soak, 3) > 0) {
        start_hold_up(slot);
        return;
    }
    switch (random_below(soak, soak->restores ? 10 : 9)) {
    case 0:
        RsSoakTarget_Crash(target);
        log_fault(soak, "target crashes", number, duration_ms);
        break;
    case 1:
        RsSoakTarget_Drain(target);
        log_fault(soak, "target drains", number, DRAIN_MS);
        uv_timer_start(&slot->recovery_timer, finish_drain, DRAIN_MS, 0);
        return;
    case 2:
        RsSoakTarget_SetSlowdown(target, 8);
        log_fault(soak, "target slow", number, duration_ms);
        break;
    case 3:
        RsSoakTarget_SetLateOrders(target, true);
        log_fault(soak, "target applies orders late", number, duration_ms);
        break;
    case 4:
        RsSoakTarget_SetReporting(target, false);
        log_fault(soak, "target stops reporting", number, duration_ms);
        break;
    case 5:
        RsLinkProxy_SetCut(RsSoakTarget_Proxy(target), true);
        log_fault(soak, "target link cut", number, duration_ms);
        break;
    case 6:
        RsLinkProxy_CloseConnections(RsSoakTarget_Proxy(target));
        log_fault(soak, "target's connections reset", number, 0);
        return;
    case 7:
        RsLinkProxy_SetOneWayCut(RsSoakTarget_Proxy(target), true);
        log_fault(soak, "target's responses lost", number, duration_ms);
        break;
    case 9:
        RsSoakTarget_Close(target, REFUSAL_RETRY_AFTER);
        log_fault(soak, "target refuses for a time", number, duration_ms);
        break;
    default:
        RsLinkProxy_SetDelay(RsSoakTarget_Proxy(target), 80000);
        log_fault(soak, "target's link slow", number, duration_ms);
    }
    uv_timer_start(&slot->recovery_timer, recover_target, duration_ms, 0);
}

/* Switches the store to a random failure mode, unless the store already has
 * one. */
static void
inject_store_fault(struct soak *soak)
{
    static const char *const names[] = {"store up",
                                        "store unavailable",
                                        "store unresponsive",
                                        "store loses responses",
                                        "store delays writes",
                                        "store slow"};
    uint64_t duration_ms = random_duration_ms(soak);
    if (uv_is_active((uv_handle_t *)&soak->store_recovery_timer) ||
        RsClock_NowMs() < soak->granter_spared_until_ms) {
        return;
    }
    uint32_t mode = 1 + random_below(soak, 5);
    RsSoakStore_SetMode(soak->store, (enum rs_soak_store_mode)mode);
    log_fault(soak, names[mode], 0, duration_ms);
    uv_timer_start(&soak->store_recovery_timer, recover_store, duration_ms, 0);
}

/* Sets the store back to a copy. */
static void
restore_store(struct soak *soak)
{
    const struct rs_soak_restore restore = {
        .copy_age_ms = random_below(soak, RsSoakStore_MAX_COPY_AGE_MS),
        .away_ms = random_below(soak, MAX_AWAY_MS),
        .rewrite_after_ms = random_below(soak, MAX_REWRITE_DELAY_MS),
    };
    RsSoakStore_Restore(soak->store, &restore);
    log_fault(soak, "store goes back, by ms", restore.copy_age_ms,
              restore.away_ms);
}

/* Makes a random change that an operator could make, trims the store's history
 * or sets the store back to a copy. */
static void
inject_operator_action(struct soak *soak)
{
    switch (random_below(soak, soak->restores ? 6 : 4)) {
    case 4:
    case 5:
        restore_store(soak);
        break;
    case 0:
        replace_key(soak);
        write_config(soak);
        log_fault(soak, "config", soak->config_version, 0);
        break;
    case 1:
        RsSoakStore_TrimHistory(soak->store);
        log_fault(soak, "store history trimmed", 0, 0);
        break;
    case 2:
        RsSoakStore_Put(soak->store, "op", "evacuate/z1", "{}");
        log_fault(soak, "zone evacuated", 1, 0);
        break;
    default:
        RsSoakStore_Delete(soak->store, "op", "evacuate/z1");
        log_fault(soak, "evacuation of the zone ended", 1, 0);
    }
}

/* Injects a random fault, unless the chosen node, target or store has one
 * already, and schedules the next one. */
static void
inject_fault(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    switch (random_below(soak, 8)) {
    case 0:
    case 1:
    case 2:
        inject_node_fault(soak);
        break;
    case 3:
    case 4:
    case 5:
        inject_target_fault(soak);
        break;
    case 6:
        inject_store_fault(soak);
        break;
    default:
        inject_operator_action(soak);
    }
    uv_timer_start(
        &soak->next_fault_timer, inject_fault,
        FAULT_INTERVAL_MIN_MS +
            random_below(soak, FAULT_INTERVAL_MAX_MS - FAULT_INTERVAL_MIN_MS),
        0);
}

/* Restarts nodes that have ended, after a delay. Nodes that kill_node() killed
 * are not seen here, since it waits for their end itself. */
static void
watch_processes(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    for (uint32_t i = 0; i < soak->node_count; i++) {
        struct node *node = &soak->nodes[i];
        if (!notice_end(soak, node)) {
            continue;
        }
        uv_timer_start(
            &node->recovery_timer, recover_node,
            soak->recovering ? 1 : random_below(soak, MAX_RESTART_DELAY_MS),
            0);
    }
}

/* Ends the final phase and the run. Too few served requests are a violation
 * (RECOVER). */
static void
finish(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    struct rs_soak_tally tally = RsSoakCallers_TakeTally(soak->callers);
    printf("final: %lu asked, %lu served, %lu refused, %lu failed\n",
           (unsigned long)tally.started, (unsigned long)tally.served,
           (unsigned long)tally.refused, (unsigned long)tally.failed);
    if (tally.served * 100 < tally.started * MIN_SERVED_PERCENT) {
        RsCheck_ReportViolation(
            &soak->check, "RECOVER", RsClock_NowMs(),
            "only %lu of %lu requests were served after recovery",
            (unsigned long)tally.served, (unsigned long)tally.started);
    }
    RsSoakCallers_Stop(soak->callers);
    uv_stop(&soak->loop);
}

/* Ends the recovery and starts the final phase, in which served requests are
 * counted. */
static void
start_final_phase(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    struct rs_soak_tally tally = RsSoakCallers_TakeTally(soak->callers);
    printf("under faults: %lu asked, %lu served, %lu refused, %lu failed\n",
           (unsigned long)tally.started, (unsigned long)tally.served,
           (unsigned long)tally.refused, (unsigned long)tally.failed);
    soak->workspaces.in_force_ms = CHANGE_IN_FORCE_MS;
    if (soak->has_workspaces) {
        replace_key(soak);
        write_config(soak);
    }
    uv_timer_start(&soak->phase_timer, finish, FINAL_PHASE_MS, 0);
}

/* Ends all faults, restarts all targets and starts the recovery. */
static void
end_fault_phase(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    soak->recovering = true;
    uv_timer_stop(&soak->next_fault_timer);
    uv_timer_stop(&soak->store_recovery_timer);
    recover_store(&soak->store_recovery_timer);
    RsSoakStore_Delete(soak->store, "op", "evacuate/z1");
    for (uint32_t i = 0; i < soak->node_count; i++) {
        uv_timer_stop(&soak->nodes[i].recovery_timer);
        recover_node(&soak->nodes[i].recovery_timer);
    }
    for (uint32_t i = 0; i < soak->target_count; i++) {
        uv_timer_stop(&soak->targets[i].recovery_timer);
        RsSoakTarget_Crash(soak->targets[i].target);
        recover_target(&soak->targets[i].recovery_timer);
    }
    uv_timer_start(&soak->phase_timer, start_final_phase, RECOVERY_MS, 0);
}

/* Ends the warm-up, injects the violation or crash chosen with --plant, if
 * any, and starts to inject random faults. */
static void
start_fault_phase(uv_timer_t *timer)
{
    struct soak *soak = timer->data;
    for (uint32_t i = 0; i < soak->target_count; i++) {
        RsSoakTarget_InjectViolation(soak->targets[i].target,
                                     soak->injected_violation);
    }
    if (soak->crash_node) {
        /* The first random fault may kill the same node. */
        RsProcess_Signal(&soak->nodes[0].process, SIGABRT);
        RsProcess_AwaitEnd(&soak->nodes[0].process);
    }
    uv_timer_start(&soak->next_fault_timer, inject_fault, 1, 0);
    uv_timer_start(&soak->phase_timer, end_fault_phase,
                   (uint64_t)soak->fault_phase_ms, 0);
}

/* Opens and starts the targets. Returns false if a port is in use. */
static bool
open_targets(struct soak *soak)
{
    for (uint32_t i = 0; i < soak->target_count; i++) {
        struct target_slot *slot = &soak->targets[i];
        bool sharded = i % (SHARDED_PER_UNSHARDED + 1) != 0;
        const struct rs_soak_target_options options = {
            .loop = &soak->loop,
            .number = i,
            .service = sharded ? "keyed" : "plain",
            .zone = i % 2 == 0 ? "z1" : "z2",
            .sharded = sharded,
            .port = (uint16_t)(soak->base_port + TARGET_PORT_OFFSET + 2 * i),
            .proxy_port =
                (uint16_t)(soak->base_port + TARGET_PORT_OFFSET + 2 * i + 1),
            .work_ms = TARGET_WORK_MS,
            /* Such targets are sent grants without being asked first. */
            .hides_load = soak->hold_ups && i % 2 == 0,
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
        uv_timer_init(&soak->loop, &slot->recovery_timer);
        slot->recovery_timer.data = slot;
    }
    return true;
}

/* Starts the nodes and the proxies through which they reach the store. Returns
 * false on failure. */
static bool
open_nodes(struct soak *soak)
{
    for (uint32_t i = 0; i < soak->node_count; i++) {
        struct node *node = &soak->nodes[i];
        char name[16];
        char host[24];
        char *path = g_strdup_printf("%s/n%u.yaml", soak->folder, i);
        const uint32_t first_port = soak->base_port + TARGET_PORT_OFFSET;
        const struct rs_link_cut_options cut = {
            .folder = soak->folder,
            .library = RATTANSHED_CUT_LIBRARY,
            .node = i,
            .first_port = first_port,
            .last_port = first_port + 2 * soak->target_count - 1,
        };
        RsLinkCut_Init(&soak->nodes[i].link_cut, &cut);
        char **variables = soak->nodes[i].link_cut.variables;
        const char *const arguments[] = {
            "/usr/bin/env", variables[0],  variables[1], variables[2],
            variables[3],   soak->program, "--serve",    "-c",
            path,           NULL};
        struct rs_link_route route = {
            .listen_port =
                (uint16_t)(soak->base_port + STORE_PROXY_PORT_OFFSET + i),
            .target_host = "127.0.0.1",
            .target_port = (uint16_t)(soak->base_port + STORE_PORT_OFFSET),
            .delay_us = RsLinkRoute_DEFAULT_DELAY,
        };
        snprintf(name, sizeof(name), "n%u", i);
        snprintf(host, sizeof(host), "127.0.1.%u", i + 1);
        uv_ip4_addr(host, soak->base_port + RsSoakSetup_CALLER_PORT,
                    &soak->node_caller_addresses[i]);
        node->soak = soak;
        node->store_proxy = RsLinkProxy_New(&route, &soak->loop);
        uv_timer_init(&soak->loop, &node->recovery_timer);
        node->recovery_timer.data = node;
        struct rs_soak_node_setup *setup = &node->setup;
        *setup = (struct rs_soak_node_setup){
            .number = i,
            .base_port = soak->base_port,
            .store_port = route.listen_port,
            .bootstrap = true,
            .revoke_ms = soak->has_workspaces ? REVOKE_MS : 0,
        };
        bool ready = RsSoakSetup_WriteSettings(setup, path) &&
                     RsLinkProxy_Listen(node->store_proxy) == 0;
        RsProcess_Init(&node->process, name, soak->folder, arguments);
        g_free(path);
        if (!ready || RsProcess_Start(&node->process) != 0) {
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
        &soak->loop, (uint16_t)(soak->base_port + STORE_PORT_OFFSET),
        soak->random);
    if (soak->store == NULL || !open_targets(soak)) {
        return false;
    }
    if (soak->has_workspaces) {
        RsSoakWorkspaces_Init(&soak->workspaces, &soak->check, soak->random,
                              RsClock_NowMs());
        soak->workspaces.in_force_ms = KEY_IN_FORCE_MS;
        soak->check.workspaces = &soak->workspaces;
    }
    write_config(soak);
    if (!open_nodes(soak)) {
        return false;
    }
    const struct rs_soak_callers_options callers = {
        .loop = &soak->loop,
        .node_addresses = soak->node_caller_addresses,
        .node_count = soak->node_count,
        .callers = 6 * soak->node_count,
        .pause_ms = CALLER_PAUSE_MS,
        .check = &soak->check,
        .random = soak->random,
    };
    soak->callers = RsSoakCallers_Open(&callers);
    open_timer(soak, &soak->next_fault_timer);
    open_timer(soak, &soak->store_recovery_timer);
    uv_timer_start(open_timer(soak, &soak->watch_processes), watch_processes,
                   20, 20);
    uv_timer_start(open_timer(soak, &soak->phase_timer), start_fault_phase,
                   WARMUP_MS, 0);
    return true;
}

/* Runs the soak. Returns the exit status: 0 if there were no violations, 1 if
 * there were some, 2 if it could not start. */
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
        printf("setup failed; a port may be in use\n");
        return 2;
    }
    printf("seed %u: %lu faults, %u violations\n", seed,
           (unsigned long)soak->fault_count, soak->check.violation_count);
    return soak->check.violation_count == 0 ? 0 : 1;
}

/* Sets the violation or crash named by --plant. Returns false for an unknown
 * name. */
static bool
parse_violation(struct soak *soak, const char *name)
{
    static const char *const names[] = {"none", "owner", "twice", "mixed",
                                        "key"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(name, names[i]) == 0) {
            soak->injected_violation = (enum rs_soak_violation)i;
            return true;
        }
    }
    soak->crash_node = strcmp(name, "crash") == 0;
    return soak->crash_node;
}

int
main(int argc, char **argv)
{
    struct arg_file *program = arg_file1(NULL, NULL, "PROGRAM", "rattanshed");
    struct arg_int *seed =
        arg_int0(NULL, "seed", "N", "seed of the faults, default 1");
    struct arg_int *nodes =
        arg_int0(NULL, "nodes", "N", "number of nodes, default 4");
    struct arg_int *targets =
        arg_int0(NULL, "targets", "N", "number of targets, default 8");
    struct arg_int *seconds =
        arg_int0(NULL, "seconds", "N", "duration of the faults, default 20");
    struct arg_int *port =
        arg_int0(NULL, "port", "N", "first port, default 21000");
    struct arg_str *injected_violation =
        arg_str0(NULL, "plant", "FAULT",
                 "violation to inject: owner, twice, mixed, key or crash");
    struct arg_lit *restores =
        arg_lit0(NULL, "restores", "the store may go back to a copy");
    struct arg_lit *links =
        arg_lit0(NULL, "links", "nodes may lose their links to all targets");
    struct arg_lit *limits =
        arg_lit0(NULL, "limits", "targets may state request limits");
    struct arg_lit *hold_ups = arg_lit0(
        NULL, "hold-ups", "what nodes send to targets may be held up");
    struct arg_lit *workspaces =
        arg_lit0(NULL, "workspaces", "requests need API keys, which change");
    struct arg_lit *verbose = arg_lit0("v", NULL, "print the faults");
    struct arg_end *ends = arg_end(4);
    void *table[] = {program,
                     seed,
                     nodes,
                     targets,
                     seconds,
                     port,
                     injected_violation,
                     restores,
                     links,
                     limits,
                     hold_ups,
                     workspaces,
                     verbose,
                     ends};
    seed->ival[0] = 1;
    nodes->ival[0] = 4;
    targets->ival[0] = 8;
    seconds->ival[0] = 20;
    port->ival[0] = 21000;
    injected_violation->sval[0] = "none";
    static struct soak soak;
    if (arg_parse(argc, argv, table) != 0 || nodes->ival[0] < 1 ||
        nodes->ival[0] > MAX_NODES || targets->ival[0] < 2 ||
        targets->ival[0] > RsCheck_MAX_TARGETS ||
        !parse_violation(&soak, injected_violation->sval[0])) {
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
    soak.fault_phase_ms = (int64_t)seconds->ival[0] * 1000;
    soak.base_port = (uint16_t)port->ival[0];
    soak.restores = restores->count > 0;
    soak.links = links->count > 0;
    soak.limits = limits->count > 0;
    soak.hold_ups = hold_ups->count > 0;
    soak.has_workspaces = workspaces->count > 0;
    soak.verbose = verbose->count > 0;
    snprintf(soak.folder, sizeof(soak.folder), "/tmp/soak-XXXXXX");
    if (g_mkdtemp(soak.folder) == NULL) {
        return 2;
    }
    return run(&soak, (uint32_t)seed->ival[0]);
}
