#include "gateway/membership/member_offers.h"
#include "gateway/membership/heartbeat_message.h"

#include "base/xmalloc.h"
#include "gateway/state/position.h"

/* Addresses are sent in PEERS_ROUNDS of every PEERS_PERIOD rounds. */
enum { PEERS_PERIOD = 8, PEERS_ROUNDS = 2 };

/* protobuf-c strings are not const but never written to. */
static char *
message_text(const name_t *name)
{
    return (char *)(uintptr_t)name->ptr;
}

static void
fill_views(heartbeat_message_t *out, const views_t *views)
{
    for (size_t kind = 0; kind < views->count; kind++) {
        const view_t *view = &views->items[kind];
        iris__view_state__init(&out->views[kind]);
        out->views[kind].at = position_revision(view->at);
        out->views[kind].eras_behind = (uint32_t)(views->history.era - position_era(view->at));
        out->views[kind].digest = view->digest;
        out->views[kind].known = view->known;
        out->view_list[kind] = &out->views[kind];
    }
    out->message.store_era = (uint32_t)views->history.era;
    out->message.n_views = views->count;
    out->message.views = out->view_list;
}

static void
fill_demand(Iris__Demand *demand, const name_t *service, double slots)
{
    iris__demand__init(demand);
    demand->service = message_text(service);
    demand->slots = (float)slots;
}

static void
fill_offered_work(heartbeat_message_t *out, const heartbeat_source_t *source, const name_t *service,
                  size_t index)
{
    offered_totals_t work = {0};
    members_add_offers(&source->self->offers, name_str(service), &work);
    offer_message_fill(&out->offers[index], &work, source->topology, &out->demands[index]);
    members_mesh_offered(source->members, name_str(service), source->self->region, source->now_ms,
                         &work);
    offer_message_fill(&out->mesh_offers[index], &work, source->topology,
                       &out->mesh_demands[index]);
}

/* Sends the own demand, and the mesh's total for instances of other meshes. */
static void
fill_demands(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const member_t *self = source->self;
    for (size_t i = 0; i < self->demand_count; i++) {
        const name_t *service = &self->demands[i].service;
        const double mesh_slots =
            members_mesh_demand(source->members, name_str(service), self->region, source->now_ms);
        fill_demand(&out->demands[i], service, self->demands[i].slots);
        fill_demand(&out->mesh_demands[i], service, mesh_slots);
        out->demands[i].pace_reported = self->demands[i].pace_reported;
        fill_offered_work(out, source, service, i);
        out->demand_list[i] = &out->demands[i];
        out->mesh_demand_list[i] = &out->mesh_demands[i];
    }
    out->message.n_demands = self->demand_count;
    out->message.demands = out->demand_list;
    out->message.n_mesh_demands = self->demand_count;
    out->message.mesh_demands = out->mesh_demand_list;
}

static void
add_peer(heartbeat_message_t *out, const member_t *member)
{
    const size_t index = out->message.n_peers++;
    Iris__PeerAddress *peer = &out->peers[index];
    iris__peer_address__init(peer);
    addr_format(&member->peer, out->peer_texts[index]);
    peer->address = out->peer_texts[index];
    peer->place = message_text(&member->hall);
    out->peer_list[index] = peer;
}

/* Sends a part of the known addresses, rotating with each round; a reply those of the receiver's
 * mesh. */
static void
fill_peers(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const members_t *members = source->members;
    const bool is_large = members->count > HEARTBEAT_PEERS_MAX;
    const size_t regular = is_large ? HEARTBEAT_PEERS_LARGE_MAX : HEARTBEAT_PEERS_MAX;
    const size_t max = source->is_reply ? source->addresses_max : regular;
    const size_t step = source->is_reply ? max : max / PEERS_PERIOD;
    const size_t start = members->own_turn + (size_t)source->round * step;
    out->message.peers = out->peer_list;
    for (size_t i = 0; i < members->count && out->message.n_peers < max; i++) {
        const member_t *member = &members->items[(start + i) % members->count];
        const bool wanted =
            !source->is_reply || members_mesh(members, member) == source->receiver_mesh;
        if (member->heard && wanted)
            add_peer(out, member);
    }
}

/* Sends outcomes of backends with recent failures. If the own link is in doubt, they say nothing
 * about the backends and are dropped. */
