#include "dispatch/relay_client.h"

#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "place/model.h"
#include "wire/frame.h"
#include "wire/link.h"

#define MAX_QUEUE_BYTES (8u << 20)
#define PING_INTERVAL_MS 150
#define MIN_BACKOFF_MS 300
#define MAX_BACKOFF_DOUBLINGS 3u
#define UNREACHABLE_FAILURES 3u
#define READY_TIMEOUT_MS 300 /* until the first message on a new link */
#define IDLE_TIMEOUT_MS 60000

struct rs_relay_client {
    struct rs_relay_client_options options;
    GHashTable *peers; /* by process name; never removed */
    uint64_t last_stream_number;
};

struct peer {
    struct rs_relay_client *client;
    char name[RsModel_NAME_BYTES];
    struct sockaddr_in address;
    struct rs_link *link; /* NULL when there is none */
    bool ready;           /* a message was received on the link */
    GHashTable *streams;  /* by number; doesn't own them */
    /* streams whose request is not sent yet: the link is not ready, or its
     * queue is full */
    GQueue waiting;
    int64_t last_received_at_ms;
    int64_t last_ping_at_ms;
    int64_t last_used_at_ms;
    int64_t backoff_until_ms;
    /* links lost or not opened since the last message received */
    uint32_t link_failures;
};

struct rs_relay_stream {
    uint64_t number;
    struct peer *peer;
    Rs__Relay__Envelope *envelope; /* NULL once it is sent */
    const struct rs_target_request_events *events;
    void *arg;
    bool sent;
    bool head_delivered;
};

/* Creates a client without links. The caller owns the result. */
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

/* Removes a stream from its peer. The caller frees it. */
static void
remove_from_peer(struct rs_relay_stream *stream)
{
    g_queue_remove(&stream->peer->waiting, stream);
    g_hash_table_remove(stream->peer->streams, &stream->number);
}

/* Ends a stream whose link is lost, and frees it. If the head was delivered,
 * the body ends as broken. Otherwise the outcome is "not run" if the request
 * was never sent, and unknown if it was. */
static void
fail_stream(struct rs_relay_stream *stream)
{
    const struct rs_target_request_events *events = stream->events;
    void *arg = stream->arg;
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    bool head_delivered = stream->head_delivered;
    head.outcome = stream->sent ? RS__RELAY__OUTCOME__OUTCOME_UNKNOWN
                                : RS__RELAY__OUTCOME__OUTCOME_NOT_RUN;
    head.reason = "no-link";
    free_stream(stream);
    if (head_delivered) {
        events->body(arg, NULL, 0, true, true);
    }
    else {
        events->head(arg, &head);
    }
}

/* Ends all streams that a peer has now. An event handler may cancel other
 * streams or send new requests, so each stream is looked up again. */
static void
fail_all_streams(struct peer *peer)
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
            remove_from_peer(stream);
            fail_stream(stream);
        }
    }
    g_array_free(numbers, TRUE);
}

/* Handles a link that was lost, given up or could not be opened: starts the
 * backoff time, which doubles with each failure in a row up to a limit, and
 * ends all streams. */
static void
handle_link_loss(struct peer *peer)
{
    peer->link = NULL;
    peer->ready = false;
    int64_t backoff_ms = (int64_t)MIN_BACKOFF_MS
                         << MIN(peer->link_failures, MAX_BACKOFF_DOUBLINGS);
    peer->backoff_until_ms = RsClock_NowMs() + backoff_ms;
    peer->link_failures++;
    fail_all_streams(peer);
}

static void
on_closed(void *arg, int error)
{
    handle_link_loss(arg);
}

/* Sends the request of a stream, or leaves it waiting when the link's queue is
 * full. */
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
    peer->last_ping_at_ms = now_ms;
    RsLink_Send(peer->link, &envelope.base);
}

