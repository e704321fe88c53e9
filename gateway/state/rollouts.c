#include "gateway/state/rollouts.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "rollout"
#include "base/log.h"
#include "base/xmalloc.h"

enum { ID_SEED = 71 /* must be the same on every instance */ };

static uint64_t
order_id(str_t name, const rollout_order_t *order)
{
    uint64_t id = str_hash(name, ID_SEED);
    id = str_hash(name_str(&order->service), id);
    id = str_hash(str_from(order->version_name), id);
    return id ^ order->duration_ms;
}

static void
free_rollout(rollout_t *rollout)
{
    rollout_free_counts(rollout);
    free(rollout);
}

static size_t
find_name(const rollouts_t *rollouts, str_t name)
{
    size_t index = 0;
    while (index < rollouts->count && !name_eq(&rollouts->items[index]->name, name))
        index++;
    return index;
}

/* Applies what the store records, which is final except for "running". */
static void
adopt_recorded(rollout_t *rollout, uint64_t now_ms)
{
    const rollout_state_t recorded = rollout->order.recorded;
    const bool is_final = recorded == ROLLOUT_COMPLETED || recorded == ROLLOUT_ROLLED_BACK;
    if (is_final && rollout->state != recorded)
        rollout_decide(rollout, recorded, ROLLOUT_REASON_RECORDED, now_ms);
}

/* An order that had ended when it was first seen may be of any age: if it completed, the versions
 * that it stopped are unknown, and nothing is restricted. */
static void
adopt_first_recorded(rollout_t *rollout, uint64_t now_ms)
{
    adopt_recorded(rollout, now_ms);
    rollout->share = 0;
}

/* Remembers the unfinished target of the order that is replaced. */
static void
supersede(rollout_t *rollout, const rollout_t *earlier)
{
    size_t count = 0;
    if (earlier->state != ROLLOUT_COMPLETED)
        rollout->superseded[count++] = earlier->order.version;
    for (size_t i = 0; i < ROLLOUT_SUPERSEDED_MAX && count < ROLLOUT_SUPERSEDED_MAX; i++) {
        if (earlier->superseded[i] != 0)
            rollout->superseded[count++] = earlier->superseded[i];
    }
    for (size_t i = 0; i < count; i++) {
        if (rollout->superseded[i] == rollout->order.version)
            rollout->superseded[i] = 0; /* ordered again */
    }
}

static rollout_t *
new_rollout(str_t name, const rollout_order_t *order, uint64_t id, uint64_t started_ms)
{
    rollout_t *rollout = xcalloc(1, sizeof(*rollout));
    xassert(name_set(&rollout->name, name));
    rollout->id = id;
    rollout->order = *order;
    rollout->started_ms = started_ms;
    rollout->window_ms = started_ms;
    rollout->counted_from_ms = started_ms;
    rollout->state = ROLLOUT_RUNNING;
    rollout->is_counting = true;
    return rollout;
}

static void
apply_item(rollouts_t *rollouts, const view_item_t *item, uint64_t now_ms)
{
    rollout_order_t order;
    err_t err = {0};
    name_t name;
    if (!name_set(&name, str_from(item->name))) {
        LOG_WARN("roll-out not followed, invalid name: order=%.*s", LOG_STR(str_from(item->name)));
        return;
    }
    const bool valid =
        rollouts->decoder->rollout((str_t){item->body, item->body_len}, &order, &err);
    const uint64_t id = order_id(name_str(&name), &order);
    const size_t index = find_name(rollouts, name_str(&name));
    if (index == ROLLOUTS_MAX) {
        LOG_WARN("roll-out not followed, too many orders: order=%.*s max=%d",
                 LOG_STR(str_from(item->name)), ROLLOUTS_MAX);
        return;
    }
    rollout_t *earlier = index < rollouts->count ? rollouts->items[index] : NULL;
    if (earlier != NULL && earlier->id == id) {
        earlier->revision = item->revision;
        earlier->order.recorded = order.recorded;
        adopt_recorded(earlier, now_ms);
        return;
    }
    rollout_t *rollout = new_rollout(name_str(&name), &order, id, now_ms);
    rollout->revision = item->revision;
    LOG_INFO("roll-out ordered: order=%s service=%s version=%s duration_ms=%u recorded=%s "
             "replaces=%s",
             item->name, order.service.ptr, order.version_name, order.duration_ms,
             rollout_state_name(order.recorded),
             earlier != NULL ? earlier->order.version_name : "-");
    if (earlier != NULL) {
        supersede(rollout, earlier);
        free_rollout(earlier);
    } else {
        rollouts->count++;
    }
    rollouts->items[index] = rollout;
    if (!valid) {
        LOG_WARN("roll-out invalid: order=%s err=%s detail=\"%s\"", item->name, err_name(err.code),
                 err.detail);
        rollout_decide(rollout, ROLLOUT_ROLLED_BACK, ROLLOUT_REASON_INVALID, now_ms);
    }
    adopt_first_recorded(rollout, now_ms);
}

static void
remove_missing(rollouts_t *rollouts, const view_t *view)
{
    for (size_t i = rollouts->count; i > 0; i--) {
        rollout_t *rollout = rollouts->items[i - 1];
        if (view_find(view, name_str(&rollout->name)) != NULL)
            continue;
        LOG_INFO("roll-out order removed: order=%s service=%s version=%s state=%s",
                 rollout->name.ptr, rollout->order.service.ptr, rollout->order.version_name,
                 rollout_state_name(rollout->state));
        free_rollout(rollout);
        rollouts->items[i - 1] = rollouts->items[--rollouts->count];
    }
}

void
rollouts_apply(rollouts_t *rollouts, const view_t *view, uint64_t now_ms)
{
    remove_missing(rollouts, view);
    for (size_t i = 0; i < view->count; i++)
        apply_item(rollouts, &view->items[i], now_ms);
}

/* True if the version is neither the target nor superseded. */
static bool
is_other_version(const rollout_t *rollout, const backend_t *backend)
{
    for (size_t i = 0; i < ROLLOUT_SUPERSEDED_MAX; i++) {
        if (rollout->superseded[i] != 0 && rollout->superseded[i] == backend->info.version)
            return false;
    }
    return !rollout_is_target(rollout, backend);
}

static bool
lacks_others(const rollout_t *rollout, const backends_t *backends)
{
    const str_t service = name_str(&rollout->order.service);
    const uint64_t service_key = backend_service_key(service);
    for (size_t i = 0; i < backends->count; i++) {
        const backend_t *backend = backends->items[i];
        if (backend->listed && backend_is_of(backend, service, service_key) &&
            is_other_version(rollout, backend))
            return false;
    }
    return true;
}

void
rollouts_update_others(rollouts_t *rollouts, const backends_t *backends)
{
    for (size_t i = 0; i < rollouts->count; i++)
        rollouts->items[i]->lacks_others = lacks_others(rollouts->items[i], backends);
}

rollout_t *
rollouts_find(const rollouts_t *rollouts, str_t service)
{
    for (size_t i = 0; i < rollouts->count; i++) {
        if (name_eq(&rollouts->items[i]->order.service, service))
            return rollouts->items[i];
    }
    return NULL;
}

rollout_t *
rollouts_find_id(const rollouts_t *rollouts, uint64_t id)
{
    for (size_t i = 0; i < rollouts->count; i++) {
        if (rollouts->items[i]->id == id)
            return rollouts->items[i];
    }
    return NULL;
}

void
rollouts_free(rollouts_t *rollouts)
{
    for (size_t i = 0; i < rollouts->count; i++)
        free_rollout(rollouts->items[i]);
    rollouts->count = 0;
}
