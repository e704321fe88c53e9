/*
 * Departures: which backend servers are to get nothing new, as told ahead of the change of the view
 * that says so.
 *
 * A change of the list of backend servers may hold hundreds of entries, and goes from instance to
 * instance. What binds an instance at once, that a backend server leaves or is gone, goes straight
 * from whoever learned it from the store to all instances of its region, in a few dozen bytes each.
 * A departure binds until the view holds a newer entry of that backend server; an older one that
 * comes later does not bring it back.
 *
 * Owns the departures of the last seconds. Relies on nothing; time is passed in.
 */
#pragma once

#include "base/str.h"

typedef struct {
    name_t backend;
    uint64_t revision;   /* the store's, up to which it is known */
    bool gone;           /* its entry went; else it says that it leaves */
    uint64_t learned_ms; /* loop time at which it was learned here */
} departure_t;

typedef struct {
    departure_t *items; /* sorted by id */
    size_t count;
    size_t size;
} departures_t;

/* False if as much was known already. */
bool departures_add(departures_t *departures, const departure_t *departure);
/* What binds a backend server whose newest known entry is of that revision; NULL if nothing. */
const departure_t *departures_find(const departures_t *departures, str_t backend,
                                   uint64_t revision);
/* Forgets those that all views have caught up with by now. */
void departures_expire(departures_t *departures, uint64_t now_ms);
void departures_free(departures_t *departures);
