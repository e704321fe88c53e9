#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/state/position.h"
#include "gateway/state/view.h"

/* Instances compare digests, so the seed must not change. */
enum { DIGEST_SEED = 31, ITEMS_START = 16 };

/* Records the removal of an object at revision `at`. */
static void
record_removal(view_t *view, str_t name, uint64_t at)
{
    view_removal_t *slot = &view->removals[view->removal_count % VIEW_REMOVALS_MAX];
    if (view->removal_count >= VIEW_REMOVALS_MAX)
        view->removals_from = slot->at;
    free(slot->name);
    *slot = (view_removal_t){.name = xmemdup0(name.ptr, name.len), .at = at};
    view->removal_count++;
}

/* The digest of a view is the sum over its items, so it can be updated incrementally. Instances of
 * earlier versions know no eras, so it holds revisions; digests of different eras don't compare. */
static uint64_t
item_digest(const view_item_t *item)
{
    return str_hash(str_from(item->name), DIGEST_SEED ^ position_revision(item->revision));
}

static void
free_item(view_item_t *item)
{
    free(item->name);
    free(item->body);
}

/* Index of the first item whose name is not below `name`. */
static size_t
lower_bound(const view_t *view, str_t name)
{
    size_t low = 0;
    size_t high = view->count;
    while (low < high) {
        const size_t mid = low + (high - low) / 2;
        if (str_compare(str_from(view->items[mid].name), name) < 0)
            low = mid + 1;
        else
            high = mid;
    }
    return low;
}

static bool
is_at(const view_t *view, size_t index, str_t name)
{
    return index < view->count && str_eq(str_from(view->items[index].name), name);
}

const view_item_t *
view_find(const view_t *view, str_t name)
{
    const size_t index = lower_bound(view, name);
    return is_at(view, index, name) ? &view->items[index] : NULL;
}

static void
remove_at(view_t *view, size_t index)
{
    view->digest -= item_digest(&view->items[index]);
    free_item(&view->items[index]);
    view->count--;
    memmove(&view->items[index], &view->items[index + 1],
            (view->count - index) * sizeof(*view->items));
}

static void
put_at(view_t *view, size_t index, const store_item_t *item)
{
    if (is_at(view, index, item->name))
        remove_at(view, index);
    if (view->count == view->size) {
        view->size = view->size > 0 ? view->size * 2 : ITEMS_START;
        view->items = xrealloc(view->items, view->size * sizeof(*view->items));
    }
    memmove(&view->items[index + 1], &view->items[index],
            (view->count - index) * sizeof(*view->items));
    view->items[index] = (view_item_t){
        .name = xmemdup0(item->name.ptr, item->name.len),
        .revision = item->revision,
        .body = xmemdup0(item->body.ptr, item->body.len),
        .body_len = item->body.len,
    };
    view->count++;
    view->digest += item_digest(&view->items[index]);
}

static bool
apply_item(view_t *view, const store_item_t *item, uint64_t at)
{
    const size_t index = lower_bound(view, item->name);
    const bool exists = is_at(view, index, item->name);
    if (item->gone) {
        if (!exists || view->items[index].revision > item->revision)
            return false;
        remove_at(view, index);
        record_removal(view, item->name, at);
        return true;
    }
    if (exists && view->items[index].revision >= item->revision)
        return false;
    put_at(view, index, item);
    return true;
}

/* Sorted names of the objects in a list. */
typedef struct {
    str_t *names;
    size_t count;
} name_list_t;

static int
compare_names(const void *left, const void *right)
{
    return str_compare(*(const str_t *)left, *(const str_t *)right);
}

static name_list_t
sort_names(const store_item_t *items, size_t count)
{
    name_list_t list = {.names = xcalloc(count + 1, sizeof(*list.names))};
    for (size_t i = 0; i < count; i++) {
        if (!items[i].gone)
            list.names[list.count++] = items[i].name;
    }
    qsort(list.names, list.count, sizeof(*list.names), compare_names);
    return list;
}

static bool
is_listed(const name_list_t *list, const char *name)
{
    const str_t wanted = str_from(name);
    return bsearch(&wanted, list->names, list->count, sizeof(*list->names), compare_names) != NULL;
}

