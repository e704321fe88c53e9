/*
 * Notice message: what backend servers told of themselves as protobuf messages, and back. Times go
 * as ages.
 *
 * Owns nothing: an outgoing message points into the notice. Relies on state/notices.h.
 */
#pragma once

#include "gateway/state/notices.h"
#include "peer/peer.pb-c.h"

void notice_message_fill(Iris__BackendNotice *out, const notice_t *notice, uint64_t now_ms);
/* In this instance's loop time. False if no backend server can have that name. */
bool notice_message_read(const Iris__BackendNotice *message, notice_t *out, uint64_t now_ms);
