/*
 * The views of all watched kinds, with a callback for changes.
 *
 * Owns the views. Filled by store_watch.h from the store and by view_relay.h from peers. The
 * callback is set by the instance, which applies the change.
 */
#pragma once

#include "gateway/state/store_history.h"
#include "gateway/state/view.h"
#include "gateway/state/view_age.h"

typedef struct {
    size_t count;               /* kinds in use, the first ones */
    view_t items[VIEW_WATCHED]; /* indexed by view_kind_t */
    store_history_t history;
    view_age_t ages[VIEW_WATCHED];
    /* Called after a view has changed. */
    void (*on_change)(void *ctx, view_kind_t kind);
    /* Called when the store has come back from an older copy. */
    void (*on_return)(void *ctx);
    void *ctx;
} views_t;

/* Logs a change from `source` ("list", "watch" or "peer") whose oldest part is `age_ms` old, and
 * calls on_change. */
void views_changed(views_t *views, view_kind_t kind, const char *source, uint64_t age_ms,
                   uint64_t now_ms);
/* Learns of an era of the store, from an answer or a peer. */
void views_learn_era(views_t *views, uint64_t era);
