#include "dispatch/relay_client.h"

#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "place/model.h"
#include "wire/frame.h"
#include "wire/link.h"

#define MAX_QUEUE_BYTES (8u << 20)
#define PING_EVERY_MS 150
#define DOWN_MS 300
#define MAX_DOUBLINGS 3u
#define UNREACHABLE_FAILURES 3u
#define OPEN_WITHIN_MS 300 /* also the first word of the process */
#define IDLE_CLOSE_MS 60000

struct rs_relay_client {
    struct rs_relay_client_options options;
    GHashTable *peers; /* by process name */
    uint64_t next_stream;
};

struct peer {
    struct rs_relay_client *client;
    char name[RsModel_NAME_BYTES];
    struct sockaddr_in address;
    struct rs_link *link; /* NULL when there is none */
    bool open;            /* the process at its end has spoken */
    GHashTable *streams;  /* by number */
    GQueue waiting;       /* streams to be sent once the link is open */
    int64_t heard_at_ms;
    int64_t pinged_at_ms;
    int64_t used_at_ms;
    int64_t down_until_ms;
    uint32_t failures; /* since it was heard last */
};

struct rs_relay_stream {
    uint64_t number;
    struct peer *peer;
    Rs__Relay__Envelope *envelope; /* until it is sent */
    const struct rs_work_events *events;
    void *arg;
    bool sent;
    bool head_passed;
};

/* Makes a client without links. */
struct rs_relay_client *
RsRelayClient_New(const struct rs_relay_client_options *options)
{
    struct rs_relay_client *client = g_new0(struct rs_relay_client, 1);
    client->options = *options;
    client->peers = g_hash_table_new(g_str_hash, g_str_equal);
    return client;
}

static void
free_stream(struct rs_relay_stream *stream)
{
    if (stream->envelope != NULL) {
        rs__relay__envelope__free_unpacked(stream->envelope, NULL);
    }
    g_free(stream);
}

/* Takes a stream off its peer; the caller frees it. */
static void
detach(struct rs_relay_stream *stream)
{
    g_queue_remove(&stream->peer->waiting, stream);
    g_hash_table_remove(stream->peer->streams, &stream->number);
}

/* Ends a stream whose link is gone. */
static void
break_stream(struct rs_relay_stream *stream)
{
    const struct rs_work_events *events = stream->events;
    void *arg = stream->arg;
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    bool head_passed = stream->head_passed;
    head.outcome = stream->sent ? RS__RELAY__OUTCOME__OUTCOME_UNKNOWN
                                : RS__RELAY__OUTCOME__OUTCOME_NOT_RUN;
    head.reason = "no-link";
    free_stream(stream);
    if (head_passed) {
        events->body(arg, NULL, 0, true, true);
    }
    else {
        events->head(arg, &head);
    }
}

/* What one stream's end sets off may cancel others, or begin new ones. */
static void
break_all(struct peer *peer)
{
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, peer->streams);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        g_array_append_vals(numbers, key, 1);
    }
    for (guint i = 0; i < numbers->len; i++) {
        struct rs_relay_stream *stream = g_hash_table_lookup(
            peer->streams, &g_array_index(numbers, uint64_t, i));
        if (stream != NULL) {
            detach(stream);
            break_stream(stream);
        }
    }
    g_array_free(numbers, TRUE);
}

static void
lose_link(struct peer *peer)
{
    peer->link = NULL;
    peer->open = false;
    int64_t down_ms = (int64_t)DOWN_MS << MIN(peer->failures, MAX_DOUBLINGS);
    peer->down_until_ms = RsClock_NowMs() + down_ms;
    peer->failures++;
    break_all(peer);
}

static void
on_closed(void *arg, int error)
{
    lose_link(arg);
}

static void
send_stream(struct rs_relay_stream *stream)
{
    struct peer *peer = stream->peer;
    int status = RsLink_Send(peer->link, &stream->envelope->base);
    if (status == 0) {
        stream->sent = true;
        rs__relay__envelope__free_unpacked(stream->envelope, NULL);
        stream->envelope = NULL;
    }
    else {
        g_queue_push_tail(&peer->waiting, stream);
    }
}

static void
send_waiting(struct peer *peer)
{
    guint count = g_queue_get_length(&peer->waiting);
    for (guint i = 0; i < count; i++) {
        send_stream(g_queue_pop_head(&peer->waiting));
    }
}

