#include <stdlib.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/router.h"

enum {
    COLD_MARGIN_MS = 500
}; /* added to the cold time of backend servers whose data hall opens again */

/* What the configuration says of an upstream's service; NULL if nothing. */
static const config_service_t *
service_of(const router_t *router, const backend_t *backend)
{
    if (router->config == NULL)
        return NULL;
    return config_service(router->config, name_str(&backend->info.service));
}

static void
apply_service_bounds(router_t *router, backend_t *backend)
{
    const config_service_t *service = service_of(router, backend);
    if (service == NULL)
        return;
    const size_t part = service->max_connections / (router->instances > 0 ? router->instances : 1);
    wire_pool_set_max(backend->pool, part > 0 ? part : 1);
}

void
router_apply_bounds(router_t *router)
{
    for (size_t i = 0; i < router->backends.count; i++)
        apply_service_bounds(router, router->backends.items[i]);
}

void
router_take_config(router_t *router, const view_t *view)
{
    if (view->count == 0)
        return;
    const view_item_t *item = &view->items[0];
    if (router->config != NULL && item->revision <= router->config->revision)
        return;
    err_t err = {0};
    config_t *config = router->decoder->config((str_t){item->body, item->body_len}, &err);
    if (config == NULL) {
        LOG_ERR("configuration not usable: revision=%llu err=%s detail=%s",
                (unsigned long long)item->revision, err_name(err.code), err.detail);
        return;
    }
    config->revision = item->revision;
    LOG_INFO("configuration in force: version=%s revision=%llu routes=%zu services=%zu",
             config->version, (unsigned long long)config->revision, config->route_count,
             config->service_count);
    config_unref(router->config);
    router->config = config;
    /* Plans start now, so that they are there when the first requests come. */
    for (size_t i = 0; i < config->service_count; i++)
        router_service(router, name_str(&config->services[i].name));
    router_apply_bounds(router);
}

static void
pace_cold(router_t *router, backend_t *backend, uint64_t now)
{
    const config_service_t *service = service_of(router, backend);
    const double per_s = service != NULL ? service->cold_per_s : 1;
    cold_start(backend, per_s > 0 ? per_s : 1e6, now);
}

static void
take_backend(router_t *router, const view_item_t *item, uint64_t now)
{
    backend_t *known = backends_find(&router->backends, str_from(item->name));
    backend_info_t info;
    err_t err = {0};
    if (!router->decoder->backend(str_from(item->name), (str_t){item->body, item->body_len}, &info,
                                  &err)) {
        LOG_WARN("backend entry not usable: id=%s err=%s detail=%s", item->name, err_name(err.code),
                 err.detail);
        return;
    }
    const bool was_leaving = known != NULL && known->info.leaving;
    const bool was_cold = known != NULL && backend_is_cold(known, now);
    backend_t *backend =
        backends_put(&router->backends, &info, router->topology, router->loop, now);
    backend->revision = item->revision;
    if (!was_cold)
        pace_cold(router, backend, now);
    if (known == NULL) {
        apply_service_bounds(router, backend);
        LOG_INFO("backend known: id=%s service=%s hall=%s capacity=%u cold_ms=%u leaving=%d",
                 info.id.ptr, info.service.ptr, info.hall.ptr, info.capacity, info.cold_ms,
                 info.leaving);
    } else if (info.leaving && !was_leaving) {
        LOG_INFO("backend leaving: id=%s revision=%llu", info.id.ptr,
                 (unsigned long long)item->revision);
    }
}

static void
unlist(backend_t *backend, uint64_t now, uint64_t grace_ms)
{
    if (backend->unlist_at_ms != 0)
        return;
    backend->unlist_at_ms = now + grace_ms;
    LOG_INFO("backend not listed any more: id=%s grace_ms=%llu", backend->info.id.ptr,
             (unsigned long long)grace_ms);
}

/* Walks the view and the upstreams side by side, both sorted by id: notes which upstreams are gone
 * and returns the number of entries that are new or changed, by their index in the view. */
static size_t
compare_backends(router_t *router, const view_t *view, uint64_t now, uint64_t grace_ms,
                 size_t *changed)
{
    size_t count = 0;
    size_t at = 0;
    for (size_t i = 0; i < view->count; i++) {
        const view_item_t *item = &view->items[i];
        const str_t name = str_from(item->name);
        while (at < router->backends.count &&
               str_order(name_str(&router->backends.items[at]->info.id), name) < 0)
            unlist(router->backends.items[at++], now, grace_ms);
        backend_t *backend =
            at < router->backends.count && name_eq(&router->backends.items[at]->info.id, name)
                ? router->backends.items[at++]
                : NULL;
        if (backend != NULL && backend->revision == item->revision)
            backend->unlist_at_ms = 0;
        else
            changed[count++] = i;
    }
    while (at < router->backends.count)
        unlist(router->backends.items[at++], now, grace_ms);
    return count;
}

void
router_take_backends(router_t *router, const view_t *view, uint64_t grace_ms)
{
    const uint64_t now = uv_now(router->loop);
    size_t *changed = xcalloc(view->count + 1, sizeof(*changed));
    const size_t count = compare_backends(router, view, now, grace_ms, changed);
    for (size_t i = 0; i < count; i++)
        take_backend(router, &view->items[changed[i]], now);
    free(changed);
    backends_drop_unlisted(&router->backends, now);
    router->backends_known = true;
}

/* Backend servers of a data hall that opens again may have lost their memory meanwhile. */
static void
reopen(router_t *router, backend_t *backend, uint64_t now)
{
    const config_service_t *service = service_of(router, backend);
    const uint64_t cold_ms = service != NULL ? service->cold_ms : 0;
    if (now + cold_ms + COLD_MARGIN_MS > backend->cold_until_ms)
        backend->cold_until_ms = now + cold_ms + COLD_MARGIN_MS;
    pace_cold(router, backend, now);
}

void
router_take_closures(router_t *router, const view_t *view)
{
    const uint64_t now = uv_now(router->loop);
    for (size_t i = 0; i < router->backends.count; i++) {
        backend_t *backend = router->backends.items[i];
        const bool closed = view_find(view, name_str(&backend->info.hall)) != NULL;
        if (backend->hall_closed && !closed)
            reopen(router, backend, now);
        if (backend->hall_closed != closed)
            LOG_INFO("data hall of a backend %s: id=%s hall=%s at=%llu", closed ? "closed" : "open",
                     backend->info.id.ptr, backend->info.hall.ptr, (unsigned long long)view->at);
        backend->hall_closed = closed;
    }
}
