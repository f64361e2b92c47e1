/* Grants to a target, and the pings of one that checks no fences. Both bring
 * a reading of the target's clock. */

#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "dispatch/target.h"

#define MAX_ANSWER_BYTES (1u << 20)
#define SILENCE_MS 1000
#define RECONNECT_MS 50
#define US_PER_MS 1000

static void ask(struct rs_target *target, int64_t now_ms);

static void
lose_connection(struct rs_target *target, int64_t now_ms)
{
    struct rs_target_grant *grant = &target->grant;
    if (grant->asked) {
        RsHealth_GaveUp(&target->health, RsHealth_PING, false);
    }
    grant->http = NULL;
    grant->connected = false;
    grant->asked = false;
    grant->ask_at_ms = now_ms + RECONNECT_MS;
}

static void
on_connected(void *arg)
{
    struct rs_target *target = arg;
    target->grant.connected = true;
    RsHealth_Connected(&target->health);
    ask(target, RsClock_NowMs());
}

static void
on_head(void *arg, const struct rs_http_head *head)
{
    struct rs_target *target = arg;
    target->grant.status = head->status;
    g_string_truncate(target->grant.answer, 0);
}

static void
on_body(void *arg, const char *data, size_t size)
{
    struct rs_target *target = arg;
    if (target->grant.answer->len + size <= MAX_ANSWER_BYTES) {
        g_string_append_len(target->grant.answer, data, (gssize)size);
    }
}

static void
read_clock(struct rs_target *target, const json_t *answer, int64_t now_ms)
{
    struct rs_target_grant *grant = &target->grant;
    const json_t *clock = json_object_get(answer, "clock_ms");
    const char *start = json_string_value(json_object_get(answer, "start_id"));
    if (json_is_integer(clock)) {
        grant->clock_ms = json_integer_value(clock);
        grant->read_at_ms = now_ms;
    }
    if (start != NULL) {
        RsTarget_SawStartId(target, RsId_FromName(start), now_ms);
    }
}

static void
take_stale(struct rs_target *target, const json_t *highest)
{
    size_t index;
    json_t *entry;
    json_array_foreach(highest, index, entry)
    {
        uint64_t slice = 0;
        const char *text = json_string_value(json_object_get(entry, "slice"));
        if (text == NULL || RsId_Parse(text, &slice) != 0) {
            continue;
        }
        g_hash_table_remove(target->grant.granted, &slice);
        target->options.stale(
            target->options.arg, slice,
            (uint64_t)json_integer_value(json_object_get(entry, "epoch")),
            (uint32_t)json_integer_value(json_object_get(entry, "step")));
    }
}

static void
acknowledge(struct rs_target *target, const json_t *answer)
{
    struct rs_target_grant *grant = &target->grant;
    if (grant->known_set != grant->asked_set) {
        grant->known_set = grant->asked_set;
        g_hash_table_remove_all(grant->granted);
        for (guint i = 0; i < grant->slices->len; i++) {
            struct rs_lease *lease =
                g_memdup2(&g_array_index(grant->slices, struct rs_lease, i),
                          sizeof(*lease));
            g_hash_table_replace(grant->granted, &lease->slice, lease);
        }
        take_stale(target, json_object_get(answer, "highest"));
    }
    grant->until_ms = grant->asked_until_ms;
    RsCounter_Add(&target->options.counters->grants, 1);
}

/* The target wants the slices again, or knows of a later session: one whose
 * process had a clock ahead of this one's. The session rises with the clock
 * until it is the latest. */
static void
begin_anew(struct rs_target *target)
{
    struct rs_target_grant *grant = &target->grant;
    grant->session_us = MAX(grant->session_us + 1, RsClock_WallUs());
    grant->known_set = 0;
    g_hash_table_remove_all(grant->granted);
}

