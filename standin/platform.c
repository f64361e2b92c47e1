/* standin_platform: emulates the platform's table, object store and list of
 * VMs, which docs/PLATFORM.md describes. Tests and tools inject faults with
 * POST /standin. */

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "standin/server.h"
#include "standin/table.h"

#define DEFAULT_LIMIT 1000
#define OBJECT_PATH "/object/"
#define DIGEST_CHARS 16
#define PATH_BEGINS_WITH(req, text)                                           \
    ((req)->path.len >= strlen(text) &&                                       \
     memcmp((req)->path.base, (text), strlen(text)) == 0)

/* A change of the list of VMs that is not visible to readers yet. */
struct vm_change {
    int64_t due_at_ms; /* by RsClock_NowMs() */
    json_t *body;
};

/* The faults in force. Answers of the control routes are not affected. */
struct faults {
    bool outage;          /* close the connection of every request */
    int64_t slow_ms;      /* delay of each answer */
    int64_t lose_answers; /* transactions still to leave unanswered */
    int64_t vm_lag_ms;    /* delay until a change of VMs is visible */
    json_t *cut_domains;  /* domains whose requests are dropped */
};

struct platform {
    struct rs_standin_server server;
    struct rs_table *table;
    GHashTable *objects; /* digest to GBytes */
    json_t *vms;         /* VM ID to VM, as visible to readers */
    GQueue *vm_changes;  /* struct vm_change, by due_at_ms */
    struct faults faults;
    int64_t read_count;
    int64_t write_count;
};

/* An answer that is delayed by `slow_ms`. */
struct delayed_answer {
    uv_timer_t timer;
    h2o_req_t *req;
    int status;
    char *text;
    size_t size_bytes;
};

