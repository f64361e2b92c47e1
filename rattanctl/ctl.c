#include "rattanctl/ctl.h"

#include <argtable2.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "rattanctl/print.h"

#define ADMIN_VARIABLE "RATTANSHED_ADMIN"
/* The maximum number of words (command and arguments) that are parsed: one
 * more than the longest command has, so that a surplus word is detected. Also
 * the maximum number of command line errors that are stored. */
#define MAX_WORDS 4
#define DEFAULT_TIMEOUT_S 10
#define MAX_TIMEOUT_S 86400
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

static const char usage_text[] =
    "usage: rattanctl [OPTION...] COMMAND\n"
    "\n"
    "  ticket submit FILE     submit a change ticket\n"
    "  ticket show NUMBER     print an accepted ticket\n"
    "  ticket list            list accepted tickets, the newest first\n"
    "  ticket wait NUMBER     wait until the ticket is in force everywhere\n"
    "  status                 print the state of the process that answers\n"
    "  dump [PROCESS]         print the whole state of a process as JSON\n"
    "  owner SERVICE KEY      print which target owns a key\n"
    "  drain                  shut down the process at the first address\n"
    "  metrics                print the counters of the process that answers\n"
    "\n";

static const char exit_codes_text[] =
    "\n"
    "exit codes: 0 ok, 1 failure, 2 usage, 3 invalid ticket, 4 conflict,\n"
    "5 platform unavailable (standard error says if the outcome is unknown),\n"
    "6 not in force at the timeout, 7 no admin address answers\n";

struct options {
    struct arg_str *admin;
    struct arg_lit *json;
    struct arg_int *timeout;
    struct arg_int *before;
    struct arg_int *limit;
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_str *arguments;
    struct arg_end *end;
};

/* Prints that no address responded. Returns the exit code. */
static int
report_no_admin(struct rs_ctl *ctl)
{
    fprintf(ctl->err, "no admin address answers\n");
    return RsCtl_ADMIN_UNREACHABLE;
}

/* Prints the status of a response and its error text, if it has one. Returns
 * the exit code: RsCtl_UNAVAILABLE for status 503, otherwise RsCtl_FAILED. */
int
RsCtl_PrintError(struct rs_ctl *ctl, const struct rs_reply *reply)
{
    const char *error =
        json_string_value(json_object_get(reply->json, "error"));
    fprintf(ctl->err, "status %ld%s%s\n", reply->status,
            error != NULL ? ": " : "", error != NULL ? error : "");
    return reply->status == STATUS_UNAVAILABLE ? RsCtl_UNAVAILABLE
                                               : RsCtl_FAILED;
}

/* Gets a path and prints an error unless the response is 200 with a JSON body.
 * Returns the exit code. The caller frees the reply in all cases. */
int
RsCtl_GetJson(struct rs_ctl *ctl, const char *path, struct rs_reply *reply)
{
    struct rs_request request = {.path = path};
    if (RsClient_Call(&ctl->client, &request, reply) < 0) {
        return report_no_admin(ctl);
    }
    if (reply->status != STATUS_OK || reply->json == NULL) {
        return RsCtl_PrintError(ctl, reply);
    }
    return RsCtl_OK;
}

static int
get_and_print(struct rs_ctl *ctl, const char *path)
{
    struct rs_reply reply;
    int code = RsCtl_GetJson(ctl, path, &reply);
    if (code == RsCtl_OK && ctl->json) {
        RsPrint_Json(ctl->out, reply.json);
    }
    else if (code == RsCtl_OK) {
        RsPrint_Object(ctl->out, reply.json);
    }
    RsReply_Free(&reply);
    return code;
}

static int
print_status(struct rs_ctl *ctl)
{
    return get_and_print(ctl, "/status");
}

static int
print_owner(struct rs_ctl *ctl)
{
    char *service = curl_easy_escape(ctl->client.curl, ctl->arguments[1], 0);
    char *key = curl_easy_escape(ctl->client.curl, ctl->arguments[2], 0);
    char *path = g_strdup_printf("/owner?service=%s&key=%s", service, key);
    int code = get_and_print(ctl, path);
    g_free(path);
    curl_free(key);
    curl_free(service);
    return code;
}

