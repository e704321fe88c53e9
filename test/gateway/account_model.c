#include "test/gateway/account_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "gateway/state/account_ledgers.h"
#include "gateway/state/account_uses.h"

enum {
    STEP_MS = 5,
    REGIONS = 3,
    REGION_LATENCY_MS = 5,        /* one-way latency in a region, including the loops */
    INTER_REGION_LATENCY_MS = 40, /* one-way latency between regions */
    REPORT_MS = 50,
    ANSWER_MS = 250,
    AVOID_MS = 2500,
    REVIEW_MS = 1000,
    UNREACHABLE_MS = 2000, /* silence after which a member counts as unreachable */
    GOSSIP_MS = 440,       /* between heartbeats */
    WINDOW_MS = 5000,      /* over which the excess is measured */
    QUEUE_SLOTS = 16,      /* slots of the message queue, one for each step of latency */
    WARMUP_MS = 20000, /* uptime of the instances at the first request, unless it is a cold start */
};

typedef enum { MESSAGE_REPORT, MESSAGE_GRANT, MESSAGE_EXCHANGE, MESSAGE_DEMAND } message_kind_t;

typedef struct {
    message_kind_t kind;
    unsigned from;
    unsigned to;
    uint64_t source;
    ledger_report_t report;
    ledger_grant_t grant;
    uint64_t predecessor;
    bool leaving;
    uint64_t acked_used;
    bool is_answer;
    ledger_exchange_t exchange;
    double demand;
} message_t;

typedef struct {
    message_t *items;
    size_t count;
    size_t size;
} mail_t;

typedef struct {
    unsigned region;
    bool up;
    bool stalled;
    bool partitioned; /* on the smaller side of a partition */
    unsigned incarnation;
    unsigned queued; /* requests received during a stall */
    account_uses_t uses;
    ledgers_t ledgers;
    uint64_t report_ms; /* next report; 0: none is due */
    uint64_t reviewed_ms;
    uint64_t *avoided_until;   /* by instance */
    uint64_t *heard_ms;        /* last heartbeat, by instance */
    bool *refuses_connections; /* known to have ended, by instance */
    /* STRATEGY_GOSSIP */
    event_rate_t demand_rate;
    double *demand; /* last received, by instance */
    bucket_t bucket;
    uint64_t last_gossip_ms;
} node_t;

typedef struct {
    model_conf_t conf;
    rng_t rng;
    config_account_t account;
    node_t *nodes;
    mail_t ring[QUEUE_SLOTS];
    uint64_t now_ms;
    bucket_t ideal;
    unsigned *admitted; /* by step */
    uint64_t messages;
    model_result_t result;
    model_event_t event; /* in force */
} model_t;

/* ---- messages ---- */

static bool
can_reach(const model_t *model, unsigned from, unsigned to)
{
    const node_t *a = &model->nodes[from];
    const node_t *b = &model->nodes[to];
    return a->up && b->up && a->partitioned == b->partitioned;
}

static void mark_refusing(model_t *model, unsigned self, unsigned other);

static void
send_message(model_t *model, const message_t *message)
{
    const bool near = model->nodes[message->from].region == model->nodes[message->to].region;
    mail_t *mail =
        &model->ring[(model->now_ms + (near ? REGION_LATENCY_MS : INTER_REGION_LATENCY_MS)) /
                     STEP_MS % QUEUE_SLOTS];
    if (message->from != message->to)
        model->messages++;
    mark_refusing(model, message->from, message->to);
    if (mail->count == mail->size) {
        mail->size = mail->size > 0 ? mail->size * 2 : QUEUE_SLOTS;
        mail->items = xrealloc(mail->items, mail->size * sizeof(*mail->items));
    }
    mail->items[mail->count++] = *message;
}

static uint64_t
source_of(const model_t *model, unsigned index)
{
    return (uint64_t)model->nodes[index].incarnation << 32U | (index + 1);
}

/* ---- owners ---- */

static bool
is_considered_alive(const model_t *model, unsigned self, unsigned other)
{
    return self == other ||
           model->now_ms - model->nodes[self].heard_ms[other] < (uint64_t)UNREACHABLE_MS;
}

