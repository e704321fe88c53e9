#include <string.h>

#define LOG_MODULE "members"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/membership/heartbeat.h"

enum {
    PEERS_EVERY = 8, /* rounds between two lists of known addresses */
    PEERS_MAX = 64,
    VIEWS_MAX = VIEW_WATCHED,
    OUTCOMES_MAX = 64, /* upstreams told of in one heartbeat */
};

void
heartbeat_update_self(heartbeat_t *heartbeat, uint64_t now_ms)
{
    member_t *self = members_at(heartbeat->members, &heartbeat->settings->peer);
    self->heard = true;
    self->heard_ms = now_ms;
    self->instance = heartbeat->settings->name;
    self->hall = heartbeat->settings->hall;
    self->region = heartbeat->router->region;
    self->callers = heartbeat->settings->callers;
    self->incarnation = heartbeat->incarnation;
    self->ready = heartbeat->ready;
    self->leaving = heartbeat->leaving;
    self->interval_ms = members_interval_ms(heartbeat->members, self->region, now_ms);
    self->demand_count = 0;
    for (size_t i = 0; i < heartbeat->router->services.count; i++) {
        const service_t *service = &heartbeat->router->services.items[i];
        if (self->demand_count < MEMBER_DEMANDS_MAX)
            self->demands[self->demand_count++] = (member_demand_t){service->name, service->demand};
    }
}

typedef struct {
    Iris__GatewayHeartbeat message;
    Iris__ViewState views[VIEWS_MAX];
    Iris__ViewState *view_list[VIEWS_MAX];
    Iris__Demand demands[MEMBER_DEMANDS_MAX];
    Iris__Demand *demand_list[MEMBER_DEMANDS_MAX];
    Iris__Demand region_demands[MEMBER_DEMANDS_MAX];
    Iris__Demand *region_demand_list[MEMBER_DEMANDS_MAX];
    Iris__PeerAddress peers[PEERS_MAX];
    Iris__PeerAddress *peer_list[PEERS_MAX];
    Iris__Outcomes outcomes[OUTCOMES_MAX];
    Iris__Outcomes *outcome_list[OUTCOMES_MAX];
    char peer_texts[PEERS_MAX][ADDR_TEXT_MAX];
    char own_peer[ADDR_TEXT_MAX];
    char own_callers[ADDR_TEXT_MAX];
} packed_t;

static void
pack_views(const heartbeat_t *heartbeat, packed_t *packed)
{
    for (size_t kind = 0; kind < VIEWS_MAX; kind++) {
        const view_t *view = &heartbeat->sync->views[kind];
        iris__view_state__init(&packed->views[kind]);
        packed->views[kind].at = view->at;
        packed->views[kind].digest = view->digest;
        packed->views[kind].known = view->known;
        packed->view_list[kind] = &packed->views[kind];
    }
    packed->message.n_views = VIEWS_MAX;
    packed->message.views = packed->view_list;
}

static void
pack_demand(Iris__Demand *demand, const name_t *service, double slots)
{
    iris__demand__init(demand);
    demand->service = (char *)(uintptr_t)service->ptr;
    demand->slots = (float)slots;
}

/* The own demand, and for instances of other regions that of the whole own region. */
static void
pack_demands(const heartbeat_t *heartbeat, const member_t *self, uint64_t now_ms, packed_t *packed)
{
    for (size_t i = 0; i < self->demand_count; i++) {
        const name_t *service = &self->demands[i].service;
        const double of_region = members_demand(heartbeat->members, name_str(service), self->region,
                                                self->region, now_ms);
        pack_demand(&packed->demands[i], service, self->demands[i].slots);
        pack_demand(&packed->region_demands[i], service, of_region);
        packed->demand_list[i] = &packed->demands[i];
        packed->region_demand_list[i] = &packed->region_demands[i];
    }
    packed->message.n_demands = self->demand_count;
    packed->message.demands = packed->demand_list;
    packed->message.n_region_demands = self->demand_count;
    packed->message.region_demands = packed->region_demand_list;
}

