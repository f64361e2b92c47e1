#include "control/peers.h"

#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "place/model.h"
#include "wire/frame.h"
#include "wire/link.h"

#define PROTOCOL_VERSION 1
#define MAX_QUEUE_BYTES (512u << 10)
#define RECONNECT_DELAY_MS 100
#define CONNECT_TIMEOUT_MS 1000

struct rs_peers {
    struct rs_peers_options options;
    char self[RsModel_NAME_BYTES];
    struct rs_link_listener *listener;
    GHashTable *outgoing; /* name to struct outgoing */
};

struct outgoing {
    struct rs_peers *peers;
    char name[RsModel_NAME_BYTES];
    struct sockaddr_in address;
    struct rs_link *link; /* NULL when there is none */
    bool open;
    int64_t connect_not_before_ms; /* no new connection before this time */
    int64_t connect_deadline_ms;   /* when connecting counts as failed */
};

struct incoming {
    struct rs_peers *peers;
    struct rs_link *link;
    char name[RsModel_NAME_BYTES]; /* empty until the Hello message */
};

static int
accept_hello(struct incoming *incoming, const Rs__Wire__Peer *message)
{
    if (message->message_case != RS__WIRE__PEER__MESSAGE_HELLO ||
        message->hello->protocol != PROTOCOL_VERSION ||
        message->hello->name[0] == '\0') {
        return RsFrame_BAD_MESSAGE;
    }
    g_strlcpy(incoming->name, message->hello->name, sizeof(incoming->name));
    return 0;
}

static int
on_incoming_frame(void *arg, const uint8_t *data, size_t size)
{
    struct incoming *incoming = arg;
    struct rs_peers *peers = incoming->peers;
    Rs__Wire__Peer *message = rs__wire__peer__unpack(NULL, size, data);
    int status = 0;
    if (message == NULL) {
        return RsFrame_BAD_MESSAGE;
    }
    if (incoming->name[0] == '\0') {
        status = accept_hello(incoming, message);
    }
    else {
        peers->options.handler(peers->options.arg, incoming->name, message);
    }
    rs__wire__peer__free_unpacked(message, NULL);
    return status;
}

static void
on_incoming_closed(void *arg, int error)
{
    g_free(arg);
}

static const struct rs_link_events incoming_events = {
    NULL,
    on_incoming_frame,
    on_incoming_closed,
};

static void
on_accept(void *arg, struct rs_link *link)
{
    struct incoming *incoming = g_new0(struct incoming, 1);
    incoming->peers = arg;
    incoming->link = link;
    RsLink_SetEvents(link, &incoming_events, incoming);
}

/* Opens the listener. The object lives as long as the process. Returns 0 or
 * RsLink_LISTEN_FAILED. */
int
RsPeers_Open(const struct rs_peers_options *options, struct rs_peers **out)
{
    struct rs_peers *peers = g_new0(struct rs_peers, 1);
    peers->options = *options;
    g_strlcpy(peers->self, options->self, sizeof(peers->self));
    peers->outgoing = g_hash_table_new(g_str_hash, g_str_equal);
    *out = peers;
    return RsLink_Listen(options->loop, &options->address, MAX_QUEUE_BYTES,
                         on_accept, peers, &peers->listener);
}

static void
on_opened(void *arg)
{
    struct outgoing *outgoing = arg;
    Rs__Wire__Peer message = RS__WIRE__PEER__INIT;
    Rs__Wire__Hello hello = RS__WIRE__HELLO__INIT;
    hello.name = outgoing->peers->self;
    hello.incarnation = outgoing->peers->options.incarnation;
    hello.protocol = PROTOCOL_VERSION;
    message.message_case = RS__WIRE__PEER__MESSAGE_HELLO;
    message.hello = &hello;
    outgoing->open = true;
    RsLink_Send(outgoing->link, &message.base);
}

/* The accepting process never sends on a link, so any frame is an error. */
static int
on_outgoing_frame(void *arg, const uint8_t *data, size_t size)
{
    return RsFrame_BAD_MESSAGE;
}

