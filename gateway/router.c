#include <math.h>
#include <stdlib.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/router.h"

enum {
    SERVICES_MAX = 256,
    OBJECT_SEED = 61,
    DEMAND_TIME_MS = 2000,   /* time constant of the demand's moving average */
    SETTLED_AFTER_MS = 2500, /* uptime after which the list of instances can be relied on */
    SLOW_UNKNOWN_TIMES = 5,  /* the route's aim, before any answer of it was seen */
};

/* Share of the requests that may leave their planned region because it has no room, and how many
 * of them may be saved up. */
#define SPILL_SHARE 0.05
#define SPILL_MAX 4.0
#define LATENCY_GAIN 0.05
/* The most load, in slots, that an upstream may have for a request that has to wait there, and how
 * long the wait may last, as a share of the request's aim. */
#define LOAD_MAX 2.0
#define AIM_SHARE 0.8
/* The same for a request with less than this share of its route's usual patience, and as a share of
 * the time left. */
#define LAST_CHANCE_SHARE 0.9
#define PATIENCE_GAIN 0.02
/* An answer that takes this many times a route's median is slow: more than a run without the object
 * in memory, which takes 3.3 times as long as one with it. Many slow ones speak against an
 * upstream.
 */
#define SLOW_TIMES 3.9
#define MEDIAN_STEP 0.02
#define LOAD_MAX_LAST 3.0
#define LEFT_SHARE 0.6
/* A change of the own region's share that is logged. */
#define PLAN_LOG_STEP 0.05

void
router_init(router_t *router, uv_loop_t *loop, const topology_t *topology,
            const decoder_port_t *decoder, str_t instance, str_t hall)
{
    *router = (router_t){
        .loop = loop,
        .topology = topology,
        .decoder = decoder,
        .rng = rng_system(),
        .key = member_key(instance),
        .region = topology_region_of(topology, hall),
        .started_ms = uv_now(loop),
        .living = 1,
    };
    name_set(&router->instance, instance);
    name_set(&router->hall, hall);
}

router_service_t *
router_service(router_t *router, str_t name)
{
    for (size_t i = 0; i < router->service_count; i++) {
        if (name_eq(&router->services[i].name, name))
            return &router->services[i];
    }
    if (router->services == NULL)
        router->services = xcalloc(SERVICES_MAX, sizeof(*router->services));
    if (router->service_count == SERVICES_MAX)
        return NULL;
    router_service_t *service = &router->services[router->service_count];
    if (!name_set(&service->name, name))
        return NULL;
    service->plan.own = router->region;
    router->service_count++;
    return service;
}

static void
update_demand(router_t *router, router_service_t *service)
{
    const uint64_t now = uv_now(router->loop);
    const double age = (double)(now - service->demand_ms);
    const double keep = exp(-age / DEMAND_TIME_MS);
    service->demand = keep * service->demand + (1 - keep) * service->in_flight;
    service->demand_ms = now;
}

static void
update_plan(router_t *router, router_service_t *service, const members_t *members)
{
    const uint64_t now = uv_now(router->loop);
    plan_input_t input = {0};
    for (size_t i = 0; i < router->backends.count; i++) {
        const backend_t *backend = router->backends.items[i];
        if (backend->region < router->topology->region_count &&
            name_eq(&backend->info.service, name_str(&service->name)) &&
            backend_is_usable(backend, now))
            input.room[backend->region] += backend->info.capacity;
    }
    for (size_t i = 0; i < router->topology->region_count; i++)
        input.demand[i] = members_demand(members, name_str(&service->name), i, router->region, now);
    plan_update(&service->plan, &input, router->topology->region_count, router->region, now);
    const double share = service->plan.share[router->region];
    if (fabs(share - service->plan.logged) < PLAN_LOG_STEP)
        return;
    service->plan.logged = share;
    LOG_INFO("plan: service=%s own_share=%.2f room=%.0f demand=%.1f peak=%.1f", service->name.ptr,
             share, input.room[router->region], input.demand[router->region],
             service->plan.peak[router->region]);
}

/* Tells which upstreams are avoided from now on, and which are no longer. */
static void
note_impaired(router_t *router, uint64_t now_ms)
{
    for (size_t i = 0; i < router->backends.count; i++) {
        backend_t *backend = router->backends.items[i];
        const bool impaired = health_is_impaired(&backend->health, now_ms);
        if (impaired == backend->avoided)
            continue;
        backend->avoided = impaired;
        LOG_INFO("backend %s: id=%s service=%s failure_rate=%.2f outcomes=%.1f",
                 impaired ? "avoided" : "no longer avoided", backend->info.id.ptr,
                 backend->info.service.ptr, backend->health.failure_rate, backend->health.weight);
    }
}

void
router_tick(router_t *router, const members_t *members)
{
    const uint64_t now = uv_now(router->loop);
    const unsigned instances_before = router->instances;
    router->instances = (unsigned)members_total(members, router->region);
    router->peer_count = members_cold_peers(members, router->peers, MEMBERS_MAX);
    router->peers_settled = now - router->started_ms > SETTLED_AFTER_MS;
    router->living = 0;
    for (size_t i = 0; i < members->count; i++)
        router->living += member_alive(&members->items[i], now);
    for (size_t i = 0; i < router->service_count; i++) {
        update_demand(router, &router->services[i]);
        update_plan(router, &router->services[i], members);
    }
    backends_drop_unlisted(&router->backends, now);
    note_impaired(router, now);
    if (router->instances != instances_before)
        router_apply_bounds(router);
}

