#include "control/control_task.h"

#include <string.h>

#include "cell/cell_wire.h"
#include "control/state.h"
#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"
#include "ticket/ticket.h"

#define TICK_MS 10
#define PLATFORM_TIMEOUT_MS 2000
#define FORGET_MEMBER_AFTER_MS 60000
#define LOADS_INTERVAL_MS 2000
#define PERCENT 100
/* Time for load balancers to notice and send no more requests to this process.
 */
#define MIN_SHUTDOWN_MS 1500

static void
post_pointer(struct rs_control *control, int kind, void *pointer,
             void (*dispose)(struct rs_message *message))
{
    struct rs_task_pointer *message = g_new0(struct rs_task_pointer, 1);
    message->message.kind = kind;
    message->message.dispose = dispose;
    message->pointer = pointer;
    RsMailbox_Post(control->options.data, &message->message);
}

static void
dispose_view(struct rs_message *message)
{
    RsView_Unref(((struct rs_task_pointer *)message)->pointer);
    g_free(message);
}

static void
dispose_leases(struct rs_message *message)
{
    RsLeaseTable_Unref(((struct rs_task_pointer *)message)->pointer);
    g_free(message);
}

static void
dispose_message(struct rs_message *message)
{
    g_free(message);
}

static void
on_publish(void *arg, struct rs_lease_table *table)
{
    post_pointer(arg, RsTask_LEASES, table, dispose_leases);
}

static void
on_send_cell(void *arg, const char *to, const struct rs_cell_message *message)
{
    struct rs_control *control = arg;
    const struct rs_view_vm *vm =
        control->view != NULL ? RsView_Vm(control->view, to) : NULL;
    if (vm == NULL) {
        return;
    }
    size_t size;
    uint8_t *data = RsCellWire_Pack(message, &size);
    RsPeers_SendFrame(control->peers, to, &vm->control, data, size);
}

static void
on_feed_changed(void *arg)
{
    struct rs_control *control = arg;
    control->snapshot_due = true;
}

static void
on_commit_ended(void *arg)
{
    struct rs_control *control = arg;
    RsFeed_PollNow(control->feed);
}

static void
add_config_row(void *arg, const struct rs_mirror_row *row)
{
    GArray *rows = arg;
    struct rs_config_row copy = {
        .key = row->key,
        .version = row->version,
        .value = json_loads(row->value, JSON_DECODE_ANY, NULL),
    };
    if (copy.value != NULL) {
        g_array_append_val(rows, copy);
    }
}

static struct rs_config *
build_config(const struct rs_mirror *mirror)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct rs_config_row));
    RsMirror_VisitPrefix(mirror, "object/", add_config_row, rows);
    RsMirror_VisitPrefix(mirror, RsTicket_HEAD_KEY, add_config_row, rows);
    const struct rs_config_row *data =
        (const struct rs_config_row *)(void *)rows->data;
    struct rs_config *config = RsConfig_Build(data, rows->len);
    for (guint i = 0; i < rows->len; i++) {
        json_decref(g_array_index(rows, struct rs_config_row, i).value);
    }
    g_array_free(rows, TRUE);
    return config;
}

/* The number and the highest version of the table rows from which the
 * configuration is built. */
struct config_row_summary {
    uint64_t count;
    uint64_t highest_version;
};

static void
summarize_row(void *arg, const struct rs_mirror_row *row)
{
    struct config_row_summary *rows = arg;
    rows->count++;
    rows->highest_version = MAX(rows->highest_version, row->version);
}

/* Builds the configuration anew if the number of its rows or their highest
 * version has changed since the last time. */
static void
update_config(struct rs_control *control)
{
    const struct rs_mirror *mirror = RsFeed_Mirror(control->feed);
    struct config_row_summary rows = {0};
    RsMirror_VisitPrefix(mirror, "object/", summarize_row, &rows);
    RsMirror_VisitPrefix(mirror, RsTicket_HEAD_KEY, summarize_row, &rows);
    if (control->config != NULL && rows.count == control->config_row_count &&
        rows.highest_version == control->config_highest_version) {
        return;
    }
    control->config_row_count = rows.count;
    control->config_highest_version = rows.highest_version;
    RsConfig_Unref(control->config);
    control->config = build_config(mirror);
}

