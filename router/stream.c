#include "router/stream.h"

#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/delay.h"
#include "router/pack.h"
#include "router/patch.h"
#include "router/stream.pb-c.h"
#include "wire/link.h"

#define HEARTBEAT_INTERVAL_MS 200
/* The upstream connection is closed when neither a heartbeat with current data
 * nor any other data has arrived for this long, which is three missed
 * heartbeats. The store is polled after that, so a change still takes effect
 * within the required 2 s. */
#define HEARTBEAT_TIMEOUT_MS 700
/* The same timeout while other data arrives on the connection. */
#define BUSY_HEARTBEAT_TIMEOUT_MS 2000
/* Data of this age is outdated, and the store is polled instead, in time for
 * the 2 s in which a change must take effect. The granter's longest pause and
 * call together (1,000 ms for the target table) and two heartbeats take less;
 * with the delay of a slow store they may take more. */
#define MAX_AGE_MS 1500
/* Minimum time between two attempts to connect to an upstream node, except
 * after a redirect or a change of the granter. */
#define CONNECT_INTERVAL_MS 300
/* When all nodes start at once, most find an upstream node within a second.
 * Until then they don't poll the store, which leaves it to the granter. */
#define STARTUP_POLL_DELAY_MS 1200
/* After the upstream node was lost, the store is not polled for this long,
 * since connecting to another upstream node usually succeeds within this time.
 */
#define LOST_POLL_DELAY_MS 250
/* A starting node that knows the lease holder connects to it and has all
 * tables within a few round trips. If all nodes were restarted at once, the
 * holder in the lease row no longer runs, so the wait is short. */
#define KNOWN_HOLDER_POLL_DELAY_MS 60
/* Maximum number of subscribers of a node. Further nodes are redirected to
 * one of the subscribers, chosen at random, so that 3,500 nodes are reached in
 * three hops. */
#define MAX_SUBSCRIBERS 24
#define MAX_QUEUE_BYTES (4 * 1024 * 1024) /* unsent data of a connection */

/* A node connected to this one; a subscriber once it has sent Subscribe. */
struct subscriber {
    struct rs_stream *stream;
    struct rs_link *link;
    char *host; /* where it accepts subscribers; NULL: not known yet */
    uint32_t port;
    bool subscribed; /* it has sent its first Subscribe message */
    /* For each table, the version up to which this node has sent the rows, or
     * which the subscriber had when it subscribed. */
    uint64_t versions[RsStream_MAX_TABLES];
    /* For each table: this node has sent its rows since the last Subscribe
     * message, so that patches to them can be applied. */
    bool synced[RsStream_MAX_TABLES];
    /* For each table, the revision of the kept rows that were last sent. */
    uint32_t kept_revisions[RsStream_MAX_TABLES];
};

struct rs_stream {
    struct rs_stream_options options;
    struct rs_link_listener *listener;
    GPtrArray *subscribers;
    struct rs_link *upstream; /* NULL: none */
    /* Incarnation of the lease holder when `upstream` was opened. */
    uint64_t upstream_granter_incarnation;
    char redirect_host[64]; /* empty: no redirect */
    uint32_t redirect_port;
    bool upstream_open;    /* the upstream link is established; never read */
    bool upstream_current; /* the upstream node delivers current data */
    bool polls_store;      /* see RsStream_PollsStore() */
    /* A node that may have an upstream node does not poll the store before
     * this time. */
    int64_t poll_delayed_until_ms;
    bool knows_holder; /* a lease holder was known at some time */
    /* An update of this table could not be decoded, and its rows were
     * requested again. Heartbeats are ignored until they arrive. NULL: none.
     */
    const struct rs_follower *incomplete_follower;
    bool shutting_down;
    /* When the last heartbeat with current data arrived or, before the first,
     * when the upstream link was opened. */
    int64_t current_at_ms;
    uint64_t received_bytes; /* bytes received on the upstream link */
    /* When `received_bytes` was last seen to grow; 0: not yet on this link. */
    int64_t received_at_ms;
    struct rs_delay delay; /* delay of the link's heartbeats */
    /* From the last heartbeat: its delay, and the most outdated table. */
    int64_t late_ms;
    int64_t oldest_age_ms;
    const char *oldest_table;
    int64_t next_heartbeat_at_ms;
    int64_t next_connect_at_ms;
};

/* Decoding updates. */

