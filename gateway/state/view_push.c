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
    view_reads_t reads;
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
                (ranked_t){rank_key(name, at), &member->peer, member->reads};
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
is_receiver(const order_t *order, const relay_input_t *input, size_t rank, view_reads_t reads)
{
    return relay_sends_to(input, rank) && order->ranks[rank].reads == reads;
}

static bool
any_receiver(const order_t *order, const relay_input_t *input, view_reads_t reads)
{
    for (size_t i = 0; i < order->count; i++) {
        if (is_receiver(order, input, i, reads))
            return true;
    }
    return false;
}

/* Sends the message to those named that take that form; returns the bytes that went out. */
static size_t
send_to(const view_push_t *push, const view_message_t *message, const order_t *order,
        const relay_input_t *input, view_reads_t reads)
{
    size_t receivers = 0;
    size_t skipped = 0;
    for (size_t i = 0; i < order->count; i++) {
        if (!is_receiver(order, input, i, reads))
            continue;
        if (peer_offer(push->conf.hub, order->ranks[i].peer, &message->envelope))
            receivers++;
        else
            skipped++;
    }
    note_sent(message, receivers, skipped, input->from_store);
    return message->bytes * receivers;
}

static order_t
order_receivers(const view_push_t *push, uint64_t at, size_t bytes)
{
    const bool all_regions = push->conf.members->count <= MEMBERS_MESH && bytes <= FAR_MAX;
    return order_instances(push, at, all_regions);
}

/* Sends the message to those that policy/relay.h names for a change of `bytes` and that take the
 * form `first` or a later one, in the form that each takes; returns the bytes that went out. */