/* Order in which a region's instances become owner: the first of each region, which events affect
 * first, then the others at random. */
static uint64_t
owner_order(const model_t *model, unsigned index)
{
    const uint64_t pair[] = {model->conf.seed, index};
    return index < REGIONS ? 0 : str_hash((str_t){(const char *)pair, sizeof(pair)}, 1) | 1U;
}

/* The owner in a region as seen by `self`, or the successor number `rank`; the number of instances
 * if there is none. */
static unsigned
region_owner(const model_t *model, unsigned self, unsigned region, unsigned rank)
{
    const node_t *node = &model->nodes[self];
    uint64_t least = 0;
    unsigned best = model->conf.instances;
    for (unsigned nth = 0; nth <= rank; nth++) {
        unsigned next = model->conf.instances;
        for (unsigned i = region; i < model->conf.instances; i += REGIONS) {
            const bool fits = node->region != region || (is_considered_alive(model, self, i) &&
                                                         !node->refuses_connections[i]);
            const uint64_t order = owner_order(model, i);
            if (fits && (nth == 0 || order > least) &&
                (next == model->conf.instances || order < owner_order(model, next)))
                next = i;
        }
        if (next == model->conf.instances)
            break;
        best = next;
        least = owner_order(model, next);
    }
    return best;
}

/* The owner of the own region: the first of three that is not being avoided. */
static unsigned
local_owner(const model_t *model, unsigned self)
{
    enum { ASKED_MAX = 3 };
    const node_t *node = &model->nodes[self];
    for (unsigned rank = 0; rank < ASKED_MAX; rank++) {
        const unsigned owner = region_owner(model, self, node->region, rank);
        if (owner < model->conf.instances && model->now_ms >= node->avoided_until[owner])
            return owner;
    }
    return region_owner(model, self, node->region, 0);
}

static source_state_t
state_of(void *ctx, uint64_t source)
{
    const model_t *const *pair = ctx;
    const model_t *model = pair[0];
    const unsigned self = (unsigned)((const node_t *)(const void *)pair[1] - model->nodes);
    const unsigned index = (unsigned)(source & 0xffffffffU) - 1;
    if (model->nodes[self].refuses_connections[index])
        return SOURCE_ENDED;
    if (!is_considered_alive(model, self, index))
        return SOURCE_UNREACHABLE;
    return source_of(model, index) == source ? SOURCE_ALIVE : SOURCE_ENDED;
}

static bool
is_silent(const model_t *model, unsigned self, uint64_t source)
{
    const unsigned index = (unsigned)(source & 0xffffffffU) - 1;
    const node_t *node = &model->nodes[self];
    return source != 0 && !node->refuses_connections[index] &&
           (model->now_ms < node->avoided_until[index] || !is_considered_alive(model, self, index));
}

/* The end of a process is detected by a refused connection. */
static void
mark_refusing(model_t *model, unsigned self, unsigned other)
{
    node_t *node = &model->nodes[self];
    if (model->nodes[other].up || model->nodes[other].partitioned != node->partitioned ||
        node->refuses_connections[other])
        return;
    node->refuses_connections[other] = true;
    node->avoided_until[other] = model->now_ms + AVOID_MS;
    node->reviewed_ms = 0;
    account_use_t *use = account_uses_find(&node->uses, model->account.id);
    if (use != NULL && use->owner == other) {
        use->report_due = true;
        node->report_ms = model->now_ms + REPORT_MS;
    }
}

