#include <uv.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/order.h"
#include "gateway/policy/slow.h"
#include "gateway/policy/traffic_split.h"
#include "gateway/router_request.h"

enum {
    OBJECT_SEED = 61, /* arbitrary, but must be the same on every instance */
    MS_PER_S = 1000,
};

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
        .heartbeat_ms = HEARTBEAT_MIN_MS,
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

bool
router_has_usable_backend(const router_t *router, const service_t *service)
{
    const backends_t *backends = &router->catalog.backends;
    const uint64_t now_ms = loop_now(router->loop);
    const uint64_t service_key = backend_service_key(name_str(&service->name));
    for (size_t i = 0; i < backends->count; i++) {
        if (backend_is_of(backends->items[i], name_str(&service->name), service_key) &&
            backend_is_usable(backends->items[i], now_ms))
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

double
router_expected_work_ms(const router_t *router, const config_route_t *route,
                        const service_t *service)
{
    const double work_ms = route_stats_work_ms(&router->routes, route->key);
    return work_ms > 0 ? work_ms : service->latency_ms;
}

unsigned
router_request_urgency(const router_request_t *request)
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
                .urgency = router_request_urgency(request),
                .route_urgency = urgency_of(route->priority),
                .bound = choice_allowed_regions(input) == 1,
                .work_ms = router_expected_work_ms(router, route, request->service),
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

choice_input_t
router_request_input(const router_t *router, const router_request_t *request)
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
        .left_ms = request->left_ms,
        .median_ms = route_stats_median_ms(&router->routes, route->key),
    };
    if (!request->ignores_shortest_run)
        input.request.shortest_ms =
            route_stats_shortest_ms(&router->routes, route->key, input.now_ms);
    set_response_time(router, route, service, &input);
    return input;
}

size_t
router_first_candidates(const router_t *router, const router_request_t *request, backend_t **out,
                        size_t max)
{
    const choice_input_t input = router_request_input(router, request);
    return choice_first_candidates(&input, out, max);
}

bool
router_has_time(const router_t *router, const router_request_t *request)
{
    const choice_input_t input = router_request_input(router, request);
    return admission_has_time(&input.request);
}

bool
router_may_test_run(router_t *router, const config_route_t *route)
{
    return route_stats_may_test_run(&router->routes, route->key, loop_now(router->loop));
}

choice_t
router_pick(router_t *router, const router_request_t *request)
{
    choice_input_t input = router_request_input(router, request);
    if (!admit_new(router, request, &input))
        return (choice_t){.reason = CHOICE_SHORTAGE};
    const choice_t choice = choose_version(router, request, &input);
    if (choice.backend != NULL && backend_is_cold(choice.backend, input.now_ms))
        cold_start_count_send(&choice.backend->cold_tokens, input.now_ms);
    return choice;
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
    input.request = (admission_request_t){.left_ms = UINT32_MAX};
    return input;
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
        service->own_pace_report_ms = backend->slowdown_ms;
    backoff_attempt_ended(&backend->backoff, sent_ms, false);
    backend_attempt_finished(backend);
}

void
router_count_attempt(service_t *service, const backend_t *backend, bool rejected)
{
    if (service->offered != NULL)
        offered_work_count_attempt(service->offered, backend->region, rejected);
}

void
router_count_answer(router_t *router, const config_route_t *route, service_t *service,
                    double latency_ms)
{
    route_stats_count_answer(&router->routes, route->key, latency_ms);
    route_stats_count_run(&router->routes, route->key, latency_ms, loop_now(router->loop));
    service_answered(service, latency_ms);
}

void
router_count_work(router_t *router, const config_route_t *route, service_t *service,
                  const backend_t *backend, double latency_ms)
{
    const double slowdown = backend_slowdown(backend, loop_now(router->loop));
    if (slowdown > 0) {
        service->reports_pace = true;
        service_count_slowdown(service, slowdown);
    }
    route_stats_count_work(&router->routes, route->key, latency_ms, slowdown);
    service_worked(service, latency_ms, slowdown);
}

uint32_t
router_slow_ms(const router_t *router, const config_route_t *route)
{
    return slow_after_ms(route_stats_median_ms(&router->routes, route->key));
}

void
router_record_rollout(router_t *router, const service_t *service, const rollout_attempt_t *attempt)
{
    rollout_t *rollout = rollouts_find(&router->rollouts, name_str(&service->name));
    if (rollout != NULL)
        rollout_record(rollout, attempt);
}

retry_terms_t
router_retry_terms(const router_t *router)
{
    return (retry_terms_t){
        .ratio = router->retry_bounds.ratio,
        .constant = router->retry_bounds.constant,
        .window_ms = router->retry_bounds.window_ms,
        .instances = router->constant_sharers,
    };
}

retry_context_t
router_retry_context(router_t *router, service_t *service)
{
    return (retry_context_t){
        .budget = &service->retries,
        .terms = router_retry_terms(router),
        .now_ms = loop_now(router->loop),
        .random = rng_unit(&router->rng),
    };
}