static void
ping(struct peer *peer, int64_t now_ms)
{
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    Rs__Relay__Ping message = RS__RELAY__PING__INIT;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_PING;
    envelope.ping = &message;
    peer->pinged_at_ms = now_ms;
    RsLink_Send(peer->link, &envelope.base);
}

/* A connection is also accepted for a process that is paused, or by something
 * in between: requests wait until the process itself has answered, since one
 * that was sent to nobody would have an unknown outcome. */
static void
on_opened(void *arg)
{
    ping(arg, RsClock_NowMs());
}

static void
take_head(struct peer *peer, const Rs__Relay__AnswerHead *head)
{
    struct rs_relay_stream *stream =
        g_hash_table_lookup(peer->streams, &head->stream);
    if (stream == NULL || stream->head_passed) {
        return;
    }
    const struct rs_work_events *events = stream->events;
    void *arg = stream->arg;
    if (head->outcome == RS__RELAY__OUTCOME__OUTCOME_DONE) {
        stream->head_passed = true;
    }
    else {
        detach(stream);
        free_stream(stream);
    }
    events->head(arg, head);
}

static void
take_body(struct peer *peer, const Rs__Relay__AnswerBody *body)
{
    struct rs_relay_stream *stream =
        g_hash_table_lookup(peer->streams, &body->stream);
    if (stream == NULL || !stream->head_passed) {
        return;
    }
    const struct rs_work_events *events = stream->events;
    void *arg = stream->arg;
    if (body->last) {
        detach(stream);
        free_stream(stream);
    }
    events->body(arg, body->data.data, body->data.len, body->last,
                 body->broken);
}

static int
on_frame(void *arg, const uint8_t *data, size_t size)
{
    struct peer *peer = arg;
    Rs__Relay__Envelope *envelope =
        rs__relay__envelope__unpack(NULL, size, data);
    if (envelope == NULL) {
        return RsFrame_BAD_MESSAGE;
    }
    peer->heard_at_ms = RsClock_NowMs();
    peer->failures = 0;
    if (!peer->open) {
        peer->open = true;
        send_waiting(peer);
    }
    if (envelope->message_case == RS__RELAY__ENVELOPE__MESSAGE_HEAD) {
        take_head(peer, envelope->head);
    }
    else if (envelope->message_case == RS__RELAY__ENVELOPE__MESSAGE_BODY) {
        take_body(peer, envelope->body);
    }
    rs__relay__envelope__free_unpacked(envelope, NULL);
    return 0;
}

static const struct rs_link_events link_events = {
    on_opened,
    on_frame,
    on_closed,
};

static void
connect_peer(struct peer *peer)
{
    struct rs_link_options options = {
        .loop = peer->client->options.loop,
        .address = peer->address,
        .events = &link_events,
        .arg = peer,
        .max_queue_bytes = MAX_QUEUE_BYTES,
    };
    peer->open = false;
    peer->heard_at_ms = RsClock_NowMs();
    peer->pinged_at_ms = peer->heard_at_ms;
    peer->link = RsLink_Connect(&options);
}

static struct peer *
find_peer(struct rs_relay_client *client, const char *process,
          const struct sockaddr_in *address)
{
    struct peer *peer = g_hash_table_lookup(client->peers, process);
    if (peer == NULL) {
        peer = g_new0(struct peer, 1);
        peer->client = client;
        g_strlcpy(peer->name, process, sizeof(peer->name));
        peer->streams = g_hash_table_new(g_int64_hash, g_int64_equal);
        g_queue_init(&peer->waiting);
        g_hash_table_insert(client->peers, peer->name, peer);
    }
    bool moved = memcmp(&peer->address, address, sizeof(*address)) != 0;
    if (moved && peer->link != NULL) {
        RsLink_Close(peer->link);
        lose_link(peer);
    }
    peer->address = *address;
    return peer;
}

static Rs__Relay__Envelope *
copy_forward(Rs__Relay__Forward *forward)
{
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_FORWARD;
    envelope.forward = forward;
    size_t size = rs__relay__envelope__get_packed_size(&envelope);
    uint8_t *data = g_malloc(size);
    rs__relay__envelope__pack(&envelope, data);
    Rs__Relay__Envelope *copy = rs__relay__envelope__unpack(NULL, size, data);
    g_free(data);
    return copy;
}

