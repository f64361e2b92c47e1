#include "standin/grants.h"

#include <glib.h>
#include <stdbool.h>

#include "core/id.h"

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_CONFLICT 409

/* The latest session of one holder. */
struct session {
    json_int_t number;
    json_int_t set; /* version of the set of slices; -1 before the first */
    json_int_t until_ms; /* end of the grant, by the target's clock */
    GHashTable *slices;  /* slice ID to the fence granted */
};

struct rs_grants {
    GHashTable *sessions; /* holder name to struct session */
    GHashTable *highest;  /* slice ID to the highest fence granted */
};

static GHashTable *
new_fences(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

static void
free_session(gpointer data)
{
    struct session *session = data;
    g_hash_table_destroy(session->slices);
    g_free(session);
}

/* Returns a state without grants, as of a target that has just started. The
 * caller frees it with RsGrants_Free(). */
struct rs_grants *
RsGrants_New(void)
{
    struct rs_grants *grants = g_new0(struct rs_grants, 1);
    grants->sessions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_session);
    grants->highest = new_fences();
    return grants;
}

/* Frees the state and all grants. */
void
RsGrants_Free(struct rs_grants *grants)
{
    g_hash_table_destroy(grants->sessions);
    g_hash_table_destroy(grants->highest);
    g_free(grants);
}

/* Returns a negative number if `a` is lower than `b`, 0 if they are equal, or
 * a positive number if `a` is higher. */
int
RsGrants_CompareFences(struct rs_grants_fence a, struct rs_grants_fence b)
{
    if (a.epoch != b.epoch) {
        return a.epoch < b.epoch ? -1 : 1;
    }
    return (a.step > b.step) - (a.step < b.step);
}

static void
set_fence(GHashTable *fences, uint64_t slice, struct rs_grants_fence fence)
{
    uint64_t *key = g_new(uint64_t, 1);
    struct rs_grants_fence *value = g_new(struct rs_grants_fence, 1);
    *key = slice;
    *value = fence;
    g_hash_table_replace(fences, key, value);
}

/* Returns whether `fence` is lower than the slice's fence in `fences`. */
static bool
is_below_known(const GHashTable *fences, uint64_t slice,
               struct rs_grants_fence fence)
{
    const struct rs_grants_fence *highest =
        g_hash_table_lookup((GHashTable *)fences, &slice);
    return highest != NULL && RsGrants_CompareFences(fence, *highest) < 0;
}

/* Reads `{"slice","epoch","step"}`. Returns false if it is malformed. */
static bool
parse_slice(const json_t *entry, uint64_t *slice,
            struct rs_grants_fence *fence)
{
    const char *text = json_string_value(json_object_get(entry, "slice"));
    const json_t *epoch = json_object_get(entry, "epoch");
    const json_t *step = json_object_get(entry, "step");
    if (text == NULL || RsId_Parse(text, slice) != 0 ||
        !json_is_integer(epoch) || !json_is_integer(step)) {
        return false;
    }
    fence->epoch = (uint64_t)json_integer_value(epoch);
    fence->step = (uint64_t)json_integer_value(step);
    return true;
}

static bool
message_is_valid(const json_t *message)
{
    size_t i;
    const json_t *entry;
    uint64_t slice = 0;
    struct rs_grants_fence fence = {0, 0};
    const json_t *slices = json_object_get(message, "slices");
    if (!json_is_string(json_object_get(message, "holder")) ||
        !json_is_integer(json_object_get(message, "session")) ||
        !json_is_integer(json_object_get(message, "until_ms")) ||
        !json_is_integer(json_object_get(message, "set")) ||
        (slices != NULL && !json_is_array(slices))) {
        return false;
    }
    json_array_foreach(slices, i, entry)
    {
        if (!parse_slice(entry, &slice, &fence)) {
            return false;
        }
    }
    return true;
}

/* Appends a slice and its highest fence to the answer's list. */
static void
append_highest(json_t *list, uint64_t slice,
               const struct rs_grants_fence *fence)
{
    char text[RsId_TEXT_BYTES];
    RsId_Format(slice, text);
    json_array_append_new(list, json_pack("{s:s,s:I,s:I}", "slice", text,
                                          "epoch", (json_int_t)fence->epoch,
                                          "step", (json_int_t)fence->step));
}

/* Replaces the session's slices with those of the message. A slice whose fence
 * is lower than the highest one known is left out and appended to
 * `superseded`. */
