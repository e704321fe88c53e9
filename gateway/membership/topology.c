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
topology_add(topology_t *topology, str_t hall, str_t region)
{
    size_t index = topology_region(topology, region);
    if (topology->hall_count == TOPOLOGY_HALLS_MAX)
        return false;
    if (index == TOPOLOGY_NO_REGION) {
        if (topology->region_count == TOPOLOGY_REGIONS_MAX)
            return false;
        index = topology->region_count;
        if (!name_set(&topology->regions[index], region))
            return false;
        topology->region_count++;
    }
    topology_hall_t *slot = &topology->halls[topology->hall_count];
    if (!name_set(&slot->name, hall))
        return false;
    slot->region = index;
    topology->hall_count++;
    return true;
}

size_t
topology_hall(const topology_t *topology, str_t hall)
{
    for (size_t i = 0; i < topology->hall_count; i++) {
        if (name_eq(&topology->halls[i].name, hall))
            return i;
    }
    return TOPOLOGY_NO_HALL;
}

size_t
topology_region_of(const topology_t *topology, str_t hall)
{
    const size_t index = topology_hall(topology, hall);
    return index != TOPOLOGY_NO_HALL ? topology->halls[index].region : TOPOLOGY_NO_REGION;
}