/* Returns a copy that ends with a zero byte. */
static char *
terminated_copy(const ProtobufCBinaryData *bytes)
{
    char *text = g_malloc(bytes->len + 1);
    if (bytes->len > 0) {
        memcpy(text, bytes->data, bytes->len);
    }
    text[bytes->len] = '\0';
    return text;
}

/* Returns NULL if there are no bytes. */
static GByteArray *
copy_bytes(const ProtobufCBinaryData *bytes)
{
    if (bytes->len == 0) {
        return NULL;
    }
    GByteArray *copy = g_byte_array_sized_new((guint)bytes->len);
    return g_byte_array_append(copy, bytes->data, (guint)bytes->len);
}

/* Returns the value of a row from an update, to be freed by the caller with
 * g_free(). Returns NULL if it can't be decoded or is a patch of a version
 * that this node does not have. */
static char *
decode_value(const struct rs_follower *follower,
             const Rs__Stream__Update__Row *row)
{
    if (row->packed.len > 0) {
        return RsPack_Decompress(row->packed.data, row->packed.len,
                                 row->value_bytes);
    }
    if (row->patch.len == 0) {
        return terminated_copy(&row->value);
    }
    const struct rs_known_row *known =
        RsTableCopy_Find(RsFollower_TableCopy(follower), row->key);
    if (known == NULL || known->deleted ||
        known->version != row->base_version) {
        return NULL;
    }
    return RsPatch_Apply(known->value, row->patch.data, row->patch.len);
}

/* The rows of an update, and how they came. */
struct decoded_rows {
    struct rs_store_rows rows;
    struct rs_follower_origin *origins;
    bool applicable; /* all values could be decoded */
};

/* Decodes the rows of an update. They are to be freed with free_rows() and,
 * unless the follower takes over the encodings, free_encodings(). */
static struct decoded_rows
decode_rows(const struct rs_follower *follower,
            const Rs__Stream__Update *update)
{
    struct decoded_rows decoded = {
        .rows = {.rows = g_new0(struct rs_store_row, update->n_rows + 1),
                 .count = update->n_rows,
                 .version = update->version},
        .origins = g_new0(struct rs_follower_origin, update->n_rows + 1),
        .applicable = true,
    };
    for (size_t i = 0; i < update->n_rows; i++) {
        const Rs__Stream__Update__Row *row = update->rows[i];
        struct rs_store_row *decoded_row = &decoded.rows.rows[i];
        *decoded_row = (struct rs_store_row){
            .table = update->table,
            .key = row->key,
            .value = decode_value(follower, row),
            .version = row->version,
            .deleted = row->deleted,
        };
        if (decoded_row->value == NULL) {
            RsLog_EVENT(RsLog_WARNING, "patch_refused",
                        RsLog_TEXT("key", row->key),
                        RsLog_NUMBER("era", RsStore_Era(row->version)),
                        RsLog_NUMBER("version", RsStore_Number(row->version)),
                        RsLog_NUMBER("base_version",
                                     RsStore_Number(row->base_version)));
            decoded.applicable = false;
            continue;
        }
        decoded_row->value_bytes = strlen(decoded_row->value);
        decoded.origins[i].packed = copy_bytes(&row->packed);
        decoded.origins[i].patch = copy_bytes(&row->patch);
        decoded.origins[i].kept = row->kept;
    }
    return decoded;
}

static void
free_encodings(struct decoded_rows *decoded)
{
    for (size_t i = 0; i < decoded->rows.count; i++) {
        g_clear_pointer(&decoded->origins[i].packed, g_byte_array_unref);
        g_clear_pointer(&decoded->origins[i].patch, g_byte_array_unref);
    }
}

static void
free_rows(struct decoded_rows *decoded)
{
    for (size_t i = 0; i < decoded->rows.count; i++) {
        g_free(decoded->rows.rows[i].value);
    }
    g_free(decoded->rows.rows);
    g_free(decoded->origins);
}

/* Serving subscribers. */

static int
send_message(struct rs_link *link, Rs__Stream__Message *message)
{
    return RsLink_Send(link, &message->base);
}

struct row_list {
    GArray *rows; /* Rs__Stream__Update__Row */
    /* Version up to which the receiver has the same rows as this node; 0:
     * unknown. */
    uint64_t known_version;
    bool without_kept; /* rows that are kept are sent apart */
};

/* Adds a row to an update: as a patch if the receiver has the former version,
 * as the compressed value, or as the plain value. RsTableCopy_ChooseEncoding()
 * decides. */
