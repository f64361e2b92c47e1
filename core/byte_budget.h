/* A budget of the bytes that a process holds in memory for its peers, such as
 * the bodies of requests that arrive and of responses that leave. Each holder
 * has an allowance that is always granted, so that short messages need none of
 * the budget; what it holds beyond that is charged.
 *
 * A holder whose bytes are on the way from or to its peer is in a transfer.
 * When the budget is exceeded, the holder is to be closed whose transfer has
 * stalled for longest, so that peers that stop in the middle of a message
 * can't keep others out. Slow transfers that reach RsByteBudget_PROGRESS_BYTES
 * within RsByteBudget_STALL_MS don't count as stalled. */

#ifndef RATTANSHED_CORE_BYTE_BUDGET_H
#define RATTANSHED_CORE_BYTE_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RsByteBudget_PROGRESS_BYTES 16384
#define RsByteBudget_STALL_MS 2000

enum rs_byte_transfer {
    RsByteTransfer_NONE,
    RsByteTransfer_IDLE, /* nothing is expected before the peer sends */
    RsByteTransfer_RECEIVING,
    RsByteTransfer_SENDING,
};

/* Embedded in a struct that the user of the budget owns. Must be zeroed
 * before its first use, and released at its end. */
struct rs_byte_holder {
    void *owner; /* set by the user */
    uint64_t held_bytes;
    enum rs_byte_transfer transfer;
    uint64_t moved_bytes;   /* since `progress_at_ms` */
    int64_t progress_at_ms; /* of the transfer */
    GList link;             /* while in a transfer */
};

struct rs_byte_budget {
    uint64_t max_bytes;
    uint64_t allowance_bytes; /* of each holder */
    uint64_t charged_bytes;
    GQueue transfers; /* of struct rs_byte_holder, by `progress_at_ms` */
};

void RsByteBudget_Init(struct rs_byte_budget *budget, uint64_t max_bytes,
                       uint64_t allowance_bytes);

/* Holders */
void RsByteBudget_Hold(struct rs_byte_budget *budget,
                       struct rs_byte_holder *holder, uint64_t held_bytes);
void RsByteBudget_BeginTransfer(struct rs_byte_budget *budget,
                                struct rs_byte_holder *holder,
                                enum rs_byte_transfer transfer,
                                int64_t now_ms);
void RsByteBudget_RecordTransfer(struct rs_byte_budget *budget,
                                 struct rs_byte_holder *holder, uint64_t bytes,
                                 int64_t now_ms);
void RsByteBudget_EndTransfer(struct rs_byte_budget *budget,
                              struct rs_byte_holder *holder);
void RsByteBudget_Release(struct rs_byte_budget *budget,
                          struct rs_byte_holder *holder);

/* Decisions */
bool RsByteBudget_IsCharged(const struct rs_byte_budget *budget,
                            const struct rs_byte_holder *holder);
bool RsByteBudget_HasRoom(const struct rs_byte_budget *budget, uint64_t bytes);
struct rs_byte_holder *
RsByteBudget_FindStalled(const struct rs_byte_budget *budget, int64_t now_ms);
struct rs_byte_holder *
RsByteBudget_FindOldest(const struct rs_byte_budget *budget,
                        enum rs_byte_transfer transfer, int64_t stalled_ms,
                        int64_t now_ms);

#endif
