/* An HTTP/1.1 client connection on a libuv loop, with one request in flight at
 * a time. Connection pools and retries are up to the caller. */

#ifndef RATTANSHED_HTTP_CONNECTION_H
#define RATTANSHED_HTTP_CONNECTION_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "core/error.h"

/* In a CONNECT request: the IPv4 address of the node that asks. */
#define RsHttp_TUNNEL_USER "tunnel-user"
#define RsHttp_READ_BYTES 65536 /* maximum size of one `body` call */
/* Limits of a response head. RsHttp_MAX_HEAD_BYTES counts the header names and
 * values, each with a null byte at its end. */
#define RsHttp_MAX_HEADERS 48
#define RsHttp_MAX_HEAD_BYTES 32768

enum rs_http_error {
    RsHttp_CONNECT_FAILED = RsError_HTTP - 1,
    RsHttp_CLOSED = RsError_HTTP - 2, /* closed by the peer, or not kept alive
                                         after a skipped response */
    RsHttp_RESET = RsError_HTTP - 3,  /* a read or write failed */
    RsHttp_MALFORMED = RsError_HTTP - 4, /* also a head above the limits, or a
                                            status outside of 100 to 599 */
    RsHttp_UNSOLICITED = RsError_HTTP - 5, /* bytes of no request */
    RsHttp_BAD_ADDRESS = RsError_HTTP - 6,
    RsHttp_TUNNEL_REFUSED = RsError_HTTP - 7, /* the tunnel takes no more */
    RsHttp_TUNNEL_FAILED = RsError_HTTP - 8,  /* it can't reach the address */
    RsHttp_TOO_LARGE = RsError_HTTP - 9       /* a body above its limit */
};

struct rs_http_header {
    const char *name;
    const char *value;
};

/* The status and headers of a response. Valid only during the `head` call. */
struct rs_http_head {
    int status;
    int64_t length; /* Content-Length; -1 if there is none */
    bool chunked;   /* if false and length is -1, the body, if any, ends when
                       the connection is closed */
    const struct rs_http_header *headers;
    size_t header_count;
};

struct rs_http_connection;

/* Callbacks of one connection. `connected` is called when the first request
 * can be sent. `head`, `body` (any number of times) and `end` are called for
 * each response that is not an interim one (1xx); see also
 * RsHttp_SkipResponse(). `keep_alive` tells whether
 * the connection can take another request. `closed` is called once when the
 * connection fails or is closed by the peer, but not after RsHttp_Close(). The
 * connection must not be used after `closed` or RsHttp_Close(). */
struct rs_http_events {
    void (*connected)(void *arg);
    void (*head)(void *arg, const struct rs_http_head *head);
    void (*body)(void *arg, const char *data, size_t size_bytes);
    void (*end)(void *arg, bool keep_alive);
    void (*closed)(void *arg, int error);
};

struct rs_http_options {
    uv_loop_t *loop;
    struct sockaddr_in address;
    /* Server that is asked with CONNECT for a tunnel to `address`; with family
     * 0 the connection is direct. */
    struct sockaddr_in via;
    /* IPv4 address, in network byte order, at which that server reaches this
     * process; 0: it is not named. */
    uint32_t own_address;
    const struct rs_http_events *events;
    void *arg;
    /* Sets SO_LINGER to 0, so that closing the connection, also by the exit of
     * the process, discards unsent data, which thus can't arrive later. */
    bool reset_on_close;
    /* A response with a larger body fails with RsHttp_TOO_LARGE; 0: any size.
     */
    uint64_t max_body_bytes;
};

struct rs_http_request {
    const char *method;
    const char *path;
    const struct rs_http_header *headers;
    size_t header_count;
    const void *body;
    size_t body_bytes;
    /* The body stays valid until `end`, `closed` or RsHttp_Close(), so that it
     * need not be copied. */
    bool keeps_body;
};

int RsHttp_ParseAddress(const char *host, uint16_t port,
                        struct sockaddr_in *address);
struct rs_http_connection *RsHttp_Open(const struct rs_http_options *options);
void RsHttp_ResetSocketOnClose(int fd, bool reset);
void RsHttp_ResetOnClose(uv_tcp_t *tcp, bool reset);
bool RsHttp_IsReset(const uv_tcp_t *tcp);
void RsHttp_SetArg(struct rs_http_connection *connection, void *arg);
int RsHttp_Send(struct rs_http_connection *connection,
                const struct rs_http_request *request);
void RsHttp_Pause(struct rs_http_connection *connection);
void RsHttp_Resume(struct rs_http_connection *connection);
void RsHttp_SkipResponse(struct rs_http_connection *connection);
void RsHttp_Close(struct rs_http_connection *connection);
const char *RsHttp_FindHeader(const struct rs_http_head *head,
                              const char *name);
size_t RsHttp_CountHeaders(const struct rs_http_head *head, const char *name);

#endif
