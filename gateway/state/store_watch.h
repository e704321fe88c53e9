/*
 * Store watch: keeps the views up to date from the store, by list and watch.
 *
 * Two instances of each region that the store serves watch it; what they learn they pass on to the
 * others (view_relay.h). An instance that hears of no watcher in its region takes over, so that no
 * instance depends on another; a started one lists what its peers have not brought
 * (policy/store_turns.h). docs/design/gateway/store-calls.md. Also tells whether the store fails
 * this instance, and when it came back from an outage for all of them.
 *
 * Owns the calls to the store and what is learned of its state. Relies on views.h for what it
 * fills, on membership/members.h for the other instances, on the adapter's store port.
 */
#pragma once

#include <uv.h>

#include "gateway/membership/members.h"
#include "gateway/policy/removal.h"
#include "gateway/state/views.h"

/* The store changed one view. */
typedef struct {
    view_kind_t kind;
    uint64_t from;        /* the changes came after this revision */
    uint64_t base_digest; /* of the view before them */
} view_delta_t;

typedef struct {
    uv_loop_t *loop;
    const store_port_t *store;
    const members_t *members;
    views_t *views;
    str_t instance; /* name of this instance */
    size_t region;
    bool is_seed; /* started instances ask this one first */
    /* A watch or a list brought changes of a view that was known; the view holds them, and
     * views_t's on_change has been called. */
    void (*on_delta)(void *ctx, const view_delta_t *delta);
    void *ctx;
} store_watch_conf_t;

typedef enum { WATCH_IDLE, WATCH_LISTING, WATCH_WATCHING } watch_state_t;

typedef struct store_watch store_watch_t;

/* List and watch of one kind. */
typedef struct {
    store_watch_t *owner;
    view_kind_t kind;
    watch_state_t state;
    bool list_needed;      /* the next call is a list: history is gone, or a watch was of no use */
    bool read_once;        /* list once even if this instance does not watch the store */
    uint64_t retry_at_ms;  /* loop time before which the store is not called */
    uint64_t answered_ms;  /* loop time of its last answer, 0 before the first */
    uint64_t called_ms;    /* loop time at which its last call was begun */
    uint64_t current_ms;   /* loop time up to which the view held all changes */
    uint64_t watched_from; /* revision that the running watch started from */
    uint64_t list_at;      /* revision of the list under way */
    store_item_t *pages;   /* what came of it so far; owned */
    size_t page_count;
} kind_watch_t;

struct store_watch {
    store_watch_conf_t conf;
    name_t instance;
    kind_watch_t kinds[VIEW_WATCHED];
    unsigned failures;          /* calls in a row */
    bool in_outage;             /* the store fails all instances, as far as is known here */
    uint64_t outage_ms;         /* loop time at which that was noticed */
    uint64_t failed_ms;         /* loop time at which it last failed any instance, or 0 */
    uint64_t recovered_ms;      /* loop time of its return from that, 0 before the first */
    view_kind_t last_probed;    /* kind that was asked for last while the store failed */
    uint64_t probe_at_ms;       /* loop time before which no other kind is asked for then */
    uint64_t fallback_until_ms; /* until then it watches because no peer seemed to */
    uint64_t unwatched_ms;      /* since when no peer seems to, 0 if one does */
    uint64_t started_ms;
    bool watching;
    bool stopped;
};

void store_watch_init(store_watch_t *watch, const store_watch_conf_t *conf);
/* Regular work, several times a second. */
void store_watch_tick(store_watch_t *watch);
/* Lists a kind once, whether or not this instance watches the store. */
void store_watch_read_once(store_watch_t *watch, view_kind_t kind);
/* Milliseconds since the store last answered, STORE_AGE_NONE if this instance does not watch it. */
uint32_t store_watch_age_ms(const store_watch_t *watch);
/* True if the store fails this instance now. */
bool store_watch_is_failing(const store_watch_t *watch);
/* A view has changed, here or by a peer: the store answers somebody. */
void store_watch_view_changed(store_watch_t *watch);
/* What this instance knows of the store's trouble. */
removal_store_t store_watch_outage_state(const store_watch_t *watch);
/* No further calls to the store. */
void store_watch_stop(store_watch_t *watch);
