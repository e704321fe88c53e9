#include <stdlib.h>

#include <uv.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/policy/cold_start.h"
#include "gateway/state/catalog.h"
#include "wire/client.h"

/* Added to the cold time of a service for backends whose data hall opens again: their own entries
 * tell later that they are cold. Chosen, not measured (docs/design/gateway/cold-start.md). */
enum { REOPEN_MARGIN_MS = 500 };

void
catalog_init(catalog_t *catalog, uv_loop_t *loop, const topology_t *topology,
             const decoder_port_t *decoder)
{
    *catalog = (catalog_t){.loop = loop, .topology = topology, .decoder = decoder};
}

bool
catalog_is_complete(const catalog_t *catalog)
{
    return catalog->config != NULL && catalog->backends_known;
}

/* What the configuration says of a backend's service; NULL if nothing. */
static const config_service_t *
service_of(const catalog_t *catalog, const backend_t *backend)
{
    if (catalog->config == NULL)
        return NULL;
    return config_service(catalog->config, name_str(&backend->info.service));
}

/* ---- configuration ---- */

static void
bound_connections(const catalog_t *catalog, backend_t *backend)
{
    const config_service_t *service = service_of(catalog, backend);
    if (service == NULL)
        return;
    const unsigned instances = catalog->instances > 0 ? catalog->instances : 1;
    const size_t part = service->max_connections / instances;
    wire_pool_set_max(backend->pool, part > 0 ? part : 1);
}

static void
bound_all_connections(catalog_t *catalog)
{
    for (size_t i = 0; i < catalog->backends.count; i++)
        bound_connections(catalog, catalog->backends.items[i]);
}

void
catalog_set_instances(catalog_t *catalog, unsigned instances)
{
    if (catalog->instances == instances)
        return;
    catalog->instances = instances;
    bound_all_connections(catalog);
}

bool
catalog_is_behind(const catalog_t *catalog)
{
    const bool in_part = catalog->config != NULL && catalog->config->routes_left_out > 0;
    return in_part || catalog->refused.revision > 0 || catalog->newer_at > 0;
}

/* What was in force before stays. */
static void
refuse_config(catalog_t *catalog, uint64_t revision, const err_t *err)
{
    LOG_ERR("configuration not usable: revision=%llu err=%s detail=%s",
            (unsigned long long)revision, err_name(err->code), err->detail);
    catalog->refused = (refused_config_t){.revision = revision, .err = *err};
}

bool
catalog_apply_config(catalog_t *catalog, const view_t *view)
{
    if (view->count == 0)
        return false;
    const view_item_t *item = &view->items[0];
    if (catalog->config != NULL && item->revision <= catalog->config->revision)
        return false;
    err_t err = {0};
    config_t *config = catalog->decoder->config((str_t){item->body, item->body_len}, &err);
    if (config == NULL) {
        refuse_config(catalog, item->revision, &err);
        return false;
    }
    config->revision = item->revision;
    LOG_INFO("configuration in force: version=%s revision=%llu routes=%zu services=%zu",
             config->version, (unsigned long long)config->revision, config->route_count,
             config->service_count);
    config_unref(catalog->config);
    catalog->config = config;
    catalog->refused = (refused_config_t){0};
    bound_all_connections(catalog);
    return true;
}

/* ---- backend servers ---- */

static void
pace_cold(const catalog_t *catalog, backend_t *backend, uint64_t now_ms)
{
    const config_service_t *service = service_of(catalog, backend);
    if (service != NULL)
        cold_start_begin(&backend->cold_tokens, service->cold_per_s, now_ms);
    else
        cold_start_begin_unknown(&backend->cold_tokens, now_ms);
}

static void
log_entry(const backend_info_t *info, uint64_t revision, bool is_new, bool was_leaving)
{
    if (is_new)
        LOG_INFO("backend known: id=%s service=%s hall=%s capacity=%u cold_ms=%u leaving=%d",
                 info->id.ptr, info->service.ptr, info->hall.ptr, info->capacity, info->cold_ms,
                 info->leaving);
    else if (info->leaving && !was_leaving)
        LOG_INFO("backend leaving: id=%s revision=%llu", info->id.ptr,
                 (unsigned long long)revision);
}

/* Applies a new or changed entry. */
static void
apply_entry(catalog_t *catalog, const view_item_t *item, uint64_t now_ms)
{
    const str_t id = str_from(item->name);
    backend_info_t info;
    err_t err = {0};
    if (!catalog->decoder->backend(id, (str_t){item->body, item->body_len}, &info, &err)) {
        LOG_WARN("backend entry not usable: id=%s err=%s detail=%s", item->name, err_name(err.code),
                 err.detail);
        return;
    }
    const backend_t *known = backends_find(&catalog->backends, id);
    const bool is_new = known == NULL;
    const bool was_leaving = !is_new && known->info.leaving;
    const bool was_cold = !is_new && backend_is_cold(known, now_ms);
    backend_t *backend =
        backends_put(&catalog->backends, &info, catalog->topology, catalog->loop, now_ms);
    backend->revision = item->revision;
    if (!was_cold)
        pace_cold(catalog, backend, now_ms);
    if (is_new)
        bound_connections(catalog, backend);
    log_entry(&info, item->revision, is_new, was_leaving);
}

