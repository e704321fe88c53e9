/*
 * View message: encodes and decodes the view updates that instances send to each other (ViewUpdate
 * in peer/peer.proto).
 *
 * Bodies and whole lists are compressed for peers that accept it, as the link of an instance may
 * have only 10 Mbit/s. Routes compress about tenfold, entries of backend servers about fivefold
 * when compressed together.
 *
 * Owns the compressed data; everything else points into the objects, which must outlive the
 * message. Depends on protobuf-c and zlib.
 */
#pragma once

#include "gateway/ports.h"
#include "gateway/state/view_format.h"
#include "peer/link.h"

/* An update ready to be sent. */
typedef struct {
    Iris__Envelope envelope;
    Iris__ViewUpdate
        update;             /* the caller sets kind, digest and age, and view_message_set_range() */
    Iris__ViewItem **items; /* owned; the update uses them until they are compressed as a list */
    size_t item_count;
    uint8_t *list; /* compressed list of the objects, or NULL; owned */
    size_t bytes;  /* size of the objects as sent */
} view_message_t;

/* Initializes the message in place, since the envelope points into it. Release with
 * view_message_free(). */
void view_message_fill(view_message_t *out, const store_item_t *items, size_t count);
/* Prepares a received update for forwarding, with its list still compressed. The update must
 * outlive the message. The objects are left out, so the message can be packed as
 * VIEW_FORMAT_PACKED_LIST only. False if the update holds no compressed list. */
bool view_message_fill_list(view_message_t *out, const Iris__ViewUpdate *update);
/* Sets the positions that the update covers. */
void view_message_set_range(view_message_t *message, uint64_t from, uint64_t at);
/* Compresses the message for a receiver that accepts `format`. Call with ascending formats only.
 * Compressed messages have their own envelope type, which older instances ignore. */
void view_message_pack(view_message_t *message, view_format_t format);
void view_message_free(view_message_t *message);
/* Decompresses the objects of a received update, which then owns them. The compressed list is kept
 * for forwarding. False if the data is invalid. */
bool view_message_unpack(Iris__ViewUpdate *update);
/* Positions that an update covers; `era` is that of its revisions. */
uint64_t view_update_from(const Iris__ViewUpdate *update, uint64_t era);
uint64_t view_update_at(const Iris__ViewUpdate *update, uint64_t era);
/* Returns the objects of an update. The caller frees the array, which points into the update. */
store_item_t *view_message_items(const Iris__ViewUpdate *update, uint64_t era);
/* Size of the objects of a decompressed update. */
size_t view_update_bytes(const Iris__ViewUpdate *update);
/* Size of the objects as received. */
size_t view_update_wire_bytes(const Iris__ViewUpdate *update);
