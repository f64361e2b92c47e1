/* Sends grants to a target that checks fences, and pings to one that does not
 * or that needs no grant. The answers carry readings of the target's
 * clock. */

#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "dispatch/target.h"

#define MAX_ANSWER_BYTES (1u << 20)
#define ANSWER_TIMEOUT_MS 1000
#define RECONNECT_MS 50
#define US_PER_MS 1000

static void send_grant_or_ping(struct rs_target *target, int64_t now_ms);

/* Resets the state of a connection that is closed, and schedules the next
 * attempt. */
static void
reset_connection(struct rs_target *target, int64_t now_ms)
{
    struct rs_target_grant *grants = &target->grants;
    if (grants->outstanding) {
        RsHealth_RecordNoAnswer(&target->health, RsHealth_PING, false);
    }
    grants->http = NULL;
    grants->connected = false;
    grants->outstanding = false;
    grants->next_send_at_ms = now_ms + RECONNECT_MS;
}

static void
on_connected(void *arg)
{
    struct rs_target *target = arg;
    target->grants.connected = true;
    RsHealth_RecordConnect(&target->health);
    send_grant_or_ping(target, RsClock_NowMs());
}

static void
on_head(void *arg, const struct rs_http_head *head)
{
    struct rs_target *target = arg;
    target->grants.status = head->status;
    g_string_truncate(target->grants.answer, 0);
}

static void
on_body(void *arg, const char *data, size_t size)
{
    struct rs_target *target = arg;
    if (target->grants.answer->len + size <= MAX_ANSWER_BYTES) {
        g_string_append_len(target->grants.answer, data, (gssize)size);
    }
}

/* Stores the target's clock reading and start ID from an answer. */
static void
read_clock(struct rs_target *target, const json_t *answer, int64_t now_ms)
{
    struct rs_target_grant *grants = &target->grants;
    const json_t *clock = json_object_get(answer, "clock_ms");
    const char *start = json_string_value(json_object_get(answer, "start_id"));
    if (json_is_integer(clock)) {
        grants->target_clock_ms = json_integer_value(clock);
        grants->clock_read_at_ms = now_ms;
    }
    if (start != NULL) {
        RsTarget_ObserveStartId(target, RsId_FromName(start), now_ms);
    }
}

/* Handles the slices for which the target knows a higher fence: they no longer
 * count as granted, and are reported. */
static void
report_newer_fences(struct rs_target *target, const json_t *highest)
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
        g_hash_table_remove(target->grants.granted, &slice);
        target->options.fence_stale(
            target->options.arg, slice,
            (uint64_t)json_integer_value(json_object_get(entry, "epoch")),
            (uint32_t)json_integer_value(json_object_get(entry, "step")));
    }
}

/* Records that the target accepted the last grant sent. */
static void
apply_acknowledgement(struct rs_target *target, const json_t *answer)
{
    struct rs_target_grant *grants = &target->grants;
    if (grants->acknowledged_version != grants->sent_version) {
        grants->acknowledged_version = grants->sent_version;
        g_hash_table_remove_all(grants->granted);
        for (guint i = 0; i < grants->slices->len; i++) {
            struct rs_lease *lease =
                g_memdup2(&g_array_index(grants->slices, struct rs_lease, i),
                          sizeof(*lease));
            g_hash_table_replace(grants->granted, &lease->slice, lease);
        }
        report_newer_fences(target, json_object_get(answer, "highest"));
    }
    grants->until_ms = grants->sent_until_ms;
    RsCounter_Add(&target->options.counters->grants, 1);
}

/* Starts a new session, so that the next grant carries all slices. Needed when
 * the target refuses a grant: it has lost the slices, or it knows a session
 * with a higher number, from a process whose clock is ahead. The number is at
 * least the present time and rises with each call, so after enough calls it is
 * higher than that of the other session. */
static void
restart_session(struct rs_target *target)
{
    struct rs_target_grant *grants = &target->grants;
    grants->session = MAX(grants->session + 1, RsClock_WallUs());
    grants->acknowledged_version = 0;
    g_hash_table_remove_all(grants->granted);
}

