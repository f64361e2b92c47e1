/* standin_target: emulates one target, or several in one process, each with
 * its own port and state. */

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin/server.h"
#include "standin/worker.h"

#define DEFAULT_SLOTS 2
#define DEFAULT_QUEUE 4
#define DEFAULT_SERVICE_TIME_US 3000
#define DEFAULT_COLD_MS 3000
#define DEFAULT_SEED 1
#define MAX_PORT 65535

static struct rs_standin_server server;

/* Adds one target. Returns 0, or -1 for invalid options, after printing an
 * error. */
static int
add_target(const struct rs_worker_options *options, long long port)
{
    if (options->name == NULL || port < 1 || port > MAX_PORT ||
        options->slots == 0) {
        fprintf(stderr,
                "a target needs a name, a valid port and at least one slot\n");
        return -1;
    }
    struct rs_worker *worker = RsWorker_New(options, server.loop);
    RsStandinServer_AddPort(&server, (uint16_t)port, RsWorker_HandleRequest,
                            worker);
    return 0;
}

/* Adds the targets of a list NAME:PORT,NAME:PORT... Returns 0, or -1 if one is
 * invalid. */
static int
add_list(const struct rs_worker_options *defaults, const char *list)
{
    int result = 0;
    char **entries = g_strsplit(list, ",", -1);
    for (size_t i = 0; entries[i] != NULL && result == 0; i++) {
        struct rs_worker_options options = *defaults;
        char *colon = strchr(entries[i], ':');
        options.name = colon != NULL
                           ? g_strndup(entries[i], (gsize)(colon - entries[i]))
                           : NULL;
        long long port =
            colon != NULL ? g_ascii_strtoll(colon + 1, NULL, 10) : 0;
        result = add_target(&options, port);
    }
    g_strfreev(entries);
    return result;
}

static int64_t
get_integer(const json_t *target, const char *name, int64_t absent)
{
    const json_t *value = json_object_get(target, name);
    return json_is_integer(value) ? json_integer_value(value) : absent;
}

static int
add_from_json(const struct rs_worker_options *defaults, const json_t *target)
{
    struct rs_worker_options options = *defaults;
    const json_t *check_fences = json_object_get(target, "check_fences");
    const char *service =
        json_string_value(json_object_get(target, "service"));
    const char *name = json_string_value(json_object_get(target, "name"));
    options.name = g_strdup(name);
    options.service = service != NULL ? g_strdup(service) : defaults->service;
    options.slots = (uint32_t)get_integer(target, "slots", defaults->slots);
    options.queue = (uint32_t)get_integer(target, "queue", defaults->queue);
    options.service_time_us = (uint32_t)get_integer(target, "service_time_us",
                                                    defaults->service_time_us);
    options.cold_ms =
        (uint32_t)get_integer(target, "cold_ms", defaults->cold_ms);
    options.file_bytes = (uint64_t)get_integer(target, "file_bytes",
                                               (int64_t)defaults->file_bytes);
    options.clock_offset_ms =
        get_integer(target, "clock_offset_ms", defaults->clock_offset_ms);
    if (check_fences != NULL) {
        options.checks_fences = json_is_true(check_fences);
    }
    return add_target(&options, get_integer(target, "port", 0));
}

/* Adds the targets of a file, `{"targets":[{"name","port",...}]}`. A name and
 * a port are required; other members that are missing are taken from the
 * command line. Returns 0, or -1 after an error, which it has printed. */
static int
add_file(const struct rs_worker_options *defaults, const char *path)
{
    size_t i;
    json_t *target;
    json_error_t error;
    int result = 0;
    json_t *file = json_load_file(path, 0, &error);
    if (file == NULL) {
        fprintf(stderr, "%s:%d: %s\n", path, error.line, error.text);
        return -1;
    }
    json_array_foreach(json_object_get(file, "targets"), i, target)
    {
        if (result == 0) {
            result = add_from_json(defaults, target);
        }
    }
    json_decref(file);
    return result;
}

