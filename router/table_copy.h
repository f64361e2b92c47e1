/* A local copy of one table of the store. It keeps deleted rows, so that old
 * or repeated updates change nothing and the changes can be passed on to other
 * nodes. No I/O. */

#ifndef RATTANSHED_ROUTER_TABLE_COPY_H
#define RATTANSHED_ROUTER_TABLE_COPY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/store.h"

struct rs_known_row {
    char *key;
    char *value;
    size_t value_bytes;
    uint64_t version;
    uint64_t changed_version; /* of the last change to be passed on */
    bool deleted;
    bool seen; /* in the snapshot being read */
    bool kept; /* the store has an older value, as it has gone back */
    /* The previous value of a large row, for nodes that have it. */
    char *former_value; /* NULL: not kept */
    uint64_t former_version;
    GByteArray *patch;  /* from the former value; NULL until needed */
    GByteArray *packed; /* compressed value; NULL until needed */
};

/* How a new version of a row affects what is known. */
enum rs_row_effect {
    RsTableCopy_IGNORED,   /* not adopted: the earlier value stays in force */
    RsTableCopy_OUTDATED,  /* the same, as the value is older */
    RsTableCopy_REFRESHED, /* nothing new apart from the version */
    RsTableCopy_CHANGED,
};

struct rs_table_copy {
    GHashTable *rows; /* key to struct rs_known_row */
    uint64_t version; /* up to which all changes are known */
    bool in_snapshot; /* rows of a snapshot are being put */
    /* Rows that were deleted before this version may be missing from the copy,
     * since the table was read as a whole at this version. */
    uint64_t complete_from;
    uint32_t kept_revision; /* counts the values that were marked as kept */
};

typedef void (*rs_row_visitor)(void *arg, struct rs_known_row *row);

void RsTableCopy_Init(struct rs_table_copy *copy);
void RsTableCopy_Clear(struct rs_table_copy *copy);

bool RsTableCopy_IsNewer(struct rs_table_copy *copy,
                         const struct rs_store_row *row);
void RsTableCopy_Put(struct rs_table_copy *copy,
                     const struct rs_store_row *row,
                     enum rs_row_effect effect);

/* Values that are later than the store's, which has gone back to a copy. */
void RsTableCopy_MarkKept(struct rs_table_copy *copy, const char *key);
void RsTableCopy_Adopt(struct rs_table_copy *copy,
                       const struct rs_store_row *row);
void RsTableCopy_VisitKept(const struct rs_table_copy *copy,
                           rs_row_visitor visit, void *arg);

/* Keeps the encodings in which a large value came from another node, for
 * passing it on; a row with this key must be in the copy. Takes over the
 * references; either may be NULL. */
void RsTableCopy_KeepEncodings(struct rs_table_copy *copy, const char *key,
                               GByteArray *packed, GByteArray *patch);

/* Reading a snapshot of the whole table. Rows that are missing from the
 * snapshot are marked as deleted, unless they are newer than it. */
void RsTableCopy_BeginSnapshot(struct rs_table_copy *copy);
void RsTableCopy_EndSnapshot(struct rs_table_copy *copy, uint64_t version,
                             rs_row_visitor gone, void *arg);
void RsTableCopy_EndSnapshotKeepingMissing(struct rs_table_copy *copy,
                                           uint64_t version);

const struct rs_known_row *RsTableCopy_Find(const struct rs_table_copy *copy,
                                            const char *key);

/* The encoding chosen for sending a row: at most one of the two is set; both
 * are NULL when the value is sent as it is. */
struct rs_row_encoding {
    const GByteArray *packed; /* compressed value, or NULL */
    const GByteArray *patch;  /* patch from the former value, or NULL */
};

struct rs_row_encoding RsTableCopy_ChooseEncoding(struct rs_known_row *row,
                                                  bool has_former);

bool RsTableCopy_IsCompleteSince(const struct rs_table_copy *copy,
                                 uint64_t version);

void RsTableCopy_VisitSince(const struct rs_table_copy *copy, uint64_t version,
                            bool changes_only, rs_row_visitor visit,
                            void *arg);

#endif
