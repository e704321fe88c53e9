/*
 * The part of the catalog that keeps the list of backend servers.
 *
 * An entry is ordered by the pair of the life that it tells of (`born`) and the store's revision. A
 * newer life ends all that was learned of the one before: it is another backend_t, with connections
 * of its own. An entry that cannot be read names no backend server to use, also under the id of one
 * that is in use: what it said may have been that the server leaves, and a request that is sent
 * elsewhere costs the caller less than one that is sent to a server that has gone.
 */
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/state/catalog.h"

/* One change of the list, or one message of departures, while it is taken in. */
typedef struct {
    catalog_t *catalog;
    uint64_t now_ms;
    uint64_t at; /* the store's revision that the list leads up to; 0 for departures */
    removal_input_t removal;
    size_t lines; /* that could have been logged */
} change_t;

static bool
has_line(change_t *change)
{
    return change->lines++ < CATALOG_LINES_MAX;
}

static void
note_departure(change_t *change, const backend_t *backend, bool gone)
{
    if (change->at == 0)
        return; /* a peer has told it to all */
    const departure_t departure = {backend->info.id, change->at, gone, change->now_ms};
    departures_add(&change->catalog->fresh, &departure);
}

static void
log_entry(change_t *change, const backend_info_t *info, uint64_t revision, bool is_new)
{
    if (is_new && has_line(change))
        LOG_INFO("backend known: id=%s service=%s hall=%s capacity=%u cold_ms=%u leaving=%d",
                 info->id.ptr, info->service.ptr, info->hall.ptr, info->capacity, info->cold_ms,
                 info->leaving);
    else if (!is_new && has_line(change))
        LOG_INFO("backend leaving: id=%s revision=%llu", info->id.ptr,
                 (unsigned long long)revision);
}

static void
remove_after(change_t *change, backend_t *backend, removal_t removal)
{
    if (backend->remove_at_ms != 0)
        return;
    backend->remove_at_ms = change->now_ms + removal.grace_ms;
    note_departure(change, backend, true);
    if (has_line(change))
        LOG_INFO("backend not listed any more: id=%s grace_ms=%llu reason=%s since_return_ms=%lld "
                 "since_failure_ms=%lld",
                 backend->info.id.ptr, (unsigned long long)removal.grace_ms,
                 removal_reason_name(removal.reason),
                 (long long)change->removal.store.since_return_ms,
                 (long long)change->removal.store.since_failure_ms);
}

/* The backend is gone from the list. */
static void
schedule_removal(change_t *change, backend_t *backend)
{
    remove_after(change, backend, removal_decide(&change->removal));
}

/* ---- entries ---- */

static int
by_revision(const void *left, const void *right)
{
    const uint64_t a = *(const uint64_t *)left;
    const uint64_t b = *(const uint64_t *)right;
    return (a > b) - (a < b);
}

static bool
is_unusable(const catalog_t *catalog, uint64_t revision)
{
    return catalog->unusable_count > 0 &&
           bsearch(&revision, catalog->unusable, catalog->unusable_count, sizeof(revision),
                   by_revision) != NULL;
}

/* The entry names no backend server; one that had this id gets nothing new. */
static void
drop_entry(change_t *change, const view_item_t *item, const err_t *err)
{
    catalog_t *catalog = change->catalog;
    if (has_line(change))
        LOG_WARN("backend entry not usable: id=%s revision=%llu err=%s detail=%s", item->name,
                 (unsigned long long)item->revision, err_name(err->code), err->detail);
    catalog->unusable =
        xrealloc(catalog->unusable, (catalog->unusable_count + 1) * sizeof(*catalog->unusable));
    catalog->unusable[catalog->unusable_count++] = item->revision;
    qsort(catalog->unusable, catalog->unusable_count, sizeof(*catalog->unusable), by_revision);
    backend_t *backend = backends_find(&catalog->backends, str_from(item->name));
    if (backend != NULL)
        remove_after(change, backend, (removal_t){.reason = REMOVAL_UNUSABLE});
}

/* Takes the backend out whose life has ended; attempts under way keep theirs. */
static void
end_life(change_t *change, const backend_t *backend, const backend_info_t *info)
{
    if (has_line(change))
        LOG_INFO("backend restarted: id=%s born=%llu before=%llu", info->id.ptr,
                 (unsigned long long)info->born, (unsigned long long)backend->info.born);
    backends_remove(&change->catalog->backends, name_str(&info->id));
}

/* Adds the backend, or changes the one of that life. */
static void
put_entry(change_t *change, backend_info_t *info, uint64_t revision)
{
    catalog_t *catalog = change->catalog;
    const backend_t *known = backends_find(&catalog->backends, name_str(&info->id));
    const bool is_new = known == NULL;
    const bool was_leaving = !is_new && known->info.leaving;
    const bool was_cold = !is_new && backend_is_cold(known, change->now_ms);
    info->leaving |= departures_find(&catalog->departures, name_str(&info->id), revision) != NULL;
    backend_t *backend =
        backends_put(&catalog->backends, info, catalog->topology, catalog->loop, change->now_ms);
    backend->revision = revision;
    if (!was_cold)
        catalog_pace_cold(catalog, backend, change->now_ms);
    if (is_new) {
        catalog_bound_connections(catalog, backend);
        catalog_apply_notice(catalog, backend);
    }
    if (info->leaving && !was_leaving)
        note_departure(change, backend, false);
    if (is_new || (info->leaving && !was_leaving))
        log_entry(change, info, revision, is_new);
}

