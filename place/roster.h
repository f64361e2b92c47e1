/* The members of a domain's cells, as rows `cell/DOMAIN/N` keep them.
 *
 * RsRoster_Next() decides the next row of one cell. A change lists the
 * members before it under `former` until they can't promise by themselves any
 * more; one change of a cell is under way at a time. So that a VM belongs to
 * one cell only, write a row on the condition that none of the domain's rows
 * has changed since it was read.
 */

#ifndef RATTANSHED_PLACE_ROSTER_H
#define RATTANSHED_PLACE_ROSTER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cell/cell.h"
#include "core/error.h"
#include "place/model.h"

#define RsRoster_PREFIX "cell/"
#define RsRoster_KEY_BYTES (RsModel_NAME_BYTES + 8)
#define RsRoster_MAX_MEMBERS 5
#define RsRoster_MIN_MEMBERS                                                  \
    3                         /* that a cell is founded with beside others    \
                               */
#define RsRoster_MAX_CELLS 64 /* of one domain */

enum rs_roster_error {
    RsRoster_BAD_KEY = RsError_PLACE - 40,
    RsRoster_BAD_VALUE = RsError_PLACE - 41,
    RsRoster_BAD_MEMBERS = RsError_PLACE - 42,
    RsRoster_BAD_FORMER = RsError_PLACE - 43
};

struct rs_roster_row {
    char cell[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    uint64_t version;
    char members[RsRoster_MAX_MEMBERS][RsModel_NAME_BYTES];
    size_t member_count;
    char former[RsRoster_MAX_MEMBERS][RsModel_NAME_BYTES];
    size_t former_count;
};

enum rs_roster_vm_state {
    RsRoster_LIVE,
    RsRoster_LEAVING,
    RsRoster_GONE /* no longer in the platform's list */
};

/* An entry VM of the domain. */
struct rs_roster_vm {
    char name[RsModel_NAME_BYTES];
    enum rs_roster_vm_state state;
    int64_t gone_at_ms;            /* when it was first missing in the list */
    int64_t heard_at_ms;           /* its last heartbeat; INT64_MIN: none */
    char cell[RsModel_NAME_BYTES]; /* whose row it has applied, and the */
    uint64_t acknowledged; /* version: promises under earlier ones lapsed */
};

/* Borrows all that it points to. A member that is not among the VMs counts as
 * one that is gone, for an unknown time.
 *
 * That a VM is gone has to be as fresh as `now_ms`, but for the list's lag,
 * which is shorter than a lease: a VM that returns within the lag promises
 * nothing for one lease, and then reads its cell's row again first. */
struct rs_roster_options {
    const char *domain;
    const struct rs_roster_vm *vms;
    size_t vm_count;
    const struct rs_roster_row *rows; /* of the domain's cells, ascending */
    size_t row_count;
    int64_t now_ms;
    uint32_t gone_after_ms;    /* a full lease and the list's lag */
    uint32_t silent_after_ms;  /* heartbeats missing: no new member */
    uint32_t replace_after_ms; /* heartbeats missing: a member is replaced
                                * when another VM is ready */
};

/* Decisions */
bool RsRoster_Next(const struct rs_roster_options *options, uint32_t number,
                   struct rs_roster_row *next);
bool RsRoster_IsGone(const struct rs_roster_options *options,
                     const struct rs_roster_row *row);
size_t RsRoster_CellOfTarget(const char *target,
                             const struct rs_roster_row *rows,
                             size_t row_count);

/* Rows */
void RsRoster_FormatKey(const char *cell, char key[RsRoster_KEY_BYTES]);
int RsRoster_ParseKey(const char *key, char cell[RsModel_NAME_BYTES]);
json_t *RsRoster_Encode(const struct rs_roster_row *row);
int RsRoster_Decode(const json_t *value, const char *cell,
                    struct rs_roster_row *row);
void RsRoster_ToCell(const struct rs_roster_row *row,
                     struct rs_cell_roster *roster);

#endif
