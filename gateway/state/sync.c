#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "sync"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/state/relay.h"

enum {
    WATCH_WAIT_MS = 3000,
    WATCH_WAIT_FAILING_MS = 20, /* asks for an answer now: is the store back? */
    RETRY_MIN_MS = 200,
    RETRY_MAX_MS = 1000,
    DOWN_REMEMBERED_MS = 5000, /* how long a whole outage of the store is remembered */
    FAILURES_FAILING = 2,      /* in a row, after which the store fails this instance */
    NEEDED_MS = 3000,          /* an instance that had to follow goes on for this time */
    START_ALONE_MS = 250,      /* time that peers have to bring the views at start */
};

void
sync_init(sync_t *sync, uv_loop_t *loop, const store_port_t *store, members_t *members,
          str_t instance, size_t region, const sync_cbs_t *cbs)
{
    *sync = (sync_t){
        .loop = loop,
        .store = store,
        .members = members,
        .region = region,
        .cbs = *cbs,
        .started_ms = uv_now(loop),
    };
    name_set(&sync->instance, instance);
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++)
        sync->followers[kind] = (follower_t){.sync = sync, .kind = kind, .must_list = true};
}

void
sync_stop(sync_t *sync)
{
    sync->stopped = true;
}

void
sync_view_changed(sync_t *sync, view_kind_t kind, const char *source)
{
    const view_t *view = &sync->views[kind];
    LOG_INFO("view changed: kind=%d source=%s at=%llu objects=%zu", kind, source,
             (unsigned long long)view->at, view->count);
    sync->followers[kind].behind_since_ms = 0;
    sync->cbs.on_view(sync->cbs.ctx, kind);
}

static bool
should_follow(sync_t *sync)
{
    const uint64_t now = uv_now(sync->loop);
    if (sync->stopped)
        return false;
    const size_t rank =
        members_rank_in_region(sync->members, name_str(&sync->instance), sync->region, now);
    if (rank < MEMBERS_FOLLOWERS && now - sync->started_ms >= START_ALONE_MS)
        return true;
    if (now - sync->started_ms < 2 * START_ALONE_MS)
        return false;
    const uint32_t age_max = members_store_age_max_ms(sync->members, sync->region, now);
    if (!members_follow_store(sync->members, age_max, now))
        sync->needed_until_ms = now + NEEDED_MS;
    return now < sync->needed_until_ms;
}

static void
store_answered(follower_t *follower)
{
    sync_t *sync = follower->sync;
    follower->answered_ms = uv_now(sync->loop);
    if (sync->store_failures > 0)
        LOG_INFO("store regained: failures=%u", sync->store_failures);
    sync->store_failures = 0;
}

/* Only if it fails everybody is it down, and may lose entries. */
static void
note_outage(sync_t *sync)
{
    const uint64_t now = uv_now(sync->loop);
    if (sync_store_failing(sync) &&
        members_store_fails_all(sync->members, name_str(&sync->instance), now))
        sync->down_until_ms = now + DOWN_REMEMBERED_MS;
}

static void
store_failed(follower_t *follower, const store_answer_t *answer)
{
    sync_t *sync = follower->sync;
    const uint64_t now = uv_now(sync->loop);
    if (sync->store_failures++ == 0)
        LOG_WARN("store lost: kind=%d outcome=%d detail=\"%s\"", follower->kind, answer->outcome,
                 answer->err.detail);
    note_outage(sync);
    uint64_t pause = (uint64_t)RETRY_MIN_MS * sync->store_failures;
    follower->retry_at_ms = now + (pause < RETRY_MAX_MS ? pause : RETRY_MAX_MS);
}

static void
free_pages(follower_t *follower)
{
    for (size_t i = 0; i < follower->page_count; i++) {
        free((char *)(uintptr_t)follower->pages[i].name.ptr);
        free((char *)(uintptr_t)follower->pages[i].body.ptr);
    }
    free(follower->pages);
    follower->pages = NULL;
    follower->page_count = 0;
}

static void
keep_page(follower_t *follower, const store_answer_t *answer)
{
    const size_t total = follower->page_count + answer->item_count;
    follower->pages = xrealloc(follower->pages, (total + 1) * sizeof(*follower->pages));
    for (size_t i = 0; i < answer->item_count; i++) {
        const store_item_t *item = &answer->items[i];
        follower->pages[follower->page_count++] = (store_item_t){
            .name = {xmemdup0(item->name.ptr, item->name.len), item->name.len},
            .revision = item->revision,
            .body = {xmemdup0(item->body.ptr, item->body.len), item->body.len},
        };
    }
}

