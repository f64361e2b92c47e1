#include "router/follower.h"

#include <glib.h>

#include "core/clock.h"
#include "core/log.h"

/* Delay after the first failed call. It is short compared with the 2 s in
 * which a change must take effect, and long compared with the store's 4 ms for
 * a call. The delay doubles up to a maximum, so that many nodes don't overload
 * a store that is unavailable. */
#define MIN_RETRY_DELAY_MS 150

/* A response that is handled this long after it was made is logged. */
#define LATE_ANSWER_MS 150

struct rs_follower {
    struct rs_follower_options options;
    uv_timer_t timer;
    struct rs_table_copy copy;
    /* Key at which the present read of the whole table continues; NULL: its
     * first key. */
    char *next_key;
    uint64_t reading_version;   /* store's version when that read began */
    int64_t reading_made_at_ms; /* when the store made its first page */
    /* The whole table was read or received, so only changes are polled for. */
    bool fully_read;
    bool suspended;          /* no new call to the store is started */
    bool call_active;        /* a call to the store is in progress */
    uint32_t retry_delay_ms; /* delay after the next failed call */
    uint32_t max_retry_delay_ms;
    int64_t fresh_at_ms;
    /* The store has gone back; when to read the whole table once more. 0: no.
     */
    int64_t settle_at_ms;
};

static void call(struct rs_follower *follower);

static void
on_timer(uv_timer_t *timer)
{
    struct rs_follower *follower = timer->data;
    if (!follower->call_active && !follower->suspended) {
        call(follower);
    }
}

/* Marks the present call as ended, and makes the next call after a delay,
 * unless polling is suspended by then. */
static void
call_after(struct rs_follower *follower, uint32_t delay_ms)
{
    follower->call_active = false;
    uv_timer_start(&follower->timer, on_timer, delay_ms, 0);
}

/* Retries a failed call after a delay, which doubles each time up to the
 * maximum. */
static void
call_after_failure(struct rs_follower *follower)
{
    call_after(follower, follower->retry_delay_ms);
    follower->retry_delay_ms =
        MIN(2 * follower->retry_delay_ms, follower->max_retry_delay_ms);
}

/* Reports a row that was missing from the whole table as deleted. */
static void
on_row_missing(void *arg, struct rs_known_row *row)
{
    struct rs_follower *follower = arg;
    const struct rs_store_row deletion = {
        .key = row->key,
        .value = "",
        .version = row->version,
        .deleted = true,
    };
    follower->options.events->row(follower->options.arg, &deletion);
}

/* Compares the content of a row with what is known, see rs_follower_events. */
static int
compare(const struct rs_follower *follower, const struct rs_store_row *row)
{
    const struct rs_follower_events *events = follower->options.events;
    return events->compare != NULL && !row->deleted
               ? events->compare(follower->options.arg, row)
               : 0;
}

/* Applies a row from the store if it is newer than the known one. Returns
 * whether it changed something. */
static bool
apply_row(struct rs_follower *follower, const struct rs_store_row *row)
{
    if (!RsTableCopy_IsNewer(&follower->copy, row)) {
        return false;
    }
    enum rs_row_effect effect =
        compare(follower, row) < 0
            ? RsTableCopy_OUTDATED
            : follower->options.events->row(follower->options.arg, row);
    RsTableCopy_Put(&follower->copy, row, effect);
    return effect == RsTableCopy_CHANGED;
}

/* Applies those rows from the store that are newer than the known ones.
 * Returns whether any of them changed something. */
static bool
apply_rows(struct rs_follower *follower, const struct rs_store_rows *rows)
{
    bool changed = false;
    for (size_t i = 0; i < rows->count; i++) {
        changed |= apply_row(follower, &rows->rows[i]);
    }
    return changed;
}

/* Applies rows of the whole table as it is after the store has gone back. Rows
 * that are known to be deleted stay so. The others get the version of the
 * read, since this node may know a later content than the copy. */
static void
apply_restored_rows(struct rs_follower *follower,
                    const struct rs_store_rows *rows)
{
    for (size_t i = 0; i < rows->count; i++) {
        struct rs_store_row row = rows->rows[i];
        const struct rs_known_row *known =
            RsTableCopy_Find(&follower->copy, row.key);
        if (known == NULL || !known->deleted) {
            row.version = follower->reading_version;
            apply_row(follower, &row);
        }
    }
}