/* Applies a new or changed entry. */
static void
apply_entry(change_t *change, const view_item_t *item)
{
    catalog_t *catalog = change->catalog;
    const str_t id = str_from(item->name);
    backend_info_t info;
    err_t err = {0};
    if (!catalog->decoder->backend(id, (str_t){item->body, item->body_len}, &info, &err)) {
        drop_entry(change, item, &err);
        return;
    }
    backend_t *known = backends_find(&catalog->backends, id);
    if (known != NULL && backend_life_order(info.born, known->info.born) < 0) {
        known->revision = item->revision; /* news of an earlier life changes nothing */
        return;
    }
    if (known != NULL && backend_life_order(info.born, known->info.born) > 0)
        end_life(change, known, &info);
    put_entry(change, &info, item->revision);
}

/* ---- the list ---- */

static bool
is_gone(const catalog_t *catalog, const view_item_t *item)
{
    const departure_t *departure =
        departures_find(&catalog->departures, str_from(item->name), item->revision);
    return departure != NULL && departure->gone;
}

/* Forgets the unusable entries that are not in the view any more. */
static void
keep_unusable(catalog_t *catalog, const view_t *view)
{
    if (catalog->unusable_count == 0)
        return;
    size_t kept = 0;
    for (size_t i = 0; i < view->count; i++) {
        if (is_unusable(catalog, view->items[i].revision))
            kept++;
    }
    uint64_t *revisions = xcalloc(kept + 1, sizeof(*revisions));
    kept = 0;
    for (size_t i = 0; i < view->count; i++) {
        if (is_unusable(catalog, view->items[i].revision))
            revisions[kept++] = view->items[i].revision;
    }
    qsort(revisions, kept, sizeof(*revisions), by_revision);
    free(catalog->unusable);
    catalog->unusable = revisions;
    catalog->unusable_count = kept;
}

/* Walks the view and the backends side by side, both sorted by id: schedules the removal of
 * backends that are gone, and fills `changed` with the indexes in the view of entries that are new
 * or changed; returns their number. */
static size_t
compare_backends(change_t *change, const view_t *view, size_t *changed)
{
    const catalog_t *catalog = change->catalog;
    const backends_t *backends = &catalog->backends;
    size_t count = 0;
    size_t at = 0;
    for (size_t i = 0; i < view->count; i++) {
        const view_item_t *item = &view->items[i];
        const str_t id = str_from(item->name);
        while (at < backends->count && str_compare(name_str(&backends->items[at]->info.id), id) < 0)
            schedule_removal(change, backends->items[at++]);
        const bool known = at < backends->count && name_eq(&backends->items[at]->info.id, id);
        backend_t *backend = known ? backends->items[at++] : NULL;
        if (is_unusable(catalog, item->revision))
            continue;
        if (is_gone(catalog, item)) {
            if (backend != NULL)
                schedule_removal(change, backend);
        } else if (backend != NULL && backend->revision == item->revision) {
            backend->remove_at_ms = 0;
        } else {
            changed[count++] = i;
        }
    }
    while (at < backends->count)
        schedule_removal(change, backends->items[at++]);
    return count;
}

void
catalog_apply_backends(catalog_t *catalog, const view_t *view, removal_store_t store)
{
    change_t change = {
        .catalog = catalog,
        .now_ms = loop_now(catalog->loop),
        .at = view->at,
        .removal = {.store = store, .listed = view->count, .known = catalog->backends.count},
    };
    catalog->fresh.count = 0;
    keep_unusable(catalog, view);
    size_t *changed = xcalloc(view->count + 1, sizeof(*changed));
    const size_t count = compare_backends(&change, view, changed);
    for (size_t i = 0; i < count; i++)
        apply_entry(&change, &view->items[changed[i]]);
    free(changed);
    backends_remove_due(&catalog->backends, change.now_ms);
    catalog->backends_known = true;
    catalog_log_unsaid("list of backends", change.lines);
}

/* ---- departures ---- */

static void
apply_departure(change_t *change, const departure_t *departure)
{
    catalog_t *catalog = change->catalog;
    if (!departures_add(&catalog->departures, departure))
        return;
    backend_t *backend = backends_find(&catalog->backends, name_str(&departure->backend));
    if (backend == NULL || backend->revision >= departure->revision)
        return;
    if (departure->gone) {
        schedule_removal(change, backend);
    } else if (!backend->info.leaving) {
        backend->info.leaving = true;
        log_entry(change, &backend->info, departure->revision, false);
    }
}

void
catalog_apply_departures(catalog_t *catalog, const departure_t *items, size_t count,
                         removal_store_t store)
{
    const size_t known = catalog->backends.count;
    change_t change = {
        .catalog = catalog,
        .now_ms = loop_now(catalog->loop),
        .removal = {.store = store, .listed = known > count ? known - count : 0, .known = known},
    };
    for (size_t i = 0; i < count; i++)
        apply_departure(&change, &items[i]);
    backends_remove_due(&catalog->backends, change.now_ms);
    catalog_log_unsaid("departures", change.lines);
}