static void
free_delayed_answer(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
send_delayed_answer(uv_timer_t *timer)
{
    struct delayed_answer *delayed = timer->data;
    RsStandinServer_SendText(delayed->req, delayed->status, delayed->text,
                             delayed->size_bytes);
    g_free(delayed->text);
    uv_close((uv_handle_t *)timer, free_delayed_answer);
}

/* Sends an answer, after `slow_ms` if that is set. Takes over `text`. */
static void
send_bytes(struct platform *platform, h2o_req_t *req, int status, char *text,
           size_t size_bytes)
{
    if (platform->faults.slow_ms <= 0) {
        RsStandinServer_SendText(req, status, text, size_bytes);
        g_free(text);
        return;
    }
    struct delayed_answer *delayed = g_new0(struct delayed_answer, 1);
    delayed->req = req;
    delayed->status = status;
    delayed->text = text;
    delayed->size_bytes = size_bytes;
    uv_timer_init(platform->server.loop, &delayed->timer);
    delayed->timer.data = delayed;
    uv_timer_start(&delayed->timer, send_delayed_answer,
                   (uint64_t)platform->faults.slow_ms, 0);
}

/* Sends an answer like send_bytes(). Takes over `text`. */
static void
send_answer(struct platform *platform, h2o_req_t *req, int status,
            GString *text)
{
    size_t size_bytes = text->len;
    send_bytes(platform, req, status, g_string_free(text, FALSE), size_bytes);
}

static json_t *
load_body(const h2o_req_t *req)
{
    return json_loadb(req->entity.base, req->entity.len, 0, NULL);
}

static void
send_error(struct platform *platform, h2o_req_t *req, int status)
{
    send_answer(platform, req, status,
                g_string_new("{\"error\":\"refused\"}"));
}

static void
get_row(struct platform *platform, h2o_req_t *req)
{
    char *key = RsStandinServer_CopyQueryParameter(req, "key");
    struct rs_table_row row;
    if (key != NULL && RsTable_Get(platform->table, key, &row)) {
        GString *text = g_string_new("");
        RsTable_AppendRow(text, &row);
        send_answer(platform, req, 200, text);
    }
    else {
        send_error(platform, req, 404);
    }
    g_free(key);
}

static void
get_changes(struct platform *platform, h2o_req_t *req)
{
    char *skip = RsStandinServer_CopyQueryParameter(req, "skip");
    GString *text = g_string_new("");
    const char *prefix = skip != NULL && skip[0] != '\0' ? skip : NULL;
    RsTable_Changes(platform->table,
                    RsStandinServer_QueryInteger(req, "after", 0),
                    RsStandinServer_QueryInteger(req, "limit", DEFAULT_LIMIT),
                    prefix, text);
    send_answer(platform, req, 200, text);
    g_free(skip);
}

static void
get_list(struct platform *platform, h2o_req_t *req)
{
    char *prefix = RsStandinServer_CopyQueryParameter(req, "prefix");
    char *after_key = RsStandinServer_CopyQueryParameter(req, "after_key");
    GString *text = g_string_new("");
    RsTable_List(platform->table, prefix != NULL ? prefix : "", after_key,
                 RsStandinServer_QueryInteger(req, "limit", DEFAULT_LIMIT),
                 RsStandinServer_QueryInteger(req, "reverse", 0) == 1, text);
    send_answer(platform, req, 200, text);
    g_free(prefix);
    g_free(after_key);
}

/* Runs a transaction. While `lose_answers` is above 0, the caller of the
 * transaction gets no answer. */
static void
handle_commit(struct platform *platform, h2o_req_t *req)
{
    json_t *body = load_body(req);
    GString *text = g_string_new("");
    int status = RsTable_Commit(platform->table, body, text);
    json_decref(body);
    if (platform->faults.lose_answers > 0) {
        platform->faults.lose_answers--;
        g_string_free(text, TRUE);
        RsStandinServer_DropConnection(req);
        return;
    }
    send_answer(platform, req, status, text);
}

/* Returns the digest in the request's path, which the caller frees, or NULL if
 * it is malformed. */
static char *
copy_digest(const h2o_req_t *req)
{
    const char *digest = req->path.base + strlen(OBJECT_PATH);
    size_t size_bytes = req->path.len - strlen(OBJECT_PATH);
    if (size_bytes != DIGEST_CHARS) {
        return NULL;
    }
    for (size_t i = 0; i < size_bytes; i++) {
        if (strchr("0123456789abcdef", digest[i]) == NULL) {
            return NULL;
        }
    }
    return g_strndup(digest, size_bytes);
}

static void
put_object(struct platform *platform, h2o_req_t *req)
{
    char *digest = copy_digest(req);
    if (digest == NULL) {
        send_error(platform, req, 400);
        return;
    }
    g_hash_table_replace(platform->objects, digest,
                         g_bytes_new(req->entity.base, req->entity.len));
    send_answer(platform, req, 200, g_string_new("{}"));
}

static void
get_object(struct platform *platform, h2o_req_t *req)
{
    char *digest = copy_digest(req);
    GBytes *body =
        digest != NULL ? g_hash_table_lookup(platform->objects, digest) : NULL;
    g_free(digest);
    if (body == NULL) {
        send_error(platform, req, 404);
        return;
    }
    gsize size_bytes;
    const char *data = g_bytes_get_data(body, &size_bytes);
    send_answer(platform, req, 200,
                g_string_new_len(data, (gssize)size_bytes));
}

static void
apply_vm_change(struct platform *platform, const json_t *body)
{
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(body, "put"), i, entry)
    {
        const char *id = json_string_value(json_object_get(entry, "id"));
        if (id != NULL) {
            json_object_set(platform->vms, id, entry);
        }
    }
    json_array_foreach(json_object_get(body, "remove"), i, entry)
    {
        if (json_is_string(entry)) {
            json_object_del(platform->vms, json_string_value(entry));
        }
    }
}

static void
apply_due_vm_changes(struct platform *platform)
{
    int64_t now_ms = RsClock_NowMs();
    struct vm_change *change = g_queue_peek_head(platform->vm_changes);
    while (change != NULL && change->due_at_ms <= now_ms) {
        g_queue_pop_head(platform->vm_changes);
        apply_vm_change(platform, change->body);
        json_decref(change->body);
        g_free(change);
        change = g_queue_peek_head(platform->vm_changes);
    }
}

/* Returns a copy of a VM as processes in `domain` see it: the fields in its
 * member `from`.DOMAIN replace its own, and `from` is removed. With NULL, no
 * field is replaced. */