view_result_t
view_replace(view_t *view, const store_item_t *items, size_t count, uint64_t at)
{
    if (view->known && at < view->at)
        return VIEW_UNCHANGED;
    bool changed = !view->known;
    const name_list_t list = sort_names(items, count);
    for (size_t i = view->count; i > 0; i--) {
        if (is_listed(&list, view->items[i - 1].name))
            continue;
        record_removal(view, str_from(view->items[i - 1].name), at);
        remove_at(view, i - 1);
        changed = true;
    }
    for (size_t i = 0; i < count; i++)
        changed |= !items[i].gone && apply_item(view, &items[i], at);
    if (!view->known)
        view->removals_from = at;
    view->at = at;
    view->known = true;
    free(list.names);
    return changed ? VIEW_CHANGED : VIEW_UNCHANGED;
}

view_result_t
view_apply(view_t *view, const store_item_t *items, size_t count, uint64_t from, uint64_t at)
{
    if (!view->known || view->at < from)
        return VIEW_GAP;
    if (at <= view->at)
        return VIEW_UNCHANGED;
    bool changed = false;
    for (size_t i = 0; i < count; i++)
        changed |= apply_item(view, &items[i], at);
    view->at = at;
    return changed ? VIEW_CHANGED : VIEW_UNCHANGED;
}

static void
move_to_era(uint64_t *position, uint64_t era)
{
    *position = position_make(era, position_revision(*position));
}

void
view_set_era(view_t *view, uint64_t era)
{
    if (!view->known)
        return;
    move_to_era(&view->at, era);
    move_to_era(&view->removals_from, era);
    for (size_t i = 0; i < view->count; i++)
        move_to_era(&view->items[i].revision, era);
    for (size_t i = 0; i < VIEW_REMOVALS_MAX; i++)
        move_to_era(&view->removals[i].at, era);
}

void
view_confirm(view_t *view, uint64_t digest, uint64_t at)
{
    if (view->known && view->digest == digest && at > view->at &&
        position_era(at) == position_era(view->at))
        view->at = at;
}

static store_item_t
store_item_from(const view_item_t *item)
{
    return (store_item_t){
        .name = str_from(item->name),
        .revision = item->revision,
        .body = {item->body, item->body_len},
    };
}

/* Removals after `have`, except those of objects that exist again. */
static size_t
removals_since(const view_t *view, uint64_t have, store_item_t *out)
{
    size_t count = 0;
    const uint64_t first =
        view->removal_count > VIEW_REMOVALS_MAX ? view->removal_count - VIEW_REMOVALS_MAX : 0;
    for (uint64_t i = first; i < view->removal_count; i++) {
        const view_removal_t *removal = &view->removals[i % VIEW_REMOVALS_MAX];
        const str_t name = str_from(removal->name);
        if (removal->at > have && view_find(view, name) == NULL)
            out[count++] = (store_item_t){.name = name, .revision = removal->at, .gone = true};
    }
    return count;
}

store_item_t *
view_since(const view_t *view, uint64_t have, size_t *count)
{
    if (!view->known || have < view->removals_from || position_era(have) != position_era(view->at))
        return NULL;
    store_item_t *items = xcalloc(view->count + VIEW_REMOVALS_MAX, sizeof(*items));
    *count = removals_since(view, have, items);
    for (size_t i = 0; i < view->count; i++) {
        if (view->items[i].revision > have)
            items[(*count)++] = store_item_from(&view->items[i]);
    }
    return items;
}

store_item_t *
view_all(const view_t *view)
{
    store_item_t *items = xcalloc(view->count + 1, sizeof(*items));
    for (size_t i = 0; i < view->count; i++)
        items[i] = store_item_from(&view->items[i]);
    return items;
}

void
view_free(view_t *view)
{
    for (size_t i = 0; i < VIEW_REMOVALS_MAX; i++)
        free(view->removals[i].name);
    for (size_t i = 0; i < view->count; i++)
        free_item(&view->items[i]);
    free(view->items);
    *view = (view_t){0};
}
