#include <string.h>

#include "entry/path/answer.h"
#include "entry/path/attempt.h"
#include "entry/path/local.h"
#include "entry/path/remote.h"
#include "entry/path/route.h"
#include "entry/path/waiting.h"

/* Chosen; none was measured alone. */
enum {
    QUEUE_MAX = 256,     /* waiting requests of this instance */
    QUEUE_SPILL_MS = 20, /* wait before another region is tried */
    QUEUE_LOOK_MAX = 64, /* requests looked at in one run of the queue */
    HEDGE_MIN_MS = 10,   /* no second attempt before */
};

/* Times the usual slow answer of its class after which a request is hedged. Chosen, not measured
 * alone. */
#define HEDGE_FACTOR 1.5

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

void
route_request(exchange_t *x)
{
    node_t *node = x->node;
    service_t *service = current_service(x);
    if (service == NULL) {
        answer_refuse(x, 503, "not_ready");
        return;
    }
    if (local_try(x, service))
        return;
    /* A new instance has no credits until its predecessor's have rested. */
    const uint64_t now = node_now(node);
    if (x->hop == HOP_CALLER && credit_usable(node->credit, now) <= CREDIT_FLOOR &&
        remote_try_neighbour(x))
        return;
    const bool no_share = strcmp(x->refusal, "no_share_here") == 0;
    if (no_share && x->hop == HOP_CALLER && remote_try_region(x, service, false))
        return;
    if (no_share || node->waiting_count >= QUEUE_MAX) {
        answer_give_up(x, false, no_share ? x->refusal : "queue_full");
        return;
    }
    waiting_add(x);
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
        (local_try(x, service) || (x->hop == HOP_CALLER && waited >= QUEUE_SPILL_MS &&
                                   x->class_.repeatable && remote_try_region(x, service, true)))) {
        waiting_remove(x);
        return;
    }
    if (now < x->queue_until_ms)
        return;
    waiting_remove(x);
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
    if (service == NULL || !attempt_budget_withdraw(&node->extra))
        return;
    if (local_try(x, service))
        counter_add(node->counters.hedges, 1);
}
