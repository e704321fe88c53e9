#include "gateway/state/view_relay.h"

#include <stdlib.h>

#include <uv.h>

#define LOG_MODULE "sync"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/state/position.h"
#include "gateway/state/view_message.h"

enum {
    REQUEST_INTERVAL_MS = 600, /* minimum interval between requests for a view */
    /* A starting instance first requests views from peers of its own mesh, as whole views are
     * large. Exceeds the time in which those peers are discovered. */
    START_OWN_REGION_MS = 600,
    /* A peer that can read the store gets no whole view above this size: in large fleets whole
     * views make most of the bytes between instances. */
    WHOLE_MAX_BYTES = 200000,
    /* Upper bound of the expected compression ratio; routes reach 9 to 12. */
    PACK_RATIO_MAX = 16,
};

void
view_relay_init(view_relay_t *relay, const view_relay_conf_t *conf)
{
    *relay = (view_relay_t){.conf = *conf, .started_ms = loop_now(conf->loop)};
    bucket_init(&relay->answers, relay_response_rate(conf->link_bytes_per_s),
                relay_response_burst(conf->link_bytes_per_s), relay->started_ms);
}

void
view_relay_view_changed(view_relay_t *relay, view_kind_t kind)
{
    relay_lag_reached(&relay->kinds[kind].lag, relay->conf.views->items[kind].at);
}

/* ---- answering requests ---- */

/* True if the rate limit has room for an answer of that size. A full burst always suffices. */
static bool
has_answer_budget(view_relay_t *relay, size_t bytes)
{
    const double burst = relay_response_burst(relay->conf.link_bytes_per_s);
    const double needed = (double)bytes < burst ? (double)bytes : burst;
    return bucket_tokens(&relay->answers, loop_now(relay->conf.loop)) >= needed;
}

static bool
take_answer_budget(view_relay_t *relay, size_t bytes)
{
    if (!has_answer_budget(relay, bytes))
        return false;
    bucket_charge(&relay->answers, (double)bytes, loop_now(relay->conf.loop));
    return true;
}

/* Compresses the answer if the peer accepts it. False if the answer would exceed the rate limit
 * even when compressed; this avoids compressing a large configuration for every peer of a region
 * that asks at once. */
static bool
pack_answer(view_relay_t *relay, view_message_t *message, const Iris__ViewRequest *request)
{
    if (!request->unpacks)
        return true;
    if (!has_answer_budget(relay, message->bytes / PACK_RATIO_MAX))
        return false;
    view_message_pack(message,
                      request->reads_lists ? VIEW_FORMAT_PACKED_LIST : VIEW_FORMAT_PACKED_BODIES);
    return true;
}

/* False if the peer is to read the store instead. An answer beyond the rate limit is dropped by
 * send_reply(). */
static bool
prepare_answer(view_relay_t *relay, view_message_t *message, const Iris__ViewRequest *request)
{
    const bool may_fit_budget = pack_answer(relay, message, request);
    return !may_fit_budget || request->whole || message->bytes <= WHOLE_MAX_BYTES;
}

static void
send_reply(view_relay_t *relay, peer_conn_t *conn, const view_message_t *message)
{
    const Iris__ViewUpdate *update = &message->update;
    const bool sent =
        take_answer_budget(relay, message->bytes) && peer_try_reply(conn, &message->envelope);
    LOG_INFO("view request %s: kind=%u from=%llu at=%llu whole=%d objects=%zu bytes=%zu",
             sent ? "answered" : "not answered", update->kind, (unsigned long long)update->from,
             (unsigned long long)update->at, update->whole, update->n_items, message->bytes);
    if (sent)
        counter_add(counter_get("irisstall_view_bytes_total", "reason=\"request\"",
                                "Bytes of objects sent to peers, by what made them go."),
                    message->bytes);
}

/* Position of the asking peer's view; 0 if it has none. */
static uint64_t
requested_position(const view_relay_t *relay, const Iris__ViewRequest *request)
{
    const uint64_t era = store_history_peer_era(&relay->conf.views->history, request->era);
    return request->have > 0 ? position_make(era, request->have) : 0;
}