static size_t
send_message(const view_push_t *push, view_message_t *message, size_t bytes, bool from_store,
             view_reads_t first)
{
    order_t order = order_receivers(push, message->update.at, bytes);
    const relay_input_t input = {
        .bytes = bytes,
        .instances = order.count,
        .own = order.own,
        .from_store = from_store,
    };
    size_t sent = 0;
    for (view_reads_t reads = first; reads < VIEW_READS_COUNT; reads++) {
        if (!any_receiver(&order, &input, reads))
            continue;
        view_message_pack(message, reads);
        sent += send_to(push, message, &order, &input, reads);
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

static uint32_t
age_since(const view_push_t *push, view_kind_t kind, uint64_t have)
{
    return view_age_since(&push->conf.views->ages[kind], have, uv_now(push->conf.loop));
}

/* ---- departures ---- */

static void
fill_departures(Iris__Departures *out, Iris__Departure *items, Iris__Departure **list,
                const departures_t *departures)
{
    for (size_t i = 0; i < departures->count; i++) {
        const departure_t *departure = &departures->items[i];
        iris__departure__init(&items[i]);
        items[i].backend = (char *)(uintptr_t)departure->backend.ptr; /* not written to */
        items[i].revision = departure->revision;
        items[i].gone = departure->gone;
        list[i] = &items[i];
    }
    out->n_items = departures->count;
    out->items = list;
}

static size_t
offer_departures(const view_push_t *push, const order_t *order, Iris__Departures *message)
{
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    size_t receivers = 0;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_DEPARTURES;
    envelope.departures = message;
    for (size_t i = 0; i < order->count; i++) {
        if (order->ranks[i].peer == NULL || order->ranks[i].reads < VIEW_READS_LISTS)
            continue;
        peer_send(push->conf.hub, order->ranks[i].peer, &envelope);
        receivers++;
    }
    return receivers;
}

/* Straight to all: 25 bytes each, so that 160 at once are 4 kB, 0.16 s of a link of 20 Mbit/s to 97
 * instances; the change that they are part of takes 0.1 to 0.2 s at each of four or five steps of
 * the tree, and waits for the pause after the one before. */
static void
send_departures(const view_push_t *push, const view_delta_t *delta, const departures_t *departures)
{
    if (departures->count == 0)
        return;
    Iris__Departures message = IRIS__DEPARTURES__INIT;
    Iris__Departure *items = xcalloc(departures->count, sizeof(*items));
    Iris__Departure **list = xcalloc(departures->count, sizeof(*list));
    fill_departures(&message, items, list, departures);
    message.age_ms = age_since(push, delta->kind, delta->from);
    order_t order = order_receivers(push, push->conf.views->items[delta->kind].at, 0);
    const size_t receivers = offer_departures(push, &order, &message);
    LOG_INFO("departures sent: count=%zu from=%llu receivers=%zu", departures->count,
             (unsigned long long)delta->from, receivers);
    free(order.ranks);
    free(list);
    free(items);
}

/* ---- changes from the store ---- */

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
note_forwarded(push_kind_t *state, uint64_t at)
{
    state->forwarded[state->forwarded_count++ % PUSH_FORWARDED] = at;
}

static bool
was_forwarded(const push_kind_t *state, uint64_t at)
{
    for (size_t i = 0; i < PUSH_FORWARDED && i < state->forwarded_count; i++) {
        if (state->forwarded[i] == at)
            return true;
    }
    return false;
}

static void
send_changes(view_push_t *push, view_kind_t kind, push_point_t from)
{
    push_kind_t *state = &push->kinds[kind];
    view_message_t message;
    store_item_t *items;
    xassert(fill_changes(&message, &items, &push->conf.views->items[kind], kind, &from));
    const size_t bytes = message.bytes;
    message.update.age_ms = age_since(push, kind, from.at);
    note_forwarded(state, message.update.at);
    const size_t sent = send_message(push, &message, bytes, true, VIEW_READS_PLAIN);
    if (!relay_is_small(bytes))
        state->next_ms =
            uv_now(push->conf.loop) + relay_pause_ms(sent, push->conf.link_bytes_per_s);
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

/* True if the changes since then go along the tree. */
static bool
is_large(const view_push_t *push, view_kind_t kind, uint64_t from)
{
    size_t count;
    store_item_t *items = view_since(&push->conf.views->items[kind], from, &count);
    if (items == NULL)
        return true;
    view_message_t message;
    view_message_fill(&message, items, count);
    const bool large = !relay_is_small(message.bytes);
    view_message_free(&message);
    free(items);
    return large;
}

void
view_push_changed(view_push_t *push, const view_delta_t *delta, const departures_t *departures)
{
    push_kind_t *state = &push->kinds[delta->kind];
    const bool is_list = delta->kind == VIEW_BACKENDS;
    if (is_list && departures->count > 0 && is_large(push, delta->kind, delta->from))
        send_departures(push, delta, departures);
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

/* The update as it came, for those that take it so. */
static bool
forward_list(const view_push_t *push, const Iris__ViewUpdate *update, size_t bytes)
{
    view_message_t message;
    if (!view_message_fill_list(&message, update))
        return false;
    send_message(push, &message, bytes, false, VIEW_READS_LISTS);
    view_message_free(&message);
    return true;
}

/* The update made anew of its objects. */
static void
forward_items(const view_push_t *push, const Iris__ViewUpdate *update, size_t bytes)
{
    view_message_t message;
    store_item_t *items = view_message_items(update);
    view_message_fill(&message, items, update->n_items);
    message.update.kind = update->kind;
    message.update.from = update->from;
    message.update.at = update->at;
    message.update.whole = update->whole;
    message.update.base_digest = update->base_digest;
    message.update.age_ms = update->age_ms;
    send_message(push, &message, bytes, false, VIEW_READS_PLAIN);
    view_message_free(&message);
    free(items);
}

static bool
all_read_lists(const view_push_t *push)
{
    const members_t *members = push->conf.members;
    const uint64_t now_ms = uv_now(push->conf.loop);
    for (size_t i = 0; i < members->count; i++) {
        if (member_alive(&members->items[i], now_ms) &&
            members->items[i].region == push->conf.region &&
            members->items[i].reads < VIEW_READS_LISTS)
            return false;
    }
    return true;
}

/* Each revision that a change leads up to has a tree of its own (rank_key()), along which it goes
 * once. It goes on also where it was no news, or came over a gap: an instance that has got the same
 * from another watcher's tree cannot tell whether its children have. When it went on only where it
 * was news, half of a region of 98 instances was up to 7 s behind (logs of a day with hundreds of
 * changed entries). */
void
view_push_forward(view_push_t *push, const Iris__ViewUpdate *update)
{
    push_kind_t *state = &push->kinds[update->kind];
    const size_t bytes = view_update_bytes(update);
    if (relay_is_small(bytes) || was_forwarded(state, update->at))
        return;
    note_forwarded(state, update->at);
    if (!all_read_lists(push) || !forward_list(push, update, bytes))
        forward_items(push, update, bytes);
}
