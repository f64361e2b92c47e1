/* The admin API over HTTP, on a listener of its own. See docs/ADMIN.md. */

#include <inttypes.h>
#include <string.h>

#include "control/state.h"
#include "control/submission.h"
#include "core/log.h"

#define MAX_CONNECTIONS 256
#define DEFAULT_LIMIT 20
#define MAX_LIMIT 200
#define TICKETS_PATH "/tickets"
#define LOG_PREFIX "ticket/log/"
#define FORCE_SUFFIX "/force"

enum rs_admin_status {
    RsAdmin_OK = 200,
    RsAdmin_BAD_REQUEST = 400,
    RsAdmin_NOT_FOUND = 404,
    RsAdmin_CONFLICT = 409,
    RsAdmin_UNAVAILABLE = 503
};

/* An admin request that is answered later. `http` becomes NULL when the HTTP
 * server frees the request, as when the client disconnects. */
struct pending {
    struct rs_control *control;
    h2o_req_t *http;
    bool replied; /* answered; on_http_freed() frees this struct then */
};

/* The HTTP server frees this record together with the request. */
struct pending_handle {
    struct pending *pending;
};

static void
on_http_freed(void *data)
{
    struct pending_handle *handle = data;
    handle->pending->http = NULL;
    if (handle->pending->replied) {
        g_free(handle->pending);
    }
}

static struct pending *
new_pending(struct rs_control *control, h2o_req_t *http)
{
    struct pending *pending = g_new0(struct pending, 1);
    struct pending_handle *handle =
        h2o_mem_alloc_shared(&http->pool, sizeof(*handle), on_http_freed);
    handle->pending = pending;
    pending->control = control;
    pending->http = http;
    return pending;
}

static void
reply_json(h2o_req_t *http, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    RsServer_Reply(http, status, "application/json", text, strlen(text));
    free(text);
    json_decref(body);
}

static void
reply_error(h2o_req_t *http, int status, const char *reason)
{
    reply_json(http, status, json_pack("{s:s}", "error", reason));
}

/* Answers a pending request, unless its client has disconnected. `pending`
 * must not be used afterwards. */
static void
reply_pending(struct pending *pending, int status, json_t *body)
{
    pending->replied = true;
    if (pending->http != NULL) {
        reply_json(pending->http, status, body);
        return;
    }
    json_decref(body);
    g_free(pending);
}

static struct rs_config *
newest_config(void *arg)
{
    struct rs_control *control = arg;
    return control->config;
}

static json_t *
result_json(const struct rs_submit_result *result)
{
    switch (result->outcome) {
    case RsSubmit_ACCEPTED:
        return json_pack("{s:I,s:s}", "accepted", (json_int_t)result->number,
                         "digest", result->digest);
    case RsSubmit_CONFLICT:
        return json_pack("{s:I,s:O?}", "head", (json_int_t)result->head,
                         "difference", result->difference);
    case RsSubmit_INVALID:
        return json_pack("{s:o}", "faults", RsFaults_ToJson(result->faults));
    default:
        return json_pack(
            "{s:s,s:s}", "error", "platform-unavailable", "outcome",
            result->outcome == RsSubmit_UNKNOWN ? "unknown" : "not-accepted");
    }
}

static int
http_status_of_result(const struct rs_submit_result *result)
{
    switch (result->outcome) {
    case RsSubmit_ACCEPTED:
        return RsAdmin_OK;
    case RsSubmit_CONFLICT:
        return RsAdmin_CONFLICT;
    case RsSubmit_INVALID:
        return RsAdmin_BAD_REQUEST;
    default:
        return RsAdmin_UNAVAILABLE;
    }
}

static void
on_submitted(void *arg, const struct rs_submit_result *result)
{
    struct pending *pending = arg;
    RsLog_EVENT(RsLog_INFO, "ticket_submitted",
                RsLog_NUMBER("number", result->number),
                RsLog_NUMBER("outcome", result->outcome),
                RsLog_TEXT("digest", result->digest));
    if (result->outcome == RsSubmit_ACCEPTED) {
        RsFeed_PollNow(pending->control->feed);
    }
    reply_pending(pending, http_status_of_result(result), result_json(result));
}

/* Submits a ticket from the request body. Answers 503 before the first
 * snapshot, when there is no configuration to check a ticket against. */
