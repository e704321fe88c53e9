/*
 * Router: makes the decisions about a request by calling the policies with the state known to
 * this instance.
 *
 * Owns the catalog (configuration, backend servers), per-service and per-route state, and the
 * random source. The decisions themselves are in policy/. Relies on membership for the demand
 * and number of the other instances. Does not handle caller connections.
 */
#pragma once

#include "base/rng.h"
#include "gateway/membership/members.h"
#include "gateway/policy/choice.h"
#include "gateway/policy/return_time.h"
#include "gateway/policy/retry.h"
#include "gateway/state/catalog.h"
#include "gateway/state/object_rates.h"
#include "gateway/state/rollouts.h"
#include "gateway/state/route_stats.h"
#include "gateway/state/services.h"
#include "gateway/state/traffic.h"

/* Bounds on retries, from the settings. */
typedef struct {
    double ratio;    /* additional sends per request */
    double constant; /* additional sends per window, over all instances */
    uint64_t window_ms;
} router_retry_bounds_t;

typedef struct {
    const topology_t *topology;
    const decoder_port_t *decoder;
    str_t instance; /* name of this instance */
    str_t hall;     /* data hall of this instance */
    router_retry_bounds_t retry_bounds;
    rollout_exposure_t exposure; /* of a bad version; share 0: orders are not read */
    bool orders_shortage;        /* from the settings */
} router_conf_t;

typedef struct {
    uv_loop_t *loop;
    const topology_t *topology;
    router_retry_bounds_t retry_bounds;
    bool orders_shortage; /* under a shortage of slots, urgency decides what is refused */
    bool has_order;       /* the configuration has something to order (order.h) */
    name_t instance;
    name_t hall;
    size_t region;
    uint64_t key; /* key of this instance among `senders` */
    rng_t rng;
    uint64_t started_ms;
    uint64_t reads_store_at_ms; /* when it reads the store unless a peer has told it all before */
    uint32_t heartbeat_ms;      /* between two heartbeats of another instance */
    catalog_t catalog;
    services_t services;
    traffic_t traffic;
    object_rates_t objects;
    rollouts_t rollouts;
    double traffic_scale; /* requests of the own region per request of this instance */
    route_stats_t routes;
    cold_sender_t senders[MEMBERS_MAX]; /* all instances known */
    size_t sender_count;
    size_t hall_meshes[TOPOLOGY_HALLS_MAX]; /* meshes of the senders, by data hall */
    bool senders_settled;
    unsigned live_instances; /* instances known to be alive, including this one */
    unsigned instances;      /* total number of instances, from members_total() */
    /* Most instances that were known at a time, also those that were never heard; 0 while the list
     * is not complete, or none of the others is heard. */
    unsigned constant_sharers;
    uint64_t retries_logged_ms; /* last report on retry budgets (retry_report.h) */
} router_t;

/* A request that needs a backend. */
typedef struct {
    const config_route_t *route;
    const config_account_t *account; /* NULL if none */
    service_t *service;
    uint64_t object; /* from router_object() */
    bool has_object;
    uint32_t left_ms;        /* time the caller will still wait */
    uint64_t version;        /* use only backends of this software version; 0 for any */
    bool suspected;          /* a backend server crashed while running it */
    bool may_request_permit; /* a backend that needs a permit may be chosen (policy/backend_skip.h)
                              */
    backend_t *const *tried;
    size_t tried_count;
    bool is_first;             /* no backend was asked for before */
    bool ignores_shortest_run; /* sent although the shortest known run leaves no time for it */
} router_request_t;

/* Objects referenced by `conf` must outlive the router. */
void router_init(router_t *router, uv_loop_t *loop, const router_conf_t *conf);
/* Applies the configuration if it is newer than the current one. */
void router_apply_config(router_t *router, const view_t *view);
/* Periodic update of demand, region plans, membership and backends due for removal. */
void router_tick(router_t *router, const members_t *members);
/* Returns true once requests can be routed. */
bool router_is_ready(const router_t *router);

/* Picks one of the route's target services by weight. */
service_t *router_service(router_t *router, const config_route_t *route);
/* Returns the hash of an object on a route, identical on every instance. */
uint64_t router_object_hash(const config_route_t *route, str_t object);
/* Returns true if the request names an object that backends cache. */
bool router_has_object(const config_route_t *route, str_t object);
/* Returns the number that selects the backend: the object's hash, or a random number without an
 * object. */
uint64_t router_object(router_t *router, const config_route_t *route, str_t object);
/* Returns true if the service has a usable backend. */
bool router_has_usable_backend(const router_t *router, const service_t *service);
/* Stores up to `max` software versions run by usable backends of the service; returns their number.
 * */
size_t router_usable_versions(const router_t *router, const service_t *service, uint64_t *out,
                              size_t max);
/* Lists the backends that the request would be offered first, at most `max`; returns their number.
 */
size_t router_first_candidates(const router_t *router, const router_request_t *request,
                               backend_t **out, size_t max);
/* False if the caller gives up before the shortest known run of its route could end. */
bool router_has_time(const router_t *router, const router_request_t *request);
/* True if a request without time is to be sent all the same, to find out whether runs of its route
 * have become shorter (state/shortest_run.h). */
bool router_may_test_run(router_t *router, const config_route_t *route);
choice_t router_pick(router_t *router, const router_request_t *request);
/* Returns the input for the decision that router_pick() would make, without side effects; for the
 * admin pages. */
choice_input_t router_explain_input(const router_t *router, const config_route_t *route,
                                    str_t service, uint64_t object);

/* Decides when a caller for whose request there is no room is to come back, and records that it
 * will. `rejected`: its backend server turned the request away because it was full. */
return_time_t router_return_time(router_t *router, const router_request_t *request, bool rejected);
/* Counts a request; it adds to the retry budget of its service. */
void router_count_request(router_t *router, service_t *service);
/* Counts a request for which no backend was found. */
void router_count_refused(router_t *router, service_t *service);
/* Notices that a backend sent in a response. */
typedef struct {
    const backend_statement_t *statement;
    uint64_t sent_ms; /* loop time at which its request was sent */
    bool ran;         /* the backend executed that request */
} response_notice_t;
void router_apply_notice(router_t *router, backend_t *backend, const response_notice_t *notice);
/* Count an attempt as started and finished; `sent_ms` is the loop time at which it was sent. */
void router_attempt_started(router_t *router, service_t *service, backend_t *backend);
void router_attempt_finished(router_t *router, service_t *service, backend_t *backend,
                             uint64_t sent_ms);
/* Counts an attempt that was answered; `rejected`: its backend was full. */
void router_count_attempt(service_t *service, const backend_t *backend, bool rejected);
/* Records the latency of a complete response. */
void router_count_answer(router_t *router, const config_route_t *route, service_t *service,
                         double latency_ms);
/* Records the latency of a complete response that did not queue at its backend. */
void router_count_work(router_t *router, const config_route_t *route, service_t *service,
                       const backend_t *backend, double latency_ms);
/* Returns the time in milliseconds after which an attempt on this route is overdue, 0 if unknown.
 * */
uint32_t router_slow_ms(const router_t *router, const config_route_t *route);
/* Records the end of an attempt for a roll-out of its service. */
void router_record_rollout(router_t *router, const service_t *service,
                           const rollout_attempt_t *attempt);
retry_terms_t router_retry_terms(const router_t *router);
/* Returns the retry budget of a service. */
retry_context_t router_retry_context(router_t *router, service_t *service);
