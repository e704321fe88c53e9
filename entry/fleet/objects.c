#include <stdlib.h>

#define LOG_MODULE "objects"
#include "base/counter.h"
#include "base/log.h"
#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/fleet/objects.h"

struct objects {
    objects_cbs_t cbs;
    void *ctx;
    object_t **items;
    size_t count;
    uint64_t digest;
    counter_t *adopted;
    counter_t *rejected;
};

objects_t *
objects_new(const objects_cbs_t *cbs, void *ctx)
{
    objects_t *objects = xcalloc(1, sizeof(*objects));
    objects->cbs = *cbs;
    objects->ctx = ctx;
    objects->adopted =
        counter_get("irisstall_objects_adopted_total", NULL, "Object versions put in force.");
    objects->rejected = counter_get("irisstall_objects_rejected_total", NULL,
                                    "Object versions kept out because they break a rule.");
    return objects;
}

static object_t *
find(const objects_t *objects, str_t kind, str_t name)
{
    for (size_t i = 0; i < objects->count; i++) {
        object_t *object = objects->items[i];
        if (name_eq(&object->name, name) && name_eq(&object->kind, kind))
            return object;
    }
    return NULL;
}

const object_t *
objects_find(const objects_t *objects, str_t kind, str_t name)
{
    const object_t *object = find(objects, kind, name);
    return object != NULL && object->version > 0 ? object : NULL;
}

bool
objects_wants(const objects_t *objects, str_t kind, str_t name, uint64_t version)
{
    const object_t *object = find(objects, kind, name);
    return object == NULL || (version > object->version && version > object->rejected);
}

uint64_t
object_hash(const object_t *object)
{
    if (object->version == 0)
        return 0;
    return str_hash(name_str(&object->kind), str_hash(name_str(&object->name), object->version));
}

static object_t *
add(objects_t *objects, str_t kind, str_t name)
{
    object_t *object = xcalloc(1, sizeof(*object));
    if (!name_set(&object->kind, kind) || !name_set(&object->name, name)) {
        free(object);
        return NULL;
    }
    objects->items = xrealloc(objects->items, (objects->count + 1) * sizeof(object));
    objects->items[objects->count++] = object;
    return object;
}

static offer_result_t
reject(objects_t *objects, object_t *object, uint64_t version, const err_t *err)
{
    object->rejected = version;
    counter_add(objects->rejected, 1);
    LOG_ERR("stored object rejected: kind=%s name=%s version=%lu in_force=%lu err=%s",
            object->kind.ptr, object->name.ptr, (unsigned long)version,
            (unsigned long)object->version, err->detail);
    return OFFER_REJECTED;
}

offer_result_t
objects_offer(objects_t *objects, str_t kind, str_t name, uint64_t version, str_t body)
{
    object_t *object = find(objects, kind, name);
    if (object == NULL)
        object = add(objects, kind, name);
    if (object == NULL)
        return OFFER_REJECTED;
    if ((version <= object->version || version <= object->rejected) &&
        !mutate_is(MUTATE_ACCEPT_OLD))
        return OFFER_STALE;
    const object_t offered = {.kind = object->kind,
                              .name = object->name,
                              .version = version,
                              .body = xmemdup0(body.ptr, body.len),
                              .len = body.len};
    err_t err = {0};
    if (!objects->cbs.adopt(objects->ctx, &offered, &err)) {
        free(offered.body);
        return reject(objects, object, version, &err);
    }
    objects->digest -= object_hash(object);
    free(object->body);
    const uint64_t rejected = object->rejected;
    *object = offered;
    object->rejected = rejected;
    objects->digest += object_hash(object);
    counter_add(objects->adopted, 1);
    LOG_INFO("object activated: kind=%s name=%s version=%lu", object->kind.ptr, object->name.ptr,
             (unsigned long)version);
    if (objects->cbs.adopted != NULL)
        objects->cbs.adopted(objects->ctx, object);
    return OFFER_ADOPTED;
}

size_t
objects_count(const objects_t *objects)
{
    return objects->count;
}

const object_t *
objects_at(const objects_t *objects, size_t index)
{
    xassert(index < objects->count);
    return objects->items[index];
}

uint64_t
objects_digest(const objects_t *objects)
{
    return objects->digest;
}
