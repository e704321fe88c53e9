#include "wire/ack_timeout.h"

enum {
    RETRANSMISSION_MS = 200, /* the kernel's minimum, beside the round trip */
    QUEUEING_MS = 150,       /* in the network, on both ways */
};

uint64_t
ack_timeout_ms(uint64_t connect_ms, size_t request_len)
{
    const uint64_t timeout_ms = 2 * connect_ms + RETRANSMISSION_MS + QUEUEING_MS;
    if (request_len > ACK_TIMEOUT_SHORT_REQUEST_MAX || timeout_ms > ACK_TIMEOUT_MAX_MS)
        return ACK_TIMEOUT_MAX_MS;
    return timeout_ms > ACK_TIMEOUT_MIN_MS ? timeout_ms : ACK_TIMEOUT_MIN_MS;
}
