/*
 * One version of the configuration: routes, services, client accounts and limits on incoming
 * requests.
 *
 * Immutable once sealed, and reference-counted, so that a request is decided by one version from
 * its arrival to its response. Built by the adapter's decoder; the accounts' part is
 * config_accounts.c. Owns its strings and lists.
 *
 * An account takes 104 bytes, a key 32 bytes and its text (64-bit).
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/str.h"

enum {
    CONFIG_VERSION_MAX = 15, /* bytes */
    /* Bytes of a health path, which is sent with each probe: servers take request lines of 8,000
     * bytes (RFC 9112, 3). */
    CONFIG_HEALTH_PATH_MAX = 7900,
};

/* One target of a route's traffic split. */
typedef struct {
    name_t service;
    double weight; /* not negative; relative to the sum of weights */
} config_target_t;

/* Regions that may serve a request; an empty list allows all. */
typedef struct {
    size_t count;
    name_t *items;
} config_regions_t;

typedef struct {
    name_t name;
    char *host;
    char *prefix;                  /* starts and ends with a slash */
    uint64_t key;                  /* hash of host and prefix */
    bool repeatable;               /* its requests may be executed more than once */
    bool large;                    /* large responses; prefer backends near the caller */
    bool sticky;                   /* backends cache the objects of its requests */
    bool allows_anonymous;         /* no client account key required */
    int priority;                  /* 0 is the most urgent */
    uint32_t timeout_ms;           /* limit on a request's duration, 0 for none */
    uint32_t latency_objective_ms; /* 0 for none */
    uint32_t max_attempts;         /* including the first */
    size_t target_count;
    config_target_t
        *targets; /* none: the route could not be read, and its requests are not served */
    config_regions_t regions;
} config_route_t;

/* A client account, identified by the key in a request. */
typedef struct {
    name_t name;       /* empty if it cannot be shown */
    bool unusable;     /* its entry could not be read; its requests are not served */
    uint64_t id;       /* hash of the name, the same on every instance */
    int priority;      /* overrides that of the route; 0 is the most urgent */
    double rate_per_s; /* requests a second over all instances; 0: no limit */
    double burst;      /* requests that may exceed the rate at once */
    config_regions_t regions;
} config_account_t;

/* A key of a client account. Secret: it must not be printed or leave this module. */
typedef struct {
    uint64_t hash;    /* of the key, seeded with key_seed */
    uint64_t account; /* id of the account */
    char *text;
    uint32_t len;
    bool shared; /* by several accounts: it identifies none */
} config_key_t;

/* The account of a key. */
typedef struct {
    const config_account_t *account; /* NULL if there is none that can be used */
    bool unusable;                   /* several accounts have the key, or one that is unusable */
} config_key_match_t;

typedef struct {
    name_t name;
    uint32_t max_connections; /* that a backend accepts from all instances together */
    uint32_t cold_ms;         /* how long a backend stays cold after its start */
    double cold_per_s;        /* requests a second that a cold backend can take, 0 for no limit */
    char *health_path;        /* starts with a slash; NULL if none is configured */
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
    size_t longest_prefix;      /* of all routes, bytes; set once sealed */
    config_service_t *services; /* sorted by name once sealed */
    size_t service_count;
    bool has_accounts;          /* requests need a key, except on routes with allows_anonymous */
    config_account_t *accounts; /* sorted by id once sealed */
    size_t account_count;
    config_key_t *keys; /* sorted by hash once sealed */
    size_t key_count;
    uint64_t key_seed;     /* random, so that callers cannot construct hash collisions */
    size_t routes_skipped; /* that could not be read */
    size_t services_skipped;
    size_t accounts_skipped;
    size_t keys_skipped; /* that could not be read, or that several accounts have */
    bool keys_missing;   /* keys of an account could not be read */
} config_t;

/* Allocates a configuration with that many routes and services, to be filled in. The caller gets a
 * reference. */
config_t *config_new(size_t route_count, size_t service_count);
/* Frees the route's contents and resets it. */
void config_route_clear(config_route_t *route);
/* Removes the route's targets: its requests are not served, and they do not match a shorter
 * prefix. */
void config_route_remove_targets(config_route_t *route);
/* Copies the path. Returns false if it does not start with a slash or cannot stand in a request
 * line. */
bool config_set_health_path(config_service_t *service, str_t path);
/* Enables client accounts and allocates that many accounts and keys. */
void config_add_accounts(config_t *config, size_t account_count, size_t key_count);
/* Set an account's name and add a key to it; both copy the string. */
bool config_account_name(config_account_t *account, str_t name);
void config_add_key(config_t *config, const config_account_t *account, str_t key);
/* Sorts the tables for look-ups; called once when all is filled in. */
void config_seal(config_t *config);
/* Number of routes, services, accounts and keys that could not be read. */
size_t config_skipped_count(const config_t *config);
/* Negative, zero or positive if version `left` is older than, the same as or newer than `right`. */
int config_version_order(const char *left, const char *right);
config_t *config_ref(config_t *config);
void config_unref(config_t *config);

/* The route with the longest prefix of `path`; NULL if there is none. A port in `host` is
 * ignored. */
const config_route_t *config_route(const config_t *config, str_t host, str_t path);
const config_service_t *config_service(const config_t *config, str_t name);
/* Compares in constant time. */
config_key_match_t config_match_key(const config_t *config, str_t key);
/* Id of the account with that name. */
uint64_t config_account_id(str_t name);
/* The account with that id; NULL if there is none. */
const config_account_t *config_account(const config_t *config, uint64_t id);
/* True if the list contains the region or is empty. */
bool config_allows_region(const config_regions_t *regions, str_t region);
