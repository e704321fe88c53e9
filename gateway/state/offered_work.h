/*
 * Offered work: how many slots the requests for a service would keep busy, by the region that is to
 * serve them and by urgency, whether they are admitted or not. A caller who was refused and comes
 * back offers the work again: each try is a request, and only what is admitted keeps slots busy.
 *
 * Owns one instance's moving averages, which heartbeats send to the others, and beside them how
 * many attempts full backend servers rejected. The totals of all instances show
 * which regions are short of slots. Demand measured from the requests in progress (services.h) does
 * not: it grows with the queues. Time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "gateway/membership/topology.h"

enum {
    /* Levels of urgency: priorities 0 to 2, and all less urgent ones together. */
    URGENCY_LEVELS = 4,
};

/* Slots by the region that is to serve the requests. */
typedef struct {
    double slots[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS];
    double bound[TOPOLOGY_REGIONS_MAX]; /* of these, for requests that no other region may serve */
    /* Attempts that ended there, a second, and those of them that a full backend server rejected.
     */
    double attempts[TOPOLOGY_REGIONS_MAX];
    double rejected[TOPOLOGY_REGIONS_MAX];
} offered_totals_t;

/* What a level of urgency consists of, by the urgency of the routes; slots over all regions. The
 * two differ where the priority of a client account takes precedence over that of the route. */
typedef struct {
    double slots[URGENCY_LEVELS][URGENCY_LEVELS];
} offered_mix_t;

typedef struct {
    offered_totals_t average; /* slots: moving average */
    offered_totals_t pending; /* slot milliseconds and attempts since the last update */
    offered_mix_t mix;        /* of this instance's callers; not sent to others */
    offered_mix_t pending_mix;
    uint64_t updated_ms;
} offered_work_t;

/* Returns the level of urgency of a priority; 0 is the most urgent. */
unsigned urgency_of(int priority);
/* A request that is offered to a region. */
typedef struct {
    size_t region;    /* that is to serve it */
    unsigned urgency; /* of the client account, or of the route without one */
    unsigned route_urgency;
    bool bound;     /* no other region may serve it */
    double work_ms; /* time for which it is expected to keep a slot busy */
} offered_request_t;

void offered_work_count(offered_work_t *work, const offered_request_t *request);
/* Counts an attempt that ended; `rejected`: its backend server was full. */
void offered_work_count_attempt(offered_work_t *work, size_t region, bool rejected);
/* Updates the averages. */
void offered_work_update(offered_work_t *work, uint64_t now_ms);
/* Adds `other` to `totals`. */
void offered_totals_add(offered_totals_t *totals, const offered_totals_t *other);
/* Slots of all levels of urgency in a region. */
double offered_totals_slots(const offered_totals_t *totals, size_t region);
