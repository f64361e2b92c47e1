/* standin_load: an open-loop load generator that calls the entry processes as
 * callers behind the platform's load balancer do. */

#include <argtable2.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "standin/load.h"

#define DEFAULT_MIX "70,20,10"
#define DEFAULT_RATE_PER_S 100
#define DEFAULT_SECONDS 10
#define DEFAULT_KEYS 10000
#define DEFAULT_ZIPF 0.9
#define DEFAULT_TIMEOUT_MS 2000
#define DEFAULT_GRACE_MS 1000
#define DEFAULT_CONNECTIONS 256
#define DEFAULT_SEED 1
#define US_PER_S 1e6

/* Parses the shares READ,POST,FILE. Returns 0, or -1 if there are not
 * three, or if they are negative or all 0. Text that is no number counts as
 * 0. */
static int
parse_mix(const char *text, double shares[RsLoad_CLASS_COUNT])
{
    double sum = 0;
    char **fields = g_strsplit(text, ",", -1);
    int result = g_strv_length(fields) == RsLoad_CLASS_COUNT ? 0 : -1;
    for (int i = 0; i < RsLoad_CLASS_COUNT && result == 0; i++) {
        shares[i] = g_ascii_strtod(fields[i], NULL);
        sum += shares[i];
        result = shares[i] >= 0 ? 0 : -1;
    }
    g_strfreev(fields);
    return sum > 0 ? result : -1;
}

static int
options_are_valid(const struct rs_load_options *options)
{
    return options->traffic.rate_per_s > 0 && options->traffic.key_count > 0 &&
           options->duration_us > 0 && options->max_connections > 0;
}

/* Sets a default name if none is given, parses the mix, checks the options,
 * opens the log and runs the load. Returns the exit status, which is 2 if an
 * option is invalid or the log can't be opened. */
static int
run(struct rs_load_options *options, const char *mix, const char *log_path)
{
    static char name[64];
    snprintf(name, sizeof(name), "load%llu-%d",
             (unsigned long long)options->traffic.seed, (int)getpid());
    if (options->name == NULL) {
        options->name = name;
    }
    if (parse_mix(mix, options->traffic.shares) != 0 ||
        !options_are_valid(options)) {
        fprintf(stderr, "invalid mix, rate, keys, seconds or connections\n");
        return 2;
    }
    if (log_path != NULL) {
        options->log = fopen(log_path, "w");
        if (options->log == NULL) {
            perror(log_path);
            return 2;
        }
    }
    signal(SIGPIPE, SIG_IGN);
    int result = RsLoad_Run(options);
    if (options->log != NULL) {
        fclose(options->log);
    }
    return result;
}

int
main(int argc, char **argv)
{
    struct arg_str *entries =
        arg_str1(NULL, "entries", "HOST:PORT,...",
                 "addresses of the entry processes for callers");
    struct arg_str *mix = arg_str0(NULL, "mix", "READ,POST,FILE",
                                   "shares of the request classes (70,20,10)");
    struct arg_str *services =
        arg_str0(NULL, "services", "READ,POST,FILE",
                 "services of the classes (listas,reservas,guias)");
    struct arg_dbl *rate = arg_dbl0(NULL, "rate", "N", "requests per second");
    struct arg_dbl *seconds =
        arg_dbl0(NULL, "seconds", "N", "how long to send requests");
    struct arg_int *keys = arg_int0(NULL, "keys", "N", "number of keys");
    struct arg_dbl *zipf =
        arg_dbl0(NULL, "zipf", "N", "exponent of the keys' Zipf distribution");
    struct arg_dbl *shift_at =
        arg_dbl0(NULL, "shift-at", "S",
                 "second at which other keys become the hot ones");
    struct arg_int *timeout = arg_int0(
        NULL, "timeout-ms", "N", "timeout that is sent with each request");
    struct arg_int *grace =
        arg_int0(NULL, "grace-ms", "N",
                 "how long to wait for an answer beyond the timeout");
    struct arg_int *max_connections =
        arg_int0(NULL, "connections", "N",
                 "maximum number of connections to each entry process");
    struct arg_int *seed =
        arg_int0(NULL, "seed", "N", "seed of the random traffic");
    struct arg_str *name =
        arg_str0(NULL, "name", "TEXT", "prefix of each request ID");
    struct arg_file *json =
        arg_file0(NULL, "json", "FILE", "write the report as JSON");
    struct arg_file *log =
        arg_file0(NULL, "log", "FILE", "write a JSON line for each request");
    struct arg_end *end = arg_end(8);
    void *table[] = {entries, mix,      services, rate,  seconds,         keys,
                     zipf,    shift_at, timeout,  grace, max_connections, seed,
                     name,    json,     log,      end};
    mix->sval[0] = DEFAULT_MIX;
    services->sval[0] = "listas,reservas,guias";
    rate->dval[0] = DEFAULT_RATE_PER_S;
    seconds->dval[0] = DEFAULT_SECONDS;
    keys->ival[0] = DEFAULT_KEYS;
    zipf->dval[0] = DEFAULT_ZIPF;
    shift_at->dval[0] = 0;
    timeout->ival[0] = DEFAULT_TIMEOUT_MS;
    grace->ival[0] = DEFAULT_GRACE_MS;
    max_connections->ival[0] = DEFAULT_CONNECTIONS;
    seed->ival[0] = DEFAULT_SEED;
    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_glossary(stderr, table, NULL);
        return 2;
    }
    char **names = g_strsplit(services->sval[0], ",", -1);
    if (g_strv_length(names) != RsLoad_CLASS_COUNT) {
        fprintf(stderr, "--services needs three names\n");
        return 2;
    }
    struct rs_load_options options = {
        .traffic = {.seed = (uint64_t)seed->ival[0],
                    .rate_per_s = rate->dval[0],
                    .key_count = (uint32_t)MAX(keys->ival[0], 0),
                    .zipf_exponent = zipf->dval[0],
                    .shift_at_us = (int64_t)(shift_at->dval[0] * US_PER_S)},
        .entries = entries->sval[0],
        .services = {names[0], names[1], names[2]},
        .name = name->count > 0 ? name->sval[0] : NULL,
        .duration_us = (int64_t)(seconds->dval[0] * US_PER_S),
        .timeout_ms = timeout->ival[0],
        .grace_ms = grace->ival[0],
        .max_connections = (size_t)MAX(max_connections->ival[0], 0),
        .json_path = json->count > 0 ? json->filename[0] : NULL};
    return run(&options, mix->sval[0],
               log->count > 0 ? log->filename[0] : NULL);
}
