#define LOG_MODULE "sync"
#include "base/log.h"
#include "gateway/state/views.h"

void
views_changed(views_t *views, view_kind_t kind, const char *source, uint64_t age_ms,
              uint64_t now_ms)
{
    const view_t *view = &views->items[kind];
    view_age_reached(&views->ages[kind], view->at, age_ms, now_ms);
    LOG_INFO("view changed: kind=%d source=%s at=%llu objects=%zu age_ms=%llu", kind, source,
             (unsigned long long)view->at, view->count, (unsigned long long)age_ms);
    views->on_change(views->ctx, kind);
}
