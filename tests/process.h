/* A child process of a test. Signals go to its process id only, never to a
 * process group or by name. */

#ifndef RATTANSHED_TESTS_PROCESS_H
#define RATTANSHED_TESTS_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define RsProcess_MAX_ARGUMENTS 16

struct rs_process {
    char *name;
    char *log_path;
    char *arguments[RsProcess_MAX_ARGUMENTS]; /* argv, ends with NULL */
    pid_t pid; /* 0 before the start and after the
                  end was noticed or forced */
};

void RsProcess_Init(struct rs_process *process, const char *name,
                    const char *folder, const char *const arguments[]);
int RsProcess_Start(struct rs_process *process);
void RsProcess_Signal(const struct rs_process *process, int number);
void RsProcess_Kill(struct rs_process *process);
void RsProcess_AwaitEnd(const struct rs_process *process);
bool RsProcess_HasEnded(struct rs_process *process, int *status);
bool RsProcess_WaitEnd(struct rs_process *process, int64_t within_ms,
                       int *status);
void RsProcess_Clear(struct rs_process *process);

#endif
