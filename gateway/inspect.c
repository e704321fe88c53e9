#include <uv.h>

#include "gateway/inspect.h"
#include "base/loop_time.h"
#include "gateway/state/position.h"

/* Totals of one table row. */
typedef struct {
    unsigned backends;
    unsigned ready;
    unsigned leaving;
    unsigned cold;
    unsigned suspended;
    unsigned slots;
    double load;
    bool closed;
} hall_row_t;

static hall_row_t
sum_row(const router_t *router, const name_t *service, const name_t *hall, uint64_t now)
{
    hall_row_t row = {0};
    for (size_t i = 0; i < router->catalog.backends.count; i++) {
        const backend_t *backend = router->catalog.backends.items[i];
        if (!name_eq(&backend->info.service, name_str(service)) ||
            !name_eq(&backend->info.hall, name_str(hall)))
            continue;
        row.backends++;
        row.ready += backend_is_usable(backend, now);
        row.leaving += backend_is_leaving(backend) || !backend->listed;
        row.cold += backend_is_cold(backend, now);
        row.suspended += breaker_is_suspended(&backend->breaker, now);
        row.slots += backend->info.capacity;
        row.load += backend_load(backend, now);
        row.closed |= backend->hall_closed;
    }
    return row;
}

static void
print_rows(const router_t *router, const config_service_t *config, uint64_t now, wire_text_t *out)
{
    const service_t *service = services_find(&router->services, name_str(&config->name));
    for (size_t i = 0; i < router->topology->hall_count; i++) {
        const topology_hall_t *hall = &router->topology->halls[i];
        const hall_row_t row = sum_row(router, &config->name, &hall->name, now);
        if (row.backends == 0)
            continue;
        const double share =
            service != NULL && service->plan.started ? service->plan.share[hall->region] : 0;
        wire_text_printf(out, "%-16s %-16s %-16s %5.1f%% %9u %5u %7u %4u %6u %5u %6.1f  %s\n",
                         config->name.ptr, hall->name.ptr,
                         router->topology->regions[hall->region].ptr, 100 * share, row.backends,
                         row.ready, row.leaving, row.cold, row.suspended, row.slots, row.load,
                         row.closed ? "closed" : "open");
    }
}

void
inspect_table(const router_t *router, str_t service, wire_text_t *out)
{
    const uint64_t now = loop_now(router->loop);
    if (router->catalog.config == NULL) {
        wire_text_str(out, STR("no configuration yet\n"));
        return;
    }
    wire_text_printf(out, "version %s, as seen by %s\n", router->catalog.config->version,
                     router->instance.ptr);
    wire_text_printf(out, "%-16s %-16s %-16s %6s %9s %5s %7s %4s %6s %5s %6s  %s\n", "SERVICE",
                     "PLACE", "REGION", "SHARE", "UPSTREAMS", "READY", "LEAVING", "COLD", "PAUSED",
                     "SLOTS", "LOAD", "STATE");
    for (size_t i = 0; i < router->catalog.config->service_count; i++) {
        const config_service_t *config = &router->catalog.config->services[i];
        if (service.len == 0 || name_eq(&config->name, service))
            print_rows(router, config, now, out);
    }
}

static const char *
state_name(bool ready, bool leaving)
{
    if (leaving)
        return "leaving";
    return ready ? "ready" : "waiting";
}

static void
print_member(const member_t *member, uint64_t now, wire_text_t *out)
{
    const char *state =
        member_alive(member, now) ? state_name(member->ready, member->leaving) : "lost";
    wire_text_printf(out, "member %-24s %-16s %-7s heard %llu ms ago\n", member->instance.ptr,
                     member->hall.ptr, state, (unsigned long long)(now - member->heard_ms));
}

