#include "router/finder.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "core/log.h"
#include "router/finder.pb-c.h"

/* Maximum number of known peers; the most recently added ones are kept. With
 * this many, some are likely to be in contact with the granter even if most
 * nodes are cut off. */
#define MAX_PEERS 32
#define PEERS_ASKED_PER_ROUND 3
/* Short enough for several responses before a lease expires. */
#define ASK_INTERVAL_MS 250
#define MAX_DATAGRAM_BYTES 512

struct rs_finder {
    struct rs_finder_options options;
    uv_udp_t socket;
    uint32_t peers[MAX_PEERS];
    uint32_t peer_count;
    /* Where the next new peer is stored; when the list is full, the index of
     * the one that was added first. */
    uint32_t next_peer;
    int64_t next_ask_at_ms;
};

struct packet {
    uv_udp_send_t send;
    uint8_t data[MAX_DATAGRAM_BYTES];
};

static void
on_sent(uv_udp_send_t *send, int status)
{
    g_free(send->data);
}

static void
send_to(struct rs_finder *finder, const struct sockaddr *address,
        const Rs__Finder__Datagram *datagram)
{
    size_t size = rs__finder__datagram__get_packed_size(datagram);
    if (size > MAX_DATAGRAM_BYTES) {
        RsLog_EVENT(RsLog_WARNING, "finder_datagram_too_large",
                    RsLog_NUMBER("bytes", size));
        return;
    }
    struct packet *packet = g_new0(struct packet, 1);
    rs__finder__datagram__pack(datagram, packet->data);
    uv_buf_t buffer = uv_buf_init((char *)packet->data, (unsigned)size);
    packet->send.data = packet;
    if (uv_udp_send(&packet->send, &finder->socket, &buffer, 1, address,
                    on_sent) != 0) {
        g_free(packet);
    }
}

/* Sends the lease that this node knows. */
static void
send_answer(struct rs_finder *finder, const struct sockaddr *to)
{
    const struct rs_granter *granter = finder->options.granter;
    const struct rs_granter_lease *lease = &granter->holder;
    Rs__Finder__Answer lease_answer = RS__FINDER__ANSWER__INIT;
    lease_answer.node = (char *)lease->node;
    lease_answer.peer_host = (char *)lease->peer_host;
    lease_answer.peer_port = lease->peer_port;
    lease_answer.incarnation = lease->incarnation;
    lease_answer.lease_version = granter->lease_version;
    lease_answer.nodes = lease->nodes;
    lease_answer.strongest = lease->strongest;
    Rs__Finder__Datagram datagram = RS__FINDER__DATAGRAM__INIT;
    datagram.message_case = RS__FINDER__DATAGRAM__MESSAGE_ANSWER;
    datagram.answer = &lease_answer;
    send_to(finder, to, &datagram);
}

/* Reports a lease received from another node through `lease_received`. */
static void
handle_answer(struct rs_finder *finder, const Rs__Finder__Answer *item)
{
    struct rs_granter_lease lease = {
        .peer_port = item->peer_port,
        .incarnation = item->incarnation,
        .nodes = item->nodes,
        .strongest = item->strongest,
    };
    snprintf(lease.node, sizeof(lease.node), "%s", item->node);
    snprintf(lease.peer_host, sizeof(lease.peer_host), "%s", item->peer_host);
    finder->options.events->lease_received(finder->options.arg, &lease,
                                           item->lease_version);
}

static void
on_datagram(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
            const struct sockaddr *from, unsigned flags)
{
    struct rs_finder *finder = socket->data;
    if (size <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0) {
        return;
    }
    Rs__Finder__Datagram *datagram = rs__finder__datagram__unpack(
        NULL, (size_t)size, (const uint8_t *)buffer->base);
    if (datagram == NULL) {
        return;
    }
    if (datagram->message_case == RS__FINDER__DATAGRAM__MESSAGE_ASK) {
        RsFinder_AddPeer(finder,
                         ((const struct sockaddr_in *)from)->sin_addr.s_addr);
        if (finder->options.events->is_granter_reachable(
                finder->options.arg)) {
            send_answer(finder, from);
        }
    }
    else if (datagram->message_case == RS__FINDER__DATAGRAM__MESSAGE_ANSWER) {
        handle_answer(finder, datagram->answer);
    }
    rs__finder__datagram__free_unpacked(datagram, NULL);
}

static void
allocate_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[MAX_DATAGRAM_BYTES];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

/* Adds a peer, if it is new. When the list is full, the new peer replaces the
 * one that was added first. */
void
RsFinder_AddPeer(struct rs_finder *finder, uint32_t address)
{
    for (uint32_t i = 0; i < finder->peer_count; i++) {
        if (finder->peers[i] == address) {
            return;
        }
    }
    finder->peers[finder->next_peer] = address;
    finder->next_peer = (finder->next_peer + 1) % MAX_PEERS;
    finder->peer_count = MIN(finder->peer_count + 1, (uint32_t)MAX_PEERS);
}

/* Sends PEERS_ASKED_PER_ROUND questions, each to a random peer, at most once
 * every ASK_INTERVAL_MS. */
void
RsFinder_Ask(struct rs_finder *finder, int64_t now_ms)
{
    if (now_ms < finder->next_ask_at_ms || finder->peer_count == 0) {
        return;
    }
    finder->next_ask_at_ms = now_ms + ASK_INTERVAL_MS;
    Rs__Finder__Ask ask = RS__FINDER__ASK__INIT;
    ask.incarnation = finder->options.granter->options.incarnation;
    Rs__Finder__Datagram datagram = RS__FINDER__DATAGRAM__INIT;
    datagram.message_case = RS__FINDER__DATAGRAM__MESSAGE_ASK;
    datagram.ask = &ask;
    for (uint32_t i = 0; i < PEERS_ASKED_PER_ROUND; i++) {
        gint32 random_index =
            g_random_int_range(0, (gint32)finder->peer_count);
        const struct sockaddr_in to = {
            .sin_family = AF_INET,
            .sin_port = htons((uint16_t)finder->options.port),
            .sin_addr.s_addr = finder->peers[random_index],
        };
        send_to(finder, (const struct sockaddr *)&to, &datagram);
    }
}

/* Starts to listen for questions and responses of other nodes. Returns NULL if
 * the port can't be opened. The finder lives as long as the process. */
struct rs_finder *
RsFinder_Open(const struct rs_finder_options *options)
{
    struct rs_finder *finder = g_new0(struct rs_finder, 1);
    struct sockaddr_in address;
    finder->options = *options;
    uv_ip4_addr(options->host, (int)options->port, &address);
    uv_udp_init(options->loop, &finder->socket);
    finder->socket.data = finder;
    if (uv_udp_bind(&finder->socket, (const struct sockaddr *)&address, 0) !=
            0 ||
        uv_udp_recv_start(&finder->socket, allocate_buffer, on_datagram) !=
            0) {
        return NULL;
    }
    return finder;
}
