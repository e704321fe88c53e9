/*
 * Return time: the Retry-After of a request that is refused for lack of room.
 *
 * Load: backend servers are full, for the time of a run or for longer. Callers retry once; if that
 * is refused too, the retry was useless.
 *
 *  - The room is the part of a region's slots that requests of like or greater urgency leave free.
 *    While that urgency is short of slots there is none.
 *  - Each instance promises slots only up to its share of the room, which is its part of the
 * offered work, so that all instances together stay within it. A quarter is left for promises of
 *    instances that were lost. As the share is often less than one slot, a fraction of a slot is
 *    promised with that probability.
 *  - The promised time is the first one at which the backend server's queue has drained and the
 *    region has room for the whole run. Further promises for the same backend server are spaced by
 *    the time that its free slots take for one run.
 *  - If the response would arrive after the deadline, or the time is later than the bounds below,
 *    nothing is promised. Retry-After is then the time at which there will be room, or the caller's
 *    deadline if that is not known.
 *  - A retry is promised nothing, as callers retry only once.
 *
 * Any instance recognises a retry at its promised time: its remaining time is shorter than usual on
 * its route, by more than the spread of the callers' deadlines and by less than that of callers
 * without a promise, who retry after a third of their time. Promised times lie between these
 * bounds. Earlier ones are given only to callers who can still be answered within
 * their objective; their retries queue like new requests.
 *
 * See docs/design/gateway/returns.md. Stateless; the caller records the promise.
 */
#pragma once

#include <stdbool.h>

#include "gateway/state/returns.h"

/* The backend server that the request is to run on. */
typedef struct {
    double load;             /* requests running and queued */
    double slots;            /* 0: no backend server known */
    double work_ms;          /* usual service time without queueing; 0: not known */
    uint64_t promised_until; /* loop time until which this instance has promised its room */
} return_server_t;

/* The service in the region that is to serve the request. */
typedef struct {
    double slots;
    double ahead;          /* slots that requests of like or greater urgency offer */
    double admitted_share; /* of requests of this urgency; below 1: short of slots */
    double own_share;      /* part of the offered work that comes from this instance's callers */
} return_room_t;

typedef struct {
    return_server_t server;
    return_room_t room;
    const returns_t *promised; /* by this instance */
    size_t region;
    uint64_t now_ms;
    uint32_t left_ms;      /* time until the caller gives up */
    uint32_t objective_ms; /* latency objective of the route; 0: none */
    double usual_left_ms;  /* what callers of the route usually have left at first; 0: not known */
    double lost_ms;        /* time lost by earlier refusals */
    double work_ms;        /* expected time that the request keeps a slot busy */
    double spread;         /* random in [0, 1): place within the period */
    double slot_chance;    /* random in [0, 1): for the fraction of a slot */
} return_input_t;

typedef struct {
    uint32_t after_ms;              /* Retry-After */
    bool expected;                  /* promised: there will be room at that time */
    uint64_t at_ms;                 /* loop time of the promise */
    uint64_t server_promised_until; /* for the backend server, after the promise */
} return_time_t;

return_time_t return_time_decide(const return_input_t *input);
/* Returns the slots of the region that this instance may promise. */
double return_time_room(const return_room_t *room);
/* True if a request with that much time left and lost is a retry at a promised time. */
bool return_time_is_expected(double left_ms, double lost_ms);
/* True if the request is a retry after a refusal, promised or not. */
bool return_time_is_retry(double left_ms, double lost_ms);
