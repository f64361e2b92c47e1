/* Sends requests to other processes. All requests to one process share a
 * link. */

#ifndef RATTANSHED_DISPATCH_RELAY_CLIENT_H
#define RATTANSHED_DISPATCH_RELAY_CLIENT_H

#include <netinet/in.h>
#include <uv.h>

#include "dispatch/target_request.h"

struct rs_relay_client;
struct rs_relay_stream;

struct rs_relay_client_options {
    uv_loop_t *loop;
    /* Longest time without a message on a link that is ready and has open
     * requests; after it, the link is closed. */
    uint32_t silence_ms;
};

struct rs_relay_client *
RsRelayClient_New(const struct rs_relay_client_options *options);

/* Sends a request, which is copied. Its events are delivered later, never
 * during the call. Events of earlier requests may be delivered during the call
 * if the process has another address now. The request ends as not run when the
 * peer can't be reached, and as unknown when the link breaks after it was
 * sent. Returns the stream, which is freed before its final event or when it
 * is cancelled. */
struct rs_relay_stream *
RsRelayClient_Send(struct rs_relay_client *client, const char *process,
                   const struct sockaddr_in *address,
                   Rs__Relay__Forward *forward,
                   const struct rs_target_request_events *events, void *arg);
void RsRelayClient_Cancel(struct rs_relay_stream *stream);
void RsRelayClient_SendCredit(struct rs_relay_stream *stream,
                              uint32_t size_bytes);

/* Tells whether the backoff time after the last loss of a process's link, or
 * the last failure to open one, is still running. */
bool RsRelayClient_IsBackingOff(const struct rs_relay_client *client,
                                const char *process, int64_t now_ms);
/* Returns the rest of the backoff time, in milliseconds, of a process whose
 * link was lost several times in a row without a message from it, or 0 for any
 * other process. */
uint32_t RsRelayClient_RetryAfterMs(const struct rs_relay_client *client,
                                    const char *process, int64_t now_ms);
void RsRelayClient_Tick(struct rs_relay_client *client, int64_t now_ms);

#endif
