#include <math.h>

#include <uv.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/membership/member_offers.h"
#include "gateway/order.h"
#include "gateway/policy/rate_limit.h"
#include "gateway/policy/slow.h"
#include "gateway/policy/traffic_split.h"
#include "gateway/router.h"

enum {
    OBJECT_SEED = 61, /* arbitrary, but must be the same on every instance */
    /* Uptime after which the list of instances is complete enough for cold starts: several
     * heartbeats of 0.4 s. */
    SETTLED_AFTER_MS = 2500,
    MS_PER_S = 1000,
};

/* Minimum change of the own region's share that is logged. */
#define PLAN_LOG_STEP 0.05

void
router_init(router_t *router, uv_loop_t *loop, const router_conf_t *conf)
{
    *router = (router_t){
        .loop = loop,
        .topology = conf->topology,
        .retry_bounds = conf->retry_bounds,
        .orders_shortage = conf->orders_shortage,
        .rng = rng_system(),
        .key = member_key(conf->instance),
        .region = topology_region_of(conf->topology, conf->hall),
        .started_ms = loop_now(loop),
        .live_instances = 1,
    };
    xassert(name_set(&router->instance, conf->instance));
    xassert(name_set(&router->hall, conf->hall));
    router->services.own_region = router->region;
    catalog_init(&router->catalog, loop, conf->topology, conf->decoder);
    router->rollouts.decoder = conf->decoder;
    router->rollouts.exposure = conf->exposure;
}

bool
router_is_ready(const router_t *router)
{
    return catalog_is_complete(&router->catalog);
}

void
router_apply_config(router_t *router, const view_t *view)
{
    if (!catalog_apply_config(&router->catalog, view))
        return;
    /* Creates the region plans, so that they exist when the first requests arrive. */
    const config_t *config = router->catalog.config;
    router->has_order = router->orders_shortage && order_applies(config);
    for (size_t i = 0; i < config->service_count; i++)
        services_get(&router->services, name_str(&config->services[i].name));
}

/* ---- periodic updates ---- */

/* Updates the offered work of a service, if it is counted. */
static void
update_offered(router_t *router, service_t *service, const members_t *members)
{
    const uint64_t now_ms = loop_now(router->loop);
    if (router->orders_shortage || service->tells_pace)
        service_count_offered(service);
    if (service->offered == NULL)
        return;
    offered_work_update(service->offered, now_ms);
    returns_advance(service->returns, now_ms);
    members_offered(members, name_str(&service->name), router->region, now_ms,
                    service->fleet_offered);
}

/* Updates the order under shortage; without one all requests are admitted. */
static void
update_order(const router_t *router, service_t *service, const double *slots)
{
    if (router->has_order)
        order_update(service, router->topology, slots, loop_now(router->loop));
    else
        service_end_order(service);
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
    region_plan_update(&service->plan, &input, count, router->region, now_ms);
    service_update_backlog(service, count, now_ms);
    log_plan(service, &input, router->region);
}

