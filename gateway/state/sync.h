/*
 * Keeps the views up to date: from the store by list and watch, and between instances.
 *
 * Two instances of each region follow the store, the first that the store serves; what they learn
 * they send to all others at once. One alone could be turned away in silence, which is noticed only
 * when its watch runs out.
 * Heartbeats carry each view's revision and digest, so that an instance that missed something
 * asks a peer for the whole view. An instance that hears of no peer that follows the store does
 * it itself, so no instance depends on another.
 */
#pragma once

#include "gateway/membership/members.h"
#include "gateway/state/view.h"
#include "peer/link.h"

typedef struct {
    /* A view has changed. */
    void (*on_view)(void *ctx, view_kind_t kind);
    void *ctx;
} sync_cbs_t;

typedef enum { FOLLOW_IDLE, FOLLOW_LISTING, FOLLOW_WATCHING } follow_state_t;

typedef struct sync sync_t;

typedef struct {
    sync_t *sync;
    view_kind_t kind;
    follow_state_t state;
    bool must_list;
    bool must_read; /* list once, though this instance does not follow the store */
    uint64_t retry_at_ms;
    uint64_t answered_ms;
    uint64_t asked_from; /* revision that the running watch started from */
    uint64_t list_at;
    /* pages of a list under way */
    store_item_t *pages;
    size_t page_count;
    uint64_t behind_since_ms; /* when a peer was first seen to have a newer view, 0: none has */
    uint64_t requested_ms;    /* when a peer was last asked for the whole view */
} follower_t;

struct sync {
    uv_loop_t *loop;
    const store_port_t *store;
    peer_hub_t *hub;
    members_t *members;
    name_t instance;
    size_t region;
    sync_cbs_t cbs;
    view_t views[VIEW_WATCHED];
    follower_t followers[VIEW_WATCHED];
    unsigned store_failures;  /* in a row */
    uint64_t down_until_ms;   /* how long a whole outage is remembered */
    uint64_t needed_until_ms; /* followed because no peer seemed to */
    uint64_t started_ms;
    bool following;
    bool stopped;
};

void sync_init(sync_t *sync, uv_loop_t *loop, const store_port_t *store, members_t *members,
               str_t instance, size_t region, const sync_cbs_t *cbs);
/* Regular work, several times a second. */
void sync_tick(sync_t *sync);
/* Asks the peer for each view in which it is ahead. */
void sync_compare(sync_t *sync, const member_t *member);
void sync_on_update(sync_t *sync, const Iris__ViewUpdate *update);
void sync_on_request(sync_t *sync, peer_conn_t *conn, const Iris__ViewRequest *request);
/* Time since the store last answered, STORE_AGE_NONE if this instance does not follow it. */
uint32_t sync_store_age(const sync_t *sync);
/* The store fails this instance now. */
bool sync_store_failing(const sync_t *sync);
/* The store was down for all instances, as far as this one knows, within the last seconds. */
bool sync_store_was_down(const sync_t *sync);
/* No further calls to the store. */
void sync_stop(sync_t *sync);
