/* The rattanshed program: an entry process or, with --serve, a router node. */

#include <argtable2.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "control/control_task.h"
#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"
#include "front/data_task.h"
#include "router/node.h"
#include "settings/settings.h"

#define FAULT_BYTES 1024

enum rs_main_status {
    RsMain_SUCCESS = 0,
    RsMain_FAILED = 1,
    RsMain_USAGE = 2,
    RsMain_BAD_SETTINGS = 3
};

struct process {
    uv_loop_t loop;
    uv_signal_t terminate_signal;
    uv_signal_t interrupt_signal;
    struct rs_mailbox mailbox;
    struct rs_data *data;
    struct rs_control *control;
};

/* Called when the graceful shutdown is complete or its deadline has passed. */
static void
exit_process(void *arg)
{
    exit(RsMain_SUCCESS);
}

static void
on_signal(uv_signal_t *handle, int number)
{
    struct process *process = handle->data;
    RsControl_Leave(process->control);
}

static void
on_message(void *arg, struct rs_message *message)
{
    struct process *process = arg;
    RsControl_HandleMessage(process->control, message);
}

static void
watch_signals(struct process *process)
{
    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(&process->loop, &process->terminate_signal);
    uv_signal_init(&process->loop, &process->interrupt_signal);
    process->terminate_signal.data = process;
    process->interrupt_signal.data = process;
    uv_signal_start(&process->terminate_signal, on_signal, SIGTERM);
    uv_signal_start(&process->interrupt_signal, on_signal, SIGINT);
}

/* Returns a number that identifies this run of the process. */
static uint64_t
new_incarnation(const struct rs_settings *settings)
{
    uint64_t start[] = {(uint64_t)RsClock_WallUs(), (uint64_t)RsClock_NowUs(),
                        (uint64_t)getpid(), RsId_FromName(settings->name)};
    return RsId_FromBytes(start, sizeof(start));
}

/* Opens the data and control tasks and starts the data task. Returns 0 or the
 * error of a component. */
static int
start(struct process *process, const struct rs_settings *settings)
{
    uint64_t incarnation = new_incarnation(settings);
    struct rs_data_options data = {
        .settings = settings,
        .incarnation = incarnation,
    };
    int status = RsData_Open(&data, &process->data);
    if (status != 0) {
        return status;
    }
    uv_loop_init(&process->loop);
    RsMailbox_Open(&process->mailbox, &process->loop, on_message, process);
    struct rs_control_options control = {
        .loop = &process->loop,
        .settings = settings,
        .incarnation = incarnation,
        .data = RsData_Mailbox(process->data),
        .front_counters = RsData_FrontCounters(process->data),
        .target_counters = RsData_TargetCounters(process->data),
        .on_shutdown_complete = exit_process,
        .arg = process,
    };
    status = RsControl_Open(&control, &process->control);
    if (status != 0) {
        return status;
    }
    watch_signals(process);
    return RsData_Start(process->data, &process->mailbox);
}

static int
run(const struct rs_settings *settings)
{
    static struct process process;
    RsLog_Open(settings->name, (enum rs_log_level)settings->log_level);
    int status = start(&process, settings);
    if (status != 0) {
        RsLog_EVENT(RsLog_ERROR, "start_failed",
                    RsLog_NUMBER("error", status));
        return RsMain_FAILED;
    }
    RsLog_EVENT(RsLog_INFO, "started", RsLog_TEXT("domain", settings->domain),
                RsLog_NUMBER("callers_port", settings->callers.port),
                RsLog_NUMBER("admin_port", settings->admin.port));
    uv_run(&process.loop, UV_RUN_DEFAULT);
    return RsMain_SUCCESS;
}

/* Prints the policies that don't exist. Returns whether all exist. The
 * settings component can't check the names, as only the components that
 * implement policies know them. */
