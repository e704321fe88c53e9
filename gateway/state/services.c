#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/state/latency.h"
#include "gateway/state/services.h"

enum {
    ITEMS_START = 16,
    DEMAND_TAU_MS = 2000, /* time constant of the moving average of the demand */
    /* Without a report for so long, the backends of a service may have stopped to send any. */
    PACE_REPORT_AGE_MAX_MS = 60000,
};

/* Weight of a new response in the moving average of latencies. */
#define LATENCY_GAIN 0.05
/* The same for how much longer than usual work takes. */
#define SLOWDOWN_GAIN 0.02

/* Index of the first service whose name is not below `name`. */
static size_t
lower_bound(const services_t *services, str_t name)
{
    size_t low = 0;
    size_t high = services->count;
    while (low < high) {
        const size_t mid = low + (high - low) / 2;
        if (str_compare(name_str(&services->items[mid]->name), name) < 0)
            low = mid + 1;
        else
            high = mid;
    }
    return low;
}

static service_t *
service_at(const services_t *services, size_t index, str_t name)
{
    const bool found = index < services->count && name_eq(&services->items[index]->name, name);
    return found ? services->items[index] : NULL;
}

service_t *
services_find(const services_t *services, str_t name)
{
    return service_at(services, lower_bound(services, name), name);
}

static void
insert(services_t *services, size_t index, service_t *service)
{
    if (services->count == services->size) {
        services->size = services->size > 0 ? services->size * 2 : ITEMS_START;
        services->items = xrealloc(services->items, services->size * sizeof(service_t *));
    }
    memmove(&services->items[index + 1], &services->items[index],
            (services->count - index) * sizeof(service_t *));
    services->items[index] = service;
    services->count++;
}

service_t *
services_get(services_t *services, str_t name)
{
    const size_t index = lower_bound(services, name);
    service_t *known = service_at(services, index, name);
    if (known != NULL)
        return known;
    service_t *service = xcalloc(1, sizeof(*service));
    xassert(name_set(&service->name, name));
    service->plan.own = services->own_region;
    insert(services, index, service);
    return service;
}

void
services_free(services_t *services)
{
    for (size_t i = 0; i < services->count; i++) {
        free(services->items[i]->offered);
        free(services->items[i]->fleet_offered);
        service_end_order(services->items[i]);
        free(services->items[i]);
    }
    free(services->items);
    *services = (services_t){0};
}

void
service_count_offered(service_t *service)
{
    if (service->offered != NULL)
        return;
    service->offered = xcalloc(1, sizeof(*service->offered));
    service->fleet_offered = xcalloc(1, sizeof(*service->fleet_offered));
}

bool
service_region_is_full(const service_t *service, size_t region)
{
    return service->offered != NULL &&
           region_backlog_is_full(&service->backlog, region, service->work_ms);
}

/* Slots of the work offered to a region that is admitted there. */
static double
admitted_slots(const service_t *service, size_t region)
{
    double slots = 0;
    for (unsigned k = 0; k < URGENCY_LEVELS; k++)
        slots += service->fleet_offered->slots[region][k] *
                 shortage_admitted_share(service->shortage, region, k);
    return slots;
}

void
service_update_backlog(service_t *service, size_t region_count, uint64_t now_ms)
{
    double offered[TOPOLOGY_REGIONS_MAX];
    if (service->fleet_offered == NULL)
        return;
    for (size_t i = 0; i < region_count; i++)
        offered[i] = admitted_slots(service, i);
    region_backlog_update(&service->backlog, offered, service->plan.slots, region_count, now_ms);
}

void
service_order_work(service_t *service)
{
    if (service->shortage != NULL)
        return;
    service_count_offered(service);
    service->shortage = xcalloc(1, sizeof(*service->shortage));
    service->account_work = xcalloc(1, sizeof(*service->account_work));
    service->fair_share = xcalloc(1, sizeof(*service->fair_share));
}

void
service_end_order(service_t *service)
{
    free(service->shortage);
    free(service->account_work);
    free(service->fair_share);
    service->shortage = NULL;
    service->account_work = NULL;
    service->fair_share = NULL;
}

static bool
is_recent(uint64_t at_ms, uint64_t now_ms)
{
    return at_ms != 0 && now_ms - at_ms < PACE_REPORT_AGE_MAX_MS;
}

bool
service_has_own_pace_report(const service_t *service, uint64_t now_ms)
{
    return is_recent(service->own_pace_report_ms, now_ms);
}

bool
service_has_pace_report(const service_t *service, uint64_t now_ms)
{
    return service_has_own_pace_report(service, now_ms) ||
           is_recent(service->peer_pace_report_ms, now_ms);
}

void
service_update_demand(service_t *service, uint64_t now_ms)
{
    const double age_ms = (double)(now_ms - service->demand_ms);
    const double keep = exp(-age_ms / DEMAND_TAU_MS);
    service->demand = keep * service->demand + (1 - keep) * service->in_flight;
    service->demand_ms = now_ms;
}

void
service_attempt_started(service_t *service, uint64_t now_ms)
{
    service_update_demand(service, now_ms);
    service->in_flight++;
}

void
service_attempt_finished(service_t *service, uint64_t now_ms)
{
    service_update_demand(service, now_ms);
    service->in_flight--;
}

void
service_answered(service_t *service, double latency_ms)
{
    if (service->latency_ms == 0)
        service->latency_ms = latency_ms;
    service->latency_ms += LATENCY_GAIN * (latency_ms - service->latency_ms);
}

void
service_worked(service_t *service, double latency_ms, double slowdown)
{
    const double work_ms = latency_measured_ms(latency_ms) / (slowdown > 0 ? slowdown : 1);
    if (service->work_ms == 0)
        service->work_ms = work_ms;
    service->work_ms += LATENCY_GAIN * (work_ms - service->work_ms);
}

bool
service_counts_work(const service_t *service)
{
    return service->offered != NULL || service->reports_pace;
}

void
service_count_slowdown(service_t *service, double slowdown)
{
    if (service->slowdown == 0)
        service->slowdown = slowdown;
    service->slowdown += SLOWDOWN_GAIN * (slowdown - service->slowdown);
}

void
service_refused(service_t *service, uint64_t now_ms)
{
    service_update_demand(service, now_ms);
    service->demand += service->latency_ms / DEMAND_TAU_MS;
}