static json_t *
vm_seen_from(const json_t *vm, const char *domain)
{
    json_t *seen = json_copy((json_t *)vm);
    json_t *fields_by_domain = json_object_get(vm, "from");
    json_t *fields =
        domain != NULL ? json_object_get(fields_by_domain, domain) : NULL;
    if (fields != NULL) {
        json_object_update(seen, fields);
    }
    json_object_del(seen, "from");
    return seen;
}

static void
get_vms(struct platform *platform, h2o_req_t *req)
{
    const char *id;
    json_t *vm;
    char *domain = RsStandinServer_CopyQueryParameter(req, "from");
    json_t *list = json_array();
    apply_due_vm_changes(platform);
    json_object_foreach(platform->vms, id, vm)
    {
        json_array_append_new(list, vm_seen_from(vm, domain));
    }
    json_t *body = json_pack("{s:o}", "vms", list);
    char *text = json_dumps(body, JSON_COMPACT);
    send_answer(platform, req, 200, g_string_new(text));
    free(text);
    json_decref(body);
    g_free(domain);
}

/* Queues a change of the list of VMs, to be visible after `vm_lag_ms`, but not
 * before earlier changes. */
static void
post_vms(struct platform *platform, h2o_req_t *req)
{
    json_t *body = load_body(req);
    if (!json_is_object(body)) {
        json_decref(body);
        RsStandinServer_SendText(req, 400, "{}", 2);
        return;
    }
    struct vm_change *change = g_new0(struct vm_change, 1);
    struct vm_change *last = g_queue_peek_tail(platform->vm_changes);
    change->body = body;
    change->due_at_ms = RsClock_NowMs() + platform->faults.vm_lag_ms;
    if (last != NULL) {
        change->due_at_ms = MAX(change->due_at_ms, last->due_at_ms);
    }
    g_queue_push_tail(platform->vm_changes, change);
    RsStandinServer_SendText(req, 200, "{}", 2);
}

/* Sets `number` to the member `name` of `body`, if that is an integer. */
static void
read_integer(const json_t *body, const char *name, int64_t *number)
{
    const json_t *value = json_object_get(body, name);
    if (json_is_integer(value)) {
        *number = json_integer_value(value);
    }
}

static void
get_faults(struct platform *platform, h2o_req_t *req)
{
    struct faults *faults = &platform->faults;
    RsStandinServer_SendJson(
        req, 200,
        json_pack("{s:b,s:I,s:I,s:I,s:O,s:I,s:I,s:I}", "outage",
                  (int)faults->outage, "slow_ms", (json_int_t)faults->slow_ms,
                  "lose_answers", (json_int_t)faults->lose_answers,
                  "vm_lag_ms", (json_int_t)faults->vm_lag_ms, "cut_domains",
                  faults->cut_domains, "reads",
                  (json_int_t)platform->read_count, "writes",
                  (json_int_t)platform->write_count, "revision",
                  (json_int_t)RsTable_Revision(platform->table)));
}

static void
post_faults(struct platform *platform, h2o_req_t *req)
{
    struct faults *faults = &platform->faults;
    json_t *body = load_body(req);
    json_t *outage = json_object_get(body, "outage");
    json_t *cut_domains = json_object_get(body, "cut_domains");
    if (json_is_boolean(outage)) {
        faults->outage = json_is_true(outage);
    }
    if (json_is_array(cut_domains)) {
        json_decref(faults->cut_domains);
        faults->cut_domains = json_incref(cut_domains);
    }
    read_integer(body, "slow_ms", &faults->slow_ms);
    read_integer(body, "lose_answers", &faults->lose_answers);
    read_integer(body, "vm_lag_ms", &faults->vm_lag_ms);
    json_decref(body);
    get_faults(platform, req);
}

/* Returns whether the request's X-Domain is one of the cut domains. */
static bool
is_domain_cut(const struct platform *platform, const h2o_req_t *req)
{
    size_t i;
    const json_t *name;
    h2o_iovec_t domain = RsStandinServer_Header(req, "x-domain");
    json_array_foreach(platform->faults.cut_domains, i, name)
    {
        if (json_is_string(name) && domain.base != NULL &&
            h2o_memis(domain.base, domain.len, json_string_value(name),
                      json_string_length(name))) {
            return true;
        }
    }
    return false;
}

