#include "test/gateway/limit_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "gateway/policy/cold_start.h"
#include "gateway/state/permits.h"

enum {
    REGIONS = 3,
    LOCAL_DELAY_MS = 3,   /* one-way delay within a region, including two loops */
    REMOTE_DELAY_MS = 37, /* between regions */
    RUN_MS = 60000,
    FAULT_START_MS = 20000, /* start of the fault */
    FAULT_MS = 5000,        /* length of the fault */
    LOST_MS = 1800,         /* silence after which an instance counts as lost */
    PERMIT_TIMEOUT_MS = 500,
    WINDOW_MS = 4000,
    HORIZON_MS = 8192, /* longest delay of an event */
    COLD_SENDERS_MAX = 512,
};

typedef enum {
    EVENT_PERMIT_REQUEST,
    EVENT_PERMIT_RESPONSE,
    EVENT_ARRIVAL,
    EVENT_PERMIT_TIMEOUT
} event_kind_t;

typedef struct {
    event_kind_t kind;
    unsigned from; /* the requesting or sending instance */
    unsigned to;
    uint64_t requested_ms;
    bool granted;
    uint32_t wait_ms;
} event_t;

typedef struct {
    event_t *items;
    size_t count;
    size_t size;
} events_t;

typedef struct {
    uint64_t permit_from_ms;
    uint64_t pending_since_ms; /* 0: no response is pending */
    bucket_t own;              /* LIMIT_STRATEGY_EVEN, LIMIT_STRATEGY_SENDERS */
    permits_t permits;
} node_t;

typedef struct {
    limit_conf_t conf;
    rng_t rng;
    node_t *nodes;
    events_t ring[HORIZON_MS];
    uint64_t now_ms;
    unsigned *arrivals; /* per millisecond */
    uint64_t messages;
} model_t;

static unsigned
region_of(unsigned index)
{
    return index % REGIONS;
}

static bool
fault_active(const model_t *model)
{
    return model->now_ms >= FAULT_START_MS && (model->conf.fault == LIMIT_FAULT_PARTITION ||
                                               model->now_ms < FAULT_START_MS + FAULT_MS);
}

/* Half of each region, without the owner, is on the other side of the partition. */
static bool
is_partitioned(const model_t *model, unsigned index)
{
    return model->conf.fault == LIMIT_FAULT_PARTITION && index / REGIONS % 2 == 1;
}

static bool
is_paused(const model_t *model, unsigned index)
{
    if (!fault_active(model))
        return false;
    return (model->conf.fault == LIMIT_FAULT_OWNER_PAUSED && index == 0) ||
           model->conf.fault == LIMIT_FAULT_ALL_PAUSED;
}

static bool
is_down(const model_t *model, unsigned index)
{
    return fault_active(model) && (model->conf.fault == LIMIT_FAULT_ALL_RESTART ||
                                   (model->conf.fault == LIMIT_FAULT_OWNER_RESTARTS && index == 0));
}

static bool
can_reach(const model_t *model, unsigned left, unsigned right)
{
    return !fault_active(model) || is_partitioned(model, left) == is_partitioned(model, right);
}

/* Liveness as seen by `self` from heartbeats. */
static bool
seems_alive(const model_t *model, unsigned self, unsigned other)
{
    if (self == other || !fault_active(model) || model->now_ms < FAULT_START_MS + LOST_MS)
        return true;
    return can_reach(model, self, other) && !is_paused(model, other) && !is_down(model, other);
}

/* The owner as seen by `self`: the first live instance of the backend server's region. */
static unsigned
owner_of(const model_t *model, unsigned self)
{
    for (unsigned i = 0; i < model->conf.instances; i += REGIONS) {
        if (seems_alive(model, self, i))
            return i;
    }
    return model->conf.instances;
}

static void
post(model_t *model, uint64_t at_ms, const event_t *event)
{
    events_t *events = &model->ring[at_ms % HORIZON_MS];
    if (events->count == events->size) {
        events->size = events->size > 0 ? 2 * events->size : 4;
        events->items = xrealloc(events->items, events->size * sizeof(*events->items));
    }
    events->items[events->count++] = *event;
}

