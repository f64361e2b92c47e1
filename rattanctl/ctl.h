/* rattanctl, the operators' command-line client for the administration API of
 * the entry processes (docs/ADMIN.md). */

#ifndef RATTANSHED_RATTANCTL_CTL_H
#define RATTANSHED_RATTANCTL_CTL_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "rattanctl/client.h"

/* Exit codes. */
enum rs_ctl_exit {
    RsCtl_OK = 0,
    RsCtl_FAILED = 1,
    RsCtl_USAGE = 2,
    RsCtl_INVALID = 3,
    RsCtl_CONFLICT = 4,
    RsCtl_UNAVAILABLE = 5, /* status 503, or a `ticket submit` with a lost
                            * response; for `ticket submit`, standard error
                            * says if the outcome is unknown */
    RsCtl_NOT_IN_FORCE = 6,
    RsCtl_ADMIN_UNREACHABLE = 7
};

/* One run of the command. */
struct rs_ctl {
    struct rs_client client;
    FILE *out;
    FILE *err;
    bool json;
    uint32_t timeout_s;           /* for `ticket wait` */
    const char *before;           /* for `ticket list`: list only tickets with
                                   * numbers below this decimal number; NULL:
                                   * not sent to the server */
    const char *limit;            /* for `ticket list`: maximum number of
                                   * tickets, in decimal; NULL: not sent to the
                                   * server */
    const char *const *arguments; /* the command and its arguments */
    int argument_count;
};

int RsCtl_Main(int argc, char **argv, FILE *out, FILE *err);

/* Shared by the implementations of the commands. */
int RsCtl_GetJson(struct rs_ctl *ctl, const char *path,
                  struct rs_reply *reply);
int RsCtl_PrintError(struct rs_ctl *ctl, const struct rs_reply *reply);

/* The `ticket` commands, in ticket_command.c. */
int RsTicketCommand_Run(struct rs_ctl *ctl);

#endif