/* Makes the next call start a read of the whole table. */
static void
restart_reading(struct rs_follower *follower)
{
    follower->fully_read = false;
    g_free(follower->next_key);
    follower->next_key = NULL;
}

/* The table is up to date as of when the store made its response. A change
 * that was made later comes with the next one, however late this one was
 * handled. */
static void
caught_up(struct rs_follower *follower, int64_t made_at_ms, bool changed)
{
    follower->fresh_at_ms = MAX(follower->fresh_at_ms, made_at_ms);
    follower->retry_delay_ms = MIN_RETRY_DELAY_MS;
    follower->options.events->caught_up(follower->options.arg, changed);
}

/* Begins to apply a read of the whole table. */
static void
begin_snapshot(struct rs_follower *follower, uint64_t version)
{
    uint64_t known_version = follower->copy.version;
    follower->reading_version = version;
    if (known_version > 0 &&
        RsStore_Era(version) > RsStore_Era(known_version)) {
        follower->settle_at_ms = RsClock_NowMs() + follower->options.settle_ms;
        RsLog_EVENT(
            RsLog_WARNING, "table_restored",
            RsLog_TEXT("table", follower->options.table),
            RsLog_NUMBER("era", RsStore_Era(version)),
            RsLog_NUMBER("version", RsStore_Number(version)),
            RsLog_NUMBER("known_era", RsStore_Era(known_version)),
            RsLog_NUMBER("known_version", RsStore_Number(known_version)));
    }
    RsTableCopy_BeginSnapshot(&follower->copy);
}

/* Ends the read of the whole table. */
static void
end_snapshot(struct rs_follower *follower)
{
    if (follower->settle_at_ms > 0) {
        RsTableCopy_EndSnapshotKeepingMissing(&follower->copy,
                                              follower->reading_version);
    }
    else {
        RsTableCopy_EndSnapshot(&follower->copy, follower->reading_version,
                                on_row_missing, follower);
    }
    follower->fully_read = true;
    caught_up(follower, follower->reading_made_at_ms, true);
    call_after(follower, follower->options.pause_ms);
}

/* Logs a response that came late: a change that was made after the response is
 * learned late, too. */
static void
log_late_answer(const struct rs_follower *follower, int64_t made_at_ms)
{
    int64_t late_ms = RsClock_NowMs() - made_at_ms;
    if (late_ms >= LATE_ANSWER_MS) {
        RsLog_EVENT(RsLog_INFO, "store_answer_late",
                    RsLog_TEXT("table", follower->options.table),
                    RsLog_NUMBER("late_ms", late_ms));
    }
}

static void
on_page(void *arg, enum rs_store_status status,
        const struct rs_store_rows *rows)
{
    struct rs_follower *follower = arg;
    follower->options.events->store_call_ended(follower->options.arg, status);
    if (status != RsStore_DONE) {
        call_after_failure(follower);
        return;
    }
    log_late_answer(follower, rows->made_at_ms);
    bool is_first_page = follower->next_key == NULL;
    if (!is_first_page &&
        RsStore_Era(rows->version) != RsStore_Era(follower->reading_version)) {
        restart_reading(follower);
        call(follower);
        return;
    }
    if (is_first_page) {
        begin_snapshot(follower, rows->version);
        follower->reading_made_at_ms = rows->made_at_ms;
    }
    if (follower->settle_at_ms > 0) {
        apply_restored_rows(follower, rows);
    }
    else {
        apply_rows(follower, rows);
    }
    if (rows->more && rows->count > 0) {
        g_free(follower->next_key);
        /* The smallest key after the last one read. */
        follower->next_key =
            g_strdup_printf("%s\x01", rows->rows[rows->count - 1].key);
        call(follower);
        return;
    }
    end_snapshot(follower);
}

