#include "gateway/state/departure_push.h"

#include <stdlib.h>

#define LOG_MODULE "sync"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/state/position.h"

static void
fill_departures(Iris__Departures *out, Iris__Departure *items, Iris__Departure **list,
                const departures_t *departures)
{
    for (size_t i = 0; i < departures->count; i++) {
        const departure_t *departure = &departures->items[i];
        iris__departure__init(&items[i]);
        items[i].backend = (char *)(uintptr_t)departure->backend.ptr; /* read-only */
        items[i].revision = position_revision(departure->revision);
        out->era = (uint32_t)position_era(departure->revision);
        items[i].gone = departure->gone;
        list[i] = &items[i];
    }
    out->n_items = departures->count;
    out->items = list;
}

static size_t
send_to_all(peer_hub_t *hub, const receivers_t *receivers, Iris__Departures *message)
{
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    size_t sent = 0;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_DEPARTURES;
    envelope.departures = message;
    for (size_t i = 0; i < receivers->count; i++) {
        if (receivers->items[i].peer == NULL ||
            receivers->items[i].format < VIEW_FORMAT_PACKED_LIST)
            continue;
        peer_send(hub, receivers->items[i].peer, &envelope);
        sent++;
    }
    return sent;
}

void
departure_push(peer_hub_t *hub, const receivers_t *receivers, const departures_t *departures,
               uint32_t age_ms)
{
    Iris__Departures message = IRIS__DEPARTURES__INIT;
    Iris__Departure *items = xcalloc(departures->count + 1, sizeof(*items));
    Iris__Departure **list = xcalloc(departures->count + 1, sizeof(*list));
    fill_departures(&message, items, list, departures);
    message.age_ms = age_ms;
    const size_t sent = send_to_all(hub, receivers, &message);
    LOG_INFO("departures sent: count=%zu receivers=%zu age_ms=%u", departures->count, sent, age_ms);
    free(list);
    free(items);
}
