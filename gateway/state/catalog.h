/*
 * Catalog: the configuration in force and the backend servers, as the store's views say.
 *
 * Applies what is newer in a view (view.h): configuration (catalog.c), list of backends
 * (catalog_backends.c), closed data halls. Owns the configuration and the list of backends. Relies
 * on the adapter's decoder to read objects, on removal.h for backends that disappear and on
 * cold_start.h for backends that turn cold.
 */
#pragma once

#include "gateway/policy/removal.h"
#include "gateway/ports.h"
#include "gateway/state/backends.h"
#include "gateway/state/departures.h"
#include "gateway/state/view.h"

enum {
    /* Log lines about single backends that one change of a view or one tick makes. A deployment
     * changes hundreds of entries at once; 295 instances that each wrote a line for each of them
     * lost 1,528 times lines of all kinds within 22 s (counted in one region's logs). */
    CATALOG_LOG_LINES_MAX = 32,
};

/* A configuration that could not be used. */
typedef struct {
    uint64_t revision; /* 0: the newest that came is in force */
    err_t err;
} refused_config_t;

typedef struct {
    uv_loop_t *loop;
    const topology_t *topology;
    const decoder_port_t *decoder;
    config_t *config; /* NULL until one is known */
    refused_config_t refused;
    uint64_t newer_revision; /* revision of a newer configuration that a peer holds, or that is here
                          and not decoded yet; 0: none known */
    backends_t backends;
    bool backends_known;          /* a whole list was taken in once */
    departures_t departures;      /* what was told ahead of the list's change */
    notices_t notices;            /* what backends told of themselves, in answers */
    void (*on_notice)(void *ctx); /* there is one that others are to know of */
    void *ctx;
    departures_t new_departures; /* what the last change of the list itself told */
    uint64_t *unusable;          /* revisions of entries that name no backend, ascending */
    size_t unusable_count;
    unsigned instances; /* of the whole fleet; they share a backend's connections */
} catalog_t;

/* What is passed must outlive the catalog. */
void catalog_init(catalog_t *catalog, uv_loop_t *loop, const topology_t *topology,
                  const decoder_port_t *decoder);
/* True if the view held a newer, usable configuration. One that is not usable is remembered as
 * refused until a newer one is in force; what was in force before stays. */
bool catalog_apply_config(catalog_t *catalog, const view_t *view);
/* True if a newer configuration is known of than what is in force of it: none of it, or not all of
 * its routes. */
bool catalog_is_behind(const catalog_t *catalog);
/* Adds and changes backends, and schedules the removal of those that are gone (removal.h). Those
 * that leave or are gone from now on are in `fresh` until the next call. */
void catalog_apply_backends(catalog_t *catalog, const view_t *view, removal_store_t store);
/* A peer tells of backends that get nothing new, ahead of the change of the list. */
void catalog_apply_departures(catalog_t *catalog, const departure_t *items, size_t count,
                              removal_store_t store);
/* How this instance learned what a backend told of itself. */
typedef enum {
    NOTICE_FROM_ANSWER, /* from the backend: others are to know */
    NOTICE_FROM_PEER,
    NOTICE_FROM_PERMIT, /* a peer asks for a permit, or answers */
} notice_source_t;

/* Takes over what a backend told of itself. */
void catalog_merge_notice(catalog_t *catalog, const notice_t *news, notice_source_t source);
/* The backend told something in a form that cannot be used, so many times in one answer. */
void catalog_count_unusable_notice(backend_t *backend, unsigned count);
/* Gives a backend what is known of it from notices. */
void catalog_apply_notice(const catalog_t *catalog, backend_t *backend);
/* Closes and opens the data halls of the backends. */
void catalog_apply_closures(catalog_t *catalog, const view_t *view);
/* The number of instances has changed: each gets its part of a backend's connections. */
void catalog_set_instances(catalog_t *catalog, unsigned instances);
/* Regular work: removes backends that are due, and logs which ones are avoided. */
void catalog_tick(catalog_t *catalog);
/* What the configuration says of a backend's service; NULL if nothing. */
const config_service_t *catalog_service_of(const catalog_t *catalog, const backend_t *backend);
/* Sets the backend's part of its service's connections. */
void catalog_limit_connections(const catalog_t *catalog, backend_t *backend);
/* The backend is cold: its requests are paced from now on. */
void catalog_pace_cold(const catalog_t *catalog, backend_t *backend, uint64_t now_ms);
/* Logs how many changes were not logged each, if there were too many. */
void catalog_log_suppressed(const char *what, size_t changes);
/* True once requests can be decided. */
bool catalog_is_complete(const catalog_t *catalog);
/* Adds the slots of a service's usable backends to `slots`, which has an entry for each region of
 * the topology; backends without a region are left out. */
void catalog_slots_by_region(const catalog_t *catalog, str_t service, double *slots);
