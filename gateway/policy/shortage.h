/*
 * Order under shortage: for one service, the share of the requests of each urgency that each region
 * admits.
 *
 * Load it answers: more work is offered to a region than its backend servers have slots for, and
 * requests of different urgency compete for these. Whom to serve first is the operators' decision:
 * the priority of a route, and that of a client account before it.
 *
 * Inputs: the work that all instances' callers offer, in slots by region and urgency
 * (offered_work.h); the slots of usable backend servers by region; how many attempts were rejected
 * by backend servers that were full.
 *
 *  - All requests are admitted while the offered work is within the room, which is all slots. How
 *    long a request may queue for one is a matter of its caller's time (admission.h).
 *  - Above it the region is short. The room goes to the most urgent level first, then to the next.
 *    The admitted share of each level is at least 0.3 of that of the most urgent one: no kind of
 *    request may be served less than a quarter as often as the average, also after rejections by
 *    backend servers.
 *  - Requests are refused only for more urgent ones: the most urgent level that is offered is not
 *    held back. If there are client accounts it is, since accounts share the room of a level
 *    (fair_share.h): one that offers many times its usual must not take that of the others.
 *  - The priority of a client account decides before that of the route. Within a level, the more
 *    urgent routes go first, and the share of each is at least 0.3 of that of its level, as above.
 *  - What became of an earlier try of the caller makes no difference: each try is a request.
 *  - In all cases, the share of each kind of request and of each account is at least 0.27 of that
 *    of all requests.
 *  - A region is short until the offered work is below 0.9 of the room.
 *  - Shares fall by at most 0.5 a second and rise by at most 0.2 a second: admitting too much
 *    leaves a queue that delays all later requests, admitting too little only leaves slots idle.
 *  - The offered work may be higher than counted: runs without the object in memory take longer
 *    than the mean, and a network partition hides the work of other instances. Backend servers then
 *    reject attempts. While the offered work is near the room, the room shrinks each second by the
 *    share of attempts that they reject, and by 0.05 at most; it grows back by 0.05 a second. It is
 *    never less than half: a partition in the middle hides half of the work.
 *  - A region without usable backend servers is not short: its requests go to other regions.
 *
 * All instances compute the shares from the same totals, so that they need no coordinator. The
 * admission by urgency follows DAGOR (Zhou et al., Overload Control for Scaling WeChat
 * Microservices, 2018); here the levels are filled by work, and none is closed.
 *
 * See docs/design/gateway/shortage.md. shortage_t is part of its service; time is passed in.
 */
#pragma once

#include "gateway/state/offered_work.h"

/* Zeroed: all requests are admitted. */
typedef struct {
    double held[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS]; /* share that is refused */
    double withheld[TOPOLOGY_REGIONS_MAX]; /* share of the room that is not used, as observed */
    bool is_short[TOPOLOGY_REGIONS_MAX];
    uint64_t updated_ms;
} shortage_t;

typedef struct {
    const offered_totals_t *work; /* of all instances */
    const double *slots;          /* of usable backend servers, by region */
    size_t region_count;
    bool has_accounts; /* the configuration has client accounts */
} shortage_input_t;

/* Moves the shares towards those that the input calls for. */
void shortage_update(shortage_t *shortage, const shortage_input_t *input, uint64_t now_ms);
/* Share of the requests of an urgency that a region admits; 1 if `shortage` is NULL. */
double shortage_admitted_share(const shortage_t *shortage, size_t region, unsigned urgency);
/* Share of the requests that a region admits of any kind or account: above a quarter of the
 * share of all. */
double shortage_least_share(const shortage_t *shortage, const offered_totals_t *work,
                            size_t region);
/* True if more work is offered to the region than it has room for; false if `shortage` is NULL. */
bool shortage_is_short(const shortage_t *shortage, size_t region);
/* Slots of a region that may be used, of `slots`. */
double shortage_room(const shortage_t *shortage, size_t region, double slots);
/* A request within its level of urgency. */
typedef struct {
    unsigned urgency;
    unsigned route_urgency;
} shortage_rank_t;

/* Share of the requests of a rank that is admitted where `share` of its level is: routes of higher
 * urgency go first. */
double shortage_share_of_rank(const offered_mix_t *mix, const shortage_rank_t *rank, double share);

/* Shares that are admitted of the requests that a request belongs to. */
typedef struct {
    double urgency; /* all of its urgency */
    double account; /* those of its client account; as `urgency` without one */
    double least;   /* any: shortage_least_share() */
} shortage_shares_t;

/* Share of the requests of that rank and account that is admitted. */
double shortage_share_of_request(const offered_mix_t *mix, const shortage_rank_t *rank,
                                 const shortage_shares_t *shares);