static void
on_end(void *arg, bool keep_alive)
{
    struct rs_target *target = arg;
    struct rs_target_grant *grants = &target->grants;
    int64_t now_ms = RsClock_NowMs();
    json_t *answer =
        json_loadb(grants->answer->str, grants->answer->len, 0, NULL);
    bool first_reading = grants->clock_read_at_ms == 0;
    grants->outstanding = false;
    RsHealth_RecordAnswer(&target->health, now_ms, RsHealth_PING,
                          (now_ms - grants->sent_at_ms) * US_PER_MS);
    read_clock(target, answer, now_ms);
    if (grants->sent_version != 0 && grants->status == 200 &&
        grants->sent_version == grants->set_version) {
        apply_acknowledgement(target, answer);
    }
    else if (grants->sent_version != 0 && grants->status != 200) {
        restart_session(target);
    }
    json_decref(answer);
    if (!keep_alive) {
        RsHttp_Close(grants->http);
        reset_connection(target, now_ms);
    }
    if (first_reading || grants->acknowledged_version != grants->set_version) {
        grants->next_send_at_ms = MIN(grants->next_send_at_ms, now_ms);
    }
    RsTargetGrant_Tick(target, now_ms);
    RsTargetPool_SendReady(target, now_ms);
}

/* Discards the clock reading, since the target may be another process now,
 * with another clock. No request or grant is sent until the answer to a ping,
 * or to a grant sent earlier, brings a new reading. */
void
RsTargetGrant_InvalidateClock(struct rs_target *target)
{
    target->grants.clock_read_at_ms = 0;
    target->grants.next_send_at_ms = 0;
}

