/* Table of the other entry processes, filled from their heartbeats and from
 * what peers report of them. It holds one small record per process. */

#ifndef RATTANSHED_MEMBER_MEMBERS_H
#define RATTANSHED_MEMBER_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "place/model.h"

/* The last known state of one process. Times are on the clock of the process
 * that keeps the table, not of the one described. */
struct rs_member {
    char name[RsModel_NAME_BYTES];
    uint64_t id;          /* derived from the name */
    uint64_t incarnation; /* differs after each start of the process */
    char domain[RsModel_NAME_BYTES];
    uint64_t applied_ticket;   /* last ticket that it has applied */
    uint64_t applied_revision; /* last revision that it has applied */
    uint64_t cell_version;     /* version of the cell roster it has applied */
    /* local time at which the present `cell_version` was first seen, or at
     * which the process was first seen after a restart */
    int64_t cell_version_seen_at_ms;
    bool leaving; /* it is shutting down */
    /* latest time at which it is known to have been alive, directly or from a
     * peer */
    int64_t heard_at_ms;
    /* when the last heartbeat from itself was received; 0 if none was */
    int64_t last_heartbeat_at_ms;
    /* since when heartbeats have come from it without a gap of more than
     * `suspect_after_ms` and with the incarnation that the record had */
    int64_t steady_from_ms;
};

struct rs_members;

struct rs_members_options {
    const char *self;
    /* a process from which no heartbeat has come for longer than this does not
     * count as reachable */
    uint32_t suspect_after_ms;
    /* the record of a process without news for longer than this is dropped */
    uint32_t forget_after_ms;
    uint64_t seed; /* of the generator for RsMembers_Sample() */
};

/* Lifecycle */
struct rs_members *RsMembers_New(const struct rs_members_options *options);
void RsMembers_Free(struct rs_members *members);

/* Updates */
void RsMembers_Update(struct rs_members *members, int64_t now_ms,
                      const struct rs_member *state, uint32_t age_ms,
                      bool direct);
void RsMembers_Forget(struct rs_members *members, int64_t now_ms);

/* Queries */
const struct rs_member *RsMembers_Find(const struct rs_members *members,
                                       const char *name);
bool RsMembers_IsReachable(const struct rs_members *members, int64_t now_ms,
                           const char *name);
size_t RsMembers_Sample(struct rs_members *members, int64_t now_ms,
                        const struct rs_member **sample, size_t capacity);
size_t RsMembers_List(const struct rs_members *members,
                      const struct rs_member **list, size_t capacity);

#endif
