/* Prints how the cost of leases grows with slices and members: bytes on the
 * wire and processor time of one member and second, idle and while all slices
 * are claimed at once. Time inside the cell is simulated; processor time is
 * measured and includes packing and unpacking every message. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cell/cell.h"
#include "cell/cell_wire.h"
#include "wire/frame.h"

#define LEASE_MS 900
#define RENEW_MS 250
#define MARGIN_MS 50
#define TICK_MS 10
#define IDLE_MS 20000

struct net {
    size_t members;
    struct rs_cell *cells[RsCell_MAX_MEMBERS + 1];
    int64_t now_ms;
    uint64_t bytes;
    uint64_t frames;
};

static double
processor_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void
carry(struct net *net, struct rs_cell_message *message)
{
    size_t size_bytes;
    struct rs_cell_message copy;
    uint8_t *frame = RsCellWire_Pack(message, &size_bytes);
    net->bytes += size_bytes;
    net->frames++;
    Rs__Wire__Peer *peer = rs__wire__peer__unpack(
        NULL, size_bytes - RsFrame_HEADER_BYTES, frame + RsFrame_HEADER_BYTES);
    if (peer == NULL || RsCellWire_Unpack(peer, message->to, &copy) != 0) {
        abort();
    }
    RsCell_Receive(net->cells[message->to], net->now_ms, &copy);
    RsCell_FreeMessage(&copy);
    rs__wire__peer__free_unpacked(peer, NULL);
    g_free(frame);
}

static void
settle(struct net *net)
{
    bool busy = true;
    while (busy) {
        busy = false;
        for (size_t id = 1; id <= net->members; id++) {
            struct rs_cell_message message;
            struct rs_cell_event event;
            while (RsCell_NextEvent(net->cells[id], &event)) {
                busy = true;
            }
            while (RsCell_NextMessage(net->cells[id], &message)) {
                busy = true;
                carry(net, &message);
                RsCell_FreeMessage(&message);
            }
        }
    }
}

static void
run(struct net *net, int64_t for_ms)
{
    for (int64_t end_ms = net->now_ms + for_ms; net->now_ms < end_ms;
         net->now_ms += TICK_MS) {
        for (size_t id = 1; id <= net->members; id++) {
            if (RsCell_NextTickMs(net->cells[id]) <= net->now_ms) {
                RsCell_Tick(net->cells[id], net->now_ms);
            }
        }
        settle(net);
    }
}

static void
start(struct net *net, size_t members)
{
    struct rs_cell_roster roster = {.version = 1, .member_count = members};
    memset(net, 0, sizeof(*net));
    net->members = members;
    for (size_t i = 0; i < members; i++) {
        roster.members[i] = i + 1;
    }
    for (size_t id = 1; id <= members; id++) {
        struct rs_cell_options options = {.self = id,
                                          .incarnation = id,
                                          .lease_ms = LEASE_MS,
                                          .renew_every_ms = RENEW_MS,
                                          .margin_ms = MARGIN_MS};
        net->cells[id] = RsCell_New(&options);
        RsCell_SetRoster(net->cells[id], 0, &roster);
        RsCell_TableWasRead(net->cells[id]);
    }
    run(net, 2 * LEASE_MS);
}

static void
measure(size_t members, uint64_t slices)
{
    struct net net;
    start(&net, members);
    net.bytes = 0;
    double before_ms = processor_ms();
    for (uint64_t slice = 1; slice <= slices; slice++) {
        size_t id = slice % members + 1;
        RsCell_Claim(net.cells[id], net.now_ms, slice, 1, 0);
    }
    settle(&net);
    double claim_ms = processor_ms() - before_ms;
    uint64_t claim_bytes = net.bytes;
    size_t held = 0;
    for (size_t id = 1; id <= members; id++) {
        held += RsCell_ListHeld(net.cells[id], net.now_ms, NULL, 0);
    }
    net.bytes = 0;
    net.frames = 0;
    before_ms = processor_ms();
    run(&net, IDLE_MS);
    double idle_ms = processor_ms() - before_ms;
    double member_s = (double)members * IDLE_MS / 1000;
    printf("| %zu | %lu | %.0f | %.1f | %.3f | %.0f | %.3f |\n", members,
           slices, (double)net.bytes / member_s, (double)net.frames / member_s,
           idle_ms / member_s, (double)claim_bytes / (double)members,
           claim_ms / (double)members);
    if (held != slices) {
        printf("only %zu of %lu slices were held\n", held, slices);
    }
    for (size_t id = 1; id <= members; id++) {
        RsCell_Free(net.cells[id]);
    }
}

int
main(void)
{
    static const size_t members[] = {3, 5};
    static const uint64_t slices[] = {50, 200, 1000, 5000, 20000};
    printf("| members | slices in the cell | idle: bytes sent a member and s "
           "| idle: frames a member and s | idle: CPU ms a member and s | "
           "claim of all: bytes sent a member | claim of all: CPU ms a member "
           "|\n|---|---|---|---|---|---|---|\n");
    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(slices); j++) {
            measure(members[i], slices[j]);
        }
    }
    return 0;
}
