#include "gateway/state/view_push.h"

#include <stdlib.h>

#define LOG_MODULE "sync"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/policy/relay.h"
#include "gateway/state/departure_push.h"
#include "gateway/state/position.h"
#include "gateway/state/receivers.h"
#include "gateway/state/view_message.h"

/* Larger changes are sent within the own mesh only. */
enum { CROSS_MESH_MAX_BYTES = 60000 };

void
view_push_init(view_push_t *push, const view_push_conf_t *conf)
{
    *push = (view_push_t){.conf = *conf};
    xassert(name_set(&push->instance, conf->instance));
}

/* ---- sending ---- */

static void
report_sent(const view_message_t *message, size_t receivers, size_t skipped, bool from_store)
{
    counter_add(counter_get("irisstall_view_bytes_total", "reason=\"change\"",
                            "Bytes of objects sent to peers, by what made them go."),
                message->bytes * receivers);
    if (receivers + skipped > 0)
        LOG_INFO("view change sent: kind=%u from=%llu at=%llu bytes=%zu receivers=%zu skipped=%zu "
                 "source=%s",
                 message->update.kind, (unsigned long long)message->update.from,
                 (unsigned long long)message->update.at, message->bytes, receivers, skipped,
                 from_store ? "store" : "peer");
}

static bool
is_receiver(const receivers_t *order, const relay_input_t *input, size_t rank, view_format_t format)
{
    return relay_sends_to(input, rank) && order->items[rank].format == format;
}

static bool
any_receiver(const receivers_t *order, const relay_input_t *input, view_format_t format)
{
    for (size_t i = 0; i < order->count; i++) {
        if (is_receiver(order, input, i, format))
            return true;
    }
    return false;
}

/* Sends the message to the selected receivers that accept exactly this format. Returns the bytes
 * sent. */
static size_t
send_to(const view_push_t *push, const view_message_t *message, const receivers_t *order,
        const relay_input_t *input, view_format_t format)
{
    size_t receivers = 0;
    size_t skipped = 0;
    for (size_t i = 0; i < order->count; i++) {
        if (!is_receiver(order, input, i, format))
            continue;
        if (peer_try_send(push->conf.hub, order->items[i].peer, &message->envelope))
            receivers++;
        else
            skipped++;
    }
    report_sent(message, receivers, skipped, input->from_store);
    return message->bytes * receivers;
}

static receivers_input_t
receivers_input(const view_push_t *push, size_t bytes)
{
    return (receivers_input_t){
        .members = push->conf.members,
        .instance = name_str(&push->instance),
        .region = push->conf.region,
        .all_meshes =
            push->conf.members->count <= MEMBERS_FULL_MESH_MAX && bytes <= CROSS_MESH_MAX_BYTES,
        .now_ms = loop_now(push->conf.loop),
    };
}

/* Sends the message to the receivers selected by policy/relay.h for a change of `bytes` that accept
 * format `first` or a later one, each in its own format. Returns the bytes sent. */
static size_t
send_message(const view_push_t *push, view_message_t *message, size_t bytes, bool from_store,
             view_format_t first)
{
    const receivers_input_t selection = receivers_input(push, bytes);
    receivers_t order = receivers_select(&selection, message->update.at);
    const relay_input_t input = {
        .bytes = bytes,
        .instances = order.count,
        .own = order.own_rank,
        .from_store = from_store,
    };
    size_t sent = 0;
    for (view_format_t format = first; format < VIEW_FORMAT_COUNT; format++) {
        if (!any_receiver(&order, &input, format))
            continue;
        view_message_pack(message, format);
        sent += send_to(push, message, &order, &input, format);
    }
    receivers_free(&order);
    return sent;
}

/* Encodes the changes of the view since `from`, or the whole view if that was in another era; false
 * if some removals are no longer known. The caller frees the message and the items. */
static bool
fill_changes(view_message_t *out, store_item_t **items, const view_t *view, view_kind_t kind,
             const push_point_t *from)
{
    const bool whole = position_era(from->at) != position_era(view->at);
    size_t count = view->count;
    *items = whole ? view_all(view) : view_since(view, from->at, &count);
    if (*items == NULL)
        return false;
    view_message_fill(out, *items, count);
    out->update.kind = kind;
    out->update.whole = whole;
    view_message_set_range(out, whole ? 0 : from->at, view->at);
    out->update.base_digest = from->digest;
    return true;
}

static uint32_t
age_since(const view_push_t *push, view_kind_t kind, uint64_t have)
{
    return view_age_since(&push->conf.views->ages[kind], have, loop_now(push->conf.loop));
}

/* ---- changes from the store ---- */

