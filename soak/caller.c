#include "soak/caller.h"

#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "http/connection.h"
#include "soak/target.h"
#include "soak/workspaces.h"

/* Above the longest route timeout, 2 s, by which a node must have answered. */
#define REQUEST_TIMEOUT_MS 3000
#define DEADLINE_MS_TEXT "2500"
#define KEEP_ALIVE_PERCENT 80 /* of reusable connections are reused */
#define POST_PERCENT 30       /* of requests; the others are GETs */
/* Percentage of requests that use a key of the hot range */
#define HOT_KEY_PERCENT 40
#define HOT_KEYS 200            /* size of the hot range */
#define HOT_KEYS_PERIOD_MS 4000 /* after which another range gets hot */
#define MAX_BODY_BYTES 256

struct caller {
    struct rs_soak_callers *callers;
    uv_timer_t timer;
    struct rs_http_connection *connection;
    bool connected;
    bool awaiting_response;
    bool is_post;
    char id[32];                                        /* of the request */
    char key[16];                                       /* of the request */
    char authorization[RsSoakWorkspaces_KEY_BYTES + 8]; /* empty: none */
    bool counted; /* the request must be accepted, so it is in the tally */
    /* The members below are about the response. */
    int status;
    char signature[64];
    char response_id[64];
    char body[MAX_BODY_BYTES];
    size_t body_bytes;
    bool body_too_long;
};

struct rs_soak_callers {
    struct rs_soak_callers_options options;
    GPtrArray *callers; /* struct caller */
    struct rs_soak_tally tally;
    uint64_t next_id;
    bool stopped;
};

static void start_request(uv_timer_t *timer);

/* Ends the current request and, unless the callers have been stopped,
 * schedules the next one after a random pause. */
static void
schedule_next_request(struct caller *caller)
{
    const struct rs_soak_callers_options *options = &caller->callers->options;
    caller->awaiting_response = false;
    if (!caller->callers->stopped) {
        uv_timer_start(&caller->timer, start_request,
                       (uint64_t)g_rand_int_range(
                           options->random, 1, (gint32)options->pause_ms * 2),
                       0);
    }
}

static void
disconnect(struct caller *caller)
{
    if (caller->connection != NULL) {
        RsHttp_Close(caller->connection);
    }
    caller->connection = NULL;
    caller->connected = false;
}

/* Returns whether the response is the one that a target makes for this
 * request. */
static bool
response_matches_request(const struct caller *caller)
{
    char *signature = RsSoakTarget_Signature(caller->id);
    char *body = g_strdup_printf("%s %s", caller->id, signature);
    bool matches_request = strcmp(caller->response_id, caller->id) == 0 &&
                           strcmp(caller->signature, signature) == 0 &&
                           !caller->body_too_long &&
                           caller->body_bytes == strlen(body) &&
                           memcmp(caller->body, body, caller->body_bytes) == 0;
    g_free(signature);
    g_free(body);
    return matches_request;
}

static void
send_request(struct caller *caller)
{
    struct rs_http_header headers[5] = {
        {"host", "soak.example"},
        {"x-request-id", caller->id},
        {"x-deadline-ms", DEADLINE_MS_TEXT},
    };
    size_t header_count = 3;
    if (!caller->is_post) {
        headers[header_count++] =
            (struct rs_http_header){"x-shard-key", caller->key};
    }
    if (caller->authorization[0] != '\0') {
        headers[header_count++] =
            (struct rs_http_header){"authorization", caller->authorization};
    }
    const struct rs_http_request request = {
        .method = caller->is_post ? "POST" : "GET",
        .path = caller->is_post ? "/post/x" : "/get/x",
        .headers = headers,
        .header_count = header_count,
        .body = "body",
        .body_bytes = caller->is_post ? 4 : 0,
    };
    if (RsHttp_Send(caller->connection, &request) != 0) {
        disconnect(caller);
        schedule_next_request(caller);
    }
}

static void
on_connected(void *arg)
{
    struct caller *caller = arg;
    caller->connected = true;
    send_request(caller);
}

static void
copy_header(const struct rs_http_head *head, const char *name, char *text,
            size_t size_bytes)
{
    const char *value = RsHttp_FindHeader(head, name);
    g_strlcpy(text, value != NULL ? value : "", size_bytes);
}

static void
on_head(void *arg, const struct rs_http_head *head)
{
    struct caller *caller = arg;
    caller->status = head->status;
    copy_header(head, "x-request-id", caller->response_id,
                sizeof(caller->response_id));
    copy_header(head, "x-server-signature", caller->signature,
                sizeof(caller->signature));
}

static void
on_body(void *arg, const char *data, size_t size_bytes)
{
    struct caller *caller = arg;
    if (caller->body_bytes + size_bytes > MAX_BODY_BYTES) {
        caller->body_too_long = true;
        return;
    }
    memcpy(caller->body + caller->body_bytes, data, size_bytes);
    caller->body_bytes += size_bytes;
}