/* The backend is gone from the list. */
static void
schedule_removal(backend_t *backend, uint64_t now_ms, const removal_input_t *input)
{
    if (backend->remove_at_ms != 0)
        return;
    const removal_t removal = removal_decide(input);
    backend->remove_at_ms = now_ms + removal.grace_ms;
    LOG_INFO("backend not listed any more: id=%s grace_ms=%llu reason=%s since_return_ms=%lld "
             "since_failure_ms=%lld",
             backend->info.id.ptr, (unsigned long long)removal.grace_ms,
             removal_reason_name(removal.reason), (long long)input->store.since_return_ms,
             (long long)input->store.since_failure_ms);
}

/* Walks the view and the backends side by side, both sorted by id: schedules the removal of
 * backends that are gone, and fills `changed` with the indexes in the view of entries that are new
 * or changed; returns their number. */
static size_t
compare_backends(catalog_t *catalog, const view_t *view, uint64_t now_ms,
                 const removal_input_t *removal, size_t *changed)
{
    const backends_t *backends = &catalog->backends;
    size_t count = 0;
    size_t at = 0;
    for (size_t i = 0; i < view->count; i++) {
        const view_item_t *item = &view->items[i];
        const str_t id = str_from(item->name);
        while (at < backends->count && str_order(name_str(&backends->items[at]->info.id), id) < 0)
            schedule_removal(backends->items[at++], now_ms, removal);
        const bool known = at < backends->count && name_eq(&backends->items[at]->info.id, id);
        backend_t *backend = known ? backends->items[at++] : NULL;
        if (backend != NULL && backend->revision == item->revision)
            backend->remove_at_ms = 0;
        else
            changed[count++] = i;
    }
    while (at < backends->count)
        schedule_removal(backends->items[at++], now_ms, removal);
    return count;
}

void
catalog_apply_backends(catalog_t *catalog, const view_t *view, removal_store_t store)
{
    const uint64_t now_ms = uv_now(catalog->loop);
    const removal_input_t input = {
        .store = store,
        .listed = view->count,
        .known = catalog->backends.count,
    };
    size_t *changed = xcalloc(view->count + 1, sizeof(*changed));
    const size_t count = compare_backends(catalog, view, now_ms, &input, changed);
    for (size_t i = 0; i < count; i++)
        apply_entry(catalog, &view->items[changed[i]], now_ms);
    free(changed);
    backends_remove_due(&catalog->backends, now_ms);
    catalog->backends_known = true;
}

/* Its data hall gets requests again; it may have lost its memory meanwhile. */
static void
reopen(catalog_t *catalog, backend_t *backend, uint64_t now_ms)
{
    const config_service_t *service = service_of(catalog, backend);
    const uint64_t cold_ms = service != NULL ? service->cold_ms : 0;
    backend_extend_cold(backend, cold_ms + REOPEN_MARGIN_MS, now_ms);
    pace_cold(catalog, backend, now_ms);
}

void
catalog_apply_closures(catalog_t *catalog, const view_t *view)
{
    const uint64_t now_ms = uv_now(catalog->loop);
    for (size_t i = 0; i < catalog->backends.count; i++) {
        backend_t *backend = catalog->backends.items[i];
        const bool closed = view_find(view, name_str(&backend->info.hall)) != NULL;
        if (backend->hall_closed == closed)
            continue;
        if (!closed)
            reopen(catalog, backend, now_ms);
        LOG_INFO("data hall of a backend %s: id=%s hall=%s at=%llu", closed ? "closed" : "open",
                 backend->info.id.ptr, backend->info.hall.ptr, (unsigned long long)view->at);
        backend->hall_closed = closed;
    }
}

void
catalog_slots_by_region(const catalog_t *catalog, str_t service, double *slots)
{
    const uint64_t now_ms = uv_now(catalog->loop);
    for (size_t i = 0; i < catalog->backends.count; i++) {
        const backend_t *backend = catalog->backends.items[i];
        if (backend->region < catalog->topology->region_count &&
            name_eq(&backend->info.service, service) && backend_is_usable(backend, now_ms))
            slots[backend->region] += backend->info.capacity;
    }
}

/* Logs which backends are avoided from now on, and which are no longer. */
static void
log_avoided(catalog_t *catalog, uint64_t now_ms)
{
    for (size_t i = 0; i < catalog->backends.count; i++) {
        backend_t *backend = catalog->backends.items[i];
        const bool avoided = health_is_avoided(&backend->health, now_ms);
        if (avoided == backend->logged_avoided)
            continue;
        backend->logged_avoided = avoided;
        LOG_INFO("backend %s: id=%s service=%s failure_rate=%.2f outcomes=%.1f",
                 avoided ? "avoided" : "no longer avoided", backend->info.id.ptr,
                 backend->info.service.ptr, backend->health.failure_rate, backend->health.weight);
    }
}

void
catalog_tick(catalog_t *catalog)
{
    const uint64_t now_ms = uv_now(catalog->loop);
    backends_remove_due(&catalog->backends, now_ms);
    log_avoided(catalog, now_ms);
}
