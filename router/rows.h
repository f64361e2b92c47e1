/* The rows of one table as this node knows them, deleted ones included, so
 * that what is old or told twice changes nothing, and others can be told what
 * changed. No I/O. */

#ifndef RATTANSHED_ROUTER_ROWS_H
#define RATTANSHED_ROUTER_ROWS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/store.h"

struct rs_known_row {
    char *key;
    char *value;
    size_t value_bytes;
    uint64_t version;
    uint64_t changed_version; /* of the last change that others must know */
    bool deleted;
    bool seen; /* by the whole reading in progress */
    /* Of a large row, what it was before, for those who have that. */
    char *former_value; /* NULL: not kept */
    uint64_t former_version;
    GByteArray *patch;  /* from the former value; NULL until it is asked for */
    GByteArray *packed; /* the value, compressed; the same */
};

/* What a newer version of a row means to those who use the table. */
enum rs_rows_news {
    RsRows_IGNORED,   /* it can't be used: what was known holds */
    RsRows_REFRESHED, /* it says the same as before */
    RsRows_CHANGED,
};

struct rs_rows {
    GHashTable *rows; /* key to struct rs_known_row */
    uint64_t version; /* the table is known up to here */
    /* Rows that were deleted before this version are not known of: the table
     * was read whole then. */
    uint64_t complete_from;
};

typedef void (*rs_rows_visitor)(void *arg, struct rs_known_row *row);

void RsRows_Init(struct rs_rows *mirror);
void RsRows_Clear(struct rs_rows *mirror);

bool RsRows_IsNewer(struct rs_rows *mirror, const struct rs_store_row *row);
void RsRows_Put(struct rs_rows *mirror, const struct rs_store_row *row,
                enum rs_rows_news news);

/* How a large value came from another node, to be passed on as it is. The
 * bytes are the row's from then on; either may be NULL. */
void RsRows_KeepForms(struct rs_rows *mirror, const char *key,
                      GByteArray *packed, GByteArray *patch);

/* A whole reading: rows that it does not name are gone. */
void RsRows_BeginWhole(struct rs_rows *mirror);
void RsRows_EndWhole(struct rs_rows *mirror, uint64_t version,
                     rs_rows_visitor gone, void *arg);

const struct rs_known_row *RsRows_Find(const struct rs_rows *mirror,
                                       const char *key);

/* The least form in which the value can be passed on, if not as it is. */
struct rs_rows_form {
    const GByteArray *packed; /* the value compressed; NULL: not so */
    const GByteArray *patch;  /* from the former value; NULL: not so */
};

struct rs_rows_form RsRows_Form(struct rs_known_row *row, bool has_former);

/* Tells whether all changes after a version are known, deletions too. */
bool RsRows_KnowsSince(const struct rs_rows *mirror, uint64_t version);

void RsRows_Since(const struct rs_rows *mirror, uint64_t version,
                  bool changes_only, rs_rows_visitor visit, void *arg);

#endif
