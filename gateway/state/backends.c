#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "base/search.h"
#include "base/xmalloc.h"
#include "gateway/state/backends.h"
#include "wire/client.h"

enum {
    ITEMS_START = 16,
    SLICES = 5,      /* of a long list: each entry is looked at once a second, at five ticks */
    SLICE_MIN = 512, /* a shorter list is looked at whole */
    DEFAULT_POOL_MAX = 32, /* connections until the service's own limit is known */
};

typedef struct {
    const backends_t *backends;
    str_t id;
} search_t;

static bool
is_below(const void *ctx, size_t index)
{
    const search_t *search = ctx;
    return str_compare(name_str(&search->backends->items[index]->info.id), search->id) < 0;
}

/* Index of the first entry whose id is not below `id`. */
static size_t
lower_bound(const backends_t *backends, str_t id)
{
    const search_t search = {backends, id};
    return search_lower_bound(backends->count, is_below, &search);
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
        const size_t region = topology_region_of(topology, name_str(&info->hall));
        wire_pool_t *pool =
            loop != NULL ? wire_pool_new(loop, &info->addr, DEFAULT_POOL_MAX) : NULL;
        backend = backend_new(info, region, pool);
        insert(backends, backend, name_str(&info->id));
    }
    backend_set_info(backend, info);
    backend->listed = true;
    backend->remove_at_ms = 0;
    if (info->cold_ms > 0)
        backend_extend_cold(backend, info->cold_ms, now_ms);
    return backend;
}

void
backends_remove(backends_t *backends, str_t id)
{
    const size_t index = lower_bound(backends, id);
    if (index == backends->count || !name_eq(&backends->items[index]->info.id, id))
        return;
    backends->items[index]->listed = false;
    backend_unref(backends->items[index]);
    backends->count--;
    memmove(&backends->items[index], &backends->items[index + 1],
            (backends->count - index) * sizeof(backends->items[0]));
}

backends_slice_t
backends_next_slice(const backends_t *backends, size_t *cursor)
{
    const size_t part = backends->count / SLICES + 1;
    const size_t size = part > SLICE_MIN ? part : SLICE_MIN;
    const size_t from = *cursor < backends->count ? *cursor : 0;
    const size_t to = from + size < backends->count ? from + size : backends->count;
    *cursor = to;
    return (backends_slice_t){from, to};
}

void
backends_remove_due(backends_t *backends, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < backends->count; i++) {
        backend_t *backend = backends->items[i];
        if (backend->remove_at_ms == 0 || now_ms < backend->remove_at_ms) {
            backends->items[kept++] = backend;
            continue;
        }
        backend->listed = false;
        backend_unref(backend);
    }
    backends->count = kept;
}

void
backends_forget_failures(backends_t *backends)
{
    for (size_t i = 0; i < backends->count; i++) {
        backends->items[i]->breaker = (breaker_t){0};
        backends->items[i]->health = (health_t){0};
    }
}

void
backends_free(backends_t *backends)
{
    for (size_t i = 0; i < backends->count; i++)
        backend_unref(backends->items[i]);
    free(backends->items);
    *backends = (backends_t){0};
}
