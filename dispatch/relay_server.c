#include "dispatch/relay_server.h"

#include <string.h>

#include "wire/frame.h"
#include "wire/link.h"

#define MAX_QUEUE_BYTES (16u << 20)
#define RETRY_AFTER_FULL_MS 50

struct rs_relay_server {
    struct rs_holder *holder;
    struct rs_link_listener *listener;
    size_t max_streams_per_link; /* per link */
    size_t stream_count;         /* open streams of all sessions */
    GPtrArray *sessions;         /* one for each link */
};

/* A link to another process's front. */
struct session {
    struct rs_relay_server *server;
    struct rs_link *link;
    GHashTable *streams; /* by number; owned */
};

struct stream {
    uint64_t number;
    struct session *session;
    struct rs_target_request *request; /* NULL during RsHolder_Forward() */
    bool ended;                        /* its final event was sent */
};

/* Ends a stream after its final event. A stream that isn't in the table yet is
 * freed by handle_forward(). */
static void
end_stream(struct stream *stream)
{
    stream->ended = true;
    if (stream->request != NULL) {
        g_hash_table_remove(stream->session->streams, &stream->number);
    }
}

/* Sends a message. Aborts the link when its queue is full: the front then ends
 * its open requests, with an unknown outcome or a broken body. */
static void
send_envelope(struct session *session, const Rs__Relay__Envelope *envelope)
{
    if (RsLink_Send(session->link, &envelope->base) == RsLink_QUEUE_FULL) {
        RsLink_Abort(session->link);
    }
}

static void
on_answer_head(void *arg, const Rs__Relay__AnswerHead *head)
{
    struct stream *stream = arg;
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    Rs__Relay__AnswerHead with_stream = *head;
    with_stream.stream = stream->number;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_HEAD;
    envelope.head = &with_stream;
    send_envelope(stream->session, &envelope);
    if (head->outcome != RS__RELAY__OUTCOME__OUTCOME_DONE) {
        end_stream(stream);
    }
}

static void
on_answer_body(void *arg, const void *data, size_t size, bool last,
               bool broken)
{
    struct stream *stream = arg;
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    Rs__Relay__AnswerBody body = RS__RELAY__ANSWER_BODY__INIT;
    body.stream = stream->number;
    body.data.data = (uint8_t *)data;
    body.data.len = size;
    body.last = last;
    body.broken = broken;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_BODY;
    envelope.body = &body;
    send_envelope(stream->session, &envelope);
    if (last) {
        end_stream(stream);
    }
}

static const struct rs_target_request_events answer_events = {
    on_answer_head,
    on_answer_body,
};

/* Refuses a request because its link has too many open streams. */
static void
refuse(struct session *session, uint64_t number)
{
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    head.stream = number;
    head.outcome = RS__RELAY__OUTCOME__OUTCOME_NOT_RUN;
    head.reason = "queue-full";
    head.retry_after_ms = RETRY_AFTER_FULL_MS;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_HEAD;
    envelope.head = &head;
    send_envelope(session, &envelope);
}

/* Forwards a request through the holder. A request above
 * `max_streams_per_link` is refused. Returns 0, or RsFrame_BAD_MESSAGE when
 * the stream number is in use. */
static int
handle_forward(struct session *session, Rs__Relay__Envelope *envelope)
{
    uint64_t number = envelope->forward->stream;
    if (g_hash_table_contains(session->streams, &number)) {
        return RsFrame_BAD_MESSAGE;
    }
    if (g_hash_table_size(session->streams) >=
        session->server->max_streams_per_link) {
        refuse(session, number);
        return 0;
    }
    struct stream *stream = g_new0(struct stream, 1);
    stream->number = number;
    stream->session = session;
    Rs__Relay__Forward *forward = envelope->forward;
    envelope->forward = NULL;
    envelope->message_case = RS__RELAY__ENVELOPE__MESSAGE__NOT_SET;
    struct rs_target_request *request = RsHolder_Forward(
        session->server->holder, forward, &answer_events, stream);
    if (stream->ended || request == NULL) {
        g_free(stream);
        return 0;
    }
    stream->request = request;
    session->server->stream_count++;
    g_hash_table_insert(session->streams, &stream->number, stream);
    return 0;
}

/* Cancels the request of a stream. Does nothing if the stream has ended
 * already. */