static void
add_row(void *arg, struct rs_known_row *row)
{
    struct row_list *list = arg;
    if (list->without_kept && row->kept) {
        return;
    }
    Rs__Stream__Update__Row item = RS__STREAM__UPDATE__ROW__INIT;
    bool has_former = list->known_version >= row->former_version &&
                      list->known_version < row->version;
    const struct rs_row_encoding encoding =
        RsTableCopy_ChooseEncoding(row, list->known_version > 0 && has_former);
    item.key = row->key;
    if (encoding.patch != NULL) {
        item.base_version = row->former_version;
        item.patch.data = encoding.patch->data;
        item.patch.len = encoding.patch->len;
    }
    else if (encoding.packed != NULL) {
        item.packed.data = encoding.packed->data;
        item.packed.len = encoding.packed->len;
        item.value_bytes = (uint32_t)row->value_bytes;
    }
    else {
        item.value.data = (uint8_t *)row->value;
        item.value.len = row->value_bytes;
    }
    item.version = row->version;
    item.deleted = row->deleted;
    item.kept = row->kept;
    g_array_append_val(list->rows, item);
}

/* Puts the rows of a table into an update. The caller frees `update->rows`
 * with g_free(), and keeps `rows` until then. */
static void
set_rows(Rs__Stream__Update *update, const struct rs_follower *follower,
         GArray *rows)
{
    update->table = (char *)RsFollower_TableName(follower);
    update->n_rows = rows->len;
    update->rows = g_new0(Rs__Stream__Update__Row *, rows->len + 1);
    for (guint i = 0; i < rows->len; i++) {
        update->rows[i] = &g_array_index(rows, Rs__Stream__Update__Row, i);
    }
}

/* Sends the changes of one table that the subscriber does not have. Returns 0,
 * or the error of RsLink_Send(). */
static int
send_update(struct subscriber *subscriber, size_t table)
{
    const struct rs_follower *follower =
        subscriber->stream->options.followers[table];
    const struct rs_table_copy *copy = RsFollower_TableCopy(follower);
    struct row_list list = {
        .rows = g_array_new(FALSE, FALSE, sizeof(Rs__Stream__Update__Row))};
    uint64_t known_version = subscriber->versions[table];
    bool synced = subscriber->synced[table];
    if (!RsTableCopy_IsCompleteSince(copy, known_version) ||
        (!synced && RsFollower_IsSettling(follower))) {
        /* Deletions since then may be unknown, or the subscriber may know only
         * the copy to which the store has gone back. The whole table is sent.
         */
        known_version = 0;
    }
    /* A new subscriber may have got changes from elsewhere that this node has
     * not seen, so it is sent all newer rows, and none as a patch. */
    list.known_version = synced ? known_version : 0;
    list.without_kept =
        subscriber->kept_revisions[table] != copy->kept_revision;
    RsTableCopy_VisitSince(copy, known_version, synced, add_row, &list);
    if (list.without_kept) {
        list.without_kept = false;
        list.known_version = 0;
        RsTableCopy_VisitKept(copy, add_row, &list);
    }
    subscriber->synced[table] = true;
    subscriber->versions[table] = copy->version;
    subscriber->kept_revisions[table] = copy->kept_revision;
    if (list.rows->len == 0 && known_version != 0) {
        g_array_unref(list.rows); /* the next heartbeat carries the version */
        return 0;
    }
    Rs__Stream__Update update = RS__STREAM__UPDATE__INIT;
    update.version = copy->version;
    update.whole = known_version == 0;
    set_rows(&update, follower, list.rows);
    Rs__Stream__Message message = RS__STREAM__MESSAGE__INIT;
    message.message_case = RS__STREAM__MESSAGE__MESSAGE_UPDATE;
    message.update = &update;
    int status = send_message(subscriber->link, &message);
    g_free(update.rows);
    g_array_unref(list.rows);
    return status;
}

static void
free_subscriber(gpointer data)
{
    struct subscriber *subscriber = data;
    g_free(subscriber->host);
    g_free(subscriber);
}

static void
drop_subscriber(struct subscriber *subscriber)
{
    RsLink_Close(subscriber->link);
    g_ptr_array_remove_fast(subscriber->stream->subscribers, subscriber);
}

static bool
has_changes(const struct subscriber *subscriber, size_t table)
{
    const struct rs_follower *follower =
        subscriber->stream->options.followers[table];
    const struct rs_table_copy *copy = RsFollower_TableCopy(follower);
    return RsFollower_FreshAtMs(follower) > 0 &&
           (copy->version > subscriber->versions[table] ||
            copy->kept_revision != subscriber->kept_revisions[table]);
}

