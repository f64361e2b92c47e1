/* Keeps a copy of one table of the store up to date. While polling, a follower
 * reads the whole table, then polls for changes, and reads the table again
 * when the store no longer has the history. While polling is suspended, it
 * gets the changes through RsFollower_ApplyUpdate(). Polling is suspended
 * until RsFollower_SetSuspended() resumes it.
 *
 * When the store has gone back to a copy, rows that were written since the
 * copy are missing and rows that were deleted since are there again, until
 * their writers have written or deleted them again. The follower keeps what it
 * knows of such rows, reads the whole table once more after some time, and
 * then takes it as it is. A row whose content has an order of its own is kept
 * until the store has a later one; nodes that know only the copy get it from
 * those that keep it. */

#ifndef RATTANSHED_ROUTER_FOLLOWER_H
#define RATTANSHED_ROUTER_FOLLOWER_H

#include <uv.h>

#include "platform/store.h"
#include "router/table_copy.h"

struct rs_follower_events {
    /* Called for each row that is newer than the known one, and with `deleted`
     * set for each row that is missing from the whole table. Returns the
     * effect of the row on what is known. */
    enum rs_row_effect (*row)(void *arg, const struct rs_store_row *row);
    /* Compares the content of the row with what is known, whatever the
     * versions of the rows. Returns a negative value if it is older, a
     * positive one if it is later, and else 0. Rows with older content are
     * ignored. May be NULL. */
    int (*compare)(void *arg, const struct rs_store_row *row);
    /* Called when changes, but not a whole table, came from another node,
     * before `row` is called for them, so that they can be forwarded first. */
    void (*updated)(void *arg);
    /* Called after a whole table was read, after each successful poll and
     * after each update. `changed` tells whether the table may have changed.
     */
    void (*caught_up)(void *arg, bool changed);
    /* Called with the result of each call to the store. */
    void (*store_call_ended)(void *arg, enum rs_store_status status);
};

struct rs_follower_options {
    uv_loop_t *loop;
    struct rs_store *store;
    const char *table;
    uint32_t pause_ms; /* between two calls to the store */
    /* How long at most the store holds a call while there is no change. */
    uint32_t wait_ms;
    /* How long after the store has gone back the table is read once more. */
    uint32_t settle_ms;
    const struct rs_follower_events *events;
    void *arg;
};

struct rs_follower;

struct rs_follower *RsFollower_Open(const struct rs_follower_options *options);
const char *RsFollower_TableName(const struct rs_follower *follower);
const struct rs_table_copy *
RsFollower_TableCopy(const struct rs_follower *follower);
int64_t RsFollower_FreshAtMs(const struct rs_follower *follower);
bool RsFollower_IsSettling(const struct rs_follower *follower);
void RsFollower_SetSuspended(struct rs_follower *follower, bool suspended);
void RsFollower_SetPause(struct rs_follower *follower, uint32_t pause_ms);
void RsFollower_SetWait(struct rs_follower *follower, uint32_t wait_ms);
void RsFollower_SetMaxRetryDelay(struct rs_follower *follower,
                                 uint32_t max_ms);

/* How a row came from another node: the encodings, NULL where absent (see
 * RsTableCopy_KeepEncodings()), and whether that node keeps the row against an
 * older one in the store. */
struct rs_follower_origin {
    GByteArray *packed;
    GByteArray *patch;
    bool kept;
};

bool RsFollower_ApplyUpdate(struct rs_follower *follower,
                            const struct rs_store_rows *rows,
                            struct rs_follower_origin *origins, bool whole);
void RsFollower_AdoptKept(struct rs_follower *follower,
                          const struct rs_store_rows *rows);
void RsFollower_MarkFresh(struct rs_follower *follower, uint64_t version,
                          int64_t fresh_at_ms);

#endif