/* Returns the earliest base that does not make the change larger than `bytes`. */
static push_point_t
earliest_base(const push_kind_t *state, const view_t *view, view_kind_t kind, size_t bytes)
{
    const uint64_t first =
        state->earlier_count > PUSH_BASES_MAX ? state->earlier_count - PUSH_BASES_MAX : 0;
    for (uint64_t i = first; i < state->earlier_count; i++) {
        const push_point_t *point = &state->earlier[i % PUSH_BASES_MAX];
        view_message_t message;
        store_item_t *items;
        if (position_era(point->at) != position_era(state->from.at) ||
            !fill_changes(&message, &items, view, kind, point))
            continue;
        const bool fits = message.bytes <= bytes;
        view_message_free(&message);
        free(items);
        if (fits)
            return *point;
    }
    return state->from;
}

static void
mark_forwarded(push_kind_t *state, uint64_t at)
{
    state->forwarded[state->forwarded_count++ % PUSH_FORWARDED_MAX] = at;
}

static bool
was_forwarded(const push_kind_t *state, uint64_t at)
{
    for (size_t i = 0; i < PUSH_FORWARDED_MAX && i < state->forwarded_count; i++) {
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
    mark_forwarded(state, push->conf.views->items[kind].at);
    const size_t sent = send_message(push, &message, bytes, true, VIEW_FORMAT_PLAIN);
    if (!relay_is_small(bytes))
        state->next_ms =
            loop_now(push->conf.loop) + relay_pause_ms(sent, push->conf.link_bytes_per_s);
    view_message_free(&message);
    free(items);
    state->earlier[state->earlier_count++ % PUSH_BASES_MAX] = state->from;
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
        LOG_INFO("view change not sent, removals no longer known: kind=%d from=%llu", kind,
                 (unsigned long long)position_revision(state->from.at));
        state->due = false; /* peers that miss the changes request them */
        return;
    }
    const size_t bytes = message.bytes;
    view_message_free(&message);
    free(items);
    if (relay_is_small(bytes) || loop_now(push->conf.loop) >= state->next_ms)
        send_changes(push, kind, earliest_base(state, view, kind, bytes));
}

/* True if the changes since `from` are large enough to be sent along the tree. */
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
    if (is_list && departures->count > 0 && is_large(push, delta->kind, delta->from)) {
        const receivers_input_t selection = receivers_input(push, 0);
        receivers_t order = receivers_select(
            &selection, position_revision(push->conf.views->items[delta->kind].at));
        departure_push(push->conf.hub, &order, departures,
                       age_since(push, delta->kind, delta->from));
        receivers_free(&order);
    }
    if (!state->due) {
        state->due = true;
        state->from = (push_point_t){delta->from, delta->base_digest};
    }
    send_due(push, delta->kind);
}

void
view_push_tick(view_push_t *push)
{
    for (view_kind_t kind = 0; kind < push->conf.views->count; kind++)
        send_due(push, kind);
}

/* Forwards the list as received, still compressed, to receivers that accept it. */
static bool
forward_list(const view_push_t *push, const Iris__ViewUpdate *update, uint64_t era, size_t bytes)
{
    view_message_t message;
    if (!view_message_fill_list(&message, update))
        return false;
    message.update.era = (uint32_t)era;
    send_message(push, &message, bytes, false, VIEW_FORMAT_PACKED_LIST);
    view_message_free(&message);
    return true;
}

/* Encodes the objects anew and forwards them. */
static void
forward_items(const view_push_t *push, const Iris__ViewUpdate *update, uint64_t era, size_t bytes)
{
    view_message_t message;
    store_item_t *items = view_message_items(update, era);
    view_message_fill(&message, items, update->n_items);
    message.update.kind = update->kind;
    message.update.from = update->from;
    message.update.at = update->at;
    message.update.era = (uint32_t)era;
    message.update.whole = update->whole;
    message.update.base_digest = update->base_digest;
    message.update.age_ms = update->age_ms;
    send_message(push, &message, bytes, false, VIEW_FORMAT_PLAIN);
    view_message_free(&message);
    free(items);
}

/* The change to each revision has its own distribution tree (receivers.h), along which it is
 * forwarded once. It is forwarded even if it was already known or could not be applied: an instance
 * that got the same change through another watcher's tree cannot tell whether its children have
 * it. Forwarded only where it was new, changes left half of a region of 98 instances up to 7 s
 * behind. */
void
view_push_forward(view_push_t *push, const Iris__ViewUpdate *update, uint64_t era)
{
    push_kind_t *state = &push->kinds[update->kind];
    const size_t bytes = view_update_bytes(update);
    const uint64_t at = view_update_at(update, era);
    if (relay_is_small(bytes) || was_forwarded(state, at))
        return;
    mark_forwarded(state, at);
    const receivers_input_t selection = receivers_input(push, bytes);
    if (!receivers_accept_packed_lists(&selection) || !forward_list(push, update, era, bytes))
        forward_items(push, update, era, bytes);
}