static void
submit_ticket(struct rs_control *control, h2o_req_t *http)
{
    struct rs_faults faults = {0};
    struct rs_ticket *ticket = NULL;
    if (RsTicket_Parse(http->entity.base, http->entity.len, &ticket,
                       &faults) != 0) {
        reply_json(http, RsAdmin_BAD_REQUEST,
                   json_pack("{s:o}", "faults", RsFaults_ToJson(&faults)));
        RsFaults_Free(&faults);
        return;
    }
    RsFaults_Free(&faults);
    if (control->config == NULL) {
        RsTicket_Free(ticket);
        reply_json(http, RsAdmin_UNAVAILABLE,
                   json_pack("{s:s,s:s}", "error", "platform-unavailable",
                             "outcome", "not-accepted"));
        return;
    }
    struct rs_submission_options options = {
        .loop = control->options.loop,
        .platform = control->platform,
        .ticket = ticket,
        .config = newest_config,
        .config_arg = control,
        .done = on_submitted,
        .done_arg = new_pending(control, http),
    };
    RsSubmission_Start(&options);
}

static void
on_ticket_row(void *arg, int status, json_t *body)
{
    struct pending *pending = arg;
    if (status == RsAdmin_OK) {
        json_t *value = json_incref(json_object_get(body, "value"));
        reply_pending(pending, RsAdmin_OK, value);
    }
    else {
        bool absent = status == RsAdmin_NOT_FOUND;
        reply_pending(
            pending, absent ? RsAdmin_NOT_FOUND : RsAdmin_UNAVAILABLE,
            json_pack("{s:s}", "error",
                      absent ? "no-such-ticket" : "platform-unavailable"));
    }
}

static void
show_ticket(struct rs_control *control, h2o_req_t *http, uint64_t number)
{
    char key[RsTicket_KEY_BYTES];
    RsTicket_LogKey(number, key);
    RsPlatform_ReadRow(control->platform, key, on_ticket_row,
                       new_pending(control, http));
}

static void
on_ticket_list(void *arg, int status, json_t *body)
{
    struct pending *pending = arg;
    size_t index;
    json_t *row;
    if (status != RsAdmin_OK) {
        reply_pending(pending, RsAdmin_UNAVAILABLE,
                      json_pack("{s:s}", "error", "platform-unavailable"));
        return;
    }
    json_t *tickets = json_array();
    json_array_foreach(json_object_get(body, "rows"), index, row)
    {
        json_array_append(tickets, json_object_get(row, "value"));
    }
    reply_pending(pending, RsAdmin_OK, json_pack("{s:o}", "tickets", tickets));
}

/* Returns a number from the query string, or `default_value` when the
 * parameter is absent. */
static uint64_t
query_number(h2o_req_t *http, const char *name, uint64_t default_value)
{
    char *text = RsServer_Query(http, name);
    uint64_t number = default_value;
    if (text != NULL) {
        number = g_ascii_strtoull(text, NULL, 10);
    }
    g_free(text);
    return number;
}

static void
list_tickets(struct rs_control *control, h2o_req_t *http)
{
    uint64_t limit = query_number(http, "limit", DEFAULT_LIMIT);
    uint64_t before = query_number(http, "before", 0);
    char key[RsTicket_KEY_BYTES];
    RsTicket_LogKey(before, key);
    RsPlatform_ListRows(control->platform, LOG_PREFIX,
                        before != 0 ? key : NULL,
                        (uint32_t)MIN(limit, (uint64_t)MAX_LIMIT),
                        on_ticket_list, new_pending(control, http));
}

static void
serve_ticket(struct rs_control *control, h2o_req_t *http,
             const char *number_text)
{
    char *suffix = NULL;
    uint64_t number = g_ascii_strtoull(number_text, &suffix, 10);
    if (suffix == number_text || number == 0) {
        reply_error(http, RsAdmin_NOT_FOUND, "no-such-ticket");
    }
    else if (strcmp(suffix, FORCE_SUFFIX) == 0) {
        reply_json(http, RsAdmin_OK,
                   RsControlReport_TicketProgress(control, number));
    }
    else if (*suffix == '\0') {
        show_ticket(control, http, number);
    }
    else {
        reply_error(http, RsAdmin_NOT_FOUND, "unknown-path");
    }
}

static void
serve_owner(struct rs_control *control, h2o_req_t *http)
{
    char *service = RsServer_Query(http, "service");
    char *key = RsServer_Query(http, "key");
    json_t *owner = NULL;
    if (service != NULL && key != NULL) {
        owner = RsControlReport_Owner(control, service, key);
    }
    if (owner != NULL) {
        reply_json(http, RsAdmin_OK, owner);
    }
    else {
        reply_error(http, RsAdmin_NOT_FOUND, "no-rule");
    }
    g_free(key);
    g_free(service);
}

