#include "router/follower.h"

#include <glib.h>

#include "core/clock.h"
#include "core/log.h"

/* After a failed call: short against the 2 s in which a change must be in
 * force, long against the store's 4 ms for a call. It doubles up to the most,
 * so that many nodes don't press a store that is away. */
#define RETRY_LEAST_MS 150

struct rs_follower {
    struct rs_follower_options options;
    uv_timer_t timer;
    struct rs_rows mirror;
    char *next_key; /* of a whole reading in progress */
    uint64_t reading_version;
    bool following; /* the table was read whole */
    bool fed;
    bool calling;
    uint32_t retry_ms; /* after the next failed call */
    uint32_t retry_most_ms;
    int64_t fresh_at_ms;
};

static void call(struct rs_follower *follower);

static void
on_timer(uv_timer_t *timer)
{
    struct rs_follower *follower = timer->data;
    if (!follower->calling && !follower->fed) {
        call(follower);
    }
}

static void
call_after(struct rs_follower *follower, uint32_t delay_ms)
{
    follower->calling = false;
    uv_timer_start(&follower->timer, on_timer, delay_ms, 0);
}

static void
call_again(struct rs_follower *follower)
{
    call_after(follower, follower->retry_ms);
    follower->retry_ms = MIN(2 * follower->retry_ms, follower->retry_most_ms);
}

static void
on_gone(void *arg, struct rs_known_row *row)
{
    struct rs_follower *follower = arg;
    const struct rs_store_row news = {
        .key = row->key,
        .value = "",
        .version = row->version,
        .deleted = true,
    };
    follower->options.events->row(follower->options.arg, &news);
}

static bool
take_rows(struct rs_follower *follower, const struct rs_store_rows *rows)
{
    bool changed = false;
    for (size_t i = 0; i < rows->count; i++) {
        const struct rs_store_row *row = &rows->rows[i];
        if (RsRows_IsNewer(&follower->mirror, row)) {
            enum rs_rows_news news =
                follower->options.events->row(follower->options.arg, row);
            RsRows_Put(&follower->mirror, row, news);
            changed |= news == RsRows_CHANGED;
        }
    }
    return changed;
}

static void
start_reading(struct rs_follower *follower)
{
    follower->following = false;
    g_free(follower->next_key);
    follower->next_key = NULL;
}

static void
caught_up(struct rs_follower *follower, bool changed)
{
    follower->fresh_at_ms = RsClock_NowMs();
    follower->retry_ms = RETRY_LEAST_MS;
    follower->options.events->caught_up(follower->options.arg, changed);
}

static void
on_page(void *arg, enum rs_store_status status,
        const struct rs_store_rows *rows)
{
    struct rs_follower *follower = arg;
    follower->options.events->store(follower->options.arg, status);
    if (status != RsStore_DONE) {
        call_again(follower);
        return;
    }
    if (follower->next_key == NULL) {
        /* Later pages may be newer; what changed meanwhile comes again. */
        follower->reading_version = rows->version;
        RsRows_BeginWhole(&follower->mirror);
    }
    take_rows(follower, rows);
    if (rows->more && rows->count > 0) {
        g_free(follower->next_key);
        /* The least key after the last one read. */
        follower->next_key =
            g_strdup_printf("%s\x01", rows->rows[rows->count - 1].key);
        call(follower);
        return;
    }
    follower->following = true;
    RsRows_EndWhole(&follower->mirror, follower->reading_version, on_gone,
                    follower);
    caught_up(follower, true);
    call_after(follower, follower->options.pause_ms);
}

static void
on_changes(void *arg, enum rs_store_status status,
           const struct rs_store_rows *rows)
{
    struct rs_follower *follower = arg;
    follower->options.events->store(follower->options.arg, status);
    if (status == RsStore_TRUNCATED) {
        RsLog_EVENT(RsLog_WARNING, "history_gone",
                    RsLog_TEXT("table", follower->options.table),
                    RsLog_NUMBER("version", follower->mirror.version));
        start_reading(follower);
        call(follower);
        return;
    }
    if (status != RsStore_DONE) {
        call_again(follower);
        return;
    }
    bool changed = take_rows(follower, rows);
    follower->mirror.version = MAX(follower->mirror.version, rows->version);
    caught_up(follower, changed);
    call_after(follower, follower->options.pause_ms);
}

