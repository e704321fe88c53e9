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
    NEAR_MS = 3, /* one way in a region, with the turns of two loops */
    FAR_MS = 37, /* between regions */
    RUN_MS = 60000,
    TROUBLE_MS = 20000, /* begins */
    STILL_MS = 5000,    /* an instance stands still, or is down, for so long */
    LOST_MS = 1800,     /* silence after which an instance counts as lost */
    UNANSWERED_MS = 500,
    WINDOW_MS = 4000,
    HORIZON_MS = 8192, /* an event is at most so far ahead */
    COLD_SENDERS_MAX = 512,
};

typedef enum { EVENT_ASK, EVENT_ANSWER, EVENT_ARRIVAL, EVENT_UNANSWERED } event_kind_t;

typedef struct {
    event_kind_t kind;
    unsigned from; /* who asks, or sends */
    unsigned to;
    uint64_t asked_ms;
    bool given;
    uint32_t wait_ms;
} event_t;

typedef struct {
    event_t *items;
    size_t count;
    size_t size;
} events_t;

typedef struct {
    uint64_t permit_from_ms;
    uint64_t waits_since_ms; /* 0: no answer is missing */
    bucket_t own;            /* LIMIT_EVEN, LIMIT_SENDERS */
    permits_t permits;
} node_t;

typedef struct {
    limit_conf_t conf;
    rng_t rng;
    node_t *nodes;
    events_t ring[HORIZON_MS];
    uint64_t now_ms;
    unsigned *arrivals; /* by millisecond */
    uint64_t messages;
} model_t;

static unsigned
region_of(unsigned index)
{
    return index % REGIONS;
}

static bool
in_trouble(const model_t *model)
{
    return model->now_ms >= TROUBLE_MS &&
           (model->conf.trouble == LIMIT_HALF_CUT || model->now_ms < TROUBLE_MS + STILL_MS);
}

/* Half of each region is on the other side, the owner not. */
static bool
is_apart(const model_t *model, unsigned index)
{
    return model->conf.trouble == LIMIT_HALF_CUT && index / REGIONS % 2 == 1;
}

static bool
is_still(const model_t *model, unsigned index)
{
    if (!in_trouble(model))
        return false;
    return (model->conf.trouble == LIMIT_OWNER_STILL && index == 0) ||
           model->conf.trouble == LIMIT_ALL_STILL;
}

static bool
is_down(const model_t *model, unsigned index)
{
    return in_trouble(model) && (model->conf.trouble == LIMIT_ALL_END ||
                                 (model->conf.trouble == LIMIT_OWNER_ENDS && index == 0));
}

static bool
reaches(const model_t *model, unsigned left, unsigned right)
{
    return !in_trouble(model) || is_apart(model, left) == is_apart(model, right);
}

/* As `self` sees it by heartbeats. */
static bool
seems_alive(const model_t *model, unsigned self, unsigned other)
{
    if (self == other || !in_trouble(model) || model->now_ms < TROUBLE_MS + LOST_MS)
        return true;
    return reaches(model, self, other) && !is_still(model, other) && !is_down(model, other);
}

/* The owner as `self` sees it: the first of the backend server's region. */
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
way_ms(unsigned from, unsigned to)
{
    return region_of(from) == region_of(to) ? NEAR_MS : FAR_MS;
}

/* A request goes out; the backend server is of the first region. */
static void
send_request(model_t *model, unsigned from)
{
    const event_t event = {.kind = EVENT_ARRIVAL, .from = from};
    post(model, model->now_ms + way_ms(from, 0), &event);
}

static permit_rate_t
rate_of(const model_t *model, unsigned owner)
{
    size_t heard = 0;
    size_t known = 0;
    for (unsigned i = 0; i < model->conf.instances; i += REGIONS) {
        known++;
        heard += seems_alive(model, owner, i);
    }
    return rate_limit_permits(model->conf.limit_per_s, heard, known);
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
ask(model_t *model, unsigned index)
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
        .kind = EVENT_ASK, .from = index, .to = owner, .asked_ms = model->now_ms};
    const event_t unanswered = {.kind = EVENT_UNANSWERED, .from = index, .asked_ms = model->now_ms};
    model->messages++;
    node->waits_since_ms = model->now_ms;
    post(model, model->now_ms + way_ms(index, owner), &event);
    post(model, model->now_ms + PERMIT_LIFETIME_MS + 1, &unanswered);
}

static void
on_ask(model_t *model, const event_t *event)
{
    if (!reaches(model, event->from, event->to) || is_down(model, event->to) ||
        owner_of(model, event->to) != event->to)
        return;
    if (is_still(model, event->to)) { /* read when it goes on */
        post(model, TROUBLE_MS + STILL_MS, event);
        return;
    }
    event_t answer = *event;
    answer.kind = EVENT_ANSWER;
    answer.given = take(model, event->to, &answer.wait_ms);
    model->messages++;
    post(model, model->now_ms + way_ms(event->to, event->from), &answer);
}