static void
update_membership(router_t *router, const members_t *members)
{
    const uint64_t now_ms = loop_now(router->loop);
    router->instances = (unsigned)members_total(members, router->region);
    router->live_instances = (unsigned)members_count_alive(members, now_ms);
    for (size_t i = 0; i < router->topology->hall_count; i++)
        router->hall_meshes[i] = members_mesh_at(members, router->topology->halls[i].region, i);
    router->sender_count = members_cold_senders(members, router->senders, MEMBERS_MAX);
    router->senders_settled = now_ms - router->started_ms > SETTLED_AFTER_MS;
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
        backend->tells_pace = service->tells_pace;
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

/* ---- one request ---- */

service_t *
router_service(router_t *router, const config_route_t *route)
{
    const str_t name = traffic_split_pick(route, rng_unit(&router->rng));
    return services_get(&router->services, name);
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
    const uint64_t hash = router_object_hash(route, object);
    object_rates_count(&router->objects, hash);
    return hash;
}

/* Returns the slots occupied by requests for an object, over all instances of the own region. */
static double
object_demand(const router_t *router, const config_route_t *route, uint64_t object)
{
    const double per_s = object_rates_per_s(&router->objects, object) * router->traffic_scale;
    return per_s * route_stats_median_ms(&router->routes, route->key) / MS_PER_S;
}

/* Fills the fields common to every choice on this instance. */
static choice_input_t
choice_input(const router_t *router, const config_route_t *route, str_t service,
             const region_plan_t *plan, uint64_t object)
{
    return (choice_input_t){
        .backends = &router->catalog.backends,
        .topology = router->topology,
        .route = route,
        .service = service,
        .plan = plan,
        .own_hall = name_str(&router->hall),
        .own_region = router->region,
        .object = object,
        .object_demand = object_demand(router, route, object),
        .now_ms = loop_now(router->loop),
        .own_key = router->key,
        .senders = router->senders,
        .sender_count = router->sender_count,
        .hall_meshes = router->hall_meshes,
        .senders_settled = router->senders_settled,
    };
}

static bool
contains(const uint64_t *items, size_t count, uint64_t wanted)
{
    for (size_t i = 0; i < count; i++) {
        if (items[i] == wanted)
            return true;
    }
    return false;
}

size_t
router_usable_versions(const router_t *router, const service_t *service, uint64_t *out, size_t max)
{
    const backends_t *backends = &router->catalog.backends;
    const uint64_t now_ms = loop_now(router->loop);
    const uint64_t service_key = backend_service_key(name_str(&service->name));
    size_t count = 0;
    for (size_t i = 0; i < backends->count && count < max; i++) {
        const backend_t *backend = backends->items[i];
        const uint64_t version = backend->info.version;
        if (version != 0 && !contains(out, count, version) &&
            backend_is_of(backend, name_str(&service->name), service_key) &&
            backend_is_usable(backend, now_ms))
            out[count++] = version;
    }
    return count;
}

/* True if an attempt of the request went to the target of the roll-out. */
static bool
tried_target(const router_request_t *request, const rollout_t *rollout)
{
    for (size_t i = 0; i < request->tried_count; i++) {
        if (request->tried[i]->info.version == rollout->order.version)
            return true;
    }
    return false;
}

/* Chooses among the versions that a roll-out of the service allows. A request that is bound to a
 * version keeps it, unless that one was rolled back. */
static choice_t
choose_version(router_t *router, const router_request_t *request, choice_input_t *input)
{
    const rollout_t *rollout = rollouts_find(&router->rollouts, name_str(&request->service->name));
    if (rollout == NULL || (input->version != 0 && rollout->state != ROLLOUT_ROLLED_BACK))
        return choice_make(input);
    const rollout_versions_t versions =
        rollout_versions(rollout, rng_unit(&router->rng), tried_target(request, rollout));
    input->versions = versions.first;
    const choice_t choice = choice_make(input);
    if (choice.backend != NULL || !versions.has_second)
        return choice;
    input->versions = versions.second;
    return choice_make(input);
}

/* Expected time in milliseconds that a request keeps a slot busy. */
static double
expected_work_ms(const router_t *router, const config_route_t *route, const service_t *service)
{
    const double work_ms = route_stats_work_ms(&router->routes, route->key);
    return work_ms > 0 ? work_ms : service->latency_ms;
}

static unsigned
request_urgency(const router_request_t *request)
{
    return urgency_of(request->account != NULL ? request->account->priority
                                               : request->route->priority);
}

/* Describes the work of a request. */
static order_request_t
order_request(const router_t *router, const router_request_t *request, const choice_input_t *input)
{
    const config_route_t *route = request->route;
    const config_account_t *account = request->account;
    return (order_request_t){
        .offered =
            {
                .region = choice_planned_region(input),
                .urgency = request_urgency(request),
                .route_urgency = urgency_of(route->priority),
                .bound = choice_allowed_regions(input) == 1,
                .returned = shortage_caller_returned(request->prior_wait_ms, request->left_ms),
                .work_ms = expected_work_ms(router, route, request->service),
            },
        .account = account,
    };
}

/* Counts a new request and decides whether the order under shortage admits it. */
static bool
admit_new(router_t *router, const router_request_t *request, const choice_input_t *input)
{
    service_t *service = request->service;
    if (service->offered == NULL || !request->is_first)
        return true;
    const order_request_t ordered = order_request(router, request, input);
    offered_work_count(service->offered, &ordered.offered);
    order_count(service, &ordered);
    return order_admits(service, &ordered, &router->rng);
}

/* Estimated run in milliseconds with the object in memory, 0 if not known: the mean includes runs
 * without it, the median queues. */
static double
work_in_memory_ms(const router_t *router, const config_route_t *route)
{
    const double mean_ms = route_stats_work_ms(&router->routes, route->key);
    const double median_ms = route_stats_median_ms(&router->routes, route->key);
    return median_ms > 0 && median_ms < mean_ms ? median_ms : mean_ms;
}

/* Sets what the choice by response time needs, where it applies. */
static void
set_response_time(const router_t *router, const config_route_t *route, const service_t *service,
                  choice_input_t *input)
{
    input->by_response_time = service_counts_work(service);
    if (!input->by_response_time)
        return;
    input->object_per_s =
        object_rates_before_per_s(&router->objects, input->object) * router->traffic_scale;
    input->work_ms = work_in_memory_ms(router, route);
    input->service_work_ms = service->work_ms;
}

/* Returns the input of a choice for the request. */
static choice_input_t
request_input(const router_t *router, const router_request_t *request)
{
    const config_route_t *route = request->route;
    const service_t *service = request->service;
    choice_input_t input =
        choice_input(router, route, name_str(&service->name), &service->plan, request->object);
    input.account = request->account;
    input.has_object = request->has_object;
    input.suspected = request->suspected;
    input.may_request_permit = request->may_request_permit;
    input.version = request->version;
    input.tried = request->tried;
    input.tried_count = request->tried_count;
    input.request = (admission_request_t){
        .objective_ms = route->latency_objective_ms,
        .left_ms = request->left_ms,
        .median_ms = route_stats_median_ms(&router->routes, route->key),
        .lost_ms = request->prior_wait_ms,
        .expected = request->expected,
    };
    set_response_time(router, route, service, &input);
    return input;
}

size_t
router_first_candidates(const router_t *router, const router_request_t *request, backend_t **out,
                        size_t max)
{
    const choice_input_t input = request_input(router, request);
    return choice_first_candidates(&input, out, max);
}

choice_t
router_pick(router_t *router, const router_request_t *request)
{
    choice_input_t input = request_input(router, request);
    if (!admit_new(router, request, &input))
        return (choice_t){.reason = CHOICE_SHORTAGE};
    const choice_t choice = choose_version(router, request, &input);
    if (choice.backend != NULL && backend_is_cold(choice.backend, input.now_ms))
        cold_start_count_send(&choice.backend->cold_tokens, input.now_ms);
    return choice;
}

/* ---- refused callers ---- */

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
    choice_input_t choice = request_input(router, request);
    choice.tried_count = 0; /* it is to come back to the backend server that was full */
    const size_t region = choice_planned_region(&choice);
    backend_t *backend = refusing_backend(&choice);
    returns_advance(service->returns, choice.now_ms);
    const return_input_t input = {
        .server = return_server(router, &choice, backend),
        .room = return_room(router, service, region, request_urgency(request)),
        .promised = service->returns,
        .region = region,
        .now_ms = choice.now_ms,
        .left_ms = request->left_ms,
        .objective_ms = request->route->latency_objective_ms,
        .usual_left_ms = route_stats_first_left_ms(&router->routes, request->route->key),
        .lost_ms = request->prior_wait_ms,
        .work_ms = expected_work_ms(router, request->route, service),
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

choice_input_t
router_explain_input(const router_t *router, const config_route_t *route, str_t service,
                     uint64_t object)
{
    static const region_plan_t no_plan;
    const service_t *known = services_find(&router->services, service);
    choice_input_t input =
        choice_input(router, route, service, known != NULL ? &known->plan : &no_plan, object);
    input.has_object = true;
    input.may_request_permit = true;
    if (known != NULL)
        set_response_time(router, route, known, &input);
    input.request =
        (admission_request_t){.objective_ms = route->latency_objective_ms, .left_ms = UINT32_MAX};
    return input;
}

double
router_record_caller(router_t *router, const config_route_t *route, const service_t *service,
                     uint32_t left_ms)
{
    const double all_ms = route_stats_count_caller(&router->routes, route->key, left_ms);
    const double first_ms =
        route_stats_count_first(&router->routes, route->key, left_ms, return_time_is_return);
    const double usual_ms = service->offered != NULL ? first_ms : all_ms;
    return usual_ms > left_ms ? usual_ms - left_ms : 0;
}

void
router_count_request(router_t *router, service_t *service)
{
    const retry_context_t account = router_retry_context(router, service);
    retry_budget_count_request(account.budget, &account.terms, account.now_ms);
}

void
router_count_refused(router_t *router, service_t *service)
{
    service_refused(service, loop_now(router->loop));
}

static void
apply_backoff(router_t *router, backend_t *backend, const response_notice_t *notice)
{
    const uint64_t now_ms = loop_now(router->loop);
    const bool was_in_backoff = backend->backoff.until_ms > 0;
    if (notice->statement->has_backoff) {
        if (!backoff_is_active(&backend->backoff, now_ms))
            LOG_INFO("backend requested backoff: id=%s rest_ms=%llu", backend->info.id.ptr,
                     (unsigned long long)notice->statement->backoff_ms);
        backoff_request(&backend->backoff, notice->statement->backoff_ms, now_ms);
        return;
    }
    backoff_attempt_ended(&backend->backoff, notice->sent_ms, notice->ran);
    if (was_in_backoff && backend->backoff.until_ms == 0)
        LOG_INFO("backend backoff ended: id=%s", backend->info.id.ptr);
}

void
router_apply_notice(router_t *router, backend_t *backend, const response_notice_t *notice)
{
    const backend_statement_t *statement = notice->statement;
    apply_backoff(router, backend, notice);
    if (statement->unusable > 0)
        catalog_count_unusable_notice(backend, statement->unusable);
    /* A response that refuses the request may omit the limit, so only executed requests clear it.
     * */
    const bool limit_known = statement->has_limit || notice->ran;
    const notice_t update = {
        .backend = backend->info.id,
        .born = backend->info.born,
        .limit =
            {
                .is_set = statement->has_limit,
                .per_s = statement->limit_per_s,
                .stated_ms = limit_known ? notice->sent_ms : 0,
            },
        .leaving = statement->leaving,
        .leaving_since_ms = loop_now(router->loop),
    };
    catalog_merge_notice(&router->catalog, &update, NOTICE_FROM_ANSWER);
}

void
router_attempt_started(router_t *router, service_t *service, backend_t *backend)
{
    service_attempt_started(service, loop_now(router->loop));
    backend_attempt_started(backend);
}

void
router_attempt_finished(router_t *router, service_t *service, backend_t *backend, uint64_t sent_ms)
{
    service_attempt_finished(service, loop_now(router->loop));
    if (backend->slowdown > 0 && backend->slowdown_ms >= sent_ms)
        service->pace_reported_ms = backend->slowdown_ms;
    backoff_attempt_ended(&backend->backoff, sent_ms, false);
    backend_attempt_finished(backend);
}

void
router_count_attempt(service_t *service, const backend_t *backend, bool busy)
{
    if (service->offered != NULL)
        offered_work_count_attempt(service->offered, backend->region, busy);
}

void
router_count_answer(router_t *router, const config_route_t *route, service_t *service,
                    double latency_ms)
{
    route_stats_count_answer(&router->routes, route->key, latency_ms);
    service_answered(service, latency_ms);
}

void
router_count_work(router_t *router, const config_route_t *route, service_t *service,
                  const backend_t *backend, double latency_ms)
{
    const double slowdown = backend_slowdown(backend, loop_now(router->loop));
    if (slowdown > 0) {
        service->tells_pace = true;
        service_count_slowdown(service, slowdown);
    }
    route_stats_count_work(&router->routes, route->key, latency_ms, slowdown);
    service_worked(service, latency_ms, slowdown);
}

uint32_t
router_slow_ms(router_t *router, const config_route_t *route)
{
    const double median_ms = route_stats_median_ms(&router->routes, route->key);
    return slow_after_ms(route->latency_objective_ms, median_ms);
}

void
router_record_rollout(router_t *router, const service_t *service, const rollout_attempt_t *attempt)
{
    rollout_t *rollout = rollouts_find(&router->rollouts, name_str(&service->name));
    if (rollout != NULL)
        rollout_record(rollout, attempt);
}

retry_context_t
router_retry_context(router_t *router, service_t *service)
{
    return (retry_context_t){
        .budget = &service->retries,
        .terms =
            {
                .ratio = router->retry_bounds.ratio,
                .constant = router->retry_bounds.constant,
                .window_ms = router->retry_bounds.window_ms,
                .instances = router->instances,
            },
        .now_ms = loop_now(router->loop),
    };
}
