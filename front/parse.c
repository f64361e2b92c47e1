/* Parses a caller's HTTP request into the message that is forwarded. */

#include <string.h>

#include "core/clock.h"
#include "front/request.h"
#include "place/slice.h"

#define MIN_TIMEOUT_MS 1
#define MAX_TIMEOUT_MS 60000
#define MAX_KEY_BYTES 512
#define MAX_PATH_BYTES 4096
#define MAX_FORWARDED_HEADERS 32
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_URI_TOO_LONG 414
#define STATUS_HEADERS_TOO_LARGE 431
#define STATUS_NO_RULE 503

/* Tells whether a header is not forwarded, because it concerns only this
 * connection, or because the router itself reads or sets it. */
static bool
is_not_forwarded(const h2o_header_t *header)
{
    static const char *const not_forwarded[] = {
        "connection",   "content-length", "transfer-encoding",
        "keep-alive",   "upgrade",        "expect",
        "te",           "trailer",        "proxy-connection",
        "x-timeout-ms", "x-request-id",   "x-slice",
        "x-fence",      "x-holder",       "x-deadline-ms",
        "x-key",        "x-caller"};
    for (size_t i = 0; i < G_N_ELEMENTS(not_forwarded); i++) {
        if (h2o_memis(header->name->base, header->name->len, not_forwarded[i],
                      strlen(not_forwarded[i]))) {
            return true;
        }
    }
    return false;
}

static void
copy_headers(Rs__Relay__Forward *forward, const h2o_req_t *http)
{
    size_t count = MIN(http->headers.size, (size_t)MAX_FORWARDED_HEADERS);
    forward->headers = g_new(Rs__Relay__Header *, count + 1);
    for (size_t i = 0; i < count; i++) {
        const h2o_header_t *from = &http->headers.entries[i];
        if (is_not_forwarded(from)) {
            continue;
        }
        Rs__Relay__Header *to = malloc(sizeof(*to));
        rs__relay__header__init(to);
        to->name = strndup(from->name->base, from->name->len);
        to->value = strndup(from->value.base, from->value.len);
        forward->headers[forward->n_headers++] = to;
    }
}

