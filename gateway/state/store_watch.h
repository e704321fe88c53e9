/*
 * Store watch: keeps the views up to date with the store by list and watch.
 *
 * Two instances of each region watch the store and pass changes on to the others (view_push.h). An
 * instance that sees no watcher in its region takes over, so that no instance depends on another. A
 * starting instance lists what its peers have not sent. See docs/design/gateway/store-calls.md.
 * Also detects whether the store fails for this instance, and when it recovered from an outage for
 * all instances.
 *
 * Owns the calls to the store and the detected store state. Depends on views.h for the views, on
 * membership/members.h for the other instances and on the store port of the platform adapter.
 */
#pragma once

#include <uv.h>

#include "gateway/membership/members.h"
#include "gateway/policy/removal.h"
#include "gateway/state/views.h"

/* A change of one view read from the store. */
typedef struct {
    view_kind_t kind;
    uint64_t from;        /* base position of the change */
    uint64_t base_digest; /* digest of the view at the base position */
} view_delta_t;

typedef struct {
    uv_loop_t *loop;
    const store_port_t *store;
    const members_t *members;
    views_t *views;
    str_t instance; /* name of this instance */
    size_t region;
    bool is_seed; /* starting instances ask this one first */
    /* Called after a watch or list changed a view that was already known; the view holds the
     * changes, and on_change of views_t has been called. */
    void (*on_delta)(void *ctx, const view_delta_t *delta);
    void *ctx;
} store_watch_conf_t;

typedef enum { WATCH_IDLE, WATCH_LISTING, WATCH_WATCHING } watch_state_t;

typedef struct store_watch store_watch_t;

/* List and watch state of one kind. */
typedef struct {
    store_watch_t *owner;
    view_kind_t kind;
    watch_state_t state;
    bool list_needed; /* the next call is a list: history is gone, or a watch answer was unusable */
    bool read_once;   /* list once even if this instance does not watch the store */
    bool is_probe;    /* the next watch is answered at once */
    uint64_t retry_at_ms;  /* loop time before which the store is not called */
    uint64_t answered_ms;  /* loop time of the last answer, 0 if none */
    uint64_t called_ms;    /* loop time at which the last call started */
    uint32_t wait_ms;      /* of that call: the store may answer as late as this */
    unsigned timeouts;     /* in a row */
    uint64_t current_ms;   /* loop time up to which the view is known to be complete */
    uint64_t watched_from; /* base position of the running watch */
    uint64_t listed_from;  /* position of the view when the list in progress began */
    uint64_t list_at;      /* position of the list in progress */
    unsigned call;         /* number of the last call; answers to earlier ones are dropped */
    store_item_t *pages;   /* objects received so far; owned */
    size_t page_count;
} kind_watch_t;

struct store_watch {
    store_watch_conf_t conf;
    name_t instance;
    kind_watch_t kinds[VIEW_WATCHED];
    unsigned failures;          /* consecutive failed calls */
    uint64_t delay_ms;          /* of the last answer, beyond the wait time of its call */
    bool in_outage;             /* the store is believed to fail for all instances */
    uint64_t outage_ms;         /* loop time at which the outage was detected */
    uint64_t failed_ms;         /* loop time of the last failure seen by any instance, 0 if none */
    uint64_t recovered_ms;      /* loop time of the recovery from the last outage, 0 if none */
    view_kind_t last_probed;    /* kind of the last probe while the store fails */
    uint64_t probe_at_ms;       /* loop time before which no other kind is probed */
    uint64_t fallback_until_ms; /* loop time until which it watches for lack of other watchers */
    uint64_t unwatched_ms;      /* loop time since which no peer seems to watch, 0 if one does */
    uint64_t started_ms;
    bool watching;
    bool stopped;
};

void store_watch_init(store_watch_t *watch, const store_watch_conf_t *conf);
/* Performs due calls. Called several times a second. */
void store_watch_tick(store_watch_t *watch);
/* Lists a kind once, even if this instance does not watch the store. */
void store_watch_read_once(store_watch_t *watch, view_kind_t kind);
/* Finds out at once whether the store still answers, instead of with the end of a watch. */
void store_watch_probe(store_watch_t *watch);
/* Milliseconds since the last answer of the store, STORE_AGE_NONE if this instance does not watch
 * it. */
uint32_t store_watch_age_ms(const store_watch_t *watch);
/* Milliseconds since the store last answered this instance, UINT64_MAX if it never did. */
uint64_t store_watch_silent_ms(const store_watch_t *watch);
/* True if the store currently fails for this instance. */
bool store_watch_is_failing(const store_watch_t *watch);
/* The store has come back from an older copy: entries that are missing now are written again, and
 * calls under way may wait for answers that never come. */
void store_watch_on_return(store_watch_t *watch);
/* Records a view change from any source, which shows that the store is serving some instance. */
void store_watch_view_changed(store_watch_t *watch);
/* Returns the times since the last recovery and the last failure. */
removal_store_t store_watch_outage_state(const store_watch_t *watch);
/* Stops all further calls to the store. */
void store_watch_stop(store_watch_t *watch);
