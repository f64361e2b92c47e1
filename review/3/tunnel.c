/* A node reaches a worker through another node, which is killed while the
 * worker sends an answer without a length. The consumer must not get the part
 * of the answer as a whole one. */

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "review/rig.h"

#define GUIDE_WORKERS 2
#define LIST_WORKERS 4
#define WORKERS (GUIDE_WORKERS + LIST_WORKERS)
#define ROUNDS 8
#define WORK_MS 72
#define PARTS 10
#define PART_BYTES 50000 /* a guide-download has up to 540,000 in all */
#define PART_EVERY_MS 30
#define CUT_MS 300
#define USUAL_PATH "/guides/usual"
#define PATH "/guides/without-length"
/* Between two answers without a length, so that these are 2.5 in 100: 0.05 of
 * the answers of half of the workers. */
#define USUAL_CALLS 39
#define START_WITHIN_MS 25000
#define RESTART_AFTER_MS 500

/* Values of `node_to_kill` that are no node. */
#define NOBODY (-1)
#define KILLING (-2)

static _Atomic int node_to_kill = NOBODY;

/* Answers requests for PATH without a length: the end of the connection is the
 * end of the answer. Others get a short answer with a length. */
static bool
answer(struct rs_rig_conn *conn, const char *id)
{
    static char part[PART_BYTES];
    char head[400];
    if (strncmp(conn->head, "GET " PATH " ", strlen("GET " PATH " ")) != 0) {
        snprintf(head, sizeof(head),
                 "X-Request-Id: %s\r\nX-Server-Signature: sig-%s\r\n", id, id);
        return RsRig_Answer(conn, 200, head, id);
    }
    memset(part, 'g', sizeof(part));
    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: %s\r\n"
             "X-Server-Signature: sig-%s\r\nX-Instance-Id: %s\r\n\r\n",
             id, id, conn->worker->id);
    bool sent = RsRig_Write(conn->fd, head, strlen(head));
    for (int i = 0; i < PARTS && sent; i++) {
        int node = node_to_kill;
        if (i == PARTS / 2 && node >= 0) {
            node_to_kill = KILLING;
            RsRig_KillNode((uint32_t)node);
            node_to_kill = NOBODY;
        }
        sent = RsRig_Write(conn->fd, part, sizeof(part));
        RsRig_Sleep(PART_EVERY_MS);
    }
    RsRig_Record("%s: answer to %s, %d bytes, %s", conn->worker->id, id,
                 PARTS * PART_BYTES, sent ? "whole" : "broken off");
    return false;
}

/* Cuts the connections to the workers of the downloads for a short time, in
 * which a node tries to open one. */
static void
cut_workers(uint32_t node)
{
    struct rs_rig_call call = {.node = node, .path = USUAL_PATH};
    for (uint32_t i = 0; i < GUIDE_WORKERS; i++) {
        RsRig_CutWorker(RsRig_Worker(i), true);
    }
    RsRig_Sleep(CUT_MS);
    RsRig_Call(&call);
    RsRig_Record("consumer: %s status %d during the cut", call.id,
                 call.status);
    for (uint32_t i = 0; i < GUIDE_WORKERS; i++) {
        RsRig_CutWorker(RsRig_Worker(i), false);
    }
}

/* Returns whether the consumer got a part of the answer as a whole one. */
static bool
download(uint32_t node, int killed)
{
    struct rs_rig_call call = {.node = node, .path = PATH};
    node_to_kill = killed;
    RsRig_Call(&call);
    while (node_to_kill == KILLING) {
        RsRig_Sleep(1);
    }
    bool was_killed = node_to_kill == NOBODY && killed >= 0;
    node_to_kill = NOBODY;
    bool broken = call.status == 200 && call.is_signed &&
                  call.looks_complete && call.body_bytes != PARTS * PART_BYTES;
    RsRig_Record("%sconsumer: %s at node %u, status %d, signature %s, %zu of "
                 "%d bytes, length %s, connection %s, looks %s",
                 broken ? "BROKEN: " : "", call.id, node, call.status,
                 call.is_signed ? "yes" : "no", call.body_bytes,
                 PARTS * PART_BYTES, call.has_length ? "stated" : "not stated",
                 call.was_reset ? "reset" : "closed",
                 call.looks_complete ? "complete" : "incomplete");
    if (was_killed) {
        RsRig_Sleep(RESTART_AFTER_MS);
        RsRig_StartNode((uint32_t)killed, false);
    }
    return broken;
}

static void
start(void)
{
    static struct rs_rig_worker workers[WORKERS];
    static char ids[WORKERS][16];
    static const char *const zones[] = {"sul-poa", "sul-cwb", "sul-fln"};
    for (uint32_t i = 0; i < WORKERS; i++) {
        bool guide = i < GUIDE_WORKERS;
        snprintf(ids[i], sizeof(ids[i]), "i-7f3a91c%u", i);
        workers[i] =
            (struct rs_rig_worker){.id = ids[i],
                                   .service = guide ? "guias" : "listas",
                                   .zone = zones[i % 3],
                                   .sharded = !guide,
                                   .work_ms = WORK_MS,
                                   .capacity = 2,
                                   .answer = guide ? answer : NULL};
        RsRig_StartWorker(&workers[i]);
    }
    for (uint32_t i = 0; i < RsRig_NODES; i++) {
        RsRig_StartNode(i, true);
    }
}

static void
await_service(void)
{
    if (!RsRig_AwaitService(USUAL_PATH, NULL, START_WITHIN_MS) ||
        !RsRig_AwaitService("/lists/1", "1", START_WITHIN_MS)) {
        RsRig_End(RsRig_NOT_RUN);
    }
}

int
main(int argc, char **argv)
{
    int breaks = 0;
    if (argc < 2) {
        return RsRig_NOT_RUN;
    }
    RsRig_Open(argv[1]);
    start();
    await_service();
    for (uint32_t round = 0; round < ROUNDS; round++) {
        uint32_t node = round % RsRig_NODES;
        for (uint32_t i = 0; i < USUAL_CALLS; i++) {
            struct rs_rig_call usual = {.node = i % RsRig_NODES,
                                        .path = USUAL_PATH};
            RsRig_Call(&usual);
        }
        if (RsRig_HasTrouble()) {
            cut_workers(node);
        }
        int killed = RsRig_HasTrouble()
                         ? (int)((node + 1 + round % 2) % RsRig_NODES)
                         : NOBODY;
        breaks += download(node, killed);
        await_service();
    }
    RsRig_Record("breaks: %d", breaks);
    RsRig_End(breaks > 0 ? RsRig_BROKEN : RsRig_HELD);
}