/* Pings the peer. Requests are sent only after its first message: connections
 * to a paused process are accepted too, by its kernel or by a proxy in
 * between, and a request sent there would end with an unknown outcome though
 * no process received it. */
static void
on_opened(void *arg)
{
    ping(arg, RsClock_NowMs());
}

/* Delivers the head of an answer to its stream. */
static void
deliver_head(struct peer *peer, const Rs__Relay__AnswerHead *head)
{
    struct rs_relay_stream *stream =
        g_hash_table_lookup(peer->streams, &head->stream);
    if (stream == NULL || stream->head_delivered) {
        return;
    }
    const struct rs_target_request_events *events = stream->events;
    void *arg = stream->arg;
    if (head->outcome == RS__RELAY__OUTCOME__OUTCOME_DONE) {
        stream->head_delivered = true;
    }
    else {
        remove_from_peer(stream);
        free_stream(stream);
    }
    events->head(arg, head);
}

/* Delivers a part of a body to its stream. */
static void
deliver_body(struct peer *peer, const Rs__Relay__AnswerBody *body)
{
    struct rs_relay_stream *stream =
        g_hash_table_lookup(peer->streams, &body->stream);
    if (stream == NULL || !stream->head_delivered) {
        return;
    }
    const struct rs_target_request_events *events = stream->events;
    void *arg = stream->arg;
    if (body->last) {
        remove_from_peer(stream);
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
    peer->last_received_at_ms = RsClock_NowMs();
    peer->link_failures = 0;
    if (!peer->ready) {
        peer->ready = true;
        send_waiting(peer);
    }
    if (envelope->message_case == RS__RELAY__ENVELOPE__MESSAGE_HEAD) {
        deliver_head(peer, envelope->head);
    }
    else if (envelope->message_case == RS__RELAY__ENVELOPE__MESSAGE_BODY) {
        deliver_body(peer, envelope->body);
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
    peer->ready = false;
    peer->last_received_at_ms = RsClock_NowMs();
    peer->last_ping_at_ms = peer->last_received_at_ms;
    peer->link = RsLink_Connect(&options);
}

/* Returns the record of a process, added on first use. If the process has
 * another address now, the link is closed, which ends its streams. */
static struct peer *
find_or_add_peer(struct rs_relay_client *client, const char *process,
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
    bool address_changed =
        memcmp(&peer->address, address, sizeof(*address)) != 0;
    if (address_changed && peer->link != NULL) {
        RsLink_Close(peer->link);
        handle_link_loss(peer);
    }
    peer->address = *address;
    return peer;
}

/* Returns a copy of a request in an envelope that the caller owns. */
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

/* Sends a request, or keeps it until the link is ready and its queue has
 * room. Opens the link if there is none. Sets the stream number in `forward`
 * and copies it; `forward` stays the caller's. */
struct rs_relay_stream *
RsRelayClient_Send(struct rs_relay_client *client, const char *process,
                   const struct sockaddr_in *address,
                   Rs__Relay__Forward *forward,
                   const struct rs_target_request_events *events, void *arg)
{
    struct peer *peer = find_or_add_peer(client, process, address);
    struct rs_relay_stream *stream = g_new0(struct rs_relay_stream, 1);
    stream->number = ++client->last_stream_number;
    stream->peer = peer;
    stream->events = events;
    stream->arg = arg;
    forward->stream = stream->number;
    stream->envelope = copy_forward(forward);
    peer->last_used_at_ms = RsClock_NowMs();
    if (g_hash_table_size(peer->streams) == 0) {
        peer->last_received_at_ms = peer->last_used_at_ms;
        peer->last_ping_at_ms = peer->last_used_at_ms;
    }
    g_hash_table_insert(peer->streams, &stream->number, stream);
    if (peer->link == NULL) {
        connect_peer(peer);
    }
    if (peer->ready) {
        send_stream(stream);
    }
    else {
        g_queue_push_tail(&peer->waiting, stream);
    }
    return stream;
}

/* Cancels a request and frees the stream. None of its events follow. */
void
RsRelayClient_Cancel(struct rs_relay_stream *stream)
{
    struct peer *peer = stream->peer;
    if (stream->sent && peer->ready) {
        Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
        Rs__Relay__Cancel cancel = RS__RELAY__CANCEL__INIT;
        cancel.stream = stream->number;
        envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_CANCEL;
        envelope.cancel = &cancel;
        RsLink_Send(peer->link, &envelope.base);
    }
    remove_from_peer(stream);
    free_stream(stream);
}

/* Sends flow-control credit, if the link is ready: `size_bytes` of the
 * answer's body were consumed. */
void
RsRelayClient_SendCredit(struct rs_relay_stream *stream, uint32_t size_bytes)
{
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    Rs__Relay__Credit credit = RS__RELAY__CREDIT__INIT;
    credit.stream = stream->number;
    credit.bytes = size_bytes;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_CREDIT;
    envelope.credit = &credit;
    if (stream->peer->ready) {
        RsLink_Send(stream->peer->link, &envelope.base);
    }
}

/* Tells whether the backoff time after the last loss of a process's link, or
 * the last failure to open one, is still running. */
bool
RsRelayClient_IsBackingOff(const struct rs_relay_client *client,
                           const char *process, int64_t now_ms)
{
    const struct peer *peer = g_hash_table_lookup(client->peers, process);
    return peer != NULL && now_ms < peer->backoff_until_ms;
}

/* Returns the milliseconds left of a process's backoff time, if its link was
 * lost or could not be opened UNREACHABLE_FAILURES or more times in a row
 * without a message from it; otherwise 0. */
uint32_t
RsRelayClient_RetryAfterMs(const struct rs_relay_client *client,
                           const char *process, int64_t now_ms)
{
    const struct peer *peer = g_hash_table_lookup(client->peers, process);
    if (peer == NULL || peer->link_failures < UNREACHABLE_FAILURES ||
        now_ms >= peer->backoff_until_ms) {
        return 0;
    }
    return (uint32_t)(peer->backoff_until_ms - now_ms);
}

/* Runs the periodic work for one peer. If it has unanswered requests: ends
 * them all if the link is missing or has been silent for too long; otherwise,
 * at each ping interval, pings the peer, if the link is ready, and tries again
 * to send the waiting streams. If it has none: closes a link that has been
 * unused for long. */
static void
tick_peer(struct peer *peer, int64_t now_ms)
{
    bool busy = g_hash_table_size(peer->streams) > 0;
    int64_t timeout_ms =
        peer->ready ? peer->client->options.silence_ms : READY_TIMEOUT_MS;
    bool silent = now_ms - peer->last_received_at_ms > timeout_ms;
    if (busy && (silent || peer->link == NULL)) {
        if (peer->link != NULL) {
            RsLink_Close(peer->link);
        }
        handle_link_loss(peer);
    }
    else if (busy && peer->ready &&
             now_ms - peer->last_ping_at_ms >= PING_INTERVAL_MS) {
        ping(peer, now_ms);
        send_waiting(peer);
    }
    else if (!busy && peer->link != NULL &&
             now_ms - peer->last_used_at_ms > IDLE_TIMEOUT_MS) {
        RsLink_Close(peer->link);
        peer->link = NULL;
        peer->ready = false;
    }
}

/* Pings the peers that have unanswered requests, sends waiting streams, and
 * closes links that are silent or unused. Must be called every few
 * milliseconds. */
void
RsRelayClient_Tick(struct rs_relay_client *client, int64_t now_ms)
{
    /* The list is copied because event handlers may add peers. */
    GList *peers = g_hash_table_get_values(client->peers);
    for (GList *link = peers; link != NULL; link = link->next) {
        tick_peer(link->data, now_ms);
    }
    g_list_free(peers);
}
