#include "gateway/membership/heartbeat_message.h"

#include "base/xmalloc.h"

/* Rounds in which a part of the known addresses is sent: two of these many. Chosen, not measured.
 */
enum { PEERS_EVERY = 8, PEERS_ROUNDS = 2 };

/* protobuf-c's strings are not const, though it does not write to them. */
static char *
message_text(const name_t *name)
{
    return (char *)(uintptr_t)name->ptr;
}

static void
fill_views(heartbeat_message_t *out, const views_t *views)
{
    for (size_t kind = 0; kind < VIEW_WATCHED; kind++) {
        const view_t *view = &views->items[kind];
        iris__view_state__init(&out->views[kind]);
        out->views[kind].at = view->at;
        out->views[kind].digest = view->digest;
        out->views[kind].known = view->known;
        out->view_list[kind] = &out->views[kind];
    }
    out->message.n_views = VIEW_WATCHED;
    out->message.views = out->view_list;
}

static void
fill_demand(Iris__Demand *demand, const name_t *service, double slots)
{
    iris__demand__init(demand);
    demand->service = message_text(service);
    demand->slots = (float)slots;
}

/* The own demand, and for instances of other regions that of the whole own region. */
static void
fill_demands(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const member_t *self = source->self;
    for (size_t i = 0; i < self->demand_count; i++) {
        const name_t *service = &self->demands[i].service;
        const double of_region = members_demand(source->members, name_str(service), self->region,
                                                self->region, source->now_ms);
        fill_demand(&out->demands[i], service, self->demands[i].slots);
        fill_demand(&out->region_demands[i], service, of_region);
        out->demand_list[i] = &out->demands[i];
        out->region_demand_list[i] = &out->region_demands[i];
    }
    out->message.n_demands = self->demand_count;
    out->message.demands = out->demand_list;
    out->message.n_region_demands = self->demand_count;
    out->message.region_demands = out->region_demand_list;
}

/* A part of the known instances, another one each time. */
static void
fill_peers(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const members_t *members = source->members;
    const size_t most = source->is_answer ? source->addresses : HEARTBEAT_PEERS_MAX;
    const size_t step = source->is_answer ? most : most / PEERS_EVERY;
    const size_t start = (size_t)source->round * step;
    size_t count = 0;
    for (size_t i = 0; i < members->count && count < most; i++) {
        const member_t *member = &members->items[(start + i) % members->count];
        if (!member->heard)
            continue;
        Iris__PeerAddress *peer = &out->peers[count];
        iris__peer_address__init(peer);
        addr_format(&member->peer, out->peer_texts[count]);
        peer->address = out->peer_texts[count];
        peer->place = message_text(&member->hall);
        out->peer_list[count] = peer;
        count++;
    }
    out->message.n_peers = count;
    out->message.peers = out->peer_list;
}

/* Backends at which attempts failed since the last heartbeat, or lately. */
static void
fill_outcomes(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    size_t count = 0;
    for (size_t i = 0; i < source->backends->count; i++) {
        backend_t *backend = source->backends->items[i];
        if (count < HEARTBEAT_OUTCOMES_MAX && health_has_unsent(&backend->health, source->now_ms)) {
            Iris__Outcomes *outcomes = &out->outcomes[count];
            iris__outcomes__init(outcomes);
            outcomes->backend = message_text(&backend->info.id);
            outcomes->good = backend->health.unsent_good;
            outcomes->bad = backend->health.unsent_bad;
            outcomes->born = backend->info.born;
            out->outcome_list[count] = outcomes;
            count++;
        }
        health_mark_sent(&backend->health);
    }
    out->message.n_outcomes = count;
    out->message.outcomes = out->outcome_list;
}

/* Suspects, another part of them each time. */
static void
fill_suspects(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const bool is_mesh = source->members->count <= MEMBERS_MESH;
    const size_t each = is_mesh ? SUSPECTS_A_HEARTBEAT : SUSPECTS_A_HEARTBEAT_LARGE;
    const size_t most = source->is_answer ? SUSPECTS_AN_ANSWER : each;
    const size_t count = suspect_news_fill(source->news, out->suspects, most, source->round);
    for (size_t i = 0; i < count; i++)
        out->suspect_list[i] = &out->suspects[i].message;
    out->message.n_suspects = count;
    out->message.suspects = out->suspect_list;
}

