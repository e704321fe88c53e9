/*
 * View relay: how an instance gets what it lacks of the views from its peers, and gives it to them.
 *
 * Changes that a watch brought are sent to the others unasked (view_push.h). Heartbeats carry each
 * view's revision and digest: an instance that stays behind a peer asks it for what it lacks
 * (policy/relay.h says when), and is sent each object that changed since, as it is now. Answers
 * keep to a rate in bytes, so that many that ask at once do not fill the link of one; who gets none
 * asks another peer.
 *
 * Owns the pace of requests and answers. Relies on views.h for what it fills, on store_watch.h for
 * the state of the store, on membership/members.h for the peers, on peer/link.h for the
 * connections.
 */
#pragma once

#include "base/bucket.h"
#include "gateway/policy/relay.h"
#include "gateway/state/store_watch.h"
#include "gateway/state/view_push.h"
#include "peer/link.h"

typedef struct {
    uv_loop_t *loop;
    peer_hub_t *hub;
    views_t *views;
    store_watch_t *watch;
    view_push_t *push;       /* sends on what peers sent */
    size_t region;           /* of this instance */
    double link_bytes_per_s; /* of this instance, one direction; 0 if not known */
} view_relay_conf_t;

/* A whole view as it was packed last: of a hall that starts together all ask for the same, and
 * packing 1,356 entries takes 4 ms of a core. */
typedef struct {
    uint64_t at; /* revision of the view */
    uint8_t *list;
    size_t len;
    uint32_t unpacked_bytes; /* 0: there is none */
} packed_view_t;

typedef struct {
    view_relay_conf_t conf;
    uint64_t started_ms;
    bucket_t answers; /* bytes that answers may take now */
    packed_view_t packed[VIEW_WATCHED];
    struct {
        relay_lag_t lag;
        uint64_t requested_ms; /* when a peer was last asked for the view */
    } kinds[VIEW_WATCHED];
} view_relay_t;

void view_relay_init(view_relay_t *relay, const view_relay_conf_t *conf);
/* A view has changed here, from whatever source. */
void view_relay_view_changed(view_relay_t *relay, view_kind_t kind);
/* Asks the peer for each view in which it is ahead for long enough. */
void view_relay_compare(view_relay_t *relay, const member_t *member);
/* A peer has sent a view or changes of it, whose bodies are unpacked in place. */
void view_relay_on_update(view_relay_t *relay, const peer_conn_t *conn, Iris__ViewUpdate *update);
/* A peer asks for a view. */
void view_relay_on_request(view_relay_t *relay, peer_conn_t *conn,
                           const Iris__ViewRequest *request);
