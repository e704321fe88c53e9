/*
 * Catalog: the configuration in force and the backend servers, as the store's views say.
 *
 * Applies what is newer in a view (view.h): configuration, list of backends, closed data halls.
 * Owns the configuration and the list of backends. Relies on the adapter's decoder to read objects,
 * on removal.h for backends that disappear and on cold_start.h for backends that turn cold.
 */
#pragma once

#include "gateway/policy/removal.h"
#include "gateway/ports.h"
#include "gateway/state/backends.h"
#include "gateway/state/view.h"

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
    uint64_t newer_at; /* revision of a newer configuration that a peer holds, or that is here and
                          not decoded yet; 0: none known */
    backends_t backends;
    bool backends_known; /* a whole list was taken in once */
    unsigned instances;  /* of the whole fleet; they share a backend's connections */
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
/* Adds and changes backends, and schedules the removal of those that are gone (removal.h). */
void catalog_apply_backends(catalog_t *catalog, const view_t *view, removal_store_t store);
/* Closes and opens the data halls of the backends. */
void catalog_apply_closures(catalog_t *catalog, const view_t *view);
/* The number of instances has changed: each gets its part of a backend's connections. */
void catalog_set_instances(catalog_t *catalog, unsigned instances);
/* Regular work: removes backends that are due, and logs which ones are avoided. */
void catalog_tick(catalog_t *catalog);
/* True once requests can be decided. */
bool catalog_is_complete(const catalog_t *catalog);
/* Adds the slots of a service's usable backends to `slots`, which has an entry for each region of
 * the topology; backends without a region are left out. */
void catalog_slots_by_region(const catalog_t *catalog, str_t service, double *slots);
