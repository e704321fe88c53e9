/*
 * Router: answers the request path's questions about one request, by asking the policies with what
 * this instance knows.
 *
 * Owns the catalog (configuration, backend servers), the state kept for each service and route, and
 * the random source. Decides nothing itself: each decision is a module in policy/. Relies on
 * membership for the other instances' demand and number. Knows no connections to callers.
 */
#pragma once

#include "base/rng.h"
#include "gateway/membership/members.h"
#include "gateway/policy/choice.h"
#include "gateway/policy/retry.h"
#include "gateway/state/catalog.h"
#include "gateway/state/object_rates.h"
#include "gateway/state/route_stats.h"
#include "gateway/state/services.h"
#include "gateway/state/traffic.h"

/* The operators' bound on retries, from the settings. */
typedef struct {
    double ratio;       /* extra sends for each request */
    double constant;    /* extra sends in a window, over all instances */
    uint64_t window_ms; /* length of the window */
} router_retry_bounds_t;

typedef struct {
    const topology_t *topology;
    const decoder_port_t *decoder;
    str_t instance; /* name of this instance */
    str_t hall;     /* its data hall */
    router_retry_bounds_t retry_bounds;
} router_conf_t;

typedef struct {
    uv_loop_t *loop;
    const topology_t *topology;
    router_retry_bounds_t retry_bounds;
    name_t instance;
    name_t hall;
    size_t region;
    uint64_t key; /* of this instance among the cold-start senders */
    rng_t rng;
    uint64_t started_ms;
    catalog_t catalog;
    services_t services;
    traffic_t traffic;
    object_rates_t objects;
    double traffic_scale; /* requests of the own region for each of this instance */
    route_stats_t routes;
    cold_sender_t senders[MEMBERS_MAX]; /* all instances ever heard of */
    size_t sender_count;
    bool senders_settled;
    unsigned living;    /* instances heard of lately, this one too */
    unsigned instances; /* of the whole fleet */
} router_t;

/* A request that needs a backend. */
typedef struct {
    const config_route_t *route;
    const config_account_t *account; /* NULL: of nobody */
    service_t *service;
    uint64_t object; /* from router_object() */
    bool has_object;
    uint32_t left_ms; /* time that the caller still waits */
    double lost_ms;   /* that the caller has lost before, from router_count_caller() */
    uint64_t version; /* only backends of that software version; 0: any */
    bool suspected;   /* a backend server has ended under it */
    bool may_ask;     /* it may ask for a permit (policy/pass_over.h) */
    backend_t *const *tried;
    size_t tried_count;
} router_request_t;

/* What the configuration refers to must outlive the router. */
void router_init(router_t *router, uv_loop_t *loop, const router_conf_t *conf);
/* Applies the configuration if it is newer. */
void router_apply_config(router_t *router, const view_t *view);
/* Regular work: demand, plans, membership, backends that are due for removal. */
void router_tick(router_t *router, const members_t *members);
/* True once requests can be decided. */
bool router_is_ready(const router_t *router);

/* The service that serves a request of this route: one of its targets, by weight. */
service_t *router_service(router_t *router, const config_route_t *route);
/* The hash of an object on a route, the same on every instance. */
uint64_t router_object_hash(const config_route_t *route, str_t object);
/* True if the request is about an object that backends keep in memory. */
bool router_has_object(const config_route_t *route, str_t object);
/* The number by which a request's backend is chosen: the object's hash, or random without one. */
uint64_t router_object(router_t *router, const config_route_t *route, str_t object);
/* The software versions that usable backends of the service run, `most` at the most; returns their
 * number. */
size_t router_versions(const router_t *router, const service_t *service, uint64_t *out,
                       size_t most);
choice_t router_pick(router_t *router, const router_request_t *request);
/* The decision that router_pick() would make, without carrying it out; for the admin pages. */
choice_input_t router_explain_input(const router_t *router, const config_route_t *route,
                                    str_t service, uint64_t object);

/* A caller that still waits for `left_ms` has come; returns the time in milliseconds that it has
 * lost before: more than 0 if it comes again after a refusal. */
double router_count_caller(router_t *router, const config_route_t *route, uint32_t left_ms);
/* A request has arrived: it adds to the budgets of its service. */
void router_count_request(router_t *router, service_t *service);
/* A request found no backend. */
void router_count_refused(router_t *router, service_t *service);
/* An answer of a backend says something of itself. */
typedef struct {
    const backend_statement_t *said;
    uint64_t sent_ms; /* loop time at which its request was sent */
    bool ran;         /* the backend ran that request */
} answer_notice_t;
void router_take_notice(router_t *router, backend_t *backend, const answer_notice_t *notice);
/* An attempt at a backend starts, and finishes; it was sent at that loop time. */
void router_attempt_started(router_t *router, service_t *service, backend_t *backend);
void router_attempt_finished(router_t *router, service_t *service, backend_t *backend,
                             uint64_t sent_ms);
/* A whole answer came after `latency_ms`. */
void router_count_answer(router_t *router, const config_route_t *route, service_t *service,
                         double latency_ms);
/* Time in milliseconds after which an attempt on this route is overdue, 0 if not known. */
uint32_t router_slow_ms(router_t *router, const config_route_t *route);
/* The retry budget that a request of this service draws on. */
retry_account_t router_retry_account(router_t *router, service_t *service);
