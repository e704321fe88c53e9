/*
 * View relay: what instances send each other of their views, so that few of them watch the store.
 *
 * Changes that a watch brought are sent to the others at once: to all instances, or only to those
 * of the own region if the fleet or the change is large; each region has watchers of its own.
 * Heartbeats carry each view's revision and digest: an instance that stays behind a peer for 0.45 s
 * asks it for what it lacks.
 *
 * Owns the pace of its requests. Relies on views.h for what it fills, on store_watch.h for the
 * state of the store, on membership/members.h for the peers, on peer/link.h for the connections.
 */
#pragma once

#include "gateway/state/store_watch.h"
#include "peer/link.h"

typedef struct {
    uv_loop_t *loop;
    peer_hub_t *hub;
    const members_t *members;
    views_t *views;
    store_watch_t *watch;
    str_t instance; /* name of this instance */
    size_t region;
} view_relay_conf_t;

typedef struct {
    view_relay_conf_t conf;
    name_t instance;
    uint64_t started_ms;
    struct {
        uint64_t behind_since_ms; /* when a peer was first seen to be ahead, 0: none is */
        uint64_t requested_ms;    /* when a peer was last asked for the view */
    } kinds[VIEW_WATCHED];
} view_relay_t;

void view_relay_init(view_relay_t *relay, const view_relay_conf_t *conf);
/* Sends changes of a view to the peers that are to have them at once. */
void view_relay_send(view_relay_t *relay, const view_delta_t *delta);
/* A view has changed here, from whatever source. */
void view_relay_view_changed(view_relay_t *relay, view_kind_t kind);
/* Asks the peer for each view in which it is ahead for long enough. */
void view_relay_compare(view_relay_t *relay, const member_t *member);
/* A peer has sent a view or changes of it. */
void view_relay_on_update(view_relay_t *relay, const Iris__ViewUpdate *update);
/* A peer asks for a view. */
void view_relay_on_request(view_relay_t *relay, peer_conn_t *conn,
                           const Iris__ViewRequest *request);
