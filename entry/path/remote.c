#include "entry/path/attempt.h"
#include "entry/path/remote.h"

/* Share of its credits that a region must have free to get requests of others. Chosen, not
 * measured alone. */
#define SPILL_MIN_HEADROOM 0.1

static const instance_t *
remote_entry_for(const exchange_t *x, const service_t *service, size_t row)
{
    node_t *node = x->node;
    if (service->regions[row] == SIZE_MAX)
        return NULL;
    const name_t *region = &node->steer->topology->regions[service->regions[row]];
    if (name_eq(region, name_str(&node->settings.region)))
        return NULL;
    const region_load_t *load = region_loads_find(&node->loads, name_str(region));
    if (load == NULL || region_load_lost(load, node_now(node)) ||
        region_load_headroom(load) < SPILL_MIN_HEADROOM)
        return NULL;
    return instances_random_entry(node->instances, name_str(region), true, &node->rng);
}

void
remote_send(exchange_t *x, const addr_t *addr, hop_t hop)
{
    const attempt_conf_t conf = {.entry = *addr, .hop = hop, .place = "remote"};
    x->at_owner = hop == HOP_OWNER;
    attempt_start(x, &conf);
}

bool
remote_try_neighbour(exchange_t *x)
{
    const member_t *best = members_most_free(&x->node->members, node_now(x->node));
    if (best == NULL)
        return false;
    remote_send(x, &best->addr, HOP_ENTRY);
    return true;
}

bool
remote_try_region(exchange_t *x, service_t *service, bool moved)
{
    size_t row = SIZE_MAX;
    double sum = 0;
    const instance_t *entry = NULL;
    for (size_t r = 0; r < service->table->row_count; r++) {
        const instance_t *candidate =
            service->shares[r] > 0 ? remote_entry_for(x, service, r) : NULL;
        if (candidate == NULL)
            continue;
        sum += service->shares[r];
        if (rng_unit(&x->node->rng) * sum < service->shares[r]) {
            row = r;
            entry = candidate;
        }
    }
    if (row == SIZE_MAX)
        return false;
    if (moved && !steer_take_request_spill(service, row, node_now(x->node))) {
        x->refusal = "shift_cap";
        return false;
    }
    counter_add(x->node->counters.spilled, 1);
    remote_send(x, &entry->addr, HOP_ENTRY);
    return true;
}