static void
fill_outcomes(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    size_t count = 0;
    for (size_t i = 0; i < source->backends->count; i++) {
        backend_t *backend = source->backends->items[i];
        if (!source->link_in_doubt && count < HEARTBEAT_OUTCOMES_MAX &&
            health_has_unsent(&backend->health, source->now_ms)) {
            Iris__Outcomes *outcomes = &out->outcomes[count];
            iris__outcomes__init(outcomes);
            outcomes->backend = message_text(&backend->info.id);
            outcomes->good = backend->health.unsent_successes;
            outcomes->bad = backend->health.unsent_failures;
            outcomes->born = backend->info.born;
            out->outcome_list[count] = outcomes;
            count++;
        }
        health_mark_sent(&backend->health);
    }
    out->message.n_outcomes = count;
    out->message.outcomes = out->outcome_list;
}

/* Sends a part of the suspects, rotating with each round. */
static void
fill_suspects(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const bool is_full_mesh = source->members->count <= MEMBERS_FULL_MESH_MAX;
    const size_t regular = is_full_mesh ? SUSPECTS_PER_HEARTBEAT : SUSPECTS_PER_HEARTBEAT_LARGE;
    const size_t max = source->is_reply ? SUSPECTS_PER_REPLY : regular;
    const size_t count =
        suspect_gossip_fill(source->suspect_gossip, out->suspects, max, source->round);
    for (size_t i = 0; i < count; i++)
        out->suspect_list[i] = &out->suspects[i].message;
    out->message.n_suspects = count;
    out->message.suspects = out->suspect_list;
}

static void
fill_notices(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const bool large = source->members->count > MEMBERS_FULL_MESH_MAX;
    const size_t regular = large ? NOTICES_PER_HEARTBEAT_LARGE : NOTICES_PER_HEARTBEAT;
    const size_t max = source->is_reply ? NOTICES_PER_REPLY : regular;
    const size_t count =
        notice_gossip_fill(source->notice_gossip, out->notices, max, source->round);
    for (size_t i = 0; i < count; i++)
        out->notice_list[i] = &out->notices[i];
    out->message.n_notices = count;
    out->message.notices = out->notice_list;
}

static void
fill_rollouts(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const size_t count = rollout_gossip_fill(&source->rollouts, out->rollouts);
    for (size_t i = 0; i < count; i++)
        out->rollout_list[i] = &out->rollouts[i].message;
    out->message.n_rollouts = count;
    out->message.rollouts = out->rollout_list;
}

static void
fill_loads(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    out->message.n_loads = load_gossip_fill(&out->loads, source->backends, source->now_ms);
    out->message.loads = out->loads.list;
}

static void
fill_self(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const member_t *self = source->self;
    Iris__GatewayHeartbeat *message = &out->message;
    message->instance = message_text(&self->instance);
    message->place = message_text(&self->hall);
    message->incarnation = self->incarnation;
    message->peer_address = out->own_peer;
    message->caller_address = out->own_callers;
    addr_format(&self->peer, out->own_peer);
    addr_format(&self->callers, out->own_callers);
    message->ready = self->ready;
    message->leaving = self->leaving;
    message->store_age_ms = store_watch_age_ms(source->watch);
    message->store_failing = store_watch_is_failing(source->watch);
    message->unpacks = true;
    message->reads_lists = true;
    message->reads_suspects = true;
    message->reads_accounts = true;
    message->gives_permits = true;
    message->transit_port = addr_port(&self->transit);
    message->backends_lost = self->backends_lost;
    message->backends_heard = self->backends_heard;
    message->resumed = source->resumed;
    message->announced = self->announced;
    message->mesh_members =
        (uint32_t)members_count_alive_in_mesh(source->members, self->region, source->now_ms);
    message->interval_ms = self->interval_ms;
    message->link_bytes_per_s = (float)self->capacity.link_bytes_per_s;
    message->cpu_cores = (float)self->capacity.cpu_cores;
    message->requests_per_s = (float)self->capacity.requests_per_s;
    message->mesh_requests_per_s =
        (float)members_mesh_requests_per_s(source->members, self->region, source->now_ms);
    message->bytes_per_s = (float)self->capacity.bytes_per_s;
}

