#include "gateway/state/view_push.h"

#include <stdlib.h>

#define LOG_MODULE "sync"
#include "base/counter.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/policy/relay.h"
#include "gateway/state/view_message.h"

/* Bytes of changes that are sent to other regions; larger ones go to the own region only (commit
 * 2b9bd2c). The figure was chosen. */
enum { FAR_MAX = 60000 };

void
view_push_init(view_push_t *push, const view_push_conf_t *conf)
{
    *push = (view_push_t){.conf = *conf};
    xassert(name_set(&push->instance, conf->instance));
}

/* ---- the order of the instances ---- */

typedef struct {
    uint64_t key;
    const addr_t *peer; /* NULL for this instance */
    bool unpacks;
} ranked_t;

typedef struct {
    ranked_t *ranks;
    size_t count;
    size_t own; /* rank of this instance */
} order_t;

static int
by_key(const void *left, const void *right)
{
    const uint64_t a = ((const ranked_t *)left)->key;
    const uint64_t b = ((const ranked_t *)right)->key;
    return (a > b) - (a < b);
}

/* Each change has an order of its own, so that an instance that is lost is not in the way of all of
 * them, nor in the same place of what two watchers send. */
static uint64_t
rank_key(str_t instance, uint64_t at)
{
    return str_hash(instance, at);
}

/* The living instances that are to have the change up to revision `at`, in an order that is the
 * same on each of them but for instances that not all count as living. */
static order_t
order_instances(const view_push_t *push, uint64_t at, bool all_regions)
{
    const members_t *members = push->conf.members;
    const uint64_t now_ms = uv_now(push->conf.loop);
    const str_t own = name_str(&push->instance);
    order_t order = {.ranks = xcalloc(members->count + 1, sizeof(*order.ranks))};
    order.ranks[order.count++] = (ranked_t){.key = rank_key(own, at)};
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        const str_t name = name_str(&member->instance);
        if (!member_alive(member, now_ms) || str_eq(name, own))
            continue;
        if (all_regions || member->region == push->conf.region)
            order.ranks[order.count++] =
                (ranked_t){rank_key(name, at), &member->peer, member->unpacks};
    }
    qsort(order.ranks, order.count, sizeof(*order.ranks), by_key);
    while (order.ranks[order.own].peer != NULL)
        order.own++;
    return order;
}

/* ---- sending ---- */

static void
note_sent(const view_message_t *message, size_t receivers, size_t skipped, bool from_store)
{
    counter_add(counter_get("irisstall_view_bytes_total", "reason=\"change\"",
                            "Bytes of objects sent to peers, by what made them go."),
                message->bytes * receivers);
    if (receivers + skipped > 0)
        LOG_INFO("change sent on: kind=%u from=%llu at=%llu bytes=%zu receivers=%zu skipped=%zu "
                 "source=%s",
                 message->update.kind, (unsigned long long)message->update.from,
                 (unsigned long long)message->update.at, message->bytes, receivers, skipped,
                 from_store ? "store" : "peer");
}

static bool
is_receiver(const order_t *order, const relay_input_t *input, size_t rank, bool packed)
{
    return relay_sends_to(input, rank) && order->ranks[rank].unpacks == packed;
}

static bool
any_receiver(const order_t *order, const relay_input_t *input, bool packed)
{
    for (size_t i = 0; i < order->count; i++) {
        if (is_receiver(order, input, i, packed))
            return true;
    }
    return false;
}

/* Sends the message to those named that take it packed, or to those that do not; returns the bytes
 * that went out. */
static size_t
send_to(const view_push_t *push, const view_message_t *message, const order_t *order,
        const relay_input_t *input, bool packed)
{
    size_t receivers = 0;
    size_t skipped = 0;
    for (size_t i = 0; i < order->count; i++) {
        if (!is_receiver(order, input, i, packed))
            continue;
        if (peer_offer(push->conf.hub, order->ranks[i].peer, &message->envelope))
            receivers++;
        else
            skipped++;
    }
    note_sent(message, receivers, skipped, input->from_store);
    return message->bytes * receivers;
}