static void
handle_cancel(struct session *session, uint64_t number)
{
    struct stream *stream = g_hash_table_lookup(session->streams, &number);
    if (stream != NULL) {
        struct rs_target_request *request = stream->request;
        g_hash_table_remove(session->streams, &number);
        RsHolder_Cancel(session->server->holder, request);
    }
}

static void
handle_credit(struct session *session, const Rs__Relay__Credit *credit)
{
    struct stream *stream =
        g_hash_table_lookup(session->streams, &credit->stream);
    if (stream != NULL) {
        RsHolder_AddCredit(stream->request, credit->bytes);
    }
}

static void
answer_ping(struct session *session)
{
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    Rs__Relay__Ping ping = RS__RELAY__PING__INIT;
    ping.answer = true;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_PING;
    envelope.ping = &ping;
    send_envelope(session, &envelope);
}

/* Handles a message. Returns 0 or RsFrame_BAD_MESSAGE. */
static int
handle_message(struct session *session, Rs__Relay__Envelope *envelope)
{
    switch (envelope->message_case) {
    case RS__RELAY__ENVELOPE__MESSAGE_FORWARD:
        return handle_forward(session, envelope);
    case RS__RELAY__ENVELOPE__MESSAGE_CANCEL:
        handle_cancel(session, envelope->cancel->stream);
        return 0;
    case RS__RELAY__ENVELOPE__MESSAGE_CREDIT:
        handle_credit(session, envelope->credit);
        return 0;
    case RS__RELAY__ENVELOPE__MESSAGE_PING:
        answer_ping(session);
        return 0;
    default:
        return RsFrame_BAD_MESSAGE;
    }
}

static int
on_frame(void *arg, const uint8_t *data, size_t size)
{
    struct session *session = arg;
    Rs__Relay__Envelope *envelope =
        rs__relay__envelope__unpack(NULL, size, data);
    if (envelope == NULL) {
        return RsFrame_BAD_MESSAGE;
    }
    int status = handle_message(session, envelope);
    rs__relay__envelope__free_unpacked(envelope, NULL);
    return status;
}

static void
on_closed(void *arg, int error)
{
    struct session *session = arg;
    GHashTableIter iter;
    gpointer value;
    /* Cancelling a request may end others of this session, which invalidates
     * the iterator. */
    g_hash_table_iter_init(&iter, session->streams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        handle_cancel(session, ((struct stream *)value)->number);
        g_hash_table_iter_init(&iter, session->streams);
    }
    g_hash_table_destroy(session->streams);
    g_ptr_array_remove_fast(session->server->sessions, session);
    g_free(session);
}

static const struct rs_link_events link_events = {
    NULL,
    on_frame,
    on_closed,
};

static void
free_stream(gpointer data)
{
    struct stream *stream = data;
    stream->session->server->stream_count--;
    g_free(stream);
}

static void
on_accept(void *arg, struct rs_link *link)
{
    struct session *session = g_new0(struct session, 1);
    session->server = arg;
    session->link = link;
    session->streams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_stream);
    g_ptr_array_add(session->server->sessions, session);
    RsLink_SetEvents(link, &link_events, session);
}

/* Creates a server and starts to listen. The server is never freed, not even
 * after an error. Returns 0 or RsLink_LISTEN_FAILED. */
int
RsRelayServer_Open(const struct rs_relay_server_options *options,
                   struct rs_relay_server **out)
{
    struct rs_relay_server *server = g_new0(struct rs_relay_server, 1);
    server->holder = options->holder;
    server->max_streams_per_link = options->max_streams_per_link;
    server->sessions = g_ptr_array_new();
    *out = server;
    return RsLink_Listen(options->loop, &options->address, MAX_QUEUE_BYTES,
                         on_accept, server, &server->listener);
}

/* Returns the number of open requests from other fronts. */
size_t
RsRelayServer_StreamCount(const struct rs_relay_server *server)
{
    return server->stream_count;
}

/* Returns the number of bytes sent to other fronts that they have not
 * acknowledged yet, including answers to requests that have ended. */
size_t
RsRelayServer_UnacknowledgedBytes(const struct rs_relay_server *server)
{
    size_t bytes = 0;
    for (guint i = 0; i < server->sessions->len; i++) {
        const struct session *session = g_ptr_array_index(server->sessions, i);
        bytes += RsLink_UnacknowledgedBytes(session->link);
    }
    return bytes;
}