/* Answers with the changes since the peer's position. False if some removals are no longer known,
 * the peer's view is of another era, or the answer is too large for a peer that can read the
 * store. */
static bool
reply_changes(view_relay_t *relay, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    const view_t *view = &relay->conf.views->items[request->kind];
    const uint64_t have = requested_position(relay, request);
    size_t count;
    store_item_t *items = have > 0 ? view_since(view, have, &count) : NULL;
    if (items == NULL)
        return false;
    view_message_t message;
    view_message_fill(&message, items, count);
    message.update.kind = request->kind;
    view_message_set_range(&message, have, view->at);
    message.update.base_digest = request->digest;
    message.update.age_ms =
        view_age_since(&relay->conf.views->ages[request->kind], have, loop_now(relay->conf.loop));
    const bool fits = prepare_answer(relay, &message, request);
    if (fits)
        send_reply(relay, conn, &message);
    view_message_free(&message);
    free(items);
    return fits;
}

/* Answers with the cached compressed view; false if the cache does not match. */
static bool
reply_packed(view_relay_t *relay, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    const packed_view_t *packed = &relay->packed[request->kind];
    if (!request->reads_lists || packed->unpacked_bytes == 0 ||
        packed->at != relay->conf.views->items[request->kind].at)
        return false;
    Iris__ViewUpdate update = IRIS__VIEW_UPDATE__INIT;
    update.kind = request->kind;
    update.at = position_revision(packed->at);
    update.era = (uint32_t)position_era(packed->at);
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
cache_packed(view_relay_t *relay, const view_message_t *message)
{
    const Iris__ViewUpdate *update = &message->update;
    packed_view_t *packed = &relay->packed[update->kind];
    if (update->unpacked_bytes == 0)
        return;
    free(packed->list);
    *packed = (packed_view_t){
        .at = view_update_at(update, update->era),
        .list =
            (uint8_t *)xmemdup0((const char *)update->packed_items.data, update->packed_items.len),
        .len = update->packed_items.len,
        .unpacked_bytes = update->unpacked_bytes,
    };
}

/* Sends the whole view or, if it is too large for a peer that can read the store, an empty answer
 * that refers the peer to the store. */
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
    if (fits)
        view_message_set_range(&message, 0, view->at);
    message.update.whole = fits;
    if (fits)
        cache_packed(relay, &message);
    send_reply(relay, conn, &message);
    view_message_free(&message);
    free(items);
}

void
view_relay_on_request(view_relay_t *relay, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    if (request->kind >= relay->conf.views->count || !relay->conf.views->items[request->kind].known)
        return; /* unknown kind, or no data yet: the peer asks another instance later */
    if (!reply_changes(relay, conn, request) && !reply_packed(relay, conn, request))
        reply_whole(relay, conn, request);
}

/* ---- sending requests ---- */

static void
request_view(view_relay_t *relay, view_kind_t kind, const addr_t *peer)
{
    const view_t *view = &relay->conf.views->items[kind];
    const uint64_t now_ms = loop_now(relay->conf.loop);
    const uint64_t interval_ms = view->known ? REQUEST_INTERVAL_MS : VIEW_START_REQUEST_MS;
    if (relay->kinds[kind].requested_ms > 0 &&
        now_ms - relay->kinds[kind].requested_ms < interval_ms)
        return;
    relay->kinds[kind].requested_ms = now_ms;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewRequest request = IRIS__VIEW_REQUEST__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_REQUEST;
    envelope.view_request = &request;
    request.kind = kind;
    request.have = view->known ? position_revision(view->at) : 0;
    request.era = (uint32_t)position_era(view->at);
    request.digest = view->digest;
    request.whole = store_watch_is_failing(relay->conf.watch);
    request.unpacks = true;
    request.reads_lists = true;
    peer_send(relay->conf.hub, peer, &envelope);
    const relay_lag_t *lag = &relay->kinds[kind].lag;
    const bool lags = lag->missing_revision > 0;
    LOG_INFO("view requested: kind=%d have=%llu whole=%d missing=%llu behind_ms=%llu", kind,
             (unsigned long long)request.have, request.whole,
             (unsigned long long)position_revision(lag->missing_revision),
             lags ? (unsigned long long)(now_ms - lag->since_ms) : 0);
}