static void
send_report(model_t *model, unsigned self, account_use_t *use)
{
    node_t *node = &model->nodes[self];
    if (use->owner < model->conf.instances && use->owner_unanswered_since_ms != 0 &&
        model->now_ms - use->owner_unanswered_since_ms > ANSWER_MS)
        node->avoided_until[use->owner] = model->now_ms + AVOID_MS;
    const unsigned owner = local_owner(model, self);
    use->report_due = false;
    use->last_report_ms = model->now_ms;
    if (use->owner_unanswered_since_ms == 0 || use->owner != owner)
        use->owner_unanswered_since_ms = model->now_ms;
    if (use->owner != owner && use->owner < model->conf.instances && use->grant_owner != 0) {
        const message_t left = {.kind = MESSAGE_REPORT,
                                .from = self,
                                .to = (unsigned)use->owner,
                                .source = source_of(model, self),
                                .leaving = true};
        send_message(model, &left);
    }
    use->owner = owner;
    if (use->unanswered_since_ms == 0)
        use->unanswered_since_ms = model->now_ms;
    const message_t message = {
        .kind = MESSAGE_REPORT,
        .from = self,
        .to = owner,
        .source = source_of(model, self),
        .report =
            {
                .used = use->used,
                .requested = use->requested,
                .acked_used = use->acked_used,
                .has_grant = use->grant_owner != 0,
                .owner = use->grant_owner,
                .owner_unreachable = is_silent(model, self, use->grant_owner),
                .tokens = use->tokens,
                .share_per_s = use->limiter.share_per_s,
                .region_per_s = use->region_per_s,
                .demand_per_s = use->demand_per_s,
                .limited = use->limiter.limited,
            },
    };
    if (owner < model->conf.instances)
        send_message(model, &message);
}

static void
send_grants(model_t *model, unsigned self, ledger_t *ledger, bool all)
{
    for (unsigned i = 0; i < model->conf.instances; i++) {
        if (model->nodes[i].region != model->nodes[self].region ||
            !is_considered_alive(model, self, i) ||
            (!all && ledger_has_reporter(ledger, source_of(model, i))))
            continue;
        const message_t message = {
            .kind = MESSAGE_GRANT,
            .from = self,
            .to = i,
            .source = source_of(model, self),
            .predecessor = ledger_predecessor(ledger),
            .grant = ledger_grant(ledger, source_of(model, i), model->now_ms),
        };
        send_message(model, &message);
    }
}

static void
on_report(model_t *model, const message_t *message)
{
    node_t *node = &model->nodes[message->to];
    if (message->leaving) {
        ledger_t *left = ledgers_find(&node->ledgers, model->account.id);
        if (left != NULL)
            ledger_remove_reporter(left, message->source);
        return;
    }
    ledger_t *ledger = ledgers_get(&node->ledgers, &model->account, model->now_ms);
    ledger_set_limit(ledger, &model->account, model->now_ms);
    const uint64_t before = ledger_predecessor(ledger);
    ledger_report(ledger, message->source, &message->report, model->now_ms);
    if (ledger_update_limited(ledger, model->now_ms) || ledger_predecessor(ledger) != before)
        send_grants(model, message->to, ledger, true);
    const message_t answer = {
        .kind = MESSAGE_GRANT,
        .from = message->to,
        .to = message->from,
        .source = source_of(model, message->to),
        .grant = ledger_grant(ledger, message->source, model->now_ms),
        .acked_used = message->report.used,
        .is_answer = true,
    };
    send_message(model, &answer);
}

static void
on_grant(model_t *model, const message_t *message)
{
    node_t *node = &model->nodes[message->to];
    account_use_t *use = account_uses_find(&node->uses, model->account.id);
    if (use == NULL && message->grant.limited) {
        use = account_uses_get(&node->uses, &model->account, model->now_ms);
        use->owner = message->from;
    }
    if (use != NULL && message->predecessor != 0 && use->owner != message->from &&
        source_of(model, (unsigned)use->owner) == message->predecessor) {
        node->avoided_until[use->owner] = model->now_ms + AVOID_MS;
        use->report_due = true;
        node->report_ms = model->now_ms;
    }
    if (use == NULL || use->owner != message->from)
        return;
    if (message->is_answer) {
        use->acked_used = message->acked_used;
        use->unanswered_since_ms = 0;
        use->owner_unanswered_since_ms = 0;
    }
    account_limiter_set_share(&use->limiter, message->grant.limited, message->grant.share_per_s,
                              model->now_ms);
    use->grant_owner = message->source;
    use->tokens = message->grant.tokens;
    use->region_per_s = message->grant.region_per_s;
    if (message->grant.demand_per_s > 0)
        use->demand_per_s = message->grant.demand_per_s;
    if (account_use_needs_keepalive(use) && node->report_ms == 0)
        node->report_ms = model->now_ms + REPORT_MS;
}