static void
fill_notices(heartbeat_message_t *out, const heartbeat_source_t *source)
{
    const bool large = source->members->count > MEMBERS_MESH;
    const size_t regular = large ? NOTICES_A_HEARTBEAT_LARGE : NOTICES_A_HEARTBEAT;
    const size_t most = source->is_answer ? NOTICES_AN_ANSWER : regular;
    const size_t count = notice_news_fill(source->notices, out->notices, most, source->round);
    for (size_t i = 0; i < count; i++)
        out->notice_list[i] = &out->notices[i];
    out->message.n_notices = count;
    out->message.notices = out->notice_list;
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
    message->resumed = source->resumed;
    message->announced = self->announced;
    message->region_members =
        (uint32_t)members_living(source->members, self->region, source->now_ms);
    message->interval_ms = self->interval_ms;
    message->link_bytes_per_s = (float)self->capacity.link_bytes_per_s;
    message->cpu_cores = (float)self->capacity.cpu_cores;
    message->requests_per_s = (float)self->capacity.requests_per_s;
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
    if (!source->is_answer)
        fill_outcomes(out, source);
    if (source->is_answer || source->round % PEERS_EVERY < PEERS_ROUNDS)
        fill_peers(out, source);
    out->message.was_announced = source->was_announced;
}

bool
heartbeat_message_sender(const Iris__GatewayHeartbeat *message, heartbeat_sender_t *out)
{
    return addr_parse(str_from(message->peer_address), &out->peer) &&
           addr_parse(str_from(message->caller_address), &out->callers) &&
           name_set(&out->instance, str_from(message->instance)) &&
           name_set(&out->hall, str_from(message->place));
}

/* Entries with a name that is not valid are left out: no service can have it. */
static size_t
read_demands(Iris__Demand *const *demands, size_t count, member_demand_t *out)
{
    size_t taken = 0;
    for (size_t i = 0; i < count && taken < MEMBER_DEMANDS_MAX; i++) {
        if (!name_set(&out[taken].service, str_from(demands[i]->service)))
            continue;
        out[taken].slots = demands[i]->slots;
        taken++;
    }
    return taken;
}

/* A view that the message leaves out, as older versions may, is not known there. */
static void
read_views(const Iris__GatewayHeartbeat *message, member_t *member)
{
    for (size_t i = 0; i < VIEW_WATCHED; i++) {
        member->views[i] = (member_view_t){0};
        if (i >= message->n_views)
            continue;
        member->views[i] = (member_view_t){
            .at = message->views[i]->at,
            .digest = message->views[i]->digest,
            .known = message->views[i]->known,
        };
    }
}

static view_format_t
read_reads(const Iris__GatewayHeartbeat *message)
{
    if (message->reads_lists)
        return VIEW_FORMAT_PACKED_LIST;
    return message->unpacks ? VIEW_FORMAT_PACKED_BODIES : VIEW_FORMAT_PLAIN;
}

void
heartbeat_message_apply(const Iris__GatewayHeartbeat *message, member_t *member)
{
    member->incarnation = message->incarnation;
    member->ready = message->ready;
    member->leaving = message->leaving;
    member->store_age_ms = message->store_age_ms;
    member->store_failing = message->store_failing;
    member->reads = read_reads(message);
    member->announced = message->announced;
    member->reads_suspects = message->reads_suspects;
    member->reads_accounts = message->reads_accounts;
    member->gives_permits = message->gives_permits;
    member->interval_ms = message->interval_ms;
    member->region_members = message->region_members;
    member->capacity = (member_capacity_t){
        .link_bytes_per_s = message->link_bytes_per_s,
        .cpu_cores = message->cpu_cores,
        .requests_per_s = message->requests_per_s,
        .bytes_per_s = message->bytes_per_s,
    };
    read_views(message, member);
    member->demand_count = read_demands(message->demands, message->n_demands, member->demands);
    member->region_demand_count =
        read_demands(message->region_demands, message->n_region_demands, member->region_demands);
}
