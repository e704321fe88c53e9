#define LOG_MODULE "sync"
#include "base/log.h"
#include "gateway/state/views.h"

void
views_changed(views_t *views, view_kind_t kind, const char *source)
{
    const view_t *view = &views->items[kind];
    LOG_INFO("view changed: kind=%d source=%s at=%llu objects=%zu", kind, source,
             (unsigned long long)view->at, view->count);
    views->on_change(views->ctx, kind);
}
