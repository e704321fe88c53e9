#include <string.h>

#define LOG_MODULE "members"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/membership/member_offers.h"
#include "gateway/membership/heartbeat.h"

/* Heartbeats may be sent this much early, so that ticks of 200 ms do not delay them. */
enum { SEND_EARLY_MS = 100 };

/* Limit of "instance heard" lines per tick, so that the start of a large fleet does not flood the
 * log. */
enum { HEARD_LOG_LINES_MAX = 16 };

/* Between two contacts to a member that was not heard yet, while there is something to tell: the
 * interval of ticks. */
enum { GREETING_INTERVAL_MS = 200 };

/* Sets the member's data hall and with it its region. */
static void
set_hall(const heartbeat_t *heartbeat, member_t *member, const name_t *hall)
{
    const topology_t *topology = &heartbeat->conf.settings->topology;
    member->hall = *hall;
    member->hall_index = topology_hall(topology, name_str(hall));
    member->region = topology_region_of(topology, name_str(hall));
}

static size_t
own_mesh(const heartbeat_t *heartbeat)
{
    return members_own_mesh(heartbeat->conf.members, heartbeat->conf.region);
}

static bool
is_self(const heartbeat_t *heartbeat, const addr_t *peer)
{
    return addr_eq(peer, &heartbeat->conf.settings->peer);
}

/* In a large fleet, members of other meshes send heartbeats only occasionally. */
static bool
is_heard_regularly(const heartbeat_t *heartbeat, const member_t *member)
{
    return heartbeat->conf.members->count <= MEMBERS_FULL_MESH_MAX ||
           members_mesh(heartbeat->conf.members, member) == own_mesh(heartbeat);
}

/* One heartbeat in so many carries offered work to the own mesh: it is an average over 2 s. */
enum { OFFERS_EVERY = 2 };

/* Adds the service's demand; replaces the smallest one if the list is full. */
static void
add_demand(member_t *self, const service_t *service, uint64_t now_ms)
{
    const member_demand_t demand = {
        .service = service->name,
        .slots = service->demand,
        .pace_reported = service_has_own_pace_report(service, now_ms),
    };
    if (self->demand_count < MEMBER_DEMANDS_MAX) {
        self->demands[self->demand_count++] = demand;
        return;
    }
    member_demand_t *least = &self->demands[0];
    for (size_t i = 1; i < self->demand_count; i++) {
        if (self->demands[i].slots < least->slots)
            least = &self->demands[i];
    }
    if (demand.slots > least->slots)
        *least = demand;
}

/* Updates this instance's entry in the table of members. */
static void
update_self(heartbeat_t *heartbeat, uint64_t now_ms)
{
    const gateway_settings_t *settings = heartbeat->conf.settings;
    const services_t *services = heartbeat->conf.services;
    member_t *self = members_find_or_add(heartbeat->conf.members, &settings->peer);
    self->heard = true;
    self->heard_ms = now_ms;
    self->instance = settings->name;
    set_hall(heartbeat, self, &settings->hall);
    self->region = heartbeat->conf.region;
    self->callers = settings->callers;
    self->incarnation = heartbeat->conf.incarnation;
    self->ready = heartbeat->ready;
    self->supports_accounts = true;
    self->supports_permits = true;
    self->transit = heartbeat->conf.transit;
    self->backends_lost = heartbeat->conf.reach->state == REACH_LOST;
    self->backends_heard = reachability_hears_responses(heartbeat->conf.reach, now_ms);
    self->leaving = heartbeat->leaving;
    self->announced = heartbeat->announced;
    self->interval_ms = members_interval_ms(heartbeat->conf.members, self->region, now_ms);
    self->capacity = (member_capacity_t){
        .link_bytes_per_s = settings->link_bytes_per_s,
        .cpu_cores = settings->cpu_cores,
        .requests_per_s = heartbeat->conf.traffic->requests_per_s,
        .bytes_per_s = heartbeat->conf.traffic->bytes_per_s,
    };
    self->demand_count = 0;
    for (size_t i = 0; i < services->count; i++)
        add_demand(self, services->items[i], now_ms);
    offer_message_set_own(self, services, settings->topology.region_count);
}

void
heartbeat_init(heartbeat_t *heartbeat, const heartbeat_conf_t *conf, uint64_t now_ms)
{
    *heartbeat = (heartbeat_t){.conf = *conf};
    conf->members->own_hall =
        topology_hall(&conf->settings->topology, name_str(&conf->settings->hall));
    conf->members->own_turn = member_key(name_str(&conf->settings->name)) % MEMBERS_MAX;
    update_self(heartbeat, now_ms);
}

