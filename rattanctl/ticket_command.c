/* The commands ticket submit, show, list and wait of rattanctl. */

#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "rattanctl/ctl.h"
#include "rattanctl/print.h"

#define STATUS_OK 200
#define STATUS_INVALID 400
#define STATUS_CONFLICT 409
#define STATUS_UNAVAILABLE 503
#define POLL_INTERVAL_US 250000
#define MS_PER_S 1000

static bool
is_number(const char *text)
{
    return text[0] != '\0' && strspn(text, "0123456789") == strlen(text);
}

static void
print_faults(struct rs_ctl *ctl, const json_t *faults)
{
    for (size_t i = 0; i < json_array_size(faults); i++) {
        const char *path = "";
        const char *what = "";
        const char *allowed = "";
        json_unpack(json_array_get(faults, i), "{s:s, s:s, s:s}", "path",
                    &path, "what", &what, "allowed", &allowed);
        fprintf(ctl->err, "%s%s%s; allowed: %s\n", path,
                path[0] != '\0' ? ": " : "", what, allowed);
    }
}

static void
print_conflict(struct rs_ctl *ctl, const json_t *response)
{
    json_int_t head = json_integer_value(json_object_get(response, "head"));
    const json_t *difference = json_object_get(response, "difference");
    fprintf(ctl->err,
            "conflict: the last accepted one is ticket %" JSON_INTEGER_FORMAT
            "; the next number is %" JSON_INTEGER_FORMAT "\n",
            head, head + 1);
    for (size_t i = 0; i < json_array_size(difference); i++) {
        const json_t *item = json_array_get(difference, i);
        const char *kind = json_string_value(json_object_get(item, "kind"));
        const char *name = json_string_value(json_object_get(item, "name"));
        fprintf(ctl->err, "%s/%s\n  present: ", kind != NULL ? kind : "?",
                name != NULL ? name : "?");
        RsPrint_Json(ctl->err, json_object_get(item, "present"));
        fprintf(ctl->err, "  wanted:  ");
        RsPrint_Json(ctl->err, json_object_get(item, "wanted"));
    }
}

static int
report_unavailable(struct rs_ctl *ctl, const struct rs_reply *reply)
{
    bool unknown = reply->unknown_outcome || reply->response_lost;
    fprintf(ctl->err, "platform unavailable: %s\n",
            unknown ? "outcome unknown; submit the same file again"
                    : "not accepted");
    return RsCtl_UNAVAILABLE;
}

static int
report_submission(struct rs_ctl *ctl, const struct rs_reply *reply)
{
    if (ctl->json && reply->json != NULL) {
        RsPrint_Json(ctl->out, reply->json);
    }
    switch (reply->status) {
    case STATUS_OK:
        if (!ctl->json) {
            RsPrint_Object(ctl->out, reply->json);
        }
        return RsCtl_OK;
    case STATUS_INVALID:
        print_faults(ctl, json_object_get(reply->json, "faults"));
        return RsCtl_INVALID;
    case STATUS_CONFLICT:
        print_conflict(ctl, reply->json);
        return RsCtl_CONFLICT;
    case STATUS_UNAVAILABLE:
        return report_unavailable(ctl, reply);
    default:
        return RsCtl_PrintError(ctl, reply);
    }
}

static int
submit_ticket(struct rs_ctl *ctl, const char *path)
{
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, NULL, &error)) {
        fprintf(ctl->err, "%s\n", error->message);
        g_error_free(error);
        return RsCtl_FAILED;
    }
    struct rs_request request = {.path = "/tickets", .body = text};
    struct rs_reply reply;
    int code = RsCtl_ADMIN_UNREACHABLE;
    if (RsClient_Call(&ctl->client, &request, &reply) == 0) {
        code = report_submission(ctl, &reply);
    }
    else if (reply.response_lost) {
        code = report_unavailable(ctl, &reply);
    }
    else {
        fprintf(ctl->err, "no admin address answers\n");
    }
    RsReply_Free(&reply);
    g_free(text);
    return code;
}

static void
print_ticket(struct rs_ctl *ctl, const json_t *row)
{
    json_t *fields = json_copy((json_t *)row);
    json_object_del(fields, "objects");
    RsPrint_Object(ctl->out, fields);
    json_decref(fields);
    const json_t *objects = json_object_get(row, "objects");
    for (size_t i = 0; i < json_array_size(objects); i++) {
        const json_t *object = json_array_get(objects, i);
        const char *kind = json_string_value(json_object_get(object, "kind"));
        const char *name = json_string_value(json_object_get(object, "name"));
        fprintf(ctl->out, "\n%s/%s ", kind != NULL ? kind : "?",
                name != NULL ? name : "?");
        RsPrint_Json(ctl->out, json_object_get(object, "value"));
    }
}

