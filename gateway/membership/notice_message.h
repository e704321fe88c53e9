/*
 * Notice message: encodes notices of backend servers as protobuf messages and decodes them. Times
 * are sent as ages.
 *
 * Owns nothing: an outgoing message points into the notice. Depends on state/notices.h.
 */
#pragma once

#include "gateway/state/notices.h"
#include "peer/peer.pb-c.h"

void notice_message_fill(Iris__BackendNotice *out, const notice_t *notice, uint64_t now_ms);
/* Converts ages to loop time. Returns false if the backend server's name is invalid. */
bool notice_message_read(const Iris__BackendNotice *message, notice_t *out, uint64_t now_ms);
