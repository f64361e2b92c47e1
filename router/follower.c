#include "router/follower.h"

#include <glib.h>

#include "core/clock.h"
#include "core/log.h"

/* After a failed call: short against the 2 s in which a change must be in
 * force, long against the store's 4 ms for a call. */
#define RETRY_MS 150

struct rs_follower {
    struct rs_follower_options options;
    uv_timer_t timer;
    uint64_t version;
    char *next_key; /* of a whole reading in progress */
    bool following;
    int64_t fresh_at_ms;
};

static void call(struct rs_follower *follower);

static void
on_timer(uv_timer_t *timer)
{
    call(timer->data);
}

static void
call_after(struct rs_follower *follower, uint32_t delay_ms)
{
    uv_timer_start(&follower->timer, on_timer, delay_ms, 0);
}

static void
give_rows(struct rs_follower *follower, const struct rs_store_rows *rows)
{
    for (size_t i = 0; i < rows->count; i++) {
        follower->options.events->row(follower->options.arg, &rows->rows[i]);
    }
}

static void
start_reading(struct rs_follower *follower)
{
    follower->following = false;
    g_free(follower->next_key);
    follower->next_key = NULL;
}

static void
on_page(void *arg, enum rs_store_status status,
        const struct rs_store_rows *rows)
{
    struct rs_follower *follower = arg;
    if (status != RsStore_DONE) {
        call_after(follower, RETRY_MS);
        return;
    }
    if (follower->next_key == NULL) {
        /* Later pages may be newer; what changed meanwhile comes again. */
        follower->version = rows->version;
        follower->options.events->reading(follower->options.arg);
    }
    give_rows(follower, rows);
    if (rows->more && rows->count > 0) {
        g_free(follower->next_key);
        /* The least key after the last one read. */
        follower->next_key =
            g_strdup_printf("%s\x01", rows->rows[rows->count - 1].key);
        call(follower);
        return;
    }
    follower->following = true;
    follower->fresh_at_ms = RsClock_NowMs();
    follower->options.events->caught_up(follower->options.arg);
    call_after(follower, follower->options.pause_ms);
}

static void
on_changes(void *arg, enum rs_store_status status,
           const struct rs_store_rows *rows)
{
    struct rs_follower *follower = arg;
    if (status == RsStore_TRUNCATED) {
        RsLog_EVENT(RsLog_WARNING, "history_gone",
                    RsLog_TEXT("table", follower->options.table),
                    RsLog_NUMBER("version", follower->version));
        start_reading(follower);
        call(follower);
        return;
    }
    if (status != RsStore_DONE) {
        call_after(follower, RETRY_MS);
        return;
    }
    follower->version = MAX(follower->version, rows->version);
    follower->fresh_at_ms = RsClock_NowMs();
    give_rows(follower, rows);
    if (rows->count > 0) {
        follower->options.events->caught_up(follower->options.arg);
    }
    call_after(follower, follower->options.pause_ms);
}

static void
call(struct rs_follower *follower)
{
    const struct rs_follower_options *options = &follower->options;
    if (follower->following) {
        RsStore_Follow(options->store, options->table, follower->version,
                       options->wait_ms, on_changes, follower);
    }
    else {
        const char *from =
            follower->next_key != NULL ? follower->next_key : "";
        RsStore_Read(options->store, options->table, from, on_page, follower);
    }
}

/* Begins to read; the follower lives as long as the process. */
struct rs_follower *
RsFollower_Open(const struct rs_follower_options *options)
{
    struct rs_follower *follower = g_new0(struct rs_follower, 1);
    follower->options = *options;
    uv_timer_init(options->loop, &follower->timer);
    follower->timer.data = follower;
    call(follower);
    return follower;
}

/* Returns when the table was last known to be up to date. */
int64_t
RsFollower_FreshAtMs(const struct rs_follower *follower)
{
    return follower->fresh_at_ms;
}