/* Builds a new snapshot from the mirror and the list of VMs, passes it to the
 * leases and the data task, and makes the next round of planning plan again.
 */
static void
make_snapshot(struct rs_control *control, int64_t now_ms)
{
    int64_t began_us = RsClock_NowUs();
    update_config(control);
    struct rs_view_options options = {
        .mirror = RsFeed_Mirror(control->feed),
        .config = control->config,
        .vms = RsFeed_Vms(control->feed),
        .assignment_cache = control->assignment_cache,
    };
    RsView_Unref(control->view);
    control->view = RsView_New(&options);
    RsLeases_SetView(control->leases, now_ms, RsView_Ref(control->view),
                     control->table_was_read);
    post_pointer(control, RsTask_VIEW, RsView_Ref(control->view),
                 dispose_view);
    RsPlanning_MarkChanged(control->planning);
    RsCounter_Add(&control->snapshots, 1);
    RsCounter_Add(&control->snapshot_us,
                  (uint64_t)(RsClock_NowUs() - began_us));
    RsLog_EVENT(
        RsLog_DEBUG, "snapshot",
        RsLog_NUMBER("revision", RsView_Revision(control->view)),
        RsLog_NUMBER("ticket", RsConfig_AppliedTicket(control->config)));
}

static void
send_changes_to(struct rs_control *control, const char *to, uint64_t after)
{
    const struct rs_view_vm *vm =
        control->view != NULL ? RsView_Vm(control->view, to) : NULL;
    Rs__Member__Changes changes = RS__MEMBER__CHANGES__INIT;
    Rs__Wire__Peer message = RS__WIRE__PEER__INIT;
    if (vm == NULL) {
        return;
    }
    RsFeed_FillChanges(control->feed, after, &changes);
    message.message_case = RS__WIRE__PEER__MESSAGE_CHANGES;
    message.changes = &changes;
    RsPeers_Send(control->peers, to, &vm->control, &message);
    RsFeed_FreeChanges(&changes);
}

static void
handle_cell_message(struct rs_control *control, const Rs__Wire__Peer *message)
{
    struct rs_cell_message cell = {0};
    uint64_t self = RsId_FromName(control->settings->name);
    if (RsCellWire_Unpack(message, self, &cell) == 0) {
        RsLeases_Receive(control->leases, RsClock_NowMs(), &cell);
        RsCell_FreeMessage(&cell);
    }
}

static void
on_peer_message(void *arg, const char *from, const Rs__Wire__Peer *message)
{
    struct rs_control *control = arg;
    switch (message->message_case) {
    case RS__WIRE__PEER__MESSAGE_HEARTBEAT:
        RsControlHeartbeat_Receive(control, from, message->heartbeat);
        break;
    case RS__WIRE__PEER__MESSAGE_CHANGES_REQUEST:
        send_changes_to(control, from, message->changes_request->after);
        break;
    case RS__WIRE__PEER__MESSAGE_CHANGES:
        RsFeed_ApplyChanges(control->feed, message->changes);
        break;
    case RS__WIRE__PEER__MESSAGE_LOADS:
        if (RsLoads_ApplyPeerReport(control->loads, RsClock_NowMs(),
                                    message->loads)) {
            RsPlanning_RequestReview(control->planning);
        }
        break;
    case RS__WIRE__PEER__MESSAGE_RENEW:
    case RS__WIRE__PEER__MESSAGE_RENEW_ANSWER:
    case RS__WIRE__PEER__MESSAGE_SEAL:
    case RS__WIRE__PEER__MESSAGE_SEAL_ANSWER:
        handle_cell_message(control, message);
        break;
    default:
        break;
    }
}