static void
on_exchange(model_t *model, const message_t *message)
{
    node_t *node = &model->nodes[message->to];
    const unsigned owner = local_owner(model, message->to);
    if (message->exchange.addr.v4.sin_port == message->to)
        return; /* its own, passed on; account_sync_on_exchange() drops it too */
    if (ledgers_find(&node->ledgers, model->account.id) == NULL && owner != message->to) {
        message_t passed_on = *message;
        passed_on.to = owner;
        if (!message->is_answer && owner < model->conf.instances) {
            passed_on.is_answer = true; /* at most once */
            passed_on.from = message->to;
            send_message(model, &passed_on);
        }
        return;
    }
    ledger_exchange(ledgers_get(&node->ledgers, &model->account, model->now_ms), &message->exchange,
                    model->now_ms);
}

static void
send_exchange(model_t *model, unsigned self, ledger_t *ledger, bool leaves)
{
    const node_t *node = &model->nodes[self];
    message_t message = {.kind = MESSAGE_EXCHANGE, .from = self};
    message.exchange = ledger_next_exchange(ledger, model->now_ms);
    if (leaves)
        message.exchange.demand_per_s = 0;
    message.exchange.mesh = node->region;
    message.exchange.addr.v4.sin_port =
        (in_port_t)self; /* the instance's index instead of an address */
    for (unsigned region = 0; region < REGIONS; region++) {
        const unsigned rank = ledger->exchanges_sent % 8;
        bool heard = false;
        for (size_t i = 0; i < ledger->peer_count; i++) {
            if (ledger->peers[i].mesh != region ||
                model->now_ms - ledger->peers[i].last_exchange_ms > 1200)
                continue;
            heard = true;
            message.to = ledger->peers[i].addr.v4.sin_port;
            send_message(model, &message);
        }
        message.to = region == node->region ? local_owner(model, self)
                                            : region_owner(model, self, region, rank);
        if (!heard && message.to < model->conf.instances && message.to != self)
            send_message(model, &message);
    }
}

static void
run_owner(model_t *model, unsigned self)
{
    node_t *node = &model->nodes[self];
    ledger_t *ledger = ledgers_find(&node->ledgers, model->account.id);
    const model_t *pair[] = {model, (const model_t *)(const void *)node};
    if (ledger == NULL)
        return;
    if (ledger->limited && ledger_update_limited(ledger, model->now_ms))
        send_grants(model, self, ledger, true);
    if (ledger_exchange_is_due(ledger, model->now_ms))
        send_exchange(model, self, ledger, false);
    if (model->now_ms - node->reviewed_ms < REVIEW_MS)
        return;
    node->reviewed_ms = model->now_ms;
    if (local_owner(model, self) != self && ledger_has_no_reporters(ledger, model->now_ms)) {
        send_exchange(model, self, ledger, true);
        ledgers_remove(&node->ledgers, ledger);
        return;
    }
    unsigned living = 0;
    for (unsigned i = node->region; i < model->conf.instances; i += REGIONS)
        living += is_considered_alive(model, self, i);
    const ledger_view_t view = {state_of, pair, 2 * living * REGIONS > model->conf.instances};
    ledger_set_limit(ledger, &model->account, model->now_ms);
    ledger_expire_leases(ledger, &view, model->now_ms);
    if (ledger_update_limited(ledger, model->now_ms))
        send_grants(model, self, ledger, true);
    else if (ledger->limited)
        send_grants(model, self, ledger, false);
}

static void
report_if_due(model_t *model, unsigned self)
{
    node_t *node = &model->nodes[self];
    account_use_t *use = account_uses_find(&node->uses, model->account.id);
    if (use == NULL || node->report_ms == 0 || model->now_ms < node->report_ms)
        return;
    const bool late = use->owner_unanswered_since_ms != 0 &&
                      model->now_ms - use->owner_unanswered_since_ms > ANSWER_MS;
    if (account_use_report_is_due(use, model->now_ms) || late)
        send_report(model, self, use);
    const bool more = use->unanswered_since_ms != 0 || account_use_needs_keepalive(use);
    node->report_ms = more ? model->now_ms + REPORT_MS : 0;
}

