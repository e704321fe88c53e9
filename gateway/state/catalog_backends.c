/*
 * Catalog: the list of backend servers.
 *
 * Entries are ordered by incarnation (`born`), then by the store's revision. A newer incarnation is
 * a new backend_t with its own connections, and nothing learned of the previous one is kept. An
 * entry that cannot be read makes the backend under its id unusable: the entry may have announced a
 * shutdown, and sending requests elsewhere costs the caller less than sending them to a server that
 * has gone.
 */
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/state/catalog.h"
#include "gateway/state/position.h"

/* State while applying one change of the list or one message of departures. */
typedef struct {
    catalog_t *catalog;
    uint64_t now_ms;
    uint64_t list_revision; /* store revision of the list; 0 for departures */
    removal_input_t removal;
    size_t lines; /* counted without regard to the maximum */
} change_t;

static bool
may_log(change_t *change)
{
    return change->lines++ < CATALOG_LOG_LINES_MAX;
}

static void
record_departure(change_t *change, const backend_t *backend, bool gone)
{
    if (change->list_revision == 0)
        return; /* a peer has announced it to all instances */
    const departure_t departure = {backend->info.id, change->list_revision, gone, change->now_ms};
    departures_add(&change->catalog->departures, &departure);
    departures_add(&change->catalog->new_departures, &departure);
}

static void
log_backend(change_t *change, const backend_info_t *info, uint64_t revision, bool is_new)
{
    if (is_new && may_log(change))
        LOG_INFO("backend added: id=%s service=%s hall=%s capacity=%u cold_ms=%u leaving=%d",
                 info->id.ptr, info->service.ptr, info->hall.ptr, info->capacity, info->cold_ms,
                 info->leaving);
    else if (!is_new && may_log(change))
        LOG_INFO("backend leaving: id=%s revision=%llu", info->id.ptr,
                 (unsigned long long)position_revision(revision));
}

static void
remove_with_grace(change_t *change, backend_t *backend, removal_t removal)
{
    if (backend->remove_at_ms != 0)
        return;
    backend->remove_at_ms = change->now_ms + removal.grace_ms;
    record_departure(change, backend, true);
    if (may_log(change))
        LOG_INFO("backend no longer listed: id=%s grace_ms=%llu reason=%s since_return_ms=%lld "
                 "since_failure_ms=%lld",
                 backend->info.id.ptr, (unsigned long long)removal.grace_ms,
                 removal_reason_name(removal.reason),
                 (long long)change->removal.store.since_return_ms,
                 (long long)change->removal.store.since_failure_ms);
}

/* The backend is missing from the list. */
static void
schedule_removal(change_t *change, backend_t *backend)
{
    remove_with_grace(change, backend, removal_decide(&change->removal));
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

/* The entry cannot be read. A backend with its id gets no new requests. */
static void
reject_entry(change_t *change, const view_item_t *item, const err_t *err)
{
    catalog_t *catalog = change->catalog;
    if (may_log(change))
        LOG_WARN("backend entry unusable: id=%.*s revision=%llu err=%s detail=%s",
                 LOG_STR(str_from(item->name)),
                 (unsigned long long)position_revision(item->revision), err_name(err->code),
                 err->detail);
    catalog->unusable =
        xrealloc(catalog->unusable, (catalog->unusable_count + 1) * sizeof(*catalog->unusable));
    catalog->unusable[catalog->unusable_count++] = item->revision;
    qsort(catalog->unusable, catalog->unusable_count, sizeof(*catalog->unusable), by_revision);
    backend_t *backend = backends_find(&catalog->backends, str_from(item->name));
    if (backend != NULL)
        remove_with_grace(change, backend, (removal_t){.reason = REMOVAL_UNUSABLE});
}

/* Removes the backend of an earlier incarnation. Attempts in progress keep their references. */
static void
remove_previous_incarnation(change_t *change, const backend_t *backend, const backend_info_t *info)
{
    if (may_log(change))
        LOG_INFO("backend restarted: id=%s born=%llu before=%llu", info->id.ptr,
                 (unsigned long long)info->born, (unsigned long long)backend->info.born);
    backends_remove(&change->catalog->backends, name_str(&info->id));
}

/* Adds the backend, or updates the one of the same incarnation. */
static void
put_entry(change_t *change, backend_info_t *info, uint64_t revision)
{
    catalog_t *catalog = change->catalog;
    const backend_t *known = backends_find(&catalog->backends, name_str(&info->id));
    const bool is_new = known == NULL;
    const bool was_leaving = !is_new && known->info.leaving;
    const bool was_cold = !is_new && backend_is_cold(known, change->now_ms);
    const uint64_t left_at = is_new ? 0 : known->left_at;
    info->leaving |= left_at > 0 && position_era(left_at) < position_era(revision);
    info->leaving |= departures_find(&catalog->departures, name_str(&info->id), revision) != NULL;
    backend_t *backend =
        backends_put(&catalog->backends, info, catalog->topology, catalog->loop, change->now_ms);
    backend->revision = revision;
    if (!info->leaving)
        backend->left_at = 0;
    else if (left_at == 0)
        backend->left_at = revision;
    if (!was_cold)
        catalog_pace_cold(catalog, backend, change->now_ms);
    if (is_new) {
        catalog_limit_connections(catalog, backend);
        catalog_apply_notice(catalog, backend);
    }
    if (info->leaving && !was_leaving)
        record_departure(change, backend, false);
    if (is_new || (info->leaving && !was_leaving))
        log_backend(change, info, revision, is_new);
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
        reject_entry(change, item, &err);
        return;
    }
    backend_t *known = backends_find(&catalog->backends, id);
    if (known != NULL && backend_incarnation_order(info.born, known->info.born) < 0) {
        known->revision = item->revision; /* an earlier incarnation; ignored */
        return;
    }
    if (known != NULL && backend_incarnation_order(info.born, known->info.born) > 0)
        remove_previous_incarnation(change, known, &info);
    put_entry(change, &info, item->revision);
}

