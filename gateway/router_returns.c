#include <math.h>

#include "gateway/router_request.h"

/* The backend server that a refused request would have gone to; NULL if none. */
static backend_t *
refusing_backend(const choice_input_t *input)
{
    backend_t *first;
    return choice_first_candidates(input, &first, 1) > 0 ? first : NULL;
}

/* Slots that arriving requests for a region need, per slot; 0 if not known. Where work is not
 * counted demand stands for it, which also counts requests that wait: it is no more than all slots.
 */
static double
use_of(const service_t *service, size_t region)
{
    const bool is_counted = service->offered != NULL && region < TOPOLOGY_REGIONS_MAX;
    double slots = 0;
    for (size_t i = 0; i < service->plan.region_count; i++)
        slots += !is_counted || i == region ? service->plan.slots[i] : 0;
    if (slots <= 0)
        return 0;
    return is_counted ? offered_totals_slots(service->fleet_offered, region) / slots
                      : fmin(service->fleet_demand / slots, 1);
}

/* `rejected`: the backend server has just turned the request away, so all of its slots are taken.
 */
static return_server_t
return_server(const choice_input_t *input, const backend_t *backend, double use, bool rejected)
{
    if (backend == NULL)
        return (return_server_t){0};
    const double load = backend_load(backend, input->now_ms);
    const double slots = backend->info.capacity;
    const double own_ms =
        backend->service_time_ms > 0 ? backend->service_time_ms : input->request.median_ms;
    const bool is_counted = input->by_response_time && input->service_work_ms > 0;
    return (return_server_t){
        .load = rejected ? fmax(load, slots) : load,
        .slots = slots,
        .work_ms = is_counted ? input->service_work_ms : own_ms,
        .use = use,
        .next_free_ms = backend->returns_next_ms,
    };
}

/* Part of the work for a region that comes from this instance's callers: of the offered work or,
 * where that is not counted, of the demand for the service. */
static double
own_share(const router_t *router, const service_t *service, size_t region)
{
    const bool is_counted = service->offered != NULL && region < TOPOLOGY_REGIONS_MAX;
    const double own =
        is_counted ? offered_totals_slots(&service->offered->average, region) : service->demand;
    const double all =
        is_counted ? offered_totals_slots(service->fleet_offered, region) : service->fleet_demand;
    if (all > 0 && own > 0)
        return own < all ? own / all : 1;
    return 1.0 / (router->instances > 0 ? router->instances : 1);
}

/* Slots that requests of an urgency get in a region that is short of them; zeroed if it is not. */
static return_room_t
return_room(const service_t *service, size_t region, unsigned urgency)
{
    if (service->offered == NULL || region >= TOPOLOGY_REGIONS_MAX)
        return (return_room_t){0};
    const double share = shortage_admitted_share(service->shortage, region, urgency);
    if (share >= 1)
        return (return_room_t){0};
    return (return_room_t){
        .slots = share * service->fleet_offered->slots[region][urgency],
        .next_free_ms = service->returns_next_ms[region][urgency],
    };
}

return_time_t
router_return_time(router_t *router, const router_request_t *request, bool rejected)
{
    service_t *service = request->service;
    choice_input_t choice = router_request_input(router, request);
    choice.tried_count = 0; /* it is to come back to the backend server that was full */
    const size_t region = choice_planned_region(&choice);
    const unsigned urgency = router_request_urgency(request);
    backend_t *backend = refusing_backend(&choice);
    const return_input_t input = {
        .server = return_server(&choice, backend, use_of(service, region), rejected),
        .room = return_room(service, region, urgency),
        .own_share = own_share(router, service, region),
        .now_ms = choice.now_ms,
        .left_ms = request->left_ms,
        .work_ms = router_expected_work_ms(router, request->route, service),
        .spread = rng_unit(&router->rng),
    };
    const return_time_t time = return_time_decide(&input);
    if (!time.comes_back)
        return time;
    if (input.room.slots > 0)
        service->returns_next_ms[region][urgency] = time.room_next_ms;
    if (backend != NULL)
        backend->returns_next_ms = time.server_next_ms;
    return time;
}
