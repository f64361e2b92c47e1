#include "tests/caller.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"

#define US_PER_MS 1000
#define DEFAULT_TIMEOUT_MS 1000
#define DEFAULT_PAUSE_MS 10
/* A caller waits this much longer than the timeout that its request announces.
 */
#define TRANSPORT_GRACE_MS 500
#define CONNECT_TIMEOUT_MS 500L
#define TEXT_TIMEOUT_MS 2000
#define POST_EVERY 4 /* each fourth request of a key is a POST */

static size_t
append_body(char *data, size_t size, size_t count, void *body)
{
    g_string_append_len(body, data, (gssize)(size * count));
    return size * count;
}

static int
perform_call(uint16_t port, const char *method, const char *path,
             const char *body, int64_t timeout_ms, GString *text)
{
    long status = 0;
    char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
    CURL *curl = curl_easy_init();
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_easy_cleanup(curl);
    g_free(url);
    return (int)status;
}

/* Calls an HTTP API on `port`. `body` may be NULL. Unless `answer` is NULL,
 * stores the JSON answer there, which the caller owns, or NULL when there was
 * no answer or it was not JSON. Returns the HTTP status, or 0 when there was
 * no answer. */
int
RsCaller_CallApi(uint16_t port, const char *method, const char *path,
                 const char *body, int64_t timeout_ms, json_t **answer)
{
    GString *text = g_string_new("");
    int status = perform_call(port, method, path, body, timeout_ms, text);
    if (answer != NULL) {
        *answer =
            status != 0 ? json_loadb(text->str, text->len, 0, NULL) : NULL;
    }
    g_string_free(text, TRUE);
    return status;
}

/* Returns the body of a GET as text, freed with g_free(), or NULL when there
 * was no answer. */
char *
RsCaller_GetText(uint16_t port, const char *path)
{
    GString *text = g_string_new("");
    int status = perform_call(port, "GET", path, NULL, TEXT_TIMEOUT_MS, text);
    return g_string_free(text, status == 0);
}

/* Parses an answer from its raw bytes as they arrive. */
struct response_reader {
    struct rs_load_answer answer;
    bool is_invalid; /* the bytes are not valid HTTP */
};

static size_t
feed_parser(char *data, size_t size, size_t count, void *arg)
{
    struct response_reader *reader = arg;
    enum rs_load_feed_result result =
        RsLoadAnswer_Feed(&reader->answer, data, size * count);
    reader->is_invalid = reader->is_invalid || result == RsLoadAnswer_INVALID;
    return size * count;
}

static struct curl_slist *
make_headers(const struct rs_caller_request *request, uint32_t timeout_ms)
{
    char *id = g_strdup_printf("X-Request-Id: %s", request->id);
    char *timeout = g_strdup_printf("X-Timeout-Ms: %u", timeout_ms);
    struct curl_slist *headers = curl_slist_append(NULL, id);
    headers = curl_slist_append(headers, timeout);
    headers = curl_slist_append(headers, "Expect:");
    g_free(timeout);
    g_free(id);
    return headers;
}

/* Each request has its own connection, because libcurl may resend a request
 * on a reused one. Headers and body are passed on without decoding, so that
 * the answer is parsed by the same code as in standin_load. */
static void
configure_request(CURL *curl, const char *url,
                  const struct rs_caller_request *request, uint32_t timeout_ms,
                  struct response_reader *reader)
{
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                     (long)timeout_ms + TRANSPORT_GRACE_MS);
    curl_easy_setopt(curl, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, feed_parser);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, reader);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, feed_parser);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, reader);
    if (strcmp(request->method, "POST") == 0) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "{}");
    }
}

static enum rs_load_outcome
classify(CURLcode code, const struct response_reader *reader)
{
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return RsLoad_SILENT;
    }
    if (code != CURLE_OK || reader->is_invalid) {
        return RsLoad_BROKEN;
    }
    return RsLoadAnswer_Classify(&reader->answer);
}

/* Sends a request to an entry process, waits for its end and fills in its
 * outcome. Returns false when the connection was refused, so that no byte of
 * the request was sent. */
static bool
send_request(const struct rs_cluster_entry *entry, bool is_file,
             uint32_t timeout_ms, struct rs_caller_request *request)
{
    struct response_reader reader = {.is_invalid = false};
    struct rs_load_expected expected = {
        .request_id = request->id, .key = request->key, .is_file = is_file};
    RsLoadAnswer_Init(&reader.answer, &expected);
    char *url = g_strdup_printf(
        "http://127.0.0.1:%u/%s/%s", entry->callers_port,
        is_file ? RsCluster_FILE_SERVICE : RsCluster_KEYED_SERVICE,
        request->key);
    struct curl_slist *headers = make_headers(request, timeout_ms);
    CURL *curl = curl_easy_init();
    configure_request(curl, url, request, timeout_ms, &reader);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    request->start_us = RsClock_WallUs();
    CURLcode code = curl_easy_perform(curl);
    request->end_us = RsClock_WallUs();
    request->outcome = classify(code, &reader);
    request->status = reader.answer.status;
    g_strlcpy(request->reason, reader.answer.reason, sizeof(request->reason));
    request->entry = entry->process.name;
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    g_free(url);
    return code != CURLE_COULDNT_CONNECT;
}