/* Sends the message to those that policy/relay.h names for a change of `bytes`, and packs it if any
 * of them takes it so; returns the bytes that went out. */
static size_t
send_message(const view_push_t *push, view_message_t *message, size_t bytes, bool from_store)
{
    const bool all_regions = push->conf.members->count <= MEMBERS_MESH && bytes <= FAR_MAX;
    order_t order = order_instances(push, message->update.at, all_regions);
    const relay_input_t input = {
        .bytes = bytes,
        .instances = order.count,
        .own = order.own,
        .from_store = from_store,
    };
    size_t sent = send_to(push, message, &order, &input, false);
    if (any_receiver(&order, &input, true)) {
        view_message_pack(message);
        sent += send_to(push, message, &order, &input, true);
    }
    free(order.ranks);
    return sent;
}

/* The view's changes since that point; false if they are not known any more. Free the message and
 * the items. */
static bool
fill_changes(view_message_t *out, store_item_t **items, const view_t *view, view_kind_t kind,
             const push_point_t *from)
{
    size_t count;
    *items = view_since(view, from->at, &count);
    if (*items == NULL)
        return false;
    view_message_fill(out, *items, count);
    out->update.kind = kind;
    out->update.from = from->at;
    out->update.at = view->at;
    out->update.base_digest = from->digest;
    return true;
}

/* Where the changes to be sent begin: at the earliest point that makes them no larger. */
static push_point_t
earliest_start(const push_kind_t *state, const view_t *view, view_kind_t kind, size_t bytes)
{
    const uint64_t first =
        state->earlier_count > PUSH_POINTS ? state->earlier_count - PUSH_POINTS : 0;
    for (uint64_t i = first; i < state->earlier_count; i++) {
        const push_point_t *point = &state->earlier[i % PUSH_POINTS];
        view_message_t message;
        store_item_t *items;
        if (!fill_changes(&message, &items, view, kind, point))
            continue;
        const bool no_larger = message.bytes <= bytes;
        view_message_free(&message);
        free(items);
        if (no_larger)
            return *point;
    }
    return state->from;
}

static void
send_changes(view_push_t *push, view_kind_t kind, push_point_t from)
{
    push_kind_t *state = &push->kinds[kind];
    view_message_t message;
    store_item_t *items;
    xassert(fill_changes(&message, &items, &push->conf.views->items[kind], kind, &from));
    const size_t bytes = message.bytes;
    const size_t sent = send_message(push, &message, bytes, true);
    if (!relay_is_small(bytes))
        state->next_ms = uv_now(push->conf.loop) + relay_pause_ms(sent);
    view_message_free(&message);
    free(items);
    state->earlier[state->earlier_count++ % PUSH_POINTS] = state->from;
    state->due = false;
}

static void
send_due(view_push_t *push, view_kind_t kind)
{
    push_kind_t *state = &push->kinds[kind];
    const view_t *view = &push->conf.views->items[kind];
    if (!state->due)
        return;
    view_message_t message;
    store_item_t *items;
    if (!fill_changes(&message, &items, view, kind, &state->from)) {
        LOG_INFO("change not sent on, too many removals: kind=%d from=%llu", kind,
                 (unsigned long long)state->from.at);
        state->due = false; /* peers that lack them ask */
        return;
    }
    const size_t bytes = message.bytes;
    view_message_free(&message);
    free(items);
    if (relay_is_small(bytes) || uv_now(push->conf.loop) >= state->next_ms)
        send_changes(push, kind, earliest_start(state, view, kind, bytes));
}

void
view_push_changed(view_push_t *push, const view_delta_t *delta)
{
    push_kind_t *state = &push->kinds[delta->kind];
    if (!state->due) {
        state->due = true;
        state->from = (push_point_t){delta->from, delta->base_digest};
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
    const push_point_t from = {update->from, update->base_digest};
    const view_t *view = &push->conf.views->items[update->kind];
    view_message_t message;
    store_item_t *items;
    if (update->at != view->at || !fill_changes(&message, &items, view, update->kind, &from))
        return; /* those behind this instance ask */
    send_message(push, &message, view_update_bytes(update), false);
    view_message_free(&message);
    free(items);
}
