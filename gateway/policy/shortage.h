/*
 * Order under shortage: for one service, the share of the requests of each urgency that each region
 * admits.
 *
 * Load it answers: more work is offered to a region than its backend servers can do in time, and
 * requests of different urgency compete for their slots.
 *
 * Inputs: the work that all instances' callers offer, in slots by region and urgency
 * (offered_work.h); the slots of usable backend servers by region; how many attempts found all
 * slots of their backend server busy.
 *
 *  - Nothing is held back while the offered work is within the room: 0.8 of the slots. At that use
 *    the mean wait for one of ten slots is a fifth of a request's work (Erlang C) and doubles by
 *    0.87: queues then make responses late.
 *  - Above it the region is short. The room goes to the most urgent level first, then to the next.
 *    Each level keeps at least 0.3 of the share of the most urgent one, so that no kind of request
 *    is served less than a quarter as often as all, however much work one request of it is; the
 *    difference covers what backend servers refuse afterwards.
 *  - The priority of a client account decides before that of the route. Within a level, the more
 *    urgent routes go first, and each keeps half of what its level gets. Callers who were refused
 *    and came back go before new ones on routes of like urgency, since a second refusal costs them
 *    most, but they get at most 0.3 of the route's share or their part of the work, if that is
 *    more: most new callers are answered at their first try.
 *  - Whatever the order, each kind of request and each account keeps 0.27 of the share of all.
 *  - A region is short until the offered work is below 0.9 of the room.
 *  - Shares fall by at most 0.5 a second and rise by at most 0.2 a second: a queue that has built
 *    up delays everything behind it, while room that is given back late costs only that room.
 *  - Work is counted at its mean. What that does not tell (runs without the object in memory, work
 *    of instances behind a cut) shows in attempts that find all slots busy. While more than 0.3 of
 *    them do, as at 0.8 of ten slots, and the offered work is near the room, the room shrinks, by
 *    at most 0.05 a second and to no less than half, as for a cut that hides half of the work. It
 *    grows back while fewer than 0.15 do or there is no such load.
 *  - A region without usable backend servers is not short: its requests go to other regions.
 *
 * Shares follow from what all instances tell each other, so that all decide alike without a
 * coordinator. The admission by urgency follows DAGOR (Zhou et al., Overload Control for Scaling
 * WeChat Microservices, 2018); here the levels are filled by work, and none is closed.
 *
 * See docs/design/gateway/shortage.md. shortage_t is part of its service; time is passed in.
 */
#pragma once

#include "gateway/state/offered_work.h"

/* Zeroed: nothing is held back. */
typedef struct {
    double held[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS]; /* share that is not admitted */
    double withheld[TOPOLOGY_REGIONS_MAX]; /* share of the room that is not used, as observed */
    bool is_short[TOPOLOGY_REGIONS_MAX];
    uint64_t updated_ms;
} shortage_t;

typedef struct {
    const offered_totals_t *work; /* of all instances */
    const double *slots;          /* of usable backend servers, by region */
    size_t region_count;
} shortage_input_t;

/* Moves the shares towards those that the input calls for. */
void shortage_update(shortage_t *shortage, const shortage_input_t *input, uint64_t now_ms);
/* Share of the requests of an urgency that a region admits; 1 if `shortage` is NULL. */
double shortage_admitted_share(const shortage_t *shortage, size_t region, unsigned urgency);
/* Share of the requests that a region admits of any kind, account or caller: above a quarter of the
 * share of all. */
double shortage_least_share(const shortage_t *shortage, const offered_totals_t *work,
                            size_t region);
/* True if more work is offered to the region than it has room for; false if `shortage` is NULL. */
bool shortage_is_short(const shortage_t *shortage, size_t region);
/* Slots of a region that may be used, of `slots`. */
double shortage_room(const shortage_t *shortage, size_t region, double slots);
/* True if a caller who has lost `lost_ms` and still waits `left_ms` came back after a refusal; less
 * is the spread of the callers' deadlines. The rule of admission.c. */
bool shortage_caller_returned(double lost_ms, uint32_t left_ms);
/* A request within its level of urgency. */
typedef struct {
    unsigned urgency;
    unsigned route_urgency;
    bool returned; /* its caller came back after a refusal */
} shortage_rank_t;

/* Share of the requests of a rank that is admitted where `share` of its level is: routes of higher
 * urgency go first, and callers who came back before others on a route. */
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