static bool
is_from_process(const struct rs_reply *reply, const char *process)
{
    const char *name =
        json_string_value(json_object_get(reply->json, "process"));
    return name != NULL && strcmp(name, process) == 0;
}

/* Gets the dumps of the addresses in order and prints the first one that is
 * from the given process. */
static int
print_dump_of_process(struct rs_ctl *ctl, const char *process)
{
    bool responded = false;
    for (size_t i = 0; i < ctl->client.address_count; i++) {
        struct rs_request request = {.path = "/dump",
                                     .first_address_index = i,
                                     .no_other_address = true};
        struct rs_reply reply;
        bool ok = RsClient_Call(&ctl->client, &request, &reply) == 0;
        responded = responded || ok;
        bool found = ok && reply.status == STATUS_OK &&
                     is_from_process(&reply, process);
        if (found) {
            RsPrint_Json(ctl->out, reply.json);
        }
        RsReply_Free(&reply);
        if (found) {
            return RsCtl_OK;
        }
    }
    if (!responded) {
        return report_no_admin(ctl);
    }
    fprintf(ctl->err, "no admin address belongs to process %s\n", process);
    return RsCtl_FAILED;
}

static int
print_dump(struct rs_ctl *ctl)
{
    if (ctl->argument_count == 2) {
        return print_dump_of_process(ctl, ctl->arguments[1]);
    }
    ctl->json = true;
    return get_and_print(ctl, "/dump");
}

static int
print_metrics(struct rs_ctl *ctl)
{
    struct rs_request request = {.path = "/metrics"};
    struct rs_reply reply;
    int code = RsCtl_OK;
    if (RsClient_Call(&ctl->client, &request, &reply) < 0) {
        code = report_no_admin(ctl);
    }
    else if (reply.status != STATUS_OK) {
        code = RsCtl_PrintError(ctl, &reply);
    }
    else if (reply.body != NULL) {
        fwrite(reply.body, 1, reply.size_bytes, ctl->out);
    }
    RsReply_Free(&reply);
    return code;
}

/* Shuts down the process at the first address. Does not try the other
 * addresses, so that no other process is shut down if the first does not
 * respond. */
static int
drain_process(struct rs_ctl *ctl)
{
    struct rs_request request = {
        .path = "/drain", .body = "", .no_other_address = true};
    struct rs_reply reply;
    int code = RsCtl_OK;
    if (RsClient_Call(&ctl->client, &request, &reply) < 0) {
        code = report_no_admin(ctl);
    }
    else if (reply.status != STATUS_OK) {
        code = RsCtl_PrintError(ctl, &reply);
    }
    else {
        RsPrint_Object(ctl->out, reply.json);
    }
    RsReply_Free(&reply);
    return code;
}

static const struct {
    const char *name;
    int min_words; /* including the command */
    int max_words;
    int (*run)(struct rs_ctl *ctl);
} commands[] = {
    {"ticket", 2, 3, RsTicketCommand_Run},
    {"status", 1, 1, print_status},
    {"dump", 1, 2, print_dump},
    {"owner", 3, 3, print_owner},
    {"drain", 1, 1, drain_process},
    {"metrics", 1, 1, print_metrics},
};

static int
run_command(struct rs_ctl *ctl)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (ctl->argument_count >= commands[i].min_words &&
            ctl->argument_count <= commands[i].max_words &&
            strcmp(ctl->arguments[0], commands[i].name) == 0) {
            return commands[i].run(ctl);
        }
    }
    return RsCtl_USAGE;
}

static void
print_usage(FILE *out, struct options *options)
{
    fputs(usage_text, out);
    arg_print_glossary(out, (void **)options, "  %-22s %s\n");
    fputs(exit_codes_text, out);
}

static int
run_with_addresses(struct rs_ctl *ctl, const char *const *addresses,
                   size_t count)
{
    if (count == 0) {
        fprintf(ctl->err, "no admin address: give --admin or set %s\n",
                ADMIN_VARIABLE);
        return RsCtl_USAGE;
    }
    if (RsClient_Open(&ctl->client, addresses, count) < 0) {
        fprintf(ctl->err,
                "admin addresses must be HOST:PORT, at most %d of them\n",
                RsClient_MAX_ADDRESSES);
        return RsCtl_USAGE;
    }
    int code = run_command(ctl);
    RsClient_Close(&ctl->client);
    return code;
}

