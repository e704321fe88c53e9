#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "sync"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/sync.h"

enum {
    WATCH_WAIT_MS = 3000,
    WATCH_WAIT_FAILING_MS = 20, /* asks for an answer now: is the store back? */
    RETRY_MIN_MS = 200,
    RETRY_MAX_MS = 1000,
    DOWN_REMEMBERED_MS = 5000,    /* how long a whole outage of the store is remembered */
    FAILURES_FAILING = 2,         /* in a row, after which the store fails this instance */
    NEEDED_MS = 3000,             /* an instance that had to follow goes on for this time */
    PEER_STORE_AGE_MAX_MS = 3900, /* a peer with an older answer is not relied on */
    REQUEST_EVERY_MS = 600,
    BEHIND_MS = 450,       /* a view that stays older than a peer's for this time is asked for */
    START_PEERS_MS = 700,  /* time that the store has to give the views at start */
    START_ALONE_MS = 250,  /* time that peers have to bring the views at start */
    RELAY_FAR_MAX = 60000, /* bytes of a view's changes that are sent to other regions */
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

/* ---- peers ---- */

static Iris__ViewItem *
pack_items(const store_item_t *items, size_t count, Iris__ViewItem ***list)
{
    Iris__ViewItem *packed = xcalloc(count + 1, sizeof(*packed));
    *list = xcalloc(count + 1, sizeof(**list));
    for (size_t i = 0; i < count; i++) {
        iris__view_item__init(&packed[i]);
        packed[i].name = xmemdup0(items[i].name.ptr, items[i].name.len);
        packed[i].revision = items[i].revision;
        packed[i].gone = items[i].gone;
        packed[i].body.data = (uint8_t *)(uintptr_t)items[i].body.ptr;
        packed[i].body.len = items[i].gone ? 0 : items[i].body.len;
        (*list)[i] = &packed[i];
    }
    return packed;
}

static void
free_items(Iris__ViewItem *packed, Iris__ViewItem **list, size_t count)
{
    for (size_t i = 0; i < count; i++)
        free(packed[i].name);
    free(packed);
    free(list);
}

static void
send_changes(sync_t *sync, view_kind_t kind, const store_item_t *items, size_t count, uint64_t from,
             uint64_t at, uint64_t base_digest)
{
    size_t bytes = 0;
    for (size_t i = 0; i < count; i++)
        bytes += items[i].body.len;
    /* Large changes go to the own region; the others have followers of their own. */
    const bool far_too = sync->members->count <= MEMBERS_MESH && bytes <= RELAY_FAR_MAX;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewUpdate update = IRIS__VIEW_UPDATE__INIT;
    Iris__ViewItem *packed = pack_items(items, count, &update.items);
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
    envelope.view_update = &update;
    update.kind = kind;
    update.from = from;
    update.at = at;
    update.base_digest = base_digest;
    update.n_items = count;
    const uint64_t now = uv_now(sync->loop);
    for (size_t i = 0; i < sync->members->count; i++) {
        const member_t *member = &sync->members->items[i];
        const bool wanted = far_too || member->region == sync->region;
        if (wanted && member_alive(member, now) &&
            !name_eq(&member->instance, name_str(&sync->instance)))
            peer_send(sync->hub, &member->peer, &envelope);
    }
    free_items(packed, update.items, count);
}

static void
reply_view(peer_conn_t *conn, Iris__ViewUpdate *update, const store_item_t *items, size_t count)
{
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewItem *packed = pack_items(items, count, &update->items);
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
    envelope.view_update = update;
    update->n_items = count;
    peer_reply(conn, &envelope);
    free_items(packed, update->items, count);
}

static void
reply_whole(peer_conn_t *conn, const view_t *view, Iris__ViewUpdate *update)
{
    store_item_t *items = xcalloc(view->count + 1, sizeof(*items));
    for (size_t i = 0; i < view->count; i++) {
        items[i] = (store_item_t){
            .name = str_from(view->items[i].name),
            .revision = view->items[i].revision,
            .body = {view->items[i].body, view->items[i].body_len},
        };
    }
    update->whole = true;
    reply_view(conn, update, items, view->count);
    free(items);
}

void
sync_on_request(sync_t *sync, peer_conn_t *conn, const Iris__ViewRequest *request)
{
    store_item_t changes[VIEW_CHANGES];
    size_t count;
    if (request->kind >= VIEW_WATCHED || !sync->views[request->kind].known)
        return;
    const view_t *view = &sync->views[request->kind];
    Iris__ViewUpdate update = IRIS__VIEW_UPDATE__INIT;
    update.kind = request->kind;
    update.at = view->at;
    if (request->have > 0 && view_since(view, request->have, changes, &count)) {
        update.from = request->have;
        update.base_digest = request->digest;
        reply_view(conn, &update, changes, count);
        return;
    }
    reply_whole(conn, view, &update);
}

static void
request_view(sync_t *sync, view_kind_t kind, const addr_t *peer)
{
    follower_t *follower = &sync->followers[kind];
    const uint64_t now = uv_now(sync->loop);
    if (now - follower->requested_ms < REQUEST_EVERY_MS)
        return;
    follower->requested_ms = now;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewRequest request = IRIS__VIEW_REQUEST__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_REQUEST;
    envelope.view_request = &request;
    request.kind = kind;
    request.have = sync->views[kind].known ? sync->views[kind].at : 0;
    request.digest = sync->views[kind].digest;
    peer_send(sync->hub, peer, &envelope);
}

/* True if it is time to ask a peer: what is on its way, or comes from the store, is waited for. */
static bool
must_ask(sync_t *sync, view_kind_t kind)
{
    const uint64_t now = uv_now(sync->loop);
    follower_t *follower = &sync->followers[kind];
    if (!sync->views[kind].known)
        return now - sync->started_ms >= START_PEERS_MS;
    if (follower->behind_since_ms == 0)
        follower->behind_since_ms = now;
    return now - follower->behind_since_ms >= BEHIND_MS;
}

void
sync_compare(sync_t *sync, const member_t *member)
{
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++) {
        const member_view_t *theirs = &member->views[kind];
        view_t *ours = &sync->views[kind];
        if (!theirs->known)
            continue;
        /* Peers that are behind as well do not count. */
        if (ours->known && theirs->at <= ours->at)
            continue;
        if (ours->known && theirs->digest == ours->digest) {
            view_confirm(ours, theirs->digest, theirs->at);
            sync->followers[kind].behind_since_ms = 0;
            continue;
        }
        if (must_ask(sync, kind))
            request_view(sync, kind, &member->peer);
    }
}