void
heartbeat_set_ready(heartbeat_t *heartbeat, bool ready, uint64_t now_ms)
{
    heartbeat->is_due |= ready != heartbeat->ready;
    heartbeat->ready = ready;
    update_self(heartbeat, now_ms);
}

void
heartbeat_set_announced(heartbeat_t *heartbeat)
{
    heartbeat->announced = true;
}

void
heartbeat_leave(heartbeat_t *heartbeat, uint64_t now_ms)
{
    heartbeat->leaving = true;
    heartbeat_send(heartbeat, now_ms);
}

void
heartbeat_resume(heartbeat_t *heartbeat, uint64_t now_ms)
{
    heartbeat->resumed = true;
    heartbeat_send(heartbeat, now_ms);
}

rollout_gossip_t
heartbeat_rollouts(const heartbeat_t *heartbeat, uint64_t now_ms)
{
    return (rollout_gossip_t){
        .members = heartbeat->conf.members,
        .rollouts = heartbeat->conf.rollouts,
        .self = members_find_or_add(heartbeat->conf.members, &heartbeat->conf.settings->peer),
        .now_ms = now_ms,
    };
}

static heartbeat_source_t
source_of(heartbeat_t *heartbeat, uint64_t now_ms)
{
    return (heartbeat_source_t){
        .link_in_doubt = reachability_is_doubtful(heartbeat->conf.reach),
        .self = members_find_or_add(heartbeat->conf.members, &heartbeat->conf.settings->peer),
        .members = heartbeat->conf.members,
        .topology = &heartbeat->conf.settings->topology,
        .views = heartbeat->conf.views,
        .watch = heartbeat->conf.watch,
        .suspect_gossip = heartbeat->conf.suspect_gossip,
        .notice_gossip = heartbeat->conf.notice_gossip,
        .rollouts = heartbeat_rollouts(heartbeat, now_ms),
        .backends = heartbeat->conf.backends,
        .now_ms = now_ms,
    };
}

/* Sends the message to the selected members. */
static void
send_to(heartbeat_t *heartbeat, heartbeat_message_t *message, const bool *targets, uint64_t now_ms)
{
    members_t *members = heartbeat->conf.members;
    const size_t own = own_mesh(heartbeat);
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_GATEWAY;
    envelope.gateway = &message->message;
    for (size_t i = 0; i < members->count; i++) {
        member_t *member = &members->items[i];
        if (!targets[i] || is_self(heartbeat, &member->peer))
            continue;
        member->sent_ms = now_ms;
        heartbeat_message_select_offers(message, members_mesh(members, member) == own,
                                        heartbeat->round % OFFERS_EVERY == 0);
        peer_send(heartbeat->conf.hub, &member->peer, &envelope);
    }
}

void
heartbeat_send(heartbeat_t *heartbeat, uint64_t now_ms)
{
    static bool targets[MEMBERS_MAX];
    members_t *members = heartbeat->conf.members;
    update_self(heartbeat, now_ms);
    heartbeat_source_t source = source_of(heartbeat, now_ms);
    source.resumed = heartbeat->resumed;
    source.round = heartbeat->round;
    heartbeat_message_t message = {0};
    heartbeat_message_fill(&message, &source);
    heartbeat->round++;
    heartbeat->sent_ms = now_ms;
    heartbeat->is_due = false;
    heartbeat->resumed = false;
    heartbeat->store_failing = store_watch_is_failing(heartbeat->conf.watch);
    members_select_targets(members, heartbeat->conf.region, heartbeat->round, now_ms, targets);
    send_to(heartbeat, &message, targets, now_ms);
}

/* True if the member is to be contacted before the next regular heartbeat: it was not heard, and
 * belongs to the own mesh or, as a seed, to none known yet. */
static bool
is_to_be_greeted(const heartbeat_t *heartbeat, const member_t *member, uint64_t now_ms)
{
    const size_t mesh = members_mesh(heartbeat->conf.members, member);
    return !member->heard && now_ms - member->sent_ms >= GREETING_INTERVAL_MS &&
           (heartbeat->conf.members->count <= MEMBERS_FULL_MESH_MAX ||
            mesh == own_mesh(heartbeat) || mesh == TOPOLOGY_NO_REGION);
}

