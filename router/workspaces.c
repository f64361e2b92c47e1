#include "router/workspaces.h"

#include <string.h>
#include <sys/random.h>

#include "core/log.h"
#include "platform/wire.h"

/* The table of keys has at least this many entries for three keys, so that a
 * lookup of an unknown key looks at nine entries on average at most. */
#define ENTRIES_PER_3_KEYS 4
#define MINUTE_MS 60000
/* Callers choose how many requests without a valid key come, so they must not
 * fill the log. */
#define UNAUTHORIZED_LOG_INTERVAL_MS 1000

/* Initializes an empty set of workspaces. `strict` and `revoke_ms`: see
 * struct rs_workspaces. */
void
RsWorkspaces_Init(struct rs_workspaces *workspaces, bool strict,
                  uint32_t revoke_ms)
{
    *workspaces = (struct rs_workspaces){
        .strict = strict,
        .revoke_ms = revoke_ms,
        .usages =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free),
    };
    ssize_t size = getrandom(workspaces->seed, sizeof(workspaces->seed), 0);
    g_assert(size == sizeof(workspaces->seed));
}

/* Frees what the set of workspaces holds. */
void
RsWorkspaces_Clear(struct rs_workspaces *workspaces)
{
    g_free(workspaces->entries);
    g_hash_table_unref(workspaces->usages);
}

/* Returns the entry with this digest, or else the unused entry where it
 * belongs. */
static struct rs_workspaces_entry *
find_entry(const struct rs_workspaces *workspaces,
           const uint8_t digest[RsSipHash_DIGEST_BYTES])
{
    uint64_t hash;
    memcpy(&hash, digest, sizeof(hash));
    size_t at = hash & workspaces->mask;
    while (workspaces->entries[at].workspace != 0 &&
           memcmp(workspaces->entries[at].digest, digest,
                  RsSipHash_DIGEST_BYTES) != 0) {
        at = (at + 1) & workspaces->mask;
    }
    return &workspaces->entries[at];
}

/* Adds a key of a workspace. A key that another workspace has already stays
 * with that one. */
static void
add_key(struct rs_workspaces *workspaces, const char *key, size_t workspace)
{
    uint8_t digest[RsSipHash_DIGEST_BYTES];
    size_t key_bytes = strlen(key);
    RsSipHash_Digest(workspaces->seed, key, key_bytes, digest);
    struct rs_workspaces_entry *entry = find_entry(workspaces, digest);
    if (entry->workspace == 0) {
        memcpy(entry->digest, digest, sizeof(entry->digest));
        entry->workspace = (uint32_t)workspace + 1;
        workspaces->max_key_bytes = MAX(workspaces->max_key_bytes, key_bytes);
    }
    else if (entry->workspace != workspace + 1) {
        const struct rs_workspace *list = workspaces->config->workspaces;
        RsLog_EVENT(RsLog_WARNING, "api_key_of_two_workspaces",
                    RsLog_TEXT("workspace", list[entry->workspace - 1].name),
                    RsLog_TEXT("other", list[workspace].name));
    }
}

/* Replaces the known keys by those of `config`, which must stay valid until
 * the next call. The keys of `config` are not needed afterwards. */
void
RsWorkspaces_SetConfig(struct rs_workspaces *workspaces,
                       const struct rs_routing *config)
{
    size_t key_count = 0;
    size_t entry_count = ENTRIES_PER_3_KEYS;
    for (size_t i = 0; i < config->workspace_count; i++) {
        key_count += g_strv_length(config->workspaces[i].api_keys);
    }
    while (entry_count * 3 < key_count * ENTRIES_PER_3_KEYS) {
        entry_count *= 2;
    }
    g_free(workspaces->entries);
    workspaces->entries = g_new0(struct rs_workspaces_entry, entry_count);
    workspaces->mask = entry_count - 1;
    workspaces->max_key_bytes = 0;
    workspaces->config = config;
    for (size_t i = 0; i < config->workspace_count; i++) {
        char **keys = config->workspaces[i].api_keys;
        for (size_t k = 0; keys[k] != NULL; k++) {
            add_key(workspaces, keys[k], i);
        }
    }
}

/* Returns whether API keys can be trusted. If not, a key may have been revoked
 * without this node knowing. */
bool
RsWorkspaces_IsConfirmed(const struct rs_workspaces *workspaces,
                         int64_t now_ms)
{
    return !workspaces->strict ||
           (workspaces->confirmed_at_ms > 0 &&
            now_ms - workspaces->confirmed_at_ms < workspaces->revoke_ms);
}

/* Returns the API key in the credentials, and its size in `*key_bytes`, or
 * NULL unless they are one key of at least one byte. */
static const char *
parse_credentials(const struct rs_workspaces_credentials *credentials,
                  size_t *key_bytes)
{
    size_t scheme_bytes = strlen(RsWire_API_KEY_SCHEME);
    const char *key = credentials->value;
    size_t left_bytes = credentials->size_bytes;
    if (credentials->count != 1 || left_bytes <= scheme_bytes ||
        g_ascii_strncasecmp(key, RsWire_API_KEY_SCHEME, scheme_bytes) != 0 ||
        key[scheme_bytes] != ' ') {
        return NULL;
    }
    key += scheme_bytes;
    left_bytes -= scheme_bytes;
    while (left_bytes > 0 && key[0] == ' ') {
        key++;
        left_bytes--;
    }
    *key_bytes = left_bytes;
    return left_bytes > 0 ? key : NULL;
}

