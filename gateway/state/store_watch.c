#include <stdlib.h>

#include <uv.h>

#define LOG_MODULE "sync"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/policy/store_schedule.h"
#include "gateway/state/position.h"
#include "gateway/state/store_calls.h"
#include "gateway/state/store_state.h"

enum {
    /* Longest duration of a watch. Shorter ones cost more calls; longer ones delay the detection of
     * a silent store. */
    WATCH_WAIT_MS = 3000,
    WATCH_WAIT_PROBE_MS = 20, /* short, as only reachability matters */
    RETRY_MIN_MS = 200,       /* one tick; the pause grows by this much with each failure */
    RETRY_MAX_MS = 1000,      /* limit for a kind that needs a list */
    /* While the store fails, one probe runs at a time; another kind is probed if it has not ended
     * after this time, as a large answer on a slow link would delay the removal of a backend
     * server. Exceeds the timeout of a failing watch. */
    PROBE_INTERVAL_MS = 1000,
    /* A watch answered sooner returned changes that existed before it started. Exceeds the round
     * trip to the store, including from other regions. */
    IMMEDIATE_ANSWER_MS = 100,
};

void
store_watch_init(store_watch_t *watch, const store_watch_conf_t *conf)
{
    *watch = (store_watch_t){.conf = *conf, .started_ms = loop_now(conf->loop)};
    xassert(name_set(&watch->instance, conf->instance));
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++)
        watch->kinds[kind] = (kind_watch_t){.owner = watch, .kind = kind};
}

void
store_watch_stop(store_watch_t *watch)
{
    watch->stopped = true;
}

void
store_watch_read_once(store_watch_t *watch, view_kind_t kind)
{
    watch->kinds[kind].read_once = true;
}

/* Probes the kind with the smallest answers. */
void
store_watch_probe(store_watch_t *watch)
{
    kind_watch_t *kind = &watch->kinds[VIEW_CLOSURES];
    kind->is_probe = true;
    if (kind->state != WATCH_WATCHING)
        return;
    kind->call++; /* drops the answer to the running watch */
    kind->state = WATCH_IDLE;
    kind->retry_at_ms = 0;
}

static view_t *
watched_view(const kind_watch_t *kind)
{
    return &kind->owner->conf.views->items[kind->kind];
}

static void
free_pages(kind_watch_t *kind)
{
    for (size_t i = 0; i < kind->page_count; i++) {
        free((char *)(uintptr_t)kind->pages[i].name.ptr);
        free((char *)(uintptr_t)kind->pages[i].body.ptr);
    }
    free(kind->pages);
    kind->pages = NULL;
    kind->page_count = 0;
}

/* True for the kind whose timeout grows while calls time out. */
static bool
has_growing_timeout(const kind_watch_t *kind)
{
    return kind->kind == VIEW_CONFIG;
}

static uint32_t
timeout_ms(const kind_watch_t *kind)
{
    return store_schedule_answer_timeout_ms(kind->owner->delay_ms,
                                            has_growing_timeout(kind) ? kind->timeouts : 0);
}

/* The store answers again, so the configuration is read now instead of after a long timeout. */
static void
drop_long_call(kind_watch_t *answered)
{
    kind_watch_t *kind = &answered->owner->kinds[VIEW_CONFIG];
    if (kind == answered || kind->timeouts == 0 || kind->state == WATCH_IDLE)
        return;
    kind->call++; /* drops the answer */
    kind->state = WATCH_IDLE;
    kind->timeouts = 0;
    kind->retry_at_ms = 0;
    free_pages(kind);
}

/* A watch that was answered before its wait time was over does not show the delay. */
static void
record_delay(kind_watch_t *kind)
{
    const uint64_t elapsed_ms = kind->answered_ms - kind->called_ms;
    kind->timeouts = 0;
    if (elapsed_ms >= kind->wait_ms)
        kind->owner->delay_ms = elapsed_ms - kind->wait_ms;
}

static void
on_store_answered(kind_watch_t *kind)
{
    store_watch_t *watch = kind->owner;
    kind->answered_ms = loop_now(watch->conf.loop);
    record_delay(kind);
    drop_long_call(kind);
    if (watch->in_outage && kind->called_ms < watch->outage_ms)
        store_state_cancel_outage(watch);
    store_state_end_outage(watch, "answer");
    if (watch->failures > 0)
        LOG_INFO("store calls recovered: failures=%u", watch->failures);
    watch->failures = 0;
    watch->probe_at_ms = 0;
}

