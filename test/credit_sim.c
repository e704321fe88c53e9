#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "entry/region/credit.h"
#include "entry/region/plan.h"
#include "test/credit_sim.h"

enum {
    NODES = 4,
    STEP_MS = 100,
    ROUND_STEPS = 10,
    LONG_DEADLINE_MS = 20000,
    SHORT_DEADLINE_MS = 2000,
    REQUESTS_MAX = 512,
    SILENCE_MS = 3000,
};

typedef struct {
    uint64_t heard_ms[NODES];
    uint64_t stamp_ms[NODES];
    uint64_t incarnation[NODES];
    credit_t *credit;
    planner_t *planner;
    name_t name;
    uint64_t own_incarnation;
    uint64_t paused_until_ms;
    uint64_t down_until_ms;
    uint64_t started_ms;
} sim_node_t;

/* A request at a backend server; it may outlive the instance that sent it. */
typedef struct {
    bool used;
    bool is_long;
    uint64_t ends_ms;
    size_t node;
    uint64_t incarnation;
} sim_request_t;

typedef struct {
    sim_node_t nodes[NODES];
    sim_request_t requests[REQUESTS_MAX];
    char *stored;
    uint64_t version;
    uint64_t outage_until_ms;
    uint64_t cut_until_ms; /* nodes 0 and 1 receive nothing from 2 and 3 */
    uint64_t now_ms;
    rng_t rng;
    const sim_conf_t *conf;
} sim_t;

static bool
one_in(sim_t *sim, uint64_t n)
{
    return rng_below(&sim->rng, n) == 0;
}

static bool
is_up(const sim_t *sim, const sim_node_t *node)
{
    return sim->now_ms >= node->down_until_ms;
}

static bool
acts(const sim_t *sim, const sim_node_t *node)
{
    return is_up(sim, node) && sim->now_ms >= node->paused_until_ms;
}

static void
boot(sim_t *sim, sim_node_t *node)
{
    credit_free(node->credit);
    planner_free(node->planner);
    const name_t name = node->name;
    const uint64_t incarnation = node->own_incarnation + 1;
    *node = (sim_node_t){.name = name, .own_incarnation = incarnation, .started_ms = sim->now_ms};
    node->credit = credit_new(&node->name, incarnation);
    node->planner = planner_new();
}

static bool
can_talk(const sim_t *sim, size_t a, size_t b)
{
    return sim->now_ms >= sim->cut_until_ms || (a < NODES / 2) == (b < NODES / 2);
}

static void
heartbeat(sim_t *sim, size_t from, size_t to)
{
    sim_node_t *sender = &sim->nodes[from];
    sim_node_t *receiver = &sim->nodes[to];
    if (!can_talk(sim, from, to) || one_in(sim, 20) || !acts(sim, receiver))
        return;
    if (sender->own_incarnation < receiver->incarnation[from])
        return;
    receiver->incarnation[from] = sender->own_incarnation;
    receiver->heard_ms[from] = sim->now_ms;
    receiver->stamp_ms[from] = sim->now_ms;
    const credit_report_t report = {.instance = name_str(&sender->name),
                                    .incarnation = sender->own_incarnation,
                                    .epoch = credit_epoch(sender->credit),
                                    .settled = credit_settled(sender->credit),
                                    .asked_ms = sender->incarnation[to] == receiver->own_incarnation
                                                    ? sender->stamp_ms[to]
                                                    : 0};
    credit_peer_report(receiver->credit, &report, sim->now_ms);
}

static void
read_store(sim_t *sim, sim_node_t *node)
{
    if (sim->now_ms < sim->outage_until_ms || sim->stored == NULL)
        return;
    err_t err = {0};
    if (credit_epoch(node->credit) == sim->version) {
        credit_store_confirm(node->credit, sim->version, sim->now_ms);
        return;
    }
    allocation_t *allocation = allocation_parse(str_from(sim->stored), sim->version, &err);
    xassert(allocation != NULL);
    credit_adopt(node->credit, allocation, sim->now_ms);
    credit_store_confirm(node->credit, sim->version, sim->now_ms);
}

static void
plan(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    plan_member_t members[NODES];
    if (sim->now_ms < sim->outage_until_ms || sim->now_ms < node->started_ms + SILENCE_MS)
        return;
    for (size_t i = 0; i < NODES; i++) {
        const bool self = i == index;
        members[i] =
            (plan_member_t){.instance = sim->nodes[i].name,
                            .incarnation = self ? node->own_incarnation : node->incarnation[i],
                            .listed = true,
                            .alive = self || (node->heard_ms[i] != 0 &&
                                              sim->now_ms < node->heard_ms[i] + SILENCE_MS)};
    }
    plan_input_t input = {.limit = sim->conf->limit,
                          .members = members,
                          .member_count = NODES,
                          .longest_deadline_ms = LONG_DEADLINE_MS};
    name_set(&input.region, STR("here"));
    allocation_t *next = planner_next(node->planner, node->credit, &input, sim->now_ms);
    if (next != NULL && credit_epoch(node->credit) == sim->version) {
        free(sim->stored);
        sim->stored = allocation_format(next);
        sim->version++;
    }
    allocation_free(next);
}

