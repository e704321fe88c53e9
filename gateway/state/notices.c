#include "gateway/state/notices.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/search.h"
#include "base/xmalloc.h"
#include "gateway/state/backend.h"

enum {
    ITEMS_START = 16,
    /* Longer than a list may lack a running backend server: an outage of the store plus the age of
     * a fetched list. */
    RETENTION_MS = 300000,
};

/* Relative change above which a limit is sent again. A backend server may state another limit
 * in each response. */
#define RESEND_THRESHOLD 0.2

typedef struct {
    const notices_t *notices;
    str_t backend;
} search_t;

static bool
is_below(const void *ctx, size_t index)
{
    const search_t *search = ctx;
    return str_compare(name_str(&search->notices->items[index].backend), search->backend) < 0;
}

static size_t
lower_bound(const notices_t *notices, str_t backend)
{
    const search_t search = {notices, backend};
    return search_lower_bound(notices->count, is_below, &search);
}

static notice_t *
entry_at(const notices_t *notices, size_t index, str_t backend)
{
    const bool found = index < notices->count && name_eq(&notices->items[index].backend, backend);
    return found ? &notices->items[index] : NULL;
}

const notice_t *
notices_find(const notices_t *notices, str_t backend, uint64_t born)
{
    if (notices->count == 0)
        return NULL;
    const notice_t *notice = entry_at(notices, lower_bound(notices, backend), backend);
    return notice != NULL && backend_incarnation_order(notice->born, born) == 0 ? notice : NULL;
}

static notice_t *
insert(notices_t *notices, size_t index, const notice_t *update)
{
    if (notices->count == notices->size) {
        notices->size = notices->size > 0 ? notices->size * 2 : ITEMS_START;
        notices->items = xrealloc(notices->items, notices->size * sizeof(*notices->items));
    }
    xassert(notices->items != NULL);
    memmove(&notices->items[index + 1], &notices->items[index],
            (notices->count - index) * sizeof(*notices->items));
    notices->count++;
    notices->items[index] = (notice_t){.backend = update->backend, .born = update->born};
    return &notices->items[index];
}

/* Finds or creates the entry of that incarnation. NULL for an earlier incarnation, or if there is
 * nothing to store. */
static notice_t *
get_entry(notices_t *notices, const notice_t *update)
{
    const str_t backend = name_str(&update->backend);
    const size_t index = lower_bound(notices, backend);
    notice_t *notice = entry_at(notices, index, backend);
    const int order = notice != NULL ? backend_incarnation_order(update->born, notice->born) : 0;
    if (order < 0)
        return NULL;
    if (order > 0)
        *notice = (notice_t){.backend = update->backend, .born = update->born};
    if (notice != NULL)
        return notice;
    return update->limit.is_set || update->leaving ? insert(notices, index, update) : NULL;
}

static bool
is_significant(const backend_limit_t *before, const backend_limit_t *now)
{
    if (before->is_set != now->is_set)
        return true;
    return now->is_set && fabs(now->per_s - before->per_s) > RESEND_THRESHOLD * before->per_s;
}

static bool
merge_limit(notice_t *notice, const backend_limit_t *limit)
{
    if (limit->stated_ms == 0 || limit->stated_ms < notice->limit.stated_ms)
        return false;
    notice->limit = *limit;
    if (!is_significant(&notice->sent_limit, limit))
        return false;
    notice->sent_limit = *limit;
    notice->unsent = true;
    return true;
}

notice_change_t
notices_merge(notices_t *notices, const notice_t *update)
{
    notice_change_t change = {0};
    notice_t *notice = get_entry(notices, update);
    if (notice == NULL)
        return change;
    change.limit = merge_limit(notice, &update->limit);
    if (update->leaving && !notice->leaving) {
        notice->leaving = true;
        notice->leaving_since_ms = update->leaving_since_ms;
        notice->unsent = true;
        change.leaving = true;
    }
    return change;
}

void
notices_mark_sent(notices_t *notices, str_t backend)
{
    notice_t *notice = entry_at(notices, lower_bound(notices, backend), backend);
    if (notice != NULL)
        notice->unsent = false;
}

static uint64_t
last_stated_ms(const notice_t *notice)
{
    return notice->limit.stated_ms > notice->leaving_since_ms ? notice->limit.stated_ms
                                                              : notice->leaving_since_ms;
}

void
notices_expire(notices_t *notices, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < notices->count; i++) {
        if (now_ms - last_stated_ms(&notices->items[i]) < RETENTION_MS)
            notices->items[kept++] = notices->items[i];
    }
    notices->count = kept;
}

void
notices_free(notices_t *notices)
{
    free(notices->items);
    *notices = (notices_t){0};
}
