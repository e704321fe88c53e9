#include <stdio.h>
#include <stdlib.h>

#include <uv.h>

#define LOG_MODULE "sync"
#include "base/counter.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/state/view_relay.h"

enum {
    REQUEST_EVERY_MS = 600, /* an instance asks for a view at most this often. Chosen */
    /* A view that stays older than a peer's for this time is asked for: changes on their way have
     * arrived by then. Brought in with commit 2b9bd2c, not measured alone. */
    BEHIND_MS = 450,
    START_STORE_FIRST_MS = 700, /* the store has this time to give the views at start. Chosen */
    /* Bytes of changes that are sent to other regions; larger ones go to the own region only
     * (commit 2b9bd2c). The figure was chosen. */
    RELAY_FAR_MAX = 60000,
    /* Bytes of a view that a peer gets; a larger one it reads from the store. In the sweep at 300
     * instances whole views of 1 MB made most of the bytes (commit 59548b9). */
    WHOLE_MAX = 200000,
};

void
view_relay_init(view_relay_t *relay, const view_relay_conf_t *conf)
{
    *relay = (view_relay_t){.conf = *conf, .started_ms = uv_now(conf->loop)};
    xassert(name_set(&relay->instance, conf->instance));
}

void
view_relay_view_changed(view_relay_t *relay, view_kind_t kind)
{
    relay->kinds[kind].behind_since_ms = 0;
}

static void
count_relayed(const char *reason, size_t bytes, size_t receivers)
{
    char labels[32];
    snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
    counter_add(counter_get("irisstall_view_bytes_total", labels,
                            "Bytes of objects sent to peers, by what made them go."),
                bytes * receivers);
}

/* ---- sending ---- */

static Iris__ViewItem *
encode_items(const store_item_t *items, size_t count, Iris__ViewItem ***list)
{
    Iris__ViewItem *encoded = xcalloc(count + 1, sizeof(*encoded));
    *list = xcalloc(count + 1, sizeof(**list));
    for (size_t i = 0; i < count; i++) {
        iris__view_item__init(&encoded[i]);
        encoded[i].name = xmemdup0(items[i].name.ptr, items[i].name.len);
        encoded[i].revision = items[i].revision;
        encoded[i].gone = items[i].gone;
        encoded[i].body.data = (uint8_t *)(uintptr_t)items[i].body.ptr;
        encoded[i].body.len = items[i].gone ? 0 : items[i].body.len;
        (*list)[i] = &encoded[i];
    }
    return encoded;
}

static void
free_items(Iris__ViewItem *encoded, Iris__ViewItem **list, size_t count)
{
    for (size_t i = 0; i < count; i++)
        free(encoded[i].name);
    free(encoded);
    free(list);
}

static size_t
items_bytes(const store_item_t *items, size_t count)
{
    size_t bytes = 0;
    for (size_t i = 0; i < count; i++)
        bytes += items[i].body.len;
    return bytes;
}

static bool
is_receiver(const view_relay_t *relay, const member_t *member, bool all_regions, uint64_t now_ms)
{
    return (all_regions || member->region == relay->conf.region) && member_alive(member, now_ms) &&
           !name_eq(&member->instance, name_str(&relay->instance));
}

void
view_relay_send(view_relay_t *relay, const view_delta_t *delta)
{
    const members_t *members = relay->conf.members;
    const uint64_t now_ms = uv_now(relay->conf.loop);
    /* Large changes go to the own region only; the others have watchers of their own. */
    const bool all_regions =
        members->count <= MEMBERS_MESH && items_bytes(delta->items, delta->count) <= RELAY_FAR_MAX;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewUpdate update = IRIS__VIEW_UPDATE__INIT;
    Iris__ViewItem *encoded = encode_items(delta->items, delta->count, &update.items);
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
    envelope.view_update = &update;
    update.kind = delta->kind;
    update.from = delta->from;
    update.at = delta->at;
    update.base_digest = delta->base_digest;
    update.n_items = delta->count;
    size_t receivers = 0;
    for (size_t i = 0; i < members->count; i++) {
        if (!is_receiver(relay, &members->items[i], all_regions, now_ms))
            continue;
        peer_send(relay->conf.hub, &members->items[i].peer, &envelope);
        receivers++;
    }
    const size_t bytes = items_bytes(delta->items, delta->count);
    count_relayed("change", bytes, receivers);
    LOG_INFO("change sent on: kind=%d at=%llu bytes=%zu receivers=%zu", delta->kind,
             (unsigned long long)delta->at, bytes, receivers);
    free_items(encoded, update.items, delta->count);
}

/* ---- answering a request ---- */

static void
reply_view(peer_conn_t *conn, Iris__ViewUpdate *update, const store_item_t *items, size_t count)
{
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewItem *encoded = encode_items(items, count, &update->items);
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
    envelope.view_update = update;
    update->n_items = count;
    peer_reply(conn, &envelope);
    const size_t bytes = items_bytes(items, count);
    count_relayed("request", bytes, 1);
    LOG_INFO("view request answered: kind=%u from=%llu at=%llu objects=%zu bytes=%zu", update->kind,
             (unsigned long long)update->from, (unsigned long long)update->at, count, bytes);
    free_items(encoded, update->items, count);
}

