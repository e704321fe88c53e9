/*
 * Catalog: the statements of backend servers about themselves in their responses.
 */
#include <uv.h>

#define LOG_MODULE "router"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "gateway/state/catalog.h"

static const char *
source_name(notice_source_t source)
{
    static const char *const names[] = {
        [NOTICE_FROM_ANSWER] = "answer",
        [NOTICE_FROM_PEER] = "peer",
        [NOTICE_FROM_PERMIT] = "permit",
    };
    return names[source];
}

static void
log_limit(const notice_t *update, const char *source, uint64_t now_ms)
{
    const unsigned long long age_ms = (unsigned long long)(now_ms - update->limit.stated_ms);
    if (update->limit.is_set)
        LOG_INFO("backend limit set: id=%s per_s=%g age_ms=%llu source=%s", update->backend.ptr,
                 update->limit.per_s, age_ms, source);
    else
        LOG_INFO("backend limit withdrawn: id=%s age_ms=%llu source=%s", update->backend.ptr,
                 age_ms, source);
}

static void
apply_to_backend(backend_t *backend, const notice_t *notice)
{
    backend->limit = notice->limit;
    backend->stated_leaving = notice->leaving;
}

void
catalog_apply_notice(const catalog_t *catalog, backend_t *backend)
{
    const notice_t *notice =
        notices_find(&catalog->notices, name_str(&backend->info.id), backend->info.born);
    if (notice != NULL)
        apply_to_backend(backend, notice);
}

static void
log_change(const notice_t *update, notice_change_t change, notice_source_t source, uint64_t now_ms)
{
    if (change.limit)
        log_limit(update, source_name(source), now_ms);
    if (change.leaving)
        LOG_INFO("backend announced shutdown: id=%s age_ms=%llu source=%s", update->backend.ptr,
                 (unsigned long long)(now_ms - update->leaving_since_ms), source_name(source));
}

void
catalog_merge_notice(catalog_t *catalog, const notice_t *update, notice_source_t source)
{
    const uint64_t now_ms = loop_now(catalog->loop);
    const notice_change_t change = notices_merge(&catalog->notices, update);
    backend_t *backend = backends_find(&catalog->backends, name_str(&update->backend));
    if (backend != NULL)
        catalog_apply_notice(catalog, backend);
    log_change(update, change, source, now_ms);
    if (!change.limit && !change.leaving)
        return;
    if (source != NOTICE_FROM_ANSWER)
        notices_mark_sent(&catalog->notices, name_str(&update->backend));
    else if (catalog->on_notice != NULL)
        catalog->on_notice(catalog->ctx);
}

void
catalog_count_unusable_notice(backend_t *backend, unsigned count)
{
    counter_add(counter_get("irisstall_notices_unusable_total", NULL,
                            "Fields of answers in which backend servers tell of themselves, that "
                            "could not be used."),
                count);
    if (backend->logged_unusable)
        return;
    backend->logged_unusable = true;
    LOG_WARN("backend notice unusable: id=%s fields=%u", backend->info.id.ptr, count);
}
