#include "gateway/state/view_relay.h"

#include <stdlib.h>

#include <uv.h>

#define LOG_MODULE "sync"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/state/view_message.h"

enum {
    REQUEST_EVERY_MS = 600, /* an instance asks for a view at most this often. Chosen */
    /* A started instance asks those of its own region first: a whole view is some 80 kB. Chosen:
     * above the time in which they are heard of. */
    START_NEAR_MS = 600,
    START_REQUEST_EVERY_MS = 200, /* until it knows a view; each time another peer. Chosen */
    /* Bytes of a view that a peer gets; a larger one it reads from the store. In the sweep at 300
     * instances whole views of 1 MB made most of the bytes (commit 59548b9). */
    WHOLE_MAX = 200000,
    /* No answer is expected to pack to less than this part: routes pack 9 to 12 times. Chosen. */
    PACK_PART = 16,
};

void
view_relay_init(view_relay_t *relay, const view_relay_conf_t *conf)
{
    *relay = (view_relay_t){.conf = *conf, .started_ms = loop_now(conf->loop)};
    bucket_init(&relay->answers, relay_answers_per_s(conf->link_bytes_per_s),
                relay_answers_burst(conf->link_bytes_per_s), relay->started_ms);
}

void
view_relay_view_changed(view_relay_t *relay, view_kind_t kind)
{
    relay_lag_reached(&relay->kinds[kind].lag, relay->conf.views->items[kind].at);
}

/* ---- answering a request ---- */

/* False if answers have taken all that they may for now. A whole burst is always enough. */
static bool
has_room(view_relay_t *relay, size_t bytes)
{
    const double burst = relay_answers_burst(relay->conf.link_bytes_per_s);
    const double needed = (double)bytes < burst ? (double)bytes : burst;
    return bucket_tokens(&relay->answers, loop_now(relay->conf.loop)) >= needed;
}

static bool
may_answer(view_relay_t *relay, size_t bytes)
{
    if (!has_room(relay, bytes))
        return false;
    bucket_charge(&relay->answers, (double)bytes, loop_now(relay->conf.loop));
    return true;
}

/* Packs the answer for a peer that takes it so; false if there is no room for it even then: packing
 * a large configuration for each of a region that asks at once would hold up requests. */
static bool
pack_answer(view_relay_t *relay, view_message_t *message, const Iris__ViewRequest *request)
{
    if (!request->unpacks)
        return true;
    if (!has_room(relay, message->bytes / PACK_PART))
        return false;
    view_message_pack(message, request->reads_lists ? VIEW_READS_LISTS : VIEW_READS_BODIES);
    return true;
}

/* False if the peer is to read the store instead. One without room is refused by send_reply(). */
static bool
prepare_answer(view_relay_t *relay, view_message_t *message, const Iris__ViewRequest *request)
{
    const bool has_a_chance = pack_answer(relay, message, request);
    return !has_a_chance || request->whole || message->bytes <= WHOLE_MAX;
}

static void
send_reply(view_relay_t *relay, peer_conn_t *conn, const view_message_t *message)
{
    const Iris__ViewUpdate *update = &message->update;
    const bool sent = may_answer(relay, message->bytes) && peer_try_reply(conn, &message->envelope);
    LOG_INFO("view request %s: kind=%u from=%llu at=%llu whole=%d objects=%zu bytes=%zu",
             sent ? "answered" : "not answered", update->kind, (unsigned long long)update->from,
             (unsigned long long)update->at, update->whole, update->n_items, message->bytes);
    if (sent)
        counter_add(counter_get("irisstall_view_bytes_total", "reason=\"request\"",
                                "Bytes of objects sent to peers, by what made them go."),
                    message->bytes);
}

/* Answers with what changed since the peer's revision; false if that is not known any more, or is
 * more than a peer sends unless it is needed. */
static bool
reply_changes(view_relay_t *relay, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    const view_t *view = &relay->conf.views->items[request->kind];
    size_t count;
    store_item_t *items = request->have > 0 ? view_since(view, request->have, &count) : NULL;
    if (items == NULL)
        return false;
    view_message_t message;
    view_message_fill(&message, items, count);
    message.update.kind = request->kind;
    message.update.from = request->have;
    message.update.at = view->at;
    message.update.base_digest = request->digest;
    message.update.age_ms = view_age_since(&relay->conf.views->ages[request->kind], request->have,
                                           loop_now(relay->conf.loop));
    const bool wanted = prepare_answer(relay, &message, request);
    if (wanted)
        send_reply(relay, conn, &message);
    view_message_free(&message);
    free(items);
    return wanted;
}

/* Answers with the view as it was packed for somebody else; false if that is another one. */
static bool
reply_packed(view_relay_t *relay, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    const packed_view_t *packed = &relay->packed[request->kind];
    if (!request->reads_lists || packed->unpacked_bytes == 0 ||
        packed->at != relay->conf.views->items[request->kind].at)
        return false;
    Iris__ViewUpdate update = IRIS__VIEW_UPDATE__INIT;
    update.kind = request->kind;
    update.at = packed->at;
    update.whole = true;
    update.packed_items = (ProtobufCBinaryData){packed->len, packed->list};
    update.unpacked_bytes = packed->unpacked_bytes;
    view_message_t message;
    xassert(view_message_fill_list(&message, &update));
    send_reply(relay, conn, &message);
    view_message_free(&message);
    return true;
}

