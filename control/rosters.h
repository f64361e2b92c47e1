/* Decides on the members of the domain's cells, from the platform's list of
 * VMs and the heartbeats received. */

#ifndef RATTANSHED_CONTROL_ROSTERS_H
#define RATTANSHED_CONTROL_ROSTERS_H

#include <jansson.h>
#include <stdint.h>

#include "control/leases.h"
#include "member/members.h"
#include "view/view.h"

struct rs_rosters;

struct rs_rosters_options {
    const char *self;
    const char *domain;
    const struct rs_members *members;
    const struct rs_leases *leases;
    uint32_t lease_ms;
};

struct rs_rosters *RsRosters_New(const struct rs_rosters_options *options);

/* Notes which members are missing from a list of VMs that was just read. */
void RsRosters_VmsWereRead(struct rs_rosters *rosters, int64_t now_ms,
                           const struct rs_view *view);

/* Adds the conditions and the row of a commit to the JSON arrays, when a
 * roster must change. Both arrays are borrowed. */
void RsRosters_Plan(struct rs_rosters *rosters, const struct rs_view *view,
                    int64_t now_ms, json_t *conditions, json_t *puts);

#endif