/* Sends the subscriber the changes of all tables. Returns false if the
 * subscriber was dropped because sending failed. */
static bool
send_changes(struct subscriber *subscriber)
{
    const struct rs_stream_options *options = &subscriber->stream->options;
    for (size_t i = 0; i < options->follower_count; i++) {
        if (has_changes(subscriber, i) && send_update(subscriber, i) != 0) {
            drop_subscriber(subscriber);
            return false;
        }
    }
    return true;
}

/* Sends the changes of the tables to the subscribers. */
void
RsStream_Publish(struct rs_stream *stream)
{
    for (guint i = stream->subscribers->len; i > 0; i--) {
        struct subscriber *subscriber =
            g_ptr_array_index(stream->subscribers, i - 1);
        if (subscriber->subscribed) {
            send_changes(subscriber);
        }
    }
}

/* Redirects a node to a random one of the first MAX_SUBSCRIBERS nodes that are
 * connected to this one. */
static void
redirect(struct rs_stream *stream, struct rs_link *link)
{
    guint random_index = (guint)g_random_int_range(0, MAX_SUBSCRIBERS);
    const struct subscriber *other =
        g_ptr_array_index(stream->subscribers, random_index);
    Rs__Stream__Redirect redirect = RS__STREAM__REDIRECT__INIT;
    redirect.host = other->host;
    redirect.port = other->port;
    Rs__Stream__Message message = RS__STREAM__MESSAGE__INIT;
    message.message_case = RS__STREAM__MESSAGE__MESSAGE_REDIRECT;
    message.redirect = &redirect;
    send_message(link, &message);
}

static struct rs_follower *
find_follower(const struct rs_stream *stream, const char *table)
{
    for (size_t i = 0; i < stream->options.follower_count; i++) {
        if (strcmp(RsFollower_TableName(stream->options.followers[i]),
                   table) == 0) {
            return stream->options.followers[i];
        }
    }
    return NULL;
}

/* Adopts rows that a subscriber keeps against older ones of the store. */
static void
adopt_kept(struct rs_stream *stream, const Rs__Stream__Subscribe *subscribe)
{
    for (size_t i = 0; i < subscribe->n_kept; i++) {
        const Rs__Stream__Update *update = subscribe->kept[i];
        struct rs_follower *follower = find_follower(stream, update->table);
        if (follower == NULL) {
            continue;
        }
        struct decoded_rows decoded = decode_rows(follower, update);
        if (decoded.applicable) {
            RsFollower_AdoptKept(follower, &decoded.rows);
        }
        free_encodings(&decoded);
        free_rows(&decoded);
    }
}

/* Handles a Subscribe message. A subscriber sends it again when it could not
 * apply an update, or keeps rows that this node doesn't. A new subscriber is
 * redirected if there are too many. Returns 0. */
static int
handle_subscribe(struct subscriber *subscriber,
                 const Rs__Stream__Subscribe *subscribe)
{
    struct rs_stream *stream = subscriber->stream;
    bool resubscribed = subscriber->subscribed;
    if (!resubscribed && stream->subscribers->len > MAX_SUBSCRIBERS) {
        redirect(stream, subscriber->link);
        return 0;
    }
    /* The changes must not be sent, which may drop the subscriber, before all
     * of the message is handled. */
    subscriber->subscribed = false;
    adopt_kept(stream, subscribe);
    subscriber->subscribed = true;
    g_free(subscriber->host);
    subscriber->host = g_strdup(subscribe->host);
    subscriber->port = subscribe->port;
    for (size_t i = 0; i < stream->options.follower_count; i++) {
        const char *table = RsFollower_TableName(stream->options.followers[i]);
        for (size_t k = 0; k < subscribe->n_tables; k++) {
            if (strcmp(table, subscribe->tables[k]->table) == 0) {
                subscriber->versions[i] = subscribe->tables[k]->version;
                subscriber->synced[i] = false;
                subscriber->kept_revisions[i] = 0;
            }
        }
    }
    RsLog_EVENT(RsLog_INFO,
                resubscribed ? "subscriber_started_anew" : "subscriber_joined",
                RsLog_TEXT("node", subscribe->node),
                RsLog_NUMBER("subscribers", stream->subscribers->len));
    stream->next_heartbeat_at_ms = 0;
    return 0;
}

