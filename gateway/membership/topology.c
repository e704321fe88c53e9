#include "gateway/membership/topology.h"

size_t
topology_region(const topology_t *topology, str_t region)
{
    for (size_t i = 0; i < topology->region_count; i++) {
        if (name_eq(&topology->regions[i], region))
            return i;
    }
    return TOPOLOGY_NO_REGION;
}

bool
topology_add(topology_t *topology, str_t place, str_t region)
{
    size_t index = topology_region(topology, region);
    if (topology->place_count == TOPOLOGY_PLACES_MAX)
        return false;
    if (index == TOPOLOGY_NO_REGION) {
        if (topology->region_count == TOPOLOGY_REGIONS_MAX)
            return false;
        index = topology->region_count;
        if (!name_set(&topology->regions[index], region))
            return false;
        topology->region_count++;
    }
    topology_place_t *slot = &topology->places[topology->place_count];
    if (!name_set(&slot->name, place))
        return false;
    slot->region = index;
    topology->place_count++;
    return true;
}

size_t
topology_region_of(const topology_t *topology, str_t place)
{
    for (size_t i = 0; i < topology->place_count; i++) {
        if (name_eq(&topology->places[i].name, place))
            return topology->places[i].region;
    }
    return TOPOLOGY_NO_REGION;
}
