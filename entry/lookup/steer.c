#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "entry/lookup/steer.h"
#include "entry/table/ramp.h"

enum { BLOCK_BITS_V4 = 8 }; /* addresses of a /24 are steered together */

steer_t *
steer_new(void)
{
    steer_t *steer = xcalloc(1, sizeof(*steer));
    steer->blocks = blocks_new();
    return steer;
}

service_t *
steer_find(const steer_t *steer, str_t service)
{
    for (size_t i = 0; i < steer->service_count; i++) {
        if (name_eq(&steer->services[i]->table->service, service))
            return steer->services[i];
    }
    return NULL;
}

static bool
same_places(const table_t *a, const table_t *b)
{
    if (a->row_count != b->row_count)
        return false;
    for (size_t i = 0; i < a->row_count; i++) {
        if (!name_eq(&a->rows[i].place, name_str(&b->rows[i].place)))
            return false;
    }
    return true;
}

bool
steer_set_table(steer_t *steer, table_t *table)
{
    service_t *service = steer_find(steer, name_str(&table->service));
    if (service == NULL) {
        if (steer->service_count == STEER_SERVICES_MAX)
            return false;
        service = xcalloc(1, sizeof(*service));
        steer->services[steer->service_count++] = service;
    }
    if (service->table == NULL || !same_places(service->table, table)) {
        spill_free(service->lookup_spill);
        spill_free(service->request_spill);
        service->lookup_spill = spill_new(table->row_count);
        service->request_spill = spill_new(table->row_count);
    }
    table_free(service->table);
    service->table = table;
    service->shares = xrealloc(service->shares, table->row_count * sizeof(*service->shares));
    service->rises = xrealloc(service->rises, table->row_count * sizeof(*service->rises));
    service->skip = xrealloc(service->skip, table->row_count);
    service->regions = xrealloc(service->regions, table->row_count * sizeof(*service->regions));
    service->skip_updated_ms = 0;
    service->computed_ms = 0;
    service->settled = false;
    return true;
}

static void
recompute_all(steer_t *steer)
{
    for (size_t i = 0; i < steer->service_count; i++) {
        steer->services[i]->computed_ms = 0;
        steer->services[i]->settled = false;
    }
}

void
steer_set_topology(steer_t *steer, topology_t *topology)
{
    free(steer->topology);
    steer->topology = topology;
    recompute_all(steer);
}

void
steer_blocks_changed(steer_t *steer)
{
    recompute_all(steer);
}

static void
compute_rises(service_t *service, uint64_t wall_ms)
{
    const uint64_t window = RAMP_WINDOW_MS + RAMP_ANSWER_TTL_MS;
    const table_t *table = service->table;
    double *before = xcalloc(table->row_count, sizeof(*before));
    ramp_shares(table, wall_ms > window ? wall_ms - window : 0, before);
    for (size_t i = 0; i < table->row_count; i++)
        service->rises[i] = service->shares[i] > before[i] ? service->shares[i] - before[i] : 0;
    free(before);
}

static void
locate_rows(const topology_t *topology, service_t *service)
{
    for (size_t r = 0; r < service->table->row_count; r++) {
        const size_t place = topology_place(topology, name_str(&service->table->rows[r].place));
        service->regions[r] = place != SIZE_MAX ? topology->places[place].region : SIZE_MAX;
    }
}

bool
steer_refresh(const steer_t *steer, service_t *service, uint64_t wall_ms)
{
    if (steer->topology == NULL)
        return false;
    const bool fresh = service->plan != NULL && service->computed_ms != 0 &&
                       (service->settled || wall_ms < service->computed_ms + STEER_REFRESH_MS);
    if (fresh)
        return true;
    double demand[TOPOLOGY_REGIONS_MAX];
    blocks_demand(steer->blocks, demand, steer->topology->region_count);
    locate_rows(steer->topology, service);
    ramp_shares(service->table, wall_ms, service->shares);
    compute_rises(service, wall_ms);
    steer_plan_free(service->plan);
    service->plan = steer_plan_new(service->table, service->shares, steer->topology, demand);
    service->computed_ms = wall_ms;
    const uint64_t end = ramp_end_ms(service->table);
    service->settled = end != UINT64_MAX && wall_ms > end + RAMP_WINDOW_MS + RAMP_ANSWER_TTL_MS;
    return true;
}

static uint64_t
block_key(const service_t *service, const client_addr_t *client)
{
    const uint64_t block = client->family == 4 ? client->key >> BLOCK_BITS_V4 : client->key;
    return str_hash(name_str(&service->table->service), block);
}

/* Clients outside all known blocks are assigned to an area by hash. */
static size_t
area_of(const steer_t *steer, const client_addr_t *client, uint64_t key)
{
    const uint8_t area = blocks_area(steer->blocks, client);
    if (area < steer->topology->region_count)
        return area;
    return (size_t)(key % steer->topology->region_count);
}

/* The rise of the ramp in the last minute reduces the cap that is left for spill. */
static bool
take_spill(const service_t *service, spill_t *spill, size_t row, uint64_t now_ms)
{
    const double cap = service->table->rows[row].cap * STEER_CAP_FRACTION;
    const double rise = service->rises[row] * STEER_CAP_FRACTION;
    return spill_take(spill, row, cap, rise, now_ms);
}

bool
steer_take_request_spill(const service_t *service, size_t row, uint64_t now_ms)
{
    return take_spill(service, service->request_spill, row, now_ms);
}

steer_choice_t
steer_choose(const steer_t *steer, service_t *service, const client_addr_t *client,
             const uint8_t *skip, uint64_t now_ms)
{
    const uint64_t key = block_key(service, client);
    const size_t area = area_of(steer, client, key);
    spill_record_decision(service->lookup_spill, now_ms);
    steer_choice_t choice = {.row =
                                 steer_plan_pick(service->plan, service->table, area, key, NULL)};
    if (choice.row == SIZE_MAX || !skip[choice.row])
        return choice;
    choice.row = steer_plan_pick(service->plan, service->table, area, key, skip);
    choice.moved = true;
    if (choice.row == SIZE_MAX)
        return choice;
    if (!take_spill(service, service->lookup_spill, choice.row, now_ms)) {
        choice.row = SIZE_MAX;
        choice.capped = true;
    }
    return choice;
}