/* ---- gossip strategy ---- */

static double
demand_fraction(const model_t *model, unsigned self)
{
    const node_t *node = &model->nodes[self];
    const double own = event_rate_per_s(&node->demand_rate, 2000, model->now_ms) + 0.05;
    double all = own;
    for (unsigned i = 0; i < model->conf.instances; i++)
        all += i != self ? node->demand[i] : 0;
    return own / all;
}

static void
gossip_demand(model_t *model, unsigned self)
{
    node_t *node = &model->nodes[self];
    node->last_gossip_ms = model->now_ms;
    for (unsigned i = 0; i < model->conf.instances; i++) {
        const message_t message = {
            .kind = MESSAGE_DEMAND,
            .from = self,
            .to = i,
            .demand = event_rate_per_s(&node->demand_rate, 2000, model->now_ms) + 0.05,
        };
        if (i != self)
            send_message(model, &message);
    }
}

static bool
gossip_admits(model_t *model, unsigned self)
{
    node_t *node = &model->nodes[self];
    const double fraction = demand_fraction(model, self);
    event_rate_add(&node->demand_rate, 1, 2000, model->now_ms);
    bucket_set_rate(&node->bucket, fraction * model->account.rate_per_s,
                    fmax(1, fraction * model->account.burst), model->now_ms);
    if (bucket_take(&node->bucket, 1, model->now_ms))
        return true;
    if (model->now_ms - node->last_gossip_ms >= REPORT_MS)
        gossip_demand(model, self);
    return false;
}

/* ---- requests ---- */

static bool
admits(model_t *model, unsigned self)
{
    node_t *node = &model->nodes[self];
    uint32_t retry_after_ms;
    account_use_t *use;
    if (model->conf.strategy == STRATEGY_EVEN) {
        const double fraction = 1.0 / model->conf.instances;
        bucket_set_rate(&node->bucket, fraction * model->account.rate_per_s,
                        fmax(1, fraction * model->account.burst), model->now_ms);
        return bucket_take(&node->bucket, 1, model->now_ms);
    }
    if (model->conf.strategy == STRATEGY_GOSSIP)
        return gossip_admits(model, self);
    node->uses.instances = model->conf.instances;
    const bool admitted =
        account_uses_admit(&node->uses, &model->account, 0.5, model->now_ms, &use, &retry_after_ms);
    account_uses_release(use);
    if (node->report_ms == 0)
        node->report_ms = model->now_ms + REPORT_MS;
    return admitted;
}

static void
handle_request(model_t *model, unsigned self)
{
    const bool admitted = admits(model, self);
    model->result.requested++;
    model->result.ideal += bucket_take(&model->ideal, 1, model->now_ms);
    model->result.admitted += admitted;
    model->admitted[model->now_ms / STEP_MS] += admitted;
}

/* A random instance that is up and receives requests; the number of instances if there is none. */
static unsigned
random_instance(model_t *model)
{
    for (unsigned tries = 0; tries < 64; tries++) {
        const unsigned i = (unsigned)rng_below(&model->rng, model->conf.instances);
        const node_t *node = &model->nodes[i];
        const unsigned spread = model->conf.spread > 0 ? model->conf.spread : model->conf.instances;
        if (node->up && i / REGIONS < spread && (!model->event.moved || node->region == 1))
            return i;
    }
    return model->conf.instances;
}

static unsigned
poisson(rng_t *rng, double mean)
{
    const double limit = exp(-mean);
    double product = rng_unit(rng);
    unsigned count = 0;
    while (product > limit) {
        product *= rng_unit(rng);
        count++;
    }
    return count;
}

