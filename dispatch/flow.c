#include "dispatch/flow.h"

#define CREDITS_PER_WINDOW 4

/* Returns how many bytes may be sent now. */
uint32_t
RsFlow_SendableBytes(const struct rs_flow_sender *sender)
{
    uint64_t uncredited_bytes = sender->sent_bytes - sender->credited_bytes;
    return sender->window_bytes - (uint32_t)uncredited_bytes;
}

/* Records that `size_bytes` are sent. Returns 0, or RsFlow_OVERRUN, without a
 * change, if the window does not allow as many. */
int
RsFlow_Send(struct rs_flow_sender *sender, uint32_t size_bytes)
{
    if (size_bytes > RsFlow_SendableBytes(sender)) {
        return RsFlow_OVERRUN;
    }
    sender->sent_bytes += size_bytes;
    return 0;
}

/* Records a Credit message. Returns 0, or RsFlow_BAD_CREDIT if it credits more
 * bytes than were sent and not credited yet; the sender of the message is then
 * faulty. */
int
RsFlow_AddCredit(struct rs_flow_sender *sender, uint32_t size_bytes)
{
    if (size_bytes > sender->sent_bytes - sender->credited_bytes) {
        return RsFlow_BAD_CREDIT;
    }
    sender->credited_bytes += size_bytes;
    return 0;
}

/* Records that bytes arrived. Returns 0, or RsFlow_OVERRUN if the sender
 * exceeded the window and is faulty. */
int
RsFlow_Receive(struct rs_flow_receiver *receiver, uint32_t size_bytes)
{
    uint64_t uncredited_bytes =
        receiver->received_bytes - receiver->credited_bytes;
    if (size_bytes > receiver->window_bytes - uncredited_bytes) {
        return RsFlow_OVERRUN;
    }
    receiver->received_bytes += size_bytes;
    return 0;
}

/* Records that the reader consumed bytes. Sets `credit_bytes` to the credit to
 * send, or to 0 while less than a quarter of the window is due, which saves
 * messages. Returns 0, or RsFlow_BAD_CREDIT if more was consumed than
 * arrived. */
int
RsFlow_Consume(struct rs_flow_receiver *receiver, uint32_t size_bytes,
               uint32_t *credit_bytes)
{
    *credit_bytes = 0;
    if (size_bytes > receiver->received_bytes - receiver->consumed_bytes) {
        return RsFlow_BAD_CREDIT;
    }
    receiver->consumed_bytes += size_bytes;
    uint64_t due = receiver->consumed_bytes - receiver->credited_bytes;
    if (due > 0 && due >= receiver->window_bytes / CREDITS_PER_WINDOW) {
        receiver->credited_bytes += due;
        *credit_bytes = (uint32_t)due;
    }
    return 0;
}
