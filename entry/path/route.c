#include <math.h>
#include <string.h>

#define LOG_MODULE "route"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/path/answer.h"
#include "entry/path/attempt.h"
#include "entry/path/route.h"

/* Chosen; none was measured alone. */
enum {
    QUEUE_MAX = 256,         /* waiting requests of this instance */
    QUEUE_WAIT_MS = 200,     /* longest wait of a request */
    QUEUE_WAIT_BUSY_MS = 25, /* while requests had to be given up lately */
    QUEUE_BUSY_MS = 1000,    /* how long that is remembered */
    QUEUE_SPILL_MS = 20,     /* wait before another region is tried */
    QUEUE_LOOK_MAX = 64,     /* requests looked at in one run of the queue */
    HEDGE_MIN_MS = 10,       /* no second attempt before */
    PLACES_PER_REGION_MAX = 64,
};

/* Times the usual slow answer of its class after which a request is hedged. */
#define HEDGE_FACTOR 1.5
/* Share of its credits that a region must have free to get requests of others. */
#define SPILL_MIN_HEADROOM 0.1
/* A sibling place this many times as fast is tried first, within its cap (commit 9af9734). */
#define SLOW_PLACE_FACTOR 2.0

static void
start_attempt(exchange_t *x, const attempt_conf_t *conf)
{
    const size_t slot = x->attempts[0] == NULL ? 0 : 1;
    xassert(x->attempts[slot] == NULL);
    x->tries++;
    x->attempts[slot] = attempt_start(x, conf);
}

/* The request's service with shares and plan of this moment, NULL if it cannot be steered. */
static service_t *
current_service(const exchange_t *x)
{
    const node_t *node = x->node;
    service_t *service = steer_find(node->steer, name_str(&x->service));
    if (service == NULL || !steer_refresh(node->steer, service, node_wall(node)))
        return NULL;
    return service;
}

/* A region's rows that take traffic now, the first one drawn by their shares. */
static size_t
list_local_rows(const exchange_t *x, const service_t *service, size_t *rows)
{
    node_t *node = x->node;
    const size_t region = topology_region(node->steer->topology, name_str(&node->settings.region));
    size_t count = 0;
    double sum = 0;
    for (size_t r = 0; r < service->table->row_count && count < PLACES_PER_REGION_MAX; r++) {
        if (service->regions[r] != region || service->shares[r] <= 0)
            continue;
        sum += service->shares[r];
        rows[count++] = r;
    }
    double draw = rng_unit(&node->rng) * sum;
    for (size_t i = 0; i < count; i++) {
        draw -= service->shares[rows[i]];
        if (draw < 0) {
            const size_t first = rows[i];
            rows[i] = rows[0];
            rows[0] = first;
            break;
        }
    }
    return count;
}

static bool
take_spill(const exchange_t *x, service_t *service, size_t row)
{
    return spill_take(service->request_spill, row, service->table->rows[row].cap * STEER_CAP_PART,
                      service->rises[row] * STEER_CAP_PART, node_now(x->node));
}

static void
ask_for_credits(node_t *node)
{
    node->credits_short = true;
    node_watch_queue(node);
}

/* Admits and sends to a server of one place; false leaves the reason in x->refusal. */
static bool
try_place(exchange_t *x, service_t *service, size_t row, bool moved)
{
    node_t *node = x->node;
    const uint64_t now = node_now(node);
    const table_row_t *row_ = &service->table->rows[row];
    gate_row_t *entered = gate_row(&node->gate, name_str(&x->service), name_str(&row_->place));
    const bool is_long = x->deadline_ms > now + CREDIT_SHORT_MS;
    const gate_result_t result = gate_enter(&node->gate, entered, is_long, now);
    if (result != GATE_OPEN) {
        x->refusal = gate_result_name(result);
        if (result == GATE_REGION_FULL)
            ask_for_credits(node);
        return false;
    }
    const choice_t choice = {.service = name_str(&x->service),
                             .place = name_str(&row_->place),
                             .except = x->tried,
                             .policy = node->settings.policy};
    backend_t *backend = backend_choose(&node->backends, &choice, now, &node->rng, &node->turn);
    if (backend == NULL || (moved && !take_spill(x, service, row))) {
        gate_leave(&node->gate, entered, is_long);
        x->refusal = backend == NULL ? "no_server_free" : "shift_cap";
        return false;
    }
    if (moved)
        counter_add(node->counters.spilled, 1);
    history_write(&node->history, "admit",
                  "\"id\":\"%s\",\"entry\":\"%s\",\"service\":\"%s\",\"place\":\"%s\","
                  "\"moved\":%d,\"version\":%lu",
                  x->id, node->settings.name.ptr, x->service.ptr, row_->place.ptr, moved,
                  (unsigned long)service->table->version);
    const attempt_conf_t conf = {
        .backend = backend, .row = entered, .is_long = is_long, .place = entered->place.ptr};
    start_attempt(x, &conf);
    return true;
}

