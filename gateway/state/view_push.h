/*
 * View push: sends changes of the views on to other instances, unasked.
 *
 * What a watch brought is sent to all instances, or only to those of the own region if the fleet or
 * the change is large; each region has watchers of its own. policy/relay.h decides who of them
 * sends to whom and how often. An object that changed several times goes once, as it is now. A peer
 * whose connection does not take what it was sent gets nothing further until it does, and asks for
 * what it lacks (view_relay.h).
 *
 * Owns what is to be sent and the pace. Relies on views.h for the objects, on membership/members.h
 * for the peers, on peer/link.h for the connections.
 */
#pragma once

#include "gateway/membership/members.h"
#include "gateway/state/store_watch.h"
#include "gateway/state/views.h"
#include "peer/link.h"

typedef struct {
    uv_loop_t *loop;
    peer_hub_t *hub;
    const members_t *members;
    const views_t *views;
    str_t instance; /* name of this instance */
    size_t region;
} view_push_conf_t;

/* Changes of one view that came from the store and are to be sent. */
typedef struct {
    bool due;
    uint64_t from;        /* the changes come after this revision */
    uint64_t base_digest; /* of the view before them */
    uint64_t next_ms;     /* loop time from which they may be sent */
} push_kind_t;

typedef struct {
    view_push_conf_t conf;
    name_t instance;
    push_kind_t kinds[VIEW_WATCHED];
} view_push_t;

void view_push_init(view_push_t *push, const view_push_conf_t *conf);
/* A watch brought changes, which the view holds already: sends them as soon as the pace allows. */
void view_push_changed(view_push_t *push, const view_delta_t *delta);
/* Regular work: sends what is due. */
void view_push_tick(view_push_t *push);
/* A peer sent changes unasked, and the view did not hold them: sends them on to those that are this
 * instance's to tell. */
void view_push_forward(view_push_t *push, const Iris__ViewUpdate *update);