/* A starting instance reads every kind that peers have not sent, whoever watches. */
static bool
needs_single_list(const kind_watch_t *kind)
{
    const store_watch_t *watch = kind->owner;
    return kind->read_once || (!watched_view(kind)->known &&
                               store_state_start_delay_is_over(watch, loop_now(watch->conf.loop)));
}

static uint64_t
retry_pause_ms(const kind_watch_t *kind)
{
    const store_watch_t *watch = kind->owner;
    const uint64_t now_ms = loop_now(watch->conf.loop);
    const uint64_t pause_ms = (uint64_t)RETRY_MIN_MS * watch->failures;
    if (needs_single_list(kind))
        return pause_ms < RETRY_MAX_MS ? pause_ms : RETRY_MAX_MS;
    const size_t instances =
        members_count_alive_in_mesh(watch->conf.members, watch->conf.region, now_ms);
    const uint64_t probe_pause_ms =
        store_schedule_probe_interval_ms(store_state_rank(watch, false, now_ms), instances);
    return store_watch_is_failing(watch) || pause_ms > probe_pause_ms ? probe_pause_ms : pause_ms;
}

static void
on_store_failed(kind_watch_t *kind, const store_answer_t *answer)
{
    store_watch_t *watch = kind->owner;
    const uint64_t now_ms = loop_now(watch->conf.loop);
    kind->timeouts += answer->err.code == ERR_TIMEOUT;
    if (watch->failures++ == 0) {
        LOG_WARN("store calls failing: kind=%d outcome=%d detail=\"%s\"", kind->kind,
                 answer->outcome, answer->err.detail);
        watch->last_probed = VIEW_CONFIG; /* probed last, since its answer may be the largest */
    }
    store_state_record_failure(watch, kind, now_ms);
    kind->retry_at_ms = now_ms + retry_pause_ms(kind);
    if (kind->kind == watch->last_probed)
        watch->probe_at_ms = kind->retry_at_ms;
}

/* ---- calls ---- */

/* A call under way. */
typedef struct {
    kind_watch_t *kind;
    unsigned number;
} pending_call_t;

static pending_call_t *
new_call(kind_watch_t *kind)
{
    pending_call_t *call = xmalloc(sizeof(*call));
    *call = (pending_call_t){kind, ++kind->call};
    kind->called_ms = loop_now(kind->owner->conf.loop);
    return call;
}

/* Ends a call. Returns the kind, or NULL if the call was given up. */
static kind_watch_t *
end_call(pending_call_t *call)
{
    kind_watch_t *kind = call->number == call->kind->call ? call->kind : NULL;
    free(call);
    if (kind != NULL)
        kind->state = WATCH_IDLE;
    return kind;
}

/* ---- list ---- */

/* Appends copies of the answer's items, with positions of that era, to the earlier pages. */
static void
append_page(kind_watch_t *kind, const store_answer_t *answer, uint64_t era)
{
    const size_t total = kind->page_count + answer->item_count;
    kind->pages = xrealloc(kind->pages, (total + 1) * sizeof(*kind->pages));
    for (size_t i = 0; i < answer->item_count; i++) {
        const store_item_t *item = &answer->items[i];
        kind->pages[kind->page_count++] = (store_item_t){
            .name = {xmemdup0(item->name.ptr, item->name.len), item->name.len},
            .revision = position_make(era, item->revision),
            .body = {xmemdup0(item->body.ptr, item->body.len), item->body.len},
        };
    }
}

static store_reason_t
list_reason(const kind_watch_t *kind)
{
    if (kind->page_count > 0)
        return STORE_REASON_NEXT_PAGE;
    if (kind->owner->failures > 0)
        return STORE_REASON_RECOVERY_PROBE;
    if (!watched_view(kind)->known)
        return STORE_REASON_START;
    return kind->list_needed ? STORE_REASON_HISTORY_GONE : STORE_REASON_PEER_REFERRAL;
}

/* Applies the change locally, then passes it on to the peers. */
static void
publish_change(kind_watch_t *kind, const view_delta_t *delta, const char *source, uint64_t age_ms)
{
    const store_watch_t *watch = kind->owner;
    views_changed(watch->conf.views, kind->kind, source, age_ms, loop_now(watch->conf.loop));
    watch->conf.on_delta(watch->conf.ctx, delta);
}

