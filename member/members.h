/* What this process knows of the other entry processes, from heartbeats and
 * from what peers heard. Bounded: one small record a process. */

#ifndef RATTANSHED_MEMBER_MEMBERS_H
#define RATTANSHED_MEMBER_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "place/model.h"

struct rs_member {
    char name[RsModel_NAME_BYTES];
    uint64_t id; /* of the name */
    uint64_t incarnation;
    char domain[RsModel_NAME_BYTES];
    uint64_t applied_ticket;
    uint64_t applied_revision;
    uint64_t cell_version;
    int64_t version_from_ms; /* since when it is known to have that */
    bool leaving;
    int64_t heard_at_ms;    /* when it itself spoke, as far as known */
    int64_t direct_at_ms;   /* when it spoke to this process; 0: never */
    int64_t steady_from_ms; /* since when it speaks without a gap */
};

struct rs_members;

struct rs_members_options {
    const char *self;
    uint32_t suspect_after_ms; /* silence that makes a member suspected */
    uint32_t forget_after_ms;
    uint64_t seed;
};

/* Life */
struct rs_members *RsMembers_New(const struct rs_members_options *options);
void RsMembers_Free(struct rs_members *members);

/* Change */
void RsMembers_Heard(struct rs_members *members, int64_t now_ms,
                     const struct rs_member *member, uint32_t age_ms,
                     bool direct);
void RsMembers_Forget(struct rs_members *members, int64_t now_ms);

/* Look */
const struct rs_member *RsMembers_Find(const struct rs_members *members,
                                       const char *name);
bool RsMembers_Speaks(const struct rs_members *members, int64_t now_ms,
                      const char *name);
size_t RsMembers_Sample(struct rs_members *members, int64_t now_ms,
                        const struct rs_member **sample, size_t capacity);
size_t RsMembers_List(const struct rs_members *members,
                      const struct rs_member **list, size_t capacity);

#endif
