#include "gateway/policy/choice_areas.h"

double
choice_hash_to_unit(uint64_t hash)
{
    return ((double)(hash >> 11) + 0.5) * 0x1.0p-53;
}

static bool
has_region_constraint(const choice_input_t *input)
{
    return input->route->regions.count > 0 ||
           (input->account != NULL && input->account->regions.count > 0);
}

/* Route and client account may each be restricted to regions; both restrictions apply. Backends
 * outside of all configured regions serve unrestricted requests only. */
bool
choice_allows_region(const choice_input_t *input, size_t region)
{
    if (region >= input->topology->region_count)
        return !has_region_constraint(input);
    const str_t name = name_str(&input->topology->regions[region]);
    return config_allows_region(&input->route->regions, name) &&
           (input->account == NULL || config_allows_region(&input->account->regions, name));
}

bool
choice_in_area(const choice_input_t *input, const backend_t *backend, const choice_area_t *area)
{
    if (backend->region != area->region)
        return false;
    const bool own = name_eq(&backend->info.hall, input->own_hall);
    return area->halls == HALL_SCOPE_ALL || own == (area->halls == HALL_SCOPE_OWN);
}

/* Picks a region for a request that may not go to its planned one: in proportion to the plan's
 * shares of the allowed regions, or to their slots if the plan sends nothing there. */
static size_t
pick_allowed_region(const choice_input_t *input, double point)
{
    const region_plan_t *plan = input->plan;
    double weight[TOPOLOGY_REGIONS_MAX];
    double sums[2] = {0}; /* of the shares and of the slots of the allowed regions */
    size_t last = input->own_region;
    for (size_t i = 0; i < plan->region_count; i++) {
        sums[0] += choice_allows_region(input, i) ? plan->share[i] : 0;
        sums[1] += choice_allows_region(input, i) ? plan->slots[i] : 0;
    }
    const double *from = sums[0] > 0 ? plan->share : plan->slots;
    double left = point * (sums[0] > 0 ? sums[0] : sums[1]);
    for (size_t i = 0; i < plan->region_count; i++) {
        weight[i] = choice_allows_region(input, i) ? from[i] : 0;
        if (weight[i] <= 0)
            continue;
        last = i;
        if (left < weight[i])
            return i;
        left -= weight[i];
    }
    return last;
}

size_t
choice_planned_region(const choice_input_t *input)
{
    const double point = choice_hash_to_unit(input->object);
    const size_t planned = input->route->large ? region_plan_pick_large(input->plan, point)
                                               : region_plan_pick(input->plan, point);
    return choice_allows_region(input, planned) ? planned : pick_allowed_region(input, point);
}

size_t
choice_allowed_regions(const choice_input_t *input)
{
    size_t count = 0;
    for (size_t i = 0; i < input->topology->region_count; i++)
        count += choice_allows_region(input, i);
    return count;
}

size_t
choice_list_areas(const choice_input_t *input, choice_area_t *areas)
{
    size_t count = 0;
    const bool large = input->route->large;
    const size_t planned = choice_planned_region(input);
    const bool own_hall_first = large && planned == input->own_region;
    if (own_hall_first)
        areas[count++] = (choice_area_t){planned, HALL_SCOPE_OWN};
    areas[count++] = (choice_area_t){planned, own_hall_first ? HALL_SCOPE_OTHERS : HALL_SCOPE_ALL};
    if (planned != input->own_region)
        areas[count++] = (choice_area_t){input->own_region, HALL_SCOPE_ALL};
    for (size_t i = 0; i < input->topology->region_count; i++) {
        if (i != planned && i != input->own_region)
            areas[count++] = (choice_area_t){i, HALL_SCOPE_ALL};
    }
    /* Backend servers of data halls that the settings do not list come last. */
    areas[count++] = (choice_area_t){TOPOLOGY_NO_REGION, HALL_SCOPE_ALL};
    return count;
}