static uint64_t
delay_ms(unsigned from, unsigned to)
{
    return region_of(from) == region_of(to) ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;
}

/* Sends a request to the backend server, which is in the first region. */
static void
send_request(model_t *model, unsigned from)
{
    const event_t event = {.kind = EVENT_ARRIVAL, .from = from};
    post(model, model->now_ms + delay_ms(from, 0), &event);
}

static permit_rate_t
rate_of(const model_t *model, unsigned owner)
{
    size_t live = 0;
    size_t known = 0;
    for (unsigned i = 0; i < model->conf.instances; i += REGIONS) {
        known++;
        live += seems_alive(model, owner, i);
    }
    return rate_limit_permits(model->conf.limit_per_s, live, known);
}

static bool
take(model_t *model, unsigned owner, uint32_t *wait_ms)
{
    return permits_take(&model->nodes[owner].permits, 1, rate_of(model, owner), model->now_ms,
                        wait_ms);
}

static void
refuse(model_t *model, unsigned index, uint32_t wait_ms)
{
    model->nodes[index].permit_from_ms = model->now_ms + wait_ms;
}

static void
request_permit(model_t *model, unsigned index)
{
    uint32_t wait_ms = 0;
    node_t *node = &model->nodes[index];
    const unsigned owner = owner_of(model, index);
    if (model->now_ms < node->permit_from_ms)
        return;
    if (owner == index) {
        if (take(model, index, &wait_ms))
            send_request(model, index);
        else
            refuse(model, index, wait_ms);
        return;
    }
    const event_t event = {
        .kind = EVENT_PERMIT_REQUEST, .from = index, .to = owner, .requested_ms = model->now_ms};
    const event_t timeout = {
        .kind = EVENT_PERMIT_TIMEOUT, .from = index, .requested_ms = model->now_ms};
    model->messages++;
    node->pending_since_ms = model->now_ms;
    post(model, model->now_ms + delay_ms(index, owner), &event);
    post(model, model->now_ms + PERMIT_LIFETIME_MS + 1, &timeout);
}

static void
on_permit_request(model_t *model, const event_t *event)
{
    if (!can_reach(model, event->from, event->to) || is_down(model, event->to) ||
        owner_of(model, event->to) != event->to)
        return;
    if (is_paused(model, event->to)) { /* read after the pause */
        post(model, FAULT_START_MS + FAULT_MS, event);
        return;
    }
    event_t answer = *event;
    answer.kind = EVENT_PERMIT_RESPONSE;
    answer.granted = take(model, event->to, &answer.wait_ms);
    model->messages++;
    post(model, model->now_ms + delay_ms(event->to, event->from), &answer);
}

static void
on_permit_response(model_t *model, const event_t *event)
{
    node_t *node = &model->nodes[event->from];
    if (!can_reach(model, event->from, event->to) || is_down(model, event->from))
        return;
    if (is_paused(model, event->from)) {
        post(model, FAULT_START_MS + FAULT_MS, event);
        return;
    }
    if (node->pending_since_ms == event->requested_ms)
        node->pending_since_ms = 0;
    if (event->granted && model->now_ms - event->requested_ms <= (uint64_t)PERMIT_LIFETIME_MS)
        send_request(model, event->from);
    else
        refuse(model, event->from, event->wait_ms);
}

static void
on_event(model_t *model, const event_t *event)
{
    switch (event->kind) {
    case EVENT_PERMIT_REQUEST:
        on_permit_request(model, event);
        break;
    case EVENT_PERMIT_RESPONSE:
        on_permit_response(model, event);
        break;
    case EVENT_ARRIVAL:
        model->arrivals[model->now_ms]++;
        break;
    case EVENT_PERMIT_TIMEOUT:
        if (model->nodes[event->from].pending_since_ms == event->requested_ms)
            refuse(model, event->from, PERMIT_TIMEOUT_MS);
        break;
    }
}

/* ---- alternative strategies ---- */

static void
init_buckets(model_t *model)
{
    const limit_conf_t *conf = &model->conf;
    for (unsigned i = 0; i < conf->instances; i++) {
        node_t *node = &model->nodes[i];
        if (conf->strategy == LIMIT_STRATEGY_EVEN)
            bucket_init(&node->own, conf->limit_per_s / conf->instances, 1, 0);
        else
            cold_start_begin(&node->own, conf->limit_per_s, 0);
    }
}