static void
on_answer(model_t *model, const event_t *event)
{
    node_t *node = &model->nodes[event->from];
    if (!reaches(model, event->from, event->to) || is_down(model, event->from))
        return;
    if (is_still(model, event->from)) {
        post(model, TROUBLE_MS + STILL_MS, event);
        return;
    }
    if (node->waits_since_ms == event->asked_ms)
        node->waits_since_ms = 0;
    if (event->given && model->now_ms - event->asked_ms <= (uint64_t)PERMIT_LIFETIME_MS)
        send_request(model, event->from);
    else
        refuse(model, event->from, event->wait_ms);
}

static void
on_event(model_t *model, const event_t *event)
{
    switch (event->kind) {
    case EVENT_ASK:
        on_ask(model, event);
        break;
    case EVENT_ANSWER:
        on_answer(model, event);
        break;
    case EVENT_ARRIVAL:
        model->arrivals[model->now_ms]++;
        break;
    case EVENT_UNANSWERED:
        if (model->nodes[event->from].waits_since_ms == event->asked_ms)
            refuse(model, event->from, UNANSWERED_MS);
        break;
    }
}

/* ---- the other ways ---- */

static void
init_others(model_t *model)
{
    const limit_conf_t *conf = &model->conf;
    for (unsigned i = 0; i < conf->instances; i++) {
        node_t *node = &model->nodes[i];
        if (conf->way == LIMIT_EVEN)
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
        all[i] = (cold_sender_t){.key = 1000 + 77 * i, .region = region_of(i)};
    return cold_start_is_sender(31, 0, all[index].key, all, model->conf.instances);
}

static void
on_request(model_t *model, unsigned index)
{
    const bool may = model->conf.way == LIMIT_EVEN || is_sender(model, index);
    if (is_still(model, index) || is_down(model, index))
        return;
    if (model->conf.way == LIMIT_PERMITS)
        ask(model, index);
    else if (may && bucket_take(&model->nodes[index].own, 1, model->now_ms))
        send_request(model, index);
}

/* ---- the run ---- */

static unsigned
draw_caller(model_t *model)
{
    const limit_conf_t *conf = &model->conf;
    const unsigned most = conf->callers_at > 0 ? conf->callers_at * REGIONS : conf->instances;
    const unsigned from = conf->instances - most; /* not at the owner, unless at all */
    return from + (unsigned)(rng_unit(&model->rng) * most);
}

static void
draw_requests(model_t *model)
{
    const double per_ms = model->conf.limit_per_s * model->conf.demand / 1000;
    double left = -log(1 - rng_unit(&model->rng));
    while (left < per_ms) { /* a Poisson process */
        on_request(model, draw_caller(model));
        left -= log(1 - rng_unit(&model->rng));
    }
}

/* What has started again knows of no permits that were given out. */
static void
forget_permits(model_t *model)
{
    const bool all = model->conf.trouble == LIMIT_ALL_END;
    for (unsigned i = 0; i < model->conf.instances; i++) {
        if (all || (model->conf.trouble == LIMIT_OWNER_ENDS && i == 0))
            permits_free(&model->nodes[i].permits);
    }
}

static void
step(model_t *model)
{
    if (model->now_ms == TROUBLE_MS + STILL_MS)
        forget_permits(model);
    events_t *events = &model->ring[model->now_ms % HORIZON_MS];
    events_t due = *events;
    *events = (events_t){0};
    for (size_t i = 0; i < due.count; i++)
        on_event(model, &due.items[i]);
    free(due.items);
    draw_requests(model);
}

static limit_result_t
sum_up(const model_t *model)
{
    limit_result_t result = {.messages_per_s = (double)model->messages * 1000 / RUN_MS};
    unsigned in_window = 0;
    unsigned before = 0;
    for (unsigned at = 0; at < RUN_MS; at++) {
        in_window += model->arrivals[at];
        in_window -= at >= WINDOW_MS ? model->arrivals[at - WINDOW_MS] : 0;
        before += at < TROUBLE_MS ? model->arrivals[at] : 0;
        if (in_window > result.most)
            result.most = in_window;
    }
    result.used = before / (model->conf.limit_per_s * TROUBLE_MS / 1000);
    return result;
}

limit_result_t
limit_model_run(const limit_conf_t *conf)
{
    static model_t model;
    model = (model_t){.conf = *conf, .rng = {conf->seed}};
    model.nodes = xcalloc(conf->instances, sizeof(*model.nodes));
    model.arrivals = xcalloc(RUN_MS, sizeof(*model.arrivals));
    init_others(&model);
    for (model.now_ms = 0; model.now_ms < RUN_MS; model.now_ms++)
        step(&model);
    const limit_result_t result = sum_up(&model);
    for (unsigned i = 0; i < conf->instances; i++)
        permits_free(&model.nodes[i].permits);
    for (size_t i = 0; i < HORIZON_MS; i++)
        free(model.ring[i].items);
    free(model.nodes);
    free(model.arrivals);
    return result;
}
