/* An HTTP/1.1 client for the load generator. It never sends a request twice,
 * keeps a pool of connections to each entry process, and reuses a connection
 * only after a complete answer that permits it and that no extra bytes
 * follow. */

#ifndef RATTANSHED_STANDIN_LOAD_HTTP_H
#define RATTANSHED_STANDIN_LOAD_HTTP_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "standin/load_answer.h"
#include "standin/load_entries.h"

enum rs_load_http_result {
    RsLoadHttp_ANSWERED, /* `answer` is complete */
    RsLoadHttp_REFUSED,  /* connecting failed: nothing was sent */
    RsLoadHttp_CLOSED,   /* closed or invalid HTTP before a complete answer */
    RsLoadHttp_TIMEOUT   /* `give_up_at_us` passed before a complete answer */
};

struct rs_load_connection;

/* A request and its answer. The caller owns the exchange and the text of the
 * request, and keeps both until `done` is called, which happens once. */
struct rs_load_exchange {
    size_t entry; /* index of the entry process */
    const char *request;
    size_t request_bytes;
    int64_t give_up_at_us; /* by RsClock_NowUs() */
    void (*done)(struct rs_load_exchange *exchange,
                 enum rs_load_http_result result);
    void *arg;
    struct rs_load_answer answer; /* initialized by the caller */

    /* Private to the client. */
    GList link;
    struct rs_load_connection *connection;
};

/* An entry process and its connections. */
struct rs_load_http_entry {
    struct sockaddr_in address;
    GQueue idle;       /* struct rs_load_connection */
    GQueue waiting;    /* struct rs_load_exchange */
    size_t open_count; /* connections, including those still connecting */
};

struct rs_load_http {
    uv_loop_t *loop;
    uv_timer_t timeout_timer;
    size_t max_connections; /* to each entry process */
    struct rs_load_http_entry entries[RsLoadEntries_MAX];
    size_t entry_count;
    GQueue active; /* struct rs_load_exchange, including those that wait */
    uint64_t extra_read_count; /* reads with bytes that belong to no answer */
    char buffer[65536];
};

void RsLoadHttp_Init(struct rs_load_http *http, uv_loop_t *loop,
                     size_t max_connections);
int RsLoadHttp_AddEntry(struct rs_load_http *http, const char *host,
                        uint16_t port);
void RsLoadHttp_Send(struct rs_load_http *http,
                     struct rs_load_exchange *exchange);

#endif
