#define LOG_MODULE "sync"
#include "base/log.h"
#include "gateway/state/position.h"
#include "gateway/state/views.h"

void
views_changed(views_t *views, view_kind_t kind, const char *source, uint64_t age_ms,
              uint64_t now_ms)
{
    const view_t *view = &views->items[kind];
    view_age_reached(&views->ages[kind], view->at, age_ms, now_ms);
    LOG_INFO("view changed: kind=%d source=%s at=%llu objects=%zu age_ms=%llu", kind, source,
             (unsigned long long)position_revision(view->at), view->count,
             (unsigned long long)age_ms);
    views->on_change(views->ctx, kind);
}

void
views_learn_era(views_t *views, uint64_t era)
{
    const bool was_known = views->history.era > 0;
    if (store_history_learn(&views->history, era)) {
        views->on_return(views->ctx);
        return;
    }
    for (size_t kind = 0; !was_known && era > 0 && kind < views->count; kind++)
        view_set_era(&views->items[kind], era);
}