static void
on_changes(void *arg, enum rs_store_status status,
           const struct rs_store_rows *rows)
{
    struct rs_follower *follower = arg;
    follower->options.events->store_call_ended(follower->options.arg, status);
    if (status == RsStore_TRUNCATED) {
        RsLog_EVENT(
            RsLog_WARNING, "history_gone",
            RsLog_TEXT("table", follower->options.table),
            RsLog_NUMBER("era", RsStore_Era(follower->copy.version)),
            RsLog_NUMBER("version", RsStore_Number(follower->copy.version)));
        restart_reading(follower);
        call(follower);
        return;
    }
    if (status != RsStore_DONE) {
        call_after_failure(follower);
        return;
    }
    log_late_answer(follower, rows->made_at_ms);
    bool changed = apply_rows(follower, rows);
    follower->copy.version = MAX(follower->copy.version, rows->version);
    caught_up(follower, rows->made_at_ms, changed);
    call_after(follower, follower->options.pause_ms);
}

/* Calls the store for changes or, during a read of the whole table, for the
 * next page. */
static void
call(struct rs_follower *follower)
{
    const struct rs_follower_options *options = &follower->options;
    follower->call_active = true;
    if (follower->settle_at_ms > 0 && follower->fully_read &&
        RsClock_NowMs() >= follower->settle_at_ms) {
        follower->settle_at_ms = 0;
        restart_reading(follower);
    }
    if (follower->fully_read) {
        RsStore_WaitForChanges(options->store, options->table,
                               follower->copy.version, options->wait_ms,
                               on_changes, follower);
    }
    else {
        const char *from =
            follower->next_key != NULL ? follower->next_key : "";
        RsStore_Read(options->store, options->table, from, on_page, follower);
    }
}

/* Creates a follower whose polling is suspended; RsFollower_SetSuspended()
 * resumes it. The follower lives as long as the process, and so must what
 * `options` points to. */
struct rs_follower *
RsFollower_Open(const struct rs_follower_options *options)
{
    struct rs_follower *follower = g_new0(struct rs_follower, 1);
    follower->options = *options;
    follower->retry_delay_ms = MIN_RETRY_DELAY_MS;
    follower->max_retry_delay_ms = MIN_RETRY_DELAY_MS;
    RsTableCopy_Init(&follower->copy);
    uv_timer_init(options->loop, &follower->timer);
    follower->timer.data = follower;
    follower->suspended = true;
    return follower;
}

/* Returns the name of the table. */
const char *
RsFollower_TableName(const struct rs_follower *follower)
{
    return follower->options.table;
}

/* Returns the copy of the table. The follower owns it. */
const struct rs_table_copy *
RsFollower_TableCopy(const struct rs_follower *follower)
{
    return &follower->copy;
}

/* Returns when the table was last known to be up to date, by the monotonic
 * clock in ms; 0 if it never was. */
int64_t
RsFollower_FreshAtMs(const struct rs_follower *follower)
{
    return follower->fresh_at_ms;
}

/* Returns whether the store has gone back and the table has not been read once
 * more since. */
bool
RsFollower_IsSettling(const struct rs_follower *follower)
{
    return follower->settle_at_ms > 0;
}

/* Suspends polling, or resumes it at once. A call in progress is not
 * cancelled. */
void
RsFollower_SetSuspended(struct rs_follower *follower, bool suspended)
{
    bool resume = follower->suspended && !suspended;
    follower->suspended = suspended;
    if (resume && !follower->call_active) {
        call(follower);
    }
}

/* Sets the pause between two calls to the store, in ms. */
void
RsFollower_SetPause(struct rs_follower *follower, uint32_t pause_ms)
{
    follower->options.pause_ms = pause_ms;
}

/* Sets how long the store may hold the next call for changes, in ms. */
void
RsFollower_SetWait(struct rs_follower *follower, uint32_t wait_ms)
{
    follower->options.wait_ms = wait_ms;
}

/* Sets the maximum delay after failed calls to the store, in ms. Values below
 * MIN_RETRY_DELAY_MS are raised to it. */
void
RsFollower_SetMaxRetryDelay(struct rs_follower *follower, uint32_t max_ms)
{
    follower->max_retry_delay_ms = MAX(max_ms, MIN_RETRY_DELAY_MS);
}

static void
free_encodings(struct rs_follower_origin *origin)
{
    g_clear_pointer(&origin->packed, g_byte_array_unref);
    g_clear_pointer(&origin->patch, g_byte_array_unref);
}

/* Stores a row that came from another node, unless it is neither newer nor
 * kept by that node as a later one. Takes over the encodings. Returns its
 * effect. */