static void
replace_slices(struct rs_grants *grants, struct session *session,
               const json_t *slices, json_t *superseded)
{
    size_t i;
    const json_t *entry;
    uint64_t slice = 0;
    struct rs_grants_fence fence = {0, 0};
    g_hash_table_remove_all(session->slices);
    json_array_foreach(slices, i, entry)
    {
        parse_slice(entry, &slice, &fence);
        if (is_below_known(grants->highest, slice, fence)) {
            append_highest(superseded, slice,
                           g_hash_table_lookup(grants->highest, &slice));
            continue;
        }
        set_fence(grants->highest, slice, fence);
        set_fence(session->slices, slice, fence);
    }
}

/* Appends to `superseded` the session's slices for which a higher fence has
 * been granted since. */
static void
list_superseded(const struct rs_grants *grants, const struct session *session,
                json_t *superseded)
{
    GHashTableIter iter;
    gpointer slice;
    gpointer fence;
    g_hash_table_iter_init(&iter, session->slices);
    while (g_hash_table_iter_next(&iter, &slice, &fence)) {
        uint64_t id = *(const uint64_t *)slice;
        if (is_below_known(grants->highest, id,
                           *(const struct rs_grants_fence *)fence)) {
            append_highest(superseded, id,
                           g_hash_table_lookup(grants->highest, slice));
        }
    }
}

/* Returns the session that the message belongs to. A holder's first message,
 * or one with a number above its current one, starts a new, empty session.
 * Returns NULL if the number is below the current one. */
static struct session *
find_session(struct rs_grants *grants, const json_t *message)
{
    const char *holder = json_string_value(json_object_get(message, "holder"));
    json_int_t number =
        json_integer_value(json_object_get(message, "session"));
    struct session *session = g_hash_table_lookup(grants->sessions, holder);
    if (session != NULL && number < session->number) {
        return NULL;
    }
    if (session == NULL || number > session->number) {
        session = g_new0(struct session, 1);
        session->number = number;
        session->set = -1;
        session->slices = new_fences();
        g_hash_table_replace(grants->sessions, g_strdup(holder), session);
    }
    return session;
}

/* Applies a grant message. A message with slices replaces the session's set; a
 * message without slices only extends the grant of the current set. Returns
 * the HTTP status: 200; 400 for a malformed message; 409 if the session or the
 * set is older than the current one, or if the message has no slices and its
 * set is not the current one. Unless the message is malformed, adds two
 * members to the object `answer`: `set`, the version of the session's set or
 * -1 if there is none, and `highest`, a list of slices for which a higher
 * fence was granted, each with that fence. For an accepted message with
 * slices, these are the slices left out of the new set; for one without, those
 * of the current set. For a refused message, the list is empty. */
int
RsGrants_Apply(struct rs_grants *grants, const json_t *message, json_t *answer)
{
    if (!message_is_valid(message)) {
        return STATUS_BAD_REQUEST;
    }
    const json_t *slices = json_object_get(message, "slices");
    json_int_t set = json_integer_value(json_object_get(message, "set"));
    json_t *superseded = json_array();
    struct session *session = find_session(grants, message);
    bool is_accepted =
        session != NULL &&
        (slices != NULL ? set >= session->set : set == session->set);
    json_object_set_new(answer, "highest", superseded);
    if (is_accepted && slices != NULL) {
        replace_slices(grants, session, slices, superseded);
        session->set = set;
    }
    else if (is_accepted) {
        list_superseded(grants, session, superseded);
    }
    if (is_accepted) {
        session->until_ms =
            json_integer_value(json_object_get(message, "until_ms"));
    }
    json_object_set_new(answer, "set",
                        json_integer(session != NULL ? session->set : -1));
    return is_accepted ? STATUS_OK : STATUS_CONFLICT;
}

/* Decides whether `holder` may have a request for a key of `slice` run under
 * `fence` at `clock_ms` of the target's clock. Returns RsGrants_GRANTED, or
 * the reason for a refusal. */
enum rs_grants_decision
RsGrants_Check(const struct rs_grants *grants, int64_t clock_ms,
               const char *holder, uint64_t slice,
               struct rs_grants_fence fence)
{
    if (is_below_known(grants->highest, slice, fence)) {
        return RsGrants_STALE_FENCE;
    }
    const struct session *session =
        g_hash_table_lookup(grants->sessions, holder);
    if (session == NULL || clock_ms > session->until_ms) {
        return RsGrants_NO_GRANT;
    }
    const struct rs_grants_fence *granted =
        g_hash_table_lookup(session->slices, &slice);
    if (granted == NULL || RsGrants_CompareFences(fence, *granted) != 0) {
        return RsGrants_NO_GRANT;
    }
    return RsGrants_GRANTED;
}
