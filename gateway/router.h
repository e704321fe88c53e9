/*
 * What requests are decided by: the configuration in force, the upstreams, the plans, the
 * budgets. Answers the questions of the request path and knows nothing of connections to callers.
 */
#pragma once

#include "base/rng.h"
#include "gateway/state/backends.h"
#include "gateway/policy/choice.h"
#include "gateway/membership/members.h"
#include "gateway/policy/plan.h"
#include "gateway/policy/retry_budget.h"
#include "gateway/state/views.h"

typedef struct {
    double retry_ratio;
    double retry_constant;
    uint64_t retry_window_ms;
} router_bounds_t;

typedef struct {
    name_t name;
    plan_t plan;
    retry_budget_t budget;
    uint32_t in_flight; /* attempts of this instance's callers */
    double demand;      /* moving average of in_flight, with what was refused */
    uint64_t demand_ms;
    double latency_ms; /* moving average of whole answers */
    double spill;      /* requests that may go to a region that is not the planned one */
} router_service_t;

enum { ROUTER_ROUTE_SLOTS = 512 };

/* What was learned of a route. */
typedef struct {
    uint64_t route_key;
    double patience_ms; /* how long its callers are usually ready to wait */
    double typical_ms;  /* median time of its answers, 0 until there was one */
} router_route_t;

typedef struct {
    uv_loop_t *loop;
    const topology_t *topology;
    const decoder_port_t *decoder;
    router_bounds_t bounds;
    name_t instance;
    name_t hall;
    size_t region;
    uint64_t key;
    rng_t rng;
    uint64_t started_ms;
    config_t *config; /* NULL until one is known */
    bool backends_known;
    backends_t backends;
    router_service_t *services;
    size_t service_count;
    router_route_t routes[ROUTER_ROUTE_SLOTS]; /* by the route's key; a newer one takes the slot */
    cold_peer_t peers[MEMBERS_MAX];
    size_t peer_count;
    bool peers_settled;
    unsigned living;    /* instances heard of lately, this one too */
    unsigned instances; /* of the whole fleet */
} router_t;

void router_init(router_t *router, uv_loop_t *loop, const topology_t *topology,
                 const decoder_port_t *decoder, str_t instance, str_t hall);
/* Take in what is newer in the views. `grace_ms` is how long an upstream that is gone from the
 * list is still used: above 0 after trouble with the store, which may have lost entries. */
void router_take_config(router_t *router, const view_t *view);
void router_take_backends(router_t *router, const view_t *view, uint64_t grace_ms);
void router_take_closures(router_t *router, const view_t *view);
/* Bounds of the configuration on the upstreams' connections, after either has changed. */
void router_apply_bounds(router_t *router);
/* Regular work: plans, membership, upstreams that are gone. */
void router_tick(router_t *router, const members_t *members);
bool router_ready(const router_t *router);

/* The state kept for a service; NULL if there are too many. */
router_service_t *router_service(router_t *router, str_t name);
/* The service that serves this request: one of the route's targets by weight. */
str_t router_target(router_t *router, const config_route_t *route);
/* The hash of an object on a route, the same on every instance. */
uint64_t router_object_hash(const config_route_t *route, str_t object);
/* The number by which a request's upstream is chosen: the object's hash, or random if there is no
 * object that upstreams would keep in memory. */
uint64_t router_object(router_t *router, const config_route_t *route, str_t object);
bool router_has_object(const config_route_t *route, str_t object);
/* `left_ms` is the time that the caller still waits. */
backend_t *router_pick(router_t *router, const config_route_t *route, router_service_t *service,
                       uint64_t object, bool has_object, uint32_t left_ms, backend_t *const *tried,
                       size_t tried_count, choice_reason_t *reason);
/* An attempt begins and ends at a backend. */
void router_begin(router_t *router, router_service_t *service, backend_t *backend);
void router_end(router_t *router, router_service_t *service, backend_t *backend);
/* A whole answer came after `latency_ms`. */
void router_answered(router_t *router, const config_route_t *route, router_service_t *service,
                     double latency_ms);
/* An answer that takes longer than this speaks against its upstream. */
uint32_t router_slow_ms(router_t *router, const config_route_t *route);
/* A request found no room: it counts as demand all the same. */
void router_refused(router_t *router, router_service_t *service);
void router_count_request(router_t *router, router_service_t *service);
bool router_take_retry(router_t *router, router_service_t *service);