static uint32_t
timeout_ms(const h2o_req_t *http, const struct rs_model_service *service)
{
    char *text = RsServer_Header(http, "x-timeout-ms");
    uint32_t limit_ms = service->timeout_ms;
    if (text != NULL) {
        guint64 value = g_ascii_strtoull(text, NULL, 10);
        limit_ms = (uint32_t)CLAMP(value, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    }
    g_free(text);
    return limit_ms;
}

static bool
is_repeatable(const struct rs_model_service *service, const char *method)
{
    for (size_t i = 0; i < service->repeatable_count; i++) {
        if (strcmp(service->repeatable[i], method) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_printable_ascii(const char *text)
{
    for (; *text != '\0'; text++) {
        if (*text <= ' ' || *text > '~') {
            return false;
        }
    }
    return true;
}

/* Sets the request id: the caller's when it is valid, else a unique one. */
static void
set_request_id(struct rs_front_request *request)
{
    char *caller_id = RsServer_Header(request->http, "x-request-id");
    if (caller_id != NULL && caller_id[0] != '\0' &&
        strlen(caller_id) < sizeof(request->request_id) &&
        is_printable_ascii(caller_id)) {
        g_strlcpy(request->request_id, caller_id, sizeof(request->request_id));
    }
    else {
        snprintf(request->request_id, sizeof(request->request_id),
                 "%s-%" PRIx64 "-%" PRIu64, request->front->self,
                 request->front->options.seed,
                 ++request->front->last_request_number);
    }
    g_free(caller_id);
}

/* Splits a path of the form `/SERVICE/KEY` or `/SERVICE/KEY/...`. On success
 * `key` is a new string that the caller frees. Returns false when the service
 * or the key is missing or too long. */
static bool
split_path(const char *path, char service[RsModel_NAME_BYTES], char **key)
{
    const char *name = path + 1;
    const char *slash = path[0] == '/' ? strchr(name, '/') : NULL;
    if (slash == NULL || slash == name || slash - name >= RsModel_NAME_BYTES) {
        return false;
    }
    memcpy(service, name, (size_t)(slash - name));
    service[slash - name] = '\0';
    size_t size = strcspn(slash + 1, "/");
    if (size == 0 || size > MAX_KEY_BYTES) {
        return false;
    }
    *key = strndup(slash + 1, size);
    return true;
}

/* Returns the name that the caller gives itself in x-caller, else its IP
 * address, as a new string. */
static char *
caller_name(const h2o_req_t *http)
{
    char *header_value = RsServer_Header(http, "x-caller");
    if (header_value == NULL) {
        struct sockaddr_in peer = {0};
        char text[INET_ADDRSTRLEN] = "";
        http->conn->callbacks->get_peername(http->conn,
                                            (struct sockaddr *)&peer);
        inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
        return strdup(text);
    }
    char *copy = strdup(header_value);
    g_free(header_value);
    return copy;
}

/* Sets the rule and the slice of a keyed request. Returns 0, or an HTTP status
 * with a reason. */
static int
find_slice(struct rs_front *front, struct rs_front_request *request,
           const char **reason)
{
    Rs__Relay__Forward *forward = request->forward;
    const struct rs_config *config = RsView_Config(front->view);
    const struct rs_model_rule *rule = RsConfig_RuleOfKey(
        config, request->service, forward->key, strlen(forward->key));
    if (rule == NULL) {
        *reason = "no-rule";
        return STATUS_NO_RULE;
    }
    uint32_t index =
        RsSlice_IndexOfKey(forward->key, strlen(forward->key), rule->slices);
    forward->rule = strdup(rule->name);
    forward->slice = RsSlice_Id(rule->name, index);
    return 0;
}

static void
fill_forward(struct rs_front_request *request,
             const struct rs_model_service *service)
{
    Rs__Relay__Forward *forward = request->forward;
    const h2o_req_t *http = request->http;
    forward->request_id = strdup(request->request_id);
    forward->service = strdup(request->service);
    forward->method = strndup(http->method.base, http->method.len);
    forward->path = strndup(http->path.base, http->path.len);
    forward->caller = caller_name(http);
    forward->keyed = service->keyed;
    forward->repeatable = is_repeatable(service, forward->method);
    if (http->entity.len > 0) {
        forward->body.data = malloc(http->entity.len);
        forward->body.len = http->entity.len;
        memcpy(forward->body.data, http->entity.base, http->entity.len);
    }
    copy_headers(forward, http);
}

static size_t
total_header_bytes(const h2o_req_t *http)
{
    size_t sum_bytes = 0;
    for (size_t i = 0; i < http->headers.size; i++) {
        const h2o_header_t *header = &http->headers.entries[i];
        sum_bytes += header->name->len + header->value.len;
    }
    return sum_bytes;
}

/* Fills in `request` and its `forward` message from the HTTP request. Returns
 * 0, or the HTTP status of the refusal, with a `reason` that has static
 * lifetime. */
int
RsFrontParse_Request(struct rs_front *front, struct rs_front_request *request,
                     const char **reason)
{
    const h2o_req_t *http = request->http;
    set_request_id(request);
    if (http->path.len > MAX_PATH_BYTES) {
        *reason = "path-too-long";
        return STATUS_URI_TOO_LONG;
    }
    if (http->headers.size > MAX_FORWARDED_HEADERS) {
        *reason = "too-many-headers";
        return STATUS_HEADERS_TOO_LARGE;
    }
    if (total_header_bytes(http) > front->options.max_header_bytes) {
        *reason = "headers-too-large";
        return STATUS_HEADERS_TOO_LARGE;
    }
    char *path = RsServer_Path(http);
    char *key = NULL;
    bool is_path_valid =
        split_path(path, request->service, &key) && is_printable_ascii(path);
    g_free(path);
    if (!is_path_valid) {
        free(key);
        *reason = "bad-path";
        return STATUS_BAD_REQUEST;
    }
    const struct rs_model_service *service =
        RsConfig_Service(RsView_Config(front->view), request->service);
    if (service == NULL) {
        free(key);
        *reason = "unknown-service";
        return STATUS_NOT_FOUND;
    }
    request->forward = malloc(sizeof(*request->forward));
    rs__relay__forward__init(request->forward);
    request->forward->key = key;
    fill_forward(request, service);
    request->deadline_ms = RsClock_NowMs() + timeout_ms(http, service);
    return service->keyed ? find_slice(front, request, reason) : 0;
}
