/*
 * Topology: the region of each data hall.
 *
 * Owns both lists, which are filled from the settings and do not change afterwards. Regions are
 * identified by their index. Depends on nothing.
 */
#pragma once

#include <stddef.h>

#include "base/str.h"

enum {
    TOPOLOGY_HALLS_MAX = 256,                  /* design size: 54 data halls */
    TOPOLOGY_REGIONS_MAX = 64,                 /* design size: 26 regions */
    TOPOLOGY_NO_REGION = TOPOLOGY_REGIONS_MAX, /* index for data halls without a region */
    TOPOLOGY_NO_HALL = TOPOLOGY_HALLS_MAX,     /* index for data halls that are not listed */
};

typedef struct {
    name_t name;
    size_t region; /* index into regions */
} topology_hall_t;

typedef struct {
    topology_hall_t halls[TOPOLOGY_HALLS_MAX];
    size_t hall_count;
    name_t regions[TOPOLOGY_REGIONS_MAX];
    size_t region_count;
} topology_t;

/* Returns false if a name is invalid or a list is full. */
bool topology_add(topology_t *topology, str_t hall, str_t region);
/* Returns the index of a data hall, or TOPOLOGY_NO_HALL if it is unknown. */
size_t topology_hall(const topology_t *topology, str_t hall);
/* Returns the region of a data hall, or TOPOLOGY_NO_REGION if it is unknown. */
size_t topology_region_of(const topology_t *topology, str_t hall);
/* Returns the index of a region by name, or TOPOLOGY_NO_REGION if it is unknown. */
size_t topology_region(const topology_t *topology, str_t region);
