/*
 * View push: sends changes of the views to other instances unsolicited.
 *
 * Changes read from the store are sent to all instances, or only to those of the own mesh if the
 * fleet or the change is large; each mesh has its own watchers. policy/relay.h decides which
 * instance sends to which and how often. An object that changed several times is sent once, in its
 * current state. A change may start from an earlier base revision if that does not make it larger,
 * so that a peer that missed changes can still apply it. A peer whose connection is backed up is
 * skipped (peer_try_send()); it receives a later change or requests the missing changes
 * (view_relay.h). For a large change of the backend list, the departing backend servers are sent
 * ahead, directly to all receivers (departures.h).
 *
 * Owns the pending changes and the rate limit. Depends on views.h for the objects, on
 * membership/members.h for the peers and on peer/link.h for the connections.
 */
#pragma once

#include "gateway/membership/members.h"
#include "gateway/state/departures.h"
#include "gateway/state/store_watch.h"
#include "gateway/state/views.h"
#include "peer/link.h"

enum {
    /* Earlier base revisions kept per view, covering a few seconds of frequent changes. */
    PUSH_BASES_MAX = 8,
    /* Revisions remembered as already forwarded, covering a few seconds of changes from all
     * watchers of a mesh. */
    PUSH_FORWARDED_MAX = 32,
};

typedef struct {
    uv_loop_t *loop;
    peer_hub_t *hub;
    const members_t *members;
    const views_t *views;
    str_t instance; /* name of this instance */
    size_t region;
    double link_bytes_per_s; /* per direction; 0 if unknown */
} view_push_conf_t;

/* A revision of a view and its digest at that revision. */
typedef struct {
    uint64_t at;
    uint64_t digest;
} push_point_t;

/* State of one view. */
typedef struct {
    bool due;                               /* changes from the store are pending */
    push_point_t from;                      /* base of the pending changes */
    uint64_t next_ms;                       /* loop time before which no large change may be sent */
    push_point_t earlier[PUSH_BASES_MAX];   /* ring buffer: bases of the last changes sent */
    uint64_t earlier_count;                 /* total ever recorded */
    uint64_t forwarded[PUSH_FORWARDED_MAX]; /* ring buffer: revisions already forwarded */
    uint64_t forwarded_count;               /* total ever recorded */
} push_kind_t;

typedef struct {
    view_push_conf_t conf;
    name_t instance;
    push_kind_t kinds[VIEW_WATCHED];
} view_push_t;

void view_push_init(view_push_t *push, const view_push_conf_t *conf);
/* Sends changes from the store, already applied to the view, as soon as the rate limit allows.
 * `departures` in the backend list are sent ahead of a large change. */
void view_push_changed(view_push_t *push, const view_delta_t *delta,
                       const departures_t *departures);
/* Sends pending changes. Called regularly. */
void view_push_tick(view_push_t *push);
/* Forwards an unsolicited, already decompressed change from a peer to the receivers assigned to
 * this instance, even if the change was already known here. */
void view_push_forward(view_push_t *push, const Iris__ViewUpdate *update, uint64_t era);
