/* This process's copy of the platform's table. The rows are indexed by version
 * too, so that a peer that is behind can be sent only the changes. */

#ifndef RATTANSHED_MEMBER_MIRROR_H
#define RATTANSHED_MEMBER_MIRROR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One row. `value` is JSON text, or NULL for a deleted row. The strings are
 * borrowed from the mirror and valid until it is changed. */
struct rs_mirror_row {
    const char *key;
    uint64_t version;
    const char *value;
};

/* Called for each visited row. Must not change the mirror that is visited. */
typedef void (*rs_mirror_visit)(void *arg, const struct rs_mirror_row *row);

struct rs_mirror;

/* Lifecycle */
struct rs_mirror *RsMirror_New(void);
void RsMirror_Free(struct rs_mirror *mirror);

/* Updates */
bool RsMirror_Put(struct rs_mirror *mirror, const char *key, uint64_t version,
                  const char *value);
bool RsMirror_Advance(struct rs_mirror *mirror, uint64_t revision);

/* Queries */
uint64_t RsMirror_Revision(const struct rs_mirror *mirror);
size_t RsMirror_RowCount(const struct rs_mirror *mirror);
bool RsMirror_Find(const struct rs_mirror *mirror, const char *key,
                   struct rs_mirror_row *found);
void RsMirror_VisitPrefix(const struct rs_mirror *mirror, const char *prefix,
                          rs_mirror_visit visit, void *arg);
uint64_t RsMirror_VisitAfter(const struct rs_mirror *mirror, uint64_t after,
                             size_t limit_rows, size_t limit_bytes,
                             rs_mirror_visit visit, void *arg, bool *more);

#endif
