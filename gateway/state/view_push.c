#include "gateway/state/view_push.h"

#include <stdlib.h>

#define LOG_MODULE "sync"
#include "base/counter.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/policy/relay.h"
#include "gateway/state/view_message.h"

enum {
    /* Bytes of changes that are sent to other regions; larger ones go to the own region only
     * (commit 2b9bd2c). The figure was chosen. */
    FAR_MAX = 60000,
    /* A connection with more bytes waiting gets no further changes: half of what its socket holds
     * (peer/link.c). Chosen. */
    WAITING_MAX = 32000,
};

void
view_push_init(view_push_t *push, const view_push_conf_t *conf)
{
    *push = (view_push_t){.conf = *conf};
    xassert(name_set(&push->instance, conf->instance));
}

/* ---- the order of the instances ---- */

typedef struct {
    uint64_t key;
    const addr_t *peer;
} place_t;

typedef struct {
    place_t *places;
    size_t count;
    size_t own;
} order_t;

static int
by_key(const void *left, const void *right)
{
    const uint64_t a = ((const place_t *)left)->key;
    const uint64_t b = ((const place_t *)right)->key;
    return (a > b) - (a < b);
}

/* The living instances that are to have a change, in an order that is the same on each of them but
 * for instances that not all count as living. */
static order_t
order_instances(const view_push_t *push, bool all_regions)
{
    const members_t *members = push->conf.members;
    const uint64_t now_ms = uv_now(push->conf.loop);
    const uint64_t own_key = member_key(name_str(&push->instance));
    order_t order = {.places = xcalloc(members->count + 1, sizeof(*order.places))};
    order.places[order.count++] = (place_t){.key = own_key};
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member_alive(member, now_ms) || name_eq(&member->instance, name_str(&push->instance)))
            continue;
        if (all_regions || member->region == push->conf.region)
            order.places[order.count++] =
                (place_t){member_key(name_str(&member->instance)), &member->peer};
    }
    qsort(order.places, order.count, sizeof(*order.places), by_key);
    while (order.places[order.own].peer != NULL)
        order.own++;
    return order;
}

/* ---- sending ---- */

/* Sends the message to those that policy/relay.h names; returns the bytes that went out. */
static size_t
send_message(const view_push_t *push, const view_message_t *message, bool from_store)
{
    const bool all_regions = push->conf.members->count <= MEMBERS_MESH && message->bytes <= FAR_MAX;
    order_t order = order_instances(push, all_regions);
    const relay_input_t input = {
        .bytes = message->bytes,
        .instances = order.count,
        .own = order.own,
        .from_store = from_store,
    };
    size_t receivers = 0;
    size_t skipped = 0;
    for (size_t i = 0; i < order.count; i++) {
        if (!relay_sends_to(&input, i))
            continue;
        if (peer_waiting(push->conf.hub, order.places[i].peer) > WAITING_MAX) {
            skipped++;
            continue;
        }
        peer_send(push->conf.hub, order.places[i].peer, &message->envelope);
        receivers++;
    }
    free(order.places);
    counter_add(counter_get("irisstall_view_bytes_total", "reason=\"change\"",
                            "Bytes of objects sent to peers, by what made them go."),
                message->bytes * receivers);
    if (receivers + skipped > 0)
        LOG_INFO("change sent on: kind=%u at=%llu bytes=%zu receivers=%zu skipped=%zu source=%s",
                 message->update.kind, (unsigned long long)message->update.at, message->bytes,
                 receivers, skipped, from_store ? "store" : "peer");
    return message->bytes * receivers;
}

static void
send_due(view_push_t *push, view_kind_t kind)
{
    push_kind_t *state = &push->kinds[kind];
    const view_t *view = &push->conf.views->items[kind];
    const uint64_t now_ms = uv_now(push->conf.loop);
    store_item_t changes[VIEW_CHANGES];
    size_t count;
    if (!state->due || now_ms < state->next_ms)
        return;
    state->due = false;
    if (!view_since(view, state->from, changes, &count)) {
        LOG_INFO("change not sent on, too many objects: kind=%d from=%llu", kind,
                 (unsigned long long)state->from);
        return; /* peers that lack them ask */
    }
    view_message_t message;
    view_message_fill(&message, changes, count);
    message.update.kind = kind;
    message.update.from = state->from;
    message.update.at = view->at;
    message.update.base_digest = state->base_digest;
    state->next_ms = now_ms + relay_pause_ms(send_message(push, &message, true));
    view_message_free(&message);
}

void
view_push_changed(view_push_t *push, const view_delta_t *delta)
{
    push_kind_t *state = &push->kinds[delta->kind];
    if (!state->due) {
        state->due = true;
        state->from = delta->from;
        state->base_digest = delta->base_digest;
    }
    send_due(push, delta->kind);
}

void
view_push_tick(view_push_t *push)
{
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++)
        send_due(push, kind);
}

void
view_push_forward(view_push_t *push, const Iris__ViewUpdate *update)
{
    store_item_t *items = view_message_items(update);
    view_message_t message;
    view_message_fill(&message, items, update->n_items);
    message.update.kind = update->kind;
    message.update.from = update->from;
    message.update.at = update->at;
    message.update.base_digest = update->base_digest;
    send_message(push, &message, false);
    view_message_free(&message);
    free(items);
}