/* Applies the completed list. The difference to the previous view is pushed to peers as after a
 * watch; otherwise a whole region would read the list after an outage. */
static void
apply_list(kind_watch_t *kind)
{
    store_watch_t *watch = kind->owner;
    view_t *view = watched_view(kind);
    const bool was_known = view->known;
    const view_delta_t delta = {
        .kind = kind->kind,
        .from = view->at,
        .base_digest = view->digest,
    };
    const view_result_t result = view_replace(view, kind->pages, kind->page_count, kind->list_at);
    const uint64_t age_ms = loop_now(watch->conf.loop) - kind->current_ms;
    free_pages(kind);
    kind->list_needed = false;
    kind->read_once = false;
    kind->current_ms = kind->called_ms;
    if (result == VIEW_CHANGED && was_known)
        publish_change(kind, &delta, "list", age_ms);
    else if (result == VIEW_CHANGED)
        views_changed(watch->conf.views, kind->kind, "list", VIEW_AGE_MAX_MS + 1,
                      loop_now(watch->conf.loop));
}

static void on_list(void *ctx, const store_answer_t *answer);

static void
list_after(kind_watch_t *kind, str_t after)
{
    const store_port_t *store = kind->owner->conf.store;
    store_calls_count(kind->kind, STORE_CALL_LIST, list_reason(kind));
    kind->state = WATCH_LISTING;
    if (after.len == 0)
        kind->listed_from = watched_view(kind)->known ? watched_view(kind)->at : 0;
    kind->wait_ms = 0;
    store->list(store->ctx, kind->kind, after, timeout_ms(kind), on_list, new_call(kind));
}

static void
on_list(void *ctx, const store_answer_t *answer)
{
    kind_watch_t *kind = end_call(ctx);
    if (kind == NULL)
        return;
    store_watch_t *watch = kind->owner;
    if (answer->outcome != STORE_OK) {
        on_store_failed(kind, answer);
        free_pages(kind);
        return;
    }
    on_store_answered(kind);
    const uint64_t era = store_history_list_era(&watch->conf.views->history, answer->era,
                                                kind->listed_from, answer->at);
    const bool is_first = kind->page_count == 0;
    if (is_first)
        kind->list_at = position_make(era, answer->at);
    if (!is_first && era != position_era(kind->list_at)) {
        free_pages(kind);
        list_after(kind, STR(""));
        return;
    }
    append_page(kind, answer, era);
    if (answer->more && answer->item_count > 0) {
        list_after(kind, kind->pages[kind->page_count - 1].name);
        return;
    }
    /* Before the list is applied, so that entries it lacks are not removed at once. */
    views_learn_era(watch->conf.views, era);
    apply_list(kind);
    store_watch_tick(watch);
}

/* ---- watch ---- */

/* Upper bound of the age of the changes returned by the watch, in milliseconds. A watch that was
 * waiting is answered by the change itself; one answered immediately returns earlier changes. */
static uint64_t
changes_age_ms(const kind_watch_t *kind)
{
    const uint64_t now_ms = loop_now(kind->owner->conf.loop);
    const bool was_waiting = now_ms - kind->called_ms > IMMEDIATE_ANSWER_MS;
    return now_ms - (was_waiting ? now_ms : kind->current_ms);
}

static void
apply_delta(kind_watch_t *kind, const store_answer_t *answer)
{
    view_t *view = watched_view(kind);
    const view_delta_t delta = {
        .kind = kind->kind,
        .from = kind->watched_from,
        .base_digest = view->digest,
    };
    const uint64_t era = position_era(delta.from);
    const uint64_t age_ms = changes_age_ms(kind);
    store_item_t *items = xcalloc(answer->item_count + 1, sizeof(*items));
    kind->current_ms = loop_now(kind->owner->conf.loop);
    for (size_t i = 0; i < answer->item_count; i++) {
        items[i] = answer->items[i];
        items[i].revision = position_make(era, items[i].revision);
    }
    const view_result_t result =
        view_apply(view, items, answer->item_count, delta.from, position_make(era, answer->at));
    free(items);
    if (result == VIEW_CHANGED)
        publish_change(kind, &delta, "watch", age_ms);
}

/* True if the answer belongs to another history than the position that was watched from: its
 * changes say nothing about the view. */
static bool
is_of_other_history(const kind_watch_t *kind, const store_answer_t *answer)
{
    return answer->outcome == STORE_OK && answer->era > 0 &&
           position_named_era(answer->era) != position_era(kind->watched_from);
}

