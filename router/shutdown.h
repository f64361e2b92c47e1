/* Decides what a node does from SIGTERM to its end, so that each request that
 * it takes gets a final response. No I/O. */

#ifndef RATTANSHED_ROUTER_SHUTDOWN_H
#define RATTANSHED_ROUTER_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>

/* The phases in their order. Each also does what the ones before it do. */
enum rs_shutdown_phase {
    RsShutdown_RUNNING,
    RsShutdown_NOT_READY,     /* new connections still arrive */
    RsShutdown_CLOSING_IDLE,  /* idle connections are closed */
    RsShutdown_NOT_LISTENING, /* no new connections are accepted */
    RsShutdown_ANSWERING,     /* open requests get their final responses */
    RsShutdown_OVER,          /* the process ends, whatever is still open */
};

struct rs_shutdown {
    int64_t close_idle_at_ms; /* 0: the node is not shutting down */
    int64_t stop_listening_at_ms;
    int64_t answer_at_ms;
    int64_t end_at_ms;
};

void RsShutdown_Begin(struct rs_shutdown *shutdown, int64_t grace_ms,
                      int64_t now_ms);
bool RsShutdown_Begun(const struct rs_shutdown *shutdown);
enum rs_shutdown_phase RsShutdown_Phase(const struct rs_shutdown *shutdown,
                                        int64_t now_ms);
bool RsShutdown_MayStart(const struct rs_shutdown *shutdown,
                         int64_t deadline_ms);

#endif
