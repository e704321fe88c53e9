#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "gossip"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/gossip.h"

/* Chosen; docs/design/entry/dissemination.md has what was weighed. */
enum {
    RELAY_CHILDREN = 2, /* copies of an object that an instance sends in its hall's tree */
    LOAD_PEERS = 2,     /* region members that get the loads, each round */
    IDLE_CONNECTION_MS = 30000,
    BORROW_MAX = 64, /* credits asked for at once */
};

static Iris__Envelope
envelope(Iris__Envelope__BodyCase body_case)
{
    Iris__Envelope message = IRIS__ENVELOPE__INIT;
    message.schema = PEER_SCHEMA;
    message.body_case = body_case;
    return message;
}

static bool
is_shared(const object_t *object)
{
    return object->version > 0 && !name_eq(&object->kind, STR("allocation"));
}

static const object_t *
own_allocation(const node_t *node)
{
    return objects_find(node->objects, STR("allocation"), name_str(&node->settings.region));
}

/* Region-wide objects are left out: instances of other regions do not hold them. */
static uint64_t
shared_digest(const node_t *node)
{
    const uint64_t digest = objects_digest(node->objects);
    const object_t *allocation = own_allocation(node);
    return allocation != NULL ? digest - object_hash(allocation) : digest;
}

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
    beat->settled = gate_settled(&node->gate, now);
    beat->usable = credit_usable(node->credit, now);
    beat->in_flight = credit_in_flight(node->credit);
    beat->leaving = node->leaving;
    beat->surrendered = credit_surrendered(node->credit);
    beat->digest = shared_digest(node);
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
    Iris__Envelope message = envelope(IRIS__ENVELOPE__BODY_HEARTBEAT);
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
    peer_hub_sweep(node->hub, IDLE_CONNECTION_MS);
}

typedef struct {
    Iris__ObjectVersion *items;
    Iris__ObjectVersion **list;
    Iris__VersionList message;
} version_list_t;

static void
build_versions(const node_t *node, bool is_answer, version_list_t *out)
{
    const size_t count = objects_count(node->objects);
    out->items = xcalloc(count, sizeof(*out->items));
    out->list = xcalloc(count, sizeof(*out->list));
    iris__version_list__init(&out->message);
    for (size_t i = 0; i < count; i++) {
        const object_t *object = objects_at(node->objects, i);
        if (object->version == 0)
            continue;
        Iris__ObjectVersion *item = &out->items[out->message.n_objects];
        iris__object_version__init(item);
        item->kind = (char *)object->kind.ptr;
        item->name = (char *)object->name.ptr;
        item->version = object->version;
        out->list[out->message.n_objects++] = item;
    }
    out->message.objects = out->list;
    out->message.is_answer = is_answer;
}

static void
send_versions(node_t *node, peer_conn_t *conn, const addr_t *to, bool is_answer)
{
    version_list_t versions;
    build_versions(node, is_answer, &versions);
    Iris__Envelope message = envelope(IRIS__ENVELOPE__BODY_VERSIONS);
    message.versions = &versions.message;
    if (conn != NULL)
        peer_reply(conn, &message);
    else
        peer_send(node->hub, to, &message);
    free(versions.items);
    free(versions.list);
}

static void
push_object(node_t *node, peer_conn_t *conn, const addr_t *to, const object_t *object)
{
    Iris__ObjectVersion id = IRIS__OBJECT_VERSION__INIT;
    Iris__ObjectPush push = IRIS__OBJECT_PUSH__INIT;
    Iris__Envelope message = envelope(IRIS__ENVELOPE__BODY_PUSH);
    id.kind = (char *)object->kind.ptr;
    id.name = (char *)object->name.ptr;
    id.version = object->version;
    push.id = &id;
    push.body = (ProtobufCBinaryData){.len = object->len, .data = (uint8_t *)object->body};
    message.push = &push;
    if (conn != NULL)
        peer_reply(conn, &message);
    else
        peer_send(node->hub, to, &message);
}

void
gossip_sync_seeds(node_t *node)
{
    for (size_t i = 0; i < node->settings.seed_count; i++)
        send_versions(node, NULL, &node->settings.seeds[i], false);
}

/* Place of a hall member in the relay order of an object: position by hash. */
static uint64_t
relay_rank(const object_t *object, str_t member)
{
    return str_hash(member, str_hash(name_str(&object->name), object->version));
}

typedef struct {
    uint64_t rank;
    const addr_t *peer; /* NULL: this instance */
} relay_t;

static int
compare_relays(const void *a, const void *b)
{
    const uint64_t left = ((const relay_t *)a)->rank;
    const uint64_t right = ((const relay_t *)b)->rank;
    return left < right ? -1 : left > right;
}

