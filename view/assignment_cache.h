/* A cache of the decoded assignment rows of all rules, in compact form. A row
 * is decoded again if its version has changed, if the rule's number of slices
 * has changed, or if the names have been renumbered. The task that creates the
 * snapshots owns the cache. The names that the cache returns are valid until
 * the cache is freed. */

#ifndef RATTANSHED_VIEW_ASSIGNMENT_CACHE_H
#define RATTANSHED_VIEW_ASSIGNMENT_CACHE_H

#include <stddef.h>
#include <stdint.h>

#include "member/mirror.h"
#include "place/model.h"

/* The assignment of one slice. The names of cells and targets are replaced by
 * numbers to save memory, since each process holds all slices of all rules. */
struct rs_packed_assignment {
    uint64_t epoch; /* 0: not assigned */
    uint16_t cell;
    uint16_t succession[RsModel_MAX_SUCCESSION];
    uint16_t from[RsModel_MAX_FROM];
    uint8_t succession_count;
    uint8_t from_count;
};

/* The decoded assignments of one rule. */
struct rs_cached_rule {
    uint32_t slices;
    size_t row_count;
    struct rs_packed_assignment *packed; /* by slice index */
    uint64_t *row_versions; /* by row index; 0 if the row does not exist */
};

struct rs_assignment_cache;

struct rs_assignment_cache *RsAssignmentCache_New(void);
void RsAssignmentCache_Free(struct rs_assignment_cache *cache);

/* Begins a new snapshot. The numbers of names stay valid until the next
 * call. */
void RsAssignmentCache_BeginSnapshot(struct rs_assignment_cache *cache);

/* Updates a rule from the mirror's rows and returns the rule's assignments,
 * which are borrowed until the next call for the same rule, or until
 * RsAssignmentCache_BeginSnapshot. */
const struct rs_cached_rule *
RsAssignmentCache_UpdateRule(struct rs_assignment_cache *cache,
                             const struct rs_mirror *mirror,
                             const struct rs_model_rule *rule);

/* Names of cells and targets, by number. */
size_t RsAssignmentCache_NameCount(const struct rs_assignment_cache *cache);
const char *const *
RsAssignmentCache_Names(const struct rs_assignment_cache *cache);

/* Number of rows decoded so far. */
uint64_t
RsAssignmentCache_RowsDecoded(const struct rs_assignment_cache *cache);

void RsAssignmentCache_Unpack(const struct rs_packed_assignment *packed,
                              const char *const *names, uint64_t slice,
                              struct rs_model_assignment *assignment);

#endif
