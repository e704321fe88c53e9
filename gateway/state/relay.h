/* What instances tell each other of their views; part of sync.h. */
#pragma once

#include "gateway/state/sync.h"

/* Sends changes of a view to the instances that are to have them at once. */
void relay_changes(sync_t *sync, view_kind_t kind, const store_item_t *items, size_t count,
                   uint64_t from, uint64_t at, uint64_t base_digest);
/* Tells the instance that a view has changed, and by what. */
void sync_view_changed(sync_t *sync, view_kind_t kind, const char *source);