static void
pack_region(const heartbeat_t *heartbeat, const member_t *self, uint64_t now_ms, packed_t *packed)
{
    packed->message.region_members =
        (uint32_t)members_living(heartbeat->members, self->region, now_ms);
    packed->message.interval_ms = self->interval_ms;
}

/* A part of the known instances, another one each time. */
static void
pack_peers(const members_t *members, unsigned round, packed_t *packed)
{
    size_t count = 0;
    const size_t start = (size_t)round * PEERS_MAX / PEERS_EVERY;
    for (size_t i = 0; i < members->count && count < PEERS_MAX; i++) {
        const member_t *member = &members->items[(start + i) % members->count];
        if (!member->heard)
            continue;
        iris__peer_address__init(&packed->peers[count]);
        addr_format(&member->peer, packed->peer_texts[count]);
        packed->peers[count].address = packed->peer_texts[count];
        packed->peers[count].place = (char *)(uintptr_t)member->hall.ptr;
        packed->peer_list[count] = &packed->peers[count];
        count++;
    }
    packed->message.n_peers = count;
    packed->message.peers = packed->peer_list;
}

/* Upstreams that failed some attempts since the last heartbeat, or lately. */
static void
pack_outcomes(const router_t *router, uint64_t now_ms, packed_t *packed)
{
    size_t count = 0;
    for (size_t i = 0; i < router->catalog.backends.count; i++) {
        backend_t *backend = router->catalog.backends.items[i];
        if (count < OUTCOMES_MAX && health_has_unsent(&backend->health, now_ms)) {
            iris__outcomes__init(&packed->outcomes[count]);
            packed->outcomes[count].backend = backend->info.id.ptr;
            packed->outcomes[count].good = backend->health.unsent_good;
            packed->outcomes[count].bad = backend->health.unsent_bad;
            packed->outcome_list[count] = &packed->outcomes[count];
            count++;
        }
        health_mark_sent(&backend->health);
    }
    packed->message.n_outcomes = count;
    packed->message.outcomes = packed->outcome_list;
}

static void
pack(const heartbeat_t *heartbeat, uint64_t now_ms, packed_t *packed)
{
    Iris__GatewayHeartbeat *message = &packed->message;
    const gateway_settings_t *settings = heartbeat->settings;
    iris__gateway_heartbeat__init(message);
    message->instance = (char *)(uintptr_t)settings->name.ptr;
    message->place = (char *)(uintptr_t)settings->hall.ptr;
    message->incarnation = heartbeat->incarnation;
    message->peer_address = packed->own_peer;
    message->caller_address = packed->own_callers;
    addr_format(&settings->peer, packed->own_peer);
    addr_format(&settings->callers, packed->own_callers);
    message->ready = heartbeat->ready;
    message->leaving = heartbeat->leaving;
    message->store_age_ms = sync_store_age(heartbeat->sync);
    message->store_failing = sync_store_failing(heartbeat->sync);
    pack_views(heartbeat, packed);
    const member_t *self = members_at(heartbeat->members, &settings->peer);
    pack_demands(heartbeat, self, now_ms, packed);
    pack_region(heartbeat, self, now_ms, packed);
    pack_outcomes(heartbeat->router, now_ms, packed);
    if (heartbeat->round % PEERS_EVERY < 2)
        pack_peers(heartbeat->members, heartbeat->round, packed);
}

void
heartbeat_send(heartbeat_t *heartbeat, uint64_t now_ms)
{
    packed_t packed = {0};
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    heartbeat_update_self(heartbeat, now_ms);
    pack(heartbeat, now_ms, &packed);
    heartbeat->round++;
    heartbeat->sent_ms = now_ms;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_GATEWAY;
    envelope.gateway = &packed.message;
    for (size_t i = 0; i < heartbeat->members->count; i++) {
        member_t *member = &heartbeat->members->items[i];
        if (addr_eq(&member->peer, &heartbeat->settings->peer))
            continue;
        if (!members_is_target(heartbeat->members, i, heartbeat->router->region, heartbeat->round,
                               now_ms))
            continue;
        member->told_ms = now_ms;
        peer_send(heartbeat->hub, &member->peer, &envelope);
    }
}