/* Runs the command with the addresses of the environment variable, which are
 * separated by commas or spaces. */
static int
run_with_variable(struct rs_ctl *ctl)
{
    const char *addresses_text = getenv(ADMIN_VARIABLE);
    char **parts =
        g_strsplit_set(addresses_text != NULL ? addresses_text : "", ", ", -1);
    size_t count = 0;
    for (size_t i = 0; parts[i] != NULL; i++) {
        if (parts[i][0] != '\0') {
            parts[count++] = parts[i];
        }
        else {
            g_free(parts[i]);
        }
    }
    parts[count] = NULL;
    int code = run_with_addresses(ctl, (const char *const *)parts, count);
    g_strfreev(parts);
    return code;
}

static char *
format_number(const struct arg_int *option)
{
    return option->count > 0 ? g_strdup_printf("%d", option->ival[0]) : NULL;
}

static int
run_with_options(struct options *options, FILE *out, FILE *err)
{
    char *before = format_number(options->before);
    char *limit = format_number(options->limit);
    struct rs_ctl ctl = {.out = out,
                         .err = err,
                         .json = options->json->count > 0,
                         .timeout_s = (uint32_t)options->timeout->ival[0],
                         .before = before,
                         .limit = limit,
                         .arguments =
                             (const char *const *)options->arguments->sval,
                         .argument_count = options->arguments->count};
    int code = options->admin->count > 0
                   ? run_with_addresses(
                         &ctl, (const char *const *)options->admin->sval,
                         (size_t)options->admin->count)
                   : run_with_variable(&ctl);
    g_free(limit);
    g_free(before);
    return code;
}

static int
parse_and_run(struct options *options, int argc, char **argv, FILE *out,
              FILE *err)
{
    options->timeout->ival[0] = DEFAULT_TIMEOUT_S;
    int error_count = arg_parse(argc, argv, (void **)options);
    if (options->help->count > 0) {
        print_usage(out, options);
        return RsCtl_OK;
    }
    if (options->version->count > 0) {
        fprintf(out, "rattanctl %s\n", RATTANSHED_VERSION);
        return RsCtl_OK;
    }
    if (error_count > 0) {
        arg_print_errors(err, options->end, "rattanctl");
        return RsCtl_USAGE;
    }
    if (options->timeout->ival[0] < 0 ||
        options->timeout->ival[0] > MAX_TIMEOUT_S) {
        fprintf(err, "--timeout must be 0 to %d seconds\n", MAX_TIMEOUT_S);
        return RsCtl_USAGE;
    }
    return options->arguments->count == 0
               ? RsCtl_USAGE
               : run_with_options(options, out, err);
}

/* Runs the command line, with its output and error messages going to `out` and
 * `err`. Returns the exit code. */
int
RsCtl_Main(int argc, char **argv, FILE *out, FILE *err)
{
    struct options options = {
        .admin = arg_strn("a", "admin", "HOST:PORT", 0, RsClient_MAX_ADDRESSES,
                          "admin address; several are tried in order"),
        .json = arg_lit0("j", "json", "print the answer as JSON"),
        .timeout =
            arg_int0("t", "timeout", "S", "seconds that ticket wait waits"),
        .before = arg_int0(NULL, "before", "N", "list tickets below N"),
        .limit = arg_int0(NULL, "limit", "K", "list at most K tickets"),
        .help = arg_lit0("h", "help", "print this text"),
        .version = arg_lit0(NULL, "version", "print the version"),
        .arguments = arg_strn(NULL, NULL, "COMMAND", 0, MAX_WORDS, NULL),
        .end = arg_end(MAX_WORDS)};
    int code = parse_and_run(&options, argc, argv, out, err);
    if (code == RsCtl_USAGE) {
        fprintf(err, "rattanctl --help shows the commands\n");
    }
    arg_freetable((void **)&options, sizeof(options) / sizeof(void *));
    return code;
}
