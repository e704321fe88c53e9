#include "gateway/state/notices.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/search.h"
#include "base/xmalloc.h"
#include "gateway/state/backend.h"

enum {
    ITEMS_START = 16,
    /* Above the time for which a list may lack a backend server that is there: an outage of the
     * store, and a list that is as old as the call for it. */
    KEPT_MS = 300000,
};

/* Of a limit: what differs by more is news. A backend server may name another one in each answer.
 */
#define NEWS_SHARE 0.2

/* What is looked for among them. */
typedef struct {
    const notices_t *notices;
    str_t backend;
} wanted_t;

static bool
is_below(const void *ctx, size_t index)
{
    const wanted_t *wanted = ctx;
    return str_compare(name_str(&wanted->notices->items[index].backend), wanted->backend) < 0;
}

static size_t
lower_bound(const notices_t *notices, str_t backend)
{
    const wanted_t wanted = {notices, backend};
    return search_lower_bound(notices->count, is_below, &wanted);
}

static notice_t *
at(const notices_t *notices, size_t index, str_t backend)
{
    const bool there = index < notices->count && name_eq(&notices->items[index].backend, backend);
    return there ? &notices->items[index] : NULL;
}

const notice_t *
notices_find(const notices_t *notices, str_t backend, uint64_t born)
{
    if (notices->count == 0)
        return NULL;
    const notice_t *notice = at(notices, lower_bound(notices, backend), backend);
    return notice != NULL && backend_life_order(notice->born, born) == 0 ? notice : NULL;
}

static notice_t *
insert(notices_t *notices, size_t index, const notice_t *news)
{
    if (notices->count == notices->size) {
        notices->size = notices->size > 0 ? notices->size * 2 : ITEMS_START;
        notices->items = xrealloc(notices->items, notices->size * sizeof(*notices->items));
    }
    xassert(notices->items != NULL);
    memmove(&notices->items[index + 1], &notices->items[index],
            (notices->count - index) * sizeof(*notices->items));
    notices->count++;
    notices->items[index] = (notice_t){.backend = news->backend, .born = news->born};
    return &notices->items[index];
}

/* The entry of that life, made if it is new and there is something to keep; NULL for an earlier
 * life. */
static notice_t *
entry_of(notices_t *notices, const notice_t *news)
{
    const str_t backend = name_str(&news->backend);
    const size_t index = lower_bound(notices, backend);
    notice_t *notice = at(notices, index, backend);
    const int order = notice != NULL ? backend_life_order(news->born, notice->born) : 0;
    if (order < 0)
        return NULL;
    if (order > 0)
        *notice = (notice_t){.backend = news->backend, .born = news->born};
    if (notice != NULL)
        return notice;
    return news->limit.named || news->leaves ? insert(notices, index, news) : NULL;
}

static bool
is_news(const backend_limit_t *before, const backend_limit_t *now)
{
    if (before->named != now->named)
        return true;
    return now->named && fabs(now->per_s - before->per_s) > NEWS_SHARE * before->per_s;
}

static bool
take_limit(notice_t *notice, const backend_limit_t *limit)
{
    if (limit->said_ms == 0 || limit->said_ms < notice->limit.said_ms)
        return false;
    notice->limit = *limit;
    if (!is_news(&notice->announced, limit))
        return false;
    notice->announced = *limit;
    notice->untold = true;
    return true;
}

notice_change_t
notices_take(notices_t *notices, const notice_t *news)
{
    notice_change_t change = {0};
    notice_t *notice = entry_of(notices, news);
    if (notice == NULL)
        return change;
    change.limit = take_limit(notice, &news->limit);
    if (news->leaves && !notice->leaves) {
        notice->leaves = true;
        notice->leaves_ms = news->leaves_ms;
        notice->untold = true;
        change.leaves = true;
    }
    return change;
}

void
notices_mark_told(notices_t *notices, str_t backend)
{
    notice_t *notice = at(notices, lower_bound(notices, backend), backend);
    if (notice != NULL)
        notice->untold = false;
}

static uint64_t
said_last_ms(const notice_t *notice)
{
    return notice->limit.said_ms > notice->leaves_ms ? notice->limit.said_ms : notice->leaves_ms;
}

void
notices_expire(notices_t *notices, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < notices->count; i++) {
        if (now_ms - said_last_ms(&notices->items[i]) < KEPT_MS)
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