/* Writes why the newest known configuration is not fully in force. */
static void
print_config_problems(const catalog_t *catalog, wire_text_t *out)
{
    const refused_config_t *refused = &catalog->refused;
    const size_t left_out = catalog->config != NULL ? config_skipped_count(catalog->config) : 0;
    if (left_out > 0)
        wire_text_printf(out, "configuration in force without %zu parts that could not be read\n",
                         left_out);
    if (refused->revision > 0)
        wire_text_printf(out, "configuration refused: revision %llu, %s: %s\n",
                         (unsigned long long)position_revision(refused->revision),
                         err_name(refused->err.code), refused->err.detail);
    if (catalog->isolated)
        wire_text_str(out, STR("neither peers nor the store are heard: the configuration may be "
                               "out of date\n"));
    if (catalog->newer_revision > 0)
        wire_text_printf(out, "configuration behind: a peer's is as of revision %llu\n",
                         (unsigned long long)position_revision(catalog->newer_revision));
}

static void
print_ages(const views_t *views, wire_text_t *out)
{
    static const char *const kinds[VIEW_WATCHED] = {
        [VIEW_CONFIG] = "configuration",
        [VIEW_BACKENDS] = "list of backend servers",
        [VIEW_CLOSURES] = "closed places",
        [VIEW_ROLLOUTS] = "roll-outs",
    };
    for (view_kind_t kind = 0; kind < views->count; kind++) {
        const view_age_t *age = &views->ages[kind];
        wire_text_printf(out, "%s: last change in force after %u ms, at most %u ms\n", kinds[kind],
                         age->last_ms, age->highest_ms);
    }
}

static void
print_reach(const reachability_t *reach, uint64_t now, wire_text_t *out)
{
    if (reach->state == REACH_LOST)
        wire_text_printf(out, "backend servers: none reached since %llu ms ago\n",
                         (unsigned long long)(now - reach->lost_ms));
}

static void
print_load_probes(const load_probes_t *probes, wire_text_t *out)
{
    if (probes->choices == 0)
        return;
    wire_text_printf(out,
                     "load probes: %llu answered, %llu without result, %u under way; load known "
                     "for %llu of %llu choices\n",
                     (unsigned long long)probes->answered,
                     (unsigned long long)probes->without_result, probes->budget.outstanding,
                     (unsigned long long)probes->choices_known,
                     (unsigned long long)probes->choices);
}

/* Writes which regions are short of slots for a service and what they admit. */
static void
print_shortage(const service_t *service, const topology_t *topology, wire_text_t *out)
{
    enum { PERCENT = 100 };
    for (size_t i = 0; i < topology->region_count; i++) {
        if (!shortage_is_short(service->shortage, i))
            continue;
        wire_text_printf(out, "%s short of slots in %s: work for %.0f of %.0f, admits by urgency",
                         service->name.ptr, topology->regions[i].ptr,
                         offered_totals_slots(service->fleet_offered, i),
                         shortage_room(service->shortage, i, service->plan.slots[i]));
        for (unsigned k = 0; k < URGENCY_LEVELS; k++)
            wire_text_printf(out, " %.0f%%",
                             PERCENT * shortage_admitted_share(service->shortage, i, k));
        wire_text_str(out, STR("\n"));
    }
}

void
inspect_status(const inspect_status_t *status, wire_text_t *out)
{
    const router_t *router = status->router;
    const config_t *config = router->catalog.config;
    const uint64_t now = loop_now(router->loop);
    const uint32_t age_ms = store_watch_age_ms(status->store_watch);
    wire_text_printf(out, "instance %s place %s state %s\n", router->instance.ptr, router->hall.ptr,
                     state_name(status->ready, status->leaving));
    wire_text_printf(
        out, "configuration %s revision %llu\n", config != NULL ? config->version : "-",
        (unsigned long long)(config != NULL ? position_revision(config->revision) : 0));
    print_config_problems(&router->catalog, out);
    if (age_ms == STORE_AGE_NONE)
        wire_text_str(out, STR("store followed by peers\n"));
    else
        wire_text_printf(out, "store followed here, last answer %u ms ago\n", age_ms);
    print_ages(status->views, out);
    wire_text_printf(out, "held for callers: responses %zu bytes, bodies %zu bytes\n",
                     status->response_bytes, status->body_bytes);
    print_reach(status->reach, loop_now(status->router->loop), out);
    print_load_probes(status->load_probes, out);
    if (router->catalog.unusable_count > 0)
        wire_text_printf(out, "entries that name no backend server to use: %zu\n",
                         router->catalog.unusable_count);
    for (size_t i = 0; i < router->services.count; i++)
        print_shortage(router->services.items[i], router->topology, out);
    for (size_t i = 0; i < status->members->count; i++) {
        if (status->members->items[i].heard)
            print_member(&status->members->items[i], now, out);
    }
}