void
heartbeat_greet(heartbeat_t *heartbeat, uint64_t now_ms)
{
    static bool targets[MEMBERS_MAX];
    const members_t *members = heartbeat->conf.members;
    bool any = false;
    for (size_t i = 0; i < members->count; i++) {
        targets[i] = is_to_be_greeted(heartbeat, &members->items[i], now_ms);
        any |= targets[i];
    }
    heartbeat->greeting_due = false;
    if (!any)
        return;
    update_self(heartbeat, now_ms);
    heartbeat_source_t source = source_of(heartbeat, now_ms);
    source.is_greeting = true;
    heartbeat_message_t message = {0};
    heartbeat_message_fill(&message, &source);
    send_to(heartbeat, &message, targets, now_ms);
}

/* Logs members that have become lost. */
static void
log_lost(heartbeat_t *heartbeat, uint64_t now_ms)
{
    for (size_t i = 0; i < heartbeat->conf.members->count; i++) {
        member_t *member = &heartbeat->conf.members->items[i];
        if (!member->logged_alive || member_alive(member, now_ms))
            continue;
        member->logged_alive = false;
        if (is_heard_regularly(heartbeat, member))
            LOG_INFO("instance lost: instance=%s hall=%s silent_ms=%llu", member->instance.ptr,
                     member->hall.ptr, (unsigned long long)(now_ms - member->heard_ms));
    }
}

static size_t
max_addresses(const heartbeat_t *heartbeat)
{
    return settings_is_seed(heartbeat->conf.settings) ? HEARTBEAT_PEERS_MAX
                                                      : HEARTBEAT_PEERS_NON_SEED_MAX;
}

/* Replies to a new or restarted member with the known addresses of its mesh and the views, so that
 * it need not read the store. Members of another mesh get addresses only if they know nobody there,
 * which bounds the traffic when a fleet starts. */
static void
reply_to_new_member(heartbeat_t *heartbeat, const member_t *member, bool was_announced,
                    uint64_t now_ms)
{
    const size_t mesh = members_mesh(heartbeat->conf.members, member);
    const bool needs_addresses = mesh == own_mesh(heartbeat) || member->mesh_members <= 1;
    heartbeat_source_t source = source_of(heartbeat, now_ms);
    source.round = heartbeat->replies_sent++;
    source.is_reply = true;
    source.receiver_mesh = mesh;
    source.addresses_max = needs_addresses ? max_addresses(heartbeat) : 0;
    source.was_announced = was_announced;
    heartbeat_message_t message = {0};
    heartbeat_message_fill(&message, &source);
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_GATEWAY;
    envelope.gateway = &message.message;
    peer_send(heartbeat->conf.hub, &member->peer, &envelope);
}

/* True if the store has begun or ceased to fail for this instance, which affects which instances
 * watch it. */
static bool
store_status_changed(const heartbeat_t *heartbeat)
{
    return heartbeat->store_failing != store_watch_is_failing(heartbeat->conf.watch);
}

void
heartbeat_tick(heartbeat_t *heartbeat, uint64_t now_ms)
{
    const uint32_t interval_ms =
        members_interval_ms(heartbeat->conf.members, heartbeat->conf.region, now_ms);
    log_lost(heartbeat, now_ms);
    if (heartbeat->heard_log_lines > HEARD_LOG_LINES_MAX)
        LOG_INFO("too many instances heard, lines omitted: heard=%u lines=%d",
                 heartbeat->heard_log_lines, HEARD_LOG_LINES_MAX);
    heartbeat->heard_log_lines = 0;
    heartbeat->is_due |= store_status_changed(heartbeat);
    members_update_meshes(heartbeat->conf.members);
    if (heartbeat->is_due || now_ms - heartbeat->sent_ms + SEND_EARLY_MS >= interval_ms)
        heartbeat_send(heartbeat, now_ms);
    else if (heartbeat->greeting_due)
        heartbeat_greet(heartbeat, now_ms);
}

void
heartbeat_add_address(heartbeat_t *heartbeat, const addr_t *peer, const name_t *hall,
                      bool announced)
{
    const size_t known = heartbeat->conf.members->count;
    member_t *member = members_find_or_add(heartbeat->conf.members, peer);
    if (member == NULL)
        return;
    member->announced |= announced;
    if (member->heard)
        return;
    heartbeat->greeting_due |= heartbeat->conf.members->count > known;
    set_hall(heartbeat, member, hall);
}