static int
run(const struct rs_worker_options *defaults, const char *list,
    const char *path)
{
    RsStandinServer_Init(&server, uv_default_loop());
    if ((list != NULL && add_list(defaults, list) != 0) ||
        (path != NULL && add_file(defaults, path) != 0)) {
        return 2;
    }
    if (server.port_count == 0) {
        fprintf(stderr, "no targets given\n");
        return 2;
    }
    if (RsStandinServer_Start(&server) != 0) {
        return 1;
    }
    return uv_run(server.loop, UV_RUN_DEFAULT);
}

int
main(int argc, char **argv)
{
    struct arg_str *targets =
        arg_str0(NULL, "targets", "NAME:PORT,...", "targets to emulate");
    struct arg_file *file = arg_file0(NULL, "file", "FILE", "targets as JSON");
    struct arg_str *service =
        arg_str0(NULL, "service", "NAME", "service of the targets");
    struct arg_int *slots =
        arg_int0(NULL, "slots", "N", "requests that run at once");
    struct arg_int *queue =
        arg_int0(NULL, "queue", "N", "requests that may wait for a slot");
    struct arg_int *time_us = arg_int0(NULL, "service-time-us", "N",
                                       "mean service time in microseconds");
    struct arg_lit *exponential =
        arg_lit0(NULL, "exponential", "draw exponential service times");
    struct arg_int *cold_ms = arg_int0(
        NULL, "cold-ms", "N", "time to reach all slots after the start");
    struct arg_int *check_fences =
        arg_int0(NULL, "check-fences", "0|1",
                 "whether to take grants and check fences");
    struct arg_int *file_bytes =
        arg_int0(NULL, "file-bytes", "N", "serve files of this size");
    struct arg_int *offset_ms =
        arg_int0(NULL, "clock-offset-ms", "N", "added to the target's clock");
    struct arg_int *seed =
        arg_int0(NULL, "seed", "N", "seed of the random service times");
    struct arg_file *record =
        arg_file0(NULL, "record-lines", "FILE",
                  "append each event as a JSON line when it happens");
    struct arg_end *end = arg_end(8);
    void *table[] = {targets,   file,        service, slots,        queue,
                     time_us,   exponential, cold_ms, check_fences, file_bytes,
                     offset_ms, seed,        record,  end};
    slots->ival[0] = DEFAULT_SLOTS;
    queue->ival[0] = DEFAULT_QUEUE;
    time_us->ival[0] = DEFAULT_SERVICE_TIME_US;
    cold_ms->ival[0] = DEFAULT_COLD_MS;
    check_fences->ival[0] = 1;
    file_bytes->ival[0] = 0;
    offset_ms->ival[0] = 0;
    seed->ival[0] = DEFAULT_SEED;
    service->sval[0] = "";
    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_glossary(stderr, table, NULL);
        return 2;
    }
    struct rs_worker_options defaults = {
        .service = service->sval[0],
        .slots = (uint32_t)slots->ival[0],
        .queue = (uint32_t)queue->ival[0],
        .service_time_us = (uint32_t)time_us->ival[0],
        .exponential = exponential->count > 0,
        .cold_ms = (uint32_t)cold_ms->ival[0],
        .checks_fences = check_fences->ival[0] != 0,
        .file_bytes = (uint64_t)file_bytes->ival[0],
        .clock_offset_ms = offset_ms->ival[0],
        .seed = (uint64_t)seed->ival[0]};
    if (record->count > 0) {
        defaults.record_file = fopen(record->filename[0], "a");
        if (defaults.record_file == NULL) {
            perror(record->filename[0]);
            return 2;
        }
    }
    return run(&defaults, targets->count > 0 ? targets->sval[0] : NULL,
               file->count > 0 ? file->filename[0] : NULL);
}