static void
on_end(void *arg, bool keep_alive)
{
    struct caller *caller = arg;
    struct rs_soak_callers *callers = caller->callers;
    bool matches_request = response_matches_request(caller);
    RsCheck_RecordResponse(callers->options.check, caller->id,
                           !caller->is_post, caller->status, matches_request,
                           RsClock_NowMs());
    if (callers->options.check->workspaces != NULL) {
        RsSoakWorkspaces_RecordResponse(callers->options.check->workspaces,
                                        caller->id, caller->status,
                                        RsClock_NowMs());
    }
    if (caller->counted) {
        callers->tally.served += caller->status == 200 && matches_request;
        callers->tally.refused += caller->status == 503;
        callers->tally.failed +=
            caller->status != 200 && caller->status != 503;
    }
    bool keep = keep_alive && g_rand_int_range(callers->options.random, 0,
                                               100) < KEEP_ALIVE_PERCENT;
    if (!keep) {
        disconnect(caller);
    }
    uv_timer_stop(&caller->timer);
    schedule_next_request(caller);
}

static void
on_closed(void *arg, int error)
{
    struct caller *caller = arg;
    caller->connection = NULL;
    caller->connected = false;
    if (caller->awaiting_response) {
        caller->callers->tally.failed += caller->counted;
        uv_timer_stop(&caller->timer);
        schedule_next_request(caller);
    }
}

static const struct rs_http_events events = {
    .connected = on_connected,
    .head = on_head,
    .body = on_body,
    .end = on_end,
    .closed = on_closed,
};

static void
on_timeout(uv_timer_t *timer)
{
    struct caller *caller = timer->data;
    caller->callers->tally.failed += caller->counted;
    disconnect(caller);
    schedule_next_request(caller);
}

/* Returns a random key, often one of the hot range. */
static uint32_t
pick_key(GRand *random)
{
    if (g_rand_int_range(random, 0, 100) >= HOT_KEY_PERCENT) {
        return (uint32_t)g_rand_int_range(random, 0, RsCheck_KEYS);
    }
    /* The prime factor makes successive hot ranges lie far apart. */
    uint32_t base = (uint32_t)(RsClock_NowMs() / HOT_KEYS_PERIOD_MS * 7919) %
                    (RsCheck_KEYS - HOT_KEYS);
    return base + (uint32_t)g_rand_int_range(random, 0, HOT_KEYS);
}

/* Chooses the API key of the next request, if there are workspaces. */
static void
pick_api_key(struct caller *caller)
{
    struct rs_soak_workspaces *workspaces =
        caller->callers->options.check->workspaces;
    const char *key = NULL;
    caller->counted = true;
    caller->authorization[0] = '\0';
    if (workspaces != NULL) {
        key = RsSoakWorkspaces_PickKey(workspaces, caller->id, RsClock_NowMs(),
                                       &caller->counted);
    }
    if (key != NULL) {
        snprintf(caller->authorization, sizeof(caller->authorization),
                 "Bearer %s", key);
    }
}

static void
start_request(uv_timer_t *timer)
{
    struct caller *caller = timer->data;
    struct rs_soak_callers *callers = caller->callers;
    GRand *random = callers->options.random;
    uint32_t node = (uint32_t)g_rand_int_range(
        random, 0, (gint32)callers->options.node_count);
    caller->is_post = g_rand_int_range(random, 0, 100) < POST_PERCENT;
    snprintf(caller->id, sizeof(caller->id), "r%lu",
             (unsigned long)++callers->next_id);
    snprintf(caller->key, sizeof(caller->key), "%u", pick_key(random));
    caller->awaiting_response = true;
    caller->status = 0;
    caller->body_bytes = 0;
    caller->body_too_long = false;
    pick_api_key(caller);
    callers->tally.started += caller->counted;
    uv_timer_start(&caller->timer, on_timeout, REQUEST_TIMEOUT_MS, 0);
    if (caller->connection != NULL) {
        send_request(caller);
        return;
    }
    const struct rs_http_options options = {
        .loop = callers->options.loop,
        .address = callers->options.node_addresses[node],
        .events = &events,
        .arg = caller,
    };
    caller->connection = RsHttp_Open(&options);
    if (caller->connection == NULL) {
        uv_timer_stop(&caller->timer);
        schedule_next_request(caller);
    }
}

/* Starts the callers. The callers are never freed. */
struct rs_soak_callers *
RsSoakCallers_Open(const struct rs_soak_callers_options *options)
{
    struct rs_soak_callers *callers = g_new0(struct rs_soak_callers, 1);
    callers->options = *options;
    callers->callers = g_ptr_array_new();
    for (uint32_t i = 0; i < options->callers; i++) {
        struct caller *caller = g_new0(struct caller, 1);
        caller->callers = callers;
        uv_timer_init(options->loop, &caller->timer);
        caller->timer.data = caller;
        g_ptr_array_add(callers->callers, caller);
        schedule_next_request(caller);
    }
    return callers;
}

/* Makes the callers schedule no further requests. Requests that are already
 * scheduled are still sent. */
void
RsSoakCallers_Stop(struct rs_soak_callers *callers)
{
    callers->stopped = true;
}

/* Returns the counts since the last call and resets them. */
struct rs_soak_tally
RsSoakCallers_TakeTally(struct rs_soak_callers *callers)
{
    struct rs_soak_tally tally = callers->tally;
    callers->tally = (struct rs_soak_tally){0};
    return tally;
}
