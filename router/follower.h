/* Keeps up with one table of the store: reads it whole, then follows its
 * changes, and reads it again when the history is gone. */

#ifndef RATTANSHED_ROUTER_FOLLOWER_H
#define RATTANSHED_ROUTER_FOLLOWER_H

#include <uv.h>

#include "platform/store.h"

struct rs_follower_events {
    /* A whole reading begins; rows not named before `caught_up` are gone. */
    void (*reading)(void *arg);
    void (*row)(void *arg, const struct rs_store_row *row);
    void (*caught_up)(void *arg);
};

struct rs_follower_options {
    uv_loop_t *loop;
    struct rs_store *store;
    const char *table;
    uint32_t pause_ms; /* between two calls that brought changes */
    uint32_t wait_ms;  /* for a change, at the store */
    const struct rs_follower_events *events;
    void *arg;
};

struct rs_follower;

struct rs_follower *RsFollower_Open(const struct rs_follower_options *options);

/* Clock reading of the last good answer, 0 if there was none. */
int64_t RsFollower_FreshAtMs(const struct rs_follower *follower);

#endif
