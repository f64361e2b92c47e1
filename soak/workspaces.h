/* Workspaces of the soak, whose API keys change while it runs. Checks that no
 * request with a revoked, unknown or missing key reaches a target, that
 * targets are told the right workspace and never the key, and that requests
 * with a valid key are not rejected (KEY). */

#ifndef RATTANSHED_SOAK_WORKSPACES_H
#define RATTANSHED_SOAK_WORKSPACES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RsSoakWorkspaces_KEY_BYTES 32

struct rs_check;

struct rs_soak_key {
    char text[RsSoakWorkspaces_KEY_BYTES];
    const char *workspace; /* NULL: the key was never in force */
    int64_t added_at_ms;
    int64_t revoked_at_ms; /* INT64_MAX: it is in force */
};

struct rs_soak_workspaces {
    struct rs_check *check;
    GRand *random;
    GArray *keys;        /* struct rs_soak_key; the first was never in force */
    GHashTable *sent;    /* request id to index of its key plus 1; 0: none */
    int64_t in_force_ms; /* when a change must have reached all requests */
};

void RsSoakWorkspaces_Init(struct rs_soak_workspaces *workspaces,
                           struct rs_check *check, GRand *random,
                           int64_t now_ms);
void RsSoakWorkspaces_ReplaceKey(struct rs_soak_workspaces *workspaces,
                                 int64_t now_ms);
char *RsSoakWorkspaces_Config(const struct rs_soak_workspaces *workspaces);
const char *RsSoakWorkspaces_PickKey(struct rs_soak_workspaces *workspaces,
                                     const char *request_id, int64_t now_ms,
                                     bool *valid);
void RsSoakWorkspaces_RecordArrival(struct rs_soak_workspaces *workspaces,
                                    const char *request_id,
                                    const char *workspace,
                                    bool has_credentials, int64_t now_ms);
void RsSoakWorkspaces_RecordResponse(struct rs_soak_workspaces *workspaces,
                                     const char *request_id, int status,
                                     int64_t now_ms);

#endif