static void
keep_packed(view_relay_t *relay, const view_message_t *message)
{
    const Iris__ViewUpdate *update = &message->update;
    packed_view_t *packed = &relay->packed[update->kind];
    if (update->unpacked_bytes == 0)
        return;
    free(packed->list);
    *packed = (packed_view_t){
        .at = update->at,
        .list =
            (uint8_t *)xmemdup0((const char *)update->packed_items.data, update->packed_items.len),
        .len = update->packed_items.len,
        .unpacked_bytes = update->unpacked_bytes,
    };
}

/* The whole view, or, if it is too large for a peer that can read the store, an empty answer that
 * tells it to. */
static void
reply_whole(view_relay_t *relay, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    const view_t *view = &relay->conf.views->items[request->kind];
    store_item_t *items = view_all(view);
    view_message_t message;
    view_message_fill(&message, items, view->count);
    const bool fits = prepare_answer(relay, &message, request);
    if (!fits) {
        view_message_free(&message);
        view_message_fill(&message, items, 0);
    }
    message.update.kind = request->kind;
    message.update.at = fits ? view->at : 0;
    message.update.whole = fits;
    if (fits)
        keep_packed(relay, &message);
    send_reply(relay, conn, &message);
    view_message_free(&message);
    free(items);
}

void
view_relay_on_request(view_relay_t *relay, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    if (request->kind >= VIEW_WATCHED || !relay->conf.views->items[request->kind].known)
        return; /* a newer kind, or nothing to tell: the peer asks somebody else later */
    if (!reply_changes(relay, conn, request) && !reply_packed(relay, conn, request))
        reply_whole(relay, conn, request);
}

/* ---- asking ---- */

static void
request_view(view_relay_t *relay, view_kind_t kind, const addr_t *peer)
{
    const view_t *view = &relay->conf.views->items[kind];
    const uint64_t now_ms = loop_now(relay->conf.loop);
    const uint64_t every_ms = view->known ? REQUEST_EVERY_MS : START_REQUEST_EVERY_MS;
    if (relay->kinds[kind].requested_ms > 0 && now_ms - relay->kinds[kind].requested_ms < every_ms)
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
    request.unpacks = true;
    request.reads_lists = true;
    peer_send(relay->conf.hub, peer, &envelope);
    LOG_INFO("view requested: kind=%d have=%llu whole=%d", kind, (unsigned long long)request.have,
             request.whole);
}

/* True if it is time to ask a peer that holds the view. */
static bool
is_time_to_ask(view_relay_t *relay, view_kind_t kind, const member_t *member)
{
    const uint64_t at = member->views[kind].at;
    const uint64_t now_ms = loop_now(relay->conf.loop);
    relay_lag_t *lag = &relay->kinds[kind].lag;
    if (!relay->conf.views->items[kind].known)
        return member->region == relay->conf.region || now_ms - relay->started_ms >= START_NEAR_MS;
    relay_lag_notice(lag, at, now_ms);
    return relay_lag_asks(lag, at, now_ms);
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
            view_relay_view_changed(relay, kind);
            continue;
        }
        if (is_time_to_ask(relay, kind, member))
            request_view(relay, kind, &member->peer);
    }
}

/* ---- receiving ---- */

static view_result_t
apply_update(view_t *view, const Iris__ViewUpdate *update)
{
    store_item_t *items = view_message_items(update);
    view_result_t result;
    if (update->whole) {
        result = view_replace(view, items, update->n_items, update->at);
    } else {
        view_confirm(view, update->base_digest, update->from);
        result = view_apply(view, items, update->n_items, update->from, update->at);
    }
    free(items);
    return result;
}

/* The peer sent changes of its own accord. */
static void
on_change(view_relay_t *relay, const Iris__ViewUpdate *update, view_result_t result)
{
    relay_lag_t *lag = &relay->kinds[update->kind].lag;
    const uint64_t now_ms = loop_now(relay->conf.loop);
    relay_lag_change(lag, view_update_wire_bytes(update), now_ms);
    if (result == VIEW_GAP)
        relay_lag_notice(lag, update->at, now_ms);
    view_push_forward(relay->conf.push, update);
}

/* A whole view, and what an instance sends that does not tell ages, may be of any age. */
static uint64_t
update_age_ms(const Iris__ViewUpdate *update)
{
    return update->whole || update->age_ms == 0 ? VIEW_AGE_MAX_MS + 1 : update->age_ms;
}

void
view_relay_on_update(view_relay_t *relay, const peer_conn_t *conn, Iris__ViewUpdate *update)
{
    if (update->kind >= VIEW_WATCHED)
        return; /* a kind of a newer version */
    if (update->at == 0) {
        store_watch_read_once(relay->conf.watch, update->kind);
        return;
    }
    if (!view_message_unpack(update)) {
        LOG_WARN("view update not usable: kind=%u at=%llu", update->kind,
                 (unsigned long long)update->at);
        return;
    }
    const view_result_t result = apply_update(&relay->conf.views->items[update->kind], update);
    if (peer_conn_is_incoming(conn))
        on_change(relay, update, result);
    if (result == VIEW_CHANGED)
        views_changed(relay->conf.views, update->kind, "peer", update_age_ms(update),
                      loop_now(relay->conf.loop));
}
