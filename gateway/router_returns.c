#include "base/loop_time.h"
#include "gateway/router_request.h"

/* The backend server that a refused request would have gone to; NULL if none. */
static backend_t *
refusing_backend(const choice_input_t *input)
{
    backend_t *first;
    return choice_first_candidates(input, &first, 1) > 0 ? first : NULL;
}

static return_server_t
return_server(const router_t *router, const choice_input_t *input, const backend_t *backend)
{
    if (backend == NULL)
        return (return_server_t){0};
    const double median_ms = route_stats_median_ms(&router->routes, input->route->key);
    const double mean_ms = backend->service_time_ms;
    return (return_server_t){
        .load = backend_load(backend, input->now_ms),
        .slots = backend->info.capacity,
        .work_ms = median_ms > 0 && median_ms < mean_ms ? median_ms : mean_ms,
        .promised_until = backend->returns_until_ms,
    };
}

/* Part of the work offered to a region that comes from this instance's callers. */
static double
own_share(const router_t *router, const service_t *service, size_t region)
{
    const double all = offered_totals_slots(service->fleet_offered, region);
    const double own = offered_totals_slots(&service->offered->average, region);
    if (all > 0 && own > 0)
        return own < all ? own / all : 1;
    return 1.0 / (router->instances > 0 ? router->instances : 1);
}

static return_room_t
return_room(const router_t *router, const service_t *service, size_t region, unsigned urgency)
{
    if (region >= TOPOLOGY_REGIONS_MAX)
        return (return_room_t){0};
    return_room_t room = {
        .slots = service->plan.slots[region],
        .admitted_share = shortage_admitted_share(service->shortage, region, urgency),
        .own_share = own_share(router, service, region),
    };
    /* Work is counted at the usual pace. */
    const double slowdown = service->slowdown > 1 ? service->slowdown : 1;
    for (unsigned level = 0; level <= urgency; level++)
        room.ahead += service->fleet_offered->slots[region][level] * slowdown;
    return room;
}

return_time_t
router_return_time(router_t *router, const router_request_t *request)
{
    service_t *service = request->service;
    choice_input_t choice = router_request_input(router, request);
    choice.tried_count = 0; /* it is to come back to the backend server that was full */
    const size_t region = choice_planned_region(&choice);
    backend_t *backend = refusing_backend(&choice);
    returns_advance(service->returns, choice.now_ms);
    const return_input_t input = {
        .server = return_server(router, &choice, backend),
        .room = return_room(router, service, region, router_request_urgency(request)),
        .promised = service->returns,
        .region = region,
        .now_ms = choice.now_ms,
        .left_ms = request->left_ms,
        .objective_ms = request->route->latency_objective_ms,
        .usual_left_ms = route_stats_first_left_ms(&router->routes, request->route->key),
        .lost_ms = request->prior_wait_ms,
        .work_ms = router_expected_work_ms(router, request->route, service),
        .spread = rng_unit(&router->rng),
        .slot_chance = rng_unit(&router->rng),
    };
    const return_time_t time = return_time_decide(&input);
    if (!time.expected)
        return time;
    returns_promise(service->returns, region, time.at_ms, input.work_ms);
    if (backend != NULL)
        backend->returns_until_ms = time.server_promised_until;
    return time;
}
