#include <math.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/state/services.h"

enum {
    SERVICES_MAX = 256,    /* as many as the adapter accepts in a configuration */
    DEMAND_TIME_MS = 2000, /* time constant of the demand's average. Chosen, not measured */
};

/* Weight of a new answer in the moving average of latencies. Chosen, not measured. */
#define LATENCY_GAIN 0.05

service_t *
services_find(const services_t *services, str_t name)
{
    for (size_t i = 0; i < services->count; i++) {
        if (name_eq(&services->items[i].name, name))
            return &services->items[i];
    }
    return NULL;
}

service_t *
services_get(services_t *services, str_t name)
{
    service_t *known = services_find(services, name);
    if (known != NULL)
        return known;
    if (services->items == NULL)
        services->items = xcalloc(SERVICES_MAX, sizeof(*services->items));
    service_t *service = &services->items[services->count];
    if (services->count == SERVICES_MAX || !name_set(&service->name, name)) {
        LOG_WARN("service not kept: service=%.*s services=%zu", STR_ARG(name), services->count);
        return NULL;
    }
    service->plan.own = services->own_region;
    services->count++;
    return service;
}

void
service_update_demand(service_t *service, uint64_t now_ms)
{
    const double age_ms = (double)(now_ms - service->demand_ms);
    const double keep = exp(-age_ms / DEMAND_TIME_MS);
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
service_refused(service_t *service, uint64_t now_ms)
{
    service_update_demand(service, now_ms);
    service->demand += service->latency_ms / DEMAND_TIME_MS;
}
