#include "control/feed.h"

#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"

#define EXCLUDED_KEY_PREFIX "ticket/log/"
#define PAGE_ROWS 1000
#define PEER_PAGE_ROWS 500
#define PEER_PAGE_BYTES (256u << 10)
#define NON_READER_POLL_FACTOR 8
#define VM_LIST_INTERVAL_MS 1000
#define PEER_REQUEST_INTERVAL_MS 150
#define PLATFORM_SILENCE_MS 5000
#define STATUS_OK 200

struct rs_feed {
    struct rs_feed_options options;
    char *domain;
    struct rs_mirror *mirror;
    json_t *vms;
    int64_t vms_read_at_ms;
    bool reading;
    bool reading_vms;
    bool table_was_read;
    int64_t read_began_at_ms;      /* start of the last table read */
    int64_t last_read_began_at_ms; /* of the last complete one; 0: none */
    bool changed; /* a page from the platform or a peer has changed the mirror,
                   * and options.changed() has not been called for it yet */
    uint64_t requested_after; /* start revision of the last page requested */
    int64_t next_poll_at_ms;
    int64_t next_vm_list_at_ms;
    int64_t next_peer_request_at_ms;
    int64_t answered_at_ms; /* last valid page from the platform; 0: none */
};

/* Creates a feed with an empty mirror. */
struct rs_feed *
RsFeed_New(const struct rs_feed_options *options)
{
    struct rs_feed *feed = g_new0(struct rs_feed, 1);
    feed->options = *options;
    feed->domain = g_strdup(options->domain);
    feed->mirror = RsMirror_New();
    return feed;
}

/* Frees a feed and its mirror. */
void
RsFeed_Free(struct rs_feed *feed)
{
    RsMirror_Free(feed->mirror);
    json_decref(feed->vms);
    g_free(feed->domain);
    g_free(feed);
}

/* Tells whether a row of a page is valid by the contract of the platform. */
static bool
is_valid_row(const json_t *row, json_int_t revision)
{
    const json_t *version = json_object_get(row, "version");
    return json_is_string(json_object_get(row, "key")) &&
           json_object_get(row, "value") != NULL &&
           json_integer_value(version) > 0 &&
           json_integer_value(version) <= revision;
}

/* Tells whether an answer is a valid page of the changes after a revision. A
 * page that announces more must advance the revision; otherwise reading would
 * never end. */
static bool
is_valid_page(const json_t *body, uint64_t after)
{
    const json_t *revision = json_object_get(body, "revision");
    const json_t *rows = json_object_get(body, "rows");
    if (!json_is_integer(revision) || json_integer_value(revision) < 0 ||
        !json_is_array(rows)) {
        return false;
    }
    for (size_t i = 0; i < json_array_size(rows); i++) {
        if (!is_valid_row(json_array_get(rows, i),
                          json_integer_value(revision))) {
            return false;
        }
    }
    return !json_is_true(json_object_get(body, "more")) ||
           (uint64_t)json_integer_value(revision) > after;
}

static bool
put_row(struct rs_feed *feed, const json_t *row)
{
    const char *key = json_string_value(json_object_get(row, "key"));
    const json_t *value = json_object_get(row, "value");
    json_int_t version = json_integer_value(json_object_get(row, "version"));
    char *text = json_is_null(value)
                     ? NULL
                     : json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    bool changed = RsMirror_Put(feed->mirror, key, (uint64_t)version, text);
    free(text);
    return changed;
}

static void read_page(struct rs_feed *feed);

static void
on_page(void *arg, int status, json_t *body)
{
    struct rs_feed *feed = arg;
    size_t index;
    json_t *row;
    feed->reading = false;
    if (status != STATUS_OK) {
        return;
    }
    if (!is_valid_page(body, feed->requested_after)) {
        RsLog_EVENT(RsLog_WARNING, "platform_page_malformed",
                    RsLog_NUMBER("after", feed->requested_after));
        return;
    }
    feed->answered_at_ms = RsClock_NowMs();
    json_array_foreach(json_object_get(body, "rows"), index, row)
    {
        feed->changed |= put_row(feed, row);
    }
    RsMirror_Advance(feed->mirror, (uint64_t)json_integer_value(
                                       json_object_get(body, "revision")));
    if (json_is_true(json_object_get(body, "more"))) {
        read_page(feed);
        return;
    }
    bool changed = feed->changed || !feed->table_was_read;
    feed->table_was_read = true;
    feed->last_read_began_at_ms = feed->read_began_at_ms;
    feed->changed = false;
    if (changed) {
        feed->options.changed(feed->options.arg);
    }
}

static void
read_page(struct rs_feed *feed)
{
    feed->reading = true;
    feed->requested_after = RsMirror_Revision(feed->mirror);
    RsPlatform_ReadChanges(feed->options.platform, feed->requested_after,
                           PAGE_ROWS, EXCLUDED_KEY_PREFIX, on_page, feed);
}

static void
on_vms(void *arg, int status, json_t *body)
{
    struct rs_feed *feed = arg;
    json_t *list = json_object_get(body, "vms");
    feed->reading_vms = false;
    if (status != STATUS_OK || !json_is_array(list)) {
        return;
    }
    feed->vms_read_at_ms = RsClock_NowMs();
    if (feed->vms != NULL && json_equal(feed->vms, list)) {
        return;
    }
    json_decref(feed->vms);
    feed->vms = json_incref(list);
    feed->options.changed(feed->options.arg);
}

/* Reads the changes of the table and the list of VMs from the platform, each
 * when it is due. */