/* Delays the next watch after changes, so that a burst of changes is read together. */
static void
on_watch(void *ctx, const store_answer_t *answer)
{
    kind_watch_t *kind = end_call(ctx);
    if (kind == NULL)
        return;
    if (answer->outcome == STORE_HISTORY_GONE || is_of_other_history(kind, answer)) {
        LOG_INFO("store history unavailable: kind=%d from=%llu", kind->kind,
                 (unsigned long long)position_revision(kind->watched_from));
        kind->list_needed = true;
        on_store_answered(kind);
        store_watch_tick(kind->owner);
        return;
    }
    if (answer->outcome != STORE_OK) {
        /* The same watch would fail again; a list returns each object once. */
        kind->list_needed |= answer->outcome == STORE_UNUSABLE;
        on_store_failed(kind, answer);
        return;
    }
    on_store_answered(kind);
    if (answer->item_count > 0)
        kind->retry_at_ms = loop_now(kind->owner->conf.loop) + store_schedule_watch_pause_ms();
    apply_delta(kind, answer);
}

static void
call_store(kind_watch_t *kind)
{
    const store_watch_t *watch = kind->owner;
    const store_port_t *store = watch->conf.store;
    if (kind->list_needed || kind->read_once || !watched_view(kind)->known) {
        list_after(kind, STR(""));
        return;
    }
    kind->state = WATCH_WATCHING;
    kind->watched_from = watched_view(kind)->at;
    const bool probes = watch->failures > 0 || kind->is_probe;
    const uint32_t wait_ms = probes ? WATCH_WAIT_PROBE_MS : WATCH_WAIT_MS;
    kind->is_probe = false;
    store_calls_count(kind->kind, STORE_CALL_WATCH,
                      probes ? STORE_REASON_RECOVERY_PROBE : STORE_REASON_CHANGES);
    kind->wait_ms = wait_ms;
    store->watch(store->ctx, kind->kind, position_revision(kind->watched_from), wait_ms,
                 timeout_ms(kind), on_watch, new_call(kind));
}

static bool
is_due(const kind_watch_t *kind)
{
    const store_watch_t *watch = kind->owner;
    const bool is_retrying = watch->failures > 0;
    const bool is_requested = needs_single_list(kind) || is_retrying;
    const bool wanted = watch->watching || (is_requested && !watch->stopped);
    return wanted && kind->state == WATCH_IDLE && loop_now(watch->conf.loop) >= kind->retry_at_ms;
}

/* Probes one kind at a time, in turn, until the store answers. */
static void
probe(store_watch_t *watch)
{
    const uint64_t now_ms = loop_now(watch->conf.loop);
    if (now_ms < watch->probe_at_ms)
        return;
    const size_t kinds = watch->conf.views->count;
    for (size_t i = 1; i <= kinds; i++) {
        const view_kind_t next = (watch->last_probed + i) % kinds;
        if (!is_due(&watch->kinds[next]))
            continue;
        watch->last_probed = next;
        watch->probe_at_ms = now_ms + PROBE_INTERVAL_MS;
        call_store(&watch->kinds[next]);
        return;
    }
}

void
store_watch_tick(store_watch_t *watch)
{
    const bool watching = store_state_should_watch(watch);
    if (watching != watch->watching)
        LOG_INFO("%s the store", watching ? "watching" : "no longer watching");
    watch->watching = watching;
    store_state_update_from_peers(watch);
    if (watch->failures > 0) {
        probe(watch);
        return;
    }
    for (view_kind_t i = 0; i < watch->conf.views->count; i++) {
        if (is_due(&watch->kinds[i]))
            call_store(&watch->kinds[i]);
    }
}

void
store_watch_on_return(store_watch_t *watch)
{
    const uint64_t now_ms = loop_now(watch->conf.loop);
    watch->recovered_ms = now_ms;
    watch->failed_ms = now_ms;
    for (view_kind_t i = 0; i < watch->conf.views->count; i++) {
        kind_watch_t *kind = &watch->kinds[i];
        const bool is_behind =
            position_era(watched_view(kind)->at) < watch->conf.views->history.era;
        if (kind->state == WATCH_WATCHING && is_behind) {
            kind->call++;
            kind->state = WATCH_IDLE;
        }
        kind->list_needed |= is_behind;
        kind->retry_at_ms = 0;
    }
}