/* Sends a request, or keeps it until the link is open. */
struct rs_relay_stream *
RsRelayClient_Send(struct rs_relay_client *client, const char *process,
                   const struct sockaddr_in *address,
                   Rs__Relay__Forward *forward,
                   const struct rs_work_events *events, void *arg)
{
    struct peer *peer = find_peer(client, process, address);
    struct rs_relay_stream *stream = g_new0(struct rs_relay_stream, 1);
    stream->number = ++client->next_stream;
    stream->peer = peer;
    stream->events = events;
    stream->arg = arg;
    forward->stream = stream->number;
    stream->envelope = copy_forward(forward);
    peer->used_at_ms = RsClock_NowMs();
    if (g_hash_table_size(peer->streams) == 0) {
        peer->heard_at_ms = peer->used_at_ms;
        peer->pinged_at_ms = peer->used_at_ms;
    }
    g_hash_table_insert(peer->streams, &stream->number, stream);
    if (peer->link == NULL) {
        connect_peer(peer);
    }
    if (peer->open) {
        send_stream(stream);
    }
    else {
        g_queue_push_tail(&peer->waiting, stream);
    }
    return stream;
}

/* Ends a stream without any event. */
void
RsRelayClient_Cancel(struct rs_relay_stream *stream)
{
    struct peer *peer = stream->peer;
    if (stream->sent && peer->open) {
        Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
        Rs__Relay__Cancel cancel = RS__RELAY__CANCEL__INIT;
        cancel.stream = stream->number;
        envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_CANCEL;
        envelope.cancel = &cancel;
        RsLink_Send(peer->link, &envelope.base);
    }
    detach(stream);
    free_stream(stream);
}

/* Tells the peer that so many bytes of the body were taken. */
void
RsRelayClient_Credit(struct rs_relay_stream *stream, uint32_t size_bytes)
{
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    Rs__Relay__Credit credit = RS__RELAY__CREDIT__INIT;
    credit.stream = stream->number;
    credit.bytes = size_bytes;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_CREDIT;
    envelope.credit = &credit;
    if (stream->peer->open) {
        RsLink_Send(stream->peer->link, &envelope.base);
    }
}

/* Tells whether a process was found unreachable within the last moment. */
bool
RsRelayClient_IsDown(const struct rs_relay_client *client, const char *process,
                     int64_t now_ms)
{
    const struct peer *peer = g_hash_table_lookup(client->peers, process);
    return peer != NULL && now_ms < peer->down_until_ms;
}

/* Returns the time that is left of the pause after its last failure. */
uint32_t
RsRelayClient_BackInMs(const struct rs_relay_client *client,
                       const char *process, int64_t now_ms)
{
    const struct peer *peer = g_hash_table_lookup(client->peers, process);
    if (peer == NULL || peer->failures < UNREACHABLE_FAILURES ||
        now_ms >= peer->down_until_ms) {
        return 0;
    }
    return (uint32_t)(peer->down_until_ms - now_ms);
}

static void
tick_peer(struct peer *peer, int64_t now_ms)
{
    bool busy = g_hash_table_size(peer->streams) > 0;
    int64_t patience_ms =
        peer->open ? peer->client->options.silence_ms : OPEN_WITHIN_MS;
    bool silent = now_ms - peer->heard_at_ms > patience_ms;
    if (busy && (silent || peer->link == NULL)) {
        if (peer->link != NULL) {
            RsLink_Close(peer->link);
        }
        lose_link(peer);
    }
    else if (busy && peer->open &&
             now_ms - peer->pinged_at_ms >= PING_EVERY_MS) {
        ping(peer, now_ms);
        send_waiting(peer);
    }
    else if (!busy && peer->link != NULL &&
             now_ms - peer->used_at_ms > IDLE_CLOSE_MS) {
        RsLink_Close(peer->link);
        peer->link = NULL;
        peer->open = false;
    }
}

/* Asks peers that owe answers whether they are there, and gives up silent
 * ones; called every few milliseconds. */
void
RsRelayClient_Tick(struct rs_relay_client *client, int64_t now_ms)
{
    /* What a broken stream sets off may add peers. */
    GList *peers = g_hash_table_get_values(client->peers);
    for (GList *link = peers; link != NULL; link = link->next) {
        tick_peer(link->data, now_ms);
    }
    g_list_free(peers);
}
