#include "front/data_task.h"

#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "dispatch/relay_server.h"

#define TICK_MS 5
#define PERCENT 100.0
/* Time for the load balancer to notice and send no more requests to this
 * process. */
#define LISTENER_CLOSE_DELAY_MS 1000
#define FINAL_IDLE_CHECK_MS 60 /* after the listener is closed */

struct rs_data {
    struct rs_data_options options;
    uv_loop_t loop;
    uv_thread_t thread;
    uv_timer_t timer;
    struct rs_mailbox mailbox;
    struct rs_mailbox *control;
    struct rs_holder *holder;
    struct rs_relay_server *relay;
    struct rs_front *front;
    bool leaving;
    bool listener_closed;
    bool idle_reported;
    int64_t next_step_at_ms; /* earliest time of the next shutdown step */
};

static void
dispose_message(struct rs_message *message)
{
    g_free(message);
}

static void
dispose_dump(struct rs_message *message)
{
    g_free(((struct rs_task_dump *)message)->text);
    g_free(message);
}

static void
report_target(void *arg, const char *target, bool lost)
{
    struct rs_data *data = arg;
    struct rs_task_target *message = g_new0(struct rs_task_target, 1);
    message->message.kind = lost ? RsTask_TARGET_LOST : RsTask_TARGET_UP;
    message->message.dispose = dispose_message;
    g_strlcpy(message->target, target, sizeof(message->target));
    RsMailbox_Post(data->control, &message->message);
}

static void
report_slice(struct rs_data *data, int kind, uint64_t slice, uint64_t epoch,
             uint32_t step)
{
    struct rs_task_slice *message = g_new0(struct rs_task_slice, 1);
    message->message.kind = kind;
    message->message.dispose = dispose_message;
    message->slice = slice;
    message->epoch = epoch;
    message->step = step;
    RsMailbox_Post(data->control, &message->message);
}

static void
report_drained(void *arg, const struct rs_lease *lease)
{
    report_slice(arg, RsTask_SLICE_DRAINED, lease->slice, lease->epoch,
                 lease->step);
}

static void
report_stale_fence(void *arg, uint64_t slice, uint64_t epoch, uint32_t step)
{
    report_slice(arg, RsTask_FENCE_STALE, slice, epoch, step);
}

static void
report_loads(void *arg, const struct rs_slice_load *loads, size_t count)
{
    struct rs_data *data = arg;
    struct rs_task_loads *message =
        g_malloc0(sizeof(*message) + count * sizeof(loads[0]));
    message->message.kind = RsTask_LOADS;
    message->message.dispose = dispose_message;
    message->count = count;
    if (count > 0) {
        memcpy(message->loads, loads, count * sizeof(loads[0]));
    }
    RsMailbox_Post(data->control, &message->message);
}

static void
report_target_share(void *arg, const char *target, double share)
{
    struct rs_data *data = arg;
    struct rs_task_target *message = g_new0(struct rs_task_target, 1);
    message->message.kind = RsTask_TARGET_SHARE;
    message->message.dispose = dispose_message;
    message->share = share;
    g_strlcpy(message->target, target, sizeof(message->target));
    RsMailbox_Post(data->control, &message->message);
}

static const struct rs_holder_callbacks reports = {
    report_target, report_drained,      report_stale_fence,
    report_loads,  report_target_share,
};

static void
answer_dump(struct rs_data *data, const struct rs_task_dump *asked)
{
    int64_t now_ms = RsClock_NowMs();
    struct rs_task_dump *answer = g_new0(struct rs_task_dump, 1);
    json_t *state =
        json_pack("{s:o,s:o}", "front", RsFront_Dump(data->front, now_ms),
                  "targets", RsHolder_Dump(data->holder, now_ms));
    char *text = json_dumps(state, JSON_COMPACT);
    answer->message.kind = RsTask_DUMPED;
    answer->message.dispose = dispose_dump;
    answer->token = asked->token;
    answer->text = g_strdup(text);
    free(text);
    json_decref(state);
    RsMailbox_Post(data->control, &answer->message);
}

static void
begin_leaving(struct rs_data *data)
{
    data->leaving = true;
    data->next_step_at_ms = RsClock_NowMs() + LISTENER_CLOSE_DELAY_MS;
    RsFront_Leave(data->front);
}

static void
handle_message(void *arg, struct rs_message *message)
{
    struct rs_data *data = arg;
    switch (message->kind) {
    case RsTask_VIEW: {
        struct rs_view *view = ((struct rs_task_pointer *)message)->pointer;
        RsHolder_SetView(data->holder, RsView_Ref(view));
        RsFront_SetView(data->front, RsView_Ref(view));
        break;
    }
    case RsTask_LEASES: {
        struct rs_lease_table *table =
            ((struct rs_task_pointer *)message)->pointer;
        RsHolder_SetLeases(data->holder, RsLeaseTable_Ref(table));
        break;
    }
    case RsTask_LEAVE:
        begin_leaving(data);
        break;
    case RsTask_DUMP:
        answer_dump(data, (struct rs_task_dump *)message);
        break;
    default:
        break;
    }
    message->dispose(message);
}

static bool
is_idle(const struct rs_data *data)
{
    return RsFront_CountOpenRequests(data->front) == 0 &&
           RsHolder_RequestCount(data->holder) == 0 &&
           RsRelayServer_StreamCount(data->relay) == 0 &&
           RsRelayServer_UnacknowledgedBytes(data->relay) == 0;
}