static int
on_subscriber_frame(void *arg, const uint8_t *data, size_t size_bytes)
{
    struct subscriber *subscriber = arg;
    Rs__Stream__Message *message =
        rs__stream__message__unpack(NULL, size_bytes, data);
    int status = RsLink_CLOSED;
    if (message != NULL &&
        message->message_case == RS__STREAM__MESSAGE__MESSAGE_SUBSCRIBE) {
        status = handle_subscribe(subscriber, message->subscribe);
    }
    if (message != NULL) {
        rs__stream__message__free_unpacked(message, NULL);
    }
    return status;
}

static void
on_subscriber_closed(void *arg, int error)
{
    struct subscriber *subscriber = arg;
    g_ptr_array_remove_fast(subscriber->stream->subscribers, subscriber);
}

static const struct rs_link_events subscriber_events = {
    .frame = on_subscriber_frame,
    .closed = on_subscriber_closed,
};

static void
on_accept(void *arg, struct rs_link *link)
{
    struct rs_stream *stream = arg;
    struct subscriber *subscriber = g_new0(struct subscriber, 1);
    subscriber->stream = stream;
    subscriber->link = link;
    RsLink_SetEvents(link, &subscriber_events, subscriber);
    g_ptr_array_add(stream->subscribers, subscriber);
}

/* Sends pending changes and a heartbeat to each subscriber. The heartbeat says
 * how current each table is. */
static void
send_heartbeats(struct rs_stream *stream, int64_t now_ms)
{
    const struct rs_stream_options *options = &stream->options;
    Rs__Stream__Beat__Freshness items[RsStream_MAX_TABLES];
    Rs__Stream__Beat__Freshness *pointers[RsStream_MAX_TABLES];
    Rs__Stream__Beat beat = RS__STREAM__BEAT__INIT;
    for (size_t i = 0; i < options->follower_count; i++) {
        const struct rs_follower *follower = options->followers[i];
        int64_t age_ms = now_ms - RsFollower_FreshAtMs(follower);
        rs__stream__beat__freshness__init(&items[i]);
        items[i].table = (char *)RsFollower_TableName(follower);
        items[i].version = RsFollower_TableCopy(follower)->version;
        items[i].age_ms =
            (uint32_t)CLAMP(age_ms, (int64_t)0, (int64_t)UINT32_MAX);
        pointers[i] = &items[i];
    }
    beat.tables = pointers;
    beat.n_tables = options->follower_count;
    beat.granter = options->granter->holder.incarnation;
    beat.lease_version = options->granter->lease_version;
    beat.sent_ms = (uint64_t)now_ms;
    beat.lost = options->granter->phase == RsGranter_OBSERVING &&
                !stream->upstream_current;
    Rs__Stream__Message message = RS__STREAM__MESSAGE__INIT;
    message.message_case = RS__STREAM__MESSAGE__MESSAGE_BEAT;
    message.beat = &beat;
    for (guint i = stream->subscribers->len; i > 0; i--) {
        struct subscriber *subscriber =
            g_ptr_array_index(stream->subscribers, i - 1);
        if (subscriber->subscribed && send_changes(subscriber) &&
            send_message(subscriber->link, &message) != 0) {
            drop_subscriber(subscriber);
        }
    }
}

/* Receiving changes from the upstream node. */

/* Makes the followers poll the store, or stop polling it. */
static void
set_polling(struct rs_stream *stream, bool enabled)
{
    stream->polls_store = enabled;
    for (size_t i = 0; i < stream->options.follower_count; i++) {
        RsFollower_SetSuspended(stream->options.followers[i], !enabled);
    }
}

/* Records whether the upstream node delivers current data. Does nothing if
 * this has not changed. If data is current, polling of the store stops;
 * otherwise it may start after `poll_delay_ms`. `reason` goes to the log. */
static void
set_upstream_current(struct rs_stream *stream, bool upstream_current,
                     const char *reason, uint32_t poll_delay_ms)
{
    if (stream->upstream_current == upstream_current) {
        return;
    }
    stream->upstream_current = upstream_current;
    RsLog_EVENT(RsLog_INFO, upstream_current ? "stream_found" : "stream_lost",
                RsLog_TEXT("reason", reason),
                RsLog_TEXT("granter", stream->options.granter->holder.node),
                RsLog_TEXT("oldest_table", stream->oldest_table),
                RsLog_NUMBER("age_ms", stream->oldest_age_ms),
                RsLog_NUMBER("late_ms", stream->late_ms));
    stream->poll_delayed_until_ms = RsClock_NowMs() + poll_delay_ms;
    stream->next_heartbeat_at_ms = 0; /* tells the subscribers at once */
    if (upstream_current) {
        set_polling(stream, false);
    }
}

