/* Keeps up with one table: reads it whole from the store, then follows its
 * changes, and reads it again when the history is gone. It leaves the store
 * alone until it is told that no other node feeds it. */

#ifndef RATTANSHED_ROUTER_FOLLOWER_H
#define RATTANSHED_ROUTER_FOLLOWER_H

#include <uv.h>

#include "platform/store.h"
#include "router/rows.h"

struct rs_follower_events {
    /* A row that is newer than what was known; says what it means. */
    enum rs_rows_news (*row)(void *arg, const struct rs_store_row *row);
    /* Another node told changes, which can be passed on; `row` comes next. */
    void (*fed)(void *arg);
    void (*caught_up)(void *arg, bool changed);
    /* A call to the store had no good answer, or had one. */
    void (*store)(void *arg, enum rs_store_status status);
};

struct rs_follower_options {
    uv_loop_t *loop;
    struct rs_store *store;
    const char *table;
    uint32_t pause_ms; /* between two calls */
    uint32_t wait_ms;  /* for a change, at the store */
    const struct rs_follower_events *events;
    void *arg;
};

struct rs_follower;

struct rs_follower *RsFollower_Open(const struct rs_follower_options *options);
const char *RsFollower_Table(const struct rs_follower *follower);
const struct rs_rows *RsFollower_Rows(const struct rs_follower *follower);

/* Clock reading at which the table was last known to be up to date; 0 until
 * it was read once. */
int64_t RsFollower_FreshAtMs(const struct rs_follower *follower);

/* News from another node. */
void RsFollower_SetFed(struct rs_follower *follower, bool fed);
void RsFollower_SetPause(struct rs_follower *follower, uint32_t pause_ms);
void RsFollower_SetRetryMost(struct rs_follower *follower, uint32_t most_ms);
/* How a row came, see RsRows_KeepForms(). */
struct rs_follower_forms {
    GByteArray *packed;
    GByteArray *patch;
};

void RsFollower_Feed(struct rs_follower *follower,
                     const struct rs_store_rows *rows,
                     struct rs_follower_forms *forms, bool whole);
void RsFollower_NoteFresh(struct rs_follower *follower, uint64_t version,
                          int64_t fresh_at_ms);

#endif
