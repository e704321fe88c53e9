/* Which data hall lies in which region, from the settings. */
#pragma once

#include <stddef.h>

#include "base/str.h"

enum { TOPOLOGY_HALLS_MAX = 256, TOPOLOGY_REGIONS_MAX = 64, TOPOLOGY_NO_REGION = 64 };

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
/* TOPOLOGY_NO_REGION if the hall or region is not known. */
size_t topology_region_of(const topology_t *topology, str_t hall);
size_t topology_region(const topology_t *topology, str_t region);
