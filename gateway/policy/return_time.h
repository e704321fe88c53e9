/*
 * Return time: when a caller that was refused for lack of room is to come back, or that it is not.
 *
 * Load: backend servers are full, for the time of a run or for good. Callers come back once; each
 * refusal after that is work for nothing and a promise broken.
 *
 *  - Room is what the requests that go first leave free of a region's slots: those of like or
 *    greater urgency. While that urgency is short of slots there is none.
 *  - Each instance promises slots only up to its share of that room, by its part of the offered
 *    work, so that all instances together stay within it. A part is kept for callers whom lost
 *    instances told to come. A fraction of a slot is given with that probability, as the share of
 *    an instance is often less than one slot.
 *  - The time is the first one at which the backend server's queue has drained and the region has
 *    room in every period of the run. Later promises of this instance to callers of the same
 *    backend server are spaced by the time in which its free part does the work.
 *  - If there is no such time from which the answer would arrive before the deadline, or only later
 *    than the caller waits, nothing is promised. The caller is told that time, or its own deadline
 *    if there is none: coming sooner is of no use.
 *  - A caller that already came back is promised nothing: it comes only once.
 *
 * Instances recognise a caller that comes as told by the time it has lost against the usual one of
 * its route, whichever instance told it. A promise therefore lies where it has lost more than the
 * spread of the callers' deadlines (admission.h), and less than callers who were told a later time:
 * these come after a third of their time. Only a caller that can still be answered within its
 * objective is told an earlier time; it then queues like a new one.
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
    uint64_t promised_until; /* loop time from which its room is not promised by this instance */
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
    double lost_ms;        /* time it has lost by an earlier refusal */
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
/* Slots of the region that this instance may promise. */
double return_time_room(const return_room_t *room);
/* True if a caller with that much time left and lost came back at a promised time. */
bool return_time_is_expected(double left_ms, double lost_ms);
/* True if it came back at all. */
bool return_time_is_return(double left_ms, double lost_ms);
