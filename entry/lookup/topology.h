/* Topology: regions, their places and the one-way delays between regions. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/str.h"

enum { TOPOLOGY_REGIONS_MAX = 64, TOPOLOGY_PLACES_MAX = 512 };

typedef struct {
    name_t name;
    size_t region; /* index into `regions` */
} place_t;

typedef struct {
    name_t regions[TOPOLOGY_REGIONS_MAX];
    size_t region_count;
    place_t places[TOPOLOGY_PLACES_MAX];
    size_t place_count;
    float delay_ms[TOPOLOGY_REGIONS_MAX][TOPOLOGY_REGIONS_MAX];
} topology_t;

/*
 * Parses {"regions":[{"name","places":[...],"delay_ms":{"<region>":ms}}]}. A delay that is missing
 * in both directions defaults to TOPOLOGY_DEFAULT_DELAY_MS. Returns NULL on error.
 */
topology_t *topology_parse(str_t json, err_t *err);
/* Both return an index, or SIZE_MAX if there is none of that name. */
size_t topology_region(const topology_t *topology, str_t name);
size_t topology_place(const topology_t *topology, str_t name);
