/* standin_judge: checks the targets' records against the load generator's log
 * and prints each violation. Exit status: 0 without violations; 1 with
 * violations; 2 if the arguments are invalid, if the input can't be read, or
 * if no violation was found but a record has dropped events and --partial
 * isn't given. */

#include <argtable2.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/checker.h"

#define STATUS_CLEAN 0
#define STATUS_VIOLATIONS 1
#define STATUS_ERROR 2
#define READ_TIMEOUT_S 10L

/* The input read so far. */
struct reader {
    struct rs_checker *checker;
    GHashTable *seen; /* "START_ID/N" of the events added */
    size_t event_count;
    size_t request_count;
    bool overflowed; /* a record has dropped events */
};

static const char *
get_text(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text != NULL ? text : "";
}

static int64_t
get_integer(const json_t *json, const char *name)
{
    return json_integer_value(json_object_get(json, name));
}

/* Adds an event, unless it was read before: records and --record-lines files
 * may hold the same event. `record` names the target and its start ID. */
static void
add_event(struct reader *reader, const json_t *record, const json_t *json)
{
    char *id = g_strdup_printf("%s/%lld", get_text(record, "start_id"),
                               (long long)get_integer(json, "n"));
    if (!g_hash_table_add(reader->seen, id)) {
        return;
    }
    struct rs_checker_event event = {
        .target = get_text(record, "target"),
        .service = get_text(json, "service"),
        .request_id = get_text(json, "request_id"),
        .method = get_text(json, "method"),
        .key = get_text(json, "key"),
        .slice = get_text(json, "slice"),
        .epoch = (uint64_t)get_integer(json, "epoch"),
        .step = (uint64_t)get_integer(json, "step"),
        .start_us = get_integer(json, "wall_start_us"),
        .end_us = get_integer(json, "wall_end_us"),
        .effect = json_is_true(json_object_get(json, "effect")),
    };
    RsChecker_AddEvent(reader->checker, &event);
    reader->event_count++;
}

/* Adds one line of a target's --record-lines file. Returns 0, or -1 if the
 * line is malformed. */
static int
read_event_line(struct reader *reader, const char *line)
{
    json_t *json = json_loads(line, 0, NULL);
    const char *target = get_text(json, "target");
    bool valid = target[0] != '\0' && get_integer(json, "n") > 0;
    if (valid) {
        RsChecker_SetSlots(reader->checker, target,
                           (uint32_t)get_integer(json, "slots"));
        add_event(reader, json, json);
    }
    json_decref(json);
    return valid ? 0 : -1;
}

/* Adds the events of one answer of /standin/record. Returns the number of the
 * last event, 0 if there are no events, or -1 if the answer is malformed. */
static int64_t
add_record(struct reader *reader, const json_t *record)
{
    size_t i;
    const json_t *event;
    const json_t *events = json_object_get(record, "events");
    int64_t last = 0;
    if (!json_is_array(events) || get_text(record, "target")[0] == '\0') {
        return -1;
    }
    RsChecker_SetSlots(reader->checker, get_text(record, "target"),
                       (uint32_t)get_integer(record, "slots"));
    if (json_is_true(json_object_get(record, "overflowed"))) {
        printf("record of %s has overflowed\n", get_text(record, "target"));
        RsChecker_MarkPartial(reader->checker, get_text(record, "target"));
        reader->overflowed = true;
    }
    json_array_foreach(events, i, event)
    {
        add_event(reader, record, event);
        last = get_integer(event, "n");
    }
    return last;
}

static size_t
append_body(char *data, size_t size, size_t count, void *body)
{
    g_string_append_len(body, data, (gssize)(size * count));
    return size * count;
}

/* Returns the JSON body at `url`, which the caller frees, or NULL if it can't
 * be fetched or is no JSON. */
static json_t *
fetch(CURL *curl, const char *url)
{
    GString *body = g_string_new("");
    json_t *json = NULL;
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT, READ_TIMEOUT_S);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
    if (curl_easy_perform(curl) == CURLE_OK) {
        json = json_loadb(body->str, body->len, 0, NULL);
    }
    g_string_free(body, TRUE);
    return json;
}

/* Fetches a target's whole record page by page. Returns 0, or -1 after an
 * error, which it has printed. */
static int
read_target(struct reader *reader, CURL *curl, const char *address)
{
    int64_t last = 0;
    int64_t page_last = 0;
    do {
        char *url = g_strdup_printf("http://%s/standin/record?after=%lld",
                                    address, (long long)last);
        json_t *record = fetch(curl, url);
        page_last = record != NULL ? add_record(reader, record) : -1;
        json_decref(record);
        g_free(url);
        last = page_last > 0 ? page_last : last;
    } while (page_last > 0);
    if (page_last < 0) {
        fprintf(stderr, "can't read the record of %s\n", address);
    }
    return page_last < 0 ? -1 : 0;
}

