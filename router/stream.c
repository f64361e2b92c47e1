#include "router/stream.h"

#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/delay.h"
#include "router/pack.h"
#include "router/patch.h"
#include "router/stream.pb-c.h"
#include "wire/link.h"

#define BEAT_EVERY_MS 200
/* Three beats. The store is asked then, well within the 2 s in which a change
 * must be in force. */
#define SILENT_MS 700
/* The same while bytes of something else come. */
#define SILENT_MOST_MS 2000
/* News that is older is asked for at the store, within the 2 s in which a
 * change must be in force. The granter's longest call, two beats on the way
 * and a slow store take less. */
#define STALE_MS 1500
#define CONNECT_EVERY_MS 300
/* When a system starts for the first time, most nodes find one that feeds them
 * within a second; until then they leave the store to that one. */
#define START_HOLD_MS 1200
/* A node that feeds others may end; another is found in this time. */
#define LOST_HOLD_MS 250
/* A node that starts connects to the holder of the lease and is told all
 * within a few round trips. When all started at once, the holder is none any
 * more. */
#define FIND_HOLD_MS 60
/* More are sent on to one of these. 3,500 nodes are fed in three steps. */
#define MAX_SUBSCRIBERS 24
#define MAX_QUEUE_BYTES (4 * 1024 * 1024)

struct subscriber {
    struct rs_stream *stream;
    struct rs_link *link;
    char *host;
    uint32_t port;
    bool known; /* it has said what it has */
    uint64_t versions[RsStream_MAX_TABLES];
    bool joined[RsStream_MAX_TABLES]; /* it has what this node has */
};

struct rs_stream {
    struct rs_stream_options options;
    struct rs_link_listener *listener;
    GPtrArray *subscribers;
    struct rs_link *upstream;
    uint64_t upstream_granter; /* whom this link was opened for */
    char redirect_host[64];
    uint32_t redirect_port;
    bool open;
    bool fed;
    bool asks_store; /* no other node feeds this one */
    int64_t hold_until_ms;
    bool knows_holder; /* a lease was seen, so that there is one to look for */
    /* Its rows were asked for anew; beats don't count until they came. */
    const struct rs_follower *incomplete;
    bool leaving;
    int64_t heard_ms;        /* last beat that was up to date */
    uint64_t received_bytes; /* by the link so far */
    int64_t received_ms;     /* the last of them */
    struct rs_delay delay;   /* of the link's beats */
    /* By the last beat. */
    int64_t late_ms;
    int64_t oldest_age_ms;
    const char *oldest_table;
    int64_t next_beat_ms;
    int64_t next_connect_ms;
};

/* Feeding others. */

static int
send_message(struct rs_link *link, Rs__Stream__Message *message)
{
    return RsLink_Send(link, &message->base);
}

struct row_list {
    GArray *rows; /* Rs__Stream__Update__Row */
    /* Up to which the receiver has what this node had; 0: not known. */
    uint64_t told;
};

static void
add_row(void *arg, struct rs_known_row *row)
{
    struct row_list *list = arg;
    Rs__Stream__Update__Row item = RS__STREAM__UPDATE__ROW__INIT;
    bool has_former =
        list->told >= row->former_version && list->told < row->version;
    const struct rs_rows_form form =
        RsRows_Form(row, list->told > 0 && has_former);
    item.key = row->key;
    if (form.patch != NULL) {
        item.base_version = row->former_version;
        item.patch.data = form.patch->data;
        item.patch.len = form.patch->len;
    }
    else if (form.packed != NULL) {
        item.packed.data = form.packed->data;
        item.packed.len = form.packed->len;
        item.value_bytes = (uint32_t)row->value_bytes;
    }
    else {
        item.value.data = (uint8_t *)row->value;
        item.value.len = row->value_bytes;
    }
    item.version = row->version;
    item.deleted = row->deleted;
    g_array_append_val(list->rows, item);
}

