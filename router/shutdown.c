#include "router/shutdown.h"

/* New connections arrive until two readiness checks, one second apart, have
 * failed. Idle connections are closed after that. */
#define CLOSE_IDLE_AFTER_MS 2600
#define STOP_LISTENING_AFTER_MS 3400
/* The process ends this long before the platform kills it. */
#define END_MARGIN_MS 300
/* Time to send the final responses. */
#define ANSWERING_MS 100
/* Starts the shutdown. The platform kills the process after `grace_ms`. */
void
RsShutdown_Begin(struct rs_shutdown *shutdown, int64_t grace_ms,
                 int64_t now_ms)
{
    *shutdown = (struct rs_shutdown){
        .close_idle_at_ms = now_ms + CLOSE_IDLE_AFTER_MS,
        .stop_listening_at_ms = now_ms + STOP_LISTENING_AFTER_MS,
        .answer_at_ms = now_ms + grace_ms - END_MARGIN_MS - ANSWERING_MS,
        .end_at_ms = now_ms + grace_ms - END_MARGIN_MS,
    };
}

/* Returns whether the node is shutting down. */
bool
RsShutdown_Begun(const struct rs_shutdown *shutdown)
{
    return shutdown->close_idle_at_ms > 0;
}

/* Returns the present phase. With a short grace period, phases may be skipped.
 */
enum rs_shutdown_phase
RsShutdown_Phase(const struct rs_shutdown *shutdown, int64_t now_ms)
{
    if (!RsShutdown_Begun(shutdown)) {
        return RsShutdown_RUNNING;
    }
    if (now_ms >= shutdown->end_at_ms) {
        return RsShutdown_OVER;
    }
    if (now_ms >= shutdown->answer_at_ms) {
        return RsShutdown_ANSWERING;
    }
    if (now_ms >= shutdown->stop_listening_at_ms) {
        return RsShutdown_NOT_LISTENING;
    }
    return now_ms >= shutdown->close_idle_at_ms ? RsShutdown_CLOSING_IDLE
                                                : RsShutdown_NOT_READY;
}

/* Returns whether a request with this deadline may be sent to a target. A node
 * that shuts down sends only what has a final response before the node ends
 * even if the target takes all of the time: how long a request takes is not
 * known before, and a caller that is refused finds another node at once. */
bool
RsShutdown_MayStart(const struct rs_shutdown *shutdown, int64_t deadline_ms)
{
    return !RsShutdown_Begun(shutdown) ||
           deadline_ms <= shutdown->answer_at_ms;
}