static bool
check_policies(const char *path, const struct rs_settings *settings)
{
    const struct rs_settings_policies *policies = &settings->policies;
    const struct {
        const char *field;
        const char *name;
        bool known;
        const char *allowed;
    } checks[] = {
        {"admission", policies->admission,
         RsLimit_FindPolicy(policies->admission) != NULL,
         "adaptive, fixed, none"},
        {"choice", policies->choice,
         RsChoice_FindPolicy(policies->choice) != NULL,
         "two-choices, round-robin, random"},
        {"retry", policies->retry, RsRetry_FindPolicy(policies->retry) != NULL,
         "budget, immediate, none"},
        {"ramp", policies->ramp, RsRamp_FindPolicy(policies->ramp) != NULL,
         "adaptive, linear, none"},
    };
    bool all_known = true;
    for (size_t i = 0; i < sizeof(checks) / sizeof(checks[0]); i++) {
        if (!checks[i].known) {
            fprintf(stderr,
                    "%s: policies.%s: unknown policy %s; allowed: %s\n", path,
                    checks[i].field, checks[i].name, checks[i].allowed);
            all_known = false;
        }
    }
    return all_known;
}

/* Loads the settings of a router node and runs it, or only checks them.
 * Returns the exit status. */
static int
run_node(const char *path, int check_only)
{
    struct rs_node_settings *settings = NULL;
    struct rs_settings_fault fault;
    if (RsNodeSettings_Load(path, &settings, &fault) != 0) {
        char text[FAULT_BYTES];
        RsSettings_FormatFault(&fault, text, sizeof(text));
        fprintf(stderr, "%s\n", text);
        return RsMain_BAD_SETTINGS;
    }
    if (check_only) {
        printf("%s: fine\n", path);
        RsNodeSettings_Free(settings);
        return RsMain_SUCCESS;
    }
    const struct rs_node_options options = {
        .settings = settings,
        .settings_path = path,
    };
    return RsNode_Run(&options) == 0 ? RsMain_SUCCESS : RsMain_FAILED;
}

/* Loads the settings of an entry process and runs it, or only checks them.
 * Returns the exit status. */
static int
run_entry_process(const char *path, int check_only)
{
    struct rs_settings *settings = NULL;
    struct rs_settings_fault fault;
    if (RsSettings_Load(path, &settings, &fault) != 0) {
        char text[FAULT_BYTES];
        RsSettings_FormatFault(&fault, text, sizeof(text));
        fprintf(stderr, "%s\n", text);
        return RsMain_BAD_SETTINGS;
    }
    if (!check_policies(path, settings)) {
        RsSettings_Free(settings);
        return RsMain_BAD_SETTINGS;
    }
    if (check_only) {
        printf("%s: fine\n", path);
        RsSettings_Free(settings);
        return RsMain_SUCCESS;
    }
    return run(settings);
}

static void
print_help(void **table)
{
    printf("Usage: rattanshed");
    arg_print_syntax(stdout, table, "\n");
    printf("Routes requests to the servers that own their keys.\n\n");
    arg_print_glossary(stdout, table, "  %-24s %s\n");
    printf("\nExit status: 0 success, 1 failure, 2 usage error, 3 invalid "
           "settings.\n");
}

int
main(int argc, char **argv)
{
    struct arg_file *file = arg_file0("c", "config", "FILE", "settings");
    struct arg_lit *check =
        arg_lit0(NULL, "check", "check the settings and start nothing");
    struct arg_lit *serve = arg_lit0(
        NULL, "serve", "run a router node on a platform's metadata store");
    struct arg_lit *help = arg_lit0("h", "help", "print this help");
    struct arg_lit *version = arg_lit0(NULL, "version", "print the version");
    struct arg_end *end = arg_end(8);
    void *table[] = {file, serve, check, help, version, end};
    int errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        print_help(table);
        return RsMain_SUCCESS;
    }
    if (version->count > 0) {
        printf("rattanshed %s\n", RATTANSHED_VERSION);
        return RsMain_SUCCESS;
    }
    if (errors > 0 || file->count == 0) {
        arg_print_errors(stderr, end, "rattanshed");
        fprintf(stderr, "usage: rattanshed [--serve] [--check] -c FILE\n");
        return RsMain_USAGE;
    }
    if (serve->count > 0) {
        return run_node(file->filename[0], check->count > 0);
    }
    return run_entry_process(file->filename[0], check->count > 0);
}