/* Returns the workspace that the credentials belong to, or NULL unless they
 * are one valid API key. The workspace belongs to the configuration in force.
 */
const struct rs_workspace *
RsWorkspaces_Identify(const struct rs_workspaces *workspaces,
                      const struct rs_workspaces_credentials *credentials)
{
    uint8_t digest[RsSipHash_DIGEST_BYTES];
    size_t key_bytes = 0;
    const char *key = parse_credentials(credentials, &key_bytes);
    if (key == NULL || key_bytes > workspaces->max_key_bytes) {
        return NULL;
    }
    RsSipHash_Digest(workspaces->seed, key, key_bytes, digest);
    uint32_t found = find_entry(workspaces, digest)->workspace;
    return found > 0 ? &workspaces->config->workspaces[found - 1] : NULL;
}

/* Returns how urgent a request is, 0 being the most urgent: the priority of
 * its workspace or, if that has none, of its route. `workspace` may be NULL.
 */
uint32_t
RsWorkspaces_Rank(const struct rs_workspace *workspace,
                  const struct rs_route *route)
{
    return workspace != NULL && workspace->has_priority ? workspace->priority
                                                        : route->priority;
}

/* Logs the requests without a valid key since the last log line, if there are
 * any and enough time has passed. */
static void
log_unauthorized(struct rs_workspaces_unauthorized *unauthorized,
                 int64_t now_ms)
{
    if (unauthorized->count == 0 || now_ms < unauthorized->next_log_at_ms) {
        return;
    }
    RsLog_EVENT(RsLog_WARNING, "unauthorized",
                RsLog_NUMBER("count", unauthorized->count),
                RsLog_NUMBER("missing", unauthorized->missing),
                RsLog_NUMBER("malformed", unauthorized->malformed),
                RsLog_TEXT("request_id", unauthorized->request_id),
                RsLog_TEXT("route", unauthorized->route));
    *unauthorized = (struct rs_workspaces_unauthorized){
        .next_log_at_ms = now_ms + UNAUTHORIZED_LOG_INTERVAL_MS};
}

/* Records and logs a request that was answered with 401. */
void
RsWorkspaces_RecordUnauthorized(
    struct rs_workspaces *workspaces,
    const struct rs_workspaces_credentials *credentials,
    const char *request_id, const char *route, int64_t now_ms)
{
    struct rs_workspaces_unauthorized *unauthorized =
        &workspaces->unauthorized;
    size_t key_bytes = 0;
    bool malformed = parse_credentials(credentials, &key_bytes) == NULL;
    RsCounter_Add(&workspaces->unauthorized_total, 1);
    unauthorized->count++;
    unauthorized->missing += credentials->count == 0;
    unauthorized->malformed += credentials->count > 0 && malformed;
    g_strlcpy(unauthorized->request_id, request_id,
              sizeof(unauthorized->request_id));
    unauthorized->route = g_intern_string(route);
    log_unauthorized(unauthorized, now_ms);
}

/* Records the end of a request. `not_run`: it was refused. Does nothing if
 * `workspace` is NULL. */
void
RsWorkspaces_RecordEnd(struct rs_workspaces *workspaces,
                       const struct rs_workspace *workspace, bool not_run)
{
    if (workspace == NULL) {
        return;
    }
    struct rs_workspaces_usage *usage =
        g_hash_table_lookup(workspaces->usages, workspace->name);
    if (usage == NULL) {
        usage = g_new0(struct rs_workspaces_usage, 1);
        usage->name = workspace->name;
        g_hash_table_insert(workspaces->usages, (gpointer)usage->name, usage);
    }
    usage->requests++;
    usage->not_run += not_run;
}

/* Adds a workspace to those that metrics name, or to the rest. The least busy
 * one moves to the rest if there are too many. */
static void
rank_usage(struct rs_workspaces *workspaces, struct rs_workspaces_usage usage)
{
    struct rs_workspaces_usage *list = workspaces->busiest;
    for (uint32_t i = 0; i < workspaces->busiest_count; i++) {
        if (usage.requests > list[i].requests) {
            struct rs_workspaces_usage former = list[i];
            list[i] = usage;
            usage = former;
        }
    }
    if (workspaces->busiest_count < RsWorkspaces_MAX_BUSIEST) {
        list[workspaces->busiest_count++] = usage;
        return;
    }
    workspaces->rest.requests += usage.requests;
    workspaces->rest.not_run += usage.not_run;
}

/* Ends a minute: finds its busiest workspaces, and counts anew. */
static void
end_minute(struct rs_workspaces *workspaces, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    workspaces->minute_ends_at_ms = now_ms + MINUTE_MS;
    workspaces->busiest_count = 0;
    workspaces->rest = (struct rs_workspaces_usage){0};
    g_hash_table_iter_init(&iter, workspaces->usages);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rank_usage(workspaces, *(const struct rs_workspaces_usage *)value);
    }
    g_hash_table_remove_all(workspaces->usages);
}

/* Records when the configuration in force was last known to be the current
 * one. Must be called every few tens of milliseconds. */
void
RsWorkspaces_Tick(struct rs_workspaces *workspaces, int64_t confirmed_at_ms,
                  int64_t now_ms)
{
    workspaces->confirmed_at_ms = confirmed_at_ms;
    log_unauthorized(&workspaces->unauthorized, now_ms);
    if (now_ms >= workspaces->minute_ends_at_ms) {
        end_minute(workspaces, now_ms);
    }
}