static void
generate_requests(model_t *model)
{
    const double load_factor = model->event.surge > 0 ? model->event.surge : 1;
    const double per_s = model->conf.rate_per_s * model->conf.base_load * load_factor;
    unsigned count = poisson(&model->rng, per_s * STEP_MS / 1000);
    while (count-- > 0) {
        const unsigned to = random_instance(model);
        if (to == model->conf.instances)
            continue;
        if (model->nodes[to].stalled)
            model->nodes[to].queued++;
        else
            handle_request(model, to);
    }
}

/* ---- fleet ---- */

static void
start_node(model_t *model, unsigned index)
{
    node_t *node = &model->nodes[index];
    account_uses_free(&node->uses);
    ledgers_free(&node->ledgers);
    node->incarnation++;
    node->ledgers.started_ms = model->now_ms;
    node->ledgers.source = source_of(model, index);
    node->report_ms = 0;
    bucket_init(&node->bucket, 0, 1, model->now_ms);
    memset(node->avoided_until, 0, model->conf.instances * sizeof(*node->avoided_until));
    for (unsigned i = 0; i < model->conf.instances; i++)
        node->heard_ms[i] = model->now_ms;
}

static bool
is_affected(const model_t *model, unsigned index, double fraction)
{
    /* An event always affects the first instances of each region, owners included. */
    const unsigned rank = index / REGIONS;
    return rank < fraction * model->conf.instances / REGIONS;
}

static void
apply_event(model_t *model)
{
    model_event_t event = {0};
    const uint64_t at_ms = model->now_ms - WARMUP_MS;
    for (size_t i = 0; i < model->conf.event_count; i++) {
        const model_event_t *next = &model->conf.events[i];
        if (at_ms >= next->from_ms && at_ms < next->to_ms) {
            event.surge = next->surge > 0 ? next->surge : event.surge;
            event.partitioned = next->partitioned > 0 ? next->partitioned : event.partitioned;
            event.killed = next->killed > 0 ? next->killed : event.killed;
            event.stalled = next->stalled > 0 ? next->stalled : event.stalled;
            event.new_limit = next->new_limit > 0 ? next->new_limit : event.new_limit;
            event.moved |= next->moved;
        }
    }
    model->event = event;
    const double limit = event.new_limit > 0 ? event.new_limit : 1;
    model->account.rate_per_s = limit * model->conf.rate_per_s;
    model->account.burst = limit * model->conf.burst;
    bucket_set_rate(&model->ideal, model->account.rate_per_s, fmax(1, model->account.burst),
                    model->now_ms);
    for (unsigned i = 0; i < model->conf.instances; i++) {
        node_t *node = &model->nodes[i];
        const bool up = !is_affected(model, i, event.killed);
        const bool still = is_affected(model, i, event.stalled);
        if (up && !node->up)
            start_node(model, i);
        node->up = up;
        node->partitioned = is_affected(model, i, event.partitioned);
        while (node->stalled && !still && node->queued > 0) {
            node->queued--;
            handle_request(model, i);
        }
        node->stalled = still;
    }
}

static void
exchange_heartbeats(model_t *model)
{
    for (unsigned i = 0; i < model->conf.instances; i++) {
        for (unsigned k = 0; k < model->conf.instances; k++) {
            node_t *node = &model->nodes[i];
            if (can_reach(model, k, i) && !model->nodes[k].stalled) {
                node->heard_ms[k] = model->now_ms;
                if (node->refuses_connections[k])
                    node->avoided_until[k] = 0;
                node->refuses_connections[k] = false;
            } else {
                mark_refusing(model, i, k);
            }
        }
        if (model->conf.strategy == STRATEGY_GOSSIP && model->nodes[i].up &&
            !model->nodes[i].stalled)
            gossip_demand(model, i);
    }
}

static void
deliver(model_t *model)
{
    mail_t mail = model->ring[model->now_ms / STEP_MS % QUEUE_SLOTS];
    model->ring[model->now_ms / STEP_MS % QUEUE_SLOTS] = (mail_t){0};
    for (size_t i = 0; i < mail.count; i++) {
        const message_t *message = &mail.items[i];
        if (!can_reach(model, message->from, message->to) || model->nodes[message->to].stalled)
            continue;
        switch (message->kind) {
        case MESSAGE_REPORT:
            on_report(model, message);
            break;
        case MESSAGE_GRANT:
            on_grant(model, message);
            break;
        case MESSAGE_EXCHANGE:
            on_exchange(model, message);
            break;
        case MESSAGE_DEMAND:
            model->nodes[message->to].demand[message->from] = message->demand;
            break;
        }
    }
    free(mail.items);
}