/* Reports the loads that this process observed to the planner of its cell,
 * when that is due and the planner is another process. */
static void
send_loads(struct rs_control *control, int64_t now_ms)
{
    const struct rs_view_cell *cell = RsLeases_Cell(control->leases);
    if (cell == NULL || now_ms < control->next_load_report_at_ms) {
        return;
    }
    control->next_load_report_at_ms = now_ms + LOADS_INTERVAL_MS;
    const char *planner =
        RsPlanning_PlannerOf(control->planning, cell, now_ms);
    const struct rs_view_vm *vm = RsView_Vm(control->view, planner);
    if (vm == NULL || strcmp(planner, control->settings->name) == 0) {
        return;
    }
    Rs__Member__Loads loads = RS__MEMBER__LOADS__INIT;
    Rs__Wire__Peer message = RS__WIRE__PEER__INIT;
    RsLoads_FillReport(control->loads, now_ms, &loads);
    message.message_case = RS__WIRE__PEER__MESSAGE_LOADS;
    message.loads = &loads;
    RsPeers_Send(control->peers, planner, &vm->control, &message);
    RsLoads_FreeReport(&loads);
}

static bool
is_marked_leaving(const struct rs_control *control)
{
    const struct rs_view_vm *vm =
        control->view != NULL
            ? RsView_Vm(control->view, control->settings->name)
            : NULL;
    return vm != NULL && vm->leaving;
}

/* Reports that the process may exit once all slices are released, callers have
 * their answers and load balancers had time to notice, or when the deadline of
 * the shutdown has passed. */
static void
tick_leaving(struct rs_control *control, int64_t now_ms)
{
    if (control->leave_deadline_ms == 0) {
        return;
    }
    bool handed_over = RsLeases_HeldCount(control->leases) == 0;
    bool notice_period_over = now_ms >= control->leave_not_before_ms;
    bool done = handed_over && control->data_idle && notice_period_over;
    if (done || now_ms >= control->leave_deadline_ms) {
        RsLog_EVENT(RsLog_INFO, "left", RsLog_NUMBER("whole", done));
        control->options.on_shutdown_complete(control->options.arg);
    }
}

/* Notes when this process has completed a read of the table (up to the last
 * page) that began after its first lease period. Until then it must make no
 * lease promises: it starts without a memory of those that it made before a
 * restart, and a roster change that was in progress at its start may be
 * completed without it in that time. */
static void
check_first_table_read(struct rs_control *control)
{
    int64_t lease_period_end_ms =
        control->started_at_ms + control->settings->tunables.lease_ms;
    if (!control->table_was_read &&
        RsFeed_LastReadBeganAtMs(control->feed) > lease_period_end_ms) {
        control->table_was_read = true;
        control->snapshot_due = true;
    }
}

/* Notifies the planner of each newly read list of VMs, once the snapshot
 * contains the list. A VM counts as gone only when lists that were read lack
 * the VM, not by time alone, so that no VM counts as gone while the platform
 * does not answer. */
