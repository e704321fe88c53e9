/*
 * Suspect message: encodes suspects as protobuf messages and decodes them. Times are sent as ages.
 *
 * Owns the buffers that outgoing messages point into. Depends on state/suspects.h.
 */
#pragma once

#include "gateway/state/suspects.h"
#include "peer/peer.pb-c.h"

/* A message and the buffers it points to; about 90 bytes encoded with two ends and a short text. */
typedef struct {
    Iris__Suspect message;
    Iris__SuspectEnd ends[SUSPECT_ENDS_MAX];
    Iris__SuspectEnd *end_list[SUSPECT_ENDS_MAX];
} suspect_message_t;

/* Includes confirmed ends only. `out` points into itself and the suspect, and must not be moved. */
void suspect_message_fill(suspect_message_t *out, const suspect_t *suspect, uint64_t now_ms);
/* Converts ages to loop time. Drops ends beyond SUSPECT_ENDS_MAX. */
void suspect_message_read(const Iris__Suspect *message, suspect_t *out, uint64_t now_ms);
