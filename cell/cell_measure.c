/* Prints how the cost of leases grows with the number of slices and members:
 * bytes sent and CPU time of one member, per second while idle and in all
 * while all slices are claimed at once. Time inside the cell is simulated; CPU
 * time is measured and includes encoding and decoding each message. */

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

struct cluster {
    size_t member_count;
    struct rs_cell *cells[RsCell_MAX_MEMBERS + 1];
    int64_t now_ms;
    uint64_t sent_bytes;
    uint64_t sent_frames;
};

static double
cpu_time_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

/* Encodes a message, counts its bytes, and passes the decoded message to its
 * receiver. */
static void
deliver(struct cluster *cluster, struct rs_cell_message *message)
{
    size_t size_bytes;
    struct rs_cell_message decoded;
    uint8_t *frame = RsCellWire_Pack(message, &size_bytes);
    cluster->sent_bytes += size_bytes;
    cluster->sent_frames++;
    Rs__Wire__Peer *peer = rs__wire__peer__unpack(
        NULL, size_bytes - RsFrame_HEADER_BYTES, frame + RsFrame_HEADER_BYTES);
    if (peer == NULL || RsCellWire_Unpack(peer, message->to, &decoded) != 0) {
        abort();
    }
    RsCell_Receive(cluster->cells[message->to], cluster->now_ms, &decoded);
    RsCell_FreeMessage(&decoded);
    rs__wire__peer__free_unpacked(peer, NULL);
    g_free(frame);
}

/* Delivers messages until no member has any left to send. */
static void
deliver_all(struct cluster *cluster)
{
    bool progressed = true;
    while (progressed) {
        progressed = false;
        for (size_t id = 1; id <= cluster->member_count; id++) {
            struct rs_cell_message message;
            struct rs_cell_event event;
            while (RsCell_NextEvent(cluster->cells[id], &event)) {
                progressed = true;
            }
            while (RsCell_NextMessage(cluster->cells[id], &message)) {
                progressed = true;
                deliver(cluster, &message);
                RsCell_FreeMessage(&message);
            }
        }
    }
}

static void
run_for(struct cluster *cluster, int64_t for_ms)
{
    for (int64_t end_ms = cluster->now_ms + for_ms; cluster->now_ms < end_ms;
         cluster->now_ms += TICK_MS) {
        for (size_t id = 1; id <= cluster->member_count; id++) {
            if (RsCell_NextTickAtMs(cluster->cells[id]) <= cluster->now_ms) {
                RsCell_Tick(cluster->cells[id], cluster->now_ms);
            }
        }
        deliver_all(cluster);
    }
}

/* Starts all members of one cell and runs until they may promise. */
static void
start_cluster(struct cluster *cluster, size_t member_count)
{
    struct rs_cell_roster roster = {.version = 1,
                                    .member_count = member_count};
    memset(cluster, 0, sizeof(*cluster));
    cluster->member_count = member_count;
    for (size_t i = 0; i < member_count; i++) {
        roster.members[i] = i + 1;
    }
    for (size_t id = 1; id <= member_count; id++) {
        struct rs_cell_options options = {.self = id,
                                          .incarnation = id,
                                          .lease_ms = LEASE_MS,
                                          .renew_every_ms = RENEW_MS,
                                          .margin_ms = MARGIN_MS};
        cluster->cells[id] = RsCell_New(&options);
        RsCell_SetRoster(cluster->cells[id], 0, &roster);
        RsCell_MarkTableRead(cluster->cells[id]);
    }
    run_for(cluster, 2 * LEASE_MS);
}

/* Prints a line of results for one number of members and slices. */
static void
measure(size_t member_count, uint64_t slice_count)
{
    struct cluster cluster;
    start_cluster(&cluster, member_count);
    cluster.sent_bytes = 0;
    double cpu_before_ms = cpu_time_ms();
    for (uint64_t slice = 1; slice <= slice_count; slice++) {
        size_t id = slice % member_count + 1;
        RsCell_Claim(cluster.cells[id], cluster.now_ms, slice, 1, 0);
    }
    deliver_all(&cluster);
    double claim_cpu_ms = cpu_time_ms() - cpu_before_ms;
    uint64_t claim_bytes = cluster.sent_bytes;
    size_t claim_count = 0;
    for (size_t id = 1; id <= member_count; id++) {
        claim_count +=
            RsCell_ListClaims(cluster.cells[id], cluster.now_ms, NULL, 0);
    }
    cluster.sent_bytes = 0;
    cluster.sent_frames = 0;
    cpu_before_ms = cpu_time_ms();
    run_for(&cluster, IDLE_MS);
    double idle_cpu_ms = cpu_time_ms() - cpu_before_ms;
    double member_seconds = (double)member_count * IDLE_MS / 1000;
    printf("| %zu | %lu | %.0f | %.1f | %.3f | %.0f | %.3f |\n", member_count,
           slice_count, (double)cluster.sent_bytes / member_seconds,
           (double)cluster.sent_frames / member_seconds,
           idle_cpu_ms / member_seconds,
           (double)claim_bytes / (double)member_count,
           claim_cpu_ms / (double)member_count);
    if (claim_count != slice_count) {
        printf("only %zu of %lu claims are held or pending\n", claim_count,
               slice_count);
    }
    for (size_t id = 1; id <= member_count; id++) {
        RsCell_Free(cluster.cells[id]);
    }
}

int
main(void)
{
    static const size_t member_counts[] = {3, 5};
    static const uint64_t slice_counts[] = {50, 200, 1000, 5000, 20000};
    printf("| members | slices in the cell | idle: bytes sent a member and s "
           "| idle: frames a member and s | idle: CPU ms a member and s | "
           "claim of all: bytes sent a member | claim of all: CPU ms a member "
           "|\n|---|---|---|---|---|---|---|\n");
    for (size_t i = 0; i < G_N_ELEMENTS(member_counts); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(slice_counts); j++) {
            measure(member_counts[i], slice_counts[j]);
        }
    }
    return 0;
}
