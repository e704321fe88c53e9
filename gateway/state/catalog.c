#include <stdlib.h>

#include <uv.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/policy/cold_start.h"
#include "gateway/policy/store_return.h"
#include "gateway/state/catalog.h"
#include "gateway/state/position.h"
#include "wire/client.h"

/* Added to a service's cold time for backends of a reopened data hall, until their own entries
 * report their cold time. */
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

const config_service_t *
catalog_service_of(const catalog_t *catalog, const backend_t *backend)
{
    if (catalog->config == NULL)
        return NULL;
    return config_service(catalog->config, name_str(&backend->info.service));
}

/* ---- configuration ---- */

void
catalog_limit_connections(const catalog_t *catalog, backend_t *backend)
{
    const config_service_t *service = catalog_service_of(catalog, backend);
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
        catalog_limit_connections(catalog, catalog->backends.items[i]);
}

void
catalog_set_instances(catalog_t *catalog, unsigned instances)
{
    if (catalog->instances == instances)
        return;
    catalog->instances = instances;
    bound_all_connections(catalog);
}

uint64_t
catalog_newest_config(const catalog_t *catalog)
{
    const uint64_t in_force = catalog->config != NULL ? catalog->config->revision : 0;
    return catalog->newer_revision > in_force ? catalog->newer_revision : in_force;
}

bool
catalog_is_behind(const catalog_t *catalog)
{
    const bool in_part = catalog->config != NULL && catalog->config->routes_skipped > 0;
    return in_part || catalog->refused.revision > 0 || catalog->newer_revision > 0 ||
           catalog->isolated;
}

/* Keeps the configuration in force. */
static void
refuse_config(catalog_t *catalog, uint64_t revision, const err_t *err)
{
    LOG_ERR("configuration unusable: revision=%llu err=%s detail=%s",
            (unsigned long long)position_revision(revision), err_name(err->code), err->detail);
    catalog->refused = (refused_config_t){.revision = revision, .err = *err};
}

/* True if the configuration is older than the one in force: a returned store holds it until the
 * operator has written the newer one again. */
static bool
is_of_lost_history(const catalog_t *catalog, const config_t *config)
{
    const config_t *in_force = catalog->config;
    if (in_force == NULL || position_era(config->revision) == position_era(in_force->revision) ||
        config_version_order(config->version, in_force->version) >= 0)
        return false;
    LOG_WARN("older configuration not taken over: version=%s in_force=%s", config->version,
             in_force->version);
    return true;
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
    if (is_of_lost_history(catalog, config)) {
        config_unref(config);
        return false;
    }
    LOG_INFO("configuration in force: version=%s revision=%llu routes=%zu services=%zu",
             config->version, (unsigned long long)position_revision(config->revision),
             config->route_count, config->service_count);
    config_unref(catalog->config);
    catalog->config = config;
    catalog->refused = (refused_config_t){0};
    bound_all_connections(catalog);
    return true;
}

/* ---- closed data halls ---- */

void
catalog_pace_cold(const catalog_t *catalog, backend_t *backend, uint64_t now_ms)
{
    const config_service_t *service = catalog_service_of(catalog, backend);
    if (service != NULL)
        cold_start_begin(&backend->cold_tokens, service->cold_per_s, now_ms);
    else
        cold_start_begin_unknown(&backend->cold_tokens, now_ms);
}

/* The backend's data hall is open again. Its caches may be lost, so it counts as cold. */
static void
reopen_hall(catalog_t *catalog, backend_t *backend, uint64_t now_ms)
{
    const config_service_t *service = catalog_service_of(catalog, backend);
    const uint64_t cold_ms = service != NULL ? service->cold_ms : 0;
    backend_extend_cold(backend, cold_ms + REOPEN_MARGIN_MS, now_ms);
    catalog_pace_cold(catalog, backend, now_ms);
}

void
catalog_apply_closures(catalog_t *catalog, const view_t *view)
{
    const uint64_t now_ms = loop_now(catalog->loop);
    size_t changes = 0;
    for (size_t i = 0; i < catalog->backends.count; i++) {
        backend_t *backend = catalog->backends.items[i];
        const bool closed = view_find(view, name_str(&backend->info.hall)) != NULL;
        if (backend->hall_closed == closed || (!closed && now_ms < catalog->held_until_ms))
            continue;
        if (!closed)
            reopen_hall(catalog, backend, now_ms);
        if (changes++ < CATALOG_LOG_LINES_MAX)
            LOG_INFO("data hall of backend %s: id=%s hall=%s at=%llu", closed ? "closed" : "open",
                     backend->info.id.ptr, backend->info.hall.ptr,
                     (unsigned long long)position_revision(view->at));
        backend->hall_closed = closed;
    }
    catalog_log_suppressed("data halls of backends", changes);
}

void
catalog_slots_by_region(const catalog_t *catalog, str_t service, const rollout_t *rollout,
                        double *slots)
{
    const uint64_t now_ms = loop_now(catalog->loop);
    const uint64_t service_key = backend_service_key(service);
    for (size_t i = 0; i < catalog->backends.count; i++) {
        const backend_t *backend = catalog->backends.items[i];
        if (backend->region < catalog->topology->region_count &&
            backend_is_of(backend, service, service_key) && backend_is_usable(backend, now_ms) &&
            (rollout == NULL || rollout_counts_room(rollout, backend)))
            slots[backend->region] += backend_plan_slots(backend);
    }
}

void
catalog_log_suppressed(const char *what, size_t changes)
{
    if (changes > CATALOG_LOG_LINES_MAX)
        LOG_INFO("log lines suppressed: of=\"%s\" changes=%zu lines=%d", what, changes,
                 CATALOG_LOG_LINES_MAX);
}

/* Logs changes in which backends are avoided. */
static void
log_avoided(catalog_t *catalog, uint64_t now_ms)
{
    size_t changes = 0;
    const backends_slice_t slice = backends_next_slice(&catalog->backends, &catalog->logged_to);
    for (size_t i = slice.from; i < slice.to; i++) {
        backend_t *backend = catalog->backends.items[i];
        const bool avoided = health_is_avoided(&backend->health, now_ms);
        if (avoided == backend->logged_avoided)
            continue;
        backend->logged_avoided = avoided;
        if (changes++ < CATALOG_LOG_LINES_MAX)
            LOG_INFO("backend %s: id=%s service=%s failure_rate=%.2f outcomes=%.1f",
                     avoided ? "avoided" : "no longer avoided", backend->info.id.ptr,
                     backend->info.service.ptr, backend->health.failure_rate,
                     backend->health.weight);
    }
    catalog_log_suppressed("avoided backends", changes);
}

void
catalog_on_store_return(catalog_t *catalog)
{
    catalog->held_until_ms = loop_now(catalog->loop) + STORE_RETURN_HOLD_MS;
}

bool
catalog_hold_ended(catalog_t *catalog)
{
    if (catalog->held_until_ms == 0 || loop_now(catalog->loop) < catalog->held_until_ms)
        return false;
    catalog->held_until_ms = 0;
    return true;
}

void
catalog_tick(catalog_t *catalog)
{
    const uint64_t now_ms = loop_now(catalog->loop);
    backends_remove_due(&catalog->backends, now_ms);
    departures_expire(&catalog->departures, now_ms);
    notices_expire(&catalog->notices, now_ms);
    log_avoided(catalog, now_ms);
}
