#include <math.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/state/backend.h"
#include "gateway/state/latency.h"
#include "wire/client.h"

enum {
    ID_HASH_SEED = 41,      /* any constant; the same on every instance */
    SERVICE_HASH_SEED = 43, /* arbitrary */
    /* Half-life of the load that a response reported. */
    LOAD_HALF_LIFE_MS = 400,
    /* Age up to which a reported slowdown is used: work of others on the same machine comes and
     * goes several times a second. */
    SLOWDOWN_AGE_MAX_MS = 300,
};

/* Weight of a new response in the moving average of service times. */
#define SERVICE_TIME_GAIN 0.1

/* Reported pace of a backend at which work takes as long as usual. */
#define PACE_USUAL_PERCENT 100.0

backend_t *
backend_new(const backend_info_t *info, size_t region, wire_pool_t *pool)
{
    backend_t *backend = xcalloc(1, sizeof(*backend));
    backend->refs = 1;
    backend_set_info(backend, info);
    backend->key = str_hash(name_str(&info->id), ID_HASH_SEED);
    backend->region = region;
    backend->pool = pool;
    return backend;
}

void
backend_set_info(backend_t *backend, const backend_info_t *info)
{
    backend->info = *info;
    backend->service_key = backend_service_key(name_str(&info->service));
    backend->incarnation_key = backend_incarnation_key(backend);
}

uint64_t
backend_service_key(str_t service)
{
    return str_hash(service, SERVICE_HASH_SEED);
}

bool
backend_is_of(const backend_t *backend, str_t service, uint64_t key)
{
    return backend->service_key == key && name_eq(&backend->info.service, service);
}

backend_t *
backend_ref(backend_t *backend)
{
    backend->refs++;
    return backend;
}

void
backend_unref(backend_t *backend)
{
    if (--backend->refs > 0)
        return;
    if (backend->pool != NULL)
        wire_pool_free(backend->pool);
    free(backend);
}

uint64_t
backend_incarnation_hash(str_t id, uint64_t born)
{
    return str_hash((str_t){(const char *)&born, sizeof(born)}, str_hash(id, ID_HASH_SEED));
}

uint64_t
backend_incarnation_key(const backend_t *backend)
{
    return backend_incarnation_hash(name_str(&backend->info.id), backend->info.born);
}

double
backend_plan_slots(const backend_t *backend)
{
    return backend->limit.is_set && backend->plan_slots > 0 ? backend->plan_slots
                                                            : backend->info.capacity;
}

int
backend_incarnation_order(uint64_t left, uint64_t right)
{
    if (left == 0 || right == 0)
        return 0;
    return (left > right) - (left < right);
}

/* What is left after `age_ms` of the requests of other instances. */
static double
other_load_after(const backend_t *backend, double age_ms)
{
    if (backend->drain_work_ms <= 0)
        return backend->other_load * exp2(-age_ms / LOAD_HALF_LIFE_MS);
    const double queue = fmin(backend->waiting, backend->other_load);
    const double drained_per_ms = backend->info.capacity / backend->drain_work_ms;
    if (age_ms * drained_per_ms < queue)
        return backend->other_load - age_ms * drained_per_ms;
    const double empty_ms = age_ms - queue / drained_per_ms;
    return (backend->other_load - queue) * exp2(-empty_ms / LOAD_HALF_LIFE_MS);
}

double
backend_load(const backend_t *backend, uint64_t now_ms)
{
    const double age_ms = (double)(now_ms - backend->load_reported_ms);
    return backend->in_flight + other_load_after(backend, age_ms);
}

static void
set_load(backend_t *backend, uint32_t requests, uint32_t waiting, uint64_t at_ms)
{
    backend->other_load = requests > backend->in_flight ? requests - backend->in_flight : 0;
    backend->reported_requests = requests;
    backend->waiting = waiting;
    backend->load_reported_ms = at_ms;
}

