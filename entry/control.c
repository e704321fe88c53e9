#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "control"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/control.h"
#include "entry/gossip_heartbeat.h"
#include "entry/gossip_objects.h"
#include "entry/probe.h"
#include "entry/store.h"

/* Chosen; none was measured alone. */
enum {
    ROUND_MS = 1000,             /* between heartbeats */
    SETTLE_IN_MS = 2500,         /* after start, before planning: peers are heard first */
    DEFAULT_DEADLINE_MS = 60000, /* of requests, where no table says otherwise */
    PLAN_CYCLE_MS = 8000,        /* instances other than the first by name plan once in this time */
};

static void
on_plan_written(void *ctx, const platform_answer_t *answer)
{
    node_t *node = ctx;
    node->plan_in_flight = false;
    if (answer->err.code == ERR_NONE)
        LOG_INFO("credit allocation written: epoch=%lu", (unsigned long)answer->version);
    else
        LOG_DBG("credit allocation not written: err=%s", err_name(answer->err.code));
    store_check_allocation(node);
}

static uint64_t
longest_deadline(const node_t *node)
{
    uint64_t longest = 0;
    for (size_t i = 0; i < node->steer->service_count; i++) {
        const table_t *table = node->steer->services[i]->table;
        for (size_t c = 0; c < table->class_count; c++) {
            if (table->classes[c].deadline_ms > longest)
                longest = table->classes[c].deadline_ms;
        }
    }
    return longest > 0 ? longest : DEFAULT_DEADLINE_MS;
}

static plan_member_t *
list_members(const node_t *node, size_t *count, size_t *before_us)
{
    const uint64_t now = node_now(node);
    plan_member_t *members = xcalloc(node->members.count + 1, sizeof(*members));
    members[0] = (plan_member_t){.instance = node->settings.name,
                                 .incarnation = node->incarnation,
                                 .listed = true,
                                 .alive = true,
                                 .surrendered = credit_surrendered(node->credit)};
    *count = 1;
    *before_us = 0;
    for (size_t i = 0; i < node->members.count; i++) {
        const member_t *member = &node->members.items[i];
        const bool alive = member_alive(member, now);
        members[(*count)++] = (plan_member_t){.instance = member->name,
                                              .incarnation = member->incarnation,
                                              .listed = member->listed,
                                              .alive = alive,
                                              .surrendered = member->surrendered};
        if (alive && strcmp(member->name.ptr, node->settings.name.ptr) < 0)
            (*before_us)++;
    }
    return members;
}

/* Plans when it is this instance's turn: the first by name at once, the others later. */
static void
plan_credits(node_t *node)
{
    const uint64_t now = node_now(node);
    if (node->plan_in_flight || !node->store_synced || node->gate.limits.limit == 0 ||
        now < node->started_ms + SETTLE_IN_MS)
        return;
    size_t count;
    size_t before_us;
    plan_member_t *members = list_members(node, &count, &before_us);
    const plan_input_t input = {.region = node->settings.region,
                                .limit = node->gate.limits.limit,
                                .members = members,
                                .member_count = count,
                                .longest_deadline_ms = longest_deadline(node)};
    allocation_t *next = planner_next(node->planner, node->credit, &input, now);
    free(members);
    const bool turn = before_us == 0 || now % PLAN_CYCLE_MS < ROUND_MS;
    if (next == NULL || !turn) {
        allocation_free(next);
        return;
    }
    char *text = allocation_format(next);
    node->plan_in_flight = true;
    platform_put(node->platform, "allocation", node->settings.region.ptr,
                 credit_epoch(node->credit), str_from(text), on_plan_written, node);
    free(text);
    allocation_free(next);
}

static void
update_gauges(node_t *node)
{
    const uint64_t now = node_now(node);
    counter_set(node->counters.epoch, (int64_t)credit_epoch(node->credit));
    counter_set(node->counters.usable, credit_usable(node->credit, now));
    counter_set(node->counters.in_flight, credit_in_flight(node->credit));
    counter_set(node->counters.authority, credit_has_authority(node->credit, now));
}

static void
run_round(node_t *node)
{
    gossip_round(node);
    if (!node->peer_synced && !node->store_synced)
        gossip_sync_seeds(node);
    plan_credits(node);
    probe_round(node);
    key_registry_sweep(node->keys, node_now(node));
    update_gauges(node);
    history_flush(&node->history);
    history_flush(&node->spans);
}

void
control_tick(node_t *node)
{
    const uint64_t now = node_now(node);
    if (node->started_ms == 0) {
        node->started_ms = now;
        node->next_round_ms = now + rng_below(&node->rng, ROUND_MS);
    }
    store_tick(node->follower);
    if (!credit_has_authority(node->credit, now) && node->store_synced)
        store_check_allocation(node);
    if (now < node->next_round_ms)
        return;
    node->next_round_ms = now + ROUND_MS;
    run_round(node);
}