/* Writes the notices of a backend and the number of requests sent to it. */
static void
print_backend_notices(const backend_t *backend, uint64_t now, wire_text_t *out)
{
    wire_text_printf(out, ", sent %llu", (unsigned long long)backend->sends);
    if (backend->limit.is_set)
        wire_text_printf(out, ", takes %g/s, as told %llu ms ago", backend->limit.per_s,
                         (unsigned long long)(now - backend->limit.stated_ms));
    if (backend->stated_leaving)
        wire_text_str(out, STR(", told that it leaves"));
}

/* Writes the queue and the pace that a backend reported, if its work is counted. */
static void
print_reported_load(const backend_t *backend, uint64_t now, wire_text_t *out)
{
    const double slowdown = backend_slowdown(backend, now);
    if (backend->drain_work_ms <= 0)
        return;
    if (backend->waiting > 0)
        wire_text_printf(out, ", %u waited %llu ms ago", backend->waiting,
                         (unsigned long long)(now - backend->load_reported_ms));
    if (slowdown > 0)
        wire_text_printf(out, ", work takes %.1f times as long", slowdown);
}

static const char *
backend_state_text(const backend_t *backend, uint64_t now)
{
    if (!backend->listed || backend->replaced)
        return "gone";
    if (backend_is_leaving(backend))
        return "leaving";
    if (backend->hall_closed)
        return "zone closed";
    if (breaker_is_suspended(&backend->breaker, now))
        return "paused after failures";
    switch (backend_skip_reason(backend, true, now)) {
    case SKIP_BACKOFF:
        return "rests, as it asked for";
    case SKIP_RATE_LIMITED:
        return "at the limit that it names";
    default:
        break;
    }
    if (backend_is_cold(backend, now))
        return "cold, paced";
    return "usable";
}

static void
explain_service(const router_t *router, const config_route_t *route, const name_t *name,
                uint64_t object, wire_text_t *out)
{
    const uint64_t now = loop_now(router->loop);
    const choice_input_t input = router_explain_input(router, route, name_str(name), object);
    const choice_t choice = choice_make(&input);
    wire_text_printf(out, "  would go to %s, reason %s, passed over before it: %s\n",
                     choice.backend != NULL ? choice.backend->info.id.ptr : "none",
                     choice_reason_name(choice.reason), skip_reason_name(choice.skip_reason));
    for (size_t i = 0; i < router->catalog.backends.count; i++) {
        const backend_t *backend = router->catalog.backends.items[i];
        if (!name_eq(&backend->info.service, name_str(name)))
            continue;
        wire_text_printf(out, "  %-24s %-16s load %.1f of %u, work %.0f ms, %s",
                         backend->info.id.ptr, backend->info.hall.ptr, backend_load(backend, now),
                         backend->info.capacity, backend->service_time_ms,
                         backend_state_text(backend, now));
        print_reported_load(backend, now, out);
        print_backend_notices(backend, now, out);
        wire_text_str(out, STR("\n"));
    }
}

void
inspect_explain(const router_t *router, str_t host, str_t path, str_t object, wire_text_t *out)
{
    const config_route_t *route =
        router->catalog.config != NULL ? config_route(router->catalog.config, host, path) : NULL;
    if (route == NULL) {
        wire_text_str(out, STR("no route\n"));
        return;
    }
    wire_text_printf(out, "route %s, prefix %.200s, %s, aim %u ms, limit %u ms, attempts %u\n",
                     route->name.ptr, route->prefix,
                     route->repeatable ? "may be repeated" : "runs at most once",
                     route->latency_objective_ms, route->timeout_ms, route->max_attempts);
    for (size_t i = 0; i < route->target_count; i++) {
        wire_text_printf(out, "service %s, weight %g\n", route->targets[i].service.ptr,
                         route->targets[i].weight);
        explain_service(router, route, &route->targets[i].service,
                        router_object_hash(route, object), out);
    }
}
