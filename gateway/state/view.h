/*
 * A view: this instance's copy of one kind of object in the store.
 *
 * `at` is the position (position.h) up to which the view is complete; it never decreases. A full
 * list replaces the contents if it is newer; changes are applied per object. Two views with the
 * same digest hold the same objects.
 *
 * Owns copies of the objects and a ring of the latest removals. Performs no I/O; filled by
 * store_watch.h and view_relay.h.
 */
#pragma once

#include "gateway/ports.h"

typedef struct {
    char *name;
    uint64_t revision;
    char *body;
    size_t body_len;
} view_item_t;

/* Removals kept for peers that missed some. A peer that is further behind needs the full view. */
enum { VIEW_REMOVALS_MAX = 512 };

typedef struct {
    char *name;
    uint64_t at; /* view revision after the removal */
} view_removal_t;

typedef struct {
    uint64_t at;
    bool known;         /* a full list has been received */
    view_item_t *items; /* sorted by name */
    size_t count;
    size_t size;
    uint64_t digest;                            /* sum over the names and revisions of all items */
    view_removal_t removals[VIEW_REMOVALS_MAX]; /* ring buffer */
    uint64_t removal_count;                     /* total ever recorded */
    uint64_t removals_from; /* all removals after this revision are in the ring */
} view_t;

typedef enum {
    VIEW_UNCHANGED, /* no object changed, though `at` may have increased */
    VIEW_CHANGED,
    VIEW_GAP, /* intermediate changes are missing; the full view is needed */
} view_result_t;

/* Replaces the contents with a full list, unless that list is older. */
view_result_t view_replace(view_t *view, const store_item_t *items, size_t count, uint64_t at);
/* Applies the changes after revision `from` up to `at`. */
view_result_t view_apply(view_t *view, const store_item_t *items, size_t count, uint64_t from,
                         uint64_t at);
/* Moves all positions into an era: the one that the view was read in has become known. */
void view_set_era(view_t *view, uint64_t era);
/* Raises the revision to `at` if the digest of another view, complete up to `at`, equals the digest
 * of this one. */
void view_confirm(view_t *view, uint64_t digest, uint64_t at);
/* Returns the objects changed or removed after position `have` of the same era, each in its current
 * state and once (a removed one may occur twice). NULL if some of those removals are no longer in
 * the ring, or the era is another. The caller frees the array; the strings belong to the view. */
store_item_t *view_since(const view_t *view, uint64_t have, size_t *count);
/* Returns all objects. The caller frees the array; the strings belong to the view. */
store_item_t *view_all(const view_t *view);
/* Returns NULL if there is no such object. */
const view_item_t *view_find(const view_t *view, str_t name);
void view_free(view_t *view);