static void
serve_metrics(struct rs_control *control, h2o_req_t *http)
{
    struct rs_text_buffer text = {0};
    RsControlReport_Metrics(control, &text);
    RsServer_Reply(http, RsAdmin_OK, "text/plain; version=0.0.4", text.data,
                   text.size_bytes);
    RsText_Free(&text);
}

static void
dispose_dump(struct rs_message *message)
{
    g_free(message);
}

/* Requests a dump from the data task. When the dump arrives,
 * RsControlAdmin_CompleteDump() answers the admin request. */
static void
serve_dump(struct rs_control *control, h2o_req_t *http)
{
    struct rs_task_dump *message = g_new0(struct rs_task_dump, 1);
    struct pending *pending = new_pending(control, http);
    uint64_t *token = g_new(uint64_t, 1);
    *token = ++control->last_dump_token;
    message->message.kind = RsTask_DUMP;
    message->message.dispose = dispose_dump;
    message->token = *token;
    g_hash_table_insert(control->pending_dumps, token, pending);
    RsMailbox_Post(control->options.data, &message->message);
}

/* Adds the control task's part to a dump of the data task and answers the
 * admin request that waits for it. Ignores a dump that no request waits for.
 */
void
RsControlAdmin_CompleteDump(struct rs_control *control,
                            const struct rs_task_dump *dump)
{
    struct pending *pending =
        g_hash_table_lookup(control->pending_dumps, &dump->token);
    if (pending == NULL) {
        return;
    }
    g_hash_table_remove(control->pending_dumps, &dump->token);
    json_t *whole = RsControlReport_Dump(control);
    json_t *data = json_loads(dump->text, 0, NULL);
    json_object_update(whole, data);
    json_decref(data);
    reply_pending(pending, RsAdmin_OK, whole);
}

static void
serve_get(struct rs_control *control, h2o_req_t *http, const char *path)
{
    if (strcmp(path, "/health") == 0) {
        reply_json(http, RsAdmin_OK, json_pack("{s:s}", "state", "ok"));
    }
    else if (strcmp(path, "/status") == 0) {
        reply_json(http, RsAdmin_OK, RsControlReport_Status(control));
    }
    else if (strcmp(path, "/dump") == 0) {
        serve_dump(control, http);
    }
    else if (strcmp(path, "/metrics") == 0) {
        serve_metrics(control, http);
    }
    else if (strcmp(path, "/owner") == 0) {
        serve_owner(control, http);
    }
    else if (strcmp(path, TICKETS_PATH) == 0) {
        list_tickets(control, http);
    }
    else if (g_str_has_prefix(path, TICKETS_PATH "/")) {
        serve_ticket(control, http, path + strlen(TICKETS_PATH "/"));
    }
    else {
        reply_error(http, RsAdmin_NOT_FOUND, "unknown-path");
    }
}

static void
serve_post(struct rs_control *control, h2o_req_t *http, const char *path)
{
    if (strcmp(path, TICKETS_PATH) == 0) {
        submit_ticket(control, http);
    }
    else if (strcmp(path, "/drain") == 0) {
        RsControl_Leave(control);
        reply_json(http, RsAdmin_OK, json_pack("{s:b}", "leaving", 1));
    }
    else {
        reply_error(http, RsAdmin_NOT_FOUND, "unknown-path");
    }
}

static void
on_http(void *arg, h2o_req_t *http)
{
    struct rs_control *control = arg;
    char *path = RsServer_Path(http);
    if (h2o_memis(http->method.base, http->method.len, H2O_STRLIT("GET"))) {
        serve_get(control, http, path);
    }
    else if (h2o_memis(http->method.base, http->method.len,
                       H2O_STRLIT("POST"))) {
        serve_post(control, http, path);
    }
    else {
        reply_error(http, RsAdmin_BAD_REQUEST, "unknown-method");
    }
    g_free(path);
}

/* Opens the admin listener. Returns 0 or an error. */
int
RsControlAdmin_Open(struct rs_control *control)
{
    struct rs_server_options options = {
        .loop = control->options.loop,
        .max_body_bytes = RsTicket_MAX_BYTES,
        .max_connections = MAX_CONNECTIONS,
        .handler = on_http,
        .arg = control,
    };
    int status = RsHttp_ParseAddress(control->settings->admin.address,
                                     (uint16_t)control->settings->admin.port,
                                     &options.address);
    return status != 0 ? status
                       : RsServer_Open(&options, &control->admin_server);
}
