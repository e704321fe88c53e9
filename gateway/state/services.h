/*
 * Services: the region plan, retry budget and measured demand of each service.
 *
 * Owns the table of services; entries are never removed, so that requests in progress may point to
 * them. Relies on the policies for the rules; time is passed in.
 */
#pragma once

#include "base/str.h"
#include "gateway/policy/region_plan.h"
#include "gateway/policy/retry_budget.h"
#include "gateway/state/offered_work.h"
#include "gateway/state/returns.h"

typedef struct {
    name_t name;
    region_plan_t plan;
    retry_budget_t retries;
    uint32_t in_flight; /* attempts for this instance's callers */
    double demand;      /* slots: moving average of in_flight and of refused requests */
    uint64_t demand_ms; /* last update of the average */
    double latency_ms;  /* moving average over complete responses; 0 before the first */
    bool tells_pace;    /* a backend reported the pace of its work */
    double
        slowdown; /* moving average of how many times longer than usual work takes; 0: not told */
    /* Work that this instance's callers offer, and all instances' callers together. NULL until it
     * is counted (router_t.orders_shortage, tells_pace): then others decide by it. */
    offered_work_t *offered;
    offered_totals_t *fleet_offered;
    returns_t *returns; /* refused callers that are expected; NULL if `offered` is */
} service_t;

typedef struct {
    service_t **items; /* sorted by name; pointers stay valid */
    size_t count;
    size_t size;
    size_t own_region;
} services_t;

/* Returns NULL if there is none of that name. The table owns the result. */
service_t *services_find(const services_t *services, str_t name);
/* Finds or creates a service; the name must be valid (name_set). Their number is bounded only by
 * the size of the configurations. */
service_t *services_get(services_t *services, str_t name);
void services_free(services_t *services);

/* Counts the offered work of the service from now on. */
void service_count_offered(service_t *service);
/* Updates the moving average of the demand. */
void service_update_demand(service_t *service, uint64_t now_ms);
void service_attempt_started(service_t *service, uint64_t now_ms);
void service_attempt_finished(service_t *service, uint64_t now_ms);
/* A complete response arrived after `latency_ms`. */
void service_answered(service_t *service, double latency_ms);
/* A response arrived from a backend that works `slowdown` times as long as usual. */
void service_count_slowdown(service_t *service, double slowdown);
/* A request was not admitted; it still counts towards the demand. */
void service_refused(service_t *service, uint64_t now_ms);
