/*
 * The views of all watched kinds, and whom to tell when one has changed.
 *
 * Owns the views. Filled by store_watch.h (from the store) and by view_relay.h (from peers); the
 * callback belongs to the instance, which applies the change.
 */
#pragma once

#include "gateway/state/view.h"
#include "gateway/state/view_age.h"

typedef struct {
    view_t items[VIEW_WATCHED]; /* by view_kind_t */
    view_age_t ages[VIEW_WATCHED];
    /* A view has changed. */
    void (*on_change)(void *ctx, view_kind_t kind);
    void *ctx;
} views_t;

/* A change came from that source ("list", "watch" or "peer"), the oldest in it is `age_ms` old:
 * logs it and calls on_change. */
void views_changed(views_t *views, view_kind_t kind, const char *source, uint64_t age_ms,
                   uint64_t now_ms);