struct route {
    const char *method;
    const char *path; /* a prefix if it ends with a slash */
    void (*handle)(struct platform *platform, h2o_req_t *req);
    bool is_write;
};

/* Requests to these routes are not subject to faults. */
static const struct route control_routes[] = {
    {"GET", "/standin", get_faults, false},
    {"POST", "/standin", post_faults, false},
    {"POST", "/standin/vms", post_vms, false},
};

static const struct route platform_routes[] = {
    {"GET", "/table/row", get_row, false},
    {"GET", "/table/changes", get_changes, false},
    {"GET", "/table/list", get_list, false},
    {"POST", "/table/commit", handle_commit, true},
    {"GET", OBJECT_PATH, get_object, false},
    {"PUT", OBJECT_PATH, put_object, true},
    {"GET", "/vms", get_vms, false},
};

static const struct route *
find_route(const struct route *routes, size_t count, const h2o_req_t *req)
{
    for (size_t i = 0; i < count; i++) {
        const struct route *route = &routes[i];
        bool is_prefix = route->path[strlen(route->path) - 1] == '/';
        if (RsStandinServer_Matches(req, route->method, route->path) ||
            (is_prefix && PATH_BEGINS_WITH(req, route->path) &&
             h2o_memis(req->method.base, req->method.len, route->method,
                       strlen(route->method)))) {
            return route;
        }
    }
    return NULL;
}

static void
handle_request(void *arg, h2o_req_t *req)
{
    struct platform *platform = arg;
    const struct route *route =
        find_route(control_routes, G_N_ELEMENTS(control_routes), req);
    if (route != NULL) {
        route->handle(platform, req);
        return;
    }
    if (platform->faults.outage || is_domain_cut(platform, req)) {
        RsStandinServer_DropConnection(req);
        return;
    }
    route = find_route(platform_routes, G_N_ELEMENTS(platform_routes), req);
    if (route == NULL) {
        send_error(platform, req, 404);
        return;
    }
    platform->read_count += route->is_write ? 0 : 1;
    platform->write_count += route->is_write ? 1 : 0;
    route->handle(platform, req);
}

/* Loads the list of VMs from the file at `path`, `{"vms":[...]}`. Returns 0,
 * or -1 after an error, which it has printed. */
static int
load_vms(struct platform *platform, const char *path)
{
    size_t i;
    json_t *vm;
    json_error_t error;
    json_t *file = json_load_file(path, 0, &error);
    if (file == NULL) {
        fprintf(stderr, "%s:%d: %s\n", path, error.line, error.text);
        return -1;
    }
    json_array_foreach(json_object_get(file, "vms"), i, vm)
    {
        const char *id = json_string_value(json_object_get(vm, "id"));
        if (id != NULL) {
            json_object_set(platform->vms, id, vm);
        }
    }
    json_decref(file);
    return 0;
}

static int
run(int port, const char *vms_path)
{
    static struct platform platform;
    platform.table = RsTable_New();
    platform.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify)g_bytes_unref);
    platform.vms = json_object();
    platform.vm_changes = g_queue_new();
    platform.faults.cut_domains = json_array();
    if (vms_path != NULL && load_vms(&platform, vms_path) != 0) {
        return 1;
    }
    RsStandinServer_Init(&platform.server, uv_default_loop());
    RsStandinServer_AddPort(&platform.server, (uint16_t)port, handle_request,
                            &platform);
    if (RsStandinServer_Start(&platform.server) != 0) {
        return 1;
    }
    return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}

int
main(int argc, char **argv)
{
    struct arg_int *port =
        arg_int1(NULL, "port", "N", "port of 127.0.0.1 to listen on");
    struct arg_file *vms =
        arg_file0(NULL, "vms", "FILE", "initial list of VMs, {\"vms\":[...]}");
    struct arg_end *end = arg_end(8);
    void *table[] = {port, vms, end};
    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_glossary(stderr, table, NULL);
        return 2;
    }
    return run(port->ival[0], vms->count > 0 ? vms->filename[0] : NULL);
}
