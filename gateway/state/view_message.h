/*
 * View message: changes of a view, or a whole one, as instances send them to each other
 * (ViewUpdate in peer/peer.proto).
 *
 * Bodies and whole lists may be packed for a peer that says it takes them so: an instance may have
 * a link of 10 Mbit/s. Routes pack about ten times, entries of backend servers together five times.
 *
 * Owns packed bodies; what else is encoded points into the objects, which must live until it is
 * freed. Relies on protobuf-c and zlib.
 */
#pragma once

#include "gateway/ports.h"
#include "gateway/state/view_format.h"
#include "peer/link.h"

/* An update ready to be sent. */
typedef struct {
    Iris__Envelope envelope;
    Iris__ViewUpdate update; /* kind, revisions, digest and age are the caller's to set */
    Iris__ViewItem **items;  /* owned; the update's until they are packed together */
    size_t item_count;
    uint8_t *list; /* the objects packed together, or NULL; owned */
    size_t bytes;  /* of the objects, as they are sent */
} view_message_t;

/* In place, since the envelope points into it; free it with view_message_free(). */
void view_message_fill(view_message_t *out, const store_item_t *items, size_t count);
/* An update that came, to be sent on with the same objects: a list that is packed stays so. The
 * update must outlive the message; its objects are left out, so pack it for VIEW_FORMAT_PACKED_LIST
 * only. False if it did not come as a list. */
bool view_message_fill_list(view_message_t *out, const Iris__ViewUpdate *update);
/* Brings the message into the form for such a reader; forms only go up. A packed message is of a
 * kind of its own, which an instance that does not know it leaves. */
void view_message_pack(view_message_t *message, view_format_t format);
void view_message_free(view_message_t *message);
/* Unpacks the objects of an update that came, which then owns them; false if one cannot be. What it
 * came packed in stays, to be sent on. */
bool view_message_unpack(Iris__ViewUpdate *update);
/* The objects of an update, which point into it; free() the result. */
store_item_t *view_message_items(const Iris__ViewUpdate *update);
/* Bytes of the objects of an unpacked update. */
size_t view_update_bytes(const Iris__ViewUpdate *update);
/* The same as they came. */
size_t view_update_wire_bytes(const Iris__ViewUpdate *update);
