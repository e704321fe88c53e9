#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/state/backends.h"

enum {
    KEY_SEED = 41,
    ITEMS_START = 16,
    POOL_MAX = 32,             /* until the service's own bound is known */
    OTHERS_HALF_LIFE_MS = 400, /* how fast a reported load loses its meaning */
    FAILURES_BEFORE_PAUSE = 2,
    PAUSE_MIN_MS = 300,
    PAUSE_DOUBLINGS_MAX = 4,
    WORK_MIN_MS = 1, /* the loop's clock counts whole milliseconds; 0 would mean not measured */
};

#define LATENCY_GAIN 0.1

static backend_t *
new_backend(const backend_info_t *info, const topology_t *topology, uv_loop_t *loop)
{
    backend_t *backend = xcalloc(1, sizeof(*backend));
    backend->refs = 1;
    backend->key = str_hash(name_str(&info->id), KEY_SEED);
    backend->region = topology_region_of(topology, name_str(&info->hall));
    backend->pool = loop != NULL ? wire_pool_new(loop, &info->addr, POOL_MAX) : NULL;
    return backend;
}

/* Index of the first entry whose id is not below `id`. */
static size_t
lower_bound(const backends_t *backends, str_t id)
{
    size_t low = 0;
    size_t high = backends->count;
    while (low < high) {
        const size_t mid = low + (high - low) / 2;
        if (str_order(name_str(&backends->items[mid]->info.id), id) < 0)
            low = mid + 1;
        else
            high = mid;
    }
    return low;
}

backend_t *
backends_find(const backends_t *backends, str_t id)
{
    const size_t index = lower_bound(backends, id);
    return index < backends->count && name_eq(&backends->items[index]->info.id, id)
               ? backends->items[index]
               : NULL;
}

static void
insert(backends_t *backends, backend_t *backend, str_t id)
{
    if (backends->count == backends->size) {
        backends->size = backends->size > 0 ? backends->size * 2 : ITEMS_START;
        backends->items = xrealloc(backends->items, backends->size * sizeof(backends->items[0]));
    }
    const size_t index = lower_bound(backends, id);
    memmove(&backends->items[index + 1], &backends->items[index],
            (backends->count - index) * sizeof(backends->items[0]));
    backends->items[index] = backend;
    backends->count++;
}

backend_t *
backends_put(backends_t *backends, const backend_info_t *info, const topology_t *topology,
             uv_loop_t *loop, uint64_t now_ms)
{
    backend_t *backend = backends_find(backends, name_str(&info->id));
    if (backend == NULL) {
        backend = new_backend(info, topology, loop);
        insert(backends, backend, name_str(&info->id));
    }
    backend->info = *info;
    backend->listed = true;
    backend->unlist_at_ms = 0;
    if (info->cold_ms > 0 && now_ms + info->cold_ms > backend->cold_until_ms)
        backend->cold_until_ms = now_ms + info->cold_ms;
    return backend;
}

void
backends_drop_unlisted(backends_t *backends, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < backends->count; i++) {
        backend_t *backend = backends->items[i];
        if (backend->unlist_at_ms == 0 || now_ms < backend->unlist_at_ms) {
            backends->items[kept++] = backend;
            continue;
        }
        backend->listed = false;
        backend_unref(backend);
    }
    backends->count = kept;
}

void
backends_free(backends_t *backends)
{
    for (size_t i = 0; i < backends->count; i++)
        backend_unref(backends->items[i]);
    free(backends->items);
    *backends = (backends_t){0};
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

double
backend_load(const backend_t *backend, uint64_t now_ms)
{
    const double age = (double)(now_ms - backend->others_ms);
    return backend->in_flight + backend->others * exp2(-age / OTHERS_HALF_LIFE_MS);
}

void
backend_report_load(backend_t *backend, const reported_load_t *load, uint64_t now_ms)
{
    const double total = (double)load->running + load->waiting;
    backend->others = total > backend->in_flight ? total - backend->in_flight : 0;
    backend->others_ms = now_ms;
}

bool
backend_is_cold(const backend_t *backend, uint64_t now_ms)
{
    return now_ms < backend->cold_until_ms;
}

bool
backend_is_usable(const backend_t *backend, uint64_t now_ms)
{
    if (!backend->listed || backend->info.leaving || backend->hall_closed || backend->departed)
        return false;
    return now_ms >= backend->suspended_until_ms && !backend->probing;
}

void
backend_failed(backend_t *backend, uint64_t now_ms)
{
    backend->probing = false;
    backend->failures++;
    if (backend->failures < FAILURES_BEFORE_PAUSE)
        return;
    const unsigned over = backend->failures - FAILURES_BEFORE_PAUSE;
    const unsigned doublings = over < PAUSE_DOUBLINGS_MAX ? over : PAUSE_DOUBLINGS_MAX;
    backend->suspended_until_ms = now_ms + ((uint64_t)PAUSE_MIN_MS << doublings);
}

void
backend_answered(backend_t *backend, double latency_ms, bool waited)
{
    backend->probing = false;
    backend->failures = 0;
    backend->suspended_until_ms = 0;
    if (waited && backend->work_ms > 0)
        return;
    if (latency_ms < WORK_MIN_MS)
        latency_ms = WORK_MIN_MS;
    if (backend->work_ms == 0)
        backend->work_ms = latency_ms;
    backend->work_ms += LATENCY_GAIN * (latency_ms - backend->work_ms);
}
