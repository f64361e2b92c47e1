#include "soak/workspaces.h"

#include <stdio.h>
#include <string.h>

#include "soak/check.h"

#define KEYS_PER_WORKSPACE 2
#define MISSING_PERCENT 4 /* of requests: without a key */
#define UNKNOWN_PERCENT                                                       \
    4                     /* of requests: with a key that was never in force  \
                           */
#define REVOKED_PERCENT 4 /* of requests: with a key that was revoked */
#define STATUS_UNAUTHORIZED 401

static const char *const names[] = {"shops", "depot", "office"};

static struct rs_soak_key *
key_at(const struct rs_soak_workspaces *workspaces, guint index)
{
    return &g_array_index(workspaces->keys, struct rs_soak_key, index);
}

static void
add_key(struct rs_soak_workspaces *workspaces, const char *workspace,
        int64_t now_ms)
{
    struct rs_soak_key key = {.workspace = workspace,
                              .added_at_ms = now_ms,
                              .revoked_at_ms = INT64_MAX};
    snprintf(key.text, sizeof(key.text), "key-%u-%08x", workspaces->keys->len,
             g_rand_int(workspaces->random));
    g_array_append_val(workspaces->keys, key);
}

/* Initializes workspaces with some keys each. They live as long as the
 * process. */
void
RsSoakWorkspaces_Init(struct rs_soak_workspaces *workspaces,
                      struct rs_check *check, GRand *random, int64_t now_ms)
{
    *workspaces = (struct rs_soak_workspaces){
        .check = check,
        .random = random,
        .keys = g_array_new(FALSE, FALSE, sizeof(struct rs_soak_key)),
        .sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    add_key(workspaces, NULL, now_ms);
    for (size_t i = 0; i < G_N_ELEMENTS(names) * KEYS_PER_WORKSPACE; i++) {
        add_key(workspaces, names[i % G_N_ELEMENTS(names)], now_ms);
    }
}

/* Revokes the oldest key in force and adds one to its workspace. */
void
RsSoakWorkspaces_ReplaceKey(struct rs_soak_workspaces *workspaces,
                            int64_t now_ms)
{
    guint oldest = 1;
    while (key_at(workspaces, oldest)->revoked_at_ms != INT64_MAX) {
        oldest++;
    }
    key_at(workspaces, oldest)->revoked_at_ms = now_ms;
    add_key(workspaces, key_at(workspaces, oldest)->workspace, now_ms);
}

/* Returns the table of workspaces with the keys in force, as JSON. The caller
 * frees it with g_free(). */
char *
RsSoakWorkspaces_Config(const struct rs_soak_workspaces *workspaces)
{
    GString *text = g_string_new("{");
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        const char *comma = "";
        g_string_append_printf(text,
                               "%s\"%s\":{\"priority\":%zu,"
                               "\"api_keys\":[",
                               i > 0 ? "," : "", names[i], i);
        for (guint k = 1; k < workspaces->keys->len; k++) {
            const struct rs_soak_key *key = key_at(workspaces, k);
            if (key->workspace == names[i] &&
                key->revoked_at_ms == INT64_MAX) {
                g_string_append_printf(text, "%s\"%s\"", comma, key->text);
                comma = ",";
            }
        }
        g_string_append(text, "]}");
    }
    g_string_append_c(text, '}');
    return g_string_free(text, FALSE);
}

/* Returns whether all nodes must accept a key. */
static bool
must_be_accepted(const struct rs_soak_workspaces *workspaces,
                 const struct rs_soak_key *key, int64_t now_ms)
{
    return key->workspace != NULL && key->revoked_at_ms == INT64_MAX &&
           now_ms - key->added_at_ms >= workspaces->in_force_ms;
}

/* Returns the index of a random key that is in force, or that was revoked. */
static guint
random_key(const struct rs_soak_workspaces *workspaces, bool revoked)
{
    guint found = 0;
    gint32 count = 0;
    for (guint i = 1; i < workspaces->keys->len; i++) {
        if ((key_at(workspaces, i)->revoked_at_ms != INT64_MAX) == revoked &&
            g_rand_int_range(workspaces->random, 0, ++count) == 0) {
            found = i;
        }
    }
    return found;
}

/* Chooses the key of a request, and records it. Returns NULL if the request is
 * to have none. Sets `*valid` if all nodes must accept it. */
const char *
RsSoakWorkspaces_PickKey(struct rs_soak_workspaces *workspaces,
                         const char *request_id, int64_t now_ms, bool *valid)
{
    gint32 draw = g_rand_int_range(workspaces->random, 0, 100);
    guint index = 0;
    if (draw >= MISSING_PERCENT + UNKNOWN_PERCENT) {
        bool revoked =
            draw < MISSING_PERCENT + UNKNOWN_PERCENT + REVOKED_PERCENT;
        index = random_key(workspaces, revoked);
    }
    const struct rs_soak_key *key =
        draw < MISSING_PERCENT ? NULL : key_at(workspaces, index);
    g_hash_table_insert(workspaces->sent, g_strdup(request_id),
                        GUINT_TO_POINTER(key != NULL ? index + 1 : 0));
    *valid = key != NULL && must_be_accepted(workspaces, key, now_ms);
    return key != NULL ? key->text : NULL;
}

/* Returns the key with which a request was sent, or NULL. */
static const struct rs_soak_key *
find_key(const struct rs_soak_workspaces *workspaces, const char *request_id)
{
    guint number =
        GPOINTER_TO_UINT(g_hash_table_lookup(workspaces->sent, request_id));
    return number > 0 ? key_at(workspaces, number - 1) : NULL;
}

/* Records that a request has reached a target, with this workspace (empty:
 * none), and whether with credentials. */
void
RsSoakWorkspaces_RecordArrival(struct rs_soak_workspaces *workspaces,
                               const char *request_id, const char *workspace,
                               bool has_credentials, int64_t now_ms)
{
    const struct rs_soak_key *key = find_key(workspaces, request_id);
    if (key == NULL || key->workspace == NULL) {
        RsCheck_ReportViolation(workspaces->check, "KEY", now_ms,
                                "request %s came without a known key",
                                request_id);
        return;
    }
    if (key->revoked_at_ms != INT64_MAX &&
        now_ms - key->revoked_at_ms > workspaces->in_force_ms) {
        RsCheck_ReportViolation(
            workspaces->check, "KEY", now_ms,
            "request %s came with a key revoked %ld ms ago", request_id,
            (long)(now_ms - key->revoked_at_ms));
    }
    if (strcmp(workspace, key->workspace) != 0 || has_credentials) {
        RsCheck_ReportViolation(
            workspaces->check, "KEY", now_ms,
            "request %s of %s came for \"%s\" with%s credentials", request_id,
            key->workspace, workspace, has_credentials ? "" : "out");
    }
}

/* Records that a caller has received a response. */
void
RsSoakWorkspaces_RecordResponse(struct rs_soak_workspaces *workspaces,
                                const char *request_id, int status,
                                int64_t now_ms)
{
    const struct rs_soak_key *key = find_key(workspaces, request_id);
    if (status == STATUS_UNAUTHORIZED && key != NULL &&
        must_be_accepted(workspaces, key, now_ms)) {
        RsCheck_ReportViolation(workspaces->check, "KEY", now_ms,
                                "request %s was rejected with a valid key",
                                request_id);
    }
}