static void
reply_whole(peer_conn_t *conn, const view_t *view, Iris__ViewUpdate *update)
{
    store_item_t *items = xcalloc(view->count + 1, sizeof(*items));
    for (size_t i = 0; i < view->count; i++) {
        items[i] = (store_item_t){
            .name = str_from(view->items[i].name),
            .revision = view->items[i].revision,
            .body = {view->items[i].body, view->items[i].body_len},
        };
    }
    update->whole = true;
    reply_view(conn, update, items, view->count);
    free(items);
}

static size_t
view_bytes(const view_t *view)
{
    size_t bytes = 0;
    for (size_t i = 0; i < view->count; i++)
        bytes += view->items[i].body_len;
    return bytes;
}

void
view_relay_on_request(view_relay_t *relay, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    store_item_t changes[VIEW_CHANGES];
    size_t count;
    if (request->kind >= VIEW_WATCHED || !relay->conf.views->items[request->kind].known)
        return; /* a newer kind, or nothing to tell: the peer asks somebody else later */
    const view_t *view = &relay->conf.views->items[request->kind];
    Iris__ViewUpdate update = IRIS__VIEW_UPDATE__INIT;
    update.kind = request->kind;
    update.at = view->at;
    if (request->have > 0 && view_since(view, request->have, changes, &count)) {
        update.from = request->have;
        update.base_digest = request->digest;
        reply_view(conn, &update, changes, count);
        return;
    }
    if (request->whole || view_bytes(view) <= WHOLE_MAX) {
        reply_whole(conn, view, &update);
        return;
    }
    update.at = 0; /* too large: read it from the store */
    reply_view(conn, &update, NULL, 0);
}

/* ---- asking ---- */

static void
request_view(view_relay_t *relay, view_kind_t kind, const addr_t *peer)
{
    const view_t *view = &relay->conf.views->items[kind];
    const uint64_t now_ms = uv_now(relay->conf.loop);
    if (now_ms - relay->kinds[kind].requested_ms < REQUEST_EVERY_MS)
        return;
    relay->kinds[kind].requested_ms = now_ms;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewRequest request = IRIS__VIEW_REQUEST__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_REQUEST;
    envelope.view_request = &request;
    request.kind = kind;
    request.have = view->known ? view->at : 0;
    request.digest = view->digest;
    request.whole = store_watch_is_failing(relay->conf.watch);
    peer_send(relay->conf.hub, peer, &envelope);
    LOG_INFO("view requested: kind=%d have=%llu whole=%d", kind, (unsigned long long)request.have,
             request.whole);
}

/* True if it is time to ask a peer: changes that are on their way get some time to arrive first. */
static bool
is_time_to_ask(view_relay_t *relay, view_kind_t kind)
{
    const uint64_t now_ms = uv_now(relay->conf.loop);
    uint64_t *behind_since_ms = &relay->kinds[kind].behind_since_ms;
    if (!relay->conf.views->items[kind].known)
        return now_ms - relay->started_ms >= START_STORE_FIRST_MS;
    if (*behind_since_ms == 0)
        *behind_since_ms = now_ms;
    return now_ms - *behind_since_ms >= BEHIND_MS;
}

void
view_relay_compare(view_relay_t *relay, const member_t *member)
{
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++) {
        const member_view_t *theirs = &member->views[kind];
        view_t *ours = &relay->conf.views->items[kind];
        if (!theirs->known)
            continue;
        /* A peer that is behind as well says nothing about our own view. */
        if (ours->known && theirs->at <= ours->at)
            continue;
        if (ours->known && theirs->digest == ours->digest) {
            view_confirm(ours, theirs->digest, theirs->at);
            relay->kinds[kind].behind_since_ms = 0;
            continue;
        }
        if (is_time_to_ask(relay, kind))
            request_view(relay, kind, &member->peer);
    }
}

/* ---- receiving ---- */

/* Points into the message; the caller frees the array. */
static store_item_t *
decode_items(const Iris__ViewUpdate *update)
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

void
view_relay_on_update(view_relay_t *relay, const Iris__ViewUpdate *update)
{
    if (update->kind >= VIEW_WATCHED)
        return; /* a kind of a newer version */
    if (update->at == 0) {
        store_watch_read_once(relay->conf.watch, update->kind);
        return;
    }
    view_t *view = &relay->conf.views->items[update->kind];
    store_item_t *items = decode_items(update);
    view_result_t result;
    if (update->whole) {
        result = view_replace(view, items, update->n_items, update->at);
    } else {
        view_confirm(view, update->base_digest, update->from);
        result = view_apply(view, items, update->n_items, update->from, update->at);
    }
    free(items);
    if (result == VIEW_CHANGED)
        views_changed(relay->conf.views, update->kind, "peer");
}