/* Closes the upstream link, if there is one. `reason` goes to the log. */
static void
close_upstream(struct rs_stream *stream, const char *reason)
{
    if (stream->upstream != NULL) {
        RsLink_Close(stream->upstream);
        stream->upstream = NULL;
    }
    stream->upstream_open = false;
    set_upstream_current(stream, false, reason, LOST_POLL_DELAY_MS);
}

/* Sends the upstream node the table versions that this node has, and the rows
 * that it keeps. Returns 0, or the error of RsLink_Send(). */
static int
subscribe(struct rs_stream *stream)
{
    const struct rs_stream_options *options = &stream->options;
    Rs__Stream__Subscribe__Known items[RsStream_MAX_TABLES];
    Rs__Stream__Subscribe__Known *pointers[RsStream_MAX_TABLES];
    Rs__Stream__Update kept[RsStream_MAX_TABLES];
    Rs__Stream__Update *kept_pointers[RsStream_MAX_TABLES];
    struct row_list lists[RsStream_MAX_TABLES];
    Rs__Stream__Subscribe request = RS__STREAM__SUBSCRIBE__INIT;
    for (size_t i = 0; i < options->follower_count; i++) {
        const struct rs_follower *follower = options->followers[i];
        const struct rs_table_copy *copy = RsFollower_TableCopy(follower);
        rs__stream__subscribe__known__init(&items[i]);
        items[i].table = (char *)RsFollower_TableName(follower);
        items[i].version = copy->version;
        pointers[i] = &items[i];
        lists[i] = (struct row_list){
            .rows =
                g_array_new(FALSE, FALSE, sizeof(Rs__Stream__Update__Row))};
        RsTableCopy_VisitKept(copy, add_row, &lists[i]);
        rs__stream__update__init(&kept[i]);
        set_rows(&kept[i], follower, lists[i].rows);
        kept_pointers[request.n_kept] = &kept[i];
        request.n_kept += kept[i].n_rows > 0;
    }
    request.node = (char *)options->node;
    request.host = (char *)options->host;
    request.port = options->port;
    request.tables = pointers;
    request.n_tables = options->follower_count;
    request.kept = kept_pointers;
    Rs__Stream__Message message = RS__STREAM__MESSAGE__INIT;
    message.message_case = RS__STREAM__MESSAGE__MESSAGE_SUBSCRIBE;
    message.subscribe = &request;
    int status = send_message(stream->upstream, &message);
    for (size_t i = 0; i < options->follower_count; i++) {
        g_free(kept[i].rows);
        g_array_unref(lists[i].rows);
    }
    return status;
}

/* Applies an update. If a value can't be decoded, for example because it is a
 * patch of a version that this node does not have, none of the rows are
 * applied. Then, and when the upstream node has rows with older content, this
 * node subscribes again. Returns 0, or the error of RsLink_Send(). Updates of
 * unknown tables are ignored. */
static int
apply_update(struct rs_stream *stream, const Rs__Stream__Update *update)
{
    struct rs_follower *follower = find_follower(stream, update->table);
    if (follower == NULL) {
        return 0;
    }
    struct decoded_rows decoded = decode_rows(follower, update);
    bool outdated = false;
    if (decoded.applicable) {
        /* This call takes ownership of the encodings. */
        outdated = RsFollower_ApplyUpdate(follower, &decoded.rows,
                                          decoded.origins, update->whole);
        if (stream->incomplete_follower == follower) {
            stream->incomplete_follower = NULL;
        }
    }
    else {
        free_encodings(&decoded);
        stream->incomplete_follower = follower;
    }
    bool applicable = decoded.applicable;
    free_rows(&decoded);
    return applicable && !outdated ? 0 : subscribe(stream);
}

/* Handles a heartbeat, unless the rows of an update are missing. The heartbeat
 * shows that the upstream node is current if it comes from the lease holder,
 * directly or through other nodes, and all tables are recent enough. */