static bool
is_sender(const model_t *model, unsigned index)
{
    cold_sender_t all[COLD_SENDERS_MAX];
    for (unsigned i = 0; i < model->conf.instances; i++)
        all[i] = (cold_sender_t){.key = 1000 + 77 * i, .mesh = region_of(i)};
    return cold_start_is_sender(31, 0, all[index].key, all, model->conf.instances);
}

static void
on_request(model_t *model, unsigned index)
{
    const bool allowed = model->conf.strategy == LIMIT_STRATEGY_EVEN || is_sender(model, index);
    if (is_paused(model, index) || is_down(model, index))
        return;
    if (model->conf.strategy == LIMIT_STRATEGY_PERMITS)
        request_permit(model, index);
    else if (allowed && bucket_take(&model->nodes[index].own, 1, model->now_ms))
        send_request(model, index);
}

/* ---- simulation ---- */

static unsigned
pick_caller(model_t *model)
{
    const limit_conf_t *conf = &model->conf;
    const unsigned callers =
        conf->caller_instances > 0 ? conf->caller_instances * REGIONS : conf->instances;
    /* Without the owner, unless all get requests. */
    const unsigned from = conf->instances - callers;
    return from + (unsigned)(rng_unit(&model->rng) * callers);
}

static void
generate_requests(model_t *model)
{
    const double per_ms = model->conf.limit_per_s * model->conf.demand / 1000;
    double left = -log(1 - rng_unit(&model->rng));
    while (left < per_ms) { /* Poisson process */
        on_request(model, pick_caller(model));
        left -= log(1 - rng_unit(&model->rng));
    }
}

/* A restarted instance does not know of the permits granted before. */
static void
reset_restarted(model_t *model)
{
    const bool all = model->conf.fault == LIMIT_FAULT_ALL_RESTART;
    for (unsigned i = 0; i < model->conf.instances; i++) {
        if (all || (model->conf.fault == LIMIT_FAULT_OWNER_RESTARTS && i == 0))
            permits_free(&model->nodes[i].permits);
    }
}

static void
step(model_t *model)
{
    if (model->now_ms == FAULT_START_MS + FAULT_MS)
        reset_restarted(model);
    events_t *events = &model->ring[model->now_ms % HORIZON_MS];
    events_t due = *events;
    *events = (events_t){0};
    for (size_t i = 0; i < due.count; i++)
        on_event(model, &due.items[i]);
    free(due.items);
    generate_requests(model);
}

static limit_result_t
summarize(const model_t *model)
{
    limit_result_t result = {.messages_per_s = (double)model->messages * 1000 / RUN_MS};
    unsigned in_window = 0;
    unsigned before = 0;
    for (unsigned at = 0; at < RUN_MS; at++) {
        in_window += model->arrivals[at];
        in_window -= at >= WINDOW_MS ? model->arrivals[at - WINDOW_MS] : 0;
        before += at < FAULT_START_MS ? model->arrivals[at] : 0;
        if (in_window > result.max_in_window)
            result.max_in_window = in_window;
    }
    result.utilization = before / (model->conf.limit_per_s * FAULT_START_MS / 1000);
    return result;
}

limit_result_t
limit_model_run(const limit_conf_t *conf)
{
    static model_t model;
    model = (model_t){.conf = *conf, .rng = {conf->seed}};
    model.nodes = xcalloc(conf->instances, sizeof(*model.nodes));
    model.arrivals = xcalloc(RUN_MS, sizeof(*model.arrivals));
    init_buckets(&model);
    for (model.now_ms = 0; model.now_ms < RUN_MS; model.now_ms++)
        step(&model);
    const limit_result_t result = summarize(&model);
    for (unsigned i = 0; i < conf->instances; i++)
        permits_free(&model.nodes[i].permits);
    for (size_t i = 0; i < HORIZON_MS; i++)
        free(model.ring[i].items);
    free(model.nodes);
    free(model.arrivals);
    return result;
}