void
heartbeat_message_fill(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    iris__gateway_heartbeat__init(&out->message);
    fill_self(out, source);
    fill_views(out, source->views);
    fill_demands(out, source);
    fill_suspects(out, source);
    fill_notices(out, source);
    if (source->rollouts.rollouts->count > 0)
        fill_rollouts(out, source);
    if (!source->is_reply && !source->is_greeting) {
        fill_outcomes(out, source);
        fill_loads(out, source);
    }
    if (source->is_reply || (!source->is_greeting && source->round % PEERS_PERIOD < PEERS_ROUNDS))
        fill_peers(out, source);
    out->message.was_announced = source->was_announced;
}

void
heartbeat_message_select_offers(heartbeat_message_t *message, bool own_mesh, bool send_own)
{
    for (size_t i = 0; i < message->message.n_demands; i++) {
        message->demands[i].n_offered = own_mesh && send_own ? message->offers[i].count : 0;
        message->mesh_demands[i].n_offered = own_mesh ? 0 : message->mesh_offers[i].count;
    }
}

bool
heartbeat_message_sender(const Iris__GatewayHeartbeat *message, heartbeat_sender_t *out)
{
    return addr_parse(str_from(message->peer_address), &out->peer) &&
           addr_parse(str_from(message->caller_address), &out->callers) &&
           name_set(&out->instance, str_from(message->instance)) &&
           name_set(&out->hall, str_from(message->place));
}

/* Skips entries with an invalid service name. */
static size_t
read_demands(Iris__Demand *const *demands, size_t count, member_demand_t *out)
{
    size_t valid_count = 0;
    for (size_t i = 0; i < count && valid_count < MEMBER_DEMANDS_MAX; i++) {
        if (!name_set(&out[valid_count].service, str_from(demands[i]->service)))
            continue;
        out[valid_count].slots = demands[i]->slots;
        valid_count++;
    }
    return valid_count;
}

/* Views missing from the message, as from older versions, are unknown. */
static void
read_views(const Iris__GatewayHeartbeat *message, const store_history_t *history, member_t *member)
{
    const uint64_t newest = store_history_peer_era(history, message->store_era);
    for (size_t i = 0; i < VIEW_WATCHED; i++) {
        member->views[i] = (member_view_t){0};
        if (i >= message->n_views)
            continue;
        member->views[i] = (member_view_t){
            .at = position_make(newest - message->views[i]->eras_behind, message->views[i]->at),
            .digest = message->views[i]->digest,
            .known = message->views[i]->known,
        };
    }
}

static view_format_t
read_view_format(const Iris__GatewayHeartbeat *message)
{
    if (message->reads_lists)
        return VIEW_FORMAT_PACKED_LIST;
    return message->unpacks ? VIEW_FORMAT_PACKED_BODIES : VIEW_FORMAT_PLAIN;
}

void
heartbeat_message_apply(const Iris__GatewayHeartbeat *message, const store_history_t *history,
                        member_t *member)
{
    member->incarnation = message->incarnation;
    member->ready = message->ready;
    member->leaving = message->leaving;
    member->store_age_ms = message->store_age_ms;
    member->store_failing = message->store_failing;
    member->view_format = read_view_format(message);
    member->announced = message->announced;
    member->supports_suspects = message->reads_suspects;
    member->supports_accounts = message->reads_accounts;
    member->supports_permits = message->gives_permits;
    member->transit = member->peer;
    addr_set_port(&member->transit, (uint16_t)message->transit_port);
    member->backends_lost = message->backends_lost;
    member->backends_heard = message->backends_heard;
    member->interval_ms = message->interval_ms;
    member->mesh_members = message->mesh_members;
    member->capacity = (member_capacity_t){
        .link_bytes_per_s = message->link_bytes_per_s,
        .cpu_cores = message->cpu_cores,
        .requests_per_s = message->requests_per_s,
        .bytes_per_s = message->bytes_per_s,
    };
    member->mesh_requests_per_s = message->mesh_requests_per_s;
    read_views(message, history, member);
    member->demand_count = read_demands(message->demands, message->n_demands, member->demands);
    member->mesh_demand_count =
        read_demands(message->mesh_demands, message->n_mesh_demands, member->mesh_demands);
}
