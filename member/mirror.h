/* This process's copy of the platform's rows, in order of their versions, so
 * that a peer which is behind can be given just what changed. */

#ifndef RATTANSHED_MEMBER_MIRROR_H
#define RATTANSHED_MEMBER_MIRROR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* `value` is JSON text, or NULL for a deleted row. Valid until the mirror is
 * changed. */
struct rs_mirror_row {
    const char *key;
    uint64_t version;
    const char *value;
};

typedef void (*rs_mirror_visit)(void *arg, const struct rs_mirror_row *row);

struct rs_mirror;

/* Life */
struct rs_mirror *RsMirror_New(void);
void RsMirror_Free(struct rs_mirror *mirror);

/* Change */
bool RsMirror_Put(struct rs_mirror *mirror, const char *key, uint64_t version,
                  const char *value);
bool RsMirror_Advance(struct rs_mirror *mirror, uint64_t revision);

/* Look */
uint64_t RsMirror_Revision(const struct rs_mirror *mirror);
size_t RsMirror_RowCount(const struct rs_mirror *mirror);
bool RsMirror_Find(const struct rs_mirror *mirror, const char *key,
                   struct rs_mirror_row *row);
void RsMirror_VisitPrefix(const struct rs_mirror *mirror, const char *prefix,
                          rs_mirror_visit visit, void *arg);
uint64_t RsMirror_VisitAfter(const struct rs_mirror *mirror, uint64_t after,
                             size_t limit_rows, size_t limit_bytes,
                             rs_mirror_visit visit, void *arg, bool *more);

#endif
