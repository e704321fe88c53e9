#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/views.h"

enum { DIGEST_SEED = 31, ITEMS_START = 16 };

/* The digest is a sum over the items, so that it changes with each of them alone. */
static uint64_t
item_digest(const view_item_t *item)
{
    return str_hash(str_from(item->name), DIGEST_SEED ^ item->revision);
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
        const char *at = view->items[mid].name;
        const size_t len = strlen(at);
        const int order = memcmp(at, name.ptr, len < name.len ? len : name.len);
        if (order < 0 || (order == 0 && len < name.len))
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
apply_item(view_t *view, const store_item_t *item)
{
    const size_t index = lower_bound(view, item->name);
    const bool there = is_at(view, index, item->name);
    if (item->gone) {
        if (!there || view->items[index].revision > item->revision)
            return false;
        remove_at(view, index);
        return true;
    }
    if (there && view->items[index].revision >= item->revision)
        return false;
    put_at(view, index, item);
    return true;
}

static bool
listed(const store_item_t *items, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (!items[i].gone && str_eq(items[i].name, str_from(name)))
            return true;
    }
    return false;
}

view_result_t
view_replace(view_t *view, const store_item_t *items, size_t count, uint64_t at)
{
    if (view->known && at < view->at)
        return VIEW_UNCHANGED;
    bool changed = !view->known;
    for (size_t i = view->count; i > 0; i--) {
        if (!listed(items, count, view->items[i - 1].name)) {
            remove_at(view, i - 1);
            changed = true;
        }
    }
    for (size_t i = 0; i < count; i++)
        changed |= !items[i].gone && apply_item(view, &items[i]);
    view->at = at;
    view->known = true;
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
        changed |= apply_item(view, &items[i]);
    view->at = at;
    return changed ? VIEW_CHANGED : VIEW_UNCHANGED;
}

void
view_confirm(view_t *view, uint64_t digest, uint64_t at)
{
    if (view->known && view->digest == digest && at > view->at)
        view->at = at;
}

void
view_free(view_t *view)
{
    for (size_t i = 0; i < view->count; i++)
        free_item(&view->items[i]);
    free(view->items);
    *view = (view_t){0};
}
