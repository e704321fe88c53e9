/*
 * What is kept for each service: its region plan, retry budget and measured demand.
 *
 * Owns the table of services; entries are never removed, so that requests under way may point to
 * them. Relies on the policies for the rules; time is passed in.
 */
#pragma once

#include "base/str.h"
#include "gateway/policy/region_plan.h"
#include "gateway/policy/retry_budget.h"

typedef struct {
    name_t name;
    region_plan_t plan;
    retry_budget_t retries;
    uint32_t in_flight; /* attempts of this instance's callers */
    double demand;      /* slots: moving average of in_flight and of what was refused */
    uint64_t demand_ms; /* when the average was brought up to date */
    double latency_ms;  /* moving average of whole answers, 0 before the first */
} service_t;

typedef struct {
    service_t **items; /* sorted by name; a service never moves */
    size_t count;
    size_t size;
    size_t own_region;
} services_t;

/* NULL if there is none of that name. The table owns what is returned. */
service_t *services_find(const services_t *services, str_t name);
/* The same, made if it is new; the name must be a valid one (name_set). Their number is bounded by
 * the bytes of the configurations alone. */
service_t *services_get(services_t *services, str_t name);
void services_free(services_t *services);

/* Brings the moving average of the demand up to date. */
void service_update_demand(service_t *service, uint64_t now_ms);
void service_attempt_started(service_t *service, uint64_t now_ms);
void service_attempt_finished(service_t *service, uint64_t now_ms);
/* A whole answer came after `latency_ms`. */
void service_answered(service_t *service, double latency_ms);
/* A request was not admitted: its demand counts all the same. */
void service_refused(service_t *service, uint64_t now_ms);
