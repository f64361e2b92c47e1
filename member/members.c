#include "member/members.h"

#include <glib.h>
#include <string.h>

#include "core/id.h"

struct rs_members {
    char self[RsModel_NAME_BYTES];
    uint32_t suspect_after_ms;
    uint32_t forget_after_ms;
    GHashTable *by_name; /* owns the records */
    GPtrArray *list;
    GRand *random;
};

/* Makes an empty table. */
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
add(struct rs_members *members, const char *name)
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
copy_word(struct rs_member *record, const struct rs_member *word)
{
    record->incarnation = word->incarnation;
    record->applied_ticket = word->applied_ticket;
    record->applied_revision = word->applied_revision;
    record->cell_version = word->cell_version;
    record->leaving = word->leaving;
    g_strlcpy(record->domain, word->domain, sizeof(record->domain));
}

/* Takes in a word from or about a process that is `age_ms` old. An older word
 * than the one known changes nothing. Only a direct word shows that the
 * process can be reached from here. */
void
RsMembers_Heard(struct rs_members *members, int64_t now_ms,
                const struct rs_member *word, uint32_t age_ms, bool direct)
{
    if (word->name[0] == '\0' || strcmp(word->name, members->self) == 0) {
        return;
    }
    struct rs_member *record =
        g_hash_table_lookup(members->by_name, word->name);
    if (record == NULL) {
        record = add(members, word->name);
    }
    int64_t heard_at_ms = now_ms - age_ms;
    bool gap = now_ms - record->direct_at_ms > members->suspect_after_ms;
    bool restarted = record->incarnation != word->incarnation;
    if (heard_at_ms >= record->heard_at_ms) {
        if (restarted || record->cell_version != word->cell_version) {
            record->version_from_ms = now_ms;
        }
        record->heard_at_ms = heard_at_ms;
        copy_word(record, word);
    }
    if (direct) {
        if (gap || restarted || record->direct_at_ms == 0) {
            record->steady_from_ms = now_ms;
        }
        record->direct_at_ms = now_ms;
    }
}

/* Drops the records of processes that were silent for long. */
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

/* Returns the record of a process, or NULL. */
const struct rs_member *
RsMembers_Find(const struct rs_members *members, const char *name)
{
    return g_hash_table_lookup(members->by_name, name);
}

/* Tells whether a process spoke to this one lately. It speaks to itself. */
bool
RsMembers_Speaks(const struct rs_members *members, int64_t now_ms,
                 const char *name)
{
    if (strcmp(name, members->self) == 0) {
        return true;
    }
    const struct rs_member *record = RsMembers_Find(members, name);
    return record != NULL && record->direct_at_ms != 0 &&
           now_ms - record->direct_at_ms <= members->suspect_after_ms;
}

/* Chooses records at random, for passing them on. */
size_t
RsMembers_Sample(struct rs_members *members, int64_t now_ms,
                 const struct rs_member **sample, size_t capacity)
{
    guint count = members->list->len;
    if (count <= capacity) {
        return RsMembers_List(members, sample, capacity);
    }
    guint at = (guint)g_rand_int_range(members->random, 0, (gint32)count);
    for (size_t i = 0; i < capacity; i++) {
        sample[i] = members->list->pdata[(at + i) % count];
    }
    return capacity;
}

/* Lists the records; at most `capacity`. */
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
