#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "rollout"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/state/rollouts.h"

enum {
    /* Time for which requests avoid the stopped versions after completion; they leave the list
     * of backend servers meanwhile. */
    COMPLETED_MS = 10000,
    MS_PER_S = 1000,
    WINDOW_RESPONSES_MIN = 100, /* of the target, at all instances */
};

void
rollout_adopt_rollback(rollouts_t *rollouts, rollout_t *rollout, rollout_reason_t reason,
                       uint64_t route, uint64_t now_ms)
{
    if (rollout->state != ROLLOUT_RUNNING)
        return;
    rollout->bad_route = route;
    rollout_decide(rollout, ROLLOUT_ROLLED_BACK, reason, now_ms);
    rollouts->on_verdict(rollouts->ctx);
}

/* Starts a new window, unless a service with little traffic needs a longer one for a verdict.
 * Latencies of the other versions are kept since the order. */
static void
rotate_windows(rollout_t *rollout, uint64_t now_ms)
{
    if (now_ms - rollout->window_ms < ROLLOUT_WINDOW_MS ||
        rollout_sum_groups(&rollout->merged.all).responses < WINDOW_RESPONSES_MIN)
        return;
    rollout->counted_from_ms = rollout->window_ms;
    rollout->window_ms = now_ms;
    rollout_counts_t *current = &rollout->window[0];
    rollout_counts_t *previous = &rollout->window[1];
    rollout_counts_t kept = {0};
    kept.all.has_objects = previous->all.has_objects;
    memcpy(kept.all.base.latency, previous->all.base.latency, sizeof(kept.all.base.latency));
    for (size_t i = 0; i < previous->route_count; i++) {
        rollout_route_t *route = rollout_counts_route(&kept, previous->routes[i].route);
        route->has_objects = previous->routes[i].has_objects;
        memcpy(route->base.latency, previous->routes[i].base.latency, sizeof(route->base.latency));
    }
    *previous = *current;
    *current = kept;
}

static void
merge_counts(rollout_t *rollout, uint64_t now_ms)
{
    rollout_own_counts(rollout, &rollout->merged);
    for (size_t i = 0; i < rollout->report_count; i++) {
        if (now_ms - rollout->reports[i].heard_ms <= ROLLOUT_REPORT_MAX_MS)
            rollout_counts_add(&rollout->merged, &rollout->reports[i].counts);
    }
}

static void
judge(rollouts_t *rollouts, rollout_t *rollout, uint64_t now_ms)
{
    uint64_t route;
    const rollout_verdict_t verdict = rollout_judge(&rollout->merged, &route);
    /* Until then counts of the backend servers used before may still arrive. */
    const bool is_settled = now_ms >= rollout->suspect_until_ms;
    if (verdict == ROLLOUT_SUSPECT && is_settled)
        rollout_suspect(rollout, rollout->suspicions + 1, now_ms);
    rollout->suspect = now_ms < rollout->suspect_until_ms;
    if (rollout_is_given_up(rollout->suspicions)) {
        rollout_adopt_rollback(rollouts, rollout, ROLLOUT_REASON_SUSPECT, route, now_ms);
        return;
    }
    switch (verdict) {
    case ROLLOUT_UNJUDGED:
    case ROLLOUT_SUSPECT:
        break;
    case ROLLOUT_GOOD:
        rollout->judged |= is_settled;
        break;
    case ROLLOUT_FAILING:
        rollout_adopt_rollback(rollouts, rollout, ROLLOUT_REASON_FAILING, route, now_ms);
        break;
    case ROLLOUT_SLOW:
        rollout_adopt_rollback(rollouts, rollout, ROLLOUT_REASON_SLOW, route, now_ms);
        break;
    }
}

static int
compare_hashes(const void *left, const void *right)
{
    const uint64_t a = *(const uint64_t *)left;
    const uint64_t b = *(const uint64_t *)right;
    return (a > b) - (a < b);
}

/* Sums over the backend servers of the service. */
typedef struct {
    uint64_t *hashes; /* of usable ones of the target */
    size_t targets;
    double target_slots;
    uint32_t at_others; /* this instance's attempts under way at other versions */
} server_sums_t;

static server_sums_t
sum_servers(const rollout_t *rollout, const backends_t *backends, uint64_t now_ms)
{
    const str_t service = name_str(&rollout->order.service);
    const uint64_t service_key = backend_service_key(service);
    server_sums_t sums = {.hashes = xcalloc(backends->count + 1, sizeof(*sums.hashes))};
    for (size_t i = 0; i < backends->count; i++) {
        const backend_t *backend = backends->items[i];
        if (!backend_is_of(backend, service, service_key))
            continue;
        if (!rollout_is_target(rollout, backend)) {
            sums.at_others += backend->in_flight;
        } else if (backend_is_usable(backend, now_ms)) {
            sums.hashes[sums.targets++] = rollout_server_hash(backend->key, rollout->suspicions);
            sums.target_slots += backend_plan_slots(backend);
        }
    }
    return sums;
}

