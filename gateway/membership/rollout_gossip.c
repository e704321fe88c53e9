#include "gateway/membership/rollout_gossip.h"

/* Time for which a verdict is repeated; several heartbeats of a large region. */
enum { VERDICT_REPEATED_MS = 10000 };

/* Age up to which what another mesh said counts: its members send to this one only in turn. */
enum { OTHER_MESH_MAX_MS = 8000 };

/* A group is sent as its three fields. */
enum { GROUP_FIELDS = 3 };
_Static_assert(sizeof(rollout_group_t) == GROUP_FIELDS * sizeof(uint32_t), "fields of a group");

/* ---- sending ---- */

static void
fill_route(Iris__RolloutRoute *message, rollout_route_t *route)
{
    iris__rollout_route__init(message);
    message->route = route->route;
    message->has_objects = route->has_objects;
    message->base_responses = route->base.responses;
    message->base_failures = route->base.failures;
    message->base_latency = route->base.latency;
    message->n_base_latency = ROLLOUT_BUCKETS;
    message->target = (uint32_t *)route->target;
    message->n_target = GROUP_FIELDS * ROLLOUT_GROUPS;
}

static size_t
fill_routes(Iris__RolloutRoute *messages, Iris__RolloutRoute **list, rollout_counts_t *counts)
{
    size_t count = 0;
    list[count] = &messages[count];
    fill_route(&messages[count++], &counts->all);
    for (size_t i = 0; i < counts->route_count; i++) {
        list[count] = &messages[count];
        fill_route(&messages[count++], &counts->routes[i]);
    }
    return count;
}

static size_t
own_mesh(const rollout_gossip_t *gossip)
{
    return members_own_mesh(gossip->members, gossip->self->region);
}

/* True if the report is recent and from a member of the own mesh about itself. */
static bool
is_of_own_member(const rollout_gossip_t *gossip, const rollout_report_t *report)
{
    return !report->is_sum && report->mesh == own_mesh(gossip) &&
           gossip->now_ms - report->heard_ms <= ROLLOUT_REPORT_MAX_MS;
}

static void
sum_mesh(const rollout_gossip_t *gossip, const rollout_t *rollout, rollout_counts_t *out)
{
    rollout_own_counts(rollout, out);
    for (size_t i = 0; i < rollout->report_count; i++) {
        if (is_of_own_member(gossip, &rollout->reports[i]))
            rollout_counts_add(out, &rollout->reports[i].counts);
    }
}

static const rollout_report_t *
find_report(const rollout_gossip_t *gossip, const rollout_t *rollout, uint64_t source)
{
    for (size_t i = 0; i < rollout->report_count; i++) {
        const rollout_report_t *report = &rollout->reports[i];
        if (!report->is_sum && report->source == source &&
            gossip->now_ms - report->heard_ms <= ROLLOUT_REPORT_MAX_MS)
            return report;
    }
    return NULL;
}

/* True if all live members of the own mesh have moved. */
static bool
mesh_moved(const rollout_gossip_t *gossip, const rollout_t *rollout)
{
    if (!rollout->moved)
        return false;
    for (size_t i = 0; i < gossip->members->count; i++) {
        const member_t *member = &gossip->members->items[i];
        if (members_mesh(gossip->members, member) != own_mesh(gossip) ||
            !member_alive(member, gossip->now_ms) ||
            member->incarnation == gossip->self->incarnation)
            continue;
        const rollout_report_t *report = find_report(gossip, rollout, member->incarnation);
        if (report == NULL || !report->moved)
            return false;
    }
    return true;
}

static void
fill_report(const rollout_gossip_t *gossip, rollout_message_t *out, const rollout_t *rollout)
{
    Iris__RolloutReport *message = &out->message;
    const uint64_t now_ms = gossip->now_ms;
    iris__rollout_report__init(message);
    message->order = rollout->id;
    message->elapsed_ms = (uint32_t)(now_ms - rollout->started_ms);
    if (rollout->ramp_from_ms > 0)
        message->ramp_ms = (uint32_t)(now_ms - rollout->ramp_from_ms + 1);
    message->rolled_back = rollout->state == ROLLOUT_ROLLED_BACK ? rollout->reason : 0;
    message->bad_route = rollout->bad_route;
    message->suspicions = rollout->suspicions;
    message->moved = rollout->moved;
    message->mesh_moved = mesh_moved(gossip, rollout);
    if (rollout->state != ROLLOUT_RUNNING)
        return;
    rollout_own_counts(rollout, &out->own);
    message->n_routes = fill_routes(out->routes, out->route_list, &out->own);
    message->routes = out->route_list;
    out->mesh = (rollout_counts_t){0};
    sum_mesh(gossip, rollout, &out->mesh);
    message->n_mesh_routes = fill_routes(out->mesh_routes, out->mesh_route_list, &out->mesh);
    message->mesh_routes = out->mesh_route_list;
}

