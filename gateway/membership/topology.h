/*
 * Topology: which data hall lies in which region.
 *
 * Owns the two lists, filled from the settings and unchanged afterwards. Regions are named by their
 * index. Relies on nothing.
 */
#pragma once

#include <stddef.h>

#include "base/str.h"

enum {
    TOPOLOGY_HALLS_MAX = 256,                  /* above the size to design for (54 data halls) */
    TOPOLOGY_REGIONS_MAX = 64,                 /* above the size to design for (26 regions) */
    TOPOLOGY_NO_REGION = TOPOLOGY_REGIONS_MAX, /* index of data halls without a region */
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

/* False if a name is not valid or there are too many. */
bool topology_add(topology_t *topology, str_t hall, str_t region);
/* Region of a data hall; TOPOLOGY_NO_REGION if it is not known. */
size_t topology_region_of(const topology_t *topology, str_t hall);
/* Index of a region by its name; TOPOLOGY_NO_REGION if it is not known. */
size_t topology_region(const topology_t *topology, str_t region);
