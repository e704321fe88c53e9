#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "entry/backend/backend.h"
#include "base/mutate.h"
#include "base/xmalloc.h"

#define LATENCY_GAIN 0.2        /* weight of the latest sample in the moving average */
#define DEFAULT_LATENCY_MS 10.0 /* used until a server of the service has responded */
#define BETTER_RATIO 0.95       /* smaller differences count as noise */
#define QUEUE_PER_SLOT 0.5      /* requests per slot that may be queued at a server */

bool
policy_parse(str_t text, policy_t *out)
{
    static const char *const names[] = {"iris", "round-robin", "least", "two-choices"};
    for (size_t i = 0; i < ALEN(names); i++) {
        if (str_eq(text, str_from(names[i]))) {
            *out = (policy_t)i;
            return true;
        }
    }
    return false;
}

backend_t *
backends_find(const backends_t *backends, str_t name)
{
    for (size_t i = 0; i < backends->count; i++) {
        if (name_eq(&backends->items[i]->name, name))
            return backends->items[i];
    }
    return NULL;
}

void
backends_update(backends_t *backends, const instances_t *list, str_t region)
{
    for (size_t i = 0; i < backends->count; i++)
        backends->items[i]->listed = false;
    for (size_t i = 0; i < list->count; i++) {
        const instance_t *instance = &list->items[i];
        if (instance->role != ROLE_BACKEND || !name_eq(&instance->region, region))
            continue;
        backend_t *backend = backends_find(backends, name_str(&instance->name));
        if (backend == NULL) {
            backends->items =
                xrealloc(backends->items, (backends->count + 1) * sizeof(*backends->items));
            backend = xcalloc(1, sizeof(*backend));
            backend->name = instance->name;
            backend->addr = instance->addr;
            backends->items[backends->count++] = backend;
        }
        backend->service = instance->service;
        backend->place = instance->place;
        backend->slots = instance->slots;
        backend->listed = true;
        backend->leaving_listed = instance->leaving;
    }
}

bool
backend_is_leaving(const backend_t *backend, uint64_t now_ms)
{
    if (mutate_is(MUTATE_IGNORE_DRAIN))
        return false;
    return !backend->listed || backend->leaving_listed || backend->leaving_marked ||
           (backend->leaving_reported_ms != 0 &&
            now_ms < backend->leaving_reported_ms + BACKEND_LEAVING_TTL_MS);
}

bool
backend_is_ejected(const backend_t *backend, uint64_t now_ms)
{
    return now_ms < backend->ejected_until_ms;
}

bool
backend_status_is_stale(const backend_t *backend, uint64_t now_ms)
{
    return now_ms > backend->status_ms + BACKEND_STATUS_TTL_MS;
}

void
backend_status_received(backend_t *backend, bool leaving, uint64_t asked_ms, uint64_t now_ms)
{
    if (asked_ms > backend->status_ms)
        backend->status_ms = asked_ms;
    if (leaving)
        backend->leaving_reported_ms = now_ms;
}

double
backend_load(const backend_t *backend, uint64_t now_ms)
{
    const double age = (double)(now_ms - backend->others_load_at_ms);
    return backend->outstanding + backend->others_load * exp(-age / BACKEND_LOAD_DECAY_MS);
}

void
backend_started(backend_t *backend)
{
    backend->outstanding++;
}

void
backend_ended(backend_t *backend)
{
    xassert(backend->outstanding > 0);
    backend->outstanding--;
}

static void
record_load(backend_t *backend, uint32_t load, uint64_t now_ms)
{
    backend->others_load = load > backend->outstanding ? load - backend->outstanding : 0;
    backend->others_load_at_ms = now_ms;
}

void
backend_answered(backend_t *backend, double latency_ms, uint32_t load, uint64_t now_ms)
{
    record_load(backend, load, now_ms);
    backend->failures = 0;
    backend->eject_ms = 0;
    if (backend->latency_ms <= 0)
        backend->latency_ms = latency_ms;
    backend->latency_ms += LATENCY_GAIN * (latency_ms - backend->latency_ms);
    backend->latency_at_ms = now_ms;
}

void
backend_shed(backend_t *backend, uint32_t load, uint64_t now_ms)
{
    record_load(backend, load > backend->slots ? load : 2 * backend->slots, now_ms);
    if (load < backend->slots)
        backend_failed(backend, now_ms); /* refused despite free slots: treat it as a failure */
}

void
backend_failed(backend_t *backend, uint64_t now_ms)
{
    backend->failures++;
    if (backend->failures < BACKEND_EJECT_FAILURES)
        return;
    backend->eject_ms = backend->eject_ms == 0 ? BACKEND_EJECT_MIN_MS : backend->eject_ms * 2;
    if (backend->eject_ms > BACKEND_EJECT_MAX_MS)
        backend->eject_ms = BACKEND_EJECT_MAX_MS;
    backend->ejected_until_ms = now_ms + backend->eject_ms;
    backend->failures = BACKEND_EJECT_FAILURES - 1; /* one more failure ejects it again */
}

/* Expected response time in ms. */
static double
expected_ms(const backend_t *backend, double typical_ms, uint64_t now_ms)
{
    const double age = (double)(now_ms - backend->latency_at_ms);
    const double trust = exp(-age / BACKEND_LATENCY_DECAY_MS);
    const double known = backend->latency_ms > 0 ? backend->latency_ms : typical_ms;
    const double latency = known * trust + typical_ms * (1 - trust);
    const double per_slot = (backend_load(backend, now_ms) + 1) / backend->slots;
    return latency * (per_slot > 1 ? per_slot * per_slot : 0.5 + 0.5 * per_slot);
}

