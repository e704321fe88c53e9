/* The frame of a message between entry instances: its schema and which message it holds. */
#pragma once

#include "peer/link.h"

static inline Iris__Envelope
gossip_envelope(Iris__Envelope__BodyCase body_case)
{
    Iris__Envelope message = IRIS__ENVELOPE__INIT;
    message.schema = PEER_SCHEMA;
    message.body_case = body_case;
    return message;
}