static size_t
take_demands(Iris__Demand *const *demands, size_t count, member_demand_t *out)
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

static void
take_lists(member_t *member, const Iris__GatewayHeartbeat *message)
{
    for (size_t i = 0; i < VIEWS_MAX; i++) {
        const bool there = i < message->n_views;
        member->views[i] = (member_view_t){
            .at = there ? message->views[i]->at : 0,
            .digest = there ? message->views[i]->digest : 0,
            .known = there && message->views[i]->known,
        };
    }
    member->demand_count = take_demands(message->demands, message->n_demands, member->demands);
    member->region_demand_count =
        take_demands(message->region_demands, message->n_region_demands, member->region_demands);
}

static void
take_outcomes(const router_t *router, const Iris__GatewayHeartbeat *message, uint64_t now_ms)
{
    for (size_t i = 0; i < message->n_outcomes; i++) {
        const Iris__Outcomes *outcomes = message->outcomes[i];
        backend_t *backend = backends_find(&router->catalog.backends, str_from(outcomes->backend));
        if (backend != NULL)
            health_add_report(&backend->health, outcomes->good, outcomes->bad, now_ms);
    }
}

void
heartbeat_know(heartbeat_t *heartbeat, const addr_t *peer, const name_t *hall)
{
    member_t *member = members_at(heartbeat->members, peer);
    if (member == NULL || member->heard)
        return;
    member->hall = *hall;
    member->region = topology_region_of(&heartbeat->settings->topology, name_str(hall));
}

void
heartbeat_receive(heartbeat_t *heartbeat, const Iris__GatewayHeartbeat *message, uint64_t now_ms)
{
    addr_t peer;
    addr_t callers;
    name_t instance;
    name_t hall;
    if (!addr_parse(str_from(message->peer_address), &peer) ||
        !addr_parse(str_from(message->caller_address), &callers) ||
        !name_set(&instance, str_from(message->instance)) ||
        !name_set(&hall, str_from(message->place))) {
        LOG_WARN("heartbeat not usable: instance=%s", message->instance);
        return;
    }
    for (size_t i = 0; i < message->n_peers; i++) {
        addr_t other;
        name_t other_hall;
        if (addr_parse(str_from(message->peers[i]->address), &other) &&
            name_set(&other_hall, str_from(message->peers[i]->place)))
            heartbeat_know(heartbeat, &other, &other_hall);
    }
    member_t *member = members_at(heartbeat->members, &peer);
    if (member == NULL || addr_eq(&peer, &heartbeat->settings->peer))
        return;
    const bool restarted = member->heard && member->incarnation != message->incarnation;
    /* Of another region of a large fleet, each instance is heard only now and then. */
    const bool expected = heartbeat->members->count <= MEMBERS_MESH ||
                          member->region == heartbeat->router->region || !member->heard;
    if (restarted || (expected && !member_alive(member, now_ms)))
        LOG_INFO("instance heard: instance=%s hall=%s silent_ms=%llu restarted=%d", instance.ptr,
                 hall.ptr, (unsigned long long)(member->heard ? now_ms - member->heard_ms : 0),
                 restarted);
    if (message->leaving && !member->leaving)
        LOG_INFO("instance leaving: instance=%s", instance.ptr);
    member->heard = true;
    member->heard_ms = now_ms;
    member->instance = instance;
    member->hall = hall;
    member->region = topology_region_of(&heartbeat->settings->topology, name_str(&hall));
    member->callers = callers;
    member->incarnation = message->incarnation;
    member->ready = message->ready;
    member->leaving = message->leaving;
    member->store_age_ms = message->store_age_ms;
    member->store_failing = message->store_failing;
    member->interval_ms = message->interval_ms;
    member->region_members = message->region_members;
    take_lists(member, message);
    take_outcomes(heartbeat->router, message, now_ms);
    sync_compare(heartbeat->sync, member);
}
