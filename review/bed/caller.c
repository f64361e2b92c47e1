/* Consumers. */

#include "review/bed/bed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

static uint32_t next_id = 1;

static int
send_request(int fd, const struct rs_bed_call *call)
{
    char head[1024];
    char key[64] = "";
    char *body = calloc(1, call->body_bytes + 1);
    memset(body, 'x', call->body_bytes);
    if (call->key >= 0) {
        snprintf(key, sizeof(key), "X-Shard-Key: %lld\r\n",
                 (long long)call->key);
    }
    int size = snprintf(head, sizeof(head),
                        "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                        "X-Deadline-Ms: %lld\r\n%sContent-Length: %zu\r\n\r\n",
                        call->method, call->path, call->host, call->id,
                        (long long)call->deadline_ms, key, call->body_bytes);
    int status = RsBedHttp_SendAll(fd, head, (size_t)size);
    if (status == 0) {
        status = RsBedHttp_SendAll(fd, body, call->body_bytes);
    }
    free(body);
    return status;
}

/* Sends a request on a new connection, under a new id, and waits for its
 * answer or until the consumer's time is over. */
void
RsBedCaller_Call(struct rs_bed_call *call)
{
    const struct rs_bed_node *node = RsBedNodes_Get(call->node);
    struct rs_bed_stream *stream = calloc(1, sizeof(*stream));
    struct rs_bed_message *message = calloc(1, sizeof(*message));
    const struct timeval limit = {(call->deadline_ms + 1000) / 1000, 0};
    char text[256];
    snprintf(call->id, sizeof(call->id), "request-%u",
             __atomic_fetch_add(&next_id, 1, __ATOMIC_SEQ_CST));
    call->status = 0;
    stream->fd = RsBedHttp_Connect(node->host, node->callers_port);
    if (stream->fd >= 0) {
        setsockopt(stream->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        RsBed_Record("consumer sends %s: %s %s key %lld to node %u", call->id,
                     call->method, call->path, (long long)call->key,
                     call->node + 1);
        if (send_request(stream->fd, call) == 0 &&
            RsBedHttp_Read(stream, message) == 0) {
            call->status = message->status;
            call->is_signed = RsBedHttp_Header(message, "x-server-signature",
                                               text, sizeof(text));
            RsBedHttp_Header(message, "x-request-id", call->answer_id,
                             sizeof(call->answer_id));
        }
        close(stream->fd);
    }
    RsBed_Record("consumer gets %d for %s%s", call->status, call->id,
                 call->is_signed ? ", signed" : "");
    RsBedHttp_Clear(message);
    free(message);
    free(stream);
}

static void *
run(void *arg)
{
    RsBedCaller_Call(arg);
    return NULL;
}

/* Does the same in a thread. Returns 0 or -1. */
int
RsBedCaller_Begin(struct rs_bed_call *call, pthread_t *thread)
{
    return pthread_create(thread, NULL, run, call) == 0 ? 0 : -1;
}
