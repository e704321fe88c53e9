#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/xmalloc.h"
#include "entry/lookup/topology.h"

#define TOPOLOGY_DEFAULT_DELAY_MS 50.0f
#define TOPOLOGY_LOCAL_DELAY_MS 1.0f

static bool
parse_places(topology_t *topology, json_t *list, size_t region, err_t *err)
{
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        const char *name = json_string_value(item);
        if (topology->place_count == TOPOLOGY_PLACES_MAX || name == NULL ||
            topology_place(topology, str_from(name)) != SIZE_MAX ||
            !name_set(&topology->places[topology->place_count].name, str_from(name))) {
            err_set(err, ERR_INVALID, "place %zu of region %s is invalid or listed twice", i,
                    topology->regions[region].ptr);
            return false;
        }
        topology->places[topology->place_count++].region = region;
    }
    return true;
}

static bool
parse_regions(topology_t *topology, json_t *list, err_t *err)
{
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        const char *name = json_string_value(json_object_get(item, "name"));
        if (i == TOPOLOGY_REGIONS_MAX || name == NULL ||
            !name_set(&topology->regions[i], str_from(name))) {
            err_set(err, ERR_INVALID, "region %zu has an invalid name or exceeds the maximum", i);
            return false;
        }
        topology->region_count++;
        if (!parse_places(topology, json_object_get(item, "places"), i, err))
            return false;
    }
    return true;
}

static void
parse_delays(topology_t *topology, json_t *list)
{
    for (size_t a = 0; a < topology->region_count; a++) {
        for (size_t b = 0; b < topology->region_count; b++)
            topology->delay_ms[a][b] = a == b ? TOPOLOGY_LOCAL_DELAY_MS : TOPOLOGY_DEFAULT_DELAY_MS;
    }
    size_t a;
    json_t *item;
    json_array_foreach(list, a, item)
    {
        const char *other;
        json_t *delay;
        json_object_foreach(json_object_get(item, "delay_ms"), other, delay)
        {
            const size_t b = topology_region(topology, str_from(other));
            if (b == SIZE_MAX || json_number_value(delay) < 0)
                continue;
            topology->delay_ms[a][b] = (float)json_number_value(delay);
            topology->delay_ms[b][a] = (float)json_number_value(delay);
        }
    }
}

topology_t *
topology_parse(str_t json, err_t *err)
{
    json_error_t jerr;
    json_t *root = json_loadb(json.ptr, json.len, 0, &jerr);
    json_t *list = json_object_get(root, "regions");
    topology_t *topology = xcalloc(1, sizeof(*topology));
    if (root == NULL || json_array_size(list) == 0) {
        err_set(err, ERR_PARSE, "topology: %s", root == NULL ? jerr.text : "no regions");
        goto err;
    }
    if (!parse_regions(topology, list, err))
        goto err;
    parse_delays(topology, list);
    json_decref(root);
    return topology;

err:
    json_decref(root);
    free(topology);
    return NULL;
}

size_t
topology_region(const topology_t *topology, str_t name)
{
    for (size_t i = 0; i < topology->region_count; i++) {
        if (name_eq(&topology->regions[i], name))
            return i;
    }
    return SIZE_MAX;
}

size_t
topology_place(const topology_t *topology, str_t name)
{
    for (size_t i = 0; i < topology->place_count; i++) {
        if (name_eq(&topology->places[i].name, name))
            return i;
    }
    return SIZE_MAX;
}
