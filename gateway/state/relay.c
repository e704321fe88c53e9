#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/state/relay.h"

enum {
    REQUEST_EVERY_MS = 600,
    BEHIND_MS = 450,       /* a view that stays older than a peer's for this time is asked for */
    START_PEERS_MS = 700,  /* time that the store has to give the views at start */
    RELAY_FAR_MAX = 60000, /* bytes of a view's changes that are sent to other regions */
    WHOLE_MAX = 200000, /* bytes of a view that a peer gets; larger ones it reads from the store */
};

static Iris__ViewItem *
pack_items(const store_item_t *items, size_t count, Iris__ViewItem ***list)
{
    Iris__ViewItem *packed = xcalloc(count + 1, sizeof(*packed));
    *list = xcalloc(count + 1, sizeof(**list));
    for (size_t i = 0; i < count; i++) {
        iris__view_item__init(&packed[i]);
        packed[i].name = xmemdup0(items[i].name.ptr, items[i].name.len);
        packed[i].revision = items[i].revision;
        packed[i].gone = items[i].gone;
        packed[i].body.data = (uint8_t *)(uintptr_t)items[i].body.ptr;
        packed[i].body.len = items[i].gone ? 0 : items[i].body.len;
        (*list)[i] = &packed[i];
    }
    return packed;
}

static void
free_items(Iris__ViewItem *packed, Iris__ViewItem **list, size_t count)
{
    for (size_t i = 0; i < count; i++)
        free(packed[i].name);
    free(packed);
    free(list);
}

void
relay_changes(sync_t *sync, view_kind_t kind, const store_item_t *items, size_t count,
              uint64_t from, uint64_t at, uint64_t base_digest)
{
    size_t bytes = 0;
    for (size_t i = 0; i < count; i++)
        bytes += items[i].body.len;
    /* Large changes go to the own region; the others have followers of their own. */
    const bool far_too = sync->members->count <= MEMBERS_MESH && bytes <= RELAY_FAR_MAX;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewUpdate update = IRIS__VIEW_UPDATE__INIT;
    Iris__ViewItem *packed = pack_items(items, count, &update.items);
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
    envelope.view_update = &update;
    update.kind = kind;
    update.from = from;
    update.at = at;
    update.base_digest = base_digest;
    update.n_items = count;
    const uint64_t now = uv_now(sync->loop);
    for (size_t i = 0; i < sync->members->count; i++) {
        const member_t *member = &sync->members->items[i];
        const bool wanted = far_too || member->region == sync->region;
        if (wanted && member_alive(member, now) &&
            !name_eq(&member->instance, name_str(&sync->instance)))
            peer_send(sync->hub, &member->peer, &envelope);
    }
    free_items(packed, update.items, count);
}

static void
reply_view(peer_conn_t *conn, Iris__ViewUpdate *update, const store_item_t *items, size_t count)
{
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewItem *packed = pack_items(items, count, &update->items);
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
    envelope.view_update = update;
    update->n_items = count;
    peer_reply(conn, &envelope);
    free_items(packed, update->items, count);
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
sync_on_request(sync_t *sync, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    store_item_t changes[VIEW_CHANGES];
    size_t count;
    if (request->kind >= VIEW_WATCHED || !sync->views[request->kind].known)
        return;
    const view_t *view = &sync->views[request->kind];
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
    update.at = 0;
    reply_view(conn, &update, NULL, 0);
}

static void
request_view(sync_t *sync, view_kind_t kind, const addr_t *peer)
{
    follower_t *follower = &sync->followers[kind];
    const uint64_t now = uv_now(sync->loop);
    if (now - follower->requested_ms < REQUEST_EVERY_MS)
        return;
    follower->requested_ms = now;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewRequest request = IRIS__VIEW_REQUEST__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_REQUEST;
    envelope.view_request = &request;
    request.kind = kind;
    request.have = sync->views[kind].known ? sync->views[kind].at : 0;
    request.digest = sync->views[kind].digest;
    request.whole = sync_store_failing(sync);
    peer_send(sync->hub, peer, &envelope);
}

/* True if it is time to ask a peer: what is on its way, or comes from the store, is waited for. */
static bool
must_ask(sync_t *sync, view_kind_t kind)
{
    const uint64_t now = uv_now(sync->loop);
    follower_t *follower = &sync->followers[kind];
    if (!sync->views[kind].known)
        return now - sync->started_ms >= START_PEERS_MS;
    if (follower->behind_since_ms == 0)
        follower->behind_since_ms = now;
    return now - follower->behind_since_ms >= BEHIND_MS;
}

void
sync_compare(sync_t *sync, const member_t *member)
{
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++) {
        const member_view_t *theirs = &member->views[kind];
        view_t *ours = &sync->views[kind];
        if (!theirs->known)
            continue;
        /* Peers that are behind as well do not count. */
        if (ours->known && theirs->at <= ours->at)
            continue;
        if (ours->known && theirs->digest == ours->digest) {
            view_confirm(ours, theirs->digest, theirs->at);
            sync->followers[kind].behind_since_ms = 0;
            continue;
        }
        if (must_ask(sync, kind))
            request_view(sync, kind, &member->peer);
    }
}

void
sync_on_update(sync_t *sync, const Iris__ViewUpdate *update)
{
    if (update->kind >= VIEW_WATCHED)
        return;
    if (update->at == 0) {
        sync->followers[update->kind].must_read = true;
        return;
    }
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
    view_t *view = &sync->views[update->kind];
    if (!update->whole)
        view_confirm(view, update->base_digest, update->from);
    const view_result_t result =
        update->whole ? view_replace(view, items, update->n_items, update->at)
                      : view_apply(view, items, update->n_items, update->from, update->at);
    free(items);
    if (result == VIEW_CHANGED)
        sync_view_changed(sync, update->kind, "peer");
}