/* Runs the steps of a graceful shutdown. The listener closes as soon as the
 * task is idle, but not before LISTENER_CLOSE_DELAY_MS have passed.
 * Connections accepted just before that have FINAL_IDLE_CHECK_MS to send a
 * request. After this time, the task reports to the control task as soon as it
 * is idle again. */
static void
tick_leaving(struct rs_data *data, int64_t now_ms)
{
    if (!data->leaving || data->idle_reported ||
        now_ms < data->next_step_at_ms || !is_idle(data)) {
        return;
    }
    if (!data->listener_closed) {
        data->listener_closed = true;
        data->next_step_at_ms = now_ms + FINAL_IDLE_CHECK_MS;
        RsFront_StopListening(data->front);
        return;
    }
    struct rs_message *message = g_new0(struct rs_message, 1);
    message->kind = RsTask_IDLE;
    message->dispose = dispose_message;
    data->idle_reported = true;
    RsMailbox_Post(data->control, message);
}

static void
on_tick(uv_timer_t *timer)
{
    struct rs_data *data = timer->data;
    int64_t now_ms = RsClock_NowMs();
    RsHolder_Tick(data->holder, now_ms);
    RsFront_Tick(data->front, now_ms);
    tick_leaving(data, now_ms);
}

static void
open_holder(struct rs_data *data)
{
    const struct rs_settings *settings = data->options.settings;
    struct rs_holder_options options = {
        .loop = &data->loop,
        .self = settings->name,
        .domain = settings->domain,
        .incarnation = data->options.incarnation,
        .policies =
            {
                .admission = RsLimit_FindPolicy(settings->policies.admission),
                .ramp = RsRamp_FindPolicy(settings->policies.ramp),
            },
        .ping_interval_ms = settings->tunables.renew_every_ms,
        .reports = &reports,
        .arg = data,
    };
    data->holder = RsHolder_New(&options);
}

static int
open_relay(struct rs_data *data)
{
    const struct rs_settings *settings = data->options.settings;
    struct rs_relay_server_options options = {
        .loop = &data->loop,
        .holder = data->holder,
        .max_streams_per_link = RsRelayServer_MAX_STREAMS,
    };
    int status = RsHttp_ParseAddress(settings->peers.address,
                                     (uint16_t)settings->peers.relay_port,
                                     &options.address);
    return status != 0 ? status : RsRelayServer_Open(&options, &data->relay);
}

static int
open_front(struct rs_data *data)
{
    const struct rs_settings *settings = data->options.settings;
    const struct rs_settings_tunables *tunables = &settings->tunables;
    struct rs_front_options options = {
        .loop = &data->loop,
        .self = settings->name,
        .domain = settings->domain,
        .holder = data->holder,
        .max_body_bytes = tunables->max_body_bytes,
        .max_header_bytes = tunables->max_header_bytes,
        .max_connections = tunables->max_callers,
        .choice = RsChoice_FindPolicy(settings->policies.choice),
        .retry = RsRetry_FindPolicy(settings->policies.retry),
        .retry_share = tunables->retry_budget_percent / PERCENT,
        .seed = data->options.incarnation,
    };
    int status = RsHttp_ParseAddress(settings->callers.address,
                                     (uint16_t)settings->callers.port,
                                     &options.address);
    return status != 0 ? status : RsFront_Open(&options, &data->front);
}

/* Opens the listeners for callers and relay links, on the calling thread. The
 * task lives as long as the process. Returns 0 or the error of the step that
 * failed. */
int
RsData_Open(const struct rs_data_options *options, struct rs_data **out)
{
    struct rs_data *data = g_new0(struct rs_data, 1);
    data->options = *options;
    *out = data;
    uv_loop_init(&data->loop);
    int status =
        RsMailbox_Open(&data->mailbox, &data->loop, handle_message, data);
    open_holder(data);
    status = status != 0 ? status : open_relay(data);
    return status != 0 ? status : open_front(data);
}

static void
run_loop(void *arg)
{
    struct rs_data *data = arg;
    uv_timer_init(&data->loop, &data->timer);
    data->timer.data = data;
    uv_timer_start(&data->timer, on_tick, TICK_MS, TICK_MS);
    uv_run(&data->loop, UV_RUN_DEFAULT);
}

/* Starts the task's thread. Its reports go to `control`, the control task's
 * mailbox, which must outlive the task. Returns 0 or RsError_FRONT. */
int
RsData_Start(struct rs_data *data, struct rs_mailbox *control)
{
    data->control = control;
    return uv_thread_create(&data->thread, run_loop, data) == 0
               ? 0
               : RsError_FRONT;
}

/* Returns the mailbox in which the task receives the control task's messages.
 */
struct rs_mailbox *
RsData_Mailbox(struct rs_data *data)
{
    return &data->mailbox;
}

/* Returns the front's counters, which any thread may read. */
const struct rs_front_counters *
RsData_FrontCounters(const struct rs_data *data)
{
    return RsFront_Counters(data->front);
}

/* Returns the targets' counters, which any thread may read. */
const struct rs_target_counters *
RsData_TargetCounters(const struct rs_data *data)
{
    return RsHolder_Counters(data->holder);
}
