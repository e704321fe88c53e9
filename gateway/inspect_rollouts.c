#include "gateway/inspect_rollouts.h"

#include <inttypes.h>

#include "base/loop_time.h"

enum { PERCENT = 100, MS_PER_S = 1000 };

static const char *
stage_of(const rollout_t *rollout)
{
    if (rollout->state != ROLLOUT_RUNNING)
        return rollout_state_name(rollout->state);
    if (rollout->moved)
        return "moved";
    if (rollout->committed)
        return "moving";
    if (rollout->target_servers == 0)
        return "waiting";
    return rollout->ramp_from_ms > 0 ? "ramp" : "canary";
}

static void
print_order(const rollout_t *rollout, uint64_t now_ms, wire_text_t *out)
{
    wire_text_printf(out, "%-20s %-16s %-12s %-11s %5.1f%% %8u %8.1f %8.1f  %-11s %s\n",
                     rollout->name.ptr, rollout->order.service.ptr, rollout->order.version_name,
                     stage_of(rollout), PERCENT * rollout->share, rollout->target_servers,
                     (double)(now_ms - rollout->started_ms) / MS_PER_S,
                     (double)rollout->order.duration_ms / MS_PER_S,
                     rollout_state_name(rollout->order.recorded),
                     rollout_reason_name(rollout->reason));
}

/* Returns the name of the route with that key, "-" if the configuration has none. */
static const char *
route_name(const router_t *router, uint64_t key)
{
    const config_t *config = router->catalog.config;
    for (size_t i = 0; config != NULL && i < config->route_count; i++) {
        if (config->routes[i].key == key)
            return config->routes[i].name.ptr;
    }
    return "-";
}

static void
print_route(const rollout_route_t *route, const char *name, wire_text_t *out)
{
    const rollout_group_t target = rollout_sum_groups(route);
    wire_text_printf(out, "  %-24s %9u %8u %6u %9u %8u %9.0f\n", name, target.responses,
                     target.failures, target.slow, route->base.responses, route->base.failures,
                     rollout_slow_ms(route));
}

static void
print_counts(const router_t *router, const rollout_t *rollout, wire_text_t *out)
{
    if (rollout->bad_route != 0)
        wire_text_printf(out, "decided by route %s\n", route_name(router, rollout->bad_route));
    wire_text_printf(out, "  %-24s %9s %8s %6s %9s %8s %9s\n", "ROUTE", "RESPONSES", "FAILED",
                     "SLOW", "OTHERS", "FAILED", "SLOW_MS");
    print_route(&rollout->merged.all, "(all)", out);
    for (size_t i = 0; i < rollout->merged.route_count; i++) {
        const rollout_route_t *route = &rollout->merged.routes[i];
        print_route(route, route_name(router, route->route), out);
    }
}

void
inspect_rollouts(const router_t *router, str_t service, wire_text_t *out)
{
    const rollouts_t *rollouts = &router->rollouts;
    const uint64_t now_ms = loop_now(router->loop);
    if (rollouts->exposure.share <= 0) {
        wire_text_str(out, STR("roll-outs are not followed: expose_share is not set\n"));
        return;
    }
    wire_text_printf(out, "%-20s %-16s %-12s %-11s %6s %8s %8s %8s  %-11s %s\n", "ORDER", "SERVICE",
                     "VERSION", "STAGE", "SHARE", "BACKENDS", "SINCE_S", "WITHIN_S", "RECORDED",
                     "WHY");
    for (size_t i = 0; i < rollouts->count; i++) {
        const rollout_t *rollout = rollouts->items[i];
        if (service.len > 0 && !name_eq(&rollout->order.service, service))
            continue;
        print_order(rollout, now_ms, out);
        if (service.len > 0)
            print_counts(router, rollout, out);
    }
}
