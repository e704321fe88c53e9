/*
 * Catalog: the configuration in force and the backend servers, as read from the store's views.
 *
 * Applies newer contents of a view (view.h): the configuration and closed data halls (catalog.c)
 * and the list of backends (catalog_backends.c). Owns the configuration and the list of backends.
 * Relies on the adapter's decoder to read objects, on removal.h for backends that disappear and on
 * cold_start.h for backends that turn cold.
 */
#pragma once

#include "gateway/policy/removal.h"
#include "gateway/ports.h"
#include "gateway/state/backends.h"
#include "gateway/state/departures.h"
#include "gateway/state/rollouts.h"
#include "gateway/state/view.h"

enum {
    /* Maximum of log lines about single backends for one change of a view or one tick. A deployment
     * changes hundreds of entries at once: without a maximum the instances of a region of a fleet
     * of 295 lost lines of all kinds 1,528 times within 22 s. */
    CATALOG_LOG_LINES_MAX = 32,
};

/* A configuration that could not be used. */
typedef struct {
    uint64_t revision; /* 0: none since the one in force */
    err_t err;
} refused_config_t;

typedef struct {
    uv_loop_t *loop;
    const topology_t *topology;
    const decoder_port_t *decoder;
    config_t *config; /* NULL until one is known */
    refused_config_t refused;
    uint64_t newer_revision; /* of a configuration at a peer or not decoded yet; 0: none */
    bool isolated;           /* a newer one may be unknown here (isolation.h) */
    backends_t backends;
    bool backends_known;          /* a complete list has been applied */
    departures_t departures;      /* announced by peers before the list changed */
    notices_t notices;            /* statements of backends in their responses */
    void (*on_notice)(void *ctx); /* a notice is to be sent to other instances */
    void *ctx;
    departures_t new_departures; /* found by the last change of the list */
    uint64_t *unusable;          /* revisions of entries that could not be read, ascending */
    size_t unusable_count;
    /* Loop time until which a returned store may lack what was written to it; 0: not. */
    uint64_t held_until_ms;
    size_t logged_to;   /* index up to which avoided backends were logged */
    unsigned instances; /* number of instances in the fleet, which share a backend's connections */
} catalog_t;

/* The arguments must outlive the catalog. */
void catalog_init(catalog_t *catalog, uv_loop_t *loop, const topology_t *topology,
                  const decoder_port_t *decoder);
/* True if the view held a newer, usable configuration. An unusable one is remembered as refused
 * until a newer one is in force; the one in force is kept. */
bool catalog_apply_config(catalog_t *catalog, const view_t *view);
/* Position of the newest configuration known, in force or not; 0 if none. */
uint64_t catalog_newest_config(const catalog_t *catalog);
/* True if the configuration in force is incomplete, or a newer one is known or may exist. */
bool catalog_is_behind(const catalog_t *catalog);
/* Adds and updates backends, and schedules the removal of missing ones (removal.h).
 * `new_departures` holds those that are leaving or gone since the previous call. */
void catalog_apply_backends(catalog_t *catalog, const view_t *view, removal_store_t store);
/* The store has come back from an older copy: what left or was closed in the lost span stays so
 * until those who wrote that have written it again. */
void catalog_on_store_return(catalog_t *catalog);
/* True once that time is over; the views are then to be applied again. */
bool catalog_hold_ended(catalog_t *catalog);
/* Applies departures announced by a peer before the list changes. */
void catalog_apply_departures(catalog_t *catalog, const departure_t *items, size_t count,
                              removal_store_t store);
/* Where a notice comes from. */
typedef enum {
    NOTICE_FROM_ANSWER, /* the backend itself; the notice is to be sent */
    NOTICE_FROM_PEER,
    NOTICE_FROM_PERMIT, /* a permit request or its answer */
} notice_source_t;

/* Merges the statement of a backend about itself. */
void catalog_merge_notice(catalog_t *catalog, const notice_t *update, notice_source_t source);
/* Counts `count` fields of a response that could not be used. */
void catalog_count_unusable_notice(backend_t *backend, unsigned count);
/* Applies the stored notice to the backend, if there is one. */
void catalog_apply_notice(const catalog_t *catalog, backend_t *backend);
/* Closes and opens the data halls of the backends. */
void catalog_apply_closures(catalog_t *catalog, const view_t *view);
/* Sets the number of instances, among which a backend's connections are divided. */
void catalog_set_instances(catalog_t *catalog, unsigned instances);
/* Periodic work: removes backends that are due, and logs changes in which ones are avoided. */
void catalog_tick(catalog_t *catalog);
/* Returns the configuration of the backend's service; NULL if there is none. */
const config_service_t *catalog_service_of(const catalog_t *catalog, const backend_t *backend);
/* Sets this instance's part of the service's connections to the backend. */
void catalog_limit_connections(const catalog_t *catalog, backend_t *backend);
/* Starts pacing the requests to a cold backend. */
void catalog_pace_cold(const catalog_t *catalog, backend_t *backend, uint64_t now_ms);
/* Logs the number of changes if it exceeds the maximum of log lines. */
void catalog_log_suppressed(const char *what, size_t changes);
/* True once requests can be decided. */
bool catalog_is_complete(const catalog_t *catalog);
/* Adds the slots of a service's usable backends to `slots`, which has an element for each region of
 * the topology. Backends without a region are skipped, and those that a roll-out of the service
 * keeps out of use; `rollout` may be NULL. */
void catalog_slots_by_region(const catalog_t *catalog, str_t service, const rollout_t *rollout,
                             double *slots);
