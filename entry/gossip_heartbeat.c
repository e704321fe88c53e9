#include "entry/gossip_heartbeat.h"
#include "entry/gossip_envelope.h"
#include "entry/gossip_objects.h"

enum {
    /* Region members that get the loads, each round; docs/design/entry/dissemination.md. */
    LOAD_PEERS = 2,
    /* An outgoing connection unused for this long is closed. Chosen, not measured. */
    IDLE_CONNECTION_MS = 30000,
};

static void
sum_own_region(node_t *node)
{
    const uint64_t now = node_now(node);
    region_load_t load = {.region = node->settings.region,
                          .wall_ms = node_wall(node),
                          .usable = credit_usable(node->credit, now),
                          .in_flight = credit_in_flight(node->credit)};
    for (size_t i = 0; i < node->members.count; i++) {
        const member_t *member = &node->members.items[i];
        if (!member_alive(member, now))
            continue;
        load.usable += member->usable;
        load.in_flight += member->in_flight;
    }
    region_loads_merge(&node->loads, &load, now);
}

static void
fill_heartbeat(const node_t *node, Iris__Heartbeat *beat)
{
    const uint64_t now = node_now(node);
    beat->instance = (char *)node->settings.name.ptr;
    beat->place = (char *)node->settings.place.ptr;
    beat->incarnation = node->incarnation;
    beat->sent_ms = now;
    beat->epoch = credit_epoch(node->credit);
    beat->settled = limiter_settled(&node->gate, now);
    beat->usable = credit_usable(node->credit, now);
    beat->in_flight = credit_in_flight(node->credit);
    beat->leaving = node->leaving;
    beat->surrendered = credit_surrendered(node->credit);
    beat->digest = gossip_digest(node);
}

typedef struct {
    Iris__LoadReport reports[LOADS_REGIONS_MAX];
    Iris__LoadReport *list[LOADS_REGIONS_MAX];
} load_list_t;

static void
attach_loads(const node_t *node, Iris__Heartbeat *beat, load_list_t *out)
{
    for (size_t i = 0; i < node->loads.count; i++) {
        const region_load_t *load = &node->loads.items[i];
        iris__load_report__init(&out->reports[i]);
        out->reports[i].region = (char *)load->region.ptr;
        out->reports[i].wall_ms = load->wall_ms;
        out->reports[i].usable = load->usable;
        out->reports[i].in_flight = load->in_flight;
        out->list[i] = &out->reports[i];
    }
    beat->n_loads = node->loads.count;
    beat->loads = out->list;
}

void
gossip_round(node_t *node)
{
    load_list_t loads;
    sum_own_region(node);
    Iris__Heartbeat beat = IRIS__HEARTBEAT__INIT;
    Iris__Envelope message = gossip_envelope(IRIS__ENVELOPE__BODY_HEARTBEAT);
    message.heartbeat = &beat;
    fill_heartbeat(node, &beat);
    const size_t count = node->members.count;
    const size_t first = count > 0 ? (size_t)rng_below(&node->rng, count) : 0;
    for (size_t i = 0; i < count; i++) {
        const member_t *member = &node->members.items[(first + i) % count];
        beat.echo_ms = member->stamp_ms;
        if (i < LOAD_PEERS) {
            attach_loads(node, &beat, &loads);
        } else {
            beat.n_loads = 0;
            beat.loads = NULL;
        }
        peer_send(node->hub, &member->peer, &message);
    }
    const instance_t *outsider = instances_random_entry(
        node->instances, name_str(&node->settings.region), false, &node->rng);
    if (outsider != NULL) {
        beat.echo_ms = 0;
        attach_loads(node, &beat, &loads);
        peer_send(node->hub, &outsider->peer, &message);
    }
    peer_hub_sweep_idle(node->hub, IDLE_CONNECTION_MS);
}

static void
merge_loads(node_t *node, const Iris__Heartbeat *beat)
{
    for (size_t i = 0; i < beat->n_loads; i++) {
        const Iris__LoadReport *report = beat->loads[i];
        region_load_t load = {
            .wall_ms = report->wall_ms, .usable = report->usable, .in_flight = report->in_flight};
        if (name_set(&load.region, str_from(report->region)))
            region_loads_merge(&node->loads, &load, node_now(node));
    }
}

void
gossip_on_heartbeat(node_t *node, peer_conn_t *conn, const Iris__Heartbeat *beat)
{
    const uint64_t now = node_now(node);
    const str_t name = str_from(beat->instance);
    merge_loads(node, beat);
    if (members_record_message(&node->members, name, beat->incarnation, beat->leaving, now)) {
        member_t *member = members_find(&node->members, name);
        member->stamp_ms = beat->sent_ms;
        member->usable = beat->usable;
        member->in_flight = beat->in_flight;
        member->surrendered = beat->surrendered;
        const credit_report_t report = {.instance = name,
                                        .incarnation = beat->incarnation,
                                        .epoch = beat->epoch,
                                        .settled = beat->settled,
                                        .asked_ms = beat->echo_ms};
        credit_peer_report(node->credit, &report, now);
        if (beat->epoch < credit_epoch(node->credit)) {
            const object_t *allocation = gossip_own_allocation(node);
            if (allocation != NULL)
                gossip_push(node, NULL, &member->peer, allocation);
        }
    }
    if (beat->digest != gossip_digest(node))
        gossip_send_versions(node, conn, NULL, false);
    else if (beat->echo_ms != 0 && beat->echo_ms >= node->woke_ms)
        node->woke = false; /* asked since we woke up, and nothing is newer there */
}
