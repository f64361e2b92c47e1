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
#define FORGET_AFTER_MS 60000
#define LOADS_EVERY_MS 2000
#define PERCENT 100
#define HEALTH_NOTICE_MS 1500 /* for the balancer to see that we leave */

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
dispose_plain(struct rs_message *message)
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
on_changed(void *arg)
{
    struct rs_control *control = arg;
    control->snapshot_due = true;
}

static void
on_written(void *arg)
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

struct object_rows {
    uint64_t count;
    uint64_t newest;
};

static void
look_at_row(void *arg, const struct rs_mirror_row *row)
{
    struct object_rows *rows = arg;
    rows->count++;
    rows->newest = MAX(rows->newest, row->version);
}

/* The configuration is built anew only when one of its rows changed. */
static void
update_config(struct rs_control *control)
{
    const struct rs_mirror *mirror = RsFeed_Mirror(control->feed);
    struct object_rows rows = {0};
    RsMirror_VisitPrefix(mirror, "object/", look_at_row, &rows);
    RsMirror_VisitPrefix(mirror, RsTicket_HEAD_KEY, look_at_row, &rows);
    if (control->config != NULL && rows.count == control->config_row_count &&
        rows.newest == control->config_newest_version) {
        return;
    }
    control->config_row_count = rows.count;
    control->config_newest_version = rows.newest;
    RsConfig_Unref(control->config);
    control->config = build_config(mirror);
}

/* Makes a new snapshot of what is known and hands it to all who use it. */
static void
make_snapshot(struct rs_control *control, int64_t now_ms)
{
    int64_t began_us = RsClock_NowUs();
    update_config(control);
    struct rs_view_options options = {
        .mirror = RsFeed_Mirror(control->feed),
        .config = control->config,
        .vms = RsFeed_Vms(control->feed),
        .chunks = control->chunks,
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
send_changes(struct rs_control *control, const char *to, uint64_t after)
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
take_cell_message(struct rs_control *control, const Rs__Wire__Peer *message)
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
        send_changes(control, from, message->changes_request->after);
        break;
    case RS__WIRE__PEER__MESSAGE_CHANGES:
        RsFeed_TakeChanges(control->feed, message->changes);
        break;
    case RS__WIRE__PEER__MESSAGE_LOADS:
        if (RsLoads_TakePeer(control->loads, RsClock_NowMs(),
                             message->loads)) {
            RsPlanning_RequestReview(control->planning);
        }
        break;
    case RS__WIRE__PEER__MESSAGE_RENEW:
    case RS__WIRE__PEER__MESSAGE_RENEW_ANSWER:
    case RS__WIRE__PEER__MESSAGE_SEAL:
    case RS__WIRE__PEER__MESSAGE_SEAL_ANSWER:
        take_cell_message(control, message);
        break;
    default:
        break;
    }
}

/* The member that plans for the cell is told what this one's slices get. */
static void
send_loads(struct rs_control *control, int64_t now_ms)
{
    const struct rs_view_cell *cell = RsLeases_Cell(control->leases);
    if (cell == NULL || now_ms < control->loads_at_ms) {
        return;
    }
    control->loads_at_ms = now_ms + LOADS_EVERY_MS;
    const char *planner =
        RsPlanning_PlannerOf(control->planning, cell, now_ms);
    const struct rs_view_vm *vm = RsView_Vm(control->view, planner);
    if (vm == NULL || strcmp(planner, control->settings->name) == 0) {
        return;
    }
    Rs__Member__Loads loads = RS__MEMBER__LOADS__INIT;
    Rs__Wire__Peer message = RS__WIRE__PEER__INIT;
    RsLoads_Fill(control->loads, now_ms, &loads);
    message.message_case = RS__WIRE__PEER__MESSAGE_LOADS;
    message.loads = &loads;
    RsPeers_Send(control->peers, planner, &vm->control, &message);
    RsLoads_FreeFilled(&loads);
}

static bool
is_told_to_leave(const struct rs_control *control)
{
    const struct rs_view_vm *vm =
        control->view != NULL
            ? RsView_Vm(control->view, control->settings->name)
            : NULL;
    return vm != NULL && vm->leaving;
}

/* Leaving: slices are given back as they drain, callers get their answers,
 * and only then the process ends. */
