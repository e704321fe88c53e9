#include "gateway/order.h"

#include <stdio.h>
#include <string.h>

#define LOG_MODULE "order"
#include "base/counter.h"
#include "base/log.h"
#include "gateway/policy/fair_share.h"

enum { LABELS_MAX = 32 };

bool
order_applies(const config_t *config)
{
    if (config->account_count > 0)
        return true;
    for (size_t i = 1; i < config->route_count; i++) {
        if (urgency_of(config->routes[i].priority) != urgency_of(config->routes[0].priority))
            return true;
    }
    return false;
}

/* Logs the regions that became short of slots or no longer are. */
static void
log_changes(const service_t *service, const bool *was_short, const topology_t *topology,
            const double *slots)
{
    const shortage_t *shortage = service->shortage;
    for (size_t i = 0; i < topology->region_count; i++) {
        if (shortage->is_short[i] == was_short[i])
            continue;
        LOG_INFO("region %s of slots: service=%s region=%s offered=%.1f room=%.1f slots=%.0f",
                 shortage->is_short[i] ? "short" : "no longer short", service->name.ptr,
                 topology->regions[i].ptr, offered_totals_slots(service->fleet_offered, i),
                 shortage_room(shortage, i, slots[i]), slots[i]);
    }
}

void
order_update(service_t *service, const order_terms_t *terms, uint64_t now_ms)
{
    const size_t region_count = terms->topology->region_count;
    bool was_short[TOPOLOGY_REGIONS_MAX];
    service_order_work(service);
    memcpy(was_short, service->shortage->is_short, sizeof(was_short));
    const shortage_input_t input = {
        .work = service->fleet_offered,
        .slots = terms->slots,
        .region_count = region_count,
        .has_accounts = terms->has_accounts,
    };
    shortage_update(service->shortage, &input, now_ms);
    account_work_update(service->account_work, now_ms);
    fair_share_update(service->fair_share, service->account_work, service->shortage, region_count,
                      now_ms);
    log_changes(service, was_short, terms->topology, terms->slots);
}

void
order_count(service_t *service, const order_request_t *request)
{
    if (service->account_work == NULL || request->account == NULL ||
        request->offered.region >= TOPOLOGY_REGIONS_MAX)
        return;
    account_work_count(service->account_work, request->account->id, request->offered.region,
                       request->offered.urgency, request->offered.work_ms);
}

/* Share of the requests of the account that is admitted where `share` of the urgency's is. */
static double
share_of_account(const service_t *service, const order_request_t *request, double share)
{
    if (request->account == NULL)
        return share;
    return fair_share_of_account(service->fair_share, service->account_work, request->account->id,
                                 request->offered.region, request->offered.urgency, share);
}

static void
count_refused(unsigned urgency)
{
    char labels[LABELS_MAX];
    snprintf(labels, sizeof(labels), "urgency=\"%u\"", urgency);
    counter_add(counter_get("irisstall_shortage_refused_total", labels,
                            "Requests refused for want of slots, by urgency; 0 is the highest."),
                1);
}

/* Share of the requests like this one that is admitted, where `share` of its urgency's is. */
static double
share_of(const service_t *service, const order_request_t *request, double share)
{
    const offered_request_t *offered = &request->offered;
    const shortage_rank_t rank = {offered->urgency, offered->route_urgency};
    const shortage_shares_t shares = {
        .urgency = share,
        .account = share_of_account(service, request, share),
        .least = shortage_least_share(service->shortage, service->fleet_offered, offered->region),
    };
    return shortage_share_of_request(&service->offered->mix, &rank, &shares);
}

bool
order_admits(service_t *service, const order_request_t *request, rng_t *rng)
{
    const offered_request_t *offered = &request->offered;
    const double share =
        shortage_admitted_share(service->shortage, offered->region, offered->urgency);
    if (share >= 1)
        return true;
    const bool admitted = rng_unit(rng) < share_of(service, request, share);
    if (request->account != NULL)
        fair_share_count(service->fair_share, offered->region, offered->urgency, offered->work_ms,
                         admitted);
    if (!admitted)
        count_refused(offered->urgency);
    return admitted;
}
