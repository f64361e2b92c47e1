#include "dispatch/flow.h"

#define CREDITS_PER_WINDOW 4

/* Returns the bytes that may be sent now. */
uint32_t
RsFlow_Sendable(const struct rs_flow_sender *sender)
{
    uint64_t under_way = sender->sent_bytes - sender->credited_bytes;
    return sender->window_bytes - (uint32_t)under_way;
}

/* Notes that bytes are sent. Returns 0 or RsFlow_OVERRUN. */
int
RsFlow_Send(struct rs_flow_sender *sender, uint32_t size_bytes)
{
    if (size_bytes > RsFlow_Sendable(sender)) {
        return RsFlow_OVERRUN;
    }
    sender->sent_bytes += size_bytes;
    return 0;
}

/* Takes a Credit message. Returns 0, or RsFlow_BAD_CREDIT when it names more
 * than is under way: the connection is then closed. */
int
RsFlow_TakeCredit(struct rs_flow_sender *sender, uint32_t size_bytes)
{
    if (size_bytes > sender->sent_bytes - sender->credited_bytes) {
        return RsFlow_BAD_CREDIT;
    }
    sender->credited_bytes += size_bytes;
    return 0;
}

/* Notes that bytes arrived. Returns 0, or RsFlow_OVERRUN when the sender went
 * beyond the window: the connection is then closed. */
int
RsFlow_Receive(struct rs_flow_receiver *receiver, uint32_t size_bytes)
{
    uint64_t under_way = receiver->received_bytes - receiver->credited_bytes;
    if (size_bytes > receiver->window_bytes - under_way) {
        return RsFlow_OVERRUN;
    }
    receiver->received_bytes += size_bytes;
    return 0;
}

/* Notes that the reader took bytes. Sets the credit to send, 0 while it is
 * not worth a message. Returns 0, or RsFlow_BAD_CREDIT when the reader took
 * more than arrived. */
int
RsFlow_Consume(struct rs_flow_receiver *receiver, uint32_t size_bytes,
               uint32_t *credit_bytes)
{
    *credit_bytes = 0;
    if (size_bytes > receiver->received_bytes - receiver->consumed_bytes) {
        return RsFlow_BAD_CREDIT;
    }
    receiver->consumed_bytes += size_bytes;
    uint64_t owed = receiver->consumed_bytes - receiver->credited_bytes;
    if (owed > 0 && owed >= receiver->window_bytes / CREDITS_PER_WINDOW) {
        receiver->credited_bytes += owed;
        *credit_bytes = (uint32_t)owed;
    }
    return 0;
}
