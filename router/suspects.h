/* Remembers which requests may crash the targets that run them, and which ones
 * are refused for that. No I/O.
 *
 * Answers the load of a request that ends each process that begins to run it
 * and that callers repeat at any node: without this, it takes one target after
 * the other away from all other requests.
 *
 * A request is told by a fingerprint of its content, since each repeat has an
 * id of its own. It is suspected of having ended a process if it was in flight
 * there when its connection broke, and the process is known to have ended. So
 * are all other requests that were in flight there, and all those of targets
 * that ended for another reason; an answer to a request, by any target, clears
 * it. A request that is suspected twice is refused but for trials, which end
 * when it crashes a target on trial. Nodes tell each other what they know, see
 * router/reports.c. */

#ifndef RATTANSHED_ROUTER_SUSPECTS_H
#define RATTANSHED_ROUTER_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The most crashes that are kept of a request. */
#define RsSuspects_MAX_CRASHES 12

/* The end of a process of a target while a request was in flight there. */
struct rs_suspect_crash {
    uint64_t process;
    int64_t at_ms;      /* when the connection broke */
    int64_t sent_at_ms; /* when the request was sent there */
};

struct rs_suspect {
    uint64_t fingerprint;
    /* Since the last answer, by different processes. */
    struct rs_suspect_crash crashes[RsSuspects_MAX_CRASHES];
    uint32_t crash_count;
    int64_t answered_at_ms; /* 0: never since it is suspected */
    int64_t changed_at_ms;
};

struct rs_suspects {
    GHashTable *suspects; /* fingerprint to struct rs_suspect */
    GArray *breaks;       /* see router/suspects.c */
    GHashTable *ended;    /* processes that are known to have ended */
};

void RsSuspects_Init(struct rs_suspects *suspects);
void RsSuspects_Clear(struct rs_suspects *suspects);

/* What this node observes. */
bool RsSuspects_RecordBreak(struct rs_suspects *suspects, uint64_t fingerprint,
                            const char *target, int64_t started_wall_ms,
                            int64_t sent_at_ms, int64_t now_ms);
bool RsSuspects_RecordEnd(struct rs_suspects *suspects, const char *target,
                          int64_t before_wall_ms, int64_t now_ms);
bool RsSuspects_RecordAnswer(struct rs_suspects *suspects,
                             uint64_t fingerprint, int64_t now_ms);

/* Exchange with other nodes. */
void RsSuspects_Merge(struct rs_suspects *suspects,
                      const struct rs_suspect *other, int64_t now_ms);
GPtrArray *RsSuspects_ListDue(const struct rs_suspects *suspects,
                              uint32_t interval_ms, int64_t now_ms);

/* Queries. */
bool RsSuspects_IsEmpty(const struct rs_suspects *suspects);
int64_t RsSuspects_RefusedUntilMs(const struct rs_suspects *suspects,
                                  uint64_t fingerprint, int64_t now_ms);

#endif
