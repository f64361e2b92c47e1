#include "member/members.h"

#include <glib.h>
#include <string.h>

#include "core/id.h"

struct rs_members {
    char self[RsModel_NAME_BYTES];
    uint32_t suspect_after_ms;
    uint32_t forget_after_ms;
    GHashTable *by_name; /* name to record; owns the records */
    GPtrArray *list;     /* the same records, in no order */
    GRand *random;
};

/* Creates an empty table. The caller owns it. */
struct rs_members *
RsMembers_New(const struct rs_members_options *options)
{
    struct rs_members *members = g_new0(struct rs_members, 1);
    g_strlcpy(members->self, options->self, sizeof(members->self));
    members->suspect_after_ms = options->suspect_after_ms;
    members->forget_after_ms = options->forget_after_ms;
    members->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    members->list = g_ptr_array_new();
    members->random = g_rand_new_with_seed((guint32)options->seed);
    return members;
}

/* Frees the table and its records. */
void
RsMembers_Free(struct rs_members *members)
{
    g_hash_table_destroy(members->by_name);
    g_ptr_array_free(members->list, TRUE);
    g_rand_free(members->random);
    g_free(members);
}

static struct rs_member *
add_record(struct rs_members *members, const char *name)
{
    struct rs_member *record = g_new0(struct rs_member, 1);
    g_strlcpy(record->name, name, sizeof(record->name));
    record->id = RsId_FromName(name);
    record->heard_at_ms = INT64_MIN;
    g_hash_table_insert(members->by_name, record->name, record);
    g_ptr_array_add(members->list, record);
    return record;
}

static void
copy_state(struct rs_member *record, const struct rs_member *state)
{
    record->incarnation = state->incarnation;
    record->applied_ticket = state->applied_ticket;
    record->applied_revision = state->applied_revision;
    record->cell_version = state->cell_version;
    record->leaving = state->leaving;
    g_strlcpy(record->domain, state->domain, sizeof(record->domain));
}

/* Records a state that was received from the process itself (`direct`) or
 * through a peer. `age_ms` tells how long ago the process itself sent it. A
 * state older than the recorded one does not replace it. A direct message
 * counts as a heartbeat, whatever its age: only it shows that the process can
 * be reached from here. A state of this process, or without a name, is
 * ignored. */
void
RsMembers_Update(struct rs_members *members, int64_t now_ms,
                 const struct rs_member *state, uint32_t age_ms, bool direct)
{
    if (state->name[0] == '\0' || strcmp(state->name, members->self) == 0) {
        return;
    }
    struct rs_member *record =
        g_hash_table_lookup(members->by_name, state->name);
    if (record == NULL) {
        record = add_record(members, state->name);
    }
    int64_t heard_at_ms = now_ms - age_ms;
    bool gap =
        now_ms - record->last_heartbeat_at_ms > members->suspect_after_ms;
    bool restarted = record->incarnation != state->incarnation;
    if (heard_at_ms >= record->heard_at_ms) {
        if (restarted || record->cell_version != state->cell_version) {
            record->cell_version_seen_at_ms = now_ms;
        }
        record->heard_at_ms = heard_at_ms;
        copy_state(record, state);
    }
    if (direct) {
        if (gap || restarted || record->last_heartbeat_at_ms == 0) {
            record->steady_from_ms = now_ms;
        }
        record->last_heartbeat_at_ms = now_ms;
    }
}

/* Drops the records of processes without news for longer than
 * `forget_after_ms`. */
void
RsMembers_Forget(struct rs_members *members, int64_t now_ms)
{
    for (guint i = members->list->len; i > 0; i--) {
        struct rs_member *record = members->list->pdata[i - 1];
        if (now_ms - record->heard_at_ms > members->forget_after_ms) {
            g_ptr_array_remove_index_fast(members->list, i - 1);
            g_hash_table_remove(members->by_name, record->name);
        }
    }
}

/* Returns the record of a process, or NULL. It is valid until
 * RsMembers_Forget() drops it. */
const struct rs_member *
RsMembers_Find(const struct rs_members *members, const char *name)
{
    return g_hash_table_lookup(members->by_name, name);
}

/* Tells whether a heartbeat from the process arrived within the last
 * `suspect_after_ms`. Always true for this process. */
bool
RsMembers_IsReachable(const struct rs_members *members, int64_t now_ms,
                      const char *name)
{
    if (strcmp(name, members->self) == 0) {
        return true;
    }
    const struct rs_member *record = RsMembers_Find(members, name);
    return record != NULL && record->last_heartbeat_at_ms != 0 &&
           now_ms - record->last_heartbeat_at_ms <= members->suspect_after_ms;
}

/* Fills `sample` with up to `capacity` records to pass on to peers. When there
 * are more, takes consecutive ones of the list from a random one on. Returns
 * the number of records, which are borrowed. */
size_t
RsMembers_Sample(struct rs_members *members, int64_t now_ms,
                 const struct rs_member **sample, size_t capacity)
{
    guint count = members->list->len;
    if (count <= capacity) {
        return RsMembers_List(members, sample, capacity);
    }
    guint first = (guint)g_rand_int_range(members->random, 0, (gint32)count);
    for (size_t i = 0; i < capacity; i++) {
        sample[i] = members->list->pdata[(first + i) % count];
    }
    return capacity;
}

/* Fills `list` with up to `capacity` records, in no particular order. Returns
 * the number of records, which are borrowed. */
size_t
RsMembers_List(const struct rs_members *members, const struct rs_member **list,
               size_t capacity)
{
    size_t count = MIN(capacity, (size_t)members->list->len);
    for (size_t i = 0; i < count; i++) {
        list[i] = members->list->pdata[i];
    }
    return count;
}
