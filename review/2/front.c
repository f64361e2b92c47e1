/* A node is killed while it sends a consumer the answer of a worker that has
 * stated no length. The consumer must not take what it has got for the whole
 * answer. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/rig.h"

#define WORKERS 3
#define ROUNDS 6
#define WORK_MS 72
#define BODY_BYTES 500000 /* a guide-download has up to 540,000 */
/* The consumer's link: 8 ms one way, with a small window. */
#define READ_BYTES 16384
#define READ_EVERY_MS 16
#define USUAL_PATH "/guides/usual"
#define PATH "/guides/without-length"
/* Between two answers without a length, so that these are 2.5 in 100: 0.05 of
 * the answers of half of the workers. */
#define USUAL_CALLS 39
#define START_WITHIN_MS 25000
#define RESTART_AFTER_MS 500

/* Answers requests for PATH without a length: the end of the connection is the
 * end of the answer. Others get a short answer with a length. */
static bool
answer_without_length(struct rs_rig_conn *conn, const char *id)
{
    static char body[BODY_BYTES];
    char head[400];
    if (strncmp(conn->head, "GET " PATH " ", strlen("GET " PATH " ")) != 0) {
        snprintf(head, sizeof(head),
                 "X-Request-Id: %s\r\nX-Server-Signature: sig-%s\r\n", id, id);
        return RsRig_Answer(conn, 200, head, id);
    }
    memset(body, 'g', sizeof(body));
    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: %s\r\n"
             "X-Server-Signature: sig-%s\r\nX-Instance-Id: %s\r\n\r\n",
             id, id, conn->worker->id);
    bool sent = RsRig_Write(conn->fd, head, strlen(head)) &&
                RsRig_Write(conn->fd, body, sizeof(body));
    RsRig_Record("%s: answer to %s, %d bytes, %s", conn->worker->id, id,
                 BODY_BYTES, sent ? "whole" : "broken off");
    return false;
}

static void
kill_node(struct rs_rig_call *call)
{
    if (RsRig_HasTrouble() && call->body_bytes >= READ_BYTES) {
        RsRig_KillNode(call->node);
    }
}

int
main(int argc, char **argv)
{
    static struct rs_rig_worker workers[WORKERS];
    static const char *const ids[WORKERS] = {"i-7f3a91c0", "i-7f3a91c1",
                                             "i-7f3a91c2"};
    static const char *const zones[] = {"sul-poa", "sul-cwb", "sul-fln"};
    int breaks = 0;
    if (argc < 2) {
        return RsRig_NOT_RUN;
    }
    RsRig_Open(argv[1]);
    for (uint32_t i = 0; i < WORKERS; i++) {
        workers[i] = (struct rs_rig_worker){.id = ids[i],
                                            .service = "guias",
                                            .zone = zones[i],
                                            .work_ms = WORK_MS,
                                            .capacity = 2,
                                            .answer = answer_without_length};
        RsRig_StartWorker(&workers[i]);
    }
    for (uint32_t i = 0; i < RsRig_NODES; i++) {
        RsRig_StartNode(i, true);
    }
    if (!RsRig_AwaitService(USUAL_PATH, NULL, START_WITHIN_MS)) {
        RsRig_End(RsRig_NOT_RUN);
    }
    for (uint32_t round = 0; round < ROUNDS; round++) {
        for (uint32_t i = 0; i < USUAL_CALLS; i++) {
            struct rs_rig_call usual = {.node = i % RsRig_NODES,
                                        .path = USUAL_PATH};
            RsRig_Call(&usual);
        }
        struct rs_rig_call call = {.node = round % RsRig_NODES,
                                   .path = PATH,
                                   .progress = kill_node,
                                   .read_bytes = READ_BYTES,
                                   .read_every_ms = READ_EVERY_MS};
        RsRig_Call(&call);
        bool broken = call.status == 200 && call.is_signed &&
                      call.looks_complete && call.body_bytes != BODY_BYTES;
        RsRig_Record("%sconsumer: %s status %d, signature %s, %zu of %d "
                     "bytes, length %s, connection %s, looks %s",
                     broken ? "BROKEN: " : "", call.id, call.status,
                     call.is_signed ? "yes" : "no", call.body_bytes,
                     BODY_BYTES, call.has_length ? "stated" : "not stated",
                     call.was_reset ? "reset" : "closed",
                     call.looks_complete ? "complete" : "incomplete");
        breaks += broken;
        RsRig_Sleep(RESTART_AFTER_MS);
        if (RsRig_HasTrouble()) {
            RsRig_StartNode(call.node, false);
        }
        if (!RsRig_AwaitService(USUAL_PATH, NULL, START_WITHIN_MS)) {
            RsRig_End(RsRig_NOT_RUN);
        }
    }
    RsRig_Record("breaks: %d", breaks);
    RsRig_End(breaks > 0 ? RsRig_BROKEN : RsRig_HELD);
}
