/* Targets and callers whose bytes a test writes itself, for tests of router
 * nodes with odd, broken or slow peers. */

#ifndef RATTANSHED_TESTS_RAW_PEER_H
#define RATTANSHED_TESTS_RAW_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "tests/node_fixture.h"

#define RsRawPeer_MAX_ID_BYTES 64

/* A connection that the target has accepted. */
struct rs_raw_connection {
    uv_tcp_t tcp;
    uv_timer_t timer;
    uv_shutdown_t shutdown;
    const struct rs_raw_target *target;
    char id[RsRawPeer_MAX_ID_BYTES]; /* of the last request */
    uint32_t step;                   /* of the test */
    char *text;                      /* of the test; freed with g_free() */
    bool closing;
};

/* Called for each request, which `connection->id` names. Each read has one
 * whole request: nodes send the next one after the response. */
typedef void (*rs_raw_handler)(struct rs_raw_connection *connection);

struct rs_raw_target_options {
    const char *id;
    const char *service; /* "plain" or "keyed" */
    uint32_t port_offset;
    uint32_t capacity; /* 0: 2 */
    rs_raw_handler handler;
};

struct rs_raw_target {
    struct rs_raw_target_options options;
    uv_tcp_t listener;
};

void RsRawTarget_Open(struct rs_raw_target *target,
                      struct rs_node_fixture *fixture,
                      const struct rs_raw_target_options *options);
void RsRawTarget_Send(struct rs_raw_connection *connection, const char *data,
                      size_t size);
void RsRawTarget_SendText(struct rs_raw_connection *connection,
                          const char *text);
void RsRawTarget_SendHead(struct rs_raw_connection *connection,
                          const char *headers);
void RsRawTarget_End(struct rs_raw_connection *connection);
void RsRawTarget_Close(struct rs_raw_connection *connection);

/* A caller's connection to a node, and all that it has received. */
struct rs_raw_caller {
    struct rs_node_fixture *fixture;
    int fd;
    GString *received;
    bool ended; /* closed by the node, in order or by a reset */
    bool reset;
};

struct rs_raw_pace {
    size_t bytes; /* read at once; 0: all there are */
    int64_t pause_ms;
};

struct rs_raw_caller RsRawCaller_Open(struct rs_node_fixture *fixture,
                                      uint32_t node);
void RsRawCaller_Close(struct rs_raw_caller *caller);
void RsRawCaller_Send(struct rs_raw_caller *caller, const char *text);
bool RsRawCaller_AwaitBytes(struct rs_raw_caller *caller, size_t bytes,
                            const struct rs_raw_pace *pace, int64_t within_ms);
bool RsRawCaller_AwaitEnd(struct rs_raw_caller *caller,
                          const struct rs_raw_pace *pace, int64_t within_ms);

bool RsRawCaller_IsReset(const struct rs_raw_caller *caller);

/* The first response that the caller has received. */
int RsRawCaller_Status(const struct rs_raw_caller *caller);
bool RsRawCaller_LooksComplete(const struct rs_raw_caller *caller);

#endif
