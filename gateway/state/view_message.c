#include "gateway/state/view_message.h"

#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "base/xmalloc.h"
#include "gateway/state/position.h"

/* Encoded size of an object beyond its name and body: tags, lengths and a revision of up to 9
 * bytes. */
enum { ITEM_OVERHEAD_BYTES = 16 };

enum {
    /* Smaller bodies are sent uncompressed: even 26 copies take only a tenth of a second on a slow
     * link. */
    BODY_PACK_MIN_BYTES = 4096,
    /* Higher levels take more than twice the CPU time for about a fifth less data: of 767 kB of
     * routes level 1 makes 84 kB in 3.4 ms, level 6 65 kB in 8.4 ms. Parsing them takes 24 ms. */
    ZLIB_LEVEL = 1,
    UNPACKED_MAX_BYTES = 16 << 20, /* limits the memory that a message can allocate */
    /* Smaller lists fit a single network packet uncompressed. */
    LIST_PACK_MIN_BYTES = 1400,
};

static Iris__ViewItem *
encode_item(const store_item_t *item)
{
    Iris__ViewItem *encoded = xmalloc(sizeof(*encoded));
    iris__view_item__init(encoded);
    encoded->name = xmemdup0(item->name.ptr, item->name.len);
    encoded->revision = position_revision(item->revision);
    encoded->gone = item->gone;
    encoded->body.data = (uint8_t *)(uintptr_t)item->body.ptr;
    encoded->body.len = item->gone ? 0 : item->body.len;
    return encoded;
}

void
view_message_fill(view_message_t *out, const store_item_t *items, size_t count)
{
    *out = (view_message_t){.item_count = count};
    iris__envelope__init(&out->envelope);
    iris__view_update__init(&out->update);
    out->envelope.schema = PEER_SCHEMA;
    out->envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
    out->envelope.view_update = &out->update;
    out->items = xcalloc(count + 1, sizeof(*out->items));
    for (size_t i = 0; i < count; i++)
        out->items[i] = encode_item(&items[i]);
    out->update.n_items = count;
    out->update.items = out->items;
    out->bytes = view_update_bytes(&out->update);
}

bool
view_message_fill_list(view_message_t *out, const Iris__ViewUpdate *update)
{
    if (update->unpacked_bytes == 0)
        return false;
    view_message_fill(out, NULL, 0);
    out->update = *update;
    out->update.n_items = 0;
    out->update.items = NULL;
    out->envelope.body_case = IRIS__ENVELOPE__BODY_LIST_UPDATE;
    out->envelope.list_update = &out->update;
    out->bytes = update->packed_items.len;
    return true;
}

/* Returns NULL if compression does not reduce the size. The caller frees the result. */
static uint8_t *
pack_bytes(const uint8_t *bytes, size_t len, size_t *packed_len)
{
    uLongf room = compressBound(len);
    uint8_t *packed = xmalloc(room);
    if (compress2(packed, &room, bytes, len, ZLIB_LEVEL) != Z_OK || room >= len) {
        free(packed);
        return NULL;
    }
    *packed_len = room;
    return packed;
}

/* Returns NULL if the data is invalid or of another length. The caller frees the result. */
static uint8_t *
unpack_bytes(const ProtobufCBinaryData *packed, size_t len)
{
    if (len > UNPACKED_MAX_BYTES)
        return NULL;
    uLongf room = len;
    uint8_t *bytes = xmalloc(len);
    if (uncompress(bytes, &room, packed->data, packed->len) != Z_OK || room != len) {
        free(bytes);
        return NULL;
    }
    return bytes;
}

static bool
pack_item(Iris__ViewItem *item)
{
    if (item->body.len < BODY_PACK_MIN_BYTES || item->body.len > UNPACKED_MAX_BYTES ||
        item->unpacked_bytes > 0)
        return false;
    size_t len;
    uint8_t *packed = pack_bytes(item->body.data, item->body.len, &len);
    if (packed == NULL)
        return false;
    item->unpacked_bytes = (uint32_t)item->body.len;
    item->body.data = packed;
    item->body.len = len;
    return true;
}

static void
pack_bodies(view_message_t *message)
{
    for (size_t i = 0; i < message->item_count; i++) {
        if (!pack_item(message->items[i]))
            continue;
        message->envelope.body_case = IRIS__ENVELOPE__BODY_PACKED_UPDATE;
        message->envelope.packed_update = &message->update;
    }
    message->bytes = view_update_bytes(&message->update);
}