static void
on_end(void *arg, bool keep_alive)
{
    struct rs_target *target = arg;
    struct rs_target_grant *grant = &target->grant;
    int64_t now_ms = RsClock_NowMs();
    json_t *answer =
        json_loadb(grant->answer->str, grant->answer->len, 0, NULL);
    bool first_reading = grant->read_at_ms == 0;
    grant->asked = false;
    RsHealth_Answered(&target->health, now_ms, RsHealth_PING,
                      (now_ms - grant->asked_at_ms) * US_PER_MS);
    read_clock(target, answer, now_ms);
    if (grant->asked_set != 0 && grant->status == 200 &&
        grant->asked_set == grant->set) {
        acknowledge(target, answer);
    }
    else if (grant->asked_set != 0 && grant->status != 200) {
        begin_anew(target);
    }
    json_decref(answer);
    if (!keep_alive) {
        RsHttp_Close(grant->http);
        lose_connection(target, now_ms);
    }
    if (first_reading || grant->known_set != grant->set) {
        grant->ask_at_ms = MIN(grant->ask_at_ms, now_ms);
    }
    RsTargetGrant_Tick(target, now_ms);
    RsTargetPool_Run(target, now_ms);
}

/* The target may be another process now, with another clock: nothing is sent
 * before its clock was read again. */
void
RsTargetGrant_DoubtClock(struct rs_target *target)
{
    target->grant.read_at_ms = 0;
    target->grant.ask_at_ms = 0;
}

static void
on_closed(void *arg, int error)
{
    struct rs_target *target = arg;
    int64_t now_ms = RsClock_NowMs();
    RsTargetGrant_DoubtClock(target);
    if (!target->grant.connected) {
        RsHealth_ConnectFailed(&target->health);
    }
    lose_connection(target, now_ms);
}

static const struct rs_http_events grant_events = {
    on_connected, on_head, on_body, on_end, on_closed,
};

static json_t *
slices_json(const GArray *slices)
{
    json_t *list = json_array();
    for (guint i = 0; i < slices->len; i++) {
        const struct rs_lease *lease =
            &g_array_index(slices, struct rs_lease, i);
        char id[RsId_TEXT_BYTES];
        RsId_Format(lease->slice, id);
        json_array_append_new(list,
                              json_pack("{s:s,s:I,s:I}", "slice", id, "epoch",
                                        (json_int_t)lease->epoch, "step",
                                        (json_int_t)lease->step));
    }
    return list;
}

static int64_t
earliest_until(const struct rs_target_grant *grant, int64_t now_ms)
{
    int64_t until_ms = grant->slices->len > 0 ? INT64_MAX : now_ms;
    for (guint i = 0; i < grant->slices->len; i++) {
        const struct rs_lease *lease =
            &g_array_index(grant->slices, struct rs_lease, i);
        until_ms = MIN(until_ms, lease->until_ms);
    }
    return until_ms;
}

