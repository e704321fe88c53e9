#include <math.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/loop_time.h"
#include "gateway/membership/member_offers.h"
#include "gateway/order.h"
#include "gateway/policy/rate_limit.h"
#include "gateway/router.h"

enum {
    /* Uptime after which the list of instances is complete enough for cold starts: several
     * heartbeats of 0.4 s. */
    SETTLED_AFTER_MS = 2500,
};

/* Minimum change of the own region's share that is logged. */
#define PLAN_LOG_STEP 0.05

/* Updates the offered work of a service, if it is counted. */
static void
update_offered(router_t *router, service_t *service, const members_t *members)
{
    const uint64_t now_ms = loop_now(router->loop);
    if (router->orders_shortage || service->reports_pace)
        service_count_offered(service);
    if (service->offered == NULL)
        return;
    offered_work_update(service->offered, now_ms);
    members_offered(members, name_str(&service->name), router->region, now_ms,
                    service->fleet_offered);
}

/* Updates the order under shortage; without one all requests are admitted. */
static void
update_order(const router_t *router, service_t *service, const double *slots)
{
    if (!router->has_order) {
        service_end_order(service);
        return;
    }
    const order_terms_t terms = {
        .topology = router->topology,
        .slots = slots,
        .has_accounts = router->catalog.config->has_accounts,
    };
    order_update(service, &terms, loop_now(router->loop));
}

static void
log_plan(service_t *service, const region_plan_input_t *input, size_t region)
{
    region_plan_t *plan = &service->plan;
    const double share = plan->share[region];
    if (fabs(share - plan->logged_share) < PLAN_LOG_STEP)
        return;
    plan->logged_share = share;
    LOG_INFO("region plan changed: service=%s own_share=%.2f room=%.0f demand=%.1f peak=%.1f "
             "bound=%.1f use=%.2f",
             service->name.ptr, share, input->slots[region], input->demand[region],
             plan->peak[region], input->bound[region], plan->use);
}

static void
update_plan(router_t *router, service_t *service, const members_t *members)
{
    const uint64_t now_ms = loop_now(router->loop);
    const size_t count = router->topology->region_count;
    const str_t name = name_str(&service->name);
    region_plan_input_t input = {.counted = service->offered != NULL};
    catalog_slots_by_region(&router->catalog, name, rollouts_find(&router->rollouts, name),
                            input.slots);
    update_order(router, service, input.slots);
    for (size_t i = 0; i < count; i++) {
        input.demand[i] = input.counted
                              ? members_free_work(members, name, i, router->region, now_ms)
                              : members_demand(members, name, i, router->region, now_ms);
        input.bound[i] = input.counted ? service->fleet_offered->bound[i] : 0;
    }
    service->fleet_demand = 0;
    for (size_t i = 0; i < count; i++)
        service->fleet_demand += input.demand[i];
    region_plan_update(&service->plan, &input, count, router->region, now_ms);
    service_update_backlog(service, count, now_ms);
    log_plan(service, &input, router->region);
}

/* An instance that does not know the others must not take their parts of what all share. */
static void
update_constant_sharers(router_t *router, const members_t *members)
{
    const unsigned known = (unsigned)members_known(members, router->region);
    const bool alone = known == 1;
    if (!alone && (!router->senders_settled || members_hears_nobody(members)))
        return;
    if (known > router->constant_sharers)
        router->constant_sharers = known;
}

static void
update_membership(router_t *router, const members_t *members)
{
    const uint64_t now_ms = loop_now(router->loop);
    router->instances = (unsigned)members_total(members, router->region);
    router->heartbeat_ms = members_interval_ms(members, router->region, now_ms);
    router->live_instances = (unsigned)members_count_alive(members, now_ms);
    for (size_t i = 0; i < router->topology->hall_count; i++)
        router->hall_meshes[i] = members_mesh_at(members, router->topology->halls[i].region, i);
    router->sender_count = members_cold_senders(members, router->senders, MEMBERS_MAX);
    router->senders_settled = now_ms - router->started_ms > SETTLED_AFTER_MS;
    update_constant_sharers(router, members);
}

/* Requests handled by all instances of the own region, per request of this instance. */
static double
traffic_scale(const router_t *router, const members_t *members)
{
    const double own = router->traffic.requests_per_s;
    const double all = members_requests_per_s(members, router->region, loop_now(router->loop));
    return own > 0 && all > own ? all / own : 1;
}

/* Sets the effective slots of backends with a declared limit. */
static void
update_room(router_t *router)
{
    const backends_t *backends = &router->catalog.backends;
    for (size_t i = 0; i < backends->count; i++) {
        backend_t *backend = backends->items[i];
        if (!backend->limit.is_set)
            continue;
        const service_t *service =
            services_find(&router->services, name_str(&backend->info.service));
        const double response_ms = service != NULL ? service->latency_ms : 0;
        backend->plan_slots =
            rate_limit_usable_slots(backend->limit.per_s, backend->info.capacity, response_ms);
    }
}

static bool
counts_any_work(const services_t *services)
{
    for (size_t i = 0; i < services->count; i++) {
        if (service_counts_work(services->items[i]))
            return true;
    }
    return false;
}

/* Tells the backends of services whose work is counted how fast their queues drain. */
static void
update_drains(router_t *router)
{
    const backends_t *backends = &router->catalog.backends;
    if (!counts_any_work(&router->services))
        return;
    for (size_t i = 0; i < backends->count; i++) {
        backend_t *backend = backends->items[i];
        const service_t *service =
            services_find(&router->services, name_str(&backend->info.service));
        if (service == NULL || !service_counts_work(service))
            continue;
        backend->drain_work_ms = service->work_ms;
        backend->reports_pace = service->reports_pace;
    }
}

void
router_tick(router_t *router, const members_t *members)
{
    const uint64_t now_ms = loop_now(router->loop);
    update_membership(router, members);
    traffic_update(&router->traffic, now_ms);
    object_rates_decay(&router->objects, now_ms);
    router->traffic_scale = traffic_scale(router, members);
    update_room(router);
    update_drains(router);
    rollouts_tick(&router->rollouts, &router->catalog.backends, &router->services, now_ms);
    for (size_t i = 0; i < router->services.count; i++) {
        service_update_demand(router->services.items[i], now_ms);
        update_offered(router, router->services.items[i], members);
        update_plan(router, router->services.items[i], members);
    }
    catalog_tick(&router->catalog);
    catalog_set_instances(&router->catalog, router->instances);
}