static void
pack_list(view_message_t *message)
{
    Iris__ViewItems list = IRIS__VIEW_ITEMS__INIT;
    list.n_items = message->item_count;
    list.items = message->items;
    const size_t len = iris__view_items__get_packed_size(&list);
    if (len < LIST_PACK_MIN_BYTES || len > UNPACKED_MAX_BYTES)
        return;
    uint8_t *plain = xmalloc(len);
    iris__view_items__pack(&list, plain);
    size_t packed_len;
    message->list = pack_bytes(plain, len, &packed_len);
    free(plain);
    if (message->list == NULL)
        return;
    message->update.n_items = 0;
    message->update.items = NULL;
    message->update.packed_items = (ProtobufCBinaryData){packed_len, message->list};
    message->update.unpacked_bytes = (uint32_t)len;
    message->envelope.body_case = IRIS__ENVELOPE__BODY_LIST_UPDATE;
    message->envelope.list_update = &message->update;
    message->bytes = packed_len;
}

void
view_message_pack(view_message_t *message, view_format_t format)
{
    if (message->update.unpacked_bytes > 0)
        return;
    if (format == VIEW_FORMAT_PACKED_BODIES)
        pack_bodies(message);
    if (format == VIEW_FORMAT_PACKED_LIST)
        pack_list(message);
}

static bool
unpack_item(Iris__ViewItem *item)
{
    if (item->unpacked_bytes == 0)
        return true;
    uint8_t *body = unpack_bytes(&item->body, item->unpacked_bytes);
    if (body == NULL)
        return false;
    free(item->body.data);
    item->body.data = body;
    item->body.len = item->unpacked_bytes;
    item->unpacked_bytes = 0;
    return true;
}

/* Moves the objects of the compressed list into the update. */
static bool
unpack_list(Iris__ViewUpdate *update)
{
    if (update->unpacked_bytes == 0)
        return true;
    uint8_t *plain = unpack_bytes(&update->packed_items, update->unpacked_bytes);
    if (plain == NULL)
        return false;
    Iris__ViewItems *list = iris__view_items__unpack(NULL, update->unpacked_bytes, plain);
    free(plain);
    if (list == NULL)
        return false;
    free(update->items); /* empty, as an update has either items or a list */
    update->items = list->items;
    update->n_items = list->n_items;
    list->items = NULL;
    list->n_items = 0;
    iris__view_items__free_unpacked(list, NULL);
    return true;
}

bool
view_message_unpack(Iris__ViewUpdate *update)
{
    if ((update->unpacked_bytes > 0 && update->n_items > 0) || !unpack_list(update))
        return false;
    for (size_t i = 0; i < update->n_items; i++) {
        if (!unpack_item(update->items[i]))
            return false;
    }
    return true;
}

void
view_message_free(view_message_t *message)
{
    for (size_t i = 0; i < message->item_count; i++) {
        if (message->items[i]->unpacked_bytes > 0)
            free(message->items[i]->body.data);
        free(message->items[i]->name);
        free(message->items[i]);
    }
    free(message->items);
    free(message->list);
}

void
view_message_set_range(view_message_t *message, uint64_t from, uint64_t at)
{
    message->update.from = position_revision(from);
    message->update.at = position_revision(at);
    message->update.era = (uint32_t)position_era(at);
}

uint64_t
view_update_from(const Iris__ViewUpdate *update, uint64_t era)
{
    return position_make(era, update->from);
}

uint64_t
view_update_at(const Iris__ViewUpdate *update, uint64_t era)
{
    return position_make(era, update->at);
}

store_item_t *
view_message_items(const Iris__ViewUpdate *update, uint64_t era)
{
    store_item_t *items = xcalloc(update->n_items + 1, sizeof(*items));
    for (size_t i = 0; i < update->n_items; i++) {
        const Iris__ViewItem *item = update->items[i];
        items[i] = (store_item_t){
            .name = str_from(item->name),
            .revision = position_make(era, item->revision),
            .gone = item->gone,
            .body = {(const char *)item->body.data, item->body.len},
        };
    }
    return items;
}

size_t
view_update_bytes(const Iris__ViewUpdate *update)
{
    size_t bytes = 0;
    for (size_t i = 0; i < update->n_items; i++)
        bytes += strlen(update->items[i]->name) + update->items[i]->body.len + ITEM_OVERHEAD_BYTES;
    return bytes;
}

size_t
view_update_wire_bytes(const Iris__ViewUpdate *update)
{
    return update->unpacked_bytes > 0 ? update->packed_items.len : view_update_bytes(update);
}