static void
view_changed(sync_t *sync, view_kind_t kind, const char *source)
{
    const view_t *view = &sync->views[kind];
    LOG_INFO("view changed: kind=%d source=%s at=%llu objects=%zu", kind, source,
             (unsigned long long)view->at, view->count);
    sync->followers[kind].behind_since_ms = 0;
    sync->cbs.on_view(sync->cbs.ctx, kind);
}

void
sync_on_update(sync_t *sync, const Iris__ViewUpdate *update)
{
    if (update->kind >= VIEW_WATCHED)
        return;
    store_item_t *items = xcalloc(update->n_items + 1, sizeof(*items));
    for (size_t i = 0; i < update->n_items; i++) {
        const Iris__ViewItem *item = update->items[i];
        items[i] = (store_item_t){
            .name = str_from(item->name),
            .revision = item->revision,
            .gone = item->gone,
            .body = {(const char *)item->body.data, item->body.len},
        };
    }
    view_t *view = &sync->views[update->kind];
    if (!update->whole)
        view_confirm(view, update->base_digest, update->from);
    const view_result_t result =
        update->whole ? view_replace(view, items, update->n_items, update->at)
                      : view_apply(view, items, update->n_items, update->from, update->at);
    free(items);
    if (result == VIEW_CHANGED)
        view_changed(sync, update->kind, "peer");
}

/* ---- the store ---- */

static bool
should_follow(sync_t *sync)
{
    const uint64_t now = uv_now(sync->loop);
    if (sync->stopped)
        return false;
    if (members_first_in_region(sync->members, name_str(&sync->instance), sync->region, now) &&
        now - sync->started_ms >= START_ALONE_MS)
        return true;
    if (now - sync->started_ms < 2 * START_ALONE_MS)
        return false;
    if (!members_follow_store(sync->members, PEER_STORE_AGE_MAX_MS, now))
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
    if (result == VIEW_CHANGED)
        view_changed(sync, follower->kind, "list");
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
        send_changes(sync, follower->kind, answer->items, answer->item_count, follower->asked_from,
                     answer->at, base_digest);
        view_changed(sync, follower->kind, "watch");
    }
    sync_tick(sync);
}

static void
follow(follower_t *follower)
{
    sync_t *sync = follower->sync;
    if (follower->must_list || !sync->views[follower->kind].known) {
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
        const bool wanted = following || (!sync->views[kind].known && !sync->stopped);
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
