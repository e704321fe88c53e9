/*
 * Services: the region plan, retry budget and measured demand of each service.
 *
 * Owns the table of services; entries are never removed, so that requests in progress may point to
 * them. Relies on the policies for the rules; time is passed in.
 */
#pragma once

#include "base/str.h"
#include "gateway/policy/region_backlog.h"
#include "gateway/policy/region_plan.h"
#include "gateway/policy/retry_budget.h"
#include "gateway/policy/fair_share.h"
#include "gateway/policy/shortage.h"
#include "gateway/state/offered_work.h"

typedef struct {
    name_t name;
    region_plan_t plan;
    retry_budget_t retries;
    retry_totals_t retries_logged; /* totals as of the last log line (retry_report.h) */
    uint32_t in_flight;            /* attempts for this instance's callers */
    double demand;                 /* slots: moving average of in_flight and of refused requests */
    uint64_t demand_ms;            /* last update of the average */
    double fleet_demand;           /* the same of all instances; only where work is not counted */
    double latency_ms;             /* moving average over complete responses; 0 before the first */
    double work_ms;    /* the same without queueing and at the usual pace; 0 before the first */
    bool reports_pace; /* a backend reported the pace of its work */
    double slowdown;   /* moving average of the reported slowdowns; 0 before the first */
    /* Work offered by this instance's callers, and by all instances' callers together. NULL for
     * services whose work is not counted (router_t.orders_shortage, reports_pace). */
    offered_work_t *offered;
    offered_totals_t *fleet_offered;
    region_backlog_t backlog; /* of counted work */
    /* Admitted shares by region, urgency and account (order.h); NULL unless the settings and the
     * configuration ask for an order. */
    shortage_t *shortage;
    account_work_t *account_work;
    fair_share_t *fair_share;
    /* next_free_ms of policy/return_time.h, by region and urgency. */
    uint64_t returns_next_ms[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS];
    /* Times of the last report of a backend's pace, to this instance and, as its heartbeat says,
     * to a peer; 0: none. */
    uint64_t own_pace_report_ms;
    uint64_t peer_pace_report_ms;
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
/* True if a request would have to queue in the region; false while work is not counted. */
bool service_region_is_full(const service_t *service, size_t region);
/* Updates the backlog of each region from the offered work and the plan's slots. */
void service_update_backlog(service_t *service, size_t region_count, uint64_t now_ms);
/* Creates the state for an order under shortage, with offered work counted. */
void service_order_work(service_t *service);
/* Removes it: all requests are admitted. */
void service_end_order(service_t *service);
/* True if a backend reported its pace to this instance within the last minute. */
bool service_has_own_pace_report(const service_t *service, uint64_t now_ms);
/* The same, to this instance or to a peer. */
bool service_has_pace_report(const service_t *service, uint64_t now_ms);
/* Updates the moving average of the demand. */
void service_update_demand(service_t *service, uint64_t now_ms);
void service_attempt_started(service_t *service, uint64_t now_ms);
void service_attempt_finished(service_t *service, uint64_t now_ms);
/* A complete response arrived after `latency_ms`. */
void service_answered(service_t *service, double latency_ms);
/* The response had not queued; its backend was slower than usual by `slowdown`, 0 if not known. */
void service_worked(service_t *service, double latency_ms, double slowdown);
/* True if backends are chosen by expected response time. */
bool service_counts_work(const service_t *service);
/* A response arrived from a backend that works `slowdown` times as long as usual. */
void service_count_slowdown(service_t *service, double slowdown);
/* A request was not admitted; it still counts towards the demand. */
void service_refused(service_t *service, uint64_t now_ms);
