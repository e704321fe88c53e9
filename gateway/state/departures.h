/*
 * Departures: backend servers that must get no new requests, received ahead of the change of the
 * view.
 *
 * A change of the backend list may hold hundreds of entries, and is forwarded from instance to
 * instance. That a backend server is leaving or gone must take effect immediately, so the instance
 * that read it from the store sends it directly to all instances of its region. A departure
 * applies until the view holds a newer entry of that backend server; an older entry received later
 * does not revert it.
 *
 * Owns the departures of the last seconds. No dependencies; times are passed in.
 */
#pragma once

#include "base/str.h"

typedef struct {
    name_t backend;
    uint64_t revision;   /* store revision of the departure */
    bool gone;           /* the entry was removed; otherwise it is marked as leaving */
    uint64_t learned_ms; /* loop time at which this instance received it */
} departure_t;

typedef struct {
    departure_t *items; /* sorted by id */
    size_t count;
    size_t size;
} departures_t;

/* False if the same or a newer departure is known. */
bool departures_add(departures_t *departures, const departure_t *departure);
/* Returns the departure that applies to a backend server whose newest known entry has that
 * revision, or NULL. */
const departure_t *departures_find(const departures_t *departures, str_t backend,
                                   uint64_t revision);
/* Removes departures that every view has caught up with by now. */
void departures_expire(departures_t *departures, uint64_t now_ms);
void departures_free(departures_t *departures);