static void
start_requests(sim_t *sim, size_t index, sim_result_t *result)
{
    sim_node_t *node = &sim->nodes[index];
    for (size_t i = 0; i < REQUESTS_MAX; i++) {
        sim_request_t *request = &sim->requests[i];
        if (request->used)
            continue;
        const bool is_long = one_in(sim, 4);
        if (!credit_acquire(node->credit, is_long, sim->now_ms))
            return;
        const uint64_t deadline = is_long ? LONG_DEADLINE_MS : SHORT_DEADLINE_MS;
        *request = (sim_request_t){.used = true,
                                   .is_long = is_long,
                                   .ends_ms = sim->now_ms + STEP_MS +
                                              rng_below(&sim->rng, deadline - STEP_MS),
                                   .node = index,
                                   .incarnation = node->own_incarnation};
        result->started++;
    }
}

static void
end_requests(sim_t *sim)
{
    for (size_t i = 0; i < REQUESTS_MAX; i++) {
        sim_request_t *request = &sim->requests[i];
        sim_node_t *node = &sim->nodes[request->node];
        if (!request->used || sim->now_ms < request->ends_ms)
            continue;
        if (node->own_incarnation == request->incarnation && is_up(sim, node)) {
            if (!acts(sim, node))
                continue; /* a paused instance sees the end when it resumes */
            credit_release(node->credit, request->is_long);
        }
        request->used = false;
    }
}

/* Requests in flight at the server; excludes those that a paused instance has not seen end. */
static uint32_t
in_flight(const sim_t *sim)
{
    uint32_t count = 0;
    for (size_t i = 0; i < REQUESTS_MAX; i++)
        count += sim->requests[i].used && sim->now_ms < sim->requests[i].ends_ms;
    return count;
}

static void
lend(sim_t *sim)
{
    const size_t from = (size_t)rng_below(&sim->rng, NODES);
    const size_t to = (size_t)rng_below(&sim->rng, NODES);
    sim_node_t *lender = &sim->nodes[from];
    sim_node_t *borrower = &sim->nodes[to];
    if (from == to || !acts(sim, lender) || !acts(sim, borrower) || !can_talk(sim, from, to))
        return;
    const uint64_t epoch = credit_epoch(borrower->credit);
    const uint32_t granted = credit_lend(lender->credit, epoch, 5, sim->now_ms);
    if (!one_in(sim, 5)) /* otherwise the response is lost */
        credit_borrowed(borrower->credit, epoch, granted);
}

static void
break_things(sim_t *sim)
{
    sim_node_t *node = &sim->nodes[rng_below(&sim->rng, NODES)];
    if (one_in(sim, 900) && is_up(sim, node)) {
        node->down_until_ms = sim->now_ms + 500 + rng_below(&sim->rng, 8000);
        const uint64_t down = node->down_until_ms;
        boot(sim, node);
        node->down_until_ms = down;
        node->started_ms = down;
    }
    if (one_in(sim, 600))
        node->paused_until_ms = sim->now_ms + rng_below(&sim->rng, 15000);
    if (one_in(sim, 1200))
        sim->outage_until_ms = sim->now_ms + rng_below(&sim->rng, 20000);
    if (one_in(sim, 1200))
        sim->cut_until_ms = sim->now_ms + rng_below(&sim->rng, 20000);
}

static void
step(sim_t *sim, uint64_t number, sim_result_t *result)
{
    break_things(sim);
    end_requests(sim);
    for (size_t i = 0; i < NODES; i++) {
        if (!acts(sim, &sim->nodes[i]))
            continue;
        if ((number + i) % ROUND_STEPS == 0) {
            for (size_t j = 0; j < NODES; j++) {
                if (j != i)
                    heartbeat(sim, i, j);
            }
            read_store(sim, &sim->nodes[i]);
            plan(sim, i);
        }
        start_requests(sim, i, result);
    }
    lend(sim);
    const uint32_t now = in_flight(sim);
    result->most = now > result->most ? now : result->most;
    result->violations += now > sim->conf->limit;
    result->mean_use += (double)now / sim->conf->limit;
    sim->now_ms += STEP_MS;
}

sim_result_t
sim_run(const sim_conf_t *conf)
{
    sim_result_t result = {0};
    sim_t *sim = xcalloc(1, sizeof(*sim));
    sim->conf = conf;
    sim->rng.state = conf->seed;
    sim->now_ms = 1000;
    for (size_t i = 0; i < NODES; i++) {
        char text[16];
        snprintf(text, sizeof(text), "node-%zu", i);
        name_set(&sim->nodes[i].name, str_from(text));
        boot(sim, &sim->nodes[i]);
    }
    for (uint64_t i = 0; i < conf->steps; i++)
        step(sim, i, &result);
    result.mean_use /= (double)conf->steps;
    result.epochs = sim->version;
    for (size_t i = 0; i < NODES; i++) {
        credit_free(sim->nodes[i].credit);
        planner_free(sim->nodes[i].planner);
    }
    free(sim->stored);
    free(sim);
    return result;
}