static void
check_vm_list(struct rs_control *control, int64_t now_ms)
{
    int64_t read_at_ms = RsFeed_VmsReadAtMs(control->feed);
    if (control->view != NULL &&
        read_at_ms != control->handled_vms_read_at_ms &&
        !control->snapshot_due) {
        control->handled_vms_read_at_ms = read_at_ms;
        RsPlanning_VmsWereRead(control->planning, now_ms, control->view);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    struct rs_control *control = timer->data;
    int64_t now_ms = RsClock_NowMs();
    bool reader = !control->table_was_read ||
                  RsControlHeartbeat_IsReader(control, now_ms);
    RsFeed_Tick(control->feed, now_ms, reader);
    check_first_table_read(control);
    if (control->snapshot_due && RsFeed_Vms(control->feed) != NULL) {
        control->snapshot_due = false;
        make_snapshot(control, now_ms);
    }
    RsControlHeartbeat_Tick(control, now_ms);
    if (control->view != NULL) {
        RsLeases_Tick(control->leases, now_ms);
        RsPlanning_Tick(control->planning, now_ms, control->view);
    }
    send_loads(control, now_ms);
    RsMembers_Forget(control->members, now_ms);
    check_vm_list(control, now_ms);
    if (!control->leaving && (is_marked_leaving(control) ||
                              RsLeases_MovedToOtherCell(control->leases))) {
        RsControl_Leave(control);
    }
    tick_leaving(control, now_ms);
}

static void
create_components(struct rs_control *control, int64_t now_ms)
{
    const struct rs_settings *settings = control->settings;
    const struct rs_settings_tunables *tunables = &settings->tunables;
    struct rs_members_options member_options = {
        .self = settings->name,
        .suspect_after_ms = tunables->suspect_after_ms,
        .forget_after_ms = FORGET_MEMBER_AFTER_MS,
        .seed = control->options.incarnation,
    };
    struct rs_feed_options feed_options = {
        .platform = control->platform,
        .domain = settings->domain,
        .poll_every_ms = tunables->poll_every_ms,
        .changed = on_feed_changed,
        .arg = control,
    };
    control->members = RsMembers_New(&member_options);
    control->feed = RsFeed_New(&feed_options);
    struct rs_leases_options lease_options = {
        .self = settings->name,
        .incarnation = control->options.incarnation,
        .now_ms = now_ms,
        .lease_ms = tunables->lease_ms,
        .renew_every_ms = tunables->renew_every_ms,
        .margin_ms = tunables->margin_ms,
        .members = control->members,
        .send = on_send_cell,
        .publish = on_publish,
        .arg = control,
    };
    control->leases = RsLeases_New(&lease_options);
    control->loads = RsLoads_New();
    control->assignment_cache = RsAssignmentCache_New();
    struct rs_planning_options planning_options = {
        .loads = control->loads,
        .self = settings->name,
        .domain = settings->domain,
        .platform = control->platform,
        .members = control->members,
        .leases = control->leases,
        .lease_ms = tunables->lease_ms,
        .commit_ended = on_commit_ended,
        .arg = control,
    };
    control->planning = RsPlanning_New(&planning_options);
}

static int
open_platform(struct rs_control *control)
{
    const struct rs_settings *settings = control->settings;
    struct rs_platform_options options = {
        .loop = control->options.loop,
        .domain = settings->domain,
        .timeout_ms = PLATFORM_TIMEOUT_MS,
    };
    int status = RsHttp_ParseAddress(settings->platform.address,
                                     (uint16_t)settings->platform.port,
                                     &options.address);
    control->platform = RsPlatform_OpenHttp(&options);
    return status;
}

static int
open_peers(struct rs_control *control)
{
    const struct rs_settings *settings = control->settings;
    struct rs_peers_options options = {
        .loop = control->options.loop,
        .self = settings->name,
        .incarnation = control->options.incarnation,
        .handler = on_peer_message,
        .arg = control,
    };
    int status = RsHttp_ParseAddress(settings->peers.address,
                                     (uint16_t)settings->peers.control_port,
                                     &options.address);
    return status != 0 ? status : RsPeers_Open(&options, &control->peers);
}

/* Opens the listeners and starts the timer. The task lives as long as the
 * process. Returns 0 or the error of the step that failed. */
int
RsControl_Open(const struct rs_control_options *options,
               struct rs_control **out)
{
    struct rs_control *control = g_new0(struct rs_control, 1);
    control->options = *options;
    control->settings = options->settings;
    control->random = g_rand_new_with_seed((guint32)options->incarnation);
    control->pending_dumps =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    control->started_at_ms = RsClock_NowMs();
    *out = control;
    int status = open_platform(control);
    if (status == 0) {
        create_components(control, control->started_at_ms);
        status = open_peers(control);
    }
    if (status == 0) {
        status = RsControlAdmin_Open(control);
    }
    if (status == 0) {
        uv_timer_init(options->loop, &control->timer);
        control->timer.data = control;
        uv_timer_start(&control->timer, on_tick, 0, TICK_MS);
    }
    return status;
}

/* Handles a report of the data task: a slice is drained, or its target knows a
 * higher fence. */
static void
handle_slice(struct rs_control *control, const struct rs_task_slice *slice,
             int64_t now_ms)
{
    if (slice->message.kind == RsTask_SLICE_DRAINED) {
        RsLeases_SliceDrained(control->leases, now_ms, slice->slice,
                              slice->epoch, slice->step);
    }
    else {
        RsLog_EVENT(RsLog_WARNING, "fence_stale",
                    RsLog_NUMBER("epoch", slice->epoch),
                    RsLog_NUMBER("step", slice->step));
        RsLeases_FenceStale(control->leases, now_ms, slice->slice);
    }
}

/* Records the share of a target. If it changed much, the loads are reported to
 * the planner of the cell at the next tick, and the next round of planning by
 * this process also balances the load of rules that need no other change. */
static void
handle_share(struct rs_control *control, const struct rs_task_target *report,
             int64_t now_ms)
{
    if (RsLoads_RecordOwnShare(control->loads, now_ms, report->target,
                               report->share)) {
        RsLog_EVENT(RsLog_INFO, "target_share",
                    RsLog_TEXT("target", report->target),
                    RsLog_NUMBER("percent", report->share * PERCENT));
        control->next_load_report_at_ms = 0;
        RsPlanning_RequestReview(control->planning);
    }
}

/* Handles a message of the data task and frees it. `arg` is the struct
 * rs_control. Runs on the loop of the control task. */
void
RsControl_HandleMessage(void *arg, struct rs_message *message)
{
    struct rs_control *control = arg;
    int64_t now_ms = RsClock_NowMs();
    switch (message->kind) {
    case RsTask_TARGET_LOST:
    case RsTask_TARGET_UP:
        RsLeases_TargetChanged(control->leases,
                               ((struct rs_task_target *)message)->target,
                               message->kind == RsTask_TARGET_LOST);
        RsPlanning_MarkChanged(control->planning);
        RsLeases_Tick(control->leases, now_ms);
        break;
    case RsTask_SLICE_DRAINED:
    case RsTask_FENCE_STALE:
        handle_slice(control, (struct rs_task_slice *)message, now_ms);
        break;
    case RsTask_LOADS:
        RsLoads_RecordOwnRates(control->loads, now_ms,
                               (struct rs_task_loads *)message);
        break;
    case RsTask_TARGET_SHARE:
        handle_share(control, (struct rs_task_target *)message, now_ms);
        break;
    case RsTask_DUMPED:
        RsControlAdmin_CompleteDump(control, (struct rs_task_dump *)message);
        break;
    case RsTask_IDLE:
        control->data_idle = true;
        break;
    default:
        break;
    }
    message->dispose(message);
}

/* Begins a graceful shutdown: the health page reports that this process
 * leaves, its slices are released, and requests that have arrived are
 * answered. The process may exit when all that is done and MIN_SHUTDOWN_MS
 * have passed, or when the grace period ends. */
void
RsControl_Leave(struct rs_control *control)
{
    if (control->leaving) {
        return;
    }
    int64_t now_ms = RsClock_NowMs();
    RsLog_EVENT(RsLog_INFO, "leaving",
                RsLog_NUMBER("held", RsLeases_HeldCount(control->leases)));
    control->leaving = true;
    control->leave_not_before_ms = now_ms + MIN_SHUTDOWN_MS;
    control->leave_deadline_ms =
        now_ms + control->settings->tunables.shutdown_grace_ms;
    control->next_heartbeat_at_ms = 0;
    RsLeases_BeginLeaving(control->leases);
    struct rs_message *message = g_new0(struct rs_message, 1);
    message->kind = RsTask_LEAVE;
    message->dispose = dispose_message;
    RsMailbox_Post(control->options.data, message);
}