static void
call(struct rs_follower *follower)
{
    const struct rs_follower_options *options = &follower->options;
    follower->calling = true;
    if (follower->following) {
        RsStore_Follow(options->store, options->table,
                       follower->mirror.version, options->wait_ms, on_changes,
                       follower);
    }
    else {
        const char *from =
            follower->next_key != NULL ? follower->next_key : "";
        RsStore_Read(options->store, options->table, from, on_page, follower);
    }
}

/* Makes a follower that waits for RsFollower_SetFed(); it lives as long as the
 * process. */
struct rs_follower *
RsFollower_Open(const struct rs_follower_options *options)
{
    struct rs_follower *follower = g_new0(struct rs_follower, 1);
    follower->options = *options;
    follower->retry_ms = RETRY_LEAST_MS;
    follower->retry_most_ms = RETRY_LEAST_MS;
    RsRows_Init(&follower->mirror);
    uv_timer_init(options->loop, &follower->timer);
    follower->timer.data = follower;
    follower->fed = true;
    return follower;
}

/* Returns the name of the table. */
const char *
RsFollower_Table(const struct rs_follower *follower)
{
    return follower->options.table;
}

/* Returns the rows that are known. */
const struct rs_rows *
RsFollower_Rows(const struct rs_follower *follower)
{
    return &follower->mirror;
}

/* Returns when the table was last known to be up to date. */
int64_t
RsFollower_FreshAtMs(const struct rs_follower *follower)
{
    return follower->fresh_at_ms;
}

/* Leaves the store alone while another node tells all changes, or goes back
 * to it at once. */
void
RsFollower_SetFed(struct rs_follower *follower, bool fed)
{
    bool resume = follower->fed && !fed;
    follower->fed = fed;
    if (resume && !follower->calling) {
        call(follower);
    }
}

/* Sets the pause between two calls to the store, in ms. */
void
RsFollower_SetPause(struct rs_follower *follower, uint32_t pause_ms)
{
    follower->options.pause_ms = pause_ms;
}

/* Sets the longest pause after failed calls to the store, in ms. */
void
RsFollower_SetRetryMost(struct rs_follower *follower, uint32_t most_ms)
{
    follower->retry_most_ms = MAX(most_ms, RETRY_LEAST_MS);
}

static void
drop_forms(struct rs_follower_forms *forms)
{
    g_clear_pointer(&forms->packed, g_byte_array_unref);
    g_clear_pointer(&forms->patch, g_byte_array_unref);
}

/* Takes rows from another node, and how each came, or NULL; takes over these
 * forms. `whole` says that the table has no others as of the rows' version.
 * The rows are there to be passed on before this node uses them: that takes
 * time, and all of them are news by the word of the other node. */
void
RsFollower_Feed(struct rs_follower *follower, const struct rs_store_rows *rows,
                struct rs_follower_forms *forms, bool whole)
{
    const struct rs_follower_events *events = follower->options.events;
    bool changed = false;
    bool *newer = g_new0(bool, rows->count + 1);
    if (whole) {
        RsRows_BeginWhole(&follower->mirror);
    }
    for (size_t i = 0; i < rows->count; i++) {
        const struct rs_store_row *row = &rows->rows[i];
        newer[i] = RsRows_IsNewer(&follower->mirror, row);
        if (newer[i]) {
            RsRows_Put(&follower->mirror, row, RsRows_CHANGED);
            changed = true;
        }
        if (forms != NULL && newer[i]) {
            RsRows_KeepForms(&follower->mirror, row->key, forms[i].packed,
                             forms[i].patch);
        }
        else if (forms != NULL) {
            drop_forms(&forms[i]);
        }
    }
    if (changed && !whole) {
        events->fed(follower->options.arg);
    }
    for (size_t i = 0; i < rows->count; i++) {
        if (newer[i]) {
            events->row(follower->options.arg, &rows->rows[i]);
        }
    }
    g_free(newer);
    if (whole) {
        RsRows_EndWhole(&follower->mirror, rows->version, on_gone, follower);
        follower->following = true;
    }
    follower->mirror.version = MAX(follower->mirror.version, rows->version);
    follower->options.events->caught_up(follower->options.arg,
                                        changed || whole);
}

/* Notes that another node knew the table to be up to date then, and that this
 * one was told all changes up to the version. */
void
RsFollower_NoteFresh(struct rs_follower *follower, uint64_t version,
                     int64_t fresh_at_ms)
{
    follower->mirror.version = MAX(follower->mirror.version, version);
    follower->fresh_at_ms = MAX(follower->fresh_at_ms, fresh_at_ms);
}