/* Index of a place of the region that is far faster than the first one now, else 0. */
static size_t
faster_sibling(const exchange_t *x, const service_t *service, const size_t *rows, size_t count)
{
    const node_t *node = x->node;
    if (node->settings.policy != POLICY_IRIS || count < 2)
        return 0;
    double first_ms = 0;
    double best_ms = HUGE_VAL;
    size_t best = 0;
    for (size_t i = 0; i < count; i++) {
        const choice_t choice = {.service = name_str(&x->service),
                                 .place = name_str(&service->table->rows[rows[i]].place),
                                 .except = x->tried,
                                 .policy = POLICY_IRIS};
        const double ms = backend_best_ms(&node->backends, &choice, node_now(node));
        if (i == 0)
            first_ms = ms;
        if (ms < best_ms) {
            best_ms = ms;
            best = i;
        }
    }
    return first_ms > best_ms * SLOW_PLACE_FACTOR ? best : 0;
}

static bool
try_local(exchange_t *x, service_t *service)
{
    size_t rows[PLACES_PER_REGION_MAX];
    const size_t count = list_local_rows(x, service, rows);
    if (count == 0)
        x->refusal = "no_share_here";
    const size_t fast = faster_sibling(x, service, rows, count);
    if (fast != 0 && try_place(x, service, rows[fast], true))
        return true;
    for (size_t i = 0; i < count; i++) {
        if ((fast == 0 || i != fast) && try_place(x, service, rows[i], i > 0))
            return true;
    }
    return false;
}

static const instance_t *
remote_entry_for(const exchange_t *x, const service_t *service, size_t row)
{
    node_t *node = x->node;
    if (service->regions[row] == SIZE_MAX)
        return NULL;
    const name_t *region = &node->steer->topology->regions[service->regions[row]];
    if (name_eq(region, name_str(&node->settings.region)))
        return NULL;
    const region_load_t *load = region_loads_find(&node->loads, name_str(region));
    if (load == NULL || region_load_lost(load, node_now(node)) ||
        region_load_headroom(load) < SPILL_MIN_HEADROOM)
        return NULL;
    return instances_random_entry(node->instances, name_str(region), true, &node->rng);
}

void
route_to_entry(exchange_t *x, const addr_t *addr, hop_t hop)
{
    const attempt_conf_t conf = {.entry = *addr, .hop = hop, .place = "remote"};
    x->at_owner = hop == HOP_OWNER;
    start_attempt(x, &conf);
}

/* Sends the request to the entry of this region that has the most free credits. */
static bool
try_neighbour(exchange_t *x)
{
    const member_t *best = members_most_free(&x->node->members, node_now(x->node));
    if (best == NULL)
        return false;
    route_to_entry(x, &best->addr, HOP_ENTRY);
    return true;
}

/* Sends the request to an entry of another region that has room. */
static bool
try_remote(exchange_t *x, service_t *service, bool moved)
{
    size_t row = SIZE_MAX;
    double sum = 0;
    const instance_t *entry = NULL;
    for (size_t r = 0; r < service->table->row_count; r++) {
        const instance_t *candidate =
            service->shares[r] > 0 ? remote_entry_for(x, service, r) : NULL;
        if (candidate == NULL)
            continue;
        sum += service->shares[r];
        if (rng_unit(&x->node->rng) * sum < service->shares[r]) {
            row = r;
            entry = candidate;
        }
    }
    if (row == SIZE_MAX)
        return false;
    if (moved && !take_spill(x, service, row)) {
        x->refusal = "shift_cap";
        return false;
    }
    counter_add(x->node->counters.spilled, 1);
    route_to_entry(x, &entry->addr, HOP_ENTRY);
    return true;
}