static bool
has_room(const backend_t *backend, uint64_t now_ms)
{
    return backend_load(backend, now_ms) < backend->slots * (1 + QUEUE_PER_SLOT);
}

static bool
is_eligible(const backend_t *backend, const choice_t *choice, uint64_t now_ms)
{
    if (backend == choice->except || !name_eq(&backend->service, choice->service))
        return false;
    if (choice->place.len > 0 && !name_eq(&backend->place, choice->place))
        return false;
    return !backend_is_leaving(backend, now_ms);
}

static double
typical_latency(backend_t *const *items, size_t count)
{
    double sum = 0;
    size_t known = 0;
    for (size_t i = 0; i < count; i++) {
        if (items[i]->latency_ms <= 0)
            continue;
        sum += 1 / items[i]->latency_ms;
        known++;
    }
    return known > 0 ? (double)known / sum : DEFAULT_LATENCY_MS;
}

static backend_t *
choose_iris(backend_t *const *items, size_t count, uint64_t now_ms, rng_t *rng)
{
    const double typical = typical_latency(items, count);
    backend_t *best = NULL;
    double best_ms = 0;
    const size_t start = (size_t)rng_below(rng, count);
    for (size_t i = 0; i < count; i++) {
        backend_t *backend = items[(start + i) % count];
        if (!has_room(backend, now_ms))
            continue;
        const double ms = expected_ms(backend, typical, now_ms);
        if (best == NULL || ms < best_ms * BETTER_RATIO) {
            best = backend;
            best_ms = ms;
        }
    }
    return best;
}

static backend_t *
choose_least(backend_t *const *items, size_t count, rng_t *rng)
{
    const size_t start = (size_t)rng_below(rng, count);
    backend_t *best = items[start];
    for (size_t i = 1; i < count; i++) {
        backend_t *backend = items[(start + i) % count];
        if (backend->outstanding < best->outstanding)
            best = backend;
    }
    return best;
}

static backend_t *
choose_two_random(backend_t *const *items, size_t count, uint64_t now_ms, rng_t *rng)
{
    backend_t *a = items[rng_below(rng, count)];
    backend_t *b = items[rng_below(rng, count)];
    return backend_load(a, now_ms) <= backend_load(b, now_ms) ? a : b;
}

/* Lists the servers eligible for the request; free() the result. */
static backend_t **
list_candidates(const backends_t *backends, const choice_t *choice, bool skip_ejected,
                uint64_t now_ms, size_t *count)
{
    backend_t **items = xcalloc(backends->count, sizeof(backend_t *));
    *count = 0;
    for (size_t i = 0; i < backends->count; i++) {
        backend_t *backend = backends->items[i];
        if (is_eligible(backend, choice, now_ms) &&
            !(skip_ejected && backend_is_ejected(backend, now_ms)))
            items[(*count)++] = backend;
    }
    return items;
}

static backend_t *
choose_among(backend_t *const *items, size_t count, policy_t policy, uint64_t now_ms, rng_t *rng,
             uint64_t *turn)
{
    if (count == 0)
        return NULL;
    switch (policy) {
    case POLICY_IRIS:
        return choose_iris(items, count, now_ms, rng);
    case POLICY_ROUND_ROBIN:
        return items[(*turn)++ % count];
    case POLICY_LEAST:
        return choose_least(items, count, rng);
    case POLICY_TWO_CHOICES:
        return choose_two_random(items, count, now_ms, rng);
    }
    BUG("unknown policy");
}

/* Keeps only servers whose status is not stale. */
static size_t
keep_fresh(backend_t **items, size_t count, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < count; i++) {
        if (!backend_status_is_stale(items[i], now_ms))
            items[kept++] = items[i];
    }
    return kept;
}

backend_t *
backend_choose(const backends_t *backends, const choice_t *choice, uint64_t now_ms, rng_t *rng,
               uint64_t *turn)
{
    size_t count;
    const bool skip_ejected = choice->policy != POLICY_ROUND_ROBIN;
    backend_t **items = list_candidates(backends, choice, skip_ejected, now_ms, &count);
    if (count == 0 && skip_ejected) {
        /* If all servers are ejected, the signal is more likely wrong than the servers: ignore it.
         */
        free(items);
        items = list_candidates(backends, choice, false, now_ms, &count);
    }
    backend_t *chosen = choose_among(items, count, choice->policy, now_ms, rng, turn);
    if (chosen != NULL && backend_status_is_stale(chosen, now_ms)) {
        chosen->probe_requested = true;
        count = keep_fresh(items, count, now_ms);
        chosen = choose_among(items, count, choice->policy, now_ms, rng, turn);
    }
    free(items);
    return chosen;
}

double
backend_best_ms(const backends_t *backends, const choice_t *choice, uint64_t now_ms)
{
    size_t count;
    backend_t **items = list_candidates(backends, choice, true, now_ms, &count);
    const double typical = typical_latency(items, count);
    double best = HUGE_VAL;
    for (size_t i = 0; i < count; i++) {
        const double ms = expected_ms(items[i], typical, now_ms);
        best = ms < best ? ms : best;
    }
    free(items);
    return best;
}