/* ---- list ---- */

static bool
is_gone(const catalog_t *catalog, const view_item_t *item)
{
    const departure_t *departure = departures_find(&catalog->departures, str_from(item->name), 0);
    if (departure == NULL || !departure->gone)
        return false;
    const bool before_return = position_era(departure->revision) < position_era(item->revision);
    return departure->revision > item->revision ||
           (before_return && loop_now(catalog->loop) < catalog->held_until_ms);
}

/* Drops unusable revisions that are no longer in the view. */
static void
prune_unusable(catalog_t *catalog, const view_t *view)
{
    if (catalog->unusable_count == 0)
        return;
    size_t count = 0;
    for (size_t i = 0; i < view->count; i++) {
        if (is_unusable(catalog, view->items[i].revision))
            count++;
    }
    uint64_t *revisions = xcalloc(count + 1, sizeof(*revisions));
    count = 0;
    for (size_t i = 0; i < view->count; i++) {
        if (is_unusable(catalog, view->items[i].revision))
            revisions[count++] = view->items[i].revision;
    }
    qsort(revisions, count, sizeof(*revisions), by_revision);
    free(catalog->unusable);
    catalog->unusable = revisions;
    catalog->unusable_count = count;
}

/* Merges the view with the list of backends, both sorted by id. Schedules the removal of missing
 * backends and fills `changed` with the indexes of new or changed entries in the view; returns
 * their number. */
static size_t
diff_backends(change_t *change, const view_t *view, size_t *changed)
{
    const catalog_t *catalog = change->catalog;
    const backends_t *backends = &catalog->backends;
    size_t count = 0;
    size_t pos = 0;
    for (size_t i = 0; i < view->count; i++) {
        const view_item_t *item = &view->items[i];
        const str_t id = str_from(item->name);
        while (pos < backends->count &&
               str_compare(name_str(&backends->items[pos]->info.id), id) < 0)
            schedule_removal(change, backends->items[pos++]);
        const bool known = pos < backends->count && name_eq(&backends->items[pos]->info.id, id);
        backend_t *backend = known ? backends->items[pos++] : NULL;
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
    while (pos < backends->count)
        schedule_removal(change, backends->items[pos++]);
    return count;
}

void
catalog_apply_backends(catalog_t *catalog, const view_t *view, removal_store_t store)
{
    change_t change = {
        .catalog = catalog,
        .now_ms = loop_now(catalog->loop),
        .list_revision = view->at,
        .removal = {.store = store, .listed = view->count, .known = catalog->backends.count},
    };
    catalog->new_departures.count = 0;
    prune_unusable(catalog, view);
    size_t *changed = xcalloc(view->count + 1, sizeof(*changed));
    const size_t count = diff_backends(&change, view, changed);
    for (size_t i = 0; i < count; i++)
        apply_entry(&change, &view->items[changed[i]]);
    free(changed);
    backends_remove_due(&catalog->backends, change.now_ms);
    catalog->backends_known = true;
    catalog_log_suppressed("list of backends", change.lines);
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
        backend->left_at = departure->revision;
        log_backend(change, &backend->info, departure->revision, false);
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
    catalog_log_suppressed("departures", change.lines);
}
