#include "gateway/state/load_reports.h"

/* Inserts a report in order of age; drops the oldest one if there are too many. */
static size_t
insert(load_report_t *reports, size_t count, load_report_t report)
{
    size_t at = count;
    while (at > 0 && reports[at - 1].age_ms > report.age_ms)
        at--;
    if (at == LOAD_REPORTS_MAX)
        return count;
    const size_t new_count = count < LOAD_REPORTS_MAX ? count + 1 : count;
    for (size_t i = new_count - 1; i > at; i--)
        reports[i] = reports[i - 1];
    reports[at] = report;
    return new_count;
}

size_t
load_reports_take(const backends_t *backends, uint64_t now_ms, load_report_t *out)
{
    size_t count = 0;
    for (size_t i = 0; i < backends->count; i++) {
        backend_t *backend = backends->items[i];
        const bool is_silent = backend->overdue > 0 && backend_assume_queue(backend, now_ms);
        const uint64_t age_ms = now_ms - backend->load_reported_ms;
        if (!backend->load_unsent && !is_silent)
            continue;
        backend->load_unsent = false;
        if (backend->drain_work_ms <= 0 || age_ms > LOAD_REPORT_AGE_MAX_MS)
            continue;
        const load_report_t report = {
            .incarnation_key = backend->incarnation_key,
            .requests = backend->reported_requests,
            .age_ms = (uint32_t)age_ms,
        };
        count = insert(out, count, report);
    }
    return count;
}

static void
apply_one(backend_t *backend, const load_report_t *report, uint64_t now_ms)
{
    if (report->age_ms <= now_ms && report->age_ms <= LOAD_REPORT_AGE_MAX_MS)
        backend_merge_load(backend, report->requests, now_ms - report->age_ms);
}

void
load_reports_apply(const backends_t *backends, const load_report_t *reports, size_t count,
                   uint64_t now_ms)
{
    if (count == 0)
        return;
    for (size_t i = 0; i < backends->count; i++) {
        for (size_t k = 0; k < count; k++) {
            if (backends->items[i]->incarnation_key == reports[k].incarnation_key)
                apply_one(backends->items[i], &reports[k], now_ms);
        }
    }
}
