/*
 * One version of the operators' configuration: routes, services and the limits on what callers
 * send.
 *
 * Immutable once sealed, and reference-counted, so that one version decides a request from its
 * arrival to its answer. Built by the adapter's decoder. Owns its texts and lists; relies on
 * nothing.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

enum { CONFIG_VERSION_MAX = 15 }; /* bytes; the users' versions have 8 */

/* One part of a route's traffic split. */
typedef struct {
    name_t service;
    double weight; /* at least 0; its share is its part of the sum */
} config_target_t;

typedef struct {
    name_t name;
    char *host;
    char *prefix;          /* begins and ends with a slash */
    uint64_t key;          /* hash over host and prefix */
    bool repeatable;       /* its requests may run more than once */
    bool large;            /* answers are large: keep them near the caller */
    bool sticky;           /* backends keep the objects of its requests in memory */
    int priority;          /* 0 is the most urgent */
    uint32_t timeout_ms;   /* limit on a request's time, 0 for none */
    uint32_t aim_ms;       /* latency objective, 0 for none */
    uint32_t max_attempts; /* sends of a request, the first one included */
    size_t target_count;
    size_t home_count;
    config_target_t *targets; /* none: the route could not be read, nothing serves its requests */
    name_t *homes;            /* regions that may serve it; none means all */
} config_route_t;

typedef struct {
    name_t name;
    uint32_t max_connections; /* that a backend accepts from all instances together */
    uint32_t cold_ms;         /* how long a started backend stays cold */
    double cold_per_s;        /* requests a second that a cold backend can take, 0 for no bound */
} config_service_t;

typedef struct {
    size_t max_head_bytes;
    size_t max_body_bytes;
    uint32_t head_timeout_ms;
    uint32_t idle_timeout_ms;
} config_limits_t;

typedef struct {
    size_t refs;
    uint64_t revision; /* of the store's object */
    char version[CONFIG_VERSION_MAX + 1];
    config_limits_t limits;
    config_route_t *routes; /* sorted by key once sealed */
    size_t route_count;
    config_service_t *services; /* sorted by name once sealed */
    size_t service_count;
    size_t routes_left_out; /* that could not be read */
    size_t services_left_out;
} config_t;

/* Room for that many routes and services, to be filled in; the caller gets a reference. */
config_t *config_new(size_t route_count, size_t service_count);
/* Frees what the route holds and empties it. */
void config_route_clear(config_route_t *route);
/* Takes the route's targets away: nothing serves its requests, and no other route takes them. */
void config_route_unserve(config_route_t *route);
/* Makes look-ups possible; called once when all routes are filled in. */
void config_seal(config_t *config);
/* Routes and services that could not be read. */
size_t config_left_out(const config_t *config);
config_t *config_ref(config_t *config);
void config_unref(config_t *config);

/* The route with the longest prefix that begins `path`; NULL if there is none. A port in `host`
 * is ignored. */
const config_route_t *config_route(const config_t *config, str_t host, str_t path);
const config_service_t *config_service(const config_t *config, str_t name);
/* True if the route may be served in that region. */
bool config_allows_region(const config_route_t *route, str_t region);