static void
handle_heartbeat(struct rs_stream *stream, const Rs__Stream__Beat *beat)
{
    int64_t now_ms = RsClock_NowMs();
    struct rs_granter *granter = stream->options.granter;
    if (stream->incomplete_follower != NULL) {
        return;
    }
    stream->late_ms =
        RsDelay_Lateness(&stream->delay, (int64_t)beat->sent_ms, now_ms);
    stream->oldest_age_ms = 0;
    for (size_t i = 0; i < beat->n_tables; i++) {
        const Rs__Stream__Beat__Freshness *item = beat->tables[i];
        struct rs_follower *follower = find_follower(stream, item->table);
        if (follower == NULL) {
            continue;
        }
        int64_t age_ms = item->age_ms + stream->late_ms;
        if (RsStore_Era(item->version) <
            RsStore_Era(RsFollower_TableCopy(follower)->version)) {
            /* The upstream node doesn't know yet that the store has gone back.
             */
            age_ms = MAX(age_ms, MAX_AGE_MS);
        }
        if (age_ms >= stream->oldest_age_ms) {
            stream->oldest_age_ms = age_ms;
            stream->oldest_table = RsFollower_TableName(follower);
        }
        RsFollower_MarkFresh(follower, item->version, now_ms - age_ms);
    }
    bool current = !beat->lost &&
                   beat->granter == granter->holder.incarnation &&
                   stream->oldest_age_ms < MAX_AGE_MS;
    if (current) {
        stream->current_at_ms = now_ms;
        RsGranter_LeaseRenewed(granter, beat->granter, beat->lease_version,
                               now_ms);
        set_upstream_current(stream, true, "current", 0);
        /* Forward each heartbeat at once, so that delays don't add up. */
        stream->next_heartbeat_at_ms = 0;
    }
    else {
        set_upstream_current(stream, false, "out of date", 0);
    }
}

static int
on_upstream_frame(void *arg, const uint8_t *data, size_t size_bytes)
{
    struct rs_stream *stream = arg;
    Rs__Stream__Message *message =
        rs__stream__message__unpack(NULL, size_bytes, data);
    int status = 0;
    if (message == NULL) {
        return RsLink_CLOSED;
    }
    if (message->message_case == RS__STREAM__MESSAGE__MESSAGE_UPDATE) {
        status = apply_update(stream, message->update);
    }
    else if (message->message_case == RS__STREAM__MESSAGE__MESSAGE_BEAT) {
        handle_heartbeat(stream, message->beat);
    }
    else if (message->message_case == RS__STREAM__MESSAGE__MESSAGE_REDIRECT) {
        g_strlcpy(stream->redirect_host, message->redirect->host,
                  sizeof(stream->redirect_host));
        stream->redirect_port = message->redirect->port;
        stream->next_connect_at_ms = 0;
        status = RsLink_CLOSED;
    }
    rs__stream__message__free_unpacked(message, NULL);
    return status;
}

static void
on_upstream_opened(void *arg)
{
    struct rs_stream *stream = arg;
    stream->upstream_open = true;
    if (subscribe(stream) != 0) {
        close_upstream(stream, "subscribe failed");
    }
}

static void
on_upstream_closed(void *arg, int error)
{
    struct rs_stream *stream = arg;
    stream->upstream = NULL;
    close_upstream(stream, "closed");
}

static const struct rs_link_events upstream_events = {
    .opened = on_upstream_opened,
    .frame = on_upstream_frame,
    .closed = on_upstream_closed,
};

/* Connects to the node named by the last redirect, which is used only once, or
 * else to the lease holder. */
static void
connect_upstream(struct rs_stream *stream, int64_t now_ms)
{
    const struct rs_granter_lease *holder = &stream->options.granter->holder;
    bool redirected = stream->redirect_host[0] != '\0';
    const char *host = redirected ? stream->redirect_host : holder->peer_host;
    uint32_t port = redirected ? stream->redirect_port : holder->peer_port;
    struct rs_link_options options = {
        .loop = stream->options.loop,
        .events = &upstream_events,
        .arg = stream,
        .max_queue_bytes = MAX_QUEUE_BYTES,
    };
    bool valid =
        host[0] != '\0' && uv_ip4_addr(host, (int)port, &options.address) == 0;
    stream->next_connect_at_ms = now_ms + CONNECT_INTERVAL_MS;
    stream->redirect_host[0] = '\0';
    if (!valid) {
        return;
    }
    stream->upstream = RsLink_Connect(&options);
    stream->upstream_granter_incarnation = holder->incarnation;
    stream->delay = (struct rs_delay){0};
    stream->received_bytes = 0;
    stream->received_at_ms = 0;
    stream->incomplete_follower = NULL;
    stream->current_at_ms = now_ms;
}

