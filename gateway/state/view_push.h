/*
 * View push: sends changes of the views on to other instances, unasked.
 *
 * What the store brought is sent to all instances, or only to those of the own region if the fleet
 * or the change is large; each region has watchers of its own. policy/relay.h decides who of them
 * sends to whom and how often. An object that changed several times goes once, as it is now, and a
 * change reaches back to earlier ones where that makes it no larger, so that a peer that missed
 * those can still apply it. A peer whose connection does not take what it was sent is left out
 * (peer_try_send()); it gets a later change, or asks for what it lacks (view_relay.h).
 * Ahead of a large change of the list of backend servers goes which of them leave (departures.h),
 * straight to all.
 *
 * Owns what is to be sent and the pace. Relies on views.h for the objects, on membership/members.h
 * for the peers, on peer/link.h for the connections.
 */
#pragma once

#include "gateway/membership/members.h"
#include "gateway/state/departures.h"
#include "gateway/state/store_watch.h"
#include "gateway/state/views.h"
#include "peer/link.h"

enum {
    /* Earlier changes that a change may reach back to. Chosen: some seconds of a storm. */
    PUSH_POINTS = 8,
    /* Changes that are known to have been sent on. Chosen: those of some seconds, of the watchers
     * of a region. */
    PUSH_FORWARDED = 32,
};

typedef struct {
    uv_loop_t *loop;
    peer_hub_t *hub;
    const members_t *members;
    const views_t *views;
    str_t instance; /* name of this instance */
    size_t region;
    double link_bytes_per_s; /* of this instance, one direction; 0 if not known */
} view_push_conf_t;

/* A revision of a view, and its digest then. */
typedef struct {
    uint64_t at;
    uint64_t digest;
} push_point_t;

/* Changes of one view. */
typedef struct {
    bool due;                           /* some came from the store and are to be sent */
    push_point_t from;                  /* they come after this point */
    uint64_t next_ms;                   /* loop time from which a large change may be sent */
    push_point_t earlier[PUSH_POINTS];  /* a ring: where the last changes came after */
    uint64_t earlier_count;             /* of all time */
    uint64_t forwarded[PUSH_FORWARDED]; /* a ring: revisions up to which changes were sent on */
    uint64_t forwarded_count;           /* of all time */
} push_kind_t;

typedef struct {
    view_push_conf_t conf;
    name_t instance;
    push_kind_t kinds[VIEW_WATCHED];
} view_push_t;

void view_push_init(view_push_t *push, const view_push_conf_t *conf);
/* The store brought changes, which the view holds already: sends them as soon as the pace allows.
 * `departures` of the list of backend servers go ahead of a large one. */
void view_push_changed(view_push_t *push, const view_delta_t *delta,
                       const departures_t *departures);
/* Regular work: sends what is due. */
void view_push_tick(view_push_t *push);
/* A peer sent changes unasked, which are unpacked: sends them on to those that are this instance's
 * to tell, whether or not they were news here. */
void view_push_forward(view_push_t *push, const Iris__ViewUpdate *update);