/* A verdict that was only read from the store reaches the peers from there. */
static bool
is_reported(const rollout_t *rollout, uint64_t now_ms)
{
    if (rollout->state == ROLLOUT_RUNNING)
        return true;
    return rollout->reason != ROLLOUT_REASON_RECORDED &&
           rollout->reason != ROLLOUT_REASON_INVALID &&
           now_ms - rollout->decided_ms < VERDICT_REPEATED_MS;
}

size_t
rollout_gossip_fill(const rollout_gossip_t *gossip, rollout_message_t out[ROLLOUT_REPORTS_MAX])
{
    const rollouts_t *rollouts = gossip->rollouts;
    size_t count = 0;
    for (size_t i = 0; i < rollouts->count && count < ROLLOUT_REPORTS_MAX; i++) {
        if (is_reported(rollouts->items[i], gossip->now_ms))
            fill_report(gossip, &out[count++], rollouts->items[i]);
    }
    return count;
}

/* ---- receiving ---- */

static void
read_route(const Iris__RolloutRoute *message, rollout_route_t *out)
{
    out->has_objects = message->has_objects;
    out->base.responses = message->base_responses;
    out->base.failures = message->base_failures;
    for (size_t i = 0; i < message->n_base_latency && i < ROLLOUT_BUCKETS; i++)
        out->base.latency[i] = message->base_latency[i];
    for (size_t i = 0; i < message->n_target / GROUP_FIELDS && i < ROLLOUT_GROUPS; i++) {
        const uint32_t *fields = &message->target[GROUP_FIELDS * i];
        out->target[i] = (rollout_group_t){fields[0], fields[1], fields[2]};
    }
}

static void
read_routes(Iris__RolloutRoute *const *messages, size_t count, rollout_counts_t *out)
{
    for (size_t i = 0; i < count; i++) {
        rollout_route_t *route =
            messages[i]->route == 0 ? &out->all : rollout_counts_route(out, messages[i]->route);
        if (route != NULL)
            read_route(messages[i], route);
    }
}

static void
merge_report(const rollout_gossip_t *gossip, const member_t *sender,
             const Iris__RolloutReport *message, rollout_t *rollout)
{
    const size_t mesh = members_mesh(gossip->members, sender);
    const bool same_mesh = mesh == own_mesh(gossip);
    rollout_report_t report = {
        .source = sender->incarnation,
        .mesh = mesh,
        .is_sum = !same_mesh,
        .moved = same_mesh ? message->moved : message->mesh_moved,
        .heard_ms = gossip->now_ms,
    };
    rollout_adopt_suspicions(rollout, message->suspicions, gossip->now_ms);
    const bool same_servers = message->suspicions == rollout->suspicions;
    if (same_mesh)
        read_routes(message->routes, message->n_routes, &report.counts);
    else
        read_routes(message->mesh_routes, message->n_mesh_routes, &report.counts);
    rollout_adopt_times(rollout, message->elapsed_ms, message->ramp_ms, gossip->now_ms);
    if (!same_servers)
        rollout_clear_target(&report.counts);
    rollout_add_report(rollout, &report);
}

void
rollout_gossip_merge(const rollout_gossip_t *gossip, const member_t *sender,
                     Iris__RolloutReport *const *reports, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const Iris__RolloutReport *message = reports[i];
        rollout_t *rollout = rollouts_find_id(gossip->rollouts, message->order);
        if (rollout == NULL)
            continue; /* its order has not arrived here, or is gone */
        if (message->rolled_back == 0)
            merge_report(gossip, sender, message, rollout);
        else if (message->rolled_back < ROLLOUT_REASON_INVALID)
            rollout_adopt_rollback(gossip->rollouts, rollout,
                                   (rollout_reason_t)message->rolled_back, message->bad_route,
                                   gossip->now_ms);
    }
}

/* ---- completion ---- */

static bool
is_other_mesh_moved(const rollout_gossip_t *gossip, const rollout_t *rollout, size_t mesh)
{
    for (size_t i = 0; i < rollout->report_count; i++) {
        const rollout_report_t *report = &rollout->reports[i];
        if (report->is_sum && report->mesh == mesh)
            return report->moved && gossip->now_ms - report->heard_ms <= OTHER_MESH_MAX_MS;
    }
    return false;
}

bool
rollout_gossip_all_moved(const rollout_gossip_t *gossip, const rollout_t *rollout)
{
    if (!mesh_moved(gossip, rollout))
        return false;
    for (size_t i = 0; i < gossip->members->count; i++) {
        const member_t *member = &gossip->members->items[i];
        const size_t mesh = members_mesh(gossip->members, member);
        const bool may_live =
            member->heard && gossip->now_ms - member->heard_ms <= OTHER_MESH_MAX_MS;
        if (mesh != own_mesh(gossip) && may_live && !is_other_mesh_moved(gossip, rollout, mesh))
            return false;
    }
    return true;
}