void
gossip_relay(node_t *node, const object_t *object, bool from_store)
{
    const bool region_wide = name_eq(&object->kind, STR("allocation"));
    relay_t *order = xcalloc(node->members.count + 1, sizeof(*order));
    size_t count = 0;
    size_t own = 0;
    order[count++] = (relay_t){.rank = relay_rank(object, name_str(&node->settings.name))};
    for (size_t i = 0; i < node->members.count; i++) {
        const member_t *member = &node->members.items[i];
        if (region_wide || name_eq(&member->place, name_str(&node->settings.place)))
            order[count++] =
                (relay_t){.rank = relay_rank(object, name_str(&member->name)), &member->peer};
    }
    qsort(order, count, sizeof(*order), compare_relays);
    for (size_t i = 0; i < count; i++) {
        if (order[i].peer == NULL)
            own = i;
    }
    if (from_store && own != 0)
        push_object(node, NULL, order[0].peer, object);
    for (size_t child = RELAY_CHILDREN * own + 1;
         child <= RELAY_CHILDREN * own + RELAY_CHILDREN && child < count; child++)
        push_object(node, NULL, order[child].peer, object);
    free(order);
}

void
gossip_borrow(node_t *node)
{
    const member_t *best = members_most_free(&node->members, node_now(node));
    if (best == NULL)
        return;
    Iris__BorrowRequest borrow = IRIS__BORROW_REQUEST__INIT;
    Iris__Envelope message = envelope(IRIS__ENVELOPE__BODY_BORROW);
    borrow.instance = node->settings.name.ptr;
    borrow.epoch = credit_epoch(node->credit);
    borrow.want =
        (uint32_t)(node->waiting_count < BORROW_MAX ? node->waiting_count + 1 : BORROW_MAX);
    message.borrow = &borrow;
    peer_send(node->hub, &best->peer, &message);
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

static void
on_heartbeat(node_t *node, peer_conn_t *conn, const Iris__Heartbeat *beat)
{
    const uint64_t now = node_now(node);
    const str_t name = str_from(beat->instance);
    merge_loads(node, beat);
    if (members_heard(&node->members, name, beat->incarnation, beat->leaving, now)) {
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
            const object_t *allocation = own_allocation(node);
            if (allocation != NULL)
                push_object(node, NULL, &member->peer, allocation);
        }
    }
    if (beat->digest != shared_digest(node))
        send_versions(node, conn, NULL, false);
    else if (beat->echo_ms != 0 && beat->echo_ms >= node->woke_ms)
        node->woke = false; /* asked since we woke up, and nothing is newer there */
}

/* Pushes what is newer here; answers with our own list so that the peer can do the same. */
static void
on_versions(node_t *node, peer_conn_t *conn, const Iris__VersionList *list)
{
    bool behind = false;
    for (size_t i = 0; i < objects_count(node->objects); i++) {
        const object_t *object = objects_at(node->objects, i);
        uint64_t theirs = 0;
        for (size_t j = 0; j < list->n_objects; j++) {
            if (name_eq(&object->name, str_from(list->objects[j]->name)) &&
                name_eq(&object->kind, str_from(list->objects[j]->kind)))
                theirs = list->objects[j]->version;
        }
        if (is_shared(object) && object->version > theirs)
            push_object(node, conn, NULL, object);
    }
    for (size_t j = 0; j < list->n_objects; j++) {
        const Iris__ObjectVersion *theirs = list->objects[j];
        if (strcmp(theirs->kind, "allocation") != 0 &&
            objects_wants(node->objects, str_from(theirs->kind), str_from(theirs->name),
                          theirs->version))
            behind = true;
    }
    if (!list->is_answer)
        send_versions(node, conn, NULL, true);
    else if (!behind && list->n_objects > 0)
        node->peer_synced = true;
}

static void
on_push(node_t *node, const Iris__ObjectPush *push)
{
    if (push->id == NULL)
        return;
    const str_t kind = str_from(push->id->kind);
    const str_t name = str_from(push->id->name);
    if (str_eq(kind, STR("allocation")) && !name_eq(&node->settings.region, name))
        return;
    const offer_t offer = objects_offer(node->objects, kind, name, push->id->version,
                                        (str_t){(const char *)push->body.data, push->body.len});
    if (offer == OFFER_ADOPTED)
        gossip_relay(node, objects_find(node->objects, kind, name), false);
}

static void
on_borrow(node_t *node, peer_conn_t *conn, const Iris__BorrowRequest *borrow)
{
    Iris__BorrowAnswer answer = IRIS__BORROW_ANSWER__INIT;
    Iris__Envelope message = envelope(IRIS__ENVELOPE__BODY_LEND);
    answer.instance = node->settings.name.ptr;
    answer.epoch = borrow->epoch;
    answer.granted = credit_lend(node->credit, borrow->epoch, borrow->want, node_now(node));
    message.lend = &answer;
    if (answer.granted > 0)
        peer_reply(conn, &message);
}

void
gossip_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message)
{
    node_t *node = ctx;
    switch (message->body_case) {
    case IRIS__ENVELOPE__BODY_HEARTBEAT:
        on_heartbeat(node, conn, message->heartbeat);
        return;
    case IRIS__ENVELOPE__BODY_VERSIONS:
        on_versions(node, conn, message->versions);
        return;
    case IRIS__ENVELOPE__BODY_PUSH:
        on_push(node, message->push);
        return;
    case IRIS__ENVELOPE__BODY_BORROW:
        on_borrow(node, conn, message->borrow);
        return;
    case IRIS__ENVELOPE__BODY_LEND:
        credit_borrowed(node->credit, message->lend->epoch, message->lend->granted);
        return;
    default:
        return;
    }
}