/* Selects the part of the target's backend servers that is in use at the present share. */
static void
select_servers(rollout_t *rollout, server_sums_t *sums)
{
    const size_t wanted = (size_t)(rollout->share * (double)sums->targets + 0.5);
    rollout->target_servers = (uint32_t)sums->targets;
    rollout->server_cut = UINT64_MAX;
    if (rollout->share >= 1 || sums->targets == 0)
        return;
    qsort(sums->hashes, sums->targets, sizeof(*sums->hashes), compare_hashes);
    rollout->server_cut = sums->hashes[wanted > 0 ? wanted - 1 : 0];
}

/* Requests a second of the service at all instances; 0 if not known. */
static double
requests_per_s(const rollout_t *rollout, uint64_t now_ms)
{
    const rollout_route_t *all = &rollout->merged.all;
    const uint64_t span_ms = now_ms - rollout->counted_from_ms;
    const double requests = (double)all->base.responses + rollout_sum_groups(all).responses;
    return span_ms >= ROLLOUT_WINDOW_MS ? requests * MS_PER_S / (double)span_ms : 0;
}

static rollout_schedule_t
schedule_of(const rollouts_t *rollouts, const rollout_t *rollout, uint64_t now_ms)
{
    return (rollout_schedule_t){
        .elapsed_ms = now_ms - rollout->started_ms,
        .duration_ms = rollout->order.duration_ms,
        .judged = rollout->judged,
        .ramp_ms = rollout->ramp_from_ms > 0 ? now_ms - rollout->ramp_from_ms + 1 : 0,
        .canary_share = rollout_canary_share(&rollouts->exposure, requests_per_s(rollout, now_ms),
                                             rollout->order.duration_ms),
    };
}

/* Begins the ramp and commits to the target when they are due. */
static void
advance(rollout_t *rollout, const rollout_schedule_t *schedule, bool has_capacity, uint64_t now_ms)
{
    if (rollout->ramp_from_ms == 0 && has_capacity && !rollout->suspect &&
        rollout_ramp_is_due(schedule)) {
        rollout->ramp_from_ms = now_ms;
        LOG_INFO("roll-out ramp begins: service=%s version=%s after_ms=%llu responses=%u",
                 rollout->order.service.ptr, rollout->order.version_name,
                 (unsigned long long)schedule->elapsed_ms,
                 rollout_sum_groups(&rollout->merged.all).responses);
    }
    if (rollout->committed || rollout->share < 1 || rollout->suspect || !has_capacity)
        return;
    rollout->committed = true;
    LOG_INFO("roll-out gets all requests: service=%s version=%s after_ms=%llu",
             rollout->order.service.ptr, rollout->order.version_name,
             (unsigned long long)schedule->elapsed_ms);
}

static double
demand_of(const services_t *services, const rollout_t *rollout)
{
    const service_t *service = services_find(services, name_str(&rollout->order.service));
    return service != NULL ? service->plan.measured_peak : 0;
}

static void
tick_running(rollouts_t *rollouts, rollout_t *rollout, const backends_t *backends,
             const services_t *services, uint64_t now_ms)
{
    rotate_windows(rollout, now_ms);
    merge_counts(rollout, now_ms);
    judge(rollouts, rollout, now_ms);
    if (rollout->state != ROLLOUT_RUNNING)
        return;
    server_sums_t sums = sum_servers(rollout, backends, now_ms);
    const rollout_schedule_t schedule = schedule_of(rollouts, rollout, now_ms);
    const bool has_capacity =
        rollout_target_has_capacity(sums.target_slots, demand_of(services, rollout));
    rollout->share = rollout_share(&schedule);
    advance(rollout, &schedule, has_capacity, now_ms);
    select_servers(rollout, &sums);
    rollout->moved = rollout->committed && sums.at_others == 0;
    free(sums.hashes);
    const bool is_late = now_ms - rollout->started_ms >= rollout->order.duration_ms;
    if (is_late && rollout->target_servers == 0 && rollout->ramp_from_ms == 0)
        rollout_adopt_rollback(rollouts, rollout, ROLLOUT_REASON_NO_BACKEND, 0, now_ms);
}

void
rollouts_tick(rollouts_t *rollouts, const backends_t *backends, const services_t *services,
              uint64_t now_ms)
{
    for (size_t i = 0; i < rollouts->count; i++) {
        rollout_t *rollout = rollouts->items[i];
        if (rollout->state == ROLLOUT_RUNNING)
            tick_running(rollouts, rollout, backends, services, now_ms);
        else if (rollout->is_counting)
            rollout_free_counts(rollout);
        if (rollout->state == ROLLOUT_COMPLETED && now_ms - rollout->decided_ms >= COMPLETED_MS)
            rollout->share = 0; /* the others have left the list: nothing to restrict */
    }
}