void
RsFeed_Tick(struct rs_feed *feed, int64_t now_ms, bool reader)
{
    uint32_t every_ms = feed->options.poll_every_ms;
    if (!reader && feed->table_was_read) {
        every_ms *= NON_READER_POLL_FACTOR;
    }
    if (!feed->reading && now_ms >= feed->next_poll_at_ms) {
        feed->next_poll_at_ms = now_ms + every_ms;
        feed->read_began_at_ms = now_ms;
        read_page(feed);
    }
    feed->next_poll_at_ms = MIN(feed->next_poll_at_ms, now_ms + every_ms);
    if (!feed->reading_vms && now_ms >= feed->next_vm_list_at_ms) {
        feed->next_vm_list_at_ms = now_ms + VM_LIST_INTERVAL_MS;
        feed->reading_vms = true;
        RsPlatform_ListVms(feed->options.platform, feed->domain, on_vms, feed);
    }
}

/* Makes the next tick at which no read is in progress read the changes of the
 * table. */
void
RsFeed_PollNow(struct rs_feed *feed)
{
    feed->next_poll_at_ms = 0;
}

/* Tells whether to request changes now from a peer that has `peer_revision`.
 * If so, the caller must send the request: this function then returns false
 * until PEER_REQUEST_INTERVAL_MS have passed or a page with `more` arrives.
 * Sets `request_after` to the revision after which the request must start. */
bool
RsFeed_BeginPeerRequest(struct rs_feed *feed, int64_t now_ms,
                        uint64_t peer_revision, uint64_t *request_after)
{
    *request_after = RsMirror_Revision(feed->mirror);
    if (peer_revision <= *request_after ||
        now_ms < feed->next_peer_request_at_ms) {
        return false;
    }
    feed->next_peer_request_at_ms = now_ms + PEER_REQUEST_INTERVAL_MS;
    return true;
}

/* Like is_valid_page(), for a page from a peer. */
static bool
is_valid_peer_page(const Rs__Member__Changes *changes)
{
    for (size_t i = 0; i < changes->n_rows; i++) {
        uint64_t version = changes->rows[i]->version;
        if (version == 0 || version > changes->revision) {
            return false;
        }
    }
    return !changes->more || changes->revision > changes->after;
}

/* Applies a page of changes from a peer. Ignores a page that leaves a gap
 * after the own revision or contradicts itself. */
void
RsFeed_ApplyChanges(struct rs_feed *feed, const Rs__Member__Changes *changes)
{
    if (changes->after > RsMirror_Revision(feed->mirror) ||
        !is_valid_peer_page(changes)) {
        return;
    }
    for (size_t i = 0; i < changes->n_rows; i++) {
        const Rs__Member__Row *row = changes->rows[i];
        const char *value = row->value[0] != '\0' ? row->value : NULL;
        feed->changed |=
            RsMirror_Put(feed->mirror, row->key, row->version, value);
    }
    RsMirror_Advance(feed->mirror, changes->revision);
    if (changes->more) {
        feed->next_peer_request_at_ms = 0;
    }
    else if (feed->changed) {
        feed->changed = false;
        feed->options.changed(feed->options.arg);
    }
}

static void
add_row(void *arg, const struct rs_mirror_row *row)
{
    GPtrArray *rows = arg;
    Rs__Member__Row *copy = g_new(Rs__Member__Row, 1);
    rs__member__row__init(copy);
    copy->key = (char *)row->key;
    copy->version = row->version;
    copy->value = row->value != NULL ? (char *)row->value : (char *)"";
    g_ptr_array_add(rows, copy);
}

/* Fills in a page of changes for a peer. Its strings are borrowed from the
 * mirror; free the rest with RsFeed_FreeChanges(). */
void
RsFeed_FillChanges(const struct rs_feed *feed, uint64_t after,
                   Rs__Member__Changes *changes)
{
    GPtrArray *rows = g_ptr_array_new();
    bool more = false;
    changes->after = after;
    changes->revision =
        RsMirror_VisitAfter(feed->mirror, after, PEER_PAGE_ROWS,
                            PEER_PAGE_BYTES, add_row, rows, &more);
    changes->more = more;
    changes->n_rows = rows->len;
    changes->rows = (Rs__Member__Row **)g_ptr_array_free(rows, FALSE);
}

/* Frees what RsFeed_FillChanges() allocated, but not the page itself. */
void
RsFeed_FreeChanges(Rs__Member__Changes *changes)
{
    for (size_t i = 0; i < changes->n_rows; i++) {
        g_free(changes->rows[i]);
    }
    g_free(changes->rows);
}

/* Returns the mirror. Borrowed. */
const struct rs_mirror *
RsFeed_Mirror(const struct rs_feed *feed)
{
    return feed->mirror;
}

/* Returns the list of VMs, or NULL before it was read. Borrowed. */
const json_t *
RsFeed_Vms(const struct rs_feed *feed)
{
    return feed->vms;
}

/* Returns when the list of VMs was read last; 0 when it never was. */
int64_t
RsFeed_VmsReadAtMs(const struct rs_feed *feed)
{
    return feed->vms_read_at_ms;
}

/* Tells whether this process has completed a read of the table, up to the last
 * page, since it started. The read starts at the mirror's revision, so it
 * leaves out changes that peers had already sent. */
bool
RsFeed_TableWasRead(const struct rs_feed *feed)
{
    return feed->table_was_read;
}

/* Returns when the last complete read of the table began; 0 when there was
 * none. */
int64_t
RsFeed_LastReadBeganAtMs(const struct rs_feed *feed)
{
    return feed->last_read_began_at_ms;
}

/* Tells whether the platform has sent a valid page of changes within the last
 * PLATFORM_SILENCE_MS. */
bool
RsFeed_PlatformAnswers(const struct rs_feed *feed, int64_t now_ms)
{
    return feed->answered_at_ms != 0 &&
           now_ms - feed->answered_at_ms < PLATFORM_SILENCE_MS;
}
