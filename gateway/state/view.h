/*
 * A view: this instance's copy of one kind of the store's objects.
 *
 * `at` is the store's revision up to which the view is complete. A view only moves forward: a whole
 * list replaces it if it is newer, changes are applied object by object. Two views with the same
 * digest hold the same objects.
 *
 * Owns copies of the objects and the latest removals. Does no input or output; store_watch.h and
 * view_relay.h fill it.
 */
#pragma once

#include "gateway/ports.h"

typedef struct {
    char *name;
    uint64_t revision;
    char *body;
    size_t body_len;
} view_item_t;

/* Removals kept for peers that missed some; beyond that they need the whole view. As many as
 * changes were kept before (commit 59548b9). */
enum { VIEW_REMOVALS_MAX = 512 };

typedef struct {
    char *name;
    uint64_t at; /* the view's revision once it was applied */
} view_removal_t;

typedef struct {
    uint64_t at;
    bool known;         /* a whole list came once */
    view_item_t *items; /* sorted by name */
    size_t count;
    size_t size;
    uint64_t digest;                            /* over all names and revisions */
    view_removal_t removals[VIEW_REMOVALS_MAX]; /* a ring */
    uint64_t removal_count;                     /* of all time */
    uint64_t removals_from; /* the ring holds all removals after this revision */
} view_t;

typedef enum {
    VIEW_UNCHANGED, /* nothing new, though `at` may have risen */
    VIEW_CHANGED,
    VIEW_GAP, /* changes between are missing: ask for the whole view */
} view_result_t;

/* Replaces the view by a whole list, unless that is older. */
view_result_t view_replace(view_t *view, const store_item_t *items, size_t count, uint64_t at);
/* Applies the changes after `from` up to `at`. */
view_result_t view_apply(view_t *view, const store_item_t *items, size_t count, uint64_t from,
                         uint64_t at);
/* Another view that is complete up to `at` has this digest: if it is ours, ours is as new. */
void view_confirm(view_t *view, uint64_t digest, uint64_t at);
/* The objects that changed or went after revision `have`, each as it is now and once (one that went
 * may come twice). NULL if not all removals are known any more; else free() the result. The texts
 * are the view's. */
store_item_t *view_since(const view_t *view, uint64_t have, size_t *count);
/* All objects; free() the result. The texts are the view's. */
store_item_t *view_all(const view_t *view);
/* NULL if there is none. */
const view_item_t *view_find(const view_t *view, str_t name);
void view_free(view_t *view);