static void
on_list(void *ctx, const store_answer_t *answer)
{
    follower_t *follower = ctx;
    sync_t *sync = follower->sync;
    follower->state = FOLLOW_IDLE;
    if (answer->outcome != STORE_OK) {
        store_failed(follower, answer);
        free_pages(follower);
        return;
    }
    store_answered(follower);
    if (follower->page_count == 0)
        follower->list_at = answer->at;
    keep_page(follower, answer);
    if (answer->more && answer->item_count > 0) {
        follower->state = FOLLOW_LISTING;
        sync->store->list(sync->store->ctx, follower->kind,
                          follower->pages[follower->page_count - 1].name, on_list, follower);
        return;
    }
    const view_result_t result = view_replace(&sync->views[follower->kind], follower->pages,
                                              follower->page_count, follower->list_at);
    free_pages(follower);
    follower->must_list = false;
    follower->must_read = false;
    if (result == VIEW_CHANGED)
        sync_view_changed(sync, follower->kind, "list");
    sync_tick(sync);
}

static void
on_watch(void *ctx, const store_answer_t *answer)
{
    follower_t *follower = ctx;
    sync_t *sync = follower->sync;
    follower->state = FOLLOW_IDLE;
    if (answer->outcome == STORE_HISTORY_GONE) {
        LOG_INFO("store forgot its history: kind=%d from=%llu", follower->kind,
                 (unsigned long long)follower->asked_from);
        follower->must_list = true;
        store_answered(follower);
        sync_tick(sync);
        return;
    }
    if (answer->outcome != STORE_OK) {
        store_failed(follower, answer);
        return;
    }
    store_answered(follower);
    const uint64_t base_digest = sync->views[follower->kind].digest;
    const view_result_t result = view_apply(&sync->views[follower->kind], answer->items,
                                            answer->item_count, follower->asked_from, answer->at);
    if (result == VIEW_CHANGED) {
        relay_changes(sync, follower->kind, answer->items, answer->item_count, follower->asked_from,
                      answer->at, base_digest);
        sync_view_changed(sync, follower->kind, "watch");
    }
    /* The next watch starts at the next tick, so that changes in quick succession come together. */
}

static void
follow(follower_t *follower)
{
    sync_t *sync = follower->sync;
    if (follower->must_list || follower->must_read || !sync->views[follower->kind].known) {
        follower->state = FOLLOW_LISTING;
        sync->store->list(sync->store->ctx, follower->kind, STR(""), on_list, follower);
        return;
    }
    follower->state = FOLLOW_WATCHING;
    follower->asked_from = sync->views[follower->kind].at;
    const uint32_t wait = sync->store_failures > 0 ? WATCH_WAIT_FAILING_MS : WATCH_WAIT_MS;
    sync->store->watch(sync->store->ctx, follower->kind, follower->asked_from, wait, on_watch,
                       follower);
}

void
sync_tick(sync_t *sync)
{
    const uint64_t now = uv_now(sync->loop);
    const bool following = should_follow(sync);
    if (following != sync->following)
        LOG_INFO("%s the store", following ? "following" : "no longer following");
    sync->following = following;
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++) {
        follower_t *follower = &sync->followers[kind];
        /* A started instance reads each view once, whoever follows. */
        const bool once = follower->must_read || !sync->views[kind].known;
        const bool wanted = following || (once && !sync->stopped);
        if (wanted && follower->state == FOLLOW_IDLE && now >= follower->retry_at_ms)
            follow(follower);
        if (sync->store_failures > 0)
            break; /* one call at a time tells when the store is back */
    }
}

uint32_t
sync_store_age(const sync_t *sync)
{
    if (!sync->following || sync->stopped)
        return STORE_AGE_NONE;
    const uint64_t now = uv_now(sync->loop);
    uint64_t age = 0;
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++) {
        const follower_t *follower = &sync->followers[kind];
        if (follower->answered_ms == 0)
            return STORE_AGE_NONE;
        if (now - follower->answered_ms > age)
            age = now - follower->answered_ms;
    }
    return age < STORE_AGE_NONE ? (uint32_t)age : STORE_AGE_NONE - 1;
}

bool
sync_store_failing(const sync_t *sync)
{
    return sync->store_failures >= FAILURES_FAILING;
}

bool
sync_store_was_down(const sync_t *sync)
{
    return uv_now(sync->loop) < sync->down_until_ms;
}