static int
send_update(struct subscriber *subscriber, size_t table)
{
    const struct rs_follower *follower =
        subscriber->stream->options.followers[table];
    const struct rs_rows *mirror = RsFollower_Rows(follower);
    struct row_list list = {
        .rows = g_array_new(FALSE, FALSE, sizeof(Rs__Stream__Update__Row))};
    uint64_t told = subscriber->versions[table];
    if (!RsRows_KnowsSince(mirror, told)) {
        told =
            0; /* it may have rows that are gone, of which nothing is known */
    }
    /* A new subscriber may have learnt of changes that this node did not see,
     * so that it gets all newer rows. */
    bool joined = subscriber->joined[table];
    list.told = joined ? told : 0;
    RsRows_Since(mirror, told, joined, add_row, &list);
    subscriber->joined[table] = true;
    subscriber->versions[table] = mirror->version;
    if (list.rows->len == 0 && told != 0) {
        g_array_unref(list.rows); /* the next beat tells the version */
        return 0;
    }
    Rs__Stream__Update__Row **pointers =
        g_new0(Rs__Stream__Update__Row *, list.rows->len + 1);
    for (guint i = 0; i < list.rows->len; i++) {
        pointers[i] = &g_array_index(list.rows, Rs__Stream__Update__Row, i);
    }
    Rs__Stream__Update update = RS__STREAM__UPDATE__INIT;
    update.table = (char *)RsFollower_Table(follower);
    update.version = mirror->version;
    update.whole = told == 0;
    update.n_rows = list.rows->len;
    update.rows = pointers;
    Rs__Stream__Message message = RS__STREAM__MESSAGE__INIT;
    message.message_case = RS__STREAM__MESSAGE__MESSAGE_UPDATE;
    message.update = &update;
    int status = send_message(subscriber->link, &message);
    g_free(pointers);
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

/* Returns false when the subscriber was dropped. */
static bool
tell_changes(struct subscriber *subscriber)
{
    const struct rs_stream_options *options = &subscriber->stream->options;
    for (size_t i = 0; i < options->follower_count; i++) {
        const struct rs_follower *follower = options->followers[i];
        if (RsFollower_FreshAtMs(follower) > 0 &&
            RsFollower_Rows(follower)->version > subscriber->versions[i] &&
            send_update(subscriber, i) != 0) {
            drop_subscriber(subscriber);
            return false;
        }
    }
    return true;
}

/* Tells the subscribers what changed in the tables. */
void
RsStream_Publish(struct rs_stream *stream)
{
    for (guint i = stream->subscribers->len; i > 0; i--) {
        struct subscriber *subscriber =
            g_ptr_array_index(stream->subscribers, i - 1);
        if (subscriber->known) {
            tell_changes(subscriber);
        }
    }
}

static void
redirect(struct rs_stream *stream, struct rs_link *link)
{
    guint turn = (guint)g_random_int_range(0, MAX_SUBSCRIBERS);
    const struct subscriber *other =
        g_ptr_array_index(stream->subscribers, turn);
    Rs__Stream__Redirect redirect = RS__STREAM__REDIRECT__INIT;
    redirect.host = other->host;
    redirect.port = other->port;
    Rs__Stream__Message message = RS__STREAM__MESSAGE__INIT;
    message.message_case = RS__STREAM__MESSAGE__MESSAGE_REDIRECT;
    message.redirect = &redirect;
    send_message(link, &message);
}

static int
take_subscribe(struct subscriber *subscriber,
               const Rs__Stream__Subscribe *subscribe)
{
    struct rs_stream *stream = subscriber->stream;
    bool again = subscriber->known; /* it could not use what it was told */
    if (!again && stream->subscribers->len > MAX_SUBSCRIBERS) {
        redirect(stream, subscriber->link);
        return 0;
    }
    subscriber->known = true;
    g_free(subscriber->host);
    subscriber->host = g_strdup(subscribe->host);
    subscriber->port = subscribe->port;
    for (size_t i = 0; i < stream->options.follower_count; i++) {
        const char *table = RsFollower_Table(stream->options.followers[i]);
        for (size_t k = 0; k < subscribe->n_tables; k++) {
            if (strcmp(table, subscribe->tables[k]->table) == 0) {
                subscriber->versions[i] = subscribe->tables[k]->version;
                subscriber->joined[i] = false;
            }
        }
    }
    RsLog_EVENT(RsLog_INFO,
                again ? "subscriber_started_anew" : "subscriber_joined",
                RsLog_TEXT("node", subscribe->node),
                RsLog_NUMBER("subscribers", stream->subscribers->len));
    stream->next_beat_ms = 0;
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
        status = take_subscribe(subscriber, message->subscribe);
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

static void
send_beats(struct rs_stream *stream, int64_t now_ms)
{
    const struct rs_stream_options *options = &stream->options;
    Rs__Stream__Beat__Freshness items[RsStream_MAX_TABLES];
    Rs__Stream__Beat__Freshness *pointers[RsStream_MAX_TABLES];
    Rs__Stream__Beat beat = RS__STREAM__BEAT__INIT;
    for (size_t i = 0; i < options->follower_count; i++) {
        const struct rs_follower *follower = options->followers[i];
        int64_t age_ms = now_ms - RsFollower_FreshAtMs(follower);
        rs__stream__beat__freshness__init(&items[i]);
        items[i].table = (char *)RsFollower_Table(follower);
        items[i].version = RsFollower_Rows(follower)->version;
        items[i].age_ms =
            (uint32_t)CLAMP(age_ms, (int64_t)0, (int64_t)UINT32_MAX);
        pointers[i] = &items[i];
    }
    beat.tables = pointers;
    beat.n_tables = options->follower_count;
    beat.granter = options->granter->holder.incarnation;
    beat.lease_version = options->granter->lease_version;
    beat.sent_ms = (uint64_t)now_ms;
    beat.lost = options->granter->phase == RsGranter_OBSERVING && !stream->fed;
    Rs__Stream__Message message = RS__STREAM__MESSAGE__INIT;
    message.message_case = RS__STREAM__MESSAGE__MESSAGE_BEAT;
    message.beat = &beat;
    for (guint i = stream->subscribers->len; i > 0; i--) {
        struct subscriber *subscriber =
            g_ptr_array_index(stream->subscribers, i - 1);
        if (subscriber->known && tell_changes(subscriber) &&
            send_message(subscriber->link, &message) != 0) {
            drop_subscriber(subscriber);
        }
    }
}

/* Being fed. */

static struct rs_follower *
find_follower(const struct rs_stream *stream, const char *table)
{
    for (size_t i = 0; i < stream->options.follower_count; i++) {
        if (strcmp(RsFollower_Table(stream->options.followers[i]), table) ==
            0) {
            return stream->options.followers[i];
        }
    }
    return NULL;
}

static void
ask_store(struct rs_stream *stream, bool ask)
{
    stream->asks_store = ask;
    for (size_t i = 0; i < stream->options.follower_count; i++) {
        RsFollower_SetFed(stream->options.followers[i], !ask);
    }
}

static void
set_fed(struct rs_stream *stream, bool fed, const char *reason,
        uint32_t hold_ms)
{
    if (stream->fed == fed) {
        return;
    }
    stream->fed = fed;
    RsLog_EVENT(RsLog_INFO, fed ? "stream_found" : "stream_lost",
                RsLog_TEXT("reason", reason),
                RsLog_TEXT("granter", stream->options.granter->holder.node),
                RsLog_TEXT("oldest_table", stream->oldest_table),
                RsLog_NUMBER("age_ms", stream->oldest_age_ms),
                RsLog_NUMBER("late_ms", stream->late_ms));
    stream->hold_until_ms = RsClock_NowMs() + hold_ms;
    stream->next_beat_ms = 0; /* those that this node feeds learn it now */
    if (fed) {
        ask_store(stream, false);
    }
}

static void
close_upstream(struct rs_stream *stream, const char *reason)
{
    if (stream->upstream != NULL) {
        RsLink_Close(stream->upstream);
        stream->upstream = NULL;
    }
    stream->open = false;
    set_fed(stream, false, reason, LOST_HOLD_MS);
}

/* Tells the feeding node what this one has. */
static int
subscribe(struct rs_stream *stream)
{
    const struct rs_stream_options *options = &stream->options;
    Rs__Stream__Subscribe__Known items[RsStream_MAX_TABLES];
    Rs__Stream__Subscribe__Known *pointers[RsStream_MAX_TABLES];
    Rs__Stream__Subscribe known = RS__STREAM__SUBSCRIBE__INIT;
    for (size_t i = 0; i < options->follower_count; i++) {
        rs__stream__subscribe__known__init(&items[i]);
        items[i].table = (char *)RsFollower_Table(options->followers[i]);
        items[i].version = RsFollower_Rows(options->followers[i])->version;
        pointers[i] = &items[i];
    }
    known.node = (char *)options->node;
    known.host = (char *)options->host;
    known.port = options->port;
    known.tables = pointers;
    known.n_tables = options->follower_count;
    Rs__Stream__Message message = RS__STREAM__MESSAGE__INIT;
    message.message_case = RS__STREAM__MESSAGE__MESSAGE_SUBSCRIBE;
    message.subscribe = &known;
    return send_message(stream->upstream, &message);
}

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

static GByteArray *
copy_bytes(const ProtobufCBinaryData *bytes)
{
    if (bytes->len == 0) {
        return NULL;
    }
    GByteArray *copy = g_byte_array_sized_new((guint)bytes->len);
    return g_byte_array_append(copy, bytes->data, (guint)bytes->len);
}

/* Returns the value of a row that was told, which the caller frees, or NULL
 * when it can't be read, or is a patch of something else than this node has.
 */
static char *
value_of(const struct rs_follower *follower,
         const Rs__Stream__Update__Row *row)
{
    if (row->packed.len > 0) {
        return RsPack_Open(row->packed.data, row->packed.len,
                           row->value_bytes);
    }
    if (row->patch.len == 0) {
        return terminated_copy(&row->value);
    }
    const struct rs_known_row *known =
        RsRows_Find(RsFollower_Rows(follower), row->key);
    if (known == NULL || known->deleted ||
        known->version != row->base_version) {
        return NULL;
    }
    return RsPatch_Apply(known->value, row->patch.data, row->patch.len);
}

/* Takes changes. When a patch does not fit, as this node has learnt something
 * else from the store, what it misses is asked for. */
static int
take_update(struct rs_stream *stream, const Rs__Stream__Update *update)
{
    struct rs_follower *follower = find_follower(stream, update->table);
    if (follower == NULL) {
        return 0;
    }
    bool fits = true;
    struct rs_follower_forms *forms =
        g_new0(struct rs_follower_forms, update->n_rows + 1);
    struct rs_store_rows rows = {
        .rows = g_new0(struct rs_store_row, update->n_rows + 1),
        .count = update->n_rows,
        .version = update->version,
    };
    for (size_t i = 0; i < update->n_rows; i++) {
        const Rs__Stream__Update__Row *row = update->rows[i];
        rows.rows[i] = (struct rs_store_row){
            .table = update->table,
            .key = row->key,
            .value = value_of(follower, row),
            .version = row->version,
            .deleted = row->deleted,
        };
        if (rows.rows[i].value == NULL) {
            RsLog_EVENT(RsLog_WARNING, "patch_refused",
                        RsLog_TEXT("key", row->key),
                        RsLog_NUMBER("version", row->version),
                        RsLog_NUMBER("base_version", row->base_version));
            fits = false;
            continue;
        }
        rows.rows[i].value_bytes = strlen(rows.rows[i].value);
        forms[i].packed = copy_bytes(&row->packed);
        forms[i].patch = copy_bytes(&row->patch);
    }
    if (!fits) {
        stream->incomplete = follower;
    }
    else if (stream->incomplete == follower) {
        stream->incomplete = NULL;
    }
    if (fits) {
        /* Takes over the forms. */
        RsFollower_Feed(follower, &rows, forms, update->whole);
    }
    for (size_t i = 0; i < rows.count; i++) {
        g_free(rows.rows[i].value);
    }
    for (size_t i = 0; i < rows.count && !fits; i++) {
        g_clear_pointer(&forms[i].packed, g_byte_array_unref);
        g_clear_pointer(&forms[i].patch, g_byte_array_unref);
    }
    g_free(forms);
    g_free(rows.rows);
    return fits ? 0 : subscribe(stream);
}

/* A beat counts when it comes from the node with the lease, or through
 * others, and what it tells of is up to date. */
static void
take_beat(struct rs_stream *stream, const Rs__Stream__Beat *beat)
{
    int64_t now_ms = RsClock_NowMs();
    struct rs_granter *granter = stream->options.granter;
    if (stream->incomplete != NULL) {
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
        if (age_ms >= stream->oldest_age_ms) {
            stream->oldest_age_ms = age_ms;
            stream->oldest_table = RsFollower_Table(follower);
        }
        RsFollower_NoteFresh(follower, item->version, now_ms - age_ms);
    }
    bool current = !beat->lost &&
                   beat->granter == granter->holder.incarnation &&
                   stream->oldest_age_ms < STALE_MS;
    if (current) {
        stream->heard_ms = now_ms;
        RsGranter_LeaseHeard(granter, beat->granter, beat->lease_version,
                             now_ms);
        set_fed(stream, true, "current", 0);
        /* Each beat is passed on without a wait of its own. */
        stream->next_beat_ms = 0;
    }
    else {
        set_fed(stream, false, "out of date", 0);
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
        status = take_update(stream, message->update);
    }
    else if (message->message_case == RS__STREAM__MESSAGE__MESSAGE_BEAT) {
        take_beat(stream, message->beat);
    }
    else if (message->message_case == RS__STREAM__MESSAGE__MESSAGE_REDIRECT) {
        g_strlcpy(stream->redirect_host, message->redirect->host,
                  sizeof(stream->redirect_host));
        stream->redirect_port = message->redirect->port;
        stream->next_connect_ms = 0;
        status = RsLink_CLOSED;
    }
    rs__stream__message__free_unpacked(message, NULL);
    return status;
}

static void
on_upstream_opened(void *arg)
{
    struct rs_stream *stream = arg;
    stream->open = true;
    if (subscribe(stream) != 0) {
        close_upstream(stream, "not taken");
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
    stream->next_connect_ms = now_ms + CONNECT_EVERY_MS;
    stream->redirect_host[0] = '\0';
    if (!valid) {
        return;
    }
    stream->upstream = RsLink_Connect(&options);
    stream->upstream_granter = holder->incarnation;
    stream->delay = (struct rs_delay){0};
    stream->received_bytes = 0;
    stream->received_ms = 0;
    stream->incomplete = NULL;
    stream->heard_ms = now_ms;
}

/* Tells whether the feeding node is to be given up. While bytes come,
 * something large is on its way, and the store would send the same over the
 * same link. */
static bool
is_silent(struct rs_stream *stream, int64_t now_ms)
{
    uint64_t bytes = RsLink_ReceivedBytes(stream->upstream);
    if (bytes != stream->received_bytes) {
        stream->received_bytes = bytes;
        stream->received_ms = now_ms;
    }
    int64_t alive_ms = MAX(stream->heard_ms, stream->received_ms);
    return now_ms - alive_ms >= SILENT_MS ||
           now_ms - stream->heard_ms >= SILENT_MOST_MS;
}

/* Sends beats, and looks after the link to the feeding node. */
void
RsStream_Tick(struct rs_stream *stream, int64_t now_ms)
{
    const struct rs_granter *granter = stream->options.granter;
    if (now_ms >= stream->next_beat_ms && !stream->leaving &&
        stream->subscribers->len > 0) {
        stream->next_beat_ms = now_ms + BEAT_EVERY_MS;
        send_beats(stream, now_ms);
    }
    bool reads = granter->phase != RsGranter_OBSERVING || stream->leaving;
    if (reads) {
        close_upstream(stream, "this node reads the store");
    }
    if (!stream->knows_holder && granter->holder.node[0] != '\0') {
        stream->knows_holder = true;
        stream->hold_until_ms =
            MIN(stream->hold_until_ms, now_ms + FIND_HOLD_MS);
    }
    if (!stream->fed && !stream->asks_store &&
        (reads || now_ms >= stream->hold_until_ms)) {
        ask_store(stream, true);
    }
    if (reads) {
        return;
    }
    if (stream->upstream != NULL &&
        stream->upstream_granter != granter->holder.incarnation) {
        close_upstream(stream, "another granter");
        stream->next_connect_ms = 0;
    }
    if (stream->upstream != NULL && is_silent(stream, now_ms)) {
        close_upstream(stream, "silent");
    }
    if (stream->upstream == NULL && now_ms >= stream->next_connect_ms) {
        connect_upstream(stream, now_ms);
    }
}

/* Ends the links of all subscribers. */
void
RsStream_DropAll(struct rs_stream *stream)
{
    while (stream->subscribers->len > 0) {
        drop_subscriber(g_ptr_array_index(stream->subscribers, 0));
    }
}

/* Ends all links for good. */
void
RsStream_Leave(struct rs_stream *stream)
{
    stream->leaving = true;
    RsStream_DropAll(stream);
}

/* Tells whether another node feeds this one. */
bool
RsStream_IsFed(const struct rs_stream *stream)
{
    return stream->fed;
}

/* Tells whether the followers have been told to ask the store: neither another
 * node feeds this one, nor is one likely to be found soon. */
bool
RsStream_AsksStore(const struct rs_stream *stream)
{
    return stream->asks_store;
}

/* Listens for subscribers. Returns NULL when the port can't be had. */
struct rs_stream *
RsStream_Open(const struct rs_stream_options *options)
{
    struct rs_stream *stream = g_new0(struct rs_stream, 1);
    struct sockaddr_in address;
    stream->options = *options;
    stream->subscribers = g_ptr_array_new_with_free_func(free_subscriber);
    stream->oldest_table = "";
    stream->hold_until_ms = RsClock_NowMs() + START_HOLD_MS;
    uv_ip4_addr(options->host, (int)options->port, &address);
    if (RsLink_Listen(options->loop, &address, MAX_QUEUE_BYTES, on_accept,
                      stream, &stream->listener) != 0) {
        return NULL;
    }
    return stream;
}
