#include "core/byte_budget.h"

#include <assert.h>

/* Initialises a budget of `max_bytes`, to which each holder's allowance comes
 * in addition. */
void
RsByteBudget_Init(struct rs_byte_budget *budget, uint64_t max_bytes,
                  uint64_t allowance_bytes)
{
    *budget = (struct rs_byte_budget){
        .max_bytes = max_bytes,
        .allowance_bytes = allowance_bytes,
        .transfers = G_QUEUE_INIT,
    };
}

static uint64_t
charge_of(const struct rs_byte_budget *budget,
          const struct rs_byte_holder *holder)
{
    return holder->held_bytes > budget->allowance_bytes
               ? holder->held_bytes - budget->allowance_bytes
               : 0;
}

/* Sets how many bytes are held, whether there is room for them or not. */
void
RsByteBudget_Hold(struct rs_byte_budget *budget, struct rs_byte_holder *holder,
                  uint64_t held_bytes)
{
    uint64_t former_bytes = charge_of(budget, holder);
    assert(budget->charged_bytes >= former_bytes);
    holder->held_bytes = held_bytes;
    budget->charged_bytes += charge_of(budget, holder) - former_bytes;
}

/* Begins a transfer, after the end of a former one. */
void
RsByteBudget_BeginTransfer(struct rs_byte_budget *budget,
                           struct rs_byte_holder *holder,
                           enum rs_byte_transfer transfer, int64_t now_ms)
{
    RsByteBudget_EndTransfer(budget, holder);
    holder->transfer = transfer;
    holder->moved_bytes = 0;
    holder->progress_at_ms = now_ms;
    holder->link = (GList){.data = holder};
    g_queue_push_tail_link(&budget->transfers, &holder->link);
}

/* Records that `bytes` more have come or gone. Does nothing outside of a
 * transfer. */
void
RsByteBudget_RecordTransfer(struct rs_byte_budget *budget,
                            struct rs_byte_holder *holder, uint64_t bytes,
                            int64_t now_ms)
{
    holder->moved_bytes += bytes;
    if (holder->transfer != RsByteTransfer_NONE &&
        holder->moved_bytes >= RsByteBudget_PROGRESS_BYTES) {
        RsByteBudget_BeginTransfer(budget, holder, holder->transfer, now_ms);
    }
}

/* Ends the transfer, if there is one. The holder keeps its bytes. */
void
RsByteBudget_EndTransfer(struct rs_byte_budget *budget,
                         struct rs_byte_holder *holder)
{
    if (holder->transfer != RsByteTransfer_NONE) {
        g_queue_unlink(&budget->transfers, &holder->link);
        holder->transfer = RsByteTransfer_NONE;
    }
}

/* Ends the transfer and gives all bytes back. */
void
RsByteBudget_Release(struct rs_byte_budget *budget,
                     struct rs_byte_holder *holder)
{
    RsByteBudget_EndTransfer(budget, holder);
    RsByteBudget_Hold(budget, holder, 0);
}

/* Returns whether the holder holds more than its allowance. */
bool
RsByteBudget_IsCharged(const struct rs_byte_budget *budget,
                       const struct rs_byte_holder *holder)
{
    return charge_of(budget, holder) > 0;
}

/* Returns whether the budget has room for `bytes` more. With 0, whether it is
 * not exceeded. */
bool
RsByteBudget_HasRoom(const struct rs_byte_budget *budget, uint64_t bytes)
{
    return budget->charged_bytes <= budget->max_bytes &&
           bytes <= budget->max_bytes - budget->charged_bytes;
}

/* Returns the charged holder whose transfer has stalled for longest, or NULL
 * if none has. */
struct rs_byte_holder *
RsByteBudget_FindStalled(const struct rs_byte_budget *budget, int64_t now_ms)
{
    for (GList *link = budget->transfers.head; link != NULL;
         link = link->next) {
        struct rs_byte_holder *holder = link->data;
        if (now_ms - holder->progress_at_ms < RsByteBudget_STALL_MS) {
            return NULL;
        }
        if (holder->transfer != RsByteTransfer_IDLE &&
            RsByteBudget_IsCharged(budget, holder)) {
            return holder;
        }
    }
    return NULL;
}

/* Returns the holder whose transfer of this kind has been without progress for
 * longest, or NULL if that is less than `stalled_ms`. It need not be charged.
 */
struct rs_byte_holder *
RsByteBudget_FindOldest(const struct rs_byte_budget *budget,
                        enum rs_byte_transfer transfer, int64_t stalled_ms,
                        int64_t now_ms)
{
    for (GList *link = budget->transfers.head; link != NULL;
         link = link->next) {
        struct rs_byte_holder *holder = link->data;
        if (now_ms - holder->progress_at_ms < stalled_ms) {
            return NULL;
        }
        if (holder->transfer == transfer) {
            return holder;
        }
    }
    return NULL;
}