/* Skips invalid addresses. */
static void
add_addresses(heartbeat_t *heartbeat, const Iris__GatewayHeartbeat *message)
{
    for (size_t i = 0; i < message->n_peers; i++) {
        addr_t peer;
        name_t hall;
        if (addr_parse(str_from(message->peers[i]->address), &peer) &&
            name_set(&hall, str_from(message->peers[i]->place)))
            heartbeat_add_address(heartbeat, &peer, &hall, false);
    }
}

/* Skips outcomes for backends that are unknown here or have been restarted. */
static void
add_outcomes(const backends_t *backends, const Iris__GatewayHeartbeat *message, uint64_t now_ms)
{
    for (size_t i = 0; i < message->n_outcomes; i++) {
        const Iris__Outcomes *outcomes = message->outcomes[i];
        backend_t *backend = backends_find(backends, str_from(outcomes->backend));
        if (backend != NULL && backend_incarnation_order(outcomes->born, backend->info.born) == 0)
            health_add_report(&backend->health, outcomes->good, outcomes->bad, now_ms);
    }
}

/* Logs that an instance appeared, restarted or is leaving. */
static void
log_change(heartbeat_t *heartbeat, const member_t *member, const Iris__GatewayHeartbeat *message,
           uint64_t now_ms)
{
    const bool restarted = member->heard && member->incarnation != message->incarnation;
    const bool expected = !member->heard || is_heard_regularly(heartbeat, member);
    const bool is_newly_heard = restarted || (expected && !member_alive(member, now_ms));
    if (is_newly_heard && heartbeat->heard_log_lines++ < HEARD_LOG_LINES_MAX)
        LOG_INFO("instance heard: instance=%s hall=%s silent_ms=%llu restarted=%d",
                 message->instance, message->place,
                 (unsigned long long)(member->heard ? now_ms - member->heard_ms : 0), restarted);
    if (message->leaving && !member->leaving)
        LOG_INFO("instance leaving: instance=%s", message->instance);
}

/* Records the services whose backends reported the pace of their work to the sender. */
static void
record_pace_reports(const services_t *services, const Iris__GatewayHeartbeat *message,
                    uint64_t now_ms)
{
    for (size_t i = 0; i < message->n_demands; i++) {
        if (!message->demands[i]->pace_reported)
            continue;
        service_t *service = services_find(services, str_from(message->demands[i]->service));
        if (service != NULL)
            service->peer_pace_report_ms = now_ms;
    }
}

void
heartbeat_receive(heartbeat_t *heartbeat, const Iris__GatewayHeartbeat *message, uint64_t now_ms)
{
    heartbeat_sender_t sender;
    if (!heartbeat_message_sender(message, &sender)) {
        LOG_WARN("invalid heartbeat: instance=%s", message->instance);
        return;
    }
    add_addresses(heartbeat, message);
    member_t *member = members_find_or_add(heartbeat->conf.members, &sender.peer);
    if (member == NULL || is_self(heartbeat, &sender.peer))
        return;
    log_change(heartbeat, member, message, now_ms);
    const bool is_new = !member->heard || member->incarnation != message->incarnation;
    const bool was_announced = member->announced;
    member->heard = true;
    member->heard_ms = now_ms;
    member->refuses_connections = false;
    if (is_new)
        member->accounts_avoided_until_ms = 0;
    member->logged_alive = true;
    member->instance = sender.instance;
    set_hall(heartbeat, member, &sender.hall);
    member->callers = sender.callers;
    heartbeat_message_apply(message, &heartbeat->conf.views->history, member);
    offer_message_apply(message, &heartbeat->conf.settings->topology, heartbeat->conf.members,
                        member, heartbeat->conf.region, now_ms);
    member->announced |= was_announced;
    record_pace_reports(heartbeat->conf.services, message, now_ms);
    suspect_gossip_merge(heartbeat->conf.suspect_gossip, message->suspects, message->n_suspects);
    notice_gossip_merge(heartbeat->conf.notice_gossip, message->notices, message->n_notices);
    if (message->n_rollouts > 0) {
        const rollout_gossip_t rollouts = heartbeat_rollouts(heartbeat, now_ms);
        rollout_gossip_merge(&rollouts, member, message->rollouts, message->n_rollouts);
    }
    if (is_new || message->resumed)
        reply_to_new_member(heartbeat, member, was_announced, now_ms);
    if (message->was_announced)
        heartbeat_set_announced(heartbeat);
    add_outcomes(heartbeat->conf.backends, message, now_ms);
    load_gossip_merge(heartbeat->conf.backends, message->loads, message->n_loads, now_ms);
    view_relay_compare(heartbeat->conf.relay, member);
}
