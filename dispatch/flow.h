/* Credit-based flow control of one relay stream: the sender may send at most
 * `window_bytes` of a body beyond what the receiver has credited. This is a
 * pure state machine. */

#ifndef RATTANSHED_DISPATCH_FLOW_H
#define RATTANSHED_DISPATCH_FLOW_H

#include <stdint.h>

#include "core/error.h"

#define RsFlow_WINDOW_BYTES (256u << 10)

enum rs_flow_error {
    RsFlow_OVERRUN = RsError_DISPATCH - 40, /* more than the window allows */
    /* credit for, or consumption of, more bytes than are outstanding */
    RsFlow_BAD_CREDIT = RsError_DISPATCH - 41
};

/* Value types. The initial state is zero except for `window_bytes`. */
struct rs_flow_sender {
    uint32_t window_bytes;
    uint64_t sent_bytes;
    uint64_t credited_bytes;
};

struct rs_flow_receiver {
    uint32_t window_bytes;
    uint64_t received_bytes;
    uint64_t consumed_bytes;
    uint64_t credited_bytes;
};

uint32_t RsFlow_SendableBytes(const struct rs_flow_sender *sender);
int RsFlow_Send(struct rs_flow_sender *sender, uint32_t size_bytes);
int RsFlow_AddCredit(struct rs_flow_sender *sender, uint32_t size_bytes);

int RsFlow_Receive(struct rs_flow_receiver *receiver, uint32_t size_bytes);
int RsFlow_Consume(struct rs_flow_receiver *receiver, uint32_t size_bytes,
                   uint32_t *credit_bytes);

#endif
