/* Recognizes workspaces by API keys, and counts their requests. The keys of
 * the configuration in force are held as digests, since callers choose the
 * bytes that are looked up. */

#ifndef RATTANSHED_ROUTER_WORKSPACES_H
#define RATTANSHED_ROUTER_WORKSPACES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/counter.h"
#include "core/siphash.h"
#include "platform/routing.h"

/* Metrics name at most this many workspaces. */
#define RsWorkspaces_MAX_BUSIEST 20

/* Whether a request may be sent to a target. */
enum rs_workspaces_verdict {
    RsWorkspaces_ADMITTED,
    RsWorkspaces_UNAUTHORIZED, /* it needs an API key and has no valid one */
    /* It needs an API key, and keys are not trusted at present. */
    RsWorkspaces_UNCONFIRMED,
};

/* Credentials as they came in the headers of a request. */
struct rs_workspaces_credentials {
    const char *value; /* not terminated; of the last header */
    size_t size_bytes;
    uint32_t count; /* headers with credentials */
};

/* An API key and its workspace. */
struct rs_workspaces_entry {
    uint8_t digest[RsSipHash_DIGEST_BYTES];
    uint32_t workspace; /* index plus 1; 0: the entry is unused */
};

/* The requests of a workspace that ended within a minute. */
struct rs_workspaces_usage {
    const char *name; /* interned */
    uint32_t requests;
    uint32_t not_run; /* of these: were refused */
};

/* Requests without a valid API key since the last log line about them. */
struct rs_workspaces_unauthorized {
    uint32_t count;
    uint32_t missing;    /* of these: without credentials */
    uint32_t malformed;  /* of these: with credentials that are no API key */
    char request_id[64]; /* of the last one */
    const char *route;   /* of the last one; interned */
    int64_t next_log_at_ms;
};

struct rs_workspaces {
    const struct rs_routing *config;     /* in force; NULL: none */
    uint8_t seed[RsSipHash_KEY_BYTES];   /* of the digests; random */
    struct rs_workspaces_entry *entries; /* hash table with linear probing */
    size_t mask;                         /* number of entries minus 1 */
    size_t max_key_bytes;                /* size of the longest key */
    /* API keys are not trusted while the configuration has not been confirmed
     * as current for `revoke_ms`. */
    bool strict;
    uint32_t revoke_ms;
    int64_t confirmed_at_ms; /* 0: never */
    /* Interned name to struct rs_workspaces_usage, in the present minute. */
    GHashTable *usages;
    int64_t minute_ends_at_ms;
    /* Of the last whole minute: the busiest workspaces, the one with the most
     * requests first, and the sum of all others. */
    struct rs_workspaces_usage busiest[RsWorkspaces_MAX_BUSIEST];
    uint32_t busiest_count;
    struct rs_workspaces_usage rest;
    struct rs_workspaces_unauthorized unauthorized;
    struct rs_counter unauthorized_total;
    struct rs_counter unconfirmed_total; /* refused as keys were not trusted */
};

void RsWorkspaces_Init(struct rs_workspaces *workspaces, bool strict,
                       uint32_t revoke_ms);
void RsWorkspaces_Clear(struct rs_workspaces *workspaces);
void RsWorkspaces_SetConfig(struct rs_workspaces *workspaces,
                            const struct rs_routing *config);
void RsWorkspaces_Tick(struct rs_workspaces *workspaces,
                       int64_t confirmed_at_ms, int64_t now_ms);
bool RsWorkspaces_IsConfirmed(const struct rs_workspaces *workspaces,
                              int64_t now_ms);
const struct rs_workspace *
RsWorkspaces_Identify(const struct rs_workspaces *workspaces,
                      const struct rs_workspaces_credentials *credentials);
void RsWorkspaces_RecordUnauthorized(
    struct rs_workspaces *workspaces,
    const struct rs_workspaces_credentials *credentials,
    const char *request_id, const char *route, int64_t now_ms);
void RsWorkspaces_RecordEnd(struct rs_workspaces *workspaces,
                            const struct rs_workspace *workspace,
                            bool not_run);
uint32_t RsWorkspaces_Rank(const struct rs_workspace *workspace,
                           const struct rs_route *route);

#endif
