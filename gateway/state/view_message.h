/*
 * View message: changes of a view, or a whole one, as instances send them to each other
 * (ViewUpdate in peer/peer.proto).
 *
 * Bodies may be packed for a peer that says it takes them so: an instance may have a link of
 * 10 Mbit/s, and routes pack about ten times.
 *
 * Owns packed bodies; what else is encoded points into the objects, which must live until it is
 * freed. Relies on protobuf-c and zlib.
 */
#pragma once

#include "gateway/ports.h"
#include "peer/link.h"

/* An update ready to be sent. */
typedef struct {
    Iris__Envelope envelope;
    Iris__ViewUpdate update; /* kind, revisions and digest are the caller's to set */
    size_t bytes;            /* of the objects, as they are sent */
} view_message_t;

/* In place, since the envelope points into it; free it with view_message_free(). */
void view_message_fill(view_message_t *out, const store_item_t *items, size_t count);
/* Packs the large bodies, once. The message is of a kind of its own then, which an instance that
 * does not know it leaves. */
void view_message_pack(view_message_t *message);
void view_message_free(view_message_t *message);
/* Unpacks the bodies of an update that came, which then owns them; false if one cannot be. */
bool view_message_unpack(Iris__ViewUpdate *update);
/* The objects of an update, which point into it; free() the result. */
store_item_t *view_message_items(const Iris__ViewUpdate *update);
/* Bytes of the objects of an update, about as they are on the wire. */
size_t view_update_bytes(const Iris__ViewUpdate *update);
