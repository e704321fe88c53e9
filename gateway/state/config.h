/*
 * One version of the operators' configuration: routes, services, client accounts and the limits on
 * what callers send.
 *
 * Immutable once sealed, and reference-counted, so that one version decides a request from its
 * arrival to its answer. Built by the adapter's decoder; the accounts' part is config_accounts.c.
 * Owns its texts and lists; relies on nothing.
 *
 * An account takes 104 bytes, a key 32 and its text (sizes of the structs, 64-bit).
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/str.h"

enum { CONFIG_VERSION_MAX = 15 }; /* bytes; the users' versions have 8 */

/* One part of a route's traffic split. */
typedef struct {
    name_t service;
    double weight; /* at least 0; its share is its part of the sum */
} config_target_t;

/* Regions that may serve a request; none means all. */
typedef struct {
    size_t count;
    name_t *items;
} config_regions_t;

typedef struct {
    name_t name;
    char *host;
    char *prefix;                  /* begins and ends with a slash */
    uint64_t key;                  /* hash over host and prefix */
    bool repeatable;               /* its requests may run more than once */
    bool large;                    /* answers are large: keep them near the caller */
    bool sticky;                   /* backends keep the objects of its requests in memory */
    bool allows_anonymous;         /* its requests need no key of a client account */
    int priority;                  /* 0 is the most urgent */
    uint32_t timeout_ms;           /* limit on a request's time, 0 for none */
    uint32_t latency_objective_ms; /* latency objective, 0 for none */
    uint32_t max_attempts;         /* sends of a request, the first one included */
    size_t target_count;
    config_target_t *targets; /* none: the route could not be read, nothing serves its requests */
    config_regions_t regions;
} config_route_t;

/* A client account: who is behind the requests that bring one of its keys. */
typedef struct {
    name_t name;
    uint64_t id;       /* hash of the name, the same on every instance */
    int priority;      /* before that of the route; 0 is the most urgent */
    double rate_per_s; /* requests a second over all instances; 0: no limit */
    double burst;      /* requests beyond that at once */
    config_regions_t regions;
} config_account_t;

/* A key of a client account. It stays in this module: nothing prints or passes it on. */
typedef struct {
    uint64_t hash;    /* of the key and the configuration's random seed */
    uint64_t account; /* id */
    char *text;
    size_t len;
} config_key_t;

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
    bool has_accounts;          /* requests need a key, unless their route is open to all */
    config_account_t *accounts; /* sorted by id once sealed */
    size_t account_count;
    config_key_t *keys; /* sorted by hash once sealed */
    size_t key_count;
    uint64_t key_seed;     /* random, so that no caller can tell which keys meet */
    size_t routes_skipped; /* that could not be read */
    size_t services_skipped;
} config_t;

/* Room for that many routes and services, to be filled in; the caller gets a reference. */
config_t *config_new(size_t route_count, size_t service_count);
/* Frees what the route holds and empties it. */
void config_route_clear(config_route_t *route);
/* Takes the route's targets away: nothing serves its requests, and no other route takes them. */
void config_route_remove_targets(config_route_t *route);
/* The configuration has client accounts: room for that many, and for their keys. */
void config_add_accounts(config_t *config, size_t account_count, size_t key_count);
/* Names the account, and gives it a key; both copy. */
bool config_account_name(config_account_t *account, str_t name);
void config_add_key(config_t *config, const config_account_t *account, str_t key);
/* Makes look-ups possible; called once when all is filled in. False with an error if two accounts
 * have one key, or one name: whose requests they are could not be told. */
bool config_seal(config_t *config, err_t *err);
/* Routes and services that could not be read. */
size_t config_skipped_count(const config_t *config);
config_t *config_ref(config_t *config);
void config_unref(config_t *config);

/* The route with the longest prefix that begins `path`; NULL if there is none. A port in `host`
 * is ignored. */
const config_route_t *config_route(const config_t *config, str_t host, str_t path);
const config_service_t *config_service(const config_t *config, str_t name);
/* The account that has that key; NULL if none has. Takes the same time wherever a wrong key differs
 * from a right one. */
const config_account_t *config_account_of_key(const config_t *config, str_t key);
/* The account of that id; NULL if there is none. */
const config_account_t *config_account(const config_t *config, uint64_t id);
/* True if the regions hold that one, or are none. */
bool config_allows_region(const config_regions_t *regions, str_t region);