/* True if a request to a peer that holds the view is due. */
static bool
should_request(view_relay_t *relay, view_kind_t kind, const member_t *member)
{
    const uint64_t at = member->views[kind].at;
    const uint64_t now_ms = loop_now(relay->conf.loop);
    relay_lag_t *lag = &relay->kinds[kind].lag;
    if (!relay->conf.views->items[kind].known)
        return members_mesh(relay->conf.members, member) ==
                   members_own_mesh(relay->conf.members, relay->conf.region) ||
               now_ms - relay->started_ms >= START_OWN_REGION_MS;
    relay_lag_detected(lag, at, now_ms);
    return relay_lag_should_pull(lag, at, now_ms);
}

void
view_relay_compare(view_relay_t *relay, const member_t *member)
{
    for (view_kind_t kind = 0; kind < relay->conf.views->count; kind++) {
        const member_view_t *theirs = &member->views[kind];
        view_t *ours = &relay->conf.views->items[kind];
        if (!theirs->known)
            continue;
        /* A peer that is no newer gives no information about our view. */
        if (ours->known && theirs->at <= ours->at)
            continue;
        if (ours->known && theirs->digest == ours->digest) {
            view_confirm(ours, theirs->digest, theirs->at);
            view_relay_view_changed(relay, kind);
            continue;
        }
        if (should_request(relay, kind, member))
            request_view(relay, kind, &member->peer);
    }
}

/* ---- receiving ---- */

static view_result_t
apply_update(view_t *view, const Iris__ViewUpdate *update, uint64_t era)
{
    const uint64_t from = view_update_from(update, era);
    const uint64_t at = view_update_at(update, era);
    store_item_t *items = view_message_items(update, era);
    view_result_t result;
    if (update->whole) {
        result = view_replace(view, items, update->n_items, at);
    } else {
        view_confirm(view, update->base_digest, from);
        result = view_apply(view, items, update->n_items, from, at);
    }
    free(items);
    return result;
}

/* Handles an unsolicited change from a peer. */
static void
on_pushed_change(view_relay_t *relay, const Iris__ViewUpdate *update, uint64_t era,
                 view_result_t result)
{
    relay_lag_t *lag = &relay->kinds[update->kind].lag;
    const uint64_t now_ms = loop_now(relay->conf.loop);
    relay_lag_change_received(lag, view_update_wire_bytes(update), now_ms);
    if (result == VIEW_GAP)
        relay_lag_detected(lag, view_update_at(update, era), now_ms);
    view_push_forward(relay->conf.push, update, era);
}

/* A whole view, or an update from an instance that does not report ages, can be of any age. */
static uint64_t
update_age_ms(const Iris__ViewUpdate *update)
{
    return update->whole || update->age_ms == 0 ? VIEW_AGE_MAX_MS + 1 : update->age_ms;
}

void
view_relay_on_update(view_relay_t *relay, const peer_conn_t *conn, Iris__ViewUpdate *update)
{
    if (update->kind >= relay->conf.views->count)
        return; /* a kind added by a newer version, or not in use */
    if (update->at == 0) {
        store_watch_read_once(relay->conf.watch, update->kind);
        return;
    }
    if (!view_message_unpack(update)) {
        LOG_WARN("invalid view update: kind=%u at=%llu", update->kind,
                 (unsigned long long)update->at);
        return;
    }
    views_learn_era(relay->conf.views, update->era);
    const uint64_t era = store_history_peer_era(&relay->conf.views->history, update->era);
    const view_result_t result = apply_update(&relay->conf.views->items[update->kind], update, era);
    if (peer_conn_is_incoming(conn))
        on_pushed_change(relay, update, era, result);
    if (result == VIEW_CHANGED)
        views_changed(relay->conf.views, update->kind, "peer", update_age_ms(update),
                      loop_now(relay->conf.loop));
}
