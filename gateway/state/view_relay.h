/*
 * View relay: requests missing changes of views from peers, and answers such requests.
 *
 * Changes from a watch are pushed to other instances (view_push.h). Heartbeats carry the revision
 * and digest of each view. An instance that remains behind a peer requests the missing changes
 * (policy/relay.h decides when) and receives each object changed since, in its current state.
 * Answers are rate-limited in bytes, so that many requests at once do not saturate the link; a peer
 * that gets no answer sends the request to another one.
 *
 * Owns the rate limits of requests and answers. Depends on views.h for the views, on store_watch.h
 * for the state of the store, on membership/members.h for the peers and on peer/link.h for the
 * connections.
 */
#pragma once

#include "base/bucket.h"
#include "gateway/policy/relay.h"
#include "gateway/state/store_watch.h"
#include "gateway/state/view_push.h"
#include "peer/link.h"

/* Interval of requests for a view that is not known yet, in milliseconds. */
enum { VIEW_START_REQUEST_MS = 200 };

typedef struct {
    uv_loop_t *loop;
    peer_hub_t *hub;
    const members_t *members;
    views_t *views;
    store_watch_t *watch;
    view_push_t *push;       /* forwards changes received from peers */
    size_t region;           /* of this instance */
    double link_bytes_per_s; /* per direction; 0 if unknown */
} view_relay_conf_t;

/* Cached compressed view: instances that start together all request the same one, and compressing a
 * large list costs several milliseconds of CPU time. */
typedef struct {
    uint64_t at; /* revision of the view */
    uint8_t *list;
    size_t len;
    uint32_t unpacked_bytes; /* 0 if empty */
} packed_view_t;

typedef struct {
    view_relay_conf_t conf;
    uint64_t started_ms;
    bucket_t answers; /* byte budget for answers */
    packed_view_t packed[VIEW_WATCHED];
    struct {
        relay_lag_t lag;
        uint64_t requested_ms; /* loop time of the last request to a peer */
    } kinds[VIEW_WATCHED];
} view_relay_t;

void view_relay_init(view_relay_t *relay, const view_relay_conf_t *conf);
/* Records that a view has changed, whatever the source. */
void view_relay_view_changed(view_relay_t *relay, view_kind_t kind);
/* Requests each view in which the peer has been ahead for long enough. */
void view_relay_compare(view_relay_t *relay, const member_t *member);
/* Handles a view update from a peer; decompresses it in place. */
void view_relay_on_update(view_relay_t *relay, const peer_conn_t *conn, Iris__ViewUpdate *update);
/* Handles a request from a peer. */
void view_relay_on_request(view_relay_t *relay, peer_conn_t *conn,
                           const Iris__ViewRequest *request);