/* Returns whether to close the upstream connection because nothing current
 * arrived in time. While other data arrives, a large update is being received,
 * and the timeout is longer: the store would have to send the same data over
 * the same link. */
static bool
has_upstream_timed_out(struct rs_stream *stream, int64_t now_ms)
{
    uint64_t bytes = RsLink_ReceivedBytes(stream->upstream);
    if (bytes != stream->received_bytes) {
        stream->received_bytes = bytes;
        stream->received_at_ms = now_ms;
    }
    int64_t last_receipt_at_ms =
        MAX(stream->current_at_ms, stream->received_at_ms);
    return now_ms - last_receipt_at_ms >= HEARTBEAT_TIMEOUT_MS ||
           now_ms - stream->current_at_ms >= BUSY_HEARTBEAT_TIMEOUT_MS;
}

/* Sends heartbeats if they are due, starts polling of the store if that is
 * due, and manages the connection to the upstream node. A node that claims or
 * holds the lease or is shutting down has no upstream node. */
void
RsStream_Tick(struct rs_stream *stream, int64_t now_ms)
{
    const struct rs_granter *granter = stream->options.granter;
    if (now_ms >= stream->next_heartbeat_at_ms && !stream->shutting_down &&
        stream->subscribers->len > 0) {
        stream->next_heartbeat_at_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        send_heartbeats(stream, now_ms);
    }
    bool is_source =
        granter->phase != RsGranter_OBSERVING || stream->shutting_down;
    if (is_source) {
        close_upstream(stream, "this node reads the store");
    }
    if (!stream->knows_holder && granter->holder.node[0] != '\0') {
        stream->knows_holder = true;
        stream->poll_delayed_until_ms =
            MIN(stream->poll_delayed_until_ms,
                now_ms + KNOWN_HOLDER_POLL_DELAY_MS);
    }
    if (!stream->upstream_current && !stream->polls_store &&
        (is_source || now_ms >= stream->poll_delayed_until_ms)) {
        set_polling(stream, true);
    }
    if (is_source) {
        return;
    }
    if (stream->upstream != NULL &&
        stream->upstream_granter_incarnation != granter->holder.incarnation) {
        close_upstream(stream, "granter changed");
        stream->next_connect_at_ms = 0;
    }
    if (stream->upstream != NULL && has_upstream_timed_out(stream, now_ms)) {
        close_upstream(stream, "silent");
    }
    if (stream->upstream == NULL && now_ms >= stream->next_connect_at_ms) {
        connect_upstream(stream, now_ms);
    }
}

/* Closes the connections of all subscribers. */
void
RsStream_DropSubscribers(struct rs_stream *stream)
{
    while (stream->subscribers->len > 0) {
        drop_subscriber(g_ptr_array_index(stream->subscribers, 0));
    }
}

/* Closes the connections of all subscribers. The upstream connection is closed
 * at the next tick. */
void
RsStream_Shutdown(struct rs_stream *stream)
{
    stream->shutting_down = true;
    RsStream_DropSubscribers(stream);
}

/* Returns whether the upstream node delivers current data. */
bool
RsStream_IsUpstreamCurrent(const struct rs_stream *stream)
{
    return stream->upstream_current;
}

/* Returns whether this node's followers are to poll the store. Polling starts
 * at once on a node that claims or holds the lease or is shutting down, and on
 * other nodes when no upstream node has delivered current data for the poll
 * delay. It ends when an upstream node delivers current data. The granter
 * doesn't poll the key ownership table, which it writes itself; see
 * track_upstream() in router/node.c. */
bool
RsStream_PollsStore(const struct rs_stream *stream)
{
    return stream->polls_store;
}

/* Starts to listen for subscribers. Returns NULL if the port can't be opened.
 * The stream lives as long as the process; what `options` points to must too.
 */
struct rs_stream *
RsStream_Open(const struct rs_stream_options *options)
{
    struct rs_stream *stream = g_new0(struct rs_stream, 1);
    struct sockaddr_in address;
    stream->options = *options;
    stream->subscribers = g_ptr_array_new_with_free_func(free_subscriber);
    stream->oldest_table = "";
    stream->poll_delayed_until_ms = RsClock_NowMs() + STARTUP_POLL_DELAY_MS;
    uv_ip4_addr(options->host, (int)options->port, &address);
    if (RsLink_Listen(options->loop, &address, MAX_QUEUE_BYTES, on_accept,
                      stream, &stream->listener) != 0) {
        return NULL;
    }
    return stream;
}