static void
forget_link(struct outgoing *outgoing)
{
    outgoing->link = NULL;
    outgoing->open = false;
    outgoing->connect_not_before_ms = RsClock_NowMs() + RECONNECT_DELAY_MS;
}

static void
on_outgoing_closed(void *arg, int error)
{
    forget_link(arg);
}

static const struct rs_link_events outgoing_events = {
    on_opened,
    on_outgoing_frame,
    on_outgoing_closed,
};

static void
close_link(struct outgoing *outgoing)
{
    if (outgoing->link != NULL) {
        RsLink_Close(outgoing->link);
        forget_link(outgoing);
    }
}

static struct outgoing *
find_outgoing(struct rs_peers *peers, const char *name,
              const struct sockaddr_in *address)
{
    struct outgoing *outgoing = g_hash_table_lookup(peers->outgoing, name);
    if (outgoing == NULL) {
        outgoing = g_new0(struct outgoing, 1);
        outgoing->peers = peers;
        g_strlcpy(outgoing->name, name, sizeof(outgoing->name));
        g_hash_table_insert(peers->outgoing, outgoing->name, outgoing);
    }
    if (memcmp(&outgoing->address, address, sizeof(*address)) != 0) {
        close_link(outgoing);
        outgoing->address = *address;
        outgoing->connect_not_before_ms = 0;
    }
    return outgoing;
}

static void
open_link(struct outgoing *outgoing, int64_t now_ms)
{
    struct rs_link_options options = {
        .loop = outgoing->peers->options.loop,
        .address = outgoing->address,
        .events = &outgoing_events,
        .arg = outgoing,
        .max_queue_bytes = MAX_QUEUE_BYTES,
    };
    outgoing->connect_not_before_ms = now_ms + RECONNECT_DELAY_MS;
    outgoing->connect_deadline_ms = now_ms + CONNECT_TIMEOUT_MS;
    outgoing->link = RsLink_Connect(&options);
}

/* Sends a packed frame if the link is open. Otherwise drops the frame and
 * starts to connect, unless that is in progress or less than
 * RECONNECT_DELAY_MS have passed since the last start of connecting or the
 * last close. After RsPeers_Reset() of an open link, or a change of address,
 * there is no delay. A link whose send queue is full is closed. */
void
RsPeers_SendFrame(struct rs_peers *peers, const char *name,
                  const struct sockaddr_in *address, uint8_t *data,
                  size_t size_bytes)
{
    int64_t now_ms = RsClock_NowMs();
    struct outgoing *outgoing = find_outgoing(peers, name, address);
    if (outgoing->link != NULL && !outgoing->open &&
        now_ms >= outgoing->connect_deadline_ms) {
        close_link(outgoing);
    }
    if (outgoing->link == NULL && now_ms >= outgoing->connect_not_before_ms) {
        open_link(outgoing, now_ms);
    }
    if (!outgoing->open) {
        g_free(data);
        return;
    }
    int status = RsLink_SendFrame(outgoing->link, data, size_bytes);
    if (status == RsLink_QUEUE_FULL) {
        close_link(outgoing);
    }
    else if (status == RsLink_TOO_LARGE) {
        RsLog_EVENT(RsLog_ERROR, "peer_message_too_large",
                    RsLog_TEXT("peer", name));
    }
}

/* Packs a message and sends it like RsPeers_SendFrame(). */
void
RsPeers_Send(struct rs_peers *peers, const char *name,
             const struct sockaddr_in *address, const Rs__Wire__Peer *message)
{
    size_t size = 0;
    uint8_t *data = RsFrame_Pack(&message->base, &size);
    RsPeers_SendFrame(peers, name, address, data, size);
}

/* Closes an open link, so that the next message opens it anew. Call this
 * function when the peer has been silent for long. */
void
RsPeers_Reset(struct rs_peers *peers, const char *name)
{
    struct outgoing *outgoing = g_hash_table_lookup(peers->outgoing, name);
    if (outgoing != NULL && outgoing->open) {
        close_link(outgoing);
        outgoing->connect_not_before_ms = 0;
    }
}