static void
on_closed(void *arg, int error)
{
    struct rs_target *target = arg;
    int64_t now_ms = RsClock_NowMs();
    RsTargetGrant_InvalidateClock(target);
    if (!target->grants.connected) {
        RsHealth_RecordConnectFailure(&target->health);
    }
    reset_connection(target, now_ms);
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

/* Returns when the earliest lease of the set ends, or `now_ms` for an empty
 * set. */
static int64_t
earliest_lease_end(const struct rs_target_grant *grants, int64_t now_ms)
{
    int64_t until_ms = grants->slices->len > 0 ? INT64_MAX : now_ms;
    for (guint i = 0; i < grants->slices->len; i++) {
        const struct rs_lease *lease =
            &g_array_index(grants->slices, struct rs_lease, i);
        until_ms = MIN(until_ms, lease->until_ms);
    }
    return until_ms;
}

/* Returns the JSON body of a grant, to be freed with free(). The slices are
 * left out when the target has acknowledged the current set. */
static char *
grant_body(struct rs_target *target, int64_t until_ms)
{
    struct rs_target_grant *grants = &target->grants;
    json_t *body =
        json_pack("{s:s,s:I,s:I,s:I}", "holder", target->options.self,
                  "session", (json_int_t)grants->session, "until_ms",
                  (json_int_t)RsTarget_ToTargetClockMs(target, until_ms),
                  "set", (json_int_t)grants->set_version);
    if (grants->acknowledged_version != grants->set_version) {
        json_object_set_new(body, "slices", slices_json(grants->slices));
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

/* Sends a grant of the current slice set. Returns 0 or an error of
 * RsHttp_Send(). */
static int
send_grant(struct rs_target *target, int64_t now_ms)
{
    struct rs_target_grant *grants = &target->grants;
    int64_t until_ms = earliest_lease_end(grants, now_ms);
    char *body = grant_body(target, until_ms);
    struct rs_http_request request = {
        .method = "POST",
        .path = "/grant",
        .body = body,
        .body_bytes = strlen(body),
    };
    grants->sent_version = grants->set_version;
    grants->sent_until_ms = until_ms;
    grants->latest_grant_until_ms =
        MAX(grants->latest_grant_until_ms, until_ms);
    int status = RsHttp_Send(grants->http, &request);
    free(body);
    return status;
}

/* Sends a health request. Returns 0 or an error of RsHttp_Send(). */
static int
send_ping(struct rs_target *target)
{
    struct rs_http_request request = {.method = "GET", .path = "/health"};
    target->grants.sent_version = 0;
    return RsHttp_Send(target->grants.http, &request);
}

/* Sends a grant if the target needs one, and otherwise a ping. A target that
 * is lost, or whose clock has not been read, gets only pings: the deadline of
 * a grant is a time on the target's clock. */
static void
send_grant_or_ping(struct rs_target *target, int64_t now_ms)
{
    struct rs_target_grant *grants = &target->grants;
    bool grant_needed = target->options.checks_fences && !target->lost &&
                        grants->clock_read_at_ms != 0 &&
                        (grants->slices->len > 0 ||
                         grants->set_version != grants->acknowledged_version);
    int status = grant_needed ? send_grant(target, now_ms) : send_ping(target);
    if (status != 0) {
        RsHttp_Close(grants->http);
        reset_connection(target, now_ms);
        return;
    }
    grants->outstanding = true;
    grants->sent_at_ms = now_ms;
    grants->next_send_at_ms = now_ms + target->options.ping_interval_ms;
    RsHealth_RecordSent(&target->health, now_ms, RsHealth_PING);
}

static void
open_connection(struct rs_target *target, int64_t now_ms)
{
    struct rs_http_options options = {
        .loop = target->options.loop,
        .address = target->options.address,
        .events = &grant_events,
        .arg = target,
    };
    target->grants.sent_at_ms = now_ms;
    target->grants.http = RsHttp_Open(&options);
    if (target->grants.http == NULL) {
        reset_connection(target, now_ms);
    }
}

/* Closes a connection that was not established, or whose last ping or grant
 * was not answered, within ANSWER_TIMEOUT_MS. When the next grant or ping is
 * due, sends it, or connects if there is no connection. */
void
RsTargetGrant_Tick(struct rs_target *target, int64_t now_ms)
{
    struct rs_target_grant *grants = &target->grants;
    bool waiting =
        grants->http != NULL && (grants->outstanding || !grants->connected);
    if (waiting && now_ms - grants->sent_at_ms > ANSWER_TIMEOUT_MS) {
        RsHttp_Close(grants->http);
        reset_connection(target, now_ms);
    }
    if (now_ms < grants->next_send_at_ms) {
        return;
    }
    if (grants->http == NULL) {
        open_connection(target, now_ms);
    }
    else if (grants->connected && !grants->outstanding) {
        send_grant_or_ping(target, now_ms);
    }
}

/* Starts a new session and makes its first grant due at once. */
void
RsTargetGrant_RestartSession(struct rs_target *target)
{
    restart_session(target);
    target->grants.sent_version = 0;
    target->grants.next_send_at_ms = 0;
}

/* Closes the connection. Grants that were sent stay valid until their
 * deadlines. */
void
RsTargetGrant_Close(struct rs_target *target)
{
    if (target->grants.http != NULL) {
        RsHttp_Close(target->grants.http);
        reset_connection(target, 0);
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

/* Sets the leases to grant to the target, in ascending order of slice and with
 * their current deadlines. They are copied. When a slice or fence differs, a
 * new grant is due at once. */
void
RsTarget_SetSlices(struct rs_target *target, const GArray *leases)
{
    struct rs_target_grant *grants = &target->grants;
    bool same = same_slices(grants->slices, leases);
    g_array_set_size(grants->slices, 0);
    g_array_append_vals(grants->slices, leases->data, leases->len);
    if (!same) {
        grants->set_version++;
        grants->next_send_at_ms = 0;
    }
}

/* Tells whether requests under this lease may be sent to the target. A target
 * that checks no fences only needs a clock reading. */
bool
RsTarget_IsGranted(const struct rs_target *target, int64_t now_ms,
                   const struct rs_lease *lease)
{
    if (!target->options.checks_fences) {
        return target->grants.clock_read_at_ms != 0;
    }
    const struct rs_lease *granted =
        g_hash_table_lookup(target->grants.granted, &lease->slice);
    return granted != NULL && granted->epoch == lease->epoch &&
           granted->step == lease->step && now_ms < target->grants.until_ms;
}

/* Converts a time of this process's clock to one of the target's clock, from
 * the last reading. Apart from clock drift since then, the result is never
 * later than the exact one, because the target made the reading before it was
 * received here. */
int64_t
RsTarget_ToTargetClockMs(const struct rs_target *target, int64_t at_ms)
{
    return target->grants.target_clock_ms +
           (at_ms - target->grants.clock_read_at_ms);
}