static enum rs_row_effect
store_row(struct rs_follower *follower, const struct rs_store_row *row,
          struct rs_follower_origin *origin)
{
    struct rs_table_copy *copy = &follower->copy;
    bool newer = RsTableCopy_IsNewer(copy, row);
    int order = newer || origin->kept ? compare(follower, row) : 0;
    enum rs_row_effect effect = RsTableCopy_IGNORED;
    if (newer && order < 0) {
        effect = RsTableCopy_OUTDATED;
        RsTableCopy_Put(copy, row, effect);
    }
    else if (newer) {
        effect = RsTableCopy_CHANGED;
        RsTableCopy_Put(copy, row, effect);
        RsTableCopy_KeepEncodings(copy, row->key, origin->packed,
                                  origin->patch);
        if (origin->kept) {
            RsTableCopy_MarkKept(copy, row->key);
        }
        return effect;
    }
    else if (origin->kept && order > 0) {
        effect = RsTableCopy_CHANGED;
        RsTableCopy_Adopt(copy, row);
    }
    free_encodings(origin);
    return effect;
}

/* Applies rows that came from another node. `origins` has one entry for each
 * row, or is NULL; the follower takes ownership of the byte arrays in it.
 * `whole` says that the table had no other rows at the version of `rows`.
 * Returns whether the other node has rows that are newer but have older
 * content than this node's, which are ignored.
 *
 * Rows that aren't newer than the known ones are ignored, unless the other
 * node keeps them and their content is later. The others are stored first and,
 * unless the whole table was sent, forwarded before this node uses them, since
 * using them takes time. Each of these rows counts as changed, since the other
 * node normally sends only rows whose content has changed. */
bool
RsFollower_ApplyUpdate(struct rs_follower *follower,
                       const struct rs_store_rows *rows,
                       struct rs_follower_origin *origins, bool whole)
{
    const struct rs_follower_events *events = follower->options.events;
    bool changed = false;
    bool outdated = false;
    enum rs_row_effect *effects = g_new0(enum rs_row_effect, rows->count + 1);
    if (whole) {
        RsTableCopy_BeginSnapshot(&follower->copy);
    }
    for (size_t i = 0; i < rows->count; i++) {
        struct rs_follower_origin none = {0};
        effects[i] = store_row(follower, &rows->rows[i],
                               origins != NULL ? &origins[i] : &none);
        changed |= effects[i] == RsTableCopy_CHANGED;
        outdated |= effects[i] == RsTableCopy_OUTDATED;
    }
    if (changed && !whole) {
        events->updated(follower->options.arg);
    }
    for (size_t i = 0; i < rows->count; i++) {
        if (effects[i] == RsTableCopy_CHANGED) {
            events->row(follower->options.arg, &rows->rows[i]);
        }
    }
    g_free(effects);
    if (whole) {
        RsTableCopy_EndSnapshot(&follower->copy, rows->version, on_row_missing,
                                follower);
        follower->fully_read = true;
    }
    follower->copy.version = MAX(follower->copy.version, rows->version);
    follower->options.events->caught_up(follower->options.arg,
                                        changed || whole);
    return outdated;
}

/* Applies those rows, which another node keeps against older ones in the
 * store, whose content is later than what is known. */
void
RsFollower_AdoptKept(struct rs_follower *follower,
                     const struct rs_store_rows *rows)
{
    bool changed = false;
    for (size_t i = 0; i < rows->count; i++) {
        if (compare(follower, &rows->rows[i]) > 0) {
            RsTableCopy_Adopt(&follower->copy, &rows->rows[i]);
            follower->options.events->row(follower->options.arg,
                                          &rows->rows[i]);
            changed = true;
        }
    }
    if (changed) {
        follower->options.events->caught_up(follower->options.arg, true);
    }
}

/* Records that the table was known to be up to date at `fresh_at_ms`, and that
 * this node has all changes up to `version`. Neither value ever decreases. */
void
RsFollower_MarkFresh(struct rs_follower *follower, uint64_t version,
                     int64_t fresh_at_ms)
{
    follower->copy.version = MAX(follower->copy.version, version);
    follower->fresh_at_ms = MAX(follower->fresh_at_ms, fresh_at_ms);
}
