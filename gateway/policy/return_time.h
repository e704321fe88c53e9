/*
 * Return time: the Retry-After of a request that is refused for lack of room.
 *
 * Load it answers: backend servers are full for the time of a run or for longer, or a region is
 * short of slots for requests of this urgency.
 *
 *  - The time told is the first one at which the backend server is expected to have a free slot:
 *    after the requests that run and queue there, after the callers that this instance has already
 *    told to come back there, and after the requests that arrive until then, as many as arrive now:
 *    none of them waits for callers who are to come back.
 *  - Where the region is short of slots for requests of this urgency (shortage.h), it is also after
 *    the callers of like urgency that were told before: one after the other, as fast as the slots
 *    that the urgency gets take the work of this instance's callers.
 *  - Callers of other instances are not known. They are taken to be refused in proportion to the
 *    work that they offer, so that this instance counts on its own part of the room only.
 *  - Times are spread over the time until the next slot becomes free, so that callers who were
 *    refused together do not come back together.
 *  - How much time the caller has left changes nothing about when there is room. It decides whether
 *    the caller counts as one who comes back then: callers wait for up to a third of the time that
 *    they have left, and come only if the response can arrive before they give up. Others are told
 *    later times only because of callers who come.
 *
 * Nothing is known before a run was seen: the time is then 0.
 *
 * See docs/design/gateway/returns.md. Stateless; the caller records who was told what.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The backend server that the request is to run on. */
typedef struct {
    double load;           /* requests running and queued */
    double slots;          /* 0: no backend server known */
    double work_ms;        /* mean run of the requests there; 0: not known */
    double use;            /* slots that arriving requests keep busy, per slot; 0: not known */
    uint64_t next_free_ms; /* loop time from which no caller was told to come back there yet */
} return_server_t;

/* Requests of like urgency in the region that is to serve the request. */
typedef struct {
    double slots;          /* that they get while the region is short; 0: it is not short */
    uint64_t next_free_ms; /* loop time from which no caller was told to come back yet */
} return_room_t;

typedef struct {
    return_server_t server;
    return_room_t room;
    double own_share; /* part of the region's work that this instance's callers offer */
    uint64_t now_ms;
    uint32_t left_ms; /* time until the caller gives up */
    double work_ms;   /* expected time that the request keeps a slot busy; 0: not known */
    double spread;    /* random in [0, 1) */
} return_input_t;

typedef struct {
    uint32_t after_ms;       /* Retry-After; 0: not known */
    bool comes_back;         /* the caller is expected then: the next two are to be kept */
    uint64_t server_next_ms; /* next_free_ms of the backend server after this caller */
    uint64_t room_next_ms;   /* the same of the room */
} return_time_t;

return_time_t return_time_decide(const return_input_t *input);