bool
router_ready(const router_t *router)
{
    return router->config != NULL && router->backends_known;
}

str_t
router_target(router_t *router, const config_route_t *route)
{
    double total = 0;
    for (size_t i = 0; i < route->target_count; i++)
        total += route->targets[i].weight;
    double point = rng_unit(&router->rng) * total;
    for (size_t i = 0; i < route->target_count; i++) {
        point -= route->targets[i].weight;
        if (point < 0)
            return name_str(&route->targets[i].service);
    }
    return name_str(&route->targets[route->target_count - 1].service);
}

uint64_t
router_object_hash(const config_route_t *route, str_t object)
{
    return str_hash(object, OBJECT_SEED ^ route->key);
}

bool
router_has_object(const config_route_t *route, str_t object)
{
    return route->sticky && object.len > 0;
}

uint64_t
router_object(router_t *router, const config_route_t *route, str_t object)
{
    if (!router_has_object(route, object))
        return rng_next(&router->rng);
    return router_object_hash(route, object);
}

static router_route_t *
learned_of(router_t *router, const config_route_t *route)
{
    router_route_t *learned = &router->routes[route->key % ROUTER_ROUTE_SLOTS];
    if (learned->route_key != route->key)
        *learned = (router_route_t){.route_key = route->key};
    return learned;
}

/* A caller with its whole time left can come back later; one that has come back is served late
 * rather than refused again. */
static bool
has_come_back(router_t *router, const config_route_t *route, uint32_t left_ms)
{
    router_route_t *learned = learned_of(router, route);
    if (learned->patience_ms == 0)
        learned->patience_ms = left_ms;
    learned->patience_ms += PATIENCE_GAIN * (left_ms - learned->patience_ms);
    return left_ms < LAST_CHANCE_SHARE * learned->patience_ms;
}

backend_t *
router_pick(router_t *router, const config_route_t *route, router_service_t *service,
            uint64_t object, bool has_object, uint32_t left_ms, backend_t *const *tried,
            size_t tried_count, choice_reason_t *reason)
{
    const uint64_t now = uv_now(router->loop);
    const bool last_chance = has_come_back(router, route, left_ms);
    const choice_input_t input = {
        .backends = &router->backends,
        .topology = router->topology,
        .route = route,
        .service = name_str(&service->name),
        .plan = &service->plan,
        .own_hall = name_str(&router->hall),
        .own_region = router->region,
        .object = object,
        .has_object = has_object,
        .now_ms = now,
        .own_key = router->key,
        .peers = router->peers,
        .peer_count = router->peer_count,
        .peers_settled = router->peers_settled,
        .tried = tried,
        .tried_count = tried_count,
        .wait_ms = (uint32_t)(last_chance ? LEFT_SHARE * left_ms : AIM_SHARE * route->aim_ms),
        .load_max = last_chance ? LOAD_MAX_LAST : LOAD_MAX,
        .may_spill = service->spill >= 1,
    };
    backend_t *backend = choice_pick(&input, reason);
    if (*reason == CHOICE_ELSEWHERE)
        service->spill -= 1;
    if (backend != NULL && backend_is_cold(backend, now))
        cold_take(backend, now);
    return backend;
}

void
router_begin(router_t *router, router_service_t *service, backend_t *backend)
{
    update_demand(router, service);
    service->in_flight++;
    backend->in_flight++;
    backend->probing = backend->failures > 0 && backend->suspended_until_ms > 0;
}

void
router_end(router_t *router, router_service_t *service, backend_t *backend)
{
    update_demand(router, service);
    service->in_flight--;
    backend->in_flight--;
}

/* Moves the estimate of the median by a small part of it towards the new value. */
static void
follow_median(double *median, double value)
{
    if (*median == 0)
        *median = value;
    else
        *median *= value > *median ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP;
}

uint32_t
router_slow_ms(router_t *router, const config_route_t *route)
{
    const double typical = learned_of(router, route)->typical_ms;
    const double slow = SLOW_TIMES * typical;
    if (typical == 0)
        return SLOW_UNKNOWN_TIMES * route->aim_ms;
    return slow > route->aim_ms ? (uint32_t)slow : route->aim_ms;
}

void
router_answered(router_t *router, const config_route_t *route, router_service_t *service,
                double latency_ms)
{
    follow_median(&learned_of(router, route)->typical_ms, latency_ms);
    if (service->latency_ms == 0)
        service->latency_ms = latency_ms;
    service->latency_ms += LATENCY_GAIN * (latency_ms - service->latency_ms);
}

void
router_refused(router_t *router, router_service_t *service)
{
    update_demand(router, service);
    service->demand += service->latency_ms / DEMAND_TIME_MS;
}

static retry_terms_t
retry_terms(const router_t *router)
{
    return (retry_terms_t){
        .ratio = router->bounds.retry_ratio,
        .constant = router->bounds.retry_constant,
        .window_ms = router->bounds.retry_window_ms,
        .instances = router->instances,
    };
}

void
router_count_request(router_t *router, router_service_t *service)
{
    const retry_terms_t terms = retry_terms(router);
    retry_budget_request(&service->budget, &terms, uv_now(router->loop));
    service->spill = fmin(service->spill + SPILL_SHARE, SPILL_MAX);
}

bool
router_take_retry(router_t *router, router_service_t *service)
{
    const retry_terms_t terms = retry_terms(router);
    return retry_budget_take(&service->budget, &terms, uv_now(router->loop));
}