static void
tick_leaving(struct rs_control *control, int64_t now_ms)
{
    if (control->leave_deadline_ms == 0) {
        return;
    }
    bool handed_over = RsLeases_HeldCount(control->leases) == 0;
    bool noticed = now_ms >= control->leave_not_before_ms;
    bool done = handed_over && control->data_idle && noticed;
    if (done || now_ms >= control->leave_deadline_ms) {
        RsLog_EVENT(RsLog_INFO, "left", RsLog_NUMBER("whole", done));
        control->options.left(control->options.arg);
    }
}

/* A process that starts without memory must read the whole table once after
 * its first lease has passed: a cell's change that was under way when it
 * started may be over by then without it. */
static void
watch_first_reading(struct rs_control *control)
{
    int64_t since_ms =
        control->started_at_ms + control->settings->tunables.lease_ms;
    if (!control->table_was_read &&
        RsFeed_ReadBeganAtMs(control->feed) > since_ms) {
        control->table_was_read = true;
        control->snapshot_due = true;
    }
}

/* What is missing in the list of VMs counts by the readings of the list, not
 * by time alone: without the platform nobody is found to be gone. */
static void
watch_vms(struct rs_control *control, int64_t now_ms)
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
    watch_first_reading(control);
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
    watch_vms(control, now_ms);
    if (!control->leaving && (is_told_to_leave(control) ||
                              RsLeases_MovedToOtherCell(control->leases))) {
        RsControl_Leave(control);
    }
    tick_leaving(control, now_ms);
}

static void
open_parts(struct rs_control *control, int64_t now_ms)
{
    const struct rs_settings *settings = control->settings;
    const struct rs_settings_tunables *tunables = &settings->tunables;
    struct rs_members_options members = {
        .self = settings->name,
        .suspect_after_ms = tunables->suspect_after_ms,
        .forget_after_ms = FORGET_AFTER_MS,
        .seed = control->options.incarnation,
    };
    struct rs_feed_options feed = {
        .platform = control->platform,
        .domain = settings->domain,
        .poll_every_ms = tunables->poll_every_ms,
        .changed = on_changed,
        .arg = control,
    };
    control->members = RsMembers_New(&members);
    control->feed = RsFeed_New(&feed);
    struct rs_leases_options leases = {
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
    control->leases = RsLeases_New(&leases);
    control->loads = RsLoads_New();
    control->chunks = RsChunks_New();
    struct rs_planning_options planning = {
        .loads = control->loads,
        .self = settings->name,
        .domain = settings->domain,
        .platform = control->platform,
        .members = control->members,
        .leases = control->leases,
        .lease_ms = tunables->lease_ms,
        .written = on_written,
        .arg = control,
    };
    control->planning = RsPlanning_New(&planning);
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

/* Opens the listeners and begins. The task lives as long as the process.
 * Returns 0 or the error of the listener that can't be had. */
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
        open_parts(control, control->started_at_ms);
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

static void
take_slice(struct rs_control *control, const struct rs_task_slice *slice,
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
        RsLeases_SliceStale(control->leases, now_ms, slice->slice);
    }
}

/* A target that got slow, or fast again, is told of at once. */
static void
take_share(struct rs_control *control, const struct rs_task_target *word,
           int64_t now_ms)
{
    if (RsLoads_TakeOwnShare(control->loads, now_ms, word->target,
                             word->capacity)) {
        RsLog_EVENT(RsLog_INFO, "target_share",
                    RsLog_TEXT("target", word->target),
                    RsLog_NUMBER("percent", word->capacity * PERCENT));
        control->loads_at_ms = 0;
        RsPlanning_RequestReview(control->planning);
    }
}

/* Takes a message of the data task in, and frees it. */
void
RsControl_TakeMessage(void *arg, struct rs_message *message)
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
    case RsTask_SLICE_STALE:
        take_slice(control, (struct rs_task_slice *)message, now_ms);
        break;
    case RsTask_LOADS:
        RsLoads_TakeOwn(control->loads, now_ms,
                        (struct rs_task_loads *)message);
        break;
    case RsTask_TARGET_SHARE:
        take_share(control, (struct rs_task_target *)message, now_ms);
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

/* The health page turns the balancer away, slices go to the other members,
 * requests that came are answered; the process ends when all is done, or at
 * the end of the grace. */
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
    control->leave_not_before_ms = now_ms + HEALTH_NOTICE_MS;
    control->leave_deadline_ms =
        now_ms + control->settings->tunables.shutdown_grace_ms;
    control->heartbeat_at_ms = 0;
    RsLeases_ReleaseAll(control->leases);
    struct rs_message *message = g_new0(struct rs_message, 1);
    message->kind = RsTask_LEAVE;
    message->dispose = dispose_plain;
    RsMailbox_Post(control->options.data, message);
}