void
route_dequeue(exchange_t *x)
{
    if (!x->queued)
        return;
    exchange_t **slot = &x->node->waiting;
    while (*slot != x)
        slot = &(*slot)->queue_next;
    *slot = x->queue_next;
    x->queued = false;
    x->node->waiting_count--;
}

static bool
more_urgent(const exchange_t *a, const exchange_t *b)
{
    if (a->class_.priority != b->class_.priority)
        return a->class_.priority < b->class_.priority;
    return a->deadline_ms < b->deadline_ms;
}

static void
enqueue(exchange_t *x)
{
    node_t *node = x->node;
    const uint64_t now = node_now(node);
    const bool busy = now < node->gave_up_ms + QUEUE_BUSY_MS;
    uint64_t wait = busy ? QUEUE_WAIT_BUSY_MS : QUEUE_WAIT_MS;
    if (x->deadline_ms > now && (x->deadline_ms - now) / 2 < wait)
        wait = (x->deadline_ms - now) / 2;
    x->queue_until_ms = now + wait;
    exchange_t **slot = &node->waiting;
    while (*slot != NULL && !more_urgent(x, *slot))
        slot = &(*slot)->queue_next;
    x->queue_next = *slot;
    *slot = x;
    x->queued = true;
    node->waiting_count++;
    node_watch_queue(node);
}

void
route_request(exchange_t *x)
{
    node_t *node = x->node;
    service_t *service = current_service(x);
    if (service == NULL) {
        answer_refuse(x, 503, "not_ready");
        return;
    }
    if (try_local(x, service))
        return;
    /* A new instance has no credits until its predecessor's have rested. */
    const uint64_t now = node_now(node);
    if (x->hop == HOP_CALLER && credit_usable(node->credit, now) <= CREDIT_FLOOR &&
        try_neighbour(x))
        return;
    const bool no_share = strcmp(x->refusal, "no_share_here") == 0;
    if (no_share && x->hop == HOP_CALLER && try_remote(x, service, false))
        return;
    if (no_share || node->waiting_count >= QUEUE_MAX) {
        answer_give_up(x, false, no_share ? x->refusal : "queue_full");
        return;
    }
    enqueue(x);
}

/* One look at a waiting request. */
static void
serve_waiting(exchange_t *x)
{
    node_t *node = x->node;
    const uint64_t now = node_now(node);
    service_t *service = current_service(x);
    const uint64_t waited = now - x->started_ms;
    if (service != NULL &&
        (try_local(x, service) || (x->hop == HOP_CALLER && waited >= QUEUE_SPILL_MS &&
                                   x->class_.repeatable && try_remote(x, service, true)))) {
        route_dequeue(x);
        return;
    }
    if (now < x->queue_until_ms)
        return;
    route_dequeue(x);
    node->gave_up_ms = now;
    answer_give_up(x, now >= x->deadline_ms, x->refusal);
}

void
route_run_queue(node_t *node)
{
    if (node->running_queue)
        return;
    node->running_queue = true;
    exchange_t *x = node->waiting;
    for (size_t i = 0; x != NULL && i < QUEUE_LOOK_MAX; i++) {
        exchange_t *next = x->queue_next;
        serve_waiting(x);
        x = next;
    }
    node->running_queue = false;
}

void
route_hedge(exchange_t *x, uint64_t now)
{
    node_t *node = x->node;
    if (!x->class_.hedge || !x->class_.repeatable || x->hedged || x->head_sent ||
        x->attempts[0] == NULL || x->attempts[1] != NULL || x->hop != HOP_CALLER)
        return;
    const class_stats_t *stats = exchange_class_stats(x);
    if (stats == NULL)
        return;
    const double wait = stats->slow.ms * HEDGE_FACTOR;
    if ((double)(now - x->started_ms) < (wait > HEDGE_MIN_MS ? wait : HEDGE_MIN_MS))
        return;
    service_t *service = current_service(x);
    x->hedged = true;
    x->tried = attempt_backend(x->attempts[0]);
    if (service == NULL || !extra_budget_spend(&node->extra))
        return;
    if (try_local(x, service))
        counter_add(node->counters.hedges, 1);
}
