/*
 * Roll-out: how much of a service's traffic goes to the software version that operators ordered,
 * and whether that version is bad.
 *
 *  - Schedule. For the first half of the ordered time the target version gets a part of what a
 *    bad version may get. Then its share rises to all requests within a fifth of the time;
 *    what is left is for requests under way at other versions. Without a verdict on enough
 *    responses the share stays where it is; a version that becomes suspect starts over.
 *  - Servers. While the share is small only as large a part of the target's backend servers gets
 *    requests, so that each works under the load that it will have later: some versions are bad
 *    only under load. Each time the version becomes suspect others are used, to tell its faults
 *    from theirs; the third time it is given up.
 *  - Verdict, for each route and for all routes together, from the responses of the last seconds:
 *    the version is bad if clearly more of its responses fail, or arrive several times later, than
 *    those of the versions before it. The quarter of its backend servers with the most bad
 * responses is left out, so that a fault of single ones is not taken for one of the version.
 *  - Objects in memory. A backend server that does not have a request's object in memory runs the
 *    request several times as long, and those of a new version have few objects. On routes with
 *    objects a response therefore counts as slow only beyond several times such a run.
 *
 * All instances decide from the counts of all (state/rollouts.h). Pure; times are in milliseconds
 * and passed in.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    ROLLOUT_BUCKETS = 28,   /* latencies by half octaves from 1 ms; the last one is open */
    ROLLOUT_GROUPS = 16,    /* of the target's backend servers, by a hash of their ids */
    ROLLOUT_ROUTES_MAX = 8, /* routes of a service judged on their own */
};

/* Responses of a group of the target's backend servers within the last seconds. */
typedef struct {
    uint32_t responses; /* failures included */
    uint32_t failures;  /* failed or without a usable response */
    uint32_t slow;
} rollout_group_t;

/* Responses of the other versions. */
typedef struct {
    uint32_t responses;                /* within the last seconds, failures included */
    uint32_t failures;                 /* within the last seconds */
    uint32_t latency[ROLLOUT_BUCKETS]; /* since the order */
} rollout_base_counts_t;

typedef struct {
    uint64_t route;   /* key of the route; 0 in the sum over all routes */
    bool has_objects; /* backend servers keep objects of its requests in memory */
    rollout_group_t target[ROLLOUT_GROUPS];
    rollout_base_counts_t base;
} rollout_route_t;

/* Counts of one or several instances. Routes beyond the maximum are counted in the sum only. */
typedef struct {
    rollout_route_t all;
    rollout_route_t routes[ROLLOUT_ROUTES_MAX];
    size_t route_count;
} rollout_counts_t;

typedef enum {
    ROLLOUT_UNJUDGED, /* too few responses */
    ROLLOUT_GOOD,     /* so far */
    ROLLOUT_SUSPECT,  /* more bad responses than are tolerated, but too few for a verdict */
    ROLLOUT_FAILING,
    ROLLOUT_SLOW,
} rollout_verdict_t;

/* Adds counts, up to the maximum of routes. */
void rollout_counts_add(rollout_counts_t *sum, const rollout_counts_t *counts);
/* Returns the counts of a route, added if it is new; NULL if there are too many. */
rollout_route_t *rollout_counts_route(rollout_counts_t *counts, uint64_t route);
/* Forgets the responses of the target. */
void rollout_clear_target(rollout_counts_t *counts);
/* Returns the index of a latency in rollout_base_counts_t.latency. */
size_t rollout_bucket(double latency_ms);
/* True if the version is given up for being suspect that often, each time on other backend
 * servers. */
bool rollout_is_given_up(unsigned suspicions);
/* Returns the sum over the groups. */
rollout_group_t rollout_sum_groups(const rollout_route_t *route);
/* Returns the latency in milliseconds beyond which a response on the route counts as slow, from
 * those of the other versions; 0 while unknown. */
double rollout_slow_ms(const rollout_route_t *route);
/* Judges the target version by the counts of all instances. `route` gets the key of the route that
 * decided, 0 for all routes together. */
rollout_verdict_t rollout_judge(const rollout_counts_t *counts, uint64_t *route);

typedef struct {
    uint64_t elapsed_ms;  /* since the order */
    uint64_t duration_ms; /* ordered time */
    bool judged;          /* ROLLOUT_GOOD, or the ramp has begun elsewhere */
    uint64_t ramp_ms;     /* since the ramp began; 0 if it has not */
    double canary_share;  /* from rollout_canary_share() */
} rollout_schedule_t;

/* What a bad version may get of a service's requests until the deadline. */
typedef struct {
    double share;
    double slack; /* requests beyond it */
} rollout_exposure_t;

/* Returns the share of the target before the ramp. A service with few requests gets more of them
 * judged by use of the slack. `requests_per_s`: of the service, 0 if not known. */
double rollout_canary_share(const rollout_exposure_t *exposure, double requests_per_s,
                            uint64_t duration_ms);

/* True if the share may begin to rise. */
bool rollout_ramp_is_due(const rollout_schedule_t *schedule);
/* Returns the share of the service's requests for the target version, 1 at the end of the ramp. */
double rollout_share(const rollout_schedule_t *schedule);
/* Hash that orders the target's backend servers: those with the lowest get requests first. `key`:
 * backend_t.key; `suspicions`: how often the version became suspect, which changes the order. */
uint64_t rollout_server_hash(uint64_t key, unsigned suspicions);
/* True if the slots of the target suffice for all requests. `demand`: slots that callers use. */
bool rollout_target_has_capacity(double target_slots, double demand);
