/* Sends requests to other processes over links, one link a process, many
 * requests on each. */

#ifndef RATTANSHED_DISPATCH_RELAY_CLIENT_H
#define RATTANSHED_DISPATCH_RELAY_CLIENT_H

#include <netinet/in.h>
#include <uv.h>

#include "dispatch/work.h"

struct rs_relay_client;
struct rs_relay_stream;

struct rs_relay_client_options {
    uv_loop_t *loop;
    uint32_t silence_ms; /* of a peer that is asked, before it is given up */
};

struct rs_relay_client *
RsRelayClient_New(const struct rs_relay_client_options *options);

/* Sends a request, which is copied. The events follow later, never during
 * the call: also when the peer can't be reached (not run) or its link breaks
 * (unknown). Returns the open stream, which is gone after its last event or
 * after it is cancelled. */
struct rs_relay_stream *RsRelayClient_Send(struct rs_relay_client *client,
                                           const char *process,
                                           const struct sockaddr_in *address,
                                           Rs__Relay__Forward *forward,
                                           const struct rs_work_events *events,
                                           void *arg);
void RsRelayClient_Cancel(struct rs_relay_stream *stream);
void RsRelayClient_Credit(struct rs_relay_stream *stream, uint32_t size_bytes);

/* Tells whether the last try to reach a process failed a moment ago. */
bool RsRelayClient_IsDown(const struct rs_relay_client *client,
                          const char *process, int64_t now_ms);
/* Tells in how many ms a process is to be tried again that could not be
 * reached several times in a row; 0 for any other. */
uint32_t RsRelayClient_BackInMs(const struct rs_relay_client *client,
                                const char *process, int64_t now_ms);
void RsRelayClient_Tick(struct rs_relay_client *client, int64_t now_ms);

#endif
