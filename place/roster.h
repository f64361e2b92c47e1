/* The members of a domain's cells, stored in the rows `cell/DOMAIN/N`.
 *
 * RsRoster_DecideNextRow() decides the next row of one cell. While a change of
 * members is under way, the row lists the earlier members under `former`,
 * until they can no longer form a majority that grants leases under the
 * earlier row. A cell has at most one change under way. Write a row only on
 * the condition that none of the domain's rows has changed since it was read;
 * otherwise a VM may become a member of two cells.
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
/* A cell other than the domain's first is created with at least this many
 * members. The largest cell releases members for cells that have fewer. */
#define RsRoster_MIN_MEMBERS 3
#define RsRoster_MAX_CELLS 64 /* in one domain */

enum rs_roster_error {
    RsRoster_BAD_KEY = RsError_PLACE - 40,
    RsRoster_BAD_VALUE = RsError_PLACE - 41,
    RsRoster_BAD_MEMBERS = RsError_PLACE - 42,
    RsRoster_BAD_FORMER = RsError_PLACE - 43
};

/* The row of one cell. Rows that are written list their members sorted by
 * name, and have versions that count up from 1. */
struct rs_roster_row {
    char cell[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    uint64_t version;
    char members[RsRoster_MAX_MEMBERS][RsModel_NAME_BYTES];
    size_t member_count;
    char former[RsRoster_MAX_MEMBERS][RsModel_NAME_BYTES];
    size_t former_count; /* 0 when no change is under way */
};

enum rs_roster_vm_state {
    RsRoster_LIVE,
    RsRoster_LEAVING, /* about to stop: is removed from its cell */
    RsRoster_GONE     /* no longer in the platform's list */
};

/* An entry VM of the domain. */
struct rs_roster_vm {
    char name[RsModel_NAME_BYTES];
    enum rs_roster_vm_state state;
    int64_t gone_at_ms;  /* if gone: since when it has been missing from
                          * the list */
    int64_t heard_at_ms; /* its last heartbeat; INT64_MIN / 2 or less: none */
    /* Cell whose row it has acknowledged; empty: not known */
    char cell[RsModel_NAME_BYTES];
    /* Acknowledged version of that row; 0: not known. The VM has no valid
     * promises left under earlier versions. */
    uint64_t acknowledged;
};

/* The caller keeps ownership of everything that the options point to. A member
 * that is not among the VMs counts as gone for an unknown time.
 *
 * The states of the VMs must be those at `now_ms`, or older by at most the lag
 * of the platform's list. The lag must be shorter than a lease: a VM that
 * returns makes no promise for one lease and reads its cell's row before the
 * first one, so that the list shows it again before it makes promises. */
struct rs_roster_options {
    const char *domain;
    const struct rs_roster_vm *vms;
    size_t vm_count;
    const struct rs_roster_row *rows; /* of the domain's cells, by number */
    size_t row_count;
    int64_t now_ms;
    uint32_t promises_expire_after_ms; /* a VM that has been gone this long (a
                                        * full lease plus the list's lag) has
                                        * no valid promises left */
    uint32_t silent_after_ms;  /* without a heartbeat for this long, a VM
                                * doesn't become a member, except in the first
                                * row of the domain */
    uint32_t replace_after_ms; /* without a heartbeat for this long, a member
                                * is replaced when another VM is ready */
};

/* Membership decisions */
bool RsRoster_DecideNextRow(const struct rs_roster_options *options,
                            uint32_t number, struct rs_roster_row *next);
bool RsRoster_IsCellGone(const struct rs_roster_options *options,
                         const struct rs_roster_row *row);
size_t RsRoster_CellOfTarget(const char *target,
                             const struct rs_roster_row *rows,
                             size_t row_count);

/* Keys and values of rows */
void RsRoster_FormatKey(const char *cell, char key[RsRoster_KEY_BYTES]);
int RsRoster_ParseKey(const char *key, char cell[RsModel_NAME_BYTES]);
json_t *RsRoster_Encode(const struct rs_roster_row *row);
int RsRoster_Decode(const json_t *value, const char *cell,
                    struct rs_roster_row *row);
void RsRoster_ToCellRoster(const struct rs_roster_row *row,
                           struct rs_cell_roster *roster);

#endif