void
backend_merge_load(backend_t *backend, uint32_t requests, uint64_t at_ms)
{
    const uint32_t slots = backend->info.capacity;
    if (at_ms <= backend->load_reported_ms)
        return;
    set_load(backend, requests, requests > slots ? requests - slots : 0, at_ms);
    backend->load_unsent = false;
}

void
backend_report_load(backend_t *backend, const reported_load_t *load, uint64_t now_ms)
{
    set_load(backend, load->running + load->waiting, load->waiting, now_ms);
    backend->load_unsent = load->waiting > 0;
    backend->heard_ms = now_ms;
    if (load->pace_percent == 0)
        return;
    backend->slowdown = load->pace_percent / PACE_USUAL_PERCENT;
    backend->slowdown_ms = now_ms;
    backend->probes.uses = 0;
}

void
backend_forget_slowdown(backend_t *backend)
{
    backend->slowdown = 0;
}

void
backend_attempt_overdue(backend_t *backend, uint64_t now_ms)
{
    if (backend->overdue++ == 0)
        backend->overdue_since_ms = now_ms;
}

void
backend_overdue_ended(backend_t *backend)
{
    backend->overdue--;
}

bool
backend_assume_queue(backend_t *backend, uint64_t now_ms)
{
    if (backend->overdue == 0 || backend->drain_work_ms <= 0 || backend->reports_pace ||
        backend->heard_ms >= backend->overdue_since_ms)
        return false;
    /* An attempt becomes overdue after more than a run without the object in memory: then a run in
     * each slot was ahead of it. */
    const double runs = 1 + (double)(now_ms - backend->overdue_since_ms) / backend->drain_work_ms;
    const uint32_t slots = backend->info.capacity;
    const uint32_t waiting = (uint32_t)(slots * runs);
    set_load(backend, slots + waiting, waiting, now_ms);
    return true;
}

double
backend_slowdown(const backend_t *backend, uint64_t now_ms)
{
    const bool known =
        backend->slowdown > 0 && now_ms - backend->slowdown_ms <= SLOWDOWN_AGE_MAX_MS;
    return known ? backend->slowdown : 0;
}

bool
backend_is_cold(const backend_t *backend, uint64_t now_ms)
{
    return now_ms < backend->cold_until_ms;
}

void
backend_extend_cold(backend_t *backend, uint64_t cold_ms, uint64_t now_ms)
{
    if (now_ms + cold_ms > backend->cold_until_ms)
        backend->cold_until_ms = now_ms + cold_ms;
}

bool
backend_is_leaving(const backend_t *backend)
{
    return backend->info.leaving || backend->stated_leaving;
}

static bool
may_get_requests(const backend_t *backend)
{
    /* A backend's own statement takes precedence over its entry: the store may be unavailable or
     * stale. */
    return backend->listed && !backend_is_leaving(backend) && !backend->hall_closed &&
           !backend->replaced;
}

bool
backend_is_usable(const backend_t *backend, uint64_t now_ms)
{
    return may_get_requests(backend) && breaker_allows(&backend->breaker, now_ms);
}

uint64_t
backend_suspended_ms(const backend_t *backend, uint64_t now_ms)
{
    if (!may_get_requests(backend) || !breaker_is_suspended(&backend->breaker, now_ms))
        return 0;
    return backend->breaker.suspended_until_ms - now_ms;
}

void
backend_attempt_started(backend_t *backend)
{
    backend->in_flight++;
    backend->sends++;
    breaker_attempt_started(&backend->breaker);
    backoff_attempt_started(&backend->backoff);
}

void
backend_attempt_finished(backend_t *backend)
{
    backend->in_flight--;
    if (backend->in_flight == 0)
        breaker_attempts_ended(&backend->breaker);
}

void
backend_answered(backend_t *backend, double latency_ms, bool queued)
{
    breaker_record_answer(&backend->breaker);
    if (queued && backend->service_time_ms > 0)
        return;
    const double service_time_ms = latency_measured_ms(latency_ms);
    if (backend->service_time_ms == 0)
        backend->service_time_ms = service_time_ms;
    backend->service_time_ms += SERVICE_TIME_GAIN * (service_time_ms - backend->service_time_ms);
}
