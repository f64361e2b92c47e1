/* One HTTP/1.1 client connection on a libuv loop: one request at a time. It
 * knows nothing of pools, retries or outcomes. */

#ifndef RATTANSHED_HTTP_CONNECTION_H
#define RATTANSHED_HTTP_CONNECTION_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "core/error.h"

#define RsHttp_READ_BYTES 65536 /* most that one `body` call brings */
#define RsHttp_MAX_HEADERS 48
#define RsHttp_MAX_HEAD_BYTES 32768

enum rs_http_error {
    RsHttp_CONNECT_FAILED = RsError_HTTP - 1,
    RsHttp_CLOSED = RsError_HTTP - 2, /* by the other side */
    RsHttp_RESET = RsError_HTTP - 3,  /* read or write failed */
    RsHttp_MALFORMED = RsError_HTTP - 4,
    RsHttp_UNASKED = RsError_HTTP - 5, /* bytes while no answer was due */
    RsHttp_BAD_ADDRESS = RsError_HTTP - 6
};

struct rs_http_header {
    const char *name;
    const char *value;
};

/* Valid during the call that hands it over. */
struct rs_http_head {
    int status;
    int64_t length; /* of the body; -1 when not known beforehand */
    bool chunked;   /* else a body without length ends with its connection */
    const struct rs_http_header *headers;
    size_t header_count;
};

struct rs_http_connection;

/* Calls of one connection. After `closed`, which comes exactly once unless
 * RsHttp_Close() was called before, the connection is gone. */
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
    const struct rs_http_events *events;
    void *arg;
    /* Closing drops what was not delivered yet, also when the process ends,
     * so that it can't arrive later. */
    bool reset_on_close;
};

struct rs_http_request {
    const char *method;
    const char *path;
    const struct rs_http_header *headers;
    size_t header_count;
    const void *body;
    size_t body_bytes;
};

int RsHttp_ParseAddress(const char *host, uint16_t port,
                        struct sockaddr_in *address);
struct rs_http_connection *RsHttp_Open(const struct rs_http_options *options);
int RsHttp_Send(struct rs_http_connection *connection,
                const struct rs_http_request *request);
void RsHttp_Pause(struct rs_http_connection *connection);
void RsHttp_Resume(struct rs_http_connection *connection);
void RsHttp_SkipAnswer(struct rs_http_connection *connection);
void RsHttp_Close(struct rs_http_connection *connection);
const char *RsHttp_FindHeader(const struct rs_http_head *head,
                              const char *name);

#endif
