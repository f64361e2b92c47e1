/* The assignment rows of all rules, decoded and packed: a row is decoded
 * again only when its version changed. Owned by the task that makes snapshots;
 * the names that it hands out live as long as it does. */

#ifndef RATTANSHED_VIEW_CHUNKS_H
#define RATTANSHED_VIEW_CHUNKS_H

#include <stddef.h>
#include <stdint.h>

#include "member/mirror.h"
#include "place/model.h"

/* One slice's assignment with its names as numbers: all slices of all rules
 * are kept in each process. */
struct rs_packed_slice {
    uint64_t epoch; /* 0: not assigned */
    uint16_t cell;
    uint16_t succession[RsModel_MAX_SUCCESSION];
    uint16_t from[RsModel_MAX_FROM];
    uint8_t succession_count;
    uint8_t from_count;
};

/* The slices of one rule, by index. */
struct rs_chunks_rule {
    uint32_t slices;
    size_t row_count;
    struct rs_packed_slice *packed;
    uint64_t *row_versions;
};

struct rs_chunks;

struct rs_chunks *RsChunks_New(void);
void RsChunks_Free(struct rs_chunks *chunks);

/* Begins a snapshot; the numbers of names hold until the next. */
void RsChunks_Begin(struct rs_chunks *chunks);

/* Brings a rule up to date with the mirror's rows; borrowed until the next
 * call for that rule. */
const struct rs_chunks_rule *RsChunks_Update(struct rs_chunks *chunks,
                                             const struct rs_mirror *mirror,
                                             const struct rs_model_rule *rule);

/* Names by number */
size_t RsChunks_NameCount(const struct rs_chunks *chunks);
const char *const *RsChunks_Names(const struct rs_chunks *chunks);
uint64_t RsChunks_RowsDecoded(const struct rs_chunks *chunks);

void RsChunks_Unpack(const struct rs_packed_slice *packed,
                     const char *const *names, uint64_t slice,
                     struct rs_model_assignment *assignment);

#endif