static void
store_request(struct rs_cluster *cluster,
              const struct rs_caller_request *request)
{
    g_mutex_lock(&cluster->mutex);
    g_ptr_array_add(cluster->requests, g_memdup2(request, sizeof(*request)));
    g_mutex_unlock(&cluster->mutex);
}

/* Sends one request to an entry process, waits for its end and stores it in
 * the cluster. A key that begins with "file" is a file's name and goes to the
 * service of files. Returns the request with its outcome. */
struct rs_caller_request
RsCaller_SendRequest(struct rs_cluster *cluster,
                     const struct rs_cluster_entry *entry, const char *method,
                     const char *key, uint32_t timeout_ms)
{
    static gint next_id;
    struct rs_caller_request request = {.method = method};
    g_snprintf(request.id, sizeof(request.id), "ask-%d",
               g_atomic_int_add(&next_id, 1));
    g_strlcpy(request.key, key, sizeof(request.key));
    send_request(entry, g_str_has_prefix(key, "file"), timeout_ms, &request);
    store_request(cluster, &request);
    return request;
}

struct rs_stream_key {
    struct rs_stream *stream;
    uint32_t index;
    GThread *thread;
};

struct rs_stream {
    struct rs_cluster *cluster;
    struct rs_stream_options options;
    gint must_stop;
    struct rs_stream_key keys[RsCaller_STREAM_KEYS];
};

static bool
is_selected(const struct rs_stream *stream,
            const struct rs_cluster_entry *entry)
{
    const struct rs_stream_options *options = &stream->options;
    return entry->in_rotation &&
           (options->entry_filter == NULL || options->entry_filter == entry) &&
           (options->domain_filter < 0 ||
            (uint32_t)options->domain_filter == entry->domain);
}

/* Sends a request to the next selected entry process, round-robin, as a load
 * balancer does: when the connection is refused it tries the next one. Stores
 * the request unless all refused it or none is selected. */
static void
send_round_robin(const struct rs_stream *stream, uint32_t first_index,
                 struct rs_caller_request *request)
{
    struct rs_cluster *cluster = stream->cluster;
    uint32_t timeout_ms = stream->options.timeout_ms;
    bool was_sent = false;
    for (uint32_t i = 0; i < cluster->entry_count && !was_sent; i++) {
        const struct rs_cluster_entry *entry =
            &cluster->entries[(first_index + i) % cluster->entry_count];
        if (is_selected(stream, entry)) {
            was_sent = send_request(entry, false, timeout_ms, request);
        }
    }
    if (was_sent) {
        store_request(cluster, request);
    }
}

static gpointer
run_key_thread(gpointer arg)
{
    const struct rs_stream_key *key = arg;
    struct rs_stream *stream = key->stream;
    for (uint32_t i = 0; g_atomic_int_get(&stream->must_stop) == 0; i++) {
        struct rs_caller_request request = {
            .method = i % POST_EVERY == 0 ? "POST" : "GET"};
        g_snprintf(request.key, sizeof(request.key), "%s%u",
                   stream->options.key_prefix, key->index);
        g_snprintf(request.id, sizeof(request.id), "%s-%u", request.key, i);
        send_round_robin(stream, i + key->index, &request);
        RsCluster_SleepMs(stream->options.pause_ms);
    }
    return NULL;
}

/* Starts a stream, which the caller must end with RsStream_Stop(). The strings
 * in `options` must outlive the stream. */
struct rs_stream *
RsStream_Start(struct rs_cluster *cluster,
               const struct rs_stream_options *options)
{
    struct rs_stream *stream = g_new0(struct rs_stream, 1);
    stream->cluster = cluster;
    stream->options = *options;
    if (stream->options.timeout_ms == 0) {
        stream->options.timeout_ms = DEFAULT_TIMEOUT_MS;
    }
    if (stream->options.pause_ms == 0) {
        stream->options.pause_ms = DEFAULT_PAUSE_MS;
    }
    for (uint32_t i = 0; i < RsCaller_STREAM_KEYS; i++) {
        stream->keys[i].stream = stream;
        stream->keys[i].index = i;
        stream->keys[i].thread =
            g_thread_new("caller", run_key_thread, &stream->keys[i]);
    }
    return stream;
}

