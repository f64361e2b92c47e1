#include "tests/process.h"

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include "core/clock.h"

#define POLL_EVERY_US 10000
#define LOG_MODE 0644

extern char **environ;

/* Prepares a process without starting it; the struct must be zeroed before.
 * `arguments` begins with the program's path, ends with NULL and is copied.
 * The output of the process is appended to the file NAME.log in `folder`. */
void
RsProcess_Init(struct rs_process *process, const char *name,
               const char *folder, const char *const arguments[])
{
    process->name = g_strdup(name);
    process->log_path = g_strdup_printf("%s/%s.log", folder, name);
    for (size_t i = 0; arguments[i] != NULL; i++) {
        g_assert(i + 1 < RsProcess_MAX_ARGUMENTS);
        process->arguments[i] = g_strdup(arguments[i]);
    }
}

/* Starts the process, or starts it again after its end. Returns 0 or an
 * errno value. */
int
RsProcess_Start(struct rs_process *process)
{
    posix_spawn_file_actions_t actions;
    g_assert(process->pid == 0);
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     process->log_path,
                                     O_WRONLY | O_CREAT | O_APPEND, LOG_MODE);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int result = posix_spawn(&process->pid, process->arguments[0], &actions,
                             NULL, process->arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        process->pid = 0;
    }
    return result;
}

/* Sends a signal to the process unless its pid is 0. */
void
RsProcess_Signal(const struct rs_process *process, int number)
{
    if (process->pid > 0) {
        kill(process->pid, number);
    }
}

/* Kills the process with SIGKILL, even while it is stopped, and waits until it
 * has ended. Does nothing when its pid is 0. */
void
RsProcess_Kill(struct rs_process *process)
{
    if (process->pid > 0) {
        kill(process->pid, SIGKILL);
        waitpid(process->pid, NULL, 0);
        process->pid = 0;
    }
}

/* Waits until the process has ended. RsProcess_HasEnded() still tells of the
 * end. */
void
RsProcess_AwaitEnd(const struct rs_process *process)
{
    siginfo_t info;
    if (process->pid > 0) {
        waitid(P_PID, (id_t)process->pid, &info, WEXITED | WNOWAIT);
    }
}

/* Returns whether the process has ended, without waiting. If it has ended,
 * stores its wait status. Returns true only once after each start. */
bool
RsProcess_HasEnded(struct rs_process *process, int *status)
{
    if (process->pid > 0 &&
        waitpid(process->pid, status, WNOHANG) == process->pid) {
        process->pid = 0;
        return true;
    }
    return false;
}

/* Waits until the process has ended and stores its wait status. Returns false
 * when no end was noticed within `within_ms`. */
bool
RsProcess_WaitEnd(struct rs_process *process, int64_t within_ms, int *status)
{
    int64_t give_up_at_ms = RsClock_NowMs() + within_ms;
    while (!RsProcess_HasEnded(process, status)) {
        if (RsClock_NowMs() >= give_up_at_ms) {
            return false;
        }
        g_usleep(POLL_EVERY_US);
    }
    return true;
}

/* Kills the process and frees the memory that the struct refers to. */
void
RsProcess_Clear(struct rs_process *process)
{
    RsProcess_Kill(process);
    for (size_t i = 0; i < RsProcess_MAX_ARGUMENTS; i++) {
        g_free(process->arguments[i]);
    }
    g_free(process->name);
    g_free(process->log_path);
}
