#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "entry/gossip_envelope.h"
#include "entry/gossip_objects.h"

/* Copies of an object that an instance sends in its hall's tree;
 * docs/design/entry/dissemination.md has what was weighed. */
enum { RELAY_CHILDREN = 2 };

static bool
is_shared(const object_t *object)
{
    return object->version > 0 && !name_eq(&object->kind, STR("allocation"));
}

const object_t *
gossip_own_allocation(const node_t *node)
{
    return objects_find(node->objects, STR("allocation"), name_str(&node->settings.region));
}

uint64_t
gossip_digest(const node_t *node)
{
    const uint64_t digest = objects_digest(node->objects);
    const object_t *allocation = gossip_own_allocation(node);
    return allocation != NULL ? digest - object_hash(allocation) : digest;
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

void
gossip_send_versions(node_t *node, peer_conn_t *conn, const addr_t *to, bool is_answer)
{
    version_list_t versions;
    build_versions(node, is_answer, &versions);
    Iris__Envelope message = gossip_envelope(IRIS__ENVELOPE__BODY_VERSIONS);
    message.versions = &versions.message;
    if (conn != NULL)
        peer_reply(conn, &message);
    else
        peer_send(node->hub, to, &message);
    free(versions.items);
    free(versions.list);
}

void
gossip_push(node_t *node, peer_conn_t *conn, const addr_t *to, const object_t *object)
{
    Iris__ObjectVersion id = IRIS__OBJECT_VERSION__INIT;
    Iris__ObjectPush push = IRIS__OBJECT_PUSH__INIT;
    Iris__Envelope message = gossip_envelope(IRIS__ENVELOPE__BODY_PUSH);
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
        gossip_send_versions(node, NULL, &node->settings.seeds[i], false);
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
        gossip_push(node, NULL, order[0].peer, object);
    for (size_t child = RELAY_CHILDREN * own + 1;
         child <= RELAY_CHILDREN * own + RELAY_CHILDREN && child < count; child++)
        gossip_push(node, NULL, order[child].peer, object);
    free(order);
}

void
gossip_on_versions(node_t *node, peer_conn_t *conn, const Iris__VersionList *list)
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
            gossip_push(node, conn, NULL, object);
    }
    for (size_t j = 0; j < list->n_objects; j++) {
        const Iris__ObjectVersion *theirs = list->objects[j];
        if (strcmp(theirs->kind, "allocation") != 0 &&
            objects_wants(node->objects, str_from(theirs->kind), str_from(theirs->name),
                          theirs->version))
            behind = true;
    }
    if (!list->is_answer)
        gossip_send_versions(node, conn, NULL, true);
    else if (!behind && list->n_objects > 0)
        node->peer_synced = true;
}

void
gossip_on_push(node_t *node, const Iris__ObjectPush *push)
{
    if (push->id == NULL)
        return;
    const str_t kind = str_from(push->id->kind);
    const str_t name = str_from(push->id->name);
    if (str_eq(kind, STR("allocation")) && !name_eq(&node->settings.region, name))
        return;
    const offer_result_t offer =
        objects_offer(node->objects, kind, name, push->id->version,
                      (str_t){(const char *)push->body.data, push->body.len});
    if (offer == OFFER_ADOPTED)
        gossip_relay(node, objects_find(node->objects, kind, name), false);
}
