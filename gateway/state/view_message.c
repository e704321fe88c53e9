#include "gateway/state/view_message.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

/* Bytes of an object on the wire beside its name and body: tags, lengths, a revision of up to 9
 * bytes (the protobuf encoding). */
enum { ITEM_OVERHEAD = 16 };

static Iris__ViewItem *
encode_item(const store_item_t *item)
{
    Iris__ViewItem *encoded = xmalloc(sizeof(*encoded));
    iris__view_item__init(encoded);
    encoded->name = xmemdup0(item->name.ptr, item->name.len);
    encoded->revision = item->revision;
    encoded->gone = item->gone;
    encoded->body.data = (uint8_t *)(uintptr_t)item->body.ptr;
    encoded->body.len = item->gone ? 0 : item->body.len;
    return encoded;
}

void
view_message_fill(view_message_t *out, const store_item_t *items, size_t count)
{
    iris__envelope__init(&out->envelope);
    iris__view_update__init(&out->update);
    out->envelope.schema = PEER_SCHEMA;
    out->envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
    out->envelope.view_update = &out->update;
    out->update.n_items = count;
    out->update.items = xcalloc(count + 1, sizeof(*out->update.items));
    for (size_t i = 0; i < count; i++)
        out->update.items[i] = encode_item(&items[i]);
    out->bytes = view_update_bytes(&out->update);
}

void
view_message_free(view_message_t *message)
{
    for (size_t i = 0; i < message->update.n_items; i++) {
        free(message->update.items[i]->name);
        free(message->update.items[i]);
    }
    free(message->update.items);
}

store_item_t *
view_message_items(const Iris__ViewUpdate *update)
{
    store_item_t *items = xcalloc(update->n_items + 1, sizeof(*items));
    for (size_t i = 0; i < update->n_items; i++) {
        const Iris__ViewItem *item = update->items[i];
        items[i] = (store_item_t){
            .name = str_from(item->name),
            .revision = item->revision,
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
        bytes += strlen(update->items[i]->name) + update->items[i]->body.len + ITEM_OVERHEAD;
    return bytes;
}