static int
read_targets(struct reader *reader, const char *list)
{
    int result = 0;
    CURL *curl = curl_easy_init();
    char **addresses = g_strsplit(list, ",", -1);
    for (size_t i = 0; addresses[i] != NULL && result == 0; i++) {
        result = read_target(reader, curl, addresses[i]);
    }
    g_strfreev(addresses);
    curl_easy_cleanup(curl);
    return result;
}

/* Adds the record in a file. Returns 0, or -1 after an error, which it has
 * printed. */
static int
read_record_file(struct reader *reader, const char *path)
{
    json_t *record = json_load_file(path, 0, NULL);
    int64_t last = record != NULL ? add_record(reader, record) : -1;
    json_decref(record);
    if (last < 0) {
        fprintf(stderr, "%s is not a record\n", path);
        return -1;
    }
    return 0;
}

/* Adds one line of standin_load's log. Returns 0, or -1 if the line is
 * malformed. */
static int
read_request_line(struct reader *reader, const char *line)
{
    json_t *json = json_loads(line, 0, NULL);
    struct rs_checker_request request = {.request_id = get_text(json, "id"),
                                         .method = get_text(json, "method"),
                                         .outcome = get_text(json, "outcome")};
    bool valid = request.request_id[0] != '\0' && request.outcome[0] != '\0';
    if (valid) {
        RsChecker_AddRequest(reader->checker, &request);
        reader->request_count++;
    }
    json_decref(json);
    return valid ? 0 : -1;
}

/* Calls `read_line` on each line of a file until one is malformed. Returns 0,
 * or -1 after an error, which it has printed. */
static int
read_lines(struct reader *reader, const char *path,
           int (*read_line)(struct reader *reader, const char *line))
{
    char *line = NULL;
    size_t capacity = 0;
    int result = 0;
    FILE *file = fopen(path, "r");
    if (file == NULL) {
        perror(path);
        return -1;
    }
    while (result == 0 && getline(&line, &capacity, file) > 0) {
        result = read_line(reader, line);
    }
    if (result != 0) {
        fprintf(stderr, "%s: malformed line: %s", path, line);
    }
    free(line);
    fclose(file);
    return result;
}

/* Checks the input, prints the violations and a summary, and returns the exit
 * status. */
static int
print_violations(const struct reader *reader, bool partial)
{
    const GPtrArray *violations = RsChecker_Run(reader->checker);
    for (guint i = 0; i < violations->len; i++) {
        printf("%s\n", (const char *)g_ptr_array_index(violations, i));
    }
    printf("judged %zu events and %zu requests: %u violations%s\n",
           reader->event_count, reader->request_count, violations->len,
           partial || reader->overflowed ? ", records incomplete" : "");
    if (violations->len > 0) {
        return STATUS_VIOLATIONS;
    }
    return reader->overflowed && !partial ? STATUS_ERROR : STATUS_CLEAN;
}

int
main(int argc, char **argv)
{
    struct arg_str *targets = arg_str0(NULL, "targets", "HOST:PORT,...",
                                       "targets to fetch the records of");
    struct arg_file *saved = arg_filen(NULL, "record", "FILE", 0, 100,
                                       "saved answer of /standin/record");
    struct arg_file *lines =
        arg_filen(NULL, "record-lines", "FILE", 0, 100,
                  "file that a target wrote with --record-lines");
    struct arg_file *logs =
        arg_filen(NULL, "log", "FILE", 0, 100, "log of standin_load");
    struct arg_lit *partial = arg_lit0(
        NULL, "partial", "records are missing: don't report lost requests");
    struct arg_end *end = arg_end(8);
    void *table[] = {targets, saved, lines, logs, partial, end};
    if (arg_parse(argc, argv, table) != 0 ||
        targets->count + saved->count + lines->count == 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_glossary(stderr, table, NULL);
        return STATUS_ERROR;
    }
    struct reader reader = {
        .checker = RsChecker_New(),
        .seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
    int result =
        targets->count > 0 ? read_targets(&reader, targets->sval[0]) : 0;
    for (int i = 0; i < saved->count && result == 0; i++) {
        result = read_record_file(&reader, saved->filename[i]);
    }
    for (int i = 0; i < lines->count && result == 0; i++) {
        result = read_lines(&reader, lines->filename[i], read_event_line);
    }
    for (int i = 0; i < logs->count && result == 0; i++) {
        result = read_lines(&reader, logs->filename[i], read_request_line);
    }
    if (partial->count > 0) {
        RsChecker_MarkPartial(reader.checker, "");
    }
    int status = result == 0 ? print_violations(&reader, partial->count > 0)
                             : STATUS_ERROR;
    g_hash_table_destroy(reader.seen);
    RsChecker_Free(reader.checker);
    return status;
}