static int
show_ticket(struct rs_ctl *ctl, const char *number)
{
    char *path = g_strdup_printf("/tickets/%s", number);
    struct rs_reply reply;
    int code = RsCtl_GetJson(ctl, path, &reply);
    if (code == RsCtl_OK && ctl->json) {
        RsPrint_Json(ctl->out, reply.json);
    }
    else if (code == RsCtl_OK) {
        print_ticket(ctl, reply.json);
    }
    RsReply_Free(&reply);
    g_free(path);
    return code;
}

static void
print_list(struct rs_ctl *ctl, const json_t *rows)
{
    static const char *const columns[] = {"number",  "author", "digest",
                                          "touches", "note",   NULL};
    json_t *lines = json_array();
    for (size_t i = 0; i < json_array_size(rows); i++) {
        json_t *line = json_copy(json_array_get(rows, i));
        size_t count = json_array_size(json_object_get(line, "objects"));
        json_object_set_new(line, "touches", json_integer((json_int_t)count));
        json_array_append_new(lines, line);
    }
    RsPrint_Table(ctl->out, lines, columns);
    json_decref(lines);
}

static int
list_tickets(struct rs_ctl *ctl)
{
    GString *path = g_string_new("/tickets");
    if (ctl->before != NULL) {
        g_string_append_printf(path, "?before=%s", ctl->before);
    }
    if (ctl->limit != NULL) {
        g_string_append_printf(path, "%climit=%s",
                               ctl->before != NULL ? '&' : '?', ctl->limit);
    }
    struct rs_reply reply;
    int code = RsCtl_GetJson(ctl, path->str, &reply);
    if (code == RsCtl_OK && ctl->json) {
        RsPrint_Json(ctl->out, reply.json);
    }
    else if (code == RsCtl_OK) {
        print_list(ctl, json_object_get(reply.json, "tickets"));
    }
    RsReply_Free(&reply);
    g_string_free(path, TRUE);
    return code;
}

static void
print_in_force(struct rs_ctl *ctl, const json_t *response)
{
    if (ctl->json) {
        RsPrint_Json(ctl->out, response);
        return;
    }
    bool in_force = json_is_true(json_object_get(response, "in_force"));
    fprintf(ctl->out, "%s\n", in_force ? "in force" : "not in force");
    RsPrint_Names(ctl->out, "applied", json_object_get(response, "applied"));
    RsPrint_Names(ctl->out, "behind", json_object_get(response, "behind"));
    RsPrint_Names(ctl->out, "unreachable",
                  json_object_get(response, "unreachable"));
}

/* Polls until the ticket is in force or the timeout passes. Errors do not end
 * the wait: the ticket may not have been accepted yet, and processes may be
 * unreachable for the moment. */
static int
wait_until_in_force(struct rs_ctl *ctl, const char *number)
{
    int64_t deadline_ms = RsClock_NowMs() + (int64_t)ctl->timeout_s * MS_PER_S;
    char *path = g_strdup_printf("/tickets/%s/force", number);
    struct rs_request request = {.path = path};
    struct rs_reply reply = {0};
    int status = 0;
    bool in_force = false;
    for (;;) {
        RsReply_Free(&reply);
        status = RsClient_Call(&ctl->client, &request, &reply);
        in_force = reply.status == STATUS_OK &&
                   json_is_true(json_object_get(reply.json, "in_force"));
        if (in_force || RsClock_NowMs() >= deadline_ms) {
            break;
        }
        g_usleep(POLL_INTERVAL_US);
    }
    int code = in_force ? RsCtl_OK : RsCtl_NOT_IN_FORCE;
    if (status < 0) {
        fprintf(ctl->err, "no admin address answers\n");
        code = RsCtl_ADMIN_UNREACHABLE;
    }
    else if (reply.status == STATUS_OK) {
        print_in_force(ctl, reply.json);
    }
    else {
        RsCtl_PrintError(ctl, &reply);
    }
    RsReply_Free(&reply);
    g_free(path);
    return code;
}

/* Runs `ticket VERB...` and returns the exit code, which is RsCtl_USAGE if the
 * verb is unknown or its arguments are invalid. */
int
RsTicketCommand_Run(struct rs_ctl *ctl)
{
    const char *verb = ctl->argument_count > 1 ? ctl->arguments[1] : "";
    const char *argument = ctl->argument_count == 3 ? ctl->arguments[2] : NULL;
    if (strcmp(verb, "list") == 0 && ctl->argument_count == 2) {
        return list_tickets(ctl);
    }
    if (strcmp(verb, "submit") == 0 && argument != NULL) {
        return submit_ticket(ctl, argument);
    }
    if (argument == NULL || !is_number(argument)) {
        return RsCtl_USAGE;
    }
    if (strcmp(verb, "show") == 0) {
        return show_ticket(ctl, argument);
    }
    return strcmp(verb, "wait") == 0 ? wait_until_in_force(ctl, argument)
                                     : RsCtl_USAGE;
}