static void
step(model_t *model)
{
    apply_event(model);
    deliver(model);
    if (model->now_ms % GOSSIP_MS < STEP_MS)
        exchange_heartbeats(model);
    for (unsigned i = 0; i < model->conf.instances; i++) {
        if (!model->nodes[i].up || model->nodes[i].stalled ||
            model->conf.strategy != STRATEGY_OWNERS)
            continue;
        report_if_due(model, i);
        if (model->now_ms % REPORT_MS < STEP_MS)
            run_owner(model, i);
    }
    generate_requests(model);
}

/* Measures the largest number of requests admitted in any window beyond the limit. */
static void
measure_windows(model_t *model)
{
    const size_t steps = model->conf.length_ms / STEP_MS;
    const size_t width = WINDOW_MS / STEP_MS;
    const double allowed = model->conf.rate_per_s * WINDOW_MS / 1000.0 + model->conf.burst;
    double most = 0;
    double sum = 0;
    for (size_t i = 0; i < steps; i++) {
        sum += model->admitted[i];
        if (i >= width)
            sum -= model->admitted[i - width];
        most = fmax(most, sum);
    }
    model->result.window_excess = most - allowed;
    model->result.window_bound = 0.1 * allowed + 20;
}

model_result_t
model_run(const model_conf_t *conf)
{
    model_t model = {.conf = *conf, .rng = {conf->seed}, .now_ms = WARMUP_MS};
    model.account =
        (config_account_t){.id = 7, .rate_per_s = conf->rate_per_s, .burst = conf->burst};
    name_set(&model.account.name, STR("acme"));
    model.nodes = xcalloc(conf->instances, sizeof(*model.nodes));
    model.admitted = xcalloc((WARMUP_MS + conf->length_ms) / STEP_MS + 1, sizeof(*model.admitted));
    bucket_init(&model.ideal, conf->rate_per_s, fmax(1, conf->burst), 0);
    for (unsigned i = 0; i < conf->instances; i++) {
        model.nodes[i].region = i % REGIONS;
        model.nodes[i].up = true;
        model.nodes[i].avoided_until = xcalloc(conf->instances, sizeof(uint64_t));
        model.nodes[i].heard_ms = xcalloc(conf->instances, sizeof(uint64_t));
        model.nodes[i].demand = xcalloc(conf->instances, sizeof(double));
        model.nodes[i].refuses_connections = xcalloc(conf->instances, sizeof(bool));
        start_node(&model, i);
        if (!conf->cold_start)
            model.nodes[i].ledgers.started_ms = 0;
    }
    for (; model.now_ms < WARMUP_MS + conf->length_ms; model.now_ms += STEP_MS)
        step(&model);
    memmove(model.admitted, model.admitted + WARMUP_MS / STEP_MS,
            conf->length_ms / STEP_MS * sizeof(*model.admitted));
    measure_windows(&model);
    model.result.messages_per_s = (double)model.messages * 1000 / (double)conf->length_ms;
    for (unsigned i = 0; i < conf->instances; i++) {
        account_uses_free(&model.nodes[i].uses);
        ledgers_free(&model.nodes[i].ledgers);
        free(model.nodes[i].avoided_until);
        free(model.nodes[i].heard_ms);
        free(model.nodes[i].demand);
        free(model.nodes[i].refuses_connections);
    }
    for (size_t i = 0; i < QUEUE_SLOTS; i++)
        free(model.ring[i].items);
    free(model.nodes);
    free(model.admitted);
    return model.result;
}

double
model_refused_below_limit(const model_result_t *result)
{
    const double missing = (double)result->ideal - result->admitted;
    return missing > 0 ? missing / result->ideal : 0;
}