static char *
grant_body(struct rs_target *target, int64_t until_ms)
{
    struct rs_target_grant *grant = &target->grant;
    json_t *body =
        json_pack("{s:s,s:I,s:I,s:I}", "holder", target->options.self,
                  "session", (json_int_t)grant->session_us, "until_ms",
                  (json_int_t)RsTarget_ToItsClock(target, until_ms), "set",
                  (json_int_t)grant->set);
    if (grant->known_set != grant->set) {
        json_object_set_new(body, "slices", slices_json(grant->slices));
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

static int
send_grant(struct rs_target *target, int64_t now_ms)
{
    struct rs_target_grant *grant = &target->grant;
    int64_t until_ms = earliest_until(grant, now_ms);
    char *body = grant_body(target, until_ms);
    struct rs_http_request request = {
        .method = "POST",
        .path = "/grant",
        .body = body,
        .body_bytes = strlen(body),
    };
    grant->asked_set = grant->set;
    grant->asked_until_ms = until_ms;
    grant->lapse_ms = MAX(grant->lapse_ms, until_ms);
    int status = RsHttp_Send(grant->http, &request);
    free(body);
    return status;
}

static int
send_ping(struct rs_target *target)
{
    struct rs_http_request request = {.method = "GET", .path = "/health"};
    target->grant.asked_set = 0;
    return RsHttp_Send(target->grant.http, &request);
}

static void
ask(struct rs_target *target, int64_t now_ms)
{
    struct rs_target_grant *grant = &target->grant;
    bool grants = target->options.checks_fences && !target->lost &&
                  grant->read_at_ms != 0 &&
                  (grant->slices->len > 0 || grant->set != grant->known_set);
    int status = grants ? send_grant(target, now_ms) : send_ping(target);
    if (status != 0) {
        RsHttp_Close(grant->http);
        lose_connection(target, now_ms);
        return;
    }
    grant->asked = true;
    grant->asked_at_ms = now_ms;
    grant->ask_at_ms = now_ms + target->options.ping_every_ms;
    RsHealth_Sent(&target->health, now_ms, RsHealth_PING);
}

static void
connect_grant(struct rs_target *target, int64_t now_ms)
{
    struct rs_http_options options = {
        .loop = target->options.loop,
        .address = target->options.address,
        .events = &grant_events,
        .arg = target,
    };
    target->grant.asked_at_ms = now_ms;
    target->grant.http = RsHttp_Open(&options);
    if (target->grant.http == NULL) {
        lose_connection(target, now_ms);
    }
}

/* Asks when it is time to; gives up a connection that stays silent. */
void
RsTargetGrant_Tick(struct rs_target *target, int64_t now_ms)
{
    struct rs_target_grant *grant = &target->grant;
    bool waiting = grant->http != NULL && (grant->asked || !grant->connected);
    if (waiting && now_ms - grant->asked_at_ms > SILENCE_MS) {
        RsHttp_Close(grant->http);
        lose_connection(target, now_ms);
    }
    if (now_ms < grant->ask_at_ms) {
        return;
    }
    if (grant->http == NULL) {
        connect_grant(target, now_ms);
    }
    else if (grant->connected && !grant->asked) {
        ask(target, now_ms);
    }
}

/* Forgets what the target was granted; it is asked again. */
void
RsTargetGrant_BeginAnew(struct rs_target *target)
{
    begin_anew(target);
    target->grant.asked_set = 0;
    target->grant.ask_at_ms = 0;
}

/* Closes the connection; what was granted lapses by itself. */
void
RsTargetGrant_Close(struct rs_target *target)
{
    if (target->grant.http != NULL) {
        RsHttp_Close(target->grant.http);
        lose_connection(target, 0);
    }
}

static bool
same_slices(const GArray *a, const GArray *b)
{
    if (a->len != b->len) {
        return false;
    }
    for (guint i = 0; i < a->len; i++) {
        const struct rs_lease *left = &g_array_index(a, struct rs_lease, i);
        const struct rs_lease *right = &g_array_index(b, struct rs_lease, i);
        if (left->slice != right->slice || left->epoch != right->epoch ||
            left->step != right->step) {
            return false;
        }
    }
    return true;
}

/* Says which leases the target is to serve, ascending by slice, with their
 * present deadlines. */
void
RsTarget_SetSlices(struct rs_target *target, const GArray *leases)
{
    struct rs_target_grant *grant = &target->grant;
    bool same = same_slices(grant->slices, leases);
    g_array_set_size(grant->slices, 0);
    g_array_append_vals(grant->slices, leases->data, leases->len);
    if (!same) {
        grant->set++;
        grant->ask_at_ms = 0;
    }
}

/* Tells whether the target may be sent requests under this lease. */
bool
RsTarget_Granted(const struct rs_target *target, int64_t now_ms,
                 const struct rs_lease *lease)
{
    if (!target->options.checks_fences) {
        return target->grant.read_at_ms != 0;
    }
    const struct rs_lease *granted =
        g_hash_table_lookup(target->grant.granted, &lease->slice);
    return granted != NULL && granted->epoch == lease->epoch &&
           granted->step == lease->step && now_ms < target->grant.until_ms;
}

/* Turns a reading of this process's clock into one of the target's that is
 * surely not later. */
int64_t
RsTarget_ToItsClock(const struct rs_target *target, int64_t at_ms)
{
    return target->grant.clock_ms + (at_ms - target->grant.read_at_ms);
}
