#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define LOG_MODULE "lookup"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/path/lookup_answer.h"
#include "entry/table/ramp.h"

/* How long answers use what was last found. Chosen, not measured. */
enum {
    SKIP_REFRESH_MS = 200,    /* rows that cannot serve */
    ENTRIES_REFRESH_MS = 250, /* instances of a region */
};

/* A place of this region whose servers are all leaving or failing. */
static bool
has_no_server(const node_t *node, const service_t *service, const name_t *place)
{
    const uint64_t now = node_now(node);
    for (size_t i = 0; i < node->backends.count; i++) {
        const backend_t *backend = node->backends.items[i];
        if (name_eq(&backend->service, name_str(&service->table->service)) &&
            name_eq(&backend->place, name_str(place)) && !backend_is_leaving(backend, now) &&
            !backend_is_ejected(backend, now))
            return false;
    }
    return true;
}

static void
refresh_skip(node_t *node, service_t *service)
{
    const uint64_t now = node_now(node);
    if (service->skip_updated_ms != 0 && now < service->skip_updated_ms + SKIP_REFRESH_MS)
        return;
    service->skip_updated_ms = now;
    const topology_t *topology = node->steer->topology;
    for (size_t r = 0; r < service->table->row_count; r++) {
        const name_t *place = &service->table->rows[r].place;
        if (service->regions[r] == SIZE_MAX) {
            service->skip[r] = true;
            continue;
        }
        const name_t *region = &topology->regions[service->regions[r]];
        if (name_eq(region, name_str(&node->settings.region)))
            service->skip[r] = has_no_server(node, service, place);
        else
            service->skip[r] =
                region_load_lost(region_loads_find(&node->loads, name_str(region)), now);
    }
}

static void
add_entry(region_entries_t *entries, const addr_t *addr)
{
    if (entries->count < REGION_ENTRIES_MAX)
        entries->addrs[entries->count++] = *addr;
}

static void
list_own_region(const node_t *node, region_entries_t *entries)
{
    const uint64_t now = node_now(node);
    const instance_t *self = instances_find(node->instances, name_str(&node->settings.name));
    if (!node->leaving && credit_usable(node->credit, now) > CREDIT_FLOOR)
        add_entry(entries, self != NULL ? &self->addr : &node->settings.listen);
    for (size_t i = 0; i < node->members.count; i++) {
        const member_t *member = &node->members.items[i];
        if (member_serves(member, now) && member->usable > CREDIT_FLOOR)
            add_entry(entries, &member->addr);
    }
}

static void
list_other_region(const node_t *node, const name_t *region, region_entries_t *entries)
{
    for (size_t i = 0; node->instances != NULL && i < node->instances->count; i++) {
        const instance_t *instance = &node->instances->items[i];
        if (instance->role == ROLE_ENTRY && !instance->leaving &&
            name_eq(&instance->region, name_str(region)))
            add_entry(entries, &instance->addr);
    }
}

static const region_entries_t *
entries_of(node_t *node, size_t region)
{
    region_entries_t *entries = &node->region_entries[region];
    const uint64_t now = node_now(node);
    if (entries->at_ms != 0 && now < entries->at_ms + ENTRIES_REFRESH_MS)
        return entries;
    const name_t *name = &node->steer->topology->regions[region];
    entries->at_ms = now;
    entries->count = 0;
    if (name_eq(name, name_str(&node->settings.region)))
        list_own_region(node, entries);
    else
        list_other_region(node, name, entries);
    if (entries->count == 0) /* nobody is known to have credits: any listed entry, then */
        list_other_region(node, name, entries);
    return entries;
}

bool
lookup_answer(node_t *node, service_t *service, const client_addr_t *client,
              lookup_answer_t *answer)
{
    answer->error = "not_ready";
    if (!steer_refresh(node->steer, service, node_wall(node)))
        return false;
    refresh_skip(node, service);
    const steer_choice_t choice =
        steer_choose(node->steer, service, client, service->skip, node_now(node));
    if (choice.row == SIZE_MAX) {
        answer->error = choice.capped ? "shift_cap" : "no_place";
        return false;
    }
    const size_t region = service->regions[choice.row];
    answer->place = &service->table->rows[choice.row].place;
    answer->moved = choice.moved;
    answer->region = &node->steer->topology->regions[region];
    const region_entries_t *entries = entries_of(node, region);
    if (entries->count == 0) {
        answer->error = "no_entry";
        return false;
    }
    const size_t first = (size_t)rng_below(&node->rng, entries->count);
    answer->entry_count = 0;
    for (size_t i = 0; i < entries->count && i < LOOKUP_ENTRIES; i++)
        answer->entries[answer->entry_count++] = entries->addrs[(first + i) % entries->count];
    return true;
}

size_t
lookup_answer_format(const service_t *service, const lookup_answer_t *answer,
                     char out[LOOKUP_TEXT_MAX])
{
    int len =
        snprintf(out, LOOKUP_TEXT_MAX,
                 "{\"service\":\"%s\",\"place\":\"%s\",\"region\":\"%s\",\"ttl_ms\":%d,"
                 "\"version\":%" PRIu64 ",\"reason\":\"%s\",\"entries\":[",
                 service->table->service.ptr, answer->place->ptr, answer->region->ptr,
                 RAMP_ANSWER_TTL_MS, service->table->version, answer->moved ? "moved" : "share");
    for (size_t i = 0; i < answer->entry_count; i++) {
        char addr[ADDR_TEXT_MAX];
        addr_format(&answer->entries[i], addr);
        len +=
            snprintf(out + len, LOOKUP_TEXT_MAX - (size_t)len, "%s\"%s\"", i > 0 ? "," : "", addr);
    }
    len += snprintf(out + len, LOOKUP_TEXT_MAX - (size_t)len, "]}\n");
    return (size_t)len;
}
