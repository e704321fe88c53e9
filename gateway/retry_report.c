#include "gateway/retry_report.h"

#include <stdio.h>

#define LOG_MODULE "retry"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"

enum { REPORT_INTERVAL_MS = 1000, LABELS_MAX = NAME_MAX_LEN + 48 };

static double
left_of(const router_t *router, const service_t *service)
{
    const retry_terms_t terms = router_retry_terms(router);
    return retry_budget_left(&service->retries, &terms, loop_now(router->loop));
}

static void
log_service(const router_t *router, const service_t *service)
{
    const retry_totals_t *now = &service->retries.totals;
    const retry_totals_t *last = &service->retries_logged;
    if (now->granted == last->granted && now->refused == last->refused)
        return;
    const uint64_t now_ms = loop_now(router->loop);
    LOG_INFO("extra sends: service=%s granted=%llu refused=%llu requests=%llu left=%.1f "
             "instances=%u fewest_instances=%u uptime_ms=%llu",
             service->name.ptr, (unsigned long long)(now->granted - last->granted),
             (unsigned long long)(now->refused - last->refused),
             (unsigned long long)(now->requests - last->requests), left_of(router, service),
             router->instances, now->fewest_instances,
             (unsigned long long)(now_ms - router->started_ms));
}

void
retry_report_tick(router_t *router)
{
    const uint64_t now_ms = loop_now(router->loop);
    if (now_ms - router->retries_logged_ms < REPORT_INTERVAL_MS)
        return;
    router->retries_logged_ms = now_ms;
    for (size_t i = 0; i < router->services.count; i++) {
        service_t *service = router->services.items[i];
        log_service(router, service);
        service->retries.totals.fewest_instances = 0;
        service->retries_logged = service->retries.totals;
    }
}

static void
set_total(const service_t *service, const char *result, uint64_t value)
{
    char labels[LABELS_MAX];
    snprintf(labels, sizeof(labels), "service=\"%s\",result=\"%s\"", service->name.ptr, result);
    counter_set(
        counter_get("irisstall_extra_sends_total", labels,
                    "Extra sends that requests needed, by whether the budget granted them."),
        (int64_t)value);
}

void
retry_report_metrics(const router_t *router)
{
    char labels[LABELS_MAX];
    for (size_t i = 0; i < router->services.count; i++) {
        const service_t *service = router->services.items[i];
        set_total(service, "granted", service->retries.totals.granted);
        set_total(service, "refused", service->retries.totals.refused);
        snprintf(labels, sizeof(labels), "service=\"%s\"", service->name.ptr);
        counter_set(counter_get("irisstall_retry_budget_left", labels,
                                "Extra sends that the budget would grant now."),
                    (int64_t)left_of(router, service));
        counter_set(counter_get("irisstall_retry_budget_requests_total", labels,
                                "Requests that the budget counted."),
                    (int64_t)service->retries.totals.requests);
    }
}