/* Stops the stream, after waiting for its requests in flight, and frees it. */
void
RsStream_Stop(struct rs_stream *stream)
{
    g_atomic_int_set(&stream->must_stop, 1);
    for (uint32_t i = 0; i < RsCaller_STREAM_KEYS; i++) {
        g_thread_join(stream->keys[i].thread);
    }
    g_free(stream);
}

/* Returns how many stored requests that started at or after `from_us` had this
 * outcome. */
uint32_t
RsCaller_CountOutcomes(struct rs_cluster *cluster,
                       enum rs_load_outcome outcome, int64_t from_us)
{
    uint32_t count = 0;
    g_mutex_lock(&cluster->mutex);
    for (guint i = 0; i < cluster->requests->len; i++) {
        const struct rs_caller_request *request =
            g_ptr_array_index(cluster->requests, i);
        count += request->outcome == outcome && request->start_us >= from_us;
    }
    g_mutex_unlock(&cluster->mutex);
    return count;
}

/* Returns the time in ms from `from_us` until the first answer to a stored
 * request that started at or after `from_us`, or INT64_MAX when none was
 * answered. */
int64_t
RsCaller_FirstAnswerMs(struct rs_cluster *cluster, int64_t from_us)
{
    int64_t first_us = INT64_MAX;
    g_mutex_lock(&cluster->mutex);
    for (guint i = 0; i < cluster->requests->len; i++) {
        const struct rs_caller_request *request =
            g_ptr_array_index(cluster->requests, i);
        if (request->outcome == RsLoad_ANSWERED &&
            request->start_us >= from_us) {
            first_us = MIN(first_us, request->end_us);
        }
    }
    g_mutex_unlock(&cluster->mutex);
    return first_us == INT64_MAX ? INT64_MAX
                                 : (first_us - from_us) / US_PER_MS;
}

/* Returns the longest time without an answer for a key within a period. Stores
 * in `at_us` when that time began. */
static int64_t
longest_key_gap_us(const struct rs_cluster *cluster, const char *key,
                   int64_t from_us, int64_t to_us, int64_t *at_us)
{
    int64_t last_us = from_us;
    int64_t longest_us = 0;
    *at_us = from_us;
    for (guint i = 0; i < cluster->requests->len; i++) {
        const struct rs_caller_request *request =
            g_ptr_array_index(cluster->requests, i);
        if (request->outcome == RsLoad_ANSWERED && request->end_us > last_us &&
            request->end_us <= to_us && strcmp(request->key, key) == 0) {
            if (request->end_us - last_us > longest_us) {
                longest_us = request->end_us - last_us;
                *at_us = last_us;
            }
            last_us = request->end_us;
        }
    }
    if (to_us - last_us > longest_us) {
        longest_us = to_us - last_us;
        *at_us = last_us;
    }
    return longest_us;
}

/* Returns the longest time in ms, between `from_us` and `to_us`, for which a
 * key of a stream had no answer, and prints it. Requires that the requests for
 * a key are stored in the order in which they ended. */
int64_t
RsStream_LongestGapMs(struct rs_cluster *cluster, const char *key_prefix,
                      int64_t from_us, int64_t to_us)
{
    int64_t longest_us = 0;
    int64_t longest_at_us = from_us;
    g_mutex_lock(&cluster->mutex);
    for (uint32_t i = 0; i < RsCaller_STREAM_KEYS; i++) {
        char *key = g_strdup_printf("%s%u", key_prefix, i);
        int64_t at_us = 0;
        int64_t gap_us =
            longest_key_gap_us(cluster, key, from_us, to_us, &at_us);
        if (gap_us > longest_us) {
            longest_us = gap_us;
            longest_at_us = at_us;
        }
        g_free(key);
    }
    g_mutex_unlock(&cluster->mutex);
    printf("longest gap of a key: %lld ms, %lld ms after the start\n",
           (long long)(longest_us / US_PER_MS),
           (long long)(longest_at_us - from_us) / US_PER_MS);
    return longest_us / US_PER_MS;
}

/* Prints the stored requests that started at or after `from_us` and had this
 * outcome. */
void
RsCaller_PrintOutcomes(struct rs_cluster *cluster,
                       enum rs_load_outcome outcome, int64_t from_us)
{
    g_mutex_lock(&cluster->mutex);
    for (guint i = 0; i < cluster->requests->len; i++) {
        const struct rs_caller_request *request =
            g_ptr_array_index(cluster->requests, i);
        if (request->outcome == outcome && request->start_us >= from_us) {
            printf(
                "%s: %s %s by %s: status %d, %s, after %lld ms\n",
                RsLoadAnswer_OutcomeName(outcome), request->method,
                request->id, request->entry, request->status, request->reason,
                (long long)(request->end_us - request->start_us) / US_PER_MS);
        }
    }
    g_mutex_unlock(&cluster->mutex);
}
